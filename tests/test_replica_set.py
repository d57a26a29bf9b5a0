"""Choice of an upstream from the exchanges that the owner has observed."""

import dataclasses

from gooseberrymux.connections import Exchange
from gooseberrymux.forward_exchange import Broken, Declined, NotSent, Replied
from gooseberrymux.http_types import HttpReply
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.replica_set import ReplicaSet
from gooseberrymux.replicas import (
    EJECTION_LIMIT_MS,
    REASON_UPSTREAM_LEAVING,
    SLOW_FACTOR,
    LatencyEstimate,
)
from gooseberrymux.reported_load import REPORT_AGE_MS
from gooseberrymux.upstream_signals import ReportedLoad, UpstreamSignals
from harness import SteppingClock, create_reply_memory, create_settings
from test_pool import create_call

LATENCY = LatencyEstimate(median_ms=10.0, p95_ms=20.0)
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


class FakeInventory(Inventory):
    """An inventory whose upstreams the test sets."""

    def __init__(self):
        self.records = RECORDS
        self.leaving = set()

    def list_service_upstreams(self, service_name):
        return self.records

    def find_obstacle(self, record):
        return REASON_UPSTREAM_LEAVING if record.name in self.leaving else None


class Owner:
    """An owner's replica set on a clock and an inventory that the test sets."""

    def __init__(self, connection_limit=None):
        self.clock = SteppingClock()
        self.inventory = FakeInventory()
        self.replicas = ReplicaSet(
            service="s",
            kernel=Kernel(settings=create_settings(), clock=self.clock),
            reply_memory=create_reply_memory(),
            inventory=self.inventory,
            get_connection_limit=lambda name: connection_limit,
        )
        self.replicas.refresh()

    def choose(self, tried=(), may_probe=False):
        chosen = self.replicas.choose(
            tried=tried, may_probe=may_probe, now_ms=self.clock.now
        )
        return chosen.record.name if chosen else None

    def get_replica(self, name):
        replicas = self.replicas._replicas
        return replicas[name]

    def start_exchange(self, name):
        exchange = Exchange(
            call=create_call(), head=b"", deadline_ms=1e9, sent_ms=self.clock.now
        )
        self.get_replica(name).start_exchange(exchange, LATENCY, self.clock.now)
        return exchange

    def finish_exchange(self, name, exchange, result):
        self.get_replica(name).finish_exchange(exchange, result, self.clock.now)

    def run_exchange(self, name, result, elapsed_ms=10.0):
        exchange = self.start_exchange(name)
        self.clock.now += elapsed_ms
        self.finish_exchange(name, exchange, result)


def eject(owner, name):
    """Fails exchanges until the upstream is ejected, then waits for its probe."""
    while not owner.get_replica(name).is_ejected(owner.clock.now):
        owner.run_exchange(name, Broken(reason="reset"))
    owner.clock.now += EJECTION_LIMIT_MS


def abort_exchange(owner, name, exchange):
    exchange.aborted = True
    owner.finish_exchange(name, exchange, Broken(reason="aborted"))


def create_reply(elapsed_ms=10.0, status=200):
    reply = HttpReply(status=status, headers=(), body=b"")
    return Replied(reply=reply, proof="p", elapsed_ms=elapsed_ms)


def test_the_own_failure_domain_is_preferred_while_it_has_a_slot_and_is_no_slower():
    # Guards against traffic between failure domains that nobody is served better by.
    owner = Owner()
    for _ in range(2):
        assert owner.choose() == "u0"
        owner.start_exchange("u0")
    assert owner.choose() == "u1"
    assert owner.choose(tried={"u0", "u1"}) == "u2"


def test_small_differences_in_speed_are_no_reason_to_leave_the_failure_domain():
    owner = Owner()
    for _ in range(10):
        owner.run_exchange("u0", create_reply(elapsed_ms=13.0), elapsed_ms=13.0)
    assert owner.choose() == "u0"


def test_the_own_failure_domain_is_left_once_it_is_slower():
    owner = Owner()
    for _ in range(10):
        owner.run_exchange("u0", create_reply(elapsed_ms=20.0), elapsed_ms=20.0)
    assert owner.choose() == "u1"


def test_no_upstream_gets_more_than_its_slots_or_connections():
    for owner, free_slots in ((Owner(), 2), (Owner(connection_limit=1), 1)):
        for name in ("u0", "u1", "u2"):
            for _ in range(free_slots):
                owner.start_exchange(name)
        assert owner.choose() is None


