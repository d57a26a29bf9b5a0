"""Admission control: limits the requests in progress of each rank."""

import contextlib
import threading
from collections.abc import Iterator

from result import Err, Ok, Result

from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Rank, Refusal, RunState

# Weight of the newest request in the moving average of a rank's request durations.
DURATION_EWMA_WEIGHT = 0.1
# A caller that retries sooner would find the same requests still in progress.
MIN_RETRY_AFTER_MS = 100
# The window of a rank is multiplied by this factor after a request whose sub-requests
# waited too long or were refused for load, and otherwise grows additively, as in TCP's
# congestion control. Without the decrease an overloaded tier starts every query and
# completes none.
DECREASE_FACTOR = 0.8
# A window decreases at most once in this time, so that requests that were admitted
# before a decrease do not cause another.
DECREASE_INTERVAL_MS = 200.0
MIN_WINDOW_REQUESTS = 2.0


class RankLimiter:
    """Requests in progress of one rank, and their limit.

    Attributes:
        limit: Configured limit of requests in progress.
        window: Adaptive limit, at most `limit`.
        in_progress: Number of requests in progress.
        average_duration_ms: Moving average of the request durations.
        last_decrease_ms: Clock time of the last decrease of `window`.

    Not thread-safe: `Admission` holds its lock around each change.
    """

    __slots__ = (
        "limit",
        "window",
        "in_progress",
        "average_duration_ms",
        "last_decrease_ms",
    )

    def __init__(self, *, limit: int):
        self.limit = limit
        self.window = float(limit)
        self.in_progress = 0
        self.average_duration_ms = 0.0
        self.last_decrease_ms = float("-inf")

    @property
    def current_limit(self) -> int:
        """Number of requests that may be in progress now."""
        return min(self.limit, int(self.window))


@service("admission")
class Admission:
    """Admits callers' requests up to a limit for each rank and refuses the others.

    A refused request has not run. Each rank has its own limit, and the sum of the
    limits leaves API threads free, so that requests over the limit are read and refused
    at once and a flood of one rank does not use up the threads of the others.
    """

    __slots__ = ("_clock", "_limiters", "_lock")

    def __init__(self, *, kernel: Kernel):
        ranks = kernel.settings.ranks
        self._clock = kernel.clock
        self._limiters = {
            rank: RankLimiter(limit=getattr(ranks, rank.value).request_limit)
            for rank in Rank
        }
        self._lock = threading.Lock()

    def start(self) -> None:
        """Does nothing: admission has no threads."""

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: the API waits for its own requests."""

    def stop(self) -> None:
        """Does nothing: admission has no threads."""

    def describe(self) -> dict:
        """Returns the requests in progress and the current limit of each rank."""
        return {
            rank.value: {
                "in_progress": limiter.in_progress,
                "limit": limiter.current_limit,
            }
            for rank, limiter in self._limiters.items()
        }

    def enter(self, rank: Rank) -> Result[None, Refusal]:
        """Admits a request or refuses it; each `Ok` must be followed by one `leave`."""
        limiter = self._limiters[rank]
        with self._lock:
            limit = limiter.current_limit
            if limiter.in_progress < limit:
                limiter.in_progress += 1
                return Ok(None)
            # With `limit` requests in progress, one ends in each interval of this
            # length on average.
            retry_ms = max(MIN_RETRY_AFTER_MS, limiter.average_duration_ms / limit)
        return Err(
            Refusal(
                code="overloaded",
                message=f"{limit} {rank.value} requests are in progress, "
                "which is the limit",
                run_state=RunState.NOT_RUN,
                step="admission.enter",
                retry_after_ms=int(retry_ms),
            )
        )

    def leave(self, rank: Rank, *, duration_ms: float) -> None:
        """Records the end of an admitted request that took `duration_ms`."""
        limiter = self._limiters[rank]
        with self._lock:
            limiter.in_progress -= 1
            limiter.average_duration_ms += DURATION_EWMA_WEIGHT * (
                duration_ms - limiter.average_duration_ms
            )

    def adapt_limit(self, rank: Rank, *, overloaded: bool) -> None:
        """Raises or lowers the current limit of a rank, up to the configured limit.

        Args:
            rank: Rank of the request that gives the signal.
            overloaded: Whether its sub-requests waited too long or were refused for
                load.
        """
        limiter = self._limiters[rank]
        with self._lock:
            if not overloaded:
                limiter.window = min(
                    limiter.limit, limiter.window + 1.0 / limiter.window
                )
                return
            now_ms = self._clock.now_ms()
            if now_ms - limiter.last_decrease_ms < DECREASE_INTERVAL_MS:
                return
            limiter.last_decrease_ms = now_ms
            # Decreases from the number of requests in progress if that is below the
            # window.
            in_use = min(limiter.window, limiter.in_progress)
            limiter.window = max(MIN_WINDOW_REQUESTS, in_use * DECREASE_FACTOR)

    @contextlib.contextmanager
    def admit(self, rank: Rank) -> Iterator[Refusal | None]:
        """Admits a request for the duration of a `with` block, or refuses it.

        The request leaves at the end of the block, also after an exception.

        Yields:
            None, or the refusal if the request was not admitted; the block runs in
            both cases.
        """
        match self.enter(rank):
            case Err(refusal):
                yield refusal
            case Ok(_):
                started_ms = self._clock.now_ms()
                try:
                    yield None
                finally:
                    self.leave(rank, duration_ms=self._clock.now_ms() - started_ms)
