"""State of the link with one peer: queues, losses and the next step of its thread.

This module opens no sockets; `sessions` carries out the steps with pynng.
"""

import collections
import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux.clock import Clock
from gooseberrymux.codec import Envelope
from gooseberrymux.settings import Address

OUTBOUND_LIMIT_MESSAGES = 4_096
INBOUND_LIMIT_ENVELOPES = 8_192
BATCH_LIMIT_ITEMS = 128
# The thread of a link whose connection is up ends after this long without a step. The
# connection stays, and the next step starts another thread: in a large fleet an
# instance has a link with every other one and talks with few of them at a time.
THREAD_IDLE_MS = 1_500.0
# pynng redials by itself, but not after a connection that was reset during its setup,
# and its attempt to connect to a machine without power takes many seconds to time out.
REDIAL_TIMEOUT_MS = 1_000.0

REFUSED_CLOSED = "link is closed"
REFUSED_LOST = "peer is lost"
REFUSED_FULL = "queue is full"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendBatch:
    """Send these messages to this incarnation of the peer; 0 if it is unknown."""

    messages: list
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deliver:
    """Deliver these received envelopes to the message handlers."""

    envelopes: list[Envelope]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportDown:
    """The connection broke: mark the link lost and publish the loss."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportUp:
    """The connection to a lost peer is up: publish it, so that the peer is probed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Redial:
    """Open another connection.

    The peer is unresponsive on the current one, or it was not set up in time.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Close:
    """End the thread: the link is closed, with nothing left to send or to deliver."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspend:
    """End the thread and keep the connection; the link had no step for a while."""


Step = SendBatch | Deliver | ReportDown | ReportUp | Redial | Close | Suspend


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """The loss of one incarnation of the peer.

    Attributes:
        incarnation: The incarnation that was lost; 0 if it is unknown.
        unsent: Messages that were still queued; certainly not sent.
        is_reportable: Whether to publish the loss as `PeerLost`: since the previous
            loss a message was queued without `despite_loss`, or the link moved to
            this incarnation.
    """

    incarnation: int
    unsent: list
    is_reportable: bool


