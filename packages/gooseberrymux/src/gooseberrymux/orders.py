"""Entry side of an order: checks, routing, claim, and the outcome by key."""

import threading

import uuid6
from result import Err, Ok, Result

from gooseberrymux import exchange, journal
from gooseberrymux.attempts import (
    CODE_NO_REPLICA,
    MESSAGE_MAY_HAVE_RUN,
    Attempt,
    Attempts,
    create_completed,
    refuse,
)
from gooseberrymux.calls import Calls, UnexpectedOutcome
from gooseberrymux.claim_entries import ClaimEntry, ClaimState
from gooseberrymux.claims import Claims
from gooseberrymux.configuration import ConfigurationService
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.keys import check_age, hash_order, pick_shard
from gooseberrymux.ledger import (
    Absent,
    Claim,
    Claimed,
    Complete,
    Found,
    Rejected,
    Unavailable,
)
from gooseberrymux.records import (
    LookedUpOutcome,
    Order,
    OrderCompleted,
    OrderNotFound,
    OrderNotRun,
    OrderOutcome,
    OrderUnknown,
    OutcomeUnavailable,
    Refusal,
    RunState,
    UpstreamRecord,
)
from gooseberrymux.routing import Routing
from gooseberrymux.selectors import Route, resolve
from gooseberrymux.snapshots import Snapshots

# Outcome lookups open connections beside the owner's, so they are kept few.
LOOKUPS_AT_ONCE = 2
LOOKUP_TIMEOUT_MS = 500

CODE_KEY_REUSED = "key_reused"
CODE_CLAIM_UNAVAILABLE = "claim_unavailable"
CODE_OUTCOME_UNAVAILABLE = "outcome_unavailable"
CODE_LEAVING = "instance_leaving"
CODE_NOT_READY = "not_ready"


