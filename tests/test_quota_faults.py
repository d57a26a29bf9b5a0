"""Quotas over simulated instances: single faults under load, and calm traffic.

`QuotaSimulation.admit` checks the sum over all instances in each window.
"""

import random

import pytest

from gooseberrymux.quota_grants import HELD_MS
from gooseberrymux.records import InstanceIdentity
from quota_simulation import TOLERANCE, WORKSPACE, QuotaSimulation

# (rate, burst): a small workspace, a large one, mostly rate, mostly burst, no burst.
LIMITS = [(0.48, 0.48), (8.0, 8.0), (40.0, 4.0), (2.0, 60.0), (1.0, 0.0)]


def create_simulation(limit=(8.0, 8.0)):
    simulation = QuotaSimulation(rate_per_s=limit[0], burst=limit[1])
    simulation.advance(30_000.0)
    return simulation


def kill(simulation, owner):
    simulation.kill(owner)


def freeze(simulation, owner):
    simulation.freeze(owner)
    simulation.advance(450.0)


def split(simulation, owner):
    simulation.split({owner, "d"})


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("lasts_ms", [0.0, 60_000.0])
@pytest.mark.parametrize("fault", [kill, freeze, split])
def test_a_lost_owner_does_not_raise_the_sum(fault, lasts_ms, limit):
    """Guards against a new, resumed or cut-off owner that grants a burst again.

    The second press comes at once, or after a time in which both buckets filled.
    """
    simulation = create_simulation(limit)
    simulation.press(500.0)
    fault(simulation, simulation.find_owner())
    simulation.detect()
    simulation.advance(lasts_ms)
    simulation.press(500.0)
    simulation.recover()
    simulation.press(3_000.0)


@pytest.mark.parametrize("limit", LIMITS)
def test_tokens_that_entries_gather_over_time_do_not_raise_the_sum(limit):
    """Guards against tokens that outlive their expiry or their bounded number."""
    simulation = create_simulation(limit)
    for _ in range(40):
        for instance in simulation.list_running():
            instance.start_request()
        simulation.deliver_all()
        simulation.advance(5_000.0)
    simulation.press(6_000.0)


def test_a_late_grant_is_not_used():
    """Guards against a grant that passes a slow link and is used in a later window."""
    simulation = create_simulation()
    entry = simulation.instances["d"]
    for _ in range(5):
        entry.start_request()
    for _ in range(5):
        simulation.deliver(0)
    # The callers would ask the stand-in next, which is not what this is about.
    entry.waiting = dict.fromkeys(entry.waiting, ())
    simulation.advance(TOLERANCE.lapse_ms + 1.0)
    simulation.deliver_all()
    assert (simulation.admitted, entry.balances.count_held(entry.now_ms)) == (0, 0)


def test_few_tokens_are_held_however_many_entries_ask():
    """Guards against one held token at each entry of a large fleet."""
    simulation = create_simulation()
    owner = simulation.instances[simulation.find_owner()]
    granted = 0
    for number in range(60):
        request = owner.create_request(owner.name, tokens=1, ahead=True)
        sender = InstanceIdentity(name=f"entry-{number}", incarnation=1)
        grant = owner.grants.grant(request, sender=sender, now_ms=owner.now_ms)
        granted += grant.tokens
    assert granted == int(TOLERANCE.held_limit)


def test_a_held_token_expires():
    """Guards against a token that an entry keeps after its owner forgot it."""
    simulation = create_simulation()
    entry = simulation.instances["d"]
    for _ in range(2):
        simulation.advance(1_000.0)
        entry.start_request()
        simulation.deliver_all()
    assert entry.balances.count_held(entry.now_ms) == 1
    # The owner must not take it for spent before.
    request = entry.create_request("a", tokens=1)
    assert request.closed_id < request.id - 1
    simulation.advance(HELD_MS)
    assert not entry.balances.spend(WORKSPACE, entry.now_ms)


@pytest.mark.parametrize("limit", [*LIMITS, (0.0, 0.0), (1_000.0, 5_000.0)])
def test_what_may_be_granted_together_stays_within_the_tolerance(limit):
    """Guards against constants that in sum exceed the tolerance."""
    rate, burst = limit
    window_s = TOLERANCE.window_ms / 1_000
    windows = 1 + TOLERANCE.lapse_ms / TOLERANCE.window_ms
    owner = rate * window_s * windows + TOLERANCE.compute_capacity(burst)
    reserves = 2 * TOLERANCE.reserve_capacity * (1 + windows)
    bound = (rate * window_s + burst) * (1 + TOLERANCE.share) + TOLERANCE.requests
    assert owner + reserves + TOLERANCE.held_limit <= bound


@pytest.mark.parametrize(
    ("usual_per_s", "entries"), [(0.3, 1), (0.3, 5), (5.0, 1), (5.0, 5)]
)
def test_usual_traffic_is_not_refused(usual_per_s, entries):
    """Guards against refusals in calm, also just after a change of the owner.

    The limit is 1.6 times the usual load, with a burst as large. Tokens must not be
    missing because other entries hold them ahead.
    """
    simulation = create_simulation((1.6 * usual_per_s, 1.6 * usual_per_s))
    rng = random.Random(1)
    for number in range(400):
        if number % 100 == 99:
            simulation.recover()
            simulation.kill(simulation.find_owner())
            simulation.detect()
        simulation.advance(rng.expovariate(usual_per_s) * 1_000)
        rng.choice(simulation.list_running()[:entries]).start_request()
        simulation.deliver_all()
    assert simulation.admitted >= 0.99 * 400
