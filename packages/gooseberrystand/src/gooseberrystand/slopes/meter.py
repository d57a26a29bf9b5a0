"""CPU, memory, network and platform calls of a fleet over a measured interval."""

import contextlib
import dataclasses
import tempfile
from collections.abc import Iterator
from pathlib import Path

from gooseberrystand import usage
from gooseberrystand.fleet import Fleet
from gooseberrystand.shapes import GroupShape

SINGLE_SERVICE_SHAPE = GroupShape(name="order-desk", services=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceCosts:
    """Resources that the instances of a fleet used during one interval.

    Attributes:
        elapsed_s: Length of the interval in seconds.
        cpu_ms: CPU time of each instance in milliseconds, by name.
        memory_bytes: Resident memory of each instance at the end, by name.
        network_bytes: TCP bytes sent and received by each instance, by name; empty if
            the system does not count them.
        platform_calls: Calls from the whole fleet to the platform, by kind.
    """

    elapsed_s: float
    cpu_ms: dict[str, float]
    memory_bytes: dict[str, int]
    network_bytes: dict[str, int]
    platform_calls: dict[str, int]

    @property
    def mean_cpu_share(self) -> float:
        """Mean CPU use of an instance as a share of one core."""
        return mean(self.cpu_ms.values()) / (self.elapsed_s * 1000)

    @property
    def mean_memory_mb(self) -> float:
        """Mean resident memory of an instance in megabytes."""
        return mean(self.memory_bytes.values()) / 1e6

    @property
    def mean_network_bytes_per_s(self) -> float:
        """Mean TCP bytes per second of an instance, sent and received."""
        return mean(self.network_bytes.values()) / self.elapsed_s

    @property
    def platform_call_rate(self) -> float:
        """Platform reads, writes and watches per second of the whole fleet."""
        kinds = ("read", "write", "watch")
        return sum(self.platform_calls[kind] for kind in kinds) / self.elapsed_s


class Meter:
    """Measures the costs of a fleet from the creation of the meter until `stop`."""

    __slots__ = ("_fleet", "_start_ms", "_calls_before", "_usage_before")

    def __init__(self, *, fleet: Fleet):
        self._fleet = fleet
        self._calls_before = fleet.read_call_counts()
        self._usage_before = self._measure_usage()
        self._start_ms = fleet.clock.now_ms()

    def stop(self) -> InstanceCosts:
        """Returns the costs since the creation of the meter."""
        elapsed_s = (self._fleet.clock.now_ms() - self._start_ms) / 1000
        usage_after = self._measure_usage()
        calls_after = self._fleet.read_call_counts()
        network = {}
        for name, used in usage_after.items():
            bytes_before = self._usage_before[name].network_bytes
            if used.network_bytes is not None and bytes_before is not None:
                network[name] = used.network_bytes - bytes_before
        return InstanceCosts(
            elapsed_s=elapsed_s,
            cpu_ms={
                name: used.cpu_ms - self._usage_before[name].cpu_ms
                for name, used in usage_after.items()
            },
            memory_bytes={
                name: used.memory_bytes for name, used in usage_after.items()
            },
            network_bytes=network,
            platform_calls={
                kind: calls_after[kind] - self._calls_before[kind]
                for kind in calls_after
            },
        )

    def _measure_usage(self) -> dict[str, usage.Usage]:
        pids = {
            instance.child.pid: name for name, instance in self._fleet.instances.items()
        }
        return {pids[pid]: used for pid, used in usage.measure(pids).items()}


@contextlib.contextmanager
def run_temporary_fleet(
    *,
    instances: int,
    shape: GroupShape = SINGLE_SERVICE_SHAPE,
    behaviour: dict | None = None,
    overrides: dict | None = None,
) -> Iterator[Fleet]:
    """Starts a fleet of one group in a temporary folder and stops it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=Path(folder), shapes=(shape,), behaviour=behaviour)
        try:
            fleet.start(instances=instances, overrides=overrides)
            yield fleet
        finally:
            fleet.stop()


def mean(values) -> float:
    """Returns the mean, or 0 if there are no values."""
    values = list(values)
    return sum(values) / len(values) if values else 0.0
