"""Faults of a soak run: a schedule drawn from the seed, and how each is injected."""

import dataclasses
import heapq
import itertools
import random
import threading
from collections.abc import Callable

from machines.fake_store import StoreCopy
from soak.cluster import DRAIN_MS, ENTRY_EXPIRY_MS, REPLACEMENT_LEAD_MS, Cluster
from soak.instances import STOP_GRACE_S
from soak.record import FaultWindow, LimitPeriod
from soak.upstreams import SPOILS, Upstream, now_ms

FIRST_FAULT_MS = 1_500.0
MEAN_FAULT_GAP_MS = 650.0
# Probability that the next fault starts at the same moment as the last one, to cover
# combinations of faults.
SIMULTANEOUS_FAULT_PROBABILITY = 0.25
# No fault starts in the last part of a run, so that recovery can be checked.
FAULT_FREE_END_MS = 12_000.0
# Time between the start of new shards' upstreams and the change of the routes.
RESHARD_LEAD_MS = 2_500.0
# Upstreams write their expired entries again within about two seconds of the store's
# return.
ENTRY_RETURN_SPREAD_MS = 1_500.0
MIN_ADDRESS_REUSE_MS = 2_200.0

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class KillInstance:
    """An instance is killed; it restarts after `down_ms`."""

    index: int
    down_ms: float


@_frozen
class KillAllInstances:
    """All instances are killed at once; they restart after `down_ms`."""

    down_ms: float


@_frozen
class StopInstance:
    """An instance is asked to stop gracefully; it restarts after its exit."""

    index: int


@_frozen
class FreezeInstance:
    """The process of an instance is suspended for `active_ms`."""

    index: int
    active_ms: float


@_frozen
class ReloadInstance:
    """An instance's settings file is rewritten, and the instance told to reload it."""

    index: int


@_frozen
class SkewClock:
    """The wall clock of an instance is shifted by `skew_ms` after its next restart."""

    index: int
    skew_ms: int


@_frozen
class PartitionStore:
    """Some instances cannot reach the store.

    Their open connections stall without being closed; new ones are reset.
    """

    indexes: tuple[int, ...]
    active_ms: float


@_frozen
class StoreOutage:
    """The store fails all requests.

    Attributes:
        status: HTTP status of its replies; 0 if it does not reply at all.
        active_ms: How long the outage lasts.
    """

    status: int
    active_ms: float


@_frozen
class DiscardStoreHistory:
    """The store discards its change history, so that older watches get status 410."""


@_frozen
class ExpireStoreEntries:
    """The entries of all running upstreams expire during a store outage."""

    active_ms: float


@_frozen
class BlockInboundPeers:
    """Connections of other instances to one are blocked; those it opens still work."""

    index: int
    active_ms: float


@_frozen
class ResetPeerConnections:
    """Peer connections to some instances are reset."""

    indexes: tuple[int, ...]


@_frozen
class StallPeerConnections:
    """Open peer connections to an instance stall without closing; new ones work."""

    index: int


@_frozen
class DelayInboundPeers:
    """Data that peers send to an instance is delayed by `delay_ms`."""

    index: int
    delay_ms: float
    active_ms: float


@_frozen
class MoveRoute:
    """The operator points the route of single-service reads at another service."""


@_frozen
class ChangeTimeout:
    """The operator changes the timeout of all routes."""


@_frozen
class Reshard:
    """The operator moves fan-out queries to a new set of shards."""


@_frozen
class CrashUpstream:
    """An upstream stops without reporting that it leaves.

    Attributes:
        down_ms: Time until another upstream listens on the same address.
        reuses_name: Whether the upstream that follows has the same name. Only applies
            if the service stays the same.
        changes_service: Whether the upstream that follows on the address may belong to
            another service; a replacement on a new address then keeps the old service.
    """

    down_ms: float
    reuses_name: bool
    changes_service: bool


@_frozen
class DrainUpstream:
    """An upstream is replaced: its successor starts, then it drains and stops.

    Attributes:
        reports_draining: Whether it reports to the store that it drains; otherwise its
            entry is removed while it still serves.
    """

    reports_draining: bool


