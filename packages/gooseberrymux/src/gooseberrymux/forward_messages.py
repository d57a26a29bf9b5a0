"""Messages between instances about forwarded HTTP requests.

The instance that the caller is connected to, the entry, sends a `ForwardCall` to the
instance that owns a service, and gets one outcome for each service, its part.
"""

import dataclasses

from gooseberrymux.records import Rank

_message = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_message
class ForwardCall:
    """A caller's request for the services that one instance owns.

    The owner sends an outcome for each service: `PartReplied`, `PartNotRun` or
    `PartUnknown`. If `top` is set, it merges successful replies into `PartsMerged`.

    Attributes:
        id: Id of the call, unique over instances, incarnations and dispatches.
        request_id: The caller's id of the request; passed on to upstreams.
        route: Name of the route.
        services: Services that each get the request.
        rank: Rank of the request.
        repeatable: Whether the request may run more than once.
        attempts: Upstreams of one service on which the owner may run the request.
        attempts_on_request: Further ones for which it may ask by `AttemptRequest`.
        dispatched_before: Whether an earlier owner may have sent the request to an
            upstream.
        remaining_ms: Milliseconds left until the request's deadline.
        target_ms: Milliseconds left until the latency target; negative once missed.
        method: HTTP method.
        target: HTTP request target: path and query.
        headers: End-to-end headers.
        body: Request body.
        top: Records wanted of all parts together, the greatest ones; 0 if parts are
            not merged.
        sent_ms: The entry's `Clock.boot_ms` when the call was created; 0 if unknown.
        workspace: Name of the caller's workspace; empty without one.
        answer_ms: Milliseconds left until the entry answers with the parts that it has
            by then; at most 0 once that time has passed. None from an entry of the
            release before, for which the latency target stands in.
    """

    id: str
    request_id: str
    route: str
    services: list[str]
    rank: Rank
    repeatable: bool
    attempts: int
    attempts_on_request: int = 0
    dispatched_before: bool = False
    remaining_ms: float
    target_ms: float
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    top: int = 0
    sent_ms: float = 0.0
    workspace: str = ""
    answer_ms: float | None = None


@_message
class CancelForward:
    """The entry no longer waits for a call; the owner may drop its parts.

    Attributes:
        id: Id of the call.
        services: Services that have no outcome yet.
    """

    id: str
    services: list[str]


@_message
class AttemptRequest:
    """The owner asks to send a part to one more upstream.

    Attributes:
        call: Id of the call.
        service: Name of the service.
    """

    call: str
    service: str


@_message
class AttemptGranted:
    """The entry allows the owner to send a part to one more upstream.

    A part whose call has ended is granted none; a cancel is then on its way.

    Attributes:
        call: Id of the call.
        service: Name of the service.
    """

    call: str
    service: str


@_message
class PartReplied:
    """An upstream of the service replied.

    Attributes:
        call: Id of the call.
        service: Name of the service.
        upstream: Name of the upstream that replied.
        status: HTTP status; may be an error.
        headers: End-to-end headers.
        proof: Opaque proof that the upstream sent with the reply; empty for none.
        body: The whole body.
        sends: How often the owner sent the request to an upstream.
        queued_ms: Milliseconds from arrival at the owner to the first send.
        upstream_ms: Milliseconds that the exchange with this upstream took.
    """

    call: str
    service: str
    upstream: str
    status: int
    headers: tuple[tuple[str, str], ...]
    proof: str
    body: bytes
    sends: int
    queued_ms: float
    upstream_ms: float


@_message
class PartNotRun:
    """No upstream of the service ran the request, and none will.

    Attributes:
        call: Id of the call.
        service: Name of the service.
        reason: Reason code.
        step: Processing step that refused the request.
        peer: The service, upstream or instance that refused the request.
        retry_after_ms: Milliseconds after which a retry may succeed; 0 for no hint.
    """

    call: str
    service: str
    reason: str
    step: str
    peer: str
    retry_after_ms: float = 0.0


@_message
class PartUnknown:
    """The request may have run, but there is no usable reply.

    Attributes:
        call: Id of the call.
        service: Name of the service.
        reason: Reason code.
        step: Processing step that failed.
        peer: The upstreams, separated by commas, or the instance concerned.
    """

    call: str
    service: str
    reason: str
    step: str
    peer: str


@_message
class MergedPart:
    """One part of a `PartsMerged`; see `PartReplied` for the attributes."""

    service: str
    upstream: str
    proof: str
    sends: int
    queued_ms: int
    upstream_ms: int


@_message
class PartsMerged:
    """Upstreams of several services replied; their records are merged.

    Attributes:
        call: Id of the call.
        parts: The replies that were merged, without their bodies.
        records: The greatest records of all of these replies, greatest first.
    """

    call: str
    parts: list[MergedPart]
    records: bytes


PartOutcome = PartReplied | PartNotRun | PartUnknown | PartsMerged

PART_OUTCOME_TYPES = (PartReplied, PartNotRun, PartUnknown, PartsMerged)
FORWARD_TYPES = (
    ForwardCall,
    CancelForward,
    AttemptRequest,
    AttemptGranted,
    *PART_OUTCOME_TYPES,
)
