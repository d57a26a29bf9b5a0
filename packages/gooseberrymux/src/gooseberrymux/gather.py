"""One query on one index version: fan-out, hedges, retries, merge."""

import collections
import dataclasses
import heapq

from gooseberrymux import metrics
from gooseberrymux.admission import Admission
from gooseberrymux.budgets import Budgets
from gooseberrymux.calls import Calls, Inbox
from gooseberrymux.clock import Clock
from gooseberrymux.exchange import REASON_MALFORMED
from gooseberrymux.inventory import Inventory
from gooseberrymux.latency import DelayUnknown, HedgeAfter, Latencies, NeverHedge
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.records import MissingShard, Query, UpstreamRecord
from gooseberrymux.routing import Routing
from gooseberrymux.selectors import Route
from gooseberrymux.shards import (
    ABANDONED,
    REASON_NO_REPLICA,
    REASON_OTHER_SNAPSHOT,
    REASONS_LOAD,
    REASONS_STALE,
    REASONS_UNBUDGETED,
    Attempt,
    Gathered,
    HedgeDue,
    RetryDue,
    ShardState,
    Timer,
    VersionReplaced,
)
from gooseberrymux.snapshots import Snapshot, Snapshots

# After all replicas of a shard were tried; doubles with each round.
RETRY_BACKOFF_MS = 10.0
# The rounds wait 150 ms in all. Waiting for a lost shard until the deadline would keep
# a request's place at the entry for seconds, and a few such queries would fill it.
RETRY_ROUNDS = 4
# A replica that turned a version away may only lag behind, or the newer version's
# document may still be on its way; both pass within this time or not soon.
VERSION_WAIT_MS = 500.0
VERSION_RETRY_LIMIT_MS = 160.0
# Kept to merge and send the answer: one that is ready only at the deadline is late for
# the caller.
ANSWER_MARGIN_MS = 20.0
ANSWER_MARGIN_SHARE = 0.1
# Shares of a query's time spent in one queue, and of its shards refused for load, above
# which its rank is taken for overloaded.
QUEUED_SHARE = 0.5
REFUSED_SHARE = 0.1
# How soon to look again for a hedge delay that was not known yet.
HEDGE_RECHECK_MS = 25.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryServices:
    """What every gathering of this instance works with."""

    calls: Calls
    inventory: Inventory
    routing: Routing
    snapshots: Snapshots
    budgets: Budgets
    latencies: Latencies
    admission: Admission
    clock: Clock
    cancel_losers: bool


