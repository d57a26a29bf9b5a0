"""The way of log lines to standard output: bounded, in one thread of its own."""

import collections
import io
import os
import threading

import eliot

from gooseberrymux import metrics
from gooseberrymux.clock import MS_PER_S, Clock

QUEUE_LIMIT = 4_096
# Above this rate lines are dropped and counted, so that a flood of requests neither
# fills the disks of whoever collects them nor takes the processor from the requests.
LINES_PER_S = 2_000
# Lines of this many milliseconds are written together.
GATHER_MS = 20.0
# What is left at the end is written within this time or lost.
FLUSH_TIMEOUT_MS = 500.0


class LogWriter:
    """Takes log messages without blocking and writes them from a thread.

    Args:
        clock: The clock.
        descriptor: Where the lines go.
    """

    __slots__ = (
        "_clock",
        "_descriptor",
        "_messages",
        "_changed",
        "_window_ms",
        "_taken",
        "_dropped",
        "_closed",
        "_thread",
    )

    def __init__(self, *, clock: Clock, descriptor: int):
        self._clock = clock
        self._descriptor = descriptor
        self._messages: collections.deque[dict] = collections.deque()
        self._changed = threading.Condition()
        self._window_ms = clock.now_ms()
        self._taken = 0
        self._dropped = 0
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name="journal.writer", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def take(self, message: dict) -> None:
        """Queues a message; drops and counts it if there are too many."""
        with self._changed:
            now_ms = self._clock.now_ms()
            if now_ms - self._window_ms >= MS_PER_S:
                self._window_ms, self._taken = now_ms, 0
            if self._taken >= LINES_PER_S or len(self._messages) >= QUEUE_LIMIT:
                self._dropped += 1
                metrics.log_lines_dropped_total.inc({})
                return
            self._taken += 1
            self._messages.append(message)
            if len(self._messages) == 1:
                self._changed.notify()

    def close(self) -> None:
        """Writes what is queued, as far as the reader takes it in time."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join(FLUSH_TIMEOUT_MS / MS_PER_S)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._messages and not self._closed:
                    self._clock.wait(self._changed, None)
                if not self._closed:
                    self._clock.wait(self._changed, GATHER_MS)
                batch = list(self._messages)
                self._messages.clear()
                dropped, self._dropped = self._dropped, 0
                closed = self._closed
            data = encode_lines(batch, dropped=dropped)
            try:
                write_all(self._descriptor, data)
            except OSError:
                # Nobody reads the log any more, and there is nowhere else to say so.
                metrics.log_lines_dropped_total.add({}, len(batch))
            if closed:
                return


def encode_lines(batch: list[dict], *, dropped: int) -> bytes:
    """Returns messages as JSON lines, with one more line if any were dropped."""
    buffer = io.BytesIO()
    write = eliot.FileDestination(file=buffer)
    for message in batch:
        write(message)
    if dropped:
        write({"message_type": "journal.dropped", "lines": dropped})
    return buffer.getvalue()


def write_all(descriptor: int, data: bytes) -> None:
    """Writes all of the data; blocks while the reader is slow.

    Raises:
        OSError: The reader is gone.
    """
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
