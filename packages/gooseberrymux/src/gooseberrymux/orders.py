"""Orders that callers submit to this entry instance, and lookups of their outcomes.

A submitted order is checked, routed to a shard and claimed under its idempotency key.
Only the attempt that holds the claim is dispatched, so an order runs at most once.
"""

import threading

import uuid6
from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.attempts import (
    CODE_NO_REPLICA,
    MESSAGE_MAY_HAVE_RUN,
    Attempt,
    AttemptDispatcher,
    create_completed_outcome,
    create_run_refusal,
)
from gooseberrymux.calls import Calls, UnexpectedOutcome
from gooseberrymux.claim_entries import ClaimEntry, ClaimState
from gooseberrymux.claims import Claims
from gooseberrymux.configuration import ConfigurationService
from gooseberrymux.exchange import create_subrequest_connection
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

# An outcome lookup opens its own connection to an upstream, in addition to those of the
# upstream's owner, so only a few run at the same time.
MAX_CONCURRENT_LOOKUPS = 2
LOOKUP_TIMEOUT_MS = 500

CODE_KEY_REUSED = "key_reused"
CODE_CLAIM_UNAVAILABLE = "claim_unavailable"
CODE_OUTCOME_UNAVAILABLE = "outcome_unavailable"
CODE_INSTANCE_LEAVING = "instance_leaving"
CODE_NOT_READY = "not_ready"


