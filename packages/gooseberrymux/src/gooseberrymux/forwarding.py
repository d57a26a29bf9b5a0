"""Runs forwarded requests at the instance that the caller is connected to.

A request to a single service gets one upstream's reply. A fan-out to many services gets
an answer that is merged from their replies.
"""

import dataclasses

from gooseberrymux import journal
from gooseberrymux.attempt_budgets import AttemptBudget
from gooseberrymux.calls import REASON_PEER_LOST, Inbox
from gooseberrymux.fanout import (
    Complete,
    Fanout,
    MinimumUnreachable,
    MissingPart,
    Waiting,
)
from gooseberrymux.forward_messages import (
    ForwardCall,
    PartNotRun,
    PartOutcome,
    PartReplied,
    PartUnknown,
)
from gooseberrymux.http_types import HttpReply, HttpRequest
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.parts import Parts
from gooseberrymux.pool import REASON_LEAVING
from gooseberrymux.records import Rank, Refusal, RunState
from gooseberrymux.routes import (
    FanoutTarget,
    HttpRoute,
    SingleTarget,
    SplitTarget,
    Workspace,
)
from gooseberrymux.splits import WeightedRoundRobin

# Usual time to merge and write an answer. It is scaled up on a machine of less than one
# core.
MERGE_AND_WRITE_MS = 6.0
# Usual time for an answer to reach the caller.
ANSWER_TRANSIT_MS = 2.0
# Shortest time to merge and write an answer and for it to reach the caller.
MIN_ANSWER_MS = 3.0
# The owner was lost or is stopping; another owner may run the part.
OWNER_GONE_REASONS = frozenset({REASON_PEER_LOST, REASON_LEAVING})
REASON_NO_REPLY = "deadline"

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class RoutedRequest:
    """A caller's request with its route.

    Times are monotonic, in milliseconds.

    Attributes:
        request_id: The id that the caller gave, or a random one.
        http: The HTTP request.
        route: The route that the request was resolved to.
        generation: Generation of the route table that it was resolved with.
        arrived_ms: When the request arrived.
        target_at_ms: After this time an answer misses the route's latency target; may
            be in the past if the caller waited for earlier attempts.
        deadline_ms: When the request has to be answered.
        rank: Rank of the request; the workspace's goes before the route's.
        workspace: The caller's workspace, or None without one.
    """

    request_id: str
    http: HttpRequest
    route: HttpRoute
    generation: int
    arrived_ms: float
    target_at_ms: float
    deadline_ms: float
    rank: Rank
    workspace: Workspace | None = None


@_frozen
class CallerLeft:
    """The caller closed its connection before the answer."""


@_frozen
class StopWaiting:
    """This instance stops; the request is to be answered now with what is known."""


@_frozen
class Forwarded:
    """The reply of one upstream, passed on unchanged."""

    reply: HttpReply


@_frozen
class Merged:
    """An answer merged from the replies of many upstreams.

    Attributes:
        body: The merged records.
        proofs: Proofs of the replies that the records come from.
        missing: Parts that the answer does not include.
    """

    body: bytes
    proofs: list[str]
    missing: list[MissingPart]


@_frozen
class Refused:
    """The request got no answer."""

    refusal: Refusal


Result = Forwarded | Merged | Refused | CallerLeft


