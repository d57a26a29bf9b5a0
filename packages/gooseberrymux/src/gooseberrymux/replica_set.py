"""The upstreams of one service at its owner, and the choice among them."""

from collections.abc import Callable, Collection

from gooseberrymux import metrics
from gooseberrymux.connections import Connection, ResultHandler
from gooseberrymux.domain_choice import Option, choose_free, measure_domains
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.replicas import SLOW_FACTOR, Replica
from gooseberrymux.reply_memory import ReplyMemory
from gooseberrymux.spillover import Arrival, Spillover, create_spillover_policy

UNLIMITED_CONNECTIONS = 1 << 16
# While the instances disagree about the owner of a service, the previous one may still
# send at the whole rate of a cold upstream. An owner that had no request of the service
# for this long counts as new for as long, and sends at this share of the rate: both
# together stay below 1.5 times the rate, which cold upstreams tolerate.
OWNER_OVERLAP_MS = 2_000.0
NEW_OWNER_SHARE = 0.5
DOMAIN_HOME = "home"
DOMAIN_REMOTE = "remote"


class ReplicaSet:
    """Tracks the platform's list of upstreams and chooses one for each request.

    Not thread-safe: the pool holds its lock around each call.

    Attributes:
        spillover: Decides which requests may leave this instance's failure domain.
    """

    __slots__ = (
        "_service",
        "_kernel",
        "_inventory",
        "_reply_memory",
        "_get_connection_limit",
        "_get_cold_rate",
        "_has_cold_limits",
        "_refreshed_ms",
        "_owner_since_ms",
        "_domain",
        "_records",
        "_replicas",
        "_opened_count",
        "spillover",
    )

    def __init__(
        self,
        *,
        service: str,
        kernel: Kernel,
        inventory: Inventory,
        reply_memory: ReplyMemory,
        get_connection_limit: Callable[[str], int | None],
        get_cold_rate: Callable[[str], float] = lambda service: 0.0,
    ):
        self._service = service
        self._kernel = kernel
        self._inventory = inventory
        self._reply_memory = reply_memory
        self._get_connection_limit = get_connection_limit
        self._get_cold_rate = get_cold_rate
        self._has_cold_limits = False
        # Monotonic times in milliseconds: of the latest update of the cold limits, and
        # of the first update since the last gap of `OWNER_OVERLAP_MS`.
        self._refreshed_ms = float("-inf")
        self._owner_since_ms = float("-inf")
        self._domain = kernel.settings.instance.failure_domain
        self.spillover = Spillover(
            service=service,
            policy=create_spillover_policy(kernel.settings.forwarding),
        )
        self._records: tuple[UpstreamRecord, ...] = ()
        self._replicas: dict[str, Replica] = {}
        self._opened_count = 0

    @property
    def names(self) -> list[str]:
        """Sorted names of all listed upstreams, usable or not."""
        return sorted(self._replicas)

    def describe(self, now_ms: float) -> dict:
        """Returns the state of each upstream for the status."""
        return {
            name: {
                "under_way": len(replica.in_flight),
                "slowness": round(replica.get_slowness(now_ms), 2),
                "stalled": replica.is_stalled(now_ms),
                "state": type(replica.evidence.state).__name__,
                "cold_limit": replica.limits.cold_limit is not None,
            }
            for name, replica in self._replicas.items()
        }

    def refresh(self) -> None:
        """Applies changes to the list of upstreams, and to which of them are cold."""
        records = self._inventory.list_service_upstreams(self._service)
        if records is not self._records:
            self._replace_records(records)
        rate_per_s = self._get_cold_rate(self._service)
        if rate_per_s > 0.0 or self._has_cold_limits:
            self._update_cold_limits(rate_per_s, self._kernel.clock.now_ms())

    def _update_cold_limits(self, rate_per_s: float, now_ms: float) -> None:
        if now_ms - self._refreshed_ms > OWNER_OVERLAP_MS:
            self._owner_since_ms = now_ms
        self._refreshed_ms = now_ms
        is_new_owner = now_ms - self._owner_since_ms < OWNER_OVERLAP_MS
        allowed_per_s = rate_per_s * (NEW_OWNER_SHARE if is_new_owner else 1.0)
        for replica in self._replicas.values():
            is_cold = rate_per_s > 0.0 and (
                self._inventory.is_cold(replica.record)
                or replica.may_have_restarted(now_ms)
            )
            replica.limits.set_cold(
                allowed_per_s if is_cold else None,
                record=replica.record,
                now_ms=now_ms,
            )
        self._has_cold_limits = any(
            replica.limits.cold_limit is not None for replica in self._replicas.values()
        )

    def _replace_records(self, records: tuple[UpstreamRecord, ...]) -> None:
        """Replaces the list of upstreams.

        An upstream that runs on keeps its evidence and connections; another run of it
        starts without evidence.
        """
        self._records = records
        previous, self._replicas = self._replicas, {}
        for record in records:
            known = previous.pop(record.name, None)
            if known is not None and is_same_run(known.record, record):
                known.record = record
            elif known is not None:
                known.close_idle()
                known = None
            self._replicas[record.name] = known or Replica(record=record)
        for replica in previous.values():
            replica.close_idle()

    def close(self) -> None:
        """Closes all idle connections."""
        for replica in self._replicas.values():
            replica.close_idle()

    def list_usable(
        self, now_ms: float, excluded: Collection[str] = ()
    ) -> list[Replica]:
        """Returns the upstreams that may get work, now or once they have a free slot.

        Args:
            now_ms: Monotonic time in milliseconds.
            excluded: Names of upstreams to leave out.
        """
        find_obstacle = self._inventory.find_obstacle
        return [
            replica
            for name, replica in self._replicas.items()
            if name not in excluded
            and not replica.is_ejected(now_ms)
            and not replica.limits.get_pause_ms(now_ms)
            and find_obstacle(replica.record) is None
        ]

    def has_eligible(self) -> bool:
        """Returns whether an upstream is neither leaving nor in an evacuated domain."""
        return any(
            self._inventory.find_obstacle(replica.record) is None
            for replica in self._replicas.values()
        )

    def count_parallel(self, median_ms: float, now_ms: float) -> float:
        """Returns how many exchanges the usable upstreams run at a time on average.

        Args:
            median_ms: Usual duration of an exchange; with it a rate limit tells how
                many slots it leaves.
            now_ms: Monotonic time in milliseconds.
        """
        return sum(
            replica.limits.count_parallel(replica.record.slots, median_ms)
            for replica in self.list_usable(now_ms)
        )

    def get_pause_ms(self, now_ms: float) -> float:
        """Returns the time in milliseconds until the first pause ends; 0 if none is."""
        pauses_ms = [
            replica.limits.get_pause_ms(now_ms)
            for replica in self._replicas.values()
            if self._inventory.find_obstacle(replica.record) is None
        ]
        return min((pause_ms for pause_ms in pauses_ms if pause_ms > 0.0), default=0.0)

    def is_rate_limited(self, now_ms: float) -> bool:
        """Returns whether a usable upstream has a rate limit, its own or as cold."""
        return any(replica.limits.is_limited() for replica in self.list_usable(now_ms))

    def get_limit_wait_ms(self, now_ms: float) -> float | None:
        """Returns the time in milliseconds until a rate limit allows a further send.

        None if no usable upstream with a free slot waits for its limit.
        """
        waits_ms = [
            replica.limits.get_rate_wait_ms(now_ms)
            for replica in self.list_usable(now_ms)
            if replica.has_free_slot(self._connection_limit)
        ]
        return min((wait_ms for wait_ms in waits_ms if wait_ms > 0.0), default=None)

    def choose(
        self,
        *,
        tried: Collection[str],
        may_probe: bool,
        now_ms: float,
        wait_medians: float = 0.0,
        is_kept: bool = False,
    ) -> Replica | None:
        """Returns the best upstream with a free slot, or None if the request must wait.

        Args:
            tried: Names of upstreams that the request was sent to already.
            may_probe: Whether the request may probe if an upstream has recovered.
            now_ms: Monotonic time in milliseconds.
            wait_medians: Expected wait for an upstream that is not slow, in median
                exchange times.
            is_kept: Whether the request may still wait for an upstream in this failure
                domain. It waits only for a healthy one, and if spillover says so.
        """
        connection_limit = self._connection_limit
        crossing_cost = self.spillover.crossing_cost
        free: list[Option] = []
        slow: list[Replica] = []
        stalled: list[Replica] = []
        any_healthy = False
        any_healthy_home = False
        for replica in self.list_usable(now_ms, tried):
            is_available = replica.has_free_slot(
                connection_limit
            ) and not replica.limits.get_rate_wait_ms(now_ms)
            slowness = replica.get_slowness(now_ms)
            if may_probe and is_available and replica.is_probe_due(now_ms, slowness):
                return replica
            if replica.is_stalled(now_ms):
                if is_available:
                    stalled.append(replica)
                continue
            if slowness > SLOW_FACTOR:
                if is_available:
                    slow.append(replica)
                continue
            # The next token of a cold upstream may take longer than a slow exchange.
            is_ready = not replica.limits.waits_as_cold(now_ms)
            is_home = self._is_home(replica)
            any_healthy = any_healthy or is_ready
            any_healthy_home = any_healthy_home or (is_home and is_ready)
            if is_available:
                cost = replica.estimate_cost(
                    slowness=slowness, crossing_cost=0.0 if is_home else crossing_cost
                )
                free.append((cost, replica))
        if free:
            return choose_free(
                free,
                spillover=self.spillover,
                home=self._domain,
                is_kept=is_kept and any_healthy_home,
            )
        if not slow:
            # A long exchange can't be told from a pause. The only usable upstream gets
            # work although it seems stalled, as there is no other to wait for.
            is_sole = len(self.list_usable(now_ms)) == 1
            return stalled[0] if stalled and is_sole else None
        fastest = min(slow, key=lambda replica: replica.get_slowness(now_ms))
        if any_healthy and fastest.get_slowness(now_ms) > 1.0 + wait_medians:
            # Waiting for a healthy upstream takes less time than the slow one would.
            return None
        return fastest

    def _is_home(self, replica: Replica) -> bool:
        return replica.record.failure_domain == self._domain

    def record_arrival(self, arrival: Arrival, now_ms: float) -> float:
        """Updates spillover; returns until when the new request is kept at home.

        The result is not above `now_ms` if the request may leave at once.
        """
        if not self.spillover.is_adaptive:
            return now_ms
        loads = measure_domains(
            self.list_usable(now_ms), self._connection_limit, now_ms
        )
        home = loads.pop(self._domain, None)
        return self.spillover.record_arrival(
            arrival, home=home, remote=loads, now_ms=now_ms
        )

    def record_send(self, replica: Replica, cause: str, *, is_first: bool) -> None:
        """Counts a send by the failure domain that it goes to.

        Args:
            replica: The upstream.
            cause: Why the request is sent, for the metrics.
            is_first: Whether spillover counts it towards the share.
        """
        is_home = self._is_home(replica)
        metrics.domain_sends_total.increment(
            DOMAIN_HOME if is_home else DOMAIN_REMOTE, cause
        )
        if is_first and not is_home:
            self.spillover.record_leave()

    def acquire_connection(
        self,
        replica: Replica,
        *,
        request_id: str,
        finish: ResultHandler,
        remove_idle: Callable[[Replica, Connection], bool],
    ) -> Connection:
        """Returns an idle connection to an upstream, or a new one with its own thread.

        Args:
            replica: The upstream.
            request_id: The caller's id of the request to be sent; a connection on which
                it has failed is used only if there is no other, and opens a new socket.
            finish: Called with each result, in the connection's thread.
            remove_idle: Asked by that thread whether an unused connection may end.
        """
        if connection := replica.pop_idle(request_id):
            return connection
        connection = Connection(
            record=replica.record,
            clock=self._kernel.clock,
            names=self._kernel.settings.gateway.headers,
            reply_memory=self._reply_memory,
            on_result=finish,
            check_send=lambda exchange: self._inventory.find_obstacle(replica.record),
        )
        self._opened_count += 1
        self._kernel.spawn(
            name=f"pool.{replica.record.name}.{self._opened_count}",
            target=lambda: connection.serve(lambda: remove_idle(replica, connection)),
            is_essential=False,
        )
        return connection

    def release_connection(self, replica: Replica, connection: Connection) -> None:
        """Keeps a connection for reuse, or closes it if its upstream was replaced."""
        if self._replicas.get(replica.record.name) is replica:
            replica.idle.append(connection)
        else:
            connection.close()

    def remove_idle(self, replica: Replica, connection: Connection) -> bool:
        """Removes a connection that may end if it is idle; returns False otherwise."""
        if connection not in replica.idle:
            return False
        replica.idle.remove(connection)
        return True

    @property
    def _connection_limit(self) -> int:
        return self._get_connection_limit(self._service) or UNLIMITED_CONNECTIONS


def is_same_run(one: UpstreamRecord, other: UpstreamRecord) -> bool:
    """Returns whether two records have the same epoch and address, so the same run."""
    return (one.epoch, one.host, one.port) == (other.epoch, other.host, other.port)
