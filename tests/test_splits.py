"""Weighted splits keep their shares over any run of requests."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.routes import SplitPart, SplitTarget
from gooseberrymux.splits import SPLITS_LIMIT, Splitter


def create_target(weights):
    return SplitTarget(
        parts=tuple(
            SplitPart(service=f"s{number}", weight=weight)
            for number, weight in enumerate(weights)
        )
    )


@given(
    st.lists(st.integers(0, 20), min_size=1, max_size=5).filter(any),
    st.integers(1, 200),
)
def test_each_part_gets_its_share_within_a_few_requests(weights, count):
    target = create_target(weights)
    splitter = Splitter()
    chosen = collections.Counter(
        splitter.choose(route="r", target=target) for _ in range(count)
    )
    for number, weight in enumerate(weights):
        share = count * weight / sum(weights)
        assert abs(chosen[f"s{number}"] - share) <= len(weights)


def test_other_weights_begin_anew_and_old_ones_are_forgotten():
    splitter = Splitter()
    for number in range(SPLITS_LIMIT + 1):
        splitter.choose(route=f"r{number}", target=create_target([1, 1]))
    assert len(splitter._credits) == SPLITS_LIMIT
