"""Exponential backoff with jitter for the delays between retries."""

import random

INITIAL_DELAY_MS = 50.0
MAX_DELAY_MS = 3_000.0


class Backoff:
    """The delays of one series of retries; not thread-safe.

    The limit of the delay doubles with each retry, up to `max_ms`. Each delay is drawn
    from nearly the whole interval below its limit, so that instances that failed
    together don't retry together.
    """

    __slots__ = ("_initial_ms", "_max_ms", "_limit_ms", "_random")

    def __init__(
        self,
        *,
        initial_ms: float = INITIAL_DELAY_MS,
        max_ms: float = MAX_DELAY_MS,
        generator: random.Random | None = None,
    ):
        self._initial_ms = initial_ms
        self._max_ms = max_ms
        self._limit_ms = initial_ms
        self._random = generator or random.Random()

    def draw_delay_ms(self) -> float:
        """Returns the next delay, between a tenth of the limit and the limit."""
        limit_ms = self._limit_ms
        self._limit_ms = min(self._max_ms, limit_ms * 2)
        return self._random.uniform(limit_ms / 10, limit_ms)

    def reset(self) -> None:
        """Returns to the initial limit; call it after a success."""
        self._limit_ms = self._initial_ms
