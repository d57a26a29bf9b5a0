"""Owner side: one rank queue for each upstream and a thread for each connection."""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import journal, metrics
from gooseberrymux.departures import (
    SOURCE_UPSTREAM,
    Departures,
    UpstreamLeaving,
)
from gooseberrymux.duplicates import RecentIds
from gooseberrymux.exchange import Exchange
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, LeaveStarted, service
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
REASON_UPSTREAM_LEAVING = "upstream_leaving"
# What an upstream that drains gives as its reason.
REASON_DRAINING = "draining"
REASON_UNKNOWN_UPSTREAM = "unknown_upstream"

# A repeated order within the last ones is dropped; at 1,000 orders a second through
# one owner that is a minute.
RECENT_ORDERS = 65_536

Reply = Callable[[SubrequestOutcome], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedItem:
    """A queued sub-request and where its outcome goes.

    Attributes:
        subrequest: What to run.
        reply: Gets the outcome.
        queued_at_ms: Monotonic time in milliseconds.
        deadline_ms: Monotonic time in milliseconds.
        remote: Whether another instance is its entry.
    """

    subrequest: Subrequest
    reply: Reply
    queued_at_ms: float
    deadline_ms: float
    remote: bool = False


class Lane:
    """The queue and the connection threads of one upstream."""

    __slots__ = (
        "record",
        "_kernel",
        "_departures",
        "_queue",
        "_changed",
        "_closed",
        "_running",
    )

    def __init__(
        self, *, kernel: Kernel, record: UpstreamRecord, departures: Departures
    ):
        self.record = record
        self._departures = departures
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

    def take_back(self, *, remote_only: bool) -> list[QueuedItem]:
        """Removes what is queued, for all entries or only for others than this."""
        with self._changed:
            return self._queue.remove(lambda item: item.remote or not remote_only)

    def close(self) -> list[QueuedItem]:
        """Ends the threads after the running exchanges; returns what was queued."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
            return self._queue.remove(lambda item: True)

    @property
    def pending(self) -> int:
        """Exchanges in flight and queued."""
        with self._changed:
            return self._running + sum(self._queue.count_by_rank().values())

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued items of each rank."""
        with self._changed:
            return self._queue.count_by_rank()

    def _serve(self) -> None:
        exchange = Exchange(record=self.record, clock=self._kernel.clock)
        while (item := self._take()) is not None:
            item.reply(self._run(exchange, item))
            # Only now: a drain waits for this, and must not miss the outcome.
            with self._changed:
                self._running -= 1
            if self._kernel.is_draining:
                self._kernel.wake()
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
        if self._departures.is_leaving(self.record.name, self.record.epoch):
            return refuse(item.subrequest, REASON_UPSTREAM_LEAVING, self.record.name)
        outcome = exchange.run(item.subrequest, item.deadline_ms)
        match outcome:
            case SubrequestNotRun(reason=reason) if reason == REASON_DRAINING:
                self._departures.note(
                    upstream=self.record.name,
                    epoch=self.record.epoch,
                    source=SOURCE_UPSTREAM,
                )
        if isinstance(outcome, SubrequestCompleted):
            return dataclasses.replace(outcome, queued_ms=now_ms - item.queued_at_ms)
        return outcome


@service("dispatch", requires=("peers", "inventory", "departures"))
class Dispatch:
    """The lanes of the upstreams that this instance serves."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_inventory",
        "_departures",
        "_lanes",
        "_lock",
        "_leaving",
        "_recent_orders",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._inventory = kernel.find("inventory", Inventory)
        self._departures = kernel.find("departures", Departures)
        self._lanes: dict[str, Lane] = {}
        self._lock = threading.Lock()
        self._leaving = False
        self._recent_orders = RecentIds(limit=RECENT_ORDERS)
        self._peers.register(Subrequest, self._handle_subrequest)
        self._peers.register(CancelSubrequest, self._handle_cancel)
        kernel.subscribe(LeaveStarted, self._handle_leave)
        kernel.subscribe(UpstreamLeaving, self._handle_upstream_leaving)

    def start(self) -> None:
        """Nothing to start: lanes open with their first sub-request."""

    def drain(self, deadline_ms: float) -> None:
        """Finishes the exchanges in flight and what this entry still has queued."""
        lanes = list(self._lanes.values())
        self._kernel.wait_until(
            lambda: all(lane.pending == 0 for lane in lanes), deadline_ms
        )

    def stop(self) -> None:
        """Ends all lanes."""
        for lane in list(self._lanes.values()):
            lane.close()

    def submit(
        self, subrequest: Subrequest, reply: Reply, *, remote: bool = False
    ) -> None:
        """Queues a sub-request for its upstream.

        Args:
            subrequest: What to run.
            reply: Called once with the outcome, from any thread; must not block.
            remote: Whether another instance is its entry.
        """
        if subrequest.order_key and not self._recent_orders.add(subrequest.id):
            # Even a refusal of the second copy would be untrue: the first may run.
            metrics.dropped_total.inc({"reason": "repeated_order"})
            return
        record = self._inventory.describe(subrequest.upstream)
        if record is None:
            reply(refuse(subrequest, REASON_UNKNOWN_UPSTREAM, subrequest.upstream))
            return
        if self._leaving and remote:
            reply(refuse(subrequest, REASON_LEAVING, subrequest.upstream))
            return
        if self._inventory.is_leaving(record):
            reply(refuse(subrequest, REASON_UPSTREAM_LEAVING, subrequest.upstream))
            return
        now_ms = self._kernel.clock.now_ms()
        item = QueuedItem(
            subrequest=subrequest,
            reply=reply,
            queued_at_ms=now_ms,
            deadline_ms=now_ms + subrequest.remaining_ms,
            remote=remote,
        )
        if not self._open_lane(record).put(item):
            reply(refuse(subrequest, REASON_QUEUE_FULL, subrequest.upstream))

    def cancel(self, subrequest_id: str) -> None:
        """Drops a queued sub-request whose result is no longer wanted."""
        for lane in list(self._lanes.values()):
            for item in lane.cancel(subrequest_id):
                item.reply(refuse(item.subrequest, REASON_CANCELLED, lane.record.name))

    def _handle_leave(self, event: LeaveStarted) -> None:
        # The entries learned from membership that this instance is leaving before
        # they get these back, so they go to the next owner.
        self._leaving = True
        for lane in list(self._lanes.values()):
            for item in lane.take_back(remote_only=True):
                item.reply(refuse(item.subrequest, REASON_LEAVING, lane.record.name))

    def _handle_upstream_leaving(self, event: UpstreamLeaving) -> None:
        lane = self._lanes.get(event.upstream)
        if lane is None or not self._inventory.is_leaving(lane.record):
            return
        for item in lane.take_back(remote_only=False):
            item.reply(refuse(item.subrequest, REASON_UPSTREAM_LEAVING, event.upstream))

    def _open_lane(self, record: UpstreamRecord) -> Lane:
        with self._lock:
            lane = self._lanes.get(record.name)
            if lane is None:
                lane = Lane(
                    kernel=self._kernel, record=record, departures=self._departures
                )
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

        self.submit(message, send_outcome, remote=True)

    def _handle_cancel(
        self, sender: InstanceIdentity, message: CancelSubrequest
    ) -> None:
        self.cancel(message.id)


def refuse(subrequest: Subrequest, reason: str, peer: str) -> SubrequestNotRun:
    """Returns the outcome of a sub-request that was never sent."""
    return SubrequestNotRun(
        id=subrequest.id, reason=reason, step="dispatch.submit", peer=peer
    )
