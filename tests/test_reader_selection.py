"""Selection of the instances that watch the platform, also while some are cut off."""

import pytest

from control_fakes import FixedMembership, InMemoryPeers, create_kernel
from gooseberrymux.watcher_selection import (
    CANDIDATES_PER_WATCHER,
    CUT_OFF_TTL_MS,
    WatcherSelection,
)

FLEET = [f"entry-{number}" for number in range(20)]
WATCHER_COUNT = create_kernel().settings.platform.watchers


class SelectionHarness:
    """The watcher selections of all instances; reports are delivered immediately."""

    def __init__(self, names=FLEET):
        self.queue = []
        self.notified = []
        self.peers = {}
        self.kernels = {name: create_kernel(name) for name in names}
        self.selections = {name: self.create_selection(name, names) for name in names}

    def create_selection(self, name, names):
        self.peers[name] = InMemoryPeers(name=name, network=self)
        return WatcherSelection(
            kernel=self.kernels[name],
            peers=self.peers[name],
            membership=FixedMembership(list(names)),
            on_change=lambda: self.notified.append(name),
        )

    def record_reach(self, name, *, is_reached):
        self.selections[name].record_own_reach(is_reached=is_reached)
        for sender, target, message in self.queue:
            self.peers[target].handlers[type(message)](sender, message)
        self.queue.clear()

    def list_watchers(self, *, excluded=()):
        return [
            name
            for name, selection in self.selections.items()
            if name not in excluded and selection.is_watcher()
        ]

    def advance_clocks(self, duration_ms):
        for kernel in self.kernels.values():
            kernel.clock.sleep_ms(duration_ms)


def test_few_members_watch_and_others_take_over_when_one_is_gone():
    # Guards against a fleet in which every instance, or none, watches.
    watchers = SelectionHarness().list_watchers()
    assert len(watchers) == WATCHER_COUNT
    remaining = [name for name in FLEET if name != watchers[0]]
    after = SelectionHarness(remaining).list_watchers()
    assert watchers[1] in after
    assert len(after) == WATCHER_COUNT


def test_others_take_over_from_watchers_that_are_all_cut_off():
    # Guards against a fleet that receives no changes because the platform does not
    # answer any of its watchers, although it would answer all other instances.
    harness = SelectionHarness()
    cut_off = harness.list_watchers()
    for name in cut_off:
        harness.record_reach(name, is_reached=False)
    replacements = harness.list_watchers(excluded=cut_off)
    assert len(replacements) == WATCHER_COUNT
    # The new watchers are notified, so that their threads start to watch.
    assert set(replacements) <= set(harness.notified)
    for name in cut_off:
        assert harness.selections[name].is_watcher(), "must notice that calls succeed"


def test_watcher_that_reaches_the_platform_again_takes_its_place_back():
    harness = SelectionHarness()
    before = harness.list_watchers()
    harness.record_reach(before[0], is_reached=False)
    assert len(harness.list_watchers(excluded=before[:1])) == WATCHER_COUNT
    harness.record_reach(before[0], is_reached=True)
    assert harness.list_watchers() == before


def test_what_a_member_said_of_its_reach_ends_if_it_is_not_repeated():
    # Guards against a watcher that is excluded forever because its report of a success
    # was lost.
    harness = SelectionHarness()
    before = harness.list_watchers()
    harness.record_reach(before[0], is_reached=False)
    harness.advance_clocks(CUT_OFF_TTL_MS)
    assert harness.list_watchers() == before


def test_success_is_told_only_after_a_failure():
    # Guards against a message to all candidates after each call of a watcher.
    harness = SelectionHarness()
    name = harness.list_watchers()[0]
    harness.record_reach(name, is_reached=True)
    assert harness.peers[name].sent == []


@pytest.mark.parametrize("size", [1, 3, 20])
def test_while_the_platform_is_down_a_bounded_number_keeps_trying(size):
    # Guards against an outage in which the whole fleet calls the platform, or none.
    harness = SelectionHarness(FLEET[:size])
    cut_off = set()
    while new_watchers := set(harness.list_watchers()) - cut_off:
        for name in new_watchers:
            harness.record_reach(name, is_reached=False)
        cut_off |= new_watchers
    assert len(cut_off) == min(size, CANDIDATES_PER_WATCHER * WATCHER_COUNT)
    assert set(harness.list_watchers()) == cut_off
