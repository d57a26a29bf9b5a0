"""Decides for one service how many of its requests may leave their owner's domain.

The home domain is the failure domain of the owner; every other domain is remote. Free
of I/O; times are milliseconds on the monotonic clock.
"""

import dataclasses
import math
from collections.abc import Mapping

from gooseberrymux import journal
from gooseberrymux.settings import ForwardingSettings

# In median exchange times. It exceeds the usual differences between upstreams and the
# cost of one busy slot, so that traffic leaves the domain only if the upstream there
# does not keep pace.
REMOTE_DOMAIN_COST = 0.5
# From this difference on, in medians, the better upstream is used whatever the share.
# The evidence of an upstream differs by 0.7 after a pause of both its slots, and by 1.0
# or more at half the usual speed.
CLEAR_DIFFERENCE = 0.9
# The share is a whole number of steps, so that it and its credit are exact. One step up
# each `STEP_UP_MS` is 0.5 a second. Demand that swings by 0.55 with a period of 13 s
# changes by at most 0.27 of its mean a second.
STEPS = 20
STEP_UP_MS = 100.0
# Half as fast: a share that is too high costs traffic, one that is too low costs time.
STEP_DOWN_MS = 200.0
# The share rises once home takes longer than the remote domain by more than this
# multiple of the cost of crossing, falls below the lower one, and stays between them.
RAISE_FACTOR = 1.25
LOWER_FACTOR = 0.5
# Least cost in median exchange times that these factors apply to, so that there is
# hysteresis also where crossing is free.
MIN_COST_MEDIANS = 0.1
# Average shares of a domain's slots that are busy. The domain counts as short of
# capacity from the first share on, and until its load has fallen below the second.
SHORT_BUSY_SHARE = 0.9
RELIEVED_BUSY_SHARE = 0.75
# Averages cover about the last second; at low rates one sample counts for a quarter.
AVERAGE_MS = 1_000.0
SAMPLE_WEIGHT_LIMIT = 0.25
# Weight of one exchange in the average of their sizes.
SIZE_WEIGHT = 0.1
# A request is kept at home only while it has time for an exchange that takes the 95th
# percentile, and then for a hedge of this many medians.
HEDGE_MEDIANS = 1.5
# Size of the headers of an ordinary reply (docs/design/spillover.md).
REPLY_HEAD_BYTES = 250
BYTES_PER_KB = 1_024
# A service gets at most one log line in this time.
LOG_INTERVAL_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fixed:
    """Sends leave at once if home has no free slot; crossing costs a constant."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adaptive:
    """First sends leave in the share that pays off, and when home is too late.

    Attributes:
        crossing_ms: Time and price of an exchange with a remote domain, in ms.
        crossing_ms_per_kb: Price of each KB of its request and reply, in ms.
    """

    crossing_ms: float
    crossing_ms_per_kb: float


SpilloverPolicy = Fixed | Adaptive


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainLoad:
    """Load of a service's usable upstreams in one failure domain.

    Attributes:
        slots: Slots of the upstreams that are neither stalled nor slow.
        busy: Exchanges that occupy or wait for these slots.
        duration: Expected duration of an exchange at the fastest of them, in medians;
            of a stalled or slow one if there is no other.
    """

    slots: int
    busy: float
    duration: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request that has arrived, and what waits before it.

    Attributes:
        waiting: Queued requests that may leave and still wait, as no domain has a free
            slot.
        median_ms: Usual duration of its exchange.
        p95_ms: 95th percentile of it.
        latest_ms: When its exchange must end, for its target and its deadline.
        size_bytes: Size of the request.
    """

    waiting: int
    median_ms: float
    p95_ms: float
    latest_ms: float
    size_bytes: int


def create_spillover_policy(settings: ForwardingSettings) -> SpilloverPolicy:
    """Returns the policy that the settings select."""
    if settings.spillover == "fixed":
        return Fixed()
    return Adaptive(
        crossing_ms=settings.crossing_ms,
        crossing_ms_per_kb=settings.crossing_ms_per_kb,
    )


