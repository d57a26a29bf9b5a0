"""Limits the connections to the peer port that have not sent a valid frame yet.

A frame is held in memory while it arrives, so senders that are not peers could exhaust
the memory with frames that never end.
"""

import threading
from typing import Protocol


class Pipe(Protocol):
    """The part of `pynng.Pipe` that is used here."""

    id: int

    def close(self) -> None:
        """Closes the connection."""


class UnprovenPipes:
    """Connections in order of arrival, until the first valid frame. Thread-safe.

    Args:
        limit: Number of such connections; the oldest is closed for a newer one.
    """

    __slots__ = ("_limit", "_pipes", "_lock")

    def __init__(self, *, limit: int):
        self._limit = limit
        self._pipes: dict[int, Pipe] = {}
        self._lock = threading.Lock()

    def add(self, pipe: Pipe) -> Pipe | None:
        """Adds a new connection; returns the one that has to be closed, if any."""
        with self._lock:
            self._pipes[pipe.id] = pipe
            if len(self._pipes) <= self._limit:
                return None
            return self._pipes.pop(next(iter(self._pipes)))

    def discard(self, pipe: Pipe | None) -> None:
        """Removes a connection that sent a valid frame, or that ended."""
        if pipe is not None and self._pipes:
            with self._lock:
                self._pipes.pop(pipe.id, None)
