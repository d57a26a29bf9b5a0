"""Status of the whole fleet, collected from all live instances by message."""

import dataclasses
import json
import threading

from result import Err, Ok

from gooseberrymux.configuration import ConfigurationService
from gooseberrymux.documents import Documents
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import Membership
from gooseberrymux.messages import StatusReply, StatusRequest
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceIdentity

INDEX_PREFIX = "index/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """What the live instances say about themselves.

    Attributes:
        instances: Status of each that answered, by name.
        silent: Names of the live instances that did not answer in time.
    """

    instances: dict[str, dict]
    silent: tuple[str, ...]


class Collection:
    """Replies to one request; the thread that asked waits for the last."""

    __slots__ = ("_missing", "_replies", "_changed", "_clock")

    def __init__(self, *, expected: set[str], clock):
        self._missing = set(expected)
        self._replies: dict[str, dict] = {}
        self._changed = threading.Condition()
        self._clock = clock

    def add(self, instance: str, status: dict) -> None:
        """Takes a reply; one that was not asked for, or is repeated, is dropped."""
        with self._changed:
            if instance in self._missing:
                self._missing.remove(instance)
                self._replies[instance] = status
                self._changed.notify()

    def skip(self, instance: str) -> None:
        """Stops waiting for an instance that the request can't be sent to."""
        with self._changed:
            self._missing.discard(instance)

    def wait(self, timeout_ms: float) -> dict[str, dict]:
        """Returns the replies, at the latest after `timeout_ms`."""
        until_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            while self._missing:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    break
                self._clock.wait(self._changed, left_ms)
            return dict(self._replies)


@service("status", requires=("peers", "membership", "documents", "configuration"))
class Status:
    """Answers peers about this instance and asks them about theirs."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_membership",
        "_documents",
        "_configuration",
        "_collections",
        "_lock",
        "_counter",
        "_draining",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._documents = kernel.find("documents", Documents)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._collections: dict[str, Collection] = {}
        self._lock = threading.Lock()
        self._counter = 0
        self._draining = False
        self._peers.register(StatusRequest, self._handle_request)
        self._peers.register(StatusReply, self._handle_reply)

    def start(self) -> None:
        """Nothing to start: it runs in the threads that ask."""

    def drain(self, deadline_ms: float) -> None:
        """Says leaving from here on."""
        self._draining = True

    def stop(self) -> None:
        """Nothing to stop."""

    def describe_instance(self) -> dict:
        """Returns the status of this instance."""
        current = self._configuration.get_current()
        identity = self._peers.identity
        status = {
            "name": identity.name,
            "incarnation": identity.incarnation,
            "state": self._find_state(),
            "generation": current.generation if current else None,
            "documents": {
                digest.name: digest.generation
                for digest in self._documents.list_digests()
            },
            "services": self._kernel.describe(),
        }
        # What a third-party service describes must not break the peer format.
        return json.loads(json.dumps(status, default=str))

    def collect(self, timeout_ms: float) -> FleetStatus:
        """Returns the status of all live instances, this one included.

        Args:
            timeout_ms: Longest wait for the others, in milliseconds.
        """
        own_name = self._peers.identity.name
        others = {member.name for member in self._membership.list_live()} - {own_name}
        collection = Collection(expected=others, clock=self._kernel.clock)
        with self._lock:
            self._counter += 1
            call_id = f"{own_name}-{self._peers.identity.incarnation:x}-{self._counter}"
            self._collections[call_id] = collection
        try:
            for name in others:
                match self._peers.send(name, StatusRequest(call_id=call_id)):
                    case Err(_):
                        collection.skip(name)
                    case Ok(_):
                        pass
            instances = collection.wait(timeout_ms)
        finally:
            with self._lock:
                del self._collections[call_id]
        return FleetStatus(
            instances={own_name: self.describe_instance(), **instances},
            silent=tuple(sorted(others - instances.keys())),
        )

    def _find_state(self) -> str:
        if self._kernel.failure:
            return "failed"
        if self._draining:
            return "leaving"
        known = {digest.name for digest in self._documents.list_digests()}
        has_index = any(name.startswith(INDEX_PREFIX) for name in known)
        if self._configuration.get_current() is None or not has_index:
            return "starting"
        return "ready"

    def _handle_request(self, sender: InstanceIdentity, asked: StatusRequest) -> None:
        reply = StatusReply(
            call_id=asked.call_id,
            instance=self._peers.identity.name,
            status=self.describe_instance(),
        )
        self._peers.send(sender.name, reply)

    def _handle_reply(self, sender: InstanceIdentity, reply: StatusReply) -> None:
        with self._lock:
            collection = self._collections.get(reply.call_id)
        if collection:
            collection.add(sender.name, reply.status)
