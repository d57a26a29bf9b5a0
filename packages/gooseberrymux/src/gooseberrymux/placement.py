"""Chooses the instance that owns the queue of each service.

The choice follows from the live members and the upstreams that this instance knows, so
instances agree once they know the same.
"""

import threading

from gooseberrymux import journal
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import LiveChanged, Membership
from gooseberrymux.ownership import rank_service_owners, select_eligible_owners
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceRecord, UpstreamRecord


class CachedOwner:
    """Owner of one service, and the upstream records from which it was chosen."""

    __slots__ = ("name", "records")

    def __init__(self, *, name: str, records: tuple[UpstreamRecord, ...]):
        self.name = name
        self.records = records


@service("placement", requires=("peers", "membership", "inventory"))
class Placement:
    """Finds the owner of a service, cached until a member or its upstreams change.

    A request for many services looks up many owners, and each choice costs a hash for
    each member that is eligible. Any thread may call it.
    """

    __slots__ = (
        "_peers",
        "_membership",
        "_inventory",
        "_max_owners",
        "_eligible_owners",
        "_owners",
        "_members_version",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._inventory = kernel.find("inventory", Inventory)
        self._max_owners = kernel.settings.forwarding.owners
        self._eligible_owners: tuple[InstanceRecord, ...] | None = None
        self._owners: dict[str, CachedOwner] = {}
        self._members_version = 0
        self._lock = threading.Lock()
        kernel.subscribe(LiveChanged, self._handle_change)

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the number of cached services by the name of their owner."""
        counts: dict[str, int] = {}
        for owner in list(self._owners.values()):
            counts[owner.name] = counts.get(owner.name, 0) + 1
        return counts

    def find_owner(self, service_name: str) -> str:
        """Returns the name of a service's owner; this instance if none is eligible."""
        records = self._inventory.list_service_upstreams(service_name)
        cached = self._owners.get(service_name)
        if cached is not None and cached.records is records:
            return cached.name
        return self._choose_owner(service_name, records)

    def _choose_owner(
        self, service_name: str, records: tuple[UpstreamRecord, ...]
    ) -> str:
        members_version = self._members_version
        found = rank_service_owners(
            key=service_name,
            domains={record.failure_domain for record in records},
            members=self._list_eligible_owners(),
            count=1,
        )
        name = found[0].name if found else self._peers.identity.name
        with self._lock:
            if members_version == self._members_version:
                self._owners[service_name] = CachedOwner(name=name, records=records)
        return name

    def _list_eligible_owners(self) -> tuple[InstanceRecord, ...]:
        found = self._eligible_owners
        if found is None:
            members_version = self._members_version
            live = self._membership.list_live()
            found = select_eligible_owners(live, max_owners=self._max_owners)
            with self._lock:
                if members_version == self._members_version:
                    self._eligible_owners = found
            journal.record_decision(
                "placement.owners",
                chosen=[member.name for member in found],
                among=[f"{len(live)} live members"],
                reason="the strongest live members own the services",
            )
        return found

    def _handle_change(self, event: LiveChanged) -> None:
        with self._lock:
            self._members_version += 1
            self._owners = {}
            self._eligible_owners = None
