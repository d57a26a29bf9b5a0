"""Pool of one service: queue, hedges, retries, at-most-once sends and budgets."""

import contextlib
import dataclasses
import itertools
import threading

import pytest

from gooseberrymux import journal
from gooseberrymux.clock import Clock
from gooseberrymux.departures import Departures
from gooseberrymux.forward_messages import (
    AttemptGranted,
    CancelForward,
    ForwardCall,
    PartNotRun,
    PartReplied,
    PartUnknown,
)
from gooseberrymux.kernel import Kernel, LeaveStarted
from gooseberrymux.merging import FLUSH_LEAD_MS
from gooseberrymux.pending_requests import PendingRequest
from gooseberrymux.pool import HEDGE_MIN_MEDIANS
from gooseberrymux.pools import Pools
from gooseberrymux.records import Rank, UpstreamState
from gooseberrymux.replicas import LatencyEstimate, Replica
from gooseberrymux.reply_memory import ReplyMemory
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

    def apply_platform_list(self, epochs, leaving):
        pass

    def report_leaving(self, *, upstream, epoch, source):
        self.leaving.add(upstream)


class Owner:
    """An instance that owns a service, with real connections to scripted upstreams."""

    def __init__(self, *, instance=None, platform=None, **forwarding):
        settings = create_settings(
            instance=instance or {}, platform=platform or {}, forwarding=forwarding
        )
        self.kernel = Kernel(settings=settings, clock=Clock())
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
        self.attempt_requests = []
        self.generation = 0

    def add_upstream(self, name, handler, **fields):
        upstream = HttpUpstream(handler)
        self.upstreams[name] = (upstream, {"slots": 1, **fields})
        self.publish_upstreams()
        return upstream

    def publish_upstreams(self):
        self.generation += 1
        records = [
            upstream.create_record(name, **fields)
            for name, (upstream, fields) in self.upstreams.items()
        ]
        publish_upstreams(self.kernel, self.generation, records)

    def submit(self, requester="", **fields):
        call = create_call(**fields)
        self.pools.submit(
            call,
            self.outcomes.append,
            requester=requester,
            request_attempt=self.attempt_requests.append,
        )
        return call

    def grant_attempt(self, call, sender="other"):
        message = AttemptGranted(call=call.id, service="s")
        self.kernel.find("peers", FakePeers).receive(sender, 3, message)

    def wait_for_outcomes(self, count=1):
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


def create_gated_upstream():
    """Returns a semaphore, the ids of received requests, and an upstream's handler.

    The handler answers a request once the semaphore is released.
    """
    gate = threading.Semaphore(0)
    order = []

    def answer_when_released(request):
        order.append(request.headers["x-request-id"])
        gate.acquire()
        answer(request)

    return gate, order, answer_when_released


def stay_silent(request):
    pass


def shed(request):
    request.reply(503, proof="", x_not_run="1")


@contextlib.contextmanager
def open_owner(**forwarding):
    owner = Owner(**forwarding)
    try:
        yield owner
    finally:
        owner.stop()


@pytest.fixture
def owner():
    with open_owner() as created:
        yield created


def test_a_reply_is_passed_on_with_its_proof(owner):
    owner.add_upstream("u1", answer)
    owner.submit()
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartReplied)
    assert (outcome.upstream, outcome.status, outcome.body) == ("u1", 200, b"whole")
    assert outcome.proof and outcome.sends == 1


# Guards against requests to an upstream that has said in a reply that it leaves, while
# the platform's list does not say so yet.
def test_an_upstream_that_says_that_it_leaves_gets_no_more_requests(owner):
    leaving = owner.add_upstream("u1", lambda r: r.reply(200, b"", x_draining="1"))
    owner.submit()
    owner.wait_for_outcomes(1)
    staying = owner.add_upstream("u2", answer)
    for number in range(5):
        owner.submit()
        owner.wait_for_outcomes(number + 2)
    assert len(leaving.requests) == 1
    assert len(staying.requests) == 5


