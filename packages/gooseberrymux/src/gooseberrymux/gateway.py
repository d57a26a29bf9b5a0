"""Entry point for callers: routes requests, writes replies and reports readiness."""

import dataclasses
import secrets
import threading

from result import Err, Ok, Result

from gooseberrymux import (
    caller_server,
    journal,
    metrics,
    web,
    workspace_requests,
)
from gooseberrymux.admission import Admission
from gooseberrymux.api_keys import ApiKeys
from gooseberrymux.caller_memory import CallerMemory
from gooseberrymux.caller_server import (
    CallerDisconnected,
    CallerReply,
    CallerServer,
    ReceivedRequest,
)
from gooseberrymux.callers import DisconnectWatcher
from gooseberrymux.calls import Inbox
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.forwarding import (
    CALLER_LEFT,
    STOP_WAITING,
    CallerLeft,
    Forwarded,
    Forwarding,
    Merged,
    Refused,
    RoutedRequest,
)
from gooseberrymux.forwarding import Result as ForwardResult
from gooseberrymux.gateway_refusals import (
    NOT_READY_RETRY_MS,
    create_leaving_refusal,
    create_not_ready_refusal,
    create_quota_refusal,
    find_status,
)
from gooseberrymux.http_types import HttpReply, HttpRequest, remove_headers
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, LeaveStarted, service
from gooseberrymux.own_delay import OwnDelay
from gooseberrymux.quota_answers import Exceeded
from gooseberrymux.quotas import Quotas
from gooseberrymux.records import Rank, Refusal, RunState
from gooseberrymux.routes import (
    CallerLimits,
    HttpRoute,
    HttpRouteTable,
    Routes,
    Workspace,
)

HEALTH_CONNECTIONS = 64
# The host and target of a refused request are cut to this length in the log.
LOGGED_CHARACTERS = 256
# Random bytes in the id of a request whose caller sends none.
REQUEST_ID_BYTES = 8
# Before the end of a planned stop, the time in which requests that still wait for their
# upstream are answered.
STOP_ANSWER_MS = 150.0
# In multiples of the route's latency target. A caller that has waited no longer than
# this plus NOT_READY_RETRY_MS counts as new: it was refused early and told to retry.
EARLY_RETRY_LATENCY_TARGETS = 0.25


