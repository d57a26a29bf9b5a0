"""One budget of memory and connections for all callers of this instance."""

import collections
import contextlib
import fcntl
import itertools
import resource
import socket
import struct
import sys
import termios
import threading

from gooseberrymux import metrics
from gooseberrymux.caller_budget import (
    BODY_COPIES,
    IDLE,
    READING,
    RUNNING,
    WRITING,
    CallerBudget,
    Holder,
)
from gooseberrymux.clock import Clock
from gooseberrymux.drops import DropRecorder
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.settings import CallerLimitSettings

SWEEP_PERIOD_MS = 500.0
# How long a caller waits for another one to give way. The thread that was asked to end
# needs a few milliseconds to do so.
ROOM_WAIT_MS = 300.0
# Connections that are asked to end at a time, as each search for one looks at all of
# them.
SHED_BATCH = 4
MEBIBYTE = 1024 * 1024
# Used where the settings name neither a budget nor the machine's memory.
DEFAULT_MEMORY_BYTES = 256 * MEBIBYTE
# Used where the system has no limit.
MAX_DESCRIPTORS = 1 << 20
# Offsets of tcpi_bytes_acked and tcpi_bytes_received in Linux's struct tcp_info.
TCP_INFO_OFFSET = 120
TCP_INFO_LENGTH = 136

REASON_MEMORY = "memory"
REASON_CONNECTIONS = "connections"
REASON_ADDRESS = "connections_per_address"
REASON_TOO_SLOW = "too_slow"
REASON_PIECES = "small_pieces"
REASON_AHEAD = "requests_ahead"


