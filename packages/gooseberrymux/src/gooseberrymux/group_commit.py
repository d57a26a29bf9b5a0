"""Group commit of the commands for one claim range, by conditional update.

Each group of waiting commands is applied to the range's ledger and written to the
platform with one conditional update; after a version conflict or a failed call it is
applied again to the ledger that was read since.
"""

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
from gooseberrymux.lost_claims import restore_lost_claims
from gooseberrymux.platform import Platform
from gooseberrymux.platform_objects import PlatformObject, VersionConflict, Written

# Pause after a failed platform call; without it, an outage would cause a busy loop.
RETRY_DELAY_MS = 50
# A group is given up after this many failed platform calls in a row, so that an outage
# does not block the callers' threads until their deadlines.
CONSECUTIVE_FAILURE_LIMIT = 3
QUEUE_LIMIT = 4_096
GROUP_SIZE_LIMIT = 256

REASON_EXPIRED = "deadline"
REASON_QUEUE_FULL = "commit_queue_full"
REASON_PLATFORM = "platform"


class PendingCommand:
    """One command that waits for its verdict; safe to use from several threads.

    Attributes:
        command: The command.
        until_ms: Monotonic time in milliseconds. A command that is still queued then
            is not committed, and its verdict is `Unavailable`.
    """

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
        """Sets the verdict and wakes the waiting threads; later verdicts are ignored.

        `on_done` is called in the calling thread, without a lock held.
        """
        with self._changed:
            if self._verdict is not None:
                return
            self._verdict = verdict
            self._changed.notify_all()
        if self._on_done:
            self._on_done(verdict)

    def wait(self, until_ms: float) -> Verdict | None:
        """Waits for the verdict; returns None if there is none by `until_ms`."""
        with self._changed:
            while self._verdict is None:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    break
                self._clock.wait(self._changed, left_ms)
            return self._verdict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionedLedger:
    """The ledger that the platform object holds at a version."""

    version: int
    ledger: Ledger


class Committer:
    """Commits the queued commands of one key range.

    While commands are queued, one thread commits them, one group at a time: commands
    that arrive during the commit of a group form the next one. An idle range has no
    thread. If the policy `claim_commit` is not "grouped", each group is one command.
    """

    __slots__ = (
        "_name",
        "_kernel",
        "_platform",
        "_limits",
        "_group_size_limit",
        "_queue",
        "_lock",
        "_thread_is_running",
        "_cached",
        "_last_known",
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
        self._group_size_limit = GROUP_SIZE_LIMIT if grouped else 1
        self._queue: collections.deque[PendingCommand] = collections.deque()
        self._lock = threading.Lock()
        self._thread_is_running = False
        self._cached: VersionedLedger | None = None
        # The ledger as it was last read or written, also after failed commits.
        self._last_known: Ledger | None = None

    def enqueue(self, pending: PendingCommand) -> None:
        """Queues a command, and starts the commit thread if none is running.

        Returns without waiting. If the queue is full, the verdict is set at once.
        """
        with self._lock:
            is_full = len(self._queue) >= QUEUE_LIMIT
            if not is_full:
                self._queue.append(pending)
            starts_thread = not is_full and not self._thread_is_running
            self._thread_is_running = self._thread_is_running or starts_thread
        if is_full:
            pending.finish(Unavailable(reason=REASON_QUEUE_FULL))
        if starts_thread:
            self._kernel.spawn(name=f"commit.{self._name}", target=self._run)

    def get_cached_ledger(self) -> Ledger | None:
        """Returns the ledger as this instance last read or wrote it.

        The ledger may be out of date, as other instances may write the same platform
        object. None before the first commit and after a failed one.
        """
        cached = self._cached
        return cached.ledger if cached else None

    def _run(self) -> None:
        try:
            while group := self._dequeue_group():
                self._commit(group)
        except BaseException:
            with self._lock:
                self._thread_is_running = False
            raise

    def _dequeue_group(self) -> list[PendingCommand]:
        group: list[PendingCommand] = []
        expired: list[PendingCommand] = []
        with self._lock:
            now_ms = self._kernel.clock.now_ms()
            while self._queue and len(group) < self._group_size_limit:
                pending = self._queue.popleft()
                (group if now_ms < pending.until_ms else expired).append(pending)
            self._thread_is_running = bool(group)
        for pending in expired:
            pending.finish(Unavailable(reason=REASON_EXPIRED))
        return group

    def _commit(self, group: list[PendingCommand]) -> None:
        verdicts = self._apply_and_write(group)
        for pending, verdict in zip(group, verdicts, strict=True):
            pending.finish(verdict)

    def _apply_and_write(self, group: list[PendingCommand]) -> list[Verdict]:
        clock = self._kernel.clock
        commands = [pending.command for pending in group]
        until_ms = max(pending.until_ms for pending in group)
        base, is_fresh = self._cached, False
        consecutive_failures = 0
        while (
            clock.now_ms() < until_ms
            and consecutive_failures < CONSECUTIVE_FAILURE_LIMIT
        ):
            if base is None:
                base, is_fresh = self._read(), True
                if base is None:
                    consecutive_failures += 1
                    clock.sleep_ms(RETRY_DELAY_MS)
                    continue
                consecutive_failures = 0
            restored = self._restore_lost(base.ledger)
            applied = apply_commands(
                base=restored,
                commands=commands,
                wall_ms=clock.wall_ms(),
                limits=self._limits,
            )
            if not applied.changed and restored is base.ledger:
                if is_fresh:
                    self._keep(base)
                    return applied.verdicts
                # The cached ledger may be out of date, and no write confirms its
                # version, so the verdicts must come from a fresh read.
                base = None
                continue
            match self._platform.put(
                name=self._name,
                value=encode_ledger(applied.ledger),
                expected_version=base.version,
            ):
                case Ok(Written(version=version)):
                    self._keep(VersionedLedger(version=version, ledger=applied.ledger))
                    return applied.verdicts
                case Ok(VersionConflict(current=found)):
                    base, is_fresh = self._decode(found), True
                case Err(error):
                    # The write may have taken effect: the ledger is read again, and
                    # applying the same commands to it gives the same verdicts.
                    journal.record_fault(
                        step="claims.commit", peer="platform", error=error
                    )
                    base = None
                    consecutive_failures += 1
                    clock.sleep_ms(RETRY_DELAY_MS)
        self._cached = None
        return [Unavailable(reason=REASON_PLATFORM)] * len(group)

    def _keep(self, ledger: VersionedLedger) -> None:
        self._cached = ledger
        self._last_known = ledger.ledger

    def _restore_lost(self, found: Ledger) -> Ledger:
        """Returns a ledger with the claims that the platform has lost, if any."""
        if self._last_known is None or self._last_known is found:
            return found
        restored = restore_lost_claims(found, self._last_known)
        if restored is not found:
            journal.record_event(
                "claims.restored",
                range=self._name,
                found=len(found.entries),
                restored=len(restored.entries),
            )
        return restored

    def _read(self) -> VersionedLedger | None:
        match self._platform.get(self._name):
            case Ok(found):
                return self._decode(found)
            case Err(error):
                journal.record_fault(step="claims.read", peer="platform", error=error)
                return None

    def _decode(self, found: PlatformObject) -> VersionedLedger | None:
        try:
            ledger = decode_ledger(found.value)
        except LedgerError as error:
            journal.record_fault(step="claims.decode", peer="platform", error=error)
            return None
        return VersionedLedger(version=found.version, ledger=ledger)
