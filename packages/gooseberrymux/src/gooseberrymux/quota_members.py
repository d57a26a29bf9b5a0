"""Which members grant the tokens of a workspace, and for what share of its quota.

No network and no threads; `quotas` passes in what `membership` knows.
"""

from collections.abc import Iterable, Sequence

from gooseberrymux.messages import MemberUpdate
from gooseberrymux.ownership import rank_members, select_eligible_owners
from gooseberrymux.quota_grants import OwnedElsewhere, Owns, QuotaRole, StandsIn
from gooseberrymux.records import InstanceRecord, MemberState

# Keeps the owners of workspaces apart from those of services with the same name.
KEY_PREFIX = "quota "


class QuotaMembers:
    """Owner and stand-in of each workspace, as this instance sees them.

    Not thread-safe.

    Attributes:
        share: Share of each quota that the owners among the live members may grant.
        has_unheard_members: Whether a listed member has not been heard from yet.
    """

    __slots__ = (
        "_own_name",
        "_max_owners",
        "_eligible",
        "_ranked",
        "_left",
        "share",
        "has_unheard_members",
    )

    def __init__(self, *, own_name: str, max_owners: int):
        self._own_name = own_name
        self._max_owners = max_owners
        self._eligible: tuple[InstanceRecord, ...] = ()
        self._ranked: dict[str, tuple[str, ...]] = {}
        # Incarnations of the members that announced their stop.
        self._left: dict[str, int] = {}
        self.share = 1.0
        self.has_unheard_members = False

    def update(
        self, *, live: Sequence[InstanceRecord], members: Iterable[MemberUpdate]
    ) -> bool:
        """Takes over the members; returns whether owners may have changed.

        Args:
            live: The live members.
            members: The latest update about each member.
        """
        self.share = self._compute_share({member.name for member in live}, members)
        eligible = select_eligible_owners(live, max_owners=self._max_owners)
        if eligible == self._eligible:
            return False
        self._eligible = eligible
        self._ranked = {}
        return True

    def list_granting(self, workspace: str) -> tuple[str, ...]:
        """Returns the names of the owner and the stand-in, if there are any."""
        found = self._ranked.get(workspace)
        if found is None:
            ranked = rank_members(
                key=KEY_PREFIX + workspace, members=self._eligible, count=2
            )
            found = tuple(member.name for member in ranked)
            self._ranked[workspace] = found
        return found

    def find_role(self, workspace: str) -> QuotaRole:
        """Returns what this instance is for a workspace."""
        match self.list_granting(workspace):
            case (owner, *_) if owner == self._own_name:
                return Owns()
            case (_, stand_in) if stand_in == self._own_name:
                return StandsIn()
            case (owner, *_):
                return OwnedElsewhere(owner=owner)
            case _:
                return OwnedElsewhere(owner="")

    def _compute_share(self, live: set[str], members: Iterable[MemberUpdate]) -> float:
        """Returns live / (live + lost).

        A member counts as lost while the member table keeps it, if it is not live and
        has not announced its stop: behind a partition, it may see another owner. A
        member that has not been heard from yet counts too, since an instance that has
        just started sees itself as the owner of all workspaces.
        """
        lost = 0
        self.has_unheard_members = False
        for member in members:
            name, incarnation = member.instance, member.incarnation
            if member.state is MemberState.LEAVING:
                self._left[name] = incarnation
            elif name in live:
                self._left.pop(name, None)
            elif not incarnation or self._left.get(name) != incarnation:
                lost += 1
                self.has_unheard_members = self.has_unheard_members or not incarnation
        return len(live) / (len(live) + lost) if live else 0.0
