"""Rank queue of one upstream: which queued sub-request goes next."""

import collections
import dataclasses
from collections.abc import Callable

from gooseberrymux.records import Rank
from gooseberrymux.settings import Settings

RANKS = tuple(Rank)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Strict:
    """The most urgent rank that has work always goes first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Weighted:
    """Each rank gets dispatches in proportion to its weight."""

    weights: dict[Rank, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StrictWithFloors:
    """Strict, but the lower ranks keep a floor share of a busy upstream's dispatches.

    The floors of ranks without work go to the other lower ranks that wait, because
    the floor is guaranteed to the lower ranks together.
    """

    floors: dict[Rank, float]


Policy = Strict | Weighted | StrictWithFloors


def create_policy(settings: Settings) -> Policy:
    """Returns the policy that the settings name."""
    by_rank = {rank: getattr(settings.ranks, rank.value) for rank in Rank}
    match settings.policy.schedule:
        case "strict":
            return Strict()
        case "weighted":
            return Weighted(weights={r: s.weight for r, s in by_rank.items()})
        case "strict_with_floors":
            return StrictWithFloors(
                floors={r: s.floor_share for r, s in by_rank.items()}
            )


class RankQueue:
    """Bounded queues of one upstream, one for each rank.

    Not thread-safe: the lane that owns it holds its lock around each call.
    """

    __slots__ = ("_policy", "_limits", "_queues", "_credits")

    def __init__(self, *, policy: Policy, limits: dict[Rank, int]):
        self._policy = policy
        self._limits = limits
        self._queues: dict[Rank, collections.deque] = {
            rank: collections.deque() for rank in RANKS
        }
        self._credits: dict[Rank, float] = dict.fromkeys(RANKS, 0.0)

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def put(self, rank: Rank, item: object) -> bool:
        """Queues an item; returns False if the rank's queue is full."""
        queue = self._queues[rank]
        if len(queue) >= self._limits[rank]:
            return False
        queue.append(item)
        return True

    def take(self) -> object | None:
        """Removes and returns the next item, or None if all queues are empty."""
        waiting = [rank for rank in RANKS if self._queues[rank]]
        if not waiting:
            return None
        rank = self._choose(waiting)
        return self._queues[rank].popleft()

    def remove(self, predicate: Callable[[object], bool]) -> list:
        """Removes and returns all items for which `predicate` holds."""
        removed = []
        for rank, queue in self._queues.items():
            kept: collections.deque = collections.deque()
            for item in queue:
                (removed if predicate(item) else kept).append(item)
            self._queues[rank] = kept
        return removed

    def count_ahead(self, rank: Rank) -> float:
        """Estimates how many dispatches go before a new item of `rank`.

        It assumes that the queues that are busy now stay busy, so that a rank with a
        share waits for its own queue divided by that share.
        """
        own = len(self._queues[rank])
        total = len(self)
        match self._policy:
            case Strict():
                return self._count_at_least(rank)
            case Weighted(weights=weights):
                busy = [r for r in RANKS if r is rank or self._queues[r]]
                total_weight = sum(weights[r] for r in busy)
                return min(total, own * total_weight / weights[rank])
            case StrictWithFloors(floors=floors):
                busy = [r for r in RANKS if r is rank or self._queues[r]]
                shares = share_floors(floors, busy)
                lower = sum(shares[r] for r in RANKS[RANKS.index(rank) + 1 :])
                ahead = self._count_at_least(rank) / (1.0 - min(lower, 0.9))
                if shares[rank] > 0:
                    ahead = min(ahead, own / shares[rank])
                return min(total, ahead)

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued items of each rank."""
        return {rank: len(queue) for rank, queue in self._queues.items()}

    def _count_at_least(self, rank: Rank) -> int:
        return sum(len(self._queues[other]) for other in RANKS[: RANKS.index(rank) + 1])

    def _choose(self, waiting: list[Rank]) -> Rank:
        if len(waiting) < len(RANKS):
            # A rank without work keeps no credit for later.
            for rank in RANKS:
                if rank not in waiting:
                    self._credits[rank] = 0.0
        match self._policy:
            case Strict():
                return waiting[0]
            case Weighted(weights=weights):
                return self._choose_by_credit(waiting, weights)
            case StrictWithFloors(floors=floors):
                return self._choose_with_floors(waiting, floors)

    def _choose_by_credit(self, waiting: list[Rank], weights: dict) -> Rank:
        # Smooth weighted round robin over the ranks that wait.
        for rank in waiting:
            self._credits[rank] += weights[rank]
        chosen = max(waiting, key=lambda rank: self._credits[rank])
        self._credits[chosen] -= sum(weights[rank] for rank in waiting)
        return chosen

    def _choose_with_floors(self, waiting: list[Rank], floors: dict) -> Rank:
        if len(waiting) == 1:
            return waiting[0]
        shares = share_floors(floors, waiting)
        for rank in waiting:
            self._credits[rank] += shares[rank]
        due = [rank for rank in waiting if self._credits[rank] >= 1.0]
        chosen = due[0] if due else waiting[0]
        # Only a floor's own credit is spent, so that strict dispatches of a rank
        # never push it below its floor.
        if self._credits[chosen] >= 1.0:
            self._credits[chosen] -= 1.0
        return chosen


def share_floors(floors: dict[Rank, float], waiting: list[Rank]) -> dict[Rank, float]:
    """Returns the floors of the ranks that wait, with those of idle ranks passed on."""
    entitled = sum(floors[rank] for rank in waiting)
    if entitled <= 0:
        return dict.fromkeys(RANKS, 0.0)
    factor = sum(floors.values()) / entitled
    return {rank: floors[rank] * factor if rank in waiting else 0.0 for rank in RANKS}
