"""Distributes the requests of a split over its services by weighted round robin.

Over any run of requests the shares are exact to within a few requests.
"""

import threading

from gooseberrymux.routes import SplitTarget

# Splits with state; beyond this the oldest state is dropped. A split whose weights
# change counts as a new one.
MAX_SPLITS = 1_024


class WeightedRoundRobin:
    """Smooth weighted round robin: each service gets its share of every few requests.

    A service without free capacity keeps its share: requests beyond its capacity are
    refused, not moved to another service.
    """

    __slots__ = ("_current_weights", "_lock")

    def __init__(self):
        self._current_weights: dict[tuple[str, SplitTarget], list[float]] = {}
        self._lock = threading.Lock()

    def choose_service(self, *, route: str, target: SplitTarget) -> str:
        """Returns the service that the next request of a route goes to."""
        total = sum(part.weight for part in target.parts)
        with self._lock:
            weights = self._get_weights(route, target)
            for index, part in enumerate(target.parts):
                weights[index] += part.weight
            chosen = max(range(len(weights)), key=weights.__getitem__)
            weights[chosen] -= total
            return target.parts[chosen].service

    def _get_weights(self, route: str, target: SplitTarget) -> list[float]:
        key = (route, target)
        weights = self._current_weights.get(key)
        if weights is None:
            if len(self._current_weights) >= MAX_SPLITS:
                del self._current_weights[next(iter(self._current_weights))]
            weights = self._current_weights[key] = [0.0] * len(target.parts)
        return weights
