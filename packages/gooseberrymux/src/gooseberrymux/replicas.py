"""State of one upstream at its owner: exchanges in flight, evidence, connections."""

import dataclasses

from gooseberrymux import forward_exchange, journal
from gooseberrymux.connections import Connection, Exchange
from gooseberrymux.exchange import REASON_CONNECT, REASON_DEADLINE
from gooseberrymux.inventory import REASON_DOMAIN_EVACUATED, REASON_UPSTREAM_LEAVING
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.reported_load import LoadReports
from gooseberrymux.send_limits import SendLimits
from gooseberrymux.upstream_health import (
    SERVING,
    Ejected,
    Failed,
    NoEvidence,
    Observation,
    Overtaken,
    Probing,
    Replied,
    Shed,
    UpstreamHealth,
)
from gooseberrymux.upstream_signals import ReportedLoad

# An upstream counts as stalled if an exchange has lasted this many times the 95th
# percentile of its route and no reply came from the upstream since the exchange began:
# it is paused or lost, and gets no other work until it replies.
STALL_FACTOR = 1.6
STALL_FLOOR_MS = 25.0
# An upstream this many times slower than the route's median gets requests only to probe
# whether it has recovered, or when the wait for a faster upstream would take longer.
SLOW_FACTOR = 2.5
SLOW_PROBE_MS = 1_000.0
# A cold upstream takes about this many times as long as a warm one.
COLD_FACTOR = 1.6
# Relative cost added to an upstream whose slots are all busy, in proportion for fewer;
# of two upstreams that are otherwise equal, the less loaded one is preferred.
IN_FLIGHT_WEIGHT = 0.3
EJECTION_LIMIT_MS = 2_000.0
# An upstream to which no connection could be opened may be restarting. It counts as
# cold for about the time that its entry in the platform's list takes to say so.
COLD_AFTER_CONNECT_FAILURE_MS = 2_500.0
# Why this instance itself did not send a request.
OWN_REASONS = frozenset(
    {REASON_DEADLINE, REASON_UPSTREAM_LEAVING, REASON_DOMAIN_EVACUATED}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LatencyEstimate:
    """Estimated duration of one exchange on a route: median and 95th percentile."""

    median_ms: float
    p95_ms: float


class Replica:
    """State of one upstream.

    Not thread-safe: the pool holds its lock around each call.

    Attributes:
        record: The platform's record of the upstream.
        evidence: Latency and failures observed on the upstream.
        in_flight: Exchanges that have not ended, with the estimates at their start.
        idle: Open connections without an exchange.
        last_reply_ms: When the upstream last replied, in monotonic milliseconds.
        last_send_ms: When the last exchange started, in monotonic milliseconds.
        limits: What the upstream allows to be sent.
        connect_failed_ms: When a connection to it could last not be opened, in
            monotonic milliseconds.
        reports: The load that it reports; None until it reports one.
    """

    __slots__ = (
        "record",
        "evidence",
        "in_flight",
        "idle",
        "last_reply_ms",
        "last_send_ms",
        "limits",
        "connect_failed_ms",
        "reports",
    )

    def __init__(self, *, record: UpstreamRecord):
        self.record = record
        self.evidence = UpstreamHealth(epoch=record.epoch, state=SERVING)
        self.in_flight: dict[Exchange, LatencyEstimate] = {}
        self.idle: list[Connection] = []
        self.last_reply_ms = 0.0
        self.last_send_ms = float("-inf")
        self.limits = SendLimits()
        self.connect_failed_ms = float("-inf")
        self.reports: LoadReports | None = None

    def has_free_slot(self, limit: int) -> bool:
        """Returns whether the upstream could run another exchange.

        Args:
            limit: Connections that the upstream accepts.
        """
        return len(self.in_flight) < min(self.record.slots, limit)

    def pop_idle(self, request_id: str) -> Connection | None:
        """Removes and returns an idle connection, or None if there is none.

        Args:
            request_id: A connection on which this request has failed comes last.
        """
        for index in reversed(range(len(self.idle))):
            if not self.idle[index].has_failed(request_id):
                return self.idle.pop(index)
        return self.idle.pop() if self.idle else None

    def close_idle(self) -> None:
        """Closes the connections without an exchange."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()

    def is_stalled(self, now_ms: float) -> bool:
        """Returns whether an exchange has waited too long without any reply since."""
        for exchange, latency in self.in_flight.items():
            if exchange.aborted or self.last_reply_ms >= exchange.sent_ms:
                continue
            limit_ms = max(STALL_FLOOR_MS, STALL_FACTOR * latency.p95_ms)
            if now_ms - exchange.sent_ms > limit_ms:
                return True
        return False

    def is_ejected(self, now_ms: float) -> bool:
        """Returns whether the upstream is ejected, or its recovery probe is pending."""
        match self.evidence.state:
            case Ejected(until_ms=until_ms):
                return now_ms < until_ms
            case Probing():
                return True
            case _:
                return False

    def may_have_restarted(self, now_ms: float) -> bool:
        """Returns whether a failed connection suggests that it has just restarted."""
        return now_ms - self.connect_failed_ms < COLD_AFTER_CONNECT_FAILURE_MS

    def is_probe_due(self, now_ms: float, slowness: float) -> bool:
        """Returns whether the next request may probe if the upstream has recovered.

        Args:
            now_ms: Monotonic time in milliseconds.
            slowness: Result of `get_slowness` for that time.
        """
        match self.evidence.state:
            case Ejected(until_ms=until_ms):
                return now_ms >= until_ms
            case _:
                is_slow = slowness > SLOW_FACTOR
                return is_slow and now_ms - self.last_send_ms > SLOW_PROBE_MS

    def get_slowness(self, now_ms: float) -> float:
        """Returns the expected duration of an exchange, in medians of its route."""
        slowness = self.evidence.estimate_response_ms(
            record=self.record, neutral_ms=1.0, now_ms=now_ms
        )
        if self.reports is None:
            return slowness
        return self.reports.estimate_duration(
            slowness, own_count=len(self.in_flight), now_ms=now_ms
        )

    def count_occupants(self, now_ms: float) -> float:
        """Returns the exchanges in flight, and what others have there if it reports."""
        foreign = self.reports.count_foreign(now_ms) if self.reports else 0.0
        return len(self.in_flight) + foreign

    def estimate_duration(self, slowness: float) -> float:
        """Returns the expected duration of an exchange, with what a cold start adds.

        Args:
            slowness: Result of `get_slowness` for the current time.
        """
        return slowness * (COLD_FACTOR if self.record.cold else 1.0)

    def estimate_cost(self, *, slowness: float, crossing_cost: float) -> float:
        """Returns the cost of sending an exchange here, in medians of its route.

        Args:
            slowness: Result of `get_slowness` for the current time.
            crossing_cost: Cost of leaving the owner's failure domain; 0 within it.
        """
        busy = IN_FLIGHT_WEIGHT * len(self.in_flight) / self.record.slots
        return self.estimate_duration(slowness) * (1.0 + busy) + crossing_cost

    def start_exchange(
        self, exchange: Exchange, latency: LatencyEstimate, now_ms: float
    ) -> None:
        """Records the start of an exchange, which is the probe if an ejection ended."""
        self.in_flight[exchange] = latency
        self.last_send_ms = now_ms
        self.limits.record_send(now_ms)
        match self.evidence.state:
            case Ejected(until_ms=until_ms, ejection_count=ejection_count) if (
                now_ms >= until_ms
            ):
                self.evidence.state = Probing(
                    since_ms=now_ms, ejection_count=ejection_count
                )

    def finish_exchange(
        self, exchange: Exchange, result: forward_exchange.Result, now_ms: float
    ) -> None:
        """Records the result of an exchange and updates the state of the upstream."""
        latency = self.in_flight.pop(exchange)
        match result:
            case (
                forward_exchange.Replied(signals=signals)
                | forward_exchange.Declined(signals=signals)
            ):
                self.last_reply_ms = now_ms
                if signals is not None:
                    self.limits.apply(signals, record=self.record, now_ms=now_ms)
                    self._apply_load(signals.load, now_ms)
            case forward_exchange.NotSent(reason=reason) if reason == REASON_CONNECT:
                self.connect_failed_ms = now_ms
        before = self.evidence.state
        observation = create_observation(exchange, result, latency, now_ms)
        self.evidence.observe(observation, now_ms)
        match observation:
            case Failed():
                # Also lowers the preference for an upstream whose failures are mixed
                # with successes and so never cause an ejection.
                self.evidence.count_as_shed(now_ms)
        match self.evidence.state:
            case Ejected(until_ms=until_ms, ejection_count=ejection_count) if (
                before is not self.evidence.state
            ):
                self.evidence.state = Ejected(
                    until_ms=min(until_ms, now_ms + EJECTION_LIMIT_MS),
                    ejection_count=ejection_count,
                )
            case Ejected() | Probing():
                pass
            case _:
                # A recovered upstream gets its full share at once, without a ramp: the
                # owner sees each reply and avoids the upstream again once one fails.
                self.evidence.state = SERVING
        self._record_change(type(before).__name__, observation, exchange)

    def _apply_load(self, load: ReportedLoad | None, now_ms: float) -> None:
        if load is None:
            return
        if self.reports is None:
            self.reports = LoadReports()
        # The exchange that ended was removed already.
        own_count = len(self.in_flight) + 1
        self.reports.apply(load, own_count=own_count, now_ms=now_ms)

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


def create_observation(
    exchange: Exchange,
    result: forward_exchange.Result,
    latency: LatencyEstimate,
    now_ms: float,
) -> Observation:
    """Returns what a result shows about its upstream; times are in medians."""
    slowness = (now_ms - exchange.sent_ms) / max(1.0, latency.median_ms)
    match result:
        case forward_exchange.NotSent(reason=reason) if reason in OWN_REASONS:
            return NoEvidence()
        case forward_exchange.Replied(reply=reply) if reply.is_server_error:
            return Failed()
        case forward_exchange.Replied(elapsed_ms=elapsed_ms):
            return Replied(
                elapsed_ms=elapsed_ms / max(1.0, latency.median_ms), queue_wait_ms=0.0
            )
        case forward_exchange.Declined(reason=forward_exchange.REASON_SHED):
            return Shed(queue_wait_ms=0.0)
        case forward_exchange.Declined():
            return Failed()
        case _ if exchange.aborted:
            return Overtaken(elapsed_ms=slowness)
        case _:
            return Failed()
