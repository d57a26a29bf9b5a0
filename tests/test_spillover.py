"""Which requests leave their owner's failure domain, under loads that move."""

import dataclasses
import itertools
import math

import pytest

from gooseberrymux import journal
from gooseberrymux.connections import Connection
from gooseberrymux.forward_exchange import Broken, Replied
from gooseberrymux.forward_messages import PartReplied
from gooseberrymux.http_types import HttpReply
from gooseberrymux.kernel import Kernel
from gooseberrymux.pending_requests import ANSWER_RESERVE_MS, PendingRequest
from gooseberrymux.pool import Pool, PoolDependencies
from gooseberrymux.replica_set import ReplicaSet
from gooseberrymux.replicas import LatencyEstimate
from gooseberrymux.route_latencies import RouteLatencies
from gooseberrymux.spillover import Adaptive, Demand, DomainLoad, Spillover
from gooseberrymux.timers import Timers
from harness import SteppingClock, create_reply_memory, create_settings
from test_pool import create_call
from test_replica_set import RECORDS, FakeInventory

MEDIAN_MS = 12.0
# Home takes this many requests a second with its 2 slots.
HOME_PER_S = 2_000.0 / MEDIAN_MS
CROSSING_MS = 2.8
LATENCY = LatencyEstimate(median_ms=MEDIAN_MS, p95_ms=2 * MEDIAN_MS)
TARGET_MS = 133.0
LIMIT_MS = 804.0
WAVE_MS = 13_000.0
REPLY = HttpReply(status=200, headers=(), body=b"")


class FakeTimers(Timers):
    def __init__(self, clock):
        self.clock = clock

    def call_at(self, due_ms, call):
        self.clock.schedule(max(0.0, due_ms - self.clock.now), call)


class FakeConnection(Connection):
    """Runs an exchange for as long as the load says, on the test's clock."""

    def __init__(self, load, name):
        self.load, self.name = load, name

    def start_exchange(self, exchange):
        elapsed_ms = self.load.get_duration_ms(self.name, self.load.clock.now)
        elapsed_ms += 0.0 if self.name == "u0" else CROSSING_MS
        if exchange.cause == "first":
            self.load.sent_to.append(self.name)
        result = Replied(reply=REPLY, proof="p", elapsed_ms=elapsed_ms)
        self.load.clock.schedule(elapsed_ms, lambda: self.finish(exchange, result))

    def abort(self, exchange):
        exchange.aborted = True
        self.load.clock.schedule(0.0, lambda: self.finish(exchange, Broken(reason="")))

    def finish(self, exchange, result):
        if exchange in exchange.replica.in_flight:
            self.load.pool._handle_result(self, exchange, result)


class Load:
    """A pool without a network: u0 is at home, u1 and u2 are remote; 2 slots each."""

    def __init__(self, monkeypatch, *, spillover="adaptive", records=RECORDS):
        self.clock = SteppingClock()
        self.inventory = FakeInventory()
        self.inventory.records = records
        self.get_duration_ms = lambda name, now: MEDIAN_MS
        self.sent_to, self.shares, self.outcomes = [], [], []
        settings = create_settings(forwarding={"spillover": spillover})
        monkeypatch.setattr(
            ReplicaSet,
            "acquire_connection",
            lambda replicas, chosen, **_: FakeConnection(self, chosen.record.name),
        )
        dependencies = PoolDependencies(
            kernel=Kernel(settings=settings, clock=self.clock),
            inventory=self.inventory,
            timers=FakeTimers(self.clock),
            latencies=RouteLatencies(),
            reply_memory=create_reply_memory(),
            get_connection_limit=lambda name: None,
            report_leaving=lambda record: None,
        )
        self.pool = Pool(service="s", dependencies=dependencies)

    def submit(self):
        call = create_call(target_ms=TARGET_MS, remaining_ms=LIMIT_MS)
        arrived = self.clock.now
        request = PendingRequest(
            call=call,
            on_outcome=lambda outcome: self.outcomes.append(
                (self.clock.now - arrived, outcome)
            ),
            request_attempt=lambda message: None,
            requester="",
            now_ms=arrived,
            head=b"",
            latency=LATENCY,
        )
        self.pool.submit(request)
        self.clock.schedule(LIMIT_MS, lambda: self.pool.expire(call.id, requester=""))
        self.shares.append(self.pool.spillover_share)

    def advance(self, until_ms):
        while self.clock.now < until_ms:
            self.clock.wait(None, until_ms - self.clock.now)

    def run(self, duration_ms, per_s):
        """Submits requests at a rate, which may be a function of the time so far."""
        began = arrival = self.clock.now
        while arrival < began + duration_ms:
            self.advance(arrival)
            self.submit()
            rate = per_s(arrival - began) if callable(per_s) else per_s
            arrival += 1_000.0 / rate
        self.advance(self.clock.now + LIMIT_MS)
        return self

    def count_late(self):
        """Counts the requests without a reply in time for the latency target."""
        return sum(
            elapsed_ms > TARGET_MS - ANSWER_RESERVE_MS
            or not isinstance(outcome, PartReplied)
            for elapsed_ms, outcome in self.outcomes
        )

    def count_remote(self):
        return sum(name != "u0" for name in self.sent_to)

    def count_turns(self):
        """Counts how often the share began to rise after it fell, or the reverse."""
        pairs = itertools.pairwise(self.shares)
        rises = [after > before for before, after in pairs if after != before]
        return sum(one != other for one, other in itertools.pairwise(rises))


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        journal, "record_event", lambda event, **fields: found.append((event, fields))
    )
    return found