def test_an_upstream_that_pauses_is_left_until_it_answers():
    # Guards against requests that pile up at a paused upstream.
    owner = Owner()
    exchange = owner.start_exchange("u0")
    owner.clock.now += 100
    assert owner.get_replica("u0").is_stalled(owner.clock.now)
    assert owner.choose() == "u1"
    owner.finish_exchange("u0", exchange, create_reply(100.0))
    assert not owner.get_replica("u0").is_stalled(owner.clock.now)


def test_an_answer_to_a_later_request_ends_the_pause():
    owner = Owner()
    owner.start_exchange("u0")
    owner.clock.now += 30
    owner.run_exchange("u0", create_reply())
    assert not owner.get_replica("u0").is_stalled(owner.clock.now)


def test_while_all_are_stalled_requests_wait():
    owner = Owner()
    for name in ("u0", "u1", "u2"):
        owner.start_exchange(name)
    owner.clock.now += 100
    assert owner.choose() is None


def test_the_only_upstream_gets_work_beside_a_long_exchange():
    """Guards against a queue that blocks while one request of a service takes long."""
    owner = Owner()
    owner.inventory.records = RECORDS[:1]
    owner.replicas.refresh()
    owner.start_exchange("u0")
    owner.clock.now += 100
    assert owner.get_replica("u0").is_stalled(owner.clock.now)
    assert owner.choose() == "u0"
    owner.start_exchange("u0")
    assert owner.choose() is None


def test_a_slow_upstream_gets_one_request_now_and_then():
    owner = Owner()
    for _ in range(12):
        owner.run_exchange("u0", create_reply(90.0), elapsed_ms=90.0)
    assert owner.get_replica("u0").get_slowness(owner.clock.now) > SLOW_FACTOR
    owner.inventory.records = RECORDS[:2]
    owner.replicas.refresh()
    running = [owner.start_exchange("u1"), owner.start_exchange("u1")]
    # u1 has no free slot, but waiting for it takes less time than a slow exchange.
    assert owner.choose(may_probe=True) is None
    for exchange in running:
        owner.finish_exchange("u1", exchange, create_reply())
    owner.clock.now += 1_001
    assert owner.choose(may_probe=True) == "u0"
    owner.start_exchange("u0")
    assert owner.choose(may_probe=True) == "u1"


def test_failures_in_a_row_eject_for_a_bounded_time():
    owner = Owner()
    for _ in range(3):
        owner.run_exchange("u0", Broken(reason="x"))
    assert owner.choose() == "u1"
    assert owner.get_replica("u0").is_ejected(owner.clock.now)
    for _ in range(10):
        owner.clock.now += 2_001
        replica = owner.get_replica("u0")
        assert replica.is_probe_due(owner.clock.now, replica.get_slowness(0.0))
        owner.run_exchange("u0", NotSent(reason="connect_failed"))
        assert owner.get_replica("u0").is_ejected(owner.clock.now)
    owner.clock.now += 2_001
    owner.run_exchange("u0", create_reply())
    assert not owner.get_replica("u0").is_ejected(owner.clock.now)


def test_only_one_probe_is_out_at_a_time():
    owner = Owner()
    for _ in range(3):
        owner.run_exchange("u0", Broken(reason="x"))
    owner.clock.now += 1_001
    assert owner.choose(may_probe=True) == "u0"
    owner.start_exchange("u0")
    assert owner.choose(may_probe=True) == "u1"


def test_one_that_sheds_or_fails_now_and_then_is_used_less():
    for result in (
        Declined(reason="shed", elapsed_ms=1.0),
        create_reply(1.0, status=500),
    ):
        owner = Owner()
        for _ in range(4):
            owner.run_exchange("u0", create_reply())
            owner.run_exchange("u0", result, elapsed_ms=1.0)
        assert owner.choose() == "u1"


def test_a_leaving_or_unlisted_upstream_is_not_chosen():
    owner = Owner()
    owner.inventory.leaving.add("u0")
    assert owner.choose() == "u1"
    owner.inventory.records = RECORDS[2:]
    owner.replicas.refresh()
    assert (owner.choose(), owner.replicas.names) == ("u2", ["u2"])


def test_another_run_of_an_upstream_starts_without_evidence():
    owner = Owner()
    for _ in range(3):
        owner.run_exchange("u0", Broken(reason="x"))
    other_run = dataclasses.replace(RECORDS[0], epoch=2)
    owner.inventory.records = (other_run, *RECORDS[1:])
    owner.replicas.refresh()
    assert owner.choose() == "u0"


def test_a_changed_record_of_the_same_run_keeps_its_evidence():
    owner = Owner()
    for _ in range(3):
        owner.run_exchange("u0", Broken(reason="x"))
    owner.inventory.records = (dataclasses.replace(RECORDS[0], slots=3), *RECORDS[1:])
    owner.replicas.refresh()
    assert owner.choose() == "u1"


