"""Links between instances: one pynng listener and one thread a peer.

Envelopes name the incarnation that they are meant for, because pynng reconnects
silently and a restarted peer would otherwise look the same.
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
    AWAITED_TYPES,
    CancelSubrequest,
    IncarnationMismatch,
    MemberUpdate,
    Probe,
    ProbeReply,
    ProbeRequest,
)
from gooseberrymux.records import InstanceIdentity
from gooseberrymux.sessions import Session
from gooseberrymux.settings import Address

# Frames over the limit are refused and counted; beyond this size the transport closes
# the connection before the frame is in memory.
RECEIVE_LIMIT_BYTES = 2 * FRAME_LIMIT_BYTES
# Twice the largest fleet; bounds the memory that made-up sender names can take.
LINKS_LIMIT = 8_192
INCARNATION_RANDOM_BITS = 10


class PeerError(MuxError):
    """A message can't be queued for a peer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkDown:
    """A peer can't be reached on its link; published before what was lost with it."""

    instance: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkUp:
    """A connection to a lost peer stands again; until it is heard only probes go."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerHeard:
    """A lost peer was heard; it takes messages again."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessagesNotSent:
    """These queued messages were dropped and certainly not sent."""

    instance: str
    messages: list


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLost:
    """Calls in flight at this run of a peer are gone."""

    instance: str
    incarnation: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IncarnationRaised:
    """This run goes under a higher incarnation from now on."""

    incarnation: int


Handler = Callable[[InstanceIdentity, object], None]


