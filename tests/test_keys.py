"""Idempotency keys of orders: parsing, age limits, shards and order digests."""

import pytest
import uuid6
from result import Ok

from gooseberrymux.keys import (
    check_age,
    hash_order,
    is_before,
    parse_key,
    pick_shard,
    read_time_ms,
)
from gooseberrymux.records import Rank, Traffic
from order_simulation import KEYS, WALL_MS, create_settings


@pytest.mark.parametrize("text", ["", "x", "0" * 32, str(uuid6.uuid6())])
def test_only_uuid7_is_a_key(text):
    """Guards against keys without a time, whose age can't be checked."""
    assert parse_key(text).is_err()


def test_case_and_dashes_do_not_make_another_key():
    """Guards against two spellings of one key that each run the order."""
    assert parse_key(KEYS[0].replace("-", "").upper()) == Ok(KEYS[0])


def test_age_limits():
    """Guards against keys that are accepted although their claim may be pruned, and
    keys from the future, whose claim would be pruned far too late."""
    settings = create_settings("a", "grouped").orders
    usable_ms = settings.retention_ms - settings.key_margin_ms

    def check(age_ms):
        refusal = check_age(KEYS[0], wall_ms=WALL_MS + age_ms, settings=settings)
        return refusal and refusal.code

    assert check(usable_ms) is None
    assert check(usable_ms + 1) == "key_too_old"
    assert check(-settings.key_margin_ms) is None
    assert check(-settings.key_margin_ms - 1) == "key_in_future"


def test_time_order_of_keys_needs_no_parsing():
    """Guards against a comparison of key texts that disagrees with their times."""
    assert read_time_ms(KEYS[0]) == WALL_MS
    assert not is_before(KEYS[0], WALL_MS)
    assert is_before(KEYS[0], WALL_MS + 1)


def test_new_shard_takes_only_its_own_keys():
    """Guards against an added shard that moves orders between the other shards."""
    keys = [str(uuid6.uuid7()) for _ in range(50)]
    for key in keys:
        assert pick_shard(key, ["a", "b", "c"]) in (pick_shard(key, ["a", "b"]), "c")


def test_digest_leaves_out_the_rank_but_not_the_caller():
    """Guards against a resubmission at another rank that is refused as another order,
    and against a caller who gets the reply to the order of another caller."""

    def digest(caller, rank):
        traffic = Traffic(caller=caller, service="s", rank=rank)
        return hash_order(traffic=traffic, body={"n": 1})

    assert digest("c", Rank.URGENT) == digest("c", Rank.PATIENT)
    assert digest("c", Rank.URGENT) != digest("d", Rank.URGENT)
