"""One upstream at its owner: the rank queue and a thread for each connection."""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import journal, metrics
from gooseberrymux.canceller import Canceller
from gooseberrymux.departures import SOURCE_UPSTREAM, Departures
from gooseberrymux.exchange import REASON_DEADLINE, SubrequestConnection
from gooseberrymux.kernel import Kernel
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.records import Rank, UpstreamRecord
from gooseberrymux.schedule import RANKS, RankQueue, create_policy

REASON_QUEUE_FULL = "queue_full"
REASON_CANCELLED = "cancelled"
REASON_LEAVING = "instance_leaving"
REASON_UPSTREAM_LEAVING = "upstream_leaving"
# What an upstream that drains gives as its reason.
REASON_DRAINING = "draining"
REASON_UNKNOWN_UPSTREAM = "unknown_upstream"
REASON_INTERNAL = "internal_error"

# A lane without work for this long closes its connections, so that an upstream's
# connection limit is not used up by instances that no longer own it.
LANE_IDLE_MS = 30_000
# Weight of the newest sample in the service time estimate of a lane.
SERVICE_TIME_WEIGHT = 0.2
# An older estimate is not used: work that it refuses would have renewed it, so a
# wrong estimate could otherwise refuse for ever.
ESTIMATE_AGE_MS = 2_000

