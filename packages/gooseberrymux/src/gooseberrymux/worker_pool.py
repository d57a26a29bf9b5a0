"""Worker pool of one upstream at its owner.

A pool has one bounded queue for each rank and one thread for each connection.
"""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import journal, metrics
from gooseberrymux.canceller import Canceller
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.departures import SOURCE_UPSTREAM, Departures
from gooseberrymux.exchange import (
    REASON_DEADLINE,
    SubrequestConnection,
    create_subrequest_connection,
)
from gooseberrymux.inventory import REASON_UPSTREAM_LEAVING, Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.records import Rank, UpstreamRecord
from gooseberrymux.schedule import RANKS, RankQueue, create_scheduling_policy
from gooseberrymux.send_limits import SendLimits

REASON_QUEUE_FULL = "queue_full"
REASON_CANCELLED = "cancelled"
REASON_LEAVING = "instance_leaving"
# Reason that a draining upstream gives in its reply when it refuses a request.
REASON_DRAINING = "draining"
REASON_UNKNOWN_UPSTREAM = "unknown_upstream"
REASON_INTERNAL = "internal_error"

# A pool that had no work for this long closes its connections. Otherwise instances that
# no longer own an upstream would use up its connection limit.
POOL_IDLE_TIMEOUT_MS = 30_000
# Weight of the newest sample in the moving average of a pool's service times.
SERVICE_TIME_EWMA_WEIGHT = 0.2
# An older service time estimate is ignored. Work that is refused early yields no new
# sample, so a wrong estimate could otherwise cause refusals for ever.
MAX_ESTIMATE_AGE_MS = 2_000

