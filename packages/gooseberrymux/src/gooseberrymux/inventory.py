"""Keeps the upstream records of the platform's list.

The same list names the instances, from which membership learns its first members.
"""

import threading

import msgspec

from gooseberrymux import journal
from gooseberrymux.configuration_model import Group
from gooseberrymux.departures import Departures
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.eras import get_era
from gooseberrymux.evacuations import Evacuations
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import Membership
from gooseberrymux.records import InstanceRecord, UpstreamRecord, UpstreamState
from gooseberrymux.timers import Timers

INVENTORY_NAME = "instances"
# During an outage of the platform its list loses entries of upstreams that still run,
# and has them again this soon after the outage. Entries still missing by then are
# removed.
MASS_REMOVAL_HOLD_MS = 2_000.0
# If a new list lacks at least this many entries and at least this share of the entries
# of the list before, they are assumed to be lost in an outage and are retained.
# Upstreams that leave do so a few at a time.
MASS_REMOVAL_MIN_COUNT = 3
MASS_REMOVAL_MIN_SHARE = 0.2
# Why an upstream gets no new work.
REASON_UPSTREAM_LEAVING = "upstream_leaving"
REASON_DOMAIN_EVACUATED = "domain_evacuated"
# Services that one log line names at most.
MAX_SERVICES_LOGGED = 20


