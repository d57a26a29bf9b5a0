"""Clock, platform, peers and kernel without sockets, for the control state's tests."""

import dataclasses
import functools
import threading
from collections import deque

from result import Err, Ok

from gooseberrymux.clock import Clock
from gooseberrymux.configuration_model import Configuration, Kind
from gooseberrymux.document_table import DocumentTable, hash_body
from gooseberrymux.documents import Documents
from gooseberrymux.edits import Change, PutEdit
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.messages import DocumentBody
from gooseberrymux.peers import Peers
from gooseberrymux.platform import (
    Platform,
    PlatformError,
    PlatformObject,
    VersionConflict,
    Written,
)
from gooseberrymux.records import InstanceIdentity, InstanceRecord, RunState
from gooseberrymux.settings import Settings, parse_settings

NAME = "configuration/current"
SETTINGS = """
instance:
  name: entry-0
  failure_domain: domain-a
  callers: {port: 0}
  administration: {port: 0}
  peers: {port: 0}
platform: {url: "http://127.0.0.1:1"}
api: {operator_tokens: {token-a: amina, token-b: bruno}}
"""


class InstantClock(Clock):
    """Waits take no time: the clock moves on instead."""

    __slots__ = ("_now_ms",)

    def __init__(self):
        self._now_ms = 0.0

    def now_ms(self) -> float:
        return self._now_ms

    def sleep_ms(self, duration_ms: float) -> None:
        self._now_ms += duration_ms

    def wait(self, condition: threading.Condition, timeout_ms: float | None) -> bool:
        assert timeout_ms is not None
        self._now_ms += timeout_ms
        return False


class FaultyPlatform(Platform):
    """One object with its whole history, and a fault for each call.

    A fault is `ok`, `down` (not connected), `stale` (a read from before the last
    write), `dropped` and `lost` (a write without a reply that did not, or did, take
    effect), or `late` (it takes effect two calls later).
    """

    __slots__ = ("history", "faults", "on_call", "_late")

    def __init__(self, value: dict | None = None):
        self.history: list[dict] = [value] if value else []
        self.faults: deque[str] = deque()
        self.on_call = lambda: None
        self._late: list[tuple[int, dict, int]] = []

    def describe(self) -> dict:
        return {"calls": {}}

    def get(self, name: str):
        match self._next_fault():
            case "down":
                return Err(self._fail(RunState.NOT_RUN))
            case "stale":
                return Ok(self._describe(max(0, len(self.history) - 1)))
            case _:
                return Ok(self._describe(len(self.history)))

    def put(self, *, name: str, value: dict, expected_version: int):
        fault = self._next_fault()
        if fault == "down":
            return Err(self._fail(RunState.NOT_RUN))
        if fault == "late":
            self._late.append((2, value, expected_version))
        if fault in ("late", "dropped"):
            return Err(self._fail(RunState.UNKNOWN))
        result = self._write(value, expected_version)
        return Err(self._fail(RunState.UNKNOWN)) if fault == "lost" else result

    def finish_late_writes(self) -> None:
        for _, value, expected_version in self._late:
            self._write(value, expected_version)
        self._late = []

    def _next_fault(self) -> str:
        self.on_call()
        due = [item for item in self._late if item[0] <= 0]
        self._late = [
            (calls - 1, value, version)
            for calls, value, version in self._late
            if calls > 0
        ]
        for _, value, expected_version in due:
            self._write(value, expected_version)
        return self.faults.popleft() if self.faults else "ok"

    def _write(self, value: dict, expected_version: int):
        if expected_version != len(self.history):
            return Ok(VersionConflict(current=self._describe(len(self.history))))
        self.history.append(value)
        return Ok(Written(version=len(self.history)))

    def _describe(self, version: int) -> PlatformObject:
        value = self.history[version - 1] if version else {}
        return PlatformObject(name=NAME, version=version, value=value)

    def _fail(self, run_state: RunState) -> PlatformError:
        return PlatformError(step="platform.test", message="fault", run_state=run_state)


class LocalDocuments:
    """The documents of an instance without peers."""

    __slots__ = ("table",)

    def __init__(self):
        self.table = DocumentTable()

    def get(self, name: str) -> DocumentBody | None:
        return self.table.get(name)

    def offer_body(self, *, name: str, body: dict, source: str) -> bool:
        self.table.take(create_document(body, name=name))
        return True


class MemoryPeers(Peers):
    """Links of one node of a network in memory; counts the messages sent."""

    __slots__ = ("network", "sent", "handlers", "identity")

    def __init__(self, *, name: str, network: "Network"):
        self.identity = InstanceIdentity(name=name, incarnation=1)
        self.network = network
        self.handlers: dict = {}
        self.sent: list = []

    def register(self, message_type: type, handler) -> None:
        self.handlers[message_type] = handler

    def list_connected(self) -> tuple[str, ...]:
        return tuple(name for name in self.network.nodes if name != self.identity.name)

    def send(self, name: str, message: object):
        self.sent.append(message)
        self.network.queue.append((self.identity, name, message))
        return Ok(None)

    def describe(self) -> dict:
        return {"links": len(self.network.nodes) - 1}


class FixedMembership(Membership):
    """Members that the test sets."""

    __slots__ = ("members",)

    def __init__(self, names: list[str]):
        self.members = names

    def describe(self) -> dict:
        return {"members": self.members}

    def list_live(self) -> tuple[InstanceRecord, ...]:
        return tuple(
            InstanceRecord(
                name=name, host="127.0.0.1", peer_port=1, failure_domain="domain-a"
            )
            for name in self.members
        )


class Network:
    """Nodes with documents, whose messages travel round by round."""

    __slots__ = ("nodes", "queue")

    def __init__(self):
        self.nodes: dict[str, Documents] = {}
        self.queue: list = []

    def add(self, name: str, *, platform: Platform | None = None) -> Documents:
        """Adds a node and returns its documents."""
        kernel = create_kernel(name)
        peers = MemoryPeers(name=name, network=self)
        kernel.register("platform", platform or FaultyPlatform())
        kernel.register("peers", peers)
        kernel.register("membership", FixedMembership([name]))
        documents = Documents(kernel=kernel)
        self.nodes[name] = documents
        return documents

    def run_round(self) -> int:
        """Delivers what is under way; returns how many messages that were."""
        queue, self.queue = self.queue, []
        for sender, target, message in queue:
            handlers = self.nodes[target]._peers.handlers
            handlers[type(message)](sender, message)
        return len(queue)


def create_kernel(name: str = "entry-0") -> Kernel:
    settings = read_settings()
    instance = dataclasses.replace(settings.instance, name=name)
    settings = dataclasses.replace(settings, instance=instance)
    return Kernel(settings=settings, clock=InstantClock())


@functools.cache
def read_settings() -> Settings:
    return parse_settings(SETTINGS, source="test")


def create_document(body: dict, *, name: str = NAME) -> DocumentBody:
    return DocumentBody(
        name=name, generation=body["generation"], hash=hash_body(body), body=body
    )


def put_group(
    *, change_id: str, name: str, label: str = "", base: int | None = None, **fields
) -> Change:
    value = {"index": "index-a", "match": {}, "labels": {"by": label or change_id}}
    edit = PutEdit(kind=Kind.GROUP, name=name, value=value)
    return Change(
        change_id=change_id,
        operator="amina",
        base_generation=base,
        edits=(edit,),
        **fields,
    )


def read_labels(configuration: Configuration) -> dict[str, str]:
    return {group.name: group.labels["by"] for group in configuration.groups}