OutcomeCallback = Callable[[SubrequestOutcome], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EarlyRefusal:
    """Refuses work on arrival if it is estimated to miss its deadline."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LateRefusal:
    """Refuses work only after its deadline has passed."""


RefusalPolicy = EarlyRefusal | LateRefusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The item was added to the queue of its rank."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The item was not queued.

    Attributes:
        reason: One of the `REASON_` constants.
        queue_wait_ms: Estimated queueing time of a new item of that rank.
    """

    reason: str
    queue_wait_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolClosed:
    """The pool is closed; the item has to go to a new pool."""


EnqueueResult = Queued | Refused | PoolClosed

# Shared instances of the results that have no fields.
QUEUED = Queued()
POOL_CLOSED = PoolClosed()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedItem:
    """A sub-request with the callback for its outcome.

    Attributes:
        subrequest: Sub-request to run.
        on_outcome: Called once with the outcome, from any thread.
        requester: Name of the instance that sent the sub-request and may cancel it;
            empty if it comes from this instance.
        enqueued_ms: Clock time at which the sub-request was submitted.
        deadline_ms: Clock time from which the sub-request is no longer run.
    """

    subrequest: Subrequest
    on_outcome: OutcomeCallback
    requester: str
    enqueued_ms: float
    deadline_ms: float


class UpstreamWorkerPool:
    """Rank queue and worker threads of one upstream.

    The log events and the status of `Dispatch` call a worker pool a lane.

    A pool closes itself when it is idle and is then replaced by a new one.
    `on_closed` is called by each worker that ends while the pool is closed and has no
    pending items, thus possibly more than once.
    """

    __slots__ = (
        "record",
        "_kernel",
        "_departures",
        "_inventory",
        "_queue",
        "_refusal_policy",
        "_lock",
        "_changed",
        "_closed",
        "_worker_count",
        "_running",
        "_unanswered_count",
        "_service_time_ms",
        "_service_time_updated_ms",
        "_last_used_ms",
        "_limits",
        "_canceller",
        "_on_closed",
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        record: UpstreamRecord,
        departures: Departures,
        inventory: Inventory,
        on_closed: Callable[["UpstreamWorkerPool"], None],
    ):
        settings = kernel.settings
        self.record = record
        self._kernel = kernel
        self._departures = departures
        self._inventory = inventory
        self._on_closed = on_closed
        self._refusal_policy: RefusalPolicy = (
            EarlyRefusal() if settings.policy.early_refusal else LateRefusal()
        )
        limits = {
            rank: getattr(settings.ranks, rank.value).queue_limit for rank in RANKS
        }
        self._queue = RankQueue(
            policy=create_scheduling_policy(settings), limits=limits
        )
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._closed = False
        self._worker_count = 0
        self._running: dict[str, QueuedItem] = {}
        self._unanswered_count = 0
        self._service_time_ms = 0.0
        self._service_time_updated_ms = float("-inf")
        self._last_used_ms = kernel.clock.now_ms()
        self._limits = SendLimits()
        self._canceller = Canceller(
            kernel=kernel,
            get_record=lambda: self.record,
            is_running=lambda subrequest_id: subrequest_id in self._running,
            check_send=self._find_cancel_obstacle,
        )

    def start(self) -> None:
        """Starts the missing worker threads, one for each allowed connection."""
        with self._lock:
            first_index, self._worker_count = (
                self._worker_count,
                max(self._worker_count, self._connection_limit),
            )
            worker_indexes = range(first_index, self._worker_count)
        for worker_index in worker_indexes:
            self._kernel.spawn(
                name=f"dispatch.{self.record.name}.{worker_index}",
                target=lambda worker_index=worker_index: self._run_worker(worker_index),
            )

    def update_record(self, record: UpstreamRecord) -> None:
        """Replaces the upstream's record.

        Each worker applies the new record before it runs its next item, and reconnects
        if the address or the epoch changed.
        """
        with self._lock:
            if record.epoch != self.record.epoch:
                self._limits = SendLimits()
            self.record = record
        self.start()

    def enqueue(self, item: QueuedItem) -> EnqueueResult:
        """Adds an item to the queue of its rank and wakes a worker.

        Returns:
            `Refused` if the rank's queue is full or the deadline can't be met,
            `PoolClosed` if the pool has been closed.
        """
        rank = item.subrequest.rank
        with self._lock:
            if self._closed:
                return POOL_CLOSED
            now_ms = self._kernel.clock.now_ms()
            wait_ms = self._estimate_wait_ms(rank, now_ms)
            if self._is_unreachable(item, wait_ms, now_ms):
                return Refused(reason=REASON_DEADLINE, queue_wait_ms=wait_ms)
            if not self._queue.enqueue(rank, item):
                return Refused(reason=REASON_QUEUE_FULL, queue_wait_ms=wait_ms)
            self._last_used_ms = now_ms
            self._changed.notify()
            return QUEUED

    def cancel(self, *, subrequest_id: str, requester: str) -> list[QueuedItem]:
        """Removes a queued item, or asks the upstream to cancel a running query.

        Does nothing if `requester` is not the instance that sent the sub-request.

        Returns:
            The removed items; the caller has to report their outcomes.
        """
        with self._lock:
            running = self._running.get(subrequest_id)
            if running is not None:
                # A running order is never cancelled: a known outcome is worth more
                # than a free slot.
                if running.requester == requester and not running.subrequest.order_key:
                    self._canceller.enqueue(subrequest_id)
                return []
            return self._queue.remove(
                lambda item: (
                    item.subrequest.id == subrequest_id and item.requester == requester
                )
            )

    def remove_expired(self) -> list[QueuedItem]:
        """Removes and returns queued items past their deadline, to make room."""
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            return self._queue.remove(lambda item: item.deadline_ms <= now_ms)

    def remove_queued(self, *, remote_only: bool) -> list[QueuedItem]:
        """Removes and returns queued items.

        Args:
            remote_only: Whether to keep the items that this instance itself requested.
        """
        with self._lock:
            return self._queue.remove(
                lambda item: bool(item.requester) or not remote_only
            )

    def close(self) -> list[QueuedItem]:
        """Removes and returns the queued items and ends the workers.

        Each worker ends after the exchange that it is running.
        """
        with self._lock:
            self._closed = True
            self._changed.notify_all()
            items = self._queue.remove(lambda item: True)
        self._canceller.close()
        return items

    @property
    def pending(self) -> int:
        """Number of items that are queued or running or in their outcome callback."""
        with self._lock:
            return len(self._queue) + self._unanswered_count

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued items of each rank."""
        with self._lock:
            return self._queue.count_by_rank()

    @property
    def _connection_limit(self) -> int:
        return max(1, min(self.record.slots, self.record.connections))

    def _find_cancel_obstacle(self, record: UpstreamRecord) -> str | None:
        """Returns the reason code for sending an upstream no cancel, or None.

        A cancel frees a slot of an upstream that is leaving, so that one still gets it.
        """
        reason = self._inventory.find_obstacle(record)
        return None if reason == REASON_UPSTREAM_LEAVING else reason

    def _run_worker(self, worker_index: int) -> None:
        connection = self._create_connection()
        while (item := self._dequeue(worker_index)) is not None:
            if connection.record is not self.record:
                connection = self._update_connection(connection)
            outcome = self._run_item(connection, item)
            item.on_outcome(self._finish_item(item, outcome))
            with self._lock:
                # Decremented after the callback, so that a drain that waits for
                # `pending` to reach 0 does not end before the outcome is sent.
                self._unanswered_count -= 1
            if self._kernel.is_draining:
                self._kernel.wake()
        connection.close()
        if self._closed and not self.pending:
            self._canceller.close()
            self._on_closed(self)

    def _update_connection(
        self, connection: SubrequestConnection
    ) -> SubrequestConnection:
        """Returns a connection for the pool's record, which has changed.

        The given connection is kept if the address and the epoch are unchanged, and
        closed otherwise.
        """
        old, record = connection.record, self.record
        if (old.host, old.port, old.epoch) == (record.host, record.port, record.epoch):
            connection.record = record
            return connection
        connection.close()
        return self._create_connection()

    def _create_connection(self) -> SubrequestConnection:
        return create_subrequest_connection(
            record=self.record,
            kernel=self._kernel,
            check_send=self._inventory.find_obstacle,
        )

    def _dequeue(self, worker_index: int) -> QueuedItem | None:
        with self._lock:
            while True:
                if self._closed:
                    return None
                if worker_index >= self._connection_limit:
                    # The new record allows fewer connections, so this worker ends.
                    self._worker_count = min(self._worker_count, worker_index)
                    return None
                now_ms = self._kernel.clock.now_ms()
                wait_ms = self._limits.get_wait_ms(now_ms)
                if wait_ms > 0.0 and len(self._queue):
                    self._kernel.clock.wait(self._changed, wait_ms)
                    continue
                item = self._queue.dequeue()
                if item is not None:
                    if now_ms < item.deadline_ms:
                        self._limits.record_send(now_ms)
                    self._running[item.subrequest.id] = item
                    self._unanswered_count += 1
                    return item
                if not self._kernel.clock.wait(self._changed, POOL_IDLE_TIMEOUT_MS):
                    self._close_if_idle()

    def _close_if_idle(self) -> None:
        idle_ms = self._kernel.clock.now_ms() - self._last_used_ms
        if (
            idle_ms >= POOL_IDLE_TIMEOUT_MS
            and not self._running
            and not len(self._queue)
        ):
            self._closed = True
            self._changed.notify_all()
            journal.record_event("dispatch.lane_closed", upstream=self.record.name)

    def _run_item(
        self, connection: SubrequestConnection, item: QueuedItem
    ) -> SubrequestOutcome:
        if self._kernel.clock.now_ms() >= item.deadline_ms:
            return create_not_run(item.subrequest, REASON_DEADLINE, self.record.name)
        record = connection.record
        if reason := self._inventory.find_obstacle(record):
            return create_not_run(item.subrequest, reason, record.name)
        try:
            outcome = connection.run(item.subrequest, item.deadline_ms)
            self._apply_signals(connection, outcome)
            return outcome
        except Exception as error:
            # An unexpected error in one exchange must not end the worker thread.
            connection.close()
            journal.record_fault(
                step="dispatch.run", peer=self.record.name, error=error
            )
            metrics.faults_total.inc({"step": "dispatch.run"})
            return SubrequestUnknown(
                id=item.subrequest.id,
                reason=REASON_INTERNAL,
                step="dispatch.run",
                peer=self.record.name,
            )

    def _apply_signals(
        self, connection: SubrequestConnection, outcome: SubrequestOutcome
    ) -> None:
        """Applies what the upstream said about its load and state in its reply."""
        record, signals = connection.record, connection.signals
        if signals is None:
            return
        is_refused_as_draining = (
            isinstance(outcome, SubrequestNotRun) and outcome.reason == REASON_DRAINING
        )
        if signals.is_leaving or is_refused_as_draining:
            self._departures.report_leaving(
                upstream=record.name, epoch=record.epoch, source=SOURCE_UPSTREAM
            )
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            self._limits.apply(signals, record=record, now_ms=now_ms)

    def _finish_item(
        self, item: QueuedItem, outcome: SubrequestOutcome
    ) -> SubrequestOutcome:
        with self._lock:
            del self._running[item.subrequest.id]
            now_ms = self._last_used_ms = self._kernel.clock.now_ms()
            if isinstance(outcome, SubrequestCompleted):
                self._update_service_time(outcome.upstream_ms, now_ms)
            wait_ms = self._estimate_wait_ms(item.subrequest.rank, now_ms)
        match outcome:
            case SubrequestCompleted(upstream_ms=upstream_ms):
                # The clock may step between its readings; a queueing time is never
                # negative.
                queued_ms = max(0.0, now_ms - item.enqueued_ms - upstream_ms)
                return dataclasses.replace(
                    outcome, queued_ms=queued_ms, queue_wait_ms=wait_ms
                )
            case _:
                return dataclasses.replace(outcome, queue_wait_ms=wait_ms)

    def _update_service_time(self, service_time_ms: float, now_ms: float) -> None:
        if now_ms - self._service_time_updated_ms > MAX_ESTIMATE_AGE_MS:
            self._service_time_ms = service_time_ms
        else:
            self._service_time_ms += SERVICE_TIME_EWMA_WEIGHT * (
                service_time_ms - self._service_time_ms
            )
        self._service_time_updated_ms = now_ms

    def _estimate_wait_ms(self, rank: Rank, now_ms: float) -> float:
        """Estimates how long a new item of `rank` would wait to be sent."""
        send_wait_ms = self._limits.get_wait_ms(now_ms)
        if limit := self._limits.rate_limit:
            ahead = self._queue.estimate_dispatches_ahead(rank)
            return send_wait_ms + ahead * MS_PER_S / limit.allowed_per_s
        if send_wait_ms > 0.0:
            return send_wait_ms
        if len(self._running) < self._connection_limit and not len(self._queue):
            return 0.0
        if now_ms - self._service_time_updated_ms > MAX_ESTIMATE_AGE_MS:
            return 0.0
        ahead = self._queue.estimate_dispatches_ahead(rank)
        # A running exchange is on average half finished.
        return self._service_time_ms * (ahead / self._connection_limit + 0.5)

    def _is_unreachable(self, item: QueuedItem, wait_ms: float, now_ms: float) -> bool:
        if item.deadline_ms <= now_ms:
            return True
        match self._refusal_policy:
            case EarlyRefusal():
                # A pool with a free connection has an estimated wait of 0 and accepts
                # every item, which yields a new sample of the service time.
                return (
                    wait_ms > 0
                    and now_ms + wait_ms + self._service_time_ms > item.deadline_ms
                )
            case LateRefusal():
                return False


def create_not_run(
    subrequest: Subrequest, reason: str, peer: str, queue_wait_ms: float = 0.0
) -> SubrequestNotRun:
    """Returns the outcome of a sub-request that was not sent to its upstream."""
    return SubrequestNotRun(
        id=subrequest.id,
        reason=reason,
        step="dispatch.submit",
        peer=peer,
        queue_wait_ms=queue_wait_ms,
    )
