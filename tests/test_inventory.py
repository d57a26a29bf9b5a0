"""Upstreams that the platform's list loses: a few at once leave, many have lapsed."""

import dataclasses

import pytest

from gooseberrymux import journal
from gooseberrymux.inventory import LAPSE_HOLD_MS, Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import UpstreamRecord
from harness import (
    FakeDocuments,
    FakeMembership,
    FakePeers,
    SteppingClock,
    create_settings,
    publish_upstreams,
)
from test_pool import FakeDepartures

RECORDS = [
    UpstreamRecord(
        name=f"u{number}",
        host="127.0.0.1",
        port=1,
        service=f"s{number % 2}",
        failure_domain="a",
    )
    for number in range(10)
]


class World:
    def __init__(self):
        self.clock = SteppingClock()
        self.kernel = Kernel(settings=create_settings(), clock=self.clock)
        for name, fake in {
            "peers": FakePeers(),
            "membership": FakeMembership(("entry",)),
            "documents": FakeDocuments(),
            "departures": FakeDepartures(),
        }.items():
            self.kernel.register(name, fake)
        self.kernel.load(("inventory",))
        self.inventory = self.kernel.find("inventory", Inventory)
        self.generation = 0

    def publish(self, records):
        self.generation += 1
        publish_upstreams(self.kernel, self.generation, records)

    def wait_out_the_hold(self):
        self.clock.now += LAPSE_HOLD_MS
        self.inventory._end_hold()

    def names(self):
        return sorted(record.name for record in self.inventory.list_upstreams())


@pytest.fixture
def world():
    opened = World()
    opened.publish(RECORDS)
    return opened


def test_an_upstream_that_leaves_is_gone_at_once(world):
    world.publish(RECORDS[2:])
    assert world.names() == [record.name for record in RECORDS[2:]]


def test_upstreams_that_lapse_together_hold_until_they_are_back(world):
    # Guards against an empty list right after an outage of the platform.
    world.publish([])
    assert len(world.names()) == 10
    assert len(world.inventory.list_service("s0")) == 5
    back = [dataclasses.replace(record, slots=4) for record in RECORDS[:4]]
    world.publish(back)
    assert world.inventory.describe("u0").slots == 4
    world.wait_out_the_hold()
    assert world.names() == [record.name for record in back]


def test_the_records_of_a_service_are_the_same_object_until_they_change(world):
    before = world.inventory.list_service("s0")
    world.publish([*RECORDS[:9], dataclasses.replace(RECORDS[9], slots=9)])
    assert world.inventory.list_service("s0") is before
    assert world.inventory.list_service("s1")[-1].slots == 9
    assert world.inventory.list_service("unknown") == ()


def test_a_changed_list_is_logged_by_the_services_that_changed(world, monkeypatch):
    """Guards against a refusal for want of upstreams that no log line explains."""
    lines = []
    monkeypatch.setattr(
        journal, "record_event", lambda event, **fields: lines.append((event, fields))
    )
    world.publish(RECORDS)
    assert lines == []
    world.publish(RECORDS[:-1])
    (fields,) = [fields for event, fields in lines if event == "inventory.changed"]
    assert fields["services"] == {"s1": dict.fromkeys(("u1", "u3", "u5", "u7"), "live")}
