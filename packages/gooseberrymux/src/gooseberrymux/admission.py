"""Limits at the entry: requests in progress for each rank."""

import contextlib
import threading
from collections.abc import Iterator

from result import Err, Ok, Result

from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Rank, Refusal, RunState
from gooseberrymux.settings import SettingsError

# Weight of the newest request in the average duration of a rank.
DURATION_WEIGHT = 0.1
# A caller that retries sooner meets the same requests in progress.
RETRY_AFTER_MINIMUM_MS = 100


class RankGate:
    """Requests of one rank in progress."""

    __slots__ = ("limit", "in_progress", "duration_ms")

    def __init__(self, *, limit: int):
        self.limit = limit
        self.in_progress = 0
        self.duration_ms = 0.0


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
        total = sum(gate.limit for gate in self._gates.values())
        threads = kernel.settings.api.threads
        if total >= threads:
            raise SettingsError(
                step="settings.check",
                message=f"api.threads: {threads}: expected more than the ranks' "
                f"request_limit together ({total}), so that requests over the limit "
                "can be read and refused",
            )

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the API waits for its requests."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the requests in progress by rank."""
        return {rank.value: gate.in_progress for rank, gate in self._gates.items()}

    def enter(self, rank: Rank) -> Result[None, Refusal]:
        """Counts a request in, or refuses it; each `Ok` needs one `leave`."""
        gate = self._gates[rank]
        with self._lock:
            if gate.in_progress < gate.limit:
                gate.in_progress += 1
                return Ok(None)
            # With `limit` requests in progress one ends in each such interval.
            retry_ms = max(RETRY_AFTER_MINIMUM_MS, gate.duration_ms / gate.limit)
        return Err(
            Refusal(
                code="overloaded",
                message=f"{gate.limit} {rank.value} requests are in progress, "
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
