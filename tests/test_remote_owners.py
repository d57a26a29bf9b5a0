"""Forwarded requests whose owner is another instance, which may be lost."""

import pytest

from gooseberrymux.attempt_budgets import MAX_DISPATCHES
from gooseberrymux.forward_messages import (
    AttemptGranted,
    AttemptRequest,
    CancelForward,
    ForwardCall,
    PartReplied,
    PartUnknown,
)
from gooseberrymux.forwarding import ANSWER_TRANSIT_MS, MERGE_AND_WRITE_MS
from gooseberrymux.parts import Parts
from gooseberrymux.peers import MessagesNotSent, PeerLost
from harness import wait_until
from http_scripted import create_route
from test_gateway import FANOUT, GatewayEnvironment, echo


class RemoteOwner:
    """An owner on another instance, whose messages the test sends."""

    def __init__(self):
        self.env = GatewayEnvironment(members=("other",))
        self.peers = self.env.peers
        self.peers.incarnations["other"] = 3
        self.env.publish_upstreams(s=echo)
        self.parts = self.env.kernel.find("parts", Parts)

    def list_sent(self, kind=ForwardCall):
        return [message for _, message in self.peers.sent if isinstance(message, kind)]

    def send_request(self, **route):
        self.env.publish_routes(create_route(**route))
        caller = self.env.open_caller()
        caller.send(
            b"GET /a/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\n\r\n"
        )
        wait_until(self.list_sent, message="not dispatched")
        return caller

    def publish_loss(self, incarnation=3):
        event = PeerLost(instance="other", incarnation=incarnation, reason="test")
        self.env.kernel.publish(event)

    def request_attempt(self, call, incarnation=3, sender="other"):
        message = AttemptRequest(call=call.id, service="s")
        self.peers.receive(sender, incarnation, message)

    def reply(self, call, incarnation=3, sender="other"):
        outcome = PartReplied(
            call=call.id,
            service="s",
            upstream="u",
            status=200,
            headers=(),
            proof="p",
            body=b"from afar",
            sends=1,
            queued_ms=0.0,
            upstream_ms=1.0,
        )
        self.peers.receive(sender, incarnation, outcome)


@pytest.fixture
def owner():
    created = RemoteOwner()
    yield created
    created.env.stop()


def test_an_owner_is_told_when_the_entry_answers(owner):
    # Guards against an owner that holds merged parts for a time of its own choice.
    owner.send_request(latency_target_ms=200.0)
    (call,) = owner.list_sent()
    assert call.target_ms - call.answer_ms == pytest.approx(
        ANSWER_TRANSIT_MS + MERGE_AND_WRITE_MS
    )


def test_a_lost_owner_costs_a_repeatable_request_one_attempt(owner):
    caller = owner.send_request()
    owner.publish_loss()
    wait_until(lambda: len(owner.list_sent()) == 2, message="not sent again")
    first, second = owner.list_sent()
    assert (second.attempts, second.dispatched_before) == (1, True)
    owner.reply(first)
    owner.reply(second)
    assert caller.read()[2] == b"from afar"


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_lost_owners_together_get_no_more_attempts_than_the_route_allows(
    owner, attempts
):
    """Guards against a request that runs on more upstreams than its route allows.

    A killed owner may have used every attempt that it was given.
    """
    caller = owner.send_request(attempts=attempts)
    for number in range(attempts):
        wait_until(
            lambda sent=number: len(owner.list_sent()) > sent, message="not dispatched"
        )
        owner.publish_loss()
    assert caller.read()[0] == 502
    calls = owner.list_sent()
    assert sum(call.attempts for call in calls) == attempts
    assert [call.attempts_on_request for call in calls] == list(
        reversed(range(attempts))
    )


def test_an_attempt_that_a_lost_owner_has_asked_for_counts_as_used(owner):
    caller = owner.send_request(attempts=2)
    (call,) = owner.list_sent()
    owner.request_attempt(call)
    (granted,) = owner.list_sent(AttemptGranted)
    assert (granted.call, granted.service) == (call.id, "s")
    owner.publish_loss()
    assert caller.read()[0] == 502
    assert len(owner.list_sent()) == 1


def test_an_owner_gets_no_attempt_beyond_the_route_or_after_the_end_of_its_call(owner):
    # Guards against a frozen owner that sends a request again when it resumes.
    caller = owner.send_request(attempts=2)
    (first,) = owner.list_sent()
    owner.publish_loss()
    wait_until(lambda: len(owner.list_sent()) == 2, message="not sent again")
    second = owner.list_sent()[1]
    for call in (first, second):
        owner.request_attempt(call)
    owner.request_attempt(second, incarnation=2)
    owner.request_attempt(second, sender="foreign")
    owner.reply(second)
    assert caller.read()[0] == 200
    owner.request_attempt(second)
    assert owner.list_sent(AttemptGranted) == []


def test_what_was_never_sent_keeps_its_attempts(owner):
    caller = owner.send_request(attempts=2)
    event = MessagesNotSent(instance="other", messages=owner.list_sent())
    owner.env.kernel.publish(event)
    wait_until(lambda: len(owner.list_sent()) == 2, message="not sent again")
    second = owner.list_sent()[1]
    assert (second.attempts, second.attempts_on_request) == (1, 1)
    owner.reply(second)
    assert caller.read()[0] == 200


@pytest.mark.parametrize("target", [{"service": "s"}, {**FANOUT, "services": ["s"]}])
def test_a_request_that_a_lost_owner_may_have_run_is_not_answered_as_not_run(
    owner, target
):
    """Guards against a false promise to a caller that nothing has run.

    The first owner is lost after it got the request, the second is never reached.
    """
    caller = owner.send_request(attempts=2, target=target)
    owner.publish_loss()
    for number in range(1, MAX_DISPATCHES):
        wait_until(
            lambda sent=number: len(owner.list_sent()) > sent, message="not sent again"
        )
        event = MessagesNotSent(instance="other", messages=owner.list_sent()[-1:])
        owner.env.kernel.publish(event)
    assert caller.read()[0] == 502


def test_a_lost_owner_leaves_an_order_unknown(owner):
    # Guards against running an order twice.
    caller = owner.send_request(repeatable=False)
    owner.publish_loss()
    assert caller.read()[0] == 502
    assert len(owner.list_sent()) == 1


def test_what_was_never_sent_goes_to_another_owner_even_if_it_must_not_run_twice(
    owner,
):
    caller = owner.send_request(repeatable=False)
    event = MessagesNotSent(instance="other", messages=owner.list_sent())
    owner.env.kernel.publish(event)
    wait_until(lambda: len(owner.list_sent()) == 2, message="not sent again")
    assert owner.list_sent()[1].dispatched_before is False
    owner.reply(owner.list_sent()[1])
    assert caller.read()[0] == 200


def test_outcomes_of_another_run_or_instance_are_dropped(owner):
    caller = owner.send_request()
    (call,) = owner.list_sent()
    owner.reply(call, incarnation=2)
    owner.reply(call, sender="foreign")
    unknown = PartUnknown(call="x", service="s", reason="x", step="s", peer="p")
    owner.peers.receive("other", 3, unknown)
    owner.reply(call)
    assert caller.read()[2] == b"from afar"


def test_a_caller_that_leaves_has_its_parts_cancelled_at_their_owner(owner):
    caller = owner.send_request()
    caller.close()
    wait_until(lambda: owner.list_sent(CancelForward), message="not cancelled")
    (cancel,) = owner.list_sent(CancelForward)
    assert (cancel.id, cancel.services) == (owner.list_sent()[0].id, ["s"])
