"""Callers' side of forwarded requests: routes them, answers them, says if ready."""

import secrets
import threading

from result import Err, Ok, Result

from gooseberrymux import front, journal, metrics, web
from gooseberrymux.admission import Admission
from gooseberrymux.callers import Callers
from gooseberrymux.forwarding import (
    CALLER_LEFT,
    CallerLeft,
    Forward,
    Forwarded,
    Forwarding,
    Merged,
    Refused,
)
from gooseberrymux.forwarding import Result as ForwardResult
from gooseberrymux.front import Answer, CallerGone, FrontServer, Received
from gooseberrymux.http_records import HttpReply
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, LeaveStarted, service
from gooseberrymux.records import Rank, Refusal, RunState
from gooseberrymux.routes import CallerLimits, HttpRoute, HttpRouteTable, Routes

HEALTH_THREADS = 2
# For callers that send no id of their own.
REQUEST_ID_BYTES = 8
# Told to callers while this instance has no routes yet or is stopping.
NOT_READY_RETRY_MS = 300
MS_PER_S = 1_000
# A caller that was refused early and told to come back counts as new.
COMEBACK_TARGETS = 0.25
STATUS_BY_CODE = {
    "no_route": 404,
    "malformed_request": 400,
    "deadline": 504,
    "deadline_expired": 503,
}
RUN_STATE_STATUS = {RunState.NOT_RUN: 503, RunState.UNKNOWN: 502}


