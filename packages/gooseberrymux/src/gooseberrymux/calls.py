"""Sub-requests of this entry instance in flight, and the inboxes for outcomes."""

import dataclasses
import itertools
import threading

from result import Err, Ok

from gooseberrymux import journal, metrics
from gooseberrymux.dispatch import Dispatch
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import LiveChanged, Membership
from gooseberrymux.messages import (
    CancelSubrequest,
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.ownership import rank_owners
from gooseberrymux.peers import MessagesNotSent, PeerLost, Peers
from gooseberrymux.records import InstanceIdentity, UpstreamRecord
from gooseberrymux.routing import Routing, classify_outcome
from gooseberrymux.settings import PolicySettings
from gooseberrymux.upstream_health import NoEvidence, Observation, Overtaken
from gooseberrymux.worker_pool import REASON_CANCELLED

REASON_PEER_LOST = "peer_lost"
# Enough to show which instances would take over next, without a log line that grows
# with the fleet.
OWNER_CANDIDATES_LOGGED = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerDispatch:
    """Sub-requests are sent to the instance that owns their upstream's queue."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DirectDispatch:
    """Each entry instance has its own queue for each upstream."""


DispatchMode = OwnerDispatch | DirectDispatch


def create_dispatch_mode(settings: PolicySettings) -> DispatchMode:
    """Returns the dispatch mode for the setting `policy.dispatch`."""
    match settings.dispatch:
        case "owner":
            return OwnerDispatch()
        case "direct":
            return DirectDispatch()


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingCall:
    """One sub-request in flight and the inbox for its outcome.

    Attributes:
        subrequest: The message that was sent.
        owner: Name of the instance that the sub-request was sent to.
        incarnation: Incarnation of the owner at the time; 0 if no message of the owner
            had arrived yet, or if the owner is this instance.
        inbox: Receives the outcome.
        sent_ms: Monotonic time of sending in milliseconds.
    """

    subrequest: Subrequest
    owner: str
    incarnation: int
    inbox: "Inbox"
    sent_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnexpectedOutcome:
    """An outcome arrived that no pending call waits for."""

    outcome: SubrequestOutcome


class Inbox:
    """Thread-safe queue of outcomes and events for one caller's request.

    The thread that handles the request is the only reader.
    """

    __slots__ = ("_outcomes", "_condition", "_clock")

    def __init__(self, *, clock):
        self._outcomes: list[SubrequestOutcome] = []
        self._condition = threading.Condition()
        self._clock = clock

    def enqueue(self, outcome: SubrequestOutcome) -> None:
        """Adds an outcome and wakes up the waiting thread."""
        with self._condition:
            self._outcomes.append(outcome)
            self._condition.notify()

    def dequeue_all(self, until_ms: float) -> list[SubrequestOutcome]:
        """Removes and returns all outcomes; waits for the first until `until_ms`.

        Args:
            until_ms: Monotonic time in milliseconds.

        Returns:
            An empty list if there was no outcome by then.
        """
        with self._condition:
            while not self._outcomes:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    break
                self._clock.wait(self._condition, left_ms)
            outcomes, self._outcomes = self._outcomes, []
            return outcomes


@service("calls", requires=("peers", "membership", "dispatch", "routing"))
class Calls:
    """Sends sub-requests to owners and matches the outcomes by sub-request id."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_membership",
        "_dispatch",
        "_routing",
        "_dispatch_mode",
        "_pending",
        "_owners",
        "_membership_version",
        "_lock",
        "_id_sequence",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._dispatch = kernel.find("dispatch", Dispatch)
        self._routing = kernel.find("routing", Routing)
        self._dispatch_mode = create_dispatch_mode(kernel.settings.policy)
        self._pending: dict[str, PendingCall] = {}
        self._owners: dict[tuple[str, str], str] = {}
        self._membership_version = 0
        self._lock = threading.Lock()
        self._id_sequence = itertools.count(1)
        for outcome_type in (SubrequestCompleted, SubrequestNotRun, SubrequestUnknown):
            self._peers.register(outcome_type, self._handle_outcome)
        kernel.subscribe(PeerLost, self._handle_peer_lost)
        kernel.subscribe(MessagesNotSent, self._handle_not_sent)
        kernel.subscribe(LiveChanged, self._handle_live_changed)

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the services that send sub-requests are drained first."""

    def stop(self) -> None:
        """Nothing to stop."""

    def create_id(self, kind: str) -> str:
        """Returns an id that is unique over instances and incarnations.

        Args:
            kind: Prefix of the id, such as "s" for a sub-request.
        """
        identity = self._peers.identity
        return (
            f"{kind}-{identity.name}-{identity.incarnation:x}-{next(self._id_sequence)}"
        )

    def count_in_flight(self) -> int:
        """Returns the number of sub-requests in flight."""
        return len(self._pending)

    def send(
        self, *, subrequest: Subrequest, upstream: UpstreamRecord, inbox: Inbox
    ) -> None:
        """Sends a sub-request to the upstream's owner; its outcome goes to `inbox`."""
        own_name = self._peers.identity.name
        owner = self._find_owner(upstream)
        call = PendingCall(
            subrequest=subrequest,
            owner=owner,
            incarnation=self._get_incarnation(owner),
            inbox=inbox,
            sent_ms=self._kernel.clock.now_ms(),
        )
        self._routing.record_send(upstream)
        with self._lock:
            self._pending[subrequest.id] = call
        if owner == own_name:
            self._dispatch.submit(subrequest, self.finish)
            return
        # The owner may have restarted since its incarnation was read above. If its loss
        # was published before the call was listed, no event would fail the call, so it
        # follows the new incarnation. If the loss has failed the call already, nothing
        # may be sent for it.
        current = self._get_incarnation(owner)
        if current != call.incarnation:
            call.incarnation = current
            if subrequest.id not in self._pending:
                return
        match self._peers.send(owner, subrequest):
            case Err(error):
                self.finish(
                    SubrequestNotRun(
                        id=subrequest.id,
                        reason=REASON_PEER_LOST,
                        step=error.step,
                        peer=owner,
                    )
                )
            case Ok(_):
                pass

    def finish(self, outcome: SubrequestOutcome) -> None:
        """Passes an outcome that this instance produced itself to the waiting thread.

        If no call waits for the outcome, publishes `UnexpectedOutcome`.
        """
        self._accept_outcome(self._peers.identity, outcome)

    def forget(self, subrequest_id: str) -> None:
        """Stops waiting for a sub-request, which its owner may still run.

        An outcome that arrives later is published as `UnexpectedOutcome`.
        """
        self._remove_call(subrequest_id, NoEvidence())

    def cancel(self, subrequest_id: str, *, overtaken: bool = False) -> None:
        """Stops waiting for a sub-request and asks its owner to cancel it.

        Args:
            subrequest_id: Id of the sub-request.
            overtaken: Whether another replica answered first. The time since sending is
                then recorded as a lower bound of the upstream's latency.
        """
        call = self._remove_call(subrequest_id, NoEvidence(), overtaken=overtaken)
        if call is None:
            return
        if call.owner == self._peers.identity.name:
            self._dispatch.cancel(subrequest_id, upstream=call.subrequest.upstream)
        else:
            self._send_cancel(call)

    def _remove_call(
        self, subrequest_id: str, observation: Observation, *, overtaken: bool = False
    ) -> PendingCall | None:
        with self._lock:
            call = self._pending.pop(subrequest_id, None)
        if call is None:
            return None
        if overtaken:
            elapsed_ms = self._kernel.clock.now_ms() - call.sent_ms
            observation = Overtaken(elapsed_ms=elapsed_ms)
        self._routing.record_observation(call.subrequest.upstream, observation)
        return call

    def _send_cancel(self, call: PendingCall) -> None:
        # Errors are ignored: a lost cancel only costs the work it would have saved.
        self._peers.send(
            call.owner,
            CancelSubrequest(id=call.subrequest.id, upstream=call.subrequest.upstream),
        )

    def _accept_outcome(
        self, sender: InstanceIdentity, outcome: SubrequestOutcome
    ) -> None:
        with self._lock:
            call = self._pending.get(outcome.id)
            expected = call is not None and is_from_owner(call, sender)
            if expected:
                # Enqueued under the lock, so that no outcome reaches the inbox after
                # `forget` or `cancel` has returned.
                del self._pending[outcome.id]
                call.inbox.enqueue(outcome)
        if call is None:
            self._publish_unexpected(outcome)
        elif not expected:
            metrics.dropped_total.inc({"reason": "outcome_from_other_owner"})
        else:
            elapsed_ms = self._kernel.clock.now_ms() - call.sent_ms
            self._routing.record_observation(
                call.subrequest.upstream, classify_outcome(outcome, elapsed_ms)
            )

    def _publish_unexpected(self, outcome: SubrequestOutcome) -> None:
        match outcome:
            case SubrequestNotRun(reason=reason) if reason == REASON_CANCELLED:
                # The owner's reply to a cancel of this entry, which is no fault.
                pass
            case _:
                metrics.dropped_total.inc({"reason": "late_or_foreign_outcome"})
        self._kernel.publish(UnexpectedOutcome(outcome=outcome))

    def _find_owner(self, upstream: UpstreamRecord) -> str:
        own_name = self._peers.identity.name
        match self._dispatch_mode:
            case DirectDispatch():
                return own_name
            case OwnerDispatch():
                # Scoring thousands of members for each sub-request would cost more than
                # the rest of its handling, so owners are cached until a member changes.
                key = (upstream.name, upstream.failure_domain)
                owner = self._owners.get(key)
                if owner is None:
                    owner = self._select_owner(upstream, own_name)
                return owner

    def _select_owner(self, upstream: UpstreamRecord, own_name: str) -> str:
        version = self._membership_version
        candidates = rank_owners(
            upstream=upstream,
            members=self._membership.list_live(),
            count=OWNER_CANDIDATES_LOGGED,
        )
        owner = candidates[0].name if candidates else own_name
        journal.record_decision(
            "placement.owner",
            chosen=owner,
            among=[member.name for member in candidates],
            reason="highest score among live members, own failure domain first",
            upstream=upstream.name,
        )
        with self._lock:
            if version == self._membership_version:
                self._owners[(upstream.name, upstream.failure_domain)] = owner
        return owner

    def _get_incarnation(self, owner: str) -> int:
        if owner == self._peers.identity.name:
            # A call to this instance itself can't be lost by a restart of its owner.
            return 0
        return self._peers.get_incarnation(owner)

    def _handle_outcome(
        self, sender: InstanceIdentity, outcome: SubrequestOutcome
    ) -> None:
        self._accept_outcome(sender, outcome)

    def _handle_peer_lost(self, event: PeerLost) -> None:
        with self._lock:
            lost = [
                call
                for call in self._pending.values()
                # A call that was sent before the first message of the peer arrived may
                # have gone to any incarnation, so it counts as lost as well.
                if call.owner == event.instance
                and call.incarnation in (0, event.incarnation)
            ]
            for call in lost:
                del self._pending[call.subrequest.id]
                call.inbox.enqueue(
                    SubrequestUnknown(
                        id=call.subrequest.id,
                        reason=REASON_PEER_LOST,
                        step="calls.wait",
                        peer=event.instance,
                    )
                )
        same_incarnation = (
            self._peers.get_incarnation(event.instance) == event.incarnation
        )
        for call in lost:
            # The loss of the owner is no evidence about the upstream.
            self._routing.record_observation(call.subrequest.upstream, NoEvidence())
            if same_incarnation:
                # If the owner was only frozen, it reads the cancel after the request.
                self._send_cancel(call)

    def _handle_not_sent(self, event: MessagesNotSent) -> None:
        for message in event.messages:
            match message:
                case Subrequest():
                    self._finish_not_sent(message, event.instance)
                case _:
                    pass

    def _finish_not_sent(self, subrequest: Subrequest, owner: str) -> None:
        outcome = SubrequestNotRun(
            id=subrequest.id, reason=REASON_PEER_LOST, step="peers.send", peer=owner
        )
        with self._lock:
            call = self._pending.pop(subrequest.id, None)
            if call is not None:
                call.inbox.enqueue(outcome)
        if call is None:
            # The call may have failed as unknown before. An order still uses the later
            # outcome to record that it was not run.
            self._publish_unexpected(outcome)
        else:
            self._routing.record_observation(subrequest.upstream, NoEvidence())

    def _handle_live_changed(self, event: LiveChanged) -> None:
        with self._lock:
            self._membership_version += 1
            self._owners.clear()


def is_from_owner(call: PendingCall, sender: InstanceIdentity) -> bool:
    """Returns whether a sender is the owner in the incarnation a call was sent to.

    Any incarnation of the owner matches if the call's incarnation is 0.
    """
    return sender.name == call.owner and call.incarnation in (0, sender.incarnation)
