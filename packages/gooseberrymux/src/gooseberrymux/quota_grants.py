"""Decides how many tokens of a workspace its quota owner and stand-in grant.

No network and no threads. Times are those of `Clock.boot_ms`.
"""

import dataclasses
from collections.abc import Callable, Mapping

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.quota_limits import (
    RETRY_LIMIT_MS,
    QuotaBucket,
    QuotaLimit,
    QuotaTolerance,
)
from gooseberrymux.quota_messages import QuotaGrant, QuotaRequest
from gooseberrymux.records import InstanceIdentity

# Tokens are granted ahead only from the part of a bucket above this share. The rest is
# kept for requests whose caller waits.
AHEAD_FLOOR_SHARE = 0.25
# How long a token lasts that an entry holds for a workspace it sees every few seconds.
HELD_MS = 10_000.0
# Time between two calls of `QuotaGrants.tick`. With `lapse_ms` it is shorter than the
# 400 ms after which membership replaces a silent owner at the earliest.
TICK_MS = 125.0
MIN_RETRY_AFTER_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Owns:
    """This instance is the quota owner of a workspace."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StandsIn:
    """This instance grants tokens while the owner of a workspace does not answer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnedElsewhere:
    """This instance grants nothing for a workspace."""

    owner: str


QuotaRole = Owns | StandsIn | OwnedElsewhere


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldGrant:
    """A token that an entry may hold until `until_ms`."""

    holder: InstanceIdentity
    id: int
    until_ms: float


