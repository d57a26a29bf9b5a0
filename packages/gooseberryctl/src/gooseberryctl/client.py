"""HTTP client of the administration API.

Servers are tried in turn, the outcome of a change is a data class, and a change whose
outcome is unknown is sent again under the same change id.
"""

import dataclasses
import json
from urllib.parse import quote, urlencode

import urllib3

from gooseberrymux.clock import Clock
from gooseberrymux.errors import UserError

# Applies to connecting and to each read.
SOCKET_TIMEOUT_MS = 5_000
CHANGE_ATTEMPTS = 4
RETRY_DELAY_MS = 500

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class ClientError(UserError):
    """No server gave a readable answer, it is an error, or an object is absent."""


class DeniedError(ClientError):
    """The server refused the operator's token (status 401 or 403)."""


@_frozen
class Accepted:
    """The change was accepted; in a dry run, it would have been.

    Attributes:
        generation: Configuration generation that contains the change.
        change_id: Id under which the change was proposed.
        warnings: Findings that don't prevent the change, one line each.
    """

    generation: int
    change_id: str
    warnings: tuple[str, ...]


@_frozen
class Conflict:
    """Another change to the same objects was accepted first; nothing was changed.

    Attributes:
        message: One line for people.
        theirs: The objects as they are in force.
        yours: The objects as this change proposed them.
    """

    message: str
    theirs: object
    yours: object


@_frozen
class Problem:
    """One validation error or warning about a configuration.

    Attributes:
        object: The object as `kind/name`; empty if the problem belongs to none.
        field: Dotted path of the field, for example `groups.0`; empty for none.
        message: One line for people.
    """

    object: str
    field: str
    message: str


@_frozen
class Invalid:
    """The proposed configuration failed validation; nothing was changed."""

    problems: tuple[Problem, ...]


@_frozen
class Denied:
    """The server refused the operator's token; nothing was changed."""

    message: str


@_frozen
class Unavailable:
    """No server confirmed the change; the servers or the platform are unavailable.

    Attributes:
        message: One line for people.
        may_have_taken_effect: False only if the change is known not to be in effect.
    """

    message: str
    may_have_taken_effect: bool


ChangeOutcome = Accepted | Conflict | Invalid | Denied | Unavailable


@_frozen
class Edit:
    """One edit of a configuration.

    Attributes:
        action: put or remove.
        kind: group, selector, drain or evacuation.
        name: Name of the object.
        value: All fields of the object for put; empty for remove.
    """

    action: str
    kind: str
    name: str
    value: dict = dataclasses.field(default_factory=dict)


@_frozen
class Reply:
    """HTTP reply of a server.

    Attributes:
        server: Base URL of the server that answered.
        status: HTTP status code.
        body: Decoded JSON object.
    """

    server: str
    status: int
    body: dict


