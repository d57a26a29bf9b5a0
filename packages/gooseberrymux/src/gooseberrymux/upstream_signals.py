"""What an upstream says about its own load in the headers of a reply."""

import dataclasses
import math
from collections.abc import Mapping

from gooseberrymux import metrics
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.settings import HeaderNames

RETRY_AFTER_FIELD = "retry-after"
STATUS_UNAVAILABLE = 503
LEAVING_VALUES = frozenset({"1", "true"})
# A longer pause is taken for a mistake; the upstream would never be asked again.
PAUSE_LIMIT_MS = 3_600_000.0
MAX_LOAD_FIGURES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportedLoad:
    """Load that an upstream reports.

    Attributes:
        running: Requests that it runs, from all instances.
        waiting: Requests that wait there.
        slots: Requests that it runs at a time; above 0.
        percent: Its present processing time in percent of the usual; None if it does
            not say.
    """

    running: float
    waiting: float
    slots: float
    percent: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSignals:
    """Signals of one reply.

    Attributes:
        rate_limit_per_s: Requests a second that the upstream takes from all instances
            together; None if it names no limit.
        is_leaving: Whether the upstream leaves and wants no new requests.
        pause_ms: For how many milliseconds the upstream wants nothing from this
            instance; 0 if it asks for no pause.
        load: The load that it reports; None without one.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: float = 0.0
    load: ReportedLoad | None = None


# Shared instance for the replies that carry no signal, which are nearly all.
NO_SIGNALS = UpstreamSignals()


def parse_signals(
    fields: Mapping[str, str], *, status: int, names: HeaderNames
) -> UpstreamSignals:
    """Returns the signals of a reply.

    A value that can't be read counts as absent; it is counted in `dropped_total`.

    Args:
        fields: Headers of the reply by name in lower case.
        status: HTTP status of the reply.
        names: Configured names of the protocol's HTTP headers.
    """
    rate_limit = fields.get(names.rate_limit.lower())
    leaving = fields.get(names.leaving.lower())
    pause = fields.get(RETRY_AFTER_FIELD) if status == STATUS_UNAVAILABLE else None
    load = fields.get(names.load.lower())
    if rate_limit is None and leaving is None and pause is None and load is None:
        return NO_SIGNALS
    return UpstreamSignals(
        rate_limit_per_s=None if rate_limit is None else parse_number(rate_limit),
        is_leaving=leaving in LEAVING_VALUES,
        pause_ms=0.0 if pause is None else parse_pause_ms(pause),
        load=None if load is None else parse_load(load),
    )


def parse_load(value: str) -> ReportedLoad | None:
    """Returns a reported load, or None if it can't be read.

    Args:
        value: Requests running, requests waiting and slots, separated by commas, and
            optionally the processing time in percent of the usual.
    """
    # One part more than allowed is enough to tell that there are too many.
    figures = [parse_number(part) for part in value.split(",", MAX_LOAD_FIGURES)]
    if None in figures:
        return None
    match figures:
        case [running, waiting, slots] if slots > 0.0:
            return ReportedLoad(running=running, waiting=waiting, slots=slots)
        case [running, waiting, slots, percent] if slots > 0.0 and percent > 0.0:
            return ReportedLoad(
                running=running, waiting=waiting, slots=slots, percent=percent
            )
        case _:
            metrics.dropped_total.inc({"reason": "malformed_signal"})
            return None


def parse_pause_ms(value: str) -> float:
    """Returns the pause in milliseconds that a Retry-After header asks for.

    Returns 0 for a value that is no number of seconds, such as a date.
    """
    return min(PAUSE_LIMIT_MS, (parse_number(value) or 0.0) * MS_PER_S)


def parse_number(value: str) -> float | None:
    """Returns a finite number that is not negative, or None if there is none."""
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not (math.isfinite(number) and number >= 0.0):
        metrics.dropped_total.inc({"reason": "malformed_signal"})
        return None
    return number
