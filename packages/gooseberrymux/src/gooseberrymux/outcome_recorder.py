"""Retries outcomes and releases until the claim ledger has recorded them."""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import journal
from gooseberrymux.clock import Clock
from gooseberrymux.group_commit import PendingCommand
from gooseberrymux.ledger import (
    CODE_OTHER_ATTEMPT,
    CODE_TOO_OLD,
    Complete,
    Recorded,
    Rejected,
    Release,
    Verdict,
)

# Pause after a failure. A platform outage lasts far longer than this.
RETRY_DELAY_MS = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingOutcome:
    """One outcome or release that is not known to be recorded.

    Attributes:
        command: The command that records it.
        due_ms: Monotonic time in milliseconds of the next try.
        tries: Number of tries so far.
    """

    command: Complete | Release
    due_ms: float = 0.0
    tries: int = 0


CommitCallback = Callable[[PendingCommand, int], None]


class OutcomeRecorder:
    """Holds outcomes and releases in memory until the ledger has recorded them.

    Commands that are still pending when the process ends are lost. There is one pending
    command for each attempt.
    """

    __slots__ = (
        "_clock",
        "_commit",
        "_timeout_ms",
        "_pending",
        "_changed",
        "_stopping",
    )

    def __init__(self, *, clock: Clock, commit: CommitCallback, timeout_ms: float):
        """Creates an empty recorder.

        Args:
            clock: The clock.
            commit: Starts the commit of a command without waiting for it; the second
                argument is the number of this try, from 1.
            timeout_ms: Time in milliseconds after which a try without a verdict counts
                as failed.
        """
        self._clock = clock
        self._commit = commit
        self._timeout_ms = timeout_ms
        self._pending: dict[str, PendingOutcome] = {}
        self._changed = threading.Condition()
        self._stopping = False

    def run(self) -> None:
        """Retries the commands that are due until `stop`, in the recorder's thread."""
        while self._wait_for_due():
            self.retry_due()

    def stop(self) -> None:
        """Makes `run` return; commands that are still pending are not retried."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def record(self, command: Complete | Release) -> None:
        """Takes responsibility for a command and submits it for the first time."""
        pending = PendingOutcome(command=command)
        with self._changed:
            self._pending[command.attempt] = pending
        self._submit(pending)

    def wait_recorded(self, attempt: str, until_ms: float) -> bool:
        """Waits until an attempt's command is no longer pending, or until `until_ms`.

        Returns:
            Whether the command was recorded, or rejected for good, in time.
        """
        with self._changed:
            while attempt in self._pending:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    return False
                self._clock.wait(self._changed, left_ms)
            return True

    def find_completion(self, key: str) -> Complete | None:
        """Returns the pending completion of a key, or None.

        Releases are left out: a release does not tell the state of the key, as another
        attempt may hold the claim.
        """
        for command in self.list_pending():
            if command.key == key and isinstance(command, Complete):
                return command
        return None

    def list_pending(self) -> list[Complete | Release]:
        """Returns the commands that are not known to be recorded."""
        with self._changed:
            return [pending.command for pending in self._pending.values()]

    def flush(self, until_ms: float) -> list[Complete | Release]:
        """Waits until no command is pending; returns those that are at `until_ms`."""
        with self._changed:
            while self._pending:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    break
                self._clock.wait(self._changed, left_ms)
        return self.list_pending()

    def retry_due(self) -> None:
        """Submits again the commands whose last try failed or timed out, if due."""
        now_ms = self._clock.now_ms()
        with self._changed:
            due = [
                pending
                for pending in self._pending.values()
                if pending.due_ms <= now_ms
            ]
        for pending in due:
            self._submit(pending)

    def _wait_for_due(self) -> bool:
        with self._changed:
            while not self._stopping:
                if not self._pending:
                    self._clock.wait(self._changed, None)
                    continue
                due_ms = min(pending.due_ms for pending in self._pending.values())
                left_ms = due_ms - self._clock.now_ms()
                if left_ms <= 0:
                    return True
                self._clock.wait(self._changed, left_ms)
            return False

    def _submit(self, pending: PendingOutcome) -> None:
        now_ms = self._clock.now_ms()
        with self._changed:
            pending.tries += 1
            pending.due_ms = now_ms + self._timeout_ms + RETRY_DELAY_MS
            self._changed.notify_all()
        pending_command = PendingCommand(
            command=pending.command,
            until_ms=now_ms + self._timeout_ms,
            clock=self._clock,
            on_done=lambda verdict: self._handle_verdict(pending, verdict),
        )
        self._commit(pending_command, pending.tries)

    def _handle_verdict(self, pending: PendingOutcome, verdict: Verdict) -> None:
        command = pending.command
        match verdict:
            case Recorded():
                self._remove(pending)
            case Rejected(code=code) if code in (CODE_OTHER_ATTEMPT, CODE_TOO_OLD):
                # The claim was pruned or belongs to another attempt, so a retry would
                # be rejected too.
                journal.record_event(
                    "claims.outcome_rejected",
                    key=command.key,
                    attempt=command.attempt,
                    outcome=type(command).__name__,
                    code=code,
                )
                self._remove(pending)
            case _:
                with self._changed:
                    pending.due_ms = self._clock.now_ms() + RETRY_DELAY_MS
                    self._changed.notify_all()

    def _remove(self, pending: PendingOutcome) -> None:
        with self._changed:
            if self._pending.get(pending.command.attempt) is pending:
                del self._pending[pending.command.attempt]
            self._changed.notify_all()
