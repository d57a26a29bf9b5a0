"""State of the link with one peer: its queues, its losses, what its sender does next.

The classes here open no sockets; `peers` connects them to pynng.
"""

import collections
import dataclasses
import threading

from gooseberrymux.clock import Clock
from gooseberrymux.settings import Address

OUTBOUND_LIMIT = 4_096
INBOUND_LIMIT = 8_192
BATCH_LIMIT = 128

REFUSED_CLOSED = "link is closed"
REFUSED_LOST = "peer is lost"
REFUSED_FULL = "queue is full"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendBatch:
    """Send these messages to this run of the peer."""

    messages: list
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportDown:
    """The connection broke: publish what was lost."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportUp:
    """A connection to the lost peer stands: ask it for a sign of life."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Redial:
    """The peer is silent although the connection stands: open another one."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Close:
    """Nothing is left to send and the link is closed."""


Step = SendBatch | ReportDown | ReportUp | Redial | Close


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


class Mailbox:
    """Bounded queue of one thread; `take_all` blocks until something is there."""

    __slots__ = ("_items", "_changed", "_limit", "_closed", "_clock")

    def __init__(self, *, limit: int, clock: Clock):
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


class Link:
    """One peer: outbound queue, run of the peer, whether it is up or lost.

    A link is *lost* from the moment a loss is reported until the peer is heard again:
    after a break, what listens at its address may be its next run. A lost link refuses
    messages, so that none waits for a dead peer, and a second loss without anything
    handed over in between is not reported.
    """

    __slots__ = (
        "name",
        "address",
        "inbound",
        "last_heard_ms",
        "is_started",
        "_clock",
        "_changed",
        "_items",
        "_incarnation",
        "_up",
        "_down",
        "_regained",
        "_redial",
        "_connection",
        "_lost",
        "_exposed",
        "_sending",
        "_awaited",
        "_closed",
    )

    def __init__(self, *, name: str, address: Address, clock: Clock):
        self.name = name
        self.address = address
        self.inbound = Mailbox(limit=INBOUND_LIMIT, clock=clock)
        self.last_heard_ms = clock.now_ms()
        self.is_started = False
        self._clock = clock
        self._changed = threading.Condition()
        self._items: collections.deque = collections.deque()
        self._incarnation = 0
        self._up = False
        self._down = False
        self._regained = False
        self._redial = False
        self._connection = 0
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

    def take(self) -> Step:
        """Returns the sender's next step; blocks until there is one."""
        with self._changed:
            while True:
                self._sending = False
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
                if self._closed and not (self._items and self._up):
                    return Close()
                if self._items and self._up:
                    self._sending = True
                    count = min(BATCH_LIMIT, len(self._items))
                    return SendBatch(
                        messages=[self._items.popleft() for _ in range(count)],
                        incarnation=self._incarnation,
                    )
                self._clock.wait(self._changed, None)

    def begin_connection(self) -> int:
        """Returns the number of a new connection; what older ones report is ignored."""
        with self._changed:
            self._connection += 1
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
            self._changed.notify_all()

    def has_broken(self) -> bool:
        """Returns whether the connection broke since the last step."""
        return self._down

    def mark_heard(self) -> None:
        """Notes that a frame of the peer arrived."""
        self.last_heard_ms = self._clock.now_ms()
        if not self._lost:
            return
        with self._changed:
            if self._up:
                self._lost = False

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
            self._lost = False
            self._exposed = True
            return loss

    def close(self) -> None:
        """Ends both threads after what is left to send and to hand out."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()
        self.inbound.close()

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