@_frozen
class DegradeUpstream:
    """An upstream works slowly, withholds its replies or corrupts some of them.

    Attributes:
        slowness: Factor on the time that a request takes.
        hold_ms: Time in which no reply is sent.
        spoil: How replies are corrupted, one of `SPOILS`; empty for none.
        share: Probability that a reply is corrupted.
        active_ms: How long all of this lasts.
    """

    slowness: float
    hold_ms: float
    spoil: str
    share: float
    active_ms: float


@_frozen
class LimitUpstream:
    """An upstream names a limit of `rate_per_s` in all its replies."""

    rate_per_s: float
    active_ms: float


@_frozen
class RestoreStore:
    """The store is away for `active_ms` and comes back as it was `age_ms` before."""

    age_ms: float
    active_ms: float


Fault = (
    KillInstance
    | KillAllInstances
    | StopInstance
    | FreezeInstance
    | ReloadInstance
    | SkewClock
    | PartitionStore
    | StoreOutage
    | DiscardStoreHistory
    | ExpireStoreEntries
    | BlockInboundPeers
    | ResetPeerConnections
    | StallPeerConnections
    | DelayInboundPeers
    | MoveRoute
    | ChangeTimeout
    | Reshard
    | CrashUpstream
    | DrainUpstream
    | DegradeUpstream
    | LimitUpstream
    | RestoreStore
)


def create_schedule(
    *, seed: int, duration_ms: float, instances: int
) -> list[tuple[float, Fault]]:
    """Returns the faults of a run, each with its start in ms after the run's start.

    The same arguments always give the same schedule.
    """
    generator = random.Random(seed)
    schedule: list[tuple[float, Fault]] = []
    at_ms = FIRST_FAULT_MS
    while at_ms < duration_ms - FAULT_FREE_END_MS:
        schedule.append((at_ms, draw_fault(generator, instances)))
        if generator.random() > SIMULTANEOUS_FAULT_PROBABILITY:
            at_ms += generator.expovariate(1.0) * MEAN_FAULT_GAP_MS
    return schedule + draw_incident_faults(seed, duration_ms)


def draw_incident_faults(seed: int, duration_ms: float) -> list[tuple[float, Fault]]:
    """Returns limits and restores, from a generator of their own.

    The faults of seeds that were kept as regression cases stay the same beside them.
    """
    generator = random.Random(f"incidents {seed}")
    last_ms = duration_ms - FAULT_FREE_END_MS
    if last_ms <= FIRST_FAULT_MS:
        return []
    limits = [
        LimitUpstream(
            rate_per_s=generator.uniform(1.0, 20.0),
            active_ms=generator.uniform(5_000, 12_000),
        )
        for _ in range(generator.randint(1, 3))
    ]
    restores = [
        RestoreStore(
            age_ms=generator.uniform(500, 5_000),
            active_ms=generator.uniform(200, 2_000),
        )
        for _ in range(generator.randint(0, 1))
    ]
    return [
        (generator.uniform(FIRST_FAULT_MS, last_ms), fault)
        for fault in (*limits, *restores)
    ]


