"""Owner side of forwarded requests: one pool for each service that is owned here."""

import dataclasses
import threading

from gooseberrymux import metrics
from gooseberrymux.departures import SOURCE_UPSTREAM, Departures
from gooseberrymux.evacuations import EvacuationsChanged
from gooseberrymux.forward_exchange import encode_head
from gooseberrymux.forward_messages import (
    AttemptGranted,
    AttemptRequest,
    CancelForward,
    ForwardCall,
    PartNotRun,
    PartOutcome,
)
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, LeaveStarted, service
from gooseberrymux.merging import Collector, compute_flush_ms
from gooseberrymux.message_ages import MessageAges
from gooseberrymux.peers import Peers
from gooseberrymux.pending_requests import (
    AttemptCallback,
    OutcomeCallback,
    PendingRequest,
)
from gooseberrymux.pool import REASON_LEAVING, Pool, PoolDependencies
from gooseberrymux.records import InstanceIdentity, UpstreamRecord
from gooseberrymux.reply_memory import ReplyMemory
from gooseberrymux.route_latencies import RouteLatencies
from gooseberrymux.routes import Routes
from gooseberrymux.timers import Timers

# A shorter delay of a call is within the margin that deadlines have anyway.
DELAY_IGNORED_MS = 2.0


@service(
    "pools",
    requires=("peers", "inventory", "departures", "routes", "timers", "reply_memory"),
)
class Pools:
    """The pools of this instance; each is created with its service's first request."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_routes",
        "_departures",
        "_dependencies",
        "_pools",
        "_collectors",
        "_ages",
        "_lock",
        "_leaving",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._routes = kernel.find("routes", Routes)
        self._departures = kernel.find("departures", Departures)
        self._dependencies = PoolDependencies(
            kernel=kernel,
            inventory=kernel.find("inventory", Inventory),
            timers=kernel.find("timers", Timers),
            latencies=RouteLatencies(),
            reply_memory=kernel.find("reply_memory", ReplyMemory),
            get_connection_limit=self._get_connection_limit,
            get_cold_rate=self._get_cold_rate,
            report_leaving=self._report_leaving,
        )
        self._pools: dict[str, Pool] = {}
        self._collectors: dict[tuple[str, str], Collector] = {}
        self._ages = MessageAges()
        self._lock = threading.Lock()
        self._leaving = False
        self._peers.register(ForwardCall, self._handle_call)
        self._peers.register(CancelForward, self._handle_cancel)
        self._peers.register(AttemptGranted, self._handle_attempt)
        kernel.subscribe(LeaveStarted, self._handle_leave)
        kernel.subscribe(EvacuationsChanged, self._handle_evacuations)
        if kernel.settings.forwarding.spillover == "adaptive":
            metrics.spillover_share.read_from(self._list_shares)

    def start(self) -> None:
        """Does nothing: a pool is created with the first request of its service."""

    def drain(self, deadline_ms: float) -> None:
        """Waits until all requests have an outcome, at most until `deadline_ms`."""
        self._kernel.wait_until(
            lambda: all(not pool.pending for pool in list(self._pools.values())),
            deadline_ms,
        )

    def stop(self) -> None:
        """Closes the idle connections of all pools."""
        for pool in list(self._pools.values()):
            pool.close()

    def describe(self) -> dict:
        """Returns the state of each pool by service, for the status."""
        return {name: pool.describe() for name, pool in list(self._pools.items())}

    def submit(
        self,
        call: ForwardCall,
        on_outcome: OutcomeCallback,
        *,
        requester: str = "",
        request_attempt: AttemptCallback = lambda message: None,
    ) -> None:
        """Submits a request to the pool of each of its services.

        Args:
            call: The request.
            on_outcome: Called from any thread with the outcome of each service, or with
                the merged parts if the call asks for a merge; must not block.
            requester: Instance that may cancel the request; empty for this instance.
            request_attempt: Called from any thread to ask the requester for an attempt
                beyond `call.attempts`; must not block.
        """
        if self._leaving and requester:
            for name in call.services:
                on_outcome(refuse_leaving(call, name, self._peers.identity.name))
            return
        if call.top:
            on_outcome = self._create_collector(call, on_outcome, requester)
        now_ms = self._kernel.clock.now_ms()
        # Encoded once: the head is the same for all services and costly to encode.
        head = encode_head(call, self._kernel.settings.gateway.headers)
        latency = self._dependencies.latencies.estimate(
            route=call.route, target_ms=max(1.0, call.target_ms)
        )
        requests = [
            PendingRequest(
                call=call,
                on_outcome=on_outcome,
                request_attempt=request_attempt,
                requester=requester,
                now_ms=now_ms,
                head=head,
                latency=latency,
            )
            for _ in call.services
        ]
        for name, request in zip(call.services, requests, strict=True):
            self._get_or_create_pool(name).submit(request)
        self._dependencies.timers.call_at(
            requests[0].deadline_ms, lambda: self._expire_call(call, requester)
        )

    def _expire_call(self, call: ForwardCall, requester: str) -> None:
        for name in call.services:
            self._get_or_create_pool(name).expire(call.id, requester=requester)

    def cancel(self, message: CancelForward, *, requester: str = "") -> None:
        """Drops those parts of a call whose outcomes are no longer wanted."""
        collector = self._collectors.get((requester, message.id))
        if collector is not None:
            collector.discard(message.services)
        for name in message.services:
            pool = self._pools.get(name)
            if pool is not None:
                pool.cancel(message.id, requester=requester)

    def _create_collector(
        self, call: ForwardCall, on_outcome: OutcomeCallback, requester: str
    ) -> OutcomeCallback:
        """Returns a callback that collects the parts of a call to merge them."""
        collector = Collector(call=call, reply=on_outcome)
        key = (requester, call.id)
        self._collectors[key] = collector
        now_ms = self._kernel.clock.now_ms()

        def flush_collector() -> None:
            self._collectors.pop(key, None)
            collector.flush()

        self._dependencies.timers.call_at(
            now_ms + max(0.0, compute_flush_ms(call)), flush_collector
        )
        return collector.collect

    def _list_shares(self) -> dict[str, float]:
        pools = list(self._pools.items())
        return {name: pool.spillover_share for name, pool in pools}

    def _get_connection_limit(self, service_name: str) -> int | None:
        table = self._routes.get_current()
        return table.connections.get(service_name) if table else None

    def _get_cold_rate(self, service_name: str) -> float:
        table = self._routes.get_current()
        return table.cold_rates_per_s.get(service_name, 0.0) if table else 0.0

    def _report_leaving(self, record: UpstreamRecord) -> None:
        self._departures.report_leaving(
            upstream=record.name, epoch=record.epoch, source=SOURCE_UPSTREAM
        )

    def _get_or_create_pool(self, name: str) -> Pool:
        pool = self._pools.get(name)
        if pool is None:
            with self._lock:
                pool = self._pools.get(name)
                if pool is None:
                    pool = self._pools[name] = Pool(
                        service=name, dependencies=self._dependencies
                    )
        return pool

    def _handle_leave(self, event: LeaveStarted) -> None:
        # The entry instances learn from the membership that this instance is leaving
        # before they get these requests back, so they send them to the next owner.
        self._leaving = True
        for pool in list(self._pools.values()):
            pool.reject_forwarded()

    def _handle_evacuations(self, event: EvacuationsChanged) -> None:
        for pool in list(self._pools.values()):
            pool.apply_evacuations()

    def _handle_call(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, ForwardCall)

        def send_outcome(outcome: PartOutcome) -> None:
            if self._peers.get_incarnation(sender.name) == sender.incarnation:
                self._peers.send(sender.name, outcome)
            else:
                metrics.dropped_total.inc({"reason": "requester_restarted"})
            if self._kernel.is_draining:
                self._kernel.wake()

        def request_attempt(message: AttemptRequest) -> None:
            self._peers.send(sender.name, message)

        self.submit(
            self._subtract_delay(message, sender),
            send_outcome,
            requester=sender.name,
            request_attempt=request_attempt,
        )

    def _subtract_delay(
        self, call: ForwardCall, sender: InstanceIdentity
    ) -> ForwardCall:
        """Returns a call whose times left are counted from now.

        On a busy machine a call may have waited for long at either end. Without this an
        upstream would be given more time than the caller still waits.
        """
        if not call.sent_ms:
            return call
        delay_ms = self._ages.estimate_ms(
            sender=sender,
            sent_ms=call.sent_ms,
            received_ms=self._kernel.clock.boot_ms(),
        )
        if delay_ms < DELAY_IGNORED_MS:
            return call
        metrics.call_delay_ms.observe({}, delay_ms)
        answer_ms = call.answer_ms
        return dataclasses.replace(
            call,
            remaining_ms=call.remaining_ms - delay_ms,
            target_ms=call.target_ms - delay_ms,
            answer_ms=None if answer_ms is None else answer_ms - delay_ms,
        )

    def _handle_cancel(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, CancelForward)
        self.cancel(message, requester=sender.name)

    def _handle_attempt(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, AttemptGranted)
        pool = self._pools.get(message.service)
        if pool is not None:
            pool.add_attempt(message.call, requester=sender.name)


def refuse_leaving(call: ForwardCall, service_name: str, own_name: str) -> PartNotRun:
    """Returns the refusal of a call that arrives during a planned stop."""
    return PartNotRun(
        call=call.id,
        service=service_name,
        reason=REASON_LEAVING,
        step="pools.submit",
        peer=own_name,
    )
