"""Notices callers that close their connection while their request is under way."""

import select
import socket
import threading
from collections.abc import Callable

from gooseberrymux import metrics
from gooseberrymux.kernel import Kernel, service

# A peer that only sends more data, as in pipelining, has not left.
LEFT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


@service("callers")
class Callers:
    """One thread that watches the sockets of all requests under way."""

    __slots__ = ("_kernel", "_epoll", "_on_left", "_lock", "_stopping")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._epoll = select.epoll()
        self._on_left: dict[int, Callable[[], None]] = {}
        self._lock = threading.Lock()
        self._stopping = False

    def start(self) -> None:
        """Starts the thread."""
        self._kernel.spawn(name="callers.watch", target=self._watch)

    def drain(self, deadline_ms: float) -> None:
        """Keeps watching until the last request has ended."""

    def stop(self) -> None:
        """Ends the thread."""
        self._stopping = True
        self._epoll.close()

    def watch(self, sock: socket.socket, on_left: Callable[[], None]) -> None:
        """Calls `on_left` once if the caller leaves before `unwatch`.

        Args:
            sock: The caller's connection.
            on_left: Runs in the watching thread; must not block.
        """
        with self._lock:
            self._epoll.register(sock.fileno(), LEFT_EVENTS)
            self._on_left[sock.fileno()] = on_left

    def unwatch(self, sock: socket.socket) -> None:
        """Ends the watch of a connection; call it before the socket is closed."""
        self._take(sock.fileno())

    def _take(self, number: int) -> Callable[[], None] | None:
        # Under the lock, so that a number which the system has given to another
        # connection meanwhile is never taken for this one.
        with self._lock:
            on_left = self._on_left.pop(number, None)
            if on_left is not None:
                self._epoll.unregister(number)
            return on_left

    def _watch(self) -> None:
        while not self._stopping:
            try:
                events = self._epoll.poll()
            except (OSError, ValueError):
                if self._stopping:
                    return
                raise
            for number, _ in events:
                self._note_left(number)

    def _note_left(self, number: int) -> None:
        on_left = self._take(number)
        if on_left is not None:
            metrics.callers_left_total.inc({})
            on_left()
