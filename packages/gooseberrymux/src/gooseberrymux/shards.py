"""Progress of the shards of a query: attempts, timers, reasons, what was gathered."""

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
# Outcome in the metrics of a sub-request that was given up.
ABANDONED = "Abandoned"
# The upstream names another version or shard map than the pinned one.
REASONS_STALE = frozenset(
    {REASON_VERSION_GONE, REASON_WRONG_SHARD, REASON_OTHER_SNAPSHOT}
)
# A queue or the upstream was full, or its queue too long for the deadline.
REASONS_LOAD = frozenset({REASON_QUEUE_FULL, REASON_DEADLINE, REASON_SHED})
# The sub-request never reached an upstream, or was turned away for its version, so
# that a retry is no extra load and needs no budget. A lost owner takes many calls
# with it at once and each fails over only once, so that the budget, which would run
# out, does not apply to it either.
REASONS_UNBUDGETED = REASONS_STALE | {
    REASON_CONNECT,
    REASON_PEER_LOST,
    REASON_LEAVING,
    REASON_UNKNOWN_UPSTREAM,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HedgeDue:
    """A shard's first attempt has taken as long as the hedge delay."""

    shard: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDue:
    """A shard may be tried again after all its replicas were tried."""

    shard: str


Timer = HedgeDue | RetryDue


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One sub-request of a shard that is in flight."""

    shard: str
    upstream: str
    cause: str
    sent_ms: float


class ShardState:
    """Progress of one shard."""

    __slots__ = ("service", "in_flight", "tried", "rounds", "hedged", "reason")

    def __init__(self, *, service: str):
        self.service = service
        self.in_flight: list[str] = []
        self.tried: set[str] = set()
        self.rounds = 0
        self.hedged = False
        self.reason = REASON_QUERY_DEADLINE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gathered:
    """What the shards of one version gave.

    Attributes:
        snapshot: The version.
        hits: Replies by covered shard.
        missing: The other shards.
    """

    snapshot: Snapshot
    hits: dict[str, list]
    missing: tuple[MissingShard, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionReplaced:
    """The pinned version went away and a newer one is known."""

    newer: Snapshot
