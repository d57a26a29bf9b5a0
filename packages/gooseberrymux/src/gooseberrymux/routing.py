"""Choice of a replica for a sub-request, by what this instance itself has observed.

The upstreams' health and load endpoints are not queried: they lag or mislead, and each
outcome already carries the queue wait that the owner of the upstream estimates.
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
from gooseberrymux.worker_pool import (
    REASON_CANCELLED,
    REASON_DEADLINE,
    REASON_QUEUE_FULL,
)

# Replicas whose estimate is within this factor, or this many milliseconds, of the best
# count as tied: estimates from a few samples differ by that much by chance.
TIE_FACTOR = 1.4
TIE_MARGIN_MS = 1.0
# Assumed latency while none of the replicas has a sample. It is the same for each of
# them, so only its ratio to the queue wait matters.
DEFAULT_LATENCY_MS = 10.0

# A deadline cut the sub-request off. A caller with short deadlines can cause that at
# any upstream, so the upstream counts as slow and not as failed.
REASONS_TIMED_OUT = frozenset({REASON_TIMEOUT, "deadline"})
# The sub-request's own content, or its cancellation by this instance, led to the
# outcome, which says nothing about the upstream's health.
REASONS_CAUSED_BY_REQUESTER = frozenset(
    {REASON_VERSION_GONE, REASON_WRONG_SHARD, REASON_CANCELLED}
)
# The owner's queue for the upstream was full, or too long for the deadline.
REASONS_REFUSED_BY_OWNER = frozenset({REASON_QUEUE_FULL, REASON_DEADLINE})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A replica that may be chosen.

    Attributes:
        record: The replica.
        estimate_ms: Estimated milliseconds until the replica has answered.
        traffic_share: Share, 0 to 1, of its normal traffic that the replica may get.
        probe_due: Whether the replica is ejected and the next sub-request to it may
            probe whether it works again.
    """

    record: UpstreamRecord
    estimate_ms: float
    traffic_share: float = 1.0
    probe_due: bool = False


