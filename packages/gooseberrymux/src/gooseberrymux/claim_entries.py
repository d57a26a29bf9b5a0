"""Entry of one key in the claim ledger: its fields, its JSON form and its size."""

import dataclasses
import enum
import json

from gooseberrymux.keys import read_time_ms

# Each claim without outcome reserves this, so that an outcome always fits.
OUTCOME_RESERVE_BYTES = 4_096


class ClaimState(enum.StrEnum):
    """State of the claim of a key."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEntry:
    """What the ledger holds for one key.

    Attributes:
        key: Idempotency key.
        attempt: The attempt that holds the claim or held it last.
        digest: Digest of the order.
        caller: Whose order it is.
        service: Service of the replicas that the attempt may be sent to.
        state: Claimed, completed or released.
        wall_ms: Wall time of the last change in milliseconds.
        upstream: Where it ran.
        reply: The upstream's reply.
        reply_omitted: Whether the reply was too large to keep.
        retired: Other attempts that can no longer claim this key.
    """

    key: str
    attempt: str
    digest: str
    caller: str
    service: str
    state: ClaimState
    wall_ms: int
    upstream: str = ""
    reply: dict = dataclasses.field(default_factory=dict)
    reply_omitted: bool = False
    retired: tuple[str, ...] = ()


def measure_entry(entry: ClaimEntry) -> int:
    """Returns the size of an entry in bytes, with its reserve for an outcome."""
    encoded = len(json.dumps({entry.key: encode_entry(entry)}))
    reserve = OUTCOME_RESERVE_BYTES if entry.state is ClaimState.CLAIMED else 0
    return encoded + reserve


def encode_entry(entry: ClaimEntry) -> dict:
    """Returns the entry as it stands in the platform object."""
    encoded = {
        "attempt": entry.attempt,
        "digest": entry.digest,
        "caller": entry.caller,
        "service": entry.service,
        "state": entry.state.value,
        "wall_ms": entry.wall_ms,
    }
    if entry.state is ClaimState.COMPLETED:
        encoded["upstream"] = entry.upstream
        encoded["reply"] = entry.reply
    if entry.reply_omitted:
        encoded["reply_omitted"] = True
    if entry.retired:
        encoded["retired"] = list(entry.retired)
    return encoded


def decode_entry(key: str, encoded: dict) -> ClaimEntry:
    """Returns one entry; raises KeyError, TypeError or ValueError if it is wrong."""
    read_time_ms(key)
    fields = dict(encoded)
    fields["state"] = ClaimState(fields["state"])
    fields["retired"] = tuple(fields.get("retired", ()))
    return ClaimEntry(key=key, **fields)
