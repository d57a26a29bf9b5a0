"""A kernel with the real services of the query path; the others are fakes."""

import heapq
import itertools
import threading

from result import Ok

from gooseberrymux.clock import Clock
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.messages import Subrequest
from gooseberrymux.peers import Peers
from gooseberrymux.platform import Platform
from gooseberrymux.queries import Queries
from gooseberrymux.records import (
    InstanceIdentity,
    InstanceRecord,
    Query,
    Rank,
    Traffic,
)
from gooseberrymux.reply_memory import ReplyMemory
from gooseberrymux.settings import merge_mappings, parse_settings

SETTINGS = {
    "instance": {
        "name": "entry",
        "failure_domain": "a",
        "callers": {"port": 0},
        "administration": {"port": 0},
        "peers": {"port": 0},
    },
    "platform": {"url": "http://127.0.0.1:9"},
}


def create_settings(**overrides):
    import yaml

    return parse_settings(
        yaml.safe_dump(merge_mappings(SETTINGS, overrides)), source="test"
    )


def create_reply_memory(limit_bytes=64 * 1024 * 1024):
    settings = create_settings(instance={"reply_memory_bytes": limit_bytes})
    return ReplyMemory(kernel=Kernel(settings=settings, clock=Clock()))


class SteppingClock(Clock):
    """Clock of a single-threaded test: a wait advances to the next scheduled event."""

    __slots__ = ("now", "_events", "_count")

    def __init__(self):
        self.now = 1000.0
        self._events = []
        self._count = itertools.count()

    def now_ms(self):
        return self.now

    def schedule(self, delay_ms, action):
        heapq.heappush(self._events, (self.now + delay_ms, next(self._count), action))

    def wait(self, condition, timeout_ms):
        until_ms = self.now + timeout_ms
        if self._events and self._events[0][0] <= until_ms:
            self.now, _, action = heapq.heappop(self._events)
            action()
            return True
        self.now = until_ms
        return False


class FakePeers(Peers):
    """Records sent messages; `answer` handles sub-requests in place of the owners."""

    def __init__(self, answer=None):
        self.identity = InstanceIdentity(name="entry", incarnation=7)
        self._handlers = {}
        self.incarnations = {}
        self.sent = []
        self.answer = answer

    def start(self):
        pass

    def get_incarnation(self, name):
        return self.incarnations.get(name, 0)

    def list_connected(self):
        return tuple(self.incarnations)

    def send(self, name, message):
        self.sent.append((name, message))
        if self.answer and isinstance(message, Subrequest):
            self.answer(name, message)
        return Ok(None)

    def receive(self, name, incarnation, message):
        sender = InstanceIdentity(name=name, incarnation=incarnation)
        self._handlers[type(message)](sender, message)


class FakeMembership(Membership):
    def __init__(self, names):
        self.names = names

    def start(self):
        pass

    def handle_listed_instance(self, record):
        pass

    def list_live(self):
        return tuple(
            InstanceRecord(name=n, host="h", peer_port=1, failure_domain="a")
            for n in self.names
        )


class FakePlatform(Platform):
    def __init__(self):
        pass


class FakeDocuments(Documents):
    """Checks documents with the registered checks and records the problems."""

    def __init__(self):
        self.checks = {}
        self.problems = []

    def watch_prefix(self, prefix, required=None, compare_content=False):
        pass

    def register_check(self, prefix, check):
        self.checks[prefix] = check

    def find_problem(self, name, body):
        for prefix, check in self.checks.items():
            if name.startswith(prefix) and (problem := check(body)):
                self.problems.append(problem)
                return problem
        return None

    def start(self):
        pass

    def stop(self):
        pass


def create_kernel(*, clock=None, members=("entry",), answer=None, **overrides):
    kernel = Kernel(settings=create_settings(**overrides), clock=clock or Clock())
    kernel.register("peers", FakePeers(answer))
    kernel.register("membership", FakeMembership(members))
    kernel.register("platform", FakePlatform())
    kernel.register("documents", FakeDocuments())
    kernel.load(("queries",))
    publish(
        kernel,
        "configuration/current",
        1,
        change_id="x",
        groups=[{"name": "g", "index": "desk", "match": {}}],
        selectors=[{"name": "all", "priority": 1, "groups": ["g"]}],
    )
    return kernel


def publish(kernel, name, generation, **fields):
    body = {"generation": generation, **fields}
    if kernel.find("documents", FakeDocuments).find_problem(name, body) is None:
        kernel.publish(DocumentChanged(name=name, generation=generation, body=body))


def publish_index(kernel, generation, current, **versions):
    publish(kernel, "index/desk", generation, current=current, versions=versions)


def publish_upstreams(kernel, generation, records):
    import dataclasses

    publish(
        kernel,
        "instances",
        generation,
        upstreams=[dataclasses.asdict(record) for record in records],
    )


def create_query(kernel, *, deadline_in_ms=2000.0, rank=Rank.URGENT, minimum=0.0):
    return Query(
        request_id=f"q-{next(_ids)}",
        traffic=Traffic(caller="c", service="desk", rank=rank),
        terms={},
        deadline_ms=kernel.clock.now_ms() + deadline_in_ms,
        minimum_coverage=minimum,
    )


def run_query(kernel, **fields):
    return kernel.find("queries", Queries).run(create_query(kernel, **fields))


def wait_until(condition, *, message):
    """Polls until `condition` holds; fails with `message` after about 4 s."""
    pause = threading.Event()
    for _ in range(400):
        if condition():
            return
        pause.wait(0.01)
    raise AssertionError(message)


_ids = itertools.count(1)
