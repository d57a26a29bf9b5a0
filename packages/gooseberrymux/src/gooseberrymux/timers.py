"""Runs callbacks at given times, in one thread."""

import heapq
import itertools
import threading
from collections.abc import Callable

from gooseberrymux import journal, metrics
from gooseberrymux.kernel import Kernel, service

# A new timer wakes the thread only if it is due more than this before the next planned
# wake-up. Otherwise it runs at that wake-up, late by up to this, which saves most
# wake-ups.
WAKE_SLACK_MS = 2.0


@service("timers")
class Timers:
    """A heap of callbacks by due time, and the thread that runs them."""

    __slots__ = (
        "_kernel",
        "_heap",
        "_sequence",
        "_changed",
        "_next_wake_ms",
        "_stopping",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._changed = threading.Condition()
        self._next_wake_ms = float("inf")
        self._stopping = False

    def start(self) -> None:
        """Starts the thread."""
        self._kernel.spawn(name="timers", target=self._run)

    def drain(self, deadline_ms: float) -> None:
        """Keeps running callbacks, as requests in progress depend on them."""

    def stop(self) -> None:
        """Ends the thread."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def call_at(self, due_ms: float, action: Callable[[], None]) -> None:
        """Runs `action` in the timer thread at or soon after `due_ms`.

        Args:
            due_ms: Monotonic time in milliseconds.
            action: The callback. It must not block, as it would delay all others. It
                can't be cancelled, so it checks by itself whether it is still needed.
                An exception is logged and counted, and other callbacks still run.
        """
        with self._changed:
            heapq.heappush(self._heap, (due_ms, next(self._sequence), action))
            if due_ms < self._next_wake_ms - WAKE_SLACK_MS:
                self._changed.notify()

    def _run(self) -> None:
        while (due := self._wait_for_due()) is not None:
            for action in due:
                try:
                    action()
                except Exception as error:
                    journal.record_fault(step="timers.call", peer="", error=error)
                    metrics.faults_total.inc({"step": "timers.call"})

    def _wait_for_due(self) -> list[Callable[[], None]] | None:
        with self._changed:
            while not self._stopping:
                now_ms = self._kernel.clock.now_ms()
                due = []
                while self._heap and self._heap[0][0] <= now_ms:
                    due.append(heapq.heappop(self._heap)[2])
                if due:
                    return due
                self._next_wake_ms = self._heap[0][0] if self._heap else float("inf")
                wait_ms = self._next_wake_ms - now_ms if self._heap else None
                self._kernel.clock.wait(self._changed, wait_ms)
            return None
