"""Groups, selectors and drains: the objects that operators edit, and their form."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Annotated

import pydantic

from gooseberrymux.document_table import GENERATION_LIMIT
from gooseberrymux.errors import UserError
from gooseberrymux.records import Rank

# Unknown fields are refused, so that a mistyped one never falls back to a default.
STRICT = pydantic.ConfigDict(extra="forbid")
# A change that is proposed again is recognised among the last changes; see `edits`.
RECENT_CHANGES_LIMIT = 64

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Problem:
    """What is wrong with one field of one object.

    Attributes:
        object: Kind and name, for example `selector/night-shift`.
        field: The field; empty for the object as a whole.
        message: What is wrong and what was expected, in one line.

    Whoever has read the object from a file finds the line by object and field.
    """

    object: str
    field: str
    message: str

    def __str__(self) -> str:
        """Returns object, field and message in one line."""
        field = f".{self.field}" if self.field else ""
        return f"{self.object}{field}: {self.message}"


class ConfigurationError(UserError):
    """A configuration does not decode; `problems` names objects and fields."""

    def __init__(self, *, step: str, problems: Sequence[Problem]):
        super().__init__(step=step, message="; ".join(str(item) for item in problems))
        self.problems = tuple(problems)


class Kind(enum.StrEnum):
    """Kinds of objects in a configuration."""

    GROUP = "group"
    SELECTOR = "selector"
    DRAIN = "drain"


@_frozen
class Group:
    """A labelled group of upstreams.

    Attributes:
        name: Unique name.
        index: The index that its upstreams serve.
        match: Labels that an upstream must have to belong to it.
        labels: Labels of the group itself.
        outcome_lookup: Whether its upstreams can be asked for an order's outcome by
            key.
    """

    __pydantic_config__ = STRICT

    name: str
    index: str
    match: dict[str, str]
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    outcome_lookup: bool = False


@_frozen
class Selector:
    """Says which traffic, of which rank, may reach which groups.

    Attributes:
        name: Unique name.
        priority: The highest among the selectors that match wins.
        groups: Names of the groups, all with the same index.
        callers: Callers it matches; empty for all.
        services: Services it matches; empty for all.
        ranks: Ranks it matches; empty for all.
        labels: Traffic labels that must be there.
    """

    __pydantic_config__ = STRICT

    name: str
    priority: int
    groups: list[str]
    callers: list[str] = dataclasses.field(default_factory=list)
    services: list[str] = dataclasses.field(default_factory=list)
    ranks: list[Rank] = dataclasses.field(default_factory=list)
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


@_frozen
class Drain:
    """An operator's wish that an upstream gets no new work."""

    __pydantic_config__ = STRICT

    upstream: str
    reason: str = ""


@_frozen
class RecentChange:
    """One of the last accepted changes.

    Attributes:
        change_id: Chosen by whoever proposed it.
        generation: The generation that it made.
        operator: Who proposed it.
        objects: Kind and name of each object that it put or removed.
    """

    __pydantic_config__ = STRICT

    change_id: str
    generation: int
    operator: str
    objects: list[str]


@_frozen
class Configuration:
    """One generation of the configuration.

    Attributes:
        generation: Rises by one with each accepted change.
        change_id: The change that made this generation.
        groups: Groups in the order of their names.
        selectors: Selectors in the order of their names.
        drains: Drains in the order of their upstreams.
        recent_changes: The last changes, oldest first.
    """

    __pydantic_config__ = STRICT

    generation: Annotated[int, pydantic.Field(ge=0, lt=GENERATION_LIMIT)]
    change_id: str
    groups: list[Group] = dataclasses.field(default_factory=list)
    selectors: list[Selector] = dataclasses.field(default_factory=list)
    drains: list[Drain] = dataclasses.field(default_factory=list)
    recent_changes: list[RecentChange] = dataclasses.field(default_factory=list)


EMPTY = Configuration(generation=0, change_id="")

ConfigurationObject = Group | Selector | Drain

