"""Quotas of workspaces: asks the owner of a workspace for tokens, and grants them.

`quota_balances` decides what this instance requests as an entry, `quota_grants` what it
grants as an owner or stand-in, `quota_members` whom it asks. This module connects them
to the peers, the clock and the threads of callers.
"""

import threading

from gooseberrymux import journal, metrics
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.documents import DocumentChanged
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import LiveChanged, Membership
from gooseberrymux.peers import Peers
from gooseberrymux.quota_answers import (
    Admitted,
    Answer,
    Exceeded,
    Granted,
    Redirected,
    Unanswered,
    Waiter,
    describe_answers,
    find_retry_ms,
    read_grant,
)
from gooseberrymux.quota_balances import QuotaBalances
from gooseberrymux.quota_grants import TICK_MS, QuotaGrants
from gooseberrymux.quota_limits import QuotaLimit, QuotaTolerance
from gooseberrymux.quota_members import QuotaMembers
from gooseberrymux.quota_messages import QuotaGrant, QuotaRequest
from gooseberrymux.records import InstanceIdentity, MemberState
from gooseberrymux.routes import ROUTES_DOCUMENT_NAME, Routes, Workspace
from gooseberrymux.timers import Timers

# Longest wait for one member's answer. A round trip takes 3 to 4 ms.
ANSWER_WAIT_MS = 40.0
# A member that left a request unanswered is asked last for this long, which is how
# long membership takes to notice that it is gone.
UNANSWERED_MEMORY_MS = 1_000.0
# An instance that has just started hears from most members within this time. Until then
# it may take itself for an owner whose predecessor it does not know yet.
JOIN_MS = 10_000.0
# Owner, stand-in, and a member that one of them names as the owner.
MAX_ASKED_MEMBERS = 3


