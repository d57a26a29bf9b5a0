"""State of a query's shards: attempts, timers, failure reasons and the result."""

import dataclasses

from gooseberrymux.calls import REASON_PEER_LOST
from gooseberrymux.exchange import (
    REASON_CONNECT,
    REASON_DEADLINE,
    REASON_SHED,
    REASON_VERSION_GONE,
    REASON_WRONG_SHARD,
)
from gooseberrymux.records import MissingShard
from gooseberrymux.snapshots import Snapshot
from gooseberrymux.worker_pool import (
    REASON_LEAVING,
    REASON_QUEUE_FULL,
    REASON_UNKNOWN_UPSTREAM,
)

REASON_QUERY_DEADLINE = "deadline"
REASON_NO_REPLICA = "no_replica"
REASON_OTHER_SNAPSHOT = "reply_of_other_snapshot"
# Value of the metrics label `outcome` for a sub-request that the query gave up on.
OUTCOME_ABANDONED = "Abandoned"
# The upstream serves or replied for another version or shard map than the pinned one.
REASONS_STALE_VERSION = frozenset(
    {REASON_VERSION_GONE, REASON_WRONG_SHARD, REASON_OTHER_SNAPSHOT}
)
# A queue or the upstream was full, or the queue was too long for the deadline.
REASONS_OVERLOAD = frozenset({REASON_QUEUE_FULL, REASON_DEADLINE, REASON_SHED})
# Retries after these reasons don't count against the retry budget. The sub-request
# never reached an upstream or was rejected for its version, so that a retry adds no
# load. The loss of an owner fails many calls at once, which would use up the budget,
# but each of them fails over only once.
REASONS_RETRY_BUDGET_EXEMPT = REASONS_STALE_VERSION | {
    REASON_CONNECT,
    REASON_PEER_LOST,
    REASON_LEAVING,
    REASON_UNKNOWN_UPSTREAM,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HedgeDue:
    """Timer: the hedge delay of a shard's attempt ends, or is to be looked up again."""

    shard: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDue:
    """Timer: the backoff before a shard's next retry round ends."""

    shard: str


Timer = HedgeDue | RetryDue


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One sub-request in flight.

    Attributes:
        shard: The shard that is queried.
        upstream: The replica that the sub-request was sent to.
        cause: "first", "retry" or "hedge".
        sent_ms: Monotonic time in milliseconds.
    """

    shard: str
    upstream: str
    cause: str
    sent_ms: float


class ShardState:
    """State of one shard of a query.

    Attributes:
        service: The service whose replicas serve the shard.
        in_flight: Ids of the sub-requests in flight.
        tried: Names of the replicas tried in the current retry round.
        retry_rounds: Rounds over all replicas that were started again.
        hedged: Whether a hedge was sent.
        reason: Why the shard is reported missing, unless an attempt succeeds.
    """

    __slots__ = ("service", "in_flight", "tried", "retry_rounds", "hedged", "reason")

    def __init__(self, *, service: str):
        self.service = service
        self.in_flight: list[str] = []
        self.tried: set[str] = set()
        self.retry_rounds = 0
        self.hedged = False
        self.reason = REASON_QUERY_DEADLINE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatherResult:
    """Hits of a query on one index version.

    Attributes:
        snapshot: The index version that the query ran on.
        hits: Hits by shard, of the shards that replied.
        missing: The other shards, each with its reason.
    """

    snapshot: Snapshot
    hits: dict[str, list]
    missing: tuple[MissingShard, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionReplaced:
    """An upstream rejected the query's version and a newer one is known."""

    newer: Snapshot