@service(
    "gateway",
    requires=("forwarding", "routes", "inventory", "callers", "admission"),
)
class Gateway:
    """Serves callers' HTTP requests, one thread a connection."""

    __slots__ = (
        "_kernel",
        "_forwarding",
        "_routes",
        "_inventory",
        "_callers",
        "_admission",
        "_names",
        "_server",
        "_health",
        "_leaving",
        "_refusing",
        "_in_progress",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._forwarding = kernel.find("forwarding", Forwarding)
        self._routes = kernel.find("routes", Routes)
        self._inventory = kernel.find("inventory", Inventory)
        self._callers = kernel.find("callers", Callers)
        self._admission = kernel.find("admission", Admission)
        self._names = kernel.settings.gateway.headers
        self._server: FrontServer | None = None
        self._health = None
        self._leaving = False
        self._refusing = False
        self._in_progress = 0
        self._lock = threading.Lock()
        kernel.subscribe(LeaveStarted, self._handle_leave)

    def start(self) -> None:
        """Opens the listeners."""
        settings = self._kernel.settings.gateway
        self._server = FrontServer(
            address=settings.callers,
            kernel=self._kernel,
            handle=self._handle,
            get_limits=self._get_limits,
        )
        self._server.prepare()
        self._kernel.spawn(name="gateway.callers", target=self._server.serve)
        self._health = web.create_server(
            address=settings.health,
            threads=HEALTH_THREADS,
            handle=self._handle_health,
        )
        self._health.prepare()
        self._kernel.spawn(name="gateway.health", target=self._health.serve)

    def drain(self, deadline_ms: float) -> None:
        """Lets the balancer notice, then refuses new work and finishes the old."""
        clock = self._kernel.clock
        settled_ms = clock.now_ms() + self._kernel.settings.settle_ms
        self._kernel.wait_until(lambda: False, min(settled_ms, deadline_ms))
        with self._lock:
            self._refusing = True
        self._kernel.wait_until(lambda: self._in_progress == 0, deadline_ms)

    def stop(self) -> None:
        """Closes the listeners and the callers' connections."""
        if self._server:
            web.stop_server(self._server)
            self._server.close_connections()
        if self._health:
            web.stop_server(self._health)

    def _handle_leave(self, event: LeaveStarted) -> None:
        self._leaving = True

    def _get_limits(self) -> CallerLimits:
        table = self._routes.get_current()
        return table.limits if table else CallerLimits()

    @property
    def is_ready(self) -> bool:
        """Whether this instance wants new connections."""
        return (
            not self._leaving
            and self._kernel.failure is None
            and self._routes.get_current() is not None
            and bool(self._inventory.list_upstreams())
        )

    def _handle_health(self, request: web.Request) -> web.Response:
        if request.path == "/metrics":
            body, headers = metrics.render_metrics(request.headers.get("accept", ""))
            return web.Response(status=200, body=body, headers=dict(headers))
        ready = self.is_ready
        return web.create_json(
            status=200 if ready else 503,
            body={"state": "ready" if ready else "not ready"},
        )

    def _handle(self, received: Received) -> Answer | CallerGone:
        with self._lock:
            refusing = self._refusing
            self._in_progress += not refusing
        if refusing:
            return self._answer_refusal(refuse_leaving())
        try:
            return self._serve(received)
        finally:
            with self._lock:
                self._in_progress -= 1
            if self._leaving:
                self._kernel.wake()

    def _serve(self, received: Received) -> Answer | CallerGone:
        started_ms = self._kernel.clock.now_ms()
        match self._resolve(received, started_ms):
            case Err(refusal):
                self._record_refusal(received, refusal)
                return self._answer_refusal(refusal)
            case Ok(forward):
                pass
        rank = forward.route.rank
        with self._admission.admit(rank) as refused:
            if refused:
                self._record_refusal(received, refused)
                return self._answer_refusal(refused)
            result = self._run(forward, received)
        answer = self._create_answer(result)
        self._count(rank, answer, started_ms)
        return answer

    def _run(self, forward: Forward, received: Received) -> ForwardResult:
        inbox = self._forwarding.create_inbox()
        self._callers.watch(received.sock, lambda: inbox.put(CALLER_LEFT))
        try:
            return self._forwarding.run(forward, inbox)
        finally:
            self._callers.unwatch(received.sock)

    def _resolve(self, received: Received, now_ms: float) -> Result[Forward, Refusal]:
        """Returns the request with its route and deadline, or its refusal."""
        request = received.request
        table = self._routes.get_current()
        if table is None or not self._inventory.list_upstreams():
            return Err(refuse_not_ready())
        match read_deadline(request.get(self._names.deadline_ms.lower())):
            case Err(refusal):
                return Err(refusal)
            case Ok(given_ms):
                pass
        found = table.resolve(host=request.get("host") or "", path=request.target)
        return found.map(
            lambda route: self._create_forward(received, table, route, given_ms, now_ms)
        )

    def _create_forward(
        self,
        received: Received,
        table: HttpRouteTable,
        route: HttpRoute,
        given_ms: float | None,
        now_ms: float,
    ) -> Forward:
        request = received.request
        allowed_ms = min(
            route.timeout_ms, route.timeout_ms if given_ms is None else given_ms
        )
        return Forward(
            request_id=request.get(self._names.request_id.lower())
            or secrets.token_hex(REQUEST_ID_BYTES),
            http=received.request,
            route=route,
            generation=table.generation,
            arrived_ms=now_ms,
            target_at_ms=now_ms + route.latency_target_ms - find_age(route, allowed_ms),
            deadline_ms=now_ms + allowed_ms,
        )

    def _create_answer(self, result: ForwardResult) -> Answer | CallerGone:
        match result:
            case CallerLeft():
                return CallerGone()
            case Forwarded(reply=reply):
                return Answer(reply=reply, close=self._leaving)
            case Merged(body=body, proofs=proofs, missing=missing):
                headers = (
                    (self._names.part_proofs, ", ".join(proofs)),
                    (self._names.missing_parts, str(len(missing))),
                )
                reply = HttpReply(status=200, headers=headers, body=body)
                return Answer(reply=reply, close=self._leaving)
            case Refused(refusal=refusal):
                return self._answer_refusal(refusal)

    def _answer_refusal(self, refusal: Refusal) -> Answer:
        status = STATUS_BY_CODE.get(refusal.code) or RUN_STATE_STATUS[refusal.run_state]
        headers: tuple[tuple[str, str], ...] = ()
        if refusal.retry_after_ms is not None:
            # Fractions of a second are allowed by these callers.
            seconds = refusal.retry_after_ms / MS_PER_S
            headers = (("retry-after", f"{seconds:.3f}"),)
        reply = front.create_text_reply(
            status=status, text=f"{refusal.code}: {refusal.message}", headers=headers
        )
        return Answer(reply=reply, close=self._leaving)

    def _record_refusal(self, received: Received, refusal: Refusal) -> None:
        table = self._routes.get_current()
        journal.record_event(
            "gateway.refused",
            request_id=received.request.get(self._names.request_id.lower()) or "",
            host=received.request.get("host") or "",
            target=received.request.target,
            generation=table.generation if table else None,
            upstreams=len(self._inventory.list_upstreams()),
            code=refusal.code,
            reason=refusal.message,
        )

    def _count(
        self, rank: Rank, answer: Answer | CallerGone, started_ms: float
    ) -> None:
        status = "left" if isinstance(answer, CallerGone) else str(answer.reply.status)
        metrics.forwards_total.inc({"rank": rank.value, "status": status})
        elapsed_ms = self._kernel.clock.now_ms() - started_ms
        metrics.forward_ms.observe({"rank": rank.value}, elapsed_ms)


def read_deadline(value: str | None) -> Result[float | None, Refusal]:
    """Returns the milliseconds that a caller waits, or None if it does not say."""
    if value is None:
        return Ok(None)
    if not (value.isascii() and value.isdecimal() and len(value) < 12):
        return Err(
            Refusal(
                code="malformed_request",
                message="the deadline is not a whole number of milliseconds",
                run_state=RunState.NOT_RUN,
                step="gateway.read",
            )
        )
    return Ok(float(value))


def find_age(route: HttpRoute, allowed_ms: float) -> float:
    """Returns for how many milliseconds a caller has waited before this attempt.

    Callers wait for as long as the route allows from their first attempt on, so one
    that says that it waits less has used up the difference.
    """
    age_ms = route.timeout_ms - allowed_ms
    comeback_ms = NOT_READY_RETRY_MS + COMEBACK_TARGETS * route.latency_target_ms
    return age_ms if age_ms > comeback_ms else 0.0


def refuse_not_ready() -> Refusal:
    """Returns the refusal of an instance that knows no routes or upstreams yet."""
    return refuse_for_now(
        code="not_ready",
        message="this instance does not know the routes and upstreams yet",
        step="gateway.read",
    )


def refuse_leaving() -> Refusal:
    """Returns the refusal of an instance that is stopping."""
    return refuse_for_now(
        code="instance_leaving",
        message="this instance is stopping; ask another one",
        step="gateway.drain",
    )


def refuse_for_now(*, code: str, message: str, step: str) -> Refusal:
    """Returns a refusal that another instance, or this one soon, would not give."""
    return Refusal(
        code=code,
        message=message,
        run_state=RunState.NOT_RUN,
        step=step,
        retry_after_ms=NOT_READY_RETRY_MS,
    )