# Guards against requests to an upstream within the pause that it has asked for.
def test_an_upstream_that_asks_for_a_pause_gets_nothing_until_its_end(owner):
    def refuse(request):
        request.reply(503, x_not_run="1", retry_after="0.4")

    paused = owner.add_upstream("u1", refuse)
    clock = owner.kernel.clock
    owner.submit(attempts=1, remaining_ms=100.0)
    owner.wait_for_outcomes(1)
    paused_ms = clock.now_ms()
    paused.handler = answer
    owner.submit()
    (_, refused) = owner.wait_for_outcomes(2)
    assert isinstance(refused, PartNotRun) and refused.retry_after_ms > 300.0
    owner.add_upstream("u2", answer)
    while clock.now_ms() < paused_ms + 300.0:
        owner.submit()
        owner.wait_for_outcomes(len(owner.outcomes) + 1)
    assert len(paused.requests) == 1


# Guards against an upstream that stays unused after its pause.
def test_an_upstream_gets_requests_again_after_its_pause(owner):
    def refuse(request):
        request.reply(503, x_not_run="1", retry_after="0.05")

    paused = owner.add_upstream("u1", refuse)
    owner.submit(attempts=1, remaining_ms=40.0)
    owner.wait_for_outcomes(1)
    paused.handler = answer

    def is_replied():
        owner.submit()
        owner.wait_for_outcomes(len(owner.outcomes) + 1)
        return isinstance(owner.outcomes[-1], PartReplied)

    wait_until(is_replied, message="the upstream gets nothing after its pause")


def test_without_upstreams_it_is_refused_as_not_run_at_once(owner):
    owner.submit()
    (outcome,) = owner.outcomes
    assert isinstance(outcome, PartNotRun)
    assert outcome.reason == "no_replica" and outcome.retry_after_ms > 0


def test_urgent_work_overtakes_in_the_queue_and_slots_are_kept(owner):
    gate, order, answer_when_released = create_gated_upstream()
    upstream = owner.add_upstream("u1", answer_when_released)
    for name, rank in (("first", Rank.PATIENT), ("patient", Rank.PATIENT)):
        owner.submit(request_id=name, rank=rank, attempts=1)
    owner.submit(request_id="urgent", attempts=1)
    wait_until(lambda: order, message="nothing arrived")
    assert order == ["first"]
    gate.release(3)
    owner.wait_for_outcomes(3)
    assert order == ["first", "urgent", "patient"]
    assert upstream.connections == 1


def test_a_backlog_that_is_late_does_not_make_new_requests_late(owner):
    """Guards against a backlog of late requests that makes all later ones late."""
    gate, order, answer_when_released = create_gated_upstream()
    owner.add_upstream("u1", answer_when_released)
    owner.submit(request_id="running", attempts=1)
    for name in ("late-1", "late-2"):
        owner.submit(request_id=name, attempts=1, target_ms=-1.0)
    owner.submit(request_id="urgent", attempts=1, target_ms=2_000.0)
    late = {"target_ms": -1.0, "rank": Rank.PATIENT}
    owner.submit(request_id="patient", attempts=1, **late)
    gate.release(5)
    owner.wait_for_outcomes(5)
    # Late requests still go before those of a lower rank, and none is dropped.
    assert order == ["running", "urgent", "late-1", "late-2", "patient"]


def test_a_backlog_that_is_late_is_no_reason_to_refuse_what_goes_before_it(owner):
    gate, _, answer_when_released = create_gated_upstream()
    owner.add_upstream("u1", answer_when_released)
    owner.submit(attempts=1)
    for _ in range(40):
        owner.submit(attempts=1, target_ms=-1.0)
    before = len(owner.outcomes)
    owner.submit(request_id="urgent", attempts=1, remaining_ms=400.0, target_ms=300.0)
    assert len(owner.outcomes) == before
    gate.release(50)
    owner.wait_for_outcomes(before + 1)


