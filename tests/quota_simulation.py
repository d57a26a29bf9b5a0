"""Instances with the real decisions about quotas, on a network without sockets."""

import collections
import dataclasses

from gooseberrymux.members import create_instance_record
from gooseberrymux.messages import MemberUpdate
from gooseberrymux.quota_balances import QuotaBalances
from gooseberrymux.quota_grants import TICK_MS, QuotaGrants
from gooseberrymux.quota_limits import QuotaLimit, QuotaTolerance
from gooseberrymux.quota_members import QuotaMembers
from gooseberrymux.quota_messages import QuotaRequest
from gooseberrymux.records import InstanceIdentity, MemberState

WORKSPACE = "w"
TOLERANCE = QuotaTolerance(window_ms=5_000.0, share=0.1, requests=20.0)
# The first three are strong: owner, stand-in and the next one are among them.
CAPACITIES = {"a": 2.0, "b": 2.0, "c": 2.0, "d": 0.5, "e": 0.5}
MAX_OWNERS = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InFlight:
    """A message on its way; `incarnation` is the one that the receiver must have."""

    sender: str
    target: str
    incarnation: int
    message: object


class SimulatedInstance:
    """Entry and owner side of one instance, with a clock of its own."""

    def __init__(self, name, *, incarnation, simulation):
        self.name = name
        self.incarnation = incarnation
        self.simulation = simulation
        self.is_frozen = False
        self.is_killed = False
        # Clocks of different machines differ by any constant.
        self.clock_offset_ms = 1e6 * (1 + ord(name)) + incarnation
        self.members = QuotaMembers(own_name=name, max_owners=MAX_OWNERS)
        self.balances = QuotaBalances(lapse_ms=TOLERANCE.lapse_ms)
        self.grants = QuotaGrants(
            tolerance=TOLERANCE,
            find_role=self.members.find_role,
            started_ms=self.now_ms,
        )
        # Members that a waiting caller may still ask, by the id of its request.
        self.waiting = {}

    @property
    def now_ms(self):
        return self.simulation.now_ms + self.clock_offset_ms

    @property
    def is_running(self):
        return not (self.is_frozen or self.is_killed)

    def update_members(self, updates):
        live = [
            create_instance_record(update)
            for update in updates
            if update.state is MemberState.ALIVE
        ]
        if self.members.update(live=live, members=updates):
            self.grants.handle_roles_changed(self.now_ms)
        self.grants.set_share(self.members.share, self.now_ms)

    def start_request(self):
        """A caller's request arrives."""
        if self.balances.spend(WORKSPACE, self.now_ms):
            self.simulation.admit()
            self.request_ahead()
        else:
            self.ask(self.members.list_granting(WORKSPACE))

    def ask(self, targets):
        if targets:
            request = self.create_request(targets[0], tokens=1)
            self.waiting[request.id] = targets[1:]
            self.simulation.send(self, targets[0], request)

    def request_ahead(self):
        targets = self.members.list_granting(WORKSPACE)
        wanted = self.balances.plan_ahead(WORKSPACE, self.now_ms)
        if wanted and targets and targets[0] != self.name:
            request = self.create_request(targets[0], tokens=wanted, ahead=True)
            self.simulation.send(self, targets[0], request)

    def create_request(self, target, *, tokens, ahead=False):
        request_id = self.balances.open_request(
            WORKSPACE, ahead=ahead, target=target, now_ms=self.now_ms
        )
        limit = self.simulation.limit
        return QuotaRequest(
            id=request_id,
            workspace=WORKSPACE,
            tokens=tokens,
            ahead=ahead,
            closed_id=self.balances.find_closed_id(WORKSPACE),
            generation=limit.generation,
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
        )

    def receive(self, sender, message):
        if isinstance(message, QuotaRequest):
            grant = self.grants.grant(
                message,
                sender=InstanceIdentity(name=sender, incarnation=1),
                now_ms=self.now_ms,
            )
            self.simulation.send(self, sender, grant)
            return
        targets = self.waiting.pop(message.id, None)
        if self.balances.record_grant(
            message, self.now_ms, awaited=targets is not None
        ):
            self.simulation.admit()
            self.request_ahead()
        elif targets:
            self.ask(targets)

    def stop_waiting(self):
        """The callers that wait ask the next member; late tokens are then held."""
        waiting, self.waiting = self.waiting, {}
        for targets in waiting.values():
            self.ask(targets)


