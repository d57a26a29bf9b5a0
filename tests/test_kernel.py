"""Kernel: drain order, what cuts a drain short, and failing threads."""

from gooseberrymux.clock import ManualClock
from gooseberrymux.kernel import Kernel, LeaveStarted
from support import create_settings


class FakeService:
    def __init__(self, name, calls):
        self.name = name
        self.calls = calls

    def start(self):
        self.calls.append(f"start {self.name}")

    def drain(self, deadline_ms):
        self.calls.append(self.name)


def create_kernel():
    return Kernel(settings=create_settings("one"), clock=ManualClock())


def test_leave_is_announced_before_anything_drains_and_links_drain_last():
    kernel, calls = create_kernel(), []
    kernel.subscribe(LeaveStarted, lambda event: calls.append("announced"))
    kernel.register("peers", FakeService("peers", calls))
    kernel.register("api", FakeService("api", calls))
    assert kernel.drain(1_000)
    assert calls == ["announced", "api", "peers"]


def test_a_kernel_counts_as_started_after_its_last_service():
    kernel, calls = create_kernel(), []
    for name in ("peers", "api"):
        kernel.register(name, FakeService(name, calls))
    assert not kernel.is_started
    kernel.start()
    assert kernel.is_started and len(calls) == 2


def test_drain_that_passed_its_deadline_is_reported():
    kernel = create_kernel()
    kernel.clock.advance(1_000)
    assert kernel.wait_until(lambda: False, 1_000) is False
    assert kernel.drain(1_000) is False


def test_second_stop_request_ends_the_wait():
    kernel = create_kernel()
    kernel.request_stop()
    assert kernel.wait_for_stop() is None
    kernel.request_stop()
    assert kernel.wait_until(lambda: False, 1_000) is False
    calls = []
    kernel.register("api", FakeService("api", calls))
    assert kernel.drain(1_000) is False
    assert calls == []


def test_thread_that_ends_by_an_exception_fails_the_instance():
    kernel = create_kernel()

    def fail():
        raise ValueError("boom")

    kernel.spawn(name="doomed", target=fail).join()
    assert "doomed" in kernel.wait_for_stop()


def test_the_thread_of_one_connection_fails_nothing_else(monkeypatch):
    # Guards against one malformed message or unexpected error that ends the process.
    kernel = create_kernel()
    faults = []
    monkeypatch.setattr(
        "gooseberrymux.journal.record_fault", lambda **fields: faults.append(fields)
    )

    def fail():
        raise ValueError("boom")

    kernel.spawn(name="front.1", target=fail, is_essential=False).join()
    assert kernel.failure is None
    assert [fault["step"] for fault in faults] == ["thread.front.1"]
