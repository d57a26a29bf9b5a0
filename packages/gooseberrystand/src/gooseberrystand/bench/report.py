"""Reports of the load tool: JSON lines for each rank and a table to read."""

import dataclasses
import json

from gooseberrystand.bench.experiment import Case
from gooseberrystand.bench.runner import Measured

ALL_RANKS = "all"
# An instance runs its Python code on one core at a time.
CPU_BOUND_SHARE = 0.85
# Sends later than this behind their schedule say that the generator was too slow.
GENERATOR_LATE_MS = 50
COLUMNS = (
    "case",
    "variant",
    "rank",
    "offered",
    "in_time",
    "late",
    "refused",
    "lost",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "coverage",
    "extra_load",
    "share",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One rank's figures in one run; `rank` is `all` for the sum.

    Attributes:
        p50_ms: Median latency of answers from their scheduled arrival; also p99, p99.9.
        coverage: Mean coverage of the answers.
        extra_load: Sub-requests that upstreams received over the least needed for the
            answers given, minus one.
        share: The rank's share of the sub-requests that upstreams received.
        kept: Answers in time over queries offered.
        worth_kept: The same, each answer weighted by its rank's worth and coverage.
        untruthful: Answers whose hits differ from the coverage they claim.
        instance_cpu: CPU of the busiest instance, as a share of one core.
        cpu_bound: Whether the busiest instance was short of CPU.
        generator_bound: Whether a generator sent later than scheduled.
        reasons: Why queries were refused or lost.
    """

    case: str
    variant: str
    rank: str
    offered: int
    in_time: int
    late: int
    refused: int
    lost: int
    p50_ms: float | None
    p99_ms: float | None
    p999_ms: float | None
    coverage: float | None
    extra_load: float | None
    share: float
    kept: float
    worth_kept: float
    untruthful: int
    instance_cpu: float
    upstream_cpu: float
    generator_late_ms: float
    cpu_bound: bool
    generator_bound: bool
    seed: int
    reasons: dict[str, int]


def create_records(
    *, case: Case, variant: str, seed: int, measured: Measured
) -> list[Record]:
    """Returns one record for each rank and one for all."""
    total = max(1, sum(measured.received.values()))
    common = {
        "case": case.name,
        "variant": variant,
        "seed": seed,
        "instance_cpu": round(measured.instance_cpu, 3),
        "upstream_cpu": round(measured.upstream_cpu, 3),
        "generator_late_ms": round(measured.generator_late_ms, 1),
        "cpu_bound": measured.instance_cpu > CPU_BOUND_SHARE,
        "generator_bound": measured.generator_late_ms > GENERATOR_LATE_MS,
    }
    records = []
    for rank in case.ranks:
        tally = measured.tallies[rank.value]
        received = measured.received[rank.value]
        offered = max(1, tally.counts["offered"])
        answered = tally.answered
        records.append(
            Record(
                **common,
                **tally.counts,
                rank=rank.value,
                p50_ms=tally.get_percentile_ms(50),
                p99_ms=tally.get_percentile_ms(99),
                p999_ms=tally.get_percentile_ms(99.9),
                coverage=round(tally.coverage / answered, 4) if answered else None,
                extra_load=compute_extra_load(received, tally.covered),
                share=round(received / total, 4),
                kept=round(tally.counts["in_time"] / offered, 4),
                worth_kept=round(tally.coverage_in_time / offered, 4),
                reasons=tally.reasons,
            )
        )
    return [*records, sum_records(case, common, measured, records)]


def sum_records(
    case: Case, common: dict, measured: Measured, records: list[Record]
) -> Record:
    """Returns the record of all ranks together."""
    counts = {
        name: sum(getattr(record, name) for record in records)
        for name in ("offered", "in_time", "late", "refused", "lost", "untruthful")
    }
    worth = {rank.value: load.worth for rank, load in case.ranks.items()}
    offered_worth = sum(record.offered * worth[record.rank] for record in records)
    kept_worth = sum(
        measured.tallies[record.rank].coverage_in_time * worth[record.rank]
        for record in records
    )
    tallies = measured.tallies.values()
    answered = sum(tally.answered for tally in tallies)
    coverage = sum(tally.coverage for tally in tallies)
    return Record(
        **common,
        **counts,
        rank=ALL_RANKS,
        p50_ms=None,
        p99_ms=None,
        p999_ms=None,
        coverage=round(coverage / answered, 4) if answered else None,
        extra_load=compute_extra_load(
            sum(measured.received.values()), sum(tally.covered for tally in tallies)
        ),
        share=1.0,
        kept=round(counts["in_time"] / max(1, counts["offered"]), 4),
        worth_kept=round(kept_worth / offered_worth, 4) if offered_worth else 0.0,
        reasons={},
    )


def compute_extra_load(received: int, needed: int) -> float | None:
    """Returns sub-requests received over the least needed, minus one."""
    return round(received / needed - 1, 4) if needed else None


def encode_record(record: Record) -> str:
    """Returns a record as one JSON line."""
    return json.dumps(dataclasses.asdict(record))


def format_header() -> str:
    """Returns the titles of the table."""
    return format_cells(COLUMNS)


def format_row(record: Record) -> str:
    """Returns a record as a row of the table."""
    cells = [format_value(getattr(record, name)) for name in COLUMNS]
    if record.cpu_bound:
        cells.append(f"  instances short of CPU ({record.instance_cpu})")
    if record.generator_bound:
        cells.append(f"  generators late ({record.generator_late_ms} ms)")
    return format_cells(cells)


def format_cells(cells: tuple[str, ...] | list[str]) -> str:
    """Returns cells in columns of a fixed width."""
    return " ".join(
        f"{cell:<16}" if place < 2 else f"{cell:>8}" for place, cell in enumerate(cells)
    )


def format_value(value: object) -> str:
    """Returns a value for the table."""
    match value:
        case None:
            return "-"
        case float():
            return f"{value:.3f}" if abs(value) < 10 else f"{value:.0f}"
        case _:
            return str(value)
