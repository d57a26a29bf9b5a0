"""Outcome counts and latency histogram of one rank, mergeable across processes."""

import dataclasses

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Answered:
    """A query got an answer, complete or partial, in time or late.

    Attributes:
        latency_ms: Time from the scheduled arrival to the answer.
        in_time: Whether the answer arrived within the deadline.
        covered: Number of shards that the answer covers.
        shards: Number of shards of the index version that the answer is from.
        truthful: Whether the hits agree with the coverage that the answer claims.
    """

    latency_ms: float
    in_time: bool
    covered: int
    shards: int
    truthful: bool


@_frozen
class Refused:
    """A query was refused with a typed error."""

    code: str


@_frozen
class Lost:
    """A query got no reply, or one that is neither an answer nor a typed error."""

    reason: str


RequestOutcome = Answered | Refused | Lost


class Tally:
    """Outcomes of the queries of one rank; not thread-safe.

    Attributes:
        counts: Queries by outcome; `offered` counts all queries.
        coverage: Sum over answers of the covered share of the shards.
        coverage_in_time: Sum of the same shares over answers in time.
        covered: Sum over answers of the number of covered shards.
        late_start_ms: Largest delay of a send after its scheduled arrival; a large one
            shows that the generator can't keep up with its schedule.
        reasons: Refused and lost queries by reason.
        histogram: Latencies of answers in microseconds.
    """

    __slots__ = (
        "counts",
        "coverage",
        "coverage_in_time",
        "covered",
        "late_start_ms",
        "reasons",
        "histogram",
    )

    def __init__(self):
        self.counts = dict.fromkeys(
            ("offered", "in_time", "late", "refused", "lost", "untruthful"), 0
        )
        self.coverage = 0.0
        self.coverage_in_time = 0.0
        self.covered = 0
        self.late_start_ms = 0.0
        self.reasons: dict[str, int] = {}
        self.histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Counts the outcome of one query."""
        self.counts["offered"] += 1
        match outcome:
            case Answered(in_time=in_time):
                self._count_answer(outcome)
                self.counts["in_time" if in_time else "late"] += 1
            case Refused(code=code):
                self.counts["refused"] += 1
                self._count_reason(f"refused: {code}")
            case Lost(reason=reason):
                self.counts["lost"] += 1
                self._count_reason(f"lost: {reason}")

    def merge(self, encoded: dict) -> None:
        """Adds another tally, in the form that `encode` returns."""
        for name, value in encoded["counts"].items():
            self.counts[name] += value
        for reason, value in encoded["reasons"].items():
            self._count_reason(reason, value)
        self.coverage += encoded["coverage"]
        self.coverage_in_time += encoded["coverage_in_time"]
        self.covered += encoded["covered"]
        self.late_start_ms = max(self.late_start_ms, encoded["late_start_ms"])
        self.histogram.decode_and_add(encoded["histogram"])

    def encode(self) -> dict:
        """Returns the tally as a JSON-serializable dict."""
        return {
            "counts": self.counts,
            "reasons": self.reasons,
            "coverage": self.coverage,
            "coverage_in_time": self.coverage_in_time,
            "covered": self.covered,
            "late_start_ms": self.late_start_ms,
            "histogram": self.histogram.encode().decode(),
        }

    @property
    def answered(self) -> int:
        """Number of answers, both in time and late."""
        return self.counts["in_time"] + self.counts["late"]

    def get_percentile_ms(self, percentile: float) -> float | None:
        """Returns a latency percentile of the answers; None if there are no answers."""
        if not self.answered:
            return None
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def _count_answer(self, answer: Answered) -> None:
        share = answer.covered / max(1, answer.shards)
        self.coverage += share
        self.covered += answer.covered
        if answer.in_time:
            self.coverage_in_time += share
        if not answer.truthful:
            self.counts["untruthful"] += 1
        self.histogram.record_value(max(MIN_LATENCY_US, int(answer.latency_ms * 1000)))

    def _count_reason(self, reason: str, count: int = 1) -> None:
        self.reasons[reason] = self.reasons.get(reason, 0) + count
