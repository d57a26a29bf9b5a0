"""Measures how costs grow with the size of a fleet; prints a JSON line per series."""

import argparse
import sys

from gooseberrystand.slopes import idle, propagation, workload
from gooseberrystand.slopes.fit import encode_series

MEASUREMENTS = {
    "instances": idle.measure_instances,
    "upstreams": idle.measure_upstreams,
    "configuration": idle.measure_configuration,
    "changes": workload.measure_changes,
    "change_sizes": workload.measure_change_sizes,
    "subrequests": workload.measure_subrequests,
    "orders": workload.measure_orders,
    "propagation": propagation.measure_propagation,
}


def main() -> int:
    """Runs the measurements named as arguments, by default all of them."""
    parser = argparse.ArgumentParser(prog="gooseberrystand.slopes", description=__doc__)
    parser.add_argument(
        "only",
        nargs="*",
        help=f"measurements to run: {', '.join(MEASUREMENTS)}; default: all",
    )
    arguments = parser.parse_args()
    unknown = sorted(set(arguments.only) - set(MEASUREMENTS))
    if unknown:
        parser.error(f"no measurement {', '.join(unknown)}")
    for name, measure in MEASUREMENTS.items():
        if arguments.only and name not in arguments.only:
            continue
        for series in measure():
            print(encode_series(series), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
