"""Messages between instances, except those for forwarded calls, as data classes.

The names of the classes and their fields are part of the wire format.
"""

import dataclasses
from typing import Any

from gooseberrymux.records import MemberState, Rank

_message = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_message
class Subrequest:
    """Asks an upstream's owner to send it one shard's part of a query, or an order.

    Attributes:
        id: Identifier, unique over instances, incarnations and attempts.
        request_id: The caller's request that the sub-request belongs to.
        upstream: The upstream that is to run the sub-request.
        rank: Rank of the request.
        remaining_ms: Milliseconds left to the deadline when the message was sent.
        index: Index of the snapshot.
        version: Pinned index version; empty for an order.
        shard: Shard; empty for an order.
        order_key: Idempotency key of an order; empty for a query.
        body: Body of the request to the upstream.
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
    """Tells an owner that the result of a sub-request is no longer needed.

    Attributes:
        id: The sub-request.
        upstream: Upstream of the sub-request; the owner finds the queue by its name
            instead of searching all queues.
    """

    id: str
    upstream: str = ""


@_message
class SubrequestCompleted:
    """The upstream ran the sub-request and replied.

    Attributes:
        id: The sub-request.
        version: Index version that the reply names.
        shard: Shard that the reply names.
        reply: The upstream's reply.
        upstream_ms: Duration of the exchange with the upstream.
        queued_ms: Time that the sub-request spent in the owner's queue.
        queue_wait_ms: Owner's estimate of the queue wait of the next sub-request of the
            same rank.
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
    """The sub-request certainly did not run.

    Attributes:
        id: The sub-request.
        reason: One of the `REASON_` constants of `dispatch`.
        step: Processing step that refused the sub-request.
        peer: The upstream or instance that refused the sub-request.
        queue_wait_ms: As in `SubrequestCompleted`.
    """

    id: str
    reason: str
    step: str
    peer: str
    queue_wait_ms: float = 0.0


@_message
class SubrequestUnknown:
    """The sub-request may or may not have run.

    Attributes:
        id: The sub-request.
        reason: Code of the failure.
        step: Processing step that failed.
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
    """Answers an envelope that was addressed to another incarnation of the receiver.

    Attributes:
        intended: Incarnation that the envelope was addressed to.
        current: Incarnation of the instance that received it.
    """

    intended: int
    current: int


@_message
class MemberUpdate:
    """The sender's knowledge of one member, spread by gossip on probe messages.

    Attributes:
        instance: Name of the member.
        incarnation: Incarnation of the member; 0 if it is known only from the
            platform's list.
        sequence: Raised by the member itself to refute a false update about it.
        state: State of the member as the sender knows it.
        host: IP address of the member's peer listener.
        port: Port of the member's peer listener.
        failure_domain: Failure domain that the member runs in.
        region: Region that the member runs in.
        capacity: Processor cores of the member, in cores of speed 1.
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
    """Asks the receiver for a `ProbeReply` with the same sequence."""

    sequence: int
    updates: list[MemberUpdate] = dataclasses.field(default_factory=list)


@_message
class ProbeReply:
    """Answers a `Probe`, or a `ProbeRequest` when its target has answered."""

    sequence: int
    target: str
    updates: list[MemberUpdate] = dataclasses.field(default_factory=list)


@_message
class ProbeRequest:
    """Asks the receiver to probe `target`; answered if the target answers."""

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
    """Offers the sender's documents; the receiver requests those newer than its own.

    Attributes:
        digests: Digests of some or all of the sender's documents.
        complete: Whether `digests` covers all documents of the sender; the receiver
            then also sends those that the sender lacks.
    """

    digests: list[DocumentDigest]
    complete: bool = False


@_message
class DocumentRequest:
    """Asks for documents.

    Attributes:
        names: Names of the documents.
        known: Hash of the sender's current copy, by name; the receiver may then send a
            `DocumentDelta` from this copy instead of the whole document.
    """

    names: list[str]
    known: dict[str, str] = dataclasses.field(default_factory=dict)


