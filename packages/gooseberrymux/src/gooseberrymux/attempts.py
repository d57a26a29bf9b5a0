"""Dispatch of claimed orders: an attempt is sent to one replica at a time.

An attempt is sent to another replica only after the previous one certainly did not run
it, and never after the attempt has ended. If the attempt ended with an unknown outcome
and the real outcome arrives later, that one is recorded in the claim.
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

# Bounds the memory for sub-requests whose outcome may still arrive. Beyond the limit
# the oldest is forgotten, and an unknown outcome of its attempt stays unknown.
MAX_PENDING_DISPATCHES = 4_096

CODE_DEADLINE_EXPIRED = "deadline_expired"
CODE_NO_REPLICA = "no_replica"
MESSAGE_MAY_HAVE_RUN = "the order may have run; ask for its outcome by key"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt to run an order, from its claim to its last dispatch.

    Attributes:
        id: Begins with the request's id; no instance ever uses it for another attempt.
        order: The order.
        digest: Digest of the order, by which a reused key is recognized.
        service: Service of the replicas that may run the order.
        route: Holds the groups whose replicas may run the order.
    """

    id: str
    order: Order
    digest: str
    service: str
    route: Route


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingDispatch:
    """A sub-request of an attempt whose outcome may arrive after the wait for it.

    Attributes:
        attempt: The attempt.
        upstream: Name of the upstream that the sub-request was sent to.
        attempt_ended: Whether the attempt ended with an unknown outcome, so that no
            dispatch follows. Before that, a repeated outcome of the sub-request must
            neither release nor complete the claim.
        early_outcome: First outcome that arrived outside the inbox before the attempt
            ended. It is recorded if the attempt ends with an unknown outcome.
    """

    attempt: Attempt
    upstream: str
    attempt_ended: bool = False
    early_outcome: SubrequestOutcome | None = None


