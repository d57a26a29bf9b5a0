"""Writes a request to an upstream while the reply to it may already be coming in."""

import contextlib
import select
import socket
import threading

from gooseberrymux import journal, metrics

NOTHING = memoryview(b"")


class RequestWriter:
    """Writes one request to a connection, in a thread of its own where it must wait.

    An upstream may reply before it has read the whole request. It would read another
    request on the same connection as the rest of this one, so the thread that reads the
    reply ends the write before the connection is used again or closed.

    Args:
        sock: The connection; the socket must not have a timeout.
        request: The encoded request.
        upstream: Name of the upstream, for the log.
        request_id: The caller's id of the request, for the log.
    """

    __slots__ = (
        "_sock",
        "_remainder",
        "_size_bytes",
        "_upstream",
        "_request_id",
        "_lock",
        "_has_ended",
        "_was_reset",
        "_thread",
    )

    def __init__(
        self, *, sock: socket.socket, request: bytes, upstream: str, request_id: str
    ):
        self._sock = sock
        self._remainder = memoryview(request)
        self._size_bytes = len(request)
        self._upstream = upstream
        self._request_id = request_id
        # Held around each write, none of which blocks, so that the state below is exact
        # once `end` has returned.
        self._lock = threading.Lock()
        self._has_ended = False
        self._was_reset = False
        self._thread: threading.Thread | None = None

    @property
    def size_bytes(self) -> int:
        """Number of bytes of the request."""
        return self._size_bytes

    @property
    def bytes_written(self) -> int:
        """Number of bytes that the system has taken; final once `end` has returned."""
        return self._size_bytes - len(self._remainder)

    @property
    def is_complete(self) -> bool:
        """Whether the whole request is written."""
        return not self._remainder

    @property
    def was_reset(self) -> bool:
        """Whether the connection was reset under the write; final after `end`.

        The system reports a reset once. If the write was told, the connection looks
        orderly closed to the reader of the reply.
        """
        return self._was_reset

    def start(self) -> None:
        """Writes what the connection takes at once; a thread writes the rest.

        Raises:
            OSError: The connection has ended, and nothing was written.
        """
        self._write_available()
        if self.is_complete:
            return
        poller = select.poll()
        poller.register(self._sock, select.POLLOUT)
        thread = threading.Thread(
            target=lambda: self._write_remainder(poller),
            name=f"connections.write.{self._upstream}",
            daemon=True,
        )
        try:
            thread.start()
        except RuntimeError as error:
            # No thread could be started. The reader of the reply sees the end of the
            # connection and reports how far the request was written.
            self._record_fault(error)
            self.end()
            return
        self._thread = thread

    def end(self) -> None:
        """Ends the write; nothing is written once this has returned.

        Shuts the connection down unless the request is written whole.
        """
        with self._lock:
            if self.is_complete:
                return
            self._has_ended = True
        # Also ends the wait of the writing thread. The descriptor must not be closed
        # before that thread has ended, as it may then belong to another connection.
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        if self._thread is not None:
            self._thread.join()

    def _write_available(self) -> None:
        """Writes as much as the connection takes without blocking."""
        with self._lock, contextlib.suppress(BlockingIOError):
            if not self._has_ended:
                sent = self._sock.send(self._remainder, socket.MSG_DONTWAIT)
                # An empty part of the request would keep all of it in memory.
                self._remainder = self._remainder[sent:] or NOTHING

    def _write_remainder(self, poller: select.poll) -> None:
        try:
            while not (self.is_complete or self._has_ended):
                poller.poll()
                self._write_available()
        except OSError as error:
            # The reader of the reply also sees that the connection ended, and reports
            # it. A broken pipe is what an orderly end of either side leads to.
            self._was_reset = not isinstance(error, BrokenPipeError)
            journal.record_event(
                "connections.write_failed",
                upstream=self._upstream,
                request_id=self._request_id,
                error=str(error),
            )

    def _record_fault(self, error: Exception) -> None:
        step = "connections.write"
        journal.record_fault(step=step, peer=self._upstream, error=error)
        metrics.faults_total.inc({"step": step})
