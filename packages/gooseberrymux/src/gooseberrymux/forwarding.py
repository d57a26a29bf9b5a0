"""Entry side of forwarded requests: route, owners, reply or merged answer."""

import dataclasses

from gooseberrymux import journal
from gooseberrymux.calls import REASON_PEER_LOST, Inbox
from gooseberrymux.fanout import Complete, Fanout, Hopeless, Missing, Waiting
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
from gooseberrymux.records import Refusal, RunState
from gooseberrymux.routes import FanoutTarget, HttpRoute, SingleTarget, SplitTarget
from gooseberrymux.splits import WeightedRoundRobin

# The answer still has to be merged and written, which takes longer on a machine of less
# than one core, and has to reach the caller: usually so long ...
ANSWER_WORK_MS = 6.0
ANSWER_TRAVEL_MS = 2.0
# ... and at least so long.
SHORTEST_ANSWER_MS = 3.0
# Owners that can't be reached are replaced by the next one this often.
DISPATCHES_LIMIT = 4
# The owner that was asked is gone or going; another one may run the part.
REASONS_OWNER = frozenset({REASON_PEER_LOST, REASON_LEAVING})
REASON_NO_REPLY = "deadline"

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Forward:
    """A caller's request with its route.

    Attributes:
        request_id: The caller's own id of it.
        http: The request.
        route: Its route.
        generation: Generation of the routes that it was resolved by.
        arrived_ms: When it had arrived.
        target_at_ms: When an answer ceases to be on time; past if its caller has waited
            for too long before.
        deadline_ms: When it has to be answered.
    """

    request_id: str
    http: HttpRequest
    route: HttpRoute
    generation: int
    arrived_ms: float
    target_at_ms: float
    deadline_ms: float


@_frozen
class CallerLeft:
    """The caller does not wait for the answer any more."""


@_frozen
class Forwarded:
    """One upstream's reply, to be passed on unchanged."""

    reply: HttpReply


@_frozen
class Merged:
    """An answer merged from the replies of many upstreams.

    Attributes:
        body: The records.
        proofs: Proofs of the replies that it holds.
        missing: Parts that it leaves out.
    """

    body: bytes
    proofs: list[str]
    missing: list[Missing]


@_frozen
class Refused:
    """There is no reply."""

    refusal: Refusal


Result = Forwarded | Merged | Refused | CallerLeft


