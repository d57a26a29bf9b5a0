"""Outcomes of sub-requests over real sockets: completed, not run, or unknown."""

import contextlib
import dataclasses
import json
import queue
import socket
import threading

import pytest
from result import Err, Ok

from gooseberrymux.clock import Clock
from gooseberrymux.exchange import (
    ORDER_IDLE_LIMIT_MS,
    SubrequestConnection,
)
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestUnknown,
)
from gooseberrymux.records import Rank, UpstreamRecord
from gooseberrystand.faulty_replies import (
    EndlessBody,
    EndlessHead,
    EndlessInterimReplies,
    send_reply,
)
from harness import create_reply_memory
from scripted import ScriptedUpstream

CLOCK = Clock()
MEMORY = create_reply_memory()
QUERY = Subrequest(
    id="s-1",
    request_id="q-1",
    upstream="u",
    rank=Rank.URGENT,
    remaining_ms=1000.0,
    version="v1",
    shard="x",
)
ORDER = dataclasses.replace(QUERY, order_key="k", body={"n": 1})


# With the sockets' buffers; the fault goes on for far longer.
LOOKUP_READ_LIMIT_BYTES = 16 * 1024 * 1024


def look_up(record):
    connection = SubrequestConnection(record=record, clock=CLOCK, reply_memory=MEMORY)
    try:
        return connection.look_up_order("k", 2_000.0)
    finally:
        connection.close()


def create_record(listener):
    return UpstreamRecord(
        name="u",
        host="127.0.0.1",
        port=listener.getsockname()[1],
        service="s",
        failure_domain="a",
    )


def run_subrequest(upstream, subrequest=QUERY, connection=None, budget_ms=2000.0):
    connection = connection or SubrequestConnection(
        record=upstream.describe("u"), clock=CLOCK, reply_memory=MEMORY
    )
    return connection.run(subrequest, CLOCK.now_ms() + budget_ms)


@pytest.fixture
def start_upstream():
    upstreams = []

    def start(behave):
        upstreams.append(ScriptedUpstream(behave))
        return upstreams[-1]

    yield start
    for upstream in upstreams:
        with contextlib.suppress(OSError):
            upstream.close()


def test_an_evacuation_while_the_connection_opens_keeps_the_request_back(
    start_upstream,
):
    # Guards against a request in the query path that is written after the evacuation.
    upstream = start_upstream(lambda connection: None)
    connection = SubrequestConnection(
        record=upstream.describe("u"),
        clock=CLOCK,
        reply_memory=MEMORY,
        check_send=lambda record: "domain_evacuated",
    )
    outcome = run_subrequest(upstream, connection=connection)
    assert isinstance(outcome, SubrequestNotRun)
    assert outcome.reason == "domain_evacuated"
    assert not connection.cancel("s-1")
    assert connection.look_up_order("k", 100.0) == Err("domain_evacuated")
    assert upstream.requests == []
    connection.close()


@pytest.mark.parametrize(
    "fault",
    [EndlessInterimReplies(status=100), EndlessHead(), EndlessBody()],
    ids=repr,
)
def test_a_lookup_ends_at_a_limit_whatever_the_upstream_sends(start_upstream, fault):
    # Guards against a thread that reads interim replies for as long as they come.
    sent_bytes = queue.Queue()

    def answer(request):
        sent_bytes.put(send_reply(request.sock, headers=b"", body=b"", fault=fault))

    upstream = start_upstream(answer)
    result = look_up(upstream.describe("u"))
    assert isinstance(result, Err)
    assert sent_bytes.get(timeout=30) < LOOKUP_READ_LIMIT_BYTES


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        ({"key": "k", "state": "completed", "reply": {"n": 1}}, Ok({"n": 1})),
        ({"state": "not_found"}, Ok(None)),
        ({"key": "other", "state": "completed", "reply": {}}, Err("malformed_reply")),
        ([], Err("malformed_reply")),
    ],
)
def test_the_outcome_of_an_order_is_looked_up_by_its_key(
    start_upstream, body, expected
):
    def answer(request):
        assert request.path == "/orders/k"
        data = json.dumps(body).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(data)
        request.sock.sendall(head + data)

    assert look_up(start_upstream(answer).describe("u")) == expected


