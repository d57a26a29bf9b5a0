"""Choice of replicas: observations, ejection, probes, slow start, failure domains."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.clock import ManualClock
from gooseberrymux.kernel import Kernel
from gooseberrymux.messages import (
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestUnknown,
)
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.routing import (
    TIE_FACTOR,
    TIE_MARGIN_MS,
    Candidate,
    Routing,
    choose_candidate,
    classify_outcome,
)
from gooseberrymux.upstream_health import (
    EJECT_FAILURES,
    EJECT_LIMIT_MS,
    EJECT_MS,
    RAMP_MS,
    RAMP_SHARES,
    Ejected,
    Failed,
    Overtaken,
    Probing,
    Ramping,
    Replied,
    Serving,
    Shed,
    UpstreamHealth,
)
from harness import create_settings

FAST = Replied(elapsed_ms=5.0, queue_wait_ms=0.0)


def create_record(name, domain="a", **fields):
    return UpstreamRecord(
        name=name, host="h", port=1, service="s", failure_domain=domain, **fields
    )


A, B = create_record("u-a"), create_record("u-b", domain="b")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def routing(clock):
    return Routing(kernel=Kernel(settings=create_settings(), clock=clock))


def observe(routing, record, *observations):
    for observation in observations:
        routing.record_send(record)
        routing.record_observation(record.name, observation)


def choose(routing, replicas=(A, B), count=400, **fields):
    chosen = [
        routing.choose(replicas=replicas, tried=(), request_id=f"q{n}", **fields)
        for n in range(count)
    ]
    return {record.name: chosen.count(record) for record in replicas}


CANDIDATES = st.lists(
    st.builds(
        Candidate,
        record=st.builds(
            create_record,
            name=st.uuids().map(str),
            domain=st.sampled_from(["a", "b", "c"]),
        ),
        estimate_ms=st.floats(0, 1e4),
        traffic_share=st.sampled_from([0.0, *RAMP_SHARES, 1.0]),
        probe_due=st.booleans(),
    ),
    min_size=1,
    max_size=6,
)


@given(CANDIDATES, st.text(max_size=5), st.booleans())
def test_the_choice_is_admitted_and_close_to_the_best(candidates, request_id, probe):
    # Guards against sub-requests to an ejected upstream, and against preferring the own
    # failure domain over a clearly better replica in another one.
    chosen, reason = choose_candidate(
        candidates=candidates,
        request_id=request_id,
        failure_domain="a",
        may_probe=probe,
    )
    serving = [c for c in candidates if c.traffic_share == 1.0 and not c.probe_due]
    if reason.startswith("probe"):
        assert probe and chosen.probe_due
    elif serving and len(candidates) > 1:
        assert not chosen.probe_due and chosen.traffic_share > 0.0
        best_ms = min(c.estimate_ms for c in serving)
        limit_ms = max(best_ms * TIE_FACTOR, best_ms + TIE_MARGIN_MS)
        assert chosen.estimate_ms <= limit_ms


def test_same_domain_wins_only_while_costs_are_close(routing):
    observe(routing, A, *[FAST] * 20)
    observe(routing, B, *[FAST] * 20)
    assert choose(routing)["u-a"] == 400
    observe(routing, A, *[Replied(elapsed_ms=50.0, queue_wait_ms=0.0)] * 5)
    assert choose(routing)["u-b"] == 400


def test_a_long_queue_at_the_owner_and_shed_requests_move_traffic_away(routing, clock):
    # Guards against choosing a replica that replies fast but has a long queue.
    observe(routing, B, *[FAST] * 5)
    observe(routing, A, FAST, Replied(elapsed_ms=5.0, queue_wait_ms=100.0))
    assert choose(routing)["u-b"] == 400
    clock.advance(100.0)
    assert choose(routing)["u-a"] == 400
    observe(routing, A, *[Shed(queue_wait_ms=0.0)] * 3)
    assert choose(routing)["u-b"] == 400


def test_a_slow_replica_is_avoided_and_tried_again_later(routing, clock):
    # Guards against never using a replica again after it was slow once.
    observe(routing, B, *[FAST] * 5)
    observe(routing, A, FAST, *[Overtaken(elapsed_ms=300.0)] * 4)
    assert choose(routing)["u-b"] == 400
    clock.advance(60_000)
    assert choose(routing)["u-a"] == 400


def test_one_straggler_does_not_move_all_traffic(routing):
    # Guards against one slow reply that moves all traffic to the other replica and
    # overloads that replica.
    observe(routing, A, *[FAST] * 20, Overtaken(elapsed_ms=500.0))
    observe(routing, B, *[FAST] * 20)
    assert choose(routing)["u-a"] == 400
    observe(routing, A, *[Overtaken(elapsed_ms=500.0)] * 2)
    assert choose(routing)["u-b"] == 400


def test_failures_eject_and_one_probe_at_a_time_brings_back(routing, clock):
    # Guards against sending further attempts to a dead upstream, and against many
    # concurrent probes when its ejection ends.
    observe(routing, B, FAST)
    observe(routing, A, FAST, *[Failed()] * EJECT_FAILURES)
    assert choose(routing, may_probe=True)["u-a"] == 0
    clock.advance(EJECT_MS)
    assert choose(routing)["u-a"] == 0  # may_probe is not set
    first = routing.choose(replicas=(A, B), tried=(), request_id="p", may_probe=True)
    assert first is A
    routing.record_send(A)
    assert choose(routing, may_probe=True)["u-a"] == 0
    routing.record_observation(A.name, FAST)
    assert 0 < choose(routing)["u-a"] < 80  # first step of the ramp: a tenth


def test_failed_probes_double_the_ejection_up_to_the_limit():
    evidence, now_ms, lengths = UpstreamHealth(epoch=1, state=Serving()), 0.0, []
    for _ in range(EJECT_FAILURES):
        evidence.observe(Failed(), now_ms)
    for _ in range(8):
        assert isinstance(evidence.state, Ejected)
        lengths.append(evidence.state.until_ms - now_ms)
        now_ms = evidence.state.until_ms
        evidence.record_send(now_ms)
        assert isinstance(evidence.state, Probing)
        evidence.observe(Failed(), now_ms)
    assert lengths[:4] == [1000, 2000, 4000, 8000]
    assert max(lengths) == EJECT_LIMIT_MS


def test_all_replicas_ejected_still_gives_one(routing):
    observe(routing, A, *[Failed()] * EJECT_FAILURES)
    observe(routing, B, *[Failed()] * EJECT_FAILURES)
    assert sum(choose(routing).values()) == 400


@pytest.mark.parametrize("step", range(len(RAMP_SHARES)))
def test_a_fresh_epoch_is_ramped_up_in_steps(routing, clock, step):
    # Guards against sending its full share of traffic to an upstream with cold caches.
    observe(routing, A, *[FAST] * 5)
    observe(routing, B, *[FAST] * 5)
    restarted = dataclasses.replace(A, epoch=2)
    choose(routing, replicas=(restarted, B), count=1)
    clock.advance(RAMP_MS * step / len(RAMP_SHARES))
    counts = choose(routing, replicas=(restarted, B), count=2_000)
    assert counts["u-a"] / 2_000 == pytest.approx(RAMP_SHARES[step], abs=0.05)
    clock.advance(RAMP_MS)
    assert choose(routing, replicas=(restarted, B))["u-a"] == 400


def test_a_new_replica_ramps_up_unless_no_replica_is_known(routing):
    choose(routing, replicas=(A, B), count=1)
    assert routing.describe() == {}
    observe(routing, A, FAST)
    choose(routing, replicas=(A, B, create_record("u-c")), count=1)
    assert routing.describe()["u-c"]["state"] == Ramping.__name__


def test_each_replica_is_tried_once(routing):
    assert routing.choose(replicas=(A, B), tried=("u-a",), request_id="q") is B
    assert routing.choose(replicas=(A,), tried=("u-a",), request_id="q") is None


def test_an_outcome_counts_against_the_upstream_only_if_it_failed():
    # Guards against ejecting a healthy upstream because its owner instance died.
    def classify(outcome):
        return type(classify_outcome(outcome, 50.0)).__name__

    lost = SubrequestUnknown(id="i", reason="peer_lost", step="calls.wait", peer="e")
    broken = dataclasses.replace(lost, step="upstream.exchange")
    gone = SubrequestNotRun(
        id="i", reason="version_gone", step="upstream.reply", peer="u"
    )
    refused = dataclasses.replace(gone, reason="connect_failed")
    assert [classify(o) for o in (lost, broken, gone, refused)] == [
        "NoEvidence",
        "Failed",
        "NoEvidence",
        "Failed",
    ]
    # A caller with a short deadline must not get healthy upstreams ejected.
    assert classify(dataclasses.replace(broken, reason="timeout")) == "Overtaken"
    assert classify(dataclasses.replace(broken, reason="cancelled")) == "NoEvidence"
    shed = dataclasses.replace(gone, reason="shed")
    full = dataclasses.replace(gone, reason="queue_full", step="dispatch.submit")
    assert classify(shed) == classify(full) == "Shed"
    done = SubrequestCompleted(
        id="i", version="v", shard="s", reply={}, upstream_ms=9.0, queued_ms=40.0
    )
    assert classify_outcome(done, 50.0).elapsed_ms == 10.0