_configuration = pydantic.TypeAdapter(Configuration)
_adapters = {
    Kind.GROUP: pydantic.TypeAdapter(Group),
    Kind.SELECTOR: pydantic.TypeAdapter(Selector),
    Kind.DRAIN: pydantic.TypeAdapter(Drain),
}
# Name of the list of each kind, and of the field that holds the object's name.
LISTS = {Kind.GROUP: "groups", Kind.SELECTOR: "selectors", Kind.DRAIN: "drains"}
NAME_FIELDS = {Kind.GROUP: "name", Kind.SELECTOR: "name", Kind.DRAIN: "upstream"}


def decode_configuration(body: dict) -> Configuration:
    """Returns the configuration that a document holds.

    Raises:
        ConfigurationError: A field is missing, unknown or of the wrong type.
    """
    try:
        return _configuration.validate_python(body)
    except pydantic.ValidationError as error:
        problems = [
            Problem(
                object=name_place(body, problem["loc"]),
                field=name_field(problem["loc"]),
                message=describe(problem),
            )
            for problem in error.errors()
        ]
        raise ConfigurationError(
            step="configuration.decode", problems=problems
        ) from error


def encode_configuration(configuration: Configuration) -> dict:
    """Returns the document that holds a configuration.

    Fields with their default are left out, so that instances of an earlier release,
    which refuse unknown fields, go on decoding it until a new field is used.
    """
    return _configuration.dump_python(configuration, mode="json", exclude_defaults=True)


def describe_configuration(configuration: Configuration) -> dict:
    """Returns a configuration with all its fields, for people."""
    return _configuration.dump_python(configuration, mode="json")


def decode_object(
    *, kind: Kind, name: str, value: dict
) -> ConfigurationObject | list[Problem]:
    """Returns the object of an edit, or what is wrong with it.

    Args:
        kind: What it is.
        name: Its name; `value` may repeat it.
        value: Its fields.
    """
    name_field = NAME_FIELDS[kind]
    key = name_object(kind, name)
    if value.get(name_field, name) != name:
        message = f"{value[name_field]!r} differs from the edit's name {name!r}"
        return [Problem(object=key, field=name_field, message=message)]
    try:
        return _adapters[kind].validate_python({**value, name_field: name})
    except pydantic.ValidationError as error:
        return [
            Problem(
                object=key,
                field=".".join(str(part) for part in problem["loc"]),
                message=describe(problem),
            )
            for problem in error.errors()
        ]


def encode_object(kind: Kind, found: ConfigurationObject | None) -> dict | None:
    """Returns the fields of an object; None stays None."""
    return None if found is None else _adapters[kind].dump_python(found, mode="json")


def list_kind(configuration: Configuration, kind: Kind) -> list:
    """Returns the objects of one kind."""
    return getattr(configuration, LISTS[kind])


def find_object(
    configuration: Configuration, kind: Kind, name: str
) -> ConfigurationObject | None:
    """Returns an object by its name, or None."""
    field = NAME_FIELDS[kind]
    for found in list_kind(configuration, kind):
        if getattr(found, field) == name:
            return found
    return None


def name_object(kind: Kind, name: str) -> str:
    """Returns kind and name as they appear in problems and recent changes."""
    return f"{kind.value}/{name}"


def name_place(body: dict, place: tuple) -> str:
    """Returns kind and name of the object in which decoding failed."""
    match place:
        case (str(section), int(number), *_) if section in LISTS.values():
            kind = next(key for key, value in LISTS.items() if value == section)
            match body[section][number]:
                case {"name": str(name)} | {"upstream": str(name)}:
                    return name_object(kind, name)
            return name_object(kind, f"#{number}")
        case _:
            return "configuration"


def name_field(place: tuple) -> str:
    """Returns the field at which decoding failed, without its object's place."""
    match place:
        case (str(section), int(), *rest) if section in LISTS.values():
            return ".".join(str(part) for part in rest)
        case _:
            return ".".join(str(part) for part in place)


def describe(problem: dict) -> str:
    """Returns one line with the value and what was expected instead."""
    if problem["type"] == "missing":
        return "is missing"
    return f"{problem['input']!r}: {problem['msg']}"
