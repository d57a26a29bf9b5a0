"""Scatter-gather of one query over the shards of one index version.

Sends a sub-request for each shard, hedges slow ones, retries failed ones on other
replicas and collects the hits.
"""

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
    OUTCOME_ABANDONED,
    REASON_NO_REPLICA,
    REASON_OTHER_SNAPSHOT,
    REASONS_OVERLOAD,
    REASONS_RETRY_BUDGET_EXEMPT,
    REASONS_STALE_VERSION,
    Attempt,
    GatherResult,
    HedgeDue,
    RetryDue,
    ShardState,
    Timer,
    VersionReplaced,
)
from gooseberrymux.snapshots import Snapshot, Snapshots

# Delay before the first retry round, which starts once all replicas of a shard were
# tried; doubles with each further round.
RETRY_BACKOFF_BASE_MS = 10.0
# The backoff of all rounds together is 150 ms. Retrying an unreachable shard until the
# deadline would hold an admission slot for seconds, and a few such queries would use up
# the admission limit.
RETRY_ROUNDS = 4
# How long a query keeps retrying after an upstream rejected its version. The replica
# may only lag behind, or the document of the newer version may not have arrived yet;
# what isn't over within this time won't be over soon.
VERSION_WAIT_MS = 500.0
VERSION_BACKOFF_LIMIT_MS = 160.0
# Time reserved to merge and send the answer, the smaller of a fixed time and a share of
# the time left: an answer that is ready only at the deadline reaches the caller late.
ANSWER_MARGIN_MS = 20.0
ANSWER_MARGIN_SHARE = 0.1
# A query reports overload of its rank if a sub-request was queued for more than this
# share of the query's time, or if more than this share of its shards was refused
# because of load.
QUEUED_SHARE_LIMIT = 0.5
REFUSED_SHARE_LIMIT = 0.1
# Interval between two checks for a hedge delay that is not known yet.
HEDGE_RECHECK_MS = 25.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryServices:
    """Services and shared state that all queries of this instance use."""

    calls: Calls
    inventory: Inventory
    routing: Routing
    snapshots: Snapshots
    budgets: Budgets
    latencies: Latencies
    admission: Admission
    clock: Clock
    cancel_losers: bool


