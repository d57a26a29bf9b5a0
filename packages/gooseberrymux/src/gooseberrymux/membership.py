"""SWIM-like failure detection: which instances are alive, suspect, dead or leaving.

In each period an instance probes the next member of a shuffled round robin, a few
silent members, and at times a dead one. If a member does not answer, two other members
are asked to probe it too. Probes carry a bounded number of member updates, so the cost
for each instance does not grow with the fleet.
"""

import dataclasses
import random
import threading

from gooseberrymux import journal, metrics
from gooseberrymux.kernel import Kernel, LeaveStarted, SettingsChanged, service
from gooseberrymux.members import MemberTable
from gooseberrymux.messages import MemberUpdate, Probe, ProbeReply, ProbeRequest
from gooseberrymux.own_delay import OwnDelay
from gooseberrymux.peers import IncarnationRaised, LinkDown, LinkUp, PeerHeard, Peers
from gooseberrymux.probes import (
    Answered,
    IndirectProbesNeeded,
    PendingProbe,
    ProbeTable,
    ProbeTargetSelector,
    ReplyMissing,
    Unanswered,
)
from gooseberrymux.records import InstanceIdentity, InstanceRecord, MemberState
from gooseberrymux.settings import Address

# Replies of a live member that are missing in a row before its connection is opened
# anew. One may be late on a busy machine.
MISSING_REPLIES_LIMIT = 2
INDIRECT_PROBE_HELPERS = 2
# A peer that owes a reply and sent nothing for this long is probed at once. Together
# with the probe timeout, this detects a frozen peer well within a second.
QUIET_PEER_THRESHOLD_MS = 150
QUIET_PEER_SCAN_INTERVAL_MS = 100
# If the probe loop wakes later than this, the whole instance was paused. The deadlines
# of pending probes are then extended by the delay.
LATE_WAKEUP_THRESHOLD_MS = 100
# An instance that joins has at most this many probes pending to instances of the
# platform's list; the other instances follow in the round robin.
MAX_PENDING_JOIN_PROBES = 16
DEAD_MEMBER_RETENTION_MS = 600_000
SEED_LINK_PREFIX = "seed "
STATE_LISTED = "listed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberChanged:
    """A member became alive, suspect, dead or leaving."""

    instance: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LiveChanged:
    """The result of `Membership.list_live` may have changed."""


