"""Reads the bodies of callers' requests within the limits of this instance."""

from typing import Protocol

import httptools

from gooseberrymux.caller_budget import BODY_COPIES, COVERED_BODY_BYTES, Holder
from gooseberrymux.caller_memory import (
    REASON_PIECES,
    CallerConnections,
    WorkGate,
)
from gooseberrymux.clock import Clock
from gooseberrymux.routes import CallerLimits

# A larger body is charged and read in steps of this size.
STEP_BYTES = 16 * 1024
# Limit of a chunk-size line or trailer line, with its line break, on average over the
# body.
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_LINES = 32
# Chunks that a body may have before it has to wait for the gate. Bodies of ordinary
# callers have fewer.
FREE_PIECES = 1_024
RETRY_AFTER_MS = 500
# Stands for the head of each chunked body: the parser needs one to parse chunks.
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY_LINE = b"\r\n\r\n"


class RequestError(Exception):
    """Raised for a request that is refused before it reaches the request handler.

    Args:
        status: HTTP status of the reply.
        message: One-line explanation; becomes the body of the reply and is logged.
        retry_after_ms: Time after which the caller may retry, where there was no room;
            None for an invalid request.
    """

    def __init__(self, *, status: int, message: str, retry_after_ms: int | None = None):
        super().__init__(message)
        self.status = status
        self.message = message
        self.retry_after_ms = retry_after_ms


class Reader(Protocol):
    """The part of `io.BufferedReader` that is used here."""

    def read(self, size: int) -> bytes:
        """Returns `size` bytes, or fewer at the end of the stream."""

    def peek(self, size: int) -> bytes:
        """Returns buffered bytes without consuming them; blocks if there are none."""


class BodyReader:
    """Reads one body after the other from one connection.

    Args:
        rfile: Reader of the connection.
        holder: Account of the connection.
        connections: Charges what a large body takes.
        pieces: Gate for bodies of many small chunks.
        clock: The clock.
    """

    __slots__ = (
        "_rfile",
        "_holder",
        "_connections",
        "_pieces",
        "_clock",
        "_held_bytes",
    )

    def __init__(
        self,
        *,
        rfile: Reader,
        holder: Holder,
        connections: CallerConnections,
        pieces: WorkGate,
        clock: Clock,
    ):
        self._rfile = rfile
        self._holder = holder
        self._connections = connections
        self._pieces = pieces
        self._clock = clock
        self._held_bytes = 0

    def read_covered(self, length: int) -> bytes:
        """Reads a body of at most `COVERED_BODY_BYTES`, which costs no accounting.

        Raises:
            RequestError: The body was cut off.
        """
        body = self._rfile.read(length) if length else b""
        if len(body) < length:
            raise create_cut_off_error()
        return body

    def read_large(self, length: int) -> bytes:
        """Reads a body whose length is within the limits.

        Raises:
            RequestError: The body was cut off, or there is no room for it.
        """
        body = bytearray()
        while len(body) < length:
            step = min(STEP_BYTES, length - len(body))
            self._hold(step)
            data = self._rfile.read(step)
            body += data
            if len(data) < step:
                raise create_cut_off_error()
        return bytes(body)

    def read_chunked(self, limits: CallerLimits) -> bytes:
        """Reads a chunked body and its trailers; returns the body without them.

        Raises:
            RequestError: The body is malformed, too long or was cut off, or there is no
                room for it.
        """
        parser = ChunkParser(limit_bytes=limits.body_bytes)
        while not parser.is_complete:
            if parser.pieces < FREE_PIECES:
                self._feed(parser)
            else:
                self._feed_through_gate(parser, limits.header_timeout_ms)
        return bytes(parser.body)

    def release(self) -> None:
        """Ends the charges of the body, once its request is answered."""
        if self._held_bytes:
            self._connections.release(self._holder, BODY_COPIES * self._held_bytes)
            self._held_bytes = 0

    def _hold(self, count: int) -> None:
        if not self._connections.try_hold(self._holder, count):
            raise create_no_room_error("no memory left for the body")
        self._held_bytes += count

    def _feed_through_gate(self, parser: "ChunkParser", timeout_ms: float) -> None:
        # Waits for data outside of the gate, so that a slow caller doesn't hold it.
        self._rfile.peek(1)
        if not self._pieces.enter(timeout_ms):
            self._connections.record_refusal(self._holder, REASON_PIECES)
            raise create_no_room_error("too many bodies of small chunks")
        worked_ms = 0.0
        try:
            started_ms = self._clock.now_ms()
            self._parse(parser)
            worked_ms = self._clock.now_ms() - started_ms
        finally:
            self._pieces.leave(worked_ms)
        # May wait for room, which must not keep others from their turn.
        self._hold_excess(parser)

    def _feed(self, parser: "ChunkParser") -> None:
        self._parse(parser)
        self._hold_excess(parser)

    def _parse(self, parser: "ChunkParser") -> None:
        data = self._rfile.peek(1)
        if not data:
            raise create_cut_off_error()
        used = parser.feed(data)
        self._rfile.read(used)

    def _hold_excess(self, parser: "ChunkParser") -> None:
        excess = len(parser.body) - COVERED_BODY_BYTES - self._held_bytes
        if excess > 0:
            self._hold(max(STEP_BYTES, excess))


