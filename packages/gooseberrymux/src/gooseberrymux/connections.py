"""Keep-alive connections to upstreams for forwarded requests.

The thread that submits a request usually writes it; a thread that belongs to the
connection reads the reply. The reader also blocks on the socket while the connection is
idle, so that a connection that the upstream closes, or on which it sends unsolicited
bytes, is never used again.

An exchange is over when both directions are: a connection on which the reply was
complete before the request was written is closed.
"""

import dataclasses
import socket
import threading
from collections.abc import Callable

from urllib3.util.connection import create_connection

from gooseberrymux import journal, metrics
from gooseberrymux.clock import MS_PER_S, Clock
from gooseberrymux.exchange import (
    NODELAY_OPTIONS,
    REASON_BROKEN,
    REASON_CONNECT,
    REASON_DEADLINE,
    classify_error,
)
from gooseberrymux.forward_exchange import (
    REASON_ABORTED,
    REASON_FOREIGN,
    Broken,
    NotSent,
    Replied,
    Result,
    classify_reply,
    encode_request,
    parse_idle_limit_ms,
)
from gooseberrymux.forward_messages import ForwardCall
from gooseberrymux.http_types import find_header
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.reply_memory import ReplyMemory
from gooseberrymux.reply_parser import ParsedReply, ReplyError, ReplyParser
from gooseberrymux.request_writer import RequestWriter
from gooseberrymux.settings import HeaderNames

CONNECT_TIMEOUT_MS = 400.0
# Allocated once for each connection. A thread that allocates as much for each read gets
# a memory pool of its own from the C library.
READ_BUFFER_BYTES = 8 * 1024
# A request that must not run twice is sent only on a connection that was idle for less
# than this: if the upstream closes an idle connection while the request is being sent,
# the outcome of the request is unknown.
NON_REPEATABLE_IDLE_LIMIT_MS = 700.0
# The thread of a connection whose socket is closed may end after this long without a
# request.
IDLE_TIMEOUT_MS = 30_000
REASON_INTERNAL = "internal_error"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Exchange:
    """One attempt to send a request to an upstream and to read its reply.

    Times are monotonic, in milliseconds.

    Attributes:
        call: The request.
        head: The encoded request line and end-to-end headers.
        deadline_ms: When to stop waiting for the reply.
        sent_ms: When the request was handed to the connection.
        aborted: Whether the exchange was aborted because its reply is no longer needed.
    """

    call: ForwardCall
    head: bytes
    deadline_ms: float
    sent_ms: float
    aborted: bool = False


ResultHandler = Callable[["Connection", Exchange, Result], None]
# Returns the reason code for not sending an exchange any more, or None.
SendCheck = Callable[[Exchange], str | None]


