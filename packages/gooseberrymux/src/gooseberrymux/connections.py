"""One connection to an upstream: whoever has a request writes it, its thread reads.

The thread is blocked on the socket also while nothing was asked, so that a connection
that the upstream closes, or on which it says something unasked, is never used again.
"""

import dataclasses
import http.client
import io
import socket
import threading
from collections.abc import Callable

from urllib3.util.connection import create_connection

from gooseberrymux import journal, metrics
from gooseberrymux.clock import MS_PER_S, Clock
from gooseberrymux.exchange import (
    NODELAY,
    REASON_CONNECT,
    REPLY_LIMIT_BYTES,
    name_failure,
)
from gooseberrymux.forward_exchange import (
    REASON_ABORTED,
    Broken,
    ForwardReply,
    NotSent,
    Result,
    encode_request,
    judge_reply,
    read_idle_limit_ms,
)
from gooseberrymux.forward_messages import ForwardCall
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.settings import HeaderNames

CONNECT_TIMEOUT_MS = 400.0
READ_BUFFER_BYTES = 16 * 1024
# A request that must not run twice goes out only on a connection used this recently:
# one that the upstream closes just then would leave its outcome unknown.
FRESH_IDLE_MS = 700.0
# A connection that is closed and gets no work for this long ends with its thread.
IDLE_MS = 30_000
REASON_INTERNAL = "internal_error"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Exchange:
    """One send of a request to an upstream.

    Attributes:
        call: The request.
        head: Its request line and end-to-end headers.
        deadline_ms: When its reply is no longer waited for.
        sent_ms: When it was handed to its connection.
        written: Bytes of it that were written.
        aborted: Whether it was broken off because nobody wants its reply.
    """

    call: ForwardCall
    head: bytes
    deadline_ms: float
    sent_ms: float
    written: int = 0
    aborted: bool = False


class ReplyStream(io.BufferedReader):
    """Buffered reader of a connection that outlives each reply read from it."""

    def makefile(self, mode: str) -> "ReplyStream":
        """Returns itself: `http.client` asks a socket for its reader."""
        return self

    def close(self) -> None:
        """Does nothing: `http.client` closes the reader behind each reply."""


class RawReplies(io.RawIOBase):
    """Raw reads of a socket that can be held back to see what is buffered."""

    __slots__ = ("_socket", "held")

    def __init__(self, *, sock: socket.socket):
        self._socket = sock
        self.held = False

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer) -> int:
        """Waits for bytes; reads none while held back."""
        return 0 if self.held else self._socket.recv_into(buffer)


Finish = Callable[["Connection", Exchange, Result], None]


