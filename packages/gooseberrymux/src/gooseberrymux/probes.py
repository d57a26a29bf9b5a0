"""Choice of members to probe, pending probes with deadlines, and relayed probes."""

import dataclasses
import itertools
import random
from collections.abc import Callable

from gooseberrymux.members import MemberTable
from gooseberrymux.records import MemberState

MAX_RELAYS = 1_024
SILENT_MEMBERS_PER_PERIOD = 3
# A dead member is probed once in this many periods, so that instances find each other
# again after a network partition.
DEAD_PROBE_INTERVAL_PERIODS = 10
# Longest wait for the target's own reply to a probe, if the target is heard otherwise.
REPLY_TIMEOUT_MS = 1_500.0


class ProbeTargetSelector:
    """Picks the members to probe in each period. Not thread-safe.

    Members that are not dead take turns in an order that is shuffled for each round.
    """

    __slots__ = ("_remaining", "_period_count", "_random")

    def __init__(self, *, seed: int):
        self._remaining: list[str] = []
        self._period_count = 0
        self._random = random.Random(seed)

    def pick_targets(self, table: MemberTable) -> list[str]:
        """Returns the names of the members to probe in this period.

        These are a few random silent members, in every `DEAD_PROBE_INTERVAL_PERIODS`
        periods a random dead one, and last the next member in turn.
        """
        self._period_count += 1
        silent = table.list_silent()
        targets = self._random.sample(
            silent, min(SILENT_MEMBERS_PER_PERIOD, len(silent))
        )
        if self._period_count % DEAD_PROBE_INTERVAL_PERIODS == 0 and (
            dead := table.list_dead()
        ):
            targets.append(self._random.choice(dead))
        if not self._remaining:
            self._remaining = [
                update.instance
                for update in table.list_all()
                if update.instance != table.own_name
                and update.state is not MemberState.DEAD
            ]
            self._random.shuffle(self._remaining)
        if self._remaining:
            targets.append(self._remaining.pop())
        return targets


