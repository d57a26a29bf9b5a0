"""Deterministic simulation of orders: a test decides the result of each outside step.

Orders, claims and routing are the real ones; the platform, the peers and the upstreams
are simulated. Each actor is a thread that pauses at each call to one of these until the
test chooses its result, so only one thread runs at a time.
"""

import functools
import threading

import yaml
from result import Err, Ok

from gooseberrymux.calls import Calls, UnexpectedOutcome
from gooseberrymux.claims import Claims
from gooseberrymux.clock import Clock
from gooseberrymux.configuration import (
    Configuration,
    ConfigurationService,
    Group,
    Selector,
)
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.messages import (
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestUnknown,
)
from gooseberrymux.orders import Orders
from gooseberrymux.peers import PeerError, Peers
from gooseberrymux.platform import (
    Platform,
)
from gooseberrymux.platform_objects import (
    PlatformError,
    PlatformObject,
    VersionConflict,
    Written,
)
from gooseberrymux.records import (
    InstanceIdentity,
    InstanceRecord,
    Order,
    Rank,
    RunState,
    Traffic,
    UpstreamRecord,
)
from gooseberrymux.routing import Routing
from gooseberrymux.settings import parse_settings
from gooseberrymux.snapshots import Snapshot, Snapshots

STEP_TIMEOUT_S = 20
WALL_MS = 1_800_000_000_000
CONFIGURATION_IN_FORCE = Configuration(
    generation=1,
    change_id="c",
    groups=[Group(name="g", index="i", match={})],
    selectors=[Selector(name="s", priority=1, groups=["g"])],
)


def create_key(number):
    return f"{WALL_MS >> 16:08x}-{WALL_MS & 0xFFFF:04x}-7000-8000-{number:012x}"


KEYS = tuple(create_key(number) for number in range(2))


def create_platform_error(step):
    return PlatformError(step=step, message="no answer", run_state=RunState.UNKNOWN)


class Crashed(BaseException):
    """Ends an actor whose instance has crashed."""


class JumpingClock(Clock):
    """A clock on which each wait times out at once and advances the time instead."""

    def __init__(self):
        self.now = 0.0

    def now_ms(self):
        return self.now

    def wall_ms(self):
        return WALL_MS + int(self.now)

    def sleep_ms(self, duration_ms):
        self.now += duration_ms

    def wait(self, condition, timeout_ms):
        assert timeout_ms is not None, "no other thread runs that could notify"
        self.now += timeout_ms
        return False


class Actor:
    """A thread that pauses at each outside step.

    Attributes:
        choices: Results that the step at which the thread is paused may have.
        result: What the target returned.
        failure: Exception that the target raised; raised again in the test's thread.
    """

    def __init__(self, *, instance, target):
        self.instance = instance
        self.choices = ()
        self.done = False
        self.result = None
        self.failure = None
        self._choice = ""
        self._paused = threading.Semaphore(0)
        self._resumed = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, args=(target,), daemon=True)
        self._thread.actor = self
        self._thread.start()
        self._wait_until_paused()

    def _run(self, target):
        try:
            self.result = target()
        except Crashed:
            pass
        except BaseException as error:
            self.failure = error
        self.done = True
        self._paused.release()

    def await_choice(self, *choices):
        self.choices = choices
        self._paused.release()
        self._resumed.acquire()
        if self._choice == "crash":
            raise Crashed
        return self._choice

    def step(self, choice):
        self._choice = choice
        self._resumed.release()
        self._wait_until_paused()

    def _wait_until_paused(self):
        assert self._paused.acquire(timeout=STEP_TIMEOUT_S)
        if self.failure:
            raise self.failure


def await_choice(*choices):
    return threading.current_thread().actor.await_choice(*choices)


class SteppedPlatform(Platform):
    """Stores objects with conditional updates; the test may lose the reply of a call,
    or lose or delay a write."""

    def __init__(self):
        self.objects = {}
        self.delayed = []
        self.outage = False

    def get(self, name):
        choice = await_choice("ok", "error")
        if self.outage or choice == "error":
            return Err(create_platform_error("get"))
        return Ok(self._read(name))

    def put(self, *, name, value, expected_version):
        choice = await_choice("ok", "lost_reply", "lost", "delayed")
        if self.outage or choice == "lost":
            return Err(create_platform_error("put"))
        if choice == "delayed":
            self.delayed.append((name, value, expected_version))
            return Err(create_platform_error("put"))
        written = self.write(name, value, expected_version)
        return (
            Err(create_platform_error("put")) if choice == "lost_reply" else Ok(written)
        )

    def write(self, name, value, expected_version):
        current = self._read(name)
        if current.version != expected_version:
            return VersionConflict(current=current)
        self.objects[name] = (current.version + 1, value)
        return Written(version=current.version + 1)

    def _read(self, name):
        version, value = self.objects.get(name, (0, {}))
        return PlatformObject(name=name, version=version, value=value)


class SteppedPeers(Peers):
    """Delivers messages in the sender's thread; the test may drop, repeat or refuse
    each."""

    def __init__(self, *, simulation, name, incarnation):
        self.identity = InstanceIdentity(name=name, incarnation=incarnation)
        self._simulation = simulation
        self._handlers = {}

    def get_incarnation(self, name):
        return self._simulation.instances[name].peers.identity.incarnation

    def send(self, name, message):
        choice = await_choice("ok", "drop", "repeat", "refuse")
        if choice == "refuse":
            return Err(PeerError(step="peers.send", peer=name, message="queue full"))
        for _ in range({"drop": 0, "ok": 1, "repeat": 2}[choice]):
            handler = self._simulation.instances[name].peers._handlers[type(message)]
            handler(self.identity, message)
        return Ok(None)


