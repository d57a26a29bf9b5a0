"""The HTTP server for callers: ambiguous requests, limits, persistent connections."""

import contextlib
import threading

import pytest

from gooseberrymux.caller_memory import CallerMemory
from gooseberrymux.caller_server import CallerDisconnected, CallerReply, CallerServer
from gooseberrymux.clock import Clock
from gooseberrymux.http_types import HttpReply
from gooseberrymux.kernel import Kernel
from gooseberrymux.routes import CallerLimits
from gooseberrymux.settings import Address
from gooseberrymux.web import stop_server
from harness import create_settings, wait_until
from http_scripted import HttpCaller

LIMITS = CallerLimits(
    header_bytes=1000, body_bytes=100, header_timeout_ms=300, idle_timeout_ms=300
)
# Request line and Host header, without the empty line that ends the headers.
POST = b"POST /a/x HTTP/1.1\r\nHost: h\r\n"


class RecordingHandler:
    """Records requests; replies with `caller_reply` or the body of the request."""

    def __init__(self):
        self.received = []
        self.caller_reply = None

    def __call__(self, received):
        self.received.append(received.request)
        if self.caller_reply is not None:
            return self.caller_reply
        body = received.request.body
        return CallerReply(reply=HttpReply(status=200, headers=(), body=body))


