"""Tests of whole queries over simulated owners: coverage, restarts, hedges, retries."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from gooseberrymux.admission import Admission
from gooseberrymux.calls import Calls
from gooseberrymux.messages import (
    CancelSubrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestUnknown,
)
from gooseberrymux.peers import PeerLost, Peers
from gooseberrymux.records import RunState, UpstreamRecord
from harness import (
    SteppingClock,
    create_kernel,
    publish_index,
    publish_upstreams,
    run_query,
)

V1 = {"x0": "s0", "x1": "s1", "x2": "s2"}
V2 = {"x0": "s0", "x1": "s2", "y0": "s1", "y1": "s2"}


class Simulation:
    """Runs queries over one simulated owner and a stepping clock.

    `plan_outcomes(number, subrequest)` is called for each sub-request, numbered from 0.
    It returns a list of (delay in milliseconds, kind of outcome).
    """

    def __init__(self, plan_outcomes, *, replicas=2, **overrides):
        self.clock = SteppingClock()
        self.plan_outcomes = plan_outcomes
        self.sent = []
        self.kernel = create_kernel(
            clock=self.clock,
            members=("owner",),
            answer=self._handle_subrequest,
            **overrides,
        )
        self.peers = self.kernel.find("peers", Peers)
        self.peers.incarnations["owner"] = 5
        publish_upstreams(
            self.kernel,
            1,
            [
                UpstreamRecord(
                    name=f"{service}-{n}",
                    host="h",
                    port=1,
                    service=service,
                    failure_domain="a",
                )
                for service in ("s0", "s1", "s2")
                for n in range(replicas)
            ],
        )
        self.publish(1, "v1", v1=V1)

    def publish(self, generation, current, **versions):
        publish_index(self.kernel, generation, current, **versions)

    def run(self, **fields):
        return run_query(self.kernel, **fields)

    def count_cancels(self):
        return sum(isinstance(m, CancelSubrequest) for _, m in self.peers.sent)

    def _handle_subrequest(self, name, subrequest):
        self.sent.append(subrequest)
        for delay_ms, kind in self.plan_outcomes(len(self.sent) - 1, subrequest):
            self.clock.schedule(
                delay_ms, lambda kind=kind: self._deliver(kind, subrequest)
            )

    def _deliver(self, kind, subrequest):
        match kind:
            case "lost":
                event = PeerLost(instance="owner", incarnation=5, reason="test")
                self.kernel.publish(event)
            case "publish_v2":
                self.publish(2, "v2", v1=V1, v2=V2)
            case "other":
                self.peers.receive("other", 5, create_outcome("ok", subrequest))
            case "earlier_run":
                self.peers.receive("owner", 4, create_outcome("ok", subrequest))
            case _:
                self.peers.receive("owner", 5, create_outcome(kind, subrequest))


def create_outcome(kind, subrequest):
    fields = {"id": subrequest.id, "peer": subrequest.upstream}
    completed = {
        "id": subrequest.id,
        "version": subrequest.version,
        "shard": subrequest.shard,
        "reply": {
            "hits": [
                create_hit(subrequest.version, subrequest.shard, subrequest.upstream)
            ]
        },
        "upstream_ms": 1.0,
        "queued_ms": 0.0,
    }
    wrong = {"reply": {"hits": ["wrong"]}}
    match kind:
        case "ok":
            return SubrequestCompleted(**completed)
        case "wrong_version":
            return SubrequestCompleted(**{**completed, **wrong, "version": "v9"})
        case "wrong_shard_reply":
            return SubrequestCompleted(**{**completed, **wrong, "shard": "x9"})
        case "no_hits":
            return SubrequestCompleted(**{**completed, "reply": {}})
        case "foreign_id":
            return SubrequestCompleted(**{**completed, **wrong, "id": "s-entry-1-1"})
        case "broken":
            return SubrequestUnknown(
                reason="connection_broken", step="upstream.exchange", **fields
            )
        case reason:
            return SubrequestNotRun(reason=reason, step="upstream.reply", **fields)


def create_hit(version, shard, upstream):
    return f"{version}/{shard}/{upstream.rpartition('-')[0]}"


def check_answer(answer, shard_maps):
    """Checks that each shard is covered or missing, with hits of one version only."""
    shards = shard_maps[answer.version]
    assert answer.shards_total == len(shards)
    missing = [m.shard for m in answer.missing]
    assert sorted([*answer.covered, *missing]) == sorted(shards)
    assert list(answer.covered) == sorted(answer.hits)
    for shard, hits in answer.hits.items():
        assert hits == [create_hit(answer.version, shard, f"{shards[shard]}-0")]


OUTCOME_KINDS = st.sampled_from(
    [
        *["ok"] * 6,
        "wrong_version",
        "wrong_shard_reply",
        "no_hits",
        "foreign_id",
        "broken",
        "shed",
        "version_gone",
        "wrong_shard",
        "connect_failed",
        "queue_full",
        "other",
        "earlier_run",
        "lost",
        "publish_v2",
    ]
)
PLANNED_OUTCOMES = st.lists(st.tuples(st.floats(0, 1500), OUTCOME_KINDS), max_size=3)


@settings(max_examples=150, deadline=None)
@given(
    st.lists(PLANNED_OUTCOMES, max_size=30),
    st.sampled_from([0.0, 0.5, 1.0]),
    st.booleans(),
)
def test_no_order_of_outcomes_reaches_a_wrong_answer(planned, minimum, rest_succeeds):
    # Guards against an answer with hits of another request, shard or version, whatever
    # late, repeated, foreign, wrong-version or broken replies, lost owners and version
    # changes come in any order.
    rest = [(5.0, "ok")] if rest_succeeds else []
    simulation = Simulation(lambda n, _: planned[n] if n < len(planned) else rest)
    shard_maps = {"v1": V1, "v2": V2}
    for _ in range(2):
        deadline_ms = simulation.clock.now_ms() + 800.0
        result = simulation.run(deadline_in_ms=800.0, minimum=minimum)
        assert simulation.clock.now_ms() <= deadline_ms
        match result:
            case Ok(answer):
                check_answer(answer, shard_maps)
                assert answer.coverage >= minimum
            case Err(refusal):
                assert refusal.code == "coverage_below_minimum"
                # A refused query has no complete result.
                assert refusal.run_state is not RunState.COMPLETED
    # No sub-request stays in flight after its query has ended.
    assert simulation.kernel.find("calls", Calls).count_in_flight() == 0
    assert simulation.kernel.failure is None


@settings(max_examples=50, deadline=None)
@given(st.lists(st.sampled_from(["shed", "broken", "slow"]), max_size=60))
def test_extra_subrequests_stay_within_the_budget(kinds):
    # Guards against retry storms while upstreams are overloaded.
    def plan_outcomes(number, _):
        kind = kinds[number % len(kinds)] if kinds else "ok"
        return [(400.0, "ok")] if kind == "slow" else [(2.0, kind)]

    simulation = Simulation(plan_outcomes)
    queries = 40
    for _ in range(queries):
        simulation.run(deadline_in_ms=300.0)
    first = queries * len(V1)
    assert len(simulation.sent) <= first * 1.1 + 10


def test_complete_answer_sends_each_shard_once():
    simulation = Simulation(lambda n, sub: [(3.0, "ok")])
    answer = simulation.run().unwrap()
    assert answer.missing == ()
    assert [sub.shard for sub in simulation.sent] == list(V1)
    assert simulation.count_cancels() == 0


def test_a_failed_attempt_goes_to_another_replica_with_the_same_rank():
    # Guards against retries to the replica that just failed, or with a higher rank.
    simulation = Simulation(lambda n, sub: [(1.0, "shed" if n == 0 else "ok")])
    answer = simulation.run().unwrap()
    assert answer.coverage == 1.0
    tried = [sub for sub in simulation.sent if sub.shard == "x0"]
    assert len({sub.upstream for sub in tried}) == 2
    assert len({sub.rank for sub in tried}) == 1


def test_retries_back_off_and_end_with_a_partial_answer():
    # Guards against retries without a pause, and against an unreachable shard for which
    # the query holds its admission slot until the deadline.
    def plan_outcomes(number, subrequest):
        return [(0.0, "connect_failed" if subrequest.shard == "x1" else "ok")]

    simulation = Simulation(plan_outcomes)
    started_ms = simulation.clock.now_ms()
    answer = simulation.run(deadline_in_ms=10_000.0).unwrap()
    assert [(m.shard, m.reason) for m in answer.missing] == [("x1", "connect_failed")]
    assert simulation.clock.now_ms() - started_ms == pytest.approx(150.0)
    assert len(simulation.sent) == 2 + 2 * 5


def test_a_lost_owner_fails_over_whatever_the_budget():
    # Guards against missing shards because the loss of one owner, which fails many
    # calls at once, used up the retry budget.
    ranks = {"urgent": {"retry_share": 0.0}}

    def plan_outcomes(number, subrequest):
        return [(1.0, "lost")] if number == 0 else [] if number < 3 else [(1.0, "ok")]

    simulation = Simulation(plan_outcomes, ranks=ranks)
    assert simulation.run().unwrap().coverage == 1.0
    assert len(simulation.sent) == 6


def warm_up(simulation, queries=30):
    for _ in range(queries):
        simulation.run().unwrap()
    simulation.sent.clear()


@pytest.mark.parametrize("hedge", [True, False])
def test_a_straggler_is_hedged_and_cancelled(hedge):
    # Guards against a hedge that doesn't lower the tail latency: without a hedge, the
    # query takes the straggler's time.
    slow = {"on": False}

    def plan_outcomes(number, subrequest):
        straggles = slow["on"] and number == 0
        return [(600.0 if straggles else 20.0, "ok")]

    simulation = Simulation(plan_outcomes, policy={"hedge": hedge})
    warm_up(simulation)
    slow["on"] = True
    started_ms = simulation.clock.now_ms()
    assert simulation.run().unwrap().coverage == 1.0
    elapsed_ms = simulation.clock.now_ms() - started_ms
    if hedge:
        assert elapsed_ms < 50.0
        assert len({sub.upstream for sub in simulation.sent}) == 4
        assert simulation.count_cancels() == 1
    else:
        assert elapsed_ms == pytest.approx(600.0)


def test_the_first_query_of_an_instance_is_hedged_by_its_own_replies():
    # Guards against stragglers that are not hedged after the start of an instance, when
    # the latency sketches have no samples.
    shards = {f"x{n}": f"s{n % 3}" for n in range(12)}
    simulation = Simulation(lambda n, sub: [(600.0 if n == 0 else 20.0, "ok")])
    simulation.publish(2, "v2", v2=shards)
    started_ms = simulation.clock.now_ms()
    assert simulation.run().unwrap().coverage == 1.0
    assert simulation.clock.now_ms() - started_ms < 100.0


def test_hedges_stop_when_their_budget_is_used_up():
    slow = {"on": False}
    simulation = Simulation(
        lambda n, sub: [(100.0 if slow["on"] else 20.0, "ok")],
        policy={"hedge_quantile": 0.5},
    )
    warm_up(simulation)
    slow["on"] = True
    for _ in range(60):
        simulation.run()
    assert len(simulation.sent) - 180 <= 180 * 0.05 + 10


def test_a_version_change_in_mid_query_restarts_on_the_new_shard_map():
    # Guards against an answer that keeps hits of the old version after a repartition.
    def plan_outcomes(number, subrequest):
        if subrequest.version == "v1":
            return [(5.0, "publish_v2" if number == 0 else "ok"), (6.0, "version_gone")]
        return [(5.0, "ok")]

    simulation = Simulation(plan_outcomes)
    answer = simulation.run().unwrap()
    check_answer(answer, {"v2": V2})
    assert answer.coverage == 1.0


def test_a_version_that_is_gone_without_a_newer_one_gives_a_partial_answer():
    def plan_outcomes(number, subrequest):
        return [(5.0, "version_gone" if subrequest.shard == "x1" else "ok")]

    simulation = Simulation(plan_outcomes)
    answer = simulation.run().unwrap()
    check_answer(answer, {"v1": V1})
    assert [(m.shard, m.reason) for m in answer.missing] == [("x1", "version_gone")]


def test_a_newer_version_that_arrives_during_the_wait_is_used():
    def plan_outcomes(number, subrequest):
        if subrequest.version == "v1":
            late = [(200.0, "publish_v2")] if number == 0 else []
            return [(5.0, "version_gone"), *late]
        return [(5.0, "ok")]

    assert Simulation(plan_outcomes).run().unwrap().version == "v2"


def test_minimum_coverage_refuses_with_an_honest_run_state():
    # Guards against a refusal that says not run although an upstream may have run a
    # part of the query.
    def run_refused(kind):
        def plan_outcomes(number, subrequest):
            return [
                (1.0, "ok" if subrequest.shard == "x0" and kind == "broken" else kind)
            ]

        return Simulation(plan_outcomes).run(minimum=1.0).unwrap_err()

    refusal = run_refused("broken")
    assert refusal.code == "coverage_below_minimum"
    assert refusal.run_state is RunState.UNKNOWN
    assert run_refused("connect_failed").run_state is RunState.NOT_RUN


@pytest.mark.parametrize(
    ("kind", "lowered"), [("queue_full", True), ("connect_failed", False)]
)
def test_only_load_lowers_the_limit_of_requests(kind, lowered):
    # Guards against the loss of replicas being treated as overload.
    simulation = Simulation(lambda n, sub: [(1.0, kind)])
    simulation.run()
    limit = simulation.kernel.find("admission", Admission).describe()["urgent"]["limit"]
    assert (limit < 24) == lowered


def test_a_shard_without_replicas_is_named():
    simulation = Simulation(lambda n, sub: [(1.0, "ok")], replicas=0)
    answer = simulation.run().unwrap()
    assert {m.reason for m in answer.missing} == {"no_replica"}
    assert answer.coverage == 0.0


@pytest.mark.parametrize("deadline_in_ms", [0.0, -5.0])
def test_an_expired_deadline_is_refused_as_not_run(deadline_in_ms):
    simulation = Simulation(lambda n, sub: [])
    refusal = simulation.run(deadline_in_ms=deadline_in_ms).unwrap_err()
    assert (refusal.code, refusal.run_state) == ("deadline_expired", RunState.NOT_RUN)
    assert simulation.sent == []


def test_a_query_that_reaches_its_deadline_cancels_what_is_out():
    simulation = Simulation(lambda n, sub: [] if sub.shard == "x1" else [(1.0, "ok")])
    deadline_ms = simulation.clock.now_ms() + 50.0
    answer = simulation.run(deadline_in_ms=50.0).unwrap()
    assert [(m.shard, m.reason) for m in answer.missing] == [("x1", "deadline")]
    # An answer that is ready only at the deadline reaches the caller late.
    assert simulation.clock.now_ms() < deadline_ms
    assert simulation.count_cancels() == 1
