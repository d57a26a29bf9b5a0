"""Sends forwarded requests to the owners of their services and tracks the outcomes.

The entry is the instance that received the request. A part is the share of the request
that one service answers; the service's owner is the instance that queues for it.
"""

import dataclasses
import itertools
import threading
from collections.abc import Iterable, Mapping

from result import Err, Ok

from gooseberrymux import metrics
from gooseberrymux.attempt_budgets import AttemptBudget
from gooseberrymux.calls import (
    REASON_PEER_LOST,
    DirectDispatch,
    Inbox,
    OwnerDispatch,
    create_dispatch_mode,
)
from gooseberrymux.forward_messages import (
    PART_OUTCOME_TYPES,
    AttemptGranted,
    AttemptRequest,
    CancelForward,
    ForwardCall,
    PartNotRun,
    PartOutcome,
    PartsMerged,
    PartUnknown,
)
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.peers import MessagesNotSent, PeerLost, Peers
from gooseberrymux.placement import Placement
from gooseberrymux.pools import Pools
from gooseberrymux.records import InstanceIdentity


class PartsCall:
    """One message to one owner, and the services that have no outcome yet.

    Attributes:
        message: The message.
        owner: Name of the instance that the message was sent to.
        incarnation: Incarnation of the owner that the message was sent to; 0 if the
            owner had not been heard from, or is this instance.
        inbox: Receives the outcomes.
        budgets: Attempts of each service's part.
        pending: Services without an outcome.
    """

    __slots__ = ("message", "owner", "incarnation", "inbox", "budgets", "pending")

    def __init__(
        self,
        *,
        message: ForwardCall,
        owner: str,
        incarnation: int,
        inbox: Inbox,
        budgets: Mapping[str, AttemptBudget],
    ):
        self.message = message
        self.owner = owner
        self.incarnation = incarnation
        self.inbox = inbox
        self.budgets = budgets
        self.pending = set(message.services)


