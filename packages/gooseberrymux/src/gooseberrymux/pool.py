"""Queue, upstreams and extra sends of one service at its owner.

A request waits in the pool's rank queue until an upstream has a free slot. It does not
queue at an upstream, so that urgent requests go first and a paused upstream delays only
the requests that it already runs.
"""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import forward_exchange, journal, metrics
from gooseberrymux.budgets import SlidingWindowBudget
from gooseberrymux.capacity import ServiceCapacity
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.connections import Connection, Exchange
from gooseberrymux.forward_exchange import Declined, NotSent, Replied
from gooseberrymux.forward_messages import (
    AttemptRequest,
    PartNotRun,
    PartOutcome,
    PartReplied,
    PartUnknown,
)
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.pending_requests import (
    REASON_NO_REPLICA,
    AttemptCallback,
    KeptRequests,
    OutcomeCallback,
    PendingRequest,
    PoolExchange,
    prefer_on_time,
)
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.replica_set import ReplicaSet
from gooseberrymux.replicas import Replica
from gooseberrymux.reply_memory import ReplyMemory
from gooseberrymux.route_latencies import RouteLatencies
from gooseberrymux.schedule import RANKS, RankQueue, create_scheduling_policy
from gooseberrymux.spillover import Arrival
from gooseberrymux.timers import Timers

REASON_QUEUE_FULL = "queue_full"
REASON_DEADLINE = "deadline_unreachable"
REASON_BUDGET = "extra_sends_used_up"
REASON_LEAVING = "instance_leaving"
REASON_RATE_LIMITED = "rate_limited"
CAUSE_FIRST = "first"
CAUSE_HEDGE = "hedge"
CAUSE_RETRY = "retry"
# Part of the permitted share of extra sends that is used. The owner counts a send when
# it leaves and the upstream when it arrives, so one near the edge of a window may fall
# into another window there. The unused part allows for such sends.
EXTRA_SHARE_USED = 0.9
# While instances disagree about the membership, or ownership moves often, up to this
# many owners may send extras for one service in one window; each gets an equal part of
# the slack.
SLACK_OWNER_COUNT = 4
# Pause before a request that failed at every usable upstream is tried there again.
RETRY_ROUND_PAUSE_MS = 15.0
RETRY_ROUND_LIMIT = 3
# In median exchange times. A hedge is wasted if it is sent sooner than this after the
# first send, and too late to help with less than this left of the latency target.
HEDGE_MIN_MEDIANS = 1.5
HEDGE_RECHECK_MS = 5.0
# Retry delay for callers, where no queue length gives an estimate.
RETRY_AFTER_MS = 200.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolDependencies:
    """Services and helpers shared by all pools of this instance.

    Attributes:
        kernel: Gives access to settings and clock, and starts threads.
        inventory: Lists the upstreams.
        timers: Runs the hedges and retry rounds when they are due.
        latencies: Estimates the duration of exchanges for each route.
        reply_memory: Limits what unfinished replies hold together.
        get_connection_limit: Returns how many connections each upstream of a service
            accepts; None if not limited.
        get_cold_rate: Returns how many requests a second a cold upstream of a service
            accepts; 0 if not limited.
        report_leaving: Called with an upstream whose reply says that it leaves, unless
            that is known already; tells the other instances.
    """

    kernel: Kernel
    inventory: Inventory
    timers: Timers
    latencies: RouteLatencies
    reply_memory: ReplyMemory
    get_connection_limit: Callable[[str], int | None]
    get_cold_rate: Callable[[str], float]
    report_leaving: Callable[[UpstreamRecord], None]


