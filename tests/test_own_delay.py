"""Refusals of an instance that has too little processor time for its requests."""

import dataclasses

import pytest

from gooseberrymux.kernel import Kernel
from gooseberrymux.own_delay import DELAY_HALF_LIFE_MS, STAGES_BY_RANK, OwnDelay
from gooseberrymux.records import Rank, RunState
from harness import SteppingClock, create_settings

SAMPLE_INTERVAL_MS = 100
ARRIVAL_INTERVAL_MS = 10
WORK_MS = 6.0
DEADLINE_MS = 1_000.0
SLOW_FROM_MS, SLOW_UNTIL_MS = 5_000, 25_000
SLOW_SPEED = 1 / 3
END_MS = 35_000


def create_own_delay():
    clock = SteppingClock()
    return clock, OwnDelay(kernel=Kernel(settings=create_settings(), clock=clock))


def record_twice(own_delay, delay_ms):
    own_delay.record(delay_ms)
    own_delay.record(delay_ms)


def test_lower_ranks_are_refused_at_a_smaller_delay():
    # Guards against urgent requests that wait behind patient ones for the processor.
    _, own_delay = create_own_delay()
    record_twice(own_delay, 150.0)
    refused = [rank for rank in Rank if own_delay.assess(rank, DEADLINE_MS)]
    assert refused == [Rank.PATIENT]
    record_twice(own_delay, DEADLINE_MS / STAGES_BY_RANK[Rank.URGENT])
    assert all(own_delay.assess(rank, DEADLINE_MS) for rank in Rank)


def test_a_refusal_says_that_nothing_ran_and_when_to_come_back():
    _, own_delay = create_own_delay()
    record_twice(own_delay, 900.0)
    refusal = own_delay.assess(Rank.URGENT, DEADLINE_MS)
    assert refusal.run_state is RunState.NOT_RUN
    assert refusal.retry_after_ms > 0


def test_one_late_thread_is_no_overload():
    # Guards against requests that are refused after the machine was suspended.
    _, own_delay = create_own_delay()
    own_delay.record(0.0)
    own_delay.record(5_000.0)
    own_delay.record(1.0)
    assert own_delay.assess(Rank.PATIENT, DEADLINE_MS) is None


def test_the_estimate_falls_without_further_delays():
    clock, own_delay = create_own_delay()
    record_twice(own_delay, 800.0)
    clock.now += DELAY_HALF_LIFE_MS
    assert own_delay.get_ms() == pytest.approx(400.0)


@dataclasses.dataclass
class Job:
    """A request in the queue of the simulated processor."""

    arrived_ms: float
    left_ms: float


class Processor:
    """One processor that serves jobs in the order of arrival, in steps of 1 ms."""

    def __init__(self, *, refuses):
        self.clock, self.own_delay = create_own_delay()
        self.refuses = refuses
        self.queue = []
        self.in_time = {}
        self.start_ms = self.clock.now

    def run(self):
        for now_ms in range(END_MS):
            self.clock.now = self.start_ms + now_ms
            if now_ms % ARRIVAL_INTERVAL_MS == 0:
                self.accept(now_ms)
            if now_ms % SAMPLE_INTERVAL_MS == 0:
                self.own_delay.record(now_ms - self.find_oldest(now_ms))
            slow = SLOW_FROM_MS <= now_ms < SLOW_UNTIL_MS
            self.work(now_ms, SLOW_SPEED if slow else 1.0)

    def accept(self, now_ms):
        refused = self.own_delay.assess(Rank.STANDARD, DEADLINE_MS)
        if not (self.refuses and refused):
            self.queue.append(Job(arrived_ms=now_ms, left_ms=WORK_MS))

    def find_oldest(self, now_ms):
        return self.queue[0].arrived_ms if self.queue else now_ms

    def work(self, now_ms, time_ms):
        while self.queue and time_ms > 0:
            job = self.queue[0]
            done_ms = min(job.left_ms, time_ms)
            job.left_ms -= done_ms
            time_ms -= done_ms
            if job.left_ms <= 0:
                self.queue.pop(0)
                second = now_ms // 1_000
                in_time = now_ms - job.arrived_ms < DEADLINE_MS
                self.in_time[second] = self.in_time.get(second, 0) + in_time

    def count_in_time(self, first_s, last_s):
        return sum(self.in_time.get(s, 0) for s in range(first_s, last_s))


def test_a_processor_at_a_third_of_its_speed_still_serves_what_it_can():
    """Guards against an overload in which all requests are late and none in time.

    For 20 s the processor has a third of its speed, which is 0.56 of what the requests
    need.
    """
    refusing, accepting = Processor(refuses=True), Processor(refuses=False)
    refusing.run()
    accepting.run()
    capacity = (SLOW_UNTIL_MS - SLOW_FROM_MS) * SLOW_SPEED / WORK_MS
    assert refusing.count_in_time(5, 25) >= 0.9 * capacity
    assert accepting.count_in_time(5, 25) <= 0.3 * capacity


def test_the_end_of_an_overload_is_over_within_two_seconds():
    refusing, accepting = Processor(refuses=True), Processor(refuses=False)
    refusing.run()
    accepting.run()
    arrivals_per_s = 1_000 / ARRIVAL_INTERVAL_MS
    assert refusing.count_in_time(27, 30) >= 0.97 * 3 * arrivals_per_s
    assert accepting.count_in_time(27, 30) == 0
