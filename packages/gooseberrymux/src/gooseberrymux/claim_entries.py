"""Entry of one key in the claim ledger: its fields, JSON encoding and size."""

import dataclasses
import enum
import json

from gooseberrymux.keys import read_time_ms

# Each claim without an outcome reserves this much of the platform object, so that its
# outcome always fits.
OUTCOME_RESERVE_BYTES = 4_096


class ClaimState(enum.StrEnum):
    """State of a claim.

    A claimed key may have been run, a completed one has been, and a released one has
    not been run and may be claimed by another attempt.
    """

    CLAIMED = "claimed"
    COMPLETED = "completed"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEntry:
    """The ledger's entry for one key.

    Attributes:
        key: Idempotency key.
        attempt: Id of the attempt that holds the claim or held it last.
        digest: Digest of the order.
        caller: Caller that submitted the order.
        service: Service of the replicas that the attempt may be sent to; empty if the
            attempt was released before it held a claim.
        state: Claimed, completed or released.
        wall_ms: Wall time in milliseconds of the last change of state.
        upstream: Upstream that ran the order; empty unless completed.
        reply: The upstream's reply; empty unless completed.
        reply_omitted: Whether the reply was too large to store, so that `reply` is
            empty.
        retired: Ids of other attempts that can no longer claim this key.
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
    """Returns the size of an entry in bytes, including its reserve for an outcome."""
    encoded = len(json.dumps({entry.key: encode_entry(entry)}))
    reserve = OUTCOME_RESERVE_BYTES if entry.state is ClaimState.CLAIMED else 0
    return encoded + reserve


def encode_entry(entry: ClaimEntry) -> dict:
    """Returns the fields of an entry, without its key, as JSON-compatible values."""
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
    """Returns the entry that `encode_entry` encoded.

    Raises:
        KeyError: The state is missing.
        TypeError: Another field is missing or unknown, or `retired` is not a list.
        ValueError: The key is not a UUID, or the state is unknown.
    """
    read_time_ms(key)
    fields = dict(encoded)
    fields["state"] = ClaimState(fields["state"])
    fields["retired"] = tuple(fields.get("retired", ()))
    return ClaimEntry(key=key, **fields)
