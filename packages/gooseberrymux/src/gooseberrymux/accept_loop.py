"""Accepts connections within limits, and starts a thread for each of them."""

import contextlib
import errno
import socket
import threading

import cheroot.server

from gooseberrymux import journal, metrics
from gooseberrymux.caller_budget import Holder
from gooseberrymux.caller_memory import CallerConnections
from gooseberrymux.clock import MS_PER_S, Clock
from gooseberrymux.kernel import Kernel

# How long the loop waits for a descriptor. The listener stays readable meanwhile, so
# without a wait the loop would spin.
SHORTAGE_PAUSE_MS = 50.0
# Shortages of descriptors, threads or memory are logged at most once in this time.
SHORTAGE_LOG_PERIOD_MS = 1_000.0
# The caller has left before its connection was accepted. All other errors may persist.
TRANSIENT_ERRORS = frozenset({errno.ECONNABORTED, errno.EPROTO, errno.EINTR})
# After the last answer on a connection, this much of what the caller still sends is
# read for this long at most.
DISCARD_LIMIT_BYTES = 1024 * 1024
DISCARD_TIMEOUT_MS = 1_000.0
DISCARD_STEP_BYTES = 64 * 1024
# Sent without blocking, so that a refused caller can't hold up the loop.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n"
    b"retry-after: 0.500\r\ncontent-length: 42\r\nconnection: close\r\n\r\n"
    b"overloaded: too many connections, not run\n"
)


class AcceptLoop:
    """Mixin of a cheroot server, in place of the loop that cheroot runs.

    That loop spins when the system has no descriptor left, and it knows no limits.
    A subclass sets the attributes below.

    Attributes:
        connections: Accounts of the connections.
        connection_set: The open connections, to be closed at a stop.
        kernel: Spawns the threads of the connections.
        clock: The clock.
        thread_prefix: Start of the names of these threads.
    """

    connections: CallerConnections
    connection_set: "ConnectionSet"
    kernel: Kernel
    clock: Clock
    thread_prefix: str
    _shortage_logged_ms = -SHORTAGE_LOG_PERIOD_MS

    def serve(self) -> None:
        """Accepts connections until the server stops; runs in its own thread."""
        while self.ready:
            listener = self.socket
            if listener is None:
                return
            try:
                sock, address = listener.accept()
            except TimeoutError:
                continue
            except OSError as error:
                if not self.ready:
                    return
                self._handle_accept_error(error)
                continue
            self._open(sock, address)

    def _open(self, sock: socket.socket, address: tuple) -> None:
        holder = self.connections.admit(sock, address[0])
        if holder is None:
            refuse(sock)
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn = self.ConnectionClass(self, sock)
            conn.remote_addr, conn.remote_port = address[:2]
            conn.holder = holder
            self.process_conn(conn)
        except (OSError, RuntimeError, MemoryError) as error:
            # No thread could be started, or the caller has left.
            self.connections.remove(holder)
            sock.close()
            self._record_shortage(error)

    def process_conn(self, conn: "LimitedConnection") -> None:
        """Starts the thread of a new connection, in place of cheroot's thread pool."""
        self.kernel.spawn(
            name=f"{self.thread_prefix}.{conn.remote_addr}:{conn.remote_port}",
            target=lambda: self._serve_connection(conn),
            is_essential=False,
        )

    def _serve_connection(self, conn: "LimitedConnection") -> None:
        self.connection_set.add(conn)
        try:
            conn.serve()
        finally:
            self.connection_set.discard(conn)
            conn.close()

    def _handle_accept_error(self, error: OSError) -> None:
        if error.errno in TRANSIENT_ERRORS:
            return
        self._record_shortage(error)
        self.connections.shed_for_descriptor()
        self.clock.sleep_ms(SHORTAGE_PAUSE_MS)

    def _record_shortage(self, error: Exception) -> None:
        metrics.faults_total.inc({"step": "front.accept"})
        now_ms = self.clock.now_ms()
        if now_ms - self._shortage_logged_ms >= SHORTAGE_LOG_PERIOD_MS:
            self._shortage_logged_ms = now_ms
            journal.record_fault(step="front.accept", peer="", error=error)


