"""Strict parser of an upstream's HTTP/1.1 reply, with a limit on each part of it.

An upstream in trouble may send bytes that are no reply, and may go on until the
connection is closed. The parser rejects such bytes once a limit is reached, and never
takes a reply that was cut off for a complete one.
"""

import dataclasses

import httptools

from gooseberrymux.http_types import Headers
from gooseberrymux.reply_memory import ReplyMemory

REPLY_LIMIT_BYTES = 4 * 1024 * 1024
# What a reply holds without a reservation. Usual replies are smaller, so that a few
# upstreams that use up the memory leave the replies of others alone.
UNRESERVED_BYTES = 64 * 1024
RESERVATION_STEP_BYTES = 256 * 1024
# Limit of the status lines and headers of a reply and of its interim replies together.
HEAD_LIMIT_BYTES = 32 * 1024
HEADER_COUNT_LIMIT = 100
INTERIM_REPLY_LIMIT = 8
# Limit of the chunk sizes, chunk extensions and trailers of a chunked body. Chunks may
# also be small, so that their sizes take as many bytes as what they hold.
CHUNK_OVERHEAD_LIMIT_BYTES = 32 * 1024
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
NO_BODY_STATUSES = frozenset({204, 304})
# RFC 9110, 15: a status code outside 100 to 599 is invalid.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599


class ReplyError(Exception):
    """There is no usable reply on a connection."""


class MalformedReplyError(ReplyError):
    """The bytes are not a valid reply, or exceed a limit."""


class ReplyMemoryFullError(MalformedReplyError):
    """The memory for unfinished replies is used up."""


