"""HTTP server for forwarded requests: strict HTTP/1.1, one thread for each connection.

Requests with ambiguous framing are refused, because the next hop might interpret them
differently and find another request in the body.
"""

import dataclasses
import functools
import io
import socket
from collections.abc import Callable

import cheroot.server
from cheroot import errors

from gooseberrymux import journal, metrics
from gooseberrymux.accept_loop import AcceptLoop, ConnectionSet, LimitedConnection
from gooseberrymux.caller_body import BodyReader, RequestError, create_no_room_error
from gooseberrymux.caller_budget import (
    COVERED_BODY_BYTES,
    IDLE,
    READING,
    RUNNING,
    WRITING,
)
from gooseberrymux.caller_head import (
    HeadReader,
    list_header_tokens,
    parse_body_length,
    read_headers,
)
from gooseberrymux.caller_memory import (
    REASON_AHEAD,
    CallerMemory,
    read_moved_bytes,
)
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.drops import DropRecorder
from gooseberrymux.http_types import (
    Headers,
    HttpReply,
    HttpRequest,
    find_header,
    select_end_to_end_headers,
)
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import Rank
from gooseberrymux.routes import CallerLimits
from gooseberrymux.settings import Address

LISTEN_BACKLOG = 512
# How long a planned stop waits for requests that are being read or answered after all
# others have ended.
ANSWER_TIMEOUT_MS = 300.0
# Longest time that a request which was sent ahead counts as work; the rest is the wait
# for its upstream.
MAX_PIPELINE_WORK_MS = 5.0
SHED_MESSAGE = "the connection was closed to make room for others"

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    414: "URI Too Long",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedRequest:
    """A complete request and the socket that it arrived on."""

    request: HttpRequest
    sock: socket.socket


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerReply:
    """Outcome of a request that is answered.

    Attributes:
        reply: Status, headers and body to write.
        close: Whether the connection is closed after the reply.
    """

    reply: HttpReply
    close: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerDisconnected:
    """Outcome of a request whose caller has disconnected; no reply is written."""


RequestHandler = Callable[[ReceivedRequest], CallerReply | CallerDisconnected]


class CallerRequest(cheroot.server.HTTPRequest):
    """One request; cheroot parses the request line, this class headers and body."""

    def read_request_headers(self) -> bool:
        """Reads and checks the headers; replies and returns False if one is invalid."""
        try:
            self.headers = read_headers(self.rfile)
            self.length = parse_body_length(self.headers, is_http_11=self.is_http_11)
            if self.length is not None and self.length > self.server.limits.body_bytes:
                raise RequestError(status=413, message="the body is too long")
        except RequestError as error:
            self.refuse(error)
            return False
        connection = list_header_tokens(self.headers, "connection")
        self.close_connection = "close" in connection or not self.is_http_11
        if "100-continue" in list_header_tokens(self.headers, "expect"):
            self.conn.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def parse_request(self) -> None:
        """Reads the request line and the headers within the size limit."""
        self.headers: Headers = ()
        self.length: int | None = None
        self.rfile = HeadReader(
            rfile=self.conn.rfile, limit_bytes=self.server.limits.header_bytes
        )
        try:
            self.ready = self.read_request_line() and self.read_request_headers()
        except errors.MaxSizeExceeded:
            self.refuse(RequestError(status=431, message="the headers are too long"))

    @property
    def is_http_11(self) -> bool:
        """Whether the caller speaks HTTP/1.1."""
        return self.response_protocol == "HTTP/1.1"

    def respond(self) -> None:
        """Reads the body, calls the request handler and writes the reply."""
        try:
            body = self._read_body()
            self.conn.holder.enter(RUNNING)
            if self.conn.holder.is_shed:
                raise create_no_room_error(SHED_MESSAGE)
        except RequestError as error:
            self.refuse(error)
            return
        # Keeps cheroot from replying to a later failure with an error of its own, which
        # would say that the request was not run although the handler may have run it.
        self.sent_headers = True
        request = HttpRequest(
            method=self.method.decode("latin-1"),
            target=self.uri.decode("latin-1"),
            headers=select_end_to_end_headers(self.headers),
            body=body,
        )
        match self.server.run_handler(
            ReceivedRequest(request=request, sock=self.conn.socket)
        ):
            case CallerDisconnected():
                self.close_connection = True
            case CallerReply(reply=reply, close=close):
                self.close_connection = self.close_connection or close
                self.conn.write_answer(
                    encode_reply(
                        reply, close=self.close_connection, method=request.method
                    )
                )

    def _read_body(self) -> bytes:
        length = self.length
        reader = self.conn.body_reader
        if length is not None and length <= COVERED_BODY_BYTES:
            return reader.read_covered(length)
        self.conn.holder.rank = self.server.get_rank(
            find_header(self.headers, "host") or "", self.uri.decode("latin-1")
        )
        if length is not None:
            return reader.read_large(length)
        return reader.read_chunked(self.server.limits)

    def refuse(self, error: RequestError) -> None:
        """Replies to an invalid request with its error and closes the connection."""
        self.close_connection = True
        if self.conn.holder.is_shed:
            # The connection was shut down for reading, so the request looks cut off.
            error = create_no_room_error(SHED_MESSAGE)
        self.server.refusals.record(
            reason=f"request_refused_{error.status}",
            step="front.read",
            peer=self.conn.remote_addr,
            detail=error.message,
        )
        headers: Headers = ()
        if error.retry_after_ms is not None:
            headers = (("retry-after", f"{error.retry_after_ms / MS_PER_S:.3f}"),)
        reply = create_text_reply(
            status=error.status, text=error.message, headers=headers
        )
        self.conn.wfile.write(encode_reply(reply, close=True, method="GET"))

    def simple_response(self, status: str, msg: str = "") -> None:
        """Replies to a request that cheroot refuses, in place of its own reply."""
        self.refuse(RequestError(status=int(str(status)[:3]), message=msg))


