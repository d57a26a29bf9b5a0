"""Parts of this entry's forwarded requests in flight, at whichever owner."""

import dataclasses
import itertools
import threading
from collections.abc import Iterable

from result import Err, Ok

from gooseberrymux import metrics
from gooseberrymux.calls import (
    REASON_PEER_LOST,
    DirectDispatch,
    Inbox,
    OwnerDispatch,
    create_dispatch_mode,
)
from gooseberrymux.forward_messages import (
    PART_OUTCOME_TYPES,
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
    """One message to one owner, and the services whose outcome is open.

    Attributes:
        message: What was sent.
        owner: The instance that it was sent to.
        incarnation: The run it was sent to; 0 if the owner had not been heard yet.
        inbox: Gets the outcomes.
        open: Services without an outcome.
    """

    __slots__ = ("message", "owner", "incarnation", "inbox", "open")

    def __init__(
        self, *, message: ForwardCall, owner: str, incarnation: int, inbox: Inbox
    ):
        self.message = message
        self.owner = owner
        self.incarnation = incarnation
        self.inbox = inbox
        self.open = set(message.services)


@service("parts", requires=("peers", "placement", "pools"))
class Parts:
    """Finds the owner of each service, sends it the parts, takes in the outcomes."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_placement",
        "_pools",
        "_mode",
        "_calls",
        "_lock",
        "_counter",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._placement = kernel.find("placement", Placement)
        self._pools = kernel.find("pools", Pools)
        self._mode = create_dispatch_mode(kernel.settings.policy)
        self._calls: dict[str, PartsCall] = {}
        self._lock = threading.Lock()
        self._counter = itertools.count(1)
        for outcome_type in PART_OUTCOME_TYPES:
            self._peers.register(outcome_type, self._accept)
        kernel.subscribe(PeerLost, self._handle_lost)
        kernel.subscribe(MessagesNotSent, self._handle_not_sent)

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: requests drain before it."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the number of messages with an open outcome."""
        return {"in_flight": len(self._calls)}

    def send(self, template: ForwardCall, inbox: Inbox) -> list[str]:
        """Sends a request to the owners of its services; outcomes go to `inbox`.

        Args:
            template: The request with all its services; its id is not used.
            inbox: Gets one outcome for each service.

        Returns:
            The ids of the messages sent, for `cancel`.
        """
        by_owner: dict[str, list[str]] = {}
        for name in template.services:
            by_owner.setdefault(self.find_owner(name), []).append(name)
        own_name = self._peers.identity.name
        # Others first: they work on theirs while this instance starts its own.
        owners = sorted(by_owner, key=lambda owner: owner == own_name)
        return [
            self._send_to(owner, by_owner[owner], template, inbox) for owner in owners
        ]

    def cancel(self, ids: Iterable[str]) -> None:
        """Stops waiting for messages and tells their owners."""
        for call_id in ids:
            with self._lock:
                call = self._calls.pop(call_id, None)
            if call is None or not call.open:
                continue
            message = CancelForward(id=call_id, services=sorted(call.open))
            if call.owner == self._peers.identity.name:
                self._pools.cancel(message)
            else:
                # A lost cancel only costs the work that it would have saved.
                self._peers.send(call.owner, message)

    def _send_to(
        self, owner: str, services: list[str], template: ForwardCall, inbox: Inbox
    ) -> str:
        identity = self._peers.identity
        message = dataclasses.replace(
            template,
            id=f"{identity.name}-{identity.incarnation:x}-{next(self._counter)}",
            services=services,
        )
        call = PartsCall(
            message=message,
            owner=owner,
            incarnation=self._get_incarnation(owner),
            inbox=inbox,
        )
        with self._lock:
            self._calls[message.id] = call
        if owner == identity.name:
            self._pools.submit(message, self._accept_own)
            return message.id
        # The owner may have restarted between the two reads. Its loss was then either
        # published before the call was listed, and nothing else would fail the call,
        # or it has failed the call already, and nothing may be sent for it any more.
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
            if expected and call.open.issuperset(services):
                call.open.difference_update(services)
                if not call.open:
                    del self._calls[outcome.call]
                call.inbox.enqueue(outcome)
                return
        metrics.dropped_total.inc({"reason": "late_or_foreign_outcome"})

    def find_owner(self, service_name: str) -> str:
        """Returns the instance that a request for a service goes to."""
        match self._mode:
            case DirectDispatch():
                return self._peers.identity.name
            case OwnerDispatch():
                return self._placement.find_owner(service_name)

    def _get_incarnation(self, owner: str) -> int:
        if owner == self._peers.identity.name:
            # Calls to itself can't be lost to another run.
            return 0
        return self._peers.get_incarnation(owner)

    def _handle_lost(self, event: PeerLost) -> None:
        with self._lock:
            lost = [
                call
                for call in self._calls.values()
                # A call to a peer that had not been heard yet may have reached any
                # run of it, so it can't be waited for either.
                if call.owner == event.instance
                and call.incarnation in (0, event.incarnation)
            ]
            for call in lost:
                del self._calls[call.message.id]
                for name in call.open:
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
            # A frozen owner that wakes up finds the cancel behind the request.
            for call in lost:
                self._peers.send(
                    call.owner,
                    CancelForward(id=call.message.id, services=sorted(call.open)),
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
            for name in call.open:
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
    """Returns the services that an outcome is about."""
    match outcome:
        case PartsMerged(parts=parts):
            return [part.service for part in parts]
        case _:
            return [outcome.service]


def is_from_owner(call: PartsCall, sender: InstanceIdentity) -> bool:
    """Returns whether a sender is the run of the owner that a call was sent to."""
    return sender.name == call.owner and call.incarnation in (0, sender.incarnation)
