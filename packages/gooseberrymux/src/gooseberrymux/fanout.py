"""State of one fan-out request: parts received, parts missing, and when to answer.

A part is the share of the request that one service answers.
"""

import dataclasses

from gooseberrymux.forward_messages import (
    MergedPart,
    PartNotRun,
    PartOutcome,
    PartReplied,
    PartsMerged,
    PartUnknown,
)
from gooseberrymux.merging import merge_records
from gooseberrymux.routes import FanoutTarget

# Once a fan-out has missed its latency target, how long it still waits for parts, as a
# multiple of that target.
LATE_WAIT_TARGETS = 1.0
# Last parts to arrive that a log line names, in addition to those sent more than once.
LAST_PARTS_LOGGED = 3

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Waiting:
    """More parts are expected; evaluate again by `until_ms` at the latest."""

    until_ms: float


@_frozen
class Complete:
    """The fan-out is to be answered now, with the parts received."""


@_frozen
class MinimumUnreachable:
    """The minimum share of parts can no longer be reached."""


Progress = Waiting | Complete | MinimumUnreachable


@_frozen
class MissingPart:
    """A service whose part was not received, and why."""

    service: str
    reason: str


class Fanout:
    """State of one fan-out; used by one thread.

    Times are monotonic, in milliseconds.

    Args:
        target: Its services, the number of records wanted and the minimum share.
        started_ms: When the request arrived.
        target_at_ms: When to answer with the parts received, if they are enough.
        late_after_ms: After this time an answer misses the latency target.
        deadline_ms: When to stop waiting for parts.
        latency_target_ms: The route's latency target, a duration.
    """

    __slots__ = (
        "_target",
        "_target_at_ms",
        "_late_after_ms",
        "_give_up_at_ms",
        "_deadline_ms",
        "_parts",
        "_records",
        "_failures",
        "_arrived_ms",
        "_any_may_have_run",
        "retry_after_ms",
    )

    def __init__(
        self,
        *,
        target: FanoutTarget,
        started_ms: float,
        target_at_ms: float,
        late_after_ms: float,
        deadline_ms: float,
        latency_target_ms: float,
    ):
        self._target = target
        self._target_at_ms = target_at_ms
        self._late_after_ms = late_after_ms
        give_up_ms = (
            max(started_ms, target_at_ms) + LATE_WAIT_TARGETS * latency_target_ms
        )
        self._give_up_at_ms = min(deadline_ms, give_up_ms)
        self._deadline_ms = deadline_ms
        self._parts: dict[str, MergedPart] = {}
        self._records: list[bytes] = []
        self._failures: dict[str, str] = {}
        self._arrived_ms: dict[str, float] = {}
        self._any_may_have_run = False
        self.retry_after_ms = 0.0

    def record_outcome(self, outcome: PartOutcome, now_ms: float) -> None:
        """Records the outcome of one part, or of several that were merged."""
        match outcome:
            case PartsMerged(parts=parts, records=records):
                self._record_merged(parts, records, now_ms)
            case _ if outcome.service in self._parts:
                # Another owner has already replied for this service.
                return
            case PartReplied(status=status):
                self._any_may_have_run = True
                self._failures[outcome.service] = f"status_{status}"
            case PartNotRun(reason=reason, retry_after_ms=retry_after_ms):
                self.retry_after_ms = max(self.retry_after_ms, retry_after_ms)
                self._failures[outcome.service] = reason
            case PartUnknown(reason=reason):
                self._any_may_have_run = True
                self._failures[outcome.service] = reason

    def _record_merged(
        self, parts: list[MergedPart], records: bytes, now_ms: float
    ) -> None:
        self._any_may_have_run = True
        if any(part.service in self._parts for part in parts):
            # Merged records don't say which part they come from, so the records of a
            # part that was received before can't be left out.
            return
        self._records.append(records)
        for part in parts:
            self._parts[part.service] = part
            self._arrived_ms[part.service] = now_ms
            self._failures.pop(part.service, None)

    def end(self, now_ms: float) -> None:
        """Makes the fan-out wait for no more parts, at a time in milliseconds."""
        self._deadline_ms = min(self._deadline_ms, now_ms)

    def reopen(self, service: str) -> None:
        """Clears the failure of a part that is sent again."""
        self._failures.pop(service, None)

    def evaluate(self, now_ms: float) -> Progress:
        """Returns whether to answer now, wait longer, or give up."""
        total = len(self._target.services)
        needed = self._target.minimum_share * total
        if total - len(self._failures) < needed:
            return MinimumUnreachable()
        has_minimum = len(self._parts) >= max(1.0, needed)
        if len(self._parts) + len(self._failures) >= total:
            return Complete() if has_minimum else MinimumUnreachable()
        if now_ms >= self._deadline_ms:
            return Complete() if has_minimum else MinimumUnreachable()
        if now_ms < self._target_at_ms:
            return Waiting(until_ms=self._target_at_ms)
        # An answer on time with a part missing is worth more to the caller than a
        # complete one that is late. An answer that is late already waits longer for
        # its parts.
        on_time = now_ms < self._late_after_ms
        late_wait_over = now_ms >= self._give_up_at_ms
        if has_minimum and (on_time or late_wait_over):
            return Complete()
        return Waiting(
            until_ms=self._deadline_ms if late_wait_over else self._give_up_at_ms
        )

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run a part; true while a part has no outcome."""
        return self._any_may_have_run or bool(self.list_pending())

    def list_pending(self) -> list[str]:
        """Returns the services whose parts have no outcome yet."""
        return [
            name
            for name in self._target.services
            if name not in self._parts and name not in self._failures
        ]

    def list_missing(self) -> list[MissingPart]:
        """Returns the parts that were not received, each with the reason."""
        return [
            MissingPart(service=name, reason=self._failures.get(name, "no reply yet"))
            for name in self._target.services
            if name not in self._parts
        ]

    def list_proofs(self) -> list[str]:
        """Returns the proofs of the parts received."""
        return [part.proof for part in self._parts.values()]

    def merge(self) -> bytes:
        """Returns the greatest records of the parts received, greatest first."""
        return merge_records(self._records, top=self._target.top)

    def describe_parts(self, started_ms: float) -> list[dict]:
        """Returns, for a log line, the parts sent more than once or last to arrive.

        Args:
            started_ms: Arrival times are given relative to this.
        """
        last = sorted(self._arrived_ms, key=self._arrived_ms.__getitem__)
        names = dict.fromkeys(last[-LAST_PARTS_LOGGED:])
        names |= dict.fromkeys(n for n, p in self._parts.items() if p.sends > 1)
        return [
            {
                "service": name,
                "upstream": self._parts[name].upstream,
                "sends": self._parts[name].sends,
                "queued_ms": self._parts[name].queued_ms,
                "upstream_ms": self._parts[name].upstream_ms,
                "arrived_ms": round(self._arrived_ms[name] - started_ms, 1),
            }
            for name in names
        ]