@service(
    "inventory",
    requires=("documents", "membership", "departures", "evacuations", "timers"),
)
class Inventory:
    """Holds the records of all upstreams. Any thread may read them."""

    __slots__ = (
        "_clock",
        "_timers",
        "_membership",
        "_departures",
        "_evacuations",
        "_listed",
        "_retained",
        "_era",
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
        self._evacuations = kernel.find("evacuations", Evacuations)
        self._clock = kernel.clock
        self._timers = kernel.find("timers", Timers)
        self._listed: dict[str, UpstreamRecord] = {}
        # Records that the list has lost but that stay in force, and until when.
        self._retained: dict[str, tuple[UpstreamRecord, float]] = {}
        # Era of the platform to which the list belongs.
        self._era = 0
        self._upstreams: dict[str, UpstreamRecord] = {}
        # An index, as each sub-request asks for the replicas of one service.
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

    def find_upstream(self, upstream: str) -> UpstreamRecord | None:
        """Returns the record of an upstream, or None if it is not listed."""
        return self._upstreams.get(upstream)

    def list_upstreams(self) -> tuple[UpstreamRecord, ...]:
        """Returns the records of all upstreams, including retained ones."""
        with self._lock:
            return tuple(self._upstreams.values())

    def is_leaving(self, record: UpstreamRecord) -> bool:
        """Returns whether an upstream is known to be leaving.

        Either the platform's list or a departure notice may say so.
        """
        return record.state is UpstreamState.LEAVING or self._departures.is_leaving(
            record.name, record.epoch
        )

    def find_obstacle(self, record: UpstreamRecord) -> str | None:
        """Returns the reason code for sending an upstream no request, or None.

        All code that chooses an upstream or sends to one asks here, so that no request
        reaches an upstream that is leaving or whose failure domain is evacuated.
        """
        if self._evacuations.is_evacuated(record.failure_domain):
            return REASON_DOMAIN_EVACUATED
        if self.is_leaving(record):
            return REASON_UPSTREAM_LEAVING
        return None

    def is_cold(self, record: UpstreamRecord) -> bool:
        """Returns whether an upstream is cold, or may be as its domain was evacuated.

        The platform's list may still say what held before or during the evacuation.
        """
        return record.cold or self._evacuations.has_just_ended(record.failure_domain)

    def list_replicas(
        self, *, groups: tuple[Group, ...], service_name: str
    ) -> tuple[UpstreamRecord, ...]:
        """Returns the upstreams of a service in the groups that may get requests."""
        return tuple(
            record
            for record in self._by_service.get(service_name, ())
            if self.find_obstacle(record) is None
            and any(group.match.items() <= record.labels.items() for group in groups)
        )

    def list_service_upstreams(self, service_name: str) -> tuple[UpstreamRecord, ...]:
        """Returns the upstreams of a service.

        The tuple is the same object until a record of the service changes, so that
        callers can detect changes with `is`.
        """
        return self._by_service.get(service_name, ())

    def _handle_document(self, event: DocumentChanged) -> None:
        if event.name != INVENTORY_NAME:
            return
        try:
            upstreams = convert_records(event.body, "upstreams", UpstreamRecord)
            instances = convert_records(event.body, "instances", InstanceRecord)
        except msgspec.ValidationError as error:
            # The last valid list stays in force.
            self.last_problem = str(error)
            journal.record_fault(step="inventory.decode", peer="platform", error=error)
            return
        with self._lock:
            self._replace_list(
                {record.name: record for record in upstreams},
                era=get_era(event.generation),
            )
        self._departures.apply_platform_list(
            {record.name: record.epoch for record in upstreams},
            {
                record.name: record.epoch
                for record in upstreams
                if record.state is UpstreamState.LEAVING
            },
        )
        for record in instances:
            self._membership.handle_listed_instance(record)

    def _replace_list(self, listed: dict[str, UpstreamRecord], *, era: int) -> None:
        now_ms = self._clock.now_ms()
        removed = {n: r for n, r in self._listed.items() if n not in listed}
        is_mass_removal = len(removed) >= max(
            MASS_REMOVAL_MIN_COUNT, MASS_REMOVAL_MIN_SHARE * len(self._listed)
        )
        # A platform that went back lacks the upstreams that came since then until they
        # have written their entries again.
        went_back, self._era = era > self._era, era
        if removed and (is_mass_removal or went_back):
            until_ms = now_ms + MASS_REMOVAL_HOLD_MS
            self._retained |= {
                name: (record, until_ms) for name, record in removed.items()
            }
            self._timers.call_at(until_ms, self._expire_retained)
            journal.record_event(
                "inventory.lapsed",
                upstreams=sorted(removed),
                hold_ms=MASS_REMOVAL_HOLD_MS,
            )
        self._listed = listed
        self._rebuild_tables(now_ms)

    def _expire_retained(self) -> None:
        with self._lock:
            self._rebuild_tables(self._clock.now_ms())

    def _rebuild_tables(self, now_ms: float) -> None:
        """Rebuilds the tables of upstreams; called with the lock held."""
        self._retained = {
            name: (record, until_ms)
            for name, (record, until_ms) in self._retained.items()
            if name not in self._listed and now_ms < until_ms
        }
        retained = {name: record for name, (record, _) in self._retained.items()}
        self._upstreams = self._listed | retained
        by_service: dict[str, list[UpstreamRecord]] = {}
        for record in self._upstreams.values():
            by_service.setdefault(record.service, []).append(record)
        before = self._by_service
        self._by_service = {
            name: reuse_if_equal(before.get(name, ()), tuple(records))
            for name, records in by_service.items()
        }
        self._log_changes(before)

    def _log_changes(self, before: dict[str, tuple[UpstreamRecord, ...]]) -> None:
        changed = sorted(
            name
            for name in before | self._by_service
            if before.get(name, ()) is not self._by_service.get(name, ())
        )
        if changed:
            journal.record_event(
                "inventory.changed",
                services={
                    name: list_states(self._by_service.get(name, ()))
                    for name in changed[:MAX_SERVICES_LOGGED]
                },
                more=max(0, len(changed) - MAX_SERVICES_LOGGED),
                held=len(self._retained),
            )


def convert_records(body: dict, name: str, kind: type) -> list:
    """Returns a list of a document as records; empty if the document lacks it.

    Raises:
        msgspec.ValidationError: A record lacks a field or has a wrong value.
    """
    return msgspec.convert(body.get(name, []), list[kind])


def list_states(records: tuple[UpstreamRecord, ...]) -> dict[str, str]:
    """Returns the state of each upstream, for a log line."""
    return {record.name: record.state.value for record in records}


def reuse_if_equal(
    known: tuple[UpstreamRecord, ...], found: tuple[UpstreamRecord, ...]
) -> tuple[UpstreamRecord, ...]:
    """Returns the known records if the found ones are equal to them."""
    return known if known == found else found