class Client:
    """Sends each request to the servers in turn until one answers."""

    __slots__ = ("_servers", "_token", "_http", "_clock")

    def __init__(self, *, servers: tuple[str, ...], token: str, clock: Clock):
        self._servers = tuple(server.rstrip("/") for server in servers)
        self._token = token
        self._http = urllib3.PoolManager(
            retries=False, timeout=SOCKET_TIMEOUT_MS / 1000
        )
        self._clock = clock

    def get(self, path: str, **parameters: object) -> dict:
        """Returns the JSON object at a path, from the first server that answers.

        Args:
            path: Path of the resource.
            **parameters: Query parameters; a list is sent as repeated parameters.

        Raises:
            DeniedError: The server refused the token.
            ClientError: No server answered, or the answer is an error.
        """
        if parameters:
            path = f"{path}?{urlencode(parameters, doseq=True)}"
        reply = self._send_request("GET", path)
        if reply.status != 200:
            error_class = DeniedError if reply.status in (401, 403) else ClientError
            raise error_class(
                step=f"GET {path}",
                peer=reply.server,
                message=extract_error_message(reply.body) or f"status {reply.status}",
            )
        return reply.body

    def propose_change(
        self,
        *,
        base_generation: int,
        change_id: str,
        edits: tuple[Edit, ...],
        dry_run: bool = False,
        allow_unreachable: bool = False,
    ) -> ChangeOutcome:
        """Proposes a change, and again while its outcome is unknown or unavailable.

        Blocks for up to `CHANGE_ATTEMPTS` rounds over all servers.

        Args:
            base_generation: The generation that the edits are based on.
            change_id: Sent with every attempt, so that the server applies it only once.
            edits: The edits; the server applies all of them or none.
            dry_run: Validates the change without applying it.
            allow_unreachable: Accepts that some traffic is left without an upstream.
        """
        body = {
            "base_generation": base_generation,
            "change_id": change_id,
            "edits": [dataclasses.asdict(edit) for edit in edits],
            "dry_run": dry_run,
            "allow_unreachable": allow_unreachable,
        }
        # Once one attempt may have taken effect, later attempts can't rule it out.
        may_have_taken_effect = False
        message = "no server answered"
        for attempt in range(CHANGE_ATTEMPTS):
            if attempt:
                self._clock.sleep_ms(RETRY_DELAY_MS)
            try:
                outcome = parse_outcome(
                    self._send_request("POST", "/v1/configuration/changes", body=body)
                )
            except ClientError as error:
                outcome = Unavailable(message=str(error), may_have_taken_effect=True)
            match outcome:
                case Unavailable(message=message, may_have_taken_effect=unsure):
                    may_have_taken_effect = may_have_taken_effect or unsure
                case _:
                    return outcome
        return Unavailable(
            message=message, may_have_taken_effect=may_have_taken_effect and not dry_run
        )

    def set_exclusion(
        self, section: str, name: str, *, starts: bool, allow_unreachable: bool = False
    ) -> Reply:
        """Starts or ends a drain or an evacuation; sends the request only once.

        Args:
            section: drains or evacuations.
            name: The upstream or the failure domain.
            starts: Whether it starts, and not ends.
            allow_unreachable: Accepts that some traffic is left without an upstream.

        Raises:
            ClientError: No server answered.
        """
        method = "POST" if starts else "DELETE"
        body: dict | None = None
        if starts:
            body = {"allow_unreachable": True} if allow_unreachable else {}
        return self._send_request(
            method, f"/v1/{section}/{quote(name, safe='')}", body=body
        )

    def _send_request(
        self, method: str, path: str, *, body: dict | None = None
    ) -> Reply:
        failures = []
        for server in self._servers:
            try:
                response = self._http.request(
                    method,
                    server + path,
                    body=None if body is None else json.dumps(body).encode(),
                    headers={
                        "Authorization": f"Bearer {self._token}",
                        "Content-Type": "application/json",
                    },
                )
                decoded = json.loads(response.data)
            except (urllib3.exceptions.HTTPError, ValueError) as error:
                failures.append(f"{server}: {error}")
                continue
            if not isinstance(decoded, dict):
                failures.append(f"{server}: the answer is not a JSON object")
                continue
            return Reply(server=server, status=response.status, body=decoded)
        raise ClientError(
            step=f"{method} {path}",
            message="; ".join(failures) or "no server is configured",
        )


def parse_outcome(reply: Reply) -> ChangeOutcome:
    """Returns the outcome of a change from the reply of the server.

    An error reply without a `run_state` counts as one that may have taken effect.
    """
    body = reply.body
    error = body.get("error", {})
    match reply.status:
        case 200:
            return Accepted(
                generation=body.get("generation", 0),
                change_id=body.get("change_id", ""),
                warnings=tuple(describe_warning(item) for item in body["warnings"]),
            )
        case 401 | 403:
            return Denied(message=extract_error_message(body))
        case 409:
            return Conflict(
                message=extract_error_message(body),
                theirs=error.get("theirs"),
                yours=error.get("yours"),
            )
        case 400 | 413 | 422:
            problems = error.get("problems") or [
                {"message": extract_error_message(body)}
            ]
            return Invalid(problems=tuple(parse_problem(item) for item in problems))
        case _:
            return Unavailable(
                message=extract_error_message(body) or f"status {reply.status}",
                may_have_taken_effect=error.get("run_state") != "not_run",
            )


def parse_problem(item: dict) -> Problem:
    """Returns a problem from its JSON form; absent fields are empty."""
    return Problem(
        object=item.get("object", ""),
        field=item.get("field", ""),
        message=item.get("message", ""),
    )


def describe_warning(item: object) -> str:
    """Returns a warning of a reply as one line."""
    if not isinstance(item, dict):
        return str(item)
    problem = parse_problem(item)
    return " ".join(
        part for part in (problem.object, problem.field, problem.message) if part
    )


def extract_error_message(body: dict) -> str:
    """Returns the message of an error reply; empty if there is none."""
    error = body.get("error", {})
    return error.get("message", "") if isinstance(error, dict) else str(error)
