"""Slots of an upstream stand-in: waiting, running, cancellation, deadlines, counts."""

import dataclasses
import random
import threading
from collections.abc import Callable

from gooseberrymux.clock import Clock

ANY_SHARD = "*"
SEED_FACTOR = 1_000_003

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@dataclasses.dataclass(slots=True, kw_only=True)
class Behaviour:
    """How an upstream behaves; each field can be changed at run time.

    Attributes:
        name: Name of the upstream.
        slots: Requests that run at the same time.
        queue_limit: Requests that wait for a slot; further ones are shed.
        connections: Connections accepted at the same time.
        connect_ms: Time before the first request of a connection is read.
        service_ms: Mean time a request runs, in milliseconds.
        spread: Half width of the uniform service time, as a share of the mean.
        straggler_share: Probability that a request is a straggler.
        straggler_factor: How much longer a straggler runs.
        cold_requests: Number of first requests that are slower.
        cold_factor: How much longer these run.
        draining: Whether new requests are refused as draining.
        versions: Shards of each index version served; `*` means all shards.
        health_lag_ms: Age of what the health endpoint says.
        health_lie: Fields that the health endpoint states instead of the truth.
        truncate: Number of next replies that are cut in half.
        garble: Number of next replies that are not JSON.
        drop: Number of next requests that run but get no reply.
        foreign: Number of next replies that carry another request's id.
        delay: Number of next replies that are sent late.
        delay_ms: How late.
    """

    name: str = "upstream"
    slots: int = 2
    queue_limit: int = 2
    connections: int = 25
    connect_ms: float = 0.0
    service_ms: float = 5.0
    spread: float = 0.5
    straggler_share: float = 0.0
    straggler_factor: float = 10.0
    cold_requests: int = 0
    cold_factor: float = 5.0
    draining: bool = False
    versions: dict = dataclasses.field(default_factory=lambda: {"v1": ANY_SHARD})
    health_lag_ms: float = 0.0
    health_lie: dict = dataclasses.field(default_factory=dict)
    truncate: int = 0
    garble: int = 0
    drop: int = 0
    foreign: int = 0
    delay: int = 0
    delay_ms: float = 0.0
    seed: int = 1


@_frozen
class Completed:
    """The request ran to its end."""


@_frozen
class Shed:
    """All slots and the queue were full."""


@_frozen
class Expired:
    """The deadline passed, before or after the request started."""

    started: bool


@_frozen
class Cancelled:
    """The request was cancelled, before or after it started."""

    started: bool


