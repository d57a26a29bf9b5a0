"""Demo: the Authority's ordering desk, three instances, a query of each rank."""

import sys
import tempfile
from pathlib import Path

from gooseberrymux.records import Rank
from gooseberrystand.fleet import Fleet

INSTANCES = 3


def main() -> int:
    """Runs the demo; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=Path(folder))
        print("starting platform, 40 upstreams and 3 instances", flush=True)
        try:
            fleet.start(instances=INSTANCES)
            complete = all(
                show_query(fleet, number, rank) for number, rank in enumerate(Rank)
            )
        finally:
            codes = fleet.stop()
    print(f"stopped gracefully, exit codes {codes}")
    return 0 if complete and not any(codes.values()) else 1


def show_query(fleet: Fleet, number: int, rank: Rank) -> bool:
    """Runs a query of one rank and prints its coverage and snapshot."""
    instance = list(fleet.instances.values())[number % INSTANCES]
    answer = fleet.query(
        instance, service="order-desk", rank=rank.value, terms={"text": "blanket"}
    )
    if "error" in answer:
        print(f"{rank.value} query through {instance.name}: {answer['error']}")
        return False
    coverage = answer["coverage"]
    print(
        f"{rank.value} query through {instance.name}: index {answer['index']} "
        f"version {answer['version']}, "
        f"{len(coverage['covered'])} of {coverage['shards_total']} shards"
    )
    return coverage["complete"]


if __name__ == "__main__":
    sys.exit(main())
