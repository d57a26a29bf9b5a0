"""Change counter on which a service's threads wait for a change or the stop."""

import threading

from gooseberrymux.clock import Clock


class ChangeSignal:
    """Counts changes and wakes the threads that wait for the next one.

    Attributes:
        count: Number of changes so far.
        is_stopped: Whether waiting threads shall end.
    """

    __slots__ = ("count", "is_stopped", "_clock", "_changed")

    def __init__(self, *, clock: Clock):
        self.count = 0
        self.is_stopped = False
        self._clock = clock
        self._changed = threading.Condition()

    def notify(self) -> None:
        """Counts a change and wakes all waiting threads."""
        with self._changed:
            self.count += 1
            self._changed.notify_all()

    def stop(self) -> None:
        """Ends all current and later waits at once."""
        with self._changed:
            self.is_stopped = True
            self._changed.notify_all()

    def wait(self, duration_ms: float, *, seen_count: int | None = None) -> None:
        """Blocks until `duration_ms` passed, `stop`, or a change that was not yet seen.

        Args:
            duration_ms: Longest wait in milliseconds.
            seen_count: The `count` that the thread has handled; any other count ends
                the wait. None waits for the time or the stop only.
        """
        deadline_ms = self._clock.now_ms() + duration_ms
        with self._changed:
            while not self.is_stopped:
                remaining_ms = deadline_ms - self._clock.now_ms()
                if remaining_ms <= 0 or seen_count not in (None, self.count):
                    return
                self._clock.wait(self._changed, remaining_ms)
