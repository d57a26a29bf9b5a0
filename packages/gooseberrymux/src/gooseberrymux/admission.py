"""Limits at the entry: requests in progress for each rank."""

import contextlib
import threading
from collections.abc import Iterator

from result import Err, Ok, Result

from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Rank, Refusal, RunState

# Weight of the newest request in the average duration of a rank.
DURATION_WEIGHT = 0.1
# A caller that retries sooner meets the same requests in progress.
RETRY_AFTER_MINIMUM_MS = 100
# After requests whose sub-requests waited too long or were refused for load, fewer are
# admitted; without this, an overloaded tier starts every query and completes none.
# Additive increase and multiplicative decrease, as in TCP's congestion control.
DECREASE_FACTOR = 0.8
# Requests that were admitted before a decrease do not cause the next one.
DECREASE_INTERVAL_MS = 200.0
SMALLEST_WINDOW = 2.0


class RankGate:
    """Requests of one rank in progress."""

    __slots__ = ("limit", "window", "in_progress", "duration_ms", "decreased_ms")

    def __init__(self, *, limit: int):
        self.limit = limit
        self.window = float(limit)
        self.in_progress = 0
        self.duration_ms = 0.0
        self.decreased_ms = float("-inf")

    @property
    def admitted(self) -> int:
        """Requests that may be in progress now."""
        return min(self.limit, int(self.window))


@service("admission")
class Admission:
    """Admits a caller's request of a rank, or refuses it as not run.

    Each rank has a limit of its own and the limits together leave API threads free,
    so that a flood of one rank is read and refused at once and never takes the
    threads of another.
    """

    __slots__ = ("_clock", "_gates", "_lock")

    def __init__(self, *, kernel: Kernel):
        ranks = kernel.settings.ranks
        self._clock = kernel.clock
        self._gates = {
            rank: RankGate(limit=getattr(ranks, rank.value).request_limit)
            for rank in Rank
        }
        self._lock = threading.Lock()

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the API waits for its requests."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the requests in progress and the limit now, by rank."""
        return {
            rank.value: {"in_progress": gate.in_progress, "limit": gate.admitted}
            for rank, gate in self._gates.items()
        }

    def enter(self, rank: Rank) -> Result[None, Refusal]:
        """Counts a request in, or refuses it; each `Ok` needs one `leave`."""
        gate = self._gates[rank]
        with self._lock:
            limit = gate.admitted
            if gate.in_progress < limit:
                gate.in_progress += 1
                return Ok(None)
            # With `limit` requests in progress one ends in each such interval.
            retry_ms = max(RETRY_AFTER_MINIMUM_MS, gate.duration_ms / limit)
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
        """Counts a request out that took `duration_ms`."""
        gate = self._gates[rank]
        with self._lock:
            gate.in_progress -= 1
            gate.duration_ms += DURATION_WEIGHT * (duration_ms - gate.duration_ms)

    def note_load(self, rank: Rank, *, overloaded: bool) -> None:
        """Adapts the limit of a rank, up to the configured one.

        Args:
            rank: Rank of a request that has ended.
            overloaded: Whether the queues that it met were too long for it.
        """
        gate = self._gates[rank]
        with self._lock:
            if not overloaded:
                gate.window = min(gate.limit, gate.window + 1.0 / gate.window)
                return
            now_ms = self._clock.now_ms()
            if now_ms - gate.decreased_ms < DECREASE_INTERVAL_MS:
                return
            gate.decreased_ms = now_ms
            # From what was in progress, if that was less than the limit.
            in_use = min(gate.window, gate.in_progress)
            gate.window = max(SMALLEST_WINDOW, in_use * DECREASE_FACTOR)

    @contextlib.contextmanager
    def hold(self, rank: Rank) -> Iterator[Refusal | None]:
        """Counts a request in for the length of a `with` block.

        Yields:
            None, or the refusal if the request was not admitted.
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