def test_work_that_waits_for_a_better_upstream_keeps_its_rank(owner, monkeypatch):
    """Guards against a backlog that overtakes urgent work beside a slow upstream."""
    monkeypatch.setattr(
        Replica,
        "get_slowness",
        lambda self, now_ms: 100.0 if self.record.name == "slow" else 1.0,
    )
    monkeypatch.setattr(Replica, "is_probe_due", lambda self, *_: False)
    gate, order, answer_when_released = create_gated_upstream()
    owner.add_upstream("sound", answer_when_released)
    slow = owner.add_upstream("slow", answer)
    for name in ("first", "patient-1", "patient-2"):
        owner.submit(request_id=name, rank=Rank.PATIENT, attempts=1)
    owner.submit(request_id="urgent", attempts=1)
    gate.release(4)
    owner.wait_for_outcomes(4)
    assert order == ["first", "urgent", "patient-1", "patient-2"]
    assert not slow.requests


def test_a_silent_upstream_is_hedged_and_the_loser_broken_off(owner):
    silent = owner.add_upstream("u1", stay_silent, failure_domain="a")
    owner.add_upstream("u2", answer, failure_domain="b")
    owner.submit(target_ms=60.0)
    (outcome,) = owner.wait_for_outcomes()
    assert (outcome.upstream, outcome.sends) == ("u2", 2)
    assert silent.connections_ended.acquire(timeout=5)


def test_a_stalled_upstream_gets_no_more_work_until_it_answers(owner):
    owner.add_upstream("u1", stay_silent, failure_domain="a", slots=4)
    owner.add_upstream("u2", answer, failure_domain="b", slots=4)
    owner.submit(target_ms=60.0, repeatable=False)
    wait_until(lambda: owner.upstreams["u1"][0].requests, message="not sent")
    Clock().sleep_ms(80)
    owner.submit()
    (outcome,) = owner.wait_for_outcomes()
    assert (outcome.upstream, outcome.sends) == ("u2", 1)


def test_what_must_not_run_twice_is_sent_once_and_its_loss_is_unknown(owner):
    # Guards against a request that runs twice although it is not repeatable.
    first = owner.add_upstream(
        "u1", lambda request: request.reset(), failure_domain="a"
    )
    second = owner.add_upstream("u2", answer, failure_domain="b")
    owner.submit(repeatable=False)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartUnknown)
    assert (len(first.requests), len(second.requests)) == (1, 0)


def test_what_was_shed_is_sent_to_another_even_if_it_must_not_run_twice(owner):
    owner.add_upstream("u1", shed, failure_domain="a")
    owner.add_upstream("u2", answer, failure_domain="b")
    owner.submit(repeatable=False, attempts=1)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartReplied) and outcome.upstream == "u2"


def test_an_order_that_all_have_shed_runs_once_despite_late_copies(owner):
    """Guards against an order that runs on two upstreams.

    Both shed its first send. A late copy of the rejection must not be taken for the
    reply to the second send, after which the order would go to the other upstream too.
    """
    copies, runs = {}, []

    def shed_first(request):
        if request.headers["x-target-upstream"] not in copies:
            reply = request.create_reply(503, proof="", x_not_run="1")
            copies[request.headers["x-target-upstream"]] = (request.sock, reply)
            request.sock.sendall(reply)
            return
        sock, reply = copies[request.headers["x-target-upstream"]]
        runs.append(request.headers["x-target-upstream"])
        if request.sock is sock:
            request.sock.sendall(reply)
        answer(request)

    owner.add_upstream("u1", shed_first)
    owner.add_upstream("u2", shed_first)
    owner.submit(repeatable=False)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartReplied)
    assert len(runs) == 1


def test_shed_everywhere_it_is_refused_as_not_run(owner):
    owner.add_upstream("u1", shed)
    owner.add_upstream("u2", shed)
    owner.submit(repeatable=False)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartNotRun)
    assert (outcome.reason, outcome.retry_after_ms > 0) == ("shed", True)


def test_a_failed_reply_is_tried_elsewhere_and_passed_on_for_want_of_a_better(owner):
    owner.add_upstream(
        "u1", lambda request: request.reply(500, b"a"), failure_domain="a"
    )
    owner.add_upstream(
        "u2", lambda request: request.reply(502, b"b"), failure_domain="b"
    )
    owner.submit()
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartReplied)
    assert (outcome.status, outcome.sends) == (502, 2)