class QuotaSimulation:
    """All instances, the messages between them, and the requests that were admitted."""

    def __init__(self, *, rate_per_s, burst):
        self.now_ms = 0.0
        self.limit = QuotaLimit(rate_per_s=rate_per_s, burst=burst, generation=1)
        self.limits = [(0.0, self.limit)]
        self.admitted_ms = collections.deque()
        self.count = 0
        self.in_flight = []
        self.side_by_name = dict.fromkeys(CAPACITIES, 0)
        self.incarnations = dict.fromkeys(CAPACITIES, 1)
        self.frozen_ms = {}
        self.instances = {name: self._create(name) for name in CAPACITIES}
        self.detect()

    def _create(self, name):
        created = SimulatedInstance(
            name, incarnation=self.incarnations[name], simulation=self
        )
        created.grants.set_limits({WORKSPACE: self.limit}, created.now_ms)
        return created

    def admit(self):
        """Records a request that runs, and checks the window that ends with it."""
        self.count += 1
        self.admitted_ms.append(self.now_ms)
        while self.admitted_ms[0] <= self.now_ms - TOLERANCE.window_ms:
            self.admitted_ms.popleft()
        bound = self.compute_bound()
        assert len(self.admitted_ms) <= bound, (len(self.admitted_ms), bound)

    def compute_bound(self):
        since_ms = self.now_ms - TOLERANCE.window_ms - TOLERANCE.lapse_ms
        ends = [start_ms for start_ms, _ in self.limits[1:]] + [float("inf")]
        in_force = [
            limit
            for (_, limit), end_ms in zip(self.limits, ends, strict=True)
            if end_ms >= since_ms
        ]
        rate = max(limit.rate_per_s for limit in in_force)
        burst = max(limit.burst for limit in in_force)
        window_s = TOLERANCE.window_ms / 1_000
        quota = rate * window_s + burst
        return quota * (1 + TOLERANCE.share) + TOLERANCE.requests

    def send(self, sender, target, message):
        receiver = self.instances[target]
        if target == sender.name:
            receiver.receive(target, message)
            return
        self.in_flight.append(
            InFlight(
                sender=sender.name,
                target=target,
                incarnation=receiver.incarnation,
                message=message,
            )
        )

    def deliver(self, index):
        """Delivers one message, unless its receiver can't get it now."""
        found = self.in_flight.pop(index)
        receiver = self.instances[found.target]
        if receiver.is_frozen:
            self.in_flight.append(found)
        elif (
            self.side_by_name[found.sender] == self.side_by_name[found.target]
            and receiver.incarnation == found.incarnation
            and receiver.is_running
        ):
            receiver.receive(found.sender, found.message)

    def deliver_all(self):
        """Delivers all messages that can be, in order."""
        for _ in range(1_000):
            deliverable = [
                number
                for number, found in enumerate(self.in_flight)
                if not self.instances[found.target].is_frozen
            ]
            if not deliverable:
                return
            self.deliver(deliverable[0])

    def advance(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + TICK_MS)
            for instance in self.instances.values():
                if instance.is_running:
                    instance.grants.tick(instance.now_ms)

    def press(self, duration_ms, names):
        """Callers at these instances send far more than the quota."""
        for _ in range(int(duration_ms / 50)):
            for name in names:
                instance = self.instances[name]
                if instance.is_running:
                    for _ in range(3):
                        instance.start_request()
            self.deliver_all()
            for name in names:
                if self.instances[name].is_running:
                    self.instances[name].stop_waiting()
            self.deliver_all()
            self.advance(50.0)

    def detect(self):
        """Membership notices at all running instances who is reachable now.

        An instance that is frozen for a shorter time than a probe takes is not noticed.
        """
        for instance in self.instances.values():
            if instance.is_running:
                instance.update_members(self._list_updates(instance.name))

    def _list_updates(self, observer):
        return [
            MemberUpdate(
                instance=name,
                incarnation=self.incarnations[name],
                state=MemberState.ALIVE
                if self._is_reachable(observer, name)
                else MemberState.DEAD,
                host="h",
                port=1,
                failure_domain="z",
                region="r",
                capacity=capacity,
            )
            for name, capacity in CAPACITIES.items()
        ]

    def _is_reachable(self, observer, name):
        instance = self.instances[name]
        is_frozen = self.now_ms - self.frozen_ms.get(name, self.now_ms) >= 400.0
        same_side = self.side_by_name[observer] == self.side_by_name[name]
        return same_side and not (is_frozen or instance.is_killed)

    def freeze(self, name):
        self.instances[name].is_frozen = True
        self.frozen_ms[name] = self.now_ms

    def thaw(self, name):
        instance = self.instances[name]
        instance.is_frozen = False
        del self.frozen_ms[name]
        instance.grants.tick(instance.now_ms)
        self.detect()

    def kill(self, name):
        self.instances[name].is_killed = True

    def restart(self, name):
        self.incarnations[name] += 1
        self.instances[name] = self._create(name)
        self.detect()

    def recover(self):
        """All instances run again and reach each other."""
        self.split(())
        for name, instance in list(self.instances.items()):
            if instance.is_killed:
                self.restart(name)
            elif instance.is_frozen:
                self.thaw(name)
        self.detect()

    def find_owner(self):
        """Returns the owner that the instance `a` sees."""
        return self.instances["a"].members.list_granting(WORKSPACE)[0]

    def split(self, names):
        self.side_by_name = {name: int(name in names) for name in CAPACITIES}

    def set_limit(self, rate_per_s, burst):
        """A new configuration; each instance gets it with `spread_limit`."""
        generation = self.limit.generation + 1
        self.limit = QuotaLimit(
            rate_per_s=rate_per_s, burst=burst, generation=generation
        )
        self.limits.append((self.now_ms, self.limit))
        for instance in self.instances.values():
            instance.grants.set_limits({WORKSPACE: self.limit}, instance.now_ms)
