"""Which instances are alive, suspected, dead or leaving."""

import dataclasses
import threading

from gooseberrymux.kernel import Kernel, service
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceRecord
from gooseberrymux.settings import Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberChanged:
    """A member became alive, suspect, dead or leaving."""

    instance: str
    state: str


@service("membership", requires=("peers",))
class Membership:
    """The member table of this instance."""

    __slots__ = ("_kernel", "_peers", "_members", "_lock")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._members: dict[str, InstanceRecord] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Enters this instance into the table."""
        own = self._kernel.settings.instance
        self.learn(
            InstanceRecord(
                name=own.name,
                host=own.peers.host,
                peer_port=own.peers.port,
                failure_domain=own.failure_domain,
                region=own.region,
            )
        )

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain yet."""

    def stop(self) -> None:
        """Nothing to stop yet."""

    def learn(self, record: InstanceRecord) -> None:
        """Takes over a member that the platform's list or a peer names."""
        with self._lock:
            self._members[record.name] = record
        self._peers.connect(
            name=record.name, address=Address(host=record.host, port=record.peer_port)
        )
        self._kernel.publish(MemberChanged(instance=record.name, state="alive"))

    def list_live(self) -> tuple[InstanceRecord, ...]:
        """Returns the members that take work, this instance included."""
        with self._lock:
            return tuple(
                member for member in self._members.values() if not member.leaving
            )
