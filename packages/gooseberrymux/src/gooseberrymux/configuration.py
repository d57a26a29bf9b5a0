"""Service for the configuration in force on this instance and for changes to it."""

import threading

import pydantic
from result import Err, Ok

from gooseberrymux import journal
from gooseberrymux.configuration_changes import Change, Outcome, describe_outcome
from gooseberrymux.configuration_codec import decode_configuration
from gooseberrymux.configuration_model import (
    Configuration,
    ConfigurationChanged,
    ConfigurationError,
    Drain,
    Group,
    Selector,
)
from gooseberrymux.documents import DocumentChanged, Documents, OlderCopyFound
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.platform import Platform
from gooseberrymux.platform_objects import VersionConflict, Written
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

CONFIGURATION_DOCUMENT_PREFIX = "configuration/"
INVENTORY_DOCUMENT_NAME = "instances"

_upstreams_adapter = pydantic.TypeAdapter(list[UpstreamRecord])
_instances_adapter = pydantic.TypeAdapter(list[InstanceRecord])


@service("configuration", requires=("documents", "platform"))
class ConfigurationService:
    """Holds the configuration in force on this instance and proposes changes.

    `propose` may be called from several request threads at the same time.
    """

    __slots__ = (
        "_kernel",
        "_documents",
        "_platform",
        "_current",
        "_outcome_counts",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._documents = kernel.find("documents", Documents)
        self._platform = kernel.find("platform", Platform)
        self._current: Configuration | None = None
        self._outcome_counts: dict[str, int] = {}
        self._lock = threading.Lock()
        self._documents.watch_prefix(
            CONFIGURATION_DOCUMENT_PREFIX, required=CONFIGURATION_NAME
        )
        self._documents.register_check(CONFIGURATION_NAME, check_configuration_document)
        # Registered by this service rather than by the inventory because proposals read
        # the upstream list as well.
        self._documents.register_check(
            INVENTORY_DOCUMENT_NAME, check_inventory_document
        )
        kernel.subscribe(DocumentChanged, self._handle_document)
        kernel.subscribe(OlderCopyFound, self._write_again)

    def start(self) -> None:
        """Does nothing: the configuration arrives as a document."""

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: the administration API waits for its own requests."""

    def stop(self) -> None:
        """Does nothing: the service owns no threads or connections."""

    def describe(self) -> dict:
        """Returns the generation in force and this instance's proposals by outcome."""
        current = self._current
        with self._lock:
            outcome_counts = dict(self._outcome_counts)
        return {
            "generation": current.generation if current else None,
            "change_id": current.change_id if current else None,
            "proposals": outcome_counts,
        }

    def get_current(self) -> Configuration | None:
        """Returns the configuration in force, or None before the first has arrived."""
        return self._current

    def propose(self, change: Change) -> Outcome:
        """Checks a change, writes it to the platform and offers it to the peers.

        Blocks until the outcome is known or no attempt may start any more.

        Returns:
            `Accepted` only if the change is known to have taken effect, or would have
            in a dry run.
        """
        outcome = Proposal(
            change=change,
            platform=self._platform,
            documents=self._documents,
            upstreams=self._list_upstreams(),
            clock=self._kernel.clock,
        ).run()
        with self._lock:
            outcome_name = type(outcome).__name__.lower()
            self._outcome_counts[outcome_name] = (
                self._outcome_counts.get(outcome_name, 0) + 1
            )
        journal.record_event(
            "configuration.proposed",
            change_id=change.change_id,
            operator=change.operator,
            outcome=outcome_name,
            detail=describe_outcome(outcome),
        )
        return outcome

    def _list_upstreams(self) -> tuple[UpstreamRecord, ...]:
        """Returns the platform's upstream list; empty if this instance has none yet.

        The list is read from the document, not from the inventory service, because the
        inventory depends on the configuration model.
        """
        document = self._documents.get(INVENTORY_DOCUMENT_NAME)
        if document is None:
            return ()
        # Documents in force have passed `check_inventory_document`.
        return tuple(
            _upstreams_adapter.validate_python(document.body.get("upstreams", []))
        )

    def _handle_document(self, event: DocumentChanged) -> None:
        if event.name != CONFIGURATION_NAME:
            return
        # Documents in force have passed `check_configuration_document`.
        decoded = decode_configuration(event.body)
        self._current = decoded
        self._kernel.publish(ConfigurationChanged(configuration=decoded))

    def _write_again(self, event: OlderCopyFound) -> None:
        """Writes the configuration in force to a platform that has lost it.

        Without this an accepted change would be gone once all instances had restarted.
        After a stale read the conditional update conflicts and changes nothing, and of
        several instances that write only one succeeds.
        """
        document = self._documents.get(event.name)
        if event.name != CONFIGURATION_NAME or document is None:
            return
        written = self._platform.put(
            name=event.name, value=document.body, expected_version=event.version
        )
        match written:
            case Ok(Written()):
                outcome = "written"
            case Ok(VersionConflict()):
                outcome = "conflict"
            case Err(error):
                outcome = str(error)
        journal.record_event(
            "configuration.written_again",
            generation=document.generation,
            version=event.version,
            outcome=outcome,
        )


def check_configuration_document(body: dict) -> str | None:
    """Returns why a document is not a valid configuration, or None if it is."""
    try:
        decode_configuration(body)
    except ConfigurationError as error:
        return error.message
    return None


def check_inventory_document(body: dict) -> str | None:
    """Returns why a document's upstream or instance list is invalid, or None."""
    try:
        _upstreams_adapter.validate_python(body.get("upstreams", []))
        _instances_adapter.validate_python(body.get("instances", []))
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        path = ".".join(str(part) for part in problem["loc"])
        return f"{path}: {problem['msg']}"
    return None
