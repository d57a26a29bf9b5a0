"""Order claims: commits them through the owner of their key range, or directly.

Each key range has an owner, which commits the commands of all entry instances in groups
and so saves writes. Correctness does not depend on the owner: every commit is a
conditional update, so two instances that both act as owner, or an entry instance that
commits directly, are safe.
"""

import dataclasses
import itertools
import threading

from result import Err

from gooseberrymux import journal, metrics
from gooseberrymux.claim_entries import ClaimState, decode_entry, encode_entry
from gooseberrymux.group_commit import Committer, PendingCommand
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.keys import compute_range_name
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

# Share of a command's time that is spent on waiting for a remote owner. After that the
# entry instance commits the command directly; the rest is enough for one commit.
OWNER_TIME_SHARE = 0.5
# Kept short, because a platform outage must not delay the answer for an order that ran.
OUTCOME_RECORD_WAIT_MS = 250

REASON_PEER_LOST = "peer_lost"
REASON_NO_ANSWER = "no_answer"

LedgerRequest = ClaimRequest | OutcomeRecord | LedgerQuery


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LedgerCall:
    """A command that was sent to a remote owner and has no reply yet."""

    owner: str
    ticket: PendingCommand


@service("claims", requires=("platform", "peers", "membership"))
class Claims:
    """Claims keys for the orders of this entry instance and records their outcomes.

    Also commits the commands that other instances send to this one as a range's owner.
    """

    __slots__ = (
        "_kernel",
        "_platform",
        "_peers",
        "_membership",
        "_committers",
        "_pending_calls",
        "_lock",
        "_call_numbers",
        "_recorder",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._platform = kernel.find("platform", Platform)
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._committers: dict[str, Committer] = {}
        self._pending_calls: dict[str, LedgerCall] = {}
        self._lock = threading.Lock()
        self._call_numbers = itertools.count(1)
        self._recorder = OutcomeRecorder(
            clock=kernel.clock,
            commit=self._send_outcome,
            timeout_ms=kernel.settings.orders.commit_timeout_ms,
        )
        for message_type in (ClaimRequest, OutcomeRecord, LedgerQuery):
            self._peers.register(message_type, self._handle_request)
        self._peers.register(LedgerReply, self._handle_reply)
        kernel.subscribe(PeerLost, self._handle_peer_lost)

    def start(self) -> None:
        """Starts the thread that retries unrecorded outcomes and releases."""
        self._kernel.spawn(name="claims.recorder", target=self._recorder.run)

    def drain(self, deadline_ms: float) -> None:
        """Waits until all outcomes are recorded; logs those that are not in time."""
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
        """Ends the thread that retries unrecorded outcomes and releases."""
        self._recorder.stop()

    def describe(self) -> dict:
        """Returns the number of unrecorded outcomes, for the administration API."""
        return {"pending_outcomes": len(self._recorder.list_pending())}

    def claim(self, command: Claim, until_ms: float) -> Verdict:
        """Claims a key for an attempt; blocks until the verdict.

        Args:
            command: The claim; its attempt id must never have been used before.
            until_ms: Monotonic time in milliseconds by which to give up.

        Returns:
            Claimed if the claim is certainly written; only then may the attempt be
            dispatched. After any other verdict it must never be dispatched.
        """
        until_ms = self._cap_deadline(until_ms)
        verdict, is_final = self._execute(command, until_ms)
        if not isinstance(verdict, Claimed) and not is_final:
            # The claim may be in the ledger, if only the reply was lost, or be written
            # later by a delayed request. The release lets a later submission use the
            # key.
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
        """Records an outcome or a release in the background; does not block.

        The recording is retried until it succeeds.
        """
        self._recorder.record(command)

    def wait_until_recorded(self, attempt: str) -> None:
        """Waits briefly until the outcome or release of an attempt is recorded.

        With the wait, a resubmission after the answer normally finds the outcome.
        """
        self._recorder.wait_recorded(
            attempt, self._kernel.clock.now_ms() + OUTCOME_RECORD_WAIT_MS
        )

    def look_up(self, key: str, until_ms: float) -> Verdict:
        """Returns Found, Absent, Rejected (too old) or Unavailable for a key.

        While the platform is down, an entry that this instance has read or written
        before is returned, unless a later change could make it wrong.
        """
        verdict, _ = self._execute(LookUp(key=key), self._cap_deadline(until_ms))
        if isinstance(verdict, Unavailable):
            known_ledger = self._get_or_create_committer(
                self._get_range_name(key)
            ).get_cached_ledger()
            entry = known_ledger.entries.get(key) if known_ledger else None
            # Another instance may have claimed a released key since and run its order.
            if entry and entry.state is not ClaimState.RELEASED:
                return Found(entry=entry)
        return verdict

    def find_completion(self, key: str) -> Complete | None:
        """Returns the completion of a key that is not recorded yet, or None."""
        return self._recorder.find_completion(key)

    def retry_outcomes(self) -> None:
        """Retries the outcomes and releases that are due now."""
        self._recorder.retry_due()

    def _cap_deadline(self, until_ms: float) -> float:
        now_ms = self._kernel.clock.now_ms()
        return min(until_ms, now_ms + self._kernel.settings.orders.commit_timeout_ms)

    def _get_range_name(self, key: str) -> str:
        return compute_range_name(key, self._kernel.settings.orders.ranges)

    def _find_owner(self, key: str) -> str:
        ranked = rank_members(
            key=self._get_range_name(key), members=self._membership.list_live(), count=1
        )
        return ranked[0].name if ranked else self._peers.identity.name

    def _execute(self, command: Command, until_ms: float) -> tuple[Verdict, bool]:
        """Runs a command at the range's owner, or directly without its answer.

        Returns:
            The verdict, and whether a verdict other than `Claimed` is final. If it is
            not, the command may have taken effect or may still do so.
        """
        is_final = True
        owner = self._find_owner(command.key)
        if owner != self._peers.identity.name:
            now_ms = self._kernel.clock.now_ms()
            owner_until_ms = now_ms + (until_ms - now_ms) * OWNER_TIME_SHARE
            ticket = self._create_ticket(command, owner_until_ms)
            is_sent = self._send_to_owner(owner, ticket)
            verdict = ticket.wait(owner_until_ms) if is_sent else None
            match verdict:
                case None | Unavailable():
                    is_final = not is_sent
                case _:
                    return verdict, True
        ticket = self._create_ticket(command, until_ms)
        self._get_or_create_committer(self._get_range_name(command.key)).enqueue(ticket)
        verdict = ticket.wait(until_ms)
        if verdict is None:
            return Unavailable(reason=REASON_NO_ANSWER), False
        return verdict, is_final and not isinstance(verdict, Unavailable)

    def _create_ticket(self, command: Command, until_ms: float) -> PendingCommand:
        return PendingCommand(
            command=command, until_ms=until_ms, clock=self._kernel.clock
        )

    def _send_outcome(self, ticket: PendingCommand, tries: int) -> None:
        owner = self._find_owner(ticket.command.key)
        # Every second try commits directly, in case the owner does not answer.
        if owner != self._peers.identity.name and tries % 2 == 1:
            if not self._send_to_owner(owner, ticket):
                ticket.finish(Unavailable(reason=REASON_PEER_LOST))
            return
        self._get_or_create_committer(self._get_range_name(ticket.command.key)).enqueue(
            ticket
        )

    def _send_to_owner(self, owner: str, ticket: PendingCommand) -> bool:
        call_id = f"{self._peers.identity.incarnation:x}-{next(self._call_numbers)}"
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            self._pending_calls = {
                known_id: call
                for known_id, call in self._pending_calls.items()
                if call.ticket.until_ms > now_ms
            }
            self._pending_calls[call_id] = LedgerCall(owner=owner, ticket=ticket)
        request = create_request(
            call_id=call_id,
            command=ticket.command,
            remaining_ms=ticket.until_ms - now_ms,
        )
        if isinstance(self._peers.send(owner, request), Err):
            with self._lock:
                self._pending_calls.pop(call_id, None)
            return False
        return True

    def _get_or_create_committer(self, name: str) -> Committer:
        with self._lock:
            if name not in self._committers:
                self._committers[name] = Committer(
                    name=name, kernel=self._kernel, platform=self._platform
                )
            return self._committers[name]

    def _handle_request(self, sender: InstanceIdentity, message: LedgerRequest) -> None:
        orders = self._kernel.settings.orders
        remaining_ms = getattr(message, "remaining_ms", orders.commit_timeout_ms)

        def send_verdict(verdict: Verdict) -> None:
            if self._peers.get_incarnation(sender.name) == sender.incarnation:
                self._peers.send(sender.name, create_reply(message.call_id, verdict))

        ticket = PendingCommand(
            command=create_command(message),
            until_ms=self._kernel.clock.now_ms() + remaining_ms,
            clock=self._kernel.clock,
            on_done=send_verdict,
        )
        self._get_or_create_committer(self._get_range_name(message.key)).enqueue(ticket)

    def _handle_reply(self, sender: InstanceIdentity, reply: LedgerReply) -> None:
        with self._lock:
            call = self._pending_calls.get(reply.call_id)
            if call is None or call.owner != sender.name:
                metrics.dropped_total.inc({"reason": "late_or_foreign_ledger_reply"})
                return
            del self._pending_calls[reply.call_id]
        call.ticket.finish(create_verdict(reply))

    def _handle_peer_lost(self, event: PeerLost) -> None:
        with self._lock:
            lost_call_ids = [
                call_id
                for call_id, call in self._pending_calls.items()
                if call.owner == event.instance
            ]
            calls = [self._pending_calls.pop(call_id) for call_id in lost_call_ids]
        for call in calls:
            call.ticket.finish(Unavailable(reason=REASON_PEER_LOST))


def create_request(
    *, call_id: str, command: Command, remaining_ms: float
) -> LedgerRequest:
    """Returns the message that sends a command to a range's owner."""
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


def create_command(message: LedgerRequest) -> Command:
    """Returns the command of a message from an entry instance."""
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
    """Returns the message that sends a verdict back to the entry instance."""
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


def create_verdict(reply: LedgerReply) -> Verdict:
    """Returns the verdict of a message from a range's owner."""
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
