"""One exchange over a real socket: what ran, what did not, what is unknown."""

import contextlib
import dataclasses
import socket
import threading

import pytest

from gooseberrymux.clock import Clock
from gooseberrymux.exchange import ORDER_IDLE_LIMIT_MS, Exchange
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestUnknown,
)
from gooseberrymux.records import Rank, UpstreamRecord
from scripted import ScriptedUpstream

CLOCK = Clock()
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


def run(upstream, subrequest=QUERY, exchange=None, budget_ms=2000.0):
    exchange = exchange or Exchange(record=upstream.describe("u"), clock=CLOCK)
    return exchange.run(subrequest, CLOCK.now_ms() + budget_ms)


@pytest.fixture
def serve():
    opened = []

    def start(behave):
        opened.append(ScriptedUpstream(behave))
        return opened[-1]

    yield start
    for upstream in opened:
        with contextlib.suppress(OSError):
            upstream.close()


def test_completed(serve):
    outcome = run(serve(lambda asked: asked.complete()))
    assert isinstance(outcome, SubrequestCompleted)
    assert (outcome.version, outcome.shard) == ("v1", "x")


def test_upstream_that_died_before_anything_was_written_is_not_run(serve):
    upstream = serve(lambda asked: None)
    upstream.close()
    outcome = run(upstream)
    assert isinstance(outcome, SubrequestNotRun)
    assert outcome.reason == "connect_failed"


def shed(asked):
    asked.reply(503, error="shed", not_run=True)


@pytest.mark.parametrize(
    ("behave", "kind", "reason"),
    [
        (shed, SubrequestNotRun, "shed"),
        (
            lambda a: a.reply(410, error="version_gone", not_run=True),
            SubrequestNotRun,
            "version_gone",
        ),
        (lambda a: a.reply(500, error="oops"), SubrequestUnknown, "oops"),
        # Only the boolean counts: any other value may be a mistake.
        (lambda a: a.reply(503, error="e", not_run="yes"), SubrequestUnknown, "e"),
        (lambda a: a.reply(200, not_run=True), SubrequestUnknown, "malformed_reply"),
        (lambda a: a.close(), SubrequestUnknown, "connection_broken"),
        (lambda a: a.complete(cut=-5), SubrequestUnknown, "connection_broken"),
        (
            lambda a: a.sock.sendall(b"x" * 99 + b"\n"),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (
            lambda a: a.sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n{"),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (
            lambda a: a.sock.sendall(
                b"HTTP/1.1 200 X\r\nContent-Length: 9999999\r\n\r\n"
            ),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (
            lambda a: a.complete(request_id="s-2"),
            SubrequestUnknown,
            "malformed_reply",
        ),
        (lambda a: a.complete(reply=[1]), SubrequestUnknown, "malformed_reply"),
    ],
)
def test_replies(serve, behave, kind, reason):
    # Guards against a broken reply that is taken for an answer, or for not run.
    def answer(asked):
        behave(asked)
        if reason != "connection_broken":
            return
        asked.close()

    outcome = run(serve(answer))
    assert isinstance(outcome, kind)
    assert outcome.reason == reason


def test_upstream_that_dies_while_the_request_is_written_is_unknown():
    # Guards against not run although a part of the request was written.
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def read_a_little():
        sock, _ = listener.accept()
        sock.recv(1000)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()

    threading.Thread(target=read_a_little, daemon=True).start()
    record = UpstreamRecord(
        name="u",
        host="127.0.0.1",
        port=listener.getsockname()[1],
        service="s",
        failure_domain="a",
    )
    body = {"filler": "x" * 30_000_000}
    order = dataclasses.replace(ORDER, body=body)
    outcome = Exchange(record=record, clock=CLOCK).run(order, CLOCK.now_ms() + 5_000)
    listener.close()
    assert isinstance(outcome, SubrequestUnknown)


def test_kept_connection_closed_while_idle_is_replaced(serve):
    # Guards against orders that become unknown because a connection was kept.
    closed = threading.Event()

    def answer(asked):
        asked.complete()
        if asked.path == "/query":
            asked.close()
            closed.set()

    upstream = serve(answer)
    exchange = Exchange(record=upstream.describe("u"), clock=CLOCK)
    run(upstream, QUERY, exchange)
    assert closed.wait(5)
    assert isinstance(run(upstream, ORDER, exchange), SubrequestCompleted)
    assert upstream.connections == 2


def test_first_write_that_fails_on_a_kept_connection_is_tried_on_a_new_one(serve):
    upstream = serve(lambda asked: asked.complete())
    exchange = Exchange(record=upstream.describe("u"), clock=CLOCK)
    run(upstream, QUERY, exchange)
    # The write side is closed, as after a reset that arrives during the idle check.
    exchange._socket.shutdown(socket.SHUT_WR)
    assert isinstance(run(upstream, ORDER, exchange), SubrequestCompleted)


def test_an_order_does_not_go_out_on_a_long_idle_connection(serve):
    class LaterClock(Clock):
        offset_ms = 0.0

        def now_ms(self):
            return super().now_ms() + self.offset_ms

    upstream, clock = serve(lambda asked: asked.complete()), LaterClock()
    exchange = Exchange(record=upstream.describe("u"), clock=clock)
    for subrequest in (QUERY, ORDER):
        exchange.run(subrequest, clock.now_ms() + 2000)
    assert upstream.connections == 1
    clock.offset_ms = ORDER_IDLE_LIMIT_MS + 1
    exchange.run(QUERY, clock.now_ms() + 2000)
    assert upstream.connections == 1
    clock.offset_ms = 2 * ORDER_IDLE_LIMIT_MS + 2
    exchange.run(ORDER, clock.now_ms() + 2000)
    assert upstream.connections == 2


def test_unrequested_reply_is_never_given_to_the_next_request(serve):
    # Guards against a repeated reply that answers somebody else's request.
    repeated = threading.Event()

    def answer(asked):
        asked.complete()
        asked.complete()
        repeated.set()

    upstream = serve(answer)
    exchange = Exchange(record=upstream.describe("u"), clock=CLOCK)
    run(upstream, QUERY, exchange)
    assert repeated.wait(5)
    second = dataclasses.replace(QUERY, id="s-2", shard="y")
    outcome = run(upstream, second, exchange)
    assert not isinstance(outcome, SubrequestCompleted) or outcome.shard == "y"


def test_trickling_upstream_ends_at_the_deadline(serve):
    # Guards against a lane thread that one slow byte after the other holds for ever.
    stop = threading.Event()

    def trickle(asked):
        asked.sock.sendall(b"HTTP/1.1 200 X\r\n")
        while not stop.wait(0.02):
            asked.sock.sendall(b"X-A: b\r\n")

    outcome = run(serve(trickle), budget_ms=200.0)
    stop.set()
    assert isinstance(outcome, SubrequestUnknown)
    assert outcome.reason == "timeout"


def test_cancel_names_the_subrequest(serve):
    upstream = serve(lambda asked: asked.reply(200))
    exchange = Exchange(record=upstream.describe("u"), clock=CLOCK)
    assert exchange.cancel("s-1")
    assert (upstream.asked[0].path, upstream.asked[0].body) == (
        "/cancel",
        {"request_id": "s-1"},
    )
    upstream.close()
    exchange.close()
    assert not exchange.cancel("s-1")
