"""Limit on the memory that unfinished replies of upstreams take in one instance.

Each reply has a size limit of its own. An upstream in trouble may send without end on
all of its connections at once, so their sum is limited too.
"""

import threading

from gooseberrymux.kernel import Kernel, service


@service("reply_memory")
class ReplyMemory:
    """Counts the bytes that unfinished replies have reserved. Thread-safe."""

    __slots__ = ("_limit_bytes", "_reserved_bytes", "_lock")

    def __init__(self, *, kernel: Kernel):
        self._limit_bytes = kernel.settings.instance.reply_memory_bytes
        self._reserved_bytes = 0
        self._lock = threading.Lock()

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved now."""
        return self._reserved_bytes

    def try_reserve(self, count: int) -> bool:
        """Reserves `count` bytes; returns False if there are not so many left."""
        with self._lock:
            if self._reserved_bytes + count > self._limit_bytes:
                return False
            self._reserved_bytes += count
            return True

    def release(self, count: int) -> None:
        """Gives back `count` reserved bytes."""
        with self._lock:
            self._reserved_bytes -= count
