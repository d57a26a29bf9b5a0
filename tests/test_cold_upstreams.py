"""Cold upstreams under load: what they get, and that others take the rest."""

import dataclasses

import pytest

from gooseberrymux.cold_limits import RAMP_STEP_MS, RAMP_STEPS
from gooseberrymux.connections import Exchange
from gooseberrymux.eras import combine_era
from gooseberrymux.evacuations import (
    COLD_AFTER_EVACUATION_MS,
    EVACUATIONS_NAME,
    Evacuations,
)
from gooseberrymux.exchange import REASON_CONNECT
from gooseberrymux.forward_exchange import NotSent
from gooseberrymux.forward_messages import PartNotRun
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.replica_set import OWNER_OVERLAP_MS, ReplicaSet
from gooseberrymux.replicas import SLOW_PROBE_MS
from gooseberrymux.send_limits import SendLimits
from gooseberrymux.upstream_signals import UpstreamSignals
from harness import (
    FakeDocuments,
    FakeMembership,
    FakePeers,
    SteppingClock,
    create_reply_memory,
    create_settings,
    publish,
    publish_upstreams,
)
from test_pool import FakeDepartures, create_call, open_owner
from test_replica_set import LATENCY, RECORDS, create_reply

RATE_PER_S = 20.0
# What a cold upstream gets in any second at most without a crash.
MOST_IN_A_SECOND = RATE_PER_S * 1.5 + 5
EXCHANGE_MS = 10.0
SECOND_MS = 1_000.0


class Service:
    """The upstreams of a service, its owner and its arrivals on a manual clock."""

    def __init__(self, rate_per_s=RATE_PER_S):
        self.clock = SteppingClock()
        settings = create_settings(platform={"evacuations": True})
        self.kernel = Kernel(settings=settings, clock=self.clock)
        for name, fake in {
            "peers": FakePeers(),
            "membership": FakeMembership(("entry",)),
            "documents": FakeDocuments(),
            "departures": FakeDepartures(),
        }.items():
            self.kernel.register(name, fake)
        self.kernel.load(("inventory",))
        self.rate_per_s = rate_per_s
        self.owner = self.create_owner()
        self.revision = 0
        self.list_upstreams()
        # Times at which each upstream was sent a request, by its name.
        self.sends = {record.name: [] for record in RECORDS}
        self.running = []
        self.waits_ms = []

    def create_owner(self):
        return ReplicaSet(
            service="s",
            kernel=self.kernel,
            reply_memory=create_reply_memory(),
            inventory=self.kernel.find("inventory", Inventory),
            get_connection_limit=lambda name: None,
            get_cold_rate=lambda name: self.rate_per_s,
        )

    def list_upstreams(self, *cold):
        self.revision += 1
        records = [dataclasses.replace(r, cold=r.name in cold) for r in RECORDS]
        publish_upstreams(self.kernel, combine_era(0, self.revision), records)
        self.owner.refresh()

    def evacuate(self, *domains):
        self.revision += 1
        generation = combine_era(0, self.revision)
        publish(self.kernel, EVACUATIONS_NAME, generation, domains=list(domains))

    def send(self, owner, **choice):
        """Sends a request to the best upstream; returns it, or None if none is free."""
        owner.refresh()
        now_ms = self.clock.now
        replica = owner.choose(
            **{"tried": (), "may_probe": True, "now_ms": now_ms, **choice}
        )
        if replica is not None:
            exchange = Exchange(
                call=create_call(), head=b"", deadline_ms=1e9, sent_ms=now_ms
            )
            replica.start_exchange(exchange, LATENCY, now_ms)
            self.sends[replica.record.name].append(now_ms)
            self.running.append((now_ms + EXCHANGE_MS, replica, exchange))
        return replica

    def run(self, duration_ms, arrivals_per_s, owners=()):
        """Has requests arrive evenly; each waits until an upstream takes it."""
        owners = owners or (self.owner,)
        until_ms = self.clock.now + duration_ms
        due, waiting, sent = 0.0, [], 0
        while self.clock.now < until_ms:
            for item in [i for i in self.running if i[0] <= self.clock.now]:
                self.running.remove(item)
                _, replica, exchange = item
                replica.finish_exchange(exchange, create_reply(), self.clock.now)
            due += arrivals_per_s / SECOND_MS
            while due >= 1.0:
                due -= 1.0
                waiting.append(self.clock.now)
            while waiting and self.send(owners[sent % len(owners)]):
                self.waits_ms.append(self.clock.now - waiting.pop(0))
                sent += 1
            self.clock.now += 1.0
        return len(waiting)

    def count_most_in_a_second(self, name, since_ms):
        times = [at for at in self.sends[name] if at >= since_ms]
        return max(
            (sum(at <= t < at + SECOND_MS for t in times) for at in times), default=0
        )


