"""Upstream records: what the platform's list says, and membership's first source."""

import threading

import pydantic

from gooseberrymux import journal
from gooseberrymux.configuration import Group
from gooseberrymux.departures import Departures
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import Membership
from gooseberrymux.records import InstanceRecord, UpstreamRecord, UpstreamState

INVENTORY_NAME = "instances"

_upstreams = pydantic.TypeAdapter(list[UpstreamRecord])
_instances = pydantic.TypeAdapter(list[InstanceRecord])


@service("inventory", requires=("documents", "membership", "departures"))
class Inventory:
    """Holds the record of each upstream."""

    __slots__ = (
        "_membership",
        "_departures",
        "_upstreams",
        "_by_service",
        "_lock",
        "last_problem",
    )

    def __init__(self, *, kernel: Kernel):
        kernel.find("documents", Documents).watch_prefix(INVENTORY_NAME)
        self._membership = kernel.find("membership", Membership)
        self._departures = kernel.find("departures", Departures)
        self._upstreams: dict[str, UpstreamRecord] = {}
        # Each sub-request asks for the replicas of one service.
        self._by_service: dict[str, tuple[UpstreamRecord, ...]] = {}
        self._lock = threading.Lock()
        self.last_problem: str | None = None
        kernel.subscribe(DocumentChanged, self._handle_document)

    def start(self) -> None:
        """Nothing to start: the list arrives as a document."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self, upstream: str) -> UpstreamRecord | None:
        """Returns the record of an upstream, or None."""
        return self._upstreams.get(upstream)

    def list_upstreams(self) -> tuple[UpstreamRecord, ...]:
        """Returns all records."""
        with self._lock:
            return tuple(self._upstreams.values())

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Returns whether an upstream gets no new work, whoever said so."""
        return record.state is UpstreamState.LEAVING or self._departures.is_leaving(
            record.name, record.epoch
        )

    def list_replicas(
        self, *, groups: tuple[Group, ...], service_name: str
    ) -> tuple[UpstreamRecord, ...]:
        """Returns the live upstreams of a service that belong to one of the groups."""
        return tuple(
            record
            for record in self._by_service.get(service_name, ())
            if not self.is_leaving(record)
            and any(group.match.items() <= record.labels.items() for group in groups)
        )

    def list_service(self, service_name: str) -> tuple[UpstreamRecord, ...]:
        """Returns the upstreams of a service; the same object until they change."""
        return self._by_service.get(service_name, ())

    def _handle_document(self, event: DocumentChanged) -> None:
        if event.name != INVENTORY_NAME:
            return
        try:
            upstreams = _upstreams.validate_python(event.body.get("upstreams", []))
            instances = _instances.validate_python(event.body.get("instances", []))
        except pydantic.ValidationError as error:
            # The last good list stays in force.
            self.last_problem = str(error.errors()[0])
            journal.record_fault(step="inventory.decode", peer="platform", error=error)
            return
        by_service: dict[str, list[UpstreamRecord]] = {}
        for record in upstreams:
            by_service.setdefault(record.service, []).append(record)
        with self._lock:
            self._upstreams = {record.name: record for record in upstreams}
            self._by_service = {
                name: keep_equal(self._by_service.get(name, ()), tuple(records))
                for name, records in by_service.items()
            }
        self._departures.update_list(
            {record.name: record.epoch for record in upstreams},
            {
                record.name: record.epoch
                for record in upstreams
                if record.state is UpstreamState.LEAVING
            },
        )
        for record in instances:
            self._membership.learn(record)


def keep_equal(
    known: tuple[UpstreamRecord, ...], found: tuple[UpstreamRecord, ...]
) -> tuple[UpstreamRecord, ...]:
    """Returns the known records if the found ones are the same."""
    return known if known == found else found