def count_lines(lines):
    return sum(event == "spillover.share" for event, _ in lines)


def run_fixed(monkeypatch, duration_ms, per_s, **given):
    return Load(monkeypatch, spillover="fixed", **given).run(duration_ms, per_s)


def test_demand_in_waves(monkeypatch, lines):
    """Load: demand with a period of 13 s and a swing of 0.55, crest above home.

    Guards against late requests, a share that turns more than twice in a period, and
    one log line for each step.
    """

    def wave(elapsed_ms):
        swing = 0.55 * math.sin(2.0 * math.pi * elapsed_ms / WAVE_MS)
        return 0.9 * HOME_PER_S * (1.0 + swing)

    fixed = run_fixed(monkeypatch, 3 * WAVE_MS, wave)
    load = Load(monkeypatch).run(3 * WAVE_MS, wave)
    assert load.count_late() == 0
    assert 0 < load.count_remote() < fixed.count_remote()
    assert max(load.shares) > 0.0 and load.shares[-1] == 0.0
    assert load.count_turns() <= 2 * 3 - 1
    assert count_lines(lines) <= 3 * WAVE_MS / 5_000.0


def test_a_home_domain_with_too_few_upstreams(monkeypatch):
    """Load: twice what home takes, for good.

    Guards against requests that are late or refused at home while others are idle.
    """
    fixed = run_fixed(monkeypatch, 10_000.0, 2 * HOME_PER_S)
    load = Load(monkeypatch).run(10_000.0, 2 * HOME_PER_S)
    assert load.count_late() == 0
    assert load.shares[-1] == 1.0 and load.count_turns() == 0
    # Home stays as busy as without spillover; only the rest leaves.
    assert load.count_remote() <= fixed.count_remote()


def test_more_than_all_domains_take(monkeypatch):
    """Load: 1.2 times what all take. Guards against slots kept idle under overload."""
    fixed = run_fixed(monkeypatch, 5_000.0, 3.6 * HOME_PER_S)
    load = Load(monkeypatch).run(5_000.0, 3.6 * HOME_PER_S)
    assert len(load.sent_to) >= 0.99 * len(fixed.sent_to)


def test_a_remote_domain_that_is_itself_short():
    """Load: home has too little, and so has another domain, then no longer."""
    policy = Adaptive(crossing_ms=3.0, crossing_ms_per_kb=0.5)
    spillover = Spillover(service="s", policy=policy)
    demand = Demand(
        waiting=0, median_ms=12.0, p95_ms=24.0, latest_ms=1e9, size_bytes=500
    )
    home = DomainLoad(slots=2, busy=4, duration=1.0)

    def run(busy, began_ms):
        for now_ms in range(began_ms, began_ms + 8_000, 20):
            remote = {"b": DomainLoad(slots=2, busy=busy, duration=1.0)}
            spillover.record_arrival(demand, home=home, remote=remote, now_ms=now_ms)
        return spillover.share, spillover.is_short("b")

    assert run(2, 0) == (0.0, True)
    assert run(0, 8_000) == (1.0, False)
    assert run(2, 16_000) == (0.0, True)


