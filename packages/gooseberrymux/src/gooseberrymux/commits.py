"""Group commit of one claim range: a loop of read, merge and conditional update."""

import collections
import dataclasses
import threading
from collections.abc import Callable

from result import Err, Ok

from gooseberrymux import journal
from gooseberrymux.kernel import Kernel
from gooseberrymux.ledger import (
    Command,
    Ledger,
    LedgerError,
    LedgerLimits,
    Unavailable,
    Verdict,
    apply_commands,
    decode_ledger,
    encode_ledger,
)
from gooseberrymux.platform import Platform, PlatformObject, VersionConflict, Written

# A pause after a failed platform call, so that an outage is not met by a busy loop.
RETRY_MS = 50
# A group gives up after this many failed calls in a row, so that an outage does not
# hold the callers' threads until their deadlines.
FAILURE_LIMIT = 3
WAITING_LIMIT = 4_096
GROUP_LIMIT = 256

REASON_EXPIRED = "deadline"
REASON_QUEUE_FULL = "commit_queue_full"
REASON_PLATFORM = "platform"


class Ticket:
    """One command that waits for its verdict."""

    __slots__ = ("command", "until_ms", "_clock", "_verdict", "_changed", "_on_done")

    def __init__(
        self,
        *,
        command: Command,
        until_ms: float,
        clock,
        on_done: Callable[[Verdict], None] | None = None,
    ):
        self.command = command
        self.until_ms = until_ms
        self._clock = clock
        self._verdict: Verdict | None = None
        self._changed = threading.Condition()
        self._on_done = on_done

    def finish(self, verdict: Verdict) -> None:
        """Sets the verdict; only the first counts."""
        with self._changed:
            if self._verdict is not None:
                return
            self._verdict = verdict
            self._changed.notify_all()
        if self._on_done:
            self._on_done(verdict)

    def wait(self, until_ms: float) -> Verdict | None:
        """Returns the verdict, or None if there is none by `until_ms`."""
        with self._changed:
            while self._verdict is None:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    break
                self._clock.wait(self._changed, left_ms)
            return self._verdict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerVersion:
    """A ledger as it stood in the platform object at a version."""

    version: int
    ledger: Ledger


class Committer:
    """Commits the commands that wait for one range.

    While commands wait, one thread commits them, a group at a time: what arrives
    during one platform call forms the next group. An idle range has no thread.
    """

    __slots__ = (
        "_name",
        "_kernel",
        "_platform",
        "_limits",
        "_group_limit",
        "_waiting",
        "_lock",
        "_active",
        "_known",
    )

    def __init__(self, *, name: str, kernel: Kernel, platform: Platform):
        orders = kernel.settings.orders
        grouped = kernel.settings.policy.claim_commit == "grouped"
        self._name = name
        self._kernel = kernel
        self._platform = platform
        self._limits = LedgerLimits(
            retention_ms=orders.retention_ms, key_margin_ms=orders.key_margin_ms
        )
        self._group_limit = GROUP_LIMIT if grouped else 1
        self._waiting: collections.deque[Ticket] = collections.deque()
        self._lock = threading.Lock()
        self._active = False
        self._known: LedgerVersion | None = None

    def put(self, ticket: Ticket) -> None:
        """Queues a command; its ticket gets the verdict."""
        with self._lock:
            full = len(self._waiting) >= WAITING_LIMIT
            if not full:
                self._waiting.append(ticket)
            start = not full and not self._active
            self._active = self._active or start
        if full:
            ticket.finish(Unavailable(reason=REASON_QUEUE_FULL))
        if start:
            self._kernel.spawn(name=f"commit.{self._name}", target=self._run)

    def get_known(self) -> Ledger | None:
        """Returns the ledger as this instance last read or wrote it, or None."""
        known = self._known
        return known.ledger if known else None

    def _run(self) -> None:
        try:
            while tickets := self._take_group():
                self._commit(tickets)
        except BaseException:
            with self._lock:
                self._active = False
            raise

    def _take_group(self) -> list[Ticket]:
        group: list[Ticket] = []
        expired: list[Ticket] = []
        with self._lock:
            now_ms = self._kernel.clock.now_ms()
            while self._waiting and len(group) < self._group_limit:
                ticket = self._waiting.popleft()
                (group if now_ms < ticket.until_ms else expired).append(ticket)
            self._active = bool(group)
        for ticket in expired:
            ticket.finish(Unavailable(reason=REASON_EXPIRED))
        return group

    def _commit(self, tickets: list[Ticket]) -> None:
        verdicts = self._merge_and_write(tickets)
        for ticket, verdict in zip(tickets, verdicts, strict=True):
            ticket.finish(verdict)

    def _merge_and_write(self, tickets: list[Ticket]) -> list[Verdict]:
        clock = self._kernel.clock
        commands = [ticket.command for ticket in tickets]
        until_ms = max(ticket.until_ms for ticket in tickets)
        base, current = self._known, False
        failures = 0
        while clock.now_ms() < until_ms and failures < FAILURE_LIMIT:
            if base is None:
                base, current = self._read(), True
                if base is None:
                    failures += 1
                    clock.sleep_ms(RETRY_MS)
                    continue
                failures = 0
            applied = apply_commands(
                base=base.ledger,
                commands=commands,
                wall_ms=clock.wall_ms(),
                limits=self._limits,
            )
            if not applied.changed:
                if current:
                    self._known = base
                    return applied.verdicts
                # What this instance remembers may be out of date.
                base = None
                continue
            match self._platform.put(
                name=self._name,
                value=encode_ledger(applied.ledger),
                expected_version=base.version,
            ):
                case Ok(Written(version=version)):
                    self._known = LedgerVersion(version=version, ledger=applied.ledger)
                    return applied.verdicts
                case Ok(VersionConflict(current=found)):
                    base, current = self._decode(found), True
                case Err(error):
                    # The write may have taken effect: merging the same commands
                    # into what is read back tells.
                    journal.record_fault(
                        step="claims.commit", peer="platform", error=error
                    )
                    base = None
                    failures += 1
                    clock.sleep_ms(RETRY_MS)
        self._known = None
        return [Unavailable(reason=REASON_PLATFORM)] * len(tickets)

    def _read(self) -> LedgerVersion | None:
        match self._platform.get(self._name):
            case Ok(found):
                return self._decode(found)
            case Err(error):
                journal.record_fault(step="claims.read", peer="platform", error=error)
                return None

    def _decode(self, found: PlatformObject) -> LedgerVersion | None:
        try:
            ledger = decode_ledger(found.value)
        except LedgerError as error:
            journal.record_fault(step="claims.decode", peer="platform", error=error)
            return None
        return LedgerVersion(version=found.version, ledger=ledger)