@_message
class DocumentBody:
    """One complete document."""

    name: str
    generation: int
    hash: str
    body: dict


@_message
class DeltaStep:
    """One edit within a document's body.

    Attributes:
        action: set, drop or insert.
        path: Field names and list positions that lead to the edited value.
        value: The new value; unused for drop.
    """

    action: str
    path: list[str | int]
    value: Any = None


@_message
class DocumentDelta:
    """The change from one generation of a document to a later one.

    Attributes:
        name: Name of the document.
        base: Hash of the copy that the delta applies to.
        generation: Generation of the resulting document.
        hash: Hash of the resulting document.
        steps: The edits, in order.
    """

    name: str
    base: str
    generation: int
    hash: str
    steps: list[DeltaStep]


@_message
class FreshnessProof:
    """Says that copies of documents were current at a time; see `proofs`.

    Attributes:
        prefix: Prefix of the documents' names.
        reader: Instance that read the platform.
        incarnation: Incarnation of the reader.
        sequence: Number of the proof in that run of the reader.
        age_ms: How long before `sent_ms` the copies were current.
        sent_ms: The sender's `Clock.boot_ms` when this message was created.
        digests: The copies of all documents with the prefix.
    """

    prefix: str
    reader: str
    incarnation: int
    sequence: int
    age_ms: float
    sent_ms: float
    digests: list[DocumentDigest]


@_message
class LeavingNotice:
    """An upstream is leaving and gets no new work, or an operator undrained it.

    Attributes:
        upstream: Name of the upstream.
        epoch: Registration epoch of the upstream that is leaving.
        generation: Configuration generation in force when the leave was signalled.
        source: Who signalled the leave: platform, operator or upstream.
        returned_epoch: Registration epoch that the last undrain was for; -1 for none.
        returned_generation: Configuration generation of that undrain; -1 for none.
    """

    upstream: str
    epoch: int
    generation: int = 0
    source: str
    returned_epoch: int = -1
    returned_generation: int = -1


@_message
class ClaimRequest:
    """Asks the owner of the key's range to commit a claim on an idempotency key.

    Attributes:
        call_id: Identifier that the reply repeats.
        key: Idempotency key.
        attempt: The attempt that claims the key.
        digest: Digest of the order.
        caller: Caller that placed the order.
        service: Service of the replicas that the attempt may be sent to.
        remaining_ms: Milliseconds left to the deadline that the entry instance, which
            received the order, set for the claim.
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
    """Asks the owner of the key's range to commit an attempt's outcome or release.

    Attributes:
        call_id: Identifier that the reply repeats.
        key: Idempotency key.
        attempt: The attempt that completed or was released.
        state: completed or released.
        upstream: The upstream that ran the order; empty for a release.
        reply: The upstream's reply; empty for a release.
        digest: Digest of the order.
        caller: Caller that placed the order.
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
    """Asks the owner of the key's range for the ledger entry of an idempotency key."""

    call_id: str
    key: str
    remaining_ms: float


@_message
class LedgerReply:
    """Answers `ClaimRequest`, `OutcomeRecord` and `LedgerQuery`.

    Attributes:
        call_id: Identifier of the request.
        verdict: claimed, found, absent, recorded, rejected or unavailable.
        code: Reason for the verdict rejected or unavailable.
        entry: The ledger entry that was found, in the form of the platform object.
    """

    call_id: str
    verdict: str
    code: str = ""
    entry: dict = dataclasses.field(default_factory=dict)


@_message
class StatusRequest:
    """Asks the receiver for a `StatusReply`."""

    call_id: str


@_message
class StatusReply:
    """Status of one instance for the administration API."""

    call_id: str
    instance: str
    status: dict


# Requests with exactly one answer, and the answers to them. A peer that owes an answer
# and sends nothing is probed without waiting for its turn.
AWAITED_REQUEST_TYPES = (
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
    FreshnessProof,
    LeavingNotice,
    ClaimRequest,
    OutcomeRecord,
    LedgerQuery,
    LedgerReply,
    StatusRequest,
    StatusReply,
)
