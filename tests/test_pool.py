"""One service at its owner: queue, hedges, retries, at most once, budgets."""

import contextlib
import dataclasses
import itertools
import threading

import pytest

from gooseberrymux import journal
from gooseberrymux.clock import Clock
from gooseberrymux.departures import Departures
from gooseberrymux.forward_messages import (
    CancelForward,
    ForwardCall,
    PartNotRun,
    PartReplied,
    PartUnknown,
)
from gooseberrymux.kernel import Kernel, LeaveStarted
from gooseberrymux.pools import Pools
from gooseberrymux.records import Rank, UpstreamState
from gooseberrymux.replicas import Replica
from harness import (
    FakeDocuments,
    FakeMembership,
    FakePeers,
    create_settings,
    publish_upstreams,
    wait_until,
)
from http_scripted import HttpUpstream

_ids = itertools.count(1)


class FakeDepartures(Departures):
    def __init__(self):
        self.leaving = set()

    def start(self):
        pass

    def stop(self):
        pass

    def is_leaving(self, upstream, epoch):
        return upstream in self.leaving

    def update_list(self, epochs, leaving):
        pass


class World:
    """An owner with real connections to scripted upstreams."""

    def __init__(self, **forwarding):
        self.kernel = Kernel(
            settings=create_settings(forwarding=forwarding), clock=Clock()
        )
        self.departures = FakeDepartures()
        for name, fake in {
            "peers": FakePeers(),
            "membership": FakeMembership(("entry",)),
            "documents": FakeDocuments(),
            "departures": self.departures,
        }.items():
            self.kernel.register(name, fake)
        self.kernel.load(("pools",))
        for name in ("timers", "inventory", "pools"):
            self.kernel._services[name].start()
        self.pools = self.kernel.find("pools", Pools)
        self.upstreams = {}
        self.outcomes = []
        self.generation = 0

    def add(self, name, behave, **fields):
        upstream = HttpUpstream(behave)
        self.upstreams[name] = (upstream, {"slots": 1, **fields})
        self.publish()
        return upstream

    def publish(self):
        self.generation += 1
        records = [
            upstream.describe(name, **fields)
            for name, (upstream, fields) in self.upstreams.items()
        ]
        publish_upstreams(self.kernel, self.generation, records)

    def submit(self, requester="", **fields):
        call = create_call(**fields)
        self.pools.submit(call, self.outcomes.append, requester=requester)
        return call

    def wait_for(self, count=1):
        wait_until(lambda: len(self.outcomes) >= count, message="no outcome")
        return self.outcomes

    def stop(self):
        self.pools.stop()
        self.kernel._services["timers"].stop()
        for upstream, _ in self.upstreams.values():
            upstream.close()


def create_call(**fields):
    given = {
        "id": f"c{next(_ids)}",
        "request_id": "r-1",
        "route": "desk",
        "services": ["s"],
        "rank": Rank.URGENT,
        "repeatable": True,
        "attempts": 2,
        "remaining_ms": 3000.0,
        "target_ms": 300.0,
        "method": "GET",
        "target": "/a/",
        "headers": (("host", "h"),),
        **fields,
    }
    return ForwardCall(**given)


def answer(request):
    request.reply(200, b"whole")


def create_gate():
    """Returns a semaphore, the ids of what arrived, and an upstream that waits."""
    gate = threading.Semaphore(0)
    order = []

    def hold(request):
        order.append(request.headers["x-request-id"])
        gate.acquire()
        answer(request)

    return gate, order, hold


def stay_silent(request):
    pass


def shed(request):
    request.reply(503, proof="", x_not_run="1")


@contextlib.contextmanager
def open_world(**forwarding):
    world = World(**forwarding)
    try:
        yield world
    finally:
        world.stop()


@pytest.fixture
def world():
    with open_world() as opened:
        yield opened


def test_a_reply_is_passed_on_with_its_proof(world):
    world.add("u1", answer)
    world.submit()
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartReplied)
    assert (outcome.upstream, outcome.status, outcome.body) == ("u1", 200, b"whole")
    assert outcome.proof and outcome.sends == 1


