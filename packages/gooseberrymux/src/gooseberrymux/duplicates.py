"""Ids seen lately, to drop what is delivered twice."""

import collections
import threading


class RecentIds:
    """The last ids that were added, up to a limit."""

    __slots__ = ("_ids", "_limit", "_lock")

    def __init__(self, *, limit: int):
        self._ids: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._limit = limit
        self._lock = threading.Lock()

    def add(self, new_id: str) -> bool:
        """Adds an id; returns False if it was there already."""
        with self._lock:
            if new_id in self._ids:
                return False
            self._ids[new_id] = None
            if len(self._ids) > self._limit:
                self._ids.popitem(last=False)
            return True
