"""Member table: what is believed of each instance, and which belief prevails.

The table opens no sockets and starts no threads; `membership` feeds it.
"""

import dataclasses
import random

from gooseberrymux.messages import MemberUpdate
from gooseberrymux.records import InstanceRecord, MemberState

# Bounds the updates on a probe, so that its size does not grow with the fleet.
UPDATES_LIMIT = 8
# Of these, members picked at random, so that a newcomer learns the whole fleet over
# time even while the platform's list is unavailable.
RANDOM_UPDATES = 2
# An update rides on this many probes for each doubling of the fleet, which reaches all
# members with high probability.
SPREAD_FACTOR = 3
# A member raises its sequence once for each accusation; more is garbage.
SEQUENCE_LIMIT = 1 << 40

SEVERITY = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def prevails(update: MemberUpdate, over: MemberUpdate) -> bool:
    """Returns whether one update replaces another about the same member.

    A later run wins, then the sequence that only the member itself raises, then the
    worse state. The address only makes the order total.
    """
    return sort_key(update) > sort_key(over)


def sort_key(update: MemberUpdate) -> tuple:
    """Returns the key by which updates about one member are ordered."""
    return (
        update.incarnation,
        update.sequence,
        SEVERITY[update.state],
        update.host,
        update.port,
        update.failure_domain,
        update.region,
        update.capacity,
    )


class Member:
    """One row of the table."""

    __slots__ = ("update", "silent_since_ms", "dead_since_ms", "spreads_left")

    def __init__(self, *, update: MemberUpdate):
        self.update = update
        self.silent_since_ms: float | None = None
        self.dead_since_ms: float | None = None
        self.spreads_left = 0


