"""Core types that the services share: ranks, requests, answers, refusals, members."""

import dataclasses
import enum

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class Rank(enum.StrEnum):
    """Priority class of work, most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    PATIENT = "patient"


class RunState(enum.StrEnum):
    """What is known about whether a request was run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETED = "completed"


class UpstreamState(enum.StrEnum):
    """State of an upstream in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class MemberState(enum.StrEnum):
    """State of an instance in the member table."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@_frozen
class InstanceIdentity:
    """One run of one instance.

    Attributes:
        name: Name from the settings.
        incarnation: Differs in each run; a later run has a higher number.
    """

    name: str
    incarnation: int


@_frozen
class Traffic:
    """What a selector can match on."""

    caller: str
    service: str
    rank: Rank
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


@_frozen
class UpstreamRecord:
    """One upstream in the platform's list.

    Attributes:
        name: Unique name.
        host: IP number.
        port: Port of its HTTP interface.
        service: The set of replicas that it belongs to.
        failure_domain: Where it runs.
        epoch: Rises with each registration, so that a return is told from a stay.
        state: Live or leaving, as the platform knows it; may lag.
        slots: Requests that it runs at the same time.
        connections: Connections that it accepts from all instances together.
        labels: What groups select on.
        cold: Whether it is still slow after its start, as the platform knows it.
    """

    name: str
    host: str
    port: int
    service: str
    failure_domain: str
    epoch: int = 1
    state: UpstreamState = UpstreamState.LIVE
    slots: int = 2
    connections: int = 25
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    cold: bool = False


@_frozen
class InstanceRecord:
    """One entry instance in the platform's list.

    Attributes:
        name: Unique name.
        host: IP number.
        peer_port: Port of its peer listener.
        failure_domain: Where it runs.
        region: Region it runs in.
        leaving: Whether it is stopping.
        capacity: Processor cores that it has, compared with the other instances.
    """

    name: str
    host: str
    peer_port: int
    failure_domain: str
    region: str = "default"
    leaving: bool = False
    capacity: float = 1.0


@_frozen
class Query:
    """A caller's query.

    Attributes:
        request_id: Unique over instances and incarnations.
        traffic: Who asks for what, at which rank.
        terms: What the upstreams search for; passed through.
        deadline_ms: Monotonic time in milliseconds by which to answer.
        minimum_coverage: Share of shards below which the caller wants a refusal.
    """

    request_id: str
    traffic: Traffic
    terms: dict
    deadline_ms: float
    minimum_coverage: float = 0.0


@_frozen
class Order:
    """A caller's non-idempotent order.

    Attributes:
        request_id: Unique over instances and incarnations.
        traffic: Who orders what, at which rank.
        key: The caller's idempotency key, a UUIDv7.
        body: The order; passed through.
        deadline_ms: Monotonic time in milliseconds by which to answer.
    """

    request_id: str
    traffic: Traffic
    key: str
    body: dict
    deadline_ms: float


@_frozen
class MissingShard:
    """A shard that an answer does not cover, and why."""

    shard: str
    reason: str


@_frozen
class Answer:
    """An answer to a query, drawn from one index version.

    Attributes:
        request_id: The query's id.
        index: The index.
        version: The index version that every reply in the answer names.
        shards_total: Shards of that version.
        covered: Shards whose reply is in `hits`.
        missing: The other shards.
        hits: Replies by shard.
    """

    request_id: str
    index: str
    version: str
    shards_total: int
    covered: tuple[str, ...]
    missing: tuple[MissingShard, ...]
    hits: dict[str, list]

    @property
    def coverage(self) -> float:
        """Share of the shards that the answer covers."""
        return len(self.covered) / self.shards_total if self.shards_total else 1.0


@_frozen
class Refusal:
    """A request that gets no answer.

    Attributes:
        code: Machine-readable reason.
        message: One line for people.
        run_state: What is known about whether the request was run.
        step: Where it was refused.
        peer: The peer concerned, if any.
        retry_after_ms: Hint for the caller in milliseconds; None for no hint.
    """

    code: str
    message: str
    run_state: RunState
    step: str
    peer: str = ""
    retry_after_ms: int | None = None


@_frozen
class OrderCompleted:
    """The order ran and its upstream's reply is known.

    Attributes:
        key: Idempotency key.
        upstream: Where it ran.
        reply: The upstream's reply.
        reply_omitted: Whether the reply was too large to be kept for later.
    """

    key: str
    upstream: str
    reply: dict
    reply_omitted: bool = False


@_frozen
class OrderNotRun:
    """The order certainly did not run; the key may be used again."""

    key: str
    refusal: Refusal


@_frozen
class OrderUnknown:
    """The order may have run; its outcome can be asked for by key."""

    key: str
    message: str


OrderOutcome = OrderCompleted | OrderNotRun | OrderUnknown


@_frozen
class OrderNotFound:
    """No order with this key is known."""

    key: str


@_frozen
class OutcomeUnavailable:
    """The outcome cannot be looked up at present."""

    key: str
    refusal: Refusal


LookedUpOutcome = (
    OrderCompleted | OrderNotRun | OrderUnknown | OrderNotFound | OutcomeUnavailable
)