@service(
    "orders",
    requires=("calls", "claims", "configuration", "snapshots", "inventory", "routing"),
)
class Orders:
    """Runs orders, each in its caller's thread."""

    __slots__ = (
        "_kernel",
        "_calls",
        "_claims",
        "_configuration",
        "_snapshots",
        "_inventory",
        "_running",
        "_attempts",
        "_changed",
        "_draining",
        "_lookups",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._calls = kernel.find("calls", Calls)
        self._claims = kernel.find("claims", Claims)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._snapshots = kernel.find("snapshots", Snapshots)
        self._inventory = kernel.find("inventory", Inventory)
        self._running: dict[str, Order] = {}
        self._attempts = Attempts(
            clock=kernel.clock,
            calls=self._calls,
            claims=self._claims,
            inventory=self._inventory,
            routing=kernel.find("routing", Routing),
        )
        self._changed = threading.Condition()
        self._draining = False
        self._lookups = threading.Semaphore(LOOKUPS_AT_ONCE)
        kernel.subscribe(UnexpectedOutcome, self._attempts.handle_late)

    def start(self) -> None:
        """Nothing to start: orders run in their callers' threads."""

    def drain(self, deadline_ms: float) -> None:
        """Refuses new orders and waits for those in flight."""
        with self._changed:
            self._draining = True
            while self._running:
                left_ms = deadline_ms - self._kernel.clock.now_ms()
                if left_ms <= 0:
                    break
                self._kernel.clock.wait(self._changed, left_ms)
            left = [order.key for order in self._running.values()]
        if left:
            journal.record_event("orders.cut_off", level="error", keys=left)

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the orders in flight, for the administration API."""
        return {
            "in_flight": len(self._running),
            "awaiting_late": self._attempts.count_late(),
        }

    def run(self, order: Order) -> OrderOutcome:
        """Runs an order at most once, whatever was done with its key before."""
        with self._changed:
            if self._draining:
                return OrderNotRun(
                    key=order.key,
                    refusal=refuse(CODE_LEAVING, "this instance is leaving"),
                )
            self._running[order.request_id] = order
        try:
            outcome = self._run(order)
        finally:
            with self._changed:
                del self._running[order.request_id]
                self._changed.notify_all()
        journal.record_event(
            "orders.outcome",
            key=order.key,
            request_id=order.request_id,
            outcome=type(outcome).__name__,
        )
        return outcome

    def find_outcome(
        self, *, key: str, caller: str, until_ms: float
    ) -> LookedUpOutcome:
        """Returns what became of the order with a key, as far as is known.

        Args:
            key: Idempotency key.
            caller: Who asks; the order of another caller is not found.
            until_ms: Monotonic time in milliseconds by which to answer.
        """
        completion = self._claims.find_completion(key)
        if completion:
            return (
                create_completed(completion)
                if completion.caller == caller
                else OrderNotFound(key=key)
            )
        match self._claims.look_up(key, until_ms):
            case Found(entry=entry) if entry.caller == caller:
                return self._read_entry(entry, until_ms)
            case Found() | Absent():
                return OrderNotFound(key=key)
            case Rejected(code=code):
                refusal = refuse_lookup(code, "the key's claim is no longer kept")
            case _ if self._is_running(key, caller):
                return OrderUnknown(key=key, message=MESSAGE_MAY_HAVE_RUN)
            case _:
                refusal = refuse_lookup(
                    CODE_OUTCOME_UNAVAILABLE, "the platform does not answer"
                )
        return OutcomeUnavailable(key=key, refusal=refusal)

    def _run(self, order: Order) -> OrderOutcome:
        match self._prepare(order):
            case Err(refusal):
                return OrderNotRun(key=order.key, refusal=refusal)
            case Ok(attempt):
                pass
        claim = Claim(
            key=order.key,
            attempt=attempt.id,
            digest=attempt.digest,
            caller=order.traffic.caller,
            service=attempt.service,
        )
        match self._claims.claim(claim, order.deadline_ms):
            case Claimed():
                return self._attempts.run(attempt)
            case Found(entry=entry) if entry.digest == attempt.digest:
                return self._read_entry(entry, order.deadline_ms)
            case Found():
                refusal = refuse(CODE_KEY_REUSED, "the key belongs to another order")
            case Rejected(code=code):
                refusal = refuse(code, "the claim was refused")
            case Unavailable(reason=reason):
                refusal = refuse(
                    CODE_CLAIM_UNAVAILABLE,
                    f"the claim can't be known to be written: {reason}",
                )
        return OrderNotRun(key=order.key, refusal=refusal)

    def _prepare(self, order: Order) -> Result[Attempt, Refusal]:
        settings = self._kernel.settings.orders
        wall_ms = self._kernel.clock.wall_ms()
        if problem := check_age(order.key, wall_ms=wall_ms, settings=settings):
            return Err(problem)
        configuration = self._configuration.get_current()
        if configuration is None:
            return Err(refuse(CODE_NOT_READY, "no configuration is known yet"))
        return resolve(configuration=configuration, traffic=order.traffic).and_then(
            lambda route: self._create_attempt(order, route)
        )

    def _create_attempt(self, order: Order, route: Route) -> Result[Attempt, Refusal]:
        match self._snapshots.pin(route.index):
            case Err(refusal):
                return Err(refusal)
            case Ok(snapshot):
                pass
        if not snapshot.shards:
            return Err(refuse(CODE_NO_REPLICA, f"index {route.index!r} has no shard"))
        shard = pick_shard(order.key, snapshot.shards)
        attempt = Attempt(
            id=f"{order.request_id}/{uuid6.uuid7()}",
            order=order,
            digest=hash_order(traffic=order.traffic, body=order.body),
            service=snapshot.shards[shard],
            route=route,
        )
        if not self._attempts.list_replicas(attempt):
            # Refused before the claim, so that it costs no write.
            return Err(refuse(CODE_NO_REPLICA, f"shard {shard!r} has no live replica"))
        return Ok(attempt)

    def _read_entry(self, entry: ClaimEntry, until_ms: float) -> OrderOutcome:
        match entry.state:
            case ClaimState.COMPLETED:
                return OrderCompleted(
                    key=entry.key,
                    upstream=entry.upstream,
                    reply=entry.reply,
                    reply_omitted=entry.reply_omitted,
                )
            case ClaimState.RELEASED:
                return OrderNotRun(
                    key=entry.key, refusal=refuse("released", "the order was not run")
                )
            case ClaimState.CLAIMED:
                completion = self._claims.find_completion(
                    entry.key
                ) or self._ask_upstreams(entry, until_ms)
                if completion:
                    return create_completed(completion)
                return OrderUnknown(key=entry.key, message=MESSAGE_MAY_HAVE_RUN)

    def _ask_upstreams(self, entry: ClaimEntry, until_ms: float) -> Complete | None:
        """Asks the upstreams that may have run an order, where a group allows it."""
        configuration = self._configuration.get_current()
        groups = configuration.groups if configuration else ()
        replicas = self._inventory.list_replicas(
            groups=tuple(group for group in groups if group.outcome_lookup),
            service_name=entry.service,
        )
        if not replicas or not self._lookups.acquire(blocking=False):
            return None
        try:
            return self._ask_each(entry, replicas, until_ms)
        finally:
            self._lookups.release()

    def _ask_each(
        self, entry: ClaimEntry, replicas: tuple[UpstreamRecord, ...], until_ms: float
    ) -> Complete | None:
        for record in replicas:
            left_ms = until_ms - self._kernel.clock.now_ms()
            if left_ms <= 0:
                return None
            found = exchange.look_up_order(
                record=record,
                key=entry.key,
                timeout_ms=min(left_ms, LOOKUP_TIMEOUT_MS),
            )
            match found:
                case Ok(dict(reply)):
                    completion = Complete(
                        key=entry.key,
                        attempt=entry.attempt,
                        digest=entry.digest,
                        caller=entry.caller,
                        upstream=record.name,
                        reply=reply,
                    )
                    self._claims.record(completion)
                    return completion
                case Err(reason):
                    journal.record_event(
                        "orders.lookup_failed", peer=record.name, reason=reason
                    )
                case _:
                    # "Not found" proves nothing: the order may be on its way.
                    pass
        return None

    def _is_running(self, key: str, caller: str) -> bool:
        with self._changed:
            return any(
                order.key == key and order.traffic.caller == caller
                for order in self._running.values()
            )


def refuse_lookup(code: str, message: str) -> Refusal:
    """Returns why an outcome can't be told; the order may have run."""
    return Refusal(
        code=code,
        message=message,
        run_state=RunState.UNKNOWN,
        step="orders.find_outcome",
    )