@service("forwarding", requires=("parts",))
class Forwarding:
    """Runs forwarded requests, each in the thread of its caller's connection."""

    __slots__ = ("_kernel", "_parts", "_splitter", "_answer_margin_ms")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._parts = kernel.find("parts", Parts)
        self._splitter = WeightedRoundRobin()
        capacity = min(1.0, kernel.settings.instance.capacity)
        self._answer_margin_ms = ANSWER_TRANSIT_MS + MERGE_AND_WRITE_MS / capacity

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the gateway waits for requests in progress."""

    def stop(self) -> None:
        """Nothing to stop."""

    def create_inbox(self) -> Inbox:
        """Returns a new inbox for a request; put `CALLER_LEFT` there to abandon it."""
        return Inbox(clock=self._kernel.clock)

    def run(self, request: RoutedRequest, inbox: Inbox) -> Result:
        """Runs a request and returns its reply, its merged answer or its refusal.

        Blocks until there is a result, its deadline nears or its caller has left.
        """
        match request.route.target:
            case SingleTarget(service=name):
                return self._run_single(request, name, inbox)
            case SplitTarget() as target:
                name = self._splitter.choose_service(
                    route=request.route.name, target=target
                )
                return self._run_single(request, name, inbox)
            case FanoutTarget() as target:
                return self._run_fanout(request, target, inbox)

    def _run_single(self, request: RoutedRequest, name: str, inbox: Inbox) -> Result:
        budget = AttemptBudget(limit=request.route.attempts)
        call_ids = self._send(request, {name: budget}, inbox)
        stops = False
        while True:
            for event in inbox.dequeue_all(
                request.deadline_ms - self._answer_margin_ms
            ):
                match event:
                    case CallerLeft():
                        self._parts.cancel(call_ids)
                        self._log_ended(request, "caller left", service=name)
                        return event
                    case StopWaiting():
                        # A reply that has arrived as well is still passed on.
                        stops = True
                    case PartReplied():
                        self._log_reply(request, event)
                        reply = HttpReply(
                            status=event.status,
                            headers=event.headers,
                            body=event.body,
                        )
                        return Forwarded(reply=reply)
                    case _ if self._acquire_dispatch(request, event, budget):
                        call_ids = self._send(request, {name: budget}, inbox)
                    case _:
                        return self._refuse_single(request, event, budget)
            if stops:
                self._parts.cancel(call_ids)
                return self._refuse_stopping(request, name)
            if (
                self._kernel.clock.now_ms()
                >= request.deadline_ms - self._answer_margin_ms
            ):
                self._parts.cancel(call_ids)
                return self._refuse(
                    request,
                    code=REASON_NO_REPLY,
                    run_state=RunState.UNKNOWN,
                    message=f"no reply from {name} in time",
                    service=name,
                    owner=self._parts.find_owner(name),
                )

    def _run_fanout(
        self, request: RoutedRequest, target: FanoutTarget, inbox: Inbox
    ) -> Result:
        fanout = Fanout(
            target=target,
            started_ms=request.arrived_ms,
            target_at_ms=request.target_at_ms - self._answer_margin_ms,
            late_after_ms=request.target_at_ms - MIN_ANSWER_MS,
            deadline_ms=request.deadline_ms - self._answer_margin_ms,
            latency_target_ms=request.route.latency_target_ms,
        )
        budgets = {
            name: AttemptBudget(limit=request.route.attempts)
            for name in target.services
        }
        call_ids = self._send(request, budgets, inbox)
        try:
            while True:
                match fanout.evaluate(self._kernel.clock.now_ms()):
                    case Complete():
                        return self._answer_fanout(request, fanout)
                    case MinimumUnreachable():
                        return self._refuse_fanout(request, fanout)
                    case Waiting(until_ms=until_ms):
                        events = inbox.dequeue_all(until_ms)
                if CALLER_LEFT in events:
                    self._log_ended(request, "caller left")
                    return CALLER_LEFT
                now_ms = self._kernel.clock.now_ms()
                if STOP_WAITING in events:
                    fanout.end(now_ms)
                    events = [event for event in events if event != STOP_WAITING]
                names_to_resend = []
                for event in events:
                    fanout.record_outcome(event, now_ms)
                    match event:
                        case PartNotRun(service=name) | PartUnknown(service=name):
                            if self._acquire_dispatch(request, event, budgets[name]):
                                names_to_resend.append(name)
                for name in names_to_resend:
                    fanout.reopen(name)
                    call_ids += self._send(request, {name: budgets[name]}, inbox)
        finally:
            self._parts.cancel(call_ids)

    def _send(
        self,
        request: RoutedRequest,
        budgets: dict[str, AttemptBudget],
        inbox: Inbox,
    ) -> list[str]:
        """Sends a request to the owners of the services that `budgets` names."""
        now_ms = self._kernel.clock.now_ms()
        route, http = request.route, request.http
        template = ForwardCall(
            id="",
            request_id=request.request_id,
            route=route.name,
            services=list(budgets),
            rank=request.rank,
            repeatable=route.repeatable,
            attempts=route.attempts,
            dispatched_before=any(budget.may_have_run for budget in budgets.values()),
            remaining_ms=request.deadline_ms - now_ms,
            target_ms=request.target_at_ms - now_ms,
            method=http.method,
            target=http.target,
            headers=http.headers,
            body=http.body,
            top=get_record_limit(route),
            workspace=request.workspace.name if request.workspace else "",
            answer_ms=request.target_at_ms - self._answer_margin_ms - now_ms,
        )
        return self._parts.send(template, inbox, budgets)

    def _acquire_dispatch(
        self, request: RoutedRequest, event: PartOutcome, budget: AttemptBudget
    ) -> bool:
        """Reserves a dispatch of a failed part to another owner, if one is allowed."""
        if self._kernel.clock.now_ms() >= request.deadline_ms - self._answer_margin_ms:
            return False
        match event:
            case PartNotRun(reason=reason) if reason in OWNER_GONE_REASONS:
                return budget.acquire_dispatch(may_have_run=False)
            case PartUnknown(reason=reason) if reason in OWNER_GONE_REASONS:
                return request.route.repeatable and budget.acquire_dispatch(
                    may_have_run=True
                )
            case _:
                return False

    def _answer_fanout(self, request: RoutedRequest, fanout: Fanout) -> Merged:
        missing = fanout.list_missing()
        self._log_ended(
            request,
            "answered",
            missing={part.service: part.reason for part in missing},
            parts=fanout.describe_parts(request.arrived_ms),
        )
        return Merged(body=fanout.merge(), proofs=fanout.list_proofs(), missing=missing)

    def _refuse_fanout(self, request: RoutedRequest, fanout: Fanout) -> Refused:
        missing = fanout.list_missing()
        run_state = RunState.UNKNOWN if fanout.may_have_run else RunState.NOT_RUN
        return self._refuse(
            request,
            code="coverage_below_minimum",
            run_state=run_state,
            message=f"replies of {len(missing)} services are missing",
            retry_after_ms=fanout.retry_after_ms,
            missing={part.service: part.reason for part in missing},
            parts=fanout.describe_parts(request.arrived_ms),
        )

    def _refuse_stopping(self, request: RoutedRequest, name: str) -> Refused:
        return self._refuse(
            request,
            code=REASON_LEAVING,
            run_state=RunState.UNKNOWN,
            message=f"this instance stopped before the reply from {name}",
            service=name,
        )

    def _refuse_single(
        self, request: RoutedRequest, outcome: PartOutcome, budget: AttemptBudget
    ) -> Refused:
        match outcome:
            case PartNotRun(retry_after_ms=retry_after_ms) if not budget.may_have_run:
                run_state = RunState.NOT_RUN
            case _:
                run_state, retry_after_ms = RunState.UNKNOWN, 0.0
        return self._refuse(
            request,
            code=outcome.reason,
            run_state=run_state,
            message=f"{outcome.step}: {outcome.reason}",
            retry_after_ms=retry_after_ms,
            service=outcome.service,
            peer=outcome.peer,
        )

    def _refuse(
        self,
        request: RoutedRequest,
        *,
        code: str,
        run_state: RunState,
        message: str,
        retry_after_ms: float = 0.0,
        **fields: object,
    ) -> Refused:
        self._log_ended(
            request, "refused", code=code, run_state=run_state.value, **fields
        )
        return Refused(
            refusal=Refusal(
                code=code,
                message=message,
                run_state=run_state,
                step="forwarding.run",
                retry_after_ms=int(retry_after_ms) or None,
            )
        )

    def _log_reply(self, request: RoutedRequest, part: PartReplied) -> None:
        self._log_ended(
            request,
            "replied",
            service=part.service,
            upstream=part.upstream,
            status=part.status,
            sends=part.sends,
            queued_ms=round(part.queued_ms, 1),
            upstream_ms=round(part.upstream_ms, 1),
        )

    def _log_ended(
        self, request: RoutedRequest, outcome: str, **fields: object
    ) -> None:
        elapsed_ms = self._kernel.clock.now_ms() - request.arrived_ms
        if request.workspace:
            fields["workspace"] = request.workspace.name
        journal.record_event(
            "forwarding.ended",
            request_id=request.request_id,
            route=request.route.name,
            generation=request.generation,
            rank=request.rank.value,
            outcome=outcome,
            elapsed_ms=round(elapsed_ms, 1),
            target_left_ms=round(request.target_at_ms - request.arrived_ms),
            deadline_left_ms=round(request.deadline_ms - request.arrived_ms),
            **fields,
        )


CALLER_LEFT = CallerLeft()
STOP_WAITING = StopWaiting()


def get_record_limit(route: HttpRoute) -> int:
    """Returns how many records a route's answers have at most; 0 if not merged."""
    match route.target:
        case FanoutTarget(top=top):
            return top
        case _:
            return 0