def test_without_upstreams_it_is_refused_as_not_run_at_once(world):
    world.submit()
    (outcome,) = world.outcomes
    assert isinstance(outcome, PartNotRun)
    assert outcome.reason == "no_replica" and outcome.retry_after_ms > 0


def test_urgent_work_overtakes_in_the_queue_and_slots_are_kept(world):
    gate, order, hold = create_gate()
    upstream = world.add("u1", hold)
    for name, rank in (("first", Rank.PATIENT), ("patient", Rank.PATIENT)):
        world.submit(request_id=name, rank=rank, attempts=1)
    world.submit(request_id="urgent", attempts=1)
    wait_until(lambda: order, message="nothing arrived")
    assert order == ["first"]
    gate.release(3)
    world.wait_for(3)
    assert order == ["first", "urgent", "patient"]
    assert upstream.connections == 1


def test_a_backlog_that_is_late_does_not_make_new_requests_late(world):
    """Guards against a queue that serves everybody late for as long as it is full."""
    gate, order, hold = create_gate()
    world.add("u1", hold)
    world.submit(request_id="running", attempts=1)
    for name in ("late-1", "late-2"):
        world.submit(request_id=name, attempts=1, target_ms=-1.0)
    world.submit(request_id="urgent", attempts=1, target_ms=2_000.0)
    late = {"target_ms": -1.0, "rank": Rank.PATIENT}
    world.submit(request_id="patient", attempts=1, **late)
    gate.release(5)
    world.wait_for(5)
    # Also late work goes before a lower rank, and none of it is dropped.
    assert order == ["running", "urgent", "late-1", "late-2", "patient"]


def test_a_backlog_that_is_late_is_no_reason_to_refuse_what_goes_before_it(world):
    gate, _, hold = create_gate()
    world.add("u1", hold)
    world.submit(attempts=1)
    for _ in range(40):
        world.submit(attempts=1, target_ms=-1.0)
    before = len(world.outcomes)
    world.submit(request_id="urgent", attempts=1, remaining_ms=400.0, target_ms=300.0)
    assert len(world.outcomes) == before
    gate.release(50)
    world.wait_for(before + 1)


def test_work_that_waits_for_a_better_upstream_keeps_its_rank(world, monkeypatch):
    """Guards against a backlog that goes before urgent work beside a slow upstream."""
    monkeypatch.setattr(
        Replica,
        "get_slowness",
        lambda self, now_ms: 100.0 if self.record.name == "slow" else 1.0,
    )
    monkeypatch.setattr(Replica, "is_probe_due", lambda self, now_ms: False)
    gate, order, hold = create_gate()
    world.add("sound", hold)
    idle = world.add("slow", answer)
    for name in ("first", "patient-1", "patient-2"):
        world.submit(request_id=name, rank=Rank.PATIENT, attempts=1)
    world.submit(request_id="urgent", attempts=1)
    gate.release(4)
    world.wait_for(4)
    assert order == ["first", "urgent", "patient-1", "patient-2"]
    assert not idle.arrived


def test_a_silent_upstream_is_hedged_and_the_loser_broken_off(world):
    silent = world.add("u1", stay_silent, failure_domain="a")
    world.add("u2", answer, failure_domain="b")
    world.submit(target_ms=60.0)
    (outcome,) = world.wait_for()
    assert (outcome.upstream, outcome.sends) == ("u2", 2)
    assert silent.left.acquire(timeout=5)


def test_a_stalled_upstream_gets_no_more_work_until_it_answers(world):
    world.add("u1", stay_silent, failure_domain="a", slots=4)
    world.add("u2", answer, failure_domain="b", slots=4)
    world.submit(target_ms=60.0, repeatable=False)
    wait_until(lambda: world.upstreams["u1"][0].arrived, message="not sent")
    Clock().sleep_ms(80)
    world.submit()
    (outcome,) = world.wait_for()
    assert (outcome.upstream, outcome.sends) == ("u2", 1)


def test_what_must_not_run_twice_is_sent_once_and_its_loss_is_unknown(world):
    # Guards against an order that runs twice.
    first = world.add("u1", lambda request: request.reset(), failure_domain="a")
    second = world.add("u2", answer, failure_domain="b")
    world.submit(repeatable=False)
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartUnknown)
    assert (len(first.arrived), len(second.arrived)) == (1, 0)