def test_a_cold_upstream_comes_after_a_warm_one():
    owner = Owner()
    owner.inventory.records = (
        dataclasses.replace(RECORDS[0], cold=True),
        *RECORDS[1:],
    )
    owner.replicas.refresh()
    assert owner.choose() == "u1"


def test_a_slow_upstream_is_used_once_the_wait_for_a_sound_one_is_longer():
    """Guards against a queue that grows while a slow upstream is idle."""
    owner = Owner()
    for _ in range(20):
        owner.run_exchange("u1", create_reply(elapsed_ms=50.0), elapsed_ms=50.0)
    for name in ("u0", "u2"):
        owner.start_exchange(name)
        owner.start_exchange(name)
    now = owner.clock.now
    options = {"tried": (), "may_probe": False, "now_ms": now}
    assert owner.get_replica("u1").get_slowness(now) > 2.5
    assert owner.replicas.choose(**options, wait_medians=1.0) is None
    assert owner.replicas.choose(**options, wait_medians=9.0).record.name == "u1"


def test_a_probe_that_is_overtaken_is_followed_by_another():
    """Guards against an upstream that is ejected for good.

    The request that probes is hedged, and if the other upstream answers first, the
    exchange that probes is aborted without a result.
    """
    owner = Owner()
    eject(owner, "u0")
    assert owner.choose(may_probe=True) == "u0"
    exchange = owner.start_exchange("u0")
    owner.clock.now += 15
    abort_exchange(owner, "u0", exchange)
    assert owner.choose(may_probe=True) != "u0"
    owner.clock.now += EJECTION_LIMIT_MS
    assert owner.choose(may_probe=True) == "u0"
    owner.run_exchange("u0", create_reply())
    assert not owner.get_replica("u0").is_ejected(owner.clock.now)


def test_what_this_instance_did_not_send_says_nothing_about_the_upstream():
    # Guards against healthy upstreams that are ejected because this instance is late.
    owner = Owner()
    for reason in ("deadline_unreachable", REASON_UPSTREAM_LEAVING):
        for _ in range(20):
            owner.run_exchange("u0", NotSent(reason=reason))
    assert owner.choose() == "u0"


def report(owner, name, **load):
    signals = UpstreamSignals(load=ReportedLoad(slots=2.0, **load))
    result = dataclasses.replace(create_reply(), signals=signals)
    owner.run_exchange(name, result)


def test_an_upstream_where_requests_of_others_wait_is_left_until_the_report_is_old():
    """Guards against requests that queue behind those of other senders.

    Load: another sender fills the upstream at home, which the owner can't see.
    """
    owner = Owner()
    report(owner, "u0", running=2.0, waiting=2.0)
    assert owner.choose() == "u1"
    owner.clock.now += REPORT_AGE_MS
    assert owner.choose() == "u0"


def test_own_requests_in_a_report_are_no_load_of_others():
    # Guards against an owner that avoids an upstream because of its own requests.
    owner = Owner()
    running = owner.start_exchange("u0")
    report(owner, "u0", running=1.0, waiting=1.0)
    assert owner.get_replica("u0").count_occupants(owner.clock.now) == 1.0
    owner.finish_exchange("u0", running, create_reply())
    assert owner.choose() == "u0"


def test_a_reported_slowdown_counts_at_once_and_only_beyond_the_evidence():
    """Guards against a slowdown that is noticed late, or that is counted twice.

    Load: an upstream is 2.5 times as slow for a time, and says so.
    """
    owner = Owner()
    report(owner, "u0", running=1.0, waiting=0.0, percent=100.0)
    report(owner, "u0", running=1.0, waiting=0.0, percent=240.0)
    assert owner.choose() == "u1"
    owner.clock.now += REPORT_AGE_MS
    assert owner.choose() == "u0"
    # Slow replies and their figures together say no more than the replies alone.
    slow = create_reply(elapsed_ms=24.0)
    load = ReportedLoad(running=1.0, waiting=0.0, slots=2.0, percent=240.0)
    slow = dataclasses.replace(slow, signals=UpstreamSignals(load=load))
    for _ in range(30):
        owner.run_exchange("u0", slow, elapsed_ms=24.0)
    assert owner.get_replica("u0").get_slowness(owner.clock.now) < 2.6


def test_absurd_reports_are_bounded_and_age_out():
    # Guards against one wrong report that keeps traffic away for good.
    owner = Owner()
    report(owner, "u0", running=1e308, waiting=1e308, percent=1e300)
    assert owner.choose() == "u1"
    owner.clock.now += REPORT_AGE_MS
    assert owner.choose() == "u0"
    assert owner.get_replica("u0").count_occupants(owner.clock.now) == 0.0
