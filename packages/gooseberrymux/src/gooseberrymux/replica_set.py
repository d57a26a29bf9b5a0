"""The upstreams of one service at its owner: who may get work, and who is best."""

from collections.abc import Callable, Collection

from gooseberrymux.connections import Connection, ResultHandler
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.replicas import SLOW_FACTOR, Replica

UNLIMITED = 1 << 16


class ReplicaSet:
    """Follows the platform's list and chooses. Not thread-safe: its pool locks."""

    __slots__ = (
        "_service",
        "_kernel",
        "_inventory",
        "_get_connections",
        "_records",
        "_replicas",
        "_spawned",
    )

    def __init__(
        self,
        *,
        service: str,
        kernel: Kernel,
        inventory: Inventory,
        get_connections: Callable[[str], int | None],
    ):
        self._service = service
        self._kernel = kernel
        self._inventory = inventory
        self._get_connections = get_connections
        self._records: tuple[UpstreamRecord, ...] = ()
        self._replicas: dict[str, Replica] = {}
        self._spawned = 0

    @property
    def names(self) -> list[str]:
        """Names of all upstreams."""
        return sorted(self._replicas)

    def describe(self, now_ms: float) -> dict:
        """Returns the state of each upstream for the status."""
        return {
            name: {
                "under_way": len(replica.under_way),
                "slowness": round(replica.get_slowness(now_ms), 2),
                "stalled": replica.is_stalled(now_ms),
                "state": type(replica.evidence.state).__name__,
            }
            for name, replica in self._replicas.items()
        }

    def refresh(self) -> None:
        """Follows the list of upstreams."""
        records = self._inventory.list_service(self._service)
        if records is self._records:
            return
        self._records = records
        before, self._replicas = self._replicas, {}
        for record in records:
            known = before.pop(record.name, None)
            if known is not None and is_same_run(known.record, record):
                known.record = record
            elif known is not None:
                known.close_idle()
                known = None
            self._replicas[record.name] = known or Replica(record=record)
        for replica in before.values():
            replica.close_idle()

    def close(self) -> None:
        """Closes all idle connections."""
        for replica in self._replicas.values():
            replica.close_idle()

    def list_usable(self, now_ms: float, but: Collection[str] = ()) -> list[Replica]:
        """Returns the upstreams that may get work, now or once they have room.

        Args:
            now_ms: Monotonic time in milliseconds.
            but: Names of upstreams that are left out.
        """
        is_leaving = self._inventory.is_leaving
        return [
            replica
            for name, replica in self._replicas.items()
            if name not in but
            and not replica.is_ejected(now_ms)
            and not is_leaving(replica.record)
        ]

    def count_slots(self, now_ms: float) -> int:
        """Returns the slots of all usable upstreams."""
        return sum(replica.record.slots for replica in self.list_usable(now_ms))

    def choose(
        self,
        *,
        tried: Collection[str],
        may_probe: bool,
        now_ms: float,
        waits: float = 0.0,
    ) -> Replica | None:
        """Returns the best upstream with room; None to wait for a better one.

        Args:
            tried: Upstreams that the request was sent to before.
            may_probe: Whether the request may find out if an upstream has recovered.
            now_ms: Monotonic time in milliseconds.
            waits: About how many usual exchanges a request would wait for one that
                is not slow.
        """
        limit = self._limit
        domain = self._kernel.settings.instance.failure_domain
        best: Replica | None = None
        best_estimate = float("inf")
        slow: list[Replica] = []
        stalled: list[Replica] = []
        any_sound = False
        for replica in self.list_usable(now_ms, tried):
            has_room = replica.has_room(limit)
            if may_probe and has_room and replica.is_probe_due(now_ms):
                return replica
            if replica.is_stalled(now_ms):
                if has_room:
                    stalled.append(replica)
                continue
            slowness = replica.get_slowness(now_ms)
            if slowness > SLOW_FACTOR:
                if has_room:
                    slow.append(replica)
                continue
            any_sound = True
            if has_room:
                estimate = replica.estimate(slowness=slowness, domain=domain)
                if estimate < best_estimate:
                    best, best_estimate = replica, estimate
        if best is not None:
            return best
        if not slow:
            # One long exchange looks like a pause. The only upstream of a service gets
            # work all the same: waiting for another would be in vain.
            is_only = len(self.list_usable(now_ms)) == 1
            return stalled[0] if stalled and is_only else None
        fastest = min(slow, key=lambda replica: replica.get_slowness(now_ms))
        if any_sound and fastest.get_slowness(now_ms) > 1.0 + waits:
            # The wait for a sound one is shorter than a slow one takes.
            return None
        return fastest

    def open_connection(
        self,
        replica: Replica,
        *,
        finish: ResultHandler,
        drop_idle: Callable[[Replica, Connection], bool],
    ) -> Connection:
        """Returns an idle connection to an upstream, or a new one with its thread.

        Args:
            replica: The upstream.
            finish: Gets the result of each exchange.
            drop_idle: Asked before the connection ends for idleness.
        """
        if replica.idle:
            return replica.idle.pop()
        connection = Connection(
            record=replica.record,
            clock=self._kernel.clock,
            names=self._kernel.settings.gateway.headers,
            on_result=finish,
        )
        self._spawned += 1
        self._kernel.spawn(
            name=f"pool.{replica.record.name}.{self._spawned}",
            target=lambda: connection.serve(lambda: drop_idle(replica, connection)),
        )
        return connection

    def keep(self, replica: Replica, connection: Connection) -> None:
        """Takes back a connection whose exchange has ended."""
        if self._replicas.get(replica.record.name) is replica:
            replica.idle.append(connection)
        else:
            connection.close()

    def drop(self, replica: Replica, connection: Connection) -> bool:
        """Lets an idle connection end; returns False if it has work."""
        if connection not in replica.idle:
            return False
        replica.idle.remove(connection)
        return True

    @property
    def _limit(self) -> int:
        return self._get_connections(self._service) or UNLIMITED


def is_same_run(one: UpstreamRecord, other: UpstreamRecord) -> bool:
    """Returns whether two records are of one run of an upstream."""
    return (one.epoch, one.host, one.port) == (other.epoch, other.host, other.port)
