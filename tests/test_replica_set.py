"""Which upstream of a service gets a request, by what its owner has seen."""

import dataclasses

from gooseberrymux.connections import Exchange
from gooseberrymux.forward_exchange import Broken, Declined, NotSent, Replied
from gooseberrymux.http_records import HttpReply
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.replica_set import ReplicaSet
from gooseberrymux.replicas import SLOW_FACTOR, Usual
from harness import SteppingClock, create_settings
from test_pool import create_call

USUAL = Usual(median_ms=10.0, high_ms=20.0)
RECORDS = tuple(
    UpstreamRecord(
        name=f"u{number}",
        host="127.0.0.1",
        port=1,
        service="s",
        failure_domain=domain,
        slots=2,
    )
    for number, domain in enumerate("abc")
)


class FixedInventory(Inventory):
    """A list that the test sets."""

    def __init__(self):
        self.records = RECORDS
        self.leaving = set()

    def list_service_upstreams(self, service_name):
        return self.records

    def is_leaving(self, record):
        return record.name in self.leaving


class World:
    def __init__(self, limit=None):
        self.clock = SteppingClock()
        self.inventory = FixedInventory()
        self.replicas = ReplicaSet(
            service="s",
            kernel=Kernel(settings=create_settings(), clock=self.clock),
            inventory=self.inventory,
            get_connections=lambda name: limit,
        )
        self.replicas.refresh()

    def choose(self, tried=(), may_probe=False):
        chosen = self.replicas.choose(
            tried=tried, may_probe=may_probe, now_ms=self.clock.now
        )
        return chosen.record.name if chosen else None

    def get(self, name):
        usable = self.replicas._replicas
        return usable[name]

    def begin(self, name):
        exchange = Exchange(
            call=create_call(), head=b"", deadline_ms=1e9, sent_ms=self.clock.now
        )
        self.get(name).begin(exchange, USUAL, self.clock.now)
        return exchange

    def end(self, name, exchange, result):
        self.get(name).end(exchange, result, self.clock.now)

    def observe(self, name, result, took_ms=10.0):
        exchange = self.begin(name)
        self.clock.now += took_ms
        self.end(name, exchange, result)


def replied(took_ms=10.0, status=200):
    reply = HttpReply(status=status, headers=(), body=b"")
    return Replied(reply=reply, proof="p", elapsed_ms=took_ms)


def test_the_own_failure_domain_is_preferred_while_it_is_no_slower():
    world = World()
    assert world.choose() == "u0"
    world.begin("u0")
    assert world.choose() == "u1"
    assert world.choose(tried={"u0", "u1"}) == "u2"


def test_the_own_failure_domain_is_left_once_it_is_slower():
    world = World()
    for _ in range(10):
        world.observe("u0", replied(took_ms=20.0), took_ms=20.0)
    assert world.choose() == "u1"


def test_no_upstream_gets_more_than_its_slots_or_connections():
    for world, room in ((World(), 2), (World(limit=1), 1)):
        for name in ("u0", "u1", "u2"):
            for _ in range(room):
                world.begin(name)
        assert world.choose() is None


def test_an_upstream_that_pauses_is_left_until_it_answers():
    # Guards against a queue that builds up behind a paused upstream.
    world = World()
    exchange = world.begin("u0")
    world.clock.now += 100
    assert world.get("u0").is_stalled(world.clock.now)
    assert world.choose() == "u1"
    world.end("u0", exchange, replied(100.0))
    assert not world.get("u0").is_stalled(world.clock.now)


def test_an_answer_to_a_later_request_ends_the_pause():
    world = World()
    world.begin("u0")
    world.clock.now += 30
    world.observe("u0", replied())
    assert not world.get("u0").is_stalled(world.clock.now)


def test_while_all_are_stalled_requests_wait():
    world = World()
    for name in ("u0", "u1", "u2"):
        world.begin(name)
    world.clock.now += 100
    assert world.choose() is None


def test_the_only_upstream_gets_work_beside_a_long_exchange():
    """Guards against a queue that stands still while one request takes long."""
    world = World()
    world.inventory.records = RECORDS[:1]
    world.replicas.refresh()
    world.begin("u0")
    world.clock.now += 100
    assert world.get("u0").is_stalled(world.clock.now)
    assert world.choose() == "u0"
    world.begin("u0")
    assert world.choose() is None