def test_what_was_shed_is_sent_to_another_even_if_it_must_not_run_twice(world):
    world.add("u1", shed, failure_domain="a")
    world.add("u2", answer, failure_domain="b")
    world.submit(repeatable=False, attempts=1)
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartReplied) and outcome.upstream == "u2"


def test_shed_everywhere_it_is_refused_as_not_run(world):
    world.add("u1", shed)
    world.add("u2", shed)
    world.submit(repeatable=False)
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartNotRun)
    assert (outcome.reason, outcome.retry_after_ms > 0) == ("shed", True)


def test_a_failed_reply_is_tried_elsewhere_and_passed_on_for_want_of_a_better(world):
    world.add("u1", lambda request: request.reply(500, b"a"), failure_domain="a")
    world.add("u2", lambda request: request.reply(502, b"b"), failure_domain="b")
    world.submit()
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartReplied)
    assert (outcome.status, outcome.sends) == (502, 2)


def test_no_request_runs_on_more_upstreams_than_its_route_allows(world):
    for number in range(3):
        world.add(f"u{number}", lambda request: request.reset())
    world.submit(attempts=2)
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartUnknown)
    arrived = [len(upstream.arrived) for upstream, _ in world.upstreams.values()]
    assert sorted(arrived) == [0, 1, 1]


def test_extra_sends_stay_within_the_budget():
    # Guards against retries that multiply the load of upstreams that fail.
    with open_world(extra_share=0.0, extra_slack=4) as world:
        world.add("u1", lambda request: request.reset())
        world.add("u2", lambda request: request.reset())
        for count in range(1, 6):
            world.submit()
            world.wait_for(count)
        arrived = sum(len(upstream.arrived) for upstream, _ in world.upstreams.values())
        assert arrived <= 5 + 1


def test_a_refused_connection_costs_no_budget_and_no_attempt():
    with open_world(extra_share=0.0, extra_slack=1) as world:
        world.add("u1", answer, failure_domain="a").close()
        world.add("u2", answer, failure_domain="b")
        world.submit(repeatable=False, attempts=1)
        (outcome,) = world.wait_for()
        assert isinstance(outcome, PartReplied) and outcome.upstream == "u2"


def test_a_cancelled_request_is_broken_off_and_answered_to_nobody(world):
    silent = world.add("u1", stay_silent)
    running = world.submit(requester="peer")
    wait_until(lambda: silent.arrived, message="not sent")
    queued = world.submit(requester="peer")
    for call in (queued, running):
        message = CancelForward(id=call.id, services=["s"])
        world.pools.cancel(message, requester="other")
        world.pools.cancel(message, requester="peer")
    assert silent.left.acquire(timeout=5)
    assert world.outcomes == []
    assert len(silent.arrived) == 1
    assert world.pools.describe()["s"]["pending"] == 0


def test_an_order_runs_on_when_its_caller_has_left(world):
    # Guards against an order that is broken off half way.
    gate = threading.Event()

    def hold(request):
        gate.wait(5)
        answer(request)

    upstream = world.add("u1", hold)
    call = world.submit(repeatable=False)
    wait_until(lambda: upstream.arrived, message="not sent")
    world.pools.cancel(CancelForward(id=call.id, services=["s"]))
    gate.set()
    assert not upstream.left.acquire(timeout=0.2)


def test_what_can_not_be_done_in_time_is_refused_before_it_is_sent(world):
    upstream = world.add("u1", stay_silent)
    world.submit(remaining_ms=20.0, target_ms=600.0)
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartNotRun) and outcome.reason == "deadline_unreachable"
    assert upstream.arrived == []


def test_a_refusal_is_logged_with_the_state_that_decided_it(world, monkeypatch):
    lines = []
    monkeypatch.setattr(
        journal, "record_event", lambda event, **fields: lines.append((event, fields))
    )
    world.submit(request_id="r-7")
    (fields,) = [fields for event, fields in lines if event == "pool.refused"]
    assert (fields["request_id"], fields["reason"]) == ("r-7", "no_replica")
    assert (fields["queued"], fields["upstreams"]) == (0, {})