class Spillover:
    """The share of a service's requests that may leave the home domain.

    Not thread-safe: the pool holds its lock around each call.
    """

    __slots__ = (
        "_service",
        "_policy",
        "_steps",
        "_credit",
        "_stepped_ms",
        "_sampled_ms",
        "_home_ms",
        "_remote_ms",
        "_busy_shares",
        "_short",
        "_median_ms",
        "_size_bytes",
        "_crossing_ms",
        "_logged_steps",
        "_logged_ms",
    )

    def __init__(self, *, service: str, policy: SpilloverPolicy):
        self._service = service
        self._policy = policy
        self._steps = 0
        # Sends that may leave, in `STEPS` to one send.
        self._credit = 0
        self._stepped_ms = float("-inf")
        self._sampled_ms = float("-inf")
        self._home_ms: float | None = None
        self._remote_ms: float | None = None
        self._busy_shares: dict[str, float] = {}
        self._short: set[str] = set()
        self._median_ms = 1.0
        self._size_bytes: float | None = None
        self._crossing_ms = 0.0
        self._logged_steps = 0
        self._logged_ms = float("-inf")

    @property
    def is_adaptive(self) -> bool:
        """Whether the share is decided here; otherwise all requests may leave."""
        return isinstance(self._policy, Adaptive)

    @property
    def share(self) -> float:
        """Share of the requests that may leave the home domain, 0 to 1."""
        return self._steps / STEPS if self.is_adaptive else 1.0

    @property
    def crossing_cost(self) -> float:
        """Cost of an exchange with a remote domain, in medians."""
        match self._policy:
            case Fixed():
                return REMOTE_DOMAIN_COST
            case Adaptive():
                return max(REMOTE_DOMAIN_COST, self._crossing_ms / self._median_ms)

    @property
    def may_leave(self) -> bool:
        """Whether the share lets the next request leave, although it could stay."""
        return self._steps == STEPS or self._credit >= STEPS

    def is_short(self, domain: str) -> bool:
        """Returns whether a domain has no capacity to spare for other domains."""
        return domain in self._short

    def record_leave(self) -> None:
        """Counts a first send to a remote domain towards the share."""
        self._credit = max(0, self._credit - STEPS)

    def record_size(self, request_bytes: int, reply_body_bytes: int) -> None:
        """Adds the size of an exchange to the average."""
        if self.is_adaptive:
            size_bytes = request_bytes + REPLY_HEAD_BYTES + reply_body_bytes
            self._size_bytes = average(self._size_bytes, size_bytes, SIZE_WEIGHT)

    def record_arrival(
        self,
        arrival: Arrival,
        *,
        home: DomainLoad | None,
        remote: Mapping[str, DomainLoad],
        now_ms: float,
    ) -> float:
        """Updates the share, and returns until when the new request is kept at home.

        Args:
            arrival: The request that has arrived.
            home: Load of the home domain; None without a usable upstream.
            remote: Loads of the remote domains that have a usable upstream.
            now_ms: Monotonic time in milliseconds.
        """
        self._median_ms = max(1.0, arrival.median_ms)
        if self._size_bytes is None:
            self._size_bytes = float(arrival.size_bytes + REPLY_HEAD_BYTES)
        self._crossing_ms = self._compute_crossing_ms(self._size_bytes)
        self._sample_remote(arrival, remote, now_ms)
        self._sample_home(arrival, home, now_ms)
        self._sampled_ms = now_ms
        self._step(home, now_ms)
        self._credit = min(STEPS, self._credit + self._steps)
        self._record_change(arrival, home, remote, now_ms)
        return self._compute_kept_until(arrival, home, remote, now_ms)

    def _compute_kept_until(
        self,
        arrival: Arrival,
        home: DomainLoad | None,
        remote: Mapping[str, DomainLoad],
        now_ms: float,
    ) -> float:
        """Returns until when a request is kept at home, in monotonic milliseconds."""
        if home is None:
            return now_ms
        duration = max(load.duration for load in (home, *remote.values()))
        spare_ms = (
            arrival.latest_ms
            - now_ms
            - self._crossing_ms
            - duration * arrival.p95_ms
            - HEDGE_MEDIANS * arrival.median_ms
        )
        # A wait as long as the cost of crossing is at most twice as bad as the better
        # choice, whenever a slot at home becomes free.
        return now_ms + max(0.0, min(self._crossing_ms, spare_ms))

    def _compute_crossing_ms(self, size_bytes: float) -> float:
        match self._policy:
            case Fixed():
                return 0.0
            case Adaptive(crossing_ms=crossing_ms, crossing_ms_per_kb=ms_per_kb):
                return crossing_ms + ms_per_kb * size_bytes / BYTES_PER_KB

    def _compute_weight(self, now_ms: float) -> float:
        age_ms = now_ms - self._sampled_ms
        return min(SAMPLE_WEIGHT_LIMIT, 1.0 - math.exp(-age_ms / AVERAGE_MS))

    def _sample_home(
        self, arrival: Arrival, home: DomainLoad | None, now_ms: float
    ) -> None:
        """Adds the time that the new request would take at home to the average."""
        if home is None:
            self._home_ms = None
            return
        home_ms = estimate_ms(home, arrival)
        self._home_ms = average(self._home_ms, home_ms, self._compute_weight(now_ms))

    def _sample_remote(
        self, arrival: Arrival, remote: Mapping[str, DomainLoad], now_ms: float
    ) -> None:
        """Adds the loads of the remote domains, and finds those that are short."""
        weight = self._compute_weight(now_ms)
        known = self._busy_shares
        self._busy_shares = {
            domain: average(known.get(domain), compute_busy_share(load), weight)
            for domain, load in remote.items()
        }
        self._short = {
            domain
            for domain, busy in self._busy_shares.items()
            if busy >= SHORT_BUSY_SHARE
            or (busy > RELIEVED_BUSY_SHARE and domain in self._short)
        }
        found_ms = [
            estimate_ms(load, arrival, crossing_ms=self._crossing_ms)
            for domain, load in remote.items()
            if domain not in self._short
        ]
        if found_ms:
            self._remote_ms = average(self._remote_ms, min(found_ms), weight)
        else:
            self._remote_ms = None

    def _step(self, home: DomainLoad | None, now_ms: float) -> None:
        """Moves the share by at most one step, or to 1 if home has no upstream."""
        if home is None:
            self._steps, self._stepped_ms = STEPS, now_ms
            return
        since_ms = now_ms - self._stepped_ms
        cost_ms = max(self._crossing_ms, MIN_COST_MEDIANS * self._median_ms)
        gain_ms = float("-inf")
        if self._home_ms is not None and self._remote_ms is not None:
            gain_ms = self._home_ms - self._remote_ms
        if gain_ms > RAISE_FACTOR * cost_ms and self._steps < STEPS:
            if since_ms >= STEP_UP_MS:
                self._steps, self._stepped_ms = self._steps + 1, now_ms
        elif gain_ms < LOWER_FACTOR * cost_ms and self._steps > 0:
            if since_ms >= STEP_DOWN_MS:
                self._steps, self._stepped_ms = self._steps - 1, now_ms

    def _record_change(
        self,
        arrival: Arrival,
        home: DomainLoad | None,
        remote: Mapping[str, DomainLoad],
        now_ms: float,
    ) -> None:
        """Logs a change of the share, once the last line is old enough."""
        if self._steps == self._logged_steps:
            return
        if now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        journal.record_event(
            "spillover.share",
            service=self._service,
            before=self._logged_steps / STEPS,
            share=self.share,
            home_ms=round_ms(self._home_ms),
            remote_ms=round_ms(self._remote_ms),
            crossing_ms=round_ms(self._crossing_ms),
            waiting=arrival.waiting,
            home_slots=home.slots if home else 0,
            home_busy=home.busy if home else 0,
            remote_slots={domain: load.slots for domain, load in remote.items()},
            short=sorted(self._short),
        )
        self._logged_steps, self._logged_ms = self._steps, now_ms


