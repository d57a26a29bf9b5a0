"""Claims that a platform loses when it goes back to an earlier state."""

from control_fakes import FaultyPlatform, InstantClock, create_kernel
from gooseberrymux.group_commit import Committer, PendingCommand
from gooseberrymux.ledger import Claimed, Found
from gooseberrymux.lost_claims import restore_lost_claims
from gooseberrymux.platform_objects import PlatformObject
from order_simulation import KEYS
from test_ledger import (
    apply,
    create_claim,
    create_complete,
    create_empty_ledger,
    create_release,
)

RANGE = "claims/0"


class RangePlatform(FaultyPlatform):
    """A platform whose single object is the range of the test."""

    def _get_version(self, version):
        value = self.history[version - 1] if version else {}
        return PlatformObject(name=RANGE, version=version, value=value)


def commit(committer, command):
    pending = PendingCommand(command=command, until_ms=1e9, clock=InstantClock())
    (verdict,) = committer._apply_and_write([pending])
    return verdict


def create_committer(platform):
    kernel = create_kernel()
    return Committer(name=RANGE, kernel=kernel, platform=platform)


# Guards against an order that runs twice because its claim is gone after a restore.
def test_a_claim_holds_after_the_platform_went_back():
    platform = RangePlatform()
    committer = create_committer(platform)
    assert commit(committer, create_claim("x", KEYS[0])) == Claimed()
    before = list(platform.history)
    assert commit(committer, create_claim("y", KEYS[1])) == Claimed()
    platform.history = [*before, *before]
    verdict = commit(committer, create_claim("z", KEYS[1]))
    assert isinstance(verdict, Found) and verdict.entry.attempt == "y"
    assert set(platform.history[-1]["claims"]) == {str(KEYS[0]), str(KEYS[1])}


# Guards against claims that are forgotten by the failed commits of the outage itself.
def test_a_claim_holds_after_an_outage_and_a_restore():
    platform = RangePlatform()
    committer = create_committer(platform)
    assert commit(committer, create_claim("x")) == Claimed()
    platform.faults.extend(["down"] * 3)
    commit(committer, create_claim("y", KEYS[1]))
    platform.history = []
    verdict = commit(committer, create_claim("z"))
    assert isinstance(verdict, Found) and verdict.entry.attempt == "x"


def test_an_outcome_that_was_lost_is_kept():
    claimed = apply(create_empty_ledger(), create_claim("x")).ledger
    completed = apply(claimed, create_complete("x")).ledger
    restored = restore_lost_claims(claimed, completed)
    assert restored.entries == completed.entries


# Guards against an older state that replaces a claim of a later attempt.
def test_a_claim_of_another_attempt_is_not_replaced():
    released = apply(
        create_empty_ledger(), create_claim("x"), create_release("x")
    ).ledger
    claimed = apply(released, create_claim("y")).ledger
    assert restore_lost_claims(claimed, released) is claimed


def test_claims_that_were_pruned_by_age_stay_away():
    known = apply(create_empty_ledger(), create_claim("x")).ledger
    found = create_empty_ledger()
    found.pruned_before_ms = 1 << 60
    assert restore_lost_claims(found, known) is found
