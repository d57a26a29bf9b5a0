"""Faults of a soak: a seeded schedule, and what each does to the world."""

import dataclasses
import heapq
import itertools
import random
import threading
from collections.abc import Callable

from soak.cluster import DRAIN_MS, ENTRY_EXPIRY_MS, REPLACEMENT_LEAD_MS, Cluster
from soak.entries import GRACE_S
from soak.record import Disturbance
from soak.upstreams import SPOILS, Upstream, now_ms

FIRST_FAULT_MS = 1_500.0
MEAN_GAP_MS = 650.0
# Faults often come together.
TOGETHER_SHARE = 0.25
CALM_END_MS = 12_000.0
RESHARD_LEAD_MS = 2_500.0
# Entries that lapsed are back within about two seconds of the store's return.
LAPSE_RETURN_MS = 1_500.0
ADDRESS_REUSE_MS = 2_200.0

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class KillEntry:
    """An instance is killed, and started again later."""

    entry: int
    down_ms: float


@_frozen
class KillAll:
    """All instances are killed at once."""

    down_ms: float


@_frozen
class StopEntry:
    """An instance is stopped as planned."""

    entry: int


@_frozen
class FreezeEntry:
    """An instance does not run for a while."""

    entry: int
    for_ms: float


@_frozen
class ReloadEntry:
    """An instance's settings file changes."""

    entry: int


@_frozen
class SkewClock:
    """The wall clock of an instance's next lifetimes is off."""

    entry: int
    skew_ms: int


@_frozen
class CutStore:
    """Some instances do not reach the store; open connections fall silent."""

    entries: tuple[int, ...]
    for_ms: float


@_frozen
class StoreDown:
    """The store answers nobody, or refuses all."""

    status: int
    for_ms: float


@_frozen
class ForgetHistory:
    """The store drops its history."""


@_frozen
class LapseEntries:
    """Entries of living upstreams lapse while the store is down."""

    for_ms: float


@_frozen
class CutPeers:
    """Nothing that others send reaches an instance; what it sends gets through."""

    entry: int
    for_ms: float


@_frozen
class ResetPeers:
    """Connections towards some instances are reset."""

    entries: tuple[int, ...]


@_frozen
class SilencePeers:
    """Open connections towards an instance carry nothing more; new ones work."""

    entry: int


@_frozen
class DelayPeers:
    """What others send to an instance arrives late."""

    entry: int
    delay_ms: float
    for_ms: float


@_frozen
class MoveRoute:
    """The operator moves a route to another service."""


@_frozen
class ChangeTimeout:
    """The operator changes a time limit."""


@_frozen
class Reshard:
    """Queries move to another set of shards."""


@_frozen
class CrashUpstream:
    """An upstream ends without a word.

    Attributes:
        down_ms: When its address is in use again.
        takes_name: Whether the next run has the same name.
        is_other: Whether another service gets the address.
    """

    down_ms: float
    takes_name: bool
    is_other: bool


@_frozen
class DrainUpstream:
    """An upstream is replaced: the next one starts, this one leaves."""

    reports: bool


@_frozen
class Misbehave:
    """An upstream is slow, holds its answers or spoils some of them."""

    slowness: float
    hold_ms: float
    spoil: str
    share: float
    for_ms: float


Fault = (
    KillEntry
    | KillAll
    | StopEntry
    | FreezeEntry
    | ReloadEntry
    | SkewClock
    | CutStore
    | StoreDown
    | ForgetHistory
    | LapseEntries
    | CutPeers
    | ResetPeers
    | SilencePeers
    | DelayPeers
    | MoveRoute
    | ChangeTimeout
    | Reshard
    | CrashUpstream
    | DrainUpstream
    | Misbehave
)


