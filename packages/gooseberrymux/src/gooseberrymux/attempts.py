"""One attempt to run an order: dispatched to one replica at a time under its claim.

It is dispatched again only after an outcome that is certainly not run, and never once
it has ended. An outcome that arrives after the attempt ended as unknown is recorded.
"""

import collections
import dataclasses
import threading

from gooseberrymux import journal
from gooseberrymux.calls import Calls, Inbox, UnexpectedOutcome
from gooseberrymux.claims import Claims
from gooseberrymux.clock import Clock
from gooseberrymux.inventory import Inventory
from gooseberrymux.ledger import Complete, Release
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.records import (
    Order,
    OrderCompleted,
    OrderNotRun,
    OrderOutcome,
    OrderUnknown,
    Refusal,
    RunState,
    UpstreamRecord,
)
from gooseberrymux.routing import Routing
from gooseberrymux.selectors import Route

# Unknown attempts whose outcome may still arrive; older ones stay unknown.
LATE_LIMIT = 4_096

CODE_DEADLINE = "deadline_expired"
CODE_NO_REPLICA = "no_replica"
MESSAGE_MAY_HAVE_RUN = "the order may have run; ask for its outcome by key"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt to run an order.

    Attributes:
        id: Never used again, by any instance; begins with the request's id.
        order: The order.
        digest: Digest of the order.
        service: Service of the replicas that it may be sent to.
        route: The groups that it may reach.
    """

    id: str
    order: Order
    digest: str
    service: str
    route: Route


@dataclasses.dataclass(slots=True, kw_only=True)
class Dispatched:
    """A sub-request of an attempt, as long as an outcome may come outside its call.

    Attributes:
        attempt: The attempt.
        upstream: Where it was sent.
        ended: Whether the attempt ended as unknown and dispatches no more. Before
            that, a repeated outcome of an earlier dispatch must have no effect.
        early: An outcome that came before the attempt ended.
    """

    attempt: Attempt
    upstream: str
    ended: bool = False
    early: SubrequestOutcome | None = None


class Attempts:
    """Dispatches the attempts of this entry that hold their claim."""

    __slots__ = (
        "_clock",
        "_calls",
        "_claims",
        "_inventory",
        "_routing",
        "_late",
        "_lock",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        calls: Calls,
        claims: Claims,
        inventory: Inventory,
        routing: Routing,
    ):
        self._clock = clock
        self._routing = routing
        self._calls = calls
        self._claims = claims
        self._inventory = inventory
        self._late: collections.OrderedDict[str, Dispatched] = collections.OrderedDict()
        self._lock = threading.Lock()

    def count_late(self) -> int:
        """Returns the dispatches whose outcome may still arrive."""
        return len(self._late)

    def list_replicas(self, attempt: Attempt) -> tuple[UpstreamRecord, ...]:
        """Returns the live upstreams that may run an attempt's order."""
        return self._inventory.list_replicas(
            groups=attempt.route.groups, service_name=attempt.service
        )

    def run(self, attempt: Attempt) -> OrderOutcome:
        """Dispatches an attempt that has just claimed its key, until it ends."""
        order = attempt.order
        tried: dict[str, str] = {}
        while True:
            chosen = self._routing.choose(
                replicas=self.list_replicas(attempt),
                tried=tried,
                request_id=order.request_id,
                cause="order, after not run" if tried else "order",
            )
            if chosen is None:
                return self._release(
                    attempt, CODE_NO_REPLICA, f"no replica took it: {tried}"
                )
            # The last step before the dispatch: this thread may have been frozen
            # since it claimed the key.
            remaining_ms = order.deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return self._release(attempt, CODE_DEADLINE, "the deadline passed")
            match self._send(attempt, chosen, remaining_ms):
                case SubrequestCompleted(reply=reply):
                    return self._complete(attempt, chosen.name, reply)
                case SubrequestNotRun(reason=reason):
                    tried[chosen.name] = reason
                case SubrequestUnknown(reason=reason):
                    return OrderUnknown(
                        key=order.key, message=f"{MESSAGE_MAY_HAVE_RUN} ({reason})"
                    )

    def _send(
        self, attempt: Attempt, chosen: UpstreamRecord, remaining_ms: float
    ) -> SubrequestOutcome:
        order = attempt.order
        inbox = Inbox(clock=self._clock)
        subrequest = Subrequest(
            id=self._calls.create_id("o"),
            request_id=order.request_id,
            upstream=chosen.name,
            rank=order.traffic.rank,
            remaining_ms=remaining_ms,
            order_key=order.key,
            body=order.body,
        )
        self._expect(subrequest.id, Dispatched(attempt=attempt, upstream=chosen.name))
        self._calls.send(subrequest=subrequest, upstream=chosen, inbox=inbox)
        outcomes = inbox.dequeue_all(order.deadline_ms)
        if not outcomes:
            # If it is still queued, the owner hands it back, which comes as a late
            # outcome and releases the claim. One in flight is not stopped.
            self._calls.cancel(subrequest.id)
            # What arrived between the wait and `cancel`.
            outcomes = inbox.dequeue_all(0.0)
        match outcomes:
            case [SubrequestCompleted() | SubrequestNotRun() as outcome, *_]:
                with self._lock:
                    self._late.pop(subrequest.id, None)
                return outcome
            case [SubrequestUnknown(reason=reason), *_]:
                pass
            case _:
                reason = CODE_DEADLINE
        self._end(subrequest.id)
        return SubrequestUnknown(
            id=subrequest.id, reason=reason, step="orders.wait", peer=chosen.name
        )

    def _complete(self, attempt: Attempt, upstream: str, reply: dict) -> OrderCompleted:
        completion = create_completion(attempt, upstream, reply)
        self._claims.record(completion)
        self._claims.wait_recorded(attempt.id)
        return create_completed(completion)

    def _release(self, attempt: Attempt, code: str, message: str) -> OrderNotRun:
        self._claims.record(create_release(attempt))
        self._claims.wait_recorded(attempt.id)
        return OrderNotRun(key=attempt.order.key, refusal=refuse(code, message))

    def _expect(self, subrequest_id: str, dispatched: Dispatched) -> None:
        with self._lock:
            self._late[subrequest_id] = dispatched
            if len(self._late) > LATE_LIMIT:
                self._late.popitem(last=False)

    def _end(self, subrequest_id: str) -> None:
        with self._lock:
            dispatched = self._late.get(subrequest_id)
            if dispatched is None:
                return
            dispatched.ended = True
            early = dispatched.early
            if early is not None:
                del self._late[subrequest_id]
        if early is not None:
            self._record_late(dispatched, early)

    def handle_late(self, event: UnexpectedOutcome) -> None:
        """Records an outcome that arrives after its attempt ended as unknown."""
        outcome = event.outcome
        if isinstance(outcome, SubrequestUnknown):
            return
        with self._lock:
            dispatched = self._late.get(outcome.id)
            if dispatched is None:
                return
            if not dispatched.ended:
                dispatched.early = dispatched.early or outcome
                return
            del self._late[outcome.id]
        self._record_late(dispatched, outcome)

    def _record_late(self, dispatched: Dispatched, outcome: SubrequestOutcome) -> None:
        # Every earlier dispatch of the attempt certainly did not run, and there is
        # no later one, so this outcome is the attempt's.
        attempt = dispatched.attempt
        match outcome:
            case SubrequestCompleted(reply=reply):
                command = create_completion(attempt, dispatched.upstream, reply)
            case _:
                command = create_release(attempt)
        journal.record_event(
            "orders.late_outcome",
            key=attempt.order.key,
            request_id=attempt.order.request_id,
            outcome=type(outcome).__name__,
        )
        self._claims.record(command)


def create_completion(attempt: Attempt, upstream: str, reply: dict) -> Complete:
    """Returns the record of an attempt that ran."""
    return Complete(
        key=attempt.order.key,
        attempt=attempt.id,
        digest=attempt.digest,
        caller=attempt.order.traffic.caller,
        upstream=upstream,
        reply=reply,
    )


def create_completed(completion: Complete) -> OrderCompleted:
    """Returns the outcome of an attempt that ran."""
    return OrderCompleted(
        key=completion.key, upstream=completion.upstream, reply=completion.reply
    )


def create_release(attempt: Attempt) -> Release:
    """Returns the release of an attempt that certainly did not run."""
    return Release(
        key=attempt.order.key,
        attempt=attempt.id,
        digest=attempt.digest,
        caller=attempt.order.traffic.caller,
    )


def refuse(code: str, message: str) -> Refusal:
    """Returns the refusal of a submission that was certainly not run."""
    return Refusal(
        code=code, message=message, run_state=RunState.NOT_RUN, step="orders.run"
    )