@service("peers")
class Peers:
    """Sends messages to instances by name and hands received ones to handlers."""

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
        self._handlers: dict[type, Handler] = {}
        self._lock = threading.Lock()
        self._listener: pynng.Pull0 | None = None
        self._stopping = False
        self._drops = DropRecorder(clock=kernel.clock)
        self.resets = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.register(IncarnationMismatch, self._handle_mismatch)

    def register(self, message_type: type, handler: Handler) -> None:
        """Sets the handler of a message type; it runs in the peer's thread."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Opens the listener."""
        address = self._kernel.settings.instance.peers
        self._listener = pynng.Pull0(
            listen=f"tcp://{address}", recv_max_size=RECEIVE_LIMIT_BYTES
        )
        self._kernel.spawn(name="peers.listener", target=self._receive_frames)

    def drain(self, deadline_ms: float) -> None:
        """Waits until the last outcome is handed to the links."""
        self._kernel.wait_until(
            lambda: all(link.is_idle for link in list(self._links.values())),
            deadline_ms,
        )

    def stop(self) -> None:
        """Closes all links and the listener."""
        self._stopping = True
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.close()
        if self._listener:
            self._listener.close()

    def connect(self, *, name: str, address: Address) -> None:
        """Notes where a peer listens; the first message opens the connection."""
        with self._lock:
            known = self._links.get(name)
            if name == self.identity.name or (known and known.address == address):
                return
            if self._stopping:
                return
            link = Link(name=name, address=address, clock=self._kernel.clock)
            self._links[name] = link
        if known:
            self._report(known, known.lose(), "address changed")
            known.close()

    def _start_link(self, link: Link) -> None:
        with self._lock:
            if link.is_started:
                return
            link.is_started = True
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
        self._kernel.spawn(name=f"peers.{link.name}", target=session.run)

    def disconnect(self, name: str) -> None:
        """Closes the link with a peer that is gone."""
        with self._lock:
            link = self._links.pop(name, None)
        if link:
            self._report(link, link.lose(), "disconnected")
            link.close()

    def list_connected(self) -> tuple[str, ...]:
        """Returns the names of all peers with a link."""
        with self._lock:
            return tuple(self._links)

    def get_incarnation(self, name: str) -> int:
        """Returns the last run that the peer named itself; 0 if none was heard."""
        link = self._links.get(name)
        return link.incarnation if link else 0

    def is_lost(self, name: str) -> bool:
        """Returns whether messages to a peer are refused because it was lost."""
        link = self._links.get(name)
        return link is not None and link.is_lost

    def get_last_heard_ms(self, name: str) -> float | None:
        """Returns when a frame of the peer last arrived; None without a link."""
        link = self._links.get(name)
        return link.last_heard_ms if link else None

    def list_quiet(self, quiet_ms: float) -> tuple[str, ...]:
        """Returns peers that owe an answer and sent nothing for `quiet_ms`."""
        before_ms = self._kernel.clock.now_ms() - quiet_ms
        return tuple(
            link.name
            for link in list(self._links.values())
            if link.awaited and link.last_heard_ms < before_ms
        )

    def send(
        self, name: str, message: object, *, despite_loss: bool = False
    ) -> Result[None, PeerError]:
        """Queues a message for a peer.

        Args:
            name: The peer.
            message: The message.
            despite_loss: Sends also on a standing link whose peer is lost; for probes.

        Returns:
            Err if there is no link, the peer is lost or its queue is full; the
            message was then certainly not sent.
        """
        link = self._links.get(name)
        if link is None:
            return Err(PeerError(step="peers.send", peer=name, message="no link"))
        if not link.is_started:
            self._start_link(link)
        refused = link.put(
            message,
            awaited=count_awaited(message),
            # A frozen peer that wakes up finds the cancel behind the request.
            despite_loss=despite_loss
            or isinstance(message, CancelSubrequest | CancelForward),
        )
        if refused:
            self._drops.record(reason="not_sent", step="peers.send", peer=name)
            return Err(PeerError(step="peers.send", peer=name, message=refused))
        return Ok(None)

    def lose(self, *, name: str, incarnation: int, reason: str) -> None:
        """Gives up on the calls at a run of a peer that no longer answers."""
        link = self._links.get(name)
        if link and link.incarnation == incarnation and not link.is_lost:
            self._report(link, link.lose(silent=True), reason)

    def describe(self) -> dict:
        """Returns the state of the links for the status."""
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
            self._accept(frame, received.pipe)

    def _accept(self, frame: bytes, pipe: pynng.Pipe | None) -> None:
        match decode_envelope(frame):
            case Err(error):
                self._drop("undecodable_frame", describe_pipe(pipe), str(error))
                return
            case Ok(envelope):
                pass
        if envelope.target not in ("", self.identity.name):
            self._drop("other_target", envelope.sender, envelope.target)
            return
        if envelope.sender == self.identity.name:
            self._drop("own_name", describe_pipe(pipe))
            return
        link = self._links.get(envelope.sender) or self._introduce(envelope)
        if link is None:
            self._drop("unknown_sender", envelope.sender)
            return
        if envelope.sender_incarnation >= link.incarnation:
            if link.mark_heard():
                self._kernel.publish(PeerHeard(instance=link.name))
        if not link.is_started:
            self._start_link(link)
        if not link.receive(envelope):
            self._drop("inbound_full", envelope.sender)

    def _introduce(self, envelope: Envelope) -> Link | None:
        """Opens the link with an unknown sender whose probe says where it listens."""
        if len(self._links) >= LINKS_LIMIT:
            return None
        for update in list_updates(envelope.messages):
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
            self._drop("earlier_incarnation", link.name)
            return
        was_lost = link.is_lost
        loss = link.restart(envelope.sender_incarnation)
        if loss:
            self._report(link, loss, "restarted")
        if was_lost and not link.is_lost:
            self._kernel.publish(PeerHeard(instance=link.name))
        if envelope.target_incarnation > self.identity.incarnation:
            self._rise_above(envelope.target_incarnation)
        if envelope.target_incarnation not in (0, self.identity.incarnation):
            self._drop("other_incarnation", link.name)
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
            self._handle(sender, message)

    def _rise_above(self, incarnation: int) -> None:
        """Takes an incarnation above that of an earlier run.

        A run that starts after the wall clock was set back would otherwise be taken
        for an old one by every peer that knew the run before.
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

    def _handle(self, sender: InstanceIdentity, message: object) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self._drop("no_handler", sender.name, type(message).__name__)
            return
        try:
            handler(sender, message)
        except Exception as error:
            step = f"peers.handle.{type(message).__name__}"
            journal.record_fault(step=step, peer=sender.name, error=error)
            metrics.faults_total.inc({"step": "peers.handle"})

    def _handle_mismatch(self, sender: InstanceIdentity, message: object) -> None:
        # The envelope that carried this already moved the link to the current run and
        # reported the loss of the intended one.
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
        silent: bool = False,
        unsent: Sequence[object] = (),
    ) -> None:
        loss = link.lose(silent=silent)
        # Membership takes the peer off the list of owners first, so that the calls
        # that fail next are not sent to it again.
        self._kernel.publish(LinkDown(instance=link.name, incarnation=link.incarnation))
        whole = dataclasses.replace(loss, unsent=[*unsent, *loss.unsent])
        self._report(link, whole, reason)

    def _report_up(self, link: Link) -> None:
        # A link that was replaced or dropped stands until its sender has ended.
        if self._links.get(link.name) is link:
            self._kernel.publish(LinkUp(instance=link.name))

    def _report(self, link: Link, loss: Loss, reason: str) -> None:
        self._publish_unsent(link, loss.unsent)
        if not loss.news or self._stopping:
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

    def _drop(self, reason: str, peer: str, detail: str = "") -> None:
        self._drops.record(
            reason=reason, step="peers.receive", peer=peer, detail=detail
        )


def count_awaited(message: object) -> int:
    """Returns how many answers a message asks for; negative if it ends some."""
    match message:
        case ForwardCall(services=services):
            return len(services)
        case CancelForward(services=services):
            return -len(services)
        case _:
            return int(isinstance(message, AWAITED_TYPES))


def count_answers(message: object) -> int:
    """Returns how many answers a message brings that its receiver had asked for."""
    match message:
        case PartsMerged(parts=parts):
            return len(parts)
        case _:
            return int(isinstance(message, ANSWER_TYPES + PART_OUTCOME_TYPES))


def list_updates(messages: list) -> list[MemberUpdate]:
    """Returns the member updates that probe messages carry."""
    return [
        update
        for message in messages
        if isinstance(message, Probe | ProbeReply | ProbeRequest)
        for update in message.updates
    ]


def describe_pipe(pipe: pynng.Pipe | None) -> str:
    """Returns the host at the other end of a connection, as far as it is known."""
    try:
        # Without the port, so that one host's garbage counts as one source.
        return str(pipe.remote_address).rpartition(":")[0] if pipe else ""
    except pynng.NNGException:
        return ""


def create_incarnation(wall_ms: int) -> int:
    """Returns a number that rises from run to run of an instance."""
    random_part = secrets.randbits(INCARNATION_RANDOM_BITS)
    return (wall_ms << INCARNATION_RANDOM_BITS) | random_part
