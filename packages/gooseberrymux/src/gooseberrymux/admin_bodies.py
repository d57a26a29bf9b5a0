"""Request and response bodies of the administration API."""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Annotated, Literal
from urllib.parse import parse_qs

import pydantic
import uuid6
from result import Err, Ok, Result

from gooseberrymux import web
from gooseberrymux.configuration_changes import (
    Accepted,
    Change,
    Conflict,
    Edit,
    Invalid,
    Outcome,
    PutEdit,
    RemoveEdit,
    Unavailable,
)
from gooseberrymux.configuration_model import Kind, Problem
from gooseberrymux.records import Rank, RunState, Traffic
from gooseberrymux.selectors import Explanation
from gooseberrymux.status import FleetStatus
from gooseberrymux.web import Response

STRICT_CONFIG = pydantic.ConfigDict(extra="forbid")

_body_dataclass = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_body_dataclass
class EditBody:
    """One edit; `value` is the object to put and is ignored by `remove`."""

    __pydantic_config__ = STRICT_CONFIG

    action: Literal["put", "remove"]
    kind: Kind
    name: Annotated[str, pydantic.Field(min_length=1)]
    value: dict | None = None


@_body_dataclass
class ChangeBody:
    """Body of a request that proposes a change of the configuration."""

    __pydantic_config__ = STRICT_CONFIG

    base_generation: Annotated[int, pydantic.Field(ge=0)]
    change_id: str
    edits: list[EditBody]
    dry_run: bool = False
    allow_unreachable: bool = False


@_body_dataclass
class ExclusionBody:
    """Body of a request that starts or ends a drain or an evacuation.

    Every field is optional.
    """

    __pydantic_config__ = STRICT_CONFIG

    reason: str = ""
    base_generation: int | None = None
    change_id: str | None = None
    dry_run: bool = False
    allow_unreachable: bool = False


_change_body_adapter = pydantic.TypeAdapter(ChangeBody)
_exclusion_body_adapter = pydantic.TypeAdapter(ExclusionBody)


def decode_change(decoded: dict, operator: str) -> Result[Change, Response]:
    """Returns the change that a body proposes, or a 422 that names each wrong field."""
    match validate_body(_change_body_adapter, decoded):
        case Err(response):
            return Err(response)
        case Ok(body):
            return Ok(
                Change(
                    change_id=body.change_id,
                    operator=operator,
                    base_generation=body.base_generation,
                    edits=tuple(decode_edit(edit) for edit in body.edits),
                    dry_run=body.dry_run,
                    allow_unreachable=body.allow_unreachable,
                )
            )


def decode_edit(edit: EditBody) -> Edit:
    """Returns the edit that a body describes; a missing value becomes empty."""
    if edit.action == "remove":
        return RemoveEdit(kind=edit.kind, name=edit.name)
    return PutEdit(kind=edit.kind, name=edit.name, value=edit.value or {})


def decode_exclusion(
    decoded: dict, *, kind: Kind, name: str, starts: bool, operator: str
) -> Result[Change, Response]:
    """Returns the change that starts or ends a drain or an evacuation, or a 422.

    A body without `change_id` gets a random one, so that each request is a new change.
    """
    match validate_body(_exclusion_body_adapter, decoded):
        case Err(response):
            return Err(response)
        case Ok(body):
            pass
    edit: Edit = RemoveEdit(kind=kind, name=name)
    if starts:
        value = {"reason": body.reason}
        edit = PutEdit(kind=kind, name=name, value=value)
    return Ok(
        Change(
            change_id=body.change_id or str(uuid6.uuid7()),
            operator=operator,
            base_generation=body.base_generation,
            edits=(edit,),
            dry_run=body.dry_run,
            allow_unreachable=body.allow_unreachable,
        )
    )


def validate_body(adapter: pydantic.TypeAdapter, decoded: dict) -> Result:
    """Returns the validated body, or a 422 that names each wrong field."""
    try:
        return Ok(adapter.validate_python(decoded))
    except pydantic.ValidationError as error:
        problems = [
            Problem(
                object="change",
                field=".".join(str(part) for part in problem["loc"]),
                message=problem["msg"],
            )
            for problem in error.errors()
        ]
        return Err(create_invalid_response(problems))