class MemberTable:
    """All members by name, this instance included. Not thread-safe."""

    __slots__ = ("own_name", "_members", "_news", "_random")

    def __init__(self, *, own: MemberUpdate, seed: int):
        self.own_name = own.instance
        self._members = {own.instance: Member(update=own)}
        self._news: set[str] = set()
        self._random = random.Random(seed)

    @property
    def own(self) -> MemberUpdate:
        """What this instance says of itself."""
        return self._members[self.own_name].update

    def get(self, name: str) -> MemberUpdate | None:
        """Returns what is believed of a member, or None."""
        member = self._members.get(name)
        return member.update if member else None

    def list_all(self) -> tuple[MemberUpdate, ...]:
        """Returns what is believed of every member."""
        return tuple(member.update for member in self._members.values())

    def list_live(self) -> tuple[InstanceRecord, ...]:
        """Returns the members that may own upstreams.

        A member that only the platform's list names (incarnation 0) counts once it
        was heard: the list lags and may name the dead.
        """
        return tuple(
            create_record(update)
            for update in self.list_all()
            if update.state is MemberState.ALIVE and update.incarnation
        )

    def merge(self, update: MemberUpdate, *, now_ms: float) -> bool:
        """Takes over an update about another member if it prevails.

        Returns:
            Whether it changed the table.
        """
        if update.instance == self.own_name or update.sequence > SEQUENCE_LIMIT:
            return False
        member = self._members.get(update.instance)
        if member is None:
            member = Member(update=update)
            self._members[update.instance] = member
        elif not prevails(update, member.update):
            return False
        member.update = update
        suspected = update.state is MemberState.SUSPECT
        member.silent_since_ms = now_ms if suspected else None
        dead = update.state is MemberState.DEAD
        member.dead_since_ms = now_ms if dead else None
        self._mark_news(member)
        return True

    def refute(self, update: MemberUpdate) -> bool:
        """Outbids what another says of this run of this instance.

        Returns:
            Whether the update was an accusation that had to be outbid.
        """
        own = self.own
        if (
            update.instance != self.own_name
            or update.incarnation != own.incarnation
            or update.sequence > SEQUENCE_LIMIT
            or not prevails(update, own)
        ):
            return False
        self._set_own(dataclasses.replace(own, sequence=update.sequence + 1))
        return True

    def raise_own(self, incarnation: int) -> None:
        """Enters this instance under a higher incarnation."""
        self._set_own(dataclasses.replace(self.own, incarnation=incarnation))

    def leave(self) -> None:
        """Enters this instance as leaving."""
        own = self.own
        self._set_own(
            dataclasses.replace(
                own, state=MemberState.LEAVING, sequence=own.sequence + 1
            )
        )

    def hint(self, record: InstanceRecord) -> bool:
        """Enters a member that the platform's list names, if it is not known.

        The list lags, so it neither revives a member nor takes a known one away.

        Returns:
            Whether the member has to be contacted at the list's address: it is new,
            was never heard, or is dead and may have come back elsewhere.
        """
        member = self._members.get(record.name)
        if record.name == self.own_name:
            return False
        if member is None:
            state = MemberState.LEAVING if record.leaving else MemberState.ALIVE
            update = create_hint(record, state)
            self._members[record.name] = Member(update=update)
            return True
        if member.update.incarnation == 0:
            member.update = create_hint(record, member.update.state)
            return True
        return member.update.state is MemberState.DEAD

    def accuse(self, name: str, *, now_ms: float) -> bool:
        """Notes that a member is silent; returns whether its state changed."""
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

    def clear(self, name: str) -> None:
        """Notes that a leaving member was heard; a suspect has to refute by itself."""
        member = self._members.get(name)
        if member and member.update.state is MemberState.LEAVING:
            member.silent_since_ms = None

    def expire_suspects(self, *, before_ms: float, now_ms: float) -> list[MemberUpdate]:
        """Declares dead all members that are silent since before `before_ms`."""
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
        """Returns the members that are silent but not yet declared dead."""
        return [
            name
            for name, member in self._members.items()
            if member.silent_since_ms is not None
        ]

    def list_dead(self) -> list[str]:
        """Returns the members that are dead but not yet forgotten."""
        return [
            name
            for name, member in self._members.items()
            if member.dead_since_ms is not None
        ]

    def forget_dead(self, *, before_ms: float) -> list[str]:
        """Removes members dead since before `before_ms`; returns their names."""
        forgotten = [
            name
            for name in self.list_dead()
            if self._members[name].dead_since_ms <= before_ms
        ]
        for name in forgotten:
            del self._members[name]
            self._news.discard(name)
        return forgotten

    def pick_updates(self, *, target: str) -> list[MemberUpdate]:
        """Returns the updates for one probe: at most `UPDATES_LIMIT`.

        The first is this instance's own. A target that is not believed alive learns
        that, so that it can refute it. News goes before members at random.
        """
        chosen = {self.own_name: self.own}
        accused = self.get(target)
        if accused and accused.state is not MemberState.ALIVE and accused.incarnation:
            chosen[target] = accused
        news = sorted(self._news, key=self._count_spreads_left, reverse=True)
        for name in news[: UPDATES_LIMIT - len(chosen)]:
            member = self._members[name]
            member.spreads_left -= 1
            if member.spreads_left <= 0:
                self._news.discard(name)
            chosen[name] = member.update
        room = min(RANDOM_UPDATES, UPDATES_LIMIT - len(chosen), len(self._members))
        for name in self._random.sample(list(self._members), room):
            update = self._members[name].update
            if update.incarnation:
                chosen.setdefault(name, update)
        return list(chosen.values())

    def _change_state(self, member: Member, state: MemberState) -> None:
        member.update = dataclasses.replace(member.update, state=state)
        self._mark_news(member)

    def _set_own(self, update: MemberUpdate) -> None:
        self._members[self.own_name].update = update

    def _mark_news(self, member: Member) -> None:
        member.spreads_left = SPREAD_FACTOR * len(self._members).bit_length()
        self._news.add(member.update.instance)

    def _count_spreads_left(self, name: str) -> tuple[int, str]:
        return self._members[name].spreads_left, name


def create_record(update: MemberUpdate) -> InstanceRecord:
    """Returns the record of a member that may own upstreams."""
    return InstanceRecord(
        name=update.instance,
        host=update.host,
        peer_port=update.port,
        failure_domain=update.failure_domain,
        region=update.region,
        capacity=update.capacity,
    )


def create_hint(record: InstanceRecord, state: MemberState) -> MemberUpdate:
    """Returns the row of a member that was never heard."""
    return MemberUpdate(
        instance=record.name,
        incarnation=0,
        state=state,
        host=record.host,
        port=record.peer_port,
        failure_domain=record.failure_domain,
        region=record.region,
    )
