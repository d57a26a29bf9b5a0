"""Scheduling between ranks: which queued item is dispatched next."""

import dataclasses
from collections.abc import Callable

from gooseberrymux.fair_queue import FairQueue
from gooseberrymux.records import Rank
from gooseberrymux.settings import Settings

RANKS = tuple(Rank)

# A rank's credit falls to at most this far below 0 while it is served without
# competition, so that its floor applies soon after an urgent flood begins.
MAX_DEBT_DISPATCHES = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Strict:
    """Strict priority: the most urgent rank with queued work always goes first."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Weighted:
    """Weighted fair queueing: each rank gets dispatches in proportion to its weight."""

    weights: dict[Rank, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StrictWithFloors:
    """Strict priority with a guaranteed minimum share for the lower ranks.

    A floor is the share of a busy upstream's dispatches that a rank is guaranteed. The
    floors of ranks without work go to the other lower ranks that wait, because the sum
    of the floors is guaranteed to the lower ranks together.
    """

    floors: dict[Rank, float]


SchedulingPolicy = Strict | Weighted | StrictWithFloors


def create_scheduling_policy(settings: Settings) -> SchedulingPolicy:
    """Returns the scheduling policy that the settings select."""
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
    """A bounded queue for each rank, served in the order of a scheduling policy.

    Within a rank, flows share the dispatches fairly; see `fair_queue`.

    Not thread-safe: the owner of the queue holds its own lock around each call.
    """

    __slots__ = (
        "_policy",
        "_limits",
        "_queues",
        "_lengths",
        "_length",
        "_credits",
        "_virtual_finish",
        "_virtual_time",
    )

    def __init__(self, *, policy: SchedulingPolicy, limits: dict[Rank, int]):
        self._policy = policy
        self._limits = limits
        self._queues = {rank: FairQueue() for rank in RANKS}
        self._lengths: dict[Rank, int] = dict.fromkeys(RANKS, 0)
        self._length = 0
        # For `StrictWithFloors`: number of dispatches that each rank is owed.
        self._credits: dict[Rank, float] = dict.fromkeys(RANKS, 0.0)
        # For `Weighted`: the virtual time at which each rank's last dispatch ends (a
        # dispatch takes 1 / weight), and the virtual time at which the most recent
        # dispatch of all ranks began.
        self._virtual_finish: dict[Rank, float] = dict.fromkeys(RANKS, 0.0)
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return self._length

    def enqueue(self, rank: Rank, item: object, flow: str = "") -> bool:
        """Appends an item to its rank's queue; returns False if that queue is full."""
        if self._lengths[rank] >= self._limits[rank]:
            return False
        if not self._lengths[rank]:
            # A rank keeps no claim to dispatches that it did not use while idle.
            self._credits[rank] = 0.0
            self._virtual_finish[rank] = max(
                self._virtual_finish[rank], self._virtual_time
            )
        self._queues[rank].append(item, flow)
        self._change_length(rank, 1)
        return True

    def make_room(self, rank: Rank, flow: str) -> object | None:
        """Makes room for an item of a flow in a full queue.

        Removes and returns the newest item of the flow that has the most items there.
        Returns None and removes nothing if the queue is not full, or if the new item
        itself would be that newest one.
        """
        if not 0 < self._limits[rank] <= self._lengths[rank]:
            return None
        item = self._queues[rank].pop_newest_of_longest(flow)
        self._change_length(rank, 0 if item is None else -1)
        return item

    def dequeue(
        self, is_preferred: Callable[[object], bool] | None = None
    ) -> object | None:
        """Removes and returns the next item, or None if all queues are empty.

        Args:
            is_preferred: Items of the chosen rank and flow for which this returns True
                go before the other items of the flow.
        """
        waiting = [rank for rank in RANKS if self._lengths[rank]]
        if not waiting:
            return None
        rank = self._choose_rank(waiting)
        self._change_length(rank, -1)
        return self._queues[rank].pop(is_preferred)

    def remove(self, predicate: Callable[[object], bool]) -> list:
        """Removes and returns all items for which `predicate` holds."""
        removed = []
        for rank, queue in self._queues.items():
            found = queue.remove(predicate)
            self._change_length(rank, -len(found))
            removed += found
        return removed

    def estimate_dispatches_ahead(
        self,
        rank: Rank,
        is_preferred: Callable[[object], bool] | None = None,
        flow: str = "",
    ) -> float:
        """Estimates how many dispatches go before a new item of `rank`.

        Counts only items that are queued already and no later arrivals, so that work is
        refused early only if the present backlog makes it late.

        Args:
            rank: Rank of the new item.
            is_preferred: As for `dequeue`. The new item counts as preferred, so only
                the preferred items of its own flow go before it.
            flow: Flow of the new item; of the other flows of its rank, only their fair
                share goes before it.
        """
        lengths = self.count_by_rank()
        own = lengths[rank] = self._queues[rank].count_ahead(flow, is_preferred)
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
                shares = redistribute_floors(floors, busy)
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
        return dict(self._lengths)

    def _change_length(self, rank: Rank, change: int) -> None:
        self._lengths[rank] += change
        self._length += change

    def _choose_rank(self, waiting: list[Rank]) -> Rank:
        match self._policy:
            case Strict():
                return waiting[0]
            case Weighted(weights=weights):
                return self._choose_by_weight(waiting, weights)
            case StrictWithFloors(floors=floors):
                return self._choose_with_floors(waiting, floors)

    def _choose_by_weight(self, waiting: list[Rank], weights: dict) -> Rank:
        # Weighted fair queueing with items of equal size: the rank whose next dispatch
        # would have the earliest virtual finish time goes next. A rank that was idle
        # does not go ahead of the others but waits for its share.
        chosen = min(waiting, key=lambda r: self._virtual_finish[r] + 1.0 / weights[r])
        self._virtual_time = self._virtual_finish[chosen]
        self._virtual_finish[chosen] += 1.0 / weights[chosen]
        return chosen

    def _choose_with_floors(self, waiting: list[Rank], floors: dict) -> Rank:
        shares = redistribute_floors(floors, waiting)
        for rank in waiting:
            self._credits[rank] += shares[rank]
        due = [rank for rank in waiting if self._credits[rank] >= 1.0]
        chosen = due[0] if due else waiting[0]
        # Each dispatch uses up credit, also one that the floor did not cause. In a
        # flood of patient work the lower ranks get far more than their floor and must
        # not delay urgent work to claim it.
        self._credits[chosen] = max(-MAX_DEBT_DISPATCHES, self._credits[chosen] - 1.0)
        return chosen


def redistribute_floors(
    floors: dict[Rank, float], waiting: list[Rank]
) -> dict[Rank, float]:
    """Returns the floor of each rank, with idle ranks' floors shared among `waiting`.

    The floors of idle ranks are divided in proportion to the floors of the waiting
    ranks. All are 0 if no waiting rank has a floor.
    """
    entitled = sum(floors[rank] for rank in waiting)
    if entitled <= 0:
        return dict.fromkeys(RANKS, 0.0)
    factor = sum(floors.values()) / entitled
    return {rank: floors[rank] * factor if rank in waiting else 0.0 for rank in RANKS}


def split_ranks(rank: Rank) -> tuple[tuple[Rank, ...], tuple[Rank, ...]]:
    """Returns the ranks more urgent than `rank` and those less urgent than it."""
    position = RANKS.index(rank)
    return RANKS[:position], RANKS[position + 1 :]
