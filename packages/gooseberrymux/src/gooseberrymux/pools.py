"""Owner side of forwarded requests: a pool for each service that is owned here."""

import threading

from gooseberrymux import metrics
from gooseberrymux.forward_exchange import encode_head
from gooseberrymux.forward_messages import (
    CancelForward,
    ForwardCall,
    PartNotRun,
    PartOutcome,
)
from gooseberrymux.inventory import Inventory
from gooseberrymux.items import Item, Reply
from gooseberrymux.kernel import Kernel, LeaveStarted, service
from gooseberrymux.merging import Collector
from gooseberrymux.peers import Peers
from gooseberrymux.pool import REASON_LEAVING, Pool, Tools
from gooseberrymux.records import InstanceIdentity
from gooseberrymux.routes import Routes
from gooseberrymux.timers import Timers
from gooseberrymux.usual_times import UsualTimes

# Before an answer ceases to be on time, the entry still has to get the parts, merge
# them and send them to the caller.
FLUSH_MARGIN_MS = 13.0


@service("pools", requires=("peers", "inventory", "routes", "timers"))
class Pools:
    """The pools of this instance, opened with the first request of their service."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_routes",
        "_tools",
        "_pools",
        "_collectors",
        "_lock",
        "_leaving",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._routes = kernel.find("routes", Routes)
        self._tools = Tools(
            kernel=kernel,
            inventory=kernel.find("inventory", Inventory),
            timers=kernel.find("timers", Timers),
            times=UsualTimes(),
            get_connections=self._get_connections,
        )
        self._pools: dict[str, Pool] = {}
        self._collectors: dict[tuple[str, str], Collector] = {}
        self._lock = threading.Lock()
        self._leaving = False
        self._peers.register(ForwardCall, self._handle_call)
        self._peers.register(CancelForward, self._handle_cancel)
        kernel.subscribe(LeaveStarted, self._handle_leave)

    def start(self) -> None:
        """Nothing to start: pools open with their first request."""

    def drain(self, deadline_ms: float) -> None:
        """Finishes what is under way for other instances."""
        self._kernel.wait_until(
            lambda: all(not pool.pending for pool in list(self._pools.values())),
            deadline_ms,
        )

    def stop(self) -> None:
        """Ends the idle connections."""
        for pool in list(self._pools.values()):
            pool.close()

    def describe(self) -> dict:
        """Returns the state of each pool for the status."""
        return {name: pool.describe() for name, pool in list(self._pools.items())}

    def submit(self, call: ForwardCall, reply: Reply, *, requester: str = "") -> None:
        """Sends a request to an upstream of each of its services.

        Args:
            call: The request.
            reply: Called once for each service, from any thread; must not block.
            requester: Instance that may cancel it; empty for this one.
        """
        if self._leaving and requester:
            for name in call.services:
                reply(refuse_leaving(call, name, self._peers.identity.name))
            return
        if call.top:
            reply = self._open_collector(call, reply, requester)
        now_ms = self._kernel.clock.now_ms()
        # The same for all services, and a good part of the work on each.
        head = encode_head(call, self._kernel.settings.gateway.headers)
        usual = self._tools.times.get(
            route=call.route, target_ms=max(1.0, call.target_ms)
        )
        items = [
            Item(
                call=call,
                reply=reply,
                requester=requester,
                now_ms=now_ms,
                head=head,
                usual=usual,
            )
            for _ in call.services
        ]
        for name, item in zip(call.services, items, strict=True):
            self._open_pool(name).submit(item)
        self._tools.timers.call_at(
            items[0].deadline_ms, lambda: self._expire(call, requester)
        )

    def _expire(self, call: ForwardCall, requester: str) -> None:
        for name in call.services:
            self._open_pool(name).expire(call.id, requester=requester)

    def cancel(self, message: CancelForward, *, requester: str = "") -> None:
        """Drops the services of a call whose outcomes are no longer wanted."""
        collector = self._collectors.get((requester, message.id))
        if collector is not None:
            collector.discard(message.services)
        for name in message.services:
            pool = self._pools.get(name)
            if pool is not None:
                pool.cancel(message.id, requester=requester)

    def _open_collector(self, call: ForwardCall, reply: Reply, requester: str) -> Reply:
        """Returns what takes in the parts of a call to merge them."""
        collector = Collector(call=call, reply=reply)
        key = (requester, call.id)
        self._collectors[key] = collector
        now_ms = self._kernel.clock.now_ms()

        def end() -> None:
            self._collectors.pop(key, None)
            collector.flush()

        self._tools.timers.call_at(
            now_ms + max(0.0, call.target_ms - FLUSH_MARGIN_MS), end
        )
        return collector.collect

    def _get_connections(self, service_name: str) -> int | None:
        table = self._routes.get_current()
        return table.connections.get(service_name) if table else None

    def _open_pool(self, name: str) -> Pool:
        pool = self._pools.get(name)
        if pool is None:
            with self._lock:
                pool = self._pools.get(name)
                if pool is None:
                    pool = self._pools[name] = Pool(service=name, tools=self._tools)
        return pool

    def _handle_leave(self, event: LeaveStarted) -> None:
        # The entries learned from membership that this instance is leaving before
        # they get these back, so they go to the next owner.
        self._leaving = True
        for pool in list(self._pools.values()):
            pool.hand_back()

    def _handle_call(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, ForwardCall)

        def send_outcome(outcome: PartOutcome) -> None:
            if self._peers.get_incarnation(sender.name) == sender.incarnation:
                self._peers.send(sender.name, outcome)
            else:
                metrics.dropped_total.inc({"reason": "requester_restarted"})
            if self._kernel.is_draining:
                self._kernel.wake()

        self.submit(message, send_outcome, requester=sender.name)

    def _handle_cancel(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, CancelForward)
        self.cancel(message, requester=sender.name)


def refuse_leaving(call: ForwardCall, service_name: str, own_name: str) -> PartNotRun:
    """Returns the outcome of a call that arrives during a planned stop."""
    return PartNotRun(
        call=call.id,
        service=service_name,
        reason=REASON_LEAVING,
        step="pools.submit",
        peer=own_name,
    )
