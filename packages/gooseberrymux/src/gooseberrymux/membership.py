"""Which instances are alive, suspected, dead or leaving, found by their own probes.

Each period one member is probed, in a shuffled round robin, and two others are asked
to probe a member that did not answer. Probes carry a bounded number of updates, so
the cost for each instance does not grow with the fleet.
"""

import dataclasses
import random
import threading

from gooseberrymux import journal, metrics
from gooseberrymux.kernel import Kernel, LeaveStarted, SettingsChanged, service
from gooseberrymux.members import MemberTable
from gooseberrymux.messages import MemberUpdate, Probe, ProbeReply, ProbeRequest
from gooseberrymux.peers import IncarnationRaised, LinkDown, LinkUp, PeerHeard, Peers
from gooseberrymux.probes import (
    Answered,
    AskOthers,
    Missed,
    PendingProbe,
    ProbeBook,
    ProbeRounds,
)
from gooseberrymux.records import InstanceIdentity, InstanceRecord, MemberState
from gooseberrymux.settings import Address

INDIRECT_PROBES = 2
# A peer that owes an answer and is silent this long is probed at once. With the probe
# timeout this keeps the loss of a frozen peer well within a second.
QUIET_MS = 150
QUIET_SCAN_MS = 100
# A loop that wakes this late was paused itself; its probes get that much longer.
LATE_MS = 100
# A newcomer probes this many members of the platform's list at once; the others follow
# in the round robin.
JOIN_PROBES = 16
DEAD_RETENTION_MS = 600_000
SEED_PREFIX = "seed "
STATE_LISTED = "listed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberChanged:
    """A member became alive, suspect, dead or leaving."""

    instance: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LiveChanged:
    """What `Membership.list_live` returns may have changed."""


