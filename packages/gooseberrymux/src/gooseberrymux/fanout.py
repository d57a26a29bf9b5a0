"""One fan-out at its entry: the parts that are in, what is missing, when to answer."""

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

# Of a fan-out that is late anyway, parts are waited for this many latency targets more.
LATE_TARGETS = 1.0
# Parts named in a log line beside those that are missing or were sent again.
SLOWEST_LOGGED = 3

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Waiting:
    """More parts are to come; look again at `until_ms` at the latest."""

    until_ms: float


@_frozen
class Complete:
    """It is time to answer with the parts that are in."""


@_frozen
class Hopeless:
    """The minimum share can't be reached any more."""


Progress = Waiting | Complete | Hopeless


@_frozen
class Missing:
    """A part that is not in, and why."""

    service: str
    reason: str


class Fanout:
    """State of one fan-out.

    Args:
        target: What it asks for.
        started_ms: When it began.
        target_at_ms: When to answer with the parts that are in.
        late_after_ms: When an answer ceases to be on time.
        deadline_ms: When it has to be answered.
        latency_target_ms: The route's latency target.
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
        "_has_run",
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
        give_up_ms = max(started_ms, target_at_ms) + LATE_TARGETS * latency_target_ms
        self._give_up_at_ms = min(deadline_ms, give_up_ms)
        self._deadline_ms = deadline_ms
        self._parts: dict[str, MergedPart] = {}
        self._records: list[bytes] = []
        self._failures: dict[str, str] = {}
        self._arrived_ms: dict[str, float] = {}
        self._has_run = False
        self.retry_after_ms = 0.0

    def take(self, outcome: PartOutcome, now_ms: float) -> None:
        """Takes in the outcome of one part."""
        match outcome:
            case PartsMerged(parts=parts, records=records):
                self._take_merged(parts, records, now_ms)
            case _ if outcome.service in self._parts:
                # Another owner has replied meanwhile.
                return
            case PartReplied(status=status):
                self._has_run = True
                self._failures[outcome.service] = f"status_{status}"
            case PartNotRun(reason=reason, retry_after_ms=retry_after_ms):
                self.retry_after_ms = max(self.retry_after_ms, retry_after_ms)
                self._failures[outcome.service] = reason
            case PartUnknown(reason=reason):
                self._has_run = True
                self._failures[outcome.service] = reason

    def _take_merged(
        self, parts: list[MergedPart], records: bytes, now_ms: float
    ) -> None:
        self._has_run = True
        if any(part.service in self._parts for part in parts):
            # Their records can't be told from those that are in already.
            return
        self._records.append(records)
        for part in parts:
            self._parts[part.service] = part
            self._arrived_ms[part.service] = now_ms
            self._failures.pop(part.service, None)

    def reopen(self, service: str) -> None:
        """Notes that a failed part was sent again."""
        self._failures.pop(service, None)

    def judge(self, now_ms: float) -> Progress:
        """Returns whether to answer now, and when to look again."""
        total = len(self._target.services)
        needed = self._target.minimum_share * total
        if total - len(self._failures) < needed:
            return Hopeless()
        enough = len(self._parts) >= max(1.0, needed)
        if len(self._parts) + len(self._failures) >= total:
            return Complete() if enough else Hopeless()
        if now_ms >= self._deadline_ms:
            return Complete() if enough else Hopeless()
        if now_ms < self._target_at_ms:
            return Waiting(until_ms=self._target_at_ms)
        # Just in time with a part missing is worth more to the caller than whole and
        # late; where it is late already, the parts are waited for a while longer.
        on_time = now_ms < self._late_after_ms
        waited = now_ms >= self._give_up_at_ms
        if enough and (on_time or waited):
            return Complete()
        return Waiting(until_ms=self._deadline_ms if waited else self._give_up_at_ms)

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run a part, also one without an outcome yet."""
        return self._has_run or bool(self.list_open())

    def list_open(self) -> list[str]:
        """Returns the services without an outcome."""
        return [
            name
            for name in self._target.services
            if name not in self._parts and name not in self._failures
        ]

    def list_missing(self) -> list[Missing]:
        """Returns the parts that are not in."""
        return [
            Missing(service=name, reason=self._failures.get(name, "no reply yet"))
            for name in self._target.services
            if name not in self._parts
        ]

    def list_proofs(self) -> list[str]:
        """Returns the proofs of the parts that are in."""
        return [part.proof for part in self._parts.values()]

    def merge(self) -> bytes:
        """Returns the greatest records of the parts that are in, greatest first."""
        return merge_records(self._records, top=self._target.top)

    def describe_parts(self, started_ms: float) -> list[dict]:
        """Returns the parts worth a look: sent again, or the last to arrive."""
        last = sorted(self._arrived_ms, key=self._arrived_ms.__getitem__)
        names = dict.fromkeys(last[-SLOWEST_LOGGED:])
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
