"""Tests of latency sketches, their error, memory and decay, and of hedge delays."""

import math

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux import latency
from gooseberrymux.latency import (
    DelayUnknown,
    HedgeAfter,
    Latencies,
    LatencySketch,
    NeverHedge,
    NoHedge,
    QuantileHedge,
    create_hedge_policy,
    find_bucket,
)
from gooseberrymux.records import Rank
from harness import create_settings

POLICY = QuantileHedge(quantiles=dict.fromkeys(Rank, 0.95), floor_ms=10.0)


@given(
    st.lists(st.floats(0.2, 60_000), min_size=1, max_size=300),
    st.sampled_from([0.5, 0.9, 0.95, 0.99]),
)
def test_a_quantile_is_never_below_the_true_one_and_at_most_9_percent_above(
    durations, quantile
):
    sketch = LatencySketch()
    for duration in durations:
        sketch.record(find_bucket(duration))
    rank = max(1, math.ceil(quantile * len(durations)))
    exact_ms = sorted(durations)[rank - 1]
    assert exact_ms <= sketch.quantile(quantile) * (1 + 1e-9)
    assert sketch.quantile(quantile) <= exact_ms * 1.0906


def test_an_old_distribution_is_forgotten():
    # Guards against a hedge delay that stays high after a slow period has ended.
    sketch = LatencySketch()
    for _ in range(5_000):
        sketch.record(find_bucket(500.0))
    for _ in range(8 * latency.DECAY_SAMPLES):
        sketch.record(find_bucket(5.0))
    assert sketch.quantile(0.95) < 6.0
    assert sketch.total <= latency.DECAY_SAMPLES


def record_samples(latencies, service, rank, duration_ms, count=1):
    for _ in range(count):
        latencies.record(
            service_name=service, index="i", rank=rank, duration_ms=duration_ms
        )


def plan_delay_ms(latencies, service, rank=Rank.URGENT):
    plan = latencies.plan_hedge(service_name=service, index="i", rank=rank)
    return plan.delay_ms if isinstance(plan, HedgeAfter) else plan


def test_hedge_delay_follows_its_own_rank():
    # Guards against a flood of patient sub-requests whose queue waits raise the hedge
    # delay of urgent ones.
    latencies = Latencies(policy=POLICY)
    record_samples(latencies, "s", Rank.URGENT, 20.0, count=100)
    record_samples(latencies, "s", Rank.PATIENT, 2_000.0, count=100)
    assert 20.0 <= plan_delay_ms(latencies, "s") <= 22.0


def test_no_hedge_without_samples_or_policy_and_never_below_the_floor():
    latencies = Latencies(policy=POLICY)
    for _ in range(latency.MIN_INDEX_SAMPLES):
        assert plan_delay_ms(latencies, "s") == DelayUnknown()
        record_samples(latencies, "s", Rank.URGENT, 1.0)
    assert plan_delay_ms(latencies, "s") == 10.0
    assert plan_delay_ms(Latencies(policy=NoHedge()), "s") == NeverHedge()


def test_a_service_without_samples_follows_its_index():
    # Guards against hedges that start only once each service has enough samples.
    latencies = Latencies(policy=POLICY)
    for number in range(latency.MIN_INDEX_SAMPLES):
        record_samples(latencies, f"s{number}", Rank.URGENT, 20.0)
    assert 20.0 <= plan_delay_ms(latencies, "new") <= 22.0
    record_samples(
        latencies, "new", Rank.URGENT, 80.0, count=latency.MIN_SERVICE_SAMPLES
    )
    assert 80.0 <= plan_delay_ms(latencies, "new") <= 88.0


def test_many_stragglers_do_not_delay_the_hedge():
    # Guards against a hedge delay that jumps to the stragglers' time because they reach
    # into the quantile.
    latencies = Latencies(policy=POLICY)
    for _ in range(100):
        record_samples(latencies, "s", Rank.URGENT, 40.0, count=9)
        record_samples(latencies, "s", Rank.URGENT, 400.0)
    assert plan_delay_ms(latencies, "s") <= 3 * 43.7


def test_a_small_budget_goes_to_the_slowest():
    # Guards against a hedge budget that is used up before a straggler comes.
    settings = create_settings(ranks={"standard": {"hedge_share": 0.02}})
    policy = create_hedge_policy(settings)
    assert policy.quantiles[Rank.URGENT] == 0.95
    assert policy.quantiles[Rank.STANDARD] == 0.98
    latencies = Latencies(policy=policy)
    record_samples(latencies, "s", Rank.PATIENT, 20.0, count=100)
    # The hedge share of the patient rank is 0 by default.
    assert plan_delay_ms(latencies, "s", Rank.PATIENT) == NeverHedge()


def test_the_number_of_sketches_is_bounded(monkeypatch):
    monkeypatch.setattr(latency, "SKETCH_LIMIT", 5)
    latencies = Latencies(policy=POLICY)
    for number in range(50):
        record_samples(latencies, f"s{number}", Rank.URGENT, 1.0)
    assert latencies.count_sketches() == 5
