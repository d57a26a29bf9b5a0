"""Hedge and retry budgets of each rank, as a share of its first sub-requests."""

import threading

from gooseberrymux.records import Rank
from gooseberrymux.settings import RanksSettings

# Hedges and retries of a rank together never exceed this share of its first
# sub-requests (docs/design.md 1.3), whatever the two shares add up to.
EXTRA_SHARE_LIMIT = 0.1
# Lets an instance with little traffic retry the shards of one query.
BURST_TOKENS = 10.0


class TokenBucket:
    """Tokens earned as a share of events, up to a bound.

    Not thread-safe: `Budgets` holds its lock around each call.
    """

    __slots__ = ("_share", "tokens")

    def __init__(self, *, share: float):
        self._share = share
        self.tokens = BURST_TOKENS if share > 0 else 0.0

    def earn(self) -> None:
        """Adds the share of one event."""
        self.tokens = min(BURST_TOKENS, self.tokens + self._share)

    def spend(self) -> None:
        """Takes one token."""
        self.tokens -= 1.0


class RankBudget:
    """The buckets of one rank."""

    __slots__ = ("retries", "hedges", "extra")

    def __init__(self, *, retry_share: float, hedge_share: float):
        self.retries = TokenBucket(share=retry_share)
        self.hedges = TokenBucket(share=hedge_share)
        self.extra = TokenBucket(
            share=min(EXTRA_SHARE_LIMIT, retry_share + hedge_share)
        )


class Budgets:
    """The budgets of this instance; each request draws on its own rank's only."""

    __slots__ = ("_ranks", "_lock")

    def __init__(self, *, settings: RanksSettings):
        self._ranks = {
            rank: RankBudget(
                retry_share=getattr(settings, rank.value).retry_share,
                hedge_share=getattr(settings, rank.value).hedge_share,
            )
            for rank in Rank
        }
        self._lock = threading.Lock()

    def count_first(self, rank: Rank) -> None:
        """Earns for one first sub-request."""
        budget = self._ranks[rank]
        with self._lock:
            budget.retries.earn()
            budget.hedges.earn()
            budget.extra.earn()

    def take_retry(self, rank: Rank) -> bool:
        """Spends a token on a retry; returns False if the budget is used up."""
        return self._take(self._ranks[rank].retries, self._ranks[rank].extra)

    def take_hedge(self, rank: Rank) -> bool:
        """Spends a token on a hedge; returns False if the budget is used up."""
        return self._take(self._ranks[rank].hedges, self._ranks[rank].extra)

    def _take(self, own: TokenBucket, extra: TokenBucket) -> bool:
        with self._lock:
            if own.tokens < 1.0 or extra.tokens < 1.0:
                return False
            own.spend()
            extra.spend()
            return True
