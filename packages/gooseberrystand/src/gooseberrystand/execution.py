"""Execution of requests in an upstream stand-in: slots, queue, deadlines, cancellation.

A request takes a random service time and does no work.
"""

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
    """Capacity, delays and faults of an upstream; tests change fields at run time.

    Attributes:
        name: Name of the upstream.
        slots: Number of requests that run at the same time.
        queue_limit: Number of requests that may wait for a slot; further ones are
            shed.
        connections: Number of connections that may be open; further ones are closed
            at once.
        connect_ms: Time in milliseconds before the first request of a connection is
            read.
        service_ms: Mean time a request runs, in milliseconds.
        spread: Half width of the uniform service time, as a share of the mean.
        straggler_share: Probability that a request is a straggler.
        straggler_factor: Factor on the service time of a straggler.
        cold_requests: Number of requests after the start that run slower.
        cold_factor: Factor on the service time of these requests.
        draining: Whether new requests are refused as draining.
        rate_limit_per_s: Requests a second that replies name as the limit for all
            instances together; 0 to name none. Requests over it are served.
        versions: Shards of each index version served; `*` means all shards.
        health_lag_ms: Age in milliseconds of the state and load that the health
            endpoint reports.
        health_lie: Fields that replace the true ones in replies of the health endpoint.
        truncate: Number of next replies that end after half of their bytes.
        garble: Number of next replies that are not JSON.
        drop: Number of next requests that run but get no reply.
        foreign: Number of next replies that carry another request's id.
        delay: Number of next replies that are sent late.
        delay_ms: Delay of these replies in milliseconds.
        seed: Seed of the service times and stragglers.
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
    rate_limit_per_s: float = 0.0
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
    """The request ran for its full service time."""


@_frozen
class Shed:
    """The request was refused, as all slots and the queue were full."""


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


class RequestSlots:
    """Runs jobs in order of arrival, as many at a time as the behaviour has slots.

    Each job waits and runs in its caller's thread. The condition `_changed` guards all
    state and wakes the jobs when a job starts, ends or is cancelled, and when the
    behaviour changes.
    """

    __slots__ = (
        "_clock",
        "_behaviour",
        "_random",
        "_changed",
        "_waiting",
        "_running",
        "_started_count",
        "_peak_running",
        "_shed_count",
        "_cancelled_count",
        "_health_samples",
    )

    def __init__(self, *, clock: Clock, behaviour: Behaviour):
        self._clock = clock
        self._behaviour = behaviour
        self._random = random.Random(behaviour.seed * SEED_FACTOR)
        self._changed = threading.Condition()
        self._waiting: list[Job] = []
        self._running: set[Job] = set()
        self._started_count = 0
        self._peak_running = 0
        self._shed_count = 0
        self._cancelled_count = 0
        self._health_samples: list[tuple[float, dict]] = []
        self._record_health()

    def run(
        self,
        *,
        request_id: str,
        remaining_ms: float | None,
        on_started: Callable[[], None] | None = None,
    ) -> Outcome:
        """Blocks until a job has had a slot for its service time, or ends early.

        Args:
            request_id: Identifies the job for `cancel`; several jobs may share it.
            remaining_ms: Time until the deadline in milliseconds; None for none.
            on_started: Called when the job gets a slot, with the lock held.
        """
        now_ms = self._clock.now_ms()
        deadline_ms = float("inf") if remaining_ms is None else now_ms + remaining_ms
        job = Job(request_id=request_id)
        with self._changed:
            if self._is_full():
                self._shed_count += 1
                return Shed()
            self._waiting.append(job)
            try:
                return self._wait_and_run(job, deadline_ms, on_started)
            finally:
                if job in self._waiting:
                    self._waiting.remove(job)
                self._running.discard(job)
                self._record_health()
                self._changed.notify_all()

    def cancel(self, request_id: str) -> bool:
        """Cancels the waiting and running jobs of a request; returns False if none."""
        with self._changed:
            matching = [
                job
                for job in (*self._waiting, *self._running)
                if job.request_id == request_id
            ]
            for job in matching:
                job.cancelled = True
                self._cancelled_count += 1
            self._changed.notify_all()
            return bool(matching)

    def handle_behaviour_change(self) -> None:
        """Records a health sample and wakes the jobs, as the slots may differ."""
        with self._changed:
            self._record_health()
            self._changed.notify_all()

    def get_stats(self) -> dict:
        """Returns counts since the start and how many jobs run and wait now."""
        with self._changed:
            return {
                "started": self._started_count,
                "sheds": self._shed_count,
                "cancels": self._cancelled_count,
                "running": len(self._running),
                "waiting": len(self._waiting),
                "peak_running": self._peak_running,
            }

    def describe_health(self) -> dict:
        """Returns state and load of `health_lag_ms` ago, or the oldest that is kept."""
        cutoff_ms = self._clock.now_ms() - self._behaviour.health_lag_ms
        with self._changed:
            visible_samples = [
                sample for at_ms, sample in self._health_samples if at_ms <= cutoff_ms
            ]
            return (
                visible_samples[-1] if visible_samples else self._health_samples[0][1]
            )

    def _is_full(self) -> bool:
        occupied = len(self._running) + len(self._waiting)
        return occupied >= self._behaviour.slots + self._behaviour.queue_limit

    def _wait_and_run(
        self, job: Job, deadline_ms: float, on_started: Callable[[], None] | None
    ) -> Outcome:
        # The caller holds the lock of the condition; waits release it.
        while self._waiting[0] is not job or (
            len(self._running) >= self._behaviour.slots
        ):
            if job.cancelled:
                return Cancelled(started=False)
            if not self._wait_for_change(deadline_ms):
                return Expired(started=False)
        if job.cancelled:
            return Cancelled(started=False)
        if self._clock.now_ms() >= deadline_ms:
            return Expired(started=False)
        self._waiting.remove(job)
        self._running.add(job)
        self._started_count += 1
        if on_started:
            on_started()
        self._peak_running = max(self._peak_running, len(self._running))
        self._record_health()
        self._changed.notify_all()
        completion_ms = self._clock.now_ms() + self._draw_service_ms()
        while self._clock.now_ms() < completion_ms:
            if job.cancelled:
                return Cancelled(started=True)
            if (
                not self._wait_for_change(min(completion_ms, deadline_ms))
                and deadline_ms < completion_ms
            ):
                return Expired(started=True)
        return Completed()

    def _wait_for_change(self, deadline_ms: float) -> bool:
        """Waits for a change until the deadline; returns False if that has passed."""
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            return False
        self._clock.wait(
            self._changed, None if remaining_ms == float("inf") else remaining_ms
        )
        return True

    def _draw_service_ms(self) -> float:
        behaviour = self._behaviour
        factor = self._random.uniform(1 - behaviour.spread, 1 + behaviour.spread)
        if self._random.random() < behaviour.straggler_share:
            factor *= behaviour.straggler_factor
        if self._started_count <= behaviour.cold_requests:
            factor *= behaviour.cold_factor
        return behaviour.service_ms * factor

    def _record_health(self) -> None:
        """Keeps a sample of state and load for the health endpoint to report later.

        Drops samples older than the newest one that has passed the lag.
        """
        now_ms = self._clock.now_ms()
        state = "draining" if self._behaviour.draining else "ready"
        load = len(self._running) / max(1, self._behaviour.slots)
        self._health_samples.append((now_ms, {"state": state, "load": load}))
        cutoff_ms = now_ms - self._behaviour.health_lag_ms
        while len(self._health_samples) > 1 and self._health_samples[1][0] <= cutoff_ms:
            del self._health_samples[0]
