"""Decides at the entry which tokens of a workspace are held, and which are requested.

No network and no threads. Times are those of `Clock.boot_ms`, so that a token also
expires while the machine is suspended.
"""

import collections
import dataclasses
import itertools

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.quota_grants import HELD_MS
from gooseberrymux.quota_limits import RETRY_LIMIT_MS
from gooseberrymux.quota_messages import QuotaGrant

# Recent uses that are kept for each workspace; bounds the tokens requested ahead.
MAX_RECENT_USES = 64
# Requests of a workspace within `lapse_ms` from which on an entry requests several
# short-lived tokens. With fewer, too many of them expire unused: at 5 requests a second
# at one entry, 30 % found no token, and 10 % with one long-lived token instead.
BUSY_REQUESTS = 4
# A refusal answers later requests for this long, so that a caller far above its quota
# costs the owner a bounded number of messages.
REFUSAL_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequest:
    """A request for tokens that is not answered yet.

    Attributes:
        workspace: Name of the workspace.
        asked_ms: When it was created; its tokens expire relative to this time.
        ahead: Whether its tokens are for later requests.
        target: The member that was asked.
    """

    workspace: str
    asked_ms: float
    ahead: bool
    target: str


class HeldTokens:
    """Tokens of one grant that are not spent yet."""

    __slots__ = ("id", "tokens", "until_ms")

    def __init__(self, *, request_id: int, tokens: int, until_ms: float):
        self.id = request_id
        self.tokens = tokens
        self.until_ms = until_ms


class Balance:
    """Tokens and recent demand of one workspace at this entry. Not thread-safe.

    Attributes:
        held: Tokens that are not spent, in the order of their grants.
        uses_ms: Times of the latest requests of the workspace here.
        open_ids: Requests for tokens that are not answered.
        refused_until_ms: Until when a refusal answers later requests too.
        retry_at_ms: When the next caller that is refused should retry.
    """

    __slots__ = ("held", "uses_ms", "open_ids", "refused_until_ms", "retry_at_ms")

    def __init__(self):
        self.held: list[HeldTokens] = []
        self.uses_ms: collections.deque[float] = collections.deque(
            maxlen=MAX_RECENT_USES
        )
        self.open_ids: set[int] = set()
        self.refused_until_ms = float("-inf")
        self.retry_at_ms = float("-inf")

    def drop_expired(self, now_ms: float) -> None:
        """Discards the tokens that have expired."""
        if any(held.until_ms <= now_ms for held in self.held):
            self.held = [held for held in self.held if held.until_ms > now_ms]

    def spend(self, now_ms: float) -> bool:
        """Spends the token that expires first; returns False if none is held."""
        self.drop_expired(now_ms)
        if not self.held:
            return False
        first = min(self.held, key=lambda held: held.until_ms)
        first.tokens -= 1
        if not first.tokens:
            self.held.remove(first)
        return True

    def count_held(self) -> int:
        """Returns the number of tokens held."""
        return sum(held.tokens for held in self.held)

    def find_closed_id(self, last_id: int) -> int:
        """Returns the highest id up to which no token is held and none may arrive."""
        ids = self.open_ids.union(held.id for held in self.held)
        return min(ids) - 1 if ids else last_id


