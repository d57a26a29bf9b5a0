"""HTTP exchange of sub-requests with an upstream, and the outcomes of sub-requests.

A sub-request is reported as not run only if no byte of it was written or the upstream
itself said that it did not run it; any other failure is reported as unknown.
"""

import socket
from collections.abc import Callable

import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.util.connection import create_connection
from urllib3.util.wait import wait_for_read, wait_for_socket

from gooseberrymux import metrics
from gooseberrymux.clock import Clock
from gooseberrymux.kernel import Kernel
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.reply_memory import ReplyMemory
from gooseberrymux.reply_parser import (
    MalformedReplyError,
    ParsedReply,
    ReplyError,
    ReplyMemoryFullError,
    ReplyParser,
    TruncatedReplyError,
)
from gooseberrymux.settings import HeaderNames
from gooseberrymux.upstream_signals import UpstreamSignals, parse_signals

REASON_CONNECT = "connect_failed"
REASON_DEADLINE = "deadline_unreachable"
REASON_BROKEN = "connection_broken"
REASON_TIMEOUT = "timeout"
REASON_MALFORMED = "malformed_reply"
REASON_MEMORY_FULL = "reply_memory_full"
REASON_SHED = "shed"
REASON_VERSION_GONE = "version_gone"
REASON_WRONG_SHARD = "wrong_shard"
CONNECT_TIMEOUT_MS = 500
CANCEL_TIMEOUT_MS = 500
READ_SIZE_BYTES = 16 * 1024
# An order is not sent on a connection that was idle for longer than this: HTTP servers
# close idle connections after a few seconds, and if one closes while the order is being
# written, the outcome of the order is unknown. A query can be retried and reuses the
# connection.
ORDER_IDLE_LIMIT_MS = 2_000

# An upstream that sends an interim reply still waits for the rest of the request.
INTERIM_REPLY_START = b"HTTP/1.1 1"

# Header names of the product's own protocol; the gateway's are settings.
HEADER_NAMES = HeaderNames()
NODELAY_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)]

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(dict)


# Returns the reason code for sending an upstream no request, or None.
SendCheck = Callable[[UpstreamRecord], str | None]


