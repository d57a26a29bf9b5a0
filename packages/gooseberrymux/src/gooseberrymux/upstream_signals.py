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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSignals:
    """Signals of one reply.

    Attributes:
        rate_limit_per_s: Requests a second that the upstream takes from all instances
            together; None if it names no limit.
        is_leaving: Whether the upstream leaves and wants no new requests.
        pause_ms: For how many milliseconds the upstream wants nothing from this
            instance; 0 if it asks for no pause.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: float = 0.0


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
    if rate_limit is None and leaving is None and pause is None:
        return NO_SIGNALS
    return UpstreamSignals(
        rate_limit_per_s=None if rate_limit is None else parse_number(rate_limit),
        is_leaving=leaving in LEAVING_VALUES,
        pause_ms=0.0 if pause is None else parse_pause_ms(pause),
    )


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