class Link:
    """Link with one peer: queues in both directions, its incarnation, up or lost.

    A link is *lost* from the moment a loss is reported until a frame of the peer
    arrives: after the connection broke, the process that listens at the peer's address
    may be its next incarnation. A lost link refuses messages, so that none waits for a
    dead peer, except those sent with `despite_loss`. A second loss is not reportable if
    only such messages were queued since the first.

    The link's thread carries out the steps of `wait_next_step`. Other threads queue
    messages and report events of the connection. Whichever of them finds the link
    without a thread calls `start_thread`.

    Attributes:
        start_thread: Starts the link's thread; called with the link's lock held.
    """

    __slots__ = (
        "name",
        "address",
        "last_heard_ms",
        "start_thread",
        "_has_thread",
        "_clock",
        "_changed",
        "_outbound",
        "_inbound",
        "_last_step_delivered",
        "_incarnation",
        "_is_up",
        "_report_down_pending",
        "_report_up_pending",
        "_redial_pending",
        "_connection_number",
        "_connecting_since_ms",
        "_is_lost",
        "_is_loss_reportable",
        "_is_sending",
        "_awaited_answers",
        "_is_closed",
    )

    def __init__(self, *, name: str, address: Address, clock: Clock):
        self.name = name
        self.address = address
        self.last_heard_ms = clock.now_ms()
        self.start_thread: Callable[[], object] = lambda: None
        self._has_thread = False
        self._clock = clock
        self._changed = threading.Condition()
        self._outbound: collections.deque = collections.deque()
        self._inbound: collections.deque[Envelope] = collections.deque()
        # Whether the latest step was Deliver; SendBatch takes precedence then.
        self._last_step_delivered = False
        self._incarnation = 0
        self._is_up = False
        self._report_down_pending = False
        self._report_up_pending = False
        self._redial_pending = False
        self._connection_number = 0
        self._connecting_since_ms = clock.now_ms()
        self._is_lost = False
        self._is_loss_reportable = False
        self._is_sending = False
        self._awaited_answers = 0
        self._is_closed = False

    @property
    def incarnation(self) -> int:
        """Latest incarnation in the peer's own envelopes; 0 if none was delivered."""
        return self._incarnation

    @property
    def is_up(self) -> bool:
        """Whether the connection to the peer is up."""
        return self._is_up

    @property
    def is_lost(self) -> bool:
        """Whether a loss was reported and no frame of the peer arrived since."""
        return self._is_lost

    @property
    def awaited_answers(self) -> int:
        """Number of answers that the peer still owes to queued or sent requests."""
        return self._awaited_answers

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or being sent, or the connection is down."""
        return not self._is_up or (not self._outbound and not self._is_sending)

    def enqueue(
        self, message: object, *, awaited_answers: int, despite_loss: bool
    ) -> str | None:
        """Queues a message; returns None, or the reason if the link refuses it.

        Args:
            message: The message.
            awaited_answers: Number of answers that the message asks for; negative if
                it cancels some.
            despite_loss: Also queue the message on a lost link that is up.
        """
        with self._changed:
            if self._is_closed:
                return REFUSED_CLOSED
            if self._is_lost and not (despite_loss and self._is_up):
                return REFUSED_LOST
            if len(self._outbound) >= OUTBOUND_LIMIT_MESSAGES:
                return REFUSED_FULL
            self._outbound.append(message)
            self._is_loss_reportable = self._is_loss_reportable or not despite_loss
            self._awaited_answers = max(0, self._awaited_answers + awaited_answers)
            self._wake_thread(opens_link=True)
            return None

    def enqueue_received(self, envelope: Envelope) -> bool:
        """Queues a received envelope; returns False if the queue is full or closed."""
        with self._changed:
            if self._is_closed or len(self._inbound) >= INBOUND_LIMIT_ENVELOPES:
                return False
            self._inbound.append(envelope)
            self._wake_thread(opens_link=True)
            return True

    def wait_next_step(self) -> Step:
        """Returns the next step of the link's thread; blocks until there is one."""
        with self._changed:
            while True:
                if self._report_down_pending:
                    self._report_down_pending = False
                    return ReportDown()
                if self._redial_pending:
                    self._redial_pending = False
                    self._is_up = False
                    return Redial()
                if self._report_up_pending:
                    self._report_up_pending = False
                    return ReportUp()
                can_send = self._outbound and self._is_up
                if self._inbound and not (can_send and self._last_step_delivered):
                    self._last_step_delivered = True
                    return Deliver(envelopes=dequeue_batch(self._inbound))
                self._last_step_delivered = False
                if can_send:
                    self._is_sending = True
                    return SendBatch(
                        messages=dequeue_batch(self._outbound),
                        incarnation=self._incarnation,
                    )
                if self._is_closed:
                    return Close()
                redial_delay_ms = self._compute_redial_delay_ms()
                if redial_delay_ms is None:
                    if not self._clock.wait(self._changed, THREAD_IDLE_MS):
                        self._has_thread = self._has_step()
                    if not self._has_thread:
                        return Suspend()
                elif redial_delay_ms <= 0:
                    return Redial()
                else:
                    self._clock.wait(self._changed, redial_delay_ms)

    def _has_step(self) -> bool:
        """Returns whether there is a step for the thread besides waiting."""
        return bool(
            self._outbound
            or self._inbound
            or self._report_down_pending
            or self._report_up_pending
            or self._redial_pending
            or self._is_closed
            or not self._is_up
        )

    def _wake_thread(self, *, opens_link: bool = False) -> None:
        """Makes the thread look for its next step, and starts it if it has ended.

        Args:
            opens_link: Whether to start it also on a link that was never used.
        """
        self._changed.notify_all()
        if not self._has_thread and (opens_link or self._connection_number):
            self.start_thread()
            # Set after the start, so that the next call tries again if it fails.
            self._has_thread = True

    def mark_sent(self) -> None:
        """Records that the latest batch was sent, or reported as not sent."""
        with self._changed:
            self._is_sending = False

    def register_connection(self) -> int:
        """Returns the number of a new connection; events of older ones are ignored."""
        with self._changed:
            self._connection_number += 1
            self._connecting_since_ms = self._clock.now_ms()
            return self._connection_number

    def mark_up(self, connection: int = 0) -> None:
        """Records that a connection is up; ignored if it is not the latest one."""
        with self._changed:
            if connection != self._connection_number:
                return
            self._is_up = True
            if self._incarnation:
                self._report_up_pending = self._is_lost
            else:
                # No incarnation is known yet, so no message can be meant for an
                # earlier one than the process that listens now.
                self._is_lost = False
            self._wake_thread()

    def mark_down(self, connection: int = 0) -> None:
        """Records that a connection broke; ignored if it is not the latest one."""
        with self._changed:
            if connection != self._connection_number:
                return
            self._is_up = False
            self._report_up_pending = False
            self._report_down_pending = True
            self._connecting_since_ms = self._clock.now_ms()
            self._wake_thread()

    def has_broken(self) -> bool:
        """Returns whether the connection broke and `ReportDown` is still to come."""
        return self._report_down_pending

    def mark_heard(self) -> bool:
        """Records that a frame of the peer arrived; returns whether it ends a loss."""
        self.last_heard_ms = self._clock.now_ms()
        if not self._is_lost:
            return False
        with self._changed:
            ended = self._is_lost and self._is_up
            self._is_lost = self._is_lost and not ended
            return ended

    def mark_answered(self, count: int = 1) -> None:
        """Records that `count` awaited answers arrived."""
        with self._changed:
            self._awaited_answers = max(0, self._awaited_answers - count)

    def mark_lost(self, *, is_unresponsive: bool = False) -> Loss:
        """Empties the outbound queue; a lost link refuses messages until it recovers.

        A link whose peer was never heard is not lost while its connection is up.

        Args:
            is_unresponsive: The connection is up, but the peer does not answer or
                accepts no more frames.
        """
        with self._changed:
            loss = self._discard_queued()
            # After a short interruption the connection may already be up again.
            self._report_up_pending = self._is_up and not is_unresponsive
            self._is_lost = not self._is_up or bool(self._incarnation)
            # An unresponsive connection may never recover, while a new one would work.
            self._redial_pending = is_unresponsive and self._is_up
            self._wake_thread()
            return loss

    def update_incarnation(self, incarnation: int) -> Loss | None:
        """Moves the link to a later incarnation and drops what is queued.

        Returns:
            The loss of the earlier incarnation; None if none was known or `incarnation`
            is not later.
        """
        with self._changed:
            if incarnation <= self._incarnation:
                return None
            # Messages queued while no incarnation is known are meant for whichever one
            # answers first, so they stay queued.
            loss = self._discard_queued() if self._incarnation else None
            self._incarnation = incarnation
            if loss:
                # Without a connection no message can reach the new incarnation yet.
                self._is_lost = not self._is_up
            self._is_loss_reportable = True
            return loss

    def close(self) -> None:
        """Refuses further messages; the thread ends when the queues are empty.

        Outbound messages don't delay the end while the connection is down.
        """
        with self._changed:
            self._is_closed = True
            self._wake_thread()

    def _compute_redial_delay_ms(self) -> float | None:
        """Returns the time left to set up the connection; None if it is up."""
        if self._is_up:
            return None
        return self._connecting_since_ms + REDIAL_TIMEOUT_MS - self._clock.now_ms()

    def _discard_queued(self) -> Loss:
        loss = Loss(
            incarnation=self._incarnation,
            unsent=list(self._outbound),
            is_reportable=self._is_loss_reportable,
        )
        self._outbound.clear()
        self._awaited_answers = 0
        self._is_lost = True
        self._is_loss_reportable = False
        return loss


def dequeue_batch(queue: collections.deque) -> list:
    """Removes and returns the first items of a queue, at most `BATCH_LIMIT_ITEMS`."""
    return [queue.popleft() for _ in range(min(BATCH_LIMIT_ITEMS, len(queue)))]
