"""Injects the faults of a soak run at their scheduled times, and reverts them."""

import heapq
import itertools
import random
import threading
from collections.abc import Callable

from machines.fake_store import StoreCopy
from soak.cluster import DRAIN_MS, ENTRY_EXPIRY_MS, REPLACEMENT_LEAD_MS, Cluster
from soak.instances import STOP_GRACE_S
from soak.record import FaultWindow, LimitPeriod
from soak.schedules import (
    BlockInboundPeers,
    ChangeTimeout,
    CrashUpstream,
    DegradeUpstream,
    DelayInboundPeers,
    DiscardStoreHistory,
    DrainUpstream,
    ExpireStoreEntries,
    Fault,
    FreezeInstance,
    KillAllInstances,
    KillInstance,
    LimitUpstream,
    MoveRoute,
    PartitionStore,
    ReloadInstance,
    ResetPeerConnections,
    Reshard,
    RestoreStore,
    SilenceStore,
    SkewClock,
    SlowStore,
    StallPeerConnections,
    StopInstance,
    StoreOutage,
    create_schedule,
)
from soak.upstreams import Upstream, now_ms

# Time between the start of new shards' upstreams and the change of the routes.
RESHARD_LEAD_MS = 2_500.0
# Upstreams write their expired entries again within about two seconds of the store's
# return.
ENTRY_RETURN_SPREAD_MS = 1_500.0


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
                | SilenceStore()
                | SlowStore()
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
            case SilenceStore(indexes=indexes, active_ms=active_ms):
                self._silence_proxies(
                    [world.entries[index].store_proxy for index in indexes], active_ms
                )
            case SlowStore(delay_ms=delay_ms, active_ms=active_ms):
                self._record_window(fault, active_ms + 1_000)
                self._set_store_delay(delay_ms)
                self._schedule(active_ms, lambda: self._set_store_delay(0.0))
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

    def _silence_proxies(self, proxies: list, active_ms: float) -> None:
        for proxy in proxies:
            proxy.is_silent = True
            proxy.drop_all_data()

        def end_silence() -> None:
            for proxy in proxies:
                proxy.is_silent = False
                proxy.reset()

        self._schedule(active_ms, end_silence)

    def _set_store_delay(self, delay_ms: float) -> None:
        for instance in self._world.entries:
            instance.store_proxy.delay_ms = delay_ms

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