class LimitedConnection(cheroot.server.HTTPConnection):
    """A connection whose use of the budget is recorded; a single thread serves it.

    A subclass has `wait_for_request`, which returns whether a request begins, and may
    replace `serve_request`.

    Attributes:
        holder: Its account in the budget; set once the connection is accepted.
    """

    holder: Holder

    def serve(self) -> None:
        """Serves requests until the caller or this server ends the connection."""
        connection_set = self.server.connection_set
        while self.wait_for_request() and connection_set.begin_request(self):
            try:
                keeps_open = self.serve_request()
            finally:
                connection_set.end_request(self)
            if not keeps_open:
                end_connection(self.socket, clock=self.server.clock)
                return

    def serve_request(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        return self.communicate()

    def close(self) -> None:
        """Closes the connection and ends its account."""
        try:
            super().close()
        finally:
            self.server.connections.remove(self.holder)


class ConnectionSet:
    """The open connections of a server; closes them at a stop. Thread-safe."""

    __slots__ = ("_open", "_busy", "_changed", "_is_closing", "_clock")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._open: set[cheroot.server.HTTPConnection] = set()
        # Connections on which a request is being read, handled or answered.
        self._busy: set[cheroot.server.HTTPConnection] = set()
        self._changed = threading.Condition()
        self._is_closing = False

    def add(self, conn: cheroot.server.HTTPConnection) -> None:
        """Adds a connection whose thread has started."""
        self._open.add(conn)

    def discard(self, conn: cheroot.server.HTTPConnection) -> None:
        """Removes a connection whose thread ends."""
        self._open.discard(conn)

    def begin_request(self, conn: cheroot.server.HTTPConnection) -> bool:
        """Records that a request is read from now on; False if it must not be."""
        with self._changed:
            if self._is_closing:
                return False
            self._busy.add(conn)
            return True

    def end_request(self, conn: cheroot.server.HTTPConnection) -> None:
        """Records that a request was answered, or that its connection failed."""
        with self._changed:
            self._busy.discard(conn)
            self._changed.notify_all()

    def close(self, answer_timeout_ms: float) -> None:
        """Shuts down all connections, which ends their threads.

        A request that is being read or answered has `answer_timeout_ms` left to end.
        One that was not begun is left unread, so that its caller can send it elsewhere.
        """
        with self._changed:
            self._is_closing = True
            idle = self._open - self._busy
        shut_down(idle)
        self._wait_for_answers(answer_timeout_ms)
        shut_down(self._open - idle)

    def _wait_for_answers(self, answer_timeout_ms: float) -> None:
        deadline_ms = self._clock.now_ms() + answer_timeout_ms
        with self._changed:
            while self._busy:
                remaining_ms = deadline_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    return
                self._clock.wait(self._changed, remaining_ms)


def shut_down(connections: set[cheroot.server.HTTPConnection]) -> None:
    """Shuts down the sockets of connections."""
    for conn in connections:
        # The thread of the connection may have closed the socket in the meantime.
        with contextlib.suppress(OSError):
            conn.socket.shutdown(socket.SHUT_RDWR)


def end_connection(sock: socket.socket, *, clock: Clock) -> None:
    """Ends this side of a connection, and waits until the caller has ended its own.

    Reads a bounded part of what the caller still sends. The system resets a connection
    that is closed while data is unread, and drops what it has not sent yet, by which
    the caller would lose the last answer.
    """
    deadline_ms = clock.now_ms() + DISCARD_TIMEOUT_MS
    remaining_bytes = DISCARD_LIMIT_BYTES
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        while remaining_bytes > 0:
            remaining_ms = deadline_ms - clock.now_ms()
            if remaining_ms <= 0:
                return
            sock.settimeout(remaining_ms / MS_PER_S)
            received = sock.recv(min(remaining_bytes, DISCARD_STEP_BYTES))
            if not received:
                return
            remaining_bytes -= len(received)


def refuse(sock: socket.socket) -> None:
    """Answers a connection for which there is no room, without reading from it."""
    with contextlib.suppress(OSError):
        sock.setblocking(False)
        sock.send(REFUSAL)
        sock.shutdown(socket.SHUT_WR)
    sock.close()
