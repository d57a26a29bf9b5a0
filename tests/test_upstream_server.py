"""The upstream stand-in: slots, cancellation, deadlines, run counts and faults.

Tests of the query tier rely on `not_run`, the run counts and the faults that the
stand-in reports; these tests guard against a stand-in that reports them wrongly.
"""

import threading

import pytest

from gooseberrymux.clock import Clock
from gooseberrystand.execution import Behaviour
from gooseberrystand.server import Call, NoReply, TruncatedReply
from gooseberrystand.upstream import FOREIGN_REQUEST_ID, UpstreamServer

LONG_SERVICE_MS = 60_000


class UpstreamHarness:
    """A server, and its replies to queries that run in threads, by request id."""

    def __init__(self, **behaviour):
        self.server = UpstreamServer(clock=Clock(), behaviour=Behaviour(**behaviour))
        self.replies = {}
        self.threads = {}

    def post(self, path, body, **headers):
        return self.server.handle(
            Call(
                method="POST",
                path=path,
                query_parameters={},
                headers=headers,
                body=body,
            )
        )

    def start_query(self, request_id):
        def run():
            self.replies[request_id] = self.query(request_id)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.threads[request_id] = thread

    def query(self, request_id, version="v1", shard="s", **headers):
        body = {"request_id": request_id, "version": version, "shard": shard}
        return self.post("/query", body, **headers)

    def order(self, request_id, key):
        return self.post("/orders", {"request_id": request_id, "key": key, "order": {}})

    def read_stats(self):
        call = Call(
            method="GET", path="/_stats", query_parameters={}, headers={}, body={}
        )
        return self.server.handle_control(call).body

    def wait_for_stat(self, field, value):
        for _ in range(2_000):
            if self.read_stats()[field] == value:
                return
            threading.Event().wait(0.005)
        pytest.fail(f"{field} is {self.read_stats()[field]}, not {value}")


def test_full_slots_and_queue_shed_as_not_run():
    upstream = UpstreamHarness(slots=1, queue_limit=1, service_ms=LONG_SERVICE_MS)
    upstream.start_query("a")
    upstream.wait_for_stat("running", 1)
    upstream.start_query("b")
    upstream.wait_for_stat("waiting", 1)
    reply = upstream.query("c")
    assert reply.status == 503
    assert reply.body == {"request_id": "c", "error": "shed", "not_run": True}
    assert upstream.read_stats()["peak_running"] == 1


def test_cancel_frees_the_slot_for_the_next_request():
    upstream = UpstreamHarness(slots=1, queue_limit=1, service_ms=LONG_SERVICE_MS)
    upstream.start_query("a")
    upstream.wait_for_stat("running", 1)
    upstream.start_query("b")
    upstream.wait_for_stat("waiting", 1)
    assert upstream.post("/cancel", {"request_id": "a"}).body == {"cancelled": True}
    upstream.threads["a"].join()
    assert upstream.replies["a"].status == 499
    assert upstream.replies["a"].body["not_run"] is False
    upstream.wait_for_stat("started", 2)


def test_cancelled_while_waiting_did_not_run():
    upstream = UpstreamHarness(slots=0, queue_limit=1)
    upstream.start_query("a")
    upstream.wait_for_stat("waiting", 1)
    upstream.post("/cancel", {"request_id": "a"})
    upstream.threads["a"].join()
    assert upstream.replies["a"].body["not_run"] is True
    assert upstream.read_stats()["started"] == 0


@pytest.mark.parametrize(("slots", "not_run"), [(0, True), (1, False)])
def test_deadline_says_whether_the_request_had_started(slots, not_run):
    upstream = UpstreamHarness(slots=slots, service_ms=LONG_SERVICE_MS)
    reply = upstream.query("a", **{"x-deadline-ms": "20"})
    assert reply.status == 504
    assert reply.body["not_run"] is not_run


def test_each_run_of_an_order_is_counted_even_when_its_reply_is_lost():
    upstream = UpstreamHarness(service_ms=0, drop=1)
    assert isinstance(upstream.order("a", "key"), NoReply)
    assert upstream.order("b", "key").body["reply"]["runs"] == 2
    assert upstream.read_stats()["order_runs"] == {"key": 2}


def test_draining_order_is_refused_and_not_counted():
    upstream = UpstreamHarness(draining=True)
    reply = upstream.order("a", "key")
    assert (reply.status, reply.body["not_run"]) == (503, True)
    assert upstream.read_stats()["order_runs"] == {}


@pytest.mark.parametrize(
    ("version", "shard", "status"),
    [("v1", "s", 200), ("v1", "t", 421), ("v0", "s", 410)],
)
def test_only_served_versions_and_shards_are_answered(version, shard, status):
    upstream = UpstreamHarness(service_ms=0, versions={"v1": ["s"]})
    assert upstream.query("a", version=version, shard=shard).status == status


def test_faults_end_after_the_requested_number_of_replies():
    upstream = UpstreamHarness(service_ms=0, truncate=1, foreign=1)
    assert isinstance(upstream.query("a"), TruncatedReply)
    assert upstream.query("b").body["request_id"] == FOREIGN_REQUEST_ID
    assert upstream.query("c").body["request_id"] == "c"


def test_connections_over_the_limit_are_refused_until_one_closes():
    upstream = UpstreamHarness(connections=1)
    assert upstream.server.accept_connection() is True
    assert upstream.server.accept_connection() is False
    upstream.server.release_connection()
    assert upstream.server.accept_connection() is True
