"""Rank queue of one upstream: which queued sub-request goes next."""

import collections
import dataclasses
from collections.abc import Callable

from gooseberrymux.records import Rank
from gooseberrymux.settings import Settings

RANKS = tuple(Rank)

# A rank owes at most this many dispatches for what it got while no other waited, so
# that its floor holds soon after an urgent flood begins.
DEBT_LIMIT = 1.0


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

    __slots__ = ("_policy", "_limits", "_queues", "_credits", "_passes", "_virtual")

    def __init__(self, *, policy: Policy, limits: dict[Rank, int]):
        self._policy = policy
        self._limits = limits
        self._queues: dict[Rank, collections.deque] = {
            rank: collections.deque() for rank in RANKS
        }
        # Floors: dispatches owed to a rank.
        self._credits: dict[Rank, float] = dict.fromkeys(RANKS, 0.0)
        # Weights: each rank's dispatches divided by its weight, and the rank that is
        # furthest behind among those with work.
        self._passes: dict[Rank, float] = dict.fromkeys(RANKS, 0.0)
        self._virtual = 0.0

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def put(self, rank: Rank, item: object) -> bool:
        """Queues an item; returns False if the rank's queue is full."""
        queue = self._queues[rank]
        if len(queue) >= self._limits[rank]:
            return False
        if not queue:
            # A rank that was idle brings nothing along that it did not use.
            self._credits[rank] = 0.0
            self._passes[rank] = max(self._passes[rank], self._virtual)
        queue.append(item)
        return True

    def take(self, prefer: Callable[[object], bool] | None = None) -> object | None:
        """Removes and returns the next item, or None if all queues are empty.

        Args:
            prefer: Items of the chosen rank for which it holds go before the others.
        """
        waiting = [rank for rank in RANKS if self._queues[rank]]
        if not waiting:
            return None
        queue = self._queues[self._choose(waiting)]
        if prefer is not None:
            for place, item in enumerate(queue):
                if prefer(item):
                    del queue[place]
                    return item
        return queue.popleft()

    def remove(self, predicate: Callable[[object], bool]) -> list:
        """Removes and returns all items for which `predicate` holds."""
        removed = []
        for rank, queue in self._queues.items():
            kept: collections.deque = collections.deque()
            for item in queue:
                (removed if predicate(item) else kept).append(item)
            self._queues[rank] = kept
        return removed

    def count_ahead(
        self, rank: Rank, prefer: Callable[[object], bool] | None = None
    ) -> float:
        """Estimates how many dispatches go before a new item of `rank`.

        Later arrivals are left out, so that work is refused early only if what is
        queued already makes it late.

        Args:
            rank: The rank of the new item.
            prefer: As for `take`; the new item is one for which it holds.
        """
        lengths = self.count_by_rank()
        if prefer is not None:
            lengths[rank] = sum(map(prefer, self._queues[rank]))
        own = lengths[rank]
        above, below = split_ranks(rank)
        match self._policy:
            case Strict():
                return own + sum(lengths[other] for other in above)
            case Weighted(weights=weights):
                per_own = (own + 1) / weights[rank]
                return own + sum(
                    min(lengths[other], per_own * weights[other])
                    for other in (*above, *below)
                )
            case StrictWithFloors(floors=floors):
                busy = [r for r in RANKS if r is rank or lengths[r]]
                shares = share_floors(floors, busy)
                ahead = float(sum(lengths[other] for other in above))
                if 0 < shares[rank] < 1:
                    ahead = min(ahead, (own + 1) * (1 / shares[rank] - 1))
                ahead += own
                floor = min(0.9, sum(shares[other] for other in below))
                return ahead + sum(
                    min(lengths[other], ahead * shares[other] / (1 - floor))
                    for other in below
                )

    def count_by_rank(self) -> dict[Rank, int]:
        """Returns the number of queued items of each rank."""
        return {rank: len(queue) for rank, queue in self._queues.items()}

    def _choose(self, waiting: list[Rank]) -> Rank:
        match self._policy:
            case Strict():
                return waiting[0]
            case Weighted(weights=weights):
                return self._choose_by_weight(waiting, weights)
            case StrictWithFloors(floors=floors):
                return self._choose_with_floors(waiting, floors)

    def _choose_by_weight(self, waiting: list[Rank], weights: dict) -> Rank:
        # Weighted fair queueing of items of equal size: the rank whose next dispatch
        # would end first goes next, so that one that was idle waits for its share.
        chosen = min(waiting, key=lambda r: self._passes[r] + 1.0 / weights[r])
        self._virtual = self._passes[chosen]
        self._passes[chosen] += 1.0 / weights[chosen]
        return chosen

    def _choose_with_floors(self, waiting: list[Rank], floors: dict) -> Rank:
        shares = share_floors(floors, waiting)
        for rank in waiting:
            self._credits[rank] += shares[rank]
        due = [rank for rank in waiting if self._credits[rank] >= 1.0]
        chosen = due[0] if due else waiting[0]
        # Each dispatch counts towards the floor. In a patient flood the lower ranks
        # have far more than their floor, so they must not delay urgent work for it.
        self._credits[chosen] = max(-DEBT_LIMIT, self._credits[chosen] - 1.0)
        return chosen


def share_floors(floors: dict[Rank, float], waiting: list[Rank]) -> dict[Rank, float]:
    """Returns the floors of the ranks that wait, with those of idle ranks passed on."""
    entitled = sum(floors[rank] for rank in waiting)
    if entitled <= 0:
        return dict.fromkeys(RANKS, 0.0)
    factor = sum(floors.values()) / entitled
    return {rank: floors[rank] * factor if rank in waiting else 0.0 for rank in RANKS}


def split_ranks(rank: Rank) -> tuple[tuple[Rank, ...], tuple[Rank, ...]]:
    """Returns the ranks above and below a rank."""
    place = RANKS.index(rank)
    return RANKS[:place], RANKS[place + 1 :]
