"""All upstreams of one service at its owner: one rank queue, one view of who is free.

A request waits here until an upstream has a free slot, and not at the upstream, so that
urgent work overtakes and a paused upstream holds up nothing that it does not run.
"""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import forward_exchange, journal, metrics
from gooseberrymux.budgets import SlidingWindowBudget
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.connections import Connection, Exchange
from gooseberrymux.forward_exchange import Declined, NotSent, Replied
from gooseberrymux.forward_messages import (
    PartNotRun,
    PartOutcome,
    PartReplied,
    PartUnknown,
)
from gooseberrymux.inventory import Inventory
from gooseberrymux.items import (
    REASON_NO_REPLICA,
    Item,
    Reply,
    Send,
    prefer_on_time,
)
from gooseberrymux.kernel import Kernel
from gooseberrymux.replica_set import ReplicaSet
from gooseberrymux.replicas import Replica
from gooseberrymux.schedule import RANKS, RankQueue, create_scheduling_policy
from gooseberrymux.timers import Timers
from gooseberrymux.usual_times import UsualTimes

REASON_QUEUE_FULL = "queue_full"
REASON_DEADLINE = "deadline_unreachable"
REASON_BUDGET = "extra_sends_used_up"
REASON_LEAVING = "instance_leaving"
CAUSE_FIRST = "first"
CAUSE_HEDGE = "hedge"
CAUSE_RETRY = "retry"
STATUS_SERVER_ERROR = 500
# Extra sends are counted when they leave and at the upstream when they arrive, so a
# part of the share is kept back for those near the edges of a window.
SHARE_KEPT = 0.9
# While the views of the membership differ, or owners follow each other quickly, up to
# this many owners may each spend their part of the slack in one window.
SLACK_OWNERS = 4
# A request that no upstream has run is tried at all of them again after this.
ROUND_PAUSE_MS = 15.0
ROUNDS_LIMIT = 3
# A second send is of use only if about this many median exchanges fit in before the
# answer is late, and is wasted if it goes out sooner than that.
HEDGE_MEDIANS = 1.5
HEDGE_RECHECK_MS = 5.0
# Told to callers where no queue says how long it takes.
RETRY_AFTER_MS = 200.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tools:
    """What every pool of this instance works with.

    Attributes:
        kernel: The kernel.
        inventory: Lists the upstreams.
        timers: Makes calls that are due.
        times: Learns what exchanges usually take.
        get_connections: Connections that each upstream of a service accepts, or None.
    """

    kernel: Kernel
    inventory: Inventory
    timers: Timers
    times: UsualTimes
    get_connections: Callable[[str], int | None]


