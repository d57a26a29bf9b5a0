"""Counts and latency histogram of one rank, summed over load generators."""

import dataclasses

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Answered:
    """A whole answer arrived.

    Attributes:
        latency_ms: Time since the scheduled arrival.
        in_time: Whether it arrived within the deadline.
        covered: Shards that the answer covers.
        shards: Shards of the version that it names.
        truthful: Whether its hits are those of the shards it claims to cover.
    """

    latency_ms: float
    in_time: bool
    covered: int
    shards: int
    truthful: bool


@_frozen
class Refused:
    """A typed refusal arrived."""

    code: str


@_frozen
class Lost:
    """No reply arrived, or one that can't be read."""

    reason: str


RequestOutcome = Answered | Refused | Lost


class Tally:
    """Counts of one rank.

    Attributes:
        late_start_ms: Largest delay of a send behind its scheduled arrival, which shows
            a generator that can't keep up.
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
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)

    def add(self, outcome: RequestOutcome) -> None:
        """Counts one request."""
        self.counts["offered"] += 1
        match outcome:
            case Answered(in_time=in_time):
                self._add_answer(outcome)
                self.counts["in_time" if in_time else "late"] += 1
            case Refused(code=code):
                self.counts["refused"] += 1
                self._add_reason(f"refused: {code}")
            case Lost(reason=reason):
                self.counts["lost"] += 1
                self._add_reason(f"lost: {reason}")

    def merge(self, encoded: dict) -> None:
        """Adds the counts of another tally, as `encode` returns them."""
        for name, value in encoded["counts"].items():
            self.counts[name] += value
        for reason, value in encoded["reasons"].items():
            self._add_reason(reason, value)
        self.coverage += encoded["coverage"]
        self.coverage_in_time += encoded["coverage_in_time"]
        self.covered += encoded["covered"]
        self.late_start_ms = max(self.late_start_ms, encoded["late_start_ms"])
        self.histogram.decode_and_add(encoded["histogram"])

    def encode(self) -> dict:
        """Returns the counts in a form that JSON can hold."""
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
        """Number of answers, in time or late."""
        return self.counts["in_time"] + self.counts["late"]

    def get_percentile_ms(self, percentile: float) -> float | None:
        """Returns a percentile of the latency of answers; None without answers."""
        if not self.answered:
            return None
        return self.histogram.get_value_at_percentile(percentile) / 1000

    def _add_answer(self, answer: Answered) -> None:
        share = answer.covered / max(1, answer.shards)
        self.coverage += share
        self.covered += answer.covered
        if answer.in_time:
            self.coverage_in_time += share
        if not answer.truthful:
            self.counts["untruthful"] += 1
        self.histogram.record_value(max(LOWEST_US, int(answer.latency_ms * 1000)))

    def _add_reason(self, reason: str, count: int = 1) -> None:
        self.reasons[reason] = self.reasons.get(reason, 0) + count
