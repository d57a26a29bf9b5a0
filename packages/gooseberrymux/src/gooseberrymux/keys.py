"""Idempotency keys of orders: checks, claim range, shard, and digest of the order."""

import hashlib
import json
from collections.abc import Collection

import uuid6
from result import Err, Ok, Result

from gooseberrymux.ownership import score_member
from gooseberrymux.records import Refusal, RunState, Traffic
from gooseberrymux.settings import OrderSettings

CODE_MALFORMED = "key_malformed"
CODE_TOO_OLD = "key_too_old"
CODE_IN_FUTURE = "key_in_future"
ORDER_DIGEST_BYTES = 16


def parse_key(text: str) -> Result[str, Refusal]:
    """Returns the canonical text of a UUIDv7, or the refusal of any other text."""
    try:
        parsed = uuid6.UUID(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        return Err(
            create_key_refusal(CODE_MALFORMED, "the idempotency key must be a UUIDv7")
        )
    return Ok(str(parsed))


def read_time_ms(key: str) -> int:
    """Returns the time in a parsed key, as Unix time in milliseconds."""
    return uuid6.UUID(key).time


def is_before(key: str, wall_ms: int) -> bool:
    """Returns whether the time in a parsed key is before `wall_ms`.

    The text of a UUIDv7 begins with its time, so comparing texts gives the same result
    as comparing times and saves parsing.
    """
    digits = f"{max(0, wall_ms):012x}"
    return key < f"{digits[:8]}-{digits[8:]}"


def check_age(key: str, *, wall_ms: int, settings: OrderSettings) -> Refusal | None:
    """Returns the refusal of a key that is too old or from the future, or None.

    A claim is pruned when its key is `retention_ms` old. Keys are refused from
    `key_margin_ms` before that age, so that each claim is kept at least for the margin.
    """
    age_ms = wall_ms - read_time_ms(key)
    if age_ms > settings.retention_ms - settings.key_margin_ms:
        return create_key_refusal(
            CODE_TOO_OLD,
            "the idempotency key is too old: this submission was not run, but an "
            "earlier one with the same key may have run",
        )
    if -age_ms > settings.key_margin_ms:
        return create_key_refusal(
            CODE_IN_FUTURE, "the time in the idempotency key is in the future"
        )
    return None


def compute_range_name(key: str, range_count: int) -> str:
    """Returns the name of the platform object that holds the claim of a key."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return f"claims/{int.from_bytes(digest) % range_count:04d}"


def pick_shard(key: str, shards: Collection[str]) -> str:
    """Returns the shard of an order: the one with the highest rendezvous score.

    The shard depends only on the key and the shard names, so a resubmission through
    another instance goes to the same shard. If a shard is added, keys move only to it.
    """
    return max(shards, key=lambda shard: (score_member(key=key, member=shard), shard))


def hash_order(*, traffic: Traffic, body: dict) -> str:
    """Returns the digest that shows whether a key is reused for another order.

    Rank and deadline are left out, because a caller may resubmit with other ones.
    """
    content = [traffic.caller, traffic.service, traffic.labels, body]
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=ORDER_DIGEST_BYTES).hexdigest()


def create_key_refusal(code: str, message: str) -> Refusal:
    """Returns the refusal of an order that was not run because its key is invalid."""
    return Refusal(
        code=code, message=message, run_state=RunState.NOT_RUN, step="keys.check"
    )
