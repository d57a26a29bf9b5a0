"""Weighted round robin keeps the shares of a split over any number of requests."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.routes import SplitPart, SplitTarget
from gooseberrymux.splits import MAX_SPLITS, WeightedRoundRobin


def create_target(weights):
    return SplitTarget(
        parts=tuple(
            SplitPart(service=f"s{index}", weight=weight)
            for index, weight in enumerate(weights)
        )
    )


@given(
    st.lists(st.integers(0, 20), min_size=1, max_size=5).filter(any),
    st.integers(1, 200),
)
def test_each_part_gets_its_share_within_a_few_requests(weights, count):
    target = create_target(weights)
    balancer = WeightedRoundRobin()
    chosen = collections.Counter(
        balancer.choose_service(route="r", target=target) for _ in range(count)
    )
    for index, weight in enumerate(weights):
        share = count * weight / sum(weights)
        assert abs(chosen[f"s{index}"] - share) <= len(weights)


def test_other_weights_begin_anew_and_old_ones_are_forgotten():
    balancer = WeightedRoundRobin()
    for index in range(MAX_SPLITS + 1):
        balancer.choose_service(route=f"r{index}", target=create_target([1, 1]))
    assert len(balancer._current_weights) == MAX_SPLITS
