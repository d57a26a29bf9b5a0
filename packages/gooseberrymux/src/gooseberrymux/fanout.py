"""One fan-out at its entry: the parts that are in, what is missing, when to answer."""

import dataclasses

from gooseberrymux.forward_messages import (
    PartNotRun,
    PartOutcome,
    PartReplied,
    PartUnknown,
)
from gooseberrymux.routes import FanoutTarget

RECORD_BYTES = 16
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
        target_at_ms: When an answer ceases to be on time.
        deadline_ms: When it has to be answered.
        latency_target_ms: The route's latency target.
    """

    __slots__ = (
        "_target",
        "_target_at_ms",
        "_late_at_ms",
        "_deadline_ms",
        "_replies",
        "_failures",
        "_arrived_ms",
        "may_have_run",
        "retry_after_ms",
    )

    def __init__(
        self,
        *,
        target: FanoutTarget,
        target_at_ms: float,
        deadline_ms: float,
        latency_target_ms: float,
    ):
        self._target = target
        self._target_at_ms = target_at_ms
        late_ms = target_at_ms + LATE_TARGETS * latency_target_ms
        self._late_at_ms = min(deadline_ms, late_ms)
        self._deadline_ms = deadline_ms
        self._replies: dict[str, PartReplied] = {}
        self._failures: dict[str, str] = {}
        self._arrived_ms: dict[str, float] = {}
        self.may_have_run = False
        self.retry_after_ms = 0.0

    def take(self, outcome: PartOutcome, now_ms: float) -> None:
        """Takes in the outcome of one part."""
        if outcome.service in self._replies:
            return
        match outcome:
            case PartReplied(status=status) if 200 <= status < 300:
                self.may_have_run = True
                self._replies[outcome.service] = outcome
                self._arrived_ms[outcome.service] = now_ms
                self._failures.pop(outcome.service, None)
            case PartReplied(status=status):
                self.may_have_run = True
                self._failures[outcome.service] = f"status_{status}"
            case PartNotRun(reason=reason, retry_after_ms=retry_after_ms):
                self.retry_after_ms = max(self.retry_after_ms, retry_after_ms)
                self._failures[outcome.service] = reason
            case PartUnknown(reason=reason):
                self.may_have_run = True
                self._failures[outcome.service] = reason

    def reopen(self, service: str) -> None:
        """Notes that a failed part was sent again."""
        self._failures.pop(service, None)

    def judge(self, now_ms: float) -> Progress:
        """Returns whether to answer now, and when to look again."""
        total = len(self._target.services)
        needed = self._target.minimum_share * total
        if total - len(self._failures) < needed:
            return Hopeless()
        enough = len(self._replies) >= max(1.0, needed)
        if len(self._replies) + len(self._failures) >= total:
            return Complete() if enough else Hopeless()
        if now_ms >= self._deadline_ms:
            return Complete() if enough else Hopeless()
        if now_ms < self._target_at_ms:
            return Waiting(until_ms=self._target_at_ms)
        # Just in time with a part missing is worth more to the caller than whole and
        # late; where it is late already, the parts are waited for a while longer.
        on_time = now_ms < self._target_at_ms + ON_TIME_SLACK_MS
        if enough and (on_time or now_ms >= self._late_at_ms):
            return Complete()
        late = now_ms < self._late_at_ms
        return Waiting(until_ms=self._late_at_ms if late else self._deadline_ms)

    def list_open(self) -> list[str]:
        """Returns the services without an outcome."""
        return [
            name
            for name in self._target.services
            if name not in self._replies and name not in self._failures
        ]

    def list_missing(self) -> list[Missing]:
        """Returns the parts that are not in."""
        return [
            Missing(service=name, reason=self._failures.get(name, "no reply yet"))
            for name in self._target.services
            if name not in self._replies
        ]

    def list_proofs(self) -> list[str]:
        """Returns the proofs of the parts that are in."""
        return [reply.proof for reply in self._replies.values()]

    def merge(self) -> bytes:
        """Returns the greatest records of the parts that are in, greatest first."""
        records: list[bytes] = []
        for reply in self._replies.values():
            records += split_records(reply.body)
        records.sort(reverse=True)
        return b"".join(records[: self._target.top])

    def describe_parts(self, started_ms: float) -> list[dict]:
        """Returns the parts worth a look: sent again, or the last to arrive."""
        last = sorted(self._arrived_ms, key=self._arrived_ms.__getitem__)
        names = dict.fromkeys(last[-SLOWEST_LOGGED:])
        names |= dict.fromkeys(n for n, r in self._replies.items() if r.sends > 1)
        return [
            {
                "service": name,
                "upstream": self._replies[name].upstream,
                "sends": self._replies[name].sends,
                "queued_ms": round(self._replies[name].queued_ms, 1),
                "upstream_ms": round(self._replies[name].upstream_ms, 1),
                "arrived_ms": round(self._arrived_ms[name] - started_ms, 1),
            }
            for name in names
        ]


# An answer whose last part arrives this soon after its target is decided as if on time.
ON_TIME_SLACK_MS = 5.0


def split_records(body: bytes) -> list[bytes]:
    """Returns the whole records of a part; a shorter rest is no record."""
    whole = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]
