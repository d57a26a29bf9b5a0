"""Which requests leave their owner's failure domain, under loads that move."""

import dataclasses
import itertools
import math
import types

from gooseberrymux import journal
from gooseberrymux.domain_choice import measure_load
from gooseberrymux.forward_exchange import Broken
from gooseberrymux.forward_messages import PartReplied
from gooseberrymux.kernel import Kernel
from gooseberrymux.pending_requests import (
    ANSWER_RESERVE_MS,
    KEPT_MIN_LIMIT,
    KeptRequests,
    PendingRequest,
)
from gooseberrymux.pool import Pool, PoolDependencies
from gooseberrymux.rate_limits import RateLimit
from gooseberrymux.replica_set import ReplicaSet
from gooseberrymux.replicas import LatencyEstimate
from gooseberrymux.route_latencies import RouteLatencies
from gooseberrymux.spillover import Adaptive, Arrival, DomainLoad, Spillover
from harness import SteppingClock, create_reply_memory, create_settings
from test_pool import create_call
from test_replica_set import RECORDS, FakeInventory, create_reply

MEDIAN_MS = 12.0
# Home takes this many requests a second with its 2 slots.
HOME_PER_S = 2_000.0 / MEDIAN_MS
CROSSING_MS = 2.8
LATENCY = LatencyEstimate(median_ms=MEDIAN_MS, p95_ms=2 * MEDIAN_MS)
TARGET_MS = 133.0
LIMIT_MS = 804.0
WAVE_MS = 13_000.0


class FakeConnection:
    """Runs an exchange for as long as the load says, on the test's clock."""

    def __init__(self, load, name):
        self.load, self.name = load, name

    def start_exchange(self, exchange):
        elapsed_ms = self.load.get_duration_ms(self.name, self.load.clock.now)
        elapsed_ms += 0.0 if self.name == "u0" else CROSSING_MS
        if exchange.cause == "first":
            self.load.sent_to.append(self.name)
        self.schedule(elapsed_ms, exchange, create_reply(elapsed_ms))

    def abort(self, exchange):
        exchange.aborted = True
        self.schedule(0.0, exchange, Broken(reason="aborted"))

    def schedule(self, delay_ms, exchange, result):
        def finish():
            if exchange in exchange.replica.in_flight:
                self.load.pool._handle_result(self, exchange, result)

        self.load.clock.schedule(delay_ms, finish)


class Load:
    """A pool without a network: u0 is at home, u1 and u2 are remote; 2 slots each."""

    def __init__(self, monkeypatch, *, records=RECORDS, **forwarding):
        self.clock = clock = SteppingClock()
        self.inventory = FakeInventory()
        self.inventory.records = records
        self.get_duration_ms = lambda name, now: MEDIAN_MS
        self.sent_to, self.shares, self.outcomes = [], [], []
        settings = create_settings(forwarding={"spillover": "adaptive", **forwarding})
        monkeypatch.setattr(
            ReplicaSet,
            "acquire_connection",
            lambda replicas, chosen, **_: FakeConnection(self, chosen.record.name),
        )
        dependencies = PoolDependencies(
            kernel=Kernel(settings=settings, clock=clock),
            inventory=self.inventory,
            timers=types.SimpleNamespace(
                call_at=lambda ms, call: clock.schedule(max(0.0, ms - clock.now), call)
            ),
            latencies=RouteLatencies(),
            reply_memory=create_reply_memory(),
            get_connection_limit=lambda name: None,
            get_cold_rate=lambda name: 0.0,
            report_leaving=lambda record: None,
        )
        self.pool = Pool(service="s", dependencies=dependencies)

    def submit(self, target_ms=TARGET_MS):
        call = create_call(target_ms=target_ms, remaining_ms=LIMIT_MS)
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

    def run(self, duration_ms, get_rate):
        """Submits requests at a rate a second that is a function of the time so far."""
        began = arrival = self.clock.now
        while arrival < began + duration_ms:
            self.advance(arrival)
            self.submit()
            arrival += 1_000.0 / get_rate(arrival - began)
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
        return len(self.sent_to) - self.sent_to.count("u0")

    def count_turns(self):
        """Counts how often the share began to rise after it fell, or the reverse."""
        pairs = itertools.pairwise(self.shares)
        rises = [after > before for before, after in pairs if after != before]
        return sum(one != other for one, other in itertools.pairwise(rises))


