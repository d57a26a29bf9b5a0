"""Waits of a service's threads: for a time, for a change, or for the stop."""

import threading

from gooseberrymux.clock import Clock


class ChangeSignal:
    """Counts changes and wakes the threads that wait for the next one.

    Attributes:
        count: Changes so far.
        is_stopped: Whether the threads are to end.
    """

    __slots__ = ("count", "is_stopped", "_clock", "_changed")

    def __init__(self, *, clock: Clock):
        self.count = 0
        self.is_stopped = False
        self._clock = clock
        self._changed = threading.Condition()

    def note(self) -> None:
        """Notes a change."""
        with self._changed:
            self.count += 1
            self._changed.notify_all()

    def stop(self) -> None:
        """Ends all waits."""
        with self._changed:
            self.is_stopped = True
            self._changed.notify_all()

    def pause(self, duration_ms: float, *, wake_after: int | None = None) -> None:
        """Waits, at most until there are more changes than `wake_after`."""
        until_ms = self._clock.now_ms() + duration_ms
        with self._changed:
            while not self.is_stopped:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0 or wake_after not in (None, self.count):
                    return
                self._clock.wait(self._changed, left_ms)
