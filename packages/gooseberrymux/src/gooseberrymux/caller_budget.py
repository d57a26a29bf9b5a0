"""Which callers may hold memory and connections of an instance, and which are shed.

No network: `caller_memory` closes the connections that this module names.
"""

import collections
import dataclasses
import enum

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.records import Rank

# What an open connection takes, beside a large body: its thread, its reader and a head
# with many fields: 24 KB without a request, 35 KB after one, and 54 KB with 120 fields
# in an unfinished head.
CONNECTION_BYTES = 56 * 1024
# Bodies up to this size are covered by CONNECTION_BYTES and cost no accounting.
COVERED_BODY_BYTES = 4 * 1024
# A larger body is held twice while it is joined, and again in the frame that is sent.
BODY_COPIES = 2
# Shares of the budget up to which a body of a rank is read. The rest is kept for more
# urgent ones. A path without a route counts as patient.
BUDGET_SHARE_BY_RANK = {Rank.URGENT: 1.0, Rank.STANDARD: 0.85, Rank.PATIENT: 0.7}
URGENCY = {Rank.PATIENT: 2, Rank.STANDARD: 1, Rank.URGENT: 0}
# A rate is known only after this time without the end of a phase.
RATE_WINDOW_MS = 2_000.0
# A caller that sends a byte every 3 s is within the limits of the platform, so a rate
# below the minimum must show over several such pauses.
MINIMUM_RATE_WINDOW_MS = 15_000.0
# A caller with unread requests counts as sending ahead from this many phases between
# two sweeps on. A request takes four phases.
FREE_PHASES = 64


class Phase(enum.Enum):
    """What a connection does."""

    IDLE = "idle"
    READING = "reading"
    RUNNING = "running"
    WRITING = "writing"


