"""Failure domains that are evacuated: no request is sent to an upstream there.

The platform's objects and the operators' configuration may both ask for an evacuation;
a domain is evacuated while either of them does.
"""

import threading
from typing import Any

from gooseberrymux import journal, metrics
from gooseberrymux.configuration_model import ConfigurationChanged
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.eras import get_era
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.timers import Timers

EVACUATIONS_PREFIX = "evacuations/"
EVACUATIONS_NAME = "evacuations/current"
# A platform that has gone back to an earlier state lacks the evacuations that were
# asked for since then until they are written again. They stay in force this long.
LOST_EVACUATION_HOLD_MS = 5_000.0
# The upstreams of a domain may have become cold shortly before its evacuation ends.
# Each writes its entry about every 1.2 s; four of these periods cover a write that
# fails and the time that the entry takes to get here.
COLD_AFTER_EVACUATION_MS = 4_800.0


class EvacuationsChanged:
    """Event: a failure domain is evacuated from now on, or no longer."""

    __slots__ = ()


@service("evacuations", requires=("documents", "timers"))
class Evacuations:
    """Knows the evacuated failure domains. Any thread may ask.

    The last known evacuations stay in force while the platform doesn't respond.
    """

    __slots__ = (
        "_kernel",
        "_timers",
        "_listed",
        "_ordered",
        "_held",
        "_era",
        "_domains",
        "_ended_ms",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._timers = kernel.find("timers", Timers)
        # Domains of the platform's objects, and those of the configuration.
        self._listed: frozenset[str] = frozenset()
        self._ordered: frozenset[str] = frozenset()
        # Domains that the platform has lost but that stay evacuated, with the monotonic
        # time in milliseconds until which they do.
        self._held: dict[str, float] = {}
        # Era of the platform to which the listed domains belong.
        self._era = 0
        self._domains: frozenset[str] = frozenset()
        # Monotonic time in milliseconds at which the latest evacuation of each domain
        # ended.
        self._ended_ms: dict[str, float] = {}
        self._lock = threading.Lock()
        kernel.subscribe(ConfigurationChanged, self._handle_configuration)
        if kernel.settings.platform.evacuations:
            documents = kernel.find("documents", Documents)
            documents.watch_prefix(EVACUATIONS_PREFIX, compare_content=True)
            documents.register_check(EVACUATIONS_PREFIX, check_document)
            kernel.subscribe(DocumentChanged, self._handle_document)

    def start(self) -> None:
        """Nothing to start: evacuations arrive with documents."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the domains whose evacuation is in force here, for the status."""
        return {"domains": sorted(self._domains)}

    def is_evacuated(self, domain: str) -> bool:
        """Returns whether the upstreams of a failure domain get no request."""
        return domain in self._domains

    def has_just_ended(self, domain: str) -> bool:
        """Returns whether the upstreams of a domain may be cold after an evacuation."""
        ended_ms = self._ended_ms.get(domain)
        if ended_ms is None:
            return False
        return self._kernel.clock.now_ms() - ended_ms < COLD_AFTER_EVACUATION_MS

    def _handle_document(self, event: DocumentChanged) -> None:
        if event.name != EVACUATIONS_NAME:
            return
        # Documents are published only after `check_document` has accepted them.
        listed = frozenset(event.body["domains"])
        era = get_era(event.generation)
        with self._lock:
            lost = self._listed - listed if era > self._era else frozenset()
            self._listed, self._era = listed, era
            until_ms = self._kernel.clock.now_ms() + LOST_EVACUATION_HOLD_MS
            self._held |= dict.fromkeys(lost, until_ms)
        if lost:
            journal.record_event(
                "evacuations.held",
                domains=sorted(lost),
                hold_ms=LOST_EVACUATION_HOLD_MS,
            )
            self._timers.call_at(until_ms, self._update)
        self._update()

    def _handle_configuration(self, event: ConfigurationChanged) -> None:
        found = event.configuration.evacuations
        with self._lock:
            self._ordered = frozenset(evacuation.domain for evacuation in found)
        self._update()

    def _update(self) -> None:
        """Recomputes which domains are evacuated, and publishes a change."""
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            self._held = {
                domain: until_ms
                for domain, until_ms in self._held.items()
                if now_ms < until_ms and domain not in self._listed
            }
            before = self._domains
            after = self._listed | self._ordered | self._held.keys()
            # Set first, so that a concurrent send finds a domain whose evacuation ends
            # either still evacuated or marked as just ended.
            self._ended_ms |= dict.fromkeys(before - after, now_ms)
            self._domains = after
        if before == after:
            return
        metrics.evacuated_domains.set({}, len(after))
        journal.record_event(
            "evacuations.changed",
            started=sorted(after - before),
            ended=sorted(before - after),
            in_force=sorted(after),
        )
        self._kernel.publish(EvacuationsChanged())


def check_document(body: dict[str, Any]) -> str | None:
    """Returns the problem of a document of evacuations, or None if it is valid."""
    match body.get("domains"):
        case list(domains) if all(isinstance(domain, str) for domain in domains):
            return None
        case _:
            return "domains: expected a list of failure domains"
