"""Delays between retries: they double up to a limit, with full jitter."""

import random

FIRST_DELAY_MS = 50.0
LONGEST_DELAY_MS = 3_000.0


class Backoff:
    """The delays of one series of retries.

    Jitter is drawn from the whole interval so that instances that failed together
    do not come back together.
    """

    __slots__ = ("_first_ms", "_longest_ms", "_limit_ms", "_random")

    def __init__(
        self,
        *,
        first_ms: float = FIRST_DELAY_MS,
        longest_ms: float = LONGEST_DELAY_MS,
        generator: random.Random | None = None,
    ):
        self._first_ms = first_ms
        self._longest_ms = longest_ms
        self._limit_ms = first_ms
        self._random = generator or random.Random()

    def draw_ms(self) -> float:
        """Returns the next delay in milliseconds; never below a tenth of its limit."""
        limit_ms = self._limit_ms
        self._limit_ms = min(self._longest_ms, limit_ms * 2)
        return self._random.uniform(limit_ms / 10, limit_ms)

    def reset(self) -> None:
        """Starts again from the shortest delay, after a success."""
        self._limit_ms = self._first_ms
