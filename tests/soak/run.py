"""One soak run, and the command line that plays many."""

import dataclasses
import shutil
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from soak.checks import check_all
from soak.cluster import Cluster
from soak.faults import Injector
from soak.upstreams import now_ms

DURATION_S = 30.0
INSTANCES = 5
CALLERS = 30
SHARDS = 4
REPLICAS = 3
PROBLEMS_SHOWN = 20

app = typer.Typer(help="Randomized fault soak of real instances on loopback.")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What one run has shown.

    Attributes:
        seed: Its seed.
        problems: A line for each broken promise.
        requests: Requests that callers sent.
        served: Those that were served.
        folder: Logs and settings of its instances.
    """

    seed: int
    problems: list[str]
    requests: int
    served: int
    folder: Path

    def describe(self) -> str:
        """Returns the verdict in a line, with the first problems below."""
        shown = self.problems[:PROBLEMS_SHOWN]
        state = f"{len(self.problems)} PROBLEMS" if self.problems else "ok"
        head = f"seed {self.seed}: {state}, {self.served} of {self.requests} served"
        return "\n".join([head, *(f"  {problem}" for problem in shown)])


def play(
    *,
    seed: int,
    duration_s: float = DURATION_S,
    instances: int = INSTANCES,
    callers: int = CALLERS,
    shards: int = SHARDS,
    replicas: int = REPLICAS,
) -> Verdict:
    """Plays one run and checks it."""
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
        Injector(world=world, seed=seed, duration_ms=duration_s * 1_000).run()
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
        for fault in record.disturbances
    ]
    (folder / "faults.txt").write_text("\n".join(lines))
    return Verdict(
        seed=seed,
        problems=problems,
        requests=len(record.requests),
        served=served,
        folder=folder,
    )


@app.command()
def main(
    *,
    first: Annotated[int, typer.Option(help="First seed; 0 for one by the time.")] = 0,
    seeds: Annotated[int, typer.Option(help="How many seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of a run.")] = DURATION_S,
    instances: Annotated[int, typer.Option(help="Instances.")] = INSTANCES,
    callers: Annotated[int, typer.Option(help="Callers.")] = CALLERS,
    shards: Annotated[int, typer.Option(help="Shards of a query.")] = SHARDS,
    replicas: Annotated[int, typer.Option(help="Upstreams a service.")] = REPLICAS,
) -> None:
    """Plays seeds one after the other; keeps the logs of those that fail."""
    first = first or int(time.time())
    failed = 0
    for seed in range(first, first + seeds):
        verdict = play(
            seed=seed,
            duration_s=seconds,
            instances=instances,
            callers=callers,
            shards=shards,
            replicas=replicas,
        )
        typer.echo(verdict.describe())
        if verdict.problems:
            failed += 1
            typer.echo(f"  logs: {verdict.folder}")
        else:
            shutil.rmtree(verdict.folder)
    typer.echo(f"{failed} of {seeds} seeds failed")
    raise typer.Exit(1 if failed else 0)
