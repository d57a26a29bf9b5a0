"""Runs one case under one variant on a fleet of its own and measures it."""

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
    RestorePlatform,
)
from gooseberrystand.bench.tally import Tally
from gooseberrystand.fleet import Fleet
from gooseberrystand.processes import Child
from gooseberrystand.shapes import create_shard_map

# Delay of the load that lets all generator processes start before the first arrival.
GENERATOR_START_MS = 1_500
# Generator seeds depend on the experiment seed but not on the variant, so that all
# variants see the same arrivals.
SEED_MULTIPLIER = 7_919
WARMUP_SEED_OFFSET = 104_729


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CaseMeasurement:
    """Measurements of one run.

    Attributes:
        tallies: Outcomes of the queries, by rank.
        subrequests_received: Sub-requests that upstreams received, by rank.
        subrequests_started: Sub-requests that upstreams ran, over all ranks.
        instance_cpu: CPU use of the busiest instance as a share of one core.
        upstream_cpu: CPU use of the busiest upstream as a share of one core.
        generator_late_ms: Largest delay of a send after its scheduled arrival.
    """

    tallies: dict[str, Tally]
    subrequests_received: dict[str, int]
    subrequests_started: int
    instance_cpu: float
    upstream_cpu: float
    generator_late_ms: float


def run_case(*, experiment: Experiment, case: Case, variant: str) -> CaseMeasurement:
    """Starts a fleet, runs the load and faults of the case, and stops the fleet."""
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
    """Runs the load and faults of one case on a running fleet.

    Load generators are child processes; faults are applied on the calling thread.
    """

    __slots__ = ("_experiment", "_case", "_fleet", "_clock")

    def __init__(self, *, experiment: Experiment, case: Case, fleet: Fleet):
        self._experiment = experiment
        self._case = case
        self._fleet = fleet
        self._clock = fleet.clock

    def measure(self) -> CaseMeasurement:
        """Runs the warm-up, then the measured phase, and returns its measurements."""
        warmup_s = self._experiment.warmup_s
        if warmup_s > 0:
            self._collect_tallies(
                self._start_generators("warmup", warmup_s, WARMUP_SEED_OFFSET)
            )
        stats_before = self._fleet.read_all_stats()
        children = self._start_generators("load", self._case.duration_s, 0)
        self._clock.sleep_ms(GENERATOR_START_MS)
        start_ms = self._clock.now_ms()
        cpu_before = self._measure_cpu()
        self._apply_events(start_ms)
        remaining_ms = start_ms + self._case.duration_s * 1000 - self._clock.now_ms()
        self._clock.sleep_ms(remaining_ms)
        cpu_after = self._measure_cpu()
        elapsed_ms = self._clock.now_ms() - start_ms
        tallies = self._collect_tallies(children)
        subrequests_received, subrequests_started = self._count_subrequests(
            stats_before
        )
        cpu_shares = {
            name: (cpu_after[name] - cpu_ms) / elapsed_ms
            for name, cpu_ms in cpu_before.items()
            if name in cpu_after
        }
        return CaseMeasurement(
            tallies=tallies,
            subrequests_received=subrequests_received,
            subrequests_started=subrequests_started,
            instance_cpu=max(
                cpu_shares.get(name, 0.0) for name in self._fleet.instances
            ),
            upstream_cpu=max(
                cpu_shares.get(name, 0.0) for name in self._fleet.upstreams
            ),
            generator_late_ms=max(tally.late_start_ms for tally in tallies.values()),
        )

    def _start_generators(
        self, name: str, duration_s: float, seed_offset: int
    ) -> list[Child]:
        start_wall_ms = self._clock.wall_ms() + GENERATOR_START_MS
        children = []
        for generator_index in range(self._experiment.generators):
            plan_path = self._fleet.folder / f"{name}-{generator_index}.plan.json"
            tally_path = self._fleet.folder / f"{name}-{generator_index}.tally.json"
            plans = self._create_plans(generator_index, duration_s, seed_offset)
            plan_path.write_text(
                json.dumps({"start_wall_ms": start_wall_ms, "plans": plans})
            )
            child = Child(
                name=f"{name}-{generator_index}",
                folder=self._fleet.folder,
                module="gooseberrystand.bench.generator",
                arguments=[str(plan_path), str(tally_path)],
            )
            child.start()
            children.append(child)
        return children

    def _create_plans(
        self, generator_index: int, duration_s: float, seed_offset: int
    ) -> list[dict]:
        seed = self._experiment.seed * SEED_MULTIPLIER + seed_offset + generator_index
        return [
            {
                "service": self._experiment.shapes[0].name,
                "rank": rank.value,
                "rate": load.rate / self._experiment.generators,
                "deadline_ms": load.deadline_ms,
                "duration_s": duration_s,
                "seed": seed * len(self._case.ranks) + rank_index,
                "ports": [
                    instance.caller_port for instance in self._fleet.instances.values()
                ],
            }
            for rank_index, (rank, load) in enumerate(sorted(self._case.ranks.items()))
        ]

    def _collect_tallies(self, children: list[Child]) -> dict[str, Tally]:
        tallies = {rank.value: Tally() for rank in self._case.ranks}
        for child in children:
            child.wait()
            tally_path = self._fleet.folder / f"{child.name}.tally.json"
            for rank, encoded in json.loads(tally_path.read_text()).items():
                tallies[rank].merge(encoded)
        return tallies

    def _apply_events(self, start_ms: float) -> None:
        for event in sorted(self._case.faults, key=lambda event: event.at_s):
            self._clock.sleep_ms(start_ms + event.at_s * 1000 - self._clock.now_ms())
            self._apply_event(event)

    def _apply_event(self, event: Event) -> None:
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
            case RestorePlatform(age_s=age_s):
                self._fleet.restore_platform(age_ms=age_s * 1000)
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

    def _count_subrequests(
        self, stats_before: dict[str, dict]
    ) -> tuple[dict[str, int], int]:
        subrequests_received = {rank.value: 0 for rank in self._case.ranks}
        subrequests_started = 0
        for name, stats in self._fleet.read_all_stats().items():
            earlier = stats_before.get(name, {"started": 0, "by_rank": {}})
            subrequests_started += stats["started"] - earlier["started"]
            for rank, count in stats["by_rank"].items():
                if rank in subrequests_received:
                    subrequests_received[rank] += count - earlier["by_rank"].get(
                        rank, 0
                    )
        return subrequests_received, subrequests_started

    def _measure_cpu(self) -> dict[str, float]:
        """Returns the CPU time in milliseconds of each running process, by name."""
        names = [*self._fleet.instances, *self._fleet.upstreams]
        pids = {
            self._fleet.find_child(name).pid: name
            for name in names
            if self._fleet.find_child(name).running
        }
        used_by_pid = usage.measure(pids, network=False)
        return {pids[pid]: used.cpu_ms for pid, used in used_by_pid.items()}