class Pool:
    """The queue, the upstreams and the extra sends of one service.

    Thread-safe. Outcomes and other messages are delivered after the lock is released.
    """

    __slots__ = (
        "service",
        "_dependencies",
        "_clock",
        "_lock",
        "_replicas",
        "_queue",
        "_resend_queue",
        "_budget",
        "_capacity",
        "_limit_ends_ms",
        "_kept",
        "_keep_ends_ms",
        "_requests",
        "_outbox",
    )

    def __init__(self, *, service: str, dependencies: PoolDependencies):
        settings = dependencies.kernel.settings
        forwarding = settings.forwarding
        self.service = service
        self._dependencies = dependencies
        self._clock = dependencies.kernel.clock
        self._lock = threading.Lock()
        self._replicas = ReplicaSet(
            service=service,
            kernel=dependencies.kernel,
            inventory=dependencies.inventory,
            reply_memory=dependencies.reply_memory,
            get_connection_limit=dependencies.get_connection_limit,
            get_cold_rate=dependencies.get_cold_rate,
        )
        policy = create_scheduling_policy(settings)
        self._queue = RankQueue(
            policy=policy, limits=dict.fromkeys(RANKS, forwarding.queue_limit)
        )
        self._capacity = ServiceCapacity(replicas=self._replicas, policy=policy)
        # When the timer is due that dispatches what waits for a rate limit.
        self._limit_ends_ms = float("inf")
        self._kept = KeptRequests()
        # When the timer is due that dispatches what is no longer kept at home.
        self._keep_ends_ms = float("inf")
        # Requests to be sent again go before those in `_queue`, which were never sent.
        self._resend_queue: list[PendingRequest] = []
        self._budget = SlidingWindowBudget(
            share=forwarding.extra_share * EXTRA_SHARE_USED,
            slack=forwarding.extra_slack / SLACK_OWNER_COUNT,
            window_ms=forwarding.extra_window_s * MS_PER_S,
        )
        self._requests: dict[tuple[str, str], PendingRequest] = {}
        self._outbox: list[
            tuple[OutcomeCallback, PartOutcome] | tuple[AttemptCallback, AttemptRequest]
        ] = []

    @property
    def pending(self) -> int:
        """Number of requests without an outcome."""
        return len(self._requests)

    @property
    def spillover_share(self) -> float:
        """Share of the requests that may leave this failure domain."""
        return self._replicas.spillover.share

    def describe(self) -> dict:
        """Returns the state of the queue and the upstreams for the status."""
        with self._lock:
            return {
                "pending": self.pending,
                "queued": len(self._queue),
                "spillover_share": self.spillover_share,
                "upstreams": self._replicas.describe(self._clock.now_ms()),
            }

    def submit(self, request: PendingRequest) -> None:
        """Sends a request now, queues it until a slot is free, or refuses it."""
        call, now_ms = request.call, request.arrived_ms
        with self._lock:
            self._requests[request.requester, call.id] = request
            if not call.dispatched_before:
                self._budget.record_first_send(now_ms)
            self._replicas.refresh()
            self._capacity.record_arrival(request, now_ms)
            self._start_keeping(request, now_ms)
            has_waiting = self._resend_queue or len(self._queue)
            in_time = now_ms + request.latency.median_ms <= request.deadline_ms
            if self._capacity.is_exceeded_by(request, now_ms):
                self._fail_request(request, REASON_RATE_LIMITED)
            elif (
                in_time
                and not has_waiting
                and self._send_to_best(request, CAUSE_FIRST, now_ms)
            ):
                return
            elif reason := self._try_enqueue(request, now_ms):
                if not (in_time and self._send_anywhere(request, now_ms)):
                    self._fail_request(request, reason)
            else:
                self._dispatch(now_ms)
        self._deliver_outcomes()

    def expire(self, call_id: str, *, requester: str) -> None:
        """Fails a request whose deadline has passed and aborts its exchanges."""
        with self._lock:
            request = self._requests.get((requester, call_id))
            if request is not None:
                exchanges = list(request.active_exchanges)
                self._queue.remove(lambda queued: queued is request)
                self._fail_request(request, REASON_DEADLINE)
                for exchange in exchanges:
                    exchange.connection.abort(exchange)
        self._deliver_outcomes()

    def cancel(self, call_id: str, *, requester: str) -> None:
        """Drops a request whose outcome is no longer wanted.

        Only repeatable requests are aborted at an upstream; others run to their end.
        """
        with self._lock:
            request = self._requests.get((requester, call_id))
            if request is not None:
                self._close_request(request)
                self._queue.remove(lambda queued: queued is request)

    def add_attempt(self, call_id: str, *, requester: str) -> None:
        """Sends a request to another upstream, as the entry now allows."""
        with self._lock:
            request = self._requests.get((requester, call_id))
            if request is not None and request.is_attempt_requested:
                now_ms = self._clock.now_ms()
                request.add_attempt()
                if request.awaits_retry:
                    request.awaits_retry = False
                    self._schedule_retry(request, now_ms, counts_as_extra=True)
                    self._dispatch(now_ms)
                else:
                    self._try_hedge(request, now_ms)
        self._deliver_outcomes()

    def apply_evacuations(self) -> None:
        """Dispatches queued requests after the evacuated domains have changed.

        They are refused as not run if no upstream is left that may get them.
        """
        with self._lock:
            self._dispatch(self._clock.now_ms())
            if not self._replicas.has_eligible():
                waiting = [*self._resend_queue, *self._queue.remove(lambda _: True)]
                self._resend_queue = []
                for request in waiting:
                    if not request.settled:
                        self._fail_request(request, REASON_NO_REPLICA)
        self._deliver_outcomes()

    def reject_forwarded(self) -> None:
        """Fails the queued requests of other instances as not run at a planned stop."""
        with self._lock:
            for request in self._queue.remove(lambda queued: bool(queued.requester)):
                self._fail_request(request, REASON_LEAVING)
        self._deliver_outcomes()

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            self._replicas.close()

    def _deliver_outcomes(self) -> None:
        if not self._outbox:
            return
        with self._lock:
            outbox, self._outbox = self._outbox, []
        for deliver, message in outbox:
            deliver(message)

    def _try_enqueue(self, request: PendingRequest, now_ms: float) -> str | None:
        """Queues a request; returns the reason code of a refusal, or None if queued."""
        if not self._replicas.list_usable(now_ms):
            return REASON_NO_REPLICA
        wait_ms = self._estimate_wait_ms(request, now_ms)
        if now_ms + wait_ms + request.latency.median_ms > request.deadline_ms:
            return REASON_DEADLINE
        rank, flow = request.call.rank, request.call.workspace
        if (displaced := self._queue.make_room(rank, flow)) is not None:
            self._fail_request(displaced, REASON_QUEUE_FULL)
        if not self._queue.enqueue(rank, request, flow):
            return REASON_QUEUE_FULL
        if self._replicas.spillover.is_adaptive:
            self._kept.add(request)
        return None

    def _start_keeping(self, request: PendingRequest, now_ms: float) -> None:
        """Sets until when a new request may wait for this failure domain."""
        if not self._replicas.spillover.is_adaptive:
            return
        is_backlog = self._kept.get_first_end_ms() <= now_ms
        arrival = Arrival(
            waiting=len(self._queue) if is_backlog else 0,
            median_ms=request.latency.median_ms,
            p95_ms=request.latency.p95_ms,
            latest_ms=request.latest_end_ms,
            size_bytes=len(request.head) + len(request.call.body),
        )
        request.kept_until_ms = self._replicas.record_arrival(arrival, now_ms)

    def _estimate_wait_ms(self, request: PendingRequest, now_ms: float) -> float:
        prefer = prefer_on_time(now_ms) if request.can_be_on_time(now_ms) else None
        ahead = self._queue.estimate_dispatches_ahead(
            request.call.rank, prefer, request.call.workspace
        ) + len(self._resend_queue)
        return ahead * request.latency.median_ms / self._capacity.count_parallel(now_ms)

    def _dispatch(self, now_ms: float) -> None:
        """Sends waiting requests while upstreams are free; requires the lock."""
        self._replicas.refresh()
        self._resend_queue = [
            request
            for request in self._resend_queue
            if not request.settled and not self._try_resend(request, now_ms)
        ]
        while len(self._queue):
            replica = self._choose_upstream(None, now_ms)
            if replica is None:
                # No upstream is free, or the free ones are stalled or too slow to use.
                break
            # Requests that can still be on time go first within their workspace. Late
            # ones in front would make all behind them late while the backlog lasts.
            request = self._queue.dequeue(prefer_on_time(now_ms))
            if now_ms >= request.deadline_ms:
                self._fail_request(request, REASON_DEADLINE)
            else:
                # The choice for this request may also be a probe of a slow upstream.
                chosen = self._choose_upstream(request, now_ms) or replica
                self._send(request, chosen, CAUSE_FIRST, now_ms)
        if len(self._queue) or self._resend_queue:
            self._schedule_dispatch(now_ms)

    def _schedule_dispatch(self, now_ms: float) -> None:
        """Dispatches again when a rate limit or spillover allows a further send."""
        keep_ends_ms = self._kept.get_first_end_ms()
        if now_ms < keep_ends_ms < self._keep_ends_ms:
            self._keep_ends_ms = keep_ends_ms
            self._dependencies.timers.call_at(keep_ends_ms, self._handle_keep_end)
        wait_ms = self._replicas.get_limit_wait_ms(now_ms)
        if wait_ms is not None and now_ms + wait_ms < self._limit_ends_ms:
            self._limit_ends_ms = now_ms + wait_ms
            self._dependencies.timers.call_at(
                self._limit_ends_ms, self._handle_limit_end
            )

    def _handle_limit_end(self) -> None:
        with self._lock:
            self._limit_ends_ms = float("inf")
            self._dispatch(self._clock.now_ms())
        self._deliver_outcomes()

    def _handle_keep_end(self) -> None:
        with self._lock:
            self._keep_ends_ms = float("inf")
            self._dispatch(self._clock.now_ms())
        self._deliver_outcomes()

    def _try_resend(self, request: PendingRequest, now_ms: float) -> bool:
        """Sends or fails a request that waits to be sent again; False if it stays."""
        if now_ms >= request.deadline_ms:
            self._fail_request(request, REASON_DEADLINE)
            return True
        cause = CAUSE_RETRY if request.send_count else CAUSE_FIRST
        return self._send_to_best(request, cause, now_ms)

    def _send_to_best(self, request: PendingRequest, cause: str, now_ms: float) -> bool:
        replica = self._choose_upstream(request, now_ms)
        if replica is None:
            return False
        self._send(request, replica, cause, now_ms)
        return True

    def _send_anywhere(self, request: PendingRequest, now_ms: float) -> bool:
        """Sends a request that the queue refuses, if any domain has a free slot."""
        if not self._replicas.spillover.is_adaptive:
            return False
        request.kept_until_ms = now_ms
        return self._send_to_best(request, CAUSE_FIRST, now_ms)

    def _choose_upstream(
        self, request: PendingRequest | None, now_ms: float
    ) -> Replica | None:
        """Returns the best free upstream for a request, or for any if it is None."""
        wait_medians = 0.0
        if waiting := len(self._queue) + len(self._resend_queue):
            wait_medians = waiting / self._capacity.count_parallel(now_ms)
        return self._replicas.choose(
            tried=request.tried_upstreams if request else (),
            may_probe=request is not None and request.call.repeatable,
            now_ms=now_ms,
            wait_medians=wait_medians,
            is_kept=request.is_kept(now_ms)
            if request
            else now_ms < self._kept.get_first_end_ms(),
        )

    def _send(
        self, request: PendingRequest, replica: Replica, cause: str, now_ms: float
    ) -> None:
        latency = request.latency
        probing = replica.is_probe_due(now_ms, replica.get_slowness(now_ms))
        connection = self._replicas.acquire_connection(
            replica,
            request_id=request.call.request_id,
            finish=self._handle_result,
            remove_idle=self._remove_idle,
        )
        exchange = PoolExchange(
            call=request.call,
            head=request.head,
            deadline_ms=request.deadline_ms,
            sent_ms=now_ms,
            request=request,
            replica=replica,
            connection=connection,
            cause=cause,
        )
        request.active_exchanges.append(exchange)
        request.tried_upstreams.add(replica.record.name)
        request.send_count += 1
        request.attempts_left -= 1
        self._replicas.record_send(replica, cause, is_first=request.send_count == 1)
        if request.first_send_ms is None:
            request.first_send_ms = now_ms
        replica.start_exchange(exchange, latency, now_ms)
        connection.start_exchange(exchange)
        if cause != CAUSE_FIRST:
            self._record_extra_send(exchange)
        if request.call.repeatable and request.may_run_again:
            delay_ms = (
                latency.median_ms
                if probing
                else self._compute_hedge_delay_ms(request, now_ms)
            )
            self._dependencies.timers.call_at(
                now_ms + delay_ms, lambda: self._hedge(request)
            )

    def _record_extra_send(self, exchange: PoolExchange) -> None:
        request = exchange.request
        journal.record_decision(
            f"pool.{exchange.cause}",
            chosen=exchange.replica.record.name,
            among=self._replicas.names,
            reason=request.last_failure
            if exchange.cause == CAUSE_RETRY
            else "no reply yet",
            request_id=request.call.request_id,
            service=self.service,
            sends=request.send_count,
        )

    def _compute_hedge_delay_ms(self, request: PendingRequest, now_ms: float) -> float:
        """Returns the delay in milliseconds until a hedge is sent.

        The hedge goes out early enough to meet the latency target, if that is possible.
        """
        soonest_ms = HEDGE_MIN_MEDIANS * request.latency.median_ms
        delay_ms = request.latency.p95_ms
        if request.can_be_on_time(now_ms):
            useful_ms = request.useful_until_ms - now_ms
            delay_ms = min(delay_ms, useful_ms - soonest_ms)
        return max(soonest_ms, delay_ms)

    def _hedge(self, request: PendingRequest) -> None:
        with self._lock:
            self._try_hedge(request, self._clock.now_ms())
        self._deliver_outcomes()

    def _try_hedge(self, request: PendingRequest, now_ms: float) -> None:
        if (
            request.settled
            or len(request.active_exchanges) != 1
            or not request.may_run_again
            or now_ms + request.latency.median_ms > request.deadline_ms
        ):
            return
        # The upstream that it would go to may have become cold or warm since.
        self._replicas.refresh()
        replica = self._replicas.choose(
            tried=request.tried_upstreams, may_probe=False, now_ms=now_ms
        )
        if replica is None:
            if now_ms + HEDGE_RECHECK_MS < request.deadline_ms:
                self._dependencies.timers.call_at(
                    now_ms + HEDGE_RECHECK_MS, lambda: self._hedge(request)
                )
        elif not self._budget.has_extra(now_ms):
            metrics.sends_total.increment(CAUSE_HEDGE, REASON_BUDGET)
        elif request.attempts_left < 1:
            self._request_attempt(request)
        else:
            self._budget.try_acquire_extra(now_ms)
            self._send(request, replica, CAUSE_HEDGE, now_ms)

    def _request_attempt(self, request: PendingRequest) -> None:
        """Asks the entry for another attempt, unless it has been asked already."""
        if request.is_attempt_requested:
            return
        request.is_attempt_requested = True
        message = AttemptRequest(call=request.call.id, service=self.service)
        self._outbox.append((request.request_attempt, message))

    def _remove_idle(self, replica: Replica, connection: Connection) -> bool:
        with self._lock:
            return self._replicas.remove_idle(replica, connection)

    def _handle_result(
        self,
        connection: Connection,
        exchange: Exchange,
        result: forward_exchange.Result,
    ) -> None:
        """Handles the result of an exchange; runs in the thread of its connection."""
        assert isinstance(exchange, PoolExchange)
        self._report_leaving(exchange.replica.record, result)
        with self._lock:
            now_ms = self._clock.now_ms()
            exchange.request.active_exchanges.remove(exchange)
            exchange.replica.finish_exchange(exchange, result, now_ms)
            self._replicas.release_connection(exchange.replica, connection)
            metrics.sends_total.increment(exchange.cause, type(result).__name__)
            if not exchange.request.settled:
                self._apply_result(exchange, result, now_ms)
            self._dispatch(now_ms)
        self._deliver_outcomes()

    def _report_leaving(
        self, record: UpstreamRecord, result: forward_exchange.Result
    ) -> None:
        """Reports an upstream that says that it leaves; called without the lock."""
        match result:
            case Replied(signals=signals) | Declined(signals=signals):
                if (
                    signals is not None
                    and signals.is_leaving
                    and not self._dependencies.inventory.is_leaving(record)
                ):
                    self._dependencies.report_leaving(record)
            case _:
                pass

    def _apply_result(
        self, exchange: PoolExchange, result: forward_exchange.Result, now_ms: float
    ) -> None:
        request = exchange.request
        match result:
            case Replied(reply=reply, proof=proof, elapsed_ms=elapsed_ms):
                request.may_have_run = True
                part = PartReplied(
                    call=request.call.id,
                    service=self.service,
                    upstream=exchange.replica.record.name,
                    status=reply.status,
                    headers=reply.headers,
                    proof=proof,
                    body=reply.body,
                    sends=request.send_count,
                    queued_ms=(request.first_send_ms or now_ms) - request.arrived_ms,
                    upstream_ms=elapsed_ms,
                )
                self._replicas.spillover.record_size(
                    len(request.head) + len(request.call.body), len(reply.body)
                )
                if not reply.is_server_error:
                    self._dependencies.latencies.record(
                        route=request.call.route, duration_ms=elapsed_ms
                    )
                    self._settle_request(request, part)
                    return
                request.error_reply = part
                request.last_failure = f"status_{reply.status}"
            case Declined(reason=reason) | NotSent(reason=reason):
                request.attempts_left += 1
                request.last_failure = reason
            case forward_exchange.Broken(reason=reason):
                request.may_have_run = True
                request.last_failure = reason
        self._schedule_retry(
            request, now_ms, counts_as_extra=not isinstance(result, NotSent)
        )

    def _schedule_retry(
        self, request: PendingRequest, now_ms: float, *, counts_as_extra: bool
    ) -> None:
        """Schedules another send after a failed one, or settles the request."""
        if request.active_exchanges:
            # The other exchange of the request may still succeed.
            return
        if request.may_have_run and not request.call.repeatable:
            self._fail_request(request, request.last_failure)
        elif not request.may_run_again:
            self._fail_request(request, request.last_failure)
        elif request.attempts_left < 1:
            request.awaits_retry = True
            self._request_attempt(request)
        elif counts_as_extra and not self._budget.try_acquire_extra(now_ms):
            self._fail_request(request, REASON_BUDGET)
        elif self._replicas.list_usable(now_ms, request.tried_upstreams):
            self._resend_queue.append(request)
        elif request.retry_rounds < RETRY_ROUND_LIMIT and now_ms < request.deadline_ms:
            request.retry_rounds += 1
            request.tried_upstreams.clear()
            self._dependencies.timers.call_at(
                now_ms + RETRY_ROUND_PAUSE_MS, lambda: self._start_retry_round(request)
            )
        else:
            self._fail_request(request, request.last_failure)

    def _start_retry_round(self, request: PendingRequest) -> None:
        with self._lock:
            if not request.settled:
                now_ms = self._clock.now_ms()
                if self._replicas.list_usable(now_ms):
                    self._resend_queue.append(request)
                    self._dispatch(now_ms)
                else:
                    self._fail_request(request, request.last_failure)
        self._deliver_outcomes()

    def _fail_request(self, request: PendingRequest, reason: str) -> None:
        """Settles a request without a successful reply."""
        if request.error_reply is not None:
            self._settle_request(request, request.error_reply)
        elif request.may_have_run or request.active_exchanges:
            # An upstream may still run the request in an exchange that is in flight.
            self._settle_request(
                request,
                PartUnknown(
                    call=request.call.id,
                    service=self.service,
                    reason=reason,
                    step="pool.send",
                    peer=",".join(sorted(request.tried_upstreams)),
                ),
            )
        else:
            self._record_refusal(request, reason)
            self._settle_request(
                request,
                PartNotRun(
                    call=request.call.id,
                    service=self.service,
                    reason=reason,
                    step="pool.submit",
                    peer=self.service,
                    retry_after_ms=self._compute_retry_after_ms(reason),
                ),
            )

    def _compute_retry_after_ms(self, reason: str) -> float:
        """Returns after how many milliseconds a refused request may succeed."""
        if reason == REASON_NO_REPLICA:
            pause_ms = self._replicas.get_pause_ms(self._clock.now_ms())
            return max(RETRY_AFTER_MS, pause_ms)
        return RETRY_AFTER_MS

    def _record_refusal(self, request: PendingRequest, reason: str) -> None:
        now_ms = self._clock.now_ms()
        journal.record_event(
            "pool.refused",
            request_id=request.call.request_id,
            service=self.service,
            reason=reason,
            waited_ms=round(now_ms - request.arrived_ms, 1),
            remaining_ms=round(request.deadline_ms - now_ms, 1),
            queued=len(self._queue),
            usual_ms=round(request.latency.median_ms, 1),
            upstreams=self._replicas.describe(now_ms),
        )

    def _settle_request(self, request: PendingRequest, outcome: PartOutcome) -> None:
        self._close_request(request)
        self._outbox.append((request.on_outcome, outcome))

    def _close_request(self, request: PendingRequest) -> None:
        request.settled = True
        self._requests.pop((request.requester, request.call.id), None)
        if request.call.repeatable:
            for exchange in request.active_exchanges:
                exchange.connection.abort(exchange)
