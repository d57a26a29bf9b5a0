"""Owner side: hands sub-requests to the lanes of the upstreams it serves."""

import threading

from gooseberrymux import journal, metrics
from gooseberrymux.departures import Departures, UpstreamLeaving
from gooseberrymux.duplicates import RecentIds
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, LeaveStarted, service
from gooseberrymux.lanes import (
    REASON_CANCELLED,
    REASON_DEADLINE,
    REASON_LEAVING,
    REASON_QUEUE_FULL,
    REASON_UNKNOWN_UPSTREAM,
    REASON_UPSTREAM_LEAVING,
    Lane,
    LaneClosed,
    Queued,
    QueuedItem,
    Refused,
    Reply,
    refuse,
)
from gooseberrymux.messages import CancelSubrequest, Subrequest, SubrequestOutcome
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceIdentity, Rank, UpstreamRecord

# A repeated order within the last ones is dropped; at 1,000 orders a second through
# one owner that is a minute.
RECENT_ORDERS = 65_536


@service("dispatch", requires=("peers", "inventory", "departures"))
class Dispatch:
    """The lanes of the upstreams that this instance serves."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_inventory",
        "_lanes",
        "_lock",
        "_departures",
        "_leaving",
        "_draining",
        "_recent_orders",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._inventory = kernel.find("inventory", Inventory)
        self._lanes: dict[str, Lane] = {}
        self._lock = threading.Lock()
        self._departures = kernel.find("departures", Departures)
        self._leaving = False
        self._draining = False
        self._recent_orders = RecentIds(limit=RECENT_ORDERS)
        self._peers.register(Subrequest, self._handle_subrequest)
        self._peers.register(CancelSubrequest, self._handle_cancel)
        kernel.subscribe(LeaveStarted, self._handle_leave)
        kernel.subscribe(UpstreamLeaving, self._handle_upstream_leaving)

    def start(self) -> None:
        """Nothing to start: lanes open with their first sub-request."""

    def drain(self, deadline_ms: float) -> None:
        """Finishes exchanges and own work; hands back what the deadline cuts off."""
        self._kernel.wait_until(
            lambda: all(lane.pending == 0 for lane in list(self._lanes.values())),
            deadline_ms,
        )
        with self._lock:
            # Under the lock, so that no lane opens after the list below was taken.
            self._draining = True
        for lane in list(self._lanes.values()):
            for item in lane.close():
                item.reply(refuse(item.subrequest, REASON_LEAVING, lane.record.name))

    def stop(self) -> None:
        """Ends all lanes."""
        for lane in list(self._lanes.values()):
            lane.close()

    def describe(self) -> dict:
        """Returns the lanes' queues for the status."""
        return {
            "leaving": self._leaving,
            "lanes": {
                name: {
                    "pending": lane.pending,
                    "queued": {
                        rank.value: count
                        for rank, count in lane.count_by_rank().items()
                    },
                }
                for name, lane in list(self._lanes.items())
            },
        }

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued sub-requests of each rank, over all lanes."""
        total = dict.fromkeys(Rank, 0)
        for lane in list(self._lanes.values()):
            for rank, count in lane.count_by_rank().items():
                total[rank] += count
        return total

    def submit(
        self, subrequest: Subrequest, reply: Reply, *, requester: str = ""
    ) -> None:
        """Queues a sub-request for its upstream.

        Args:
            subrequest: What to run.
            reply: Called once with the outcome, from any thread; must not block.
            requester: Instance that may cancel it; empty for this one.
        """
        if subrequest.order_key and not self._recent_orders.add(subrequest.id):
            # Even a refusal of the second copy would be untrue: the first may run.
            metrics.dropped_total.inc({"reason": "repeated_order"})
            return
        record = self._inventory.find_upstream(subrequest.upstream)
        if record is None:
            reply(refuse(subrequest, REASON_UNKNOWN_UPSTREAM, subrequest.upstream))
            return
        if self._leaving and requester:
            reply(refuse(subrequest, REASON_LEAVING, subrequest.upstream))
            return
        if self._inventory.is_leaving(record):
            reply(refuse(subrequest, REASON_UPSTREAM_LEAVING, subrequest.upstream))
            return
        now_ms = self._kernel.clock.now_ms()
        item = QueuedItem(
            subrequest=subrequest,
            reply=reply,
            requester=requester,
            queued_at_ms=now_ms,
            deadline_ms=now_ms + subrequest.remaining_ms,
        )
        while not self._draining:
            lane = self._open_lane(record)
            if lane is None:
                break
            match self._put(lane, item):
                case Queued():
                    return
                case Refused(reason=reason, queue_wait_ms=wait_ms):
                    reply(refuse(subrequest, reason, record.name, wait_ms))
                    return
                case LaneClosed():
                    # It closed for idleness just now; the next round opens another.
                    self._remove_lane(lane)
        reply(refuse(subrequest, REASON_LEAVING, subrequest.upstream))

    def cancel(self, subrequest_id: str, *, upstream: str, requester: str = "") -> None:
        """Drops a sub-request whose result is no longer wanted.

        A queued one is removed; for one in flight the upstream is asked to stop.
        """
        lane = self._lanes.get(upstream)
        if lane is None:
            return
        for item in lane.cancel(subrequest_id=subrequest_id, requester=requester):
            item.reply(refuse(item.subrequest, REASON_CANCELLED, lane.record.name))

    def _put(self, lane: Lane, item: QueuedItem) -> Queued | Refused | LaneClosed:
        result = lane.put(item)
        match result:
            case Refused(reason=reason) if reason == REASON_QUEUE_FULL:
                expired = lane.take_expired()
                for old in expired:
                    old.reply(refuse(old.subrequest, REASON_DEADLINE, lane.record.name))
                return lane.put(item) if expired else result
            case _:
                return result

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

    def _open_lane(self, record: UpstreamRecord) -> Lane | None:
        lane = self._lanes.get(record.name)
        if lane is not None and lane.record is record:
            return lane
        with self._lock:
            if self._draining:
                return None
            lane = self._lanes.get(record.name)
            if lane is None:
                lane = Lane(
                    kernel=self._kernel,
                    record=record,
                    departures=self._departures,
                    on_idle=self._remove_lane,
                )
                self._lanes[record.name] = lane
                lane.start()
                journal.record_event("dispatch.lane_opened", upstream=record.name)
            elif lane.record is not record:
                lane.follow(record)
            return lane

    def _remove_lane(self, lane: Lane) -> None:
        with self._lock:
            if self._lanes.get(lane.record.name) is lane and not self._draining:
                del self._lanes[lane.record.name]

    def _handle_subrequest(self, sender: InstanceIdentity, message: Subrequest) -> None:
        def send_outcome(outcome: SubrequestOutcome) -> None:
            if self._peers.get_incarnation(sender.name) == sender.incarnation:
                self._peers.send(sender.name, outcome)
            else:
                metrics.dropped_total.inc({"reason": "requester_restarted"})

        self.submit(message, send_outcome, requester=sender.name)

    def _handle_cancel(
        self, sender: InstanceIdentity, message: CancelSubrequest
    ) -> None:
        self.cancel(message.id, upstream=message.upstream, requester=sender.name)
