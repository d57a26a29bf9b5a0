"""Weighted choice among the services of a split, exact over any run of requests."""

import threading

from gooseberrymux.routes import SplitTarget

# Splits whose state is kept; a change of the weights begins a new one.
SPLITS_LIMIT = 1_024


class Splitter:
    """Smooth weighted round robin: each part gets its share of every few requests.

    A part that is short of room keeps its share: what does not fit there is refused and
    not moved to another part.
    """

    __slots__ = ("_credits", "_lock")

    def __init__(self):
        self._credits: dict[tuple[str, SplitTarget], list[float]] = {}
        self._lock = threading.Lock()

    def choose(self, *, route: str, target: SplitTarget) -> str:
        """Returns the service that the next request of a route goes to."""
        total = sum(part.weight for part in target.parts)
        with self._lock:
            credit = self._open(route, target)
            for number, part in enumerate(target.parts):
                credit[number] += part.weight
            chosen = max(range(len(credit)), key=credit.__getitem__)
            credit[chosen] -= total
            return target.parts[chosen].service

    def _open(self, route: str, target: SplitTarget) -> list[float]:
        key = (route, target)
        found = self._credits.get(key)
        if found is None:
            if len(self._credits) >= SPLITS_LIMIT:
                del self._credits[next(iter(self._credits))]
            found = self._credits[key] = [0.0] * len(target.parts)
        return found
