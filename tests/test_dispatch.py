"""Dispatch on the owner: early refusal, cancellation, idle pools and drain.

The upstreams are real sockets on loopback.
"""

import dataclasses
import threading

import pytest

from gooseberrymux.clock import ManualClock
from gooseberrymux.dispatch import Dispatch
from gooseberrymux.messages import (
    CancelSubrequest,
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
)
from gooseberrymux.records import Rank
from gooseberrymux.worker_pool import POOL_IDLE_TIMEOUT_MS
from harness import create_kernel, publish_upstreams, wait_until
from scripted import ScriptedUpstream


class DispatchHarness:
    """A `Dispatch` with one upstream of one slot.

    The upstream sends one reply for each release of `reply_permits`.
    """

    def __init__(self, *, clock=None, **settings):
        self.reply_permits = threading.Semaphore(0)
        self.upstream = ScriptedUpstream(self._handle_request)
        self.kernel = create_kernel(clock=clock, **settings)
        self.dispatch = self.kernel.find("dispatch", Dispatch)
        self.record = self.upstream.describe("u")
        publish_upstreams(self.kernel, 1, [self.record])
        self.outcomes = {}

    def _handle_request(self, request):
        if request.path == "/cancel":
            request.reply(200)
            return
        self.reply_permits.acquire()
        request.complete()

    def submit(
        self,
        name,
        *,
        rank=Rank.STANDARD,
        remaining_ms=60_000.0,
        requester="",
        order_key="",
    ):
        subrequest = Subrequest(
            id=name,
            request_id="q",
            upstream="u",
            rank=rank,
            remaining_ms=remaining_ms,
            version="v1",
            shard="x",
            order_key=order_key,
        )
        self.dispatch.submit(
            subrequest,
            lambda outcome: self.outcomes.setdefault(name, []).append(outcome),
            requester=requester,
        )

    def wait_for_outcomes(self, *names):
        wait_until(
            lambda: all(name in self.outcomes for name in names),
            message=f"no outcome of {names}",
        )
        return [self.outcomes[name][0] for name in names]

    def wait_until_sent(self, name):
        wait_until(
            lambda: any(
                a.body.get("request_id") == name for a in self.upstream.requests
            ),
            message=f"{name} was not sent",
        )

    def list_requests(self):
        return [(a.path, a.body["request_id"]) for a in self.upstream.requests]


@pytest.fixture
def create_harness():
    harnesses = []

    def create(**settings):
        harnesses.append(DispatchHarness(**settings))
        return harnesses[-1]

    yield create
    for harness in harnesses:
        for _ in range(50):
            harness.reply_permits.release()
        harness.dispatch.stop()
        harness.upstream.close()


def test_urgent_goes_first_and_expired_items_are_not_sent(create_harness):
    clock = ManualClock()
    harness = create_harness(clock=clock)
    harness.submit("first")
    harness.wait_until_sent("first")
    harness.submit("patient", rank=Rank.PATIENT)
    harness.submit("expired", remaining_ms=100.0)
    harness.submit("urgent", rank=Rank.URGENT)
    clock.advance(150.0)
    for _ in range(4):
        harness.reply_permits.release()
    (expired,) = harness.wait_for_outcomes("patient", "urgent", "expired")[2:]
    assert isinstance(expired, SubrequestNotRun)
    sent = [name for _, name in harness.list_requests()]
    assert sent == ["first", "urgent", "patient"]


@pytest.mark.parametrize("early", [True, False])
def test_work_that_cannot_meet_its_deadline_is_refused_when_it_arrives(
    create_harness, early
):
    # Guards against work that waits in the queue until its deadline and is then refused
    # too late to be tried at another replica.
    clock = ManualClock()
    harness = create_harness(clock=clock, policy={"early_refusal": early})
    harness.submit("measured")
    harness.wait_until_sent("measured")
    clock.advance(100.0)
    harness.reply_permits.release()
    harness.wait_for_outcomes("measured")
    harness.submit("running")
    harness.wait_until_sent("running")
    harness.submit("ahead")
    harness.submit("late", remaining_ms=120.0)
    harness.submit("in_time", remaining_ms=500.0)
    refused = harness.outcomes.get("late")
    if early:
        assert refused[0].reason == "deadline_unreachable"
        assert refused[0].queue_wait_ms >= 100.0
    else:
        assert refused is None
    assert "in_time" not in harness.outcomes


def test_an_idle_pool_accepts_work_whatever_the_estimate(create_harness):
    # Guards against a high service time estimate that refuses all work and so gets no
    # new sample.
    clock = ManualClock()
    harness = create_harness(clock=clock)
    harness.submit("measured")
    harness.wait_until_sent("measured")
    clock.advance(1_000.0)
    harness.reply_permits.release()
    harness.wait_for_outcomes("measured")
    harness.reply_permits.release()
    harness.submit("short", remaining_ms=300.0)
    assert isinstance(harness.wait_for_outcomes("short")[0], SubrequestCompleted)


def test_full_queue_refuses_but_makes_room_of_expired_items_first(create_harness):
    clock = ManualClock()
    harness = create_harness(clock=clock, ranks={"standard": {"queue_limit": 1}})
    harness.submit("running")
    harness.wait_until_sent("running")
    harness.submit("waits", remaining_ms=100.0)
    harness.submit("over")
    assert harness.wait_for_outcomes("over")[0].reason == "queue_full"
    clock.advance(150.0)
    harness.submit("next")
    assert harness.wait_for_outcomes("waits")[0].reason == "deadline_unreachable"
    assert "next" not in harness.outcomes