class ChunkParser:
    """Joins the chunks of one body; stops exactly at its end.

    httptools takes a tenth of the processor time of a parser in Python for each chunk,
    but does not say where a body ends. A body ends with an empty line, so the parser
    is given the data up to each empty line in turn.

    Attributes:
        body: What was received so far.
        is_complete: Whether the end was reached.
        pieces: Number of chunks and steps so far.
    """

    __slots__ = (
        "body",
        "is_complete",
        "pieces",
        "_limit_bytes",
        "_parser",
        "_framing_bytes",
        "_trailers",
        "_tail",
    )

    def __init__(self, *, limit_bytes: int):
        self.body = bytearray()
        self.is_complete = False
        self.pieces = 0
        self._limit_bytes = limit_bytes
        self._trailers = 0
        self._framing_bytes = 0
        self._tail = b""
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(CHUNKED_HEAD)
        # The parser has reported the header of `CHUNKED_HEAD` as well.
        self._trailers = 0

    def feed(self, data: bytes) -> int:
        """Parses data; returns how much of it belongs to the body.

        Raises:
            RequestError: A chunk or the trailers are malformed, or the body is too
                long.
        """
        used = 0
        while used < len(data) and not self.is_complete:
            end = self._find_step_end(data, used)
            step = data[used:end]
            self._parse(step)
            self._tail = (self._tail + step)[-len(EMPTY_LINE) + 1 :]
            self._framing_bytes += len(step)
            self.pieces += 1
            used = end
        self._check()
        return used

    def on_header(self, name: bytes, value: bytes) -> None:
        """Counts a trailer; called by the parser."""
        self._trailers += 1

    def on_chunk_header(self) -> None:
        """Counts a chunk; called by the parser."""
        self.pieces += 1

    def on_body(self, data: bytes) -> None:
        """Appends a chunk, or a part of one; called by the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Records the end of the body; called by the parser."""
        self.is_complete = True

    def _find_step_end(self, data: bytes, start: int) -> int:
        # The empty line may have begun in the data before.
        overlap = len(self._tail)
        if overlap:
            joined = self._tail + data[start : start + len(EMPTY_LINE) - 1]
            found = joined.find(EMPTY_LINE)
            if found >= 0:
                return start + found + len(EMPTY_LINE) - overlap
        found = data.find(EMPTY_LINE, start)
        return len(data) if found < 0 else found + len(EMPTY_LINE)

    def _parse(self, step: bytes) -> None:
        try:
            self._parser.feed_data(step)
        except httptools.HttpParserError as error:
            raise RequestError(status=400, message="malformed chunk") from error

    def _check(self) -> None:
        if len(self.body) > self._limit_bytes:
            raise RequestError(status=413, message="the body is too long")
        if self._trailers >= MAX_TRAILER_LINES:
            raise RequestError(status=400, message="too many trailers")
        framing_bytes = self._framing_bytes - len(self.body)
        lines = self.pieces + MAX_TRAILER_LINES
        if framing_bytes > MAX_CHUNK_LINE_BYTES * lines:
            raise RequestError(status=400, message="the chunk lines are too long")


def create_cut_off_error() -> RequestError:
    """Returns the refusal of a body of which the end is missing."""
    return RequestError(status=400, message="the body was cut off")


def create_no_room_error(message: str) -> RequestError:
    """Returns the refusal of a request for which there is no room now."""
    return RequestError(status=503, message=message, retry_after_ms=RETRY_AFTER_MS)
