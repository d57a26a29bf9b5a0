"""Demo: the Authority's ordering desk, three instances, queries and one order."""

import json
import sys
import tempfile
from pathlib import Path

import uuid6

from gooseberrymux.records import Rank
from gooseberrystand.fleet import AUTHORITY_DESK, Fleet

INSTANCES = 3
STATUS_OK = 200


def main() -> int:
    """Runs the demo; returns the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=Path(folder))
        print("starting platform, 40 upstreams and 3 instances", flush=True)
        try:
            fleet.start(instances=INSTANCES)
            shown = [
                show_query(fleet, number, rank) for number, rank in enumerate(Rank)
            ]
            shown.append(show_order(fleet))
        finally:
            codes = fleet.stop()
    print(f"stopped gracefully, exit codes {codes}")
    return 0 if all(shown) and not any(codes.values()) else 1


def show_query(fleet: Fleet, number: int, rank: Rank) -> bool:
    """Runs a query of one rank; prints its coverage and snapshot.

    Returns:
        Whether the answer covers all shards.
    """
    instance = list(fleet.instances.values())[number % INSTANCES]
    answer = fleet.query(
        instance,
        service=AUTHORITY_DESK.name,
        rank=rank.value,
        terms={"text": "blanket"},
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


def show_order(fleet: Fleet) -> bool:
    """Runs one order and prints the answer and how often it ran.

    Returns:
        Whether it completed and ran once.
    """
    instance = next(iter(fleet.instances.values()))
    key = str(uuid6.uuid7())
    reply = fleet.send_order(
        instance,
        key=key,
        service=AUTHORITY_DESK.name,
        rank=Rank.URGENT.value,
        order={"item": "blanket", "count": 2},
    )
    runs = fleet.count_runs(key)
    print(f"order through {instance.name}: {json.dumps(reply.body)}, ran {runs} times")
    return reply.status == STATUS_OK and runs == 1


if __name__ == "__main__":
    sys.exit(main())