class Connection:
    """A keep-alive connection to one upstream, opened on demand.

    Runs one exchange at a time. `serve` runs in the connection's own thread; the other
    methods may be called from any thread.

    Args:
        record: The upstream.
        clock: Source of monotonic time.
        names: Configured names of the protocol's HTTP headers.
        reply_memory: Limits what unfinished replies hold together.
        on_result: Called in the connection's thread with the result of each exchange.
        check_send: Called just before a request is written to the open socket, and
            before and after a new socket is opened for an exchange.
    """

    __slots__ = (
        "_record",
        "_clock",
        "_names",
        "_reply_memory",
        "_on_result",
        "_check_send",
        "_condition",
        "_socket",
        "_current",
        "_writer",
        "_last_used_ms",
        "_idle_limit_ms",
        "_closed",
        "_buffer",
        "_last_proof",
        "_failed_ids",
    )

    def __init__(
        self,
        *,
        record: UpstreamRecord,
        clock: Clock,
        names: HeaderNames,
        reply_memory: ReplyMemory,
        on_result: ResultHandler,
        check_send: SendCheck = lambda exchange: None,
    ):
        self._record = record
        self._clock = clock
        self._names = names
        self._reply_memory = reply_memory
        self._on_result = on_result
        self._check_send = check_send
        self._condition = threading.Condition()
        self._socket: socket.socket | None = None
        self._current: Exchange | None = None
        # Writes the request of the current exchange to the open socket; None if the
        # write has not been started.
        self._writer: RequestWriter | None = None
        self._last_used_ms = 0.0
        self._idle_limit_ms = float("inf")
        self._closed = False
        self._buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._last_proof = ""
        # Requests that got a failure on the open socket, by request id: the monotonic
        # time of their deadline in milliseconds.
        self._failed_ids: dict[str, float] = {}

    @property
    def is_open(self) -> bool:
        """Whether the socket is open and not known to have failed."""
        return self._socket is not None

    def has_failed(self, request_id: str) -> bool:
        """Returns whether a request got a failure on the open socket.

        The upstream may send that failure once more, late. If the request were sent
        again on this socket, the copy would be taken for the reply to the second send.
        """
        return request_id in self._failed_ids

    def start_exchange(self, exchange: Exchange) -> None:
        """Starts an exchange without blocking; the previous one must have finished."""
        with self._condition:
            self._current = exchange
            if not self._try_write(exchange):
                # The connection's thread opens a new socket and writes the request.
                self._shut_down_socket()
                self._condition.notify()

    def abort(self, exchange: Exchange) -> None:
        """Aborts an exchange if it is still in progress, by closing the connection."""
        with self._condition:
            if self._current is exchange:
                exchange.aborted = True
                self._shut_down_socket()

    def close(self) -> None:
        """Closes the connection, aborts its exchange and makes its thread end."""
        with self._condition:
            self._closed = True
            self._shut_down_socket()
            self._condition.notify()

    def serve(self, on_idle: Callable[[], bool]) -> None:
        """Opens sockets and reads replies; blocks its thread until `close` or idleness.

        Args:
            on_idle: Called when the socket was closed and no request came for
                `IDLE_TIMEOUT_MS`; returns whether the thread may end.
        """
        while True:
            exchange = self._wait_for_exchange()
            if exchange is None:
                if self._closed or on_idle():
                    return
                continue
            failure = self._try_connect_and_write(exchange)
            if failure is not None:
                self._finish_exchange(exchange, failure)
                continue
            while self._read_reply():
                pass

    def _wait_for_exchange(self) -> Exchange | None:
        with self._condition:
            if self._current is None and not self._closed:
                self._clock.wait(self._condition, IDLE_TIMEOUT_MS)
            return self._current

    def _try_write(self, exchange: Exchange) -> bool:
        """Starts writing a request to the open socket, without blocking.

        Returns False, with nothing written, if the socket is closed, has failed, was
        idle for too long or has brought a failure of the same request, or if the
        request is not to be sent any more.
        """
        sock = self._socket
        if sock is None or self.has_failed(exchange.call.request_id):
            return False
        if self._check_send(exchange):
            # The connection's thread reports the reason.
            return False
        idle_ms = self._clock.now_ms() - self._last_used_ms
        limit_ms = self._idle_limit_ms
        if not exchange.call.repeatable:
            limit_ms = min(limit_ms, NON_REPEATABLE_IDLE_LIMIT_MS)
        if idle_ms >= limit_ms:
            return False
        return self._start_write(sock, exchange)

    def _start_write(self, sock: socket.socket, exchange: Exchange) -> bool:
        """Starts writing a request; requires the lock.

        Returns False, with nothing written, if the upstream has closed the connection.
        """
        request = encode_request(
            exchange.call,
            exchange.head,
            names=self._names,
            upstream=self._record.name,
            remaining_ms=exchange.deadline_ms - self._clock.now_ms(),
        )
        writer = RequestWriter(
            sock=sock,
            request=request,
            upstream=self._record.name,
            request_id=exchange.call.request_id,
        )
        try:
            writer.start()
        except OSError:
            return False
        self._writer = writer
        return True

    def _try_connect_and_write(self, exchange: Exchange) -> NotSent | Broken | None:
        try:
            return self._connect_and_write(exchange)
        except Exception as error:
            # For example an address that the socket library does not accept.
            peer = self._record.name
            journal.record_fault(step="connections.write", peer=peer, error=error)
            metrics.faults_total.inc({"step": "connections.write"})
            self._close_socket()
            if self._has_written():
                return Broken(reason=REASON_INTERNAL)
            return NotSent(reason=REASON_CONNECT)

    def _connect_and_write(self, exchange: Exchange) -> NotSent | None:
        """Opens a socket and writes a request; returns the failure, or None.

        The thread may run long after the exchange was started, so whether it is still
        to be sent is checked here again.
        """
        if reason := self._find_obstacle(exchange):
            return NotSent(reason=reason)
        metrics.upstream_connections_total.inc({})
        remaining_ms = exchange.deadline_ms - self._clock.now_ms()
        try:
            sock = create_connection(
                (self._record.host, self._record.port),
                timeout=max(1.0, min(CONNECT_TIMEOUT_MS, remaining_ms)) / MS_PER_S,
                socket_options=NODELAY_OPTIONS,
            )
        except OSError:
            return NotSent(reason=REASON_CONNECT)
        with self._condition:
            if exchange.aborted or self._closed:
                sock.close()
                return NotSent(reason=REASON_ABORTED)
            self._socket = sock
            self._idle_limit_ms = float("inf")
            self._last_proof = ""
            self._failed_ids = {}
        if reason := self._find_obstacle(exchange):
            self._close_socket()
            return NotSent(reason=reason)
        # Reads and writes have no timeout: at the deadline the pool aborts the
        # exchange, which ends a blocked one.
        sock.settimeout(None)
        with self._condition:
            if self._start_write(sock, exchange):
                return None
        self._close_socket()
        return NotSent(reason=REASON_CONNECT)

    def _find_obstacle(self, exchange: Exchange) -> str | None:
        """Returns the reason code for not sending an exchange, or None."""
        if exchange.aborted:
            return REASON_ABORTED
        if self._clock.now_ms() >= exchange.deadline_ms:
            return REASON_DEADLINE
        return self._check_send(exchange)

    def _read_reply(self) -> bool:
        """Waits for and reads one reply; returns whether the socket can be reused."""
        sock = self._socket
        if sock is None:
            return False
        try:
            first = receive(sock, self._buffer)
        except OSError:
            first = self._buffer[:0]
        with self._condition:
            exchange = self._current
            if exchange is None:
                # An exchange that starts from now on must not write to this socket.
                self._socket = None
        if first and not self._has_written():
            # Bytes that arrive before a request is sent are not its reply.
            metrics.dropped_total.inc({"reason": "unasked_reply"})
        if exchange is None:
            sock.close()
            return False
        if not self._has_written():
            self._close_socket()
            if self._has_written():
                # The write began while the connection was being closed.
                self._finish_exchange(exchange, Broken(reason=REASON_BROKEN))
            return False
        result, is_reusable = self._receive_reply(sock, first, exchange)
        if not is_reusable:
            self._close_socket()
        self._finish_exchange(exchange, result)
        return is_reusable

    def _receive_reply(
        self, sock: socket.socket, first: memoryview, exchange: Exchange
    ) -> tuple[Result, bool]:
        """Returns the result of an exchange, and whether the socket can be reused."""
        try:
            reply, has_excess = self._parse_reply(sock, first, exchange)
            return self._evaluate_reply(exchange, reply, has_excess=has_excess)
        except (OSError, ReplyError) as error:
            reason = REASON_ABORTED if exchange.aborted else classify_error(error)
            return Broken(reason=reason), False
        except Exception as error:
            # An unexpected error in one exchange must not end the thread.
            peer = self._record.name
            journal.record_fault(step="connections.read", peer=peer, error=error)
            metrics.faults_total.inc({"step": "connections.read"})
            return Broken(reason=REASON_INTERNAL), False

    def _parse_reply(
        self, sock: socket.socket, first: memoryview, exchange: Exchange
    ) -> tuple[ParsedReply, bool]:
        """Reads a reply; returns it and whether there were bytes after it."""
        parser = ReplyParser(method=exchange.call.method, memory=self._reply_memory)
        try:
            reply = read_reply(sock, first, parser, self._buffer)
        finally:
            parser.close()
        return reply, parser.has_excess

    def _evaluate_reply(
        self, exchange: Exchange, reply: ParsedReply, *, has_excess: bool
    ) -> tuple[Result, bool]:
        """Returns what a complete reply means for its exchange and for the socket."""
        if exchange.aborted or self._closed:
            # A reply that is delimited by the end of the connection looks complete
            # when this side closes the socket.
            return Broken(reason=REASON_ABORTED), False
        is_written = self._end_write()
        if not is_written:
            self._record_early_reply(exchange, reply)
        if reply.ends_with_connection and self._was_reset():
            return Broken(reason=REASON_BROKEN), False
        self._last_used_ms = self._clock.now_ms()
        self._idle_limit_ms = parse_idle_limit_ms(reply.headers)
        result = classify_reply(
            exchange.call,
            reply,
            names=self._names,
            elapsed_ms=self._last_used_ms - exchange.sent_ms,
        )
        if self._is_repeated(reply, result):
            result = Broken(reason=REASON_FOREIGN)
        self._record_failure(exchange, result)
        if has_excess:
            # Bytes after a complete reply belong to no request.
            metrics.dropped_total.inc({"reason": "bytes_after_reply"})
        must_close = (
            not is_written
            or reply.closes_connection
            or has_excess
            or isinstance(result, Broken)
            or not self._is_copy_recognizable(reply, result)
        )
        return result, not must_close

    def _has_written(self) -> bool:
        """Returns whether a byte of the current request is on the open socket."""
        return self._writer is not None and self._writer.bytes_written > 0

    def _end_write(self) -> bool:
        """Ends the write of the current request; returns whether it is complete."""
        if self._writer is None:
            return False
        self._writer.end()
        return self._writer.is_complete

    def _was_reset(self) -> bool:
        """Returns whether the write of the current request met a reset."""
        return self._writer is not None and self._writer.was_reset

    def _record_early_reply(self, exchange: Exchange, reply: ParsedReply) -> None:
        """Logs a reply that was complete before its request was written."""
        assert self._writer is not None
        metrics.early_replies_total.inc({})
        journal.record_event(
            "connections.early_reply",
            upstream=self._record.name,
            request_id=exchange.call.request_id,
            status=reply.status,
            bytes_written=self._writer.bytes_written,
            size_bytes=self._writer.size_bytes,
        )

    def _is_copy_recognizable(self, reply: ParsedReply, result: Result) -> bool:
        """Returns whether a late copy of a reply would not pass for the next reply.

        It would if the reply names no request, neither by its id nor by a proof.
        """
        match result:
            case Replied(proof=proof) if proof:
                return True
            case _:
                return self._has_request_id(reply)

    def _has_request_id(self, reply: ParsedReply) -> bool:
        name = self._names.request_id.lower()
        return find_header(reply.headers, name) is not None

    def _record_failure(self, exchange: Exchange, result: Result) -> None:
        """Remembers a request that may be sent again after its reply."""
        match result:
            case Replied(reply=reply) if not reply.is_server_error:
                return
        now_ms = self._clock.now_ms()
        pending = {
            request_id: deadline_ms
            for request_id, deadline_ms in self._failed_ids.items()
            if deadline_ms > now_ms
        }
        self._failed_ids = pending | {exchange.call.request_id: exchange.deadline_ms}

    def _is_repeated(self, reply: ParsedReply, result: Result) -> bool:
        """Returns whether a reply is the previous one of this connection once more.

        A proof is made for one request. It identifies a repeated reply of an upstream
        that echoes no request id.
        """
        match result:
            case Replied(proof=proof) if proof:
                before, self._last_proof = self._last_proof, proof
            case _:
                return False
        if proof != before:
            return False
        if self._has_request_id(reply):
            return False
        metrics.dropped_total.inc({"reason": "repeated_reply"})
        return True

    def _finish_exchange(self, exchange: Exchange, result: Result) -> None:
        with self._condition:
            self._current = None
            self._writer = None
        self._on_result(self, exchange, result)

    def _close_socket(self) -> None:
        with self._condition:
            sock, self._socket = self._socket, None
        self._end_write()
        if sock is not None:
            sock.close()

    def _shut_down_socket(self) -> None:
        """Shuts the socket down, which unblocks the reading thread."""
        if self._socket is None:
            return
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection has ended already, which unblocks the thread too.
            return


def receive(sock: socket.socket, buffer: memoryview) -> memoryview:
    """Blocks for the next bytes; returns none once the connection has ended.

    Args:
        sock: The connection.
        buffer: Holds the bytes that are returned, until the next call.

    Raises:
        OSError: The connection was reset.
    """
    return buffer[: sock.recv_into(buffer)]


def read_reply(
    sock: socket.socket, first: memoryview, parser: ReplyParser, buffer: memoryview
) -> ParsedReply:
    """Reads one complete reply; blocks until it is complete or has failed.

    Args:
        sock: The connection.
        first: Bytes that were received before; none if the connection has ended.
        parser: A new parser.
        buffer: For the bytes that follow.

    Raises:
        OSError: The connection was reset.
        MalformedReplyError: The bytes are not a valid reply, or exceed a limit.
        TruncatedReplyError: The connection ended within the reply.
    """
    data = first
    while parser.reply is None:
        if data:
            parser.feed(data)
        else:
            parser.finish()
        if parser.reply is None:
            data = receive(sock, buffer)
    return parser.reply
