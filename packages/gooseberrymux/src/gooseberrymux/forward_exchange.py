"""One exchange of a forwarded request with an upstream, on a kept connection.

A result says not run only if no byte of the request was written or the upstream itself
said so. A reply that belongs to another request is never returned, and its connection
is closed.
"""

import dataclasses
import http.client
import io
import re
import socket

import urllib3
from urllib3.util.connection import create_connection

from gooseberrymux import metrics
from gooseberrymux.clock import MS_PER_S, Clock
from gooseberrymux.exchange import (
    HEADER_LIMIT,
    HEADER_LIMIT_BYTES,
    NODELAY,
    REASON_CONNECT,
    REASON_DEADLINE,
    REASON_MALFORMED,
    REPLY_LIMIT_BYTES,
    DeadlineReader,
    name_failure,
    set_timeout,
)
from gooseberrymux.forward_messages import ForwardCall
from gooseberrymux.http_records import (
    Headers,
    HttpReply,
    find_header,
    select_end_to_end,
)
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.settings import HeaderNames

REASON_SHED = "shed"
REASON_OTHER_UPSTREAM = "other_upstream"
REASON_FOREIGN = "foreign_reply"
REASON_ABORTED = "aborted"
STATUS_MISDIRECTED = 421
CONNECT_TIMEOUT_MS = 400.0
# An upstream that announces when it closes an idle connection is taken at its word
# less this, since the request needs a moment to arrive.
IDLE_MARGIN_MS = 400.0
# A request that must not run twice goes out only on a connection used this recently:
# one that the upstream closes just then would leave its outcome unknown.
FRESH_IDLE_MS = 700.0
KEEP_ALIVE = re.compile(r"timeout=(\d+)")
NO_BODY_STATUSES = frozenset({204, 304})

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Replied:
    """The upstream ran the request and this is its whole reply."""

    reply: HttpReply
    proof: str
    elapsed_ms: float


@_frozen
class Declined:
    """The upstream said that it did not run the request."""

    reason: str
    elapsed_ms: float


@_frozen
class NotSent:
    """No byte of the request was written."""

    reason: str


@_frozen
class Broken:
    """The request may have run; there is no usable reply."""

    reason: str


Result = Replied | Declined | NotSent | Broken


class KeptReader(io.BufferedReader):
    """A reader that stays open when `http.client` has read the reply."""

    def close(self) -> None:
        """Does nothing: the exchange closes the connection."""


class ForwardReader(DeadlineReader):
    """Raw reads of one reply; ends early so that what is buffered can be seen."""

    __slots__ = ("ended",)

    def __init__(self, *, sock: socket.socket, clock: Clock, deadline_ms: float):
        super().__init__(sock=sock, clock=clock, deadline_ms=deadline_ms)
        self.ended = False

    def readinto(self, buffer) -> int:
        """Reads what is there, waiting for the first byte until the deadline."""
        return 0 if self.ended else super().readinto(buffer)

    def makefile(self, mode: str) -> KeptReader:
        """Returns the buffered reader that `http.client` asks a socket for."""
        return KeptReader(self)


class ForwardReply(http.client.HTTPResponse):
    """A reply with all its headers in order.

    Unlike a sub-request's reply it may have no length and end with its connection.
    """

    def begin(self) -> None:
        """Reads status line and headers, past interim replies.

        Raises:
            HTTPException: They are malformed, too long, or frame the body in two ways.
        """
        while True:
            version, status, reason = self._read_status()
            self.fields = self._read_fields()
            if status >= 200:
                break
        self.code = self.status = status
        self.reason = reason
        self.version = 10 if version == "HTTP/1.0" else 11
        self.chunked = self._find("transfer-encoding").lower() == "chunked"
        self.chunk_left = None
        length = self._find("content-length")
        if self.chunked and length:
            raise http.client.HTTPException("the body has two lengths")
        if length and not length.isdecimal():
            raise http.client.HTTPException(f"content-length {length!r}")
        self.length = int(length) if length else None
        if status in NO_BODY_STATUSES or self._method == "HEAD":
            self.length = 0
        tokens = self._find("connection").lower()
        unframed = self.length is None and not self.chunked
        self.will_close = self.version == 10 or "close" in tokens or unframed

    def _find(self, name: str) -> str:
        return find_header(self.fields, name) or ""

    def _read_fields(self) -> Headers:
        fields = []
        for _ in range(HEADER_LIMIT):
            line = self.fp.readline(HEADER_LIMIT_BYTES + 1)
            if len(line) > HEADER_LIMIT_BYTES or not line.endswith(b"\n"):
                raise http.client.HTTPException("header line too long or cut off")
            if line in (b"\r\n", b"\n"):
                return tuple(fields)
            name, separator, value = line.decode("latin-1").partition(":")
            if not separator:
                raise http.client.HTTPException(f"malformed header {name!r}")
            fields.append((name.lower(), value.strip()))
        raise http.client.HTTPException("too many headers")


