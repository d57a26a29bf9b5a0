"""Fakes of clock, platform, peers and membership, without sockets.

For tests of the documents and the configuration that instances exchange.
"""

import dataclasses
import functools
import threading
from collections import deque

from result import Err, Ok

from gooseberrymux.clock import Clock
from gooseberrymux.configuration_changes import Change, PutEdit
from gooseberrymux.configuration_model import Configuration, Kind
from gooseberrymux.document_table import DocumentTable, hash_body
from gooseberrymux.documents import Documents
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.messages import DocumentBody
from gooseberrymux.peers import Peers
from gooseberrymux.platform import (
    Platform,
)
from gooseberrymux.platform_objects import (
    PlatformError,
    PlatformObject,
    VersionConflict,
    Written,
)
from gooseberrymux.records import InstanceIdentity, InstanceRecord, RunState
from gooseberrymux.settings import Settings, parse_settings

CONFIGURATION_NAME = "configuration/current"
SETTINGS_YAML = """
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
    """A clock whose waits return at once and advance its time."""

    __slots__ = ("_now_ms",)

    def __init__(self):
        self._now_ms = 0.0

    def now_ms(self) -> float:
        return self._now_ms

    def boot_ms(self) -> float:
        return self._now_ms

    def sleep_ms(self, duration_ms: float) -> None:
        self._now_ms += duration_ms

    def wait(self, condition: threading.Condition, timeout_ms: float | None) -> bool:
        assert timeout_ms is not None
        self._now_ms += timeout_ms
        return False


class FaultyPlatform(Platform):
    """A platform with a single object, its history, and a scripted fault for each call.

    Faults, one consumed by each call:
        ok: The call succeeds; the same holds when the list is used up.
        down: The call fails without a connection and has no effect.
        stale: A read returns the version before the last write.
        dropped: A write gets no reply and does not take effect.
        lost: A write gets no reply but takes effect.
        late: A write gets no reply and takes effect after two more calls.

    A fault that does not concern the kind of call has no effect. `on_call` runs at the
    start of each call. The version of the object is the length of `history`.
    """

    __slots__ = ("history", "faults", "on_call", "_late_writes")

    def __init__(self, value: dict | None = None):
        self.history: list[dict] = [value] if value else []
        self.faults: deque[str] = deque()
        self.on_call = lambda: None
        # Calls left until the write takes effect, its value and its expected version.
        self._late_writes: list[tuple[int, dict, int]] = []

    def describe(self) -> dict:
        return {"calls": {}}

    def get(self, name: str):
        match self._dequeue_fault():
            case "down":
                return Err(self._create_error(RunState.NOT_RUN))
            case "stale":
                return Ok(self._get_version(max(0, len(self.history) - 1)))
            case _:
                return Ok(self._get_version(len(self.history)))

    def put(self, *, name: str, value: dict, expected_version: int):
        fault = self._dequeue_fault()
        if fault == "down":
            return Err(self._create_error(RunState.NOT_RUN))
        if fault == "late":
            self._late_writes.append((2, value, expected_version))
        if fault in ("late", "dropped"):
            return Err(self._create_error(RunState.UNKNOWN))
        result = self._write(value, expected_version)
        return Err(self._create_error(RunState.UNKNOWN)) if fault == "lost" else result

    def apply_late_writes(self) -> None:
        for _, value, expected_version in self._late_writes:
            self._write(value, expected_version)
        self._late_writes = []

    def _dequeue_fault(self) -> str:
        self.on_call()
        due = [item for item in self._late_writes if item[0] <= 0]
        self._late_writes = [
            (calls - 1, value, version)
            for calls, value, version in self._late_writes
            if calls > 0
        ]
        for _, value, expected_version in due:
            self._write(value, expected_version)
        return self.faults.popleft() if self.faults else "ok"

    def _write(self, value: dict, expected_version: int):
        if expected_version != len(self.history):
            return Ok(VersionConflict(current=self._get_version(len(self.history))))
        self.history.append(value)
        return Ok(Written(version=len(self.history)))

    def _get_version(self, version: int) -> PlatformObject:
        value = self.history[version - 1] if version else {}
        return PlatformObject(name=CONFIGURATION_NAME, version=version, value=value)

    def _create_error(self, run_state: RunState) -> PlatformError:
        return PlatformError(step="platform.test", message="fault", run_state=run_state)


class LocalDocuments:
    """The documents in force on an instance that has no peers."""

    __slots__ = ("table",)

    def __init__(self):
        self.table = DocumentTable()

    def get(self, name: str) -> DocumentBody | None:
        return self.table.get(name)

    def apply_body(self, *, name: str, body: dict, source: str) -> bool:
        self.table.apply_if_newer(create_document(body, name=name))
        return True


class InMemoryPeers(Peers):
    """The peers of one node of a `Network`; records the messages that it sends."""

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
    """A membership whose live members are set by the test."""

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
    """Nodes with a documents service, connected in memory.

    A message is queued until the next round; messages sent during a round are delivered
    in the round after it.
    """

    __slots__ = ("nodes", "queue")

    def __init__(self):
        self.nodes: dict[str, Documents] = {}
        self.queue: list = []

    def add_node(self, name: str, *, platform: Platform | None = None) -> Documents:
        """Adds a node and returns its documents."""
        kernel = create_kernel(name)
        peers = InMemoryPeers(name=name, network=self)
        kernel.register("platform", platform or FaultyPlatform())
        kernel.register("peers", peers)
        kernel.register("membership", FixedMembership([name]))
        documents = Documents(kernel=kernel)
        self.nodes[name] = documents
        return documents

    def run_round(self) -> int:
        """Delivers the queued messages and returns their number."""
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
    return parse_settings(SETTINGS_YAML, source="test")


def create_document(body: dict, *, name: str = CONFIGURATION_NAME) -> DocumentBody:
    return DocumentBody(
        name=name, generation=body["generation"], hash=hash_body(body), body=body
    )


def create_put_group_change(
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
