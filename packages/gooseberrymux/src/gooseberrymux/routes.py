"""HTTP routes: the services, limits and deadlines for each host and path prefix."""

import dataclasses
import threading
from typing import Annotated, Any

from msgspec import Meta
from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.api_keys import ApiKeys, find_shared_keys
from gooseberrymux.conversion import ConversionProblem, convert
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Rank, Refusal, RunState

ROUTES_DOCUMENT_NAME = "routes/current"
ROUTES_DOCUMENT_PREFIX = "routes/"
# Limits before the first routes document: requests are read then, but refused.
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 262_144
DEFAULT_HEADER_TIMEOUT_MS = 3_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
Count = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
NonNegative = Annotated[float, Meta(ge=0)]


class RouteTarget:
    """Base class of the destinations of a route: single service, split or fan-out."""

    __slots__ = ()


@_frozen
class SingleTarget(RouteTarget):
    """All requests go to one service."""

    service: str


@_frozen
class SplitPart:
    """One service of a split; its weight is relative to the sum of all weights."""

    service: str
    weight: Annotated[float, Meta(ge=0)]


@_frozen
class SplitTarget(RouteTarget):
    """Each request goes to one of several services, in proportion to their weights."""

    parts: tuple[SplitPart, ...]


@_frozen
class FanoutTarget(RouteTarget):
    """Each request goes to one upstream of every service, and the replies are merged.

    Attributes:
        services: Services of the shards, one for each shard.
        top: Number of records in the merged reply, the greatest ones first.
        minimum_share: Share of the shards, from 0 to 1, that must have replied; with
            fewer replies the request is refused.
    """

    services: Annotated[tuple[str, ...], Meta(min_length=1)]
    top: Count
    minimum_share: Share


@_frozen
class HttpRoute:
    """Maps the requests for a host and path prefix to services.

    Attributes:
        name: Name of the route in log lines and metrics.
        host: Host of the requests, without a port.
        path_prefix: Prefix of the requests' paths; begins and ends with a slash.
        target: Services that the requests go to.
        rank: Rank of the requests in admission and queues.
        repeatable: Whether a request may run more than once.
        attempts: Greatest number of upstreams of one service that may run a request.
        timeout_ms: Longest time until a request is answered, in milliseconds.
        latency_target_ms: Time within which a reply is on time, in milliseconds.
        anonymous: Whether requests need no API key, also where workspaces are
            configured.
    """

    name: str
    host: str
    path_prefix: str
    target: RouteTarget
    rank: Rank
    repeatable: bool
    attempts: Count
    timeout_ms: Count
    latency_target_ms: Annotated[float, Meta(gt=0)]
    anonymous: bool = False


@_frozen
class Workspace:
    """Callers that share API keys, a rank and a quota.

    Attributes:
        name: Unique name; upstreams get it with each request.
        key_digests: Digests of the API keys in force; see `api_keys.hash_key`.
        rank: Rank of its requests in place of the route's; None keeps the route's.
        rate_per_s: Requests a second that all instances together let through; 0 for
            no limit.
        burst: Requests that it may send at once after a pause.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    rank: Rank | None = None
    rate_per_s: NonNegative = 0.0
    burst: NonNegative = 0.0


@_frozen
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Greatest size of request line and headers together, in bytes.
        body_bytes: Greatest size of a body, in bytes.
        header_timeout_ms: Longest wait for more bytes of a request that has begun.
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
        generation: Number of the document's version; rises with each change.
        routes: All routes.
        connections: Connections that each upstream of a service accepts from all
            instances together, by service.
        limits: Limits on the requests and connections of callers.
        workspaces: All workspaces; without any, requests need no API key.
        cold_rates_per_s: Requests a second that a cold upstream of a service takes from
            all instances together, by service; services without a limit are left out.
    """

    generation: int
    routes: tuple[HttpRoute, ...] = ()
    connections: dict[str, Count] = dataclasses.field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] = ()
    cold_rates_per_s: dict[str, NonNegative] = dataclasses.field(default_factory=dict)


