"""HTTP routes: which services a request of a host and path may reach, and how."""

import dataclasses
import threading
from typing import Annotated, Any

from msgspec import Meta
from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.conversion import Problem, convert
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Rank, Refusal, RunState

ROUTES_NAME = "routes/current"
ROUTES_PREFIX = "routes/"
# Until the first table is in force no request is served, and these bound its reading.
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 262_144
DEFAULT_HEADER_TIMEOUT_MS = 3_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Target:
    """Where the requests of a route go; one of the classes below."""

    __slots__ = ()


@_frozen
class SingleTarget(Target):
    """Requests go to one service."""

    service: str


@_frozen
class SplitPart:
    """One service of a split and its share of the requests."""

    service: str
    weight: Annotated[float, Meta(ge=0)]


@_frozen
class SplitTarget(Target):
    """Each request goes to one of several services, in proportion to their weights."""

    parts: tuple[SplitPart, ...]


@_frozen
class FanoutTarget(Target):
    """Each request goes to one upstream of every service, and the replies are merged.

    Attributes:
        services: The shards.
        top: How many of the greatest records make up the answer.
        minimum_share: Share of the shards below which the answer is a refusal.
    """

    services: Annotated[tuple[str, ...], Meta(min_length=1)]
    top: Count
    minimum_share: Share


@_frozen
class HttpRoute:
    """One route.

    Attributes:
        name: Its name, for log lines and metrics.
        host: Host that it is for, without a port.
        path_prefix: Start of the paths that it is for; begins and ends with a slash.
        target: Where its requests go.
        rank: Rank of its requests.
        repeatable: Whether a request may run more than once.
        attempts: Upstreams of one service on which one request may run, at most.
        timeout_ms: Longest time to a request's answer, in milliseconds.
        latency_target_ms: Time within which an answer is on time, in milliseconds.
    """

    name: str
    host: str
    path_prefix: str
    target: Target
    rank: Rank
    repeatable: bool
    attempts: Count
    timeout_ms: Count
    latency_target_ms: Annotated[float, Meta(gt=0)]


@_frozen
class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Longest request line and headers.
        body_bytes: Longest body.
        header_timeout_ms: Longest time for a request to arrive once it has begun.
        idle_timeout_ms: Longest time between two requests of one connection.
    """

    header_bytes: Count = DEFAULT_HEADER_BYTES
    body_bytes: Count = DEFAULT_BODY_BYTES
    header_timeout_ms: Count = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: Count = DEFAULT_IDLE_TIMEOUT_MS


@_frozen
class RoutesDocument:
    """Body of the document that holds all routes.

    Attributes:
        generation: Rises with each change.
        routes: All routes.
        connections: Connections that each upstream of a service accepts from all
            instances together, by service.
        limits: Limits of the callers.
    """

    generation: int
    routes: tuple[HttpRoute, ...] = ()
    connections: dict[str, Count] = dataclasses.field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


class HttpRouteTable:
    """The routes of one generation, found by host and path."""

    __slots__ = ("generation", "limits", "connections", "_by_host")

    def __init__(self, *, document: RoutesDocument):
        self.generation = document.generation
        self.limits = document.limits
        self.connections = document.connections
        self._by_host: dict[str, list[HttpRoute]] = {}
        for route in document.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            # The first prefix that fits is then the longest.
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def resolve(self, *, host: str, path: str) -> Result[HttpRoute, Refusal]:
        """Returns the route with the longest prefix that begins the path.

        Args:
            host: The request's host, with or without a port.
            path: The request's path, with or without its query.
        """
        path = path.partition("?")[0]
        for route in self._by_host.get(strip_port(host), ()):
            if path.startswith(route.path_prefix):
                return Ok(route)
        return Err(
            Refusal(
                code="no_route",
                message=f"no route for host {host!r} and path {path!r}",
                run_state=RunState.NOT_RUN,
                step="routes.resolve",
            )
        )

    def count(self) -> int:
        """Returns the number of routes."""
        return sum(map(len, self._by_host.values()))


@service("routes", requires=("documents",))
class Routes:
    """Holds the route table in force."""

    __slots__ = ("_current", "_lock")

    def __init__(self, *, kernel: Kernel):
        documents = kernel.find("documents", Documents)
        documents.watch_prefix(ROUTES_PREFIX, required=ROUTES_NAME)
        documents.register_check(ROUTES_PREFIX, check_document)
        self._current: HttpRouteTable | None = None
        self._lock = threading.Lock()
        kernel.subscribe(DocumentChanged, self._handle_document)

    def start(self) -> None:
        """Nothing to start: routes arrive as a document."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the generation in force and the number of routes."""
        current = self._current
        return {
            "generation": current.generation if current else None,
            "routes": current.count() if current else 0,
        }

    def get_current(self) -> HttpRouteTable | None:
        """Returns the route table in force, or None before the first."""
        return self._current

    def _handle_document(self, event: DocumentChanged) -> None:
        if event.name != ROUTES_NAME:
            return
        # It has passed `check_document` before it was put in force.
        table = HttpRouteTable(document=decode_routes(event.body).unwrap())
        with self._lock:
            known = self._current
            if known is not None and known.generation >= table.generation:
                return
            self._current = table
        journal.record_event(
            "routes.in_force",
            generation=table.generation,
            before=known.generation if known else None,
            routes=table.count(),
        )


def decode_routes(body: dict) -> Result[RoutesDocument, list[Problem]]:
    """Returns the routes of a document, or what is wrong with it."""
    return convert(body, RoutesDocument, hook=read_target)


def read_target(kind: type, value: Any) -> Target:
    """Returns the target of a route: its keys tell which one it is.

    Raises:
        ValueError: It is none.
    """
    match value:
        case {"services": _}:
            target = FanoutTarget
        case {"parts": _}:
            target = SplitTarget
        case _:
            target = SingleTarget
    match convert(value, target):
        case Ok(found):
            return found
        case Err(problems):
            raise ValueError("; ".join(str(problem) for problem in problems))


def check_document(body: dict) -> str | None:
    """Returns why a document holds no routes, or None."""
    match decode_routes(body):
        case Err(problems):
            return str(problems[0])
        case Ok(document):
            pass
    for route in document.routes:
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            return f"route {route.name!r}: path_prefix must begin and end with a slash"
        match route.target:
            case SplitTarget(parts=parts) if not any(part.weight for part in parts):
                return f"route {route.name!r}: no part of the split has a weight"
            case FanoutTarget(services=services) if len(set(services)) < len(services):
                return f"route {route.name!r}: a service is named twice"
            case FanoutTarget() if not route.repeatable:
                return f"route {route.name!r}: a fan-out must be repeatable"
    return None


def strip_port(host: str) -> str:
    """Returns a host in lower case without its port."""
    name, separator, port = host.rpartition(":")
    if separator and port.isdecimal() and not name.endswith(":"):
        host = name
    return host.lower()
