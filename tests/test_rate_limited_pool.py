"""Pool of a service whose upstreams name the rate of requests that they take."""

from gooseberrymux.clock import MS_PER_S, Clock
from gooseberrymux.forward_messages import PartNotRun, PartReplied
from test_pool import answer, open_owner

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


# Guards against work that stays queued although the limit allows it by now.
def test_what_waits_for_the_limit_is_sent_without_another_event():
    with open_owner() as owner:
        upstream = owner.add_upstream("u1", answer_with_limit, slots=2)
        for number in range(3):
            owner.submit(request_id=f"r{number}")
            owner.wait_for_outcomes(number + 1)
        assert [outcome.status for outcome in owner.outcomes] == [200] * 3
        assert len(upstream.requests) == 3


# Guards against callers that wait for work which the limit leaves no room for.
def test_what_exceeds_the_limit_is_refused_at_once_as_not_run():
    with open_owner() as owner:
        owner.add_upstream("u1", answer_with_limit, slots=2)
        owner.submit(request_id="first")
        owner.wait_for_outcomes(1)
        for number in range(100):
            owner.submit(request_id=f"r{number}")
        refused = [part for part in owner.outcomes if isinstance(part, PartNotRun)]
        assert len(refused) > 50
        assert "rate_limited" in {part.reason for part in refused}
        assert all(part.retry_after_ms > 0 for part in refused)


def test_an_upstream_without_a_limit_takes_what_the_other_leaves():
    with open_owner() as owner:
        limited = owner.add_upstream("u1", answer_with_limit, slots=2)
        owner.submit(request_id="first")
        owner.wait_for_outcomes(1)
        owner.add_upstream("u2", answer, slots=2)
        for number in range(30):
            owner.submit(request_id=f"r{number}")
            owner.wait_for_outcomes(number + 2)
        assert all(isinstance(part, PartReplied) for part in owner.outcomes)
        assert len(limited.requests) <= 1 + 2 * RATE_PER_S


# Guards against a limit that outlasts the replies that name it.
def test_a_reply_without_the_limit_ends_it():
    with open_owner() as owner:
        upstream = owner.add_upstream("u1", answer_with_limit, slots=2)
        owner.submit(request_id="first")
        owner.wait_for_outcomes(1)
        upstream.handler = answer
        owner.submit(request_id="last-limited")
        owner.wait_for_outcomes(2)
        for number in range(30):
            owner.submit(request_id=f"r{number}")
            owner.wait_for_outcomes(number + 3)
        assert all(isinstance(part, PartReplied) for part in owner.outcomes)
