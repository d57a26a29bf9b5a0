"""The callers' HTTP server: framing that is refused, limits, kept connections."""

import contextlib

import pytest

from gooseberrymux.clock import Clock
from gooseberrymux.front import Answer, CallerGone, FrontServer
from gooseberrymux.http_records import HttpReply
from gooseberrymux.kernel import Kernel
from gooseberrymux.routes import CallerLimits
from gooseberrymux.settings import Address
from gooseberrymux.web import stop_server
from harness import create_settings
from http_scripted import HttpCaller

LIMITS = CallerLimits(
    header_bytes=1000, body_bytes=100, header_timeout_ms=300, idle_timeout_ms=300
)
HEAD = b"POST /a/x HTTP/1.1\r\nHost: h\r\n"


class Handler:
    """Keeps the requests and answers each with its body."""

    def __init__(self):
        self.received = []
        self.answer = None

    def __call__(self, received):
        self.received.append(received.request)
        if self.answer is not None:
            return self.answer
        body = received.request.body
        return Answer(reply=HttpReply(status=200, headers=(), body=body))


@contextlib.contextmanager
def serving(handler, limits=LIMITS):
    kernel = Kernel(settings=create_settings(), clock=Clock())
    server = FrontServer(
        address=Address(),
        kernel=kernel,
        handle=handler,
        get_limits=lambda: limits,
    )
    server.prepare()
    kernel.spawn(name="server", target=server.serve)
    try:
        yield server
    finally:
        stop_server(server)
        server.close_connections()
    assert kernel.failure is None


@pytest.fixture
def front():
    handler = Handler()
    with serving(handler) as server:
        caller = HttpCaller(server.bind_addr)
        yield caller, handler
        caller.close()


def test_method_target_headers_and_body_arrive_unchanged(front):
    caller, handler = front
    caller.send(
        b"PUT /a%2Fb/?q=%20x HTTP/1.1\r\nHost: H:80\r\nX-Own: a  b\r\nX-Own: c\r\n"
        b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nContent-Length: 3\r\n\r\nabc"
    )
    assert caller.read()[2] == b"abc"
    request = handler.received[0]
    assert (request.method, request.target) == ("PUT", "/a%2Fb/?q=%20x")
    assert request.headers == (
        ("host", "H:80"),
        ("x-own", "a  b"),
        ("x-own", "c"),
        ("content-length", "3"),
    )


def test_chunked_bodies_are_joined_and_their_trailers_dropped(front):
    caller, handler = front
    caller.send(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        b"3;x=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n"
    )
    assert caller.read()[2] == b"abc0123456789"
    assert caller.get()[0] == 200
    assert len(handler.received) == 2


def test_pipelined_requests_are_answered_in_order(front):
    caller, handler = front
    caller.send(
        HEAD + b"Content-Length: 1\r\n\r\na" + HEAD + b"Content-Length: 1\r\n\r\nb"
    )
    assert [caller.read()[2], caller.read()[2]] == [b"a", b"b"]


def test_expect_continue_is_answered_before_the_body(front):
    caller, _ = front
    caller.send(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert caller.read()[0] == 100
    caller.send(b"ok")
    assert caller.read()[2] == b"ok"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: +3\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: 3_0\r\n\r\nabc", 400),
        (HEAD + b"Content-Length:\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked, gzip\r\n\r\n", 501),
        (HEAD + b"Transfer-Encoding: xchunked\r\n\r\n", 501),
        (HEAD + b"Host: other\r\n\r\n", 400),
        (HEAD + b"X-Folded: a\r\n b\r\n\r\n", 400),
        (HEAD + b"X-Name : a\r\n\r\n", 400),
        (HEAD + b"No colon\r\n\r\n", 400),
        (HEAD + b"X-Null: a\x00b\r\n\r\n", 400),
        (HEAD + b"X-Bare: a\nX-B: c\r\n\r\n", 400),
        (b"GET /a/ HTTP/1.1\r\n\r\n", 400),
        (b"GET /a/ HTTP/1.1\nHost: h\r\n\r\n", 400),
        (b"GET a HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"get /a/ HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET /a/ HTTP/2.0\r\nHost: h\r\n\r\n", 505),
        (b"nonsense\r\n\r\n", 400),
        (HEAD + b"X-Long: " + b"a" * 2000 + b"\r\n\r\n", 431),
        (HEAD + b"X-A: b\r\n" * 200 + b"\r\n", 431),
        (b"GET /" + b"a" * 2000 + b" HTTP/1.1\r\nHost: h\r\n\r\n", 431),
        (HEAD + b"Content-Length: 101\r\n\r\n", 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nFF\r\n" + b"a" * 255, 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n+5\r\nabcde\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0x5\r\nabcde\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcdeXX0\r\n\r\n", 400),
    ],
)
def test_requests_that_can_be_read_in_two_ways_are_refused(front, data, status):
    # Guards against a request that is smuggled to the next hop inside another.
    caller, handler = front
    caller.send(data)
    answered, headers, _ = caller.read()
    assert (answered, headers["connection"]) == (status, "close")
    assert caller.read()[0] is None
    assert handler.received == []


def test_a_body_that_is_cut_off_is_refused_and_not_handled(front):
    caller, handler = front
    caller.send(HEAD + b"Content-Length: 9\r\n\r\nabc")
    caller.sock.shutdown(1)
    assert caller.read()[0] == 400
    assert handler.received == []


def test_a_request_that_does_not_arrive_in_time_is_answered_408(front):
    caller, handler = front
    caller.send(HEAD + b"Content-Length: 9\r\n\r\nabc")
    assert caller.read()[0] == 408
    assert handler.received == []


def test_an_idle_connection_is_closed_without_an_answer(front):
    caller, _ = front
    assert caller.get()[0] == 200
    assert caller.read()[0] is None


def test_a_bad_request_harms_no_other_connection(front):
    caller, _ = front
    other = HttpCaller(caller.sock.getpeername())
    other.send(b"\x00\x01\x02\r\n\r\n")
    assert other.read()[0] == 400
    assert caller.get()[0] == 200
    other.close()


def test_nothing_is_written_to_a_caller_that_has_left(front):
    caller, handler = front
    handler.answer = CallerGone()
    assert caller.get()[0] is None


def test_an_answer_may_end_the_connection(front):
    caller, handler = front
    reply = HttpReply(status=503, headers=(("retry-after", "1"),), body=b"x")
    handler.answer = Answer(reply=reply, close=True)
    status, headers, _ = caller.get()
    assert (status, headers["connection"], headers["retry-after"]) == (
        503,
        "close",
        "1",
    )
    assert caller.read()[0] is None


def test_an_exception_is_answered_500_and_logged(front):
    caller, handler = front
    handler.answer = None
    handler.received = None
    assert caller.get()[0] == 500


def test_a_head_request_gets_no_body(front):
    caller, handler = front
    handler.answer = Answer(reply=HttpReply(status=200, headers=(), body=b"abc"))
    caller.send(b"HEAD /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    assert caller.stream.readline().startswith(b"HTTP/1.1 200")
    assert caller.stream.readline() == b"content-length: 3\r\n"
    assert caller.stream.readline() == b"\r\n"
    assert caller.get()[0] == 200
