"""The verdicts and the size limit of the claim ledger of one key range."""

import json

from gooseberrymux.ledger import (
    CODE_ATTEMPT_RETIRED,
    CODE_RANGE_FULL,
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
    apply_commands,
    decode_ledger,
    encode_ledger,
)
from order_simulation import KEYS, WALL_MS, create_key

LIMITS = LedgerLimits(retention_ms=10_000, key_margin_ms=1_000)
KEY = KEYS[0]


def apply(base, *commands, wall_ms=WALL_MS):
    return apply_commands(base=base, commands=commands, wall_ms=wall_ms, limits=LIMITS)


def create_empty_ledger():
    return Ledger(entries={}, pruned_before_ms=0)


def create_claim(attempt, key=KEY):
    return Claim(key=key, attempt=attempt, digest="d", caller="c", service="s")


def create_complete(attempt, key=KEY, reply=None):
    return Complete(
        key=key,
        attempt=attempt,
        digest="d",
        caller="c",
        upstream="u",
        reply=reply or {"n": 1},
    )


def create_release(attempt, key=KEY):
    return Release(key=key, attempt=attempt, digest="d", caller="c")


def test_released_attempt_never_claims_again():
    """Guards against a delayed claim request that claims the key for a released
    attempt: the outcome of the key would then stay unknown."""
    applied = apply(create_empty_ledger(), create_release("x"), create_claim("x"))
    assert applied.verdicts == [Recorded(), Rejected(code=CODE_ATTEMPT_RETIRED)]
    applied = apply(
        applied.ledger,
        create_claim("y"),
        create_release("y"),
        create_claim("x"),
        create_claim("z"),
    )
    assert applied.verdicts[2:] == [Rejected(code=CODE_ATTEMPT_RETIRED), Claimed()]


def test_release_by_another_attempt_frees_nothing():
    """Guards against the release of one attempt that frees the claim of another, which
    may be running."""
    applied = apply(
        create_empty_ledger(), create_claim("x"), create_release("y"), create_claim("z")
    )
    assert isinstance(applied.verdicts[2], Found)
    assert applied.verdicts[2].entry.attempt == "x"


def test_merging_again_changes_nothing():
    """Guards against mistaking an attempt's own claim for another attempt's, or
    recording an outcome twice, when the ledger is read again after a lost reply."""
    commands = [create_claim("x"), create_complete("x"), create_release("y", KEYS[1])]
    applied = apply(create_empty_ledger(), *commands)
    read_back = decode_ledger(json.loads(json.dumps(encode_ledger(applied.ledger))))
    assert read_back.entries == applied.ledger.entries
    assert read_back.size_bytes == applied.ledger.size_bytes
    again = apply(read_back, *commands[1:])
    assert not again.changed
    assert again.verdicts == applied.verdicts[1:]


def test_pruned_key_is_refused_even_by_an_instance_with_a_slow_clock():
    """Guards against granting a claim for a key whose earlier claim was pruned by
    another instance: the order could run twice."""
    applied = apply(create_empty_ledger(), create_claim("x"), create_complete("x"))
    later_key = f"{WALL_MS + 20_000:012x}"
    later_key = f"{later_key[:8]}-{later_key[8:]}-7000-8000-000000000000"
    pruned = apply(
        applied.ledger, create_claim("y", later_key), wall_ms=WALL_MS + 20_000
    )
    assert KEY not in pruned.ledger.entries
    late = apply(pruned.ledger, create_claim("z"), LookUp(key=KEY), wall_ms=WALL_MS)
    assert late.verdicts == [Rejected(code=CODE_TOO_OLD)] * 2


def test_full_range_refuses_claims_and_still_takes_outcomes():
    """Guards against a ledger that grows past the platform's size limit: the outcomes
    of its claims could then not be recorded."""
    ledger, count, verdicts = create_empty_ledger(), 0, [Claimed()]
    while verdicts == [Claimed()]:
        applied = apply(ledger, create_claim("x", create_key(count)))
        ledger, verdicts, count = applied.ledger, applied.verdicts, count + 1
    assert verdicts == [Rejected(code=CODE_RANGE_FULL)]
    outcomes = [
        create_complete("x", create_key(number), {"text": "r" * 3_000})
        for number in range(count - 1)
    ]
    applied = apply(ledger, *outcomes)
    assert applied.verdicts == [Recorded()] * len(outcomes)
    assert len(json.dumps(encode_ledger(applied.ledger))) <= OBJECT_LIMIT_BYTES


def test_oversized_reply_is_recorded_as_completed_without_it():
    """Guards against losing an outcome because its reply is too large to store."""
    applied = apply(
        create_empty_ledger(),
        create_claim("x"),
        create_complete("x", reply={"t": "r" * 9_000}),
    )
    entry = applied.ledger.entries[KEY]
    assert (entry.state, entry.reply, entry.reply_omitted) == ("completed", {}, True)
