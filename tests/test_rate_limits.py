"""Token bucket of an upstream that names the rate of requests that it takes."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.rate_limits import MIN_RATE_PER_S, REPORT_PERIOD_MS, RateLimit

WINDOW_MS = 4_000.0


def run_demand(limit, gaps_ms):
    """Asks after each gap and sends if allowed; returns the times of the sends."""
    now_ms, sent_ms = 0.0, []
    for gap_ms in gaps_ms:
        now_ms += gap_ms
        if limit.get_wait_ms(now_ms) == 0.0:
            limit.record_send(now_ms)
            sent_ms.append(now_ms)
    return sent_ms


# Guards against bursts that exceed the limit in some window though the average holds.
@given(
    rate_per_s=st.floats(min_value=0.0, max_value=200.0),
    gaps_ms=st.lists(st.floats(min_value=0.0, max_value=500.0), max_size=200),
)
def test_no_window_holds_more_sends_than_the_rate_and_one_burst(rate_per_s, gaps_ms):
    limit = RateLimit(rate_per_s=rate_per_s, now_ms=0.0)
    sent_ms = run_demand(limit, gaps_ms)
    allowed_per_s = max(MIN_RATE_PER_S, rate_per_s)
    allowed = allowed_per_s * WINDOW_MS / MS_PER_S + max(1.0, allowed_per_s)
    for start_ms in sent_ms:
        in_window = [at for at in sent_ms if start_ms <= at <= start_ms + WINDOW_MS]
        assert len(in_window) <= allowed + 1e-3


# Guards against an upstream that stays unused below the rate that it takes.
def test_steady_demand_gets_the_whole_rate():
    limit = RateLimit(rate_per_s=10.0, now_ms=0.0)
    sent_ms = run_demand(limit, [5.0] * 2_000)
    assert len(sent_ms) == 100


def test_the_wait_ends_when_the_next_request_may_be_sent():
    limit = RateLimit(rate_per_s=4.0, now_ms=0.0)
    wait_ms = limit.get_wait_ms(0.0)
    assert wait_ms == 250.0
    assert limit.get_wait_ms(wait_ms - 1.0) > 0.0
    assert limit.get_wait_ms(wait_ms) == 0.0


# Guards against an upstream that is never asked again, so that its limit never ends.
def test_a_limit_of_zero_lets_a_request_through_from_time_to_time():
    limit = RateLimit(rate_per_s=0.0, now_ms=0.0)
    assert 1 <= len(run_demand(limit, [100.0] * 40)) <= 2


def test_a_lower_rate_takes_effect_at_once():
    limit = RateLimit(rate_per_s=100.0, now_ms=0.0)
    limit.set_rate(2.0, 1_000.0)
    sent_ms = run_demand(limit, [1_000.0] + [1.0] * 999)
    assert len(sent_ms) <= 2 * 2


def test_a_report_counts_the_sends_of_its_period_once():
    limit = RateLimit(rate_per_s=5.0, now_ms=0.0)
    limit.record_send(10.0)
    assert limit.take_report(REPORT_PERIOD_MS - 1.0) is None
    assert limit.take_report(REPORT_PERIOD_MS).sends == 1
    assert limit.take_report(2 * REPORT_PERIOD_MS).sends == 0
