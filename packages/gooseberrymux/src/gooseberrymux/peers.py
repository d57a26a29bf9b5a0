"""Links between instances: one pynng listener, a sender and a receiver thread a peer.

Envelopes name the incarnation that they are meant for, because pynng reconnects
silently and a restarted peer would otherwise look the same.
"""

import collections
import dataclasses
import secrets
import threading
from collections.abc import Callable

import pynng
from result import Err, Ok, Result

from gooseberrymux import journal, metrics
from gooseberrymux.codec import Envelope, decode_envelope, encode_envelope
from gooseberrymux.errors import MuxError
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.messages import IncarnationMismatch
from gooseberrymux.records import InstanceIdentity
from gooseberrymux.settings import Address

RECEIVE_TIMEOUT_MS = 200
SEND_TIMEOUT_MS = 1_000
OUTBOUND_LIMIT = 4_096
INBOUND_LIMIT = 8_192
BATCH_LIMIT = 128
INCARNATION_RANDOM_BITS = 10


class PeerError(MuxError):
    """A message can't be queued for a peer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLost:
    """Calls in flight at this run of a peer are gone."""

    instance: str
    incarnation: int
    reason: str


Handler = Callable[[InstanceIdentity, object], None]


class Mailbox:
    """Bounded queue of one thread; `take_all` blocks until something is there."""

    __slots__ = ("_items", "_changed", "_limit", "_closed", "_clock")

    def __init__(self, *, limit: int, clock):
        self._items: collections.deque = collections.deque()
        self._changed = threading.Condition()
        self._limit = limit
        self._closed = False
        self._clock = clock

    def put(self, item: object) -> bool:
        """Adds an item; returns False if the box is full or closed."""
        with self._changed:
            if self._closed or len(self._items) >= self._limit:
                return False
            self._items.append(item)
            self._changed.notify()
            return True

    def take_all(self, limit: int) -> list:
        """Returns up to `limit` items; an empty list means that the box is closed."""
        with self._changed:
            while not self._items and not self._closed:
                self._clock.wait(self._changed, None)
            count = min(limit, len(self._items))
            return [self._items.popleft() for _ in range(count)]

    def close(self) -> None:
        """Lets the thread that takes finish what is left and end."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()


class Peer:
    """State of the link with one peer."""

    __slots__ = ("name", "address", "incarnation", "outbound", "inbound", "socket")

    def __init__(self, *, name: str, address: Address, clock):
        self.name = name
        self.address = address
        self.incarnation = 0
        self.outbound = Mailbox(limit=OUTBOUND_LIMIT, clock=clock)
        self.inbound = Mailbox(limit=INBOUND_LIMIT, clock=clock)
        self.socket: pynng.Push0 | None = None