def plan(*, seed: int, duration_ms: float, instances: int) -> list[tuple[float, Fault]]:
    """Returns the faults of a run with the moments at which they begin."""
    generator = random.Random(seed)
    found: list[tuple[float, Fault]] = []
    at_ms = FIRST_FAULT_MS
    while at_ms < duration_ms - CALM_END_MS:
        found.append((at_ms, draw(generator, instances)))
        if generator.random() > TOGETHER_SHARE:
            at_ms += generator.expovariate(1.0) * MEAN_GAP_MS
    return found


def draw(generator: random.Random, instances: int) -> Fault:
    """Returns one fault."""
    entry = generator.randrange(instances)
    some = tuple(generator.sample(range(instances), max(1, instances // 2)))
    for_ms = generator.uniform(500, 5_000)
    makers: list[tuple[int, Callable[[], Fault]]] = [
        (5, lambda: KillEntry(entry=entry, down_ms=generator.uniform(50, 2_500))),
        (1, lambda: KillAll(down_ms=generator.uniform(50, 1_500))),
        (5, lambda: StopEntry(entry=entry)),
        (4, lambda: FreezeEntry(entry=entry, for_ms=generator.uniform(100, 4_000))),
        (2, lambda: ReloadEntry(entry=entry)),
        (2, lambda: SkewClock(entry=entry, skew_ms=generator.randint(-9_000, 9_000))),
        (4, lambda: CutStore(entries=some, for_ms=for_ms)),
        (3, lambda: StoreDown(status=generator.choice((0, 503, 429)), for_ms=for_ms)),
        (2, ForgetHistory),
        (2, lambda: LapseEntries(for_ms=for_ms)),
        (3, lambda: CutPeers(entry=entry, for_ms=for_ms)),
        (3, lambda: ResetPeers(entries=some)),
        (2, lambda: SilencePeers(entry=entry)),
        (
            2,
            lambda: DelayPeers(
                entry=entry, delay_ms=generator.uniform(5, 150), for_ms=for_ms
            ),
        ),
        (6, MoveRoute),
        (2, ChangeTimeout),
        (3, Reshard),
        (
            5,
            lambda: CrashUpstream(
                down_ms=generator.uniform(ADDRESS_REUSE_MS, 4_000),
                takes_name=generator.random() < 0.3,
                is_other=generator.random() < 0.4,
            ),
        ),
        (4, lambda: DrainUpstream(reports=generator.random() < 0.7)),
        (
            8,
            lambda: Misbehave(
                slowness=generator.choice((1.0, 1.0, 5.0, 12.0)),
                hold_ms=generator.choice((0.0, 0.0, 200.0, 1_500.0)),
                spoil=generator.choice(("", *SPOILS)),
                share=generator.uniform(0.05, 0.6),
                for_ms=for_ms,
            ),
        ),
    ]
    (maker,) = generator.choices(
        [maker for _, maker in makers], [weight for weight, _ in makers]
    )
    return maker()


class Injector:
    """Carries out a schedule, heals what it did and records when."""

    def __init__(self, *, world: Cluster, seed: int, duration_ms: float):
        self._world = world
        self._random = random.Random(seed + 1)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._lock = threading.Lock()
        self._begun_ms = now_ms()
        self._end_ms = self._begun_ms + duration_ms
        schedule = plan(
            seed=seed, duration_ms=duration_ms, instances=len(world.entries)
        )
        for at_ms, fault in schedule:
            self._call_in(at_ms, lambda fault=fault: self._inject(fault))

    def run(self) -> None:
        """Injects and heals until the end of the run."""
        while now_ms() < self._end_ms or self._heap:
            with self._lock:
                due_ms = self._heap[0][0] if self._heap else self._end_ms
            wait_ms = due_ms - now_ms()
            if wait_ms > 0:
                threading.Event().wait(wait_ms / 1_000)
                continue
            with self._lock:
                _, _, action = heapq.heappop(self._heap)
            action()

    def _call_in(self, delay_ms: float, action: Callable[[], None]) -> None:
        with self._lock:
            due_ms = now_ms() + delay_ms
            heapq.heappush(self._heap, (due_ms, next(self._count), action))

    def _note(
        self,
        fault: Fault,
        for_ms: float,
        *,
        instance: str = "",
        is_planned: bool = False,
    ) -> None:
        begun_ms = now_ms()
        self._world.record.note(
            Disturbance(
                fault=repr(fault),
                instance=instance,
                from_ms=begun_ms,
                until_ms=begun_ms + for_ms,
                is_planned=is_planned,
            )
        )

    def _inject(self, fault: Fault) -> None:
        world = self._world
        match fault:
            case CutStore() | StoreDown() | ForgetHistory() | LapseEntries():
                self._harm_store(fault)
            case CutPeers() | ResetPeers() | SilencePeers() | DelayPeers():
                self._harm_peers(fault)
            case MoveRoute():
                world.move_single_route()
            case ChangeTimeout():
                world.change_timeout()
            case Reshard():
                shards = world.start_shards()
                self._call_in(RESHARD_LEAD_MS, lambda: self._use_shards(shards))
            case CrashUpstream() | DrainUpstream() | Misbehave():
                self._harm_upstream(fault)
            case _:
                self._harm_entry(fault)

    # Instances.

    def _harm_entry(self, fault: Fault) -> None:
        entries = self._world.entries
        match fault:
            case KillEntry(entry=number, down_ms=down_ms):
                self._note(fault, down_ms + 1_000, instance=entries[number].name)
                entries[number].kill(down_ms=down_ms)
            case KillAll(down_ms=down_ms):
                self._note(fault, down_ms + 1_000)
                for entry in entries:
                    entry.kill(down_ms=down_ms)
            case StopEntry(entry=number):
                self._stop_entry(fault, number)
            case FreezeEntry(entry=number, for_ms=for_ms):
                self._freeze(fault, number, for_ms)
            case ReloadEntry(entry=number):
                name = entries[number].name
                self._note(fault, 1_000, instance=name, is_planned=True)
                entries[number].reload(slack=self._random.randint(40, 60))
            case SkewClock(entry=number, skew_ms=skew_ms):
                entries[number].skew_ms = skew_ms

    def _stop_entry(self, fault: Fault, number: int) -> None:
        entry = self._world.entries[number]
        grace_ms = GRACE_S * 1_000
        self._note(fault, grace_ms + 1_500, instance=entry.name, is_planned=True)
        lifetime = entry.lifetime
        entry.request_stop()
        self._call_in(grace_ms, lambda: self._end_grace(number, lifetime))

    def _end_grace(self, number: int, lifetime: int) -> None:
        entry = self._world.entries[number]
        if entry.lifetime == lifetime and entry.child.running:
            entry.overstayed.append(lifetime)
            entry.kill(down_ms=300.0)

    def _freeze(self, fault: Fault, number: int, for_ms: float) -> None:
        entry = self._world.entries[number]
        if not entry.child.running:
            return
        self._note(fault, for_ms + 1_000, instance=entry.name)
        child = entry.child
        child.freeze()
        self._call_in(for_ms, lambda: child.running and child.thaw())

    # Store and links.

    def _harm_store(self, fault: Fault) -> None:
        world = self._world
        match fault:
            case CutStore(entries=numbers, for_ms=for_ms):
                proxies = [world.entries[number].store for number in numbers]
                self._cut(fault, proxies, for_ms)
            case StoreDown(status=status, for_ms=for_ms):
                self._note(fault, for_ms + 1_000)
                world.store.set_faults(status=status, silent=not status)
                self._call_in(for_ms, world.store.set_faults)
            case ForgetHistory():
                self._note(fault, 1_000)
                world.store.drop_history()
            case LapseEntries(for_ms=for_ms):
                self._lapse(fault, for_ms)

    def _lapse(self, fault: Fault, for_ms: float) -> None:
        world = self._world
        self._note(fault, for_ms + LAPSE_RETURN_MS + 1_000)
        world.store.set_faults(status=503)
        lapsed = list(world.upstreams.values())
        for upstream in lapsed:
            world.store.remove("servers", upstream.name)
        self._call_in(for_ms, world.store.set_faults)
        for upstream in lapsed:
            delay_ms = for_ms + self._random.uniform(0, LAPSE_RETURN_MS)
            self._call_in(delay_ms, lambda u=upstream: world.restore_entry(u))

    def _harm_peers(self, fault: Fault) -> None:
        entries = self._world.entries
        match fault:
            case CutPeers(entry=number, for_ms=for_ms):
                self._cut(fault, [entries[number].peers], for_ms)
            case ResetPeers(entries=numbers):
                self._note(fault, 1_000)
                for number in numbers:
                    entries[number].peers.reset()
            case SilencePeers(entry=number):
                self._note(fault, 1_500)
                entries[number].peers.silence()
            case DelayPeers(entry=number, delay_ms=delay_ms, for_ms=for_ms):
                self._note(fault, for_ms + 1_000)
                entries[number].peers.delay_ms = delay_ms
                self._call_in(
                    for_ms, lambda: setattr(entries[number].peers, "delay_ms", 0.0)
                )

    def _cut(self, fault: Fault, proxies: list, for_ms: float) -> None:
        self._note(fault, for_ms + 1_000)
        for proxy in proxies:
            proxy.silence()
            proxy.refuses = True

        def heal() -> None:
            for proxy in proxies:
                proxy.refuses = False

        self._call_in(for_ms, heal)

    # Upstreams.

    def _pick_upstream(self) -> Upstream | None:
        """Returns an upstream of a service that keeps another one, or None."""
        upstreams = list(self._world.upstreams.values())
        services = [upstream.service for upstream in upstreams]
        spare = [u for u in upstreams if services.count(u.service) > 1]
        return self._random.choice(spare) if spare else None

    def _use_shards(self, shards: list[str]) -> None:
        for upstream in self._world.switch_shards(shards):
            self._call_in(
                DRAIN_MS, lambda upstream=upstream: self._drain(upstream, reports=True)
            )

    def _harm_upstream(self, fault: Fault) -> None:
        world = self._world
        upstream = self._pick_upstream()
        if upstream is None:
            return
        match fault:
            case CrashUpstream(down_ms=down_ms):
                self._note(fault, down_ms + ENTRY_EXPIRY_MS)
                world.crash_upstream(upstream)
                self._call_in(down_ms, lambda: self._reuse(fault, upstream))
                self._call_in(
                    ENTRY_EXPIRY_MS, lambda: world.expire_entry(upstream.name)
                )
            case DrainUpstream(reports=reports):
                world.add_upstream(upstream.service)
                self._call_in(
                    REPLACEMENT_LEAD_MS, lambda: self._drain(upstream, reports=reports)
                )
            case Misbehave(for_ms=for_ms):
                self._note(fault, for_ms + fault.hold_ms + 1_000)
                faults = upstream.faults
                faults.slowness, faults.spoil = fault.slowness, fault.spoil
                faults.share = fault.share
                faults.held_until_ms = now_ms() + fault.hold_ms
                self._call_in(for_ms, upstream.behave)

    def _reuse(self, fault: CrashUpstream, gone: Upstream) -> None:
        """Gives the address of an ended upstream to the next one."""
        world = self._world
        service = gone.service
        if fault.is_other:
            world.add_upstream(service)
            service = self._random.choice([*world.shards, world.single_service])
        name = gone.name if fault.takes_name and not fault.is_other else ""
        world.add_upstream(service, name=name, port=gone.port)

    def _drain(self, upstream: Upstream, *, reports: bool) -> None:
        world = self._world
        if upstream.is_gone:
            return
        if reports:
            world.report_draining(upstream)
        else:
            world.withdraw_entry(upstream)
        serves_ms = DRAIN_MS + self._random.uniform(500, 2_000)
        self._call_in(serves_ms, lambda: world.remove_upstream(upstream))
