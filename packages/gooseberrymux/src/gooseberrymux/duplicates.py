"""Detection of messages that are delivered more than once, by their ids."""

import collections
import threading


class RecentIds:
    """The most recent ids, up to `limit`; the oldest is dropped first. Thread-safe."""

    __slots__ = ("_ids", "_limit", "_lock")

    def __init__(self, *, limit: int):
        self._ids: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._limit = limit
        self._lock = threading.Lock()

    def add_if_new(self, new_id: str) -> bool:
        """Adds an id; returns False if it is among the recent ids already."""
        with self._lock:
            if new_id in self._ids:
                return False
            self._ids[new_id] = None
            if len(self._ids) > self._limit:
                self._ids.popitem(last=False)
            return True
