"""Sub-requests of this entry in flight, and the queues that wait for outcomes."""

import dataclasses
import itertools
import threading

from result import Err, Ok

from gooseberrymux import journal, metrics
from gooseberrymux.dispatch import Dispatch
from gooseberrymux.evidence import NoEvidence, Observation, Overtaken
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.lanes import REASON_CANCELLED
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

REASON_PEER_LOST = "peer_lost"
# Enough to see who takes over next, without a line that grows with the fleet.
CANDIDATES_LOGGED = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnerDispatch:
    """Sub-requests go to the instance that owns their upstream's queue."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DirectDispatch:
    """Each entry queues for each upstream by itself."""


DispatchMode = OwnerDispatch | DirectDispatch


def create_dispatch_mode(settings: PolicySettings) -> DispatchMode:
    """Returns the dispatch mode that the settings name."""
    match settings.dispatch:
        case "owner":
            return OwnerDispatch()
        case "direct":
            return DirectDispatch()


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One sub-request in flight and the queue that waits for its outcome.

    Attributes:
        subrequest: What was sent.
        owner: The instance that it was sent to.
        incarnation: The run it was sent to; 0 if the owner had not been heard yet.
        inbox: Gets the outcome.
        sent_ms: When it was sent.
    """

    subrequest: Subrequest
    owner: str
    incarnation: int
    inbox: "Inbox"
    sent_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnexpectedOutcome:
    """An outcome arrived for which no call waits any more."""

    outcome: SubrequestOutcome


class Inbox:
    """Outcomes that one caller's thread waits for."""

    __slots__ = ("_outcomes", "_changed", "_clock")

    def __init__(self, *, clock):
        self._outcomes: list[SubrequestOutcome] = []
        self._changed = threading.Condition()
        self._clock = clock

    def put(self, outcome: SubrequestOutcome) -> None:
        """Adds an outcome."""
        with self._changed:
            self._outcomes.append(outcome)
            self._changed.notify()

    def take(self, until_ms: float) -> list[SubrequestOutcome]:
        """Returns all outcomes, waiting for the first until `until_ms`."""
        with self._changed:
            while not self._outcomes:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    break
                self._clock.wait(self._changed, left_ms)
            outcomes, self._outcomes = self._outcomes, []
            return outcomes