def compare(monkeypatch, duration_ms, get_rate):
    """Returns the same load under `fixed` and `adaptive`, after its run."""
    return [
        Load(monkeypatch, spillover=spillover).run(duration_ms, get_rate)
        for spillover in ("fixed", "adaptive")
    ]


# Load: demand with a period of 13 s and a swing of 0.55, whose crest exceeds home.
# Guards against late requests, a share that turns more than twice in a period, and a
# log line for each step.
def test_demand_in_waves(monkeypatch):
    lines = []
    monkeypatch.setattr(journal, "record_event", lambda name, **_: lines.append(name))

    def wave(elapsed_ms):
        swing = 0.55 * math.sin(2.0 * math.pi * elapsed_ms / WAVE_MS)
        return 0.9 * HOME_PER_S * (1.0 + swing)

    fixed, load = compare(monkeypatch, 3 * WAVE_MS, wave)
    assert load.count_late() == 0
    assert 0 < load.count_remote() < fixed.count_remote()
    assert max(load.shares) > 0.0 and load.shares[-1] == 0.0
    assert load.count_turns() <= 2 * 3 - 1
    assert 0 < lines.count("spillover.share") <= 3 * WAVE_MS / 5_000.0


# Load: twice what home takes, for good. Guards against requests that are late at home
# while others are idle, and against a home that is less busy than without spillover.
def test_a_home_domain_with_too_few_upstreams(monkeypatch):
    fixed, load = compare(monkeypatch, 10_000.0, lambda _: 2 * HOME_PER_S)
    assert load.count_late() == 0
    assert load.shares[-1] == 1.0 and load.count_turns() == 0
    assert load.count_remote() <= fixed.count_remote()


# Load: 1.2 times what all domains take. Guards against slots kept idle under overload.
def test_more_than_all_domains_take(monkeypatch):
    fixed, load = compare(monkeypatch, 5_000.0, lambda _: 3.6 * HOME_PER_S)
    assert len(load.sent_to) >= 0.99 * len(fixed.sent_to)


# Load: home has too little, and so has the other domain, then not, then again.
# Guards against traffic that is sent into a domain that is short itself.
def test_a_remote_domain_that_is_itself_short():
    policy = Adaptive(crossing_ms=3.0, crossing_ms_per_kb=0.5)
    spillover = Spillover(service="s", policy=policy)
    arrival = Arrival(
        waiting=0, median_ms=12.0, p95_ms=24.0, latest_ms=1e9, size_bytes=500
    )
    home = DomainLoad(slots=2, busy=4, duration=1.0)
    found = []
    for now_ms in range(0, 24_000, 20):
        busy = 0 if 8_000 <= now_ms < 16_000 else 2
        remote = {"b": DomainLoad(slots=2, busy=busy, duration=1.0)}
        spillover.record_arrival(arrival, home=home, remote=remote, now_ms=now_ms)
        found.append((spillover.share, spillover.is_short("b")))
    assert found[399::400] == [(0.0, True), (1.0, False), (0.0, True)]


# Guards against a share that stays 0 while a limit keeps home's free slots unused.
def test_a_rate_limit_that_is_used_up_makes_slots_busy(monkeypatch):
    replicas = Load(monkeypatch).pool._replicas
    replicas.refresh()
    (home,) = replicas.list_usable(1_000.0, {"u1", "u2"})
    home.limits.rate_limit = RateLimit(rate_per_s=1.0, now_ms=1_000.0)
    assert measure_load([home], 100, 1_000.0).busy == 2
    assert measure_load([home], 100, 2_000.0).busy == 0


def test_a_hedge_goes_past_a_domain_that_is_short(monkeypatch):
    replicas = Load(monkeypatch).pool._replicas
    replicas.refresh()
    replicas.spillover._short = {"b"}
    options = {"may_probe": False, "now_ms": 1_000.0}
    assert replicas.choose(tried={"u0"}, **options).record.name == "u2"
    # Nothing but the domain that is short is left: late would be worse.
    assert replicas.choose(tried={"u0", "u2"}, **options).record.name == "u1"


