"""State of one forwarded request at the owner of its service, until its outcome."""

import dataclasses
import heapq
import itertools
from collections.abc import Callable

from gooseberrymux.connections import Connection, Exchange
from gooseberrymux.forward_messages import (
    AttemptRequest,
    ForwardCall,
    PartOutcome,
    PartReplied,
)
from gooseberrymux.merging import compute_flush_ms
from gooseberrymux.replicas import LatencyEstimate, Replica

REASON_NO_REPLICA = "no_replica"
# Upstreams work until the deadline that they are sent. It is earlier than the caller's
# deadline by this margin, so that the outcome still reaches the caller in time.
DEADLINE_MARGIN_MS = 8.0
# Part of the latency target that is reserved for what follows the upstream's reply:
# transfer to the entry instance, the wait for other parts, and the caller's answer.
ANSWER_RESERVE_MS = 10.0

# Requests in `KeptRequests` below which it does not look for those that were sent.
KEPT_MIN_LIMIT = 32

OutcomeCallback = Callable[[PartOutcome], None]
AttemptCallback = Callable[[AttemptRequest], None]


class PendingRequest:
    """A request for one service, from its arrival to its outcome.

    Not thread-safe: the pool that owns the request holds its lock around each access.
    Times are monotonic milliseconds.

    Attributes:
        call: The message that asks for the request.
        on_outcome: Called once with the outcome; must not block.
        request_attempt: Asks the entry for an attempt; must not block.
        requester: Instance that may cancel the request; empty for this instance.
        arrived_ms: When the request arrived.
        deadline_ms: When an outcome would no longer reach the caller in time.
        head: Encoded request line and end-to-end headers.
        latency: Estimated duration of one exchange on the request's route.
        active_exchanges: Exchanges with upstreams that have not ended.
        tried_upstreams: Names of the upstreams tried in this retry round.
        attempts_left: On how many more upstreams the request may run.
        attempts_on_request: On how many further ones it may run if the entry allows it.
        is_attempt_requested: Whether the entry was asked for an attempt and has not
            answered.
        awaits_retry: Whether the request is sent again once the entry has answered.
        send_count: Number of exchanges started so far.
        kept_until_ms: Until when the first send may wait for the owner's failure domain
            (`spillover`).
        first_send_ms: When the first exchange started.
        retry_rounds: How often all upstreams became eligible again.
        may_have_run: Whether an upstream may have run the request.
        settled: Whether the outcome is known or no longer wanted.
        last_failure: Reason code of the most recent failed exchange.
        error_reply: Latest reply with a 5xx status; returned if no exchange succeeds.
    """

    __slots__ = (
        "call",
        "on_outcome",
        "request_attempt",
        "requester",
        "arrived_ms",
        "deadline_ms",
        "head",
        "latency",
        "active_exchanges",
        "tried_upstreams",
        "attempts_left",
        "attempts_on_request",
        "is_attempt_requested",
        "awaits_retry",
        "send_count",
        "kept_until_ms",
        "first_send_ms",
        "retry_rounds",
        "may_have_run",
        "settled",
        "last_failure",
        "error_reply",
    )

    def __init__(
        self,
        *,
        call: ForwardCall,
        on_outcome: OutcomeCallback,
        request_attempt: AttemptCallback,
        requester: str,
        now_ms: float,
        head: bytes,
        latency: LatencyEstimate,
    ):
        self.call = call
        self.on_outcome = on_outcome
        self.request_attempt = request_attempt
        self.requester = requester
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + call.remaining_ms - DEADLINE_MARGIN_MS
        self.head = head
        self.latency = latency
        self.active_exchanges: list[PoolExchange] = []
        self.tried_upstreams: set[str] = set()
        self.attempts_left = call.attempts
        self.attempts_on_request = call.attempts_on_request
        self.is_attempt_requested = False
        self.awaits_retry = False
        self.send_count = 0
        self.kept_until_ms = float("-inf")
        self.first_send_ms: float | None = None
        self.retry_rounds = 0
        self.may_have_run = call.dispatched_before
        self.settled = False
        self.last_failure = REASON_NO_REPLICA
        self.error_reply: PartReplied | None = None

    def is_kept(self, now_ms: float) -> bool:
        """Returns whether the request may still wait for the owner's domain."""
        return self.first_send_ms is None and now_ms < self.kept_until_ms

    @property
    def latest_end_ms(self) -> float:
        """When an exchange must end for the latency target, and for the deadline."""
        target_at_ms = self.arrived_ms + self.call.target_ms - ANSWER_RESERVE_MS
        return min(target_at_ms, self.deadline_ms)

    @property
    def may_run_again(self) -> bool:
        """Whether an attempt is left, or will be once the entry allows it."""
        return self.attempts_left + self.attempts_on_request > 0

    def add_attempt(self) -> None:
        """Adds the attempt that the entry was asked for."""
        self.is_attempt_requested = False
        self.attempts_on_request -= 1
        self.attempts_left += 1

    @property
    def useful_until_ms(self) -> float:
        """When its reply must have arrived to be part of an answer that is on time."""
        until_ms = self.call.target_ms - ANSWER_RESERVE_MS
        if self.call.top:
            # Later parts reach the entry after it has answered without them.
            until_ms = min(until_ms, compute_flush_ms(self.call))
        return self.arrived_ms + until_ms

    def can_be_on_time(self, now_ms: float) -> bool:
        """Returns whether an exchange that starts now can meet the latency target."""
        target_at_ms = self.arrived_ms + self.call.target_ms - ANSWER_RESERVE_MS
        return now_ms + self.latency.median_ms <= target_at_ms


class KeptRequests:
    """Queued requests of one service by the time until which they may wait for home.

    Not thread-safe: the pool holds its lock around each call. Requests that were sent
    or settled are dropped when they come first, or once they are about half of all.
    Otherwise one request that waits for long would keep the bodies of later ones in
    memory.
    """

    __slots__ = ("_heap", "_counter", "_limit")

    def __init__(self):
        self._heap: list[tuple[float, int, PendingRequest]] = []
        self._counter = itertools.count()
        self._limit = KEPT_MIN_LIMIT

    def add(self, request: PendingRequest) -> None:
        """Adds a request that was queued."""
        entry = (request.kept_until_ms, next(self._counter), request)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > self._limit:
            self._heap = [entry for entry in self._heap if is_unsent(entry[2])]
            heapq.heapify(self._heap)
            self._limit = max(KEPT_MIN_LIMIT, 2 * len(self._heap))

    def __len__(self) -> int:
        """Returns how many requests are held, sent ones among them."""
        return len(self._heap)

    def get_first_end_ms(self) -> float:
        """Returns the earliest `kept_until_ms` of a request; infinity without one."""
        while self._heap:
            until_ms, _, request = self._heap[0]
            if is_unsent(request):
                return until_ms
            heapq.heappop(self._heap)
        return float("inf")


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class PoolExchange(Exchange):
    """An exchange of a pending request, with the upstream and connection in use.

    Attributes:
        request: The request that is sent.
        replica: State of the upstream.
        connection: Connection that carries the exchange.
        cause: Why it was started: as the first send, a hedge or a retry.
    """

    request: PendingRequest
    replica: Replica
    connection: Connection
    cause: str


def is_unsent(request: PendingRequest) -> bool:
    """Returns whether a request has no outcome and was not sent yet."""
    return request.first_send_ms is None and not request.settled


def prefer_on_time(now_ms: float) -> Callable[[PendingRequest], bool]:
    """Returns a predicate for requests that are dequeued first within their rank."""
    return lambda request: request.can_be_on_time(now_ms)
