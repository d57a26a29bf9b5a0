"""Order claims: asks a range's owner, or commits here, and serves other entries.

The owner of a range only saves writes. Whoever commits does so by conditional update,
so two owners at once, or an entry that commits by itself, are safe.
"""

import dataclasses
import itertools
import threading

from result import Err

from gooseberrymux import journal, metrics
from gooseberrymux.claim_entries import ClaimState, decode_entry, encode_entry
from gooseberrymux.group_commit import Committer, PendingCommand
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.keys import pick_range
from gooseberrymux.ledger import (
    Absent,
    Claim,
    Claimed,
    Command,
    Complete,
    Found,
    LookUp,
    Recorded,
    Rejected,
    Release,
    Unavailable,
    Verdict,
)
from gooseberrymux.membership import Membership
from gooseberrymux.messages import (
    ClaimRequest,
    LedgerQuery,
    LedgerReply,
    OutcomeRecord,
)
from gooseberrymux.outcome_recorder import OutcomeRecorder
from gooseberrymux.ownership import rank_members
from gooseberrymux.peers import PeerLost, Peers
from gooseberrymux.platform import Platform
from gooseberrymux.records import InstanceIdentity

# Share of the time for a command that a remote owner gets before the entry commits
# by itself; the rest is enough for one commit.
OWNER_SHARE = 0.5
# A platform that is down must not hold back the answer of an order that ran.
OUTCOME_WAIT_MS = 250

REASON_PEER_LOST = "peer_lost"
REASON_NO_ANSWER = "no_answer"

Request = ClaimRequest | OutcomeRecord | LedgerQuery


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerCall:
    """A command at a remote owner."""

    owner: str
    ticket: PendingCommand