def slow_service(service, *names):
    """Has some upstreams take 20 times the usual time; returns them."""
    now_ms = service.clock.now
    slow = [r for r in service.owner.list_usable(now_ms) if r.record.name in names]
    for replica in slow:
        for _ in range(20):
            exchange = Exchange(
                call=create_call(), head=b"", deadline_ms=1e9, sent_ms=now_ms
            )
            replica.start_exchange(exchange, LATENCY, now_ms)
            replica.finish_exchange(exchange, create_reply(elapsed_ms=200.0), now_ms)
    return slow


@pytest.fixture
def service():
    created = Service()
    # Its owner is not new any more.
    created.run(OWNER_OVERLAP_MS + 500, 100)
    return created


# Load: a whole failure domain comes back cold, in a burst of arrivals that two domains
# can take. Guards against upstreams that crash, and against work that waits for them.
def test_a_domain_that_comes_back_cold_in_a_burst_gets_its_rate_and_others_the_rest(
    service,
):
    service.evacuate("a")
    service.run(500, 100)
    service.evacuate()
    opened_ms, service.waits_ms = service.clock.now, []
    assert service.run(COLD_AFTER_EVACUATION_MS - 100, 300) == 0
    assert 0 < service.count_most_in_a_second("u0", opened_ms) <= MOST_IN_A_SECOND
    assert max(service.waits_ms) <= EXCHANGE_MS


# Load: the same burst, and the list says from the middle on that one is cold.
def test_an_upstream_that_becomes_cold_under_load_is_spared_from_that_moment(service):
    service.run(1_000, 300)
    assert service.count_most_in_a_second("u0", 0) > MOST_IN_A_SECOND
    service.list_upstreams("u0")
    cold_ms, service.waits_ms = service.clock.now, []
    assert service.run(3_000, 300) == 0
    assert 0 < service.count_most_in_a_second("u0", cold_ms) <= MOST_IN_A_SECOND
    assert max(service.waits_ms) <= EXCHANGE_MS


# Load: more than the two others take. Guards against a queue that overwhelms the cold
# one once it has nowhere else to go.
def test_a_cold_upstream_gets_no_more_although_the_others_are_busy(service):
    service.list_upstreams("u0")
    cold_ms = service.clock.now
    assert service.run(2_000, 800) > 0
    assert service.count_most_in_a_second("u0", cold_ms) <= MOST_IN_A_SECOND


# Load: a burst after a moment without any. Guards against a cold upstream that gets at
# once what it did not get before.
def test_a_quiet_moment_saves_up_nothing_for_a_cold_upstream(service):
    service.list_upstreams("u0")
    cold_ms = service.clock.now
    service.run(1_500, 4)
    service.run(1_000, 800)
    assert service.count_most_in_a_second("u0", cold_ms) <= RATE_PER_S + 1


# Load: the work of a service comes back to an upstream that is warm. Guards against all
# of it at one moment, and against a limit that does not end.
def test_an_upstream_that_is_warm_again_gets_its_work_in_steps(service):
    service.list_upstreams("u0")
    service.run(1_000, 300)
    service.list_upstreams()
    warm_ms = service.clock.now
    service.run(RAMP_STEP_MS, 800)
    first = [at for at in service.sends["u0"] if at >= warm_ms]
    assert len(first) <= 2 * RATE_PER_S * RAMP_STEP_MS / SECOND_MS + 1
    service.run(RAMP_STEPS * RAMP_STEP_MS, 800)
    ramped_ms = service.clock.now
    service.run(1_000, 800)
    assert service.count_most_in_a_second("u0", ramped_ms) > 8 * RATE_PER_S