def test_no_request_runs_on_more_upstreams_than_its_route_allows(owner):
    for number in range(3):
        owner.add_upstream(f"u{number}", lambda request: request.reset())
    owner.submit(attempts=2)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartUnknown)
    arrived = [len(upstream.requests) for upstream, _ in owner.upstreams.values()]
    assert sorted(arrived) == [0, 1, 1]


def test_extra_sends_stay_within_the_budget():
    # Guards against retries that multiply the load on failing upstreams.
    with open_owner(extra_share=0.0, extra_slack=4) as owner:
        owner.add_upstream("u1", lambda request: request.reset())
        owner.add_upstream("u2", lambda request: request.reset())
        for count in range(1, 6):
            owner.submit()
            owner.wait_for_outcomes(count)
        arrived = sum(
            len(upstream.requests) for upstream, _ in owner.upstreams.values()
        )
        assert arrived <= 5 + 1


def test_a_reply_for_which_no_memory_is_left_is_broken_off():
    # Guards against an instance that runs out of memory through its upstreams.
    with open_owner(instance={"reply_memory_bytes": 1024 * 1024}) as owner:
        owner.add_upstream("u1", lambda request: request.reply(200, b"x" * 2_000_000))
        owner.submit(attempts=1)
        (outcome,) = owner.wait_for_outcomes()
        assert isinstance(outcome, PartUnknown)
        assert outcome.reason == "reply_memory_full"
        memory = owner.kernel.find("reply_memory", ReplyMemory)
        assert memory.reserved_bytes == 0


def test_a_refused_connection_costs_no_budget_and_no_attempt():
    with open_owner(extra_share=0.0, extra_slack=1) as owner:
        owner.add_upstream("u1", answer, failure_domain="a").close()
        owner.add_upstream("u2", answer, failure_domain="b")
        owner.submit(repeatable=False, attempts=1)
        (outcome,) = owner.wait_for_outcomes()
        assert isinstance(outcome, PartReplied) and outcome.upstream == "u2"


def test_a_cancelled_request_is_broken_off_and_answered_to_nobody(owner):
    silent = owner.add_upstream("u1", stay_silent)
    running = owner.submit(requester="peer")
    wait_until(lambda: silent.requests, message="not sent")
    queued = owner.submit(requester="peer")
    for call in (queued, running):
        message = CancelForward(id=call.id, services=["s"])
        owner.pools.cancel(message, requester="other")
        owner.pools.cancel(message, requester="peer")
    assert silent.connections_ended.acquire(timeout=5)
    assert owner.outcomes == []
    assert len(silent.requests) == 1
    assert owner.pools.describe()["s"]["pending"] == 0


def test_an_order_runs_on_when_its_caller_has_left(owner):
    # Guards against aborting a non-repeatable request while the upstream runs it.
    gate = threading.Event()

    def answer_when_released(request):
        gate.wait(5)
        answer(request)

    upstream = owner.add_upstream("u1", answer_when_released)
    call = owner.submit(repeatable=False)
    wait_until(lambda: upstream.requests, message="not sent")
    owner.pools.cancel(CancelForward(id=call.id, services=["s"]))
    gate.set()
    assert not upstream.connections_ended.acquire(timeout=0.2)


def test_what_can_not_be_done_in_time_is_refused_before_it_is_sent(owner):
    upstream = owner.add_upstream("u1", stay_silent)
    owner.submit(remaining_ms=20.0, target_ms=600.0)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartNotRun) and outcome.reason == "deadline_unreachable"
    assert upstream.requests == []


def test_a_refusal_is_logged_with_the_state_that_decided_it(owner, monkeypatch):
    lines = []
    monkeypatch.setattr(
        journal, "record_event", lambda event, **fields: lines.append((event, fields))
    )
    owner.submit(request_id="r-7")
    (fields,) = [fields for event, fields in lines if event == "pool.refused"]
    assert (fields["request_id"], fields["reason"]) == ("r-7", "no_replica")
    assert (fields["queued"], fields["upstreams"]) == (0, {})


