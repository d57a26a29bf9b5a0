"""The only source of time: monotonic and wall milliseconds, and timed waits."""

import threading
import time

MS_PER_S = 1000.0


class Clock:
    """Reads time and waits, in milliseconds."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Returns monotonic time in milliseconds, for deadlines and durations."""
        return time.monotonic() * MS_PER_S

    def boot_ms(self) -> float:
        """Returns monotonic milliseconds that also count while the machine sleeps.

        For times that are compared with those of another machine.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch, for time stamps and key ages."""
        return int(time.time() * MS_PER_S)

    def sleep_ms(self, duration_ms: float) -> None:
        """Blocks the calling thread for `duration_ms`."""
        time.sleep(max(0.0, duration_ms) / MS_PER_S)

    def wait(self, condition: threading.Condition, timeout_ms: float | None) -> bool:
        """Waits on a condition whose lock the calling thread holds.

        Args:
            condition: The condition.
            timeout_ms: Longest wait in milliseconds; None waits without a limit.

        Returns:
            False if the timeout passed without a notification.
        """
        if timeout_ms is None:
            return condition.wait()
        return condition.wait(max(0.0, timeout_ms) / MS_PER_S)


class ManualClock(Clock):
    """A clock that moves only when a test advances it."""

    __slots__ = ("_now_ms", "_wall_offset_ms", "_waiters", "_lock", "_advanced")

    def __init__(
        self, *, start_ms: float = 0.0, wall_start_ms: int = 1_700_000_000_000
    ):
        self._now_ms = start_ms
        self._wall_offset_ms = wall_start_ms - start_ms
        self._waiters: list[threading.Condition] = []
        self._lock = threading.Lock()
        self._advanced = threading.Condition(self._lock)

    def now_ms(self) -> float:
        """Returns the time that the test has set."""
        return self._now_ms

    def boot_ms(self) -> float:
        """Returns the time that the test has set."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the manual time with a fixed offset, in ms since the Unix epoch."""
        return int(self._now_ms + self._wall_offset_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        """Blocks until the test has advanced the clock by `duration_ms`."""
        deadline_ms = self._now_ms + duration_ms
        with self._advanced:
            while self._now_ms < deadline_ms:
                self._advanced.wait()

    def wait(self, condition: threading.Condition, timeout_ms: float | None) -> bool:
        """Waits until notified or until the test advances past the timeout."""
        deadline_ms = None if timeout_ms is None else self._now_ms + timeout_ms
        with self._lock:
            if deadline_ms is not None and self._now_ms >= deadline_ms:
                return False
            self._waiters.append(condition)
        condition.wait()
        with self._lock:
            self._waiters.remove(condition)
        return deadline_ms is None or self._now_ms < deadline_ms

    def advance(self, duration_ms: float) -> None:
        """Moves time forward and wakes each waiting thread to check its timeout."""
        with self._advanced:
            self._now_ms += duration_ms
            self._advanced.notify_all()
            waiters = list(self._waiters)
        for condition in waiters:
            with condition:
                condition.notify_all()
