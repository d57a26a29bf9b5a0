"""Pool of a service whose upstreams name the rate of requests that they take."""

from gooseberrymux.clock import MS_PER_S, Clock
from test_pool import open_owner

RATE_PER_S = 5


def answer_with_limit(request):
    request.reply(200, b"whole", x_rate_limit=str(RATE_PER_S))


# Guards against an upstream that gets far more requests than the rate that it names.
def test_an_upstream_gets_no_more_requests_than_the_rate_that_it_names():
    clock = Clock()
    with open_owner() as owner:
        upstream = owner.add_upstream("u1", answer_with_limit, slots=2)
        owner.submit(request_id="first")
        owner.wait_for_outcomes(1)
        started_ms = clock.now_ms()
        for number in range(40):
            owner.submit(request_id=f"r{number}", remaining_ms=1_500.0)
        owner.wait_for_outcomes(41)
        elapsed_s = (clock.now_ms() - started_ms) / MS_PER_S
        allowed = RATE_PER_S * (elapsed_s + 1)
        assert len(upstream.requests) - 1 <= allowed