Outcome = Completed | Shed | Expired | Cancelled


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One request that waits for a slot or runs."""

    request_id: str
    cancelled: bool = False


class Slots:
    """Runs as many jobs at a time as the behaviour has slots, in order of arrival."""

    __slots__ = (
        "_clock",
        "_behaviour",
        "_random",
        "_changed",
        "_waiting",
        "_running",
        "_started",
        "_peak",
        "_sheds",
        "_cancels",
        "_samples",
    )

    def __init__(self, *, clock: Clock, behaviour: Behaviour):
        self._clock = clock
        self._behaviour = behaviour
        self._random = random.Random(behaviour.seed * SEED_FACTOR)
        self._changed = threading.Condition()
        self._waiting: list[Job] = []
        self._running: set[Job] = set()
        self._started = 0
        self._peak = 0
        self._sheds = 0
        self._cancels = 0
        self._samples: list[tuple[float, dict]] = []
        self._record_health()

    def run(
        self,
        *,
        request_id: str,
        remaining_ms: float | None,
        when_started: Callable[[], None] | None = None,
    ) -> Outcome:
        """Waits for a slot, then for the service time.

        Args:
            request_id: Names the job for `cancel`.
            remaining_ms: Time until the deadline in milliseconds; None for none.
            when_started: Called once the job has a slot.
        """
        now_ms = self._clock.now_ms()
        until_ms = float("inf") if remaining_ms is None else now_ms + remaining_ms
        job = Job(request_id=request_id)
        with self._changed:
            if self._is_full():
                self._sheds += 1
                return Shed()
            self._waiting.append(job)
            try:
                return self._wait_and_serve(job, until_ms, when_started)
            finally:
                if job in self._waiting:
                    self._waiting.remove(job)
                self._running.discard(job)
                self._record_health()
                self._changed.notify_all()

    def cancel(self, request_id: str) -> bool:
        """Ends the waiting or running jobs of a request; returns whether any was."""
        with self._changed:
            found = [
                job
                for job in (*self._waiting, *self._running)
                if job.request_id == request_id
            ]
            for job in found:
                job.cancelled = True
                self._cancels += 1
            self._changed.notify_all()
            return bool(found)

    def record_change(self) -> None:
        """Lets waiting jobs and the health endpoint see a changed behaviour."""
        with self._changed:
            self._record_health()
            self._changed.notify_all()

    def get_stats(self) -> dict:
        """Returns counts since the start and what runs now."""
        with self._changed:
            return {
                "started": self._started,
                "sheds": self._sheds,
                "cancels": self._cancels,
                "running": len(self._running),
                "waiting": len(self._waiting),
                "peak_running": self._peak,
            }

    def describe_health(self) -> dict:
        """Returns state and load as they were before the lag."""
        edge_ms = self._clock.now_ms() - self._behaviour.health_lag_ms
        with self._changed:
            old = [sample for at_ms, sample in self._samples if at_ms <= edge_ms]
            return old[-1] if old else self._samples[0][1]

    def _is_full(self) -> bool:
        held = len(self._running) + len(self._waiting)
        return held >= self._behaviour.slots + self._behaviour.queue_limit

    def _wait_and_serve(
        self, job: Job, until_ms: float, when_started: Callable[[], None] | None
    ) -> Outcome:
        # The caller holds the condition; each wait gives it up.
        while self._waiting[0] is not job or (
            len(self._running) >= self._behaviour.slots
        ):
            if job.cancelled:
                return Cancelled(started=False)
            if not self._wait(until_ms):
                return Expired(started=False)
        if job.cancelled:
            return Cancelled(started=False)
        if self._clock.now_ms() >= until_ms:
            return Expired(started=False)
        self._waiting.remove(job)
        self._running.add(job)
        self._started += 1
        if when_started:
            when_started()
        self._peak = max(self._peak, len(self._running))
        self._record_health()
        self._changed.notify_all()
        done_ms = self._clock.now_ms() + self._draw_service_ms()
        while self._clock.now_ms() < done_ms:
            if job.cancelled:
                return Cancelled(started=True)
            if not self._wait(min(done_ms, until_ms)) and until_ms < done_ms:
                return Expired(started=True)
        return Completed()

    def _wait(self, until_ms: float) -> bool:
        """Waits for a change; returns False if `until_ms` has passed."""
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            return False
        self._clock.wait(self._changed, None if left_ms == float("inf") else left_ms)
        return True

    def _draw_service_ms(self) -> float:
        behaviour = self._behaviour
        factor = self._random.uniform(1 - behaviour.spread, 1 + behaviour.spread)
        if self._random.random() < behaviour.straggler_share:
            factor *= behaviour.straggler_factor
        if self._started <= behaviour.cold_requests:
            factor *= behaviour.cold_factor
        return behaviour.service_ms * factor

    def _record_health(self) -> None:
        """Keeps what the health endpoint will say after its lag."""
        now_ms = self._clock.now_ms()
        state = "draining" if self._behaviour.draining else "ready"
        load = len(self._running) / max(1, self._behaviour.slots)
        self._samples.append((now_ms, {"state": state, "load": load}))
        edge_ms = now_ms - self._behaviour.health_lag_ms
        while len(self._samples) > 1 and self._samples[1][0] <= edge_ms:
            del self._samples[0]
