"""Core types that the services share: requests, outcomes, instances and upstreams."""

import dataclasses
import enum

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class Rank(enum.StrEnum):
    """Priority class of a request, most urgent first."""

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
    """State of an instance in the member table of the failure detector."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@_frozen
class InstanceIdentity:
    """Identifies one run of an instance: a restart changes the incarnation.

    Attributes:
        name: Name of the instance, from its settings.
        incarnation: Number of the run, higher for each later run.
    """

    name: str
    incarnation: int


@_frozen
class Traffic:
    """The properties of a request that selectors match on."""

    caller: str
    service: str
    rank: Rank
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


@_frozen
class UpstreamRecord:
    """One upstream in the platform's list.

    Attributes:
        name: Unique name.
        host: IP address.
        port: Port of its HTTP interface.
        service: Name of the set of replicas that it belongs to.
        failure_domain: Failure domain in which it runs.
        epoch: Increases with each registration, so that an upstream that was removed
            and registered again is distinguished from one that stayed.
        state: Live or leaving, according to the platform; may be out of date.
        slots: Number of requests that it runs at the same time.
        connections: Number of connections that it accepts from all instances together.
        labels: Labels that groups match on.
        cold: Whether it is still slow after its start, according to the platform.
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
    """One instance in the platform's list.

    Attributes:
        name: Unique name.
        host: IP address.
        peer_port: Port on which it accepts connections from other instances.
        failure_domain: Failure domain in which it runs.
        region: Region in which it runs.
        leaving: Whether it is shutting down.
        capacity: Its processor cores, relative to the other instances.
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
        request_id: Id, unique across instances and incarnations.
        traffic: Caller, service, rank and labels of the query.
        terms: Search terms, passed to the upstreams unchanged.
        deadline_ms: Monotonic time in milliseconds by which to answer.
        minimum_coverage: Share of the shards, 0 to 1, below which the query is refused
            instead of answered.
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
        request_id: Id, unique across instances and incarnations.
        traffic: Caller, service, rank and labels of the order.
        key: The caller's idempotency key, a UUIDv7.
        body: The order, passed to the upstream unchanged.
        deadline_ms: Monotonic time in milliseconds by which to answer.
    """

    request_id: str
    traffic: Traffic
    key: str
    body: dict
    deadline_ms: float


@_frozen
class MissingShard:
    """A shard that an answer does not cover, and the reason."""

    shard: str
    reason: str


@_frozen
class Answer:
    """An answer to a query, all from one version of the index.

    Attributes:
        request_id: Id of the query.
        index: Name of the index.
        version: Index version, which every reply in the answer states.
        shards_total: Number of shards of that version.
        covered: Shards whose hits are in `hits`.
        missing: The other shards.
        hits: Hits by shard.
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
        """Share of the shards that the answer covers; 1 if the index has none."""
        return len(self.covered) / self.shards_total if self.shards_total else 1.0


@_frozen
class Refusal:
    """The refusal of a request, sent instead of an answer.

    Attributes:
        code: Machine-readable reason.
        message: One-line description for people.
        run_state: What is known about whether the request was run.
        step: Step of the processing that refused the request.
        peer: Upstream or instance that the step involved; empty if there is none.
        retry_after_ms: Delay in milliseconds after which the caller should retry; None
            for no advice.
    """

    code: str
    message: str
    run_state: RunState
    step: str
    peer: str = ""
    retry_after_ms: int | None = None


@_frozen
class OrderCompleted:
    """The order ran, and its upstream replied.

    Attributes:
        key: Idempotency key.
        upstream: Upstream that ran the order.
        reply: The upstream's reply; empty if it was omitted.
        reply_omitted: Whether the reply was too large to be stored for a later request.
    """

    key: str
    upstream: str
    reply: dict
    reply_omitted: bool = False


@_frozen
class OrderNotRun:
    """The order certainly did not run; the caller may submit its key again."""

    key: str
    refusal: Refusal


@_frozen
class OrderUnknown:
    """The order may have run; the caller can look up its outcome by key."""

    key: str
    message: str


OrderOutcome = OrderCompleted | OrderNotRun | OrderUnknown


@_frozen
class OrderNotFound:
    """No order with this key is known."""

    key: str


@_frozen
class OutcomeUnavailable:
    """The outcome cannot be looked up; the order may have run."""

    key: str
    refusal: Refusal


LookedUpOutcome = (
    OrderCompleted | OrderNotRun | OrderUnknown | OrderNotFound | OutcomeUnavailable
)