@service(
    "orders",
    requires=(
        "calls",
        "claims",
        "configuration",
        "snapshots",
        "inventory",
        "reply_memory",
        "routing",
    ),
)
class Orders:
    """Runs orders, each in the thread that handles the caller's request."""

    __slots__ = (
        "_kernel",
        "_calls",
        "_claims",
        "_configuration",
        "_snapshots",
        "_inventory",
        "_in_flight",
        "_attempt_dispatcher",
        "_changed",
        "_draining",
        "_lookup_slots",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._calls = kernel.find("calls", Calls)
        self._claims = kernel.find("claims", Claims)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._snapshots = kernel.find("snapshots", Snapshots)
        self._inventory = kernel.find("inventory", Inventory)
        self._in_flight: dict[str, Order] = {}
        self._attempt_dispatcher = AttemptDispatcher(
            clock=kernel.clock,
            calls=self._calls,
            claims=self._claims,
            inventory=self._inventory,
            routing=kernel.find("routing", Routing),
        )
        self._changed = threading.Condition()
        self._draining = False
        self._lookup_slots = threading.Semaphore(MAX_CONCURRENT_LOOKUPS)
        kernel.subscribe(
            UnexpectedOutcome, self._attempt_dispatcher.handle_late_outcome
        )

    def start(self) -> None:
        """Does nothing: orders run in the threads that handle the requests."""

    def drain(self, deadline_ms: float) -> None:
        """Refuses new orders and waits for those in flight.

        Args:
            deadline_ms: Monotonic time in milliseconds at which the wait ends. The keys
                of orders that are still in flight then are logged.
        """
        with self._changed:
            self._draining = True
            while self._in_flight:
                remaining_ms = deadline_ms - self._kernel.clock.now_ms()
                if remaining_ms <= 0:
                    break
                self._kernel.clock.wait(self._changed, remaining_ms)
            unfinished_keys = [order.key for order in self._in_flight.values()]
        if unfinished_keys:
            journal.record_event("orders.cut_off", level="error", keys=unfinished_keys)

    def stop(self) -> None:
        """Does nothing: this service has no thread."""

    def describe(self) -> dict:
        """Returns the counts for the administration API.

        `awaiting_late` counts the sub-requests whose outcome may still arrive.
        """
        return {
            "in_flight": len(self._in_flight),
            "awaiting_late": self._attempt_dispatcher.count_pending_dispatches(),
        }

    def run(self, order: Order) -> OrderOutcome:
        """Runs an order, unless its key was used before for an order that may have run.

        Blocks the calling thread until the outcome, at most until about the order's
        deadline. A key that was claimed before gets the outcome of that claim.
        """
        with self._changed:
            if self._draining:
                return OrderNotRun(
                    key=order.key,
                    refusal=create_run_refusal(
                        CODE_INSTANCE_LEAVING, "this instance is shutting down"
                    ),
                )
            self._in_flight[order.request_id] = order
        try:
            outcome = self._claim_and_run(order)
        finally:
            with self._changed:
                del self._in_flight[order.request_id]
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
        """Returns the outcome of the order with a key, as far as it can be found.

        Args:
            key: Idempotency key.
            caller: Name of the caller who asks. Orders of other callers are reported as
                not found.
            until_ms: Monotonic time in milliseconds by which to return.
        """
        completion = self._claims.find_completion(key)
        if completion:
            return (
                create_completed_outcome(completion)
                if completion.caller == caller
                else OrderNotFound(key=key)
            )
        match self._claims.look_up(key, until_ms):
            case Found(entry=entry) if entry.caller == caller:
                return self._get_entry_outcome(entry, until_ms)
            case Found() | Absent():
                return OrderNotFound(key=key)
            case Rejected(code=code):
                refusal = create_lookup_refusal(
                    code, "the claim of the key is no longer stored"
                )
            case _ if self._is_in_flight(key, caller):
                return OrderUnknown(key=key, message=MESSAGE_MAY_HAVE_RUN)
            case _:
                refusal = create_lookup_refusal(
                    CODE_OUTCOME_UNAVAILABLE, "the platform is unavailable"
                )
        return OutcomeUnavailable(key=key, refusal=refusal)

    def _claim_and_run(self, order: Order) -> OrderOutcome:
        match self._prepare_attempt(order):
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
                return self._attempt_dispatcher.run(attempt)
            case Found(entry=entry) if entry.digest == attempt.digest:
                return self._get_entry_outcome(entry, order.deadline_ms)
            case Found():
                refusal = create_run_refusal(
                    CODE_KEY_REUSED, "the idempotency key was used for another order"
                )
            case Rejected(code=code):
                refusal = create_run_refusal(code, "the claim was rejected")
            case Unavailable(reason=reason):
                refusal = create_run_refusal(
                    CODE_CLAIM_UNAVAILABLE,
                    f"the claim is not confirmed as written: {reason}",
                )
        return OrderNotRun(key=order.key, refusal=refusal)

    def _prepare_attempt(self, order: Order) -> Result[Attempt, Refusal]:
        settings = self._kernel.settings.orders
        wall_ms = self._kernel.clock.wall_ms()
        if refusal := check_age(order.key, wall_ms=wall_ms, settings=settings):
            return Err(refusal)
        configuration = self._configuration.get_current()
        if configuration is None:
            return Err(
                create_run_refusal(
                    CODE_NOT_READY, "this instance has no configuration yet"
                )
            )
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
            return Err(
                create_run_refusal(
                    CODE_NO_REPLICA, f"index {route.index!r} has no shards"
                )
            )
        shard = pick_shard(order.key, snapshot.shards)
        attempt = Attempt(
            id=f"{order.request_id}/{uuid6.uuid7()}",
            order=order,
            digest=hash_order(traffic=order.traffic, body=order.body),
            service=snapshot.shards[shard],
            route=route,
        )
        if not self._attempt_dispatcher.list_replicas(attempt):
            # Refused before the claim is made, which saves a write to the platform.
            return Err(
                create_run_refusal(
                    CODE_NO_REPLICA, f"shard {shard!r} has no live replica"
                )
            )
        return Ok(attempt)

    def _get_entry_outcome(self, entry: ClaimEntry, until_ms: float) -> OrderOutcome:
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
                    key=entry.key,
                    refusal=create_run_refusal("released", "the order was not run"),
                )
            case ClaimState.CLAIMED:
                completion = self._claims.find_completion(
                    entry.key
                ) or self._query_upstreams(entry, until_ms)
                if completion:
                    return create_completed_outcome(completion)
                return OrderUnknown(key=entry.key, message=MESSAGE_MAY_HAVE_RUN)

    def _query_upstreams(self, entry: ClaimEntry, until_ms: float) -> Complete | None:
        """Asks the upstreams that may have run an order for its outcome.

        Only upstreams of groups with `outcome_lookup` are asked. Returns None if the
        outcome is not found or too many lookups already run.
        """
        configuration = self._configuration.get_current()
        groups = configuration.groups if configuration else ()
        replicas = self._inventory.list_replicas(
            groups=tuple(group for group in groups if group.outcome_lookup),
            service_name=entry.service,
        )
        if not replicas or not self._lookup_slots.acquire(blocking=False):
            return None
        try:
            return self._query_each_upstream(entry, replicas, until_ms)
        finally:
            self._lookup_slots.release()

    def _query_each_upstream(
        self, entry: ClaimEntry, replicas: tuple[UpstreamRecord, ...], until_ms: float
    ) -> Complete | None:
        for replica in replicas:
            remaining_ms = until_ms - self._kernel.clock.now_ms()
            if remaining_ms <= 0:
                return None
            connection = create_subrequest_connection(
                record=replica,
                kernel=self._kernel,
                check_send=self._inventory.find_obstacle,
            )
            lookup = connection.look_up_order(
                entry.key, min(remaining_ms, LOOKUP_TIMEOUT_MS)
            )
            connection.close()
            match lookup:
                case Ok(dict(reply)):
                    completion = Complete(
                        key=entry.key,
                        attempt=entry.attempt,
                        digest=entry.digest,
                        caller=entry.caller,
                        upstream=replica.name,
                        reply=reply,
                    )
                    self._claims.record(completion)
                    return completion
                case Err(reason):
                    journal.record_event(
                        "orders.lookup_failed", peer=replica.name, reason=reason
                    )
                case _:
                    # That an upstream does not know the order proves nothing: the order
                    # may still be on its way to the upstream.
                    pass
        return None

    def _is_in_flight(self, key: str, caller: str) -> bool:
        with self._changed:
            return any(
                order.key == key and order.traffic.caller == caller
                for order in self._in_flight.values()
            )


def create_lookup_refusal(code: str, message: str) -> Refusal:
    """Returns the refusal of an outcome lookup; its order may have run."""
    return Refusal(
        code=code,
        message=message,
        run_state=RunState.UNKNOWN,
        step="orders.find_outcome",
    )
