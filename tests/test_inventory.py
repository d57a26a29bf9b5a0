"""Upstreams missing from a new list: a few are removed, many at once are retained."""

import dataclasses

import pytest

from gooseberrymux import journal
from gooseberrymux.eras import combine_era
from gooseberrymux.inventory import MASS_REMOVAL_HOLD_MS, Inventory
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


class InventoryHarness:
    def __init__(self, **settings):
        self.clock = SteppingClock()
        self.kernel = Kernel(settings=create_settings(**settings), clock=self.clock)
        for name, fake in {
            "peers": FakePeers(),
            "membership": FakeMembership(("entry",)),
            "documents": FakeDocuments(),
            "departures": FakeDepartures(),
        }.items():
            self.kernel.register(name, fake)
        self.kernel.load(("inventory",))
        self.inventory = self.kernel.find("inventory", Inventory)
        self.era = 0
        self.generation = 0

    def publish(self, records):
        self.generation += 1
        generation = combine_era(self.era, self.generation)
        publish_upstreams(self.kernel, generation, records)

    def expire_retained(self):
        self.clock.now += MASS_REMOVAL_HOLD_MS
        self.inventory._expire_retained()

    def list_names(self):
        return sorted(record.name for record in self.inventory.list_upstreams())


@pytest.fixture
def inventory_harness():
    created = InventoryHarness()
    created.publish(RECORDS)
    return created


def test_an_upstream_that_leaves_is_gone_at_once(inventory_harness):
    inventory_harness.publish(RECORDS[2:])
    assert inventory_harness.list_names() == [record.name for record in RECORDS[2:]]


def test_upstreams_that_lapse_together_hold_until_they_are_back(inventory_harness):
    # Guards against having no upstreams right after an outage of the platform, when
    # its list is still empty.
    inventory_harness.publish([])
    assert len(inventory_harness.list_names()) == 10
    assert len(inventory_harness.inventory.list_service_upstreams("s0")) == 5
    back = [dataclasses.replace(record, slots=4) for record in RECORDS[:4]]
    inventory_harness.publish(back)
    assert inventory_harness.inventory.find_upstream("u0").slots == 4
    inventory_harness.expire_retained()
    assert inventory_harness.list_names() == [record.name for record in back]


# Guards against requests refused for lack of an upstream that came after the copy was
# made from which the platform was restored.
def test_an_upstream_holds_until_it_is_listed_again_after_the_platform_went_back(
    inventory_harness,
):
    inventory_harness.era, inventory_harness.generation = 1, 0
    inventory_harness.publish(RECORDS[:-1])
    assert len(inventory_harness.list_names()) == len(RECORDS)
    inventory_harness.expire_retained()
    assert len(inventory_harness.list_names()) == len(RECORDS) - 1
    inventory_harness.publish(RECORDS[:-2])
    assert len(inventory_harness.list_names()) == len(RECORDS) - 2


def test_the_records_of_a_service_are_the_same_object_until_they_change(
    inventory_harness,
):
    before = inventory_harness.inventory.list_service_upstreams("s0")
    inventory_harness.publish([*RECORDS[:9], dataclasses.replace(RECORDS[9], slots=9)])
    assert inventory_harness.inventory.list_service_upstreams("s0") is before
    assert inventory_harness.inventory.list_service_upstreams("s1")[-1].slots == 9
    assert inventory_harness.inventory.list_service_upstreams("unknown") == ()


def test_a_changed_list_is_logged_by_the_services_that_changed(
    inventory_harness, monkeypatch
):
    """Guards against a refusal for lack of upstreams that no log line explains."""
    lines = []
    monkeypatch.setattr(
        journal, "record_event", lambda event, **fields: lines.append((event, fields))
    )
    inventory_harness.publish(RECORDS)
    assert lines == []
    inventory_harness.publish(RECORDS[:-1])
    (fields,) = [fields for event, fields in lines if event == "inventory.changed"]
    assert fields["services"] == {"s1": dict.fromkeys(("u1", "u3", "u5", "u7"), "live")}
