"""What an upstream says about its own load in the headers of a reply."""

import dataclasses
import math
from collections.abc import Mapping

from gooseberrymux import metrics
from gooseberrymux.settings import HeaderNames


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamSignals:
    """Signals of one reply.

    Attributes:
        rate_limit_per_s: Requests a second that the upstream takes from all instances
            together; None if it names no limit.
        is_leaving: Whether the upstream leaves and wants no new requests.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False


LEAVING_VALUES = frozenset({"1", "true"})

# Shared instance for the replies that carry no signal, which are nearly all.
NO_SIGNALS = UpstreamSignals()


def parse_signals(fields: Mapping[str, str], names: HeaderNames) -> UpstreamSignals:
    """Returns the signals of a reply.

    A value that can't be read counts as absent; it is counted in `dropped_total`.

    Args:
        fields: Headers of the reply by name in lower case.
        names: Configured names of the protocol's HTTP headers.
    """
    rate_limit = fields.get(names.rate_limit.lower())
    leaving = fields.get(names.leaving.lower())
    if rate_limit is None and leaving is None:
        return NO_SIGNALS
    return UpstreamSignals(
        rate_limit_per_s=None if rate_limit is None else parse_number(rate_limit),
        is_leaving=leaving in LEAVING_VALUES,
    )


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