def test_cancel_removes_a_queued_item_and_asks_the_upstream_for_a_running_one(
    create_harness,
):
    # Guards against cancelled sub-requests that keep using up slots, and against a
    # cancel by an instance that did not send the sub-request.
    harness = create_harness()
    harness.submit("running", requester="e1")
    harness.wait_until_sent("running")
    harness.submit("queued", requester="e1")
    peers = harness.kernel.find("peers", object)
    for sender in ("e2", "e1"):
        for name in ("queued", "running"):
            peers.receive(sender, 1, CancelSubrequest(id=name, upstream="u"))
        if sender == "e2":
            assert not harness.outcomes
    assert harness.wait_for_outcomes("queued")[0].reason == "cancelled"
    wait_until(
        lambda: ("/cancel", "running") in harness.list_requests(),
        message="the upstream was not asked to cancel",
    )
    # The worker thread still waits for the reply, so the cancel used another
    # connection.
    assert "running" not in harness.outcomes
    harness.reply_permits.release()
    assert isinstance(harness.wait_for_outcomes("running")[0], SubrequestCompleted)
    assert len(harness.list_requests()) == 2


def test_a_running_order_is_not_cancelled_half_way(create_harness):
    # Guards against a cancel that makes the outcome of an order unknown.
    harness = create_harness()
    harness.submit("order", requester="e1", order_key="k")
    harness.wait_until_sent("order")
    harness.submit("query", requester="e1")
    for name in ("order", "query"):
        harness.dispatch.cancel(name, upstream="u", requester="e1")
    harness.wait_for_outcomes("query")
    harness.reply_permits.release()
    assert isinstance(harness.wait_for_outcomes("order")[0], SubrequestCompleted)
    assert harness.list_requests() == [("/orders", "order")]


def test_a_subrequest_that_arrives_twice_runs_once(create_harness):
    # Guards against an order that runs twice because its frame is delivered twice.
    harness = create_harness()
    peers = harness.kernel.find("peers", object)
    peers.incarnations["e1"] = 5
    order = Subrequest(
        id="o-1",
        request_id="r",
        upstream="u",
        rank=Rank.URGENT,
        remaining_ms=5_000.0,
        order_key="k",
    )
    harness.reply_permits.release(3)
    for _ in range(3):
        peers.receive("e1", 5, order)
    wait_until(lambda: peers.sent, message="no outcome was sent")
    harness.submit("after")
    harness.wait_for_outcomes("after")
    assert [name for _, name in harness.list_requests()] == ["o-1", "after"]


def test_an_idle_pool_closes_its_connections_and_is_reopened(create_harness):
    # Guards against instances that keep connections to upstreams they no longer own.
    clock = ManualClock()
    harness = create_harness(clock=clock)
    harness.reply_permits.release(2)
    harness.submit("one")
    harness.wait_for_outcomes("one")

    def is_closed():
        clock.advance(POOL_IDLE_TIMEOUT_MS)
        return not harness.dispatch.describe()["lanes"]

    wait_until(is_closed, message="the worker pool stayed open")
    harness.submit("two")
    assert isinstance(harness.wait_for_outcomes("two")[0], SubrequestCompleted)
    assert harness.upstream.connections == 2


def test_a_changed_record_reopens_connections(create_harness):
    harness = create_harness()
    harness.reply_permits.release(9)
    harness.submit("one")
    harness.wait_for_outcomes("one")
    new_upstream = ScriptedUpstream(lambda request: request.complete())
    record = dataclasses.replace(
        harness.record, port=new_upstream.port, epoch=2, slots=2
    )
    publish_upstreams(harness.kernel, 2, [record])
    harness.submit("two")
    assert isinstance(harness.wait_for_outcomes("two")[0], SubrequestCompleted)
    assert [a.body["request_id"] for a in new_upstream.requests] == ["two"]
    new_upstream.close()


def test_drain_hands_queued_items_back_and_finishes_the_running_one(create_harness):
    harness = create_harness()
    harness.submit("running")
    harness.wait_until_sent("running")
    harness.submit("queued")
    harness.dispatch.drain(0.0)
    harness.submit("after")
    assert [o.reason for o in harness.wait_for_outcomes("queued", "after")] == [
        "instance_leaving"
    ] * 2
    harness.reply_permits.release()
    assert isinstance(harness.wait_for_outcomes("running")[0], SubrequestCompleted)
    assert all(len(outcomes) == 1 for outcomes in harness.outcomes.values())


def test_an_error_in_one_exchange_does_not_end_the_worker(create_harness, monkeypatch):
    harness = create_harness()
    harness.reply_permits.release(9)
    monkeypatch.setattr(
        "gooseberrymux.exchange.create_request_body", lambda subrequest: 1 / 0
    )
    harness.submit("fault")
    assert harness.wait_for_outcomes("fault")[0].reason == "internal_error"
    monkeypatch.undo()
    harness.submit("next")
    assert isinstance(harness.wait_for_outcomes("next")[0], SubrequestCompleted)
    assert harness.kernel.failure is None
