"""Demo: starts a fleet, sends a query of each rank and one order, and stops.

The fleet has a platform stand-in, 40 upstream stand-ins and three instances.
"""

import json
import sys
import tempfile
from pathlib import Path

import uuid6

from gooseberrymux.records import Rank
from gooseberrystand.fleet import AUTHORITY_DESK, Fleet

INSTANCE_COUNT = 3
STATUS_OK = 200


def main() -> int:
    """Runs the demo.

    Returns:
        Exit code: 0 if all requests succeeded and all instances exited with 0, else 1.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder=Path(folder))
        print("starting platform, 40 upstreams and 3 instances", flush=True)
        try:
            fleet.start(instances=INSTANCE_COUNT)
            results = [
                run_query(fleet, number, rank) for number, rank in enumerate(Rank)
            ]
            results.append(run_order(fleet))
        finally:
            codes = fleet.stop()
    print(f"stopped gracefully, exit codes {codes}")
    return 0 if all(results) and not any(codes.values()) else 1


def run_query(fleet: Fleet, request_number: int, rank: Rank) -> bool:
    """Sends a query of one rank; prints its coverage and index version.

    Requests are spread over the instances by `request_number`.

    Returns:
        Whether the answer covers all shards.
    """
    instance = list(fleet.instances.values())[request_number % INSTANCE_COUNT]
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


def run_order(fleet: Fleet) -> bool:
    """Sends one order; prints the answer and how often the upstreams ran it.

    Returns:
        Whether the order completed and ran exactly once.
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
