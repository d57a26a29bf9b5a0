"""Asks one upstream to stop sub-requests, on a connection of its own."""

import collections
import threading
from collections.abc import Callable

from gooseberrymux import journal
from gooseberrymux.exchange import Exchange
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import UpstreamRecord

# The connection closes when nothing was cancelled for this long.
IDLE_MS = 5_000
# Older cancels make room for newer ones: their work is the nearest to its end.
WAITING_LIMIT = 64


class Canceller:
    """One thread, started with the first cancel, and the ids that wait for it.

    The lane's own connections wait for replies and can't be used meanwhile.
    """

    __slots__ = (
        "_kernel",
        "_get_record",
        "_is_running",
        "_waiting",
        "_changed",
        "_serving",
        "_closed",
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        get_record: Callable[[], UpstreamRecord],
        is_running: Callable[[str], bool],
    ):
        self._kernel = kernel
        self._get_record = get_record
        self._is_running = is_running
        self._waiting: collections.deque[str] = collections.deque(maxlen=WAITING_LIMIT)
        self._changed = threading.Condition()
        self._serving = False
        self._closed = False

    def add(self, subrequest_id: str) -> None:
        """Has a sub-request cancelled; does not block."""
        with self._changed:
            if self._closed:
                return
            self._waiting.append(subrequest_id)
            self._changed.notify()
            start, self._serving = not self._serving, True
        if start:
            self._kernel.spawn(
                name=f"dispatch.{self._get_record().name}.cancel", target=self._serve
            )

    def close(self) -> None:
        """Ends the thread."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _serve(self) -> None:
        exchange = Exchange(record=self._get_record(), clock=self._kernel.clock)
        while (subrequest_id := self._take()) is not None:
            if not exchange.cancel(subrequest_id):
                journal.record_event(
                    "dispatch.cancel_failed",
                    upstream=exchange.record.name,
                    subrequest=subrequest_id,
                )
        exchange.close()

    def _take(self) -> str | None:
        with self._changed:
            while True:
                while self._waiting:
                    subrequest_id = self._waiting.popleft()
                    if self._is_running(subrequest_id):
                        return subrequest_id
                woken = not self._closed and self._kernel.clock.wait(
                    self._changed, IDLE_MS
                )
                if not woken and not self._waiting:
                    self._serving = False
                    return None