def test_queued_work_is_refused_at_its_deadline_and_not_sent_later(world):
    upstream = world.add("u1", stay_silent)
    world.submit(repeatable=False)
    world.submit(remaining_ms=80.0, target_ms=60.0)
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartNotRun)
    assert len(upstream.arrived) == 1


def test_silence_ends_at_the_deadline_as_unknown_and_breaks_off_the_work(world):
    upstream = world.add("u1", stay_silent)
    world.submit(remaining_ms=150.0, target_ms=60.0)
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartUnknown)
    assert upstream.left.acquire(timeout=5)


def test_a_leaving_upstream_gets_nothing_more(world):
    leaving = world.add("u1", answer, failure_domain="a")
    world.add("u2", answer, failure_domain="b")
    world.departures.leaving.add("u1")
    world.submit()
    (outcome,) = world.wait_for()
    assert outcome.upstream == "u2"
    world.departures.leaving.clear()
    world.upstreams["u1"][1]["state"] = UpstreamState.LEAVING
    world.publish()
    world.submit()
    assert world.wait_for(2)[1].upstream == "u2"
    assert leaving.arrived == []


def test_another_upstream_at_a_known_address_is_not_given_the_request(world):
    # Guards against a request that runs at a service it was not meant for.
    world.add("u1", lambda r: r.reply(421, proof="", x_upstream="x"))
    world.submit(repeatable=False)
    (outcome,) = world.wait_for()
    assert isinstance(outcome, PartNotRun) and outcome.reason == "other_upstream"


def test_a_record_of_another_run_closes_the_kept_connections(world):
    upstream = world.add("u1", answer)
    world.submit()
    world.wait_for()
    world.upstreams["u1"][1]["epoch"] = 2
    world.publish()
    world.submit()
    world.wait_for(2)
    assert upstream.connections == 2


def test_a_planned_stop_hands_back_what_others_have_queued(world):
    world.add("u1", stay_silent)
    world.submit(repeatable=False)
    world.submit(requester="peer", request_id="queued")
    world.kernel.publish(LeaveStarted(reason="planned stop"))
    world.submit(requester="peer", request_id="late")
    assert [type(outcome) for outcome in world.outcomes] == [PartNotRun, PartNotRun]
    assert {outcome.reason for outcome in world.outcomes} == {"instance_leaving"}


def test_failures_in_a_row_eject_an_upstream_and_a_probe_brings_it_back(world):
    state = {"fail": True}

    def flap(request):
        if state["fail"]:
            request.reset()
        else:
            answer(request)

    first = world.add("u1", flap)
    for count in range(1, 6):
        world.submit(attempts=1)
        world.wait_for(count)
    assert len(first.arrived) == 3
    assert [outcome.reason for outcome in world.outcomes[3:]] == ["no_replica"] * 2
    state["fail"] = False
    Clock().sleep_ms(1_100)
    world.submit(attempts=1)
    assert isinstance(world.wait_for(6)[5], PartReplied)


def test_a_merged_call_answers_with_the_greatest_records(world):
    world.add("u1", lambda r: r.reply(200, b"a" * 16 + b"c" * 16), service="s")
    world.add("u2", lambda r: r.reply(200, b"b" * 16), service="t")
    world.submit(services=["s", "t"], top=2)
    (outcome,) = world.wait_for()
    assert outcome.records == b"c" * 16 + b"b" * 16
    assert sorted(part.service for part in outcome.parts) == ["s", "t"]


def test_the_instances_of_a_service_are_described(world):
    world.add("u1", answer)
    world.submit()
    world.wait_for()
    described = world.pools.describe()["s"]
    assert described["queued"] == 0
    assert described["upstreams"]["u1"]["state"] == "Serving"


def test_a_call_is_told_by_its_requester(world):
    world.add("u1", answer)
    call = create_call()
    for requester in ("p", "q"):
        world.pools.submit(call, world.outcomes.append, requester=requester)
    assert len(world.wait_for(2)) == 2
    assert dataclasses.asdict(call)["id"] == call.id
