"""Retry and hedge budgets: shares, the common limit, and separate ranks."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.budgets import (
    BURST_TOKENS,
    EXTRA_SHARE_LIMIT,
    Budgets,
    SlidingWindowBudget,
)
from gooseberrymux.records import Rank
from harness import create_settings

OPERATIONS = st.lists(st.sampled_from(["first", "retry", "hedge"]), max_size=12).map(
    lambda operations: operations * 60
)


@given(OPERATIONS, st.floats(0, 0.5), st.floats(0, 0.5))
def test_extra_load_never_exceeds_its_share(operations, retry_share, hedge_share):
    # Guards against retry storms: docs/design.md 1.3 allows at most 10 % extra load.
    settings = create_settings(
        ranks={"urgent": {"retry_share": retry_share, "hedge_share": hedge_share}}
    )
    budgets = Budgets(settings=settings.ranks)
    granted = {"first": 0, "retry": 0, "hedge": 0}
    for operation in operations:
        match operation:
            case "first":
                budgets.record_first_send(Rank.URGENT)
                granted["first"] += 1
            case "retry":
                granted["retry"] += budgets.try_acquire_retry(Rank.URGENT)
            case "hedge":
                granted["hedge"] += budgets.try_acquire_hedge(Rank.URGENT)
    firsts = granted["first"]
    assert granted["retry"] <= firsts * retry_share + BURST_TOKENS + 1e-6
    assert granted["hedge"] <= firsts * hedge_share + BURST_TOKENS + 1e-6
    extra = granted["retry"] + granted["hedge"]
    assert extra <= firsts * EXTRA_SHARE_LIMIT + BURST_TOKENS + 1e-6


def test_a_rank_draws_on_its_own_budget_only():
    # Guards against urgent retries that use up the budget of patient traffic, or the
    # reverse.
    budgets = Budgets(settings=create_settings().ranks)
    while budgets.try_acquire_retry(Rank.PATIENT):
        pass
    for _ in range(1_000):
        budgets.record_first_send(Rank.URGENT)
    assert not budgets.try_acquire_retry(Rank.PATIENT)
    assert budgets.try_acquire_retry(Rank.URGENT)
    assert not budgets.try_acquire_hedge(Rank.PATIENT)  # its hedge share is 0


def test_accumulated_tokens_are_limited_to_a_burst():
    # Guards against a retry storm that spends tokens accumulated over hours.
    budgets = Budgets(settings=create_settings().ranks)
    for _ in range(10_000):
        budgets.record_first_send(Rank.URGENT)
    taken = sum(budgets.try_acquire_retry(Rank.URGENT) for _ in range(1_000))
    assert taken == BURST_TOKENS


@given(
    st.lists(st.tuples(st.floats(0, 300), st.booleans()), max_size=120),
    st.floats(0, 0.5),
    st.integers(0, 5),
)
def test_extra_sends_are_bounded_in_every_window(operations, share, slack):
    # Guards against a limit that holds on average but not in every window.
    window_ms = 1000.0
    budget = SlidingWindowBudget(share=share, slack=slack, window_ms=window_ms)
    now_ms, firsts, extras = 0.0, [], []
    for pause_ms, is_first in operations:
        now_ms += pause_ms
        if is_first:
            budget.record_first_send(now_ms)
            firsts.append(now_ms)
        elif budget.try_acquire_extra(now_ms):
            extras.append(now_ms)
            window = [at for at in firsts if at >= now_ms - window_ms]
            taken = [at for at in extras if at >= now_ms - window_ms]
            assert len(taken) <= share * len(window) + slack