class SteppedCalls(Calls):
    """Runs or refuses each order, or leaves it unresolved, as the test chooses."""

    def __init__(self, *, simulation, instance):
        self._simulation = simulation
        self._instance = instance

    def create_id(self, kind):
        return self._simulation.create_id(kind)

    def cancel(self, subrequest_id):
        pass

    def send(self, *, subrequest, upstream, inbox):
        simulation = self._simulation
        assert subrequest.remaining_ms > 0, "dispatched after its deadline"
        match await_choice(
            "completed", "not_run", "repeated_not_run", "silent", "peer_lost"
        ):
            case "completed":
                inbox.enqueue(simulation.run_order(subrequest))
            case "not_run":
                inbox.enqueue(create_not_run(subrequest))
            case "repeated_not_run":
                inbox.enqueue(create_not_run(subrequest))
                event = UnexpectedOutcome(outcome=create_not_run(subrequest))
                self._instance.kernel.publish(event)
            case "silent":
                simulation.unresolved.append((self._instance, subrequest))
            case "peer_lost":
                simulation.unresolved.append((self._instance, subrequest))
                outcome = SubrequestUnknown(
                    id=subrequest.id, reason="lost", step="", peer=""
                )
                inbox.enqueue(outcome)


class FixedMembership(Membership):
    def __init__(self, names):
        self._names = names

    def list_live(self):
        return tuple(
            InstanceRecord(name=name, host="", peer_port=0, failure_domain="d")
            for name in self._names
        )


class FixedConfiguration(ConfigurationService):
    def __init__(self):
        self._current = CONFIGURATION_IN_FORCE


class FixedSnapshots(Snapshots):
    def __init__(self):
        self._current = {"i": Snapshot(index="i", version="v", shards={"a": "a"})}


class FixedInventory(Inventory):
    def __init__(self):
        upstream_records = [
            UpstreamRecord(name=name, host="", port=0, service="a", failure_domain="d")
            for name in ("u1", "u2")
        ]
        self._by_service = {"a": upstream_records}

    def find_obstacle(self, record):
        return None


class InlineKernel(Kernel):
    """A kernel whose spawned work runs in the thread that spawns it."""

    def spawn(self, *, name, target):
        target()


@functools.cache
def create_settings(name, claim_commit):
    document = {
        "instance": {
            "name": name,
            "failure_domain": "d",
            "callers": {},
            "administration": {},
            "peers": {},
        },
        "platform": {"url": ""},
        "policy": {"claim_commit": claim_commit},
        "orders": {"ranges": 1},
    }
    return parse_settings(yaml.safe_dump(document), source="test")


class Instance:
    """One instance: real orders, claims and routing on simulated services."""

    def __init__(self, *, simulation, name, incarnation):
        settings = create_settings(name, simulation.claim_commit)
        self.clock = JumpingClock()
        self.kernel = InlineKernel(settings=settings, clock=self.clock)
        self.peers = SteppedPeers(
            simulation=simulation, name=name, incarnation=incarnation
        )
        for service_name, service in (
            ("platform", simulation.platform),
            ("peers", self.peers),
            ("membership", FixedMembership(simulation.names)),
            ("calls", SteppedCalls(simulation=simulation, instance=self)),
            ("configuration", FixedConfiguration()),
            ("snapshots", FixedSnapshots()),
            ("inventory", FixedInventory()),
        ):
            self.kernel.register(service_name, service)
        self.kernel.register("routing", Routing(kernel=self.kernel))
        self.claims = Claims(kernel=self.kernel)
        self.kernel.register("claims", self.claims)
        self.orders = Orders(kernel=self.kernel)


class OrderSimulation:
    """The instances, the platform, and a record of the orders that ran.

    Attributes:
        unresolved: Pairs of an instance and a sub-request that it dispatched, for which
            it has received no outcome and the order may still run.
        runs: Pairs of order key and request id, one for each run of an order.
    """

    def __init__(self, *, names, claim_commit="grouped"):
        self.names = names
        self.claim_commit = claim_commit
        self.platform = SteppedPlatform()
        self.unresolved = []
        self.runs = []
        self.id_count = 0
        self.instances = {}
        for name in names:
            self.restart(name)

    def create_id(self, kind):
        self.id_count += 1
        return f"{kind}{self.id_count}"

    def restart(self, name):
        self.id_count += 1
        self.instances[name] = Instance(
            simulation=self, name=name, incarnation=self.id_count
        )
        return self.instances[name]

    def create_order(self, instance, key, deadline_ms):
        return Order(
            request_id=self.create_id("r"),
            traffic=Traffic(caller="c", service="s", rank=Rank.URGENT),
            key=key,
            body={},
            deadline_ms=instance.clock.now + deadline_ms,
        )

    def run_order(self, subrequest):
        self.runs.append((subrequest.order_key, subrequest.request_id))
        return SubrequestCompleted(
            id=subrequest.id,
            version="",
            shard="",
            reply={"request": subrequest.request_id},
            upstream_ms=0.0,
            queued_ms=0.0,
        )


def create_not_run(subrequest):
    return SubrequestNotRun(id=subrequest.id, reason="shed", step="", peer="")