class TruncatedReplyError(ReplyError):
    """The connection ended before the reply was complete."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ParsedReply:
    """A complete reply.

    Attributes:
        status: HTTP status code, 200 to 599.
        headers: All headers in the order received, names in lower case.
        body: The body, without transfer coding.
        closes_connection: Whether the connection can't carry another reply.
        ends_with_connection: Whether the end of the connection marks the end of the
            body. If the connection was reset, the body may be cut off.
    """

    status: int
    headers: Headers
    body: bytes
    closes_connection: bool
    ends_with_connection: bool


class ReplyParser:
    """Parses one reply from the bytes of a connection.

    Args:
        method: Method of the request; a reply to HEAD has no body.
        memory: Limits what all unfinished replies hold together.

    Attributes:
        reply: The reply once it is complete, else None.
        has_excess: Whether bytes after the complete reply were received.
    """

    __slots__ = (
        "_parser",
        "_method",
        "_headers",
        "_framing",
        "_body",
        "_body_bytes",
        "_head_bytes",
        "_received_bytes",
        "_interim_replies",
        "_is_head_complete",
        "_is_delimited_by_end",
        "_problem",
        "_memory",
        "_reserved_bytes",
        "reply",
        "has_excess",
    )

    def __init__(self, *, method: str, memory: ReplyMemory):
        self._parser = httptools.HttpResponseParser(self)
        self._method = method
        self._headers: list[tuple[str, str]] = []
        self._framing: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._received_bytes = 0
        self._interim_replies = 0
        self._is_head_complete = False
        self._is_delimited_by_end = False
        self._problem = ""
        self._memory = memory
        self._reserved_bytes = 0
        self.reply: ParsedReply | None = None
        self.has_excess = False

    def feed(self, data: bytes | memoryview) -> None:
        """Parses the next bytes of the connection.

        Raises:
            MalformedReplyError: The bytes are not a valid reply, or exceed a limit.
            ReplyMemoryFullError: All unfinished replies together exceed a limit.
        """
        if self._is_head_complete:
            self._received_bytes += len(data)
        else:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.reply is None:
                raise MalformedReplyError(str(error)) from error
            self.has_excess = True
        if self.reply is None:
            self._check_limits()
            self._reserve_memory()

    def finish(self) -> None:
        """Ends the reply at the end of the connection.

        Raises:
            TruncatedReplyError: The reply was cut off.
        """
        if self.reply is not None:
            return
        if not (self._is_head_complete and self._is_delimited_by_end):
            raise TruncatedReplyError("the connection ended within the reply")
        self._complete()

    def close(self) -> None:
        """Frees the pieces of the reply and the memory that they have reserved.

        Only the public attributes may be used after this.
        """
        self._body.clear()
        # The parser refers back to this object, so the garbage collector alone would
        # free both, at a later time.
        del self._parser
        self._memory.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _reserve_memory(self) -> None:
        while self._body_bytes > UNRESERVED_BYTES + self._reserved_bytes:
            if not self._memory.try_reserve(RESERVATION_STEP_BYTES):
                raise ReplyMemoryFullError("unfinished replies use up their memory")
            self._reserved_bytes += RESERVATION_STEP_BYTES

    def _check_limits(self) -> None:
        if self._problem:
            raise MalformedReplyError(self._problem)
        if not self._is_head_complete and self._head_bytes > HEAD_LIMIT_BYTES:
            raise MalformedReplyError("the head exceeds its size limit")
        if self._body_bytes > REPLY_LIMIT_BYTES:
            raise MalformedReplyError("the body exceeds its size limit")
        overhead_bytes = self._received_bytes - self._body_bytes
        if overhead_bytes > CHUNK_OVERHEAD_LIMIT_BYTES + self._body_bytes:
            raise MalformedReplyError("the chunk sizes and trailers exceed their limit")

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a reply or interim reply."""
        if self.reply is not None:
            self.has_excess = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header and each trailer."""
        if self._is_head_complete:
            # Trailers are dropped.
            return
        if len(self._headers) >= HEADER_COUNT_LIMIT:
            self._problem = "too many headers"
            return
        decoded_name = name.decode("latin-1").lower()
        decoded_value = value.decode("latin-1").strip()
        if decoded_name in FRAMING_HEADERS:
            if decoded_name in self._framing:
                self._problem = f"header {decoded_name} is repeated"
            self._framing[decoded_name] = decoded_value.lower()
        self._headers.append((decoded_name, decoded_value))

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head."""
        status = self._parser.get_status_code()
        if self.reply is not None or status < MIN_FINAL_STATUS:
            return
        self._is_head_complete = True
        coding = self._framing.get("transfer-encoding")
        has_body = status not in NO_BODY_STATUSES and self._method != "HEAD"
        if not self._parser.get_http_version().startswith("1."):
            self._problem = "not HTTP/1"
        elif status > MAX_STATUS:
            self._problem = "malformed status"
        elif coding not in (None, "chunked"):
            self._problem = f"unknown transfer coding {coding!r}"
        elif has_body and self._get_content_length() > REPLY_LIMIT_BYTES:
            self._problem = "the body exceeds its size limit"
        elif self._method == "HEAD":
            self._complete()
        self._is_delimited_by_end = has_body and not self._framing

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each piece of the body."""
        if self.reply is None:
            self._body.append(data)
            self._body_bytes += len(data)
        else:
            self.has_excess = True

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a reply or interim reply."""
        if self.reply is not None:
            return
        if self._is_head_complete:
            self._complete()
            return
        self._interim_replies += 1
        self._headers.clear()
        self._framing.clear()
        if self._parser.get_status_code() < MIN_STATUS:
            self._problem = "malformed status"
        elif self._interim_replies > INTERIM_REPLY_LIMIT:
            self._problem = "too many interim replies"

    def _complete(self) -> None:
        if self._problem:
            return
        headers = tuple(self._headers)
        self.reply = ParsedReply(
            status=self._parser.get_status_code(),
            headers=headers,
            body=self._body[0] if len(self._body) == 1 else b"".join(self._body),
            closes_connection=self._is_delimited_by_end or self._announces_close(),
            ends_with_connection=self._is_delimited_by_end,
        )

    def _announces_close(self) -> bool:
        if self._parser.get_http_version() == "1.0":
            return True
        return any(
            "close" in value.lower()
            for name, value in self._headers
            if name == "connection"
        )

    def _get_content_length(self) -> int:
        # The parser has rejected a length that is not a number.
        return int(self._framing.get("content-length", 0))
