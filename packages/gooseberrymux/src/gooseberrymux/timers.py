"""Calls that are due at a moment, made by one thread."""

import heapq
import itertools
import threading
from collections.abc import Callable

from gooseberrymux import journal, metrics
from gooseberrymux.kernel import Kernel, service

# A new timer that is due this much before the next wake-up wakes the thread; later
# ones wait for it, which saves most wake-ups.
WAKE_SLACK_MS = 2.0


@service("timers")
class Timers:
    """A heap of due calls and the thread that makes them."""

    __slots__ = ("_kernel", "_heap", "_sequence", "_changed", "_wake_ms", "_stopping")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._changed = threading.Condition()
        self._wake_ms = float("inf")
        self._stopping = False

    def start(self) -> None:
        """Starts the thread."""
        self._kernel.spawn(name="timers", target=self._run)

    def drain(self, deadline_ms: float) -> None:
        """Keeps making calls: requests under way depend on them."""

    def stop(self) -> None:
        """Ends the thread."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def call_at(self, due_ms: float, action: Callable[[], None]) -> None:
        """Has `action` called at or soon after a moment; it must not block.

        Args:
            due_ms: Monotonic time in milliseconds.
            action: What to call. It decides by itself whether it is still wanted, as
                there is no way to cancel it.
        """
        with self._changed:
            heapq.heappush(self._heap, (due_ms, next(self._sequence), action))
            if due_ms < self._wake_ms - WAKE_SLACK_MS:
                self._changed.notify()

    def _run(self) -> None:
        while (due := self._take_due()) is not None:
            for action in due:
                try:
                    action()
                except Exception as error:
                    journal.record_fault(step="timers.call", peer="", error=error)
                    metrics.faults_total.inc({"step": "timers.call"})

    def _take_due(self) -> list[Callable[[], None]] | None:
        with self._changed:
            while not self._stopping:
                now_ms = self._kernel.clock.now_ms()
                due = []
                while self._heap and self._heap[0][0] <= now_ms:
                    due.append(heapq.heappop(self._heap)[2])
                if due:
                    return due
                self._wake_ms = self._heap[0][0] if self._heap else float("inf")
                left_ms = self._wake_ms - now_ms if self._heap else None
                self._kernel.clock.wait(self._changed, left_ms)
            return None
