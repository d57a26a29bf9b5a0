"""Administration API for operators, who authenticate with bearer tokens.

The API has a listener of its own, on an address that callers can't reach.
"""

import cheroot.wsgi
from result import Err, Ok

from gooseberrymux import admin_bodies, journal, web
from gooseberrymux.caller_memory import CallerMemory
from gooseberrymux.configuration import ConfigurationService
from gooseberrymux.configuration_changes import Change
from gooseberrymux.configuration_codec import describe_configuration
from gooseberrymux.configuration_model import Kind
from gooseberrymux.evacuations import Evacuations
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import Membership
from gooseberrymux.ownership import find_owner
from gooseberrymux.platform import BODY_LIMIT_BYTES
from gooseberrymux.records import Rank, RunState, UpstreamRecord
from gooseberrymux.selectors import explain
from gooseberrymux.status import FleetStatus, Status
from gooseberrymux.tokens import authenticate
from gooseberrymux.web import Request, Response

SERVER_CONNECTIONS = 64
# Shorter than the timeout of the operators' clients, so that a response arrives in time
# and names the instances that have not replied.
STATUS_TIMEOUT_MS = 1_500
# Paths that exclude upstreams from new work, with the kind of object that they change.
EXCLUSION_PATHS = {"/v1/drains/": Kind.DRAIN, "/v1/evacuations/": Kind.EVACUATION}


