"""What a forwarded request and its reply look like on the wire, and what a reply says.

A result says not run only if no byte of the request was written or the upstream itself
said so. A reply that belongs to another request is never returned.
"""

import dataclasses
import http.client
import re

from gooseberrymux import metrics
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.exchange import (
    HEADER_LIMIT,
    HEADER_LIMIT_BYTES,
    REASON_MALFORMED,
)
from gooseberrymux.forward_messages import ForwardCall
from gooseberrymux.http_types import (
    Headers,
    HttpReply,
    find_header,
    select_end_to_end_headers,
)
from gooseberrymux.settings import HeaderNames

REASON_SHED = "shed"
REASON_OTHER_UPSTREAM = "other_upstream"
REASON_FOREIGN = "foreign_reply"
REASON_ABORTED = "aborted"
STATUS_MISDIRECTED = 421
# An upstream that announces when it closes an idle connection is taken at its word
# less this, since the request needs a moment to arrive.
IDLE_MARGIN_MS = 400.0
KEEP_ALIVE = re.compile(r"timeout=(\d+)")
BODILESS_METHODS = frozenset({"GET", "HEAD"})
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


def encode_request(
    call: ForwardCall, head: bytes, *, names: HeaderNames, upstream: str, left_ms: float
) -> bytes:
    """Returns the whole request for one upstream.

    Args:
        call: The request.
        head: What `encode_head` has returned for it.
        names: Names of the headers.
        upstream: The upstream, which refuses the request if it is another one.
        left_ms: Milliseconds that its reply is waited for.
    """
    own = (
        f"{names.deadline_ms}: {max(1, int(left_ms))}\r\n{names.target}: {upstream}\r\n"
    )
    if call.body or call.method not in BODILESS_METHODS:
        own += f"Content-Length: {len(call.body)}\r\n"
    return b"".join((head, own.encode("latin-1"), b"\r\n", call.body))


def judge_reply(
    call: ForwardCall,
    response: ForwardReply,
    body: bytes,
    *,
    names: HeaderNames,
    elapsed_ms: float,
) -> Result:
    """Returns what a whole reply says."""
    fields = response.fields
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
        status=response.status, headers=select_end_to_end_headers(fields), body=body
    )
    if find_header(fields, "content-encoding") or (reply.is_success and not proof):
        metrics.dropped_total.inc({"reason": "reply_without_proof"})
        return Broken(reason=REASON_MALFORMED)
    return Replied(reply=reply, proof=proof, elapsed_ms=elapsed_ms)


def read_idle_limit_ms(fields: Headers) -> float:
    """Returns how long a connection may be idle before it is not used any more."""
    announced = KEEP_ALIVE.search(find_header(fields, "keep-alive") or "")
    if announced is None:
        return float("inf")
    return int(announced.group(1)) * MS_PER_S - IDLE_MARGIN_MS