class Gathering:
    """A query's sub-requests on one version, in the caller's thread."""

    __slots__ = (
        "_query",
        "_route",
        "_snapshot",
        "_services",
        "_inbox",
        "_shards",
        "_attempts",
        "_hits",
        "_missing",
        "_timers",
        "_timer_count",
        "_counts",
        "_stale_until_ms",
        "_refused_for_load",
        "_longest_queued_ms",
        "_allowed_ms",
        "_until_ms",
        "_overloaded",
        "may_have_run",
    )

    def __init__(
        self, *, query: Query, route: Route, snapshot: Snapshot, services: QueryServices
    ):
        self._query = query
        self._route = route
        self._snapshot = snapshot
        self._services = services
        self._inbox = Inbox(clock=services.clock)
        self._shards = {
            shard: ShardState(service=service)
            for shard, service in snapshot.shards.items()
        }
        self._attempts: dict[str, Attempt] = {}
        self._hits: dict[str, list] = {}
        self._missing: dict[str, str] = {}
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_count = 0
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._stale_until_ms: float | None = None
        self._refused_for_load: set[str] = set()
        self._longest_queued_ms = 0.0
        allowed_ms = query.deadline_ms - services.clock.now_ms()
        margin_ms = min(ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE * allowed_ms)
        self._allowed_ms = allowed_ms - margin_ms
        self._until_ms = query.deadline_ms - margin_ms
        self._overloaded = False
        self.may_have_run = False

    def run(self) -> Gathered | VersionReplaced:
        """Gathers until all shards are settled, the deadline, or a newer version."""
        try:
            return self._gather()
        finally:
            self._abandon(list(self._attempts))
            self._publish_counts()

    def _note_load(self) -> None:
        """Reports overload as soon as it shows, since queries may last for seconds.

        What counts is what the owners report and not the time it took: a frozen
        replica makes queries slow as well, and admitting fewer would not help.
        """
        if self._overloaded:
            return
        refused = len(self._refused_for_load) > REFUSED_SHARE * len(self._shards)
        if refused or self._longest_queued_ms > QUEUED_SHARE * self._allowed_ms:
            self._overloaded = True
            self._services.admission.adapt_limit(
                self._query.traffic.rank, overloaded=True
            )

    def _gather(self) -> Gathered | VersionReplaced:
        clock, until_ms = self._services.clock, self._until_ms
        for shard in self._shards:
            self._send(shard, "first")
        while self._count_open() and clock.now_ms() < until_ms:
            next_ms = self._timers[0][0] if self._timers else until_ms
            for outcome in self._inbox.take(min(next_ms, until_ms)):
                self._handle_outcome(outcome)
            if newer := self._find_newer():
                return VersionReplaced(newer=newer)
            self._run_timers()
        if not self._overloaded:
            self._services.admission.adapt_limit(
                self._query.traffic.rank, overloaded=False
            )
        for shard, state in self._shards.items():
            if shard not in self._hits and shard not in self._missing:
                self._missing[shard] = state.reason
        return Gathered(
            snapshot=self._snapshot,
            hits=self._hits,
            missing=tuple(
                MissingShard(shard=shard, reason=reason)
                for shard, reason in sorted(self._missing.items())
            ),
        )

    def _publish_counts(self) -> None:
        # Once for the whole query: a labelled counter costs as much as the choice of
        # a replica.
        for (cause, outcome), count in self._counts.items():
            labels = {"cause": cause, "outcome": outcome}
            metrics.subrequests_total.add(labels, count)

    def _count_open(self) -> int:
        return len(self._shards) - len(self._hits) - len(self._missing)

    def _find_newer(self) -> Snapshot | None:
        """Returns the version to restart on, once an upstream turned this one away."""
        if self._stale_until_ms is None:
            return None
        return self._services.snapshots.find_newer(self._snapshot)

    def _handle_outcome(self, outcome: SubrequestOutcome) -> None:
        attempt = self._attempts.pop(outcome.id, None)
        if attempt is None:
            metrics.dropped_total.inc({"reason": "outcome_not_waited_for"})
            return
        state = self._shards[attempt.shard]
        state.in_flight.remove(outcome.id)
        self._counts[(attempt.cause, type(outcome).__name__)] += 1
        if attempt.shard in self._hits:
            # Two replicas answered at the same time; the first one counts.
            return
        match outcome:
            case SubrequestCompleted(version=version, shard=shard, reply=reply):
                self.may_have_run = True
                self._longest_queued_ms = max(
                    self._longest_queued_ms, outcome.queued_ms
                )
                self._note_load()
                if version != self._snapshot.version or shard != attempt.shard:
                    metrics.dropped_total.inc({"reason": REASON_OTHER_SNAPSHOT})
                    self._fail(attempt, REASON_OTHER_SNAPSHOT)
                elif isinstance(hits := reply.get("hits"), list):
                    self._merge(attempt, hits)
                else:
                    metrics.dropped_total.inc({"reason": "reply_without_hits"})
                    self._fail(attempt, REASON_MALFORMED)
            case SubrequestNotRun(reason=reason):
                if reason in REASONS_LOAD:
                    self._refused_for_load.add(attempt.shard)
                    self._note_load()
                self._fail(attempt, reason)
            case SubrequestUnknown(reason=reason):
                self.may_have_run = True
                self._fail(attempt, reason)

    def _merge(self, attempt: Attempt, hits: list) -> None:
        self._hits[attempt.shard] = hits
        state = self._shards[attempt.shard]
        self._services.latencies.record(
            service_name=state.service,
            index=self._snapshot.index,
            rank=self._query.traffic.rank,
            duration_ms=self._services.clock.now_ms() - attempt.sent_ms,
        )
        # A loser's time is kept out of the latency sketch: it would raise the hedge
        # delay to a straggler's time and so switch the hedging off.
        self._abandon(list(state.in_flight), overtaken=True)

    def _fail(self, attempt: Attempt, reason: str) -> None:
        state = self._shards[attempt.shard]
        state.reason = reason
        if reason in REASONS_STALE and self._stale_until_ms is None:
            # Half of the time left is kept for a restart.
            now_ms = self._services.clock.now_ms()
            left_ms = self._until_ms - now_ms
            self._stale_until_ms = now_ms + min(VERSION_WAIT_MS, left_ms / 2)
        if state.in_flight or self._find_newer():
            # The other copy may still answer, or the whole query starts again.
            return
        if (
            reason not in REASONS_UNBUDGETED
            and not self._services.budgets.try_acquire_retry(self._query.traffic.rank)
        ):
            self._missing[attempt.shard] = reason
            return
        if not self._send(attempt.shard, "retry"):
            self._back_off(attempt.shard, state)

    def _back_off(self, shard: str, state: ShardState) -> None:
        """Plans another round over all replicas, or settles the shard as missing."""
        now_ms = self._services.clock.now_ms()
        backoff_ms = RETRY_BACKOFF_MS * 2**state.rounds
        if state.reason in REASONS_STALE:
            backoff_ms = min(VERSION_RETRY_LIMIT_MS, backoff_ms)
            worthwhile = now_ms + backoff_ms <= (self._stale_until_ms or 0.0)
        else:
            worthwhile = state.rounds < RETRY_ROUNDS
        if not worthwhile:
            self._missing[shard] = state.reason
            return
        state.rounds += 1
        state.tried.clear()
        self._set_timer(now_ms + backoff_ms, RetryDue(shard=shard))

    def _set_timer(self, due_ms: float, timer: Timer) -> None:
        self._timer_count += 1
        heapq.heappush(self._timers, (due_ms, self._timer_count, timer))

    def _run_timers(self) -> None:
        now_ms = self._services.clock.now_ms()
        while self._timers and self._timers[0][0] <= now_ms:
            match heapq.heappop(self._timers)[2]:
                case HedgeDue(shard=shard):
                    self._hedge(shard)
                case RetryDue(shard=shard):
                    if not self._send(shard, "retry"):
                        self._missing[shard] = self._shards[shard].reason

    def _hedge(self, shard: str) -> None:
        state = self._shards[shard]
        if shard in self._hits or shard in self._missing or state.hedged:
            return
        if len(state.in_flight) != 1:
            return
        sent_ms = self._attempts[state.in_flight[0]].sent_ms
        if not self._is_hedge_due(shard, state, sent_ms):
            return
        replicas = self._list_replicas(state)
        if all(replica.name in state.tried for replica in replicas):
            return
        if self._services.budgets.try_acquire_hedge(self._query.traffic.rank):
            state.hedged = True
            self._send(shard, "hedge")

    def _list_replicas(self, state: ShardState) -> tuple[UpstreamRecord, ...]:
        return self._services.inventory.list_replicas(
            groups=self._route.groups, service_name=state.service
        )

    def _send(self, shard: str, cause: str) -> bool:
        """Sends a shard's sub-request to the best replica that was not tried.

        A first attempt without any replica settles the shard as missing.
        """
        state = self._shards[shard]
        chosen = self._services.routing.choose(
            replicas=self._list_replicas(state),
            tried=state.tried,
            request_id=self._query.request_id,
            shard=shard,
            cause=cause,
            may_probe=cause == "first",
        )
        if chosen is None:
            if cause == "first":
                self._missing[shard] = REASON_NO_REPLICA
            return False
        state.tried.add(chosen.name)
        now_ms = self._services.clock.now_ms()
        subrequest = Subrequest(
            id=self._services.calls.create_id("s"),
            request_id=self._query.request_id,
            upstream=chosen.name,
            rank=self._query.traffic.rank,
            remaining_ms=self._until_ms - now_ms,
            index=self._snapshot.index,
            version=self._snapshot.version,
            shard=shard,
            body=self._query.terms,
        )
        self._attempts[subrequest.id] = Attempt(
            shard=shard, upstream=chosen.name, cause=cause, sent_ms=now_ms
        )
        state.in_flight.append(subrequest.id)
        if cause == "first":
            self._services.budgets.record_first_send(self._query.traffic.rank)
        if not state.hedged:
            self._is_hedge_due(shard, state, now_ms)
        self._services.calls.send(
            subrequest=subrequest, upstream=chosen, inbox=self._inbox
        )
        return True

    def _is_hedge_due(self, shard: str, state: ShardState, sent_ms: float) -> bool:
        """Returns whether an attempt has taken the hedge delay, else sets a timer."""
        now_ms = self._services.clock.now_ms()
        plan = self._services.latencies.plan_hedge(
            service_name=state.service,
            index=self._snapshot.index,
            rank=self._query.traffic.rank,
        )
        match plan:
            case HedgeAfter(delay_ms=delay_ms) if now_ms >= sent_ms + delay_ms:
                return True
            case HedgeAfter(delay_ms=delay_ms):
                self._set_timer(sent_ms + delay_ms, HedgeDue(shard=shard))
            case DelayUnknown():
                self._set_timer(now_ms + HEDGE_RECHECK_MS, HedgeDue(shard=shard))
            case NeverHedge():
                pass
        return False

    def _abandon(self, ids: list[str], *, overtaken: bool = False) -> None:
        for subrequest_id in ids:
            attempt = self._attempts.pop(subrequest_id)
            self._shards[attempt.shard].in_flight.remove(subrequest_id)
            self._counts[(attempt.cause, ABANDONED)] += 1
            # It was handed over and its outcome will not be known.
            self.may_have_run = True
            if self._services.cancel_losers:
                self._services.calls.cancel(subrequest_id, overtaken=overtaken)
            else:
                self._services.calls.forget(subrequest_id)
