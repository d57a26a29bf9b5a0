"""State of the link with one peer: its queues, its losses, what its task does next.

The classes here open no sockets; `peers` connects them to pynng.
"""

import collections
import dataclasses
import threading

from gooseberrymux.clock import Clock
from gooseberrymux.codec import Envelope
from gooseberrymux.settings import Address

OUTBOUND_LIMIT = 4_096
INBOUND_LIMIT = 8_192
BATCH_LIMIT = 128
# pynng dials again by itself, but not after a connection that was reset while it was
# set up, and an attempt towards a machine without power waits for many seconds.
REDIAL_MS = 1_000.0

REFUSED_CLOSED = "link is closed"
REFUSED_LOST = "peer is lost"
REFUSED_FULL = "queue is full"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendBatch:
    """Send these messages to this run of the peer."""

    messages: list
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deliver:
    """Hand out what has arrived."""

    envelopes: list[Envelope]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportDown:
    """The connection broke: publish what was lost."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportUp:
    """A connection to the lost peer stands: ask it for a sign of life."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Redial:
    """Open another connection: this one is silent, or none was made for a while."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Close:
    """The link is closed, and nothing is left to send or to hand out."""


Step = SendBatch | Deliver | ReportDown | ReportUp | Redial | Close


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """What a loss of the link took with it.

    Attributes:
        incarnation: The run of the peer that was lost.
        unsent: Messages that were still queued; certainly not sent.
        news: Whether anything was handed to this run since the last loss.
    """

    incarnation: int
    unsent: list
    news: bool


class Link:
    """One peer: queues in both directions, run of the peer, whether it is up or lost.

    A link is *lost* from the moment a loss is reported until the peer is heard again:
    after a break, what listens at its address may be its next run. A lost link refuses
    messages, so that none waits for a dead peer, and a second loss without anything
    handed over in between is not reported.
    """

    __slots__ = (
        "name",
        "address",
        "last_heard_ms",
        "is_started",
        "_clock",
        "_changed",
        "_items",
        "_arrived",
        "_delivered",
        "_incarnation",
        "_up",
        "_down",
        "_regained",
        "_redial",
        "_connection",
        "_waits_since_ms",
        "_lost",
        "_exposed",
        "_sending",
        "_awaited",
        "_closed",
    )

    def __init__(self, *, name: str, address: Address, clock: Clock):
        self.name = name
        self.address = address
        self.last_heard_ms = clock.now_ms()
        self.is_started = False
        self._clock = clock
        self._changed = threading.Condition()
        self._items: collections.deque = collections.deque()
        self._arrived: collections.deque[Envelope] = collections.deque()
        # Whether the latest step was to hand out; sending has its turn then.
        self._delivered = False
        self._incarnation = 0
        self._up = False
        self._down = False
        self._regained = False
        self._redial = False
        self._connection = 0
        self._waits_since_ms = clock.now_ms()
        self._lost = False
        self._exposed = False
        self._sending = False
        self._awaited = 0
        self._closed = False

    @property
    def incarnation(self) -> int:
        """Last run that the peer named itself; 0 if none was heard."""
        return self._incarnation

    @property
    def is_up(self) -> bool:
        """Whether the connection to the peer stands."""
        return self._up

    @property
    def is_lost(self) -> bool:
        """Whether a loss was reported and the peer was not heard since."""
        return self._lost

    @property
    def awaited(self) -> int:
        """Requests handed to the peer whose answer is outstanding."""
        return self._awaited

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or being sent, or nothing can be."""
        return not self._up or (not self._items and not self._sending)

    def put(self, message: object, *, awaited: int, despite_loss: bool) -> str | None:
        """Queues a message; returns why not, or None.

        Args:
            message: The message.
            awaited: Answers that the peer owes to it; negative if it ends some.
            despite_loss: Whether it goes out on a lost link too, as a probe does.
        """
        with self._changed:
            if self._closed:
                return REFUSED_CLOSED
            if self._lost and not (despite_loss and self._up):
                return REFUSED_LOST
            if len(self._items) >= OUTBOUND_LIMIT:
                return REFUSED_FULL
            self._items.append(message)
            self._exposed = self._exposed or not despite_loss
            self._awaited = max(0, self._awaited + awaited)
            self._changed.notify_all()
            return None

    def receive(self, envelope: Envelope) -> bool:
        """Queues what has arrived; returns False if the queue is full or closed."""
        with self._changed:
            if self._closed or len(self._arrived) >= INBOUND_LIMIT:
                return False
            self._arrived.append(envelope)
            self._changed.notify_all()
            return True

    def take(self) -> Step:
        """Returns the next step of the link's task; blocks until there is one."""
        with self._changed:
            while True:
                if self._down:
                    self._down = False
                    return ReportDown()
                if self._redial:
                    self._redial = False
                    self._up = False
                    return Redial()
                if self._regained:
                    self._regained = False
                    return ReportUp()
                can_send = self._items and self._up
                if self._arrived and not (can_send and self._delivered):
                    self._delivered = True
                    return Deliver(envelopes=take_batch(self._arrived))
                self._delivered = False
                if can_send:
                    self._sending = True
                    return SendBatch(
                        messages=take_batch(self._items), incarnation=self._incarnation
                    )
                if self._closed:
                    return Close()
                left_ms = self._find_redial_ms()
                if left_ms is not None and left_ms <= 0:
                    return Redial()
                self._clock.wait(self._changed, left_ms)

    def mark_sent(self) -> None:
        """Notes that the batch of the latest step was sent or reported."""
        with self._changed:
            self._sending = False

    def begin_connection(self) -> int:
        """Returns the number of a new connection; what older ones report is ignored."""
        with self._changed:
            self._connection += 1
            self._waits_since_ms = self._clock.now_ms()
            return self._connection

    def mark_up(self, connection: int = 0) -> None:
        """Notes that a connection stands."""
        with self._changed:
            if connection != self._connection:
                return
            self._up = True
            if self._incarnation:
                self._regained = self._lost
            else:
                # No earlier run is known that another one could be taken for.
                self._lost = False
            self._changed.notify_all()

    def mark_down(self, connection: int = 0) -> None:
        """Notes that a connection broke."""
        with self._changed:
            if connection != self._connection:
                return
            self._up = False
            self._regained = False
            self._down = True
            self._waits_since_ms = self._clock.now_ms()
            self._changed.notify_all()

    def has_broken(self) -> bool:
        """Returns whether the connection broke since the last step."""
        return self._down

    def mark_heard(self) -> bool:
        """Notes that a frame of the peer arrived; returns whether it ends a loss."""
        self.last_heard_ms = self._clock.now_ms()
        if not self._lost:
            return False
        with self._changed:
            ended = self._lost and self._up
            self._lost = self._lost and not ended
            return ended

    def mark_answered(self, count: int = 1) -> None:
        """Notes that awaited answers arrived."""
        with self._changed:
            self._awaited = max(0, self._awaited - count)

    def lose(self, *, silent: bool = False) -> Loss:
        """Empties the queue and refuses messages until the peer is heard again.

        Args:
            silent: The connection stands, but the peer does not answer on it.
        """
        with self._changed:
            loss = self._lose()
            # After a short break the connection may stand again by now.
            self._regained = self._up and not silent
            self._lost = not self._up or bool(self._incarnation)
            # It may have fallen silent for good while a new one would work.
            self._redial = silent and self._up
            self._changed.notify_all()
            return loss

    def restart(self, incarnation: int) -> Loss | None:
        """Moves on to a later run of the peer; what was queued is dropped with it.

        Returns:
            The loss of the earlier run, or None if none was known.
        """
        with self._changed:
            if incarnation <= self._incarnation:
                return None
            # Before the first contact messages are meant for whichever run answers.
            loss = self._lose() if self._incarnation else None
            self._incarnation = incarnation
            if loss:
                # Nothing reaches the next run before there is a connection to it.
                self._lost = not self._up
            self._exposed = True
            return loss

    def close(self) -> None:
        """Ends the task after what is left to send and to hand out."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def _find_redial_ms(self) -> float | None:
        """Returns how long the connection may still take; None if it stands."""
        if self._up:
            return None
        return self._waits_since_ms + REDIAL_MS - self._clock.now_ms()

    def _lose(self) -> Loss:
        loss = Loss(
            incarnation=self._incarnation,
            unsent=list(self._items),
            news=self._exposed,
        )
        self._items.clear()
        self._awaited = 0
        self._lost = True
        self._exposed = False
        return loss


def take_batch(queue: collections.deque) -> list:
    """Returns the first items of a queue, at most `BATCH_LIMIT`, and removes them."""
    return [queue.popleft() for _ in range(min(BATCH_LIMIT, len(queue)))]
