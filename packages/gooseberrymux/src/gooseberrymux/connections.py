"""One connection to an upstream: a thread that runs one exchange after the other."""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import forward_exchange, journal, metrics
from gooseberrymux.clock import Clock
from gooseberrymux.forward_exchange import Broken, ForwardExchange
from gooseberrymux.forward_messages import ForwardCall

# A connection without work for this long ends, so that an upstream's connection limit
# is not used up by instances that no longer own its service.
IDLE_MS = 30_000
REASON_INTERNAL = "internal_error"


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Exchange:
    """One send of a request to an upstream.

    Attributes:
        call: The request.
        head: Its request line and end-to-end headers.
        deadline_ms: Monotonic time in milliseconds at which to give up.
        sent_ms: When it was handed to its connection.
        aborted: Whether it was broken off because nobody wants its reply.
    """

    call: ForwardCall
    head: bytes
    deadline_ms: float
    sent_ms: float
    aborted: bool = False


Finish = Callable[["Connection", Exchange, forward_exchange.Result], None]


class Connection:
    """Runs the exchanges that it is given, one at a time, in its own thread."""

    __slots__ = ("_exchange", "_clock", "_finish", "_changed", "_current", "_closed")

    def __init__(self, *, exchange: ForwardExchange, clock: Clock, finish: Finish):
        self._exchange = exchange
        self._clock = clock
        self._finish = finish
        self._changed = threading.Condition()
        self._current: Exchange | None = None
        self._closed = False

    @property
    def is_open(self) -> bool:
        """Whether the connection stands, as far as is known."""
        return self._exchange.is_open

    def assign(self, exchange: Exchange) -> None:
        """Starts an exchange; the one before has finished."""
        with self._changed:
            self._current = exchange
            self._changed.notify()

    def abort(self, exchange: Exchange) -> None:
        """Breaks off an exchange if it is still under way."""
        with self._changed:
            if self._current is exchange:
                exchange.aborted = True
                self._exchange.abort()

    def close(self) -> None:
        """Ends the thread after the exchange under way."""
        with self._changed:
            self._closed = True
            self._changed.notify()

    def serve(self, on_idle: Callable[[], bool]) -> None:
        """Runs exchanges until the connection is closed or idle for long.

        Args:
            on_idle: Asked before an idle connection ends; it ends if this returns True.
        """
        while True:
            exchange = self._wait()
            if exchange is None:
                if self._closed or on_idle():
                    break
                continue
            result = self._run(exchange)
            with self._changed:
                self._current = None
                self._exchange.prepare()
            self._finish(self, exchange, result)
        self._exchange.close()

    def _wait(self) -> Exchange | None:
        with self._changed:
            if self._current is None and not self._closed:
                self._clock.wait(self._changed, IDLE_MS)
            return self._current

    def _run(self, exchange: Exchange) -> forward_exchange.Result:
        try:
            return self._exchange.run(
                exchange.call, exchange.head, exchange.deadline_ms
            )
        except Exception as error:
            # A fault in one exchange must not take the thread with it.
            self._exchange.close()
            peer = self._exchange.record.name
            journal.record_fault(step="connections.run", peer=peer, error=error)
            metrics.faults_total.inc({"step": "connections.run"})
            return Broken(reason=REASON_INTERNAL)