def estimate_ms(
    load: DomainLoad, arrival: Arrival, *, crossing_ms: float = 0.0
) -> float:
    """Returns the expected wait and duration of a request in a domain.

    Requests that are kept at home don't count as waiting: as a higher share ends their
    wait, it would lower itself again.

    Args:
        load: The domain.
        arrival: The request.
        crossing_ms: Cost of crossing. Observed durations contain its time, which must
            not count twice; the time beyond the median is taken for it.
    """
    duration_ms = load.duration * arrival.median_ms
    if duration_ms > arrival.median_ms:
        duration_ms = max(arrival.median_ms, duration_ms - crossing_ms)
    if not load.slots:
        # It is not known when a stalled upstream will resume.
        return duration_ms + arrival.p95_ms
    ahead = max(0.0, load.busy + arrival.waiting + 1 - load.slots)
    return duration_ms * (1.0 + ahead / load.slots)


def compute_busy_share(load: DomainLoad) -> float:
    """Returns the part of a domain's slots that is busy, at most 1."""
    return min(1.0, load.busy / load.slots) if load.slots else 1.0


def average(value: float | None, sample: float, weight: float) -> float:
    """Returns a moving average with a new sample, which is the first if it is None."""
    return sample if value is None else value + weight * (sample - value)


def round_ms(value: float | None) -> float | None:
    """Returns a time rounded for the log."""
    return None if value is None else round(value, 1)
