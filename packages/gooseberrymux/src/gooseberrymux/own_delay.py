"""How late this instance runs itself, and which requests it therefore refuses.

On a machine without processor time to spare, threads run long after they are due. A
request that passes several such threads on its way can't be answered in time, and the
work that is done for it delays all others.
"""

import threading

from gooseberrymux.clock import Clock
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Rank, Refusal, RunState

# The estimate follows a rising delay at once and halves in this time without new ones.
DELAY_HALF_LIFE_MS = 100.0
# Threads that a request passes, here and at its owners, each of which may run late. The
# lower ranks are refused at a smaller delay, so that what they would use is left to the
# higher ones.
STAGES_BY_RANK = {Rank.URGENT: 4.0, Rank.STANDARD: 6.0, Rank.PATIENT: 8.0}
MIN_RETRY_AFTER_MS = 100.0


class DelayEstimate:
    """Recent delay between the time that threads are due and the time that they run.

    Only what two samples in a row show counts: a machine that was suspended for a while
    makes one thread very late and is not short of processor time.

    Not thread-safe: `OwnDelay` holds its lock around each call.
    """

    __slots__ = ("_delay_ms", "_updated_ms", "_last_sample_ms")

    def __init__(self):
        self._delay_ms = 0.0
        self._updated_ms = 0.0
        self._last_sample_ms = 0.0

    def record(self, delay_ms: float, now_ms: float) -> None:
        """Records how late a thread ran, in milliseconds."""
        confirmed_ms = min(delay_ms, self._last_sample_ms)
        self._last_sample_ms = delay_ms
        self._delay_ms = max(confirmed_ms, self.get(now_ms))
        self._updated_ms = now_ms

    def get(self, now_ms: float) -> float:
        """Returns the estimated delay in milliseconds."""
        age_ms = max(0.0, now_ms - self._updated_ms)
        return self._delay_ms * 0.5 ** (age_ms / DELAY_HALF_LIFE_MS)


@service("own_delay")
class OwnDelay:
    """Collects how late threads run and refuses requests that can't be in time."""

    __slots__ = ("_clock", "_estimate", "_lock")

    def __init__(self, *, kernel: Kernel):
        self._clock: Clock = kernel.clock
        self._estimate = DelayEstimate()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Does nothing: the service has no threads."""

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: the service has no requests."""

    def stop(self) -> None:
        """Does nothing: the service has no threads."""

    def describe(self) -> dict:
        """Returns the estimated delay for the status."""
        return {"delay_ms": round(self.get_ms(), 1)}

    def record(self, delay_ms: float) -> None:
        """Records how many milliseconds after it was due a thread ran."""
        with self._lock:
            self._estimate.record(max(0.0, delay_ms), self._clock.now_ms())

    def get_ms(self) -> float:
        """Returns the estimated delay in milliseconds."""
        with self._lock:
            return self._estimate.get(self._clock.now_ms())

    def assess(self, rank: Rank, remaining_ms: float) -> Refusal | None:
        """Returns a refusal for a request that can't be answered in time, or None.

        Args:
            rank: Rank of the request.
            remaining_ms: Milliseconds until its deadline.
        """
        delay_ms = self.get_ms()
        if delay_ms * STAGES_BY_RANK[rank] < remaining_ms:
            return None
        return Refusal(
            code="overloaded",
            message=f"this instance runs {delay_ms:.0f} ms late, "
            f"and {remaining_ms:.0f} ms are left",
            run_state=RunState.NOT_RUN,
            step="own_delay.assess",
            # The backlog behind the delay takes about as long to be worked off.
            retry_after_ms=int(max(MIN_RETRY_AFTER_MS, delay_ms)),
        )
