"""Owner side: one rank queue for each upstream and a thread for each connection."""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import journal, metrics
from gooseberrymux.duplicates import RecentIds
from gooseberrymux.exchange import Exchange
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.messages import (
    CancelSubrequest,
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
)
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceIdentity, Rank, UpstreamRecord
from gooseberrymux.schedule import RankQueue, create_policy

REASON_QUEUE_FULL = "queue_full"
REASON_DEADLINE = "deadline_unreachable"
REASON_CANCELLED = "cancelled"
REASON_LEAVING = "instance_leaving"
REASON_UNKNOWN_UPSTREAM = "unknown_upstream"

# A repeated order within the last ones is dropped; at 1,000 orders a second through
# one owner that is a minute.
RECENT_ORDERS = 65_536

Reply = Callable[[SubrequestOutcome], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedItem:
    """A queued sub-request and where its outcome goes."""

    subrequest: Subrequest
    reply: Reply
    queued_at_ms: float
    deadline_ms: float


class Lane:
    """The queue and the connection threads of one upstream."""

    __slots__ = ("record", "_kernel", "_queue", "_changed", "_closed", "_running")

    def __init__(self, *, kernel: Kernel, record: UpstreamRecord):
        self.record = record
        self._kernel = kernel
        limits = {
            rank: getattr(kernel.settings.ranks, rank.value).queue_limit
            for rank in Rank
        }
        self._queue = RankQueue(policy=create_policy(kernel.settings), limits=limits)
        self._changed = threading.Condition()
        self._closed = False
        self._running = 0

    def start(self) -> None:
        """Starts one thread for each connection."""
        for number in range(min(self.record.slots, self.record.connections)):
            self._kernel.spawn(
                name=f"dispatch.{self.record.name}.{number}", target=self._serve
            )

    def put(self, item: QueuedItem) -> bool:
        """Queues an item; returns False if its rank's queue is full."""
        with self._changed:
            if self._closed:
                return False
            queued = self._queue.put(item.subrequest.rank, item)
            if queued:
                self._changed.notify()
            return queued

    def cancel(self, subrequest_id: str) -> list[QueuedItem]:
        """Removes a queued item."""
        with self._changed:
            return self._queue.remove(lambda item: item.subrequest.id == subrequest_id)

    def close(self) -> list[QueuedItem]:
        """Ends the threads after the running exchanges; returns what was queued."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
            return self._queue.remove(lambda item: True)

    @property
    def running(self) -> int:
        """Exchanges in flight."""
        return self._running

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued items of each rank."""
        with self._changed:
            return self._queue.count_by_rank()

    def _serve(self) -> None:
        exchange = Exchange(record=self.record, clock=self._kernel.clock)
        while (item := self._take()) is not None:
            outcome = self._run(exchange, item)
            with self._changed:
                self._running -= 1
            item.reply(outcome)
        exchange.close()

    def _take(self) -> QueuedItem | None:
        with self._changed:
            while True:
                item = self._queue.take()
                if item is not None:
                    self._running += 1
                    return item
                if self._closed:
                    return None
                self._kernel.clock.wait(self._changed, None)

    def _run(self, exchange: Exchange, item: QueuedItem) -> SubrequestOutcome:
        now_ms = self._kernel.clock.now_ms()
        if now_ms >= item.deadline_ms:
            return refuse(item.subrequest, REASON_DEADLINE, self.record.name)
        outcome = exchange.run(item.subrequest, item.deadline_ms)
        if isinstance(outcome, SubrequestCompleted):
            return dataclasses.replace(outcome, queued_ms=now_ms - item.queued_at_ms)
        return outcome


@service("dispatch", requires=("peers", "inventory"))
class Dispatch:
    """The lanes of the upstreams that this instance serves."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_inventory",
        "_lanes",
        "_lock",
        "_draining",
        "_recent_orders",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._inventory = kernel.find("inventory", Inventory)
        self._lanes: dict[str, Lane] = {}
        self._lock = threading.Lock()
        self._draining = False
        self._recent_orders = RecentIds(limit=RECENT_ORDERS)
        self._peers.register(Subrequest, self._handle_subrequest)
        self._peers.register(CancelSubrequest, self._handle_cancel)

    def start(self) -> None:
        """Nothing to start: lanes open with their first sub-request."""

    def drain(self, deadline_ms: float) -> None:
        """Hands queued sub-requests back as not run."""
        self._draining = True
        for lane in list(self._lanes.values()):
            for item in lane.close():
                item.reply(refuse(item.subrequest, REASON_LEAVING, lane.record.name))

    def stop(self) -> None:
        """Ends all lanes."""
        for lane in list(self._lanes.values()):
            lane.close()

    def submit(self, subrequest: Subrequest, reply: Reply) -> None:
        """Queues a sub-request for its upstream.

        Args:
            subrequest: What to run.
            reply: Called once with the outcome, from any thread; must not block.
        """
        if subrequest.order_key and not self._recent_orders.add(subrequest.id):
            # Even a refusal of the second copy would be untrue: the first may run.
            metrics.dropped_total.inc({"reason": "repeated_order"})
            return
        record = self._inventory.describe(subrequest.upstream)
        if record is None:
            reply(refuse(subrequest, REASON_UNKNOWN_UPSTREAM, subrequest.upstream))
            return
        if self._draining:
            reply(refuse(subrequest, REASON_LEAVING, subrequest.upstream))
            return
        now_ms = self._kernel.clock.now_ms()
        item = QueuedItem(
            subrequest=subrequest,
            reply=reply,
            queued_at_ms=now_ms,
            deadline_ms=now_ms + subrequest.remaining_ms,
        )
        if not self._open_lane(record).put(item):
            reply(refuse(subrequest, REASON_QUEUE_FULL, subrequest.upstream))

    def cancel(self, subrequest_id: str) -> None:
        """Drops a queued sub-request whose result is no longer wanted."""
        for lane in list(self._lanes.values()):
            for item in lane.cancel(subrequest_id):
                item.reply(refuse(item.subrequest, REASON_CANCELLED, lane.record.name))

    def _open_lane(self, record: UpstreamRecord) -> Lane:
        with self._lock:
            lane = self._lanes.get(record.name)
            if lane is None:
                lane = Lane(kernel=self._kernel, record=record)
                self._lanes[record.name] = lane
                lane.start()
                journal.record_event("dispatch.lane_opened", upstream=record.name)
            return lane

    def _handle_subrequest(self, sender: InstanceIdentity, message: Subrequest) -> None:
        def send_outcome(outcome: SubrequestOutcome) -> None:
            if self._peers.get_incarnation(sender.name) == sender.incarnation:
                self._peers.send(sender.name, outcome)
            else:
                metrics.dropped_total.inc({"reason": "requester_restarted"})

        self.submit(message, send_outcome)

    def _handle_cancel(
        self, sender: InstanceIdentity, message: CancelSubrequest
    ) -> None:
        self.cancel(message.id)


def refuse(subrequest: Subrequest, reason: str, peer: str) -> SubrequestNotRun:
    """Returns the outcome of a sub-request that was never sent."""
    return SubrequestNotRun(
        id=subrequest.id, reason=reason, step="dispatch.submit", peer=peer
    )
