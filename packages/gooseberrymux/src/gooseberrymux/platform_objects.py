"""Objects of the platform and the answers of its object API, as types."""

import dataclasses
import json

from result import Err, Ok, Result

from gooseberrymux.errors import MuxError
from gooseberrymux.records import RunState


class PlatformError(MuxError):
    """A call of the object API without a usable response.

    Args:
        run_state: For a write, `not_run` if the write certainly did not take effect
            and `unknown` if it may have taken effect or may still do so. Always
            `not_run` for reads.
        is_reached: Whether the platform answered this instance in spite of the error.
    """

    def __init__(
        self,
        *,
        step: str,
        message: str,
        run_state: RunState,
        is_reached: bool = False,
    ):
        super().__init__(step=step, peer="platform", message=message)
        self.run_state = run_state
        self.is_reached = is_reached


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformObject:
    """One object of the platform; version 0 means that the object does not exist."""

    name: str
    version: int
    value: dict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MalformedObject:
    """An item of a list or watch response that does not decode as an object."""

    name: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Written:
    """A conditional update took effect; `version` is the new version of the object."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """A conditional update did not take effect: the object is at another version."""

    current: PlatformObject


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchedChanges:
    """Objects returned by a list call, or changed since the revision of a watch.

    Attributes:
        era: Era of the platform to which the revision belongs.
        revision: Revision that the next watch starts from.
        objects: The listed or changed objects.
        malformed: Items that did not decode; `objects` is usable nevertheless.
    """

    revision: int
    objects: list[PlatformObject]
    malformed: tuple[MalformedObject, ...] = ()
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAnswer:
    """The body of a response of the object API, and the era of the platform.

    Attributes:
        era: How often the platform has gone back to an earlier state. Revisions and
            versions of different eras can't be compared.
        body: The decoded body.
    """

    era: int
    body: dict


def get_body(answer: PlatformAnswer) -> dict:
    """Returns the body of an answer."""
    return answer.body


def encode_put_body(*, value: dict, expected_version: int) -> bytes:
    """Returns the request body of a conditional update.

    Raises:
        TypeError: The value holds an object of a type that JSON can't represent.
        ValueError: The value holds NaN or an infinity.
    """
    body = {"value": value, "expected_version": expected_version}
    return json.dumps(body, separators=(",", ":"), allow_nan=False).encode()


def decode_object(body: object) -> Result[PlatformObject, PlatformError]:
    """Returns the object in a response body or an item of a list."""
    match body:
        case {"name": str(name), "version": int(version), "value": dict(value)}:
            return Ok(PlatformObject(name=name, version=version, value=value))
        case _:
            return Err(create_not_run_error("read", "malformed object in the response"))


def create_name_check(name: str):
    """Returns a function that rejects an object with another name than `name`."""

    def check(found: PlatformObject) -> Result[PlatformObject, PlatformError]:
        if found.name != name:
            return Err(
                create_not_run_error("get", f"requested {name}, got {found.name}")
            )
        return Ok(found)

    return check


def decode_put_result(
    body: dict,
) -> Result[Written | VersionConflict, PlatformError]:
    """Returns the result of a conditional update from its response body."""
    match body:
        case {"conflict": True}:
            # If the current object does not decode, the error is `not_run` all the
            # same: a conflict means that nothing was written.
            return decode_object(body).map(lambda found: VersionConflict(current=found))
        case {"version": int(version)}:
            return Ok(Written(version=version))
        case _:
            return Err(
                PlatformError(
                    step="platform.put",
                    message="malformed response to a write",
                    run_state=RunState.UNKNOWN,
                )
            )


def decode_changes(answer: PlatformAnswer) -> Result[WatchedChanges, PlatformError]:
    """Returns the objects of the response to a list or watch call.

    A malformed item does not fail the call; it is returned in `malformed`.
    """
    match answer.body:
        case {"revision": int(revision), "objects": list(items)}:
            pass
        case _:
            return Err(create_not_run_error("read", "malformed list in the response"))
    objects = []
    malformed = []
    for item in items:
        match decode_object(item):
            case Ok(found):
                objects.append(found)
            case Err(error):
                name = item.get("name") if isinstance(item, dict) else None
                malformed.append(
                    MalformedObject(name=str(name or "?"), message=error.message)
                )
    return Ok(
        WatchedChanges(
            era=answer.era,
            revision=revision,
            objects=objects,
            malformed=tuple(malformed),
        )
    )


def create_not_run_error(kind: str, message: str) -> PlatformError:
    """Returns the error of a call that certainly changed nothing on the platform."""
    return PlatformError(
        step=f"platform.{kind}", message=message, run_state=RunState.NOT_RUN
    )