@service("claims", requires=("platform", "peers", "membership"))
class Claims:
    """The claims of this entry's orders, and the ranges that this instance commits."""

    __slots__ = (
        "_kernel",
        "_platform",
        "_peers",
        "_membership",
        "_committers",
        "_calls",
        "_lock",
        "_counter",
        "_recorder",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._platform = kernel.find("platform", Platform)
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._committers: dict[str, Committer] = {}
        self._calls: dict[str, LedgerCall] = {}
        self._lock = threading.Lock()
        self._counter = itertools.count(1)
        self._recorder = OutcomeRecorder(
            clock=kernel.clock,
            commit=self._send_outcome,
            timeout_ms=kernel.settings.orders.commit_timeout_ms,
        )
        for message_type in (ClaimRequest, OutcomeRecord, LedgerQuery):
            self._peers.register(message_type, self._handle_request)
        self._peers.register(LedgerReply, self._handle_reply)
        kernel.subscribe(PeerLost, self._handle_lost)

    def start(self) -> None:
        """Starts the thread that retries outcomes."""
        self._kernel.spawn(name="claims.recorder", target=self._recorder.run)

    def drain(self, deadline_ms: float) -> None:
        """Waits until the outcomes are recorded and logs those that are not."""
        for command in self._recorder.flush(deadline_ms):
            journal.record_event(
                "claims.outcome_lost",
                level="error",
                key=command.key,
                attempt=command.attempt,
                outcome=type(command).__name__,
            )
            metrics.faults_total.inc({"step": "claims.outcome_lost"})

    def stop(self) -> None:
        """Ends the retries."""
        self._recorder.stop()

    def describe(self) -> dict:
        """Returns what is still to be recorded, for the administration API."""
        return {"pending_outcomes": len(self._recorder.list_pending())}

    def claim(self, command: Claim, until_ms: float) -> Verdict:
        """Reserves a key for an attempt.

        Args:
            command: The claim; its attempt id must never have been used before.
            until_ms: Monotonic time in milliseconds by which to give up.

        Returns:
            Claimed if the claim is certainly written; only then may the attempt be
            dispatched. After any other verdict it must never be dispatched.
        """
        until_ms = self._limit(until_ms)
        verdict, certain = self._resolve(command, until_ms)
        if not isinstance(verdict, Claimed) and not certain:
            # The claim may still be written, by a delayed request or a lost reply.
            self.record(
                Release(
                    key=command.key,
                    attempt=command.attempt,
                    digest=command.digest,
                    caller=command.caller,
                )
            )
        return verdict

    def record(self, command: Complete | Release) -> None:
        """Takes over an outcome or a release until it is recorded; does not block."""
        self._recorder.record(command)

    def wait_recorded(self, attempt: str) -> None:
        """Waits for a moment, so that a resubmission normally finds the outcome."""
        self._recorder.wait_recorded(
            attempt, self._kernel.clock.now_ms() + OUTCOME_WAIT_MS
        )

    def look_up(self, key: str, until_ms: float) -> Verdict:
        """Returns Found, Absent, Rejected (too old) or Unavailable for a key.

        What this instance knows for certain counts while the platform is down.
        """
        verdict, _ = self._resolve(LookUp(key=key), self._limit(until_ms))
        if isinstance(verdict, Unavailable):
            known = self._open_committer(self._pick_range(key)).get_cached_ledger()
            entry = known.entries.get(key) if known else None
            # A released key may have been claimed and run since.
            if entry and entry.state is not ClaimState.RELEASED:
                return Found(entry=entry)
        return verdict

    def find_completion(self, key: str) -> Complete | None:
        """Returns an outcome that this instance knows and has yet to record."""
        return self._recorder.find_completion(key)

    def retry_outcomes(self) -> None:
        """Retries the outcomes that are due now."""
        self._recorder.retry_due()

    def _limit(self, until_ms: float) -> float:
        now_ms = self._kernel.clock.now_ms()
        return min(until_ms, now_ms + self._kernel.settings.orders.commit_timeout_ms)

    def _pick_range(self, key: str) -> str:
        return pick_range(key, self._kernel.settings.orders.ranges)

    def _find_owner(self, key: str) -> str:
        best = rank_members(
            key=self._pick_range(key), members=self._membership.list_live(), count=1
        )
        return best[0].name if best else self._peers.identity.name

    def _resolve(self, command: Command, until_ms: float) -> tuple[Verdict, bool]:
        """Returns the verdict, and whether a verdict other than claimed is final."""
        certain = True
        owner = self._find_owner(command.key)
        if owner != self._peers.identity.name:
            now_ms = self._kernel.clock.now_ms()
            owner_until_ms = now_ms + (until_ms - now_ms) * OWNER_SHARE
            ticket = self._create_ticket(command, owner_until_ms)
            queued = self._ask_owner(owner, ticket)
            verdict = ticket.wait(owner_until_ms) if queued else None
            match verdict:
                case None | Unavailable():
                    certain = not queued
                case _:
                    return verdict, True
        ticket = self._create_ticket(command, until_ms)
        self._open_committer(self._pick_range(command.key)).enqueue(ticket)
        verdict = ticket.wait(until_ms)
        if verdict is None:
            return Unavailable(reason=REASON_NO_ANSWER), False
        return verdict, certain and not isinstance(verdict, Unavailable)

    def _create_ticket(self, command: Command, until_ms: float) -> PendingCommand:
        return PendingCommand(
            command=command, until_ms=until_ms, clock=self._kernel.clock
        )

    def _send_outcome(self, ticket: PendingCommand, tries: int) -> None:
        owner = self._find_owner(ticket.command.key)
        # An owner that does not answer is passed over by every second try.
        if owner != self._peers.identity.name and tries % 2 == 1:
            if not self._ask_owner(owner, ticket):
                ticket.finish(Unavailable(reason=REASON_PEER_LOST))
            return
        self._open_committer(self._pick_range(ticket.command.key)).enqueue(ticket)

    def _ask_owner(self, owner: str, ticket: PendingCommand) -> bool:
        call_id = f"{self._peers.identity.incarnation:x}-{next(self._counter)}"
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            self._calls = {
                known_id: call
                for known_id, call in self._calls.items()
                if call.ticket.until_ms > now_ms
            }
            self._calls[call_id] = LedgerCall(owner=owner, ticket=ticket)
        request = create_request(
            call_id=call_id,
            command=ticket.command,
            remaining_ms=ticket.until_ms - now_ms,
        )
        if isinstance(self._peers.send(owner, request), Err):
            with self._lock:
                self._calls.pop(call_id, None)
            return False
        return True

    def _open_committer(self, name: str) -> Committer:
        with self._lock:
            if name not in self._committers:
                self._committers[name] = Committer(
                    name=name, kernel=self._kernel, platform=self._platform
                )
            return self._committers[name]

    def _handle_request(self, sender: InstanceIdentity, message: Request) -> None:
        orders = self._kernel.settings.orders
        remaining_ms = getattr(message, "remaining_ms", orders.commit_timeout_ms)

        def send_verdict(verdict: Verdict) -> None:
            if self._peers.get_incarnation(sender.name) == sender.incarnation:
                self._peers.send(sender.name, create_reply(message.call_id, verdict))

        ticket = PendingCommand(
            command=read_request(message),
            until_ms=self._kernel.clock.now_ms() + remaining_ms,
            clock=self._kernel.clock,
            on_done=send_verdict,
        )
        self._open_committer(self._pick_range(message.key)).enqueue(ticket)

    def _handle_reply(self, sender: InstanceIdentity, reply: LedgerReply) -> None:
        with self._lock:
            call = self._calls.get(reply.call_id)
            if call is None or call.owner != sender.name:
                metrics.dropped_total.inc({"reason": "late_or_foreign_ledger_reply"})
                return
            del self._calls[reply.call_id]
        call.ticket.finish(read_reply(reply))

    def _handle_lost(self, event: PeerLost) -> None:
        with self._lock:
            lost = [
                call_id
                for call_id, call in self._calls.items()
                if call.owner == event.instance
            ]
            calls = [self._calls.pop(call_id) for call_id in lost]
        for call in calls:
            call.ticket.finish(Unavailable(reason=REASON_PEER_LOST))


def create_request(*, call_id: str, command: Command, remaining_ms: float) -> Request:
    """Returns the message that carries a command to a range's owner."""
    match command:
        case Claim():
            return ClaimRequest(
                call_id=call_id,
                key=command.key,
                attempt=command.attempt,
                digest=command.digest,
                caller=command.caller,
                service=command.service,
                remaining_ms=remaining_ms,
            )
        case Complete():
            return OutcomeRecord(
                call_id=call_id,
                key=command.key,
                attempt=command.attempt,
                state="completed",
                digest=command.digest,
                caller=command.caller,
                upstream=command.upstream,
                reply=command.reply,
            )
        case Release():
            return OutcomeRecord(
                call_id=call_id,
                key=command.key,
                attempt=command.attempt,
                state="released",
                digest=command.digest,
                caller=command.caller,
            )
        case LookUp():
            return LedgerQuery(
                call_id=call_id, key=command.key, remaining_ms=remaining_ms
            )


def read_request(message: Request) -> Command:
    """Returns the command that a message carries."""
    match message:
        case ClaimRequest():
            return Claim(
                key=message.key,
                attempt=message.attempt,
                digest=message.digest,
                caller=message.caller,
                service=message.service,
            )
        case OutcomeRecord(state="completed"):
            return Complete(
                key=message.key,
                attempt=message.attempt,
                digest=message.digest,
                caller=message.caller,
                upstream=message.upstream,
                reply=message.reply,
            )
        case OutcomeRecord():
            return Release(
                key=message.key,
                attempt=message.attempt,
                digest=message.digest,
                caller=message.caller,
            )
        case LedgerQuery():
            return LookUp(key=message.key)


def create_reply(call_id: str, verdict: Verdict) -> LedgerReply:
    """Returns the message that carries a verdict to the entry."""
    match verdict:
        case Found(entry=entry):
            encoded = {"key": entry.key, **encode_entry(entry)}
            return LedgerReply(call_id=call_id, verdict="found", entry=encoded)
        case Rejected(code=code):
            return LedgerReply(call_id=call_id, verdict="rejected", code=code)
        case Unavailable(reason=reason):
            return LedgerReply(call_id=call_id, verdict="unavailable", code=reason)
        case Claimed():
            return LedgerReply(call_id=call_id, verdict="claimed")
        case Recorded():
            return LedgerReply(call_id=call_id, verdict="recorded")
        case Absent():
            return LedgerReply(call_id=call_id, verdict="absent")


def read_reply(reply: LedgerReply) -> Verdict:
    """Returns the verdict that a message carries."""
    match reply.verdict:
        case "claimed":
            return Claimed()
        case "found":
            fields = dict(reply.entry)
            return Found(entry=decode_entry(fields.pop("key"), fields))
        case "absent":
            return Absent()
        case "recorded":
            return Recorded()
        case "rejected":
            return Rejected(code=reply.code)
        case _:
            return Unavailable(reason=reply.code)