@dataclasses.dataclass(slots=True, kw_only=True)
class PendingProbe:
    """A probe that was sent and not yet answered.

    Attributes:
        target: The member that is probed.
        incarnation: The target's incarnation when it was probed; 0 if unknown.
        sent_ms: When the probe was sent.
        deadline_ms: When it is given up, or other members are asked to probe.
        indirect: Whether other members were asked to probe too.
    """

    target: str
    incarnation: int
    sent_ms: float
    deadline_ms: float
    indirect: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """A probe sent on behalf of another member, which gets the reply.

    Attributes:
        requester: The member that asked for the probe.
        sequence: The requester's sequence number, which the reply to it carries.
        deadline_ms: When the relay expires.
    """

    requester: str
    sequence: int
    deadline_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A frame of the target arrived after the probe was sent."""

    probe: PendingProbe


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbesNeeded:
    """The target did not answer in time; other members are to be asked to probe it."""

    probe: PendingProbe
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unanswered:
    """The target answered neither this instance nor the other members in time."""

    probe: PendingProbe


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplyMissing:
    """The target is alive, but its own reply to the probe did not arrive.

    Attributes:
        probe: The probe.
        count: How many replies of the target are missing in a row.
    """

    probe: PendingProbe
    count: int


ProbeOutcome = Answered | IndirectProbesNeeded | Unanswered | ReplyMissing


class ProbeTable:
    """Pending probes and relays by sequence number. Not thread-safe."""

    __slots__ = (
        "_pending",
        "_unreplied",
        "_missing_counts",
        "_relays",
        "_sequence",
        "_timeout_ms",
    )

    def __init__(self, *, timeout_ms: float):
        self._pending: dict[int, PendingProbe] = {}
        # Probes of targets that were heard otherwise. Each connection carries frames in
        # one direction, so frames of the target don't show that it gets those sent to
        # it; only its own reply does.
        self._unreplied: dict[int, PendingProbe] = {}
        self._missing_counts: dict[str, int] = {}
        self._relays: dict[int, Relay] = {}
        self._sequence = itertools.count(1)
        self._timeout_ms = timeout_ms

    def __len__(self) -> int:
        """Returns the number of pending probes."""
        return len(self._pending)

    def allocate_sequence(self) -> int:
        """Returns a sequence number for a probe whose reply is not awaited."""
        return next(self._sequence)

    def register_probe(
        self, *, target: str, incarnation: int, now_ms: float, indirect: bool
    ) -> int | None:
        """Registers a probe that is about to be sent.

        Returns:
            Its sequence number, or None if a probe of the target is already pending.
        """
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

    def complete_probe(
        self, *, sequence: int, target: str, is_direct: bool
    ) -> PendingProbe | None:
        """Records the reply to a probe; returns the probe if that answers it.

        Args:
            sequence: Sequence number of the probe.
            target: The member that replied.
            is_direct: Whether the target itself sent the reply, and no helper.
        """
        pending = self._pending.get(sequence)
        known = pending or self._unreplied.get(sequence)
        if known is None or known.target != target:
            return None
        if is_direct:
            self._unreplied.pop(sequence, None)
            self._missing_counts.pop(target, None)
        elif pending:
            self._await_reply(sequence, pending)
        return self._pending.pop(sequence, None)

    def _await_reply(self, sequence: int, probe: PendingProbe) -> None:
        probe.deadline_ms = max(probe.deadline_ms, probe.sent_ms + REPLY_TIMEOUT_MS)
        self._unreplied[sequence] = probe

    def find_next_deadline_ms(self, latest_ms: float) -> float:
        """Returns the earliest deadline, or `latest_ms` if that is sooner."""
        return (
            min(latest_ms, *(pending.deadline_ms for pending in self._pending.values()))
            if self._pending
            else latest_ms
        )

    def extend_deadlines(self, late_ms: float) -> None:
        """Moves all deadlines by `late_ms`, for which this instance was paused.

        Replies may have arrived during the pause and not have been read yet.
        """
        for pending in (*self._pending.values(), *self._unreplied.values()):
            pending.deadline_ms += late_ms

    def evaluate(
        self, *, now_ms: float, get_last_heard_ms: Callable[[str], float | None]
    ) -> list[ProbeOutcome]:
        """Returns the outcomes of probes that were answered or are past their deadline.

        Any frame of the target counts as an answer, so that a busy peer whose reply
        is late is not declared dead. A probe with an outcome is removed, unless other
        members are to be asked: then it gets a new deadline.

        Args:
            now_ms: The current time.
            get_last_heard_ms: Returns when a frame of a member last arrived, or None.
        """
        outcomes: list[ProbeOutcome] = []
        for sequence, pending in list(self._pending.items()):
            if (get_last_heard_ms(pending.target) or 0.0) > pending.sent_ms:
                del self._pending[sequence]
                self._await_reply(sequence, pending)
                outcomes.append(Answered(probe=pending))
            elif now_ms < pending.deadline_ms:
                continue
            elif pending.indirect:
                del self._pending[sequence]
                outcomes.append(Unanswered(probe=pending))
            else:
                pending.indirect = True
                pending.deadline_ms = now_ms + self._timeout_ms
                outcomes.append(IndirectProbesNeeded(probe=pending, sequence=sequence))
        return outcomes + self._expire_unreplied(now_ms)

    def _expire_unreplied(self, now_ms: float) -> list[ProbeOutcome]:
        outcomes: list[ProbeOutcome] = []
        for sequence, probe in list(self._unreplied.items()):
            if now_ms < probe.deadline_ms:
                continue
            del self._unreplied[sequence]
            count = self._missing_counts.get(probe.target, 0) + 1
            self._missing_counts[probe.target] = count
            outcomes.append(ReplyMissing(probe=probe, count=count))
        return outcomes

    def forget_missing_replies(self, target: str) -> None:
        """Starts the count of missing replies of a target anew."""
        self._missing_counts.pop(target, None)

    def register_relay(
        self, *, requester: str, sequence: int, now_ms: float
    ) -> int | None:
        """Registers a probe that is sent on behalf of another member.

        Args:
            requester: The member that asked for the probe.
            sequence: The requester's sequence number.
            now_ms: The current time.

        Returns:
            The sequence number of the relayed probe, or None if `MAX_RELAYS` probes are
            relayed already.
        """
        if len(self._relays) >= MAX_RELAYS:
            return None
        own_sequence = next(self._sequence)
        self._relays[own_sequence] = Relay(
            requester=requester,
            sequence=sequence,
            deadline_ms=now_ms + self._timeout_ms,
        )
        return own_sequence

    def complete_relay(self, sequence: int) -> Relay | None:
        """Removes a relay whose reply arrived; returns it, or None if it is unknown."""
        return self._relays.pop(sequence, None)

    def expire_relays(self, now_ms: float) -> None:
        """Removes relays whose reply did not arrive in time."""
        self._relays = {
            sequence: relay
            for sequence, relay in self._relays.items()
            if now_ms < relay.deadline_ms
        }
