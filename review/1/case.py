"""A server sends a rejection once more, late, when the same order comes again."""

import collections
import threading
import time
from pathlib import Path

import stand

# The disruptions last no longer than the site file says: garble 5.0 s, srv_grey 6.5 s.
TROUBLE_S = 5.0
# At most this share of a server's answers comes a second time (garble, x = 0.03).
EXTRA_SHARE = 0.03
# At most this share of a server's requests is shed (srv_grey, x = 0.45).
SHED_SHARE = 0.45
ROUNDS = 12
PLAIN_PER_ROUND = 70
PLAIN_WORK_S = 0.001
MARKED_WORK_S = 0.04


class OrderServer:
    """Runs orders; with trouble, sheds some and sends some answers a second time.

    Attributes:
        runs: Number of runs of each order, over all servers.
    """

    runs = collections.Counter()
    lock = threading.Lock()

    def __init__(self, record):
        self._record = record
        self._seen = set()
        self._answers = 0
        self._shed = 0
        self._extra = 0
        self._first_at = None
        # Answers to be sent once more, by the port of the connection.
        self._late = {}

    def handle(self, server, run, length):
        """Answers an order, after a late copy of the answer before if there is one."""
        port = run.sock.getpeername()[1]
        if copy := self._late.pop(port, None):
            self._record.write(f"{server.name} sends its last answer on {port} again")
            run.sock.sendall(copy)
        if not self._sheds(run):
            stand.answer(
                server,
                run,
                length,
                work_s=MARKED_WORK_S if is_marked(run) else PLAIN_WORK_S,
                on_begin=self._record_run,
            )
            return
        run.stream.read(length)
        self._record.write(f"{server.name} sheds {run.id} on {port}")
        if self._extra + 1 <= EXTRA_SHARE * self._answers:
            self._extra += 1
            self._late[port] = stand.encode_rejection(run, server.name)
        stand.reject(server, run)

    def _sheds(self, run):
        """Counts an order; returns whether it is shed."""
        now = time.monotonic()
        with self.lock:
            self._first_at = self._first_at or now
            self._answers += 1
            is_first = run.id not in self._seen
            self._seen.add(run.id)
            sheds = (
                stand.TROUBLE
                and is_marked(run)
                and is_first
                and now - self._first_at < TROUBLE_S
                and self._shed + 1 <= SHED_SHARE * self._answers
            )
            self._shed += sheds
            return sheds

    def _record_run(self, server, run):
        with self.lock:
            self.runs[run.id] += 1
        if is_marked(run):
            self._record.write(f"{server.name} runs {run.id}")


def is_marked(run):
    """Returns whether an order is one that both servers shed."""
    return run.id.endswith("-marked")


def run_case(record, store, fleet):
    """Returns whether each order has run once at most."""
    # The servers of one service, half of all, have the faults.
    servers = [
        stand.Server(
            name=name, service="orders", zone="a", handle=OrderServer(record).handle
        )
        for name in ("i-1", "i-2")
    ]
    servers += [
        stand.Server(name=name, service="portal", zone="a") for name in ("i-3", "i-4")
    ]
    for server in servers:
        store.start_writer(server.name, server.spec)
    routes = [
        stand.create_route("r-1", "/timi402/", "orders", kind="non_idempotent"),
        stand.create_route("r-2", "/bapu561/", "portal"),
    ]
    store.put("config", "main", stand.create_config(7, routes, ["orders", "portal"]))
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
        status = order(f"{number}-marked")
        record.write(f"{number}-marked got {status}")
        if status == 503:
            refused.append(f"{number}-marked")
    time.sleep(1.0)
    runs = OrderServer.runs
    twice = {name: count for name, count in runs.items() if count > 1}
    record.write(f"orders that ran more than once: {twice}")
    record.write(f"answered 503 and run: {[name for name in refused if runs[name]]}")
    return not twice


stand.run_case(Path(__file__).parent, run_case)
