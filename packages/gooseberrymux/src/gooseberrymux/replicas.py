"""One upstream as its owner sees it: exchanges under way, evidence, connections."""

import dataclasses

from gooseberrymux import forward_exchange, journal
from gooseberrymux.connections import Connection, Exchange
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.upstream_health import (
    SERVING,
    Ejected,
    Failed,
    Observation,
    Overtaken,
    Probing,
    Replied,
    Shed,
    UpstreamHealth,
)

# An exchange without a sign of life of its upstream for this many times the usual
# longest time marks a pause or a loss, and nothing more is sent there until it answers.
STALL_FACTOR = 1.6
STALL_FLOOR_MS = 25.0
# An upstream this many times slower than usual gets work only to see if it recovered.
SLOW_FACTOR = 2.5
SLOW_PROBE_MS = 1_000.0
# A cold upstream takes about this many times longer.
COLD_FACTOR = 1.6
# How much a request under way at an upstream adds to the estimate of the next, as a
# share of its slots; prefers the emptier of two equal ones.
BUSY_WEIGHT = 0.3
# An upstream in another failure domain costs this share of a usual exchange more.
FAR_WEIGHT = 0.1
LONGEST_EJECTION_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usual:
    """What exchanges of one route usually take, in milliseconds."""

    median_ms: float
    high_ms: float


class Replica:
    """State of one upstream. Not thread-safe: its pool holds its lock."""

    __slots__ = (
        "record",
        "evidence",
        "under_way",
        "idle",
        "heard_ms",
        "tried_ms",
    )

    def __init__(self, *, record: UpstreamRecord):
        self.record = record
        self.evidence = UpstreamHealth(epoch=record.epoch, state=SERVING)
        self.under_way: dict[Exchange, Usual] = {}
        self.idle: list[Connection] = []
        self.heard_ms = 0.0
        self.tried_ms = float("-inf")

    def has_room(self, limit: int) -> bool:
        """Returns whether another exchange may start.

        Args:
            limit: Connections that may be open to it.
        """
        return len(self.under_way) < min(self.record.slots, limit)

    def close_idle(self) -> None:
        """Ends the connections without an exchange."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def is_stalled(self, now_ms: float) -> bool:
        """Returns whether it has been silent for longer than it should."""
        for exchange, usual in self.under_way.items():
            if exchange.aborted or self.heard_ms >= exchange.sent_ms:
                continue
            limit_ms = max(STALL_FLOOR_MS, STALL_FACTOR * usual.high_ms)
            if now_ms - exchange.sent_ms > limit_ms:
                return True
        return False

    def is_ejected(self, now_ms: float) -> bool:
        """Returns whether it gets nothing at all after failures in a row."""
        match self.evidence.state:
            case Ejected(until_ms=until_ms):
                return now_ms < until_ms
            case Probing():
                return True
            case _:
                return False

    def is_probe_due(self, now_ms: float) -> bool:
        """Returns whether one exchange is to find out if it is usable again."""
        match self.evidence.state:
            case Ejected(until_ms=until_ms):
                return now_ms >= until_ms
            case _:
                slow = self.get_slowness(now_ms) > SLOW_FACTOR
                return slow and now_ms - self.tried_ms > SLOW_PROBE_MS

    def get_slowness(self, now_ms: float) -> float:
        """Returns how many times longer than usual an exchange is expected to take."""
        return self.evidence.estimate_response_ms(
            record=self.record, neutral_ms=1.0, now_ms=now_ms
        )

    def estimate(self, *, slowness: float, domain: str) -> float:
        """Returns the expected time of an exchange, in usual ones.

        Args:
            slowness: What `get_slowness` returns now.
            domain: The owner's failure domain.
        """
        cold = COLD_FACTOR if self.record.cold else 1.0
        busy = BUSY_WEIGHT * len(self.under_way) / self.record.slots
        far = 0.0 if self.record.failure_domain == domain else FAR_WEIGHT
        return slowness * cold * (1.0 + busy) + far

    def begin(self, exchange: Exchange, usual: Usual, now_ms: float) -> None:
        """Notes that an exchange starts."""
        self.under_way[exchange] = usual
        self.tried_ms = now_ms
        match self.evidence.state:
            case Ejected(until_ms=until_ms, ejection_count=ejection_count) if (
                now_ms >= until_ms
            ):
                self.evidence.state = Probing(
                    since_ms=now_ms, ejection_count=ejection_count
                )

    def end(
        self, exchange: Exchange, result: forward_exchange.Result, now_ms: float
    ) -> None:
        """Takes in what an exchange has shown."""
        usual = self.under_way.pop(exchange)
        match result:
            case forward_exchange.Replied() | forward_exchange.Declined():
                self.heard_ms = now_ms
        before = self.evidence.state
        observation = read_observation(exchange, result, usual, now_ms)
        self.evidence.observe(observation, now_ms)
        match observation:
            case Failed():
                # One that fails now and then is left as well, not only one that
                # fails several times in a row.
                self.evidence.count_as_shed(now_ms)
        match self.evidence.state:
            case Ejected(until_ms=until_ms, ejection_count=ejection_count) if (
                before is not (self.evidence.state)
            ):
                self.evidence.state = Ejected(
                    until_ms=min(until_ms, now_ms + LONGEST_EJECTION_MS),
                    ejection_count=ejection_count,
                )
            case Ejected() | Probing():
                pass
            case _:
                # An upstream that answers takes its full share at once: the owner
                # sees each of its answers and leaves it again as soon as one fails.
                self.evidence.state = SERVING
        self._record_change(type(before).__name__, observation, exchange)

    def _record_change(
        self, before: str, observation: Observation, exchange: Exchange
    ) -> None:
        state = type(self.evidence.state).__name__
        if state != before:
            journal.record_event(
                "upstream.state",
                upstream=self.record.name,
                epoch=self.record.epoch,
                before=before,
                state=state,
                observed=type(observation).__name__,
                request_id=exchange.call.request_id,
            )


def read_observation(
    exchange: Exchange, result: forward_exchange.Result, usual: Usual, now_ms: float
) -> Observation:
    """Returns what a result says on its upstream, in usual times of an exchange."""
    slowness = (now_ms - exchange.sent_ms) / max(1.0, usual.median_ms)
    match result:
        case forward_exchange.Replied(reply=reply) if reply.status >= 500:
            return Failed()
        case forward_exchange.Replied(elapsed_ms=elapsed_ms):
            return Replied(
                elapsed_ms=elapsed_ms / max(1.0, usual.median_ms), queue_wait_ms=0.0
            )
        case forward_exchange.Declined(reason=forward_exchange.REASON_SHED):
            return Shed(queue_wait_ms=0.0)
        case forward_exchange.Declined():
            return Failed()
        case _ if exchange.aborted:
            return Overtaken(elapsed_ms=slowness)
        case _:
            return Failed()
