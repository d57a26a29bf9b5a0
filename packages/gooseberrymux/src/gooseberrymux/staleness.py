"""Times that follow from the staleness bound, as shares of it.

The staleness bound is the time from the acknowledgement of a change to its being in
force on all instances. All waits and timeouts on that way are parts of it, so that
together they stay below it.
"""

from gooseberrymux.settings import PlatformSettings

# A reader's proofs follow each other at this share; the rest up to the share of the
# first substitutes is for the answer and its way through the fleet.
WATCH_SHARE = 0.3
# Age of the latest proof at which the first substitutes read, and the last ones. The
# second half of the bound is for their read, and for the spreading of what it found.
FIRST_SUBSTITUTE_SHARE = 0.4
LAST_SUBSTITUTE_SHARE = 0.5
# A read without an answer is given up after this share.
CALL_SHARE = 0.25
# A substitute that got no answer reads again after this share.
RETRY_SHARE = 0.5


def compute_read_timeout_ms(settings: PlatformSettings) -> float:
    """Returns how long to wait for the answer to a read of documents."""
    return min(settings.timeout_ms, CALL_SHARE * settings.staleness_bound_ms)