def test_a_hedge_goes_past_a_domain_that_is_short(monkeypatch):
    load = Load(monkeypatch)
    replicas = load.pool._replicas
    replicas.refresh()
    replicas.spillover._short = {"b"}
    options = {"may_probe": False, "now_ms": load.clock.now}
    assert replicas.choose(tried={"u0"}, **options).record.name == "u2"
    # Nothing but the domain that is short is left: late would be worse.
    assert replicas.choose(tried={"u0", "u2"}, **options).record.name == "u1"


def test_home_lost_at_once(monkeypatch):
    """Load: home leaves under load and comes back.

    Guards against requests that wait for a domain that is gone, and against all
    traffic coming back to it at once.
    """
    load = Load(monkeypatch).run(2_000.0, 0.7 * HOME_PER_S)
    load.inventory.leaving.add("u0")
    load.submit()
    assert load.shares[-1] == 1.0 and load.sent_to[-1] != "u0"
    load.inventory.leaving.clear()
    before = len(load.shares)
    load.run(6_000.0, 0.7 * HOME_PER_S)
    steps = [one - other for one, other in itertools.pairwise(load.shares[before:])]
    assert max(steps) <= 0.051 and load.shares[-1] == 0.0
    assert load.count_late() == 0


def test_an_owner_in_a_domain_without_upstreams(monkeypatch):
    load = Load(monkeypatch, records=RECORDS[1:]).run(1_000.0, HOME_PER_S)
    assert set(load.shares) == {1.0} and load.count_late() == 0


def test_two_domains_that_overload_in_turn(monkeypatch):
    """Load: home and the others take turns at half the usual speed, 6 s each.

    Guards against traffic that goes back and forth within one turn.
    """
    load = Load(monkeypatch)
    load.get_duration_ms = lambda name, now: (
        MEDIAN_MS * (2.2 if (name == "u0") == (now % 12_000.0 < 6_000.0) else 1.0)
    )
    load.run(36_000.0, 0.6 * HOME_PER_S)
    assert load.count_late() == 0
    assert load.count_turns() <= 36 / 6


def test_slow_and_paused_upstreams_at_home(monkeypatch):
    """Load: home pauses for 100 ms in every 2.4 s, and is 2.4 times as slow for 3 s.

    Guards against requests that wait for a pause to end, and against traffic that stays
    away from home after each pause.
    """

    def pause(name, now):
        phase = now % 2_400.0
        if name != "u0" or phase + MEDIAN_MS < 2_300.0:
            return MEDIAN_MS
        return MEDIAN_MS + min(100.0, 2_400.0 - phase)

    load = Load(monkeypatch)
    load.get_duration_ms = pause
    load.run(12_000.0, 60.0)
    assert load.count_late() == 0
    assert load.count_remote() < 0.1 * len(load.sent_to)
    # Most are answered without a wait for the pause: the hedge goes out in time.
    assert sum(elapsed_ms > 50.0 for elapsed_ms, _ in load.outcomes) == 0
    load.get_duration_ms = lambda name, now: MEDIAN_MS * (2.4 if name == "u0" else 1.0)
    before = len(load.sent_to)
    load.run(3_000.0, 60.0)
    assert load.count_late() == 0
    assert load.sent_to[before:].count("u0") < 0.2 * len(load.sent_to[before:])


def test_a_kept_request_leaves_when_home_gets_no_free_slot(monkeypatch):
    """Guards against a request that waits for home until another one ends."""
    records = (dataclasses.replace(RECORDS[0], slots=1), *RECORDS[1:])
    load = Load(monkeypatch, records=records)
    load.get_duration_ms = lambda name, now: 700.0 if name == "u0" else MEDIAN_MS
    load.submit()
    load.submit()
    assert load.sent_to == ["u0"]
    load.advance(load.clock.now + 4.0)
    assert load.sent_to == ["u0", "u1"]