def test_a_slow_upstream_gets_one_request_now_and_then():
    world = World()
    for _ in range(12):
        world.observe("u0", replied(90.0), took_ms=90.0)
    assert world.get("u0").get_slowness(world.clock.now) > SLOW_FACTOR
    world.inventory.records = RECORDS[:2]
    world.replicas.refresh()
    busy = [world.begin("u1"), world.begin("u1")]
    # The other one is busy, but a wait for it is shorter.
    assert world.choose(may_probe=True) is None
    for exchange in busy:
        world.end("u1", exchange, replied())
    world.clock.now += 1_001
    assert world.choose(may_probe=True) == "u0"
    world.begin("u0")
    assert world.choose(may_probe=True) == "u1"


def test_failures_in_a_row_eject_for_a_bounded_time():
    world = World()
    for _ in range(3):
        world.observe("u0", Broken(reason="x"))
    assert world.choose() == "u1"
    assert world.get("u0").is_ejected(world.clock.now)
    for _ in range(10):
        world.clock.now += 2_001
        assert world.get("u0").is_probe_due(world.clock.now)
        world.observe("u0", NotSent(reason="connect_failed"))
        assert world.get("u0").is_ejected(world.clock.now)
    world.clock.now += 2_001
    world.observe("u0", replied())
    assert not world.get("u0").is_ejected(world.clock.now)


def test_only_one_probe_is_out_at_a_time():
    world = World()
    for _ in range(3):
        world.observe("u0", Broken(reason="x"))
    world.clock.now += 1_001
    assert world.choose(may_probe=True) == "u0"
    world.begin("u0")
    assert world.choose(may_probe=True) == "u1"


def test_one_that_sheds_or_fails_now_and_then_is_used_less():
    for result in (
        Declined(reason="shed", elapsed_ms=1.0),
        replied(1.0, status=500),
    ):
        world = World()
        for _ in range(4):
            world.observe("u0", replied())
            world.observe("u0", result, took_ms=1.0)
        assert world.choose() == "u1"


def test_a_leaving_or_unlisted_upstream_is_not_chosen():
    world = World()
    world.inventory.leaving.add("u0")
    assert world.choose() == "u1"
    world.inventory.records = RECORDS[2:]
    world.replicas.refresh()
    assert (world.choose(), world.replicas.names) == ("u2", ["u2"])


def test_another_run_of_an_upstream_starts_without_evidence():
    world = World()
    for _ in range(3):
        world.observe("u0", Broken(reason="x"))
    again = dataclasses.replace(RECORDS[0], epoch=2)
    world.inventory.records = (again, *RECORDS[1:])
    world.replicas.refresh()
    assert world.choose() == "u0"


def test_a_changed_record_of_the_same_run_keeps_its_evidence():
    world = World()
    for _ in range(3):
        world.observe("u0", Broken(reason="x"))
    world.inventory.records = (dataclasses.replace(RECORDS[0], slots=3), *RECORDS[1:])
    world.replicas.refresh()
    assert world.choose() == "u1"


def test_a_cold_upstream_comes_after_a_warm_one():
    world = World()
    world.inventory.records = (
        dataclasses.replace(RECORDS[0], cold=True),
        *RECORDS[1:],
    )
    world.replicas.refresh()
    assert world.choose() == "u1"


def test_a_slow_upstream_is_used_once_the_wait_for_a_sound_one_is_longer():
    """Guards against a queue that grows while a slow upstream stands idle."""
    world = World()
    for _ in range(20):
        world.observe("u1", replied(took_ms=50.0), took_ms=50.0)
    for name in ("u0", "u2"):
        world.begin(name)
        world.begin(name)
    now = world.clock.now
    options = {"tried": (), "may_probe": False, "now_ms": now}
    assert world.get("u1").get_slowness(now) > 2.5
    assert world.replicas.choose(**options, waits=1.0) is None
    assert world.replicas.choose(**options, waits=9.0).record.name == "u1"