def test_queued_work_is_refused_at_its_deadline_and_not_sent_later(owner):
    upstream = owner.add_upstream("u1", stay_silent)
    owner.submit(repeatable=False)
    owner.submit(remaining_ms=80.0, target_ms=60.0)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartNotRun)
    assert len(upstream.requests) == 1


def test_silence_ends_at_the_deadline_as_unknown_and_breaks_off_the_work(owner):
    upstream = owner.add_upstream("u1", stay_silent)
    owner.submit(remaining_ms=150.0, target_ms=60.0)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartUnknown)
    assert upstream.connections_ended.acquire(timeout=5)


def test_a_leaving_upstream_gets_nothing_more(owner):
    leaving = owner.add_upstream("u1", answer, failure_domain="a")
    owner.add_upstream("u2", answer, failure_domain="b")
    owner.departures.leaving.add("u1")
    owner.submit()
    (outcome,) = owner.wait_for_outcomes()
    assert outcome.upstream == "u2"
    owner.departures.leaving.clear()
    owner.upstreams["u1"][1]["state"] = UpstreamState.LEAVING
    owner.publish_upstreams()
    owner.submit()
    assert owner.wait_for_outcomes(2)[1].upstream == "u2"
    assert leaving.requests == []


def test_another_upstream_at_a_known_address_is_not_given_the_request(owner):
    # Guards against a request that runs at an upstream it was not addressed to.
    owner.add_upstream("u1", lambda r: r.reply(421, proof="", x_upstream="x"))
    owner.submit(repeatable=False)
    (outcome,) = owner.wait_for_outcomes()
    assert isinstance(outcome, PartNotRun) and outcome.reason == "other_upstream"


def test_a_record_of_another_run_closes_the_kept_connections(owner):
    upstream = owner.add_upstream("u1", answer)
    owner.submit()
    owner.wait_for_outcomes()
    owner.upstreams["u1"][1]["epoch"] = 2
    owner.publish_upstreams()
    owner.submit()
    owner.wait_for_outcomes(2)
    assert upstream.connections == 2


def test_a_planned_stop_hands_back_what_others_have_queued(owner):
    owner.add_upstream("u1", stay_silent)
    owner.submit(repeatable=False)
    owner.submit(requester="peer", request_id="queued")
    owner.kernel.publish(LeaveStarted(reason="planned stop"))
    owner.submit(requester="peer", request_id="late")
    assert [type(outcome) for outcome in owner.outcomes] == [PartNotRun, PartNotRun]
    assert {outcome.reason for outcome in owner.outcomes} == {"instance_leaving"}


def test_failures_in_a_row_eject_an_upstream_and_a_probe_brings_it_back(owner):
    state = {"fail": True}

    def fail_or_answer(request):
        if state["fail"]:
            request.reset()
        else:
            answer(request)

    first = owner.add_upstream("u1", fail_or_answer)
    for count in range(1, 6):
        owner.submit(attempts=1)
        owner.wait_for_outcomes(count)
    assert len(first.requests) == 3
    assert [outcome.reason for outcome in owner.outcomes[3:]] == ["no_replica"] * 2
    state["fail"] = False
    Clock().sleep_ms(1_100)
    owner.submit(attempts=1)
    assert isinstance(owner.wait_for_outcomes(6)[5], PartReplied)


def test_a_merged_call_answers_with_the_greatest_records(owner):
    owner.add_upstream("u1", lambda r: r.reply(200, b"a" * 16 + b"c" * 16), service="s")
    owner.add_upstream("u2", lambda r: r.reply(200, b"b" * 16), service="t")
    owner.submit(services=["s", "t"], top=2, answer_ms=500.0)
    (outcome,) = owner.wait_for_outcomes()
    assert outcome.records == b"c" * 16 + b"b" * 16
    assert sorted(part.service for part in outcome.parts) == ["s", "t"]


