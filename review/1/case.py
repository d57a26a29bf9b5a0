"""A server sends a rejection once more, late, when the same order comes again."""

import collections
import threading
import time
from pathlib import Path

import stand

ROUNDS = 12
# At most this share of a server's answers comes a second time (site file: garble
# "extra late", x = 0.03).
EXTRA_SHARE = 0.03
PLAIN_PER_ROUND = 80
WORK_S = 0.04


class OrderServer:
    """Runs orders; is full when an order whose id says so comes for the first time.

    Attributes:
        runs: Number of runs of each order, over all servers.
    """

    runs = collections.Counter()
    lock = threading.Lock()

    def __init__(self, record, *, repeats):
        self._record = record
        self._repeats = repeats
        self._seen = set()
        self._answers = 0
        self._extra = 0
        # Answers that are sent once more, by the port of the connection.
        self._late = {}

    def handle(self, server, run, length):
        """Answers an order, after a late copy of the answer before if there is one."""
        run.stream.read(length)
        port = run.sock.getpeername()[1]
        if copy := self._late.pop(port, None):
            self._record.write(f"{server.name} sends its last answer on {port} again")
            run.sock.sendall(copy)
        with self.lock:
            self._answers += 1
            is_full = "-full" in run.id and run.id not in self._seen
            self._seen.add(run.id)
        if is_full:
            rejection = stand.encode_answer(
                run, server.name, 503, stamp=False, X_Not_Executed="1"
            )
            if self._repeats and self._extra + 1 <= EXTRA_SHARE * self._answers:
                self._extra += 1
                self._late[port] = rejection
            self._record.write(f"{server.name} rejects {run.id} on {port}")
            run.sock.sendall(rejection)
            return
        with self.lock:
            self.runs[run.id] += 1
        if "-full" in run.id:
            self._record.write(f"{server.name} runs {run.id} on {port}")
            time.sleep(WORK_S)
        run.sock.sendall(stand.encode_answer(run, server.name, body=b"done"))


def run_case(record, store, fleet):
    """Returns whether each order has run once at most."""
    for name, repeats in (("i-1", stand.TROUBLE), ("i-2", False)):
        handler = OrderServer(record, repeats=repeats)
        server = stand.Server(
            record, name=name, service="orders", zone="a", handle=handler.handle
        )
        store.put("servers", server.name, server.spec)
    routes = [stand.create_route("r-1", "/timi402/", "orders", kind="non_idempotent")]
    store.put("config", "main", stand.create_config(7, routes, ["orders"]))
    fleet.start(["a"])

    def order(request_id):
        return stand.get(
            fleet.instances[0].front,
            "/timi402/2f",
            method="POST",
            body=b"one blanket",
            X_Request_Id=request_id,
            X_Deadline_Ms="10000",
        ).status

    refused = []
    for number in range(ROUNDS):
        statuses = [order(f"{number}-{i}") for i in range(PLAIN_PER_ROUND)]
        record.write(f"{statuses.count(200)} of {len(statuses)} orders got 200")
        status = order(f"{number}-full")
        record.write(f"{number}-full got {status}")
        if status == 503:
            refused.append(f"{number}-full")
    time.sleep(1.0)
    runs = OrderServer.runs
    twice = {name: count for name, count in runs.items() if count > 1}
    record.write(f"orders that ran more than once: {twice}")
    record.write(f"answered 503 and run: {[name for name in refused if runs[name]]}")
    return not twice


stand.run_case(Path(__file__).parent, run_case)
