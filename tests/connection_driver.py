"""Runs a connection to an upstream in a thread, and collects its results."""

import dataclasses
import queue
import threading

from gooseberrymux.clock import Clock
from gooseberrymux.connections import Connection, Exchange
from gooseberrymux.forward_exchange import encode_head
from gooseberrymux.forward_messages import ForwardCall
from gooseberrymux.records import Rank
from gooseberrymux.settings import HeaderNames
from harness import create_reply_memory

CLOCK = Clock()
NAMES = HeaderNames()
CALL = ForwardCall(
    id="c",
    request_id="r-1",
    route="desk",
    services=["s"],
    rank=Rank.URGENT,
    repeatable=True,
    attempts=2,
    remaining_ms=1000.0,
    target_ms=100.0,
    method="GET",
    target="/a/x?q=1",
    headers=(("host", "desk.example"), ("x-own", "1"), ("x-deadline-ms", "9999")),
)
ORDER = dataclasses.replace(
    CALL, method="POST", repeatable=False, body=b"order", request_id="r-2"
)
# Longer than what the buffers of both ends take.
LONG_ORDER = dataclasses.replace(ORDER, body=b"b" * 8_000_000)


class ConnectionDriver:
    """Runs a connection in a thread and collects the results of its exchanges."""

    def __init__(self, record, check_send=lambda exchange: None, reply_memory=None):
        self.results = queue.Queue()
        self.connection = Connection(
            record=record,
            clock=CLOCK,
            names=NAMES,
            reply_memory=reply_memory or create_reply_memory(),
            on_result=lambda connection, exchange, result: self.results.put(result),
            check_send=check_send,
        )
        self.thread = threading.Thread(
            target=lambda: self.connection.serve(lambda: False), daemon=True
        )
        self.thread.start()

    @property
    def is_open(self):
        return self.connection.is_open

    def start_exchange(self, call=CALL, budget_ms=1500.0):
        now_ms = CLOCK.now_ms()
        exchange = Exchange(
            call=call,
            head=encode_head(call, NAMES),
            deadline_ms=now_ms + budget_ms,
            sent_ms=now_ms,
        )
        self.connection.start_exchange(exchange)
        return exchange

    def close(self):
        self.connection.close()
        self.thread.join(5)
        assert not self.thread.is_alive()


def count_writers():
    """Returns how many threads write the rest of a request."""
    names = [thread.name for thread in threading.enumerate()]
    return sum(name.startswith("connections.write") for name in names)
