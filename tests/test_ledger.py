"""Claim ledger: what one commit of a range decides."""

import json

from gooseberrymux.ledger import (
    CODE_RANGE_FULL,
    CODE_RETIRED,
    CODE_TOO_OLD,
    OBJECT_LIMIT_BYTES,
    Claim,
    Claimed,
    Complete,
    Found,
    Ledger,
    LedgerLimits,
    LookUp,
    Recorded,
    Rejected,
    Release,
    decode_ledger,
    encode_ledger,
    merge_commands,
)
from order_world import KEYS, WALL_MS, create_key

LIMITS = LedgerLimits(retention_ms=10_000, key_margin_ms=1_000)
KEY = KEYS[0]


def merge(base, *commands, wall_ms=WALL_MS):
    return merge_commands(base=base, commands=commands, wall_ms=wall_ms, limits=LIMITS)


def create_empty():
    return Ledger(entries={}, pruned_before_ms=0)


def claim(attempt, key=KEY):
    return Claim(key=key, attempt=attempt, digest="d", caller="c", service="s")


def complete(attempt, key=KEY, reply=None):
    return Complete(
        key=key,
        attempt=attempt,
        digest="d",
        caller="c",
        upstream="u",
        reply=reply or {"n": 1},
    )


def release(attempt, key=KEY):
    return Release(key=key, attempt=attempt, digest="d", caller="c")


def test_released_attempt_never_claims_again():
    """Guards against a delayed claim request that takes the key for an attempt that
    gave up, so that the key would stay unknown for good."""
    merged = merge(create_empty(), release("x"), claim("x"))
    assert merged.verdicts == [Recorded(), Rejected(code=CODE_RETIRED)]
    merged = merge(merged.ledger, claim("y"), release("y"), claim("x"), claim("z"))
    assert merged.verdicts[2:] == [Rejected(code=CODE_RETIRED), Claimed()]


def test_release_by_another_attempt_frees_nothing():
    """Guards against an abandoned attempt that frees the claim of a running one."""
    merged = merge(create_empty(), claim("x"), release("y"), claim("z"))
    assert isinstance(merged.verdicts[2], Found)
    assert merged.verdicts[2].entry.attempt == "x"


def test_merging_again_changes_nothing():
    """Guards against a read back after a lost reply that takes its own claim for
    another's, or records an outcome twice."""
    commands = [claim("x"), complete("x"), release("y", KEYS[1])]
    merged = merge(create_empty(), *commands)
    read_back = decode_ledger(json.loads(json.dumps(encode_ledger(merged.ledger))))
    assert read_back.entries == merged.ledger.entries
    assert read_back.size_bytes == merged.ledger.size_bytes
    again = merge(read_back, *commands[1:])
    assert not again.changed
    assert again.verdicts == merged.verdicts[1:]


def test_pruned_key_is_refused_even_by_an_instance_with_a_slow_clock():
    """Guards against a claim for a key whose earlier claim was pruned elsewhere."""
    merged = merge(create_empty(), claim("x"), complete("x"))
    later_key = f"{WALL_MS + 20_000:012x}"
    later_key = f"{later_key[:8]}-{later_key[8:]}-7000-8000-000000000000"
    pruned = merge(merged.ledger, claim("y", later_key), wall_ms=WALL_MS + 20_000)
    assert KEY not in pruned.ledger.entries
    late = merge(pruned.ledger, claim("z"), LookUp(key=KEY), wall_ms=WALL_MS)
    assert late.verdicts == [Rejected(code=CODE_TOO_OLD)] * 2


def test_full_range_refuses_claims_and_still_takes_outcomes():
    """Guards against an object over the platform's limit, which would block the
    outcomes of the claims in it."""
    ledger, count, verdicts = create_empty(), 0, [Claimed()]
    while verdicts == [Claimed()]:
        merged = merge(ledger, claim("x", create_key(count)))
        ledger, verdicts, count = merged.ledger, merged.verdicts, count + 1
    assert verdicts == [Rejected(code=CODE_RANGE_FULL)]
    outcomes = [
        complete("x", create_key(number), {"text": "r" * 3_000})
        for number in range(count - 1)
    ]
    merged = merge(ledger, *outcomes)
    assert merged.verdicts == [Recorded()] * len(outcomes)
    assert len(json.dumps(encode_ledger(merged.ledger))) <= OBJECT_LIMIT_BYTES


def test_oversized_reply_is_recorded_as_completed_without_it():
    """Guards against an outcome that is lost because its reply is too large."""
    merged = merge(create_empty(), claim("x"), complete("x", reply={"t": "r" * 9_000}))
    entry = merged.ledger.entries[KEY]
    assert (entry.state, entry.reply, entry.reply_omitted) == ("completed", {}, True)