class Connection:
    """A connection that is opened when needed and kept, and the thread that reads it.

    Args:
        record: The upstream.
        clock: The clock.
        names: Names of the headers.
        finish: Gets the result of each exchange, in the connection's thread.
    """

    __slots__ = (
        "_record",
        "_clock",
        "_names",
        "_finish",
        "_changed",
        "_socket",
        "_current",
        "_used_ms",
        "_idle_limit_ms",
        "_closed",
    )

    def __init__(
        self,
        *,
        record: UpstreamRecord,
        clock: Clock,
        names: HeaderNames,
        finish: Finish,
    ):
        self._record = record
        self._clock = clock
        self._names = names
        self._finish = finish
        self._changed = threading.Condition()
        self._socket: socket.socket | None = None
        self._current: Exchange | None = None
        self._used_ms = 0.0
        self._idle_limit_ms = float("inf")
        self._closed = False

    @property
    def is_open(self) -> bool:
        """Whether the connection stands, as far as is known."""
        return self._socket is not None

    def begin(self, exchange: Exchange) -> None:
        """Starts an exchange; the one before has finished. Does not block."""
        with self._changed:
            self._current = exchange
            if not self._write_now(exchange):
                # The thread opens another connection and writes there.
                self._shut_down()
                self._changed.notify()

    def abort(self, exchange: Exchange) -> None:
        """Breaks off an exchange if it is still under way."""
        with self._changed:
            if self._current is exchange:
                exchange.aborted = True
                self._shut_down()

    def close(self) -> None:
        """Ends the connection and its thread; an exchange under way is broken off."""
        with self._changed:
            self._closed = True
            self._shut_down()
            self._changed.notify()

    def serve(self, on_idle: Callable[[], bool]) -> None:
        """Opens connections and reads replies until it is closed; its thread's body.

        Args:
            on_idle: Asked whether the thread may end, after a long time without work.
        """
        while True:
            exchange = self._wait()
            if exchange is None:
                if self._closed or on_idle():
                    return
                continue
            failure = self._open(exchange)
            if failure is not None:
                self._complete(exchange, failure)
                continue
            stream = self._create_stream()
            while stream is not None and self._read_reply(stream):
                pass

    def _wait(self) -> Exchange | None:
        with self._changed:
            if self._current is None and not self._closed:
                self._clock.wait(self._changed, IDLE_MS)
            return self._current

    def _write_now(self, exchange: Exchange) -> bool:
        """Writes a request on the open connection; returns False if it may not."""
        sock = self._socket
        if sock is None:
            return False
        idle_ms = self._clock.now_ms() - self._used_ms
        limit_ms = self._idle_limit_ms
        if not exchange.call.repeatable:
            limit_ms = min(limit_ms, FRESH_IDLE_MS)
        if idle_ms >= limit_ms:
            return False
        request = self._encode(exchange)
        try:
            exchange.written = sock.send(request, socket.MSG_DONTWAIT)
        except BlockingIOError:
            pass
        except OSError:
            # Closed by the upstream, and nothing was written.
            return False
        if exchange.written < len(request):
            threading.Thread(
                target=self._write_rest, args=(sock, exchange, request), daemon=True
            ).start()
        return True

    def _write_rest(
        self, sock: socket.socket, exchange: Exchange, request: bytes
    ) -> None:
        """Writes what did not fit into the socket's buffer; a thread of its own."""
        try:
            while exchange.written < len(request):
                rest = memoryview(request)[exchange.written :]
                exchange.written += sock.send(rest)
        except OSError as error:
            # The thread that reads sees the end of the connection as well.
            journal.record_event(
                "connections.write_failed",
                upstream=self._record.name,
                request_id=exchange.call.request_id,
                error=str(error),
            )

    def _encode(self, exchange: Exchange) -> bytes:
        return encode_request(
            exchange.call,
            exchange.head,
            names=self._names,
            upstream=self._record.name,
            left_ms=exchange.deadline_ms - self._clock.now_ms(),
        )

    def _open(self, exchange: Exchange) -> NotSent | Broken | None:
        """Opens a connection and writes a request; returns why not, or None."""
        metrics.upstream_connections_total.inc({})
        left_ms = exchange.deadline_ms - self._clock.now_ms()
        try:
            sock = create_connection(
                (self._record.host, self._record.port),
                timeout=max(1.0, min(CONNECT_TIMEOUT_MS, left_ms)) / MS_PER_S,
                socket_options=NODELAY,
            )
        except OSError:
            return NotSent(reason=REASON_CONNECT)
        with self._changed:
            if exchange.aborted or self._closed:
                sock.close()
                return NotSent(reason=REASON_ABORTED)
            self._socket = sock
            self._idle_limit_ms = float("inf")
        request = self._encode(exchange)
        try:
            while exchange.written < len(request):
                exchange.written += sock.send(memoryview(request)[exchange.written :])
        except OSError as error:
            self._drop_socket()
            if not exchange.written:
                return NotSent(reason=REASON_CONNECT)
            return Broken(reason=name_failure(error))
        # Waits end with the connection; the pool breaks it off at the deadline.
        sock.settimeout(None)
        return None

    def _create_stream(self) -> ReplyStream | None:
        sock = self._socket
        if sock is None:
            return None
        return ReplyStream(RawReplies(sock=sock), READ_BUFFER_BYTES)

    def _read_reply(self, stream: ReplyStream) -> bool:
        """Reads one reply; returns whether the connection can be used again."""
        try:
            begun = bool(stream.peek(1))
        except OSError:
            begun = False
        with self._changed:
            exchange = self._current
        if exchange is None or (not begun and not exchange.written):
            if begun:
                # It belongs to no request.
                metrics.dropped_total.inc({"reason": "unasked_reply"})
            self._drop_socket()
            return False
        result, keep = self._take_reply(stream, exchange)
        if not keep:
            self._drop_socket()
        self._complete(exchange, result)
        return keep

    def _take_reply(
        self, stream: ReplyStream, exchange: Exchange
    ) -> tuple[Result, bool]:
        try:
            response, body = read_response(stream, exchange.call.method)
        except (OSError, http.client.HTTPException, ValueError) as error:
            reason = REASON_ABORTED if exchange.aborted else name_failure(error)
            return Broken(reason=reason), False
        except Exception as error:
            # A fault in one exchange must not take the thread with it.
            peer = self._record.name
            journal.record_fault(step="connections.read", peer=peer, error=error)
            metrics.faults_total.inc({"step": "connections.read"})
            return Broken(reason=REASON_INTERNAL), False
        if exchange.aborted or self._closed:
            # A reply without length seems to be whole when this side ends it.
            return Broken(reason=REASON_ABORTED), False
        self._used_ms = self._clock.now_ms()
        self._idle_limit_ms = read_idle_limit_ms(response.fields)
        result = judge_reply(
            exchange.call,
            response,
            body,
            names=self._names,
            elapsed_ms=self._used_ms - exchange.sent_ms,
        )
        keep = not (response.will_close or isinstance(result, Broken))
        return result, keep and not has_more(stream)

    def _complete(self, exchange: Exchange, result: Result) -> None:
        with self._changed:
            self._current = None
        self._finish(self, exchange, result)

    def _drop_socket(self) -> None:
        with self._changed:
            sock, self._socket = self._socket, None
        if sock is not None:
            sock.close()

    def _shut_down(self) -> None:
        """Ends the socket, so that the thread that reads it goes on."""
        if self._socket is None:
            return
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It has ended already, and the thread is about to notice.
            return


def read_response(stream: ReplyStream, method: str) -> tuple[ForwardReply, bytes]:
    """Returns the head and the whole body of a reply.

    Raises:
        OSError: The connection broke.
        HTTPException: The reply is malformed or was cut off.
        ValueError: It is malformed or too long.
    """
    # `http.client` needs of a socket only `makefile`.
    response = ForwardReply(stream, method=method)  # type: ignore
    response.begin()
    body = response.read(REPLY_LIMIT_BYTES + 1)
    if len(body) > REPLY_LIMIT_BYTES:
        raise ValueError("oversized reply")
    if response.length:
        raise http.client.IncompleteRead(body, response.length)
    return response, body


def has_more(stream: ReplyStream) -> bool:
    """Returns whether bytes behind a reply have arrived already."""
    raw = stream.raw
    raw.held = True
    try:
        more = bool(stream.peek(1))
    finally:
        raw.held = False
    if more:
        # They belong to no request.
        metrics.dropped_total.inc({"reason": "bytes_after_reply"})
    return more
