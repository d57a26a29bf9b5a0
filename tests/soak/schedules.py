"""Kinds of faults of a soak run, and the schedule of them that a seed draws."""

import dataclasses
import random
from collections.abc import Callable

from soak.upstreams import SPOILS

FIRST_FAULT_MS = 1_500.0
MEAN_FAULT_GAP_MS = 650.0
# Probability that the next fault starts at the same moment as the last one, to cover
# combinations of faults.
SIMULTANEOUS_FAULT_PROBABILITY = 0.25
# No fault starts in the last part of a run, so that recovery can be checked.
FAULT_FREE_END_MS = 12_000.0
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
class SilenceStore:
    """The store answers nothing to some instances, on open and on new connections.

    The promises hold all the while, as the other instances still read the store.
    """

    indexes: tuple[int, ...]
    active_ms: float


@_frozen
class SlowStore:
    """Each piece of data between the store and all instances is delayed."""

    delay_ms: float
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
    | SilenceStore
    | SlowStore
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
    return schedule + draw_incident_faults(seed, duration_ms, instances)


def draw_incident_faults(
    seed: int, duration_ms: float, instances: int
) -> list[tuple[float, Fault]]:
    """Returns limits, restores, silent and slow stores, from a generator of their own.

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
    scheduled = [
        (generator.uniform(FIRST_FAULT_MS, last_ms), fault)
        for fault in (*limits, *restores)
    ]
    silences = [
        SilenceStore(
            indexes=tuple(
                generator.sample(range(instances), generator.randrange(instances))
            ),
            active_ms=generator.uniform(3_000, 10_000),
        )
        for _ in range(generator.randint(1, 2))
    ]
    slow_stores = [
        SlowStore(
            delay_ms=generator.uniform(20, 300),
            active_ms=generator.uniform(1_000, 5_000),
        )
        for _ in range(generator.randint(0, 1))
    ]
    return scheduled + [
        (generator.uniform(FIRST_FAULT_MS, last_ms), fault)
        for fault in (*silences, *slow_stores)
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
