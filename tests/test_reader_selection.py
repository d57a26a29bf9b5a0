"""Who reads the platform in a simulated fleet, limited by the staleness bound."""

import heapq
import itertools
import random

import pytest

from control_fakes import FixedMembership, create_kernel
from gooseberrymux.proofs import Proof, ProofRecord
from gooseberrymux.reader_selection import Read, ReaderSelection, Wait
from gooseberrymux.staleness import CALL_SHARE, RETRY_SHARE, WATCH_SHARE

# Time in which a change or a proof reaches all peers.
SPREAD_MS = 400.0
ANSWER_MS = 20.0
SIZES = (1, 2, 7, 65, 195)


class ListedMembership(FixedMembership):
    """A membership that builds its records once."""

    __slots__ = ("_live",)

    def __init__(self, names):
        super().__init__(names)
        self._live = super().list_live()

    def list_live(self):
        return self._live


class Fleet:
    """Instances whose calls to the platform are answered, or get no answer.

    Attributes:
        now_ms: The time.
        unanswered: Names of the instances whose calls get no answer.
        versions: Version in force, by instance.
        calls: Calls to the platform: time and name of the caller.
    """

    def __init__(self, size, *, seed=1):
        names = [f"entry-{number}" for number in range(size)]
        self.now_ms = 0.0
        self.platform_version = 1
        self.unanswered = set()
        self.versions = dict.fromkeys(names, 1)
        self.calls = []
        self.random = random.Random(seed)
        self.kernel = create_kernel()
        self.settings = self.kernel.settings.platform
        self.bound_ms = self.settings.staleness_bound_ms
        membership = ListedMembership(names)
        self.proofs = {
            name: ProofRecord(now_ms=0.0, lifetime_ms=2 * self.bound_ms)
            for name in names
        }
        self.selections = {
            name: ReaderSelection(
                kernel=self.kernel,
                name=name,
                membership=membership,
                proofs=self.proofs[name],
            )
            for name in names
        }
        self._revisions = dict.fromkeys(names, 0)
        self._sequence = itertools.count(1)
        self._events = []
        for name in names:
            self._schedule(self.random.uniform(0, 300), self._step, name)

    def run_until(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, action, arguments = heapq.heappop(self._events)
            self._set_time(at_ms)
            action(*arguments)
        self._set_time(until_ms)

    def list_readers(self):
        """Returns the names that have called in the last period of a reader."""
        since_ms = self.now_ms - 1.2 * WATCH_SHARE * self.bound_ms
        return {name for at_ms, name in self.calls if at_ms > since_ms}

    def _set_time(self, at_ms):
        self.kernel.clock.sleep_ms(at_ms - self.now_ms)
        self.now_ms = at_ms

    def _schedule(self, delay_ms, action, *arguments):
        event = (self.now_ms + delay_ms, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def _step(self, name):
        match self.selections[name].choose_step():
            case Wait(duration_ms=duration_ms):
                self._revisions[name] = 0
                self._schedule(duration_ms, self._step, name)
            case Read(is_substitute=is_substitute):
                self._read(name, is_substitute)

    def _read(self, name, is_substitute):
        self.calls.append((self.now_ms, name))
        if name in self.unanswered:
            if is_substitute:
                self.selections[name].record_read(is_answered=False)
            self._revisions[name] = 0
            share = RETRY_SHARE if is_substitute else CALL_SHARE
            self._schedule(share * self.bound_ms, self._step, name)
            return
        is_list = not self._revisions[name]
        wait_ms = ANSWER_MS if is_list else WATCH_SHARE * self.bound_ms
        self._schedule(wait_ms, self._finish_read, name, is_substitute)

    def _finish_read(self, name, is_substitute):
        if name in self.unanswered:
            self._schedule(CALL_SHARE * self.bound_ms, self._step, name)
            return
        if is_substitute:
            self.selections[name].record_read(is_answered=True)
        self._revisions[name] = self.platform_version
        proof = (name, next(self._sequence), self.now_ms, self.platform_version)
        for target in self.versions:
            delay_ms = 0.0 if target == name else self.random.uniform(1, SPREAD_MS)
            self._schedule(delay_ms, self._receive, target, *proof)
        self._schedule(0.0, self._step, name)

    def _receive(self, target, reader, sequence, proven_ms, version):
        self.versions[target] = max(self.versions[target], version)
        self.proofs[target].record(
            Proof(reader=reader, incarnation=1, sequence=sequence, proven_ms=proven_ms)
        )


def list_by_rank(fleet):
    return sorted(fleet.versions, key=lambda n: len(fleet.selections[n]._list_better()))


def find_apply_ms(fleet):
    """Changes the platform now; returns when the change is in force everywhere."""
    fleet.platform_version += 1
    changed_ms = fleet.now_ms
    while set(fleet.versions.values()) != {fleet.platform_version}:
        fleet.run_until(fleet.now_ms + 50)
        if fleet.now_ms > changed_ms + 2 * fleet.bound_ms:
            break
    return fleet.now_ms - changed_ms


# Guards against changes that stay unread when the platform stops to answer all
# instances but a few, whichever these are: the incident of issue 35.
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("share", [0.0, 0.35, 0.7, 0.95, 1.0])
@pytest.mark.parametrize("lead_ms", [0.0, 700.0, 9_000.0])
def test_a_change_is_in_force_in_time_if_any_instance_can_read(size, share, lead_ms):
    for seed in range(3):
        fleet = Fleet(size, seed=seed)
        fleet.run_until(20_000 + seed * 777)
        # The last instances by rank are those that can still read.
        count = min(size - 1, round(share * size))
        fleet.unanswered = set(list_by_rank(fleet)[:count])
        fleet.run_until(fleet.now_ms + lead_ms)
        assert find_apply_ms(fleet) < fleet.bound_ms


def test_a_second_cut_that_leaves_other_instances_is_noticed_in_time():
    # Guards against an instance that took the readers' place and is then cut off too.
    fleet = Fleet(65)
    fleet.run_until(20_000)
    for _ in range(4):
        able = [name for name in fleet.versions if name not in fleet.unanswered]
        fleet.unanswered = set(fleet.random.sample(list(fleet.versions), 45))
        fleet.unanswered |= set(able[:10])
        assert find_apply_ms(fleet) < fleet.bound_ms
        fleet.run_until(fleet.now_ms + 1_300)


@pytest.mark.parametrize("size", SIZES)
def test_few_instances_read_while_the_platform_answers(size):
    # Guards against calls to the platform that grow with the fleet.
    fleet = Fleet(size)
    fleet.run_until(60_000)
    watchers = min(size, fleet.settings.watchers)
    assert fleet.list_readers() == set(list_by_rank(fleet)[:watchers])


def test_readers_that_are_answered_again_take_their_place_back():
    fleet = Fleet(20)
    fleet.run_until(20_000)
    before = fleet.list_readers()
    fleet.unanswered = set(before)
    fleet.run_until(fleet.now_ms + 30_000)
    able = fleet.list_readers() - before
    assert 0 < len(able) <= len(before) + 1
    fleet.unanswered = set()
    fleet.run_until(fleet.now_ms + 30_000)
    assert fleet.list_readers() == before


@pytest.mark.parametrize("size", SIZES)
def test_each_instance_calls_a_bounded_number_of_times_while_none_is_answered(size):
    # Guards against an outage in which the calls of the fleet grow without bound, or
    # in which an instance that could read does not try.
    fleet = Fleet(size)
    fleet.run_until(20_000)
    fleet.unanswered = set(fleet.versions)
    fleet.run_until(fleet.now_ms + 2 * fleet.bound_ms)
    fleet.calls.clear()
    fleet.run_until(fleet.now_ms + 4 * fleet.bound_ms)
    for name in fleet.versions:
        calls = sum(caller == name for _, caller in fleet.calls)
        assert 4 <= calls <= 4 / CALL_SHARE
