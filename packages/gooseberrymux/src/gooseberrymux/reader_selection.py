"""Decides whether this instance reads the platform, from the age of the last proof.

The first members by rank read all the time. All others rely on their proofs, and read
as substitutes once the latest proof gets old, the higher ranks first. No report of a
failure is needed: whatever keeps the readers from the platform, and whoever they are,
their proofs stop. The number of substitutes doubles from step to step, so that few read
if most can, and all have tried by half of the staleness bound.
"""

import dataclasses
import math

from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.ownership import compute_weighted_score
from gooseberrymux.proofs import ProofRecord
from gooseberrymux.records import InstanceRecord
from gooseberrymux.staleness import FIRST_SUBSTITUTE_SHARE, LAST_SUBSTITUTE_SHARE

RANKING_KEY = "documents/watch"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """This instance reads the platform now.

    Attributes:
        is_substitute: Whether it does so in place of members of higher rank.
    """

    is_substitute: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """This instance relies on others; the next decision is due after `duration_ms`."""

    duration_ms: float


ReadStep = Read | Wait


class ReaderSelection:
    """The decision for one prefix; used by the thread that reads the prefix.

    Args:
        kernel: Gives the settings and the clock.
        name: Name of this instance.
        membership: Lists the live members.
        proofs: The proofs of the prefix.
    """

    __slots__ = (
        "_kernel",
        "_name",
        "_membership",
        "_proofs",
        "_is_substitute",
        "_ranked_members",
        "_better_names",
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        name: str,
        membership: Membership,
        proofs: ProofRecord,
    ):
        self._kernel = kernel
        self._name = name
        self._membership = membership
        self._proofs = proofs
        # Whether the last read of this instance as a substitute was answered.
        self._is_substitute = False
        # The members for which `_better_names` holds: ranking hashes every name, and
        # the members rarely change between two decisions.
        self._ranked_members: tuple[InstanceRecord, ...] | None = None
        self._better_names: frozenset[str] = frozenset()

    def is_reader(self) -> bool:
        """Returns whether this instance is one of those that read all the time."""
        return len(self._list_better()) < self._kernel.settings.platform.watchers

    def choose_step(self) -> ReadStep:
        """Returns whether to read now, or how long to wait for a proof."""
        if self.is_reader():
            return Read(is_substitute=False)
        now_ms = self._kernel.clock.boot_ms()
        if self._is_substitute and self._count_better_readers(now_ms) < (
            self._kernel.settings.platform.watchers
        ):
            return Read(is_substitute=True)
        self._is_substitute = False
        remaining_ms = self._compute_delay_ms() - self._proofs.compute_age_ms(now_ms)
        if remaining_ms <= 0:
            return Read(is_substitute=True)
        # Rounded up, so that a wait never ends just before the time of the read.
        return Wait(duration_ms=math.ceil(remaining_ms))

    def record_read(self, *, is_answered: bool) -> None:
        """Records whether the platform answered this instance as a substitute.

        A substitute that was answered goes on reading until enough members of higher
        rank do so again.
        """
        self._is_substitute = is_answered

    def _count_better_readers(self, now_ms: float) -> int:
        """Returns how many members of higher rank have a proof that is not yet old."""
        bound_ms = self._kernel.settings.platform.staleness_bound_ms
        since_ms = now_ms - FIRST_SUBSTITUTE_SHARE * bound_ms
        return len(self._proofs.list_readers(since_ms=since_ms) & self._list_better())

    def _compute_delay_ms(self) -> float:
        return compute_substitute_delay_ms(
            rank=len(self._list_better()),
            member_count=len(self._ranked_members or ()),
            reader_count=self._kernel.settings.platform.watchers,
            staleness_bound_ms=self._kernel.settings.platform.staleness_bound_ms,
        )

    def _list_better(self) -> frozenset[str]:
        """Returns the names of the live members of higher rank."""
        members = self._membership.list_live()
        if members != self._ranked_members:
            self._better_names = find_better_members(name=self._name, members=members)
            self._ranked_members = members
        return self._better_names


def find_better_members(
    *, name: str, members: tuple[InstanceRecord, ...]
) -> frozenset[str]:
    """Returns the members that rank before the named one; all if it is no member."""
    keys = {
        member.name: (
            compute_weighted_score(key=RANKING_KEY, member=member),
            member.name,
        )
        for member in members
    }
    own_key = keys.get(name)
    if own_key is None:
        return frozenset(keys)
    return frozenset(other for other, key in keys.items() if key > own_key)


def compute_substitute_delay_ms(
    *, rank: int, member_count: int, reader_count: int, staleness_bound_ms: float
) -> float:
    """Returns the age of the latest proof at which a member reads as a substitute.

    Args:
        rank: How many members rank before it; at least `reader_count`.
        member_count: How many live members there are.
        reader_count: How many members read all the time.
        staleness_bound_ms: Time within which a change must be in force everywhere.
    """
    step = math.floor(math.log2(rank / reader_count))
    last_step = max(
        step, math.floor(math.log2(max(1, member_count - 1) / reader_count))
    )
    progress = step / last_step if last_step else 0.0
    share = FIRST_SUBSTITUTE_SHARE + progress * (
        LAST_SUBSTITUTE_SHARE - FIRST_SUBSTITUTE_SHARE
    )
    return share * staleness_bound_ms
