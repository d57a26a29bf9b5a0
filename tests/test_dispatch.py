"""Owner side: lanes over real sockets, early refusal, cancel, idle close, drain."""

import dataclasses
import threading

import pytest

from gooseberrymux.clock import ManualClock
from gooseberrymux.dispatch import Dispatch
from gooseberrymux.lanes import LANE_IDLE_MS
from gooseberrymux.messages import (
    CancelSubrequest,
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
)
from gooseberrymux.records import Rank
from harness import create_kernel, publish_upstreams, wait_until
from scripted import ScriptedUpstream


class Bench:
    """A dispatch with one upstream of one slot whose replies a test releases."""

    def __init__(self, *, clock=None, **settings):
        self.gate = threading.Semaphore(0)
        self.upstream = ScriptedUpstream(self._behave)
        self.kernel = create_kernel(clock=clock, **settings)
        self.dispatch = self.kernel.find("dispatch", Dispatch)
        self.record = self.upstream.describe("u")
        publish_upstreams(self.kernel, 1, [self.record])
        self.outcomes = {}

    def _behave(self, asked):
        if asked.path == "/cancel":
            asked.reply(200)
            return
        self.gate.acquire()
        asked.complete()

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

    def wait(self, *names):
        wait_until(
            lambda: all(name in self.outcomes for name in names),
            message=f"no outcome of {names}",
        )
        return [self.outcomes[name][0] for name in names]

    def wait_running(self, name):
        wait_until(
            lambda: any(
                a.body.get("request_id") == name for a in self.upstream.requests
            ),
            message=f"{name} was not sent",
        )

    def list_asked(self):
        return [(a.path, a.body["request_id"]) for a in self.upstream.requests]


@pytest.fixture
def start():
    benches = []

    def create(**settings):
        benches.append(Bench(**settings))
        return benches[-1]

    yield create
    for bench in benches:
        for _ in range(50):
            bench.gate.release()
        bench.dispatch.stop()
        bench.upstream.close()


def test_urgent_goes_first_and_expired_items_are_not_sent(start):
    clock = ManualClock()
    bench = start(clock=clock)
    bench.submit("first")
    bench.wait_running("first")
    bench.submit("patient", rank=Rank.PATIENT)
    bench.submit("expired", remaining_ms=100.0)
    bench.submit("urgent", rank=Rank.URGENT)
    clock.advance(150.0)
    for _ in range(4):
        bench.gate.release()
    (expired,) = bench.wait("patient", "urgent", "expired")[2:]
    assert isinstance(expired, SubrequestNotRun)
    sent = [name for _, name in bench.list_asked()]
    assert sent == ["first", "urgent", "patient"]


@pytest.mark.parametrize("early", [True, False])
def test_work_that_cannot_meet_its_deadline_is_refused_when_it_arrives(start, early):
    # Guards against work that waits in vain and then is refused too late to be
    # tried elsewhere.
    clock = ManualClock()
    bench = start(clock=clock, policy={"early_refusal": early})
    bench.submit("measured")
    bench.wait_running("measured")
    clock.advance(100.0)
    bench.gate.release()
    bench.wait("measured")
    bench.submit("running")
    bench.wait_running("running")
    bench.submit("ahead")
    bench.submit("late", remaining_ms=120.0)
    bench.submit("in_time", remaining_ms=500.0)
    refused = bench.outcomes.get("late")
    if early:
        assert refused[0].reason == "deadline_unreachable"
        assert refused[0].queue_wait_ms >= 100.0
    else:
        assert refused is None
    assert "in_time" not in bench.outcomes


def test_an_idle_lane_takes_work_whatever_the_estimate(start):
    # Guards against an estimate that refuses everything and so is never renewed.
    clock = ManualClock()
    bench = start(clock=clock)
    bench.submit("measured")
    bench.wait_running("measured")
    clock.advance(1_000.0)
    bench.gate.release()
    bench.wait("measured")
    bench.gate.release()
    bench.submit("short", remaining_ms=300.0)
    assert isinstance(bench.wait("short")[0], SubrequestCompleted)


def test_full_queue_refuses_but_makes_room_of_expired_items_first(start):
    clock = ManualClock()
    bench = start(clock=clock, ranks={"standard": {"queue_limit": 1}})
    bench.submit("running")
    bench.wait_running("running")
    bench.submit("waits", remaining_ms=100.0)
    bench.submit("over")
    assert bench.wait("over")[0].reason == "queue_full"
    clock.advance(150.0)
    bench.submit("next")
    assert bench.wait("waits")[0].reason == "deadline_unreachable"
    assert "next" not in bench.outcomes


