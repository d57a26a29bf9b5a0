"""Command line of the load tool: runs an experiment, prints a table, writes JSON."""

import argparse
import sys
from importlib import resources
from pathlib import Path

from gooseberrystand.bench.experiment import ExperimentError, load_experiment
from gooseberrystand.bench.report import (
    create_records,
    encode_record,
    format_header,
    format_row,
)
from gooseberrystand.bench.runner import run_case

EXIT_BAD_EXPERIMENT = 2
DEFAULT_EXPERIMENT = "short.yaml"


def main() -> int:
    """Runs the chosen cases under the chosen variants; returns the exit code."""
    parser = argparse.ArgumentParser(prog="gooseberrystand.bench", description=__doc__)
    parser.add_argument(
        "--experiment",
        type=Path,
        help="experiment file (YAML); default: the packaged short.yaml",
    )
    parser.add_argument(
        "--case", action="append", help="run only this case; repeatable"
    )
    parser.add_argument(
        "--variant", action="append", help="run only this variant; repeatable"
    )
    parser.add_argument("--output", type=Path, help="append JSON lines to this file")
    arguments = parser.parse_args()
    default_experiment = resources.files("gooseberrystand.bench").joinpath(
        DEFAULT_EXPERIMENT
    )
    try:
        experiment = load_experiment(
            arguments.experiment or Path(str(default_experiment))
        )
    except ExperimentError as error:
        print(f"gooseberrystand.bench: {error}", file=sys.stderr)
        return EXIT_BAD_EXPERIMENT
    print(format_header(), flush=True)
    for case in experiment.cases:
        if arguments.case and case.name not in arguments.case:
            continue
        for variant in case.variants:
            if arguments.variant and variant not in arguments.variant:
                continue
            measurement = run_case(experiment=experiment, case=case, variant=variant)
            records = create_records(
                case=case,
                variant=variant,
                seed=experiment.seed,
                measurement=measurement,
            )
            for record in records:
                print(format_row(record), flush=True)
                if arguments.output:
                    with arguments.output.open("a") as stream:
                        stream.write(encode_record(record) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
