"""Queries over real sockets and processes while upstreams and instances fail."""

import contextlib
import threading

import pytest

from gooseberrymux.dispatch import Dispatch
from gooseberrymux.routing import Routing
from gooseberrystand.fleet import Fleet, GroupShape, run_fleet
from harness import (
    create_kernel,
    publish_index,
    publish_upstreams,
    run_query,
    wait_until,
)
from scripted import ScriptedUpstream

SHARDS = {"x0": "s0", "x1": "s1"}


class Desk:
    """One entry that dispatches directly to two replicas of two services."""

    def __init__(self, **settings):
        self.kernel = create_kernel(policy={"dispatch": "direct"}, **settings)
        self.upstreams = {
            f"{service}-{n}": ScriptedUpstream(lambda asked: asked.complete())
            for service in SHARDS.values()
            for n in range(2)
        }
        publish_upstreams(
            self.kernel,
            1,
            [
                upstream.describe(name, service=name[:2], slots=2)
                for name, upstream in self.upstreams.items()
            ],
        )
        publish_index(self.kernel, 1, "v1", v1=SHARDS)

    def script(self, behave, *, service="s0"):
        """Makes the first request that reaches a service behave as told."""
        lock, done = threading.Lock(), []

        def once(asked):
            with lock:
                first = not done
                done.append(1)
            behave(asked) if first else asked.complete()

        for name, upstream in self.upstreams.items():
            if name.startswith(service):
                upstream.behave = once

    def query(self, **fields):
        return run_query(self.kernel, deadline_in_ms=5_000.0, **fields).unwrap()

    def list_asked(self, service):
        return [
            (asked.path, asked.body["request_id"])
            for name, upstream in self.upstreams.items()
            if name.startswith(service)
            for asked in upstream.requests
        ]

    def stop(self):
        self.kernel.find("dispatch", Dispatch).stop()
        for upstream in self.upstreams.values():
            with contextlib.suppress(OSError):
                upstream.close()


@pytest.fixture
def desk():
    desk = Desk()
    yield desk
    desk.stop()


def close(asked):
    asked.close()


def truncate(asked):
    asked.complete(cut=-9)
    asked.close()


def garble(asked):
    asked.sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{garbled}")


def shed(asked):
    asked.reply(503, error="shed", not_run=True)


@pytest.mark.parametrize(
    "behave",
    [
        close,
        truncate,
        garble,
        shed,
        lambda asked: asked.complete(version="v0"),
        lambda asked: asked.complete(shard="x1"),
        lambda asked: asked.complete(request_id="s-other"),
    ],
)
def test_a_bad_reply_is_made_good_by_the_other_replica(desk, behave):
    # Guards P1 to P3 and coverage over a real socket for each kind of bad reply.
    desk.script(behave)
    answer = desk.query(minimum=1.0)
    assert answer.hits == {"x0": ["x0@v1"], "x1": ["x1@v1"]}
    assert len(desk.list_asked("s0")) == 2


def test_a_lost_replica_costs_no_coverage_and_is_left_alone(desk):
    # Guards against a dead replica that is tried by every query.
    desk.upstreams["s0-0"].close()
    for _ in range(30):
        assert desk.query(minimum=1.0).covered == ("x0", "x1")
    state = desk.kernel.find("routing", Routing).describe()["s0-0"]
    assert state["state"] in ("Ejected", "Probing")
    assert len(desk.upstreams["s0-1"].requests) == 30


def test_all_replicas_lost_gives_a_partial_answer_that_says_so(desk):
    for n in range(2):
        desk.upstreams[f"s0-{n}"].close()
    answer = desk.query()
    assert answer.covered == ("x1",)
    assert [(m.shard, m.reason) for m in answer.missing] == [("x0", "connect_failed")]


def test_a_straggler_is_hedged_and_told_to_stop(desk):
    # Guards the tail: the straggler answers only after the query has its answer.
    for _ in range(40):
        desk.query()
    held, stragglers = threading.Event(), []

    def hold(asked):
        stragglers.append(asked.body["request_id"])
        held.wait(10)
        asked.complete()

    desk.script(hold)
    answer = desk.query(minimum=1.0)
    assert answer.hits == {"x0": ["x0@v1"], "x1": ["x1@v1"]}
    assert len(stragglers) == 1
    wait_until(
        lambda: ("/cancel", stragglers[0]) in desk.list_asked("s0"),
        message="the straggler was not told to stop",
    )
    held.set()


@pytest.mark.parametrize("kind", ["version_gone", "wrong_shard"])
def test_a_repartition_in_mid_query_gives_one_version(desk, kind):
    # Guards P1: the first shard of the old version is answered, the second is gone.
    new = {"x0": "s1", "y0": "s0", "y1": "s1"}
    gone = threading.Event()

    def turn_away(asked):
        if asked.body["version"] == "v1":
            if not gone.is_set():
                gone.set()
                publish_index(desk.kernel, 2, "v2", v1=SHARDS, v2=new)
            asked.reply(410, error=kind, not_run=True)
        else:
            asked.complete()

    for name in ("s1-0", "s1-1"):
        desk.upstreams[name].behave = turn_away
    answer = desk.query(minimum=1.0)
    assert (answer.version, answer.shards_total) == ("v2", 3)
    assert answer.hits == {shard: [f"{shard}@v2"] for shard in new}


SHAPES = (GroupShape(name="order-desk", services=3),)


@pytest.mark.processes
@pytest.mark.parametrize("dispatch", ["owner", "direct"])
def test_killed_upstream_processes_cost_no_coverage(tmp_path, dispatch):
    # Guards coverage in both dispatch modes when replicas die between queries.
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start(instances=2, overrides={"policy": {"dispatch": dispatch}})
        ask = {"service": "order-desk", "terms": {}, "minimum_coverage": 1.0}
        for round_number in range(6):
            for entry in fleet.instances.values():
                answer = fleet.query(entry, rank="urgent", **ask)
                assert answer.get("coverage", answer).get("complete"), answer
            if round_number == 2:
                for name in ("order-desk-00-0", "order-desk-01-1"):
                    fleet.kill(name)


@pytest.mark.processes
def test_faulty_replies_of_processes_never_reach_an_answer(tmp_path):
    # Guards P1 to P3 with the upstream stand-in's own faults, through owners.
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)
    with run_fleet(instances=2, fleet=fleet):
        ask = {"service": "order-desk", "rank": "urgent", "terms": {}}
        for fault in ("truncate", "garble", "foreign", "drop"):
            for name in ("order-desk-00-0", "order-desk-01-0"):
                fleet.change_behaviour(name, **{fault: 1})
            for entry in fleet.instances.values():
                answer = fleet.query(entry, **ask)
                assert answer["coverage"]["complete"], (fault, answer)
                for shard, hits in answer["hits"].items():
                    assert [hit.split("@")[0] for hit in hits] == [shard]
