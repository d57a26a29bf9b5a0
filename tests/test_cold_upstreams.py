"""Cold upstreams under load: what they get, and that others take the rest."""

import dataclasses

import pytest

from gooseberrymux.cold_limits import RAMP_STEP_MS, RAMP_STEPS
from gooseberrymux.connections import Exchange
from gooseberrymux.evacuations import COLD_AFTER_EVACUATION_MS
from gooseberrymux.exchange import REASON_CONNECT
from gooseberrymux.forward_exchange import NotSent
from gooseberrymux.forward_messages import PartNotRun
from gooseberrymux.inventory import Inventory
from gooseberrymux.replica_set import OWNER_OVERLAP_MS, ReplicaSet
from harness import create_reply_memory, publish
from test_evacuations import evacuate
from test_inventory import InventoryHarness
from test_pool import create_call, open_owner
from test_replica_set import LATENCY, RECORDS, create_reply

RATE_PER_S = 20.0
# What a cold upstream gets in any second at most without a crash.
MOST_IN_A_SECOND = RATE_PER_S * 1.5 + 5
EXCHANGE_MS = 10.0


class Service(InventoryHarness):
    """The upstreams of a service, its owner, and its arrivals on a manual clock."""

    def __init__(self):
        super().__init__(platform={"evacuations": True})
        self.owner = self.create_owner()
        # Times at which each upstream was sent a request, by its name.
        self.sends = {record.name: [] for record in RECORDS}
        self.running = []
        self.list_cold()
        # The owner is not new any more.
        self.run(OWNER_OVERLAP_MS + 500, 100)

    def create_owner(self):
        return ReplicaSet(
            service="s",
            kernel=self.kernel,
            reply_memory=create_reply_memory(),
            inventory=self.kernel.find("inventory", Inventory),
            get_connection_limit=lambda name: None,
            get_cold_rate=lambda name: RATE_PER_S,
        )

    def list_cold(self, *cold):
        self.publish([dataclasses.replace(r, cold=r.name in cold) for r in RECORDS])
        self.sends = {name: [] for name in self.sends}

    def send(self, owner, **choice):
        """Sends a request to the best upstream; returns it, or None if none is free."""
        owner.refresh()
        now_ms = self.clock.now
        chosen = {"tried": (), "may_probe": True, "now_ms": now_ms, **choice}
        replica = owner.choose(**chosen)
        if replica is not None:
            exchange = Exchange(
                call=create_call(), head=b"", deadline_ms=1e9, sent_ms=now_ms
            )
            replica.start_exchange(exchange, LATENCY, now_ms)
            self.sends[replica.record.name].append(now_ms)
            self.running.append((now_ms + EXCHANGE_MS, replica, exchange))
        return replica

    def run(self, duration_ms, arrivals_per_s, owners=(), **choice):
        """Has requests arrive evenly; returns the longest wait for an upstream."""
        owners = owners or (self.owner,)
        until_ms = self.clock.now + duration_ms
        due, waiting, waits_ms = 0.0, [], [0.0]
        while self.clock.now < until_ms:
            now_ms = self.clock.now
            for item in [i for i in self.running if i[0] <= now_ms]:
                self.running.remove(item)
                item[1].finish_exchange(item[2], create_reply(), now_ms)
            due += arrivals_per_s / 1_000
            waiting += [now_ms] * int(due)
            due -= int(due)
            while waiting and self.send(owners[len(waits_ms) % len(owners)], **choice):
                waits_ms.append(now_ms - waiting.pop(0))
            self.clock.now += 1.0
        return max(waits_ms + [until_ms - arrived_ms for arrived_ms in waiting])

    def count_most_in_a_second(self):
        times = self.sends["u0"]
        return max(sum(at <= t < at + 1_000 for t in times) for at in times)


@pytest.fixture
def service():
    return Service()


# Load: a burst of arrivals that two domains can take, while the whole third one comes
# back cold from an evacuation, or the list says that its upstream has become cold.
# Guards against upstreams that crash, and against work that waits for them.
@pytest.mark.parametrize("is_evacuated", [True, False])
def test_a_domain_that_is_cold_in_a_burst_gets_its_rate_and_others_the_rest(
    service, is_evacuated
):
    service.run(1_000, 300)
    assert service.count_most_in_a_second() > MOST_IN_A_SECOND
    if is_evacuated:
        evacuate(service.kernel, "a", revision=1)
        service.run(500, 300)
        evacuate(service.kernel, revision=2)
    service.list_cold(*([] if is_evacuated else ["u0"]))
    assert service.run(COLD_AFTER_EVACUATION_MS - 100, 300) <= EXCHANGE_MS
    assert service.count_most_in_a_second() <= MOST_IN_A_SECOND


# Load: a burst, after a quiet moment, of more than the two others take. Guards against
# a queue that overwhelms the cold one once it has nowhere else to go.
def test_a_cold_upstream_gets_no_more_although_the_others_are_busy(service):
    service.list_cold("u0")
    service.run(1_500, 4)
    assert service.run(1_000, 800) > EXCHANGE_MS
    assert service.count_most_in_a_second() <= RATE_PER_S + 1


# Load: hedges and retries, which are sent besides the arrivals.
def test_hedges_and_retries_count_towards_the_rate(service):
    service.list_cold("u0")
    service.run(1_000, 1_000, tried=("u1", "u2"), may_probe=False)
    assert service.count_most_in_a_second() <= RATE_PER_S + 1


# Load: the work of a service comes back to an upstream that is warm. Guards against all
# of it at one moment, and against a limit that does not end.
def test_an_upstream_that_is_warm_again_gets_its_work_in_steps(service):
    service.list_cold("u0")
    service.run(1_000, 300)
    service.list_cold()
    service.run(RAMP_STEP_MS, 800)
    assert len(service.sends["u0"]) <= 2 * RATE_PER_S * RAMP_STEP_MS / 1_000 + 1
    service.run(RAMP_STEPS * RAMP_STEP_MS + 1_000, 800)
    assert service.count_most_in_a_second() > 8 * RATE_PER_S


# Load: the owner changes while the upstream is cold, and half of the instances still
# send to the one before, each more than the rate.
def test_two_owners_of_a_cold_upstream_stay_within_its_tolerance(service):
    service.list_cold("u0")
    service.run(500, 400)
    owners = (service.owner, service.create_owner())
    service.run(OWNER_OVERLAP_MS - 100, 1_200, owners=owners)
    assert service.count_most_in_a_second() <= MOST_IN_A_SECOND


# Load: the two others are slow. Guards against work that waits for the next token of
# the cold one, although a slow exchange would be over by then.
def test_a_slow_upstream_is_used_while_the_cold_one_has_no_token(service):
    now_ms = service.clock.now
    for name in ("u1", "u2"):
        for _ in range(20):
            replica = service.owner._replicas[name]
            exchange = Exchange(
                call=create_call(), head=b"", deadline_ms=1e9, sent_ms=now_ms
            )
            replica.start_exchange(exchange, LATENCY, now_ms)
            replica.finish_exchange(exchange, create_reply(elapsed_ms=200.0), now_ms)
    service.list_cold("u0")
    assert service.send(service.owner, may_probe=False).record.name in ("u1", "u2")


# Guards against a restarted upstream that gets everything before its entry says so.
def test_an_upstream_that_could_not_be_connected_to_counts_as_cold(service):
    replica = service.send(service.owner)
    _, _, exchange = service.running[-1]
    failure = NotSent(reason=REASON_CONNECT)
    replica.finish_exchange(exchange, failure, service.clock.now)
    service.owner.refresh()
    assert replica.limits.cold_limit is not None


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
