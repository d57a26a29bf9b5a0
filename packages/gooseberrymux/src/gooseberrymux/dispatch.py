"""Owner side of sub-requests: passes them to the worker pools of their upstreams."""

import threading

from gooseberrymux import journal, metrics
from gooseberrymux.departures import Departures, UpstreamLeaving
from gooseberrymux.duplicates import RecentIds
from gooseberrymux.evacuations import EvacuationsChanged
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, LeaveStarted, service
from gooseberrymux.messages import CancelSubrequest, Subrequest, SubrequestOutcome
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceIdentity, Rank, UpstreamRecord
from gooseberrymux.worker_pool import (
    REASON_CANCELLED,
    REASON_DEADLINE,
    REASON_LEAVING,
    REASON_QUEUE_FULL,
    REASON_UNKNOWN_UPSTREAM,
    OutcomeCallback,
    PoolClosed,
    Queued,
    QueuedItem,
    Refused,
    UpstreamWorkerPool,
    create_not_run,
)

# Number of order ids that are remembered to drop repeated orders. At 1,000 orders per
# second through one owner they cover about a minute.
RECENT_ORDER_ID_LIMIT = 65_536


@service("dispatch", requires=("peers", "inventory", "departures", "reply_memory"))
class Dispatch:
    """Runs sub-requests for the upstreams that this instance owns."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_inventory",
        "_pools",
        "_lock",
        "_departures",
        "_leaving",
        "_draining",
        "_recent_order_ids",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._inventory = kernel.find("inventory", Inventory)
        self._pools: dict[str, UpstreamWorkerPool] = {}
        self._lock = threading.Lock()
        self._departures = kernel.find("departures", Departures)
        self._leaving = False
        self._draining = False
        self._recent_order_ids = RecentIds(limit=RECENT_ORDER_ID_LIMIT)
        self._peers.register(Subrequest, self._handle_subrequest)
        self._peers.register(CancelSubrequest, self._handle_cancel)
        kernel.subscribe(LeaveStarted, self._handle_leave)
        kernel.subscribe(UpstreamLeaving, self._handle_upstream_leaving)
        kernel.subscribe(EvacuationsChanged, self._handle_evacuations)

    def start(self) -> None:
        """Does nothing: a pool starts with the first sub-request for its upstream."""

    def drain(self, deadline_ms: float) -> None:
        """Waits for pending sub-requests, then refuses the ones still queued.

        A sub-request that is running at the deadline still runs to its end.
        """
        self._kernel.wait_until(
            lambda: all(pool.pending == 0 for pool in list(self._pools.values())),
            deadline_ms,
        )
        with self._lock:
            # Set under the lock, so that no pool is opened after the list of pools
            # below is made.
            self._draining = True
        for pool in list(self._pools.values()):
            for item in pool.close():
                item.on_outcome(
                    create_not_run(item.subrequest, REASON_LEAVING, pool.record.name)
                )

    def stop(self) -> None:
        """Closes all pools; does not wait for running exchanges."""
        for pool in list(self._pools.values()):
            pool.close()

    def describe(self) -> dict:
        """Returns the status: pending and queued sub-requests of each upstream."""
        return {
            "leaving": self._leaving,
            "lanes": {
                name: {
                    "pending": pool.pending,
                    "queued": {
                        rank.value: count
                        for rank, count in pool.count_by_rank().items()
                    },
                }
                for name, pool in list(self._pools.items())
            },
        }

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued sub-requests of each rank, in all pools."""
        total = dict.fromkeys(Rank, 0)
        for pool in list(self._pools.values()):
            for rank, count in pool.count_by_rank().items():
                total[rank] += count
        return total

    def submit(
        self,
        subrequest: Subrequest,
        on_outcome: OutcomeCallback,
        *,
        requester: str = "",
    ) -> None:
        """Queues a sub-request for its upstream.

        Args:
            subrequest: Sub-request to run.
            on_outcome: Called once with the outcome, from any thread; must not block.
                Not called for a repeated order.
            requester: Name of the instance that sent the sub-request and may cancel
                it; empty if it comes from this instance.
        """
        if subrequest.order_key and not self._recent_order_ids.add_if_new(
            subrequest.id
        ):
            # Dropped without an outcome: "not run" would be wrong, since the first
            # copy may be running.
            metrics.dropped_total.inc({"reason": "repeated_order"})
            return
        record = self._inventory.find_upstream(subrequest.upstream)
        if record is None:
            on_outcome(
                create_not_run(subrequest, REASON_UNKNOWN_UPSTREAM, subrequest.upstream)
            )
            return
        if self._leaving and requester:
            on_outcome(create_not_run(subrequest, REASON_LEAVING, subrequest.upstream))
            return
        if reason := self._inventory.find_obstacle(record):
            on_outcome(create_not_run(subrequest, reason, subrequest.upstream))
            return
        now_ms = self._kernel.clock.now_ms()
        item = QueuedItem(
            subrequest=subrequest,
            on_outcome=on_outcome,
            requester=requester,
            enqueued_ms=now_ms,
            deadline_ms=now_ms + subrequest.remaining_ms,
        )
        while not self._draining:
            pool = self._open_pool(record)
            if pool is None:
                break
            match self._enqueue(pool, item):
                case Queued():
                    return
                case Refused(reason=reason, queue_wait_ms=wait_ms):
                    on_outcome(create_not_run(subrequest, reason, record.name, wait_ms))
                    return
                case PoolClosed():
                    # The pool was closed for idleness after it was looked up; the next
                    # iteration opens a new one.
                    self._remove_pool(pool)
        on_outcome(create_not_run(subrequest, REASON_LEAVING, subrequest.upstream))

    def cancel(self, subrequest_id: str, *, upstream: str, requester: str = "") -> None:
        """Cancels a sub-request whose result is no longer needed.

        A queued sub-request is removed; for a running query the upstream is asked to
        cancel it. A running order is not cancelled.

        Args:
            subrequest_id: Id of the sub-request.
            upstream: Name of its upstream.
            requester: Name of the instance that sent it; empty for this instance.
        """
        pool = self._pools.get(upstream)
        if pool is None:
            return
        for item in pool.cancel(subrequest_id=subrequest_id, requester=requester):
            item.on_outcome(
                create_not_run(item.subrequest, REASON_CANCELLED, pool.record.name)
            )

    def _enqueue(
        self, pool: UpstreamWorkerPool, item: QueuedItem
    ) -> Queued | Refused | PoolClosed:
        result = pool.enqueue(item)
        match result:
            case Refused(reason=reason) if reason == REASON_QUEUE_FULL:
                expired = pool.remove_expired()
                for expired_item in expired:
                    expired_item.on_outcome(
                        create_not_run(
                            expired_item.subrequest, REASON_DEADLINE, pool.record.name
                        )
                    )
                return pool.enqueue(item) if expired else result
            case _:
                return result

    def _handle_leave(self, event: LeaveStarted) -> None:
        # Membership tells the requesting instances that this one is leaving before the
        # refusals reach them, so they retry at the next owner.
        self._leaving = True
        for pool in list(self._pools.values()):
            for item in pool.remove_queued(remote_only=True):
                item.on_outcome(
                    create_not_run(item.subrequest, REASON_LEAVING, pool.record.name)
                )

    def _handle_upstream_leaving(self, event: UpstreamLeaving) -> None:
        pool = self._pools.get(event.upstream)
        if pool is not None:
            self._refuse_queued(pool)

    def _handle_evacuations(self, event: EvacuationsChanged) -> None:
        for pool in list(self._pools.values()):
            self._refuse_queued(pool)

    def _refuse_queued(self, pool: UpstreamWorkerPool) -> None:
        """Returns what waits for an upstream that gets no more requests."""
        reason = self._inventory.find_obstacle(pool.record)
        if reason is None:
            return
        for item in pool.remove_queued(remote_only=False):
            item.on_outcome(create_not_run(item.subrequest, reason, pool.record.name))

    def _open_pool(self, record: UpstreamRecord) -> UpstreamWorkerPool | None:
        pool = self._pools.get(record.name)
        if pool is not None and pool.record is record:
            return pool
        with self._lock:
            if self._draining:
                return None
            pool = self._pools.get(record.name)
            if pool is None:
                pool = UpstreamWorkerPool(
                    kernel=self._kernel,
                    record=record,
                    departures=self._departures,
                    inventory=self._inventory,
                    on_closed=self._remove_pool,
                )
                self._pools[record.name] = pool
                pool.start()
                journal.record_event("dispatch.lane_opened", upstream=record.name)
            elif pool.record is not record:
                pool.update_record(record)
            return pool

    def _remove_pool(self, pool: UpstreamWorkerPool) -> None:
        with self._lock:
            if self._pools.get(pool.record.name) is pool and not self._draining:
                del self._pools[pool.record.name]

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
