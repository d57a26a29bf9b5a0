"""Callbacks run when due, in order, and one that raises does not stop the others."""

import threading

from gooseberrymux.clock import Clock
from gooseberrymux.kernel import Kernel
from gooseberrymux.timers import Timers
from harness import create_settings


def test_calls_are_made_in_the_order_in_which_they_are_due():
    kernel = Kernel(settings=create_settings(), clock=Clock())
    timers = Timers(kernel=kernel)
    timers.start()
    made, done = [], threading.Event()
    now_ms = kernel.clock.now_ms()
    timers.call_at(now_ms + 60, done.set)
    timers.call_at(now_ms + 40, lambda: made.append("late"))
    timers.call_at(now_ms + 30, lambda: made.append(1 / 0))
    timers.call_at(now_ms + 20, lambda: made.append("early"))
    assert done.wait(5)
    assert made == ["early", "late"]
    assert kernel.clock.now_ms() >= now_ms + 60
    timers.stop()
    assert kernel.failure is None
