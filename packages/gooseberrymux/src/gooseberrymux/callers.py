"""Detects callers that disconnect while their request is in progress."""

import select
import socket
import threading
from collections.abc import Callable

from gooseberrymux import metrics
from gooseberrymux.kernel import Kernel, service

# Without EPOLLIN: a caller that sends more data, as in pipelining, has not left.
DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


@service("callers")
class DisconnectWatcher:
    """Watches the sockets of all requests in progress, in one thread."""

    __slots__ = ("_kernel", "_epoll", "_on_disconnect", "_lock", "_stopping")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._epoll = select.epoll()
        self._on_disconnect: dict[int, Callable[[], None]] = {}
        self._lock = threading.Lock()
        self._stopping = False

    def start(self) -> None:
        """Starts the watching thread."""
        self._kernel.spawn(name="callers.watch", target=self._watch_sockets)

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: requests in progress are watched until they end."""

    def stop(self) -> None:
        """Closes the epoll object, which ends the watching thread."""
        self._stopping = True
        self._epoll.close()

    def watch(self, sock: socket.socket, on_disconnect: Callable[[], None]) -> None:
        """Calls `on_disconnect` once if the caller disconnects before `unwatch`.

        Args:
            sock: Socket of the caller's connection.
            on_disconnect: Runs in the watching thread; must not block.
        """
        with self._lock:
            self._epoll.register(sock.fileno(), DISCONNECT_EVENTS)
            self._on_disconnect[sock.fileno()] = on_disconnect

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching a connection; must be called before the socket is closed."""
        self._remove_callback(sock.fileno())

    def _remove_callback(self, fd: int) -> Callable[[], None] | None:
        # The lock covers both steps, so that a descriptor which the system has reused
        # for another connection is never mistaken for this one.
        with self._lock:
            on_disconnect = self._on_disconnect.pop(fd, None)
            if on_disconnect is not None:
                self._epoll.unregister(fd)
            return on_disconnect

    def _watch_sockets(self) -> None:
        while not self._stopping:
            try:
                events = self._epoll.poll()
            except (OSError, ValueError):
                if self._stopping:
                    return
                raise
            for fd, _ in events:
                self._report_disconnect(fd)

    def _report_disconnect(self, fd: int) -> None:
        on_disconnect = self._remove_callback(fd)
        if on_disconnect is not None:
            metrics.callers_left_total.inc({})
            on_disconnect()
