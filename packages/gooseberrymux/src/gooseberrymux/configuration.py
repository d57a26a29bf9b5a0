"""The configuration in force on this instance, and changes to it."""

import threading

import pydantic

from gooseberrymux import journal
from gooseberrymux.configuration_codec import decode_configuration
from gooseberrymux.configuration_model import (
    Configuration,
    ConfigurationChanged,
    ConfigurationError,
    Drain,
    Group,
    Selector,
)
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.edits import Change, Outcome, describe_outcome
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.platform import Platform
from gooseberrymux.proposals import CONFIGURATION_NAME, Proposal
from gooseberrymux.records import InstanceRecord, UpstreamRecord

__all__ = [
    "CONFIGURATION_NAME",
    "Configuration",
    "ConfigurationChanged",
    "ConfigurationError",
    "ConfigurationService",
    "Drain",
    "Group",
    "Selector",
    "decode_configuration",
]

CONFIGURATION_PREFIX = "configuration/"
UPSTREAMS_NAME = "instances"

_upstreams = pydantic.TypeAdapter(list[UpstreamRecord])
_instances = pydantic.TypeAdapter(list[InstanceRecord])


@service("configuration", requires=("documents", "platform"))
class ConfigurationService:
    """Holds the configuration in force on this instance and proposes changes."""

    __slots__ = (
        "_kernel",
        "_documents",
        "_platform",
        "_current",
        "_outcomes",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._documents = kernel.find("documents", Documents)
        self._platform = kernel.find("platform", Platform)
        self._current: Configuration | None = None
        self._outcomes: dict[str, int] = {}
        self._lock = threading.Lock()
        self._documents.watch_prefix(CONFIGURATION_PREFIX, required=CONFIGURATION_NAME)
        self._documents.register_check(CONFIGURATION_NAME, check_document)
        # Here and not in the inventory because proposals read the list as well.
        self._documents.register_check(UPSTREAMS_NAME, check_lists)
        kernel.subscribe(DocumentChanged, self._handle_document)

    def start(self) -> None:
        """Nothing to start: the configuration arrives as a document."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the administration API waits for its requests."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the generation in force and the outcomes of proposals here."""
        current = self._current
        with self._lock:
            outcomes = dict(self._outcomes)
        return {
            "generation": current.generation if current else None,
            "change_id": current.change_id if current else None,
            "proposals": outcomes,
        }

    def get_current(self) -> Configuration | None:
        """Returns the configuration in force, or None before the first."""
        return self._current

    def propose(self, change: Change) -> Outcome:
        """Checks a change, writes it and spreads it; blocks until that is settled.

        Returns:
            `Accepted` only if the change is known to have taken effect.
        """
        outcome = Proposal(
            change=change,
            platform=self._platform,
            documents=self._documents,
            upstreams=self._list_upstreams(),
            clock=self._kernel.clock,
        ).run()
        with self._lock:
            name = type(outcome).__name__.lower()
            self._outcomes[name] = self._outcomes.get(name, 0) + 1
        journal.record_event(
            "configuration.proposed",
            change_id=change.change_id,
            operator=change.operator,
            outcome=name,
            detail=describe_outcome(outcome),
        )
        return outcome

    def _list_upstreams(self) -> tuple[UpstreamRecord, ...]:
        """Returns the platform's list, or nothing if it is not known here.

        It is read as a document because the inventory depends on this service's model.
        """
        document = self._documents.get(UPSTREAMS_NAME)
        if document is None:
            return ()
        # It has passed `check_lists` before it was put in force.
        return tuple(_upstreams.validate_python(document.body.get("upstreams", [])))

    def _handle_document(self, event: DocumentChanged) -> None:
        if event.name != CONFIGURATION_NAME:
            return
        # It has passed `check_document` before it was put in force.
        decoded = decode_configuration(event.body)
        self._current = decoded
        self._kernel.publish(ConfigurationChanged(configuration=decoded))


def check_document(body: dict) -> str | None:
    """Returns why a document is no configuration, or None."""
    try:
        decode_configuration(body)
    except ConfigurationError as error:
        return error.message
    return None


def check_lists(body: dict) -> str | None:
    """Returns why a document is no list of upstreams and instances, or None."""
    try:
        _upstreams.validate_python(body.get("upstreams", []))
        _instances.validate_python(body.get("instances", []))
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        place = ".".join(str(part) for part in problem["loc"])
        return f"{place}: {problem['msg']}"
    return None
