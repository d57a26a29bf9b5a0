"""Every message between instances, as a frozen data class."""

import dataclasses
from typing import Any

from gooseberrymux.records import MemberState, Rank

_message = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_message
class Subrequest:
    """One shard's part of a query, or an order, for one upstream.

    Attributes:
        id: Unique over instances, incarnations and attempts.
        request_id: The caller's request that it belongs to.
        upstream: Where to send it.
        rank: Rank of the request.
        remaining_ms: Milliseconds left to the deadline when it was sent.
        index: Index of the snapshot.
        version: Pinned index version; empty for an order.
        shard: Shard; empty for an order.
        order_key: Idempotency key of an order; empty for a query.
        body: What the upstream gets.
    """

    id: str
    request_id: str
    upstream: str
    rank: Rank
    remaining_ms: float
    index: str = ""
    version: str = ""
    shard: str = ""
    order_key: str = ""
    body: dict = dataclasses.field(default_factory=dict)


@_message
class CancelSubrequest:
    """The result of a sub-request is no longer wanted.

    Attributes:
        id: The sub-request.
        upstream: Its upstream, so that the owner finds the queue without a search.
    """

    id: str
    upstream: str = ""


@_message
class SubrequestCompleted:
    """The upstream ran it and this is its reply.

    Attributes:
        id: The sub-request.
        version: Index version that the reply names.
        shard: Shard that the reply names.
        reply: The upstream's reply.
        upstream_ms: Time in milliseconds that the exchange took.
        queued_ms: Time in milliseconds in the owner's queue.
        queue_wait_ms: Owner's estimate, in milliseconds, of the queue wait of a next
            sub-request of the same rank.
    """

    id: str
    version: str
    shard: str
    reply: dict
    upstream_ms: float
    queued_ms: float
    queue_wait_ms: float = 0.0


@_message
class SubrequestNotRun:
    """It certainly did not run.

    Attributes:
        id: The sub-request.
        reason: One of the `REASON_` constants of `dispatch`.
        step: Where it was refused.
        peer: The upstream or instance that refused it.
        queue_wait_ms: As in `SubrequestCompleted`.
    """

    id: str
    reason: str
    step: str
    peer: str
    queue_wait_ms: float = 0.0


@_message
class SubrequestUnknown:
    """It may or may not have run.

    Attributes:
        id: The sub-request.
        reason: What went wrong.
        step: Where it went wrong.
        peer: The upstream or instance concerned.
        queue_wait_ms: As in `SubrequestCompleted`.
    """

    id: str
    reason: str
    step: str
    peer: str
    queue_wait_ms: float = 0.0


SubrequestOutcome = SubrequestCompleted | SubrequestNotRun | SubrequestUnknown


@_message
class IncarnationMismatch:
    """Answer to an envelope meant for another run of the receiver."""

    intended: int
    current: int


@_message
class MemberUpdate:
    """What a member believes about another.

    Attributes:
        instance: The member it is about.
        incarnation: Its run; 0 if only the platform's list names it.
        sequence: Raised by the member itself, to refute what is said of it.
        state: What it is believed to be.
        host: IP number of its peer listener.
        port: Port of its peer listener.
        failure_domain: Where it runs.
        region: Region it runs in.
        capacity: Processor cores that it has, compared with the other members.
    """

    instance: str
    incarnation: int
    sequence: int = 0
    state: MemberState
    host: str
    port: int
    failure_domain: str
    region: str = "default"
    capacity: float = 1.0


@_message
class Probe:
    """Asks for a `ProbeReply`; carries member updates."""

    sequence: int
    updates: list[MemberUpdate] = dataclasses.field(default_factory=list)


@_message
class ProbeReply:
    """Answers a `Probe` or, for another member, a `ProbeRequest`."""

    sequence: int
    target: str
    updates: list[MemberUpdate] = dataclasses.field(default_factory=list)


@_message
class ProbeRequest:
    """Asks the receiver to probe `target` and report."""

    sequence: int
    target: str
    updates: list[MemberUpdate] = dataclasses.field(default_factory=list)


@_message
class DocumentDigest:
    """Name, generation and content hash of a document."""

    name: str
    generation: int
    hash: str


@_message
class DocumentOffer:
    """Documents that the sender has; the receiver asks for newer ones.

    Attributes:
        digests: Some or all of the sender's documents.
        complete: Whether they are all; the receiver then also sends what is missing.
    """

    digests: list[DocumentDigest]
    complete: bool = False


