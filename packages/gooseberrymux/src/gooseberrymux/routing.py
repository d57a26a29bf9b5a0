"""Choice of a replica for a sub-request, by this instance's own evidence.

Health and load endpoints are not asked at all: they lag or mislead (1.4), and each
outcome already carries the owner's view of the queue.
"""

import dataclasses
import threading
from collections.abc import Collection, Sequence

from gooseberrymux import journal
from gooseberrymux.exchange import (
    REASON_CONNECT,
    REASON_TIMEOUT,
    REASON_VERSION_GONE,
    REASON_WRONG_SHARD,
)
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.lanes import (
    REASON_CANCELLED,
    REASON_DEADLINE,
    REASON_QUEUE_FULL,
)
from gooseberrymux.messages import (
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.ownership import SCORE_MAX, score_member
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.upstream_health import (
    SERVING,
    Failed,
    NoEvidence,
    Observation,
    Overtaken,
    Ramping,
    Replied,
    Shed,
    UpstreamHealth,
)

# Replicas whose estimate is within this factor, or this many milliseconds, of the
# best are equal: estimates of a few samples differ by that much by chance.
CLOSE_FACTOR = 1.4
CLOSE_MS = 1.0
# Assumed latency while no replica of a service has a sample; only its ratio to the
# queue wait matters.
NEUTRAL_LATENCY_MS = 10.0


# The caller's deadline ended it, which a caller with short deadlines could do to any
# upstream; so it counts as slow and not as failed.
REASONS_SLOW = frozenset({REASON_TIMEOUT, "deadline"})
# These follow from what this instance asked for.
REASONS_OWN_DOING = frozenset(
    {REASON_VERSION_GONE, REASON_WRONG_SHARD, REASON_CANCELLED}
)
REASONS_QUEUE = frozenset({REASON_QUEUE_FULL, REASON_DEADLINE})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A replica that may be chosen.

    Attributes:
        record: The replica.
        estimate_ms: Estimated milliseconds until it has answered.
        share: Share of its normal traffic that it may get.
        probe_due: Whether one sub-request is to find out if it is back.
    """

    record: UpstreamRecord
    estimate_ms: float
    share: float = 1.0
    probe_due: bool = False


@service("routing")
class Routing:
    """Holds the evidence on each upstream and chooses replicas by it."""

    __slots__ = ("_clock", "_domain", "_evidence", "_lock")

    def __init__(self, *, kernel: Kernel):
        self._clock = kernel.clock
        self._domain = kernel.settings.instance.failure_domain
        self._evidence: dict[str, UpstreamHealth] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the state of each upstream that is not simply serving."""
        return {
            name: {"state": type(found.state).__name__, "failures": found.failures}
            for name, found in list(self._evidence.items())
            if found.state is not SERVING
        }

    def choose(
        self,
        *,
        replicas: Sequence[UpstreamRecord],
        tried: Collection[str],
        request_id: str,
        shard: str = "",
        cause: str = "first",
        may_probe: bool = False,
    ) -> UpstreamRecord | None:
        """Returns the replica for the next attempt, or None if all were tried.

        Args:
            replicas: Live upstreams of the shard's service.
            tried: Names of those that this shard was already sent to.
            request_id: Breaks ties, and draws ramped shares, for each request anew.
            shard: The shard, for the log line.
            cause: first, hedge or retry, for the log line.
            may_probe: Whether an ejected upstream may be probed with it; never set
                for an order, whose outcome would then be likely to stay unknown.
        """
        fresh = [replica for replica in replicas if replica.name not in tried]
        if not fresh:
            return None
        candidates = self._weigh(fresh)
        chosen, reason = pick(
            candidates=candidates,
            request_id=request_id,
            domain=self._domain,
            may_probe=may_probe,
        )
        journal.record_decision(
            "routing.replica",
            chosen=chosen.record.name,
            among=[f"{c.record.name}:{c.estimate_ms:.1f}ms" for c in candidates],
            reason=reason,
            request_id=request_id,
            shard=shard,
            cause=cause,
        )
        return chosen.record

    def begin(self, upstream: UpstreamRecord) -> None:
        """Counts a sub-request in flight."""
        with self._lock:
            found = self._evidence.get(upstream.name)
            if found is None:
                found = self._evidence[upstream.name] = UpstreamHealth(
                    epoch=upstream.epoch, state=SERVING
                )
            found.record_send(self._clock.now_ms())

    def end(self, upstream: str, observation: Observation) -> None:
        """Counts down a sub-request in flight and takes in what it showed."""
        with self._lock:
            found = self._evidence.get(upstream)
            if found is None:
                return
            # Evidence is replaced when the upstream returns under a new epoch.
            found.in_flight = max(0, found.in_flight - 1)
            before = found.state
            found.observe(observation, self._clock.now_ms())
            after = found.state
        if type(before) is not type(after):
            journal.record_event(
                "routing.state",
                upstream=upstream,
                state=type(after).__name__,
                before=type(before).__name__,
            )

    def _weigh(self, replicas: Sequence[UpstreamRecord]) -> list[Candidate]:
        now_ms = self._clock.now_ms()
        with self._lock:
            known = [self._follow(replica, now_ms) for replica in replicas]
            samples = [
                found.latency_ms
                for found in known
                if found and found.latency_ms is not None
            ]
            neutral_ms = min(samples, default=NEUTRAL_LATENCY_MS)
            warm = any(found is not None for found in known)
            candidates = []
            for replica, found in zip(replicas, known, strict=True):
                if found is None:
                    # Next to replicas in use, one that was never seen is cold; if
                    # none was seen, this instance is new and not the upstreams.
                    found = self._evidence[replica.name] = UpstreamHealth(  # noqa: PLW2901
                        epoch=replica.epoch,
                        state=Ramping(since_ms=now_ms) if warm else SERVING,
                    )
                candidates.append(
                    Candidate(
                        record=replica,
                        estimate_ms=found.estimate_response_ms(
                            record=replica, neutral_ms=neutral_ms, now_ms=now_ms
                        ),
                        share=found.get_traffic_share(now_ms),
                        probe_due=found.is_probe_due(now_ms),
                    )
                )
        return candidates

    def _follow(self, replica: UpstreamRecord, now_ms: float) -> UpstreamHealth | None:
        found = self._evidence.get(replica.name)
        if found is not None and found.epoch < replica.epoch:
            # A fresh registration is a fresh process: what was observed on the old
            # one does not hold, and its caches are cold.
            found = self._evidence[replica.name] = UpstreamHealth(
                epoch=replica.epoch, state=Ramping(since_ms=now_ms)
            )
        return found


def pick(
    *,
    candidates: Sequence[Candidate],
    request_id: str,
    domain: str,
    may_probe: bool = False,
) -> tuple[Candidate, str]:
    """Returns the candidate for a sub-request and the reason for the choice.

    Args:
        candidates: At least one.
        request_id: Draws ramped shares and breaks ties.
        domain: Failure domain that is preferred when estimates are close.
        may_probe: Whether it may go to an ejected upstream whose probe is due.
    """
    if len(candidates) == 1:
        return candidates[0], "only candidate"
    if may_probe:
        for candidate in candidates:
            if candidate.probe_due:
                return candidate, "probe of an ejected upstream"
    admitted = [
        c
        for c in candidates
        if not c.probe_due and (c.share >= 1.0 or is_drawn(c, request_id))
    ]
    if not admitted:
        # Answering late from a doubtful replica is better than not asking at all.
        best = max(candidates, key=lambda c: (c.share, -c.estimate_ms))
        return best, "all ejected or cold"
    best = min(admitted, key=lambda c: c.estimate_ms)
    limit_ms = max(best.estimate_ms * CLOSE_FACTOR, best.estimate_ms + CLOSE_MS)
    close = [c for c in admitted if c.estimate_ms <= limit_ms]
    if len(close) == 1:
        return best, "lowest estimate"
    near = [c for c in close if c.record.failure_domain == domain]
    among = near or close
    if len(among) == 1:
        return among[0], "estimates close, same failure domain"
    chosen = max(
        among, key=lambda c: score_member(key=request_id, member=c.record.name)
    )
    return chosen, "estimates close, by request"


def is_drawn(candidate: Candidate, request_id: str) -> bool:
    """Returns whether a request falls into a ramped candidate's share."""
    if candidate.share <= 0.0:
        return False
    score = score_member(key=f"ramp/{request_id}", member=candidate.record.name)
    return score < candidate.share * SCORE_MAX


def read_observation(outcome: SubrequestOutcome, elapsed_ms: float) -> Observation:
    """Returns what an outcome says on its upstream.

    Args:
        outcome: The outcome.
        elapsed_ms: Milliseconds from sending the sub-request to its outcome.
    """
    match outcome:
        case SubrequestCompleted(queued_ms=queued_ms, queue_wait_ms=wait_ms):
            return Replied(
                elapsed_ms=max(0.0, elapsed_ms - queued_ms), queue_wait_ms=wait_ms
            )
        case SubrequestNotRun(reason=reason) if reason == REASON_CONNECT:
            return Failed()
        case SubrequestNotRun(reason=reason) | SubrequestUnknown(reason=reason) if (
            reason in REASONS_OWN_DOING
        ):
            return NoEvidence()
        case SubrequestNotRun(step="upstream.reply", queue_wait_ms=wait_ms):
            return Shed(queue_wait_ms=wait_ms)
        case SubrequestNotRun(reason=reason, queue_wait_ms=wait_ms) if (
            reason in REASONS_QUEUE
        ):
            return Shed(queue_wait_ms=wait_ms)
        case SubrequestUnknown(reason=reason) if reason in REASONS_SLOW:
            return Overtaken(elapsed_ms=elapsed_ms)
        case SubrequestUnknown(step=step) if step.startswith("upstream."):
            return Failed()
        case _:
            return NoEvidence()
