"""Runs the soak for one seed, and the command line that runs many seeds."""

import dataclasses
import shutil
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from soak.checks import check_all
from soak.cluster import Cluster
from soak.faults import FaultInjector
from soak.upstreams import now_ms

DURATION_S = 30.0
INSTANCES = 5
CALLERS = 30
SHARDS = 4
REPLICAS = 3
MAX_PROBLEMS_SHOWN = 20

app = typer.Typer(help="Randomized fault soak of real instances on loopback.")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakResult:
    """Result of one soak run.

    Attributes:
        seed: Seed of the run.
        problems: One line for each violated guarantee.
        requests: Number of requests that callers sent.
        served: Number of requests that were answered with status 200.
        folder: Folder with the logs and settings of the instances.
    """

    seed: int
    problems: list[str]
    requests: int
    served: int
    folder: Path

    def describe(self) -> str:
        """Returns a summary line, followed by the first problems."""
        shown = self.problems[:MAX_PROBLEMS_SHOWN]
        state = f"{len(self.problems)} PROBLEMS" if self.problems else "ok"
        head = f"seed {self.seed}: {state}, {self.served} of {self.requests} served"
        return "\n".join([head, *(f"  {problem}" for problem in shown)])


def run_soak(
    *,
    seed: int,
    duration_s: float = DURATION_S,
    instances: int = INSTANCES,
    callers: int = CALLERS,
    shards: int = SHARDS,
    replicas: int = REPLICAS,
) -> SoakResult:
    """Runs the soak for one seed and checks the guarantees on its record.

    The folder of logs and settings is left to the caller to delete.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    world = Cluster(
        seed=seed,
        folder=folder,
        instances=instances,
        callers=callers,
        shards=shards,
        replicas=replicas,
    )
    try:
        world.start()
        world.start_callers()
        FaultInjector(world=world, seed=seed, duration_ms=duration_s * 1_000).run()
        end_ms = now_ms()
    finally:
        codes = world.stop()
    record = world.record
    problems = check_all(record, world.entries, codes, end_ms=end_ms)
    served = sum(
        getattr(request.outcome, "status", 0) == 200 for request in record.requests
    )
    lines = [
        f"{fault.from_ms:.0f} to {fault.until_ms:.0f} {fault.instance} {fault.fault}"
        for fault in record.fault_windows
    ]
    (folder / "faults.txt").write_text("\n".join(lines))
    return SoakResult(
        seed=seed,
        problems=problems,
        requests=len(record.requests),
        served=served,
        folder=folder,
    )


@app.command()
def main(
    *,
    first: Annotated[
        int, typer.Option(help="First seed; 0 uses the current time.")
    ] = 0,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Duration of each run in seconds.")
    ] = DURATION_S,
    instances: Annotated[int, typer.Option(help="Number of instances.")] = INSTANCES,
    callers: Annotated[int, typer.Option(help="Number of callers.")] = CALLERS,
    shards: Annotated[int, typer.Option(help="Number of shards of a query.")] = SHARDS,
    replicas: Annotated[
        int, typer.Option(help="Number of upstreams of each service.")
    ] = REPLICAS,
) -> None:
    """Runs consecutive seeds one by one and keeps the logs of those that fail."""
    first = first or int(time.time())
    failed = 0
    for seed in range(first, first + seeds):
        result = run_soak(
            seed=seed,
            duration_s=seconds,
            instances=instances,
            callers=callers,
            shards=shards,
            replicas=replicas,
        )
        typer.echo(result.describe())
        if result.problems:
            failed += 1
            typer.echo(f"  logs: {result.folder}")
        else:
            shutil.rmtree(result.folder)
    typer.echo(f"{failed} of {seeds} seeds failed")
    raise typer.Exit(1 if failed else 0)
