"""Encodes envelopes of peer messages as msgpack and refuses what does not decode."""

import dataclasses
import zlib

import msgspec
from result import Err, Ok, Result

from gooseberrymux.errors import MuxError
from gooseberrymux.forward_messages import FORWARD_TYPES
from gooseberrymux.messages import MESSAGE_TYPES

FORMAT_VERSION = 2
FRAME_LIMIT_BYTES = 4 * 1024 * 1024
# Frames from this size on are compressed: field names and headers repeat. A smaller one
# gains less than its packet's own headers.
COMPRESS_FROM_BYTES = 256
COMPRESS_LEVEL = 1
PLAIN = b"\x00"
COMPRESSED = b"\x01"


class CodecError(MuxError):
    """A frame is garbled, truncated, oversized or of another format version."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """What one frame carries.

    Attributes:
        sender: Name of the sending instance.
        sender_incarnation: Its run.
        target: Name of the intended receiver; empty if not known yet.
        target_incarnation: The run it is meant for; 0 if not known yet.
        messages: The messages, in order.
    """

    sender: str
    sender_incarnation: int
    target: str
    target_incarnation: int
    messages: list


class _Frame(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    version: int
    sender: str
    sender_incarnation: int
    target: str
    target_incarnation: int
    messages: list[tuple[str, msgspec.Raw]]


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(_Frame)
_decoders = {
    cls.__name__: msgspec.msgpack.Decoder(cls) for cls in MESSAGE_TYPES + FORWARD_TYPES
}


def encode_envelope(envelope: Envelope) -> bytes | None:
    """Returns the frame of an envelope; None if its content is over the limit."""
    frame = _Frame(
        version=FORMAT_VERSION,
        sender=envelope.sender,
        sender_incarnation=envelope.sender_incarnation,
        target=envelope.target,
        target_incarnation=envelope.target_incarnation,
        messages=[
            (type(message).__name__, msgspec.Raw(_encoder.encode(message)))
            for message in envelope.messages
        ],
    )
    data = _encoder.encode(frame)
    return compress(data) if len(data) <= FRAME_LIMIT_BYTES else None


def compress(data: bytes) -> bytes:
    """Returns what goes on the wire: a byte that names the form, then the data."""
    if len(data) < COMPRESS_FROM_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESS_LEVEL)


def decompress(frame: bytes) -> bytes | None:
    """Returns the data of a frame, or None if it is garbled or oversized."""
    form, data = frame[:1], frame[1:]
    if form == PLAIN:
        return data
    if form != COMPRESSED:
        return None
    reader = zlib.decompressobj()
    try:
        whole = reader.decompress(data, FRAME_LIMIT_BYTES)
    except zlib.error:
        return None
    # What is left of an oversized frame is never unpacked.
    return whole if reader.eof else None


def measure_message(message: object) -> int:
    """Returns the size of a message in bytes, before compression."""
    return len(_encoder.encode(message))


def decode_envelope(frame: bytes) -> Result[Envelope, CodecError]:
    """Returns the envelope of a frame, or why the whole frame is refused."""
    if len(frame) > FRAME_LIMIT_BYTES:
        return Err(refuse(f"frame of {len(frame)} bytes is oversized"))
    data = decompress(frame)
    if data is None:
        return Err(refuse("frame is garbled or oversized"))
    try:
        decoded = _frame_decoder.decode(data)
        messages = [_decoders[kind].decode(body) for kind, body in decoded.messages]
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(refuse(str(error)))
    except KeyError as error:
        return Err(refuse(f"unknown message type {error}"))
    if decoded.version != FORMAT_VERSION:
        return Err(refuse(f"format version {decoded.version} is unknown"))
    return Ok(
        Envelope(
            sender=decoded.sender,
            sender_incarnation=decoded.sender_incarnation,
            target=decoded.target,
            target_incarnation=decoded.target_incarnation,
            messages=messages,
        )
    )


def refuse(message: str) -> CodecError:
    """Returns the error for a frame that is refused."""
    return CodecError(step="codec.decode", message=message)