@service("forwarding", requires=("parts",))
class Forwarding:
    """Runs forwarded requests, each in its caller's thread."""

    __slots__ = ("_kernel", "_parts", "_splitter", "_margin_ms")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._parts = kernel.find("parts", Parts)
        self._splitter = WeightedRoundRobin()
        capacity = min(1.0, kernel.settings.instance.capacity)
        self._margin_ms = ANSWER_TRAVEL_MS + ANSWER_WORK_MS / capacity

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the gateway waits for its requests."""

    def stop(self) -> None:
        """Nothing to stop."""

    def create_inbox(self) -> Inbox:
        """Returns the inbox of a request; put `CallerLeft` there to give it up."""
        return Inbox(clock=self._kernel.clock)

    def run(self, forward: Forward, inbox: Inbox) -> Result:
        """Has a request run and returns its reply or merged answer, or why not."""
        match forward.route.target:
            case SingleTarget(service=name):
                return self._run_single(forward, name, inbox)
            case SplitTarget() as target:
                name = self._splitter.choose_service(
                    route=forward.route.name, target=target
                )
                return self._run_single(forward, name, inbox)
            case FanoutTarget() as target:
                return self._run_fanout(forward, target, inbox)

    def _run_single(self, forward: Forward, name: str, inbox: Inbox) -> Result:
        attempt = Attempts(forward=forward, limit=forward.route.attempts)
        ids = self._send(forward, [name], attempt, inbox)
        while True:
            for event in inbox.dequeue_all(forward.deadline_ms - self._margin_ms):
                match event:
                    case CallerLeft():
                        self._parts.cancel(ids)
                        self._record(forward, "caller left", service=name)
                        return event
                    case PartReplied():
                        self._record_reply(forward, event)
                        reply = HttpReply(
                            status=event.status,
                            headers=event.headers,
                            body=event.body,
                        )
                        return Forwarded(reply=reply)
                    case _ if self._may_send_again(forward, event, attempt):
                        ids = self._send(forward, [name], attempt, inbox)
                    case _:
                        return self._refuse_single(forward, event)
            if self._kernel.clock.now_ms() >= forward.deadline_ms - self._margin_ms:
                self._parts.cancel(ids)
                return self._refuse(
                    forward,
                    code=REASON_NO_REPLY,
                    run_state=RunState.UNKNOWN,
                    message=f"no reply of {name} in time",
                    service=name,
                    owner=self._parts.find_owner(name),
                )

    def _run_fanout(
        self, forward: Forward, target: FanoutTarget, inbox: Inbox
    ) -> Result:
        fanout = Fanout(
            target=target,
            started_ms=forward.arrived_ms,
            target_at_ms=forward.target_at_ms - self._margin_ms,
            late_after_ms=forward.target_at_ms - SHORTEST_ANSWER_MS,
            deadline_ms=forward.deadline_ms - self._margin_ms,
            latency_target_ms=forward.route.latency_target_ms,
        )
        attempts = {
            name: Attempts(forward=forward, limit=forward.route.attempts)
            for name in target.services
        }
        ids = self._send(forward, list(target.services), None, inbox)
        try:
            while True:
                match fanout.judge(self._kernel.clock.now_ms()):
                    case Complete():
                        return self._answer(forward, fanout)
                    case Hopeless():
                        return self._refuse_fanout(forward, fanout)
                    case Waiting(until_ms=until_ms):
                        events = inbox.dequeue_all(until_ms)
                if CALLER_LEFT in events:
                    self._record(forward, "caller left")
                    return CALLER_LEFT
                now_ms = self._kernel.clock.now_ms()
                again = []
                for event in events:
                    fanout.take(event, now_ms)
                    match event:
                        case PartNotRun(service=name) | PartUnknown(service=name):
                            if self._may_send_again(forward, event, attempts[name]):
                                again.append(name)
                for name in again:
                    fanout.reopen(name)
                    ids += self._send(forward, [name], attempts[name], inbox)
        finally:
            self._parts.cancel(ids)

    def _send(
        self,
        forward: Forward,
        services: list[str],
        attempts: "Attempts | None",
        inbox: Inbox,
    ) -> list[str]:
        now_ms = self._kernel.clock.now_ms()
        route, http = forward.route, forward.http
        template = ForwardCall(
            id="",
            request_id=forward.request_id,
            route=route.name,
            services=services,
            rank=route.rank,
            repeatable=route.repeatable,
            attempts=attempts.left if attempts else route.attempts,
            dispatched_before=attempts.dispatched if attempts else False,
            remaining_ms=forward.deadline_ms - now_ms,
            target_ms=forward.target_at_ms - now_ms,
            method=http.method,
            target=http.target,
            headers=http.headers,
            body=http.body,
            top=get_top(route),
        )
        return self._parts.send(template, inbox)

    def _may_send_again(
        self, forward: Forward, event: PartOutcome, attempts: "Attempts"
    ) -> bool:
        """Returns whether a part goes to another owner, and counts that."""
        if self._kernel.clock.now_ms() >= forward.deadline_ms - self._margin_ms:
            return False
        match event:
            case PartNotRun(reason=reason) if reason in REASONS_OWNER:
                return attempts.take(may_have_run=False)
            case PartUnknown(reason=reason) if reason in REASONS_OWNER:
                return forward.route.repeatable and attempts.take(may_have_run=True)
            case _:
                return False

    def _answer(self, forward: Forward, fanout: Fanout) -> Merged:
        missing = fanout.list_missing()
        self._record(
            forward,
            "answered",
            missing={part.service: part.reason for part in missing},
            parts=fanout.describe_parts(forward.arrived_ms),
        )
        return Merged(body=fanout.merge(), proofs=fanout.list_proofs(), missing=missing)

    def _refuse_fanout(self, forward: Forward, fanout: Fanout) -> Refused:
        missing = fanout.list_missing()
        run_state = RunState.UNKNOWN if fanout.may_have_run else RunState.NOT_RUN
        return self._refuse(
            forward,
            code="coverage_below_minimum",
            run_state=run_state,
            message=f"{len(missing)} parts are missing",
            retry_after_ms=fanout.retry_after_ms,
            missing={part.service: part.reason for part in missing},
            parts=fanout.describe_parts(forward.arrived_ms),
        )

    def _refuse_single(self, forward: Forward, outcome: PartOutcome) -> Refused:
        match outcome:
            case PartNotRun(retry_after_ms=retry_after_ms):
                run_state = RunState.NOT_RUN
            case _:
                run_state, retry_after_ms = RunState.UNKNOWN, 0.0
        return self._refuse(
            forward,
            code=outcome.reason,
            run_state=run_state,
            message=f"{outcome.step}: {outcome.reason}",
            retry_after_ms=retry_after_ms,
            service=outcome.service,
            peer=outcome.peer,
        )

    def _refuse(
        self,
        forward: Forward,
        *,
        code: str,
        run_state: RunState,
        message: str,
        retry_after_ms: float = 0.0,
        **fields: object,
    ) -> Refused:
        self._record(forward, "refused", code=code, run_state=run_state.value, **fields)
        return Refused(
            refusal=Refusal(
                code=code,
                message=message,
                run_state=run_state,
                step="forwarding.run",
                retry_after_ms=int(retry_after_ms) or None,
            )
        )

    def _record_reply(self, forward: Forward, part: PartReplied) -> None:
        self._record(
            forward,
            "replied",
            service=part.service,
            upstream=part.upstream,
            status=part.status,
            sends=part.sends,
            queued_ms=round(part.queued_ms, 1),
            upstream_ms=round(part.upstream_ms, 1),
        )

    def _record(self, forward: Forward, outcome: str, **fields: object) -> None:
        elapsed_ms = self._kernel.clock.now_ms() - forward.arrived_ms
        journal.record_event(
            "forwarding.ended",
            request_id=forward.request_id,
            route=forward.route.name,
            generation=forward.generation,
            rank=forward.route.rank.value,
            outcome=outcome,
            elapsed_ms=round(elapsed_ms, 1),
            target_left_ms=round(forward.target_at_ms - forward.arrived_ms),
            deadline_left_ms=round(forward.deadline_ms - forward.arrived_ms),
            **fields,
        )


CALLER_LEFT = CallerLeft()


def get_top(route: HttpRoute) -> int:
    """Returns how many records an answer of a route has; 0 if it is one reply."""
    match route.target:
        case FanoutTarget(top=top):
            return top
        case _:
            return 0


class Attempts:
    """How often a part may still go to another owner."""

    __slots__ = ("left", "dispatched", "_dispatches")

    def __init__(self, *, forward: Forward, limit: int):
        self.left = limit
        self.dispatched = False
        self._dispatches = 1

    def take(self, *, may_have_run: bool) -> bool:
        """Counts another dispatch; returns False if there may be none.

        Args:
            may_have_run: Whether the one before may have reached an upstream.
        """
        if self._dispatches >= DISPATCHES_LIMIT:
            return False
        if may_have_run:
            self.left -= 1
            self.dispatched = True
        self._dispatches += 1
        return self.left > 0