class WorkspaceGrants:
    """Buckets of one workspace at its owner or stand-in. Not thread-safe.

    Attributes:
        limit: The limit in force.
        role: What this instance is for the workspace.
    """

    __slots__ = (
        "limit",
        "role",
        "_tolerance",
        "_share",
        "_bucket",
        "_reserve",
        "_held",
        "_owner_since_ms",
        "_retry_slot_ms",
    )

    def __init__(
        self,
        *,
        limit: QuotaLimit,
        role: QuotaRole,
        tolerance: QuotaTolerance,
        share: float,
        since_ms: float,
    ):
        self.limit = limit
        self.role = role
        self._tolerance = tolerance
        self._share = share
        self._bucket = QuotaBucket(rate_per_s=0.0, capacity=0.0, since_ms=since_ms)
        self._reserve = QuotaBucket(rate_per_s=0.0, capacity=0.0, since_ms=since_ms)
        self._held: list[HeldGrant] = []
        self._owner_since_ms = since_ms
        self._retry_slot_ms = since_ms
        self._apply(since_ms)

    def set_limit(self, limit: QuotaLimit, now_ms: float) -> None:
        """Replaces the limit if it is of the same or a higher generation."""
        if limit.generation >= self.limit.generation and limit != self.limit:
            self.limit = limit
            self._apply(now_ms)

    def set_share(self, share: float, now_ms: float) -> None:
        """Sets the share of the limit that this instance may grant."""
        if share != self._share:
            self._share = share
            self._apply(now_ms)

    def set_role(self, role: QuotaRole, now_ms: float) -> None:
        """Sets the role; the buckets that belong to a new one start empty.

        Another owner may have granted everything up to now.
        """
        if isinstance(role, Owns) and not isinstance(self.role, Owns):
            self._bucket.restart(now_ms)
            self._owner_since_ms = now_ms
        if isinstance(self.role, OwnedElsewhere):
            self._reserve.restart(now_ms)
        self.role = role

    def restart(self, now_ms: float) -> None:
        """Empties the buckets."""
        self._bucket.restart(now_ms)
        self._reserve.restart(now_ms)
        self._owner_since_ms = now_ms

    def is_idle(self, now_ms: float) -> bool:
        """Returns whether a new object for the workspace would grant no more."""
        self._drop_held(now_ms)
        is_full = self._bucket.is_full(now_ms) and self._reserve.is_full(now_ms)
        return is_full and not self._held

    def count_held(self, now_ms: float) -> int:
        """Returns how many tokens entries may hold for long."""
        self._drop_held(now_ms)
        return len(self._held)

    def grant(
        self, request: QuotaRequest, *, sender: InstanceIdentity, now_ms: float
    ) -> QuotaGrant:
        """Returns the answer to a request."""
        self._drop_held(now_ms, closed_by=sender, closed_id=request.closed_id)
        tokens, lapse_ms = 0, self._tolerance.lapse_ms
        match self.role:
            case OwnedElsewhere(owner=owner):
                return create_refusal(request, owner=owner)
            case _ if not self.limit.rate_per_s:
                # The entry's configuration is older than the one without a limit.
                tokens = request.tokens
            case Owns() if request.ahead:
                tokens, lapse_ms = self._grant_ahead(request, sender, now_ms)
            case Owns():
                tokens = self._bucket.take(request.tokens, now_ms)
                tokens = tokens or self._reserve.take(request.tokens, now_ms)
            case StandsIn() if not request.ahead:
                tokens = self._reserve.take(request.tokens, now_ms)
        if not tokens:
            return create_refusal(request, retry_after_ms=self._find_retry_ms(now_ms))
        return QuotaGrant(
            id=request.id,
            workspace=request.workspace,
            tokens=tokens,
            lapse_ms=lapse_ms,
        )

    def _grant_ahead(
        self, request: QuotaRequest, sender: InstanceIdentity, now_ms: float
    ) -> tuple[int, float]:
        """Returns how many tokens are granted ahead, and how long they last.

        A single token is for an entry that sees a request every few seconds. Several
        are for one that sees many, where they are used before they expire.
        """
        floor = self._bucket.capacity * AHEAD_FLOOR_SHARE
        if request.tokens > 1:
            taken = self._bucket.take(request.tokens, now_ms, floor=floor)
            return taken, self._tolerance.lapse_ms
        # By then, the tokens that entries hold from an earlier owner have expired.
        is_held_time_over = now_ms - self._owner_since_ms >= HELD_MS
        has_room = len(self._held) + 1 <= self._tolerance.held_limit * self._share
        if not (is_held_time_over and has_room):
            return 0, 0.0
        taken = self._bucket.take(1, now_ms, floor=floor)
        if taken:
            until_ms = now_ms + HELD_MS
            self._held.append(
                HeldGrant(holder=sender, id=request.id, until_ms=until_ms)
            )
        return taken, HELD_MS

    def _find_retry_ms(self, now_ms: float) -> float:
        """Returns after how long a refused caller should retry.

        Callers that are refused one after the other get times one after the other, as
        only one token accrues at a time.
        """
        rate_per_s = self.limit.rate_per_s * self._share
        wait_ms = min(self._bucket.get_wait_ms(now_ms), RETRY_LIMIT_MS)
        retry_ms = max(wait_ms, self._retry_slot_ms - now_ms)
        if retry_ms >= RETRY_LIMIT_MS or not rate_per_s:
            return RETRY_LIMIT_MS
        self._retry_slot_ms = now_ms + retry_ms + MS_PER_S / rate_per_s
        return max(MIN_RETRY_AFTER_MS, retry_ms)

    def _drop_held(
        self,
        now_ms: float,
        *,
        closed_by: InstanceIdentity | None = None,
        closed_id: int = 0,
    ) -> None:
        if self._held:
            self._held = [
                held
                for held in self._held
                if held.until_ms > now_ms
                and not (held.holder == closed_by and held.id <= closed_id)
            ]

    def _apply(self, now_ms: float) -> None:
        tolerance, share = self._tolerance, self._share
        self._bucket.set_limit(
            rate_per_s=self.limit.rate_per_s * share,
            capacity=tolerance.compute_capacity(self.limit.burst) * share,
            now_ms=now_ms,
        )
        reserve = tolerance.reserve_capacity * share
        self._reserve.set_limit(
            rate_per_s=reserve * MS_PER_S / tolerance.window_ms,
            capacity=reserve,
            now_ms=now_ms,
        )


