"""Caller API over HTTP and JSON: queries, orders, health and metrics."""

import dataclasses
import threading
from typing import Annotated

import cheroot.wsgi
import pydantic
from result import Err, Ok, Result

from gooseberrymux import metrics, web
from gooseberrymux.admission import Admission
from gooseberrymux.calls import Calls
from gooseberrymux.configuration import ConfigurationService
from gooseberrymux.dispatch import Dispatch
from gooseberrymux.kernel import Kernel, LeaveStarted, service
from gooseberrymux.order_api import ORDER_PATH, OrderBody, OrderEndpoints
from gooseberrymux.queries import Queries
from gooseberrymux.records import Answer, Query, Rank, Traffic
from gooseberrymux.refusals import create_refusal_response
from gooseberrymux.snapshots import Snapshots
from gooseberrymux.tokens import authenticate
from gooseberrymux.web import Request, Response


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueryBody:
    """JSON body of a query request.

    Attributes:
        service: The service that the query is for; selectors match on it.
        rank: Priority class of the query.
        terms: The query itself, passed to the upstreams.
        labels: Labels that selectors match on.
        deadline_ms: Milliseconds from arrival; None for the default of the rank.
        minimum_coverage: Share of the shards, 0 to 1, below which the query is refused.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    service: str
    rank: Rank
    terms: dict
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    deadline_ms: int | None = None
    minimum_coverage: Annotated[float, pydantic.Field(ge=0.0, le=1.0)] = 0.0


@service(
    "api",
    requires=("queries", "orders", "calls", "configuration", "snapshots", "admission"),
)
class Api:
    """HTTP server for callers, with one worker thread for each connection."""

    __slots__ = (
        "_kernel",
        "_queries",
        "_orders",
        "_calls",
        "_dispatch",
        "_configuration",
        "_snapshots",
        "_admission",
        "_server",
        "_leaving",
        "_refusing",
        "_in_progress",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._queries = kernel.find("queries", Queries)
        self._orders = OrderEndpoints(kernel=kernel)
        self._calls = kernel.find("calls", Calls)
        self._dispatch = kernel.find("dispatch", Dispatch)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._snapshots = kernel.find("snapshots", Snapshots)
        self._admission = kernel.find("admission", Admission)
        self._server: cheroot.wsgi.Server | None = None
        self._leaving = False
        self._refusing = False
        self._in_progress = 0
        self._lock = threading.Lock()
        kernel.subscribe(LeaveStarted, self._handle_leave)

    def start(self) -> None:
        """Opens the listener and starts the thread that accepts connections."""
        settings = self._kernel.settings
        self._server = web.create_server(
            address=settings.instance.callers,
            threads=settings.api.threads,
            handle=self.handle,
            clock=self._kernel.clock,
        )
        self._server.prepare()
        self._kernel.spawn(name="api.server", target=self._server.serve)

    def drain(self, deadline_ms: float) -> None:
        """Serves on for the settle time, then refuses POSTs and finishes those running.

        During the settle time load balancers see from the health response that this
        instance is leaving, and stop sending requests.
        """
        clock = self._kernel.clock
        refuse_from_ms = clock.now_ms() + self._kernel.settings.settle_ms
        # Only waits: the condition never becomes true.
        self._kernel.wait_until(lambda: False, min(refuse_from_ms, deadline_ms))
        with self._lock:
            self._refusing = True
        self._kernel.wait_until(lambda: self._in_progress == 0, deadline_ms)

    def stop(self) -> None:
        """Finishes the responses being written and closes the listener."""
        if self._server:
            web.stop_server(self._server)

    def _handle_leave(self, event: LeaveStarted) -> None:
        self._leaving = True

    def handle(self, request: Request) -> Response:
        """Returns the response to a request.

        Once this instance is leaving, each response closes its connection.
        """
        route = self._route_post if request.method == "POST" else self._route
        response = route(request)
        if self._leaving:
            # A caller's connection pool then opens its next connection to another
            # instance.
            headers = {**response.headers, "Connection": "close"}
            response = dataclasses.replace(response, headers=headers)
        return response

    def _route_post(self, request: Request) -> Response:
        with self._lock:
            if self._refusing:
                return web.create_error(
                    status=503,
                    code="instance_leaving",
                    message="this instance is stopping; ask another one",
                    run_state="not_run",
                )
            self._in_progress += 1
        try:
            return self._route(request)
        finally:
            with self._lock:
                self._in_progress -= 1
            if self._refusing:
                self._kernel.wake()

    def _route(self, request: Request) -> Response:
        match (request.method, request.path):
            case ("GET", "/health"):
                return self._handle_health()
            case ("GET", "/metrics"):
                return self._handle_metrics(request)
            case _:
                tokens = self._kernel.settings.api.caller_tokens
                match identify_caller(request, tokens=tokens):
                    case Err(response):
                        return response
                    case Ok(caller):
                        return self._route_authenticated(request, caller)

    def _handle_metrics(self, request: Request) -> Response:
        for rank, count in self._dispatch.count_by_rank().items():
            metrics.queue_length.set({"rank": rank.value}, count)
        body, headers = metrics.render_metrics(request.headers.get("accept", ""))
        return Response(status=200, body=body, headers=dict(headers))

    def _route_authenticated(self, request: Request, caller: str) -> Response:
        match (request.method, request.path):
            case ("POST", "/v1/query"):
                return self._handle_query(request, caller)
            case ("POST", path) if path == ORDER_PATH:
                return self._handle_order(request, caller)
            case ("GET", path) if path.startswith(f"{ORDER_PATH}/"):
                return self._orders.find_outcome(request, caller=caller)
            case _:
                return web.create_error(
                    status=404,
                    code="not_found",
                    message=f"no endpoint {request.method} {request.path}",
                    run_state="not_run",
                )

    def _handle_query(self, request: Request, caller: str) -> Response:
        settings = self._kernel.settings
        started_ms = self._kernel.clock.now_ms()
        match web.read_json(request, limit_bytes=settings.api.body_limit_bytes):
            case Err(response):
                return response
            case Ok(decoded):
                pass
        match parse_body(QueryBody, decoded):
            case Err(response):
                return response
            case Ok(body):
                pass
        deadline_ms = body.deadline_ms
        if deadline_ms is None:
            deadline_ms = getattr(settings.ranks, body.rank.value).deadline_ms
        query = Query(
            request_id=self._calls.create_id("q"),
            traffic=Traffic(
                caller=caller,
                service=body.service,
                rank=body.rank,
                labels=body.labels,
            ),
            terms=body.terms,
            deadline_ms=self._kernel.clock.now_ms() + deadline_ms,
            minimum_coverage=body.minimum_coverage,
        )
        with self._admission.admit(body.rank) as refused:
            result = Err(refused) if refused else self._queries.run(query)
        match result:
            case Ok(answer):
                outcome = "partial" if answer.missing else "complete"
                response = web.create_json(status=200, body=describe_answer(answer))
            case Err(refusal):
                outcome = refusal.code
                response = create_refusal_response(refusal)
        self._record_request("query", body.rank, outcome, started_ms)
        return response

    def _handle_order(self, request: Request, caller: str) -> Response:
        started_ms = self._kernel.clock.now_ms()
        limit_bytes = self._kernel.settings.api.body_limit_bytes
        match web.read_json(request, limit_bytes=limit_bytes).and_then(
            lambda decoded: parse_body(OrderBody, decoded)
        ):
            case Err(response):
                return response
            case Ok(body):
                pass
        with self._admission.admit(body.rank) as refused:
            if refused:
                response = create_refusal_response(refused)
            else:
                response = self._orders.submit(request, caller=caller, body=body)
        self._record_request("order", body.rank, str(response.status), started_ms)
        return response

    def _record_request(
        self, kind: str, rank: Rank, outcome: str, started_ms: float
    ) -> None:
        elapsed_ms = self._kernel.clock.now_ms() - started_ms
        labels = {"kind": kind, "rank": rank.value}
        metrics.requests_total.inc({**labels, "outcome": outcome})
        metrics.request_ms.observe(labels, elapsed_ms)

    def _handle_health(self) -> Response:
        state = "ready"
        if self._kernel.failure:
            state = "failed"
        elif self._leaving:
            state = "leaving"
        elif (
            not self._kernel.is_started
            or self._configuration.get_current() is None
            or not self._snapshots.list_current()
        ):
            state = "starting"
        status = 200 if state == "ready" else 503
        return web.create_json(status=status, body={"state": state})


def identify_caller(
    request: Request, *, tokens: dict[str, str]
) -> Result[str, Response]:
    """Returns the name of a request's caller, or the response that refuses the request.

    The bearer token decides; without configured tokens the X-Caller header does.

    Args:
        request: The request.
        tokens: Caller names by token; empty if the X-Caller header is trusted.
    """
    if not tokens:
        return Ok(request.headers.get("x-caller", "anonymous"))
    return authenticate(request, tokens=tokens)


def parse_body(cls: type, decoded: dict) -> Result:
    """Returns the body as a checked `cls`, or a 400 that names the first bad field."""
    try:
        return Ok(pydantic.TypeAdapter(cls).validate_python(decoded))
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        field_path = ".".join(str(part) for part in problem["loc"])
        return Err(
            web.create_body_refusal(
                400, "malformed_request", f"{field_path}: {problem['msg']}"
            )
        )


def describe_answer(answer: Answer) -> dict:
    """Returns the JSON form of the answer to a query."""
    return {
        "request_id": answer.request_id,
        "index": answer.index,
        "version": answer.version,
        "coverage": {
            "complete": not answer.missing,
            "shards_total": answer.shards_total,
            "covered": list(answer.covered),
            "missing": [
                {"shard": missing.shard, "reason": missing.reason}
                for missing in answer.missing
            ],
        },
        "hits": answer.hits,
    }
