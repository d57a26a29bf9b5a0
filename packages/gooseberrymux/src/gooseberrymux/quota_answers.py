"""Outcomes of a request for a token, and the wait of a caller's thread for them."""

import dataclasses
import threading
from collections.abc import Mapping

from gooseberrymux.quota_messages import QuotaGrant


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """The request is within the quota of its workspace."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exceeded:
    """No token was granted for the request; it must not run.

    Attributes:
        retry_after_ms: Time after which the caller should retry.
        reason: Why no token was granted, for the log.
    """

    retry_after_ms: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """A member granted the token that a caller waits for."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Declined:
    """A member granted nothing."""

    retry_after_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Redirected:
    """A member grants nothing for the workspace and names its owner."""

    owner: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unanswered:
    """A member is gone or did not answer in time."""


Answer = Granted | Declined | Redirected | Unanswered


class Waiter:
    """A caller's thread that waits for the answer to one request.

    Attributes:
        target: The member that was asked.
        answered: Notified once `answer` is set.
        answer: The answer; None until it is there.
    """

    __slots__ = ("target", "answered", "answer")

    def __init__(self, *, target: str, lock: threading.Lock):
        self.target = target
        self.answered = threading.Condition(lock)
        self.answer: Answer | None = None

    def set_answer(self, answer: Answer) -> None:
        """Ends the wait; the caller holds the lock. A later answer changes nothing."""
        if self.answer is None:
            self.answer = answer
            self.answered.notify()


def read_grant(grant: QuotaGrant, *, may_run: bool) -> Answer:
    """Returns the answer that a caller's thread waits for.

    Args:
        grant: The member's message.
        may_run: Whether it brought a token for the caller's request.
    """
    if may_run:
        return Granted()
    if grant.owner:
        return Redirected(owner=grant.owner)
    return Declined(retry_after_ms=grant.retry_after_ms)


def find_retry_ms(answers: Mapping[str, Answer], *, default_ms: float) -> float:
    """Returns the retry time of the first member that declined."""
    for answer in answers.values():
        match answer:
            # A grant that has expired names no time.
            case Declined(retry_after_ms=retry_after_ms) if retry_after_ms:
                return retry_after_ms
    return default_ms


def describe_answers(answers: Mapping[str, Answer]) -> str:
    """Returns what the members answered, for a log line."""
    described = [
        f"{target}: {describe_answer(answer)}" for target, answer in answers.items()
    ]
    return "; ".join(described) or "no member grants tokens"


def describe_answer(answer: Answer) -> str:
    """Returns what a member answered, for a log line."""
    match answer:
        case Granted():
            return "granted"
        case Declined(retry_after_ms=retry_after_ms):
            return f"declined for {retry_after_ms:.0f} ms"
        case Redirected(owner=owner):
            return f"names {owner} as the owner"
        case Unanswered():
            return "did not answer"
