"""Sub-requests of this entry in flight, and the queues that wait for outcomes."""

import dataclasses
import itertools
import threading

from result import Err, Ok

from gooseberrymux import metrics
from gooseberrymux.dispatch import Dispatch
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import Membership
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.ownership import find_owner
from gooseberrymux.peers import PeerLost, Peers
from gooseberrymux.records import InstanceIdentity, UpstreamRecord

REASON_PEER_LOST = "peer_lost"


@dataclasses.dataclass(slots=True, kw_only=True)
class Call:
    """One sub-request in flight and the queue that waits for its outcome."""

    subrequest: Subrequest
    owner: str
    inbox: "Inbox"


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


@service("calls", requires=("peers", "membership", "dispatch"))
class Calls:
    """Sub-requests of this entry in flight, by id, at whichever owner."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_membership",
        "_dispatch",
        "_calls",
        "_in_flight",
        "_lock",
        "_counter",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._dispatch = kernel.find("dispatch", Dispatch)
        self._calls: dict[str, Call] = {}
        self._in_flight: dict[str, int] = {}
        self._lock = threading.Lock()
        self._counter = itertools.count(1)
        for outcome_type in (SubrequestCompleted, SubrequestNotRun, SubrequestUnknown):
            self._peers.register(outcome_type, self._handle_outcome)
        kernel.subscribe(PeerLost, self._handle_lost)

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

    @property
    def in_flight(self) -> dict[str, int]:
        """Sub-requests of this entry in flight, by upstream."""
        return self._in_flight

    def send(
        self, *, subrequest: Subrequest, upstream: UpstreamRecord, inbox: Inbox
    ) -> None:
        """Hands a sub-request to the upstream's owner; its outcome goes to `inbox`."""
        own_name = self._peers.identity.name
        owner = own_name
        if self._kernel.settings.policy.dispatch == "owner":
            found = find_owner(upstream=upstream, members=self._membership.list_live())
            owner = found.name if found else own_name
        call = Call(subrequest=subrequest, owner=owner, inbox=inbox)
        with self._lock:
            self._calls[subrequest.id] = call
            self._in_flight[upstream.name] = self._in_flight.get(upstream.name, 0) + 1
        if owner == own_name:
            self._dispatch.submit(subrequest, self.finish)
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
        """Passes an outcome to the thread that waits; drops what nobody waits for."""
        with self._lock:
            call = self._calls.pop(outcome.id, None)
            if call is not None:
                self._in_flight[call.subrequest.upstream] -= 1
                # Under the lock, so that after `forget` the inbox is complete.
                call.inbox.put(outcome)
                return
        metrics.dropped_total.inc({"reason": "late_or_foreign_outcome"})
        self._kernel.publish(UnexpectedOutcome(outcome=outcome))

    def forget(self, subrequest_id: str) -> None:
        """Stops waiting for a sub-request; a later outcome is dropped."""
        with self._lock:
            call = self._calls.pop(subrequest_id, None)
            if call:
                self._in_flight[call.subrequest.upstream] -= 1

    def _handle_outcome(
        self, sender: InstanceIdentity, outcome: SubrequestOutcome
    ) -> None:
        self.finish(outcome)

    def _handle_lost(self, event: PeerLost) -> None:
        with self._lock:
            lost = [
                call for call in self._calls.values() if call.owner == event.instance
            ]
        for call in lost:
            self.finish(
                SubrequestUnknown(
                    id=call.subrequest.id,
                    reason=REASON_PEER_LOST,
                    step="calls.wait",
                    peer=event.instance,
                )
            )