class CallerConnections:
    """The connections of one listener or of several, within one budget. Thread-safe.

    Args:
        budget: The limits and accounts.
        clock: The clock.
        listener: Name of the listener in counters and log lines.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_listener",
        "_drops",
        "_numbers",
        "_sockets",
        "_changed",
    )

    def __init__(self, *, budget: CallerBudget, clock: Clock, listener: str):
        self._budget = budget
        self._clock = clock
        self._listener = listener
        self._drops = DropRecorder(clock=clock, event="callers.shed")
        self._numbers = itertools.count()
        self._sockets: dict[Holder, socket.socket] = {}
        self._changed = threading.Condition()

    def admit(self, sock: socket.socket, address: str) -> Holder | None:
        """Returns the account of a new connection; None if there is no room for it.

        Blocks for at most `ROOM_WAIT_MS` while another connection gives way.
        """
        with self._changed:
            if not self._budget.has_room_at_address(address):
                self._record("refused", REASON_ADDRESS, address)
                return None
            deadline_ms = self._clock.now_ms() + ROOM_WAIT_MS
            while not self._budget.has_room_for_connection:
                if not self._shed_batch() or not self._wait(deadline_ms):
                    self._record("refused", REASON_CONNECTIONS, address)
                    return None
            holder = Holder(address=address, number=next(self._numbers))
            self._budget.add(holder)
            self._sockets[holder] = sock
            return holder

    def remove(self, holder: Holder) -> None:
        """Ends the account of a connection that was closed."""
        with self._changed:
            self._budget.remove(holder)
            self._sockets.pop(holder, None)
            self._changed.notify_all()

    def try_hold(self, holder: Holder, count: int) -> bool:
        """Charges `count` more bytes of a body; False if there is no room for them.

        Blocks for at most `ROOM_WAIT_MS` while another connection gives way.
        """
        needed = BODY_COPIES * count
        with self._changed:
            deadline_ms = self._clock.now_ms() + ROOM_WAIT_MS
            while not self._budget.has_room_for_body(holder, needed):
                if (
                    not self._make_room(holder, needed)
                    or holder.is_shed
                    or not self._wait(deadline_ms)
                ):
                    self._record("refused", REASON_MEMORY, holder.address)
                    return False
            self._budget.charge(holder, needed)
            return True

    def record_refusal(self, holder: Holder, reason: str) -> None:
        """Counts and logs a request that is refused for lack of room elsewhere."""
        self._record("refused", reason, holder.address)

    def hold_answer(self, holder: Holder, count: int) -> None:
        """Charges a large answer until `release_answer`; others may give way to it."""
        with self._changed:
            self._budget.charge(holder, BODY_COPIES * count)
            holder.answer_number = next(self._numbers)
            while victim := self._budget.find_victim_for_answer(holder):
                self._shed(victim, REASON_MEMORY)

    def release_answer(self, holder: Holder, count: int) -> None:
        """Ends the charge of a large answer."""
        holder.answer_number = None
        self.release(holder, BODY_COPIES * count)

    def release(self, holder: Holder, count: int) -> None:
        """Gives back `count` charged bytes."""
        with self._changed:
            self._budget.charge(holder, -count)
            self._changed.notify_all()

    def shed_for_descriptor(self) -> None:
        """Asks a connection to end, as no descriptor is left to accept another."""
        with self._changed:
            self._shed_batch()

    def sweep(self) -> None:
        """Measures the progress of each connection and closes those that have none."""
        with self._changed:
            now_ms = self._clock.now_ms()
            for holder, sock in self._sockets.items():
                if holder.phase in (READING, WRITING):
                    holder.record_progress(now_ms, read_moved_bytes(sock))
                elif holder.phase is IDLE:
                    holder.record_progress(now_ms, 0)
                if holder.phase in (RUNNING, WRITING):
                    holder.record_unread(count_unread_bytes(sock))
            for holder in self._budget.list_too_slow():
                self._shed(holder, REASON_TOO_SLOW)

    def describe(self) -> dict:
        """Returns limits and present use for the status."""
        with self._changed:
            return {
                "connections": len(self._budget.holders),
                "connection_limit": self._budget.connections,
                "held_bytes": self._budget.used_bytes,
                "memory_limit_bytes": self._budget.memory_bytes,
            }

    def _make_room(self, holder: Holder, needed: int) -> bool:
        """Asks connections to end until a body will fit; False if it won't."""
        while not self._budget.has_room_for_body(
            holder, needed, released_bytes=self._budget.pending_bytes
        ):
            victim = self._budget.find_victim(holder)
            if victim is None:
                return False
            self._shed(victim, REASON_MEMORY)
        return True

    def _shed_batch(self) -> bool:
        """Asks some connections to end; returns whether any will."""
        for _ in range(SHED_BATCH - self._budget.count_shed()):
            victim = self._budget.find_victim(None)
            if victim is None:
                break
            self._shed(victim, REASON_CONNECTIONS)
        return self._budget.count_shed() > 0

    def _shed(self, holder: Holder, reason: str) -> None:
        holder.is_shed = True
        # A connection that is being read is still answered before it is closed.
        how = socket.SHUT_RDWR if holder.phase is WRITING else socket.SHUT_RD
        with contextlib.suppress(OSError):
            self._sockets[holder].shutdown(how)
        self._record("shed", reason, holder.address)

    def _wait(self, deadline_ms: float) -> bool:
        remaining_ms = deadline_ms - self._clock.now_ms()
        return remaining_ms > 0 and self._clock.wait(self._changed, remaining_ms)

    def _record(self, action: str, reason: str, address: str) -> None:
        metrics.callers_shed_total.inc(
            {"listener": self._listener, "action": action, "reason": reason}
        )
        self._drops.record(reason=f"caller_{reason}", step=action, peer=address)


class WorkGate:
    """Lets one connection at a time do work that costs far more than its bytes.

    This is the work on bodies of many small pieces, and on requests that are sent
    ahead. Thread-safe.

    Args:
        share: Share of one processor that the work behind this gate takes at most.
        clock: The clock.
    """

    __slots__ = ("_share", "_clock", "_changed", "_queue", "_is_taken")

    def __init__(self, *, share: float, clock: Clock):
        self._share = share
        self._clock = clock
        self._changed = threading.Condition()
        self._queue: collections.deque[object] = collections.deque()
        self._is_taken = False

    def enter(self, timeout_ms: float) -> bool:
        """Waits in order of arrival; returns False if `timeout_ms` has passed."""
        ticket = object()
        with self._changed:
            deadline_ms = self._clock.now_ms() + timeout_ms
            self._queue.append(ticket)
            while self._is_taken or self._queue[0] is not ticket:
                remaining_ms = deadline_ms - self._clock.now_ms()
                if remaining_ms <= 0:
                    self._queue.remove(ticket)
                    self._changed.notify_all()
                    return False
                self._clock.wait(self._changed, remaining_ms)
            self._queue.popleft()
            self._is_taken = True
            return True

    def leave(self, worked_ms: float) -> None:
        """Frees the gate after a pause that keeps the work within its share.

        Args:
            worked_ms: Time for which the caller has worked.
        """
        self._clock.sleep_ms(worked_ms * (1 / self._share - 1))
        with self._changed:
            self._is_taken = False
            self._changed.notify_all()