@service("calls", requires=("peers", "membership", "dispatch", "routing"))
class Calls:
    """Sub-requests of this entry in flight, by id, at whichever owner."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_membership",
        "_dispatch",
        "_routing",
        "_mode",
        "_calls",
        "_owners",
        "_view",
        "_lock",
        "_counter",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._dispatch = kernel.find("dispatch", Dispatch)
        self._routing = kernel.find("routing", Routing)
        self._mode = create_dispatch_mode(kernel.settings.policy)
        self._calls: dict[str, Call] = {}
        self._owners: dict[tuple[str, str], str] = {}
        self._view = 0
        self._lock = threading.Lock()
        self._counter = itertools.count(1)
        for outcome_type in (SubrequestCompleted, SubrequestNotRun, SubrequestUnknown):
            self._peers.register(outcome_type, self._handle_outcome)
        kernel.subscribe(PeerLost, self._handle_lost)
        kernel.subscribe(MessagesNotSent, self._handle_not_sent)
        kernel.subscribe(LiveChanged, self._handle_live)

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: requests drain before it."""

    def stop(self) -> None:
        """Nothing to stop."""

    def create_id(self, kind: str) -> str:
        """Returns an id that is unique over instances and incarnations."""
        identity = self._peers.identity
        return f"{kind}-{identity.name}-{identity.incarnation:x}-{next(self._counter)}"

    def count_in_flight(self) -> int:
        """Returns the number of sub-requests in flight."""
        return len(self._calls)

    def send(
        self, *, subrequest: Subrequest, upstream: UpstreamRecord, inbox: Inbox
    ) -> None:
        """Hands a sub-request to the upstream's owner; its outcome goes to `inbox`."""
        own_name = self._peers.identity.name
        owner = self._find_owner(upstream)
        call = Call(
            subrequest=subrequest,
            owner=owner,
            incarnation=self._get_incarnation(owner),
            inbox=inbox,
            sent_ms=self._kernel.clock.now_ms(),
        )
        self._routing.record_send(upstream)
        with self._lock:
            self._calls[subrequest.id] = call
        if owner == own_name:
            self._dispatch.submit(subrequest, self.finish)
            return
        # The owner may have restarted between the two reads. Its loss was then either
        # published before the call was listed, and nothing else would fail the call,
        # or it has failed the call already, and nothing may be sent for it any more.
        current = self._get_incarnation(owner)
        if current != call.incarnation:
            call.incarnation = current
            if subrequest.id not in self._calls:
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
        """Passes an outcome to the thread that waits; drops what nobody waits for.

        Only this instance's own outcomes come here, of which it is the sender.
        """
        self._accept(self._peers.identity, outcome)

    def forget(self, subrequest_id: str) -> None:
        """Stops waiting for a sub-request; a later outcome is dropped."""
        self._drop(subrequest_id, NoEvidence())

    def cancel(self, subrequest_id: str, *, overtaken: bool = False) -> None:
        """Stops waiting for a sub-request and tells its owner that it is not wanted.

        Args:
            subrequest_id: The sub-request.
            overtaken: Whether another replica answered first, so that the time until
                now says something on the upstream.
        """
        call = self._drop(subrequest_id, NoEvidence(), overtaken=overtaken)
        if call is None:
            return
        if call.owner == self._peers.identity.name:
            self._dispatch.cancel(subrequest_id, upstream=call.subrequest.upstream)
        else:
            self._send_cancel(call)

    def _drop(
        self, subrequest_id: str, observation: Observation, *, overtaken: bool = False
    ) -> Call | None:
        with self._lock:
            call = self._calls.pop(subrequest_id, None)
        if call is None:
            return None
        if overtaken:
            elapsed_ms = self._kernel.clock.now_ms() - call.sent_ms
            observation = Overtaken(elapsed_ms=elapsed_ms)
        self._routing.record_observation(call.subrequest.upstream, observation)
        return call

    def _send_cancel(self, call: Call) -> None:
        # A lost cancel only costs the work that it would have saved.
        self._peers.send(
            call.owner,
            CancelSubrequest(id=call.subrequest.id, upstream=call.subrequest.upstream),
        )

    def _accept(self, sender: InstanceIdentity, outcome: SubrequestOutcome) -> None:
        with self._lock:
            call = self._calls.get(outcome.id)
            expected = call is not None and is_from_owner(call, sender)
            if expected:
                # Under the lock, so that after `forget` the inbox is complete.
                del self._calls[outcome.id]
                call.inbox.put(outcome)
        if call is None:
            self._drop_outcome(outcome)
        elif not expected:
            metrics.dropped_total.inc({"reason": "outcome_from_other_owner"})
        else:
            elapsed_ms = self._kernel.clock.now_ms() - call.sent_ms
            self._routing.record_observation(
                call.subrequest.upstream, classify_outcome(outcome, elapsed_ms)
            )

    def _drop_outcome(self, outcome: SubrequestOutcome) -> None:
        match outcome:
            case SubrequestNotRun(reason=reason) if reason == REASON_CANCELLED:
                # The answer to this entry's own cancel.
                pass
            case _:
                metrics.dropped_total.inc({"reason": "late_or_foreign_outcome"})
        self._kernel.publish(UnexpectedOutcome(outcome=outcome))

    def _find_owner(self, upstream: UpstreamRecord) -> str:
        own_name = self._peers.identity.name
        match self._mode:
            case DirectDispatch():
                return own_name
            case OwnerDispatch():
                # Hashing over thousands of members for each sub-request would cost
                # more than the rest of it, so owners are kept until a member changes.
                key = (upstream.name, upstream.failure_domain)
                owner = self._owners.get(key)
                if owner is None:
                    owner = self._place(upstream, own_name)
                return owner

    def _place(self, upstream: UpstreamRecord, own_name: str) -> str:
        view = self._view
        candidates = rank_owners(
            upstream=upstream,
            members=self._membership.list_live(),
            count=CANDIDATES_LOGGED,
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
            if view == self._view:
                self._owners[(upstream.name, upstream.failure_domain)] = owner
        return owner

    def _get_incarnation(self, owner: str) -> int:
        if owner == self._peers.identity.name:
            # Calls to itself can't be lost to another run.
            return 0
        return self._peers.get_incarnation(owner)

    def _handle_outcome(
        self, sender: InstanceIdentity, outcome: SubrequestOutcome
    ) -> None:
        self._accept(sender, outcome)

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
                del self._calls[call.subrequest.id]
                call.inbox.put(
                    SubrequestUnknown(
                        id=call.subrequest.id,
                        reason=REASON_PEER_LOST,
                        step="calls.wait",
                        peer=event.instance,
                    )
                )
        same_run = self._peers.get_incarnation(event.instance) == event.incarnation
        for call in lost:
            # It says nothing on the upstream.
            self._routing.record_observation(call.subrequest.upstream, NoEvidence())
            if same_run:
                # A frozen owner that wakes up finds the cancel behind the request.
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
            call = self._calls.pop(subrequest.id, None)
            if call is not None:
                call.inbox.put(outcome)
        if call is None:
            # Its attempt may have ended as unknown; an order takes the late news.
            self._drop_outcome(outcome)
        else:
            self._routing.record_observation(subrequest.upstream, NoEvidence())

    def _handle_live(self, event: LiveChanged) -> None:
        with self._lock:
            self._view += 1
            self._owners.clear()


def is_from_owner(call: Call, sender: InstanceIdentity) -> bool:
    """Returns whether a sender is the run of the owner that a call was sent to."""
    return sender.name == call.owner and call.incarnation in (0, sender.incarnation)