class CallerConnection(LimitedConnection):
    """One caller's connection; a single thread serves it until it is closed."""

    RequestHandlerClass = CallerRequest

    def __init__(self, server, sock, makefile=None):
        super().__init__(server, sock)
        # CPython's reader, written in C, takes a tenth of the time of cheroot's.
        self.rfile = sock.makefile("rb")
        self.wfile = UnbufferedSocketWriter(sock=sock)

    @functools.cached_property
    def body_reader(self) -> BodyReader:
        """Reader of the bodies of this connection."""
        memory = self.server.memory
        return BodyReader(
            rfile=self.rfile,
            holder=self.holder,
            connections=memory.callers,
            pieces=memory.pieces,
            clock=self.server.clock,
        )

    def serve_request(self) -> bool:
        """Serves one request; returns whether the connection stays open.

        A caller that sends many requests before it reads their answers waits for the
        others that do so.
        """
        try:
            if self.holder.sends_ahead:
                return self._communicate_through_gate()
            return self.communicate()
        finally:
            self.body_reader.release()

    def _communicate_through_gate(self) -> bool:
        gate = self.server.memory.pipelines
        if not gate.enter(self.server.limits.header_timeout_ms):
            self.server.connections.record_refusal(self.holder, REASON_AHEAD)
            return False
        clock = self.server.clock
        started_ms = clock.now_ms()
        try:
            return self.communicate()
        finally:
            gate.leave(min(clock.now_ms() - started_ms, MAX_PIPELINE_WORK_MS))

    def wait_for_request(self) -> bool:
        """Returns whether a request begins before the idle timeout.

        Sets the header timeout on the socket for the reads that follow.
        """
        limits = self.server.limits
        self.holder.enter(IDLE)
        self.socket.settimeout(limits.idle_timeout_ms / MS_PER_S)
        try:
            has_data = bool(self.rfile.peek(1))
        except OSError:
            return False
        self.holder.enter(READING)
        self.socket.settimeout(limits.header_timeout_ms / MS_PER_S)
        return has_data

    def write_answer(self, data: bytes) -> None:
        """Writes an answer; a large one is charged until the caller has taken it."""
        self.holder.enter(WRITING)
        if len(data) <= COVERED_BODY_BYTES:
            self.wfile.write(data)
            return
        connections = self.server.connections
        connections.hold_answer(self.holder, len(data))
        try:
            self.wfile.write(data)
        finally:
            connections.release_answer(self.holder, len(data))