@service("parts", requires=("peers", "placement", "pools"))
class Parts:
    """Sends parts to the owners of their services and passes on the outcomes.

    Any thread may call it; outcomes arrive in the threads of peers and connections.
    """

    __slots__ = (
        "_kernel",
        "_peers",
        "_placement",
        "_pools",
        "_dispatch_mode",
        "_calls",
        "_lock",
        "_counter",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._placement = kernel.find("placement", Placement)
        self._pools = kernel.find("pools", Pools)
        self._dispatch_mode = create_dispatch_mode(kernel.settings.policy)
        self._calls: dict[str, PartsCall] = {}
        self._lock = threading.Lock()
        self._counter = itertools.count(1)
        for outcome_type in PART_OUTCOME_TYPES:
            self._peers.register(outcome_type, self._accept)
        self._peers.register(AttemptRequest, self._handle_attempt_request)
        kernel.subscribe(PeerLost, self._handle_peer_lost)
        kernel.subscribe(MessagesNotSent, self._handle_not_sent)

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the requests that use it drain first."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the number of messages that still wait for outcomes."""
        return {"in_flight": len(self._calls)}

    def send(
        self,
        template: ForwardCall,
        inbox: Inbox,
        budgets: Mapping[str, AttemptBudget],
    ) -> list[str]:
        """Sends a request to the owners of its services, one message for each owner.

        Args:
            template: The request with all its services; its id and its attempts are
                replaced.
            inbox: Receives the outcomes; one may cover several services.
            budgets: Attempts of each service's part, with at least one left.

        Returns:
            The ids of the messages, for `cancel`.
        """
        by_owner: dict[str, list[str]] = {}
        for name in template.services:
            by_owner.setdefault(self.find_owner(name), []).append(name)
        own_name = self._peers.identity.name
        # Other owners come first, so that they work while this instance starts its
        # own parts.
        owners = sorted(by_owner, key=lambda owner: owner == own_name)
        return [
            self._send_to(
                owner,
                dataclasses.replace(template, services=by_owner[owner]),
                inbox,
                {name: budgets[name] for name in by_owner[owner]},
            )
            for owner in owners
        ]

    def cancel(self, ids: Iterable[str]) -> None:
        """Stops waiting for outcomes and tells the owners to drop the parts."""
        for call_id in ids:
            with self._lock:
                call = self._calls.pop(call_id, None)
            if call is None or not call.pending:
                continue
            message = CancelForward(id=call_id, services=sorted(call.pending))
            if call.owner == self._peers.identity.name:
                self._pools.cancel(message)
            else:
                # If the cancel is lost, the owner merely does work that nobody needs.
                self._peers.send(call.owner, message)

    def _send_to(
        self,
        owner: str,
        template: ForwardCall,
        inbox: Inbox,
        budgets: Mapping[str, AttemptBudget],
    ) -> str:
        identity = self._peers.identity
        limit = min(budget.attempts_left for budget in budgets.values())
        # This instance's own attempts end with the request, so it needs not ask.
        attempts = limit if owner == identity.name else 1
        for budget in budgets.values():
            budget.give(attempts)
        message = dataclasses.replace(
            template,
            id=f"{identity.name}-{identity.incarnation:x}-{next(self._counter)}",
            attempts=attempts,
            attempts_on_request=limit - attempts,
            sent_ms=self._kernel.clock.boot_ms(),
        )
        call = PartsCall(
            message=message,
            owner=owner,
            incarnation=self._get_incarnation(owner),
            inbox=inbox,
            budgets=budgets,
        )
        with self._lock:
            self._calls[message.id] = call
        if owner == identity.name:
            self._pools.submit(message, self._accept_own)
            return message.id
        # The owner may have restarted after its incarnation was read for the call. If
        # `PeerLost` was published before the call was registered, nothing has failed
        # the call, so it is sent to the new incarnation. If it was published later, the
        # call has failed already and must not be sent.
        current = self._get_incarnation(owner)
        if current != call.incarnation:
            call.incarnation = current
            if message.id not in self._calls:
                return message.id
        match self._peers.send(owner, message):
            case Err(error):
                self._fail_unsent(message.id, step=error.step, peer=owner)
            case Ok(_):
                pass
        return message.id

    def _accept_own(self, outcome: PartOutcome) -> None:
        self._accept(self._peers.identity, outcome)

    def _accept(self, sender: InstanceIdentity, outcome: object) -> None:
        assert isinstance(outcome, PART_OUTCOME_TYPES)
        with self._lock:
            call = self._calls.get(outcome.call)
            services = list_services(outcome)
            expected = call is not None and is_from_owner(call, sender)
            if expected and call.pending.issuperset(services):
                call.pending.difference_update(services)
                if not call.pending:
                    del self._calls[outcome.call]
                call.inbox.enqueue(outcome)
                return
        metrics.dropped_total.inc({"reason": "late_or_foreign_outcome"})

    def _handle_attempt_request(
        self, sender: InstanceIdentity, message: object
    ) -> None:
        assert isinstance(message, AttemptRequest)
        service_name = message.service
        with self._lock:
            call = self._calls.get(message.call)
            is_granted = (
                call is not None
                and is_from_owner(call, sender)
                and service_name in call.pending
                and call.budgets[service_name].give()
            )
        if is_granted:
            granted = AttemptGranted(call=message.call, service=service_name)
            self._peers.send(sender.name, granted)
        else:
            metrics.dropped_total.inc({"reason": "late_or_foreign_attempt_request"})

    def find_owner(self, service_name: str) -> str:
        """Returns the name of the instance that a service's requests are sent to."""
        match self._dispatch_mode:
            case DirectDispatch():
                return self._peers.identity.name
            case OwnerDispatch():
                return self._placement.find_owner(service_name)

    def _get_incarnation(self, owner: str) -> int:
        if owner == self._peers.identity.name:
            # Calls to this instance end with its process, so they can't be lost to
            # another incarnation.
            return 0
        return self._peers.get_incarnation(owner)

    def _handle_peer_lost(self, event: PeerLost) -> None:
        with self._lock:
            lost = [
                call
                for call in self._calls.values()
                # A call with incarnation 0 was sent before the peer had been heard
                # from. Any incarnation may have received it, including the lost one,
                # so its outcome may never arrive.
                if call.owner == event.instance
                and call.incarnation in (0, event.incarnation)
            ]
            for call in lost:
                del self._calls[call.message.id]
                for name in call.pending:
                    call.inbox.enqueue(
                        PartUnknown(
                            call=call.message.id,
                            service=name,
                            reason=REASON_PEER_LOST,
                            step="parts.wait",
                            peer=event.instance,
                        )
                    )
        if self._peers.get_incarnation(event.instance) == event.incarnation:
            # The owner still runs and may only be frozen. When it resumes, it reads
            # the cancel after the request and drops the request.
            for call in lost:
                self._peers.send(
                    call.owner,
                    CancelForward(id=call.message.id, services=sorted(call.pending)),
                )

    def _handle_not_sent(self, event: MessagesNotSent) -> None:
        for message in event.messages:
            match message:
                case ForwardCall():
                    self._fail_unsent(
                        message.id, step="peers.send", peer=event.instance
                    )
                case _:
                    pass

    def _fail_unsent(self, call_id: str, *, step: str, peer: str) -> None:
        with self._lock:
            call = self._calls.pop(call_id, None)
            if call is None:
                return
            for name in call.pending:
                call.inbox.enqueue(
                    PartNotRun(
                        call=call_id,
                        service=name,
                        reason=REASON_PEER_LOST,
                        step=step,
                        peer=peer,
                    )
                )


def list_services(outcome: PartOutcome) -> list[str]:
    """Returns the services that an outcome covers."""
    match outcome:
        case PartsMerged(parts=parts):
            return [part.service for part in parts]
        case _:
            return [outcome.service]


def is_from_owner(call: PartsCall, sender: InstanceIdentity) -> bool:
    """Returns whether an outcome's sender is the owner that a call was sent to.

    Its incarnation must match too, unless it was unknown when the call was sent.
    """
    return sender.name == call.owner and call.incarnation in (0, sender.incarnation)