# Load: the owner changes while the upstream is cold, and half of the instances still
# send to the one before, each more than the rate.
def test_two_owners_of_a_cold_upstream_stay_within_its_tolerance(service):
    service.list_upstreams("u0")
    service.run(500, 400)
    cold_ms = service.clock.now
    other = service.create_owner()
    service.run(OWNER_OVERLAP_MS - 100, 1_200, owners=(service.owner, other))
    assert service.count_most_in_a_second("u0", cold_ms) <= MOST_IN_A_SECOND


# Load: hedges and retries, which are sent besides the arrivals.
def test_hedges_and_retries_count_towards_the_rate(service):
    service.list_upstreams("u0")
    cold_ms = service.clock.now
    for _ in range(1_000):
        service.run(1, 0)
        service.send(service.owner, tried=("u1", "u2"), may_probe=False)
    assert 0 < service.count_most_in_a_second("u0", cold_ms) <= MOST_IN_A_SECOND


# Load: the two others are slow. Guards against work that waits for the next token of
# the cold one, although a slow exchange would be over by then.
def test_a_slow_upstream_is_used_while_the_cold_one_has_no_token(service):
    slow_service(service, "u1", "u2")
    service.list_upstreams("u0")
    assert service.send(service.owner, may_probe=False).record.name in ("u1", "u2")


# Load: requests that may all probe whether a slow upstream has recovered.
def test_a_probe_of_a_cold_upstream_waits_for_the_rate(service):
    service.list_upstreams("u0")
    (replica,) = slow_service(service, "u0")
    service.clock.now += SLOW_PROBE_MS - 200
    service.owner.refresh()
    assert replica.limits.get_rate_wait_ms(service.clock.now) > 0
    assert service.send(service.owner).record.name != "u0"


# Guards against a restarted upstream that gets everything before its entry says so.
def test_an_upstream_that_could_not_be_connected_to_counts_as_cold(service):
    replica = service.send(service.owner)
    (running,) = [item for item in service.running if item[1] is replica][-1:]
    service.running.remove(running)
    failure = NotSent(reason=REASON_CONNECT)
    replica.finish_exchange(running[2], failure, service.clock.now)
    service.owner.refresh()
    assert replica.limits.cold_limit is not None


def test_a_service_without_a_rate_is_not_limited():
    # Guards against another service for the deployments that name no such rate.
    service = Service(rate_per_s=0.0)
    service.list_upstreams("u0")
    service.evacuate("a")
    service.evacuate()
    service.owner.refresh()
    assert not service.owner.is_rate_limited(service.clock.now)
    assert service.kernel.find("evacuations", Evacuations).has_just_ended("a")


def test_the_lower_of_two_limits_counts():
    limits, record = SendLimits(), RECORDS[0]
    limits.set_cold(10.0, record=record, now_ms=0.0)
    signals = UpstreamSignals(rate_limit_per_s=2.0)
    limits.apply(signals, record=record, now_ms=0.0)
    assert limits.get_wait_ms(0.0) == 500.0
    assert limits.count_parallel(4, 100.0) == pytest.approx(0.2)
    limits.apply(UpstreamSignals(), record=record, now_ms=100.0)
    assert limits.get_wait_ms(100.0) == 0.0, "only the limit of the cold one is left"
    limits.record_send(100.0)
    assert limits.get_wait_ms(100.0) == pytest.approx(100.0)


# Load: the only upstream of a service is cold and gets many times its rate. Guards
# against callers that wait for what it can't take, through the queue of the pool.
def test_what_a_cold_service_cannot_take_is_refused_as_not_run():
    with open_owner() as owner:
        publish(owner.kernel, "routes/current", 1, cold_rates_per_s={"s": 5.0})
        upstream = owner.add_upstream("u1", lambda r: r.reply(), slots=2, cold=True)
        for number in range(60):
            owner.submit(request_id=f"r{number}", remaining_ms=500.0)
        owner.wait_for_outcomes(60)
        refused = [part for part in owner.outcomes if isinstance(part, PartNotRun)]
        assert len(refused) >= 50
        assert len(upstream.requests) <= 5