@service("membership", requires=("peers", "own_delay"))
class Membership:
    """Probes members and keeps the member table.

    Thread-safe: `_lock` guards the table, the pending probes and the target selector.
    """

    __slots__ = (
        "_kernel",
        "_peers",
        "_own_delay",
        "_table",
        "_probes",
        "_target_selector",
        "_random",
        "_lock",
        "_wakeup",
        "_next_probe_ms",
        "_stopping",
        "_live_members",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._own_delay = kernel.find("own_delay", OwnDelay)
        identity = self._peers.identity
        own = kernel.settings.instance
        self._table = MemberTable(
            own=MemberUpdate(
                instance=identity.name,
                incarnation=identity.incarnation,
                state=MemberState.ALIVE,
                host=own.advertised_address.host,
                port=own.advertised_address.port,
                failure_domain=own.failure_domain,
                region=own.region,
                capacity=own.capacity,
            ),
            seed=identity.incarnation,
        )
        self._probes = ProbeTable(
            timeout_ms=kernel.settings.membership.probe_timeout_ms
        )
        self._target_selector = ProbeTargetSelector(seed=identity.incarnation)
        self._random = random.Random(identity.incarnation)
        self._lock = threading.RLock()
        self._wakeup = threading.Condition(self._lock)
        self._next_probe_ms = 0.0
        self._stopping = False
        self._live_members = self._table.list_live()
        self._peers.register(Probe, self._handle_probe)
        self._peers.register(ProbeReply, self._handle_probe_reply)
        self._peers.register(ProbeRequest, self._handle_probe_request)
        kernel.subscribe(LinkDown, self._handle_link_down)
        kernel.subscribe(LinkUp, self._handle_link_up)
        kernel.subscribe(PeerHeard, self._handle_peer_heard)
        kernel.subscribe(LeaveStarted, self._handle_leave_started)
        kernel.subscribe(SettingsChanged, self._handle_settings)
        kernel.subscribe(IncarnationRaised, self._handle_incarnation_raised)

    def start(self) -> None:
        """Connects to the seeds and starts the probe loop."""
        self._connect_seeds(self._kernel.settings.membership.seeds)
        self._kernel.spawn(name="membership.probe", target=self._run_probe_loop)

    def drain(self, deadline_ms: float) -> None:
        """Keeps probing, because peers must not declare a leaving member dead."""

    def stop(self) -> None:
        """Ends the probe loop."""
        with self._wakeup:
            self._stopping = True
            self._wakeup.notify_all()

    def handle_listed_instance(self, record: InstanceRecord) -> None:
        """Adds an instance of the platform's list and connects to it if needed.

        The list only says whom to contact; probes decide whether the instance is live.
        """
        with self._lock:
            contact = self._table.merge_listed_instance(record)
        if not contact:
            return
        self._peers.connect(
            name=record.name, address=Address(host=record.host, port=record.peer_port)
        )
        with self._lock:
            if len(self._probes) < MAX_PENDING_JOIN_PROBES:
                self._probe(record.name, indirect=False)

    def list_live(self) -> tuple[InstanceRecord, ...]:
        """Returns the members that may own upstreams, this instance included.

        Leaving, suspect and dead members are excluded. A suspect is excluded because
        two owners at the same time do no harm for a while, whereas work queued at a
        dead owner costs its callers a second. A peer whose connection this instance
        has lost is excluded even before the table marks that peer as suspect.
        """
        live = self._live_members
        if any(self._peers.is_lost(member.name) for member in live):
            return tuple(
                member for member in live if not self._peers.is_lost(member.name)
            )
        return live

    def list_members(self) -> tuple[MemberUpdate, ...]:
        """Returns the latest update about each member, whatever its state."""
        with self._lock:
            return self._table.list_all()

    def probe_immediately(self, instance: str) -> None:
        """Probes a member at once, directly and through other members.

        Peers that owe a reply and fall silent are probed at once without this call.
        """
        with self._lock:
            self._probe(instance, indirect=True)
        self._wake_probe_loop()

    def describe(self) -> dict:
        """Returns this instance's state, counts by state, and members not alive."""
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

    def _run_probe_loop(self) -> None:
        self._next_probe_ms = self._kernel.clock.now_ms()
        while True:
            with self._wakeup:
                if self._stopping:
                    return
                now_ms = self._kernel.clock.now_ms()
                wake_ms = self._probes.find_next_deadline_ms(
                    min(self._next_probe_ms, now_ms + QUIET_PEER_SCAN_INTERVAL_MS)
                )
                if wake_ms > now_ms:
                    self._kernel.clock.wait(self._wakeup, wake_ms - now_ms)
                late_ms = self._kernel.clock.now_ms() - wake_ms
                self._own_delay.record(late_ms)
                if late_ms > LATE_WAKEUP_THRESHOLD_MS:
                    self._extend_probe_deadlines(late_ms)
            self._run_due_checks()

    def _extend_probe_deadlines(self, late_ms: float) -> None:
        journal.record_event("membership.late", late_ms=round(late_ms))
        self._probes.extend_deadlines(late_ms)
        self._next_probe_ms = self._kernel.clock.now_ms()

    def _run_due_checks(self) -> None:
        now_ms = self._kernel.clock.now_ms()
        settings = self._kernel.settings.membership
        self._evaluate_probes(now_ms)
        with self._lock:
            expired = self._table.expire_silent(
                before_ms=now_ms - settings.suspect_ms, now_ms=now_ms
            )
        for update in expired:
            self._publish_change(update, reason="silent")
        for name in self._peers.list_unresponsive(QUIET_PEER_THRESHOLD_MS):
            with self._lock:
                self._probe(name, indirect=True)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + settings.probe_period_ms
            with self._lock:
                for name in self._target_selector.pick_targets(self._table):
                    self._probe(name, indirect=False)
            self._probe_seeds()
            self._expire_relays_and_dead(now_ms)

    def _probe(self, target: str, *, indirect: bool) -> None:
        update = self._table.get(target)
        sequence = self._probes.register_probe(
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
        helpers = [
            member.name for member in self._live_members if member.name != target
        ]
        if self._table.own_name in helpers:
            helpers.remove(self._table.own_name)
        count = min(INDIRECT_PROBE_HELPERS, len(helpers))
        for helper in self._random.sample(helpers, count):
            self._send(helper, ProbeRequest, sequence=sequence, target=target)

    def _send(self, name: str, message_type: type, **fields: object) -> None:
        message = message_type(updates=self._table.pick_updates(target=name), **fields)
        self._peers.send(name, message, despite_loss=True)

    def _evaluate_probes(self, now_ms: float) -> None:
        missed = []
        unreplied = []
        with self._lock:
            outcomes = self._probes.evaluate(
                now_ms=now_ms, get_last_heard_ms=self._peers.get_last_heard_ms
            )
            for outcome in outcomes:
                match outcome:
                    case Answered(probe=probe):
                        self._record_answer(probe)
                    case IndirectProbesNeeded(probe=probe, sequence=sequence):
                        self._probe_indirectly(probe.target, sequence)
                    case Unanswered(probe=probe):
                        missed.append(probe)
                    case ReplyMissing(probe=probe, count=count):
                        if count < MISSING_REPLIES_LIMIT:
                            self._probe(probe.target, indirect=False)
                        else:
                            self._probes.forget_missing_replies(probe.target)
                            unreplied.append(probe)
        for probe in missed:
            metrics.probes_total.inc({"kind": "indirect", "result": "missed"})
            self._mark_silent(probe.target, reason="no answer to probes")
            self._peers.declare_lost(
                name=probe.target,
                incarnation=probe.incarnation,
                reason="no answer to probes",
            )

        for probe in unreplied:
            # The peer is alive, but nothing that is sent to it arrives.
            metrics.probes_total.inc({"kind": "direct", "result": "unreplied"})
            self._peers.declare_lost(
                name=probe.target,
                incarnation=probe.incarnation,
                reason="connection is silent one way",
            )

    def _record_answer(self, probe: PendingProbe) -> None:
        kind = "indirect" if probe.indirect else "direct"
        metrics.probes_total.inc({"kind": kind, "result": "answered"})
        self._table.record_heard(probe.target)

    def _mark_silent(self, name: str, *, reason: str) -> None:
        with self._lock:
            changed = self._table.mark_silent(name, now_ms=self._kernel.clock.now_ms())
            update = self._table.get(name)
        if changed and update:
            self._publish_change(update, reason=reason)

    def merge_updates(
        self, updates: list[MemberUpdate], *, sender: InstanceIdentity
    ) -> bool:
        """Merges updates from a peer into the table, and connects to new members.

        Returns:
            Whether one of the updates was a false claim about this instance, which it
            has refuted with a higher sequence number.
        """
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
                self._publish_change(update, reason=f"update from {sender.name}")
        if refuted:
            journal.record_event("membership.refuted", peer=sender.name)
        return refuted

    def _publish_change(self, update: MemberUpdate, *, reason: str) -> None:
        with self._lock:
            self._live_members = self._table.list_live()
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
            if seed != self._kernel.settings.instance.advertised_address:
                self._peers.connect(name=f"{SEED_LINK_PREFIX}{seed}", address=seed)

    def _handle_settings(self, event: SettingsChanged) -> None:
        self._connect_seeds(event.settings.membership.seeds)

    def _handle_incarnation_raised(self, event: IncarnationRaised) -> None:
        with self._lock:
            self._table.raise_own_incarnation(event.incarnation)
            self._live_members = self._table.list_live()

    def _probe_seeds(self) -> None:
        seeds = [
            name
            for name in self._peers.list_connected()
            if name.startswith(SEED_LINK_PREFIX)
        ]
        with self._lock:
            known = {
                f"{SEED_LINK_PREFIX}{m.host}:{m.port}" for m in self._table.list_all()
            }
            for name in seeds:
                if name not in known:
                    self._send(name, Probe, sequence=self._probes.allocate_sequence())
        for name in seeds:
            if name in known:
                self._peers.disconnect(name)

    def _expire_relays_and_dead(self, now_ms: float) -> None:
        with self._lock:
            self._probes.expire_relays(now_ms)
            forgotten = self._table.forget_dead(
                before_ms=now_ms - DEAD_MEMBER_RETENTION_MS
            )
        for name in forgotten:
            self._peers.disconnect(name)

    def _handle_probe(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, Probe)
        self.merge_updates(message.updates, sender=sender)
        with self._lock:
            self._send(
                sender.name,
                ProbeReply,
                sequence=message.sequence,
                target=self._table.own_name,
            )

    def _handle_probe_reply(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, ProbeReply)
        refuted = self.merge_updates(message.updates, sender=sender)
        with self._lock:
            probe = self._probes.complete_probe(
                sequence=message.sequence,
                target=message.target,
                is_direct=sender.name == message.target,
            )
            if probe:
                self._record_answer(probe)
            relay = self._probes.complete_relay(message.sequence)
            if relay:
                self._send(
                    relay.requester,
                    ProbeReply,
                    sequence=relay.sequence,
                    target=message.target,
                )
            if refuted:
                # Sends the refutation to the accuser now, not in the next period.
                self._probe(sender.name, indirect=False)

    def _handle_probe_request(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, ProbeRequest)
        self.merge_updates(message.updates, sender=sender)
        with self._lock:
            sequence = self._probes.register_relay(
                requester=sender.name,
                sequence=message.sequence,
                now_ms=self._kernel.clock.now_ms(),
            )
            if sequence is not None:
                self._send(message.target, Probe, sequence=sequence)

    def _handle_link_down(self, event: LinkDown) -> None:
        if self._stopping:
            return
        # `list_live` excludes the member at once. Other instances get a suspicion only
        # if the member does not answer probes: when many connections break at a time,
        # a suspicion and a refutation for each would spread through the whole fleet.
        self._kernel.publish(LiveChanged())
        with self._lock:
            self._probe(event.instance, indirect=True)
        self._wake_probe_loop()

    def _handle_link_up(self, event: LinkUp) -> None:
        # The peer is live again once it answers a probe. The next period may be far
        # off, and a probe lost with the previous connection may still be pending and
        # would prevent a new one, so this probe is sent without being registered.
        with self._lock:
            self._send(event.instance, Probe, sequence=self._probes.allocate_sequence())

    def _handle_peer_heard(self, event: PeerHeard) -> None:
        self._kernel.publish(LiveChanged())

    def _handle_leave_started(self, event: LeaveStarted) -> None:
        with self._lock:
            self._table.mark_own_leaving()
            own = self._table.own
        self._publish_change(own, reason=event.reason)
        for name in self._peers.list_connected():
            with self._lock:
                self._send(name, Probe, sequence=self._probes.allocate_sequence())

    def _wake_probe_loop(self) -> None:
        with self._wakeup:
            self._wakeup.notify_all()


def count_states(members: tuple[MemberUpdate, ...]) -> dict[str, int]:
    """Returns the number of members in each state.

    A member known only from the platform's list counts as listed until this instance
    hears from it or about it.
    """
    counts = {state.value: 0 for state in MemberState} | {STATE_LISTED: 0}
    for member in members:
        counts[member.state.value if member.incarnation else STATE_LISTED] += 1
    return counts
