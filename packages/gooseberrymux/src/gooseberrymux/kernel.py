"""Micro-kernel: loads services by name, orders their start and stop, runs threads.

Services look each other up by name and exchange typed events. The kernel imports a
service module only when its name is loaded.
"""

import dataclasses
import importlib
import inspect
import threading
from collections.abc import Callable
from typing import Any, ClassVar, Protocol, TypeVar

from gooseberrymux import journal, metrics
from gooseberrymux.clock import Clock
from gooseberrymux.errors import MuxError
from gooseberrymux.settings import Settings

# Threads still blocked in a platform call after this time are left running: they hold
# no request and, as daemon threads, end with the process.
JOIN_TIMEOUT_MS = 200

T = TypeVar("T")


class KernelError(MuxError):
    """A service is missing, of the wrong type, or requires itself."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaveStarted:
    """This instance starts a planned stop; published before any service drains."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingsChanged:
    """New settings took effect on this instance."""

    settings: Settings


class Service(Protocol):
    """Interface that the kernel calls on each service."""

    service_name: ClassVar[str]
    requires: ClassVar[tuple[str, ...]]

    def start(self) -> None:
        """Starts threads and subscribes to events."""

    def drain(self, deadline_ms: float) -> None:
        """Refuses new work and finishes work in flight, at most until `deadline_ms`."""

    def stop(self) -> None:
        """Ends threads and closes connections."""


_service_classes: dict[str, type] = {}


def service(name: str, *, requires: tuple[str, ...] = ()) -> Callable[[type], type]:
    """Registers a class as the service `name`.

    Args:
        name: The name under which other services find the service.
        requires: Names of services that start before and stop after this one.
    """

    def register(cls: type) -> type:
        cls.service_name = name
        cls.requires = requires
        _service_classes[name] = cls
        return cls

    return register


