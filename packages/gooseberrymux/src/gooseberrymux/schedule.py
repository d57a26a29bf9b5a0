"""Rank queue of one upstream: which queued sub-request goes next."""

import collections
import dataclasses
from collections.abc import Callable

from gooseberrymux.records import Rank
from gooseberrymux.settings import Settings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Strict:
    """The most urgent rank that has work always goes first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Weighted:
    """Each rank gets dispatches in proportion to its weight."""

    weights: dict[Rank, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StrictWithFloors:
    """Strict, but each rank keeps a floor share of a busy upstream's dispatches."""

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
        case _:
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
            rank: collections.deque() for rank in Rank
        }
        self._credits: dict[Rank, float] = dict.fromkeys(Rank, 0.0)

    def put(self, rank: Rank, item: object) -> bool:
        """Queues an item; returns False if the rank's queue is full."""
        queue = self._queues[rank]
        if len(queue) >= self._limits[rank]:
            return False
        queue.append(item)
        return True

    def take(self) -> object | None:
        """Removes and returns the next item, or None if all queues are empty."""
        waiting = [rank for rank in Rank if self._queues[rank]]
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

    def count_ahead(self, rank: Rank) -> int:
        """Returns how many queued items go before a new item of `rank`."""
        ranks = list(Rank)
        return sum(len(self._queues[other]) for other in ranks[: ranks.index(rank) + 1])

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued items of each rank."""
        return {rank: len(queue) for rank, queue in self._queues.items()}

    def _choose(self, waiting: list[Rank]) -> Rank:
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
        for rank in Rank:
            if rank not in waiting:
                self._credits[rank] = 0.0
        for rank in waiting:
            self._credits[rank] += floors[rank]
        due = [rank for rank in waiting if self._credits[rank] >= 1.0]
        chosen = due[0] if due else waiting[0]
        # Only a floor's own credit is spent, so that strict dispatches of a rank
        # never push it below its floor.
        if self._credits[chosen] >= 1.0:
            self._credits[chosen] -= 1.0
        return chosen
