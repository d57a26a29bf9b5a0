"""Faults in the replies of an upstream, as variants that tests choose by name.

Each fault is a data class. `send_reply` writes a reply to a socket with a fault in it.
"""

import dataclasses
import socket
from collections.abc import Callable

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)

# An endless reply ends by itself after this many bytes, so that a caller that keeps
# reading fails its test and not the test run.
ENDLESS_LIMIT_BYTES = 64 * 1024 * 1024
ENDLESS_BLOCK_BYTES = 16 * 1024
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED_END = b"Transfer-Encoding: chunked\r\n\r\n"
NONSENSE = b"\x00nonsense\n" * 64


@_frozen
class EndlessHead:
    """Headers that never end, each of them valid."""


@_frozen
class EndlessHeader:
    """One header whose value never ends."""


@_frozen
class EndlessEmptyLines:
    """Empty lines before the status line, without end."""


@_frozen
class EndlessInterimReplies:
    """Interim (1xx) replies without end.

    Attributes:
        status: Status of each; HTTP libraries pass over some of them by themselves.
    """

    status: int = 103


@_frozen
class EndlessNonsense:
    """Bytes that are no HTTP, without end."""


@_frozen
class EndlessBody:
    """A chunked body without a last chunk."""


@_frozen
class EndlessUnframedBody:
    """A body without a declared length that never ends."""


@_frozen
class EndlessChunkExtension:
    """A chunk whose extension never ends."""


@_frozen
class EndlessTrailers:
    """A chunked body whose trailers never end."""


@_frozen
class CutAt:
    """The connection ends after the first `size` bytes of a reply."""

    size: int


@_frozen
class CutInLastChunk:
    """The connection ends within the last chunk or the trailers of a chunked body.

    Attributes:
        end: Bytes that are sent after the last chunk with content.
    """

    end: bytes


@_frozen
class RepeatedLength:
    """Two Content-Length headers that differ; the first one is too short."""


@_frozen
class LengthAndCoding:
    """Both a Content-Length and a transfer coding."""


@_frozen
class UnknownCoding:
    """A transfer coding that is not chunked."""

    name: str = "gzip"


@_frozen
class SecondReply:
    """The same reply once more, right after the first."""


ReplyFault = (
    EndlessHead
    | EndlessHeader
    | EndlessEmptyLines
    | EndlessInterimReplies
    | EndlessNonsense
    | EndlessBody
    | EndlessUnframedBody
    | EndlessChunkExtension
    | EndlessTrailers
    | CutAt
    | CutInLastChunk
    | RepeatedLength
    | LengthAndCoding
    | UnknownCoding
    | SecondReply
)


@_frozen
class EndlessReply:
    """The first bytes of an endless reply, and what creates its numbered pieces."""

    start: bytes
    create_piece: Callable[[int], bytes]


def send_reply(
    sock: socket.socket, *, headers: bytes, body: bytes, fault: ReplyFault
) -> int:
    """Writes a reply with a fault to a connection.

    Args:
        sock: The connection.
        headers: Header lines without those that frame the body, each with its line end.
        body: The body.
        fault: The fault.

    Returns:
        The number of bytes that the connection accepted. An endless reply goes on until
        the connection is closed, or up to `ENDLESS_LIMIT_BYTES`.
    """
    match create_endless_reply(headers, body, fault):
        case EndlessReply(start=start, create_piece=create_piece):
            return send_endlessly(sock, start, create_piece)
        case None:
            reply = create_finite_reply(headers, body, fault)
            sock.sendall(reply)
            return len(reply)


def create_endless_reply(
    headers: bytes, body: bytes, fault: ReplyFault
) -> EndlessReply | None:
    """Returns the reply of an endless fault, or None for another fault."""
    head = STATUS_LINE + headers
    chunks = head + CHUNKED_END + encode_chunk(body)
    match fault:
        case EndlessHead():
            return EndlessReply(start=head, create_piece=create_header)
        case EndlessHeader():
            return EndlessReply(
                start=head + b"X-Long: ", create_piece=lambda n: b"y" * 1024
            )
        case EndlessEmptyLines():
            return EndlessReply(start=b"", create_piece=lambda n: b"\r\n" * 512)
        case EndlessInterimReplies(status=status):
            interim_reply = b"HTTP/1.1 %d Interim\r\n\r\n" % status
            return EndlessReply(start=b"", create_piece=lambda n: interim_reply)
        case EndlessNonsense():
            return EndlessReply(
                start=b"", create_piece=lambda n: b"\x00nonsense\n" * 64
            )
        case EndlessBody():
            return EndlessReply(start=chunks, create_piece=lambda n: encode_chunk(body))
        case EndlessUnframedBody():
            return EndlessReply(
                start=head + b"\r\n", create_piece=lambda n: b"z" * 1024
            )
        case EndlessChunkExtension():
            return EndlessReply(
                start=chunks + b"1;", create_piece=lambda n: b"e" * 1024
            )
        case EndlessTrailers():
            return EndlessReply(start=chunks + b"0\r\n", create_piece=create_header)
        case _:
            return None


def create_finite_reply(headers: bytes, body: bytes, fault: ReplyFault) -> bytes:
    """Returns all bytes of a reply whose fault is not an endless one."""
    head = STATUS_LINE + headers
    framed = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    match fault:
        case CutAt(size=size):
            return (head + framed)[:size]
        case CutInLastChunk(end=end):
            return head + CHUNKED_END + encode_chunk(body) + end
        case RepeatedLength():
            return head + b"Content-Length: %d\r\n" % (len(body) - 1) + framed
        case LengthAndCoding():
            return head + b"Transfer-Encoding: chunked\r\n" + framed
        case UnknownCoding(name=name):
            coding = b"Transfer-Encoding: %b\r\n\r\n" % name.encode()
            return head + coding + body
        case SecondReply():
            return (head + framed) * 2
        case _:
            raise ValueError(f"{fault} is an endless reply")


def create_header(number: int) -> bytes:
    """Returns the line of a numbered header."""
    return b"X-%d: y\r\n" % number


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def send_endlessly(
    sock: socket.socket, start: bytes, create_piece: Callable[[int], bytes]
) -> int:
    """Writes `start` and then numbered pieces until the connection ends.

    Returns the number of bytes that the connection accepted.
    """
    sent = 0
    number = 0
    block = start
    while sent < ENDLESS_LIMIT_BYTES:
        while len(block) < ENDLESS_BLOCK_BYTES:
            block += create_piece(number)
            number += 1
        try:
            sock.sendall(block)
        except OSError:
            break
        sent += len(block)
        block = b""
    return sent
