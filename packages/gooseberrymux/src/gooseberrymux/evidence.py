"""What this instance itself observed on one upstream, and its admission state."""

import dataclasses

from gooseberrymux.records import UpstreamRecord

# Weights of the newest sample.
LATENCY_WEIGHT = 0.2
PRESSURE_WEIGHT = 0.3
# A sample counts as at most this many times the estimate. One straggler then moves a
# replica by less than `routing.TIE_FACTOR`; a replica that stays slow is left after
# two or three. Without the bound each straggler sent all traffic to the other replica.
SAMPLE_LIMIT_FACTOR = 2.5
# Without new samples an estimate loses half its distance to the best replica in this
# time, so that a replica that was slow is tried again.
LATENCY_HALF_LIFE_MS = 5_000
# Shed replies say that the upstream is full now; a second later they say little.
PRESSURE_HALF_LIFE_MS = 1_000
PRESSURE_COST = 4.0
EJECT_FAILURES = 3
EJECT_MS = 1_000
EJECT_LIMIT_MS = 30_000
# A probe whose outcome never came back stops blocking the next one.
PROBE_TIMEOUT_MS = 5_000
RAMP_MS = 10_000
# Shares of its normal traffic that a cold upstream gets in the quarters of the ramp.
RAMP_SHARES = (0.1, 0.25, 0.5, 0.75)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Serving:
    """Takes its full share of the traffic."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ejected:
    """Gets nothing until `until_ms`, after failures in a row.

    Attributes:
        until_ms: When one sub-request may probe it.
        times: Ejections without a success between them.
    """

    until_ms: float
    times: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probing:
    """One sub-request is out to see whether it answers again."""

    since_ms: float
    times: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ramping:
    """Cold: its share grows step by step."""

    since_ms: float


AdmissionState = Serving | Ejected | Probing | Ramping

# States without content, built once.
SERVING = Serving()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replied:
    """It ran a sub-request.

    Attributes:
        elapsed_ms: Time without the queue at the owner.
        queue_wait_ms: Owner's estimate of the next wait.
    """

    elapsed_ms: float
    queue_wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Overtaken:
    """A hedge answered first; its own time is at least `elapsed_ms`."""

    elapsed_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shed:
    """It, or its owner's queue, refused work for load."""

    queue_wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """It could not be reached, broke off, or gave a reply that can't be read."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoEvidence:
    """The outcome says nothing on the upstream."""


Observation = Replied | Overtaken | Shed | Failed | NoEvidence


class Evidence:
    """What was observed on one upstream.

    Not thread-safe: `Routing` holds its lock around each call that changes it.
    """

    __slots__ = (
        "epoch",
        "state",
        "in_flight",
        "failures",
        "latency_ms",
        "_sampled_ms",
        "_pressure",
        "_pressed_ms",
        "_wait_ms",
        "_waited_ms",
    )

    def __init__(self, *, epoch: int, state: AdmissionState):
        self.epoch = epoch
        self.state = state
        self.in_flight = 0
        self.failures = 0
        self.latency_ms: float | None = None
        self._sampled_ms = 0.0
        self._pressure = 0.0
        self._pressed_ms = 0.0
        self._wait_ms = 0.0
        self._waited_ms = 0.0

    def observe(self, observation: Observation, now_ms: float) -> None:
        """Takes in what an outcome says."""
        match observation:
            case Replied(elapsed_ms=elapsed_ms, queue_wait_ms=wait_ms):
                self._learn_latency(elapsed_ms, now_ms)
                self._learn_pressure(0.0, now_ms)
                self._wait_ms, self._waited_ms = wait_ms, now_ms
                self._succeed(now_ms)
            case Overtaken(elapsed_ms=elapsed_ms):
                if self.latency_ms is None or elapsed_ms > self.latency_ms:
                    self._learn_latency(elapsed_ms, now_ms)
            case Shed(queue_wait_ms=wait_ms):
                self._learn_pressure(1.0, now_ms)
                self._wait_ms, self._waited_ms = wait_ms, now_ms
                # It answered, so it is not down.
                self._succeed(now_ms)
            case Failed():
                self._fail(now_ms)
            case NoEvidence():
                self._release_probe(now_ms)

    def press(self, now_ms: float) -> None:
        """Makes it look as busy as a shed reply does, for a failure among successes."""
        self._learn_pressure(1.0, now_ms)

    def estimate_ms(
        self, *, record: UpstreamRecord, neutral_ms: float, now_ms: float
    ) -> float:
        """Estimates the time in milliseconds until a sub-request sent now is answered.

        Args:
            record: The upstream.
            neutral_ms: Latency to assume without samples.
            now_ms: Monotonic time in milliseconds.
        """
        latency_ms = neutral_ms
        if self.latency_ms is not None:
            kept = 0.5 ** ((now_ms - self._sampled_ms) / LATENCY_HALF_LIFE_MS)
            latency_ms += (self.latency_ms - neutral_ms) * kept
        # A queue drains while nobody reports on it.
        wait_ms = 0.0
        if self._wait_ms:
            wait_ms = max(0.0, self._wait_ms - (now_ms - self._waited_ms))
        pressure = self._decay_pressure(now_ms)
        busy = 1.0 + self.in_flight / max(1, record.slots)
        return (wait_ms + latency_ms * busy) * (1.0 + PRESSURE_COST * pressure)

    def get_share(self, now_ms: float) -> float:
        """Returns the share of its normal traffic that it may get now."""
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
        """Returns whether the next sub-request may find out if it is back."""
        match self.state:
            case Ejected() | Probing():
                return self.get_share(now_ms) > 0.0
            case _:
                return False

    def begin(self, now_ms: float) -> None:
        """Counts a sub-request that is sent now."""
        self.in_flight += 1
        match self.state:
            case Ejected(until_ms=until_ms, times=times) if now_ms >= until_ms:
                self.state = Probing(since_ms=now_ms, times=times)
            case Probing(since_ms=since, times=times) if (
                now_ms >= since + PROBE_TIMEOUT_MS
            ):
                self.state = Probing(since_ms=now_ms, times=times)
            case Ramping(since_ms=since_ms) if now_ms >= since_ms + RAMP_MS:
                self.state = SERVING
            case _:
                pass

    def _learn_latency(self, elapsed_ms: float, now_ms: float) -> None:
        if self.latency_ms is None:
            self.latency_ms = elapsed_ms
        else:
            sample_ms = min(elapsed_ms, SAMPLE_LIMIT_FACTOR * self.latency_ms)
            self.latency_ms += LATENCY_WEIGHT * (sample_ms - self.latency_ms)
        self._sampled_ms = now_ms

    def _learn_pressure(self, sample: float, now_ms: float) -> None:
        pressure = self._decay_pressure(now_ms)
        self._pressure = pressure + PRESSURE_WEIGHT * (sample - pressure)
        self._pressed_ms = now_ms

    def _decay_pressure(self, now_ms: float) -> float:
        if not self._pressure:
            return 0.0
        age_ms = now_ms - self._pressed_ms
        return self._pressure * 0.5 ** (age_ms / PRESSURE_HALF_LIFE_MS)

    def _succeed(self, now_ms: float) -> None:
        self.failures = 0
        match self.state:
            case Probing() | Ejected():
                self.state = Ramping(since_ms=now_ms)
            case _:
                pass

    def _fail(self, now_ms: float) -> None:
        self.failures += 1
        match self.state:
            case Probing(times=times):
                self.state = eject(times + 1, now_ms)
            case Ejected():
                pass
            case _ if self.failures >= EJECT_FAILURES:
                self.state = eject(1, now_ms)
            case _:
                pass

    def _release_probe(self, now_ms: float) -> None:
        match self.state:
            case Probing(times=times):
                self.state = Ejected(until_ms=now_ms, times=times)
            case _:
                pass


def eject(times: int, now_ms: float) -> Ejected:
    """Returns an ejection that doubles with each failed probe, up to the limit."""
    duration_ms = min(EJECT_LIMIT_MS, EJECT_MS * 2 ** min(times - 1, 10))
    return Ejected(until_ms=now_ms + duration_ms, times=times)
