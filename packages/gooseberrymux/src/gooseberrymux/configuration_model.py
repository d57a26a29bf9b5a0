"""Groups, selectors and drains: the objects that operators edit, and their form."""

import dataclasses
import enum
from collections.abc import Sequence

from gooseberrymux.errors import UserError
from gooseberrymux.records import Rank

# Unknown fields are refused, so that a mistyped one never falls back to a default.
STRICT = {"extra": "forbid"}
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

    generation: int
    change_id: str
    groups: list[Group] = dataclasses.field(default_factory=list)
    selectors: list[Selector] = dataclasses.field(default_factory=list)
    drains: list[Drain] = dataclasses.field(default_factory=list)
    recent_changes: list[RecentChange] = dataclasses.field(default_factory=list)


EMPTY = Configuration(generation=0, change_id="")

ConfigurationObject = Group | Selector | Drain


@_frozen
class ConfigurationChanged:
    """Another generation is in force on this instance."""

    configuration: Configuration


# Name of the list of each kind, and of the field that holds the object's name.
LISTS = {Kind.GROUP: "groups", Kind.SELECTOR: "selectors", Kind.DRAIN: "drains"}
NAME_FIELDS = {Kind.GROUP: "name", Kind.SELECTOR: "name", Kind.DRAIN: "upstream"}


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
