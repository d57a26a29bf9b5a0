"""Hedge and retry budgets of each rank, as a share of its first sub-requests."""

import collections
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


class WindowBudget:
    """Extra sends to one service, bounded in every window of a fixed length.

    In any window the extra sends are at most a share of the first sends plus a slack.
    Each owner counts for itself: the share of what several owners see adds up to the
    share of the whole, and the slack of each is a part of the whole slack.

    Not thread-safe: the pool that owns it holds its lock around each call.
    """

    __slots__ = ("_share", "_slack", "_window_ms", "_firsts", "_extras")

    def __init__(self, *, share: float, slack: float, window_ms: float):
        self._share = share
        self._slack = slack
        self._window_ms = window_ms
        self._firsts: collections.deque[float] = collections.deque()
        self._extras: collections.deque[float] = collections.deque()

    def count_first(self, now_ms: float) -> None:
        """Notes the first send of a request."""
        self._firsts.append(now_ms)

    def take_extra(self, now_ms: float) -> bool:
        """Notes an extra send; returns False if the budget is used up."""
        self._forget(now_ms - self._window_ms)
        allowed = self._share * len(self._firsts) + self._slack
        if len(self._extras) + 1 > allowed:
            return False
        self._extras.append(now_ms)
        return True

    def _forget(self, before_ms: float) -> None:
        for times in (self._firsts, self._extras):
            while times and times[0] < before_ms:
                times.popleft()
