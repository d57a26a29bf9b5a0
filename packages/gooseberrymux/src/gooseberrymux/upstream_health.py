"""Passive health tracking of one upstream: load, ejection, probing and slow start.

Uses only the outcomes that this instance observed. A sub-request reaches its upstream
through the instance that owns the upstream, which queues it if the upstream is busy.
"""

import dataclasses

from gooseberrymux.records import UpstreamRecord

# Weights of the newest sample in the moving averages.
LATENCY_WEIGHT = 0.2
SHED_RATE_WEIGHT = 0.3
# A latency sample counts as at most this many times the estimate. One slow outlier then
# raises the estimate by less than `routing.TIE_FACTOR`, and a replica that stays slow
# loses its traffic after two or three samples. Without the bound, each outlier sent all
# traffic to the other replica.
SAMPLE_LIMIT_FACTOR = 2.5
# Without new samples, the difference between a latency estimate and that of the best
# replica halves in this time, so that a replica that was slow is tried again.
LATENCY_HALF_LIFE_MS = 5_000
# A shed reply says that the upstream is full now, and little about a second later.
SHED_RATE_HALF_LIFE_MS = 1_000
SHED_RATE_COST_FACTOR = 4.0
# Consecutive failures after which an upstream is ejected.
EJECT_FAILURES = 3
# Length of the first ejection, which doubles with each failed probe.
EJECT_MS = 1_000
EJECT_LIMIT_MS = 30_000
# After this, another probe may be sent although the outcome of the last is missing.
PROBE_TIMEOUT_MS = 5_000
RAMP_MS = 10_000
# Shares of its normal traffic that a cold upstream gets in each quarter of `RAMP_MS`.
RAMP_SHARES = (0.1, 0.25, 0.5, 0.75)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Serving:
    """The upstream gets its full share of the traffic."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ejected:
    """The upstream gets no traffic, after consecutive failures.

    Attributes:
        until_ms: Monotonic time in milliseconds at which one sub-request may probe it.
        ejection_count: Number of ejections since the last success.
    """

    until_ms: float
    ejection_count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probing:
    """One sub-request is in flight to find out whether the upstream has recovered.

    Attributes:
        since_ms: Monotonic time in milliseconds at which the probe was sent.
        ejection_count: Number of ejections since the last success.
    """

    since_ms: float
    ejection_count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ramping:
    """The upstream is cold, and its share of the traffic grows in steps.

    Attributes:
        since_ms: Monotonic time in milliseconds at which the ramp started.
    """

    since_ms: float


AdmissionState = Serving | Ejected | Probing | Ramping

# Shared instance of the state that has no fields.
SERVING = Serving()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replied:
    """The upstream ran a sub-request.

    Attributes:
        elapsed_ms: Response time without the wait in the owner's queue.
        queue_wait_ms: Owner's estimate of the queue wait of the next sub-request.
    """

    elapsed_ms: float
    queue_wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overtaken:
    """No reply had come after `elapsed_ms`, a lower bound of the response time.

    Either a hedge to another replica was answered first, or the deadline passed.
    """

    elapsed_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shed:
    """The upstream or its owner's queue refused a sub-request because of load.

    Attributes:
        queue_wait_ms: Owner's estimate of the queue wait of the next sub-request.
    """

    queue_wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The upstream was unreachable, closed the connection or sent an invalid reply."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoEvidence:
    """The outcome says nothing about the health of the upstream."""


Observation = Replied | Overtaken | Shed | Failed | NoEvidence


class UpstreamHealth:
    """Health of one upstream, from the outcomes that this instance observed.

    Not thread-safe: callers must hold a lock around each call that changes it.
    `Replica` passes times as multiples of a usual exchange instead of milliseconds.

    Attributes:
        epoch: Epoch of the upstream's registration that the observations are about.
        state: Whether and how much traffic the upstream may get.
        in_flight: Number of sub-requests without an outcome.
        failures: Number of failures since the last success.
        latency_ms: Moving average of the response time, or None without samples.
    """

    __slots__ = (
        "epoch",
        "state",
        "in_flight",
        "failures",
        "latency_ms",
        "_latency_updated_ms",
        "_shed_rate",
        "_shed_rate_updated_ms",
        "_queue_wait_ms",
        "_queue_wait_updated_ms",
    )

    def __init__(self, *, epoch: int, state: AdmissionState):
        self.epoch = epoch
        self.state = state
        self.in_flight = 0
        self.failures = 0
        self.latency_ms: float | None = None
        self._latency_updated_ms = 0.0
        self._shed_rate = 0.0
        self._shed_rate_updated_ms = 0.0
        self._queue_wait_ms = 0.0
        self._queue_wait_updated_ms = 0.0

    def observe(self, observation: Observation, now_ms: float) -> None:
        """Updates the estimates and the state with the observation of one outcome."""
        match observation:
            case Replied(elapsed_ms=elapsed_ms, queue_wait_ms=wait_ms):
                self._update_latency(elapsed_ms, now_ms)
                self._update_shed_rate(0.0, now_ms)
                self._queue_wait_ms, self._queue_wait_updated_ms = wait_ms, now_ms
                self._record_success(now_ms)
            case Overtaken(elapsed_ms=elapsed_ms):
                if self.latency_ms is None or elapsed_ms > self.latency_ms:
                    self._update_latency(elapsed_ms, now_ms)
                self._end_overtaken_probe(now_ms)
            case Shed(queue_wait_ms=wait_ms):
                self._update_shed_rate(1.0, now_ms)
                self._queue_wait_ms, self._queue_wait_updated_ms = wait_ms, now_ms
                # A refusal is a reply, so the upstream is not down.
                self._record_success(now_ms)
            case Failed():
                self._record_failure(now_ms)
            case NoEvidence():
                self._release_probe(now_ms)

    def count_as_shed(self, now_ms: float) -> None:
        """Raises the shed rate as a shed reply does.

        For failures among successes, which are too far apart to eject the upstream.
        """
        self._update_shed_rate(1.0, now_ms)

    def estimate_response_ms(
        self, *, record: UpstreamRecord, neutral_ms: float, now_ms: float
    ) -> float:
        """Estimates the time in milliseconds until a sub-request sent now is answered.

        Args:
            record: The upstream.
            neutral_ms: Latency to assume without samples, in milliseconds.
            now_ms: Monotonic time in milliseconds.
        """
        latency_ms = neutral_ms
        if self.latency_ms is not None:
            remaining_weight = 0.5 ** (
                (now_ms - self._latency_updated_ms) / LATENCY_HALF_LIFE_MS
            )
            latency_ms += (self.latency_ms - neutral_ms) * remaining_weight
        # The reported queue is assumed to drain in real time until the next report.
        wait_ms = 0.0
        if self._queue_wait_ms:
            wait_ms = max(
                0.0, self._queue_wait_ms - (now_ms - self._queue_wait_updated_ms)
            )
        shed_rate = self._get_shed_rate(now_ms)
        load_factor = 1.0 + self.in_flight / max(1, record.slots)
        return (wait_ms + latency_ms * load_factor) * (
            1.0 + SHED_RATE_COST_FACTOR * shed_rate
        )

    def get_traffic_share(self, now_ms: float) -> float:
        """Returns the share of its normal traffic that the upstream may get, 0 to 1."""
        match self.state:
            case Serving():
                return 1.0
            case Ramping(since_ms=since_ms):
                step = int((now_ms - since_ms) / RAMP_MS * len(RAMP_SHARES))
                if step >= len(RAMP_SHARES):
                    return 1.0
                return RAMP_SHARES[max(0, step)]
            case Ejected(until_ms=until_ms):
                return 1.0 if now_ms >= until_ms else 0.0
            case Probing(since_ms=since_ms):
                return 1.0 if now_ms >= since_ms + PROBE_TIMEOUT_MS else 0.0

    def is_probe_due(self, now_ms: float) -> bool:
        """Returns whether the next sub-request may probe an ejected upstream."""
        match self.state:
            case Ejected() | Probing():
                return self.get_traffic_share(now_ms) > 0.0
            case _:
                return False

    def record_send(self, now_ms: float) -> None:
        """Counts a sub-request that is sent now, and advances a state that is due."""
        self.in_flight += 1
        match self.state:
            case Ejected(until_ms=until_ms, ejection_count=ejection_count) if (
                now_ms >= until_ms
            ):
                self.state = Probing(since_ms=now_ms, ejection_count=ejection_count)
            case Probing(since_ms=since_ms, ejection_count=ejection_count) if (
                now_ms >= since_ms + PROBE_TIMEOUT_MS
            ):
                self.state = Probing(since_ms=now_ms, ejection_count=ejection_count)
            case Ramping(since_ms=since_ms) if now_ms >= since_ms + RAMP_MS:
                self.state = SERVING
            case _:
                pass

    def _update_latency(self, elapsed_ms: float, now_ms: float) -> None:
        if self.latency_ms is None:
            self.latency_ms = elapsed_ms
        else:
            sample_ms = min(elapsed_ms, SAMPLE_LIMIT_FACTOR * self.latency_ms)
            self.latency_ms += LATENCY_WEIGHT * (sample_ms - self.latency_ms)
        self._latency_updated_ms = now_ms

    def _update_shed_rate(self, sample: float, now_ms: float) -> None:
        shed_rate = self._get_shed_rate(now_ms)
        self._shed_rate = shed_rate + SHED_RATE_WEIGHT * (sample - shed_rate)
        self._shed_rate_updated_ms = now_ms

    def _get_shed_rate(self, now_ms: float) -> float:
        if not self._shed_rate:
            return 0.0
        age_ms = now_ms - self._shed_rate_updated_ms
        return self._shed_rate * 0.5 ** (age_ms / SHED_RATE_HALF_LIFE_MS)

    def _record_success(self, now_ms: float) -> None:
        self.failures = 0
        match self.state:
            case Probing() | Ejected():
                self.state = Ramping(since_ms=now_ms)
            case _:
                pass

    def _record_failure(self, now_ms: float) -> None:
        self.failures += 1
        match self.state:
            case Probing(ejection_count=ejection_count):
                self.state = create_ejection(ejection_count + 1, now_ms)
            case Ejected():
                pass
            case _ if self.failures >= EJECT_FAILURES:
                self.state = create_ejection(1, now_ms)
            case _:
                pass

    def _end_overtaken_probe(self, now_ms: float) -> None:
        match self.state:
            case Probing(ejection_count=ejection_count):
                # The upstream was too slow to tell whether it has recovered.
                self.state = create_ejection(ejection_count, now_ms)
            case _:
                pass

    def _release_probe(self, now_ms: float) -> None:
        match self.state:
            case Probing(ejection_count=ejection_count):
                self.state = Ejected(until_ms=now_ms, ejection_count=ejection_count)
            case _:
                pass


def create_ejection(ejection_count: int, now_ms: float) -> Ejected:
    """Returns an ejection whose length doubles with each failed probe, up to the limit.

    Args:
        ejection_count: Ejections since the last success, this one included.
        now_ms: Monotonic time in milliseconds.
    """
    duration_ms = min(EJECT_LIMIT_MS, EJECT_MS * 2 ** min(ejection_count - 1, 10))
    return Ejected(until_ms=now_ms + duration_ms, ejection_count=ejection_count)