class Pool:
    """The queue, the upstreams and the extra sends of one service."""

    __slots__ = (
        "service",
        "_tools",
        "_clock",
        "_lock",
        "_replicas",
        "_queue",
        "_again",
        "_budget",
        "_items",
        "_outbox",
    )

    def __init__(self, *, service: str, tools: Tools):
        settings = tools.kernel.settings
        forwarding = settings.forwarding
        self.service = service
        self._tools = tools
        self._clock = tools.kernel.clock
        self._lock = threading.Lock()
        self._replicas = ReplicaSet(
            service=service,
            kernel=tools.kernel,
            inventory=tools.inventory,
            get_connections=tools.get_connections,
        )
        self._queue = RankQueue(
            policy=create_scheduling_policy(settings),
            limits=dict.fromkeys(RANKS, forwarding.queue_limit),
        )
        # Those to be sent once more go before those that were never sent.
        self._again: list[Item] = []
        self._budget = SlidingWindowBudget(
            share=forwarding.extra_share * SHARE_KEPT,
            slack=forwarding.extra_slack / SLACK_OWNERS,
            window_ms=forwarding.extra_window_s * MS_PER_S,
        )
        self._items: dict[tuple[str, str], Item] = {}
        self._outbox: list[tuple[Reply, PartOutcome]] = []

    @property
    def pending(self) -> int:
        """Requests without an outcome."""
        return len(self._items)

    def describe(self) -> dict:
        """Returns the queue and the upstreams for the status."""
        with self._lock:
            return {
                "pending": self.pending,
                "queued": len(self._queue),
                "upstreams": self._replicas.describe(self._clock.now_ms()),
            }

    def submit(self, item: Item) -> None:
        """Sends a request to an upstream, now or when one has a free slot."""
        call, now_ms = item.call, item.arrived_ms
        with self._lock:
            self._items[item.requester, call.id] = item
            if not call.dispatched_before:
                self._budget.record_first_send(now_ms)
            self._replicas.refresh()
            waits = self._again or len(self._queue)
            in_time = now_ms + item.usual.median_ms <= item.deadline_ms
            if in_time and not waits and self._send_to_best(item, CAUSE_FIRST, now_ms):
                return
            if reason := self._find_refusal(item, now_ms):
                self._fail(item, reason)
            else:
                self._dispatch(now_ms)
        self._deliver()

    def expire(self, call_id: str, *, requester: str) -> None:
        """Ends a request whose deadline has passed."""
        with self._lock:
            item = self._items.get((requester, call_id))
            if item is not None:
                sends = list(item.sends)
                self._queue.remove(lambda queued: queued is item)
                self._fail(item, REASON_DEADLINE)
                for send in sends:
                    send.connection.abort(send)
        self._deliver()

    def cancel(self, call_id: str, *, requester: str) -> None:
        """Drops a request whose outcome is no longer wanted."""
        with self._lock:
            item = self._items.get((requester, call_id))
            if item is not None:
                self._close_item(item)
                self._queue.remove(lambda queued: queued is item)

    def hand_back(self) -> None:
        """Returns what other instances have queued here, as not run."""
        with self._lock:
            for item in self._queue.remove(lambda queued: bool(queued.requester)):
                self._fail(item, REASON_LEAVING)
        self._deliver()

    def close(self) -> None:
        """Ends the idle connections."""
        with self._lock:
            self._replicas.close()

    def _deliver(self) -> None:
        with self._lock:
            outbox, self._outbox = self._outbox, []
        for reply, outcome in outbox:
            reply(outcome)

    def _find_refusal(self, item: Item, now_ms: float) -> str | None:
        """Queues an item; returns why not, or None."""
        if not self._replicas.list_usable(now_ms):
            return REASON_NO_REPLICA
        wait_ms = self._estimate_wait_ms(item, now_ms)
        if now_ms + wait_ms + item.usual.median_ms > item.deadline_ms:
            return REASON_DEADLINE
        if not self._queue.enqueue(item.call.rank, item):
            return REASON_QUEUE_FULL
        return None

    def _estimate_wait_ms(self, item: Item, now_ms: float) -> float:
        prefer = prefer_on_time(now_ms) if item.can_be_on_time(now_ms) else None
        ahead = self._queue.estimate_dispatches_ahead(item.call.rank, prefer) + len(
            self._again
        )
        slots = max(1, self._replicas.count_slots(now_ms))
        return ahead * item.usual.median_ms / slots

    def _dispatch(self, now_ms: float) -> None:
        """Sends what can be sent; called with the lock held."""
        self._replicas.refresh()
        self._again = [
            item
            for item in self._again
            if not item.settled and not self._send_again(item, now_ms)
        ]
        while len(self._queue):
            replica = self._choose(None, now_ms)
            if replica is None:
                # What has room is stalled or slow, so all wait for a better one.
                break
            # Late work would make each request behind it late as well, for as long as
            # the backlog lasts.
            item = self._queue.dequeue(prefer_on_time(now_ms))
            if now_ms >= item.deadline_ms:
                self._fail(item, REASON_DEADLINE)
            else:
                # It may also find out whether a slow one has recovered.
                chosen = self._choose(item, now_ms) or replica
                self._send(item, chosen, CAUSE_FIRST, now_ms)

    def _send_again(self, item: Item, now_ms: float) -> bool:
        """Sends an item that waits to be sent; returns False if it waits on."""
        if now_ms >= item.deadline_ms:
            self._fail(item, REASON_DEADLINE)
            return True
        cause = CAUSE_RETRY if item.sent else CAUSE_FIRST
        return self._send_to_best(item, cause, now_ms)

    def _send_to_best(self, item: Item, cause: str, now_ms: float) -> bool:
        replica = self._choose(item, now_ms)
        if replica is None:
            return False
        self._send(item, replica, cause, now_ms)
        return True

    def _choose(self, item: Item | None, now_ms: float) -> Replica | None:
        """Returns the best upstream with room for an item, or for any queued one."""
        waits = 0.0
        if waiting := len(self._queue) + len(self._again):
            waits = waiting / max(1, self._replicas.count_slots(now_ms))
        return self._replicas.choose(
            tried=item.tried if item else (),
            may_probe=item is not None and item.call.repeatable,
            now_ms=now_ms,
            waits=waits,
        )

    def _send(self, item: Item, replica: Replica, cause: str, now_ms: float) -> None:
        usual = item.usual
        probing = replica.is_probe_due(now_ms)
        connection = self._replicas.open_connection(
            replica, finish=self._finish, drop_idle=self._drop_idle
        )
        send = Send(
            call=item.call,
            head=item.head,
            deadline_ms=item.deadline_ms,
            sent_ms=now_ms,
            item=item,
            replica=replica,
            connection=connection,
            cause=cause,
        )
        item.sends.append(send)
        item.tried.add(replica.record.name)
        item.sent += 1
        item.runs_left -= 1
        if item.first_sent_ms is None:
            item.first_sent_ms = now_ms
        replica.begin(send, usual, now_ms)
        connection.begin(send)
        if cause != CAUSE_FIRST:
            self._record_again(send)
        if item.call.repeatable and item.runs_left > 0:
            delay_ms = usual.median_ms if probing else self._plan_hedge(item, now_ms)
            self._tools.timers.call_at(now_ms + delay_ms, lambda: self._hedge(item))

    def _record_again(self, send: Send) -> None:
        item = send.item
        journal.record_decision(
            f"pool.{send.cause}",
            chosen=send.replica.record.name,
            among=self._replicas.names,
            reason=item.failure if send.cause == CAUSE_RETRY else "no reply yet",
            request_id=item.call.request_id,
            service=self.service,
            sends=item.sent,
        )

    def _plan_hedge(self, item: Item, now_ms: float) -> float:
        """Returns after how many milliseconds a request is sent a second time.

        Early enough for the second to be on time, if that is possible.
        """
        soonest_ms = HEDGE_MEDIANS * item.usual.median_ms
        delay_ms = item.usual.high_ms
        if item.can_be_on_time(now_ms):
            target_left_ms = item.arrived_ms + item.call.target_ms - now_ms
            delay_ms = min(delay_ms, target_left_ms - soonest_ms)
        return max(soonest_ms, delay_ms)

    def _hedge(self, item: Item) -> None:
        with self._lock:
            now_ms = self._clock.now_ms()
            if item.settled or len(item.sends) != 1 or item.runs_left < 1:
                return
            replica = self._replicas.choose(
                tried=item.tried, may_probe=False, now_ms=now_ms
            )
            if replica is None:
                if now_ms + HEDGE_RECHECK_MS < item.deadline_ms:
                    self._tools.timers.call_at(
                        now_ms + HEDGE_RECHECK_MS, lambda: self._hedge(item)
                    )
            elif self._budget.try_acquire_extra(now_ms):
                self._send(item, replica, CAUSE_HEDGE, now_ms)
            else:
                metrics.sends_total.inc(
                    {"cause": CAUSE_HEDGE, "outcome": REASON_BUDGET}
                )

    def _drop_idle(self, replica: Replica, connection: Connection) -> bool:
        with self._lock:
            return self._replicas.drop(replica, connection)

    def _finish(
        self, connection: Connection, send: Exchange, result: forward_exchange.Result
    ) -> None:
        """Takes in the result of a send, in the thread of its connection."""
        assert isinstance(send, Send)
        with self._lock:
            now_ms = self._clock.now_ms()
            send.item.sends.remove(send)
            send.replica.end(send, result, now_ms)
            self._replicas.keep(send.replica, connection)
            outcome = type(result).__name__
            metrics.sends_total.inc({"cause": send.cause, "outcome": outcome})
            if not send.item.settled:
                self._take_result(send, result, now_ms)
            self._dispatch(now_ms)
        self._deliver()

    def _take_result(
        self, send: Send, result: forward_exchange.Result, now_ms: float
    ) -> None:
        item = send.item
        match result:
            case Replied(reply=reply, proof=proof, elapsed_ms=elapsed_ms):
                item.may_have_run = True
                found = PartReplied(
                    call=item.call.id,
                    service=self.service,
                    upstream=send.replica.record.name,
                    status=reply.status,
                    headers=reply.headers,
                    proof=proof,
                    body=reply.body,
                    sends=item.sent,
                    queued_ms=(item.first_sent_ms or now_ms) - item.arrived_ms,
                    upstream_ms=elapsed_ms,
                )
                if reply.status < STATUS_SERVER_ERROR:
                    self._tools.times.record(
                        route=item.call.route, duration_ms=elapsed_ms
                    )
                    self._settle(item, found)
                    return
                item.failed_reply = found
                item.failure = f"status_{reply.status}"
            case Declined(reason=reason) | NotSent(reason=reason):
                item.runs_left += 1
                item.failure = reason
            case forward_exchange.Broken(reason=reason):
                item.may_have_run = True
                item.failure = reason
        self._try_again(item, now_ms, is_extra=not isinstance(result, NotSent))

    def _try_again(self, item: Item, now_ms: float, *, is_extra: bool) -> None:
        """Plans another send after one has failed, or settles the item."""
        if item.sends:
            # The other one may still be replied to.
            return
        if item.may_have_run and not item.call.repeatable:
            self._fail(item, item.failure)
        elif item.runs_left < 1:
            self._fail(item, item.failure)
        elif is_extra and not self._budget.try_acquire_extra(now_ms):
            self._fail(item, REASON_BUDGET)
        elif self._replicas.list_usable(now_ms, item.tried):
            self._again.append(item)
        elif item.rounds < ROUNDS_LIMIT and now_ms < item.deadline_ms:
            item.rounds += 1
            item.tried.clear()
            self._tools.timers.call_at(
                now_ms + ROUND_PAUSE_MS, lambda: self._start_round(item)
            )
        else:
            self._fail(item, item.failure)

    def _start_round(self, item: Item) -> None:
        with self._lock:
            if not item.settled:
                now_ms = self._clock.now_ms()
                if self._replicas.list_usable(now_ms):
                    self._again.append(item)
                    self._dispatch(now_ms)
                else:
                    self._fail(item, item.failure)
        self._deliver()

    def _fail(self, item: Item, reason: str) -> None:
        """Settles an item that got no good reply."""
        if item.failed_reply is not None:
            self._settle(item, item.failed_reply)
        elif item.may_have_run or item.sends:
            # What is under way may run as well.
            self._settle(
                item,
                PartUnknown(
                    call=item.call.id,
                    service=self.service,
                    reason=reason,
                    step="pool.send",
                    peer=",".join(sorted(item.tried)),
                ),
            )
        else:
            self._record_refusal(item, reason)
            self._settle(
                item,
                PartNotRun(
                    call=item.call.id,
                    service=self.service,
                    reason=reason,
                    step="pool.submit",
                    peer=self.service,
                    retry_after_ms=RETRY_AFTER_MS,
                ),
            )

    def _record_refusal(self, item: Item, reason: str) -> None:
        now_ms = self._clock.now_ms()
        journal.record_event(
            "pool.refused",
            request_id=item.call.request_id,
            service=self.service,
            reason=reason,
            waited_ms=round(now_ms - item.arrived_ms, 1),
            remaining_ms=round(item.deadline_ms - now_ms, 1),
            queued=len(self._queue),
            usual_ms=round(item.usual.median_ms, 1),
            upstreams=self._replicas.describe(now_ms),
        )

    def _settle(self, item: Item, outcome: PartOutcome) -> None:
        self._close_item(item)
        self._outbox.append((item.reply, outcome))

    def _close_item(self, item: Item) -> None:
        item.settled = True
        self._items.pop((item.requester, item.call.id), None)
        if item.call.repeatable:
            for send in item.sends:
                send.connection.abort(send)
