"""Idempotency keys of orders: their checks, and what is derived from their hash."""

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
HASH_BYTES = 16


def parse_key(text: str) -> Result[str, Refusal]:
    """Returns the canonical form of a UUIDv7, or why it is none."""
    try:
        parsed = uuid6.UUID(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        return Err(refuse(CODE_MALFORMED, "the idempotency key must be a UUIDv7"))
    return Ok(str(parsed))


def read_time_ms(key: str) -> int:
    """Returns the wall time in milliseconds that a parsed key carries."""
    return uuid6.UUID(key).time


def is_before(key: str, wall_ms: int) -> bool:
    """Returns whether a parsed key's time is before `wall_ms`.

    The text of a UUIDv7 begins with its time, so comparing text saves parsing.
    """
    digits = f"{max(0, wall_ms):012x}"
    return key < f"{digits[:8]}-{digits[8:]}"


def check_age(key: str, *, wall_ms: int, settings: OrderSettings) -> Refusal | None:
    """Returns why a key is too old or from the future, or None.

    A claim is pruned when its key is `retention_ms` old. Keys are refused
    `key_margin_ms` before that, so that a claim is kept at least for the margin.
    """
    age_ms = wall_ms - read_time_ms(key)
    if age_ms > settings.retention_ms - settings.key_margin_ms:
        return refuse(
            CODE_TOO_OLD,
            "the key is too old: this submission was not run, an earlier submission "
            "with the same key may have been",
        )
    if -age_ms > settings.key_margin_ms:
        return refuse(CODE_IN_FUTURE, "the key's time is in the future")
    return None


def pick_range(key: str, ranges: int) -> str:
    """Returns the platform object that holds the claim of a key."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return f"claims/{int.from_bytes(digest) % ranges:04d}"


def pick_shard(key: str, shards: Collection[str]) -> str:
    """Returns the shard of an order: the one with the highest rendezvous score.

    It depends only on the key and the shard names, so a resubmission through another
    instance gets the same shard, and a new shard takes only its own share of keys.
    """
    return max(shards, key=lambda shard: (score_member(key=key, member=shard), shard))


def hash_order(*, traffic: Traffic, body: dict) -> str:
    """Returns the digest that tells whether a key is reused for another order.

    Rank and deadline are left out: a caller may resubmit at another rank.
    """
    content = [traffic.caller, traffic.service, traffic.labels, body]
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).hexdigest()


def refuse(code: str, message: str) -> Refusal:
    """Returns the refusal of an order that was not run because of its key."""
    return Refusal(
        code=code, message=message, run_state=RunState.NOT_RUN, step="keys.check"
    )