def test_completed(start_upstream):
    outcome = run_subrequest(start_upstream(lambda request: request.complete()))
    assert isinstance(outcome, SubrequestCompleted)
    assert (outcome.version, outcome.shard) == ("v1", "x")


def test_upstream_that_died_before_anything_was_written_is_not_run(start_upstream):
    upstream = start_upstream(lambda request: None)
    upstream.close()
    outcome = run_subrequest(upstream)
    assert isinstance(outcome, SubrequestNotRun)
    assert outcome.reason == "connect_failed"


def shed(request):
    request.reply(503, error="shed", not_run=True)


@pytest.mark.parametrize(
    ("behave", "kind", "reason"),
    [
        (shed, SubrequestNotRun, "shed"),
        (
            lambda request: request.reply(410, error="version_gone", not_run=True),
            SubrequestNotRun,
            "version_gone",
        ),
        (lambda request: request.reply(500, error="oops"), SubrequestUnknown, "oops"),
        # Only the boolean true means not run: any other value may be a mistake.
        (
            lambda request: request.reply(503, error="e", not_run="yes"),
            SubrequestUnknown,
            "e",
        ),
        (
            lambda request: request.reply(200, not_run=True),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (lambda request: request.close(), SubrequestUnknown, "connection_broken"),
        (
            lambda request: request.complete(cut=-5),
            SubrequestUnknown,
            "connection_broken",
        ),
        (
            lambda request: request.sock.sendall(b"x" * 99 + b"\n"),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (
            lambda request: request.sock.sendall(
                b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n{"
            ),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (
            lambda request: request.sock.sendall(
                b"HTTP/1.1 200 X\r\nContent-Length: 9999999\r\n\r\n"
            ),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (
            lambda request: request.complete(request_id="s-2"),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (
            lambda request: request.complete(reply=[1]),
            SubrequestUnknown,
            "malformed_reply",
        ),
    ],
)
def test_replies(start_upstream, behave, kind, reason):
    # Guards against taking a malformed or truncated reply as a result or as not run.
    def answer(request):
        behave(request)
        if reason != "connection_broken":
            return
        request.close()

    outcome = run_subrequest(start_upstream(answer))
    assert isinstance(outcome, kind)
    assert outcome.reason == reason


def test_upstream_that_dies_while_the_request_is_written_is_unknown():
    # Guards against reporting not run after a part of the request was written.
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def read_part_and_reset():
        sock, _ = listener.accept()
        sock.recv(1000)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()

    threading.Thread(target=read_part_and_reset, daemon=True).start()
    record = create_record(listener)
    body = {"filler": "x" * 30_000_000}
    order = dataclasses.replace(ORDER, body=body)
    outcome = SubrequestConnection(record=record, clock=CLOCK, reply_memory=MEMORY).run(
        order, CLOCK.now_ms() + 5_000
    )
    listener.close()
    assert isinstance(outcome, SubrequestUnknown)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 102 Processing\r\n\r\n"])
def test_a_refusal_that_comes_before_the_request_is_written_is_read(interim):
    # Guards against a refusal that is read only once the whole request is written, by
    # when the deadline has passed and the outcome is unknown; and against a further
    # request that the upstream reads as the rest of this one.
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    accepted = []

    def refuse_early():
        sock, _ = listener.accept()
        accepted.append(sock)
        sock.recv(1000)
        if interim:
            sock.sendall(interim)
            while sock.recv(1_000_000)[-1:] != b"}":
                pass
        body = b'{"request_id": "s-1", "not_run": true, "error": "shed"}'
        head = b"HTTP/1.1 503 X\r\nContent-Length: %d\r\n\r\n" % len(body)
        sock.sendall(head + body)

    threading.Thread(target=refuse_early, daemon=True).start()
    record = create_record(listener)
    connection = SubrequestConnection(record=record, clock=CLOCK, reply_memory=MEMORY)
    query = dataclasses.replace(QUERY, body={"filler": "x" * 30_000_000})
    outcome = connection.run(query, CLOCK.now_ms() + 2_000)
    assert isinstance(outcome, SubrequestNotRun), outcome
    # A connection on which the request was written whole is kept.
    assert (connection._socket is None) == (not interim)
    connection.close()
    listener.close()
    accepted[0].close()


def test_kept_connection_closed_while_idle_is_replaced(start_upstream):
    # Guards against an unknown outcome of an order that was sent on a connection that
    # the upstream had closed while idle.
    closed = threading.Event()

    def answer(request):
        request.complete()
        if request.path == "/query":
            request.close()
            closed.set()

    upstream = start_upstream(answer)
    connection = SubrequestConnection(
        record=upstream.describe("u"), clock=CLOCK, reply_memory=MEMORY
    )
    run_subrequest(upstream, QUERY, connection)
    assert closed.wait(5)
    assert isinstance(run_subrequest(upstream, ORDER, connection), SubrequestCompleted)
    assert upstream.connections == 2


def test_first_write_that_fails_on_a_kept_connection_is_tried_on_a_new_one(
    start_upstream,
):
    upstream = start_upstream(lambda request: request.complete())
    connection = SubrequestConnection(
        record=upstream.describe("u"), clock=CLOCK, reply_memory=MEMORY
    )
    run_subrequest(upstream, QUERY, connection)
    # A closed write side makes the first write fail, as does a reset that arrives
    # after the check for a closed connection.
    connection._socket.shutdown(socket.SHUT_WR)
    assert isinstance(run_subrequest(upstream, ORDER, connection), SubrequestCompleted)


def test_an_order_does_not_go_out_on_a_long_idle_connection(start_upstream):
    class OffsetClock(Clock):
        offset_ms = 0.0

        def now_ms(self):
            return super().now_ms() + self.offset_ms

    upstream, clock = start_upstream(lambda request: request.complete()), OffsetClock()
    connection = SubrequestConnection(
        record=upstream.describe("u"), clock=clock, reply_memory=MEMORY
    )
    for subrequest in (QUERY, ORDER):
        connection.run(subrequest, clock.now_ms() + 2000)
    assert upstream.connections == 1
    clock.offset_ms = ORDER_IDLE_LIMIT_MS + 1
    connection.run(QUERY, clock.now_ms() + 2000)
    assert upstream.connections == 1
    clock.offset_ms = 2 * ORDER_IDLE_LIMIT_MS + 2
    connection.run(ORDER, clock.now_ms() + 2000)
    assert upstream.connections == 2


def test_unrequested_reply_is_never_given_to_the_next_request(start_upstream):
    # Guards against a duplicate reply being returned for the next request.
    repeated = threading.Event()

    def answer(request):
        request.complete()
        request.complete()
        repeated.set()

    upstream = start_upstream(answer)
    connection = SubrequestConnection(
        record=upstream.describe("u"), clock=CLOCK, reply_memory=MEMORY
    )
    run_subrequest(upstream, QUERY, connection)
    assert repeated.wait(5)
    second = dataclasses.replace(QUERY, id="s-2", shard="y")
    outcome = run_subrequest(upstream, second, connection)
    assert not isinstance(outcome, SubrequestCompleted) or outcome.shard == "y"


def test_trickling_upstream_ends_at_the_deadline(start_upstream):
    # Guards against an upstream blocking a worker thread for ever by trickling.
    stop = threading.Event()

    def trickle(request):
        request.sock.sendall(b"HTTP/1.1 200 X\r\n")
        while not stop.wait(0.02):
            request.sock.sendall(b"X-A: b\r\n")

    outcome = run_subrequest(start_upstream(trickle), budget_ms=200.0)
    stop.set()
    assert isinstance(outcome, SubrequestUnknown)
    assert outcome.reason == "timeout"


def test_cancel_names_the_subrequest(start_upstream):
    upstream = start_upstream(lambda request: request.reply(200))
    connection = SubrequestConnection(
        record=upstream.describe("u"), clock=CLOCK, reply_memory=MEMORY
    )
    assert connection.cancel("s-1")
    assert (upstream.requests[0].path, upstream.requests[0].body) == (
        "/cancel",
        {"request_id": "s-1"},
    )
    upstream.close()
    connection.close()
    assert not connection.cancel("s-1")
