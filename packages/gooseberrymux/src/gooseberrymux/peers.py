"""Messaging between instances: one pynng listener, one thread for each active peer.

An incarnation is the number of one process run of an instance. Each envelope names
the incarnation that it is addressed to: pynng reconnects without notice, so the sender
would otherwise not see that the peer was restarted.
"""

import dataclasses
import secrets
import threading
from collections.abc import Callable, Sequence

import pynng
from result import Err, Ok, Result

from gooseberrymux import journal, metrics
from gooseberrymux.codec import FRAME_LIMIT_BYTES, Envelope, decode_envelope
from gooseberrymux.drops import DropRecorder
from gooseberrymux.errors import MuxError
from gooseberrymux.forward_messages import (
    PART_OUTCOME_TYPES,
    CancelForward,
    ForwardCall,
    PartsMerged,
)
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.links import Link, Loss
from gooseberrymux.messages import (
    ANSWER_TYPES,
    AWAITED_REQUEST_TYPES,
    CancelSubrequest,
    IncarnationMismatch,
    MemberUpdate,
    Probe,
    ProbeReply,
    ProbeRequest,
)
from gooseberrymux.quota_messages import QuotaGrant, QuotaRequest
from gooseberrymux.records import InstanceIdentity
from gooseberrymux.sessions import Session, limit_library_threads
from gooseberrymux.settings import Address

# The codec rejects frames over FRAME_LIMIT_BYTES, and they are counted as drops. Beyond
# RECEIVE_LIMIT_BYTES pynng closes the connection before the frame is in memory.
RECEIVE_LIMIT_BYTES = 2 * FRAME_LIMIT_BYTES
# Twice the largest fleet; bounds the memory that forged sender names can use.
LINKS_LIMIT = 8_192
INCARNATION_RANDOM_BITS = 10


class PeerError(MuxError):
    """A message can't be queued for a peer, and so was not sent."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkDown:
    """The connection to a peer broke or takes no more frames.

    Published before the `MessagesNotSent` and `PeerLost` of the same failure.
    """

    instance: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkUp:
    """The connection to a lost peer is up again.

    The link accepts only messages that may go to a lost peer, such as probes, until a
    frame of the peer arrives.
    """

    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerHeard:
    """A frame of a lost peer arrived; its link accepts all messages again."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessagesNotSent:
    """Messages that were queued for a peer and dropped; certainly not sent."""

    instance: str
    messages: list


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLost:
    """An incarnation of a peer was lost: its calls in flight get no answer."""

    instance: str
    incarnation: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IncarnationRaised:
    """This instance uses a higher incarnation from now on."""

    incarnation: int


MessageHandler = Callable[[InstanceIdentity, object], None]


