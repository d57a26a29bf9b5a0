"""Which instance owns the queue of each service, as this instance sees the members."""

import threading

from gooseberrymux import journal
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import LiveChanged, Membership
from gooseberrymux.ownership import rank_service_owners, select_strongest
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceRecord, UpstreamRecord


class Owner:
    """Owner of one service, and the upstreams near which it was chosen."""

    __slots__ = ("name", "records")

    def __init__(self, *, name: str, records: tuple[UpstreamRecord, ...]):
        self.name = name
        self.records = records


@service("placement", requires=("peers", "membership", "inventory"))
class Placement:
    """Keeps the owner of each service until a member or its upstreams change.

    A request for many services looks up many owners, and choosing one anew costs a hash
    for each strong member.
    """

    __slots__ = (
        "_peers",
        "_membership",
        "_inventory",
        "_most",
        "_strongest",
        "_owners",
        "_view",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._inventory = kernel.find("inventory", Inventory)
        self._most = kernel.settings.forwarding.owners
        self._strongest: tuple[InstanceRecord, ...] | None = None
        self._owners: dict[str, Owner] = {}
        self._view = 0
        self._lock = threading.Lock()
        kernel.subscribe(LiveChanged, self._handle_change)

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the number of services placed at each owner."""
        counts: dict[str, int] = {}
        for owner in list(self._owners.values()):
            counts[owner.name] = counts.get(owner.name, 0) + 1
        return counts

    def find_owner(self, service_name: str) -> str:
        """Returns the instance that owns a service; this one if no other is known."""
        records = self._inventory.list_service(service_name)
        known = self._owners.get(service_name)
        if known is not None and known.records is records:
            return known.name
        return self._place(service_name, records)

    def _place(self, service_name: str, records: tuple[UpstreamRecord, ...]) -> str:
        view = self._view
        found = rank_service_owners(
            key=service_name,
            domains={record.failure_domain for record in records},
            members=self._list_strongest(),
            count=1,
        )
        name = found[0].name if found else self._peers.identity.name
        with self._lock:
            if view == self._view:
                self._owners[service_name] = Owner(name=name, records=records)
        return name

    def _list_strongest(self) -> tuple[InstanceRecord, ...]:
        found = self._strongest
        if found is None:
            view = self._view
            live = self._membership.list_live()
            found = select_strongest(live, most=self._most)
            with self._lock:
                if view == self._view:
                    self._strongest = found
            journal.record_decision(
                "placement.owners",
                chosen=[member.name for member in found],
                among=[f"{len(live)} live members"],
                reason="the strongest live members own the services",
            )
        return found

    def _handle_change(self, event: LiveChanged) -> None:
        with self._lock:
            self._view += 1
            self._owners = {}
            self._strongest = None
