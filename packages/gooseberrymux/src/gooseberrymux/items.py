"""One request for a service at its owner: its state from arrival to outcome."""

import dataclasses
from collections.abc import Callable

from gooseberrymux.connections import Connection, Exchange
from gooseberrymux.forward_messages import ForwardCall, PartOutcome, PartReplied
from gooseberrymux.replicas import Replica, Usual

REASON_NO_REPLICA = "no_replica"
# Upstreams stop at the deadline that they are told, and the outcome still has to reach
# the caller in time.
DEADLINE_MARGIN_MS = 8.0
# What is left of a latency target once an upstream has replied: the way to the entry,
# the other parts, and the answer.
ANSWER_RESERVE_MS = 10.0

Reply = Callable[[PartOutcome], None]


class Item:
    """A request for this service, from its arrival to its outcome.

    Attributes:
        call: The request.
        reply: Gets the outcome, once; must not block.
        requester: Instance that may cancel it.
        arrived_ms: When it arrived.
        deadline_ms: When it is no longer worth running.
        head: Its request line and end-to-end headers.
        usual: What its exchanges usually take.
        sends: Sends under way.
        tried: Upstreams that it was sent to in this round.
        runs_left: Upstreams on which it may still run.
        sent: Number of sends so far.
        first_sent_ms: When it was first sent.
        rounds: Rounds over all upstreams so far.
        may_have_run: Whether an upstream may have run it.
        settled: Whether its outcome is known.
        failure: What went wrong last.
        failed_reply: Reply of an upstream that failed, for want of a better one.
    """

    __slots__ = (
        "call",
        "reply",
        "requester",
        "arrived_ms",
        "deadline_ms",
        "head",
        "usual",
        "sends",
        "tried",
        "runs_left",
        "sent",
        "first_sent_ms",
        "rounds",
        "may_have_run",
        "settled",
        "failure",
        "failed_reply",
    )

    def __init__(
        self,
        *,
        call: ForwardCall,
        reply: Reply,
        requester: str,
        now_ms: float,
        head: bytes,
        usual: Usual,
    ):
        self.call = call
        self.reply = reply
        self.requester = requester
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + call.remaining_ms - DEADLINE_MARGIN_MS
        self.head = head
        self.usual = usual
        self.sends: list[Send] = []
        self.tried: set[str] = set()
        self.runs_left = call.attempts
        self.sent = 0
        self.first_sent_ms: float | None = None
        self.rounds = 0
        self.may_have_run = call.dispatched_before
        self.settled = False
        self.failure = REASON_NO_REPLICA
        self.failed_reply: PartReplied | None = None

    def can_be_on_time(self, now_ms: float) -> bool:
        """Returns whether its caller's latency target can still be met."""
        target_at_ms = self.arrived_ms + self.call.target_ms - ANSWER_RESERVE_MS
        return now_ms + self.usual.median_ms <= target_at_ms


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Send(Exchange):
    """One send of an item, with the upstream and the connection that run it."""

    item: Item
    replica: Replica
    connection: Connection
    cause: str


def prefer_on_time(now_ms: float) -> Callable[[Item], bool]:
    """Returns which queued items go before the others of their rank."""
    return lambda item: item.can_be_on_time(now_ms)