@service("peers")
class Peers:
    """Sends messages to instances by name; passes received messages to handlers."""

    __slots__ = (
        "_kernel",
        "identity",
        "_links",
        "_handlers",
        "_lock",
        "_listener",
        "_stopping",
        "_drops",
        "resets",
        "bytes_sent",
        "bytes_received",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self.identity = InstanceIdentity(
            name=kernel.settings.instance.name,
            incarnation=create_incarnation(kernel.clock.wall_ms()),
        )
        self._links: dict[str, Link] = {}
        self._handlers: dict[type, MessageHandler] = {}
        self._lock = threading.Lock()
        self._listener: pynng.Pull0 | None = None
        self._stopping = False
        self._drops = DropRecorder(clock=kernel.clock)
        self.resets = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.register(IncarnationMismatch, self._handle_mismatch)

    def register(self, message_type: type, handler: MessageHandler) -> None:
        """Sets the handler of a message type; it runs in the sending peer's thread."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Opens the listener and starts the thread that reads from it."""
        address = self._kernel.settings.instance.peers
        limit_library_threads()
        self._listener = pynng.Pull0(
            listen=f"tcp://{address}", recv_max_size=RECEIVE_LIMIT_BYTES
        )
        self._kernel.spawn(name="peers.listener", target=self._receive_frames)

    def drain(self, deadline_ms: float) -> None:
        """Waits until all links that are up have sent their queues, or the deadline."""
        self._kernel.wait_until(
            lambda: all(link.is_idle for link in list(self._links.values())),
            deadline_ms,
        )

    def stop(self) -> None:
        """Closes the listener and all links; the links first send what is queued."""
        self._stopping = True
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.close()
        if self._listener:
            self._listener.close()

    def connect(self, *, name: str, address: Address) -> None:
        """Creates the link with a peer, or replaces it if the address changed.

        The first message to the peer or from it opens the connection.
        """
        with self._lock:
            existing = self._links.get(name)
            if name == self.identity.name or (existing and existing.address == address):
                return
            if self._stopping:
                return
            link = self._create_link(name, address)
            self._links[name] = link
        if existing:
            self._publish_loss(existing, existing.mark_lost(), "address changed")
            existing.close()

    def _create_link(self, name: str, address: Address) -> Link:
        link = Link(name=name, address=address, clock=self._kernel.clock)
        session = Session(
            kernel=self._kernel,
            get_identity=lambda: self.identity,
            link=link,
            drops=self._drops,
            deliver=self._dispatch_envelope,
            report_down=self._report_down,
            report_up=self._report_up,
            report_unsent=self._publish_unsent,
            count_sent=self._count_sent,
        )
        link.start_thread = lambda: self._kernel.spawn(
            name=f"peers.{name}", target=session.run
        )
        return link

    def disconnect(self, name: str) -> None:
        """Closes and removes the link with a peer that left the fleet."""
        with self._lock:
            link = self._links.pop(name, None)
        if link:
            self._publish_loss(link, link.mark_lost(), "disconnected")
            link.close()

    def list_connected(self) -> tuple[str, ...]:
        """Returns the names of all peers with a link, whether it is up or not."""
        with self._lock:
            return tuple(self._links)

    def get_incarnation(self, name: str) -> int:
        """Returns the latest incarnation in the peer's own envelopes; 0 for none."""
        link = self._links.get(name)
        return link.incarnation if link else 0

    def is_lost(self, name: str) -> bool:
        """Returns whether the peer's link is lost and so refuses most messages."""
        link = self._links.get(name)
        return link is not None and link.is_lost

    def get_last_heard_ms(self, name: str) -> float | None:
        """Returns when the peer's last frame arrived; None if it has no link.

        Until the first frame arrives this is the time at which the link was created.
        """
        link = self._links.get(name)
        return link.last_heard_ms if link else None

    def list_unresponsive(self, quiet_ms: float) -> tuple[str, ...]:
        """Returns the peers that owe an answer and sent no frame for `quiet_ms`."""
        before_ms = self._kernel.clock.now_ms() - quiet_ms
        return tuple(
            link.name
            for link in list(self._links.values())
            if link.awaited_answers and link.last_heard_ms < before_ms
        )

    def send(
        self, name: str, message: object, *, despite_loss: bool = False
    ) -> Result[None, PeerError]:
        """Queues a message for a peer.

        Args:
            name: The peer.
            message: The message.
            despite_loss: Also send to a lost peer, if the connection is up; for probes.

        Returns:
            Err if the peer has no link or is lost, or if its link is closed or has a
            full queue; the message was then certainly not sent.
        """
        link = self._links.get(name)
        if link is None:
            return Err(PeerError(step="peers.send", peer=name, message="no link"))
        refusal_reason = link.enqueue(
            message,
            awaited_answers=count_expected_answers(message),
            # A frozen peer has the request in its buffers and reads the cancel right
            # after it when it runs again.
            despite_loss=despite_loss
            or isinstance(message, CancelSubrequest | CancelForward),
        )
        if refusal_reason:
            self._drops.record(reason="not_sent", step="peers.send", peer=name)
            return Err(PeerError(step="peers.send", peer=name, message=refusal_reason))
        return Ok(None)

    def declare_lost(self, *, name: str, incarnation: int, reason: str) -> None:
        """Declares an unresponsive incarnation of a peer lost; its calls then fail."""
        link = self._links.get(name)
        if link and link.incarnation == incarnation and not link.is_lost:
            self._publish_loss(link, link.mark_lost(is_unresponsive=True), reason)

    def describe(self) -> dict:
        """Returns counts and losses of the links for the administration API."""
        links = list(self._links.values())
        return {
            "incarnation": self.identity.incarnation,
            "links": len(links),
            "up": sum(link.is_up for link in links),
            "lost": sorted(link.name for link in links if link.is_lost),
            "dropped": self._drops.describe(),
            "resets": self.resets,
            "bytes_sent": self.bytes_sent,
            "bytes_received": self.bytes_received,
        }

    def _count_sent(self, size: int) -> None:
        with self._lock:
            self.bytes_sent += size
        metrics.peer_bytes_total.add({"direction": "sent"}, size)

    def _receive_frames(self) -> None:
        assert self._listener is not None
        while not self._stopping:
            try:
                received = self._listener.recv_msg()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                journal.record_fault(step="peers.receive", peer="", error=error)
                metrics.faults_total.inc({"step": "peers.receive"})
                continue
            frame = received.bytes
            self.bytes_received += len(frame)
            metrics.peer_bytes_total.add({"direction": "received"}, len(frame))
            self._enqueue_frame(frame, received.pipe)

    def _enqueue_frame(self, frame: bytes, pipe: pynng.Pipe | None) -> None:
        match decode_envelope(frame):
            case Err(error):
                self._record_drop(
                    "undecodable_frame", get_remote_host(pipe), str(error)
                )
                return
            case Ok(envelope):
                pass
        if envelope.target not in ("", self.identity.name):
            self._record_drop("other_target", envelope.sender, envelope.target)
            return
        if envelope.sender == self.identity.name:
            self._record_drop("own_name", get_remote_host(pipe))
            return
        link = self._links.get(envelope.sender) or self._connect_to_sender(envelope)
        if link is None:
            self._record_drop("unknown_sender", envelope.sender)
            return
        if envelope.sender_incarnation >= link.incarnation:
            if link.mark_heard():
                self._kernel.publish(PeerHeard(instance=link.name))
        if not link.enqueue_received(envelope):
            self._record_drop("inbound_full", envelope.sender)

    def _connect_to_sender(self, envelope: Envelope) -> Link | None:
        """Creates a link with an unknown sender if its probe names its address."""
        if len(self._links) >= LINKS_LIMIT:
            return None
        for update in list_member_updates(envelope.messages):
            if (update.instance, update.incarnation) == (
                envelope.sender,
                envelope.sender_incarnation,
            ):
                self.connect(
                    name=update.instance,
                    address=Address(host=update.host, port=update.port),
                )
                return self._links.get(update.instance)
        return None

    def _dispatch_envelope(self, link: Link, envelope: Envelope) -> None:
        if envelope.sender_incarnation < link.incarnation:
            self._record_drop("earlier_incarnation", link.name)
            return
        was_lost = link.is_lost
        loss = link.update_incarnation(envelope.sender_incarnation)
        if loss:
            self._publish_loss(link, loss, "restarted")
        if was_lost and not link.is_lost:
            self._kernel.publish(PeerHeard(instance=link.name))
        if envelope.target_incarnation > self.identity.incarnation:
            self._raise_incarnation(envelope.target_incarnation)
        if envelope.target_incarnation not in (0, self.identity.incarnation):
            self._record_drop("other_incarnation", link.name)
            if self._kernel.settings.policy.peer_reset:
                self.send(
                    link.name,
                    IncarnationMismatch(
                        intended=envelope.target_incarnation,
                        current=self.identity.incarnation,
                    ),
                    despite_loss=True,
                )
            return
        sender = InstanceIdentity(
            name=envelope.sender, incarnation=envelope.sender_incarnation
        )
        for message in envelope.messages:
            if answers := count_answers(message):
                link.mark_answered(answers)
            self._call_handler(sender, message)

    def _raise_incarnation(self, incarnation: int) -> None:
        """Raises this instance's incarnation above one that a peer still knows.

        Incarnations are made from the wall clock. An instance that restarts after its
        clock was set back would have a lower incarnation than before, and every peer
        that knew the earlier one would drop its envelopes as outdated.
        """
        with self._lock:
            before = self.identity
            if incarnation < before.incarnation:
                return
            self.identity = dataclasses.replace(before, incarnation=incarnation + 1)
        journal.record_event(
            "peers.incarnation_raised",
            before=before.incarnation,
            incarnation=self.identity.incarnation,
        )
        self._kernel.publish(IncarnationRaised(incarnation=self.identity.incarnation))

    def _call_handler(self, sender: InstanceIdentity, message: object) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self._record_drop("no_handler", sender.name, type(message).__name__)
            return
        try:
            handler(sender, message)
        except Exception as error:
            step = f"peers.handle.{type(message).__name__}"
            journal.record_fault(step=step, peer=sender.name, error=error)
            metrics.faults_total.inc({"step": "peers.handle"})

    def _handle_mismatch(self, sender: InstanceIdentity, message: object) -> None:
        # Before this handler ran, the message's envelope already moved the link to the
        # current incarnation and reported the loss of the intended one.
        assert isinstance(message, IncarnationMismatch)
        metrics.peer_resets_total.inc({})
        with self._lock:
            self.resets += 1
        journal.record_event(
            "peers.reset",
            peer=sender.name,
            intended=message.intended,
            current=message.current,
        )

    def _report_down(
        self,
        link: Link,
        reason: str,
        *,
        is_unresponsive: bool = False,
        unsent: Sequence[object] = (),
    ) -> None:
        loss = link.mark_lost(is_unresponsive=is_unresponsive)
        # Membership removes the peer from the owners on LinkDown, so LinkDown must come
        # before the failed calls, which would otherwise be sent to the peer again.
        self._kernel.publish(LinkDown(instance=link.name, incarnation=link.incarnation))
        complete_loss = dataclasses.replace(loss, unsent=[*unsent, *loss.unsent])
        self._publish_loss(link, complete_loss, reason)

    def _report_up(self, link: Link) -> None:
        # A replaced or removed link may still connect until its thread has ended.
        if self._links.get(link.name) is link:
            self._kernel.publish(LinkUp(instance=link.name))

    def _publish_loss(self, link: Link, loss: Loss, reason: str) -> None:
        self._publish_unsent(link, loss.unsent)
        if not loss.is_reportable or self._stopping:
            return
        metrics.peers_lost_total.inc({"reason": reason})
        journal.record_event(
            "peers.lost",
            peer=link.name,
            incarnation=loss.incarnation,
            reason=reason,
            unsent=len(loss.unsent),
        )
        self._kernel.publish(
            PeerLost(instance=link.name, incarnation=loss.incarnation, reason=reason)
        )

    def _publish_unsent(self, link: Link, messages: list) -> None:
        if messages:
            metrics.dropped_total.add({"reason": "not_sent"}, len(messages))
            self._kernel.publish(MessagesNotSent(instance=link.name, messages=messages))

    def _record_drop(self, reason: str, peer: str, detail: str = "") -> None:
        self._drops.record(
            reason=reason, step="peers.receive", peer=peer, detail=detail
        )


def count_expected_answers(message: object) -> int:
    """Returns how many answers a message asks for; negative if it cancels some."""
    match message:
        case ForwardCall(services=services):
            return len(services)
        case CancelForward(services=services):
            return -len(services)
        case _:
            return int(isinstance(message, (*AWAITED_REQUEST_TYPES, QuotaRequest)))


def count_answers(message: object) -> int:
    """Returns how many answers to the receiver's requests a message contains."""
    match message:
        case PartsMerged(parts=parts):
            return len(parts)
        case _:
            answer_types = (*ANSWER_TYPES, *PART_OUTCOME_TYPES, QuotaGrant)
            return int(isinstance(message, answer_types))


def list_member_updates(messages: list) -> list[MemberUpdate]:
    """Returns the member updates in the probe messages among `messages`."""
    return [
        update
        for message in messages
        if isinstance(message, Probe | ProbeReply | ProbeRequest)
        for update in message.updates
    ]


def get_remote_host(pipe: pynng.Pipe | None) -> str:
    """Returns the remote host of a connection; empty if it is unknown."""
    try:
        # Without the port, so that drops from all connections of one host are logged
        # as one source.
        return str(pipe.remote_address).rpartition(":")[0] if pipe else ""
    except pynng.NNGException:
        return ""


def create_incarnation(wall_ms: int) -> int:
    """Returns an incarnation that is higher for a later start of the instance.

    The random low bits distinguish starts within one millisecond.
    """
    random_part = secrets.randbits(INCARNATION_RANDOM_BITS)
    return (wall_ms << INCARNATION_RANDOM_BITS) | random_part
