"""Encodes envelopes of peer messages as msgpack frames, and decodes and checks them."""

import dataclasses
import zlib

import msgspec
from result import Err, Ok, Result

from gooseberrymux.errors import MuxError
from gooseberrymux.forward_messages import FORWARD_TYPES
from gooseberrymux.messages import MESSAGE_TYPES
from gooseberrymux.quota_messages import QUOTA_TYPES

FORMAT_VERSION = 2
FRAME_LIMIT_BYTES = 4 * 1024 * 1024
# Frames from this size on are compressed, as field names and headers repeat in them. A
# smaller frame would save less than the size of its packet's headers.
COMPRESS_MIN_BYTES = 256
ZLIB_LEVEL = 1
# First byte of a frame: whether the data behind it is compressed.
FORM_PLAIN = b"\x00"
FORM_ZLIB = b"\x01"


class CodecError(MuxError):
    """A frame is garbled, truncated, oversized or of another format version."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """Content of one frame.

    Attributes:
        sender: Name of the sending instance.
        sender_incarnation: Incarnation of the sender.
        target: Name of the intended receiver; empty while its incarnation is unknown.
        target_incarnation: Incarnation of the intended receiver; 0 while unknown.
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
    cls.__name__: msgspec.msgpack.Decoder(cls)
    for cls in MESSAGE_TYPES + FORWARD_TYPES + QUOTA_TYPES
}


def encode_envelope(envelope: Envelope) -> bytes | None:
    """Returns the frame of an envelope; None if it exceeds `FRAME_LIMIT_BYTES`.

    The limit applies to the data before compression.
    """
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
    """Returns a frame: the byte that names its form, then the data in this form."""
    if len(data) < COMPRESS_MIN_BYTES:
        return FORM_PLAIN + data
    return FORM_ZLIB + zlib.compress(data, ZLIB_LEVEL)


def decompress(frame: bytes) -> bytes | None:
    """Returns the data of a frame; None if it is garbled, truncated or oversized."""
    form, data = frame[:1], frame[1:]
    if form == FORM_PLAIN:
        return data
    if form != FORM_ZLIB:
        return None
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, FRAME_LIMIT_BYTES)
    except zlib.error:
        return None
    # Data of an oversized frame beyond FRAME_LIMIT_BYTES is never decompressed.
    return decompressed if decompressor.eof else None


def measure_message(message: object) -> int:
    """Returns the size of a message in bytes, before compression."""
    return len(_encoder.encode(message))


def decode_envelope(frame: bytes) -> Result[Envelope, CodecError]:
    """Returns the envelope of a frame; Err if any part of the frame is invalid."""
    if len(frame) > FRAME_LIMIT_BYTES:
        return Err(create_codec_error(f"frame of {len(frame)} bytes is oversized"))
    data = decompress(frame)
    if data is None:
        return Err(create_codec_error("frame is garbled or oversized"))
    try:
        decoded = _frame_decoder.decode(data)
        messages = [
            _decoders[type_name].decode(body) for type_name, body in decoded.messages
        ]
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(create_codec_error(str(error)))
    except KeyError as error:
        return Err(create_codec_error(f"unknown message type {error}"))
    if decoded.version != FORMAT_VERSION:
        return Err(create_codec_error(f"format version {decoded.version} is unknown"))
    return Ok(
        Envelope(
            sender=decoded.sender,
            sender_incarnation=decoded.sender_incarnation,
            target=decoded.target,
            target_incarnation=decoded.target_incarnation,
            messages=messages,
        )
    )


def create_codec_error(message: str) -> CodecError:
    """Returns the error for a frame that can't be decoded."""
    return CodecError(step="codec.decode", message=message)
