"""Hedges and retries for which an owner asks the entry first."""

import pytest

from gooseberrymux.forward_messages import AttemptRequest, PartReplied, PartUnknown
from harness import wait_until
from test_pool import answer, open_owner, stay_silent


@pytest.fixture
def owner():
    with open_owner() as created:
        yield created


def test_a_hedge_waits_for_the_attempt_that_the_entry_grants(owner):
    """Guards against a hedge of which the entry would not know if this owner died."""
    silent = owner.add_upstream("u1", stay_silent, failure_domain="a")
    spare = owner.add_upstream("u2", answer, failure_domain="b")
    call = owner.submit(requester="other", attempts=1, attempts_on_request=1)
    wait_until(lambda: owner.attempt_requests, message="no attempt asked for")
    assert owner.attempt_requests == [AttemptRequest(call=call.id, service="s")]
    assert (len(silent.requests), len(spare.requests)) == (1, 0)
    owner.grant_attempt(call)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartReplied) and outcome.upstream == "u2"


def test_a_retry_waits_for_the_attempt_that_the_entry_grants(owner):
    owner.add_upstream("u1", lambda request: request.reset(), failure_domain="a")
    spare = owner.add_upstream("u2", answer, failure_domain="b")
    call = owner.submit(requester="other", attempts=1, attempts_on_request=1)
    wait_until(lambda: owner.attempt_requests, message="no attempt asked for")
    assert spare.requests == [] and owner.outcomes == []
    owner.grant_attempt(call)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartReplied) and outcome.upstream == "u2"


def test_a_retry_that_is_granted_no_attempt_ends_at_its_deadline(owner):
    owner.add_upstream("u1", lambda request: request.reset(), failure_domain="a")
    spare = owner.add_upstream("u2", answer, failure_domain="b")
    call = owner.submit(
        requester="other", attempts=1, attempts_on_request=1, remaining_ms=400.0
    )
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartUnknown)
    owner.grant_attempt(call)
    assert spare.requests == []


def test_an_attempt_that_comes_late_or_was_not_asked_for_sends_nothing(owner):
    # Guards against a request that is sent twice for one attempt.
    silent = owner.add_upstream("u1", stay_silent, failure_domain="a")
    spare = owner.add_upstream("u2", stay_silent, failure_domain="b")
    third = owner.add_upstream("u3", stay_silent, failure_domain="c")
    call = owner.submit(requester="other", attempts=1, attempts_on_request=1)
    owner.grant_attempt(call)
    wait_until(lambda: owner.attempt_requests, message="no attempt asked for")
    assert spare.requests == third.requests == []
    for _ in range(3):
        owner.grant_attempt(call)
    wait_until(lambda: spare.requests or third.requests, message="no hedge")
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartUnknown)
    sends = [len(upstream.requests) for upstream in (silent, spare, third)]
    assert sorted(sends) == [0, 1, 1]
    assert len(owner.attempt_requests) == 1