@contextlib.contextmanager
def run_server(handler, limits=LIMITS):
    kernel = Kernel(settings=create_settings(), clock=Clock())
    server = CallerServer(
        address=Address(),
        kernel=kernel,
        handle=handler,
        get_limits=lambda: limits,
        memory=CallerMemory(kernel=kernel),
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
def caller_and_handler():
    handler = RecordingHandler()
    with run_server(handler) as server:
        caller = HttpCaller(server.bind_addr)
        yield caller, handler
        caller.close()


def test_method_target_headers_and_body_arrive_unchanged(caller_and_handler):
    caller, handler = caller_and_handler
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


def test_chunked_bodies_are_joined_and_their_trailers_dropped(caller_and_handler):
    caller, handler = caller_and_handler
    caller.send(
        POST + b"Transfer-Encoding: chunked\r\n\r\n"
        b"3;x=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-Trailer: 1\r\n\r\n"
    )
    assert caller.read()[2] == b"abc0123456789"
    assert caller.get()[0] == 200
    assert len(handler.received) == 2


def test_pipelined_requests_are_answered_in_order(caller_and_handler):
    caller, handler = caller_and_handler
    caller.send(
        POST + b"Content-Length: 1\r\n\r\na" + POST + b"Content-Length: 1\r\n\r\nb"
    )
    assert [caller.read()[2], caller.read()[2]] == [b"a", b"b"]


def test_expect_continue_is_answered_before_the_body(caller_and_handler):
    caller, _ = caller_and_handler
    caller.send(POST + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert caller.read()[0] == 100
    caller.send(b"ok")
    assert caller.read()[2] == b"ok"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (POST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (POST + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (POST + b"Content-Length: +3\r\n\r\nabc", 400),
        (POST + b"Content-Length: 3_0\r\n\r\nabc", 400),
        (POST + b"Content-Length:\r\n\r\n", 400),
        (POST + b"Transfer-Encoding: chunked, gzip\r\n\r\n", 501),
        (POST + b"Transfer-Encoding: xchunked\r\n\r\n", 501),
        (POST + b"Host: other\r\n\r\n", 400),
        (POST + b"X-Folded: a\r\n b\r\n\r\n", 400),
        (POST + b"X-Name : a\r\n\r\n", 400),
        (POST + b"No colon\r\n\r\n", 400),
        (POST + b"X-Null: a\x00b\r\n\r\n", 400),
        (POST + b"X-Bare: a\nX-B: c\r\n\r\n", 400),
        (b"GET /a/ HTTP/1.1\r\n\r\n", 400),
        (b"GET /a/ HTTP/1.1\nHost: h\r\n\r\n", 400),
        (b"GET a HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"get /a/ HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET /a/ HTTP/2.0\r\nHost: h\r\n\r\n", 505),
        (b"nonsense\r\n\r\n", 400),
        (POST + b"X-Long: " + b"a" * 2000 + b"\r\n\r\n", 431),
        (POST + b"X-A: b\r\n" * 200 + b"\r\n", 431),
        (b"GET /" + b"a" * 2000 + b" HTTP/1.1\r\nHost: h\r\n\r\n", 431),
        (POST + b"Content-Length: 101\r\n\r\n", 413),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nFF\r\n" + b"a" * 255, 413),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n+5\r\nabcde\r\n0\r\n\r\n", 400),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n0x5\r\nabcde\r\n0\r\n\r\n", 400),
        (POST + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcdeXX0\r\n\r\n", 400),
    ],
)
def test_requests_that_can_be_read_in_two_ways_are_refused(
    caller_and_handler, data, status
):
    # Guards against request smuggling: a second request inside the body of the first.
    caller, handler = caller_and_handler
    caller.send(data)
    reply_status, headers, _ = caller.read()
    assert (reply_status, headers["connection"]) == (status, "close")
    assert caller.read()[0] is None
    assert handler.received == []


def test_a_body_that_is_cut_off_is_refused_and_not_handled(caller_and_handler):
    caller, handler = caller_and_handler
    caller.send(POST + b"Content-Length: 9\r\n\r\nabc")
    caller.sock.shutdown(1)
    assert caller.read()[0] == 400
    assert handler.received == []


def test_a_request_that_does_not_arrive_in_time_is_answered_408(caller_and_handler):
    caller, handler = caller_and_handler
    caller.send(POST + b"Content-Length: 9\r\n\r\nabc")
    assert caller.read()[0] == 408
    assert handler.received == []


def test_an_idle_connection_is_closed_without_an_answer(caller_and_handler):
    caller, _ = caller_and_handler
    assert caller.get()[0] == 200
    assert caller.read()[0] is None


def test_a_bad_request_harms_no_other_connection(caller_and_handler):
    caller, _ = caller_and_handler
    other = HttpCaller(caller.sock.getpeername())
    other.send(b"\x00\x01\x02\r\n\r\n")
    assert other.read()[0] == 400
    assert caller.get()[0] == 200
    other.close()


def test_nothing_is_written_to_a_caller_that_has_left(caller_and_handler):
    caller, handler = caller_and_handler
    handler.caller_reply = CallerDisconnected()
    assert caller.get()[0] is None


def test_an_answer_may_end_the_connection(caller_and_handler):
    caller, handler = caller_and_handler
    reply = HttpReply(status=503, headers=(("retry-after", "1"),), body=b"x")
    handler.caller_reply = CallerReply(reply=reply, close=True)
    status, headers, _ = caller.get()
    assert (status, headers["connection"], headers["retry-after"]) == (
        503,
        "close",
        "1",
    )
    assert caller.read()[0] is None


def test_an_exception_is_answered_500_and_logged(caller_and_handler):
    caller, handler = caller_and_handler
    handler.caller_reply = None
    # The handler raises an exception when it appends to this.
    handler.received = None
    assert caller.get()[0] == 500


def test_a_head_request_gets_no_body(caller_and_handler):
    caller, handler = caller_and_handler
    handler.caller_reply = CallerReply(
        reply=HttpReply(status=200, headers=(), body=b"abc")
    )
    caller.send(b"HEAD /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    assert caller.stream.readline().startswith(b"HTTP/1.1 200")
    assert caller.stream.readline() == b"content-length: 3\r\n"
    assert caller.stream.readline() == b"\r\n"
    assert caller.get()[0] == 200


class BlockingHandler(RecordingHandler):
    """Holds each request until the test lets it go on."""

    def __init__(self):
        super().__init__()
        self.entered = threading.Event()
        self.released = threading.Event()

    def __call__(self, received):
        self.entered.set()
        self.released.wait(5)
        return super().__call__(received)


def test_a_stop_waits_for_an_answer_that_is_being_written():
    # Guards against a request that was read just before the end of a planned stop and
    # whose connection is closed without an answer.
    handler = BlockingHandler()
    with run_server(handler) as server:
        caller = HttpCaller(server.bind_addr)
        caller.send(POST + b"Content-Length: 2\r\n\r\nok")
        assert handler.entered.wait(5)
        stop = threading.Thread(target=server.close_connections)
        stop.start()
        handler.released.set()
        assert caller.read()[::2] == (200, b"ok")
        stop.join(5)
        assert not stop.is_alive()
        caller.close()


def test_a_stop_ends_although_a_request_does_not(monkeypatch):
    monkeypatch.setattr("gooseberrymux.caller_server.ANSWER_TIMEOUT_MS", 20.0)
    handler = BlockingHandler()
    with run_server(handler) as server:
        caller = HttpCaller(server.bind_addr)
        caller.send(POST + b"Content-Length: 2\r\n\r\nok")
        assert handler.entered.wait(5)
        server.close_connections()
        assert caller.read()[0] is None
        handler.released.set()
        caller.close()


def test_a_request_after_the_stop_is_not_begun():
    # Guards against work that starts when its answer can't be delivered any more.
    handler = RecordingHandler()
    with run_server(handler) as server:
        caller = HttpCaller(server.bind_addr)
        assert caller.get()[0] == 200
        server.close_connections()
        with contextlib.suppress(OSError):
            caller.send(POST + b"Content-Length: 0\r\n\r\n")
        assert not caller.stream.read()
        assert len(handler.received) == 1
        caller.close()


class SlowCaller(HttpCaller):
    """A caller with a small window that takes what it reads in small steps."""

    STEP_BYTES = 16_384

    def __init__(self, address):
        super().__init__(address)
        self.pause = threading.Event()

    def read_all(self, pause_s):
        """Reads until the end of the connection, with a pause before each step."""
        received = b""
        while True:
            self.pause.wait(pause_s)
            step = self.sock.recv(self.STEP_BYTES)
            if not step:
                return received
            received += step


LARGE_BODY = b"a" * 4_000_000


def test_a_last_answer_arrives_whole_although_the_caller_has_sent_more(
    caller_and_handler,
):
    # Guards against an answer that is cut off: the system drops what it has not sent
    # yet if a connection is closed while data is unread.
    caller, handler = caller_and_handler
    slow = SlowCaller(caller.sock.getpeername())
    reply = HttpReply(status=200, headers=(), body=LARGE_BODY)
    handler.caller_reply = CallerReply(reply=reply, close=True)
    request = POST + b"Content-Length: 0\r\n\r\n"
    slow.send(request)
    wait_until(lambda: handler.received, message="no request")
    slow.send(request)
    received = slow.read_all(0.0005)
    assert len(received.partition(b"\r\n\r\n")[2]) == len(LARGE_BODY)
    assert len(handler.received) == 1
    slow.close()


def test_an_answer_that_is_read_slowly_arrives_whole(caller_and_handler):
    # Guards against an answer that is cut off at the header timeout although the caller
    # has kept reading.
    caller, handler = caller_and_handler
    slow = SlowCaller(caller.sock.getpeername())
    reply = HttpReply(status=200, headers=(), body=LARGE_BODY * 4)
    handler.caller_reply = CallerReply(reply=reply, close=True)
    slow.send(POST + b"Content-Length: 0\r\n\r\n")
    received = slow.read_all(0.001)
    assert len(received.partition(b"\r\n\r\n")[2]) == 4 * len(LARGE_BODY)
    slow.close()


def test_a_refusal_reaches_a_caller_that_sends_its_body_in_small_pieces(
    caller_and_handler,
):
    # Guards against a connection that is reset while the caller still sends, by which
    # the caller loses the refusal.
    caller, handler = caller_and_handler
    caller.send(POST + b"Content-Length: 200000\r\n\r\n")
    pause = threading.Event()
    for _ in range(200):
        caller.send(b"a" * 1_000)
        pause.wait(0.001)
    assert caller.read()[0] == 413
    assert handler.received == []
