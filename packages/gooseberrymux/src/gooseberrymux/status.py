"""Status of the whole fleet, collected from all live instances by peer messages."""

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

INDEX_DOCUMENT_PREFIX = "index/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """Status that the live instances report.

    Attributes:
        instances: Status of each instance that answered, by name.
        silent: Names of the live instances that did not answer in time.
    """

    instances: dict[str, dict]
    silent: tuple[str, ...]


class StatusCollection:
    """Replies to one status request; the requesting thread waits for all of them."""

    __slots__ = ("_awaited", "_replies", "_changed", "_clock")

    def __init__(self, *, expected: set[str], clock):
        self._awaited = set(expected)
        self._replies: dict[str, dict] = {}
        self._changed = threading.Condition()
        self._clock = clock

    def record_reply(self, instance: str, status: dict) -> None:
        """Records a reply; ignores unexpected and repeated ones."""
        with self._changed:
            if instance in self._awaited:
                self._awaited.remove(instance)
                self._replies[instance] = status
                self._changed.notify()

    def exclude(self, instance: str) -> None:
        """Stops waiting for an instance that the request can't be sent to."""
        with self._changed:
            self._awaited.discard(instance)

    def wait(self, timeout_ms: float) -> dict[str, dict]:
        """Blocks until all have replied or `timeout_ms` passed; returns the replies."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            while self._awaited:
                remaining_ms = deadline_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    break
                self._clock.wait(self._changed, remaining_ms)
            return dict(self._replies)


@service("status", requires=("peers", "membership", "documents", "configuration"))
class Status:
    """Answers status requests of peers and collects the status of the fleet."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_membership",
        "_documents",
        "_configuration",
        "_pending_collections",
        "_lock",
        "_call_count",
        "_draining",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._documents = kernel.find("documents", Documents)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._pending_collections: dict[str, StatusCollection] = {}
        self._lock = threading.Lock()
        self._call_count = 0
        self._draining = False
        self._peers.register(StatusRequest, self._handle_request)
        self._peers.register(StatusReply, self._handle_reply)

    def start(self) -> None:
        """Does nothing: the service runs in the threads of its callers and peers."""

    def drain(self, deadline_ms: float) -> None:
        """Reports the state `leaving` from now on."""
        self._draining = True

    def stop(self) -> None:
        """Does nothing: the service has no thread."""

    def describe_instance(self) -> dict:
        """Returns the status of this instance."""
        current = self._configuration.get_current()
        identity = self._peers.identity
        status = {
            "name": identity.name,
            "incarnation": identity.incarnation,
            "state": self._determine_state(),
            "generation": current.generation if current else None,
            "proof_age_ms": round(self._documents.compute_proof_age_ms()),
            "documents": {
                digest.name: digest.generation
                for digest in self._documents.list_digests()
            },
            "services": self._kernel.describe(),
        }
        # A third-party service may describe itself with values that JSON lacks. They
        # become text here, so that the peer message can be encoded.
        return json.loads(json.dumps(status, default=str))

    def collect(self, timeout_ms: float) -> FleetStatus:
        """Returns the status of all live instances, including this instance.

        Args:
            timeout_ms: Longest wait for the other instances, in milliseconds.
        """
        own_name = self._peers.identity.name
        others = {member.name for member in self._membership.list_live()} - {own_name}
        collection = StatusCollection(expected=others, clock=self._kernel.clock)
        with self._lock:
            self._call_count += 1
            call_id = (
                f"{own_name}-{self._peers.identity.incarnation:x}-{self._call_count}"
            )
            self._pending_collections[call_id] = collection
        try:
            for name in others:
                match self._peers.send(name, StatusRequest(call_id=call_id)):
                    case Err(_):
                        collection.exclude(name)
                    case Ok(_):
                        pass
            instances = collection.wait(timeout_ms)
        finally:
            with self._lock:
                del self._pending_collections[call_id]
        return FleetStatus(
            instances={own_name: self.describe_instance(), **instances},
            silent=tuple(sorted(others - instances.keys())),
        )

    def _determine_state(self) -> str:
        if self._kernel.failure:
            return "failed"
        if self._draining:
            return "leaving"
        known = {digest.name for digest in self._documents.list_digests()}
        has_index = any(name.startswith(INDEX_DOCUMENT_PREFIX) for name in known)
        if self._configuration.get_current() is None or not has_index:
            return "starting"
        return "ready"

    def _handle_request(self, sender: InstanceIdentity, request: StatusRequest) -> None:
        reply = StatusReply(
            call_id=request.call_id,
            instance=self._peers.identity.name,
            status=self.describe_instance(),
        )
        self._peers.send(sender.name, reply)

    def _handle_reply(self, sender: InstanceIdentity, reply: StatusReply) -> None:
        with self._lock:
            collection = self._pending_collections.get(reply.call_id)
        if collection:
            collection.record_reply(sender.name, reply.status)
