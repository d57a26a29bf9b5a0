"""Sends cancel requests for running sub-requests to one upstream."""

import collections
import threading
from collections.abc import Callable

from gooseberrymux import journal
from gooseberrymux.exchange import SendCheck, create_subrequest_connection
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import UpstreamRecord

# The connection is closed and its thread ends after this long without a cancel.
IDLE_TIMEOUT_MS = 5_000
# A full queue drops its oldest cancel, as that sub-request is the closest to completion
# and cancelling it would save the least work.
QUEUE_LIMIT = 64


class Canceller:
    """A bounded queue of cancel requests and the thread that sends them.

    Uses a connection of its own, because the connections of the upstream's worker
    pool are blocked waiting for replies. The thread starts on demand.

    Args:
        kernel: The kernel, which runs the thread.
        get_record: Returns the current record of the upstream.
        is_running: Returns whether the sub-request with an id is still running.
        check_send: Returns the reason code for sending the upstream no cancel, or None.
    """

    __slots__ = (
        "_kernel",
        "_get_record",
        "_is_running",
        "_check_send",
        "_queue",
        "_condition",
        "_is_thread_running",
        "_closed",
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        get_record: Callable[[], UpstreamRecord],
        is_running: Callable[[str], bool],
        check_send: SendCheck,
    ):
        self._kernel = kernel
        self._get_record = get_record
        self._is_running = is_running
        self._check_send = check_send
        self._queue: collections.deque[str] = collections.deque(maxlen=QUEUE_LIMIT)
        self._condition = threading.Condition()
        self._is_thread_running = False
        self._closed = False

    def enqueue(self, subrequest_id: str) -> None:
        """Queues the cancellation of a sub-request; does not block."""
        with self._condition:
            if self._closed:
                return
            self._queue.append(subrequest_id)
            self._condition.notify()
            must_start, self._is_thread_running = not self._is_thread_running, True
        if must_start:
            self._kernel.spawn(
                name=f"dispatch.{self._get_record().name}.cancel", target=self._serve
            )

    def close(self) -> None:
        """Makes the thread end once the queue is empty; later cancels are ignored."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()

    def _serve(self) -> None:
        connection = create_subrequest_connection(
            record=self._get_record(),
            kernel=self._kernel,
            check_send=self._check_send,
        )
        while (subrequest_id := self._dequeue()) is not None:
            if not connection.cancel(subrequest_id):
                journal.record_event(
                    "dispatch.cancel_failed",
                    upstream=connection.record.name,
                    subrequest=subrequest_id,
                )
        connection.close()

    def _dequeue(self) -> str | None:
        with self._condition:
            while True:
                while self._queue:
                    subrequest_id = self._queue.popleft()
                    if self._is_running(subrequest_id):
                        return subrequest_id
                woken = not self._closed and self._kernel.clock.wait(
                    self._condition, IDLE_TIMEOUT_MS
                )
                if not woken and not self._queue:
                    self._is_thread_running = False
                    return None