@service("routing")
class Routing:
    """Records what was observed on each upstream and chooses replicas accordingly.

    Thread-safe: a lock guards each change of the upstreams' health records.
    """

    __slots__ = ("_clock", "_failure_domain", "_health_by_name", "_lock")

    def __init__(self, *, kernel: Kernel):
        self._clock = kernel.clock
        self._failure_domain = kernel.settings.instance.failure_domain
        self._health_by_name: dict[str, UpstreamHealth] = {}
        self._lock = threading.Lock()

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def describe(self) -> dict:
        """Returns the state of each upstream that is ejected, probed or ramping up."""
        return {
            name: {"state": type(health.state).__name__, "failures": health.failures}
            for name, health in list(self._health_by_name.items())
            if health.state is not SERVING
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
            tried: Names of the upstreams that this shard was already sent to.
            request_id: Hashed to break ties between close estimates and to decide
                which requests fall into the share of a replica that ramps up.
            shard: The shard, for the log line.
            cause: first, hedge or retry, for the log line.
            may_probe: Whether the attempt may probe an ejected upstream. Never set for
                an order: its outcome would be likely to stay unknown.
        """
        untried = [replica for replica in replicas if replica.name not in tried]
        if not untried:
            return None
        candidates = self._create_candidates(untried)
        chosen, reason = choose_candidate(
            candidates=candidates,
            request_id=request_id,
            failure_domain=self._failure_domain,
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

    def record_send(self, upstream: UpstreamRecord) -> None:
        """Counts a sub-request that is about to be sent as in flight."""
        with self._lock:
            health = self._health_by_name.get(upstream.name)
            if health is None:
                health = self._health_by_name[upstream.name] = UpstreamHealth(
                    epoch=upstream.epoch, state=SERVING
                )
            health.record_send(self._clock.now_ms())

    def record_observation(self, upstream: str, observation: Observation) -> None:
        """Ends the count of a sub-request in flight and applies its observation.

        Does nothing for an upstream without a health record.
        """
        with self._lock:
            health = self._health_by_name.get(upstream)
            if health is None:
                return
            # Never negative: the health record is replaced when the upstream registers
            # under a new epoch, so an earlier send may be missing from its count.
            health.in_flight = max(0, health.in_flight - 1)
            before = health.state
            health.observe(observation, self._clock.now_ms())
            after = health.state
        if type(before) is not type(after):
            journal.record_event(
                "routing.state",
                upstream=upstream,
                state=type(after).__name__,
                before=type(before).__name__,
            )

    def _create_candidates(self, replicas: Sequence[UpstreamRecord]) -> list[Candidate]:
        now_ms = self._clock.now_ms()
        with self._lock:
            known_health = [
                self._get_current_health(replica, now_ms) for replica in replicas
            ]
            samples = [
                health.latency_ms
                for health in known_health
                if health and health.latency_ms is not None
            ]
            neutral_ms = min(samples, default=DEFAULT_LATENCY_MS)
            any_known = any(health is not None for health in known_health)
            candidates = []
            for replica, health in zip(replicas, known_health, strict=True):
                if health is None:
                    # An unknown replica next to known ones counts as just started,
                    # with cold caches. If none is known, this instance is new and not
                    # the upstreams, which then get their full share.
                    health = self._health_by_name[replica.name] = UpstreamHealth(  # noqa: PLW2901
                        epoch=replica.epoch,
                        state=Ramping(since_ms=now_ms) if any_known else SERVING,
                    )
                candidates.append(
                    Candidate(
                        record=replica,
                        estimate_ms=health.estimate_response_ms(
                            record=replica, neutral_ms=neutral_ms, now_ms=now_ms
                        ),
                        traffic_share=health.get_traffic_share(now_ms),
                        probe_due=health.is_probe_due(now_ms),
                    )
                )
        return candidates

    def _get_current_health(
        self, replica: UpstreamRecord, now_ms: float
    ) -> UpstreamHealth | None:
        health = self._health_by_name.get(replica.name)
        if health is not None and health.epoch < replica.epoch:
            # A later epoch means a new process: what was observed on the previous
            # process does not apply, and the caches of the new one are cold.
            health = self._health_by_name[replica.name] = UpstreamHealth(
                epoch=replica.epoch, state=Ramping(since_ms=now_ms)
            )
        return health


def choose_candidate(
    *,
    candidates: Sequence[Candidate],
    request_id: str,
    failure_domain: str,
    may_probe: bool = False,
) -> tuple[Candidate, str]:
    """Returns the candidate for a sub-request and the reason for the choice.

    Args:
        candidates: At least one candidate.
        request_id: Hashed to break ties and to apply the traffic shares.
        failure_domain: Failure domain that is preferred when estimates are close.
        may_probe: Whether the sub-request may go to an ejected upstream whose probe
            is due.
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
        if not c.probe_due
        and (c.traffic_share >= 1.0 or is_in_traffic_share(c, request_id))
    ]
    if not admitted:
        # A replica that may be slow or down is better than no attempt at all.
        best = max(candidates, key=lambda c: (c.traffic_share, -c.estimate_ms))
        return best, "all ejected or cold"
    best = min(admitted, key=lambda c: c.estimate_ms)
    limit_ms = max(
        best.estimate_ms * TIE_FACTOR,
        best.estimate_ms + TIE_MARGIN_MS,
    )
    near_best = [c for c in admitted if c.estimate_ms <= limit_ms]
    if len(near_best) == 1:
        return best, "lowest estimate"
    same_domain = [c for c in near_best if c.record.failure_domain == failure_domain]
    preferred = same_domain or near_best
    if len(preferred) == 1:
        return preferred[0], "estimates close, same failure domain"
    chosen = max(
        preferred, key=lambda c: score_member(key=request_id, member=c.record.name)
    )
    return chosen, "estimates close, tie broken by a hash of the request id"


def is_in_traffic_share(candidate: Candidate, request_id: str) -> bool:
    """Returns whether a request falls into the traffic share of a candidate.

    A hash of both names decides, so a request gets the same result each time.
    """
    if candidate.traffic_share <= 0.0:
        return False
    score = score_member(key=f"ramp/{request_id}", member=candidate.record.name)
    return score < candidate.traffic_share * SCORE_MAX


def classify_outcome(outcome: SubrequestOutcome, elapsed_ms: float) -> Observation:
    """Returns what the outcome of a sub-request says about its upstream's health.

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
            reason in REASONS_CAUSED_BY_REQUESTER
        ):
            return NoEvidence()
        case SubrequestNotRun(step="upstream.reply", queue_wait_ms=wait_ms):
            return Shed(queue_wait_ms=wait_ms)
        case SubrequestNotRun(reason=reason, queue_wait_ms=wait_ms) if (
            reason in REASONS_REFUSED_BY_OWNER
        ):
            return Shed(queue_wait_ms=wait_ms)
        case SubrequestUnknown(reason=reason) if reason in REASONS_TIMED_OUT:
            return Overtaken(elapsed_ms=elapsed_ms)
        case SubrequestUnknown(step=step) if step.startswith("upstream."):
            return Failed()
        case _:
            return NoEvidence()