class UnbufferedSocketWriter(io.RawIOBase):
    """Writer without a buffer, so that a reply needs no flush."""

    __slots__ = ("_socket",)

    def __init__(self, *, sock: socket.socket):
        self._socket = sock

    def write(self, data) -> int:
        """Blocks until all data is sent; returns its length in bytes.

        Raises:
            TimeoutError: The caller has read nothing for as long as the timeout of the
                socket.
        """
        # `sendall` would apply the timeout to all steps together.
        remainder = memoryview(data)
        while remainder:
            remainder = remainder[self._send_step(remainder) :]
        return len(data)

    def _send_step(self, data: memoryview) -> int:
        """Sends what the system takes; waits for as long as the caller reads."""
        while True:
            moved_before = read_moved_bytes(self._socket)
            try:
                return self._socket.send(data)
            except TimeoutError:
                # The system takes more only once it has room for a large part of its
                # buffer, which a slow caller may not make within the timeout.
                if read_moved_bytes(self._socket) == moved_before:
                    raise


class CallerServer(AcceptLoop, cheroot.server.HTTPServer):
    """HTTP server that callers connect to.

    Args:
        address: Address to listen on.
        kernel: Spawns the threads of the connections.
        handle: Handles a request in the thread of its connection; may block.
        get_limits: Returns the limits in force; called for each use.
        memory: Limits what all callers hold together.
        get_rank: Returns the rank of the requests for a host and target, None without
            a route; called for large bodies.
    """

    ConnectionClass = CallerConnection
    thread_prefix = "front"

    def __init__(
        self,
        *,
        address: Address,
        kernel: Kernel,
        handle: RequestHandler,
        get_limits: Callable[[], CallerLimits],
        memory: CallerMemory,
        get_rank: Callable[[str, str], Rank | None] = lambda host, target: None,
    ):
        super().__init__((address.host, address.port), gateway=None, minthreads=1)
        self.request_queue_size = LISTEN_BACKLOG
        self.clock = kernel.clock
        self.memory = memory
        self.connections = memory.callers
        self.connection_set = ConnectionSet(clock=kernel.clock)
        self.refusals = DropRecorder(clock=kernel.clock, event="front.refused")
        self.get_rank = get_rank
        self.kernel = kernel
        self._handle = handle
        self._get_limits = get_limits

    @property
    def limits(self) -> CallerLimits:
        """Limits in force, which change with the route table."""
        return self._get_limits()

    def run_handler(
        self, received: ReceivedRequest
    ) -> CallerReply | CallerDisconnected:
        """Calls the request handler; logs an exception and replies with status 500."""
        try:
            return self._handle(received)
        except Exception as error:
            journal.record_fault(step="front.handle", peer="", error=error)
            metrics.faults_total.inc({"step": "front.handle"})
            return CallerReply(
                reply=create_text_reply(status=500, text="internal error"), close=True
            )

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Logs a message of cheroot; its level and traceback are dropped."""
        journal.record_event("front.cheroot", message=msg)

    def close_connections(self) -> None:
        """Shuts down all connections; those with a request have a while to end."""
        self.connection_set.close(ANSWER_TIMEOUT_MS)


def create_text_reply(*, status: int, text: str, headers: Headers = ()) -> HttpReply:
    """Returns a reply that comes from this instance itself, with one line of text."""
    return HttpReply(
        status=status,
        headers=(("content-type", "text/plain"), *headers),
        body=f"{text}\n".encode(),
    )


def encode_reply(reply: HttpReply, *, close: bool, method: str) -> bytes:
    """Returns the bytes of a reply, with a content-length that fits its body.

    Args:
        reply: The reply; statuses 204 and 304 get no content-length.
        close: Whether to announce that the connection is closed afterwards.
        method: Method of the request; a reply to HEAD has no body.
    """
    lines = [f"HTTP/1.1 {reply.status} {REASON_PHRASES.get(reply.status, 'Unknown')}"]
    lines += [
        f"{name}: {value}" for name, value in reply.headers if name != "content-length"
    ]
    if reply.status not in (204, 304):
        lines.append(f"content-length: {len(reply.body)}")
    if close:
        lines.append("connection: close")
    header_block = "\r\n".join(lines) + "\r\n\r\n"
    return header_block.encode("latin-1") + (b"" if method == "HEAD" else reply.body)