class AttemptDispatcher:
    """Dispatches the attempts of this entry instance, once they hold their claim."""

    __slots__ = (
        "_clock",
        "_calls",
        "_claims",
        "_inventory",
        "_routing",
        "_pending_dispatches",
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
        self._pending_dispatches: collections.OrderedDict[str, PendingDispatch] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def count_pending_dispatches(self) -> int:
        """Returns the number of sub-requests whose outcome may still arrive."""
        return len(self._pending_dispatches)

    def list_replicas(self, attempt: Attempt) -> tuple[UpstreamRecord, ...]:
        """Returns the live upstreams that may run the order of an attempt."""
        return self._inventory.list_replicas(
            groups=attempt.route.groups, service_name=attempt.service
        )

    def run(self, attempt: Attempt) -> OrderOutcome:
        """Dispatches an attempt that has just claimed its key, until the attempt ends.

        Blocks the calling thread, at most until the order's deadline and then briefly
        until the outcome is recorded.
        """
        order = attempt.order
        refusal_reasons: dict[str, str] = {}
        while True:
            replica = self._routing.choose(
                replicas=self.list_replicas(attempt),
                tried=refusal_reasons,
                request_id=order.request_id,
                cause="order, after not run" if refusal_reasons else "order",
            )
            if replica is None:
                return self._release_claim(
                    attempt,
                    CODE_NO_REPLICA,
                    f"no replica ran the order: {refusal_reasons}",
                )
            # Checked directly before the dispatch, because the process may have been
            # suspended since it claimed the key.
            remaining_ms = order.deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return self._release_claim(
                    attempt,
                    CODE_DEADLINE_EXPIRED,
                    "the deadline passed before a replica ran the order",
                )
            match self._dispatch(attempt, replica, remaining_ms):
                case SubrequestCompleted(reply=reply):
                    return self._record_completion(attempt, replica.name, reply)
                case SubrequestNotRun(reason=reason):
                    refusal_reasons[replica.name] = reason
                case SubrequestUnknown(reason=reason):
                    return OrderUnknown(
                        key=order.key, message=f"{MESSAGE_MAY_HAVE_RUN} ({reason})"
                    )

    def _dispatch(
        self, attempt: Attempt, replica: UpstreamRecord, remaining_ms: float
    ) -> SubrequestOutcome:
        order = attempt.order
        inbox = Inbox(clock=self._clock)
        subrequest = Subrequest(
            id=self._calls.create_id("o"),
            request_id=order.request_id,
            upstream=replica.name,
            rank=order.traffic.rank,
            remaining_ms=remaining_ms,
            order_key=order.key,
            body=order.body,
        )
        self._track_dispatch(
            subrequest.id, PendingDispatch(attempt=attempt, upstream=replica.name)
        )
        self._calls.send(subrequest=subrequest, upstream=replica, inbox=inbox)
        outcomes = inbox.dequeue_all(order.deadline_ms)
        if not outcomes:
            # If the sub-request is still queued, the owner answers that it was not
            # run; that late outcome releases the claim. A sub-request that is already
            # at the upstream is not stopped.
            self._calls.cancel(subrequest.id)
            # An outcome may have arrived between the end of the wait and `cancel`.
            outcomes = inbox.dequeue_all(0.0)
        match outcomes:
            case [SubrequestCompleted() | SubrequestNotRun() as outcome, *_]:
                with self._lock:
                    self._pending_dispatches.pop(subrequest.id, None)
                return outcome
            case [SubrequestUnknown(reason=reason), *_]:
                pass
            case _:
                reason = CODE_DEADLINE_EXPIRED
        self._mark_attempt_ended(subrequest.id)
        return SubrequestUnknown(
            id=subrequest.id, reason=reason, step="orders.wait", peer=replica.name
        )

    def _record_completion(
        self, attempt: Attempt, upstream: str, reply: dict
    ) -> OrderCompleted:
        completion = create_complete_command(attempt, upstream, reply)
        self._claims.record(completion)
        self._claims.wait_until_recorded(attempt.id)
        return create_completed_outcome(completion)

    def _release_claim(self, attempt: Attempt, code: str, message: str) -> OrderNotRun:
        self._claims.record(create_release_command(attempt))
        self._claims.wait_until_recorded(attempt.id)
        return OrderNotRun(
            key=attempt.order.key, refusal=create_run_refusal(code, message)
        )

    def _track_dispatch(self, subrequest_id: str, dispatch: PendingDispatch) -> None:
        with self._lock:
            self._pending_dispatches[subrequest_id] = dispatch
            if len(self._pending_dispatches) > MAX_PENDING_DISPATCHES:
                self._pending_dispatches.popitem(last=False)

    def _mark_attempt_ended(self, subrequest_id: str) -> None:
        with self._lock:
            dispatch = self._pending_dispatches.get(subrequest_id)
            if dispatch is None:
                return
            dispatch.attempt_ended = True
            early_outcome = dispatch.early_outcome
            if early_outcome is not None:
                del self._pending_dispatches[subrequest_id]
        if early_outcome is not None:
            self._record_late_outcome(dispatch, early_outcome)

    def handle_late_outcome(self, event: UnexpectedOutcome) -> None:
        """Records an outcome that arrives after its attempt ended as unknown.

        An outcome that arrives while the attempt still runs is kept for its end.
        """
        outcome = event.outcome
        if isinstance(outcome, SubrequestUnknown):
            return
        with self._lock:
            dispatch = self._pending_dispatches.get(outcome.id)
            if dispatch is None:
                return
            if not dispatch.attempt_ended:
                dispatch.early_outcome = dispatch.early_outcome or outcome
                return
            del self._pending_dispatches[outcome.id]
        self._record_late_outcome(dispatch, outcome)

    def _record_late_outcome(
        self, dispatch: PendingDispatch, outcome: SubrequestOutcome
    ) -> None:
        # The earlier dispatches of the attempt certainly did not run and no later one
        # follows, so the outcome of this dispatch is the outcome of the attempt.
        attempt = dispatch.attempt
        match outcome:
            case SubrequestCompleted(reply=reply):
                command = create_complete_command(attempt, dispatch.upstream, reply)
            case _:
                command = create_release_command(attempt)
        journal.record_event(
            "orders.late_outcome",
            key=attempt.order.key,
            request_id=attempt.order.request_id,
            outcome=type(outcome).__name__,
        )
        self._claims.record(command)


def create_complete_command(attempt: Attempt, upstream: str, reply: dict) -> Complete:
    """Returns the command that records the reply to an attempt in its claim."""
    return Complete(
        key=attempt.order.key,
        attempt=attempt.id,
        digest=attempt.digest,
        caller=attempt.order.traffic.caller,
        upstream=upstream,
        reply=reply,
    )


def create_completed_outcome(completion: Complete) -> OrderCompleted:
    """Returns the outcome for the caller of an order that ran."""
    return OrderCompleted(
        key=completion.key, upstream=completion.upstream, reply=completion.reply
    )


def create_release_command(attempt: Attempt) -> Release:
    """Returns the command that releases the claim of an attempt that did not run."""
    return Release(
        key=attempt.order.key,
        attempt=attempt.id,
        digest=attempt.digest,
        caller=attempt.order.traffic.caller,
    )


def create_run_refusal(code: str, message: str) -> Refusal:
    """Returns the refusal of a submission that certainly was not run."""
    return Refusal(
        code=code, message=message, run_state=RunState.NOT_RUN, step="orders.run"
    )