def decode_traffic(query: str) -> Result[Traffic, Response]:
    """Returns the traffic that the query string of an explain request describes.

    Parameters that are missing default to the standard rank and empty names. An
    unknown rank or a malformed label gives a 422.
    """
    fields = parse_qs(query, keep_blank_values=True)
    rank = fields.get("rank", [Rank.STANDARD.value])[0]
    if rank not in list(Rank):
        expected = ", ".join(known.value for known in Rank)
        message = f"{rank!r} is unknown, expected one of {expected}"
        return Err(
            create_invalid_response(
                [Problem(object="traffic", field="rank", message=message)]
            )
        )
    labels = {}
    for pair in fields.get("label", []):
        key, separator, value = pair.partition("=")
        if not separator:
            message = f"{pair!r}: expected KEY=VALUE"
            return Err(
                create_invalid_response(
                    [Problem(object="traffic", field="label", message=message)]
                )
            )
        labels[key] = value
    return Ok(
        Traffic(
            caller=fields.get("caller", [""])[0],
            service=fields.get("service", [""])[0],
            rank=Rank(rank),
            labels=labels,
        )
    )


def create_outcome_response(change: Change, outcome: Outcome) -> Response:
    """Returns the response to a proposed change."""
    match outcome:
        case Accepted(generation=generation, warnings=warnings):
            return web.create_json(
                status=200,
                body={
                    "generation": generation,
                    "change_id": change.change_id,
                    "warnings": describe_problems(warnings),
                },
            )
        case Conflict(generation=generation, message=message):
            return create_error_response(
                409,
                code="conflict",
                message=message,
                run_state=RunState.NOT_RUN,
                generation=generation,
                theirs=outcome.theirs,
                yours=outcome.yours,
            )
        case Invalid(problems=problems):
            return create_invalid_response(problems)
        case Unavailable(run_state=run_state, message=message):
            return create_error_response(
                503, code="platform_unavailable", message=message, run_state=run_state
            )


def create_invalid_response(problems: Iterable[Problem]) -> Response:
    """Returns a 422 that lists the problems of a request."""
    listed = describe_problems(problems)
    count = len(listed)
    return create_error_response(
        422,
        code="invalid",
        message=f"{count} {'problem' if count == 1 else 'problems'}",
        run_state=RunState.NOT_RUN,
        problems=listed,
    )


def create_error_response(
    status: int, *, code: str, message: str, run_state: RunState, **fields: object
) -> Response:
    """Returns an error response; `fields` are added to its `error` object."""
    error = {"code": code, "message": message, "run_state": run_state.value, **fields}
    return web.create_json(status=status, body={"error": error})


def describe_problems(problems: Iterable[Problem]) -> list[dict]:
    """Returns problems or warnings as JSON objects."""
    return [dataclasses.asdict(problem) for problem in problems]


def describe_fleet(fleet: FleetStatus) -> dict:
    """Returns the fleet's status as JSON, with the instances sorted by name."""
    return {
        "evacuations": count_evacuations(fleet),
        "instances": [fleet.instances[name] for name in sorted(fleet.instances)],
        "silent": list(fleet.silent),
    }


def count_evacuations(fleet: FleetStatus) -> dict[str, int]:
    """Returns on how many instances each evacuation is in force, by failure domain."""
    counts: collections.Counter[str] = collections.Counter()
    for status in fleet.instances.values():
        match status.get("services"):
            case {"evacuations": {"domains": list(domains)}}:
                counts.update(domains)
    return dict(sorted(counts.items()))


def describe_explanation(explanation: Explanation) -> dict:
    """Returns the explanation of how traffic is routed, as JSON."""
    route = explanation.route
    return {
        "generation": explanation.generation,
        "traffic": dataclasses.asdict(explanation.traffic),
        "matched": [dataclasses.asdict(selector) for selector in explanation.matched],
        "selector": route.selector if route else None,
        "reason": explanation.reason,
        "index": route.index if route else None,
        "groups": [group.name for group in route.groups] if route else [],
        "upstreams": [
            dataclasses.asdict(upstream) for upstream in explanation.upstreams
        ],
    }