class ScatterGather:
    """One query's sub-requests on one index version.

    All methods run in the thread that handles the caller's request.

    Attributes:
        may_have_run: Whether an upstream may have run any of the sub-requests.
    """

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
        "_timer_sequence",
        "_outcome_counts",
        "_version_wait_until_ms",
        "_refused_for_load",
        "_longest_queued_ms",
        "_time_budget_ms",
        "_gather_until_ms",
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
        self._timer_sequence = 0
        self._outcome_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._version_wait_until_ms: float | None = None
        self._refused_for_load: set[str] = set()
        self._longest_queued_ms = 0.0
        allowed_ms = query.deadline_ms - services.clock.now_ms()
        margin_ms = min(ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE * allowed_ms)
        self._time_budget_ms = allowed_ms - margin_ms
        self._gather_until_ms = query.deadline_ms - margin_ms
        self._overloaded = False
        self.may_have_run = False

    def run(self) -> GatherResult | VersionReplaced:
        """Returns when every shard is settled, at the deadline or on a newer version.

        A shard is settled once it has hits or counts as missing. Sub-requests that are
        still in flight are abandoned.
        """
        try:
            return self._gather()
        finally:
            self._abandon(list(self._attempts))
            self._publish_outcome_counts()

    def _report_overload(self) -> None:
        """Reports overload to admission as soon as it shows, at most once.

        Waiting for the end of the query could delay the report by seconds. The queue
        times and refusals that the owners report decide, not the query's duration: a
        frozen replica makes queries slow as well, and admitting fewer queries would
        not help against that.
        """
        if self._overloaded:
            return
        refused = len(self._refused_for_load) > REFUSED_SHARE_LIMIT * len(self._shards)
        if (
            refused
            or self._longest_queued_ms > QUEUED_SHARE_LIMIT * self._time_budget_ms
        ):
            self._overloaded = True
            self._services.admission.adapt_limit(
                self._query.traffic.rank, overloaded=True
            )

    def _gather(self) -> GatherResult | VersionReplaced:
        clock, gather_until_ms = self._services.clock, self._gather_until_ms
        for shard in self._shards:
            self._send(shard, "first")
        while self._count_unsettled() and clock.now_ms() < gather_until_ms:
            next_ms = self._timers[0][0] if self._timers else gather_until_ms
            for outcome in self._inbox.dequeue_all(min(next_ms, gather_until_ms)):
                self._handle_outcome(outcome)
            if newer := self._find_replacement():
                return VersionReplaced(newer=newer)
            self._run_timers()
        if not self._overloaded:
            self._services.admission.adapt_limit(
                self._query.traffic.rank, overloaded=False
            )
        for shard, state in self._shards.items():
            if shard not in self._hits and shard not in self._missing:
                self._missing[shard] = state.reason
        return GatherResult(
            snapshot=self._snapshot,
            hits=self._hits,
            missing=tuple(
                MissingShard(shard=shard, reason=reason)
                for shard, reason in sorted(self._missing.items())
            ),
        )

    def _publish_outcome_counts(self) -> None:
        # One metrics update per query: updating a labelled counter costs as much as
        # choosing a replica.
        for (cause, outcome), count in self._outcome_counts.items():
            labels = {"cause": cause, "outcome": outcome}
            metrics.subrequests_total.add(labels, count)

    def _count_unsettled(self) -> int:
        return len(self._shards) - len(self._hits) - len(self._missing)

    def _find_replacement(self) -> Snapshot | None:
        """Returns the newer version to restart on, if an upstream rejected this one."""
        if self._version_wait_until_ms is None:
            return None
        return self._services.snapshots.find_newer(self._snapshot)

    def _handle_outcome(self, outcome: SubrequestOutcome) -> None:
        attempt = self._attempts.pop(outcome.id, None)
        if attempt is None:
            metrics.dropped_total.inc({"reason": "outcome_not_waited_for"})
            return
        state = self._shards[attempt.shard]
        state.in_flight.remove(outcome.id)
        self._outcome_counts[(attempt.cause, type(outcome).__name__)] += 1
        if attempt.shard in self._hits:
            # Two replicas answered at the same time; the first reply is used.
            return
        match outcome:
            case SubrequestCompleted(version=version, shard=shard, reply=reply):
                self.may_have_run = True
                self._longest_queued_ms = max(
                    self._longest_queued_ms, outcome.queued_ms
                )
                self._report_overload()
                if version != self._snapshot.version or shard != attempt.shard:
                    metrics.dropped_total.inc({"reason": REASON_OTHER_SNAPSHOT})
                    self._fail(attempt, REASON_OTHER_SNAPSHOT)
                elif isinstance(hits := reply.get("hits"), list):
                    self._record_hits(attempt, hits)
                else:
                    metrics.dropped_total.inc({"reason": "reply_without_hits"})
                    self._fail(attempt, REASON_MALFORMED)
            case SubrequestNotRun(reason=reason):
                if reason in REASONS_OVERLOAD:
                    self._refused_for_load.add(attempt.shard)
                    self._report_overload()
                self._fail(attempt, reason)
            case SubrequestUnknown(reason=reason):
                self.may_have_run = True
                self._fail(attempt, reason)

    def _record_hits(self, attempt: Attempt, hits: list) -> None:
        self._hits[attempt.shard] = hits
        state = self._shards[attempt.shard]
        self._services.latencies.record(
            service_name=state.service,
            index=self._snapshot.index,
            rank=self._query.traffic.rank,
            duration_ms=self._services.clock.now_ms() - attempt.sent_ms,
        )
        # The time of the overtaken attempt is not recorded in the latency sketch: it
        # would raise the hedge delay to a straggler's time and so disable hedging.
        self._abandon(list(state.in_flight), overtaken=True)

    def _fail(self, attempt: Attempt, reason: str) -> None:
        state = self._shards[attempt.shard]
        state.reason = reason
        if reason in REASONS_STALE_VERSION and self._version_wait_until_ms is None:
            # Retries may use half of the time left; the rest is for a restart.
            now_ms = self._services.clock.now_ms()
            left_ms = self._gather_until_ms - now_ms
            self._version_wait_until_ms = now_ms + min(VERSION_WAIT_MS, left_ms / 2)
        if state.in_flight or self._find_replacement():
            # The shard's other attempt may still answer, or the query restarts on the
            # newer version.
            return
        if (
            reason not in REASONS_RETRY_BUDGET_EXEMPT
            and not self._services.budgets.try_acquire_retry(self._query.traffic.rank)
        ):
            self._missing[attempt.shard] = reason
            return
        if not self._send(attempt.shard, "retry"):
            self._schedule_retry_round(attempt.shard, state)

    def _schedule_retry_round(self, shard: str, state: ShardState) -> None:
        """Schedules a round over all replicas, or settles the shard as missing."""
        now_ms = self._services.clock.now_ms()
        backoff_ms = RETRY_BACKOFF_BASE_MS * 2**state.retry_rounds
        if state.reason in REASONS_STALE_VERSION:
            backoff_ms = min(VERSION_BACKOFF_LIMIT_MS, backoff_ms)
            worthwhile = now_ms + backoff_ms <= (self._version_wait_until_ms or 0.0)
        else:
            worthwhile = state.retry_rounds < RETRY_ROUNDS
        if not worthwhile:
            self._missing[shard] = state.reason
            return
        state.retry_rounds += 1
        state.tried.clear()
        self._set_timer(now_ms + backoff_ms, RetryDue(shard=shard))

    def _set_timer(self, due_ms: float, timer: Timer) -> None:
        self._timer_sequence += 1
        heapq.heappush(self._timers, (due_ms, self._timer_sequence, timer))

    def _run_timers(self) -> None:
        now_ms = self._services.clock.now_ms()
        while self._timers and self._timers[0][0] <= now_ms:
            match heapq.heappop(self._timers)[2]:
                case HedgeDue(shard=shard):
                    self._send_hedge(shard)
                case RetryDue(shard=shard):
                    if not self._send(shard, "retry"):
                        self._missing[shard] = self._shards[shard].reason

    def _send_hedge(self, shard: str) -> None:
        state = self._shards[shard]
        if shard in self._hits or shard in self._missing or state.hedged:
            return
        if len(state.in_flight) != 1:
            return
        sent_ms = self._attempts[state.in_flight[0]].sent_ms
        if not self._check_hedge_delay(shard, state, sent_ms):
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
        """Sends a shard's sub-request to the best replica that was not tried yet.

        If no replica is available for the first attempt, the shard is settled as
        missing.

        Args:
            shard: The shard.
            cause: "first", "retry" or "hedge"; also a label of the metrics.

        Returns:
            False if no replica is left to try.
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
            remaining_ms=self._gather_until_ms - now_ms,
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
            self._check_hedge_delay(shard, state, now_ms)
        self._services.calls.send(
            subrequest=subrequest, upstream=chosen, inbox=self._inbox
        )
        return True

    def _check_hedge_delay(self, shard: str, state: ShardState, sent_ms: float) -> bool:
        """Returns whether the hedge delay has passed since `sent_ms`.

        If it hasn't, sets a timer for when it has, or for the next check while the
        delay is unknown. Sets no timer if the policy never hedges.
        """
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
            self._outcome_counts[(attempt.cause, OUTCOME_ABANDONED)] += 1
            # The sub-request was sent and its outcome will not be known.
            self.may_have_run = True
            if self._services.cancel_losers:
                self._services.calls.cancel(subrequest_id, overtaken=overtaken)
            else:
                self._services.calls.forget(subrequest_id)