@_message
class DocumentRequest:
    """Asks for documents.

    Attributes:
        names: The documents.
        known: Hash of the copy in force at the sender, by name; the receiver may then
            send the changes since.
    """

    names: list[str]
    known: dict[str, str] = dataclasses.field(default_factory=dict)


@_message
class DocumentBody:
    """One whole document."""

    name: str
    generation: int
    hash: str
    body: dict


@_message
class DeltaStep:
    """One step from a body to the next.

    Attributes:
        action: set, drop or insert.
        path: Field names and list positions.
        value: The new value; unused to drop.
    """

    action: str
    path: list[str | int]
    value: Any = None


@_message
class DocumentDelta:
    """The change from one generation of a document to a later one.

    Attributes:
        name: The document.
        base: Hash of the copy that it applies to.
        generation: The generation that it makes.
        hash: Hash of the copy that it makes.
        steps: What changes.
    """

    name: str
    base: str
    generation: int
    hash: str
    steps: list[DeltaStep]


@_message
class PlatformReach:
    """Whether the sender reaches the platform; sent to those that may watch it.

    Attributes:
        is_reached: Whether its latest call was answered.
    """

    is_reached: bool


@_message
class LeavingNotice:
    """An upstream is leaving and gets no new work, or an operator took it back.

    Attributes:
        upstream: The upstream.
        epoch: Its registration that is leaving.
        generation: Configuration generation in force at the signal.
        source: platform, operator or upstream.
        returned_epoch: Registration that the last undrain was for; -1 for none.
        returned_generation: Generation of that undrain; -1 for none.
    """

    upstream: str
    epoch: int
    generation: int = 0
    source: str
    returned_epoch: int = -1
    returned_generation: int = -1


@_message
class ClaimRequest:
    """Asks a range's owner to commit a claim.

    Attributes:
        call_id: Matches the reply.
        key: Idempotency key.
        attempt: The attempt that claims it.
        digest: Digest of the order.
        caller: Whose order it is.
        service: Service of the replicas that the attempt may be sent to.
        remaining_ms: Milliseconds left to the entry's deadline for the claim.
    """

    call_id: str
    key: str
    attempt: str
    digest: str
    caller: str
    service: str
    remaining_ms: float


@_message
class OutcomeRecord:
    """Asks a range's owner to commit an attempt's outcome or its release.

    Attributes:
        call_id: Matches the reply.
        key: Idempotency key.
        attempt: The attempt whose outcome it is.
        state: completed or released.
        upstream: Where it ran.
        reply: The upstream's reply.
        digest: Digest of the order.
        caller: Whose order it is.
    """

    call_id: str
    key: str
    attempt: str
    state: str
    digest: str
    caller: str
    upstream: str = ""
    reply: dict = dataclasses.field(default_factory=dict)


@_message
class LedgerQuery:
    """Asks a range's owner for the entry of a key."""

    call_id: str
    key: str
    remaining_ms: float


@_message
class LedgerReply:
    """Answers `ClaimRequest`, `OutcomeRecord` and `LedgerQuery`.

    Attributes:
        call_id: The call.
        verdict: claimed, found, absent, recorded, rejected or unavailable.
        code: Why it was rejected or is unavailable.
        entry: The entry that was found, as in the platform object.
    """

    call_id: str
    verdict: str
    code: str = ""
    entry: dict = dataclasses.field(default_factory=dict)


@_message
class StatusRequest:
    """Asks for a `StatusReply`."""

    call_id: str


@_message
class StatusReply:
    """Status of one instance for the administration API."""

    call_id: str
    instance: str
    status: dict


# Requests that the receiver answers once, and the answers. A peer that owes an answer
# is probed at once when it falls silent.
AWAITED_TYPES = (
    Subrequest,
    ClaimRequest,
    OutcomeRecord,
    LedgerQuery,
    StatusRequest,
)
ANSWER_TYPES = (
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestUnknown,
    LedgerReply,
    StatusReply,
)

MESSAGE_TYPES = (
    Subrequest,
    CancelSubrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestUnknown,
    IncarnationMismatch,
    Probe,
    ProbeReply,
    ProbeRequest,
    DocumentOffer,
    DocumentRequest,
    DocumentBody,
    DocumentDelta,
    PlatformReach,
    LeavingNotice,
    ClaimRequest,
    OutcomeRecord,
    LedgerQuery,
    LedgerReply,
    StatusRequest,
    StatusReply,
)