class SendObstacleError(Exception):
    """A request was not written, as its upstream must get none; nothing was sent."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class SubrequestConnection:
    """A keep-alive connection to one upstream, opened on demand.

    Not thread-safe: only one thread may use it at a time.

    Attributes:
        record: The upstream.
        signals: What the upstream said about its load in the reply to the last
            request; None if there was no reply.
    """

    __slots__ = (
        "record",
        "signals",
        "_clock",
        "_reply_memory",
        "_check_send",
        "_socket",
        "_host_header",
        "_bytes_written",
        "_is_request_written",
        "_last_used_ms",
    )

    def __init__(
        self,
        *,
        record: UpstreamRecord,
        clock: Clock,
        reply_memory: ReplyMemory,
        check_send: SendCheck = lambda record: None,
    ):
        self.record = record
        self.signals: UpstreamSignals | None = None
        self._clock = clock
        self._reply_memory = reply_memory
        # Called just before each request is written.
        self._check_send = check_send
        self._socket: socket.socket | None = None
        self._host_header = f"Host: {record.host}:{record.port}\r\n"
        self._bytes_written = 0
        self._is_request_written = False
        self._last_used_ms = 0.0

    def close(self) -> None:
        """Closes the connection if it is open."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def run(self, subrequest: Subrequest, deadline_ms: float) -> SubrequestOutcome:
        """Sends a sub-request and reads its reply; blocks until `deadline_ms` at most.

        Args:
            subrequest: The sub-request, which is an order if it has an order key.
            deadline_ms: Monotonic time in milliseconds at which to give up.
        """
        started_ms = self._clock.now_ms()
        self._bytes_written = 0
        self.signals = None
        if (
            subrequest.order_key
            and started_ms - self._last_used_ms > ORDER_IDLE_LIMIT_MS
        ):
            self.close()
        request = self._create_request(
            "/orders" if subrequest.order_key else "/query",
            create_request_body(subrequest),
            f"X-Deadline-Ms: {int(deadline_ms - started_ms)}\r\n"
            f"X-Rank: {subrequest.rank.value}\r\n",
        )
        try:
            self._send_request(request, deadline_ms)
            status, decoded = self._read_response(deadline_ms)
        except SendObstacleError as error:
            self.close()
            return SubrequestNotRun(
                id=subrequest.id,
                reason=error.reason,
                step="upstream.send",
                peer=self.record.name,
            )
        except (OSError, ReplyError, urllib3.exceptions.HTTPError) as e:
            if not self._bytes_written and self._clock.now_ms() >= deadline_ms:
                return self._close_with_failure(subrequest, REASON_DEADLINE)
            return self._close_with_failure(subrequest, classify_error(e))
        except (ValueError, msgspec.MsgspecError, RecursionError):
            return self._close_with_failure(subrequest, REASON_MALFORMED)
        elapsed_ms = self._clock.now_ms() - started_ms
        return self._create_outcome(subrequest, status, decoded, elapsed_ms)

    def cancel(self, subrequest_id: str) -> bool:
        """Asks the upstream to stop a sub-request; returns whether it replied."""
        request = self._create_request("/cancel", {"request_id": subrequest_id}, "")
        deadline_ms = self._clock.now_ms() + CANCEL_TIMEOUT_MS
        self._bytes_written = 0
        try:
            self._send_request(request, deadline_ms)
            self._read_response(deadline_ms)
        except SendObstacleError:
            return False
        except (OSError, ReplyError, urllib3.exceptions.HTTPError):
            self.close()
            return False
        except (ValueError, msgspec.MsgspecError, RecursionError):
            self.close()
        return True

    def look_up_order(self, key: str, timeout_ms: float) -> Result[dict | None, str]:
        """Looks up the reply to an order that the upstream may have run.

        Args:
            key: Idempotency key of the order.
            timeout_ms: Longest time to wait for the whole reply, in milliseconds.

        Returns:
            The reply, or None if the upstream knows no such order; the order may still
            be on its way to the upstream. Err with the reason if there was no usable
            reply.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        request = f"GET /orders/{key} HTTP/1.1\r\n{self._host_header}\r\n"
        self._bytes_written = 0
        try:
            self._send_request(request.encode("latin-1"), deadline_ms)
            _, decoded = self._read_response(deadline_ms)
        except SendObstacleError as error:
            return Err(error.reason)
        except (OSError, ReplyError, urllib3.exceptions.HTTPError) as error:
            self.close()
            return Err(classify_error(error))
        except (ValueError, msgspec.MsgspecError, RecursionError):
            self.close()
            return Err(REASON_MALFORMED)
        match decoded:
            case {"key": found, "state": "completed", "reply": dict(reply)} if (
                found == key
            ):
                return Ok(reply)
            case {"state": "not_found"}:
                return Ok(None)
            case _:
                return Err(REASON_MALFORMED)

    def _create_request(self, path: str, body: dict, headers: str) -> bytes:
        # Head and body are sent in one segment; `http.client` would send two.
        encoded = _encoder.encode(body)
        head = (
            f"POST {path} HTTP/1.1\r\n{self._host_header}{headers}"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(encoded)}\r\n\r\n"
        )
        return head.encode("latin-1") + encoded

    def _send_request(self, request: bytes, deadline_ms: float) -> None:
        is_reused = self._ensure_connected(deadline_ms)
        try:
            self._write_request(request, deadline_ms)
        except OSError:
            # The upstream had closed the reused connection before anything was
            # written, so the request is safe to send on a new one.
            if (
                not is_reused
                or self._bytes_written
                or self._clock.now_ms() >= deadline_ms
            ):
                raise
            self.close()
            self._ensure_connected(deadline_ms)
            self._write_request(request, deadline_ms)

    def _ensure_connected(self, deadline_ms: float) -> bool:
        """Opens the connection unless it is open; returns whether it is reused."""
        if self._socket is not None:
            # An idle connection that is readable was closed by the upstream or holds
            # a reply that no request is waiting for.
            if not wait_for_read(self._socket, timeout=0.0):
                return True
            metrics.dropped_total.inc({"reason": "idle_connection_readable"})
            self.close()
        remaining_ms = min(CONNECT_TIMEOUT_MS, deadline_ms - self._clock.now_ms())
        if remaining_ms <= 0:
            raise TimeoutError("deadline passed before connecting")
        self._socket = create_connection(
            (self.record.host, self.record.port),
            timeout=remaining_ms / 1000,
            socket_options=NODELAY_OPTIONS,
        )
        return False

    def _write_request(self, request: bytes, deadline_ms: float) -> None:
        # `sendall` does not report how much it wrote before an error, whereas a first
        # `send` that raises has written nothing.
        assert self._socket is not None
        if reason := self._check_send(self.record):
            raise SendObstacleError(reason)
        set_timeout(self._socket, deadline_ms - self._clock.now_ms())
        self._bytes_written = self._socket.send(request)
        while self._bytes_written < len(request):
            if self._wait_for_room_or_reply(deadline_ms):
                break
            self._bytes_written += self._socket.send(
                memoryview(request)[self._bytes_written :]
            )
        self._is_request_written = self._bytes_written == len(request)

    def _wait_for_room_or_reply(self, deadline_ms: float) -> bool:
        """Returns whether a final reply has begun; False if more can be written.

        Raises:
            TimeoutError: Neither was so at the deadline.
        """
        assert self._socket is not None
        self._wait_for_socket(deadline_ms, read=True)
        if not wait_for_read(self._socket, timeout=0.0):
            return False
        head = self._socket.recv(len(INTERIM_REPLY_START), socket.MSG_PEEK)
        if head != INTERIM_REPLY_START:
            return True
        self._wait_for_socket(deadline_ms, read=False)
        return False

    def _wait_for_socket(self, deadline_ms: float, *, read: bool) -> None:
        """Waits until more can be written or, with `read`, bytes have come."""
        remaining_ms = max(0.0, deadline_ms - self._clock.now_ms())
        if not wait_for_socket(
            self._socket, read=read, write=True, timeout=remaining_ms / 1000
        ):
            raise TimeoutError("deadline passed before the request was written")

    def _read_response(self, deadline_ms: float) -> tuple[int, dict]:
        parser = ReplyParser(method="POST", memory=self._reply_memory)
        try:
            reply = self._receive_reply(parser, deadline_ms)
        finally:
            parser.close()
        if not self._is_request_written:
            # The upstream would read the next request as the rest of this one.
            metrics.early_replies_total.inc({})
        if not self._is_request_written or reply.closes_connection or parser.has_excess:
            self.close()
        self._last_used_ms = self._clock.now_ms()
        self.signals = parse_signals(
            dict(reversed(reply.headers)), status=reply.status, names=HEADER_NAMES
        )
        return reply.status, _decoder.decode(reply.body)

    def _receive_reply(self, parser: ReplyParser, deadline_ms: float) -> ParsedReply:
        sock = self._socket
        assert sock is not None
        while parser.reply is None:
            # One deadline for all reads together: an upstream that sends a byte from
            # time to time must not block the thread for longer.
            set_timeout(sock, deadline_ms - self._clock.now_ms())
            data = sock.recv(READ_SIZE_BYTES)
            if not data:
                # Also for a reply that declares no length: a truncated one could not
                # be told from a complete one.
                raise TruncatedReplyError("the connection ended within the reply")
            parser.feed(data)
        return parser.reply

    def _create_outcome(
        self, subrequest: Subrequest, status: int, decoded: dict, elapsed_ms: float
    ) -> SubrequestOutcome:
        if decoded.get("request_id") != subrequest.id:
            metrics.dropped_total.inc({"reason": "foreign_reply"})
            self.signals = None
            return self._close_with_failure(subrequest, REASON_MALFORMED)
        match extract_reply(status, decoded):
            case Ok(reply):
                return SubrequestCompleted(
                    id=subrequest.id,
                    version=str(decoded.get("version", "")),
                    shard=str(decoded.get("shard", "")),
                    reply=reply,
                    upstream_ms=elapsed_ms,
                    queued_ms=0.0,
                )
            case Err(reason) if decoded.get("not_run") is True and status != 200:
                return SubrequestNotRun(
                    id=subrequest.id,
                    reason=reason,
                    step="upstream.reply",
                    peer=self.record.name,
                )
            case Err(reason):
                return SubrequestUnknown(
                    id=subrequest.id,
                    reason=reason,
                    step="upstream.reply",
                    peer=self.record.name,
                )

    def _close_with_failure(
        self, subrequest: Subrequest, reason: str
    ) -> SubrequestNotRun | SubrequestUnknown:
        """Closes the connection and returns the outcome of a failed exchange."""
        # If the connection stayed open, a late reply to this request would be read as
        # the reply to the next.
        self.close()
        if not self._bytes_written:
            return SubrequestNotRun(
                id=subrequest.id,
                reason=reason if reason == REASON_DEADLINE else REASON_CONNECT,
                step="upstream.connect",
                peer=self.record.name,
            )
        metrics.dropped_total.inc({"reason": f"reply_{reason}"})
        return SubrequestUnknown(
            id=subrequest.id,
            reason=reason,
            step="upstream.exchange",
            peer=self.record.name,
        )


def create_subrequest_connection(
    *, record: UpstreamRecord, kernel: Kernel, check_send: SendCheck
) -> SubrequestConnection:
    """Returns a connection that uses the clock and the reply memory of an instance."""
    return SubrequestConnection(
        record=record,
        clock=kernel.clock,
        reply_memory=kernel.find("reply_memory", ReplyMemory),
        check_send=check_send,
    )


def set_timeout(sock: socket.socket, remaining_ms: float) -> None:
    """Sets the timeout of the next socket operation, in milliseconds.

    Raises:
        TimeoutError: No time is left; a timeout of 0 would mean not to wait at all.
    """
    if remaining_ms <= 0:
        raise TimeoutError("deadline passed")
    sock.settimeout(remaining_ms / 1000)


def classify_error(error: Exception) -> str:
    """Returns the reason code for the error that ended an exchange."""
    match error:
        case TimeoutError():
            return REASON_TIMEOUT
        case ReplyMemoryFullError():
            return REASON_MEMORY_FULL
        case MalformedReplyError():
            return REASON_MALFORMED
        case _:
            return REASON_BROKEN


def create_request_body(subrequest: Subrequest) -> dict:
    """Returns the JSON body of the HTTP request for an order or a query."""
    if subrequest.order_key:
        return {
            "request_id": subrequest.id,
            "key": subrequest.order_key,
            "order": subrequest.body,
        }
    return {
        "request_id": subrequest.id,
        "shard": subrequest.shard,
        "version": subrequest.version,
        "terms": subrequest.body,
    }


def extract_reply(status: int, decoded: dict) -> Result[dict, str]:
    """Returns the result in a decoded reply body, or the upstream's failure reason."""
    if status == 200 and isinstance(decoded.get("reply"), dict):
        return Ok(decoded["reply"])
    if status == 200:
        return Err(REASON_MALFORMED)
    return Err(str(decoded.get("error", f"status_{status}")))