def create_refusal(
    request: QuotaRequest, *, retry_after_ms: float = 0.0, owner: str = ""
) -> QuotaGrant:
    """Returns the answer to a request that gets no tokens."""
    return QuotaGrant(
        id=request.id,
        workspace=request.workspace,
        tokens=0,
        retry_after_ms=retry_after_ms,
        owner=owner,
    )


class QuotaGrants:
    """Grants of one instance for all workspaces. Not thread-safe."""

    __slots__ = (
        "_tolerance",
        "_workspaces",
        "_limits",
        "_find_role",
        "_share",
        "_roles_changed_ms",
        "_ticked_ms",
    )

    def __init__(
        self,
        *,
        tolerance: QuotaTolerance,
        find_role: Callable[[str], QuotaRole],
        started_ms: float,
    ):
        self._tolerance = tolerance
        self._workspaces: dict[str, WorkspaceGrants] = {}
        self._limits: Mapping[str, QuotaLimit] = {}
        self._find_role = find_role
        self._share = 1.0
        self._roles_changed_ms = started_ms
        self._ticked_ms = started_ms

    def set_limits(self, limits: Mapping[str, QuotaLimit], now_ms: float) -> None:
        """Sets the limits of this instance's configuration, by workspace."""
        self._limits = limits
        for name, found in list(self._workspaces.items()):
            if name in limits:
                found.set_limit(limits[name], now_ms)
            elif found.is_idle(now_ms):
                del self._workspaces[name]

    def handle_roles_changed(self, now_ms: float) -> None:
        """Looks up the role for each workspace again."""
        self._roles_changed_ms = now_ms
        for name, found in self._workspaces.items():
            found.set_role(self._find_role(name), now_ms)

    def set_share(self, share: float, now_ms: float) -> None:
        """Sets the share of each limit that this instance may grant."""
        self._share = share
        for found in self._workspaces.values():
            found.set_share(share, now_ms)

    @property
    def is_empty(self) -> bool:
        """Whether no workspace has asked for tokens here."""
        return not self._workspaces

    def start_ticks(self, now_ms: float) -> None:
        """Announces that `tick` is called from now on."""
        self._ticked_ms = now_ms

    def tick(self, now_ms: float) -> bool:
        """Records that this instance runs; expected every `TICK_MS`.

        Returns:
            Whether it was suspended since the last call for so long that others may
            have replaced it as the owner. Its buckets are empty then.
        """
        late_ms = now_ms - self._ticked_ms - TICK_MS
        self._ticked_ms = now_ms
        if late_ms <= self._tolerance.lapse_ms:
            return False
        self._roles_changed_ms = now_ms
        for found in self._workspaces.values():
            found.restart(now_ms)
        return True

    def grant(
        self, request: QuotaRequest, *, sender: InstanceIdentity, now_ms: float
    ) -> QuotaGrant:
        """Returns the answer to a request; see `tick` for what it requires."""
        if now_ms - self._ticked_ms > TICK_MS + self._tolerance.lapse_ms:
            self.tick(now_ms)
        return self._find(request, now_ms).grant(request, sender=sender, now_ms=now_ms)

    def count_held(self, now_ms: float) -> int:
        """Returns how many tokens of all workspaces entries may hold for long."""
        return sum(found.count_held(now_ms) for found in self._workspaces.values())

    def _find(self, request: QuotaRequest, now_ms: float) -> WorkspaceGrants:
        name = request.workspace
        found = self._workspaces.get(name)
        requested = QuotaLimit(
            rate_per_s=request.rate_per_s,
            burst=request.burst,
            generation=request.generation,
        )
        if found is None:
            # The buckets fill from the last change of roles on, not from the first
            # request, which may be the first after a long pause.
            found = WorkspaceGrants(
                limit=self._limits.get(name, requested),
                role=self._find_role(name),
                tolerance=self._tolerance,
                share=self._share,
                since_ms=self._roles_changed_ms,
            )
            self._workspaces[name] = found
        if requested.generation > found.limit.generation:
            found.set_limit(requested, now_ms)
        return found