@service("quotas", requires=("peers", "membership", "routes", "timers"))
class Quotas:
    """Keeps the requests of each workspace within its quota, over all instances.

    Thread-safe: `_lock` guards the balances, the grants, the members and the waiters.
    The lock of `membership` may be taken within it, never the other way round.
    """

    __slots__ = (
        "_clock",
        "_peers",
        "_membership",
        "_routes",
        "_timers",
        "_tolerance",
        "_members",
        "_balances",
        "_grants",
        "_started_ms",
        "_limits",
        "_waiters",
        "_unanswered_ms",
        "_are_members_current",
        "_is_ticking",
        "_stopping",
        "_lock",
    )

    def __init__(self, *, kernel: Kernel):
        self._clock = kernel.clock
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._routes = kernel.find("routes", Routes)
        self._timers = kernel.find("timers", Timers)
        settings = kernel.settings.quotas
        self._tolerance = QuotaTolerance(
            window_ms=settings.window_s * MS_PER_S,
            share=settings.tolerance_share,
            requests=settings.tolerance_requests,
        )
        self._members = QuotaMembers(
            own_name=self._peers.identity.name,
            max_owners=kernel.settings.forwarding.owners,
        )
        self._balances = QuotaBalances(lapse_ms=self._tolerance.lapse_ms)
        self._grants = QuotaGrants(
            tolerance=self._tolerance,
            find_role=self._members.find_role,
            started_ms=self._clock.boot_ms(),
        )
        self._started_ms = self._clock.now_ms()
        self._limits: dict[str, QuotaLimit] = {}
        self._waiters: dict[int, Waiter] = {}
        # When a member last left a request unanswered.
        self._unanswered_ms: dict[str, float] = {}
        self._are_members_current = False
        self._is_ticking = False
        self._stopping = False
        self._lock = threading.Lock()
        self._peers.register(QuotaRequest, self._handle_request)
        self._peers.register(QuotaGrant, self._handle_grant)
        kernel.subscribe(DocumentChanged, self._handle_document)
        kernel.subscribe(LiveChanged, self._handle_live_changed)

    def start(self) -> None:
        """Does nothing: the service has no thread of its own."""

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: requests in progress may still need tokens."""

    def stop(self) -> None:
        """Ends the ticks."""
        self._stopping = True

    def describe(self) -> dict:
        """Returns for the status what this instance grants and holds."""
        now_ms = self._clock.boot_ms()
        with self._lock:
            self._refresh_members(now_ms)
            granting = [self._members.list_granting(name) for name in self._limits]
            return {
                "limited_workspaces": len(self._limits),
                "owned": sum(self._is_own(names[:1]) for names in granting),
                "standing_in": sum(self._is_own(names[1:]) for names in granting),
                "share": round(self._members.share, 3),
                "granted_ahead": self._grants.count_held(now_ms),
                "held": self._balances.count_held(now_ms),
                "waiting": len(self._waiters),
            }

    def acquire(
        self, workspace: Workspace | None, *, until_ms: float
    ) -> Admitted | Exceeded:
        """Spends a token for one request; waits for it if this instance holds none.

        Args:
            workspace: The workspace of the request; without a rate there is no limit.
            until_ms: Monotonic time until which to wait at most.
        """
        if workspace is None or not workspace.rate_per_s:
            return Admitted()
        name = workspace.name
        now_ms = self._clock.boot_ms()
        with self._lock:
            self._refresh_members(now_ms)
            is_held = self._balances.spend(name, now_ms)
            refused_ms = None
            if not is_held:
                refused_ms = self._balances.find_refusal_ms(
                    name, rate_per_s=workspace.rate_per_s, now_ms=now_ms
                )
        if is_held:
            metrics.quota_requests_total.inc({"outcome": "held"})
            self._request_ahead(workspace)
            return Admitted()
        if refused_ms is not None:
            # The refusal just before has its log line; a workspace far above its quota
            # would otherwise write one for each request.
            metrics.quota_requests_total.inc({"outcome": "refused"})
            reason = "refused to this instance just before"
            return Exceeded(retry_after_ms=refused_ms, reason=reason)
        return self._ask_members(workspace, until_ms)

    def _ask_members(
        self, workspace: Workspace, until_ms: float
    ) -> Admitted | Exceeded:
        """Asks the owner for a token, then the stand-in."""
        started_ms = self._clock.now_ms()
        targets = self._list_targets(workspace.name)
        answers: dict[str, Answer] = {}
        while targets and len(answers) < MAX_ASKED_MEMBERS:
            target = targets.pop(0)
            answer = self._ask(workspace, target, until_ms)
            answers[target] = answer
            match answer:
                case Granted():
                    self._record_granted(answers, started_ms)
                    self._request_ahead(workspace)
                    return Admitted()
                case Redirected(owner=owner) if owner and owner not in answers:
                    targets = [owner, *(name for name in targets if name != owner)]
                case _:
                    pass
        retry_after_ms = find_retry_ms(answers, default_ms=self._tolerance.lapse_ms)
        with self._lock:
            self._balances.record_refusal(
                workspace.name,
                retry_after_ms=retry_after_ms,
                now_ms=self._clock.boot_ms(),
            )
        return self._refuse(
            workspace,
            retry_after_ms=retry_after_ms,
            reason=describe_answers(answers),
        )

    def _list_targets(self, workspace: str) -> list[str]:
        """Returns the owner and the stand-in; one that did not answer comes last.

        An instance that has just started leaves itself out; if the others see it as the
        owner too, they name it.
        """
        now_ms = self._clock.now_ms()
        is_new = now_ms - self._started_ms < JOIN_MS
        with self._lock:
            granting = self._members.list_granting(workspace)
            if is_new and self._members.has_unheard_members:
                granting = tuple(name for name in granting if not self._is_own((name,)))
            return sorted(
                granting,
                key=lambda name: (
                    self._unanswered_ms.get(name, float("-inf"))
                    > now_ms - UNANSWERED_MEMORY_MS
                ),
            )

    def _ask(self, workspace: Workspace, target: str, until_ms: float) -> Answer:
        """Asks one member for a token and waits for the answer."""
        request, waiter = self._create_request(workspace, target)
        own = self._peers.identity
        if target == own.name:
            self._handle_grant(own, self._grant(request, own))
        elif self._peers.send(target, request).is_err():
            return self._end_wait(request.id, waiter)
        late_ms = self._clock.now_ms() + ANSWER_WAIT_MS
        with self._lock:
            while waiter.answer is None:
                now_ms = self._clock.now_ms()
                if now_ms >= late_ms:
                    self._unanswered_ms[target] = now_ms
                if now_ms >= min(until_ms, late_ms):
                    break
                self._clock.wait(waiter.answered, min(until_ms, late_ms) - now_ms)
        return self._end_wait(request.id, waiter)

    def _end_wait(self, request_id: int, waiter: Waiter) -> Answer:
        with self._lock:
            self._waiters.pop(request_id, None)
            return waiter.answer or Unanswered()

    def _create_request(
        self, workspace: Workspace, target: str
    ) -> tuple[QuotaRequest, Waiter]:
        waiter = Waiter(target=target, lock=self._lock)
        with self._lock:
            request = self._open_request(workspace, target=target, tokens=1)
            self._waiters[request.id] = waiter
        return request, waiter

    def _open_request(
        self, workspace: Workspace, *, target: str, tokens: int, ahead: bool = False
    ) -> QuotaRequest:
        """Creates and records a request for tokens; the caller holds the lock."""
        table = self._routes.get_current()
        request_id = self._balances.open_request(
            workspace.name, ahead=ahead, target=target, now_ms=self._clock.boot_ms()
        )
        return QuotaRequest(
            id=request_id,
            workspace=workspace.name,
            tokens=tokens,
            ahead=ahead,
            closed_id=self._balances.find_closed_id(workspace.name),
            generation=table.generation if table else 0,
            rate_per_s=workspace.rate_per_s,
            burst=workspace.burst,
        )

    def _request_ahead(self, workspace: Workspace) -> None:
        """Asks the owner for tokens for later requests, without waiting for them."""
        with self._lock:
            granting = self._members.list_granting(workspace.name)
            # An owner needs no tokens ahead, as its own requests don't wait.
            if not granting or self._is_own(granting[:1]):
                return
            wanted = self._balances.plan_ahead(workspace.name, self._clock.boot_ms())
            if not wanted:
                return
            request = self._open_request(
                workspace, target=granting[0], tokens=wanted, ahead=True
            )
        self._peers.send(granting[0], request)

    def _grant(self, request: QuotaRequest, sender: InstanceIdentity) -> QuotaGrant:
        now_ms = self._clock.boot_ms()
        with self._lock:
            self._start_ticks(now_ms)
            self._refresh_members(now_ms)
            return self._grants.grant(request, sender=sender, now_ms=now_ms)

    def _handle_request(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, QuotaRequest)
        grant = self._grant(message, sender)
        kind = "ahead" if message.ahead else "awaited"
        result = "granted" if grant.tokens else "declined"
        metrics.quota_grants_total.inc({"kind": kind, "result": result})
        self._peers.send(sender.name, grant)

    def _handle_grant(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, QuotaGrant)
        with self._lock:
            self._unanswered_ms.pop(sender.name, None)
            waiter = self._waiters.pop(message.id, None)
            may_run = self._balances.record_grant(
                message, self._clock.boot_ms(), awaited=waiter is not None
            )
            if waiter is not None:
                waiter.set_answer(read_grant(message, may_run=may_run))

    def _handle_live_changed(self, event: LiveChanged) -> None:
        """Ends the waits for members that are gone."""
        self._are_members_current = False
        if not self._waiters:
            return
        silent = {
            member.instance
            for member in self._membership.list_members()
            if member.state in (MemberState.SUSPECT, MemberState.DEAD)
        }
        with self._lock:
            for waiter in self._waiters.values():
                if waiter.target in silent or self._peers.is_lost(waiter.target):
                    waiter.set_answer(Unanswered())

    def _handle_document(self, event: DocumentChanged) -> None:
        # `routes` has subscribed before, so that its table is the new one already.
        table = self._routes.get_current()
        if event.name != ROUTES_DOCUMENT_NAME or table is None:
            return
        now_ms = self._clock.boot_ms()
        with self._lock:
            self._limits = {
                workspace.name: QuotaLimit(
                    rate_per_s=workspace.rate_per_s,
                    burst=workspace.burst,
                    generation=table.generation,
                )
                for workspace in table.workspaces
                if workspace.rate_per_s
            }
            self._grants.set_limits(self._limits, now_ms)
            if self._limits:
                self._start_ticks(now_ms)

    def _start_ticks(self, now_ms: float) -> None:
        """Starts the ticks if there are none; the caller holds the lock."""
        if not self._is_ticking:
            self._is_ticking = True
            self._grants.start_ticks(now_ms)
            self._timers.call_at(self._clock.now_ms() + TICK_MS, self._tick)

    def _tick(self) -> None:
        """Notices a suspension and changes of the members; runs while quotas exist."""
        now_ms = self._clock.boot_ms()
        with self._lock:
            self._refresh_members(now_ms)
            was_suspended = self._grants.tick(now_ms)
            has_quotas = bool(self._limits) or not self._grants.is_empty
            self._is_ticking = has_quotas and not self._stopping
            if self._is_ticking:
                self._timers.call_at(self._clock.now_ms() + TICK_MS, self._tick)
        if was_suspended:
            journal.record_event("quotas.suspended")

    def _refresh_members(self, now_ms: float) -> None:
        """Applies changes of the members; the caller holds the lock."""
        if self._are_members_current:
            return
        self._are_members_current = True
        share = self._members.share
        changed = self._members.update(
            live=self._membership.list_live(), members=self._membership.list_members()
        )
        if changed:
            self._grants.handle_roles_changed(now_ms)
        if self._members.share != share:
            self._grants.set_share(self._members.share, now_ms)
            journal.record_event("quotas.share", share=round(self._members.share, 3))

    def _is_own(self, names: tuple[str, ...]) -> bool:
        return self._peers.identity.name in names

    def _record_granted(self, answers: dict[str, Answer], started_ms: float) -> None:
        outcome = "granted" if len(answers) == 1 else "granted_late"
        metrics.quota_requests_total.inc({"outcome": outcome})
        metrics.quota_wait_ms.observe({}, self._clock.now_ms() - started_ms)

    def _refuse(
        self, workspace: Workspace, *, retry_after_ms: float, reason: str
    ) -> Exceeded:
        metrics.quota_requests_total.inc({"outcome": "refused"})
        journal.record_event(
            "quotas.refused",
            workspace=workspace.name,
            rate_per_s=workspace.rate_per_s,
            burst=workspace.burst,
            share=round(self._members.share, 3),
            retry_after_ms=round(retry_after_ms),
            reason=reason,
        )
        return Exceeded(retry_after_ms=retry_after_ms, reason=reason)
