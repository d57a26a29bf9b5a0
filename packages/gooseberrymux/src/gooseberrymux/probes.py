"""Whom to probe next, and what becomes of the probes that are open."""

import dataclasses
import itertools
import random
from collections.abc import Callable

from gooseberrymux.members import MemberTable
from gooseberrymux.records import MemberState

RELAYS_LIMIT = 1_024
SILENT_PROBES = 3
# Every so many periods a dead member is probed, so that a healed partition is found.
DEAD_PROBE_PERIODS = 10


class ProbeRounds:
    """Picks the members to probe in each period. Not thread-safe."""

    __slots__ = ("_left", "_periods", "_random")

    def __init__(self, *, seed: int):
        self._left: list[str] = []
        self._periods = 0
        self._random = random.Random(seed)

    def pick_targets(self, table: MemberTable) -> list[str]:
        """Returns a few silent members, at times a dead one, and the next in turn."""
        self._periods += 1
        silent = table.list_silent()
        targets = self._random.sample(silent, min(SILENT_PROBES, len(silent)))
        if self._periods % DEAD_PROBE_PERIODS == 0 and (dead := table.list_dead()):
            targets.append(self._random.choice(dead))
        if not self._left:
            self._left = [
                update.instance
                for update in table.list_all()
                if update.instance != table.own_name
                and update.state is not MemberState.DEAD
            ]
            self._random.shuffle(self._left)
        if self._left:
            targets.append(self._left.pop())
        return targets


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingProbe:
    """A probe without an answer so far."""

    target: str
    incarnation: int
    sent_ms: float
    deadline_ms: float
    indirect: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """A probe on behalf of another member, and where its answer goes."""

    requester: str
    sequence: int
    until_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """The target was heard after it was probed."""

    probe: PendingProbe


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AskOthers:
    """The target did not answer; others are to probe it."""

    probe: PendingProbe
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Missed:
    """Neither this instance nor another got an answer."""

    probe: PendingProbe


Verdict = Answered | AskOthers | Missed


class ProbeBook:
    """Pending probes and relays by sequence number. Not thread-safe."""

    __slots__ = ("_pending", "_relays", "_sequence", "_timeout_ms")

    def __init__(self, *, timeout_ms: float):
        self._pending: dict[int, PendingProbe] = {}
        self._relays: dict[int, Relay] = {}
        self._sequence = itertools.count(1)
        self._timeout_ms = timeout_ms

    def __len__(self) -> int:
        """Returns the number of pending probes."""
        return len(self._pending)

    def create_sequence(self) -> int:
        """Returns a number for a probe whose answer is not waited for."""
        return next(self._sequence)

    def open(
        self, *, target: str, incarnation: int, now_ms: float, indirect: bool
    ) -> int | None:
        """Enters a probe; returns its number, or None if one is pending."""
        if any(pending.target == target for pending in self._pending.values()):
            return None
        sequence = next(self._sequence)
        self._pending[sequence] = PendingProbe(
            target=target,
            incarnation=incarnation,
            sent_ms=now_ms,
            deadline_ms=now_ms + self._timeout_ms,
            indirect=indirect,
        )
        return sequence

    def close(self, *, sequence: int, target: str) -> PendingProbe | None:
        """Ends a probe whose answer arrived; returns it, or None if it is unknown."""
        pending = self._pending.get(sequence)
        if pending is None or pending.target != target:
            return None
        return self._pending.pop(sequence)

    def find_deadline(self, latest_ms: float) -> float:
        """Returns the earliest deadline, at most `latest_ms`."""
        return (
            min(latest_ms, *(pending.deadline_ms for pending in self._pending.values()))
            if self._pending
            else latest_ms
        )

    def extend(self, late_ms: float) -> None:
        """Moves all deadlines after a pause of this instance."""
        for pending in self._pending.values():
            pending.deadline_ms += late_ms

    def judge(
        self, *, now_ms: float, get_last_heard_ms: Callable[[str], float | None]
    ) -> list[Verdict]:
        """Returns what has become of the probes that are due.

        Any frame of the target counts as an answer, so that a busy peer whose reply
        is late is not taken for dead.
        """
        verdicts: list[Verdict] = []
        for sequence, pending in list(self._pending.items()):
            if (get_last_heard_ms(pending.target) or 0.0) > pending.sent_ms:
                del self._pending[sequence]
                verdicts.append(Answered(probe=pending))
            elif now_ms < pending.deadline_ms:
                continue
            elif pending.indirect:
                del self._pending[sequence]
                verdicts.append(Missed(probe=pending))
            else:
                pending.indirect = True
                pending.deadline_ms = now_ms + self._timeout_ms
                verdicts.append(AskOthers(probe=pending, sequence=sequence))
        return verdicts

    def open_relay(self, *, requester: str, sequence: int, now_ms: float) -> int | None:
        """Enters a probe for another member; returns its number, None if too many."""
        if len(self._relays) >= RELAYS_LIMIT:
            return None
        own_sequence = next(self._sequence)
        self._relays[own_sequence] = Relay(
            requester=requester, sequence=sequence, until_ms=now_ms + self._timeout_ms
        )
        return own_sequence

    def close_relay(self, sequence: int) -> Relay | None:
        """Ends a relay whose answer arrived; returns it, or None if it is unknown."""
        return self._relays.pop(sequence, None)

    def expire_relays(self, now_ms: float) -> None:
        """Forgets relays whose answer did not come in time."""
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if now_ms < relay.until_ms
        }
