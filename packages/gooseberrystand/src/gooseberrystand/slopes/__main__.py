"""Command line of the slopes: measures each and prints JSON lines."""

import argparse
import sys

from gooseberrystand.slopes import idle, propagation, work
from gooseberrystand.slopes.fit import describe_series

MEASUREMENTS = {
    "instances": idle.measure_instances,
    "upstreams": idle.measure_upstreams,
    "configuration": idle.measure_configuration,
    "changes": work.measure_changes,
    "change_sizes": work.measure_change_sizes,
    "subrequests": work.measure_subrequests,
    "orders": work.measure_orders,
    "propagation": propagation.measure_propagation,
}


def main() -> int:
    """Runs the measurements that are named, by default all."""
    parser = argparse.ArgumentParser(prog="gooseberrystand.slopes", description=__doc__)
    parser.add_argument("only", nargs="*", help=f"of {', '.join(MEASUREMENTS)}")
    arguments = parser.parse_args()
    unknown = sorted(set(arguments.only) - set(MEASUREMENTS))
    if unknown:
        parser.error(f"no measurement {', '.join(unknown)}")
    for name, measure in MEASUREMENTS.items():
        if arguments.only and name not in arguments.only:
            continue
        for series in measure():
            print(describe_series(series), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
