"""Latency sketches: quantiles within their error, bounded, recent."""

import math

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux import latency
from gooseberrymux.latency import Latencies, LatencySketch, NoHedge, QuantileHedge
from gooseberrymux.records import Rank

POLICY = QuantileHedge(quantile=0.95, floor_ms=10.0)


@given(
    st.lists(st.floats(0.2, 60_000), min_size=1, max_size=300),
    st.sampled_from([0.5, 0.9, 0.95, 0.99]),
)
def test_a_quantile_is_never_below_the_true_one_and_at_most_9_percent_above(
    durations, quantile
):
    sketch = LatencySketch()
    for duration in durations:
        sketch.record(duration)
    rank = max(1, math.ceil(quantile * len(durations)))
    true = sorted(durations)[rank - 1]
    assert true <= sketch.quantile(quantile) * (1 + 1e-9)
    assert sketch.quantile(quantile) <= true * 1.0906


def test_an_old_distribution_is_forgotten():
    # Guards against a hedge delay that stays long after a slow period.
    sketch = LatencySketch()
    for _ in range(5_000):
        sketch.record(500.0)
    for _ in range(8 * latency.WINDOW_SAMPLES):
        sketch.record(5.0)
    assert sketch.quantile(0.95) < 6.0
    assert sketch.total <= latency.WINDOW_SAMPLES


def test_hedge_delay_follows_its_own_rank():
    # Guards against a patient flood whose queue waits delay the urgent hedges.
    latencies = Latencies(policy=POLICY)
    for _ in range(100):
        latencies.record(service_name="s", rank=Rank.URGENT, duration_ms=20.0)
        latencies.record(service_name="s", rank=Rank.PATIENT, duration_ms=2_000.0)
    delay_ms = latencies.find_hedge_delay_ms(service_name="s", rank=Rank.URGENT)
    assert 20.0 <= delay_ms <= 22.0


def test_no_hedge_without_samples_or_policy_and_never_below_the_floor():
    latencies = Latencies(policy=POLICY)
    for number in range(latency.MINIMUM_SAMPLES):
        found = latencies.find_hedge_delay_ms(service_name="s", rank=Rank.URGENT)
        assert found is None, number
        latencies.record(service_name="s", rank=Rank.URGENT, duration_ms=1.0)
    assert latencies.find_hedge_delay_ms(service_name="s", rank=Rank.URGENT) == 10.0
    off = Latencies(policy=NoHedge())
    assert off.find_hedge_delay_ms(service_name="s", rank=Rank.URGENT) is None


def test_the_number_of_sketches_is_bounded(monkeypatch):
    monkeypatch.setattr(latency, "SKETCH_LIMIT", 5)
    latencies = Latencies(policy=POLICY)
    for number in range(50):
        latencies.record(service_name=f"s{number}", rank=Rank.URGENT, duration_ms=1.0)
    assert latencies.count_sketches() == 5
