"""Messages between instances about forwarded HTTP requests."""

import dataclasses

from gooseberrymux.records import Rank

_message = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_message
class ForwardCall:
    """A caller's request for the services that one instance owns.

    The owner answers each service by itself, with a `PartReplied`, `PartNotRun` or
    `PartUnknown`.

    Attributes:
        id: Unique over instances, incarnations and dispatches.
        request_id: The caller's own id of the request; passed on.
        route: Name of the route.
        services: Services that each get the request.
        rank: Rank of the request.
        repeatable: Whether it may run more than once.
        attempts: Upstreams of one service on which it may still run.
        dispatched_before: Whether an earlier owner may have sent it to an upstream.
        remaining_ms: Milliseconds left to its deadline.
        target_ms: Milliseconds left in which an answer is on time; may be negative.
        method: Its method.
        target: Its path and query.
        headers: Its end-to-end headers.
        body: Its body.
        top: Greatest records wanted of all parts together; 0 if parts aren't merged.
    """

    id: str
    request_id: str
    route: str
    services: list[str]
    rank: Rank
    repeatable: bool
    attempts: int
    dispatched_before: bool = False
    remaining_ms: float
    target_ms: float
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""
    top: int = 0


@_message
class CancelForward:
    """The outcome of a call is no longer wanted.

    Attributes:
        id: The call.
        services: The services that are still open.
    """

    id: str
    services: list[str]


@_message
class PartReplied:
    """An upstream of the service replied.

    Attributes:
        call: The call.
        service: The service.
        upstream: Who replied.
        status: HTTP status.
        headers: End-to-end headers.
        proof: Opaque proof of the reply that the upstream gave; empty for none.
        body: The whole body.
        sends: Upstreams that the request was sent to.
        queued_ms: Milliseconds until it was first sent.
        upstream_ms: Milliseconds of the exchange that brought the reply.
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
        call: The call.
        service: The service.
        reason: Why.
        step: Where it was refused.
        peer: The upstream or instance that refused it.
        retry_after_ms: When another attempt may find room, in milliseconds from now.
    """

    call: str
    service: str
    reason: str
    step: str
    peer: str
    retry_after_ms: float = 0.0


@_message
class PartUnknown:
    """The request may have run, and there is no reply.

    Attributes:
        call: The call.
        service: The service.
        reason: What went wrong.
        step: Where it went wrong.
        peer: The upstream or instance concerned.
    """

    call: str
    service: str
    reason: str
    step: str
    peer: str


@_message
class MergedPart:
    """One part that is contained in `PartsMerged`; see `PartReplied`."""

    service: str
    upstream: str
    proof: str
    sends: int
    queued_ms: int
    upstream_ms: int


@_message
class PartsMerged:
    """Upstreams of several services replied; their greatest records together.

    Attributes:
        call: The call.
        parts: The parts.
        records: Their greatest records, greatest first.
    """

    call: str
    parts: list[MergedPart]
    records: bytes


PartOutcome = PartReplied | PartNotRun | PartUnknown | PartsMerged

PART_OUTCOME_TYPES = (PartReplied, PartNotRun, PartUnknown, PartsMerged)
FORWARD_TYPES = (ForwardCall, CancelForward, *PART_OUTCOME_TYPES)
