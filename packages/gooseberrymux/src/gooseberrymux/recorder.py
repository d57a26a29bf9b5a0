"""Outcomes and releases that are still to be recorded, retried until they are."""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux import journal
from gooseberrymux.clock import Clock
from gooseberrymux.commits import Ticket
from gooseberrymux.ledger import (
    CODE_OTHER_ATTEMPT,
    CODE_TOO_OLD,
    Complete,
    Recorded,
    Rejected,
    Release,
    Verdict,
)

# After a failure; an outage of the platform lasts far longer than this.
RETRY_MS = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class Pending:
    """One outcome or release that is not known to be recorded."""

    command: Complete | Release
    due_ms: float = 0.0
    tries: int = 0


Send = Callable[[Ticket, int], None]


class Recorder:
    """Keeps outcomes and releases until they are recorded."""

    __slots__ = ("_clock", "_send", "_timeout_ms", "_pending", "_changed", "_stopping")

    def __init__(self, *, clock: Clock, send: Send, timeout_ms: float):
        """Creates an empty recorder.

        Args:
            clock: The clock.
            send: Commits a command; its second argument counts the tries.
            timeout_ms: Time in milliseconds after which an unanswered try is
                repeated.
        """
        self._clock = clock
        self._send = send
        self._timeout_ms = timeout_ms
        self._pending: dict[str, Pending] = {}
        self._changed = threading.Condition()
        self._stopping = False

    def run(self) -> None:
        """Retries what is due, until stopped; the body of the recorder's thread."""
        while self._wait_for_due():
            self.retry_due()

    def stop(self) -> None:
        """Ends `run`."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def add(self, command: Complete | Release) -> None:
        """Takes over a command and tries it for the first time."""
        pending = Pending(command=command)
        with self._changed:
            self._pending[command.attempt] = pending
        self._try(pending)

    def wait_for(self, attempt: str, until_ms: float) -> bool:
        """Waits until an attempt's command is recorded; returns whether it is."""
        with self._changed:
            while attempt in self._pending:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    return False
                self._clock.wait(self._changed, left_ms)
            return True

    def find_completion(self, key: str) -> Complete | None:
        """Returns a completion for a key that is still to be recorded, or None.

        A release says nothing about the key: another attempt may hold the claim.
        """
        for command in self.list_pending():
            if command.key == key and isinstance(command, Complete):
                return command
        return None

    def list_pending(self) -> list[Complete | Release]:
        """Returns the commands that are still to be recorded."""
        with self._changed:
            return [item.command for item in self._pending.values()]

    def flush(self, until_ms: float) -> list[Complete | Release]:
        """Waits until all is recorded; returns what is not by `until_ms`."""
        with self._changed:
            while self._pending:
                left_ms = until_ms - self._clock.now_ms()
                if left_ms <= 0:
                    break
                self._clock.wait(self._changed, left_ms)
        return self.list_pending()

    def retry_due(self) -> None:
        """Tries again what has had no answer or a failure for long enough."""
        now_ms = self._clock.now_ms()
        with self._changed:
            due = [item for item in self._pending.values() if item.due_ms <= now_ms]
        for pending in due:
            self._try(pending)

    def _wait_for_due(self) -> bool:
        with self._changed:
            while not self._stopping:
                if not self._pending:
                    self._clock.wait(self._changed, None)
                    continue
                due_ms = min(item.due_ms for item in self._pending.values())
                left_ms = due_ms - self._clock.now_ms()
                if left_ms <= 0:
                    return True
                self._clock.wait(self._changed, left_ms)
            return False

    def _try(self, pending: Pending) -> None:
        now_ms = self._clock.now_ms()
        with self._changed:
            pending.tries += 1
            pending.due_ms = now_ms + self._timeout_ms + RETRY_MS
            self._changed.notify_all()
        ticket = Ticket(
            command=pending.command,
            until_ms=now_ms + self._timeout_ms,
            clock=self._clock,
            on_done=lambda verdict: self._handle_verdict(pending, verdict),
        )
        self._send(ticket, pending.tries)

    def _handle_verdict(self, pending: Pending, verdict: Verdict) -> None:
        command = pending.command
        match verdict:
            case Recorded():
                self._remove(pending)
            case Rejected(code=code) if code in (CODE_OTHER_ATTEMPT, CODE_TOO_OLD):
                # The claim is gone or another attempt's: retrying can't change that.
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
                    pending.due_ms = self._clock.now_ms() + RETRY_MS
                    self._changed.notify_all()

    def _remove(self, pending: Pending) -> None:
        with self._changed:
            if self._pending.get(pending.command.attempt) is pending:
                del self._pending[pending.command.attempt]
            self._changed.notify_all()