@service("membership", requires=("peers",))
class Membership:
    """Probes members and keeps the member table."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_table",
        "_probes",
        "_rounds",
        "_random",
        "_lock",
        "_changed",
        "_next_probe_ms",
        "_stopping",
        "_live",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        identity = self._peers.identity
        own = kernel.settings.instance
        self._table = MemberTable(
            own=MemberUpdate(
                instance=identity.name,
                incarnation=identity.incarnation,
                state=MemberState.ALIVE,
                host=own.reached_at.host,
                port=own.reached_at.port,
                failure_domain=own.failure_domain,
                region=own.region,
                capacity=own.capacity,
            ),
            seed=identity.incarnation,
        )
        self._probes = ProbeBook(timeout_ms=kernel.settings.membership.probe_timeout_ms)
        self._rounds = ProbeRounds(seed=identity.incarnation)
        self._random = random.Random(identity.incarnation)
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._next_probe_ms = 0.0
        self._stopping = False
        self._live = self._table.list_live()
        self._peers.register(Probe, self._handle_probe)
        self._peers.register(ProbeReply, self._handle_reply)
        self._peers.register(ProbeRequest, self._handle_request)
        kernel.subscribe(LinkDown, self._handle_down)
        kernel.subscribe(LinkUp, self._handle_up)
        kernel.subscribe(PeerHeard, self._handle_heard)
        kernel.subscribe(LeaveStarted, self._handle_leave)
        kernel.subscribe(SettingsChanged, self._handle_settings)
        kernel.subscribe(IncarnationRaised, self._handle_raised)

    def start(self) -> None:
        """Contacts the seeds and starts to probe."""
        self._connect_seeds(self._kernel.settings.membership.seeds)
        self._kernel.spawn(name="membership.probe", target=self._probe_members)

    def drain(self, deadline_ms: float) -> None:
        """Keeps probing: peers must not take a leaving member for dead."""

    def stop(self) -> None:
        """Ends the probes."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def learn(self, record: InstanceRecord) -> None:
        """Takes a hint from the platform's list; probes decide what becomes of it."""
        with self._lock:
            contact = self._table.hint(record)
        if not contact:
            return
        self._peers.connect(
            name=record.name, address=Address(host=record.host, port=record.peer_port)
        )
        with self._lock:
            if len(self._probes) < JOIN_PROBES:
                self._probe(record.name, indirect=False)

    def list_live(self) -> tuple[InstanceRecord, ...]:
        """Returns the members that may own upstreams, this instance included.

        Leaving, suspected and dead members are left out. A suspect is left out
        because two owners for a while do no harm, whereas work queued at a dead owner
        costs its callers a second. A peer that this instance itself has lost is left
        out even before the table says so.
        """
        live = self._live
        if any(self._peers.is_lost(member.name) for member in live):
            return tuple(
                member for member in live if not self._peers.is_lost(member.name)
            )
        return live

    def list_members(self) -> tuple[MemberUpdate, ...]:
        """Returns what is believed of every member."""
        with self._lock:
            return self._table.list_all()

    def watch_closely(self, instance: str) -> None:
        """Probes a member at once, directly and through others.

        Peers that owe an answer and fall silent are watched without this call.
        """
        with self._lock:
            self._probe(instance, indirect=True)
        self._wake()

    def describe(self) -> dict:
        """Returns own state, counts by state and the members that are not alive."""
        members = self.list_members()
        return {
            "own_state": self._table.own.state.value,
            "incarnation": self._table.own.incarnation,
            "counts": count_states(members),
            "not_alive": {
                member.instance: member.state.value
                for member in members
                if member.state is not MemberState.ALIVE
            },
        }

    def _probe_members(self) -> None:
        self._next_probe_ms = self._kernel.clock.now_ms()
        while True:
            with self._changed:
                if self._stopping:
                    return
                now_ms = self._kernel.clock.now_ms()
                wake_ms = self._probes.find_deadline(
                    min(self._next_probe_ms, now_ms + QUIET_SCAN_MS)
                )
                if wake_ms > now_ms:
                    self._kernel.clock.wait(self._changed, wake_ms - now_ms)
                late_ms = self._kernel.clock.now_ms() - wake_ms
                if late_ms > LATE_MS:
                    self._extend_probes(late_ms)
            self._run_period()

    def _extend_probes(self, late_ms: float) -> None:
        journal.record_event("membership.late", late_ms=round(late_ms))
        self._probes.extend(late_ms)
        self._next_probe_ms = self._kernel.clock.now_ms()

    def _run_period(self) -> None:
        now_ms = self._kernel.clock.now_ms()
        settings = self._kernel.settings.membership
        self._check_probes(now_ms)
        with self._lock:
            expired = self._table.expire_suspects(
                before_ms=now_ms - settings.suspect_ms, now_ms=now_ms
            )
        for update in expired:
            self._announce(update, reason="silent")
        for name in self._peers.list_unresponsive(QUIET_MS):
            with self._lock:
                self._probe(name, indirect=True)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + settings.probe_period_ms
            with self._lock:
                for name in self._rounds.pick_targets(self._table):
                    self._probe(name, indirect=False)
            self._contact_seeds()
            self._forget_dead(now_ms)

    def _probe(self, target: str, *, indirect: bool) -> None:
        update = self._table.get(target)
        sequence = self._probes.open(
            target=target,
            incarnation=update.incarnation if update else 0,
            now_ms=self._kernel.clock.now_ms(),
            indirect=indirect,
        )
        if sequence is None:
            return
        self._send(target, Probe, sequence=sequence)
        if indirect:
            self._probe_indirectly(target, sequence)

    def _probe_indirectly(self, target: str, sequence: int) -> None:
        helpers = [member.name for member in self._live if member.name != target]
        if self._table.own_name in helpers:
            helpers.remove(self._table.own_name)
        count = min(INDIRECT_PROBES, len(helpers))
        for helper in self._random.sample(helpers, count):
            self._send(helper, ProbeRequest, sequence=sequence, target=target)

    def _send(self, name: str, kind: type, **fields: object) -> None:
        message = kind(updates=self._table.pick_updates(target=name), **fields)
        self._peers.send(name, message, despite_loss=True)

    def _check_probes(self, now_ms: float) -> None:
        missed = []
        with self._lock:
            verdicts = self._probes.judge(
                now_ms=now_ms, get_last_heard_ms=self._peers.get_last_heard_ms
            )
            for verdict in verdicts:
                match verdict:
                    case Answered(probe=probe):
                        self._note_answer(probe)
                    case AskOthers(probe=probe, sequence=sequence):
                        self._probe_indirectly(probe.target, sequence)
                    case Missed(probe=probe):
                        missed.append(probe)
        for probe in missed:
            metrics.probes_total.inc({"kind": "indirect", "result": "missed"})
            self._accuse(probe.target, reason="no answer to probes")
            self._peers.declare_lost(
                name=probe.target,
                incarnation=probe.incarnation,
                reason="no answer to probes",
            )

    def _note_answer(self, probe: PendingProbe) -> None:
        kind = "indirect" if probe.indirect else "direct"
        metrics.probes_total.inc({"kind": kind, "result": "answered"})
        self._table.clear(probe.target)

    def _accuse(self, name: str, *, reason: str) -> None:
        with self._lock:
            changed = self._table.accuse(name, now_ms=self._kernel.clock.now_ms())
            update = self._table.get(name)
        if changed and update:
            self._announce(update, reason=reason)

    def take_updates(
        self, updates: list[MemberUpdate], *, sender: InstanceIdentity
    ) -> bool:
        """Takes over updates; returns whether this instance had to refute one."""
        refuted = False
        for update in updates:
            with self._lock:
                before = self._table.get(update.instance)
                refuted = self._table.refute(update) or refuted
                changed = self._table.merge(update, now_ms=self._kernel.clock.now_ms())
            if not changed:
                continue
            if update.state is not MemberState.DEAD:
                self._peers.connect(
                    name=update.instance,
                    address=Address(host=update.host, port=update.port),
                )
            if before is None or (before.incarnation, before.state) != (
                update.incarnation,
                update.state,
            ):
                self._announce(update, reason=f"told by {sender.name}")
        if refuted:
            journal.record_event("membership.refuted", peer=sender.name)
        return refuted

    def _announce(self, update: MemberUpdate, *, reason: str) -> None:
        with self._lock:
            self._live = self._table.list_live()
            counts = count_states(self._table.list_all())
        for state, count in counts.items():
            metrics.members.set({"state": state}, count)
        journal.record_event(
            "membership.changed",
            member=update.instance,
            incarnation=update.incarnation,
            state=update.state.value,
            reason=reason,
        )
        self._kernel.publish(
            MemberChanged(instance=update.instance, state=update.state)
        )
        self._kernel.publish(LiveChanged())
        if update.state is MemberState.DEAD:
            self._peers.declare_lost(
                name=update.instance,
                incarnation=update.incarnation,
                reason="declared dead",
            )

    def _connect_seeds(self, seeds: list[Address]) -> None:
        for seed in seeds:
            if seed != self._kernel.settings.instance.reached_at:
                self._peers.connect(name=f"{SEED_PREFIX}{seed}", address=seed)

    def _handle_settings(self, event: SettingsChanged) -> None:
        self._connect_seeds(event.settings.membership.seeds)

    def _handle_raised(self, event: IncarnationRaised) -> None:
        with self._lock:
            self._table.raise_own(event.incarnation)
            self._live = self._table.list_live()

    def _contact_seeds(self) -> None:
        seeds = [
            name
            for name in self._peers.list_connected()
            if name.startswith(SEED_PREFIX)
        ]
        with self._lock:
            known = {f"{SEED_PREFIX}{m.host}:{m.port}" for m in self._table.list_all()}
            for name in seeds:
                if name not in known:
                    self._send(name, Probe, sequence=self._probes.create_sequence())
        for name in seeds:
            if name in known:
                self._peers.disconnect(name)

    def _forget_dead(self, now_ms: float) -> None:
        with self._lock:
            self._probes.expire_relays(now_ms)
            forgotten = self._table.forget_dead(before_ms=now_ms - DEAD_RETENTION_MS)
        for name in forgotten:
            self._peers.disconnect(name)

    def _handle_probe(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, Probe)
        self.take_updates(message.updates, sender=sender)
        with self._lock:
            self._send(
                sender.name,
                ProbeReply,
                sequence=message.sequence,
                target=self._table.own_name,
            )

    def _handle_reply(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, ProbeReply)
        refuted = self.take_updates(message.updates, sender=sender)
        with self._lock:
            probe = self._probes.close(sequence=message.sequence, target=message.target)
            if probe:
                self._note_answer(probe)
            relay = self._probes.close_relay(message.sequence)
            if relay:
                self._send(
                    relay.requester,
                    ProbeReply,
                    sequence=relay.sequence,
                    target=message.target,
                )
            if refuted:
                # The accuser learns of the refutation now, not at the next period.
                self._probe(sender.name, indirect=False)

    def _handle_request(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, ProbeRequest)
        self.take_updates(message.updates, sender=sender)
        with self._lock:
            sequence = self._probes.open_relay(
                requester=sender.name,
                sequence=message.sequence,
                now_ms=self._kernel.clock.now_ms(),
            )
            if sequence is not None:
                self._send(message.target, Probe, sequence=sequence)

    def _handle_down(self, event: LinkDown) -> None:
        if self._stopping:
            return
        # This instance does without the member at once. Others are told only if it
        # does not answer: where many connections break, a suspicion and a refutation
        # for each would go through the whole fleet.
        self._kernel.publish(LiveChanged())
        with self._lock:
            self._probe(event.instance, indirect=True)
        self._wake()

    def _handle_up(self, event: LinkUp) -> None:
        # Its answer makes it usable again; the next period may be far off, and a probe
        # may be open that was lost with the connection before.
        with self._lock:
            self._send(event.instance, Probe, sequence=self._probes.create_sequence())

    def _handle_heard(self, event: PeerHeard) -> None:
        self._kernel.publish(LiveChanged())

    def _handle_leave(self, event: LeaveStarted) -> None:
        with self._lock:
            self._table.leave()
            own = self._table.own
        self._announce(own, reason=event.reason)
        for name in self._peers.list_connected():
            with self._lock:
                self._send(name, Probe, sequence=self._probes.create_sequence())

    def _wake(self) -> None:
        with self._changed:
            self._changed.notify_all()


def count_states(members: tuple[MemberUpdate, ...]) -> dict[str, int]:
    """Returns the number of members in each state.

    One that only the platform's list names counts as listed until it is heard.
    """
    counts = {state.value: 0 for state in MemberState} | {STATE_LISTED: 0}
    for member in members:
        counts[member.state.value if member.incarnation else STATE_LISTED] += 1
    return counts
