"""Data classes of the configuration: groups, selectors, drains, evacuations."""

import dataclasses
import enum
from collections.abc import Sequence

from gooseberrymux.errors import UserError
from gooseberrymux.records import Rank

# An unknown field is an error: a misspelled optional field would otherwise be ignored
# and its default used instead.
FORBID_UNKNOWN_FIELDS = {"extra": "forbid"}
# Accepted changes that a configuration lists. A change that is proposed again is
# detected by its id in this list; see `configuration_changes`.
RECENT_CHANGES_LIMIT = 64

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Problem:
    """What is wrong with one field of one object.

    Attributes:
        object: Kind and name, for example `selector/night-shift`.
        field: The field; empty for the object as a whole.
        message: What is wrong and what was expected, in one line.

    Tools that read objects from a file use `object` and `field` to find the line.
    """

    object: str
    field: str
    message: str

    def __str__(self) -> str:
        """Returns object, field and message in one line."""
        field = f".{self.field}" if self.field else ""
        return f"{self.object}{field}: {self.message}"


class ConfigurationError(UserError):
    """A configuration can't be decoded; `problems` names the objects and fields."""

    def __init__(self, *, step: str, problems: Sequence[Problem]):
        super().__init__(step=step, message="; ".join(str(item) for item in problems))
        self.problems = tuple(problems)


class Kind(enum.StrEnum):
    """Kinds of objects in a configuration."""

    GROUP = "group"
    SELECTOR = "selector"
    DRAIN = "drain"
    EVACUATION = "evacuation"


@_frozen
class Group:
    """A labelled group of upstreams that serve one index.

    Attributes:
        name: Unique name.
        index: The index that its upstreams serve.
        match: Labels that an upstream must have to be a member.
        labels: Labels of the group itself.
        outcome_lookup: Whether its upstreams answer queries for an order's outcome by
            idempotency key.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: str
    index: str
    match: dict[str, str]
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    outcome_lookup: bool = False


@_frozen
class Selector:
    """Routes traffic that matches it to groups of upstreams.

    Attributes:
        name: Unique name.
        priority: Among the selectors that match, the one with the highest applies.
        groups: Names of the groups, all with the same index.
        callers: Callers that match; empty for all.
        services: Services that match; empty for all.
        ranks: Ranks that match; empty for all.
        labels: Labels that the traffic must have.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    name: str
    priority: int
    groups: list[str]
    callers: list[str] = dataclasses.field(default_factory=list)
    services: list[str] = dataclasses.field(default_factory=list)
    ranks: list[Rank] = dataclasses.field(default_factory=list)
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


@_frozen
class Drain:
    """An operator's instruction to send no new work to an upstream."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    upstream: str
    reason: str = ""


@_frozen
class Evacuation:
    """An operator's instruction to send no request into a failure domain."""

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    domain: str
    reason: str = ""


@_frozen
class RecentChange:
    """An entry in the list of the last accepted changes.

    Attributes:
        change_id: Id that the operator's client chose for the change.
        generation: Generation of the configuration that the change created.
        operator: Name of the operator who proposed the change.
        objects: Kind and name of each object that the change put or removed.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    change_id: str
    generation: int
    operator: str
    objects: list[str]


@_frozen
class Configuration:
    """One generation of the configuration.

    Attributes:
        generation: Number that increases by one with each accepted change.
        change_id: Id of the change that created this generation.
        groups: Groups, sorted by name.
        selectors: Selectors, sorted by name.
        drains: Drains, sorted by upstream.
        evacuations: Evacuations, sorted by failure domain.
        recent_changes: The last accepted changes, oldest first.
    """

    __pydantic_config__ = FORBID_UNKNOWN_FIELDS

    generation: int
    change_id: str
    groups: list[Group] = dataclasses.field(default_factory=list)
    selectors: list[Selector] = dataclasses.field(default_factory=list)
    drains: list[Drain] = dataclasses.field(default_factory=list)
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    recent_changes: list[RecentChange] = dataclasses.field(default_factory=list)


EMPTY_CONFIGURATION = Configuration(generation=0, change_id="")

ConfigurationObject = Group | Selector | Drain | Evacuation


@_frozen
class ConfigurationChanged:
    """Event: another generation has come into force on this instance."""

    configuration: Configuration


# For each kind, the field of `Configuration` that lists its objects, and the field of
# the object that holds its unique name.
LIST_FIELDS = {
    Kind.GROUP: "groups",
    Kind.SELECTOR: "selectors",
    Kind.DRAIN: "drains",
    Kind.EVACUATION: "evacuations",
}
NAME_FIELDS = {
    Kind.GROUP: "name",
    Kind.SELECTOR: "name",
    Kind.DRAIN: "upstream",
    Kind.EVACUATION: "domain",
}


def list_objects_of_kind(configuration: Configuration, kind: Kind) -> list:
    """Returns a configuration's objects of one kind."""
    return getattr(configuration, LIST_FIELDS[kind])


def find_object(
    configuration: Configuration, kind: Kind, name: str
) -> ConfigurationObject | None:
    """Returns the object of a kind and name, or None if there is none."""
    field = NAME_FIELDS[kind]
    for found in list_objects_of_kind(configuration, kind):
        if getattr(found, field) == name:
            return found
    return None


def format_object_key(kind: Kind, name: str) -> str:
    """Returns `kind/name`, as used in problems and recent changes."""
    return f"{kind.value}/{name}"