def draw_fault(generator: random.Random, instances: int) -> Fault:
    """Returns a random fault; kinds are drawn by weight."""
    index = generator.randrange(instances)
    subset = tuple(generator.sample(range(instances), max(1, instances // 2)))
    active_ms = generator.uniform(500, 5_000)
    factories: list[tuple[int, Callable[[], Fault]]] = [
        (5, lambda: KillInstance(index=index, down_ms=generator.uniform(50, 2_500))),
        (1, lambda: KillAllInstances(down_ms=generator.uniform(50, 1_500))),
        (5, lambda: StopInstance(index=index)),
        (
            4,
            lambda: FreezeInstance(
                index=index, active_ms=generator.uniform(100, 4_000)
            ),
        ),
        (2, lambda: ReloadInstance(index=index)),
        (2, lambda: SkewClock(index=index, skew_ms=generator.randint(-9_000, 9_000))),
        (4, lambda: PartitionStore(indexes=subset, active_ms=active_ms)),
        (
            3,
            lambda: StoreOutage(
                status=generator.choice((0, 503, 429)), active_ms=active_ms
            ),
        ),
        (2, DiscardStoreHistory),
        (2, lambda: ExpireStoreEntries(active_ms=active_ms)),
        (3, lambda: BlockInboundPeers(index=index, active_ms=active_ms)),
        (3, lambda: ResetPeerConnections(indexes=subset)),
        (2, lambda: StallPeerConnections(index=index)),
        (
            2,
            lambda: DelayInboundPeers(
                index=index, delay_ms=generator.uniform(5, 150), active_ms=active_ms
            ),
        ),
        (6, MoveRoute),
        (2, ChangeTimeout),
        (3, Reshard),
        (
            5,
            lambda: CrashUpstream(
                down_ms=generator.uniform(MIN_ADDRESS_REUSE_MS, 4_000),
                reuses_name=generator.random() < 0.3,
                changes_service=generator.random() < 0.4,
            ),
        ),
        (4, lambda: DrainUpstream(reports_draining=generator.random() < 0.7)),
        (
            8,
            lambda: DegradeUpstream(
                slowness=generator.choice((1.0, 1.0, 5.0, 12.0)),
                hold_ms=generator.choice((0.0, 0.0, 200.0, 1_500.0)),
                spoil=generator.choice(("", *SPOILS)),
                share=generator.uniform(0.05, 0.6),
                active_ms=active_ms,
            ),
        ),
    ]
    (factory,) = generator.choices(
        [factory for _, factory in factories], [weight for weight, _ in factories]
    )
    return factory()


class FaultInjector:
    """Injects the scheduled faults, reverts them and records when each is in force.

    All faults are injected and reverted in the thread that calls `run`.
    """

    def __init__(self, *, world: Cluster, seed: int, duration_ms: float):
        self._world = world
        self._random = random.Random(seed + 1)
        self._pending_actions: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._lock = threading.Lock()
        self._started_ms = now_ms()
        self._end_ms = self._started_ms + duration_ms
        schedule = create_schedule(
            seed=seed, duration_ms=duration_ms, instances=len(world.entries)
        )
        for at_ms, fault in schedule:
            self._schedule(at_ms, lambda fault=fault: self._inject(fault))

    def run(self) -> None:
        """Injects and reverts faults until the run is over and no action is left."""
        while now_ms() < self._end_ms or self._pending_actions:
            with self._lock:
                due_ms = (
                    self._pending_actions[0][0]
                    if self._pending_actions
                    else self._end_ms
                )
            wait_ms = due_ms - now_ms()
            if wait_ms > 0:
                threading.Event().wait(wait_ms / 1_000)
                continue
            with self._lock:
                _, _, action = heapq.heappop(self._pending_actions)
            action()

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        with self._lock:
            due_ms = now_ms() + delay_ms
            heapq.heappush(
                self._pending_actions, (due_ms, next(self._sequence), action)
            )

    def _record_window(
        self,
        fault: Fault,
        window_ms: float,
        *,
        instance: str = "",
        is_planned: bool = False,
    ) -> None:
        started_ms = now_ms()
        self._world.record.append_event(
            FaultWindow(
                fault=repr(fault),
                instance=instance,
                from_ms=started_ms,
                until_ms=started_ms + window_ms,
                is_planned=is_planned,
            )
        )

    def _inject(self, fault: Fault) -> None:
        world = self._world
        match fault:
            case (
                PartitionStore()
                | StoreOutage()
                | DiscardStoreHistory()
                | ExpireStoreEntries()
            ):
                self._apply_store_fault(fault)
            case (
                BlockInboundPeers()
                | ResetPeerConnections()
                | StallPeerConnections()
                | DelayInboundPeers()
            ):
                self._apply_peer_fault(fault)
            case MoveRoute():
                world.move_single_route()
            case ChangeTimeout():
                world.change_timeout()
            case Reshard():
                shards = world.start_shards()
                self._schedule(RESHARD_LEAD_MS, lambda: self._switch_shards(shards))
            case RestoreStore(age_ms=age_ms):
                copy = world.store.take_copy()
                self._schedule(age_ms, lambda: self._restore_store(fault, copy))
            case (
                CrashUpstream() | DrainUpstream() | DegradeUpstream() | LimitUpstream()
            ):
                self._apply_upstream_fault(fault)
            case _:
                self._apply_instance_fault(fault)

    # Instances.

    def _apply_instance_fault(self, fault: Fault) -> None:
        instances = self._world.entries
        match fault:
            case KillInstance(index=index, down_ms=down_ms):
                self._record_window(
                    fault, down_ms + 1_000, instance=instances[index].name
                )
                instances[index].kill(restart_delay_ms=down_ms)
            case KillAllInstances(down_ms=down_ms):
                self._record_window(fault, down_ms + 1_000)
                for instance in instances:
                    instance.kill(restart_delay_ms=down_ms)
            case StopInstance(index=index):
                self._stop_instance(fault, index)
            case FreezeInstance(index=index, active_ms=active_ms):
                self._freeze_instance(fault, index, active_ms)
            case ReloadInstance(index=index):
                name = instances[index].name
                self._record_window(fault, 1_000, instance=name, is_planned=True)
                instances[index].reload(slack=self._random.randint(40, 60))
            case SkewClock(index=index, skew_ms=skew_ms):
                instances[index].skew_ms = skew_ms

    def _stop_instance(self, fault: Fault, index: int) -> None:
        instance = self._world.entries[index]
        grace_ms = STOP_GRACE_S * 1_000
        self._record_window(
            fault, grace_ms + 1_500, instance=instance.name, is_planned=True
        )
        lifetime = instance.lifetime
        instance.request_stop()
        self._schedule(grace_ms, lambda: self._kill_after_grace(index, lifetime))

    def _kill_after_grace(self, index: int, lifetime: int) -> None:
        instance = self._world.entries[index]
        if instance.lifetime == lifetime and instance.child.running:
            instance.exceeded_grace.append(lifetime)
            instance.kill(restart_delay_ms=300.0)

    def _freeze_instance(self, fault: Fault, index: int, active_ms: float) -> None:
        instance = self._world.entries[index]
        if not instance.child.running:
            return
        self._record_window(fault, active_ms + 1_000, instance=instance.name)
        child = instance.child
        child.freeze()
        self._schedule(active_ms, lambda: child.running and child.thaw())

    # Store and peer connections.

    def _apply_store_fault(self, fault: Fault) -> None:
        world = self._world
        match fault:
            case PartitionStore(indexes=indexes, active_ms=active_ms):
                proxies = [world.entries[index].store_proxy for index in indexes]
                self._block_proxies(fault, proxies, active_ms)
            case StoreOutage(status=status, active_ms=active_ms):
                self._record_window(fault, active_ms + 1_000)
                world.store.set_faults(status=status, silent=not status)
                self._schedule(active_ms, world.store.set_faults)
            case DiscardStoreHistory():
                self._record_window(fault, 1_000)
                world.store.drop_history()
            case ExpireStoreEntries(active_ms=active_ms):
                self._expire_entries(fault, active_ms)

    def _restore_store(self, fault: RestoreStore, copy: StoreCopy) -> None:
        world = self._world
        window_ms = fault.active_ms + ENTRY_EXPIRY_MS + 1_000
        self._record_window(fault, window_ms)
        world.store.set_faults(silent=True)
        world.store.restore(copy)
        self._schedule(fault.active_ms, world.store.set_faults)
        self._schedule(fault.active_ms + ENTRY_RETURN_SPREAD_MS / 2, world.write_again)
        self._schedule(fault.active_ms + ENTRY_EXPIRY_MS, world.remove_lost_entries)

    def _expire_entries(self, fault: Fault, active_ms: float) -> None:
        world = self._world
        self._record_window(fault, active_ms + ENTRY_RETURN_SPREAD_MS + 1_000)
        world.store.set_faults(status=503)
        expired = list(world.upstreams.values())
        for upstream in expired:
            world.store.remove("servers", upstream.name)
        self._schedule(active_ms, world.store.set_faults)
        for upstream in expired:
            delay_ms = active_ms + self._random.uniform(0, ENTRY_RETURN_SPREAD_MS)
            self._schedule(delay_ms, lambda u=upstream: world.restore_entry(u))

    def _apply_peer_fault(self, fault: Fault) -> None:
        instances = self._world.entries
        match fault:
            case BlockInboundPeers(index=index, active_ms=active_ms):
                self._block_proxies(fault, [instances[index].peer_proxy], active_ms)
            case ResetPeerConnections(indexes=indexes):
                self._record_window(fault, 1_000)
                for index in indexes:
                    instances[index].peer_proxy.reset()
            case StallPeerConnections(index=index):
                self._record_window(fault, 1_500)
                instances[index].peer_proxy.drop_all_data()
            case DelayInboundPeers(index=index, delay_ms=delay_ms, active_ms=active_ms):
                self._record_window(fault, active_ms + 1_000)
                instances[index].peer_proxy.delay_ms = delay_ms
                self._schedule(
                    active_ms,
                    lambda: setattr(instances[index].peer_proxy, "delay_ms", 0.0),
                )

    def _block_proxies(self, fault: Fault, proxies: list, active_ms: float) -> None:
        self._record_window(fault, active_ms + 1_000)
        for proxy in proxies:
            proxy.drop_all_data()
            proxy.refuses_connections = True

        def unblock() -> None:
            for proxy in proxies:
                proxy.refuses_connections = False

        self._schedule(active_ms, unblock)

    # Upstreams.

    def _pick_upstream(self) -> Upstream | None:
        """Returns a random upstream whose service has others too, or None."""
        upstreams = list(self._world.upstreams.values())
        services = [upstream.service for upstream in upstreams]
        spare = [u for u in upstreams if services.count(u.service) > 1]
        return self._random.choice(spare) if spare else None

    def _switch_shards(self, shards: list[str]) -> None:
        for upstream in self._world.switch_shards(shards):
            self._schedule(
                DRAIN_MS,
                lambda upstream=upstream: self._start_drain(
                    upstream, reports_draining=True
                ),
            )

    def _apply_upstream_fault(self, fault: Fault) -> None:
        world = self._world
        upstream = self._pick_upstream()
        if upstream is None:
            return
        match fault:
            case CrashUpstream(down_ms=down_ms):
                self._record_window(fault, down_ms + ENTRY_EXPIRY_MS)
                world.crash_upstream(upstream)
                self._schedule(down_ms, lambda: self._start_successor(fault, upstream))
                self._schedule(
                    ENTRY_EXPIRY_MS, lambda: world.expire_entry(upstream.name)
                )
            case DrainUpstream(reports_draining=reports_draining):
                world.add_upstream(upstream.service)
                self._schedule(
                    REPLACEMENT_LEAD_MS,
                    lambda: self._start_drain(
                        upstream, reports_draining=reports_draining
                    ),
                )
            case DegradeUpstream(active_ms=active_ms):
                self._record_window(fault, active_ms + fault.hold_ms + 1_000)
                faults = upstream.faults
                faults.slowness, faults.spoil = fault.slowness, fault.spoil
                faults.share = fault.share
                faults.held_until_ms = now_ms() + fault.hold_ms
                self._schedule(active_ms, upstream.behave)
            case LimitUpstream(rate_per_s=rate_per_s, active_ms=active_ms):
                from_ms = now_ms()
                upstream.faults.rate_limit_per_s = rate_per_s
                self._schedule(
                    active_ms,
                    lambda: self._end_limit(upstream, rate_per_s, from_ms),
                )

    def _end_limit(self, upstream: Upstream, rate_per_s: float, from_ms: float) -> None:
        upstream.faults.rate_limit_per_s = 0.0
        self._world.record.append_event(
            LimitPeriod(
                upstream=upstream.name,
                rate_per_s=rate_per_s,
                from_ms=from_ms,
                until_ms=now_ms(),
            )
        )

    def _start_successor(self, fault: CrashUpstream, predecessor: Upstream) -> None:
        """Starts another upstream on the address of one that crashed."""
        world = self._world
        service = predecessor.service
        if fault.changes_service:
            world.add_upstream(service)
            service = self._random.choice([*world.shards, world.single_service])
        name = (
            predecessor.name if fault.reuses_name and not fault.changes_service else ""
        )
        world.add_upstream(service, name=name, port=predecessor.port)

    def _start_drain(self, upstream: Upstream, *, reports_draining: bool) -> None:
        world = self._world
        if upstream.is_gone:
            return
        if reports_draining:
            world.report_draining(upstream)
        else:
            world.withdraw_entry(upstream)
        serving_ms = DRAIN_MS + self._random.uniform(500, 2_000)
        self._schedule(serving_ms, lambda: world.remove_upstream(upstream))