# Looking up a member of an enumeration costs more than entering a phase.
IDLE, READING, RUNNING, WRITING = Phase


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Progress of a connection at a time.

    Attributes:
        phase_number: Number of the phase that the connection was in.
        at_ms: Time in milliseconds.
        moved_bytes: Bytes received from and acknowledged by the caller since the start.
    """

    phase_number: int
    at_ms: float
    moved_bytes: int


class Holder:
    """One connection, and what its caller holds.

    The thread of the connection changes the phase without a lock, as this is done
    several times for each request.

    Attributes:
        address: IP address of the caller.
        number: Rises with each connection of the listener.
        phase: What the connection does.
        phase_number: Rises with each change of the phase.
        charged_bytes: What is charged for it now.
        rank: Rank of the body that is read or held; None if it is not known.
        is_shed: Whether the connection was asked to end.
        first_sample: First sample of the present or an earlier phase.
        rate_bytes_per_s: Rate since that sample; None if it is not known.
        window_ms: Time since that sample.
        sends_ahead: Whether the caller sends requests before it reads their answers.
        answer_number: Rises with each large answer; None while none is written.
    """

    __slots__ = (
        "address",
        "number",
        "phase",
        "phase_number",
        "charged_bytes",
        "rank",
        "is_shed",
        "first_sample",
        "rate_bytes_per_s",
        "window_ms",
        "sends_ahead",
        "answer_number",
        "_last_phase_number",
    )

    def __init__(self, *, address: str, number: int = 0):
        self.address = address
        self.number = number
        self.phase = IDLE
        self.phase_number = 0
        self.charged_bytes = CONNECTION_BYTES
        self.rank: Rank | None = None
        self.is_shed = False
        self.first_sample: Sample | None = None
        self.rate_bytes_per_s: float | None = None
        self.window_ms = 0.0
        self.sends_ahead = False
        self.answer_number: int | None = None
        self._last_phase_number = 0

    def enter(self, phase: Phase) -> None:
        """Begins a phase."""
        self.phase = phase
        self.phase_number += 1

    def record_progress(self, now_ms: float, moved_bytes: int) -> None:
        """Updates the rate at which the caller sends or reads in this phase."""
        first = self.first_sample
        if first is None or first.phase_number != self.phase_number:
            self.first_sample = Sample(
                phase_number=self.phase_number, at_ms=now_ms, moved_bytes=moved_bytes
            )
            self.rate_bytes_per_s, self.window_ms = None, 0.0
            return
        self.window_ms = now_ms - first.at_ms
        if self.window_ms >= RATE_WINDOW_MS:
            moved = moved_bytes - first.moved_bytes
            self.rate_bytes_per_s = moved / self.window_ms * MS_PER_S

    def record_unread(self, unread_bytes: int) -> None:
        """Decides whether the caller sends requests ahead, from what is not read yet.

        What is unread while a request is answered belongs to the next ones. A caller
        that sends few requests ahead is no burden.
        """
        if self.phase in (RUNNING, WRITING):
            phases = self.phase_number - self._last_phase_number
            self.sends_ahead = unread_bytes > 0 and (
                self.sends_ahead or phases >= FREE_PHASES
            )
        self._last_phase_number = self.phase_number

    @property
    def has_stayed(self) -> bool:
        """Whether a sample was taken in the present phase already."""
        return (
            self.first_sample is not None
            and self.first_sample.phase_number == self.phase_number
        )


class CallerBudget:
    """Accounts of all holders, without locks and without sockets.

    Args:
        memory_bytes: What all holders together may hold.
        connections: Number of connections in all.
        connections_per_address: Number for each caller's address; 0 for no limit.
        min_bytes_per_s: A caller that sends or reads more slowly is always closed.
        crowded_bytes_per_s: One that does so more slowly gives way first.
    """

    __slots__ = (
        "memory_bytes",
        "connections",
        "_connections_per_address",
        "_min_bytes_per_s",
        "_crowded_bytes_per_s",
        "holders",
        "_count_by_address",
        "used_bytes",
    )

    def __init__(
        self,
        *,
        memory_bytes: int,
        connections: int,
        connections_per_address: int = 0,
        min_bytes_per_s: float = 0.0,
        crowded_bytes_per_s: float = 0.0,
    ):
        self.memory_bytes = memory_bytes
        self.connections = connections
        self._connections_per_address = connections_per_address
        self._min_bytes_per_s = min_bytes_per_s
        self._crowded_bytes_per_s = crowded_bytes_per_s
        self.holders: set[Holder] = set()
        self._count_by_address: collections.Counter[str] = collections.Counter()
        self.used_bytes = 0

    def has_room_at_address(self, address: str) -> bool:
        """Returns whether one more connection of this address is allowed."""
        limit = self._connections_per_address
        return not limit or self._count_by_address[address] < limit

    @property
    def has_room_for_connection(self) -> bool:
        """Whether the limits in all leave room for one more connection."""
        return (
            len(self.holders) < self.connections
            and self.used_bytes + CONNECTION_BYTES <= self.memory_bytes
        )

    def add(self, holder: Holder) -> None:
        """Charges a new connection."""
        self.holders.add(holder)
        self._count_by_address[holder.address] += 1
        self.used_bytes += holder.charged_bytes

    def remove(self, holder: Holder) -> None:
        """Ends the charges of a connection that was closed."""
        if holder not in self.holders:
            return
        self.holders.discard(holder)
        self.used_bytes -= holder.charged_bytes
        self._count_by_address[holder.address] -= 1
        if not self._count_by_address[holder.address]:
            del self._count_by_address[holder.address]

    def has_room_for_body(
        self, holder: Holder, count: int, *, released_bytes: int = 0
    ) -> bool:
        """Returns whether `count` more bytes fit into the share of the body's rank.

        Args:
            holder: The account of the body.
            count: Number of bytes.
            released_bytes: Bytes that count as released already.
        """
        share = BUDGET_SHARE_BY_RANK[holder.rank or Rank.PATIENT]
        used_bytes = self.used_bytes - released_bytes
        return used_bytes + count <= self.memory_bytes * share

    @property
    def pending_bytes(self) -> int:
        """Bytes charged to connections that were asked to end and will release them."""
        return sum(holder.charged_bytes for holder in self.holders if holder.is_shed)

    def charge(self, holder: Holder, count: int) -> None:
        """Charges `count` more bytes, or fewer if it is negative."""
        holder.charged_bytes += count
        self.used_bytes += count

    def find_victim(self, requester: Holder | None) -> Holder | None:
        """Returns the connection that gives way first, or None if none has to.

        A request that runs never gives way, as its outcome would be unknown.

        Args:
            requester: The holder that needs room for its body, or None for a new
                connection.
        """
        candidates = [holder for holder in self.holders if self._may_be_shed(holder)]
        if requester is None:
            return max(candidates, key=self._get_connection_shed_order, default=None)
        candidates = [
            holder
            for holder in candidates
            if holder.phase is not IDLE and holder.charged_bytes > CONNECTION_BYTES
        ]
        worst = max(candidates, key=self._get_body_shed_order, default=None)
        if worst is None or worst is requester:
            return None
        worse = self._get_body_shed_order(worst) > self._get_body_shed_order(requester)
        return worst if worse else None

    def find_victim_for_answer(self, requester: Holder) -> Holder | None:
        """Returns the connection that gives way to a large answer, or None.

        An answer is held in any case, as its request has been run. The caller that has
        been reading a large one for longest gives way, then one whose body is read.
        """
        if self.used_bytes - self.pending_bytes <= self.memory_bytes:
            return None
        others = [
            holder
            for holder in self.holders
            if holder is not requester and not holder.is_shed
        ]
        writers = [
            holder
            for holder in others
            if holder.phase is WRITING and holder.answer_number is not None
        ]
        if writers:
            return min(writers, key=lambda holder: holder.answer_number)
        readers = [
            holder
            for holder in others
            if holder.phase is READING and holder.charged_bytes > CONNECTION_BYTES
        ]
        return max(readers, key=self._get_body_shed_order, default=None)

    def list_too_slow(self) -> list[Holder]:
        """Returns the connections below the minimum rate."""
        return [
            holder
            for holder in self.holders
            if holder.phase in (READING, WRITING)
            and holder.has_stayed
            and not holder.is_shed
            and holder.window_ms >= MINIMUM_RATE_WINDOW_MS
            and holder.rate_bytes_per_s is not None
            and holder.rate_bytes_per_s < self._min_bytes_per_s
        ]

    def count_shed(self) -> int:
        """Returns how many connections were asked to end and have not ended yet."""
        return sum(holder.is_shed for holder in self.holders)

    def _may_be_shed(self, holder: Holder) -> bool:
        match holder.phase:
            case _ if holder.is_shed:
                return False
            case Phase.READING | Phase.IDLE:
                return True
            case Phase.WRITING:
                return self._is_slow(holder)
            case _:
                return False

    def _is_slow(self, holder: Holder) -> bool:
        rate = holder.rate_bytes_per_s
        return (
            holder.has_stayed and rate is not None and rate < self._crowded_bytes_per_s
        )

    def _get_body_shed_order(self, holder: Holder) -> tuple:
        """Returns a sort key; the highest gives way first to a body."""
        urgency = URGENCY[holder.rank or Rank.PATIENT]
        return (
            self._is_slow(holder),
            holder.has_stayed,
            urgency,
            holder.charged_bytes,
        )

    def _get_connection_shed_order(self, holder: Holder) -> tuple:
        """Returns a sort key; the highest gives way first to a new connection."""
        # First those that have sent a part of a request for a while, then idle ones, of
        # which a balancer keeps many, then those whose request is just being read, as
        # an ordinary one is read in a moment. Those that stay for longest come first.
        if holder.phase is IDLE:
            idle_ms = holder.window_ms if holder.has_stayed else 0.0
            return (1, idle_ms, -holder.number)
        if holder.has_stayed:
            return (2, *self._get_body_shed_order(holder), -holder.number)
        return (0, -holder.number)