class Kernel:
    """Holds the services, the event subscriptions and the threads of one instance."""

    __slots__ = (
        "settings",
        "clock",
        "_services",
        "_order",
        "_handlers",
        "_threads",
        "_lock",
        "_failure",
        "_state_changed",
        "_stop_requests",
        "is_started",
        "is_draining",
    )

    def __init__(self, *, settings: Settings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self._services: dict[str, Any] = {}
        self._order: list[str] = []
        self._handlers: dict[type, list[Callable[[Any], None]]] = {}
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()
        self._failure: str | None = None
        self._state_changed = threading.Condition(self._lock)
        self._stop_requests = 0
        self.is_started = False
        self.is_draining = False

    def load(self, names: tuple[str, ...]) -> None:
        """Imports and creates services, and the services that they require, by name.

        A plain name is a module of this package; a dotted name is the module of a
        third-party service, registered under the last part of its path.

        Raises:
            KernelError: A module is missing, registers no service of that name, or
                the requirements form a cycle.
        """
        for name in names:
            self._load_one(name=name, path=())

    def _load_one(self, *, name: str, path: tuple[str, ...]) -> None:
        key = name.rsplit(".", 1)[-1]
        if key in self._services:
            return
        if key in path:
            raise KernelError(
                step="kernel.load",
                message=f"services require each other: {' -> '.join((*path, key))}",
            )
        factory = find_service_class(name)
        for required in factory.requires:
            self._load_one(name=required, path=(*path, key))
        self._services[key] = factory(kernel=self)
        self._order.append(key)

    def register(self, name: str, implementation: object) -> None:
        """Registers an existing object as a service, for tests that use fakes."""
        self._services[name] = implementation
        self._order.append(name)

    def find(self, name: str, cls: type[T]) -> T:
        """Returns the service `name`.

        Raises:
            KernelError: No service of that name is loaded, or it is not a `cls`.
        """
        try:
            found = self._services[name]
        except KeyError:
            raise KernelError(
                step="kernel.find", message=f"no service named {name!r} is loaded"
            ) from None
        if not isinstance(found, cls):
            raise KernelError(
                step="kernel.find",
                message=f"service {name!r} is a {type(found).__name__}, "
                f"not a {cls.__name__}",
            )
        return found

    def start(self) -> None:
        """Starts each service after the services that it requires."""
        for name in self._order:
            self._services[name].start()
            journal.record_event("kernel.started", service=name)
        self.is_started = True

    def drain(self, deadline_ms: float) -> bool:
        """Announces the stop, then drains all services in reverse start order.

        Args:
            deadline_ms: Monotonic time in milliseconds by which to give up.

        Returns:
            False if the deadline or a second stop request cut the drain short.
        """
        self.is_draining = True
        self.publish(LeaveStarted(reason="planned stop"))
        for name in reversed(self._order):
            if self._stop_requests > 1:
                return False
            self._services[name].drain(deadline_ms)
            journal.record_event("kernel.drained", service=name)
        return self._stop_requests < 2 and self.clock.now_ms() < deadline_ms

    def stop(self) -> None:
        """Stops all services in reverse start order and joins their threads."""
        for name in reversed(self._order):
            self._services[name].stop()
        deadline_ms = self.clock.now_ms() + JOIN_TIMEOUT_MS
        for thread in self._threads:
            thread.join(max(0.0, deadline_ms - self.clock.now_ms()) / 1000)
        running_threads = [thread.name for thread in self._threads if thread.is_alive()]
        journal.record_event("kernel.stopped", threads_left=running_threads)

    def apply_settings(self, settings: Settings) -> None:
        """Replaces the settings of the running instance and publishes the change.

        Only settings that take effect without a restart may differ from those before.
        """
        self.settings = settings
        self.publish(SettingsChanged(settings=settings))

    def request_stop(self) -> None:
        """Asks for a planned stop; a second call cuts the drain short."""
        with self._state_changed:
            self._stop_requests += 1
            self._state_changed.notify_all()

    def wait_until(self, is_done: Callable[[], bool], deadline_ms: float) -> bool:
        """Blocks within a drain until a service is done.

        Args:
            is_done: Called under the kernel's lock; must not block. Code that changes
                its result calls `wake`.
            deadline_ms: Monotonic time in milliseconds by which to give up.

        Returns:
            Whether the service is done; False at the deadline or a second stop request.
        """
        with self._state_changed:
            while not is_done():
                remaining_ms = deadline_ms - self.clock.now_ms()
                if remaining_ms <= 0 or self._stop_requests > 1:
                    return False
                self.clock.wait(self._state_changed, remaining_ms)
            return True

    def spawn(
        self, *, name: str, target: Callable[[], None], is_essential: bool = True
    ) -> threading.Thread:
        """Starts a supervised thread.

        Args:
            name: Name of the thread.
            target: Body of the thread. An exception that ends it is logged.
            is_essential: Whether such an exception also marks the instance failed.
                False for a thread that serves one connection of a caller or upstream,
                as nothing that they send may stop the whole instance.
        """

        def run() -> None:
            try:
                target()
            except Exception as error:
                journal.record_fault(step=f"thread.{name}", peer="", error=error)
                metrics.faults_total.inc({"step": "thread"})
                if is_essential:
                    self._mark_failed(f"thread {name} ended: {error}")

        thread = threading.Thread(target=run, name=name, daemon=True)
        with self._lock:
            self._threads = [old for old in self._threads if old.is_alive()]
            self._threads.append(thread)
        thread.start()
        return thread

    def subscribe(self, event_type: type[T], handler: Callable[[T], None]) -> None:
        """Calls `handler` for each later event whose type is exactly `event_type`."""
        self._handlers.setdefault(event_type, []).append(handler)

    def publish(self, event: object) -> None:
        """Calls the handlers of the event's type in the publishing thread.

        A handler must not block. Its exception is logged and marks the instance
        failed, and the other handlers still run.
        """
        for handler in self._handlers.get(type(event), ()):
            try:
                handler(event)
            except Exception as error:
                step = f"event.{type(event).__name__}"
                journal.record_fault(step=step, peer="", error=error)
                self._mark_failed(f"handler of {type(event).__name__}: {error}")

    def describe(self) -> dict[str, dict]:
        """Returns the status of each service that has a `describe` method.

        A `describe` method with parameters looks something up and is skipped.
        """
        described = {}
        for name in self._order:
            describe = getattr(self._services[name], "describe", None)
            if describe is not None and not inspect.signature(describe).parameters:
                described[name] = describe()
        return described

    @property
    def failure(self) -> str | None:
        """Reason why the instance failed, or None."""
        return self._failure

    def wait_for_stop(self) -> str | None:
        """Blocks until a stop request or a failure; returns the failure or None."""
        with self._state_changed:
            while not self._stop_requests and self._failure is None:
                self.clock.wait(self._state_changed, None)
            return self._failure

    def wake(self) -> None:
        """Makes `wait_until` call its `is_done` again."""
        with self._state_changed:
            self._state_changed.notify_all()

    def _mark_failed(self, reason: str) -> None:
        with self._state_changed:
            self._failure = self._failure or reason
            self._state_changed.notify_all()


def find_service_class(name: str) -> type:
    """Imports the module of a service and returns the class registered for it.

    Raises:
        KernelError: The module is missing or registers no service of that name.
    """
    key = name.rsplit(".", 1)[-1]
    module = name if "." in name else f"gooseberrymux.{name}"
    if key not in _service_classes:
        try:
            importlib.import_module(module)
        except ModuleNotFoundError as error:
            raise KernelError(
                step="kernel.load", message=f"no service module {module!r}: {error}"
            ) from error
    if key not in _service_classes:
        raise KernelError(
            step="kernel.load", message=f"{module!r} registers no service {key!r}"
        )
    return _service_classes[key]
