"""Groups, selectors and drains: the model that operators edit, and its checks."""

import dataclasses
import threading

import pydantic

from gooseberrymux import journal
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.errors import UserError
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Rank

CONFIGURATION_NAME = "configuration/current"
LENIENT = pydantic.ConfigDict(extra="forbid")


class ConfigurationError(UserError):
    """A configuration is refused; the message names object and field."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
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

    __pydantic_config__ = LENIENT

    name: str
    index: str
    match: dict[str, str]
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    outcome_lookup: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
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

    __pydantic_config__ = LENIENT

    name: str
    priority: int
    groups: list[str]
    callers: list[str] = dataclasses.field(default_factory=list)
    services: list[str] = dataclasses.field(default_factory=list)
    ranks: list[Rank] = dataclasses.field(default_factory=list)
    labels: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """An operator's wish that an upstream gets no new work."""

    __pydantic_config__ = LENIENT

    upstream: str
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One generation of the configuration."""

    __pydantic_config__ = LENIENT

    generation: int
    change_id: str
    groups: list[Group] = dataclasses.field(default_factory=list)
    selectors: list[Selector] = dataclasses.field(default_factory=list)
    drains: list[Drain] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChanged:
    """Another generation is in force on this instance."""

    configuration: Configuration


@service("configuration", requires=("documents",))
class ConfigurationService:
    """Holds the configuration in force on this instance."""

    __slots__ = ("_kernel", "_documents", "_current", "_lock", "last_problem")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._documents = kernel.find("documents", Documents)
        self._current: Configuration | None = None
        self._lock = threading.Lock()
        self.last_problem: str | None = None
        kernel.subscribe(DocumentChanged, self._handle_document)

    def start(self) -> None:
        """Nothing to start: the configuration arrives as a document."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def get_current(self) -> Configuration | None:
        """Returns the configuration in force, or None before the first."""
        return self._current

    def _handle_document(self, event: DocumentChanged) -> None:
        if event.name != CONFIGURATION_NAME:
            return
        try:
            decoded = decode_configuration(event.body)
        except ConfigurationError as error:
            # The last good configuration stays in force.
            self.last_problem = str(error)
            journal.record_fault(
                step="configuration.decode", peer="platform", error=error
            )
            return
        with self._lock:
            if self._current and decoded.generation <= self._current.generation:
                return
            self._current = decoded
            self.last_problem = None
        self._kernel.publish(ConfigurationChanged(configuration=decoded))


def decode_configuration(body: dict) -> Configuration:
    """Returns the configuration that a document holds.

    Raises:
        ConfigurationError: A field is missing, unknown or of the wrong type.
    """
    try:
        return pydantic.TypeAdapter(Configuration).validate_python(body)
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        place = ".".join(str(part) for part in problem["loc"])
        raise ConfigurationError(
            step="configuration.decode", message=f"{place}: {problem['msg']}"
        ) from error
