"""Which instances watch the platform, also while some of them are cut off from it."""

import pytest

from control_fakes import FixedMembership, InMemoryPeers, create_kernel
from gooseberrymux.watchers import CANDIDATES, CUT_OFF_MS, Watchers

FLEET = [f"entry-{number}" for number in range(20)]
COUNT = create_kernel().settings.platform.watchers


class World:
    """The watchers of all instances, whose messages arrive at once."""

    def __init__(self, names=FLEET):
        self.queue = []
        self.changes = []
        self.peers = {}
        self.kernels = {name: create_kernel(name) for name in names}
        self.watchers = {name: self.create_watchers(name, names) for name in names}

    def create_watchers(self, name, names):
        self.peers[name] = InMemoryPeers(name=name, network=self)
        return Watchers(
            kernel=self.kernels[name],
            peers=self.peers[name],
            membership=FixedMembership(list(names)),
            on_change=lambda: self.changes.append(name),
        )

    def note(self, name, *, is_reached):
        self.watchers[name].note_own(is_reached=is_reached)
        for sender, target, message in self.queue:
            self.peers[target].handlers[type(message)](sender, message)
        self.queue.clear()

    def list_watchers(self, *, but=()):
        return [
            name
            for name, watchers in self.watchers.items()
            if name not in but and watchers.is_watcher()
        ]

    def pass_time(self, duration_ms):
        for kernel in self.kernels.values():
            kernel.clock.sleep_ms(duration_ms)


def test_few_members_watch_and_others_take_over_when_one_is_gone():
    # Guards against a fleet in which every instance, or none, watches.
    watchers = World().list_watchers()
    assert len(watchers) == COUNT
    left = [name for name in FLEET if name != watchers[0]]
    after = World(left).list_watchers()
    assert watchers[1] in after
    assert len(after) == COUNT


def test_others_take_over_from_watchers_that_are_all_cut_off():
    # Guards against a fleet that hears no change because the platform does not answer
    # any of its watchers, although it answers all others.
    world = World()
    cut_off = world.list_watchers()
    for name in cut_off:
        world.note(name, is_reached=False)
    found = world.list_watchers(but=cut_off)
    assert len(found) == COUNT
    # Those that take over are woken for it.
    assert set(found) <= set(world.changes)
    for name in cut_off:
        assert world.watchers[name].is_watcher(), "it has to notice the end of the cut"


def test_watcher_that_reaches_the_platform_again_takes_its_place_back():
    world = World()
    before = world.list_watchers()
    world.note(before[0], is_reached=False)
    assert len(world.list_watchers(but=before[:1])) == COUNT
    world.note(before[0], is_reached=True)
    assert world.list_watchers() == before


def test_what_a_member_said_of_its_reach_ends_if_it_is_not_repeated():
    # Guards against a watcher that is left out for good because its last word was lost.
    world = World()
    before = world.list_watchers()
    world.note(before[0], is_reached=False)
    world.pass_time(CUT_OFF_MS)
    assert world.list_watchers() == before


def test_success_is_told_only_after_a_failure():
    # Guards against a message to the candidates with each call of a watcher.
    world = World()
    name = world.list_watchers()[0]
    world.note(name, is_reached=True)
    assert world.peers[name].sent == []


@pytest.mark.parametrize("size", [1, 3, 20])
def test_while_the_platform_is_down_a_bounded_number_keeps_trying(size):
    # Guards against an outage in which the whole fleet calls the platform, or none.
    world = World(FLEET[:size])
    trying = set()
    while more := set(world.list_watchers()) - trying:
        for name in more:
            world.note(name, is_reached=False)
        trying |= more
    assert len(trying) == min(size, CANDIDATES * COUNT)
    assert set(world.list_watchers()) == trying