class QuotaBalances:
    """Balances of all workspaces at this entry. Not thread-safe.

    Args:
        lapse_ms: Time for which a token lasts that is not held for long.
    """

    __slots__ = ("_lapse_ms", "_balances", "_open", "_ids", "_last_id")

    def __init__(self, *, lapse_ms: float):
        self._lapse_ms = lapse_ms
        self._balances: dict[str, Balance] = collections.defaultdict(Balance)
        self._open: dict[int, OpenRequest] = {}
        self._ids = itertools.count(1)
        self._last_id = 0

    def spend(self, workspace: str, now_ms: float) -> bool:
        """Records a request of the workspace and spends a token for it, if one is held.

        A request that gets no token here is recorded all the same, as demand.
        """
        balance = self._balances[workspace]
        balance.uses_ms.append(now_ms)
        return balance.spend(now_ms)

    def find_refusal_ms(
        self, workspace: str, *, rate_per_s: float, now_ms: float
    ) -> float | None:
        """Returns the retry time that the last refusal gives; None if it has ended."""
        balance = self._balances[workspace]
        if balance.refused_until_ms <= now_ms:
            return None
        retry_after_ms = balance.retry_at_ms - now_ms
        # The next caller should retry later, as tokens accrue one after the other.
        if retry_after_ms < RETRY_LIMIT_MS:
            balance.retry_at_ms += MS_PER_S / rate_per_s
        return min(RETRY_LIMIT_MS, retry_after_ms)

    def record_refusal(
        self, workspace: str, *, retry_after_ms: float, now_ms: float
    ) -> None:
        """Records that neither owner nor stand-in granted a token."""
        balance = self._balances[workspace]
        balance.refused_until_ms = now_ms + min(REFUSAL_MS, retry_after_ms)
        balance.retry_at_ms = now_ms + retry_after_ms

    def plan_ahead(self, workspace: str, now_ms: float) -> int:
        """Returns how many tokens to request now for later requests; mostly 0 or 1.

        At an entry with several requests within the life of a token these are as many
        as in that time. At one that saw an earlier request within `HELD_MS` it is one,
        which the owner may let the entry hold for as long.
        """
        balance = self._balances[workspace]
        self._drop_unanswered(balance, now_ms)
        if any(self._open[request_id].ahead for request_id in balance.open_ids):
            return 0
        balance.drop_expired(now_ms)
        recent = sum(used_ms > now_ms - self._lapse_ms for used_ms in balance.uses_ms)
        if recent >= BUSY_REQUESTS:
            wanted = recent - balance.count_held()
            # Asks again only when half is spent, which halves the messages.
            return max(2, wanted) if 2 * wanted >= recent else 0
        seen_lately = (
            len(balance.uses_ms) > 1 and balance.uses_ms[-2] > now_ms - HELD_MS
        )
        return int(seen_lately and not balance.held)

    def open_request(
        self, workspace: str, *, ahead: bool, target: str, now_ms: float
    ) -> int:
        """Returns the id of a new request for tokens."""
        balance = self._balances[workspace]
        self._drop_unanswered(balance, now_ms)
        self._last_id = next(self._ids)
        self._open[self._last_id] = OpenRequest(
            workspace=workspace, asked_ms=now_ms, ahead=ahead, target=target
        )
        balance.open_ids.add(self._last_id)
        return self._last_id

    def find_closed_id(self, workspace: str) -> int:
        """Returns the `closed_id` of a request that is sent now."""
        return self._balances[workspace].find_closed_id(self._last_id)

    def close_request(self, request_id: int) -> OpenRequest | None:
        """Ends a request, so that a later grant for it is dropped.

        Returns:
            The request, or None if it is not open.
        """
        found = self._open.pop(request_id, None)
        if found is not None:
            self._balances[found.workspace].open_ids.discard(request_id)
        return found

    def record_grant(self, grant: QuotaGrant, now_ms: float, *, awaited: bool) -> bool:
        """Takes over the tokens of a grant, unless they have expired.

        Args:
            grant: The answer to one of this entry's requests.
            now_ms: The current time.
            awaited: Whether a caller still waits for it, and spends one token now.

        Returns:
            Whether that caller's request may run.
        """
        found = self.close_request(grant.id)
        if found is None or not grant.tokens:
            return False
        until_ms = found.asked_ms + grant.lapse_ms
        if until_ms <= now_ms:
            return False
        tokens = grant.tokens - awaited
        if tokens:
            self._balances[found.workspace].held.append(
                HeldTokens(request_id=grant.id, tokens=tokens, until_ms=until_ms)
            )
        return awaited

    def count_held(self, now_ms: float) -> int:
        """Returns the number of tokens held for all workspaces."""
        for balance in self._balances.values():
            balance.drop_expired(now_ms)
        return sum(balance.count_held() for balance in self._balances.values())

    def _drop_unanswered(self, balance: Balance, now_ms: float) -> None:
        """Closes the requests whose answer was lost or would be too late."""
        before_ms = now_ms - self._lapse_ms
        for request_id in list(balance.open_ids):
            if self._open[request_id].asked_ms <= before_ms:
                self.close_request(request_id)
