"""Micro-kernel: loads services by name, orders their start and stop, runs threads.

Services find each other by name and talk through typed events; the kernel imports
none of them itself.
"""

import dataclasses
import importlib
import inspect
import threading
from collections.abc import Callable
from typing import Any, ClassVar, Protocol, TypeVar

from gooseberrymux import journal
from gooseberrymux.clock import Clock
from gooseberrymux.errors import MuxError
from gooseberrymux.settings import Settings

# Threads inside a call to the platform hold no request and end with the process.
JOIN_TIMEOUT_MS = 200

T = TypeVar("T")


class KernelError(MuxError):
    """A service is missing, of the wrong type, or requires itself."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaveStarted:
    """This instance begins a planned stop; published before anything drains."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingsChanged:
    """Other settings are in force on this instance from now on."""

    settings: Settings


class Service(Protocol):
    """What the kernel calls on each service."""

    service_name: ClassVar[str]
    requires: ClassVar[tuple[str, ...]]

    def start(self) -> None:
        """Starts threads and subscribes to events."""

    def drain(self, deadline_ms: float) -> None:
        """Refuses new work and finishes what is in flight, until `deadline_ms`."""

    def stop(self) -> None:
        """Ends threads and closes connections."""


_factories: dict[str, type] = {}


def service(name: str, *, requires: tuple[str, ...] = ()) -> Callable[[type], type]:
    """Registers a class as the service `name`.

    Args:
        name: The name under which other services find it.
        requires: Names of services that start before and stop after this one.
    """

    def register(cls: type) -> type:
        cls.service_name = name
        cls.requires = requires
        _factories[name] = cls
        return cls

    return register


class Kernel:
    """Holds the service table, the event subscriptions and the threads."""

    __slots__ = (
        "settings",
        "clock",
        "_services",
        "_order",
        "_handlers",
        "_threads",
        "_lock",
        "_failure",
        "_changed",
        "_stop_requests",
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
        self._changed = threading.Condition(self._lock)
        self._stop_requests = 0
        self.is_draining = False

    def load(self, names: tuple[str, ...]) -> None:
        """Imports and builds services, and what they require, by name.

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
        factory = find_factory(name)
        for required in factory.requires:
            self._load_one(name=required, path=(*path, key))
        self._services[key] = factory(kernel=self)
        self._order.append(key)

    def add(self, name: str, instance: object) -> None:
        """Registers a ready-made service, for tests that replace one by a fake."""
        self._services[name] = instance
        self._order.append(name)

    def find(self, name: str, cls: type[T]) -> T:
        """Returns the service `name`.

        Raises:
            KernelError: No such service is loaded, or it is not a `cls`.
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
        """Starts all services, each after those that it requires."""
        for name in self._order:
            self._services[name].start()
            journal.record_event("kernel.started", service=name)

    def drain(self, deadline_ms: float) -> bool:
        """Announces the stop, then drains all services in reverse order.

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
        """Stops all services in reverse order and joins their threads."""
        for name in reversed(self._order):
            self._services[name].stop()
        until_ms = self.clock.now_ms() + JOIN_TIMEOUT_MS
        for thread in self._threads:
            thread.join(max(0.0, until_ms - self.clock.now_ms()) / 1000)
        left = [thread.name for thread in self._threads if thread.is_alive()]
        journal.record_event("kernel.stopped", threads_left=left)

    def change_settings(self, settings: Settings) -> None:
        """Puts settings in force that a running instance can take over."""
        self.settings = settings
        self.publish(SettingsChanged(settings=settings))

    def request_stop(self) -> None:
        """Asks for a planned stop; a second call cuts the drain short."""
        with self._changed:
            self._stop_requests += 1
            self._changed.notify_all()

    def wait_until(self, is_done: Callable[[], bool], deadline_ms: float) -> bool:
        """Waits within a drain until a service is done.

        Args:
            is_done: Read under the kernel's lock; must not block. Whoever changes
                its answer calls `wake`.
            deadline_ms: Monotonic time in milliseconds by which to give up.

        Returns:
            Whether it is done; False at the deadline or a second stop request.
        """
        with self._changed:
            while not is_done():
                left_ms = deadline_ms - self.clock.now_ms()
                if left_ms <= 0 or self._stop_requests > 1:
                    return False
                self.clock.wait(self._changed, left_ms)
            return True

    def spawn(self, *, name: str, target: Callable[[], None]) -> threading.Thread:
        """Starts a supervised thread.

        A thread that ends by an exception is logged and marks the instance failed.
        """

        def run() -> None:
            try:
                target()
            except Exception as error:
                journal.record_fault(step=f"thread.{name}", peer="", error=error)
                self._mark_failed(f"thread {name} ended: {error}")

        thread = threading.Thread(target=run, name=name, daemon=True)
        with self._lock:
            self._threads = [old for old in self._threads if old.is_alive()]
            self._threads.append(thread)
        thread.start()
        return thread

    def subscribe(self, event_type: type[T], handler: Callable[[T], None]) -> None:
        """Calls `handler` for each later event of exactly `event_type`."""
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

        One that takes an argument is a look-up and not a status.
        """
        described = {}
        for name in self._order:
            describe = getattr(self._services[name], "describe", None)
            if describe is not None and not inspect.signature(describe).parameters:
                described[name] = describe()
        return described

    @property
    def failure(self) -> str | None:
        """Why the instance is failed, or None."""
        return self._failure

    def wait_for_end(self) -> str | None:
        """Waits for a stop request or a failure; returns the failure or None."""
        with self._changed:
            while not self._stop_requests and self._failure is None:
                self.clock.wait(self._changed, None)
            return self._failure

    def wake(self) -> None:
        """Lets `wait_until` look again."""
        with self._changed:
            self._changed.notify_all()

    def _mark_failed(self, reason: str) -> None:
        with self._changed:
            self._failure = self._failure or reason
            self._changed.notify_all()


def find_factory(name: str) -> type:
    """Imports the module of a service and returns the class registered for it.

    Raises:
        KernelError: The module is missing or registers no such service.
    """
    key = name.rsplit(".", 1)[-1]
    module = name if "." in name else f"gooseberrymux.{name}"
    if key not in _factories:
        try:
            importlib.import_module(module)
        except ModuleNotFoundError as error:
            raise KernelError(
                step="kernel.load", message=f"no service module {module!r}: {error}"
            ) from error
    if key not in _factories:
        raise KernelError(
            step="kernel.load", message=f"{module!r} registers no service {key!r}"
        )
    return _factories[key]