# Load: home leaves under load and comes back. Guards against requests that wait for a
# domain that is gone, and against all traffic coming back to it at once.
def test_home_lost_at_once(monkeypatch):
    load = Load(monkeypatch).run(2_000.0, lambda _: 0.7 * HOME_PER_S)
    load.inventory.leaving.add("u0")
    load.submit()
    assert load.shares[-1] == 1.0 and load.sent_to[-1] != "u0"
    load.inventory.leaving.clear()
    load.run(6_000.0, lambda _: 0.7 * HOME_PER_S)
    falls = [one - other for one, other in itertools.pairwise(load.shares)]
    assert max(falls) < 0.051 and load.shares[-1] == 0.0
    assert load.count_late() == 0


# Load: home and the others take turns at less than half the usual speed, 6 s each.
# Guards against traffic that goes back and forth within one turn.
def test_two_domains_that_overload_in_turn(monkeypatch):
    load = Load(monkeypatch)
    load.get_duration_ms = lambda name, now: (
        MEDIAN_MS * (2.2 if (name == "u0") == (now % 12_000.0 < 6_000.0) else 1.0)
    )
    load.run(36_000.0, lambda _: 0.6 * HOME_PER_S)
    assert load.count_late() == 0
    assert load.count_turns() <= 36 / 6


# Load: home pauses for 100 ms in every 2.4 s, then is 2.4 times as slow for 3 s. Guards
# against requests that wait for a pause to end, traffic that stays away from home after
# each pause, and traffic that stays at a home that is slow.
def test_slow_and_paused_upstreams_at_home(monkeypatch):
    def pause(name, now):
        phase = now % 2_400.0
        if name != "u0" or phase + MEDIAN_MS < 2_300.0:
            return MEDIAN_MS
        return MEDIAN_MS + min(100.0, 2_400.0 - phase)

    load = Load(monkeypatch)
    load.get_duration_ms = pause
    load.run(12_000.0, lambda _: 60.0)
    assert load.count_remote() < 0.1 * len(load.sent_to)
    assert max(elapsed_ms for elapsed_ms, _ in load.outcomes) < 50.0
    load.get_duration_ms = lambda name, now: MEDIAN_MS * (2.4 if name == "u0" else 1.0)
    load.sent_to.clear()
    load.run(3_000.0, lambda _: 60.0)
    assert load.count_remote() > 0.8 * len(load.sent_to)
    assert load.count_late() == 0


# Load: one long request holds home's only slot. Guards against a request that waits for
# it, and against one that is refused because those that wait fill the queue.
def test_what_is_kept_at_home_leaves_in_time(monkeypatch):
    records = (dataclasses.replace(RECORDS[0], slots=1), *RECORDS[1:])
    load = Load(monkeypatch, records=records, queue_limit=1)
    load.get_duration_ms = lambda name, now: 700.0 if name == "u0" else MEDIAN_MS
    load.submit()
    load.submit()
    assert load.sent_to == ["u0"]
    load.submit()
    assert load.sent_to == ["u0", "u1"]
    load.advance(load.clock.now + 4.0)
    assert load.count_remote() == 2 and not load.outcomes


# Load: as before. Guards against a wait at home with too little time left for a hedge,
# and against a wait for a home that doesn't answer.
def test_what_home_would_make_late_leaves_at_once(monkeypatch):
    load = Load(monkeypatch)
    load.get_duration_ms = lambda name, now: 700.0 if name == "u0" else MEDIAN_MS
    load.submit()
    load.submit()
    load.submit(target_ms=44.8)
    assert load.sent_to == ["u0", "u0", "u1"]
    load.advance(load.clock.now + 50.0)
    load.submit()
    assert load.count_remote() == 2


# Guards against memory held by sent requests behind one that waits for long.
def test_sent_requests_are_dropped_behind_one_that_waits():
    kept = KeptRequests()
    for number in range(1_000):
        state = types.SimpleNamespace(kept_until_ms=number, settled=number > 0)
        state.first_send_ms = None
        kept.add(state)
        assert kept.get_first_end_ms() == 0
    assert len(kept) <= KEPT_MIN_LIMIT


def test_an_owner_in_a_domain_without_upstreams_sends_all_away(monkeypatch):
    # Guards against requests that wait at an owner for upstreams that its domain does
    # not have.
    load = Load(monkeypatch, records=RECORDS[1:]).run(1_000.0, lambda _: HOME_PER_S)
    assert set(load.shares) == {1.0} and load.count_late() == 0