def test_cancel_removes_a_queued_item_and_asks_the_upstream_for_a_running_one(start):
    # Guards against losers that use up slots, and against a cancel from elsewhere.
    bench = start()
    bench.submit("running", requester="e1")
    bench.wait_running("running")
    bench.submit("queued", requester="e1")
    peers = bench.kernel.find("peers", object)
    for sender in ("e2", "e1"):
        for name in ("queued", "running"):
            peers.receive(sender, 1, CancelSubrequest(id=name, upstream="u"))
        if sender == "e2":
            assert not bench.outcomes
    assert bench.wait("queued")[0].reason == "cancelled"
    wait_until(
        lambda: ("/cancel", "running") in bench.list_asked(),
        message="the upstream was not asked to cancel",
    )
    # The lane's own thread is still in the exchange, so the cancel went beside it.
    assert "running" not in bench.outcomes
    bench.gate.release()
    assert isinstance(bench.wait("running")[0], SubrequestCompleted)
    assert len(bench.list_asked()) == 2


def test_a_running_order_is_not_cancelled_half_way(start):
    # Guards against an order whose outcome becomes unknown by our own doing.
    bench = start()
    bench.submit("order", requester="e1", order_key="k")
    bench.wait_running("order")
    bench.submit("query", requester="e1")
    for name in ("order", "query"):
        bench.dispatch.cancel(name, upstream="u", requester="e1")
    bench.wait("query")
    bench.gate.release()
    assert isinstance(bench.wait("order")[0], SubrequestCompleted)
    assert bench.list_asked() == [("/orders", "order")]


def test_a_subrequest_that_arrives_twice_runs_once(start):
    # Guards against an order that a repeated frame runs twice.
    bench = start()
    peers = bench.kernel.find("peers", object)
    peers.incarnations["e1"] = 5
    order = Subrequest(
        id="o-1",
        request_id="r",
        upstream="u",
        rank=Rank.URGENT,
        remaining_ms=5_000.0,
        order_key="k",
    )
    bench.gate.release(3)
    for _ in range(3):
        peers.receive("e1", 5, order)
    wait_until(lambda: peers.sent, message="no outcome was sent")
    bench.submit("after")
    bench.wait("after")
    assert [name for _, name in bench.list_asked()] == ["o-1", "after"]


def test_a_lane_closes_its_connections_when_idle_and_opens_again(start):
    # Guards against connections that instances keep to upstreams they no longer own.
    clock = ManualClock()
    bench = start(clock=clock)
    bench.gate.release(2)
    bench.submit("one")
    bench.wait("one")

    def is_closed():
        clock.advance(LANE_IDLE_MS)
        return not bench.dispatch.describe()["lanes"]

    wait_until(is_closed, message="the lane stayed open")
    bench.submit("two")
    assert isinstance(bench.wait("two")[0], SubrequestCompleted)
    assert bench.upstream.connections == 2


def test_a_changed_record_reopens_connections(start):
    bench = start()
    bench.gate.release(9)
    bench.submit("one")
    bench.wait("one")
    moved = ScriptedUpstream(lambda asked: asked.complete())
    record = dataclasses.replace(bench.record, port=moved.port, epoch=2, slots=2)
    publish_upstreams(bench.kernel, 2, [record])
    bench.submit("two")
    assert isinstance(bench.wait("two")[0], SubrequestCompleted)
    assert [a.body["request_id"] for a in moved.requests] == ["two"]
    moved.close()


def test_drain_hands_queued_items_back_and_finishes_the_running_one(start):
    bench = start()
    bench.submit("running")
    bench.wait_running("running")
    bench.submit("queued")
    bench.dispatch.drain(0.0)
    bench.submit("after")
    assert [o.reason for o in bench.wait("queued", "after")] == ["instance_leaving"] * 2
    bench.gate.release()
    assert isinstance(bench.wait("running")[0], SubrequestCompleted)
    assert all(len(outcomes) == 1 for outcomes in bench.outcomes.values())


def test_a_fault_in_one_exchange_does_not_end_the_lane(start, monkeypatch):
    bench = start()
    bench.gate.release(9)
    monkeypatch.setattr(
        "gooseberrymux.exchange.create_request_body", lambda subrequest: 1 / 0
    )
    bench.submit("fault")
    assert bench.wait("fault")[0].reason == "internal_error"
    monkeypatch.undo()
    bench.submit("next")
    assert isinstance(bench.wait("next")[0], SubrequestCompleted)
    assert bench.kernel.failure is None
