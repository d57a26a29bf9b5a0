"""Member table: the latest update about each instance, and the order of updates.

The table opens no sockets and starts no threads; `membership` calls its methods with
what it receives and with the current time.
"""

import dataclasses
import random

from gooseberrymux.messages import MemberUpdate
from gooseberrymux.records import InstanceRecord, MemberState

# Limits the size of a probe, so that it does not grow with the fleet.
MAX_UPDATES_PER_PROBE = 8
# Up to this many of the updates are about random members, so that an instance that
# joins learns the whole fleet over time even while the platform's list is unavailable.
RANDOM_UPDATES_PER_PROBE = 2
# An update is sent with this many probes for each doubling of the fleet, which reaches
# all members with high probability.
RETRANSMIT_MULTIPLIER = 3
# A member raises its sequence number once for each false claim that it refutes, so a
# greater number is corrupt and the update is ignored.
MAX_SEQUENCE = 1 << 40

STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def supersedes(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Returns whether an update replaces the known one about the same member.

    The higher incarnation wins, then the higher sequence number, which only the member
    itself raises, then the worse state. The other fields only make the order total.
    """
    return get_precedence_key(update) > get_precedence_key(known)


def get_precedence_key(update: MemberUpdate) -> tuple:
    """Returns the sort key of an update among those about the same member."""
    return (
        update.incarnation,
        update.sequence,
        STATE_PRECEDENCE[update.state],
        update.host,
        update.port,
        update.failure_domain,
        update.region,
        update.capacity,
    )


class Member:
    """Row of the table: the latest update about a member, and local bookkeeping.

    Attributes:
        update: The latest update.
        silent_since_ms: When the member was found silent or reported as a suspect;
            None if it is neither.
        dead_since_ms: When it was declared dead; None if it is not dead.
        transmissions_left: Number of probes that the update is still to be sent with.
    """

    __slots__ = ("update", "silent_since_ms", "dead_since_ms", "transmissions_left")

    def __init__(self, *, update: MemberUpdate):
        self.update = update
        self.silent_since_ms: float | None = None
        self.dead_since_ms: float | None = None
        self.transmissions_left = 0


class MemberTable:
    """All members by name, this instance included. Not thread-safe."""

    __slots__ = ("own_name", "_members", "_updates_to_spread", "_random")

    def __init__(self, *, own: MemberUpdate, seed: int):
        self.own_name = own.instance
        self._members = {own.instance: Member(update=own)}
        self._updates_to_spread: set[str] = set()
        self._random = random.Random(seed)

    @property
    def own(self) -> MemberUpdate:
        """The update that this instance publishes about itself."""
        return self._members[self.own_name].update

    def get(self, name: str) -> MemberUpdate | None:
        """Returns the latest update about a member, or None if it is unknown."""
        member = self._members.get(name)
        return member.update if member else None

    def list_all(self) -> tuple[MemberUpdate, ...]:
        """Returns the latest update about each member, this instance included."""
        return tuple(member.update for member in self._members.values())

    def list_live(self) -> tuple[InstanceRecord, ...]:
        """Returns the members that may own upstreams.

        A member known only from the platform's list has incarnation 0 and is excluded
        until an update about its run arrives: the list lags and may name dead ones.
        """
        return tuple(
            create_instance_record(update)
            for update in self.list_all()
            if update.state is MemberState.ALIVE and update.incarnation
        )

    def merge(self, update: MemberUpdate, *, now_ms: float) -> bool:
        """Stores an update about another member if it supersedes the known one.

        Returns:
            Whether the update was stored.
        """
        if update.instance == self.own_name or update.sequence > MAX_SEQUENCE:
            return False
        member = self._members.get(update.instance)
        if member is None:
            member = Member(update=update)
            self._members[update.instance] = member
        elif not supersedes(update, member.update):
            return False
        member.update = update
        suspected = update.state is MemberState.SUSPECT
        member.silent_since_ms = now_ms if suspected else None
        dead = update.state is MemberState.DEAD
        member.dead_since_ms = now_ms if dead else None
        self._schedule_spread(member)
        return True

    def refute(self, update: MemberUpdate) -> bool:
        """Refutes an update about this run of this instance with a higher sequence.

        Updates about earlier runs and those that this instance's own update already
        supersedes need no refutation.

        Returns:
            Whether the update had to be refuted.
        """
        own = self.own
        if (
            update.instance != self.own_name
            or update.incarnation != own.incarnation
            or update.sequence > MAX_SEQUENCE
            or not supersedes(update, own)
        ):
            return False
        self._set_own(dataclasses.replace(own, sequence=update.sequence + 1))
        return True

    def raise_own_incarnation(self, incarnation: int) -> None:
        """Sets a higher incarnation for this instance."""
        self._set_own(dataclasses.replace(self.own, incarnation=incarnation))

    def mark_own_leaving(self) -> None:
        """Sets this instance's state to leaving, with a higher sequence number."""
        own = self.own
        self._set_own(
            dataclasses.replace(
                own, state=MemberState.LEAVING, sequence=own.sequence + 1
            )
        )

    def merge_listed_instance(self, record: InstanceRecord) -> bool:
        """Adds a member of the platform's list if the table has no update about it.

        The list lags, so it neither revives a dead member nor removes a known one.

        Returns:
            Whether the member has to be contacted at the list's address: it is new, is
            known only from the list, or is dead and may have restarted elsewhere.
        """
        member = self._members.get(record.name)
        if record.name == self.own_name:
            return False
        if member is None:
            state = MemberState.LEAVING if record.leaving else MemberState.ALIVE
            update = create_listed_update(record, state)
            self._members[record.name] = Member(update=update)
            return True
        if member.update.incarnation == 0:
            member.update = create_listed_update(record, member.update.state)
            return True
        return member.update.state is MemberState.DEAD

    def mark_silent(self, name: str, *, now_ms: float) -> bool:
        """Records that a member does not answer, and makes an alive one a suspect.

        A leaving member keeps its state, but is declared dead like a suspect if it
        stays silent.

        Returns:
            Whether the state changed.
        """
        member = self._members.get(name)
        if member is None or name == self.own_name:
            return False
        if member.update.state is MemberState.DEAD:
            return False
        if member.silent_since_ms is None:
            member.silent_since_ms = now_ms
        if member.update.state is not MemberState.ALIVE:
            return False
        self._change_state(member, MemberState.SUSPECT)
        return True

    def record_heard(self, name: str) -> None:
        """Records that a leaving member answered.

        For a suspect this has no effect: it must refute the suspicion itself.
        """
        member = self._members.get(name)
        if member and member.update.state is MemberState.LEAVING:
            member.silent_since_ms = None

    def expire_silent(self, *, before_ms: float, now_ms: float) -> list[MemberUpdate]:
        """Declares dead all members that are silent since `before_ms` or earlier.

        Returns:
            The updates about these members.
        """
        expired = []
        for member in self._members.values():
            since_ms = member.silent_since_ms
            if since_ms is not None and since_ms <= before_ms:
                self._change_state(member, MemberState.DEAD)
                member.silent_since_ms = None
                member.dead_since_ms = now_ms
                expired.append(member.update)
        return expired

    def list_silent(self) -> list[str]:
        """Returns the names of members that are silent but not yet declared dead."""
        return [
            name
            for name, member in self._members.items()
            if member.silent_since_ms is not None
        ]

    def list_dead(self) -> list[str]:
        """Returns the names of dead members that are still in the table."""
        return [
            name
            for name, member in self._members.items()
            if member.dead_since_ms is not None
        ]

    def forget_dead(self, *, before_ms: float) -> list[str]:
        """Removes members dead since `before_ms` or earlier; returns their names."""
        forgotten = [
            name
            for name in self.list_dead()
            if self._members[name].dead_since_ms <= before_ms
        ]
        for name in forgotten:
            del self._members[name]
            self._updates_to_spread.discard(name)
        return forgotten

    def pick_updates(self, *, target: str) -> list[MemberUpdate]:
        """Returns the updates for one probe: at most `MAX_UPDATES_PER_PROBE`.

        The first is about this instance. If the target is not alive in the table, its
        update comes next, so that the target can refute it. Then follow updates that
        still have to spread, those sent least often first, and random members.
        """
        chosen = {self.own_name: self.own}
        known = self.get(target)
        if known and known.state is not MemberState.ALIVE and known.incarnation:
            chosen[target] = known
        names = sorted(
            self._updates_to_spread, key=self._get_spread_priority, reverse=True
        )
        for name in names[: MAX_UPDATES_PER_PROBE - len(chosen)]:
            member = self._members[name]
            member.transmissions_left -= 1
            if member.transmissions_left <= 0:
                self._updates_to_spread.discard(name)
            chosen[name] = member.update
        random_count = min(
            RANDOM_UPDATES_PER_PROBE,
            MAX_UPDATES_PER_PROBE - len(chosen),
            len(self._members),
        )
        for name in self._random.sample(list(self._members), random_count):
            update = self._members[name].update
            if update.incarnation:
                chosen.setdefault(name, update)
        return list(chosen.values())

    def _change_state(self, member: Member, state: MemberState) -> None:
        member.update = dataclasses.replace(member.update, state=state)
        self._schedule_spread(member)

    def _set_own(self, update: MemberUpdate) -> None:
        self._members[self.own_name].update = update

    def _schedule_spread(self, member: Member) -> None:
        member.transmissions_left = (
            RETRANSMIT_MULTIPLIER * len(self._members).bit_length()
        )
        self._updates_to_spread.add(member.update.instance)

    def _get_spread_priority(self, name: str) -> tuple[int, str]:
        return self._members[name].transmissions_left, name


def create_instance_record(update: MemberUpdate) -> InstanceRecord:
    """Returns the instance record for the member that an update is about."""
    return InstanceRecord(
        name=update.instance,
        host=update.host,
        peer_port=update.port,
        failure_domain=update.failure_domain,
        region=update.region,
        capacity=update.capacity,
    )


def create_listed_update(record: InstanceRecord, state: MemberState) -> MemberUpdate:
    """Returns an update, with incarnation 0, from a record of the platform's list."""
    return MemberUpdate(
        instance=record.name,
        incarnation=0,
        state=state,
        host=record.host,
        port=record.peer_port,
        failure_domain=record.failure_domain,
        region=record.region,
    )