class ForwardExchange:
    """One kept connection with one upstream, used by one thread at a time."""

    __slots__ = (
        "record",
        "_clock",
        "_names",
        "_socket",
        "_written",
        "_used_ms",
        "_idle_limit_ms",
        "_aborted",
    )

    def __init__(self, *, record: UpstreamRecord, clock: Clock, names: HeaderNames):
        self.record = record
        self._clock = clock
        self._names = names
        self._socket: socket.socket | None = None
        self._written = 0
        self._used_ms = 0.0
        self._idle_limit_ms = float("inf")
        self._aborted = False

    @property
    def is_open(self) -> bool:
        """Whether the connection stands, as far as is known."""
        return self._socket is not None

    def close(self) -> None:
        """Closes the connection if it is open."""
        sock, self._socket = self._socket, None
        if sock is not None:
            sock.close()

    def abort(self) -> None:
        """Breaks off the exchange under way, from another thread."""
        self._aborted = True
        sock = self._socket
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It is closed already; the exchange has ended or is about to.
            return

    def run(self, call: ForwardCall, head: bytes, deadline_ms: float) -> Result:
        """Sends a request and reads the reply.

        Args:
            call: The request.
            head: Its request line and end-to-end headers.
            deadline_ms: Monotonic time in milliseconds at which to give up.
        """
        started_ms = self._clock.now_ms()
        self._written = 0
        try:
            self._write(call, head, deadline_ms)
            response, body = self._read(call.method, deadline_ms)
        except (OSError, http.client.HTTPException, ValueError) as error:
            return self._fail(error)
        elapsed_ms = self._clock.now_ms() - started_ms
        result = self._judge(call, response, body, elapsed_ms)
        if isinstance(result, Broken) or response.will_close:
            self.close()
        return result

    def _write(self, call: ForwardCall, head: bytes, deadline_ms: float) -> None:
        kept = self._connect(call, deadline_ms)
        try:
            self._write_all(call, head, deadline_ms)
        except OSError:
            # Nothing was written on a kept connection that the upstream had closed,
            # so a new connection is tried.
            if not kept or self._written or self._aborted:
                raise
            self.close()
            self._connect(call, deadline_ms)
            self._write_all(call, head, deadline_ms)

    def _connect(self, call: ForwardCall, deadline_ms: float) -> bool:
        """Opens the connection; returns whether a kept one is used."""
        now_ms = self._clock.now_ms()
        if self._socket is not None:
            limit_ms = self._idle_limit_ms
            if not call.repeatable:
                limit_ms = min(limit_ms, FRESH_IDLE_MS)
            idle = now_ms - self._used_ms < limit_ms
            # A kept connection that is readable before anything was asked was closed
            # by the upstream or holds a reply that nobody waits for.
            if idle and not urllib3.util.wait_for_read(self._socket, timeout=0.0):
                return True
            self.close()
        left_ms = min(CONNECT_TIMEOUT_MS, deadline_ms - now_ms)
        if left_ms <= 0:
            raise TimeoutError("deadline passed before connecting")
        metrics.upstream_connections_total.inc({})
        sock = create_connection(
            (self.record.host, self.record.port),
            timeout=left_ms / MS_PER_S,
            socket_options=NODELAY,
        )
        self._socket = sock
        self._idle_limit_ms = float("inf")
        if self._aborted:
            raise ConnectionAbortedError("aborted while connecting")
        return False

    def _write_all(self, call: ForwardCall, head: bytes, deadline_ms: float) -> None:
        # `sendall` does not tell how much it wrote before an error; a first `send`
        # that raises has written nothing.
        request = b"".join((head, self._create_own_headers(call, deadline_ms)))
        sock = self._socket
        if sock is None:
            raise ConnectionAbortedError("closed before the request was written")
        set_timeout(sock, deadline_ms - self._clock.now_ms())
        self._written = sock.send(request)
        while self._written < len(request):
            set_timeout(sock, deadline_ms - self._clock.now_ms())
            self._written += sock.send(memoryview(request)[self._written :])

    def _create_own_headers(self, call: ForwardCall, deadline_ms: float) -> bytes:
        left_ms = max(1, int(deadline_ms - self._clock.now_ms()))
        lines = (
            f"{self._names.deadline_ms}: {left_ms}\r\n"
            f"{self._names.target}: {self.record.name}\r\n"
        )
        if call.body or call.method not in ("GET", "HEAD"):
            lines += f"Content-Length: {len(call.body)}\r\n"
        return f"{lines}\r\n".encode("latin-1") + call.body

    def _read(self, method: str, deadline_ms: float) -> tuple[ForwardReply, bytes]:
        sock = self._socket
        if sock is None:
            raise ConnectionAbortedError("closed before the reply was read")
        reader = ForwardReader(sock=sock, clock=self._clock, deadline_ms=deadline_ms)
        # `http.client` needs of a socket only `makefile`.
        response = ForwardReply(reader, method=method)  # type: ignore
        stream = response.fp
        response.begin()
        body = response.read(REPLY_LIMIT_BYTES + 1)
        if len(body) > REPLY_LIMIT_BYTES:
            raise ValueError("oversized reply")
        if response.length:
            raise http.client.IncompleteRead(body, response.length)
        reader.ended = True
        if stream.peek(1):
            # What follows belongs to no request.
            metrics.dropped_total.inc({"reason": "bytes_after_reply"})
            response.will_close = True
        self._used_ms = self._clock.now_ms()
        return response, body

    def _judge(
        self, call: ForwardCall, response: ForwardReply, body: bytes, elapsed_ms: float
    ) -> Result:
        fields, names = response.fields, self._names
        self._note_idle_limit(fields)
        echoed = find_header(fields, names.request_id.lower())
        if echoed is not None and echoed != call.request_id:
            metrics.dropped_total.inc({"reason": REASON_FOREIGN})
            return Broken(reason=REASON_FOREIGN)
        if response.status == STATUS_MISDIRECTED:
            return Declined(reason=REASON_OTHER_UPSTREAM, elapsed_ms=elapsed_ms)
        if find_header(fields, names.not_run.lower()) is not None:
            return Declined(reason=REASON_SHED, elapsed_ms=elapsed_ms)
        proof = find_header(fields, names.proof.lower()) or ""
        reply = HttpReply(
            status=response.status, headers=select_end_to_end(fields), body=body
        )
        if find_header(fields, "content-encoding") or (reply.is_success and not proof):
            metrics.dropped_total.inc({"reason": "reply_without_proof"})
            return Broken(reason=REASON_MALFORMED)
        return Replied(reply=reply, proof=proof, elapsed_ms=elapsed_ms)

    def _note_idle_limit(self, fields: Headers) -> None:
        announced = KEEP_ALIVE.search(find_header(fields, "keep-alive") or "")
        if announced:
            limit_ms = int(announced.group(1)) * MS_PER_S
            self._idle_limit_ms = limit_ms - IDLE_MARGIN_MS

    def _fail(self, error: Exception) -> NotSent | Broken:
        # A connection with a reply outstanding would give it to the next request.
        self.close()
        reason = REASON_ABORTED if self._aborted else name_failure(error)
        if self._written:
            return Broken(reason=reason)
        if self._aborted or reason == REASON_DEADLINE:
            return NotSent(reason=reason)
        return NotSent(reason=REASON_CONNECT)

    def prepare(self) -> None:
        """Forgets an abort of the exchange before."""
        self._aborted = False


def encode_head(call: ForwardCall, names: HeaderNames) -> bytes:
    """Returns the request line and headers that are the same for all upstreams."""
    own = frozenset(
        {
            names.deadline_ms.lower(),
            names.target.lower(),
            names.request_id.lower(),
            "content-length",
        }
    )
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in call.headers if name not in own]
    lines.append(f"{names.request_id}: {call.request_id}")
    return ("\r\n".join(lines) + "\r\n").encode("latin-1")
