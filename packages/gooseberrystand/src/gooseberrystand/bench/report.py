"""Reports of the load tool: one JSON line and one table row for each rank."""

import dataclasses
import json

from gooseberrystand.bench.experiment import Case
from gooseberrystand.bench.runner import CaseMeasurement

ALL_RANKS = "all"
# Share of one core above which an instance counts as short of CPU: an instance runs its
# Python code on one core at a time.
CPU_BOUND_SHARE = 0.85
# A send delayed by more than this shows that the generator was too slow for the load.
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
    """Figures of one rank in one run; `rank` is `all` in the record of all ranks.

    Attributes:
        p50_ms: Median latency of answers, counted from the scheduled arrival.
        p99_ms: 99th percentile of the same latency.
        p999_ms: 99.9th percentile of the same latency.
        coverage: Mean share of the shards that an answer covers.
        extra_load: Sub-requests that upstreams received, relative to the least number
            needed (one for each shard that an answer covers), minus one.
        share: Share of this rank in the sub-requests that upstreams received.
        kept: Answers in time, relative to queries offered.
        worth_kept: Worth of the answers in time, weighted by their coverage, relative
            to the worth of the queries offered.
        untruthful: Answers whose hits differ from the coverage that they claim.
        instance_cpu: CPU use of the busiest instance, as a share of one core.
        upstream_cpu: CPU use of the busiest upstream, as a share of one core.
        generator_late_ms: Largest delay of a send after its scheduled arrival.
        cpu_bound: Whether `instance_cpu` exceeds `CPU_BOUND_SHARE`.
        generator_bound: Whether `generator_late_ms` exceeds `GENERATOR_LATE_MS`.
        reasons: Counts of refused and lost queries by reason; empty in the record of
            all ranks.
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
    *, case: Case, variant: str, seed: int, measurement: CaseMeasurement
) -> list[Record]:
    """Returns one record for each rank, then one for all ranks together."""
    total_received = max(1, sum(measurement.subrequests_received.values()))
    shared_fields = {
        "case": case.name,
        "variant": variant,
        "seed": seed,
        "instance_cpu": round(measurement.instance_cpu, 3),
        "upstream_cpu": round(measurement.upstream_cpu, 3),
        "generator_late_ms": round(measurement.generator_late_ms, 1),
        "cpu_bound": measurement.instance_cpu > CPU_BOUND_SHARE,
        "generator_bound": measurement.generator_late_ms > GENERATOR_LATE_MS,
    }
    records = []
    for rank in case.ranks:
        tally = measurement.tallies[rank.value]
        subrequests_received = measurement.subrequests_received[rank.value]
        offered = max(1, tally.counts["offered"])
        answered = tally.answered
        records.append(
            Record(
                **shared_fields,
                **tally.counts,
                rank=rank.value,
                p50_ms=tally.get_percentile_ms(50),
                p99_ms=tally.get_percentile_ms(99),
                p999_ms=tally.get_percentile_ms(99.9),
                coverage=round(tally.coverage / answered, 4) if answered else None,
                extra_load=compute_extra_load(subrequests_received, tally.covered),
                share=round(subrequests_received / total_received, 4),
                kept=round(tally.counts["in_time"] / offered, 4),
                worth_kept=round(tally.coverage_in_time / offered, 4),
                reasons=tally.reasons,
            )
        )
    return [*records, create_total_record(case, shared_fields, measurement, records)]


def create_total_record(
    case: Case, shared_fields: dict, measurement: CaseMeasurement, records: list[Record]
) -> Record:
    """Returns the record of all ranks together, without latencies and reasons."""
    counts = {
        name: sum(getattr(record, name) for record in records)
        for name in ("offered", "in_time", "late", "refused", "lost", "untruthful")
    }
    worth = {rank.value: load.worth for rank, load in case.ranks.items()}
    offered_worth = sum(record.offered * worth[record.rank] for record in records)
    kept_worth = sum(
        measurement.tallies[record.rank].coverage_in_time * worth[record.rank]
        for record in records
    )
    tallies = measurement.tallies.values()
    answered = sum(tally.answered for tally in tallies)
    coverage = sum(tally.coverage for tally in tallies)
    return Record(
        **shared_fields,
        **counts,
        rank=ALL_RANKS,
        p50_ms=None,
        p99_ms=None,
        p999_ms=None,
        coverage=round(coverage / answered, 4) if answered else None,
        extra_load=compute_extra_load(
            sum(measurement.subrequests_received.values()),
            sum(tally.covered for tally in tallies),
        ),
        share=1.0,
        kept=round(counts["in_time"] / max(1, counts["offered"]), 4),
        worth_kept=round(kept_worth / offered_worth, 4) if offered_worth else 0.0,
        reasons={},
    )


def compute_extra_load(subrequests_received: int, least_needed: int) -> float | None:
    """Returns the ratio of received to needed sub-requests, minus one.

    Returns None if no sub-request was needed.
    """
    return round(subrequests_received / least_needed - 1, 4) if least_needed else None


def encode_record(record: Record) -> str:
    """Returns a record as one JSON line."""
    return json.dumps(dataclasses.asdict(record))


def format_header() -> str:
    """Returns the column titles of the table."""
    return format_cells(COLUMNS)


def format_row(record: Record) -> str:
    """Returns a record as a table row, with a note if a process was overloaded."""
    cells = [format_value(getattr(record, name)) for name in COLUMNS]
    if record.cpu_bound:
        cells.append(f"  instances short of CPU ({record.instance_cpu})")
    if record.generator_bound:
        cells.append(f"  generators late ({record.generator_late_ms} ms)")
    return format_cells(cells)


def format_cells(cells: tuple[str, ...] | list[str]) -> str:
    """Joins cells into columns of fixed width; the first two are wider, for names."""
    return " ".join(
        f"{cell:<16}" if column < 2 else f"{cell:>8}"
        for column, cell in enumerate(cells)
    )


def format_value(value: object) -> str:
    """Formats a value for a table cell; None is a dash."""
    match value:
        case None:
            return "-"
        case float():
            return f"{value:.3f}" if abs(value) < 10 else f"{value:.0f}"
        case _:
            return str(value)