@service("peers")
class Peers:
    """Sends messages to instances by name and hands received ones to handlers."""

    __slots__ = (
        "_kernel",
        "identity",
        "_peers",
        "_handlers",
        "_lock",
        "_listener",
        "_stopping",
        "bytes_sent",
        "bytes_received",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self.identity = InstanceIdentity(
            name=kernel.settings.instance.name,
            incarnation=create_incarnation(kernel.clock.wall_ms()),
        )
        self._peers: dict[str, Peer] = {}
        self._handlers: dict[type, Handler] = {}
        self._lock = threading.Lock()
        self._listener: pynng.Pull0 | None = None
        self._stopping = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.register(IncarnationMismatch, self._handle_mismatch)

    def register(self, message_type: type, handler: Handler) -> None:
        """Sets the handler of a message type; it runs in the peer's receiver thread."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Opens the listener."""
        address = self._kernel.settings.instance.peers
        self._listener = pynng.Pull0(
            listen=f"tcp://{address}", recv_timeout=RECEIVE_TIMEOUT_MS
        )
        self._kernel.spawn(name="peers.listener", target=self._receive_frames)

    def drain(self, deadline_ms: float) -> None:
        """Nothing to do: the links stay up until all other services are drained."""

    def stop(self) -> None:
        """Closes all links."""
        self._stopping = True
        for peer in list(self._peers.values()):
            peer.outbound.close()
            peer.inbound.close()

    def connect(self, *, name: str, address: Address) -> None:
        """Opens the link with a peer, or moves it to a new address."""
        with self._lock:
            known = self._peers.get(name)
            if name == self.identity.name or (known and known.address == address):
                return
            if known:
                known.outbound.close()
                known.inbound.close()
            peer = Peer(name=name, address=address, clock=self._kernel.clock)
            self._peers[name] = peer
        self._kernel.spawn(name=f"peers.send.{name}", target=lambda: self._send(peer))
        self._kernel.spawn(
            name=f"peers.receive.{name}", target=lambda: self._dispatch(peer)
        )

    def disconnect(self, name: str) -> None:
        """Closes the link with a peer that is gone."""
        with self._lock:
            peer = self._peers.pop(name, None)
        if peer:
            peer.outbound.close()
            peer.inbound.close()

    def list_connected(self) -> tuple[str, ...]:
        """Returns the names of all peers with a link."""
        with self._lock:
            return tuple(self._peers)

    def get_incarnation(self, name: str) -> int:
        """Returns the last run that the peer named itself; 0 if none was heard."""
        peer = self._peers.get(name)
        return peer.incarnation if peer else 0

    def send(self, name: str, message: object) -> Result[None, PeerError]:
        """Queues a message for a peer.

        Returns:
            Err if there is no link with the peer or its queue is full; the message
            was then certainly not sent.
        """
        peer = self._peers.get(name)
        if peer is None:
            return Err(PeerError(step="peers.send", peer=name, message="no link"))
        if not peer.outbound.put(message):
            metrics.dropped_total.inc({"reason": "outbound_full"})
            return Err(PeerError(step="peers.send", peer=name, message="queue full"))
        return Ok(None)

    def _send(self, peer: Peer) -> None:
        with pynng.Push0(send_timeout=SEND_TIMEOUT_MS) as socket:
            socket.dial(f"tcp://{peer.address}", block=False)
            peer.socket = socket
            while batch := peer.outbound.take_all(BATCH_LIMIT):
                frame = encode_envelope(
                    Envelope(
                        sender=self.identity.name,
                        sender_incarnation=self.identity.incarnation,
                        target=peer.name,
                        target_incarnation=peer.incarnation,
                        messages=batch,
                    )
                )
                try:
                    socket.send(frame)
                    self.bytes_sent += len(frame)
                except pynng.NNGException as error:
                    self._lose(peer, f"send failed: {error}")

    def _receive_frames(self) -> None:
        assert self._listener is not None
        with self._listener as listener:
            while not self._stopping:
                try:
                    frame = listener.recv()
                except pynng.Timeout:
                    continue
                self.bytes_received += len(frame)
                self._accept(frame)

    def _accept(self, frame: bytes) -> None:
        match decode_envelope(frame):
            case Err(error):
                metrics.dropped_total.inc({"reason": "undecodable_frame"})
                journal.record_fault(step="peers.receive", peer="", error=error)
                return
            case Ok(envelope):
                pass
        peer = self._peers.get(envelope.sender)
        if peer is None:
            metrics.dropped_total.inc({"reason": "unknown_sender"})
            journal.record_event(
                "peers.dropped", reason="unknown sender", peer=envelope.sender
            )
            return
        if not peer.inbound.put(envelope):
            metrics.dropped_total.inc({"reason": "inbound_full"})

    def _dispatch(self, peer: Peer) -> None:
        while envelopes := peer.inbound.take_all(BATCH_LIMIT):
            for envelope in envelopes:
                self._dispatch_envelope(peer, envelope)

    def _dispatch_envelope(self, peer: Peer, envelope: Envelope) -> None:
        if envelope.sender_incarnation < peer.incarnation:
            metrics.dropped_total.inc({"reason": "earlier_incarnation"})
            return
        if envelope.sender_incarnation > peer.incarnation:
            earlier = peer.incarnation
            peer.incarnation = envelope.sender_incarnation
            if earlier:
                self._publish_lost(peer.name, earlier, "restarted")
        if envelope.target_incarnation not in (0, self.identity.incarnation):
            metrics.dropped_total.inc({"reason": "other_incarnation"})
            if self._kernel.settings.policy.peer_reset:
                self.send(
                    peer.name,
                    IncarnationMismatch(
                        intended=envelope.target_incarnation,
                        current=self.identity.incarnation,
                    ),
                )
            return
        sender = InstanceIdentity(
            name=envelope.sender, incarnation=envelope.sender_incarnation
        )
        for message in envelope.messages:
            handler = self._handlers.get(type(message))
            if handler is None:
                metrics.dropped_total.inc({"reason": "no_handler"})
                continue
            try:
                handler(sender, message)
            except Exception as error:
                journal.record_fault(
                    step=f"peers.handle.{type(message).__name__}",
                    peer=peer.name,
                    error=error,
                )
                metrics.faults_total.inc({"step": "peers.handle"})

    def _handle_mismatch(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, IncarnationMismatch)
        self._publish_lost(sender.name, message.intended, "incarnation mismatch")

    def _lose(self, peer: Peer, reason: str) -> None:
        self._publish_lost(peer.name, peer.incarnation, reason)

    def _publish_lost(self, name: str, incarnation: int, reason: str) -> None:
        journal.record_event(
            "peers.lost", peer=name, incarnation=incarnation, reason=reason
        )
        self._kernel.publish(
            PeerLost(instance=name, incarnation=incarnation, reason=reason)
        )


def create_incarnation(wall_ms: int) -> int:
    """Returns a number that rises from run to run of an instance."""
    random_part = secrets.randbits(INCARNATION_RANDOM_BITS)
    return (wall_ms << INCARNATION_RANDOM_BITS) | random_part