class HttpRouteTable:
    """Looks up the routes of one generation by host and path.

    Attributes:
        api_keys: Finds the workspace of a request; None if there are no workspaces.
    """

    __slots__ = (
        "generation",
        "limits",
        "connections",
        "workspaces",
        "api_keys",
        "cold_rates_per_s",
        "_routes_by_host",
    )

    def __init__(self, *, document: RoutesDocument):
        self.generation = document.generation
        self.limits = document.limits
        self.connections = document.connections
        self.workspaces = document.workspaces
        self.api_keys: ApiKeys[Workspace] | None = None
        if document.workspaces:
            self.api_keys = ApiKeys(workspaces=document.workspaces)
        self.cold_rates_per_s = document.cold_rates_per_s
        self._routes_by_host: dict[str, list[HttpRoute]] = {}
        for route in document.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            # Longest prefix first: the first one that matches is the longest that does.
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def resolve(self, *, host: str, path: str) -> Result[HttpRoute, Refusal]:
        """Returns the route of the host with the longest prefix that matches the path.

        Args:
            host: The request's host, with or without a port.
            path: The request's path, with or without its query.
        """
        path = path.partition("?")[0]
        for route in self._routes_by_host.get(strip_port(host), ()):
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

    def count_routes(self) -> int:
        """Returns the number of routes."""
        return sum(map(len, self._routes_by_host.values()))


@service("routes", requires=("documents",))
class Routes:
    """Keeps the route table of the highest generation received."""

    __slots__ = ("_current", "_lock")

    def __init__(self, *, kernel: Kernel):
        documents = kernel.find("documents", Documents)
        documents.watch_prefix(ROUTES_DOCUMENT_PREFIX, required=ROUTES_DOCUMENT_NAME)
        documents.register_check(ROUTES_DOCUMENT_PREFIX, check_document)
        self._current: HttpRouteTable | None = None
        self._lock = threading.Lock()
        kernel.subscribe(DocumentChanged, self._handle_document)

    def start(self) -> None:
        """Does nothing: routes arrive as a document."""

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: requests in progress keep the route that they have."""

    def stop(self) -> None:
        """Does nothing: the service has no thread."""

    def describe(self) -> dict:
        """Returns generation, number of routes and of workspaces, for the status."""
        current = self._current
        return {
            "generation": current.generation if current else None,
            "routes": current.count_routes() if current else 0,
            "workspaces": len(current.workspaces) if current else 0,
        }

    def get_current(self) -> HttpRouteTable | None:
        """Returns the route table in force, or None before the first document."""
        return self._current

    def _handle_document(self, event: DocumentChanged) -> None:
        if event.name != ROUTES_DOCUMENT_NAME:
            return
        # Documents are published only after `check_document` has accepted them.
        table = HttpRouteTable(document=decode_routes(event.body).unwrap())
        with self._lock:
            previous = self._current
            if previous is not None and previous.generation >= table.generation:
                return
            self._current = table
        journal.record_event(
            "routes.in_force",
            generation=table.generation,
            before=previous.generation if previous else None,
            routes=table.count_routes(),
            workspaces=len(table.workspaces),
        )
        for owner, other in find_shared_keys(table.workspaces):
            journal.record_event(
                "routes.key_shared",
                generation=table.generation,
                workspace=owner,
                ignored_for=other,
            )


def decode_routes(body: dict) -> Result[RoutesDocument, list[ConversionProblem]]:
    """Returns the decoded routes document, or all problems found in it."""
    return convert(body, RoutesDocument, decode_hook=decode_target)


def decode_target(kind: type, value: Any) -> RouteTarget:
    """Returns the decoded target of a route; its keys determine the class.

    Raises:
        ValueError: The value is no valid target; the message names all problems.
    """
    match value:
        case {"services": _}:
            target_class = FanoutTarget
        case {"parts": _}:
            target_class = SplitTarget
        case _:
            target_class = SingleTarget
    match convert(value, target_class):
        case Ok(target):
            return target
        case Err(problems):
            raise ValueError("; ".join(str(problem) for problem in problems))


def check_document(body: dict) -> str | None:
    """Returns the first problem of a routes document, or None if it is valid."""
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
    return check_workspaces(document.workspaces)


def check_workspaces(workspaces: tuple[Workspace, ...]) -> str | None:
    """Returns the first problem of the workspaces' names, or None.

    Names are header values and label values, and quotas are counted by name.
    """
    names = set()
    for workspace in workspaces:
        name = workspace.name
        # Upstreams strip spaces around a header value, and would see another name.
        if not name or name != name.strip() or not name.isprintable():
            return f"workspace {name!r}: not printable, or spaces around it"
        if name in names:
            return f"workspace {name!r}: the name is used twice"
        names.add(name)
    return None


def strip_port(host: str) -> str:
    """Returns a host in lower case without its port."""
    name, separator, port = host.rpartition(":")
    if separator and port.isdecimal() and not name.endswith(":"):
        host = name
    return host.lower()