@service("caller_memory")
class CallerMemory:
    """Budget of the listener for callers, and the thread that watches its progress.

    Attributes:
        callers: Connections of the listener for callers.
        pieces: Gate for bodies of many small pieces.
        pipelines: Gate for callers that send many requests ahead.
    """

    __slots__ = (
        "callers",
        "pieces",
        "pipelines",
        "_kernel",
        "_watched",
        "_changed",
        "_stopping",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        limits = kernel.settings.caller_limits
        self.callers = CallerConnections(
            budget=create_budget(limits), clock=kernel.clock, listener="callers"
        )
        self.pieces = WorkGate(share=limits.small_piece_share, clock=kernel.clock)
        self.pipelines = WorkGate(share=limits.small_piece_share, clock=kernel.clock)
        self._watched = [self.callers]
        self._changed = threading.Condition()
        self._stopping = False

    def start(self) -> None:
        """Starts the thread that measures how fast callers send and read."""
        self._kernel.spawn(name="caller_memory.sweep", target=self._sweep)

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: connections are watched until they end."""

    def stop(self) -> None:
        """Ends the watching thread."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def create_listener(self, name: str, *, connections: int) -> CallerConnections:
        """Returns the connections of a listener that needs few of them.

        They have limits of their own, so that many callers can't take the room of
        health checks and operators.
        """
        limits = self._kernel.settings.caller_limits
        created = CallerConnections(
            budget=CallerBudget(
                memory_bytes=DEFAULT_MEMORY_BYTES,
                connections=connections,
                min_bytes_per_s=limits.min_bytes_per_s,
                crowded_bytes_per_s=limits.crowded_bytes_per_s,
            ),
            clock=self._kernel.clock,
            listener=name,
        )
        self._watched.append(created)
        return created

    def describe(self) -> dict:
        """Returns limits and present use for the status."""
        return self.callers.describe()

    def _sweep(self) -> None:
        while True:
            with self._changed:
                if not self._stopping:
                    self._kernel.clock.wait(self._changed, SWEEP_PERIOD_MS)
                if self._stopping:
                    return
            for connections in self._watched:
                connections.sweep()


def create_budget(limits: CallerLimitSettings) -> CallerBudget:
    """Returns the budget for callers that follows from the settings."""
    return CallerBudget(
        memory_bytes=compute_memory_bytes(limits),
        connections=compute_connections(limits),
        connections_per_address=limits.connections_per_address,
        min_bytes_per_s=limits.min_bytes_per_s,
        crowded_bytes_per_s=limits.crowded_bytes_per_s,
    )


def compute_memory_bytes(limits: CallerLimitSettings) -> int:
    """Returns the memory that all callers together may hold, in bytes."""
    if limits.memory_bytes:
        return limits.memory_bytes
    if limits.machine_memory_mb:
        return int(limits.machine_memory_mb * MEBIBYTE * limits.memory_share)
    return DEFAULT_MEMORY_BYTES


def compute_connections(limits: CallerLimitSettings) -> int:
    """Returns the number of callers' connections.

    The other descriptors stay free for links with peers, upstreams and the store.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = MAX_DESCRIPTORS
    descriptors = min(limits.descriptors or soft_limit, soft_limit)
    most = max(1, int(descriptors * limits.descriptor_share))
    return min(limits.connections, most) if limits.connections else most


def count_unread_bytes(sock: socket.socket) -> int:
    """Returns how many received bytes the instance has not read yet; 0 if unknown."""
    try:
        return int.from_bytes(
            fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder
        )
    except (OSError, ValueError):
        return 0


def read_moved_bytes(sock: socket.socket) -> int:
    """Returns the bytes that a caller has sent and has acknowledged; 0 if unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LENGTH)
    except OSError:
        return 0
    if len(info) < TCP_INFO_LENGTH:
        return 0
    return sum(struct.unpack_from("=QQ", info, TCP_INFO_OFFSET))
