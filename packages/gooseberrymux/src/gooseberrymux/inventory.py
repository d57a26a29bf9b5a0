"""Upstream records: what the platform's list says, and membership's first source."""

import threading

import msgspec

from gooseberrymux import journal
from gooseberrymux.configuration_model import Group
from gooseberrymux.departures import Departures
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import Membership
from gooseberrymux.records import InstanceRecord, UpstreamRecord, UpstreamState
from gooseberrymux.timers import Timers

INVENTORY_NAME = "instances"
# The platform's list loses entries of living upstreams while the platform is away, and
# has them back this soon after its return. Then they go.
LAPSE_HOLD_MS = 2_000.0
# Entries that one document loses together, as a number and as a share of the list,
# from which a lapse is assumed. Upstreams that leave do so a few at a time.
LAPSE_COUNT = 3
LAPSE_SHARE = 0.2
# Services named in one log line.
SERVICES_LOGGED = 20


@service("inventory", requires=("documents", "membership", "departures", "timers"))
class Inventory:
    """Holds the record of each upstream."""

    __slots__ = (
        "_clock",
        "_timers",
        "_membership",
        "_departures",
        "_listed",
        "_held",
        "_upstreams",
        "_by_service",
        "_lock",
        "last_problem",
    )

    def __init__(self, *, kernel: Kernel):
        documents = kernel.find("documents", Documents)
        documents.watch_prefix(INVENTORY_NAME, compare_content=True)
        self._membership = kernel.find("membership", Membership)
        self._departures = kernel.find("departures", Departures)
        self._clock = kernel.clock
        self._timers = kernel.find("timers", Timers)
        self._listed: dict[str, UpstreamRecord] = {}
        # Records that the list has lost, and until when they hold all the same.
        self._held: dict[str, tuple[UpstreamRecord, float]] = {}
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
            upstreams = read_list(event.body, "upstreams", UpstreamRecord)
            instances = read_list(event.body, "instances", InstanceRecord)
        except msgspec.ValidationError as error:
            # The last good list stays in force.
            self.last_problem = str(error)
            journal.record_fault(step="inventory.decode", peer="platform", error=error)
            return
        with self._lock:
            self._take_list({record.name: record for record in upstreams})
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

    def _take_list(self, listed: dict[str, UpstreamRecord]) -> None:
        now_ms = self._clock.now_ms()
        lost = {n: r for n, r in self._listed.items() if n not in listed}
        if len(lost) >= max(LAPSE_COUNT, LAPSE_SHARE * len(self._listed)):
            until_ms = now_ms + LAPSE_HOLD_MS
            self._held |= {name: (record, until_ms) for name, record in lost.items()}
            self._timers.call_at(until_ms, self._end_hold)
            journal.record_event(
                "inventory.lapsed", upstreams=sorted(lost), hold_ms=LAPSE_HOLD_MS
            )
        self._listed = listed
        self._rebuild(now_ms)

    def _end_hold(self) -> None:
        with self._lock:
            self._rebuild(self._clock.now_ms())

    def _rebuild(self, now_ms: float) -> None:
        """Makes the tables of what is listed or held; called with the lock held."""
        self._held = {
            name: (record, until_ms)
            for name, (record, until_ms) in self._held.items()
            if name not in self._listed and now_ms < until_ms
        }
        held = {name: record for name, (record, _) in self._held.items()}
        self._upstreams = self._listed | held
        by_service: dict[str, list[UpstreamRecord]] = {}
        for record in self._upstreams.values():
            by_service.setdefault(record.service, []).append(record)
        before = self._by_service
        self._by_service = {
            name: keep_equal(before.get(name, ()), tuple(records))
            for name, records in by_service.items()
        }
        self._record_change(before)

    def _record_change(self, before: dict[str, tuple[UpstreamRecord, ...]]) -> None:
        changed = sorted(
            name
            for name in before | self._by_service
            if before.get(name, ()) is not self._by_service.get(name, ())
        )
        if changed:
            journal.record_event(
                "inventory.changed",
                services={
                    name: describe_records(self._by_service.get(name, ()))
                    for name in changed[:SERVICES_LOGGED]
                },
                more=max(0, len(changed) - SERVICES_LOGGED),
                held=len(self._held),
            )


def read_list(body: dict, name: str, kind: type) -> list:
    """Returns the records of a list in a document; empty if there is none.

    Raises:
        msgspec.ValidationError: A record lacks a field or has a wrong value.
    """
    return msgspec.convert(body.get(name, []), list[kind])


def describe_records(records: tuple[UpstreamRecord, ...]) -> dict[str, str]:
    """Returns the state of each upstream of a service, for a log line."""
    return {record.name: record.state.value for record in records}


def keep_equal(
    known: tuple[UpstreamRecord, ...], found: tuple[UpstreamRecord, ...]
) -> tuple[UpstreamRecord, ...]:
    """Returns the known records if the found ones are the same."""
    return known if known == found else found
