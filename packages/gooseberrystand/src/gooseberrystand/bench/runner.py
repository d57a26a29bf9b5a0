"""Runs one case under one variant: fleet, warm-up, load, faults, counts."""

import dataclasses
import json
import tempfile
from pathlib import Path

from gooseberrymux.settings import merge_mappings
from gooseberrystand import usage
from gooseberrystand.bench.experiment import (
    Case,
    Control,
    Event,
    Experiment,
    Freeze,
    Kill,
    PlatformFault,
    Publish,
    Restart,
)
from gooseberrystand.bench.tally import Tally
from gooseberrystand.fleet import Fleet
from gooseberrystand.processes import Child
from gooseberrystand.shapes import create_shard_map

# Time for the generators to start, so that all begin at the same moment.
GENERATOR_START_MS = 1_500
# Same seeds for each variant, so that variants see the same arrivals.
SEED_STEP = 7_919
WARMUP_SEED_OFFSET = 104_729


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measured:
    """What one run gave.

    Attributes:
        tallies: Counts by rank.
        received: Sub-requests that upstreams received, by rank.
        started: Sub-requests that upstreams ran, of all ranks.
        instance_cpu: CPU of the busiest instance as a share of one core.
        upstream_cpu: The same of the busiest upstream.
        generator_late_ms: Largest delay of a send behind its scheduled arrival.
    """

    tallies: dict[str, Tally]
    received: dict[str, int]
    started: int
    instance_cpu: float
    upstream_cpu: float
    generator_late_ms: float


def run_case(*, experiment: Experiment, case: Case, variant: str) -> Measured:
    """Starts a fleet, runs the case's load and faults, and stops the fleet."""
    overrides = merge_mappings(case.settings, experiment.variants[variant])
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(
            folder=Path(folder),
            shapes=tuple(experiment.shapes),
            behaviour=case.behaviour,
            seed=experiment.seed,
        )
        try:
            fleet.start(instances=case.instances, overrides=overrides)
            run = CaseRun(experiment=experiment, case=case, fleet=fleet)
            return run.measure()
        finally:
            fleet.stop()


class CaseRun:
    """Load and faults on a running fleet."""

    __slots__ = ("_experiment", "_case", "_fleet", "_clock")

    def __init__(self, *, experiment: Experiment, case: Case, fleet: Fleet):
        self._experiment = experiment
        self._case = case
        self._fleet = fleet
        self._clock = fleet.clock

    def measure(self) -> Measured:
        """Runs the warm-up and the measured part."""
        warmup_s = self._experiment.warmup_s
        if warmup_s > 0:
            self._finish_load(self._start_load("warmup", warmup_s, WARMUP_SEED_OFFSET))
        stats = self._fleet.read_all_stats()
        children = self._start_load("load", self._case.duration_s, 0)
        self._clock.sleep_ms(GENERATOR_START_MS)
        start_ms = self._clock.now_ms()
        before = self._measure_cpu()
        self._apply_events(start_ms)
        left_ms = start_ms + self._case.duration_s * 1000 - self._clock.now_ms()
        self._clock.sleep_ms(left_ms)
        after = self._measure_cpu()
        elapsed_ms = self._clock.now_ms() - start_ms
        tallies = self._finish_load(children)
        received, started = self._count_received(stats)
        shares = {
            name: (after[name] - spent_ms) / elapsed_ms
            for name, spent_ms in before.items()
            if name in after
        }
        return Measured(
            tallies=tallies,
            received=received,
            started=started,
            instance_cpu=max(shares.get(name, 0.0) for name in self._fleet.instances),
            upstream_cpu=max(shares.get(name, 0.0) for name in self._fleet.upstreams),
            generator_late_ms=max(tally.late_start_ms for tally in tallies.values()),
        )

    def _start_load(self, name: str, duration_s: float, offset: int) -> list[Child]:
        start_wall_ms = self._clock.wall_ms() + GENERATOR_START_MS
        children = []
        for number in range(self._experiment.generators):
            source = self._fleet.folder / f"{name}-{number}.plan.json"
            target = self._fleet.folder / f"{name}-{number}.tally.json"
            plans = self._create_plans(number, duration_s, offset)
            source.write_text(
                json.dumps({"start_wall_ms": start_wall_ms, "plans": plans})
            )
            child = Child(
                name=f"{name}-{number}",
                folder=self._fleet.folder,
                module="gooseberrystand.bench.generator",
                arguments=[str(source), str(target)],
            )
            child.start()
            children.append(child)
        return children

    def _create_plans(self, number: int, duration_s: float, offset: int) -> list[dict]:
        seed = self._experiment.seed * SEED_STEP + offset + number
        return [
            {
                "service": self._experiment.shapes[0].name,
                "rank": rank.value,
                "rate": load.rate / self._experiment.generators,
                "deadline_ms": load.deadline_ms,
                "duration_s": duration_s,
                "seed": seed * len(self._case.ranks) + place,
                "ports": [
                    instance.caller_port for instance in self._fleet.instances.values()
                ],
            }
            for place, (rank, load) in enumerate(sorted(self._case.ranks.items()))
        ]

    def _finish_load(self, children: list[Child]) -> dict[str, Tally]:
        tallies = {rank.value: Tally() for rank in self._case.ranks}
        for child in children:
            child.wait()
            target = self._fleet.folder / f"{child.name}.tally.json"
            for rank, encoded in json.loads(target.read_text()).items():
                tallies[rank].merge(encoded)
        return tallies

    def _apply_events(self, start_ms: float) -> None:
        for event in sorted(self._case.faults, key=lambda event: event.at_s):
            self._clock.sleep_ms(start_ms + event.at_s * 1000 - self._clock.now_ms())
            self._apply(event)

    def _apply(self, event: Event) -> None:
        match event:
            case Kill(target=target):
                self._fleet.kill(target)
            case Restart(target=target):
                self._fleet.restart(target)
            case Freeze(target=target, duration_s=duration_s):
                self._fleet.freeze(target)
                self._clock.sleep_ms(duration_s * 1000)
                self._fleet.thaw(target)
            case Control(targets=targets, behaviour=behaviour):
                for target in targets or list(self._fleet.upstreams):
                    self._fleet.change_behaviour(target, **behaviour)
            case PlatformFault(faults=faults):
                self._fleet.set_faults(**faults)
            case Publish(index=index, version=version):
                self._publish(index, version)

    def _publish(self, index: str, version: str) -> None:
        shape = next(shape for shape in self._experiment.shapes if shape.name == index)
        name = f"index/{index}"
        value = self._fleet.read_object(name)["value"]
        value["generation"] += 1
        value["current"] = version
        value["versions"][version] = create_shard_map(shape)
        self._fleet.write_object(name, value)

    def _count_received(self, earlier: dict[str, dict]) -> tuple[dict[str, int], int]:
        received = {rank.value: 0 for rank in self._case.ranks}
        started = 0
        for name, stats in self._fleet.read_all_stats().items():
            base = earlier.get(name, {"started": 0, "by_rank": {}})
            started += stats["started"] - base["started"]
            for rank, count in stats["by_rank"].items():
                if rank in received:
                    received[rank] += count - base["by_rank"].get(rank, 0)
        return received, started

    def _measure_cpu(self) -> dict[str, float]:
        """Returns the CPU time in milliseconds of each running process, by name."""
        names = [*self._fleet.instances, *self._fleet.upstreams]
        pids = {
            self._fleet.find_child(name).pid: name
            for name in names
            if self._fleet.find_child(name).running
        }
        found = usage.measure(pids, network=False)
        return {pids[pid]: entry.cpu_ms for pid, entry in found.items()}
