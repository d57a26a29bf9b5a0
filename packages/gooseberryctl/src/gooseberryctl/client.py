"""Client of the administration API: typed outcomes, several servers, safe retries."""

import dataclasses
import json
from urllib.parse import quote, urlencode

import urllib3

from gooseberrymux.clock import Clock
from gooseberrymux.errors import UserError

TIMEOUT_MS = 5_000
ATTEMPTS = 4
RETRY_PAUSE_MS = 500

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class ClientError(UserError):
    """No server answered, or the answer can't be read."""


class DeniedError(ClientError):
    """The token is missing or wrong."""


@_frozen
class Accepted:
    """The change is known to have taken effect."""

    generation: int
    change_id: str
    warnings: tuple[str, ...]


@_frozen
class Conflict:
    """Somebody else changed the same object; nothing was changed."""

    message: str
    theirs: object
    yours: object


@_frozen
class Problem:
    """One thing wrong with a configuration."""

    object: str
    field: str
    message: str


@_frozen
class Invalid:
    """The configuration is refused; nothing was changed."""

    problems: tuple[Problem, ...]


@_frozen
class Denied:
    """The token is missing or wrong; nothing was changed."""

    message: str


@_frozen
class Unavailable:
    """The platform or every server is unavailable.

    Attributes:
        message: One line for people.
        may_have_run: Whether the change may have taken effect all the same.
    """

    message: str
    may_have_run: bool


ChangeOutcome = Accepted | Conflict | Invalid | Denied | Unavailable


@_frozen
class Edit:
    """One edit of a configuration.

    Attributes:
        action: put or remove.
        kind: group, selector or drain.
        name: Name of the object.
        value: The whole object for put; empty for remove.
    """

    action: str
    kind: str
    name: str
    value: dict = dataclasses.field(default_factory=dict)


@_frozen
class Reply:
    """One answer of a server."""

    server: str
    status: int
    body: dict


class Client:
    """Calls the administration API of whichever server answers."""

    __slots__ = ("_servers", "_token", "_http", "_clock")

    def __init__(self, *, servers: tuple[str, ...], token: str, clock: Clock):
        self._servers = tuple(server.rstrip("/") for server in servers)
        self._token = token
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_MS / 1000)
        self._clock = clock

    def get(self, path: str, **fields: object) -> dict:
        """Reads from the first server that answers.

        Raises:
            ClientError: No server answered, or the answer is an error.
        """
        if fields:
            path = f"{path}?{urlencode(fields, doseq=True)}"
        reply = self._call("GET", path)
        if reply.status != 200:
            kind = DeniedError if reply.status in (401, 403) else ClientError
            raise kind(
                step=f"GET {path}",
                peer=reply.server,
                message=read_message(reply.body) or f"status {reply.status}",
            )
        return reply.body

    def change(
        self,
        *,
        base_generation: int,
        change_id: str,
        edits: tuple[Edit, ...],
        dry_run: bool = False,
        allow_unreachable: bool = False,
    ) -> ChangeOutcome:
        """Proposes a change; tries again under the same change id while it is unknown.

        Args:
            base_generation: The generation that the edits were made against.
            change_id: Makes a repeated proposal harmless.
            edits: The edits, applied all or none.
            dry_run: Checks only.
            allow_unreachable: Accepts a rank that loses its last upstream.
        """
        body = {
            "base_generation": base_generation,
            "change_id": change_id,
            "edits": [dataclasses.asdict(edit) for edit in edits],
            "dry_run": dry_run,
            "allow_unreachable": allow_unreachable,
        }
        # Once one attempt may have taken effect, later attempts can't rule it out.
        may_have_run = False
        message = "no server answered"
        for attempt in range(ATTEMPTS):
            if attempt:
                self._clock.sleep_ms(RETRY_PAUSE_MS)
            try:
                outcome = read_outcome(
                    self._call("POST", "/v1/configuration/changes", body=body)
                )
            except ClientError as error:
                outcome = Unavailable(message=str(error), may_have_run=True)
            match outcome:
                case Unavailable(message=message, may_have_run=possible):
                    may_have_run = may_have_run or possible
                case _:
                    return outcome
        return Unavailable(message=message, may_have_run=may_have_run and not dry_run)

    def set_drain(self, upstream: str, *, draining: bool) -> Reply:
        """Starts or ends the drain of an upstream."""
        method = "POST" if draining else "DELETE"
        body: dict | None = {} if draining else None
        return self._call(method, f"/v1/drains/{quote(upstream, safe='')}", body=body)

    def _call(self, method: str, path: str, *, body: dict | None = None) -> Reply:
        problems = []
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
                problems.append(f"{server}: {error}")
                continue
            if not isinstance(decoded, dict):
                problems.append(f"{server}: the answer is not a JSON object")
                continue
            return Reply(server=server, status=response.status, body=decoded)
        raise ClientError(
            step=f"{method} {path}",
            message="; ".join(problems) or "no server is named",
        )


def read_outcome(reply: Reply) -> ChangeOutcome:
    """Returns the outcome that an answer to a proposed change states."""
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
            return Denied(message=read_message(body))
        case 409:
            return Conflict(
                message=read_message(body),
                theirs=error.get("theirs"),
                yours=error.get("yours"),
            )
        case 400 | 413 | 422:
            problems = error.get("problems") or [{"message": read_message(body)}]
            return Invalid(problems=tuple(read_problem(item) for item in problems))
        case _:
            return Unavailable(
                message=read_message(body) or f"status {reply.status}",
                may_have_run=error.get("run_state") != "not_run",
            )


def read_problem(item: dict) -> Problem:
    """Returns one problem of an answer."""
    return Problem(
        object=item.get("object", ""),
        field=item.get("field", ""),
        message=item.get("message", ""),
    )


def describe_warning(item: object) -> str:
    """Returns a warning as one line."""
    if not isinstance(item, dict):
        return str(item)
    problem = read_problem(item)
    return " ".join(
        part for part in (problem.object, problem.field, problem.message) if part
    )


def read_message(body: dict) -> str:
    """Returns the message of an error answer; empty if there is none."""
    error = body.get("error", {})
    return error.get("message", "") if isinstance(error, dict) else str(error)