@service(
    "gateway",
    requires=(
        "forwarding",
        "routes",
        "inventory",
        "callers",
        "admission",
        "own_delay",
        "quotas",
        "caller_memory",
    ),
)
class Gateway:
    """Serves callers' HTTP requests, one thread for each connection."""

    __slots__ = (
        "_kernel",
        "_forwarding",
        "_routes",
        "_inventory",
        "_disconnect_watcher",
        "_admission",
        "_own_delay",
        "_quotas",
        "_memory",
        "_header_names",
        "_caller_server",
        "_health_server",
        "_leaving",
        "_refusing",
        "_in_progress",
        "_inboxes",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._forwarding = kernel.find("forwarding", Forwarding)
        self._routes = kernel.find("routes", Routes)
        self._inventory = kernel.find("inventory", Inventory)
        self._disconnect_watcher = kernel.find("callers", DisconnectWatcher)
        self._admission = kernel.find("admission", Admission)
        self._own_delay = kernel.find("own_delay", OwnDelay)
        self._quotas = kernel.find("quotas", Quotas)
        self._memory = kernel.find("caller_memory", CallerMemory)
        self._header_names = kernel.settings.gateway.headers
        self._caller_server: CallerServer | None = None
        self._health_server = None
        self._leaving = False
        self._refusing = False
        self._in_progress = 0
        # Inboxes of the requests that wait for their upstreams.
        self._inboxes: set[Inbox] = set()
        self._lock = threading.Lock()
        kernel.subscribe(LeaveStarted, self._handle_leave)

    def start(self) -> None:
        """Opens the listeners for callers and for health checks and metrics."""
        settings = self._kernel.settings.gateway
        self._caller_server = CallerServer(
            address=settings.callers,
            kernel=self._kernel,
            handle=self._handle_request,
            get_limits=self._get_limits,
            memory=self._memory,
            get_rank=self._get_rank,
        )
        self._caller_server.prepare()
        self._kernel.spawn(name="gateway.callers", target=self._caller_server.serve)
        self._health_server = web.create_limited_server(
            address=settings.health,
            handle=self._handle_health,
            kernel=self._kernel,
            connections=self._memory.create_listener(
                "health", connections=HEALTH_CONNECTIONS
            ),
        )
        self._health_server.prepare()
        self._kernel.spawn(name="gateway.health", target=self._health_server.serve)

    def drain(self, deadline_ms: float) -> None:
        """Finishes the requests in progress and refuses new ones.

        New requests are accepted for `settle_ms` more, until the balancer has noticed
        that this instance is not ready. Requests that would still wait at the end are
        answered before it, as their callers would otherwise get a closed connection.
        """
        clock = self._kernel.clock
        settled_ms = clock.now_ms() + self._kernel.settings.settle_ms
        self._kernel.wait_until(lambda: False, min(settled_ms, deadline_ms))
        with self._lock:
            self._refusing = True
        answer_ms = deadline_ms - STOP_ANSWER_MS
        if not self._kernel.wait_until(lambda: self._in_progress == 0, answer_ms):
            with self._lock:
                inboxes = list(self._inboxes)
            journal.record_event("gateway.stop_waiting", requests=len(inboxes))
            for inbox in inboxes:
                inbox.enqueue(STOP_WAITING)
            self._kernel.wait_until(lambda: self._in_progress == 0, deadline_ms)

    def stop(self) -> None:
        """Closes the listeners and the callers' connections."""
        if self._caller_server:
            web.stop_server(self._caller_server)
            self._caller_server.close_connections()
        if self._health_server:
            web.stop_server(self._health_server)

    def _handle_leave(self, event: LeaveStarted) -> None:
        self._leaving = True

    def _get_limits(self) -> CallerLimits:
        table = self._routes.get_current()
        return table.limits if table else CallerLimits()

    def _get_rank(self, host: str, target: str) -> Rank | None:
        table = self._routes.get_current()
        if table is None:
            return None
        return table.resolve(host=host, path=target).map(get_route_rank).unwrap_or(None)

    @property
    def is_ready(self) -> bool:
        """Whether a balancer may send new connections to this instance."""
        return (
            not self._leaving
            and self._kernel.is_started
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

    def _handle_request(
        self, received: ReceivedRequest
    ) -> CallerReply | CallerDisconnected:
        with self._lock:
            refusing = self._refusing
            self._in_progress += not refusing
        if refusing:
            return self._create_refusal_reply(create_leaving_refusal())
        try:
            return self._process_request(received)
        finally:
            with self._lock:
                self._in_progress -= 1
            if self._leaving:
                self._kernel.wake()

    def _process_request(
        self, received: ReceivedRequest
    ) -> CallerReply | CallerDisconnected:
        started_ms = self._kernel.clock.now_ms()
        match self._resolve_request(received, started_ms):
            case Err(refusal):
                self._record_refusal(received, refusal)
                return self._create_refusal_reply(refusal)
            case Ok(forward):
                pass
        rank = forward.rank
        if refusal := self._own_delay.assess(rank, forward.deadline_ms - started_ms):
            self._record_refusal(received, refusal, forward.workspace)
            return self._create_refusal_reply(refusal)
        with self._admission.admit(rank) as refused:
            if refused:
                self._record_refusal(received, refused, forward.workspace)
                return self._create_refusal_reply(refused)
            # Last, so that no token is spent on a request that is refused anyway.
            if exceeded := self._check_quota(forward):
                self._record_refusal(received, exceeded, forward.workspace)
                return self._create_refusal_reply(exceeded)
            result = self._run_forward(forward, received)
        workspace_requests.count_result(forward.workspace, result)
        caller_reply = self._create_caller_reply(result)
        self._record_metrics(rank, caller_reply, started_ms)
        return caller_reply

    def _check_quota(self, forward: RoutedRequest) -> Refusal | None:
        """Spends a token of the caller's workspace, or returns the refusal."""
        workspace = forward.workspace
        match self._quotas.acquire(workspace, until_ms=forward.deadline_ms):
            case Exceeded(retry_after_ms=retry_after_ms):
                return create_quota_refusal(workspace, retry_after_ms)
            case _:
                return None

    def _run_forward(
        self, forward: RoutedRequest, received: ReceivedRequest
    ) -> ForwardResult:
        inbox = self._forwarding.create_inbox()
        with self._lock:
            self._inboxes.add(inbox)
        self._disconnect_watcher.watch(
            received.sock, lambda: inbox.enqueue(CALLER_LEFT)
        )
        try:
            return self._forwarding.run(forward, inbox)
        finally:
            self._disconnect_watcher.unwatch(received.sock)
            with self._lock:
                self._inboxes.discard(inbox)

    def _resolve_request(
        self, received: ReceivedRequest, now_ms: float
    ) -> Result[RoutedRequest, Refusal]:
        """Returns the request with its route and deadlines, or the refusal."""
        request = received.request
        table = self._routes.get_current()
        if table is None or not self._inventory.list_upstreams():
            return Err(create_not_ready_refusal())
        match parse_deadline_ms(
            request.get_header(self._header_names.deadline_ms.lower())
        ):
            case Err(refusal):
                return Err(refusal)
            case Ok(caller_timeout_ms):
                pass
        match table.resolve(host=request.get_header("host") or "", path=request.target):
            case Err(refusal):
                return Err(refusal)
            case Ok(route):
                pass
        workspace = None
        if table.api_keys is not None:
            match self._find_workspace(request, table.api_keys, route):
                case Err(refusal):
                    return Err(refusal)
                case Ok(workspace):
                    request = self._remove_key(request)
        return Ok(
            self._create_forward(
                request,
                table=table,
                route=route,
                workspace=workspace,
                caller_timeout_ms=caller_timeout_ms,
                now_ms=now_ms,
            )
        )

    def _find_workspace(
        self, request: HttpRequest, api_keys: ApiKeys[Workspace], route: HttpRoute
    ) -> Result[Workspace | None, Refusal]:
        """Returns the caller's workspace, None if none is needed, or the refusal."""
        if route.anonymous:
            return Ok(None)
        return api_keys.find_workspace(
            request.headers, name=self._header_names.api_key.lower()
        )

    def _create_forward(
        self,
        request: HttpRequest,
        *,
        table: HttpRouteTable,
        route: HttpRoute,
        workspace: Workspace | None,
        caller_timeout_ms: float | None,
        now_ms: float,
    ) -> RoutedRequest:
        effective_timeout_ms = min(
            route.timeout_ms,
            route.timeout_ms if caller_timeout_ms is None else caller_timeout_ms,
        )
        return RoutedRequest(
            request_id=request.get_header(self._header_names.request_id.lower())
            or secrets.token_hex(REQUEST_ID_BYTES),
            http=request,
            route=route,
            generation=table.generation,
            arrived_ms=now_ms,
            target_at_ms=now_ms
            + route.latency_target_ms
            - compute_earlier_wait_ms(route, effective_timeout_ms),
            deadline_ms=now_ms + effective_timeout_ms,
            rank=workspace.rank if workspace and workspace.rank else route.rank,
            workspace=workspace,
        )

    def _remove_key(self, request: HttpRequest) -> HttpRequest:
        """Returns a request without its API key and the workspace that it claims."""
        names = self._header_names
        headers = remove_headers(
            request.headers, (names.api_key.lower(), names.workspace.lower())
        )
        return dataclasses.replace(request, headers=headers)

    def _create_caller_reply(
        self, result: ForwardResult
    ) -> CallerReply | CallerDisconnected:
        match result:
            case CallerLeft():
                return CallerDisconnected()
            case Forwarded(reply=reply):
                return CallerReply(reply=reply, close=self._leaving)
            case Merged(body=body, proofs=proofs, missing=missing):
                headers = (
                    (self._header_names.part_proofs, ", ".join(proofs)),
                    (self._header_names.missing_parts, str(len(missing))),
                )
                reply = HttpReply(status=200, headers=headers, body=body)
                return CallerReply(reply=reply, close=self._leaving)
            case Refused(refusal=refusal):
                return self._create_refusal_reply(refusal)

    def _create_refusal_reply(self, refusal: Refusal) -> CallerReply:
        status = find_status(refusal)
        headers: tuple[tuple[str, str], ...] = ()
        if refusal.retry_after_ms is not None:
            # Callers of the gateway accept fractions of a second in Retry-After.
            retry_after_s = refusal.retry_after_ms / MS_PER_S
            headers = (("retry-after", f"{retry_after_s:.3f}"),)
        reply = caller_server.create_text_reply(
            status=status, text=f"{refusal.code}: {refusal.message}", headers=headers
        )
        return CallerReply(reply=reply, close=self._leaving)

    def _record_refusal(
        self,
        received: ReceivedRequest,
        refusal: Refusal,
        workspace: Workspace | None = None,
    ) -> None:
        workspace_requests.count_refusal(workspace, refusal)
        table = self._routes.get_current()
        journal.record_event(
            "gateway.refused",
            request_id=(
                received.request.get_header(self._header_names.request_id.lower()) or ""
            )[:LOGGED_CHARACTERS],
            host=(received.request.get_header("host") or "")[:LOGGED_CHARACTERS],
            target=received.request.target[:LOGGED_CHARACTERS],
            generation=table.generation if table else None,
            upstreams=len(self._inventory.list_upstreams()),
            code=refusal.code,
            reason=refusal.message,
            **({"workspace": workspace.name} if workspace else {}),
        )

    def _record_metrics(
        self,
        rank: Rank,
        caller_reply: CallerReply | CallerDisconnected,
        started_ms: float,
    ) -> None:
        status = (
            "left"
            if isinstance(caller_reply, CallerDisconnected)
            else str(caller_reply.reply.status)
        )
        metrics.forwards_total.inc({"rank": rank.value, "status": status})
        elapsed_ms = self._kernel.clock.now_ms() - started_ms
        metrics.forward_ms.observe({"rank": rank.value}, elapsed_ms)


def get_route_rank(route: HttpRoute) -> Rank:
    """Returns the rank of a route's requests."""
    return route.rank


def parse_deadline_ms(value: str | None) -> Result[float | None, Refusal]:
    """Returns how many milliseconds the caller will wait; None without a header."""
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


def compute_earlier_wait_ms(route: HttpRoute, effective_timeout_ms: float) -> float:
    """Returns for how many milliseconds a caller has waited before this attempt.

    A caller waits for the route's timeout in all, counted from its first attempt. If it
    sends a shorter deadline, its earlier attempts have used up the difference.

    Returns 0 for a difference so small that the caller counts as new.
    """
    earlier_wait_ms = route.timeout_ms - effective_timeout_ms
    new_caller_limit_ms = (
        NOT_READY_RETRY_MS + EARLY_RETRY_LATENCY_TARGETS * route.latency_target_ms
    )
    return earlier_wait_ms if earlier_wait_ms > new_caller_limit_ms else 0.0
