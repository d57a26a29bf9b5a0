"""Costs of the instances of a fleet over a stretch of time."""

import contextlib
import dataclasses
import tempfile
from collections.abc import Iterator
from pathlib import Path

from gooseberrystand import usage
from gooseberrystand.fleet import Fleet
from gooseberrystand.shapes import GroupShape

SMALL_SHAPE = GroupShape(name="order-desk", services=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Costs:
    """Use of one stretch of time.

    Attributes:
        elapsed_s: Length of the stretch in seconds.
        cpu_ms: CPU time of each instance in milliseconds, by name.
        memory_bytes: Resident memory of each instance at the end.
        network_bytes: TCP bytes sent and received by each instance; empty if the
            system can't tell.
        calls: Platform calls by kind.
    """

    elapsed_s: float
    cpu_ms: dict[str, float]
    memory_bytes: dict[str, int]
    network_bytes: dict[str, int]
    calls: dict[str, int]

    @property
    def mean_cpu_share(self) -> float:
        """CPU of an instance as a share of one core."""
        return mean(self.cpu_ms.values()) / (self.elapsed_s * 1000)

    @property
    def mean_memory_mb(self) -> float:
        """Memory of an instance in megabytes."""
        return mean(self.memory_bytes.values()) / 1e6

    @property
    def mean_network_rate(self) -> float:
        """Bytes a second of an instance."""
        return mean(self.network_bytes.values()) / self.elapsed_s

    @property
    def call_rate(self) -> float:
        """Platform calls a second of the whole fleet."""
        kinds = ("read", "write", "watch")
        return sum(self.calls[kind] for kind in kinds) / self.elapsed_s


class Meter:
    """Measures from its creation until `stop`."""

    __slots__ = ("_fleet", "_start_ms", "_calls", "_before")

    def __init__(self, *, fleet: Fleet):
        self._fleet = fleet
        self._calls = fleet.read_call_counts()
        self._before = self._measure()
        self._start_ms = fleet.clock.now_ms()

    def stop(self) -> Costs:
        """Returns the costs since the start."""
        elapsed_s = (self._fleet.clock.now_ms() - self._start_ms) / 1000
        after = self._measure()
        calls = self._fleet.read_call_counts()
        network = {}
        for name, used in after.items():
            before = self._before[name].network_bytes
            if used.network_bytes is not None and before is not None:
                network[name] = used.network_bytes - before
        return Costs(
            elapsed_s=elapsed_s,
            cpu_ms={
                name: used.cpu_ms - self._before[name].cpu_ms
                for name, used in after.items()
            },
            memory_bytes={name: used.memory_bytes for name, used in after.items()},
            network_bytes=network,
            calls={kind: calls[kind] - self._calls[kind] for kind in calls},
        )

    def _measure(self) -> dict[str, usage.Usage]:
        pids = {
            instance.child.pid: name for name, instance in self._fleet.instances.items()
        }
        return {pids[pid]: used for pid, used in usage.measure(pids).items()}


@contextlib.contextmanager
def run_small_fleet(
    *,
    instances: int,
    shape: GroupShape = SMALL_SHAPE,
    behaviour: dict | None = None,
    overrides: dict | None = None,
) -> Iterator[Fleet]:
    """Runs a fleet in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=Path(folder), shapes=(shape,), behaviour=behaviour)
        try:
            fleet.start(instances=instances, overrides=overrides)
            yield fleet
        finally:
            fleet.stop()


def mean(values) -> float:
    """Returns the mean, or 0 for no values."""
    values = list(values)
    return sum(values) / len(values) if values else 0.0
