"""Encodes envelopes of peer messages as msgpack and refuses what does not decode."""

import dataclasses

import msgspec
from result import Err, Ok, Result

from gooseberrymux.errors import MuxError
from gooseberrymux.forward_messages import FORWARD_TYPES
from gooseberrymux.messages import MESSAGE_TYPES

FORMAT_VERSION = 1
FRAME_LIMIT_BYTES = 4 * 1024 * 1024


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


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns the frame of an envelope."""
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
    return _encoder.encode(frame)


def decode_envelope(frame: bytes) -> Result[Envelope, CodecError]:
    """Returns the envelope of a frame, or why the whole frame is refused."""
    if len(frame) > FRAME_LIMIT_BYTES:
        return Err(refuse(f"frame of {len(frame)} bytes is oversized"))
    try:
        decoded = _frame_decoder.decode(frame)
        messages = [_decoders[kind].decode(body) for kind, body in decoded.messages]
    except msgspec.DecodeError as error:
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
