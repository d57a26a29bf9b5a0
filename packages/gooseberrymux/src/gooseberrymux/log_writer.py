"""Log writer: a bounded queue of messages, written by its own thread."""

import collections
import io
import os
import threading

import eliot

from gooseberrymux import metrics
from gooseberrymux.clock import MS_PER_S, Clock

MAX_QUEUED_LINES = 4_096
# Lines above this rate are dropped and counted, so that a flood of requests neither
# fills the disks of the log collector nor takes processor time from the requests.
MAX_LINES_PER_S = 2_000
# Lines that arrive within this time of the first are written together.
BATCH_WINDOW_MS = 20.0
# Lines still queued at the exit are lost if they are not written within this time.
FLUSH_TIMEOUT_MS = 500.0


class LogWriter:
    """Queues log messages without blocking and writes them from a thread.

    Args:
        clock: The clock.
        descriptor: File descriptor that the lines are written to.
    """

    __slots__ = (
        "_clock",
        "_descriptor",
        "_messages",
        "_changed",
        "_window_start_ms",
        "_window_lines",
        "_dropped_lines",
        "_closed",
        "_thread",
    )

    def __init__(self, *, clock: Clock, descriptor: int):
        self._clock = clock
        self._descriptor = descriptor
        self._messages: collections.deque[dict] = collections.deque()
        self._changed = threading.Condition()
        self._window_start_ms = clock.now_ms()
        self._window_lines = 0
        self._dropped_lines = 0
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name="journal.writer", daemon=True
        )

    def start(self) -> None:
        """Starts the writer thread."""
        self._thread.start()

    def enqueue(self, message: dict) -> None:
        """Queues a message; above the rate or queue limit, drops and counts it."""
        with self._changed:
            now_ms = self._clock.now_ms()
            if now_ms - self._window_start_ms >= MS_PER_S:
                self._window_start_ms, self._window_lines = now_ms, 0
            if (
                self._window_lines >= MAX_LINES_PER_S
                or len(self._messages) >= MAX_QUEUED_LINES
            ):
                self._dropped_lines += 1
                metrics.log_lines_dropped_total.inc({})
                return
            self._window_lines += 1
            self._messages.append(message)
            if len(self._messages) == 1:
                self._changed.notify()

    def close(self) -> None:
        """Writes the queued lines, or gives up after `FLUSH_TIMEOUT_MS`."""
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
                    self._clock.wait(self._changed, BATCH_WINDOW_MS)
                batch = list(self._messages)
                self._messages.clear()
                dropped, self._dropped_lines = self._dropped_lines, 0
                closed = self._closed
            data = encode_lines(batch, dropped=dropped)
            try:
                write_all(self._descriptor, data)
            except OSError:
                # The reader of the log is gone, so the loss can only be counted.
                metrics.log_lines_dropped_total.add({}, len(batch))
            if closed:
                return


def encode_lines(batch: list[dict], *, dropped: int) -> bytes:
    """Returns messages as JSON lines; a last line counts dropped lines, if any."""
    buffer = io.BytesIO()
    write = eliot.FileDestination(file=buffer)
    for message in batch:
        write(message)
    if dropped:
        write({"message_type": "journal.dropped", "lines": dropped})
    return buffer.getvalue()


def write_all(descriptor: int, data: bytes) -> None:
    """Writes all data; blocks while the reader is slow.

    Raises:
        OSError: The reader is gone.
    """
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