def test_merged_parts_are_sent_before_the_entry_answers(owner):
    """Guards against parts that are held until a small entry can only answer late.

    One part is paused. Those that are there must leave in time for the entry, which
    needs longer than a strong one, and not only in time for the latency target.
    """
    owner.add_upstream("u1", answer, service="s")
    owner.add_upstream("u2", lambda request: None, service="t")
    call = owner.submit(
        services=["s", "t"],
        top=2,
        remaining_ms=60_000.0,
        target_ms=60_000.0,
        answer_ms=50.0,
        attempts=1,
    )
    (outcome,) = owner.wait_for_outcomes()
    assert [part.service for part in outcome.parts] == ["s"]
    owner.pools.cancel(CancelForward(id=call.id, services=["t"]))


def test_a_part_is_hedged_in_time_for_the_answer_of_its_entry(owner):
    """Guards against hedges whose replies come after the entry has answered.

    Load: one of many upstreams pauses; its part is asked for elsewhere while the reply
    can still be merged. An entry of the release before doesn't say when it answers.
    """
    pool = owner.pools._get_or_create_pool("s")
    latency = LatencyEstimate(median_ms=4.0, p95_ms=30.0)
    delays_ms = []
    for call in (
        create_call(target_ms=45.0, top=5, answer_ms=30.0),
        create_call(target_ms=45.0, top=5),
        create_call(target_ms=45.0),
    ):
        request = PendingRequest(
            call=call,
            on_outcome=owner.outcomes.append,
            request_attempt=owner.attempt_requests.append,
            requester="",
            now_ms=0.0,
            head=b"",
            latency=latency,
        )
        delays_ms.append(pool._compute_hedge_delay_ms(request, 0.0))
    reply_ms = HEDGE_MIN_MEDIANS * latency.median_ms
    useful_ms = [30.0 - FLUSH_LEAD_MS, 45.0 - 7.0 - FLUSH_LEAD_MS, 45.0 - 10.0]
    assert delays_ms == [end_ms - reply_ms for end_ms in useful_ms]


def test_the_instances_of_a_service_are_described(owner):
    owner.add_upstream("u1", answer)
    owner.submit()
    owner.wait_for_outcomes()
    described = owner.pools.describe()["s"]
    assert described["queued"] == 0
    assert described["upstreams"]["u1"]["state"] == "Serving"


def test_a_call_is_told_by_its_requester(owner):
    owner.add_upstream("u1", answer)
    call = create_call()
    for requester in ("p", "q"):
        owner.pools.submit(call, owner.outcomes.append, requester=requester)
    assert len(owner.wait_for_outcomes(2)) == 2
    assert dataclasses.asdict(call)["id"] == call.id


def deliver_call(owner, delay_ms, **fields):
    """Delivers a call of another instance that was under way for `delay_ms` longer."""
    peers = owner.kernel.find("peers", FakePeers)
    peers.incarnations["other"] = 1
    for sent_ms in (owner.kernel.clock.boot_ms(), None):
        call = create_call(
            sent_ms=sent_ms or owner.kernel.clock.boot_ms() - delay_ms, **fields
        )
        peers.receive("other", 1, call)
    return call


def test_the_time_that_a_call_was_under_way_is_not_given_to_upstreams(owner):
    """Guards against an upstream that is handed more time than the caller has left.

    The clocks of two instances differ, so the first call of a sender shows how.
    """
    upstream = owner.add_upstream("u", lambda r: r.reply(), slots=2)
    deliver_call(owner, 400.0, remaining_ms=1_000.0)
    wait_until(lambda: len(upstream.requests) == 2, message="not sent")
    # The two requests use two connections, so either may arrive first.
    delayed, first = sorted(
        int(request.headers["x-deadline-ms"]) for request in upstream.requests
    )
    assert 900 < first <= 1_000
    assert 500 < delayed <= 600


def test_a_call_that_arrives_after_its_deadline_is_not_sent(owner):
    upstream = owner.add_upstream("u", lambda r: r.reply(), slots=2)
    call = deliver_call(owner, 1_500.0, remaining_ms=1_000.0)
    peers = owner.kernel.find("peers", FakePeers)
    wait_until(lambda: len(peers.sent) == 2, message="no outcome")
    outcomes = {message.call: message for _, message in peers.sent}
    assert outcomes[call.id].reason == "deadline_unreachable"
    assert len(upstream.requests) == 1