Reply = Callable[[SubrequestOutcome], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EarlyRefusal:
    """Work that by the estimate can't meet its deadline is refused when it arrives."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LateRefusal:
    """Work is refused only once its deadline has passed in the queue."""


RefusalPolicy = EarlyRefusal | LateRefusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The item waits in the lane."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The item is not taken.

    Attributes:
        reason: One of the `REASON_` constants.
        queue_wait_ms: Estimated wait of the item's rank.
    """

    reason: str
    queue_wait_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LaneClosed:
    """The lane takes nothing any more; another has to be opened."""


PutResult = Queued | Refused | LaneClosed

# Results without content, built once.
QUEUED = Queued()
LANE_CLOSED = LaneClosed()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedItem:
    """A queued sub-request and where its outcome goes.

    Attributes:
        subrequest: What to run.
        reply: Gets the outcome.
        requester: Instance that may cancel it; empty for this one.
        queued_at_ms: When it was queued.
        deadline_ms: When it is no longer worth running.
    """

    subrequest: Subrequest
    reply: Reply
    requester: str
    queued_at_ms: float
    deadline_ms: float


class Lane:
    """The queue and the connection threads of one upstream."""

    __slots__ = (
        "record",
        "_kernel",
        "_departures",
        "_queue",
        "_refusal_policy",
        "_lock",
        "_changed",
        "_closed",
        "_threads",
        "_running",
        "_unanswered",
        "_service_ms",
        "_measured_ms",
        "_used_ms",
        "_canceller",
        "_on_idle",
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        record: UpstreamRecord,
        departures: Departures,
        on_idle: Callable[["Lane"], None],
    ):
        settings = kernel.settings
        self.record = record
        self._kernel = kernel
        self._departures = departures
        self._on_idle = on_idle
        self._refusal_policy: RefusalPolicy = (
            EarlyRefusal() if settings.policy.early_refusal else LateRefusal()
        )
        limits = {
            rank: getattr(settings.ranks, rank.value).queue_limit for rank in RANKS
        }
        self._queue = RankQueue(policy=create_policy(settings), limits=limits)
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._closed = False
        self._threads = 0
        self._running: dict[str, QueuedItem] = {}
        self._unanswered = 0
        self._service_ms = 0.0
        self._measured_ms = float("-inf")
        self._used_ms = kernel.clock.now_ms()
        self._canceller = Canceller(
            kernel=kernel,
            get_record=lambda: self.record,
            is_running=lambda subrequest_id: subrequest_id in self._running,
        )

    def start(self) -> None:
        """Starts one thread for each connection that is missing."""
        with self._lock:
            first, self._threads = self._threads, max(self._threads, self._width)
            numbers = range(first, self._threads)
        for number in numbers:
            self._kernel.spawn(
                name=f"dispatch.{self.record.name}.{number}",
                target=lambda number=number: self._serve(number),
            )

    def follow(self, record: UpstreamRecord) -> None:
        """Takes over a changed record; its threads reopen their connections."""
        self.record = record
        self.start()

    def put(self, item: QueuedItem) -> PutResult:
        """Queues an item or says why not."""
        rank = item.subrequest.rank
        with self._lock:
            if self._closed:
                return LANE_CLOSED
            now_ms = self._kernel.clock.now_ms()
            wait_ms = self._estimate_wait_ms(rank, now_ms)
            if self._is_unreachable(item, wait_ms, now_ms):
                return Refused(reason=REASON_DEADLINE, queue_wait_ms=wait_ms)
            if not self._queue.put(rank, item):
                return Refused(reason=REASON_QUEUE_FULL, queue_wait_ms=wait_ms)
            self._used_ms = now_ms
            self._changed.notify()
            return QUEUED

    def cancel(self, *, subrequest_id: str, requester: str) -> list[QueuedItem]:
        """Removes a queued item, or asks the upstream to stop a running one."""
        with self._lock:
            running = self._running.get(subrequest_id)
            if running is not None:
                # An order is never stopped half way: its outcome is worth more than
                # the slot.
                if running.requester == requester and not running.subrequest.order_key:
                    self._canceller.enqueue(subrequest_id)
                return []
            return self._queue.remove(
                lambda item: (
                    item.subrequest.id == subrequest_id and item.requester == requester
                )
            )

    def take_expired(self) -> list[QueuedItem]:
        """Removes the items whose deadline has passed, to make room."""
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            return self._queue.remove(lambda item: item.deadline_ms <= now_ms)

    def take_back(self, *, remote_only: bool) -> list[QueuedItem]:
        """Removes what is queued, for all entries or only for others than this."""
        with self._lock:
            return self._queue.remove(
                lambda item: bool(item.requester) or not remote_only
            )

    def close(self) -> list[QueuedItem]:
        """Ends the threads after the running exchanges; returns what was queued."""
        with self._lock:
            self._closed = True
            self._changed.notify_all()
            items = self._queue.remove(lambda item: True)
        self._canceller.close()
        return items

    @property
    def pending(self) -> int:
        """Items that are queued, in flight, or whose outcome is being handed over."""
        with self._lock:
            return len(self._queue) + self._unanswered

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued items of each rank."""
        with self._lock:
            return self._queue.count_by_rank()

    @property
    def _width(self) -> int:
        return max(1, min(self.record.slots, self.record.connections))

    def _serve(self, number: int) -> None:
        exchange = SubrequestConnection(record=self.record, clock=self._kernel.clock)
        while (item := self._take(number)) is not None:
            if exchange.record is not self.record:
                exchange = replace_exchange(exchange, self.record, self._kernel)
            outcome = self._run(exchange, item)
            item.reply(self._finish(item, outcome))
            with self._lock:
                # Only now: a drain that waits for this must not miss the outcome.
                self._unanswered -= 1
            if self._kernel.is_draining:
                self._kernel.wake()
        exchange.close()
        if self._closed and not self.pending:
            self._canceller.close()
            self._on_idle(self)

    def _take(self, number: int) -> QueuedItem | None:
        with self._lock:
            while True:
                if self._closed:
                    return None
                if number >= self._width:
                    # The record now allows fewer connections.
                    self._threads = min(self._threads, number)
                    return None
                item = self._queue.take()
                if item is not None:
                    self._running[item.subrequest.id] = item
                    self._unanswered += 1
                    return item
                if not self._kernel.clock.wait(self._changed, LANE_IDLE_MS):
                    self._close_if_idle()

    def _close_if_idle(self) -> None:
        idle_ms = self._kernel.clock.now_ms() - self._used_ms
        if idle_ms >= LANE_IDLE_MS and not self._running and not len(self._queue):
            self._closed = True
            self._changed.notify_all()
            journal.record_event("dispatch.lane_closed", upstream=self.record.name)

    def _run(
        self, exchange: SubrequestConnection, item: QueuedItem
    ) -> SubrequestOutcome:
        if self._kernel.clock.now_ms() >= item.deadline_ms:
            return refuse(item.subrequest, REASON_DEADLINE, self.record.name)
        record = exchange.record
        if self._departures.is_leaving(record.name, record.epoch):
            return refuse(item.subrequest, REASON_UPSTREAM_LEAVING, record.name)
        try:
            outcome = exchange.run(item.subrequest, item.deadline_ms)
            match outcome:
                case SubrequestNotRun(reason=reason) if reason == REASON_DRAINING:
                    self._departures.note(
                        upstream=record.name,
                        epoch=record.epoch,
                        source=SOURCE_UPSTREAM,
                    )
            return outcome
        except Exception as error:
            # A fault in one exchange must not take the lane's thread with it.
            exchange.close()
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

    def _finish(
        self, item: QueuedItem, outcome: SubrequestOutcome
    ) -> SubrequestOutcome:
        with self._lock:
            del self._running[item.subrequest.id]
            now_ms = self._used_ms = self._kernel.clock.now_ms()
            if isinstance(outcome, SubrequestCompleted):
                self._learn_service_time(outcome.upstream_ms, now_ms)
            wait_ms = self._estimate_wait_ms(item.subrequest.rank, now_ms)
        match outcome:
            case SubrequestCompleted(upstream_ms=upstream_ms):
                # Clocks may step between the reads; a queue time is never negative.
                queued_ms = max(0.0, now_ms - item.queued_at_ms - upstream_ms)
                return dataclasses.replace(
                    outcome, queued_ms=queued_ms, queue_wait_ms=wait_ms
                )
            case _:
                return dataclasses.replace(outcome, queue_wait_ms=wait_ms)

    def _learn_service_time(self, service_ms: float, now_ms: float) -> None:
        if now_ms - self._measured_ms > ESTIMATE_AGE_MS:
            self._service_ms = service_ms
        else:
            self._service_ms += SERVICE_TIME_WEIGHT * (service_ms - self._service_ms)
        self._measured_ms = now_ms

    def _estimate_wait_ms(self, rank: Rank, now_ms: float) -> float:
        """Estimates how long a new item of `rank` waits for a connection."""
        if len(self._running) < self._width and not len(self._queue):
            return 0.0
        if now_ms - self._measured_ms > ESTIMATE_AGE_MS:
            return 0.0
        ahead = self._queue.count_ahead(rank)
        # A connection that is busy now is on average half done.
        return self._service_ms * (ahead / self._width + 0.5)

    def _is_unreachable(self, item: QueuedItem, wait_ms: float, now_ms: float) -> bool:
        if item.deadline_ms <= now_ms:
            return True
        match self._refusal_policy:
            case EarlyRefusal():
                # An idle lane takes everything, which renews the estimate.
                return (
                    wait_ms > 0
                    and now_ms + wait_ms + self._service_ms > item.deadline_ms
                )
            case LateRefusal():
                return False


def replace_exchange(
    exchange: SubrequestConnection, record: UpstreamRecord, kernel: Kernel
) -> SubrequestConnection:
    """Returns an exchange for a changed record, on the same connection if it may."""
    old = exchange.record
    if (old.host, old.port, old.epoch) == (record.host, record.port, record.epoch):
        exchange.record = record
        return exchange
    exchange.close()
    return SubrequestConnection(record=record, clock=kernel.clock)


def refuse(
    subrequest: Subrequest, reason: str, peer: str, queue_wait_ms: float = 0.0
) -> SubrequestNotRun:
    """Returns the outcome of a sub-request that was never sent."""
    return SubrequestNotRun(
        id=subrequest.id,
        reason=reason,
        step="dispatch.submit",
        peer=peer,
        queue_wait_ms=queue_wait_ms,
    )
