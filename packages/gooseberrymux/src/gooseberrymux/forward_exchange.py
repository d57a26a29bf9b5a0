"""HTTP encoding of forwarded requests, and classification of the replies to them.

A result reports that the request did not run only if no byte of it was written or the
upstream itself said so. A reply that belongs to another request is never returned.
"""

import dataclasses
import re

from gooseberrymux import metrics
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.exchange import REASON_MALFORMED
from gooseberrymux.forward_messages import ForwardCall
from gooseberrymux.http_types import (
    Headers,
    HttpReply,
    find_header,
    select_end_to_end_headers,
)
from gooseberrymux.reply_parser import ParsedReply
from gooseberrymux.settings import HeaderNames
from gooseberrymux.upstream_signals import NO_SIGNALS, UpstreamSignals, parse_signals

REASON_SHED = "shed"
REASON_OTHER_UPSTREAM = "other_upstream"
REASON_FOREIGN = "foreign_reply"
REASON_ABORTED = "aborted"
STATUS_MISDIRECTED = 421
# Subtracted from the idle timeout in an upstream's Keep-Alive header, so that a request
# arrives before the upstream closes the connection.
KEEP_ALIVE_MARGIN_MS = 400.0
# Python refuses to convert a number of thousands of digits.
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=(\d{1,9})")
BODILESS_METHODS = frozenset({"GET", "HEAD"})

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Replied:
    """The upstream ran the request and sent a complete reply.

    Attributes:
        reply: The reply, with its end-to-end headers.
        proof: Value of the reply's proof header, or empty.
        elapsed_ms: Milliseconds from the send to the complete reply.
        signals: What the upstream says about its load.
    """

    reply: HttpReply
    proof: str
    elapsed_ms: float
    signals: UpstreamSignals = NO_SIGNALS


@_frozen
class Declined:
    """The upstream replied that it did not run the request.

    Attributes:
        reason: Reason code.
        elapsed_ms: Milliseconds from the send to the complete reply.
        signals: What the upstream says about its load; None if another upstream
            replied.
    """

    reason: str
    elapsed_ms: float
    signals: UpstreamSignals | None = None


@_frozen
class NotSent:
    """No byte of the request was written."""

    reason: str


@_frozen
class Broken:
    """The request may have run, but there is no usable reply."""

    reason: str


Result = Replied | Declined | NotSent | Broken


def encode_head(call: ForwardCall, names: HeaderNames) -> bytes:
    """Returns the encoded request line and headers that are the same for all sends.

    The caller's own values of headers that this instance sets are left out, and so is
    the API key of a caller with a workspace.
    """
    replaced_names = {
        names.deadline_ms.lower(),
        names.target.lower(),
        names.request_id.lower(),
        "content-length",
    }
    if call.workspace:
        replaced_names |= {names.api_key.lower(), names.workspace.lower()}
    lines = [f"{call.method} {call.target} HTTP/1.1"]
    lines += [
        f"{name}: {value}" for name, value in call.headers if name not in replaced_names
    ]
    lines.append(f"{names.request_id}: {call.request_id}")
    if call.workspace:
        # The head is encoded as Latin-1, which keeps each of these bytes.
        workspace = call.workspace.encode("utf-8").decode("latin-1")
        lines.append(f"{names.workspace}: {workspace}")
    return ("\r\n".join(lines) + "\r\n").encode("latin-1")


def encode_request(
    call: ForwardCall,
    head: bytes,
    *,
    names: HeaderNames,
    upstream: str,
    remaining_ms: float,
) -> bytes:
    """Returns the complete request, encoded for one upstream.

    Args:
        call: The request.
        head: Result of `encode_head` for the request.
        names: Configured names of the protocol's HTTP headers.
        upstream: Name of the intended upstream; an upstream with another name refuses
            the request.
        remaining_ms: Milliseconds until the deadline of the reply.
    """
    send_headers = (
        f"{names.deadline_ms}: {max(1, int(remaining_ms))}\r\n"
        f"{names.target}: {upstream}\r\n"
    )
    if call.body or call.method not in BODILESS_METHODS:
        send_headers += f"Content-Length: {len(call.body)}\r\n"
    return b"".join((head, send_headers.encode("latin-1"), b"\r\n", call.body))


def classify_reply(
    call: ForwardCall,
    received: ParsedReply,
    *,
    names: HeaderNames,
    elapsed_ms: float,
) -> Result:
    """Returns the result that a complete reply stands for.

    Args:
        call: The request.
        received: The reply.
        names: Configured names of the protocol's HTTP headers.
        elapsed_ms: Milliseconds from the send to the complete reply.
    """
    # Of repeated headers the first one counts.
    fields = dict(reversed(received.headers))
    echoed = fields.get(names.request_id.lower())
    if echoed is not None and echoed != call.request_id:
        metrics.dropped_total.inc({"reason": REASON_FOREIGN})
        return Broken(reason=REASON_FOREIGN)
    if received.status == STATUS_MISDIRECTED:
        return Declined(reason=REASON_OTHER_UPSTREAM, elapsed_ms=elapsed_ms)
    signals = parse_signals(fields, status=received.status, names=names)
    if names.not_run.lower() in fields:
        return Declined(reason=REASON_SHED, elapsed_ms=elapsed_ms, signals=signals)
    proof = fields.get(names.proof.lower(), "")
    reply = HttpReply(
        status=received.status,
        headers=select_end_to_end_headers(received.headers),
        body=received.body,
    )
    if fields.get("content-encoding") or (reply.is_success and not proof):
        metrics.dropped_total.inc({"reason": "reply_without_proof"})
        return Broken(reason=REASON_MALFORMED)
    return Replied(reply=reply, proof=proof, elapsed_ms=elapsed_ms, signals=signals)


def parse_idle_limit_ms(fields: Headers) -> float:
    """Returns how many milliseconds a connection may be idle and still be reused.

    Infinity if the reply announced no Keep-Alive timeout.
    """
    timeout = KEEP_ALIVE_TIMEOUT_PATTERN.search(find_header(fields, "keep-alive") or "")
    if timeout is None:
        return float("inf")
    return int(timeout.group(1)) * MS_PER_S - KEEP_ALIVE_MARGIN_MS