@service(
    "admin",
    requires=(
        "configuration",
        "documents",
        "evacuations",
        "inventory",
        "membership",
        "status",
        "caller_memory",
    ),
)
class Admin:
    """Serves the administration API, with one thread for each connection."""

    __slots__ = (
        "_kernel",
        "_configuration",
        "_evacuations",
        "_inventory",
        "_membership",
        "_status",
        "_server",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._evacuations = kernel.find("evacuations", Evacuations)
        self._inventory = kernel.find("inventory", Inventory)
        self._membership = kernel.find("membership", Membership)
        self._status = kernel.find("status", Status)
        self._server: cheroot.wsgi.Server | None = None

    def start(self) -> None:
        """Opens the listener."""
        memory = self._kernel.find("caller_memory", CallerMemory)
        self._server = web.create_limited_server(
            address=self._kernel.settings.instance.administration,
            handle=self.handle,
            kernel=self._kernel,
            connections=memory.create_listener(
                "administration", connections=SERVER_CONNECTIONS
            ),
        )
        self._server.prepare()
        self._kernel.spawn(name="admin.server", target=self._server.serve)

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: the API stays up, so that operators can watch the drain."""

    def stop(self) -> None:
        """Finishes the requests in flight and closes the listener."""
        if self._server:
            web.stop_server(self._server)

    def handle(self, request: Request) -> Response:
        """Handles one request and logs it with the operator's name."""
        tokens = self._kernel.settings.api.operator_tokens
        match authenticate(request, tokens=tokens):
            case Err(response):
                operator = ""
            case Ok(operator):
                response = self._route_request(request, operator)
        journal.record_event(
            "admin.call",
            operator=operator,
            method=request.method,
            path=request.path,
            query=request.query,
            status=response.status,
        )
        return response

    def _route_request(self, request: Request, operator: str) -> Response:
        match (request.method, request.path):
            case ("GET", "/v1/configuration"):
                return self._get_configuration()
            case ("POST", "/v1/configuration/changes"):
                return self._handle_change(request, operator)
            case ("GET", "/v1/status"):
                fleet = self._status.collect(STATUS_TIMEOUT_MS)
                return web.create_json(
                    status=200, body=admin_bodies.describe_fleet(fleet)
                )
            case ("GET", "/v1/upstreams"):
                return self._list_upstreams()
            case ("GET", "/v1/explain"):
                return self._explain(request)
            case ("POST" | "DELETE", path) if path.startswith(tuple(EXCLUSION_PATHS)):
                return self._handle_exclusion(request, operator)
            case _:
                return web.create_error(
                    status=404,
                    code="not_found",
                    message=f"no {request.method} {request.path}",
                    run_state=RunState.NOT_RUN.value,
                )

    def _get_configuration(self) -> Response:
        current = self._configuration.get_current()
        if current is None:
            return create_not_ready_response()
        return web.create_json(status=200, body=describe_configuration(current))

    def _handle_change(self, request: Request, operator: str) -> Response:
        match web.read_json(request, limit_bytes=BODY_LIMIT_BYTES):
            case Err(response):
                return response
            case Ok(decoded):
                pass
        match admin_bodies.decode_change(decoded, operator):
            case Err(response):
                return response
            case Ok(change):
                return self._propose(change)

    def _handle_exclusion(self, request: Request, operator: str) -> Response:
        decoded: dict = {}
        if request.environ.get("CONTENT_LENGTH") not in (None, "", "0"):
            match web.read_json(request, limit_bytes=BODY_LIMIT_BYTES):
                case Err(response):
                    return response
                case Ok(decoded):
                    pass
        prefix = next(path for path in EXCLUSION_PATHS if request.path.startswith(path))
        change = admin_bodies.decode_exclusion(
            decoded,
            kind=EXCLUSION_PATHS[prefix],
            name=request.path.removeprefix(prefix),
            starts=request.method == "POST",
            operator=operator,
        )
        match change:
            case Err(response):
                return response
            case Ok(proposed):
                return self._propose(proposed)

    def _propose(self, change: Change) -> Response:
        outcome = self._configuration.propose(change)
        return admin_bodies.create_outcome_response(change, outcome)

    def _explain(self, request: Request) -> Response:
        current = self._configuration.get_current()
        if current is None:
            return create_not_ready_response()
        match admin_bodies.decode_traffic(request.query):
            case Err(response):
                return response
            case Ok(traffic):
                explanation = explain(
                    configuration=current,
                    traffic=traffic,
                    upstreams=self._inventory.list_upstreams(),
                )
                return web.create_json(
                    status=200, body=admin_bodies.describe_explanation(explanation)
                )

    def _list_upstreams(self) -> Response:
        fleet = self._status.collect(STATUS_TIMEOUT_MS)
        current = self._configuration.get_current()
        draining_names = (
            {drain.upstream for drain in current.drains} if current else set()
        )
        members = self._membership.list_live()
        bodies = []
        for record in sorted(
            self._inventory.list_upstreams(), key=lambda upstream: upstream.name
        ):
            owner = find_owner(upstream=record, members=members)
            bodies.append(
                describe_upstream(
                    record=record,
                    owner=owner.name if owner else None,
                    draining=record.name in draining_names,
                    evacuated=self._evacuations.is_evacuated(record.failure_domain),
                    fleet=fleet,
                )
            )
        return web.create_json(
            status=200, body={"upstreams": bodies, "silent": list(fleet.silent)}
        )


def describe_upstream(
    *,
    record: UpstreamRecord,
    owner: str | None,
    draining: bool,
    evacuated: bool,
    fleet: FleetStatus,
) -> dict:
    """Returns an upstream as JSON; `queue` is None if its owner reported no status."""
    services = fleet.instances.get(owner or "", {}).get("services", {})
    match services:
        case {"dispatch": {"lanes": {record.name: {"queued": dict(queue)}}}}:
            pass
        case {"dispatch": {"lanes": dict()}}:
            # The owner creates the queue with the first sub-request for the upstream.
            queue = {rank.value: 0 for rank in Rank}
        case _:
            queue = None
    return {
        "name": record.name,
        "service": record.service,
        "owner": owner,
        "state": record.state.value,
        "draining": draining,
        "evacuated": evacuated,
        "slots": record.slots,
        "queue": queue,
    }


def create_not_ready_response() -> Response:
    """Returns the 503 of an instance that has no configuration yet."""
    return web.create_error(
        status=503,
        code="not_ready",
        message="no configuration is known yet",
        run_state=RunState.NOT_RUN.value,
    )
