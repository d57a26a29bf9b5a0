"""Instances, platform and upstreams whose every outside step a test decides.

Each actor is a thread that runs real code and parks at each outside step until the
test picks what becomes of it, so only one thread runs at a time.
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
CONFIGURATION = Configuration(
    generation=1,
    change_id="c",
    groups=[Group(name="g", index="i", match={})],
    selectors=[Selector(name="s", priority=1, groups=["g"])],
)


def create_key(number):
    return f"{WALL_MS >> 16:08x}-{WALL_MS & 0xFFFF:04x}-7000-8000-{number:012x}"


KEYS = tuple(create_key(number) for number in range(2))


def fail(step):
    return PlatformError(step=step, message="no answer", run_state=RunState.UNKNOWN)


class Crashed(BaseException):
    """Unwinds the thread of an instance that was killed."""


class JumpingClock(Clock):
    """Each wait times out at once and moves the time to its end."""

    def __init__(self):
        self.now = 0.0

    def now_ms(self):
        return self.now

    def wall_ms(self):
        return WALL_MS + int(self.now)

    def sleep_ms(self, duration_ms):
        self.now += duration_ms

    def wait(self, condition, timeout_ms):
        assert timeout_ms is not None, "nobody would notify"
        self.now += timeout_ms
        return False


class Actor:
    """A thread that parks at each outside step."""

    def __init__(self, *, instance, target):
        self.instance = instance
        self.choices = ()
        self.done = False
        self.result = None
        self.failure = None
        self._choice = ""
        self._parked = threading.Semaphore(0)
        self._resumed = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, args=(target,), daemon=True)
        self._thread.actor = self
        self._thread.start()
        self._wait_parked()

    def _run(self, target):
        try:
            self.result = target()
        except Crashed:
            pass
        except BaseException as error:
            self.failure = error
        self.done = True
        self._parked.release()

    def park(self, *choices):
        self.choices = choices
        self._parked.release()
        self._resumed.acquire()
        if self._choice == "crash":
            raise Crashed
        return self._choice

    def step(self, choice):
        self._choice = choice
        self._resumed.release()
        self._wait_parked()

    def _wait_parked(self):
        assert self._parked.acquire(timeout=STEP_TIMEOUT_S)
        if self.failure:
            raise self.failure


def park(*choices):
    return threading.current_thread().actor.park(*choices)


class StepPlatform(Platform):
    """Objects with conditional updates; replies are lost, writes delayed, by choice."""

    def __init__(self):
        self.objects = {}
        self.delayed = []
        self.outage = False

    def get(self, name):
        choice = park("ok", "error")
        if self.outage or choice == "error":
            return Err(fail("get"))
        return Ok(self._read(name))

    def put(self, *, name, value, expected_version):
        choice = park("ok", "lost_reply", "lost", "delayed")
        if self.outage or choice == "lost":
            return Err(fail("put"))
        if choice == "delayed":
            self.delayed.append((name, value, expected_version))
            return Err(fail("put"))
        written = self.write(name, value, expected_version)
        return Err(fail("put")) if choice == "lost_reply" else Ok(written)

    def write(self, name, value, expected_version):
        current = self._read(name)
        if current.version != expected_version:
            return VersionConflict(current=current)
        self.objects[name] = (current.version + 1, value)
        return Written(version=current.version + 1)

    def _read(self, name):
        version, value = self.objects.get(name, (0, {}))
        return PlatformObject(name=name, version=version, value=value)


class StepPeers(Peers):
    """Delivers in the sender's thread, drops, repeats or refuses, by choice."""

    def __init__(self, *, world, name, incarnation):
        self.identity = InstanceIdentity(name=name, incarnation=incarnation)
        self._world = world
        self._handlers = {}

    def get_incarnation(self, name):
        return self._world.instances[name].peers.identity.incarnation

    def send(self, name, message):
        choice = park("ok", "drop", "repeat", "refuse")
        if choice == "refuse":
            return Err(PeerError(step="peers.send", peer=name, message="queue full"))
        for _ in range({"drop": 0, "ok": 1, "repeat": 2}[choice]):
            handler = self._world.instances[name].peers._handlers[type(message)]
            handler(self.identity, message)
        return Ok(None)


class StepCalls(Calls):
    """Runs orders, refuses them, or loses track of them, by choice."""

    def __init__(self, *, world, instance):
        self._world = world
        self._instance = instance

    def create_id(self, kind):
        return self._world.create_id(kind)

    def cancel(self, subrequest_id):
        pass

    def send(self, *, subrequest, upstream, inbox):
        world = self._world
        assert subrequest.remaining_ms > 0, "dispatched after its deadline"
        match park("completed", "not_run", "repeated_not_run", "silent", "peer_lost"):
            case "completed":
                inbox.enqueue(world.run_order(subrequest))
            case "not_run":
                inbox.enqueue(refuse_run(subrequest))
            case "repeated_not_run":
                inbox.enqueue(refuse_run(subrequest))
                event = UnexpectedOutcome(outcome=refuse_run(subrequest))
                self._instance.kernel.publish(event)
            case "silent":
                world.adrift.append((self._instance, subrequest))
            case "peer_lost":
                world.adrift.append((self._instance, subrequest))
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
        self._current = CONFIGURATION


class FixedSnapshots(Snapshots):
    def __init__(self):
        self._current = {"i": Snapshot(index="i", version="v", shards={"a": "a"})}


class FixedInventory(Inventory):
    def __init__(self):
        records = [
            UpstreamRecord(name=name, host="", port=0, service="a", failure_domain="d")
            for name in ("u1", "u2")
        ]
        self._by_service = {"a": records}

    def is_leaving(self, record):
        return False


class InlineKernel(Kernel):
    """Runs spawned work in the thread that spawns it."""

    def spawn(self, *, name, target):
        target()


@functools.cache
def create_settings(name, claim_commit):
    given = {
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
    return parse_settings(yaml.safe_dump(given), source="test")


class Instance:
    """Real orders and claims over stepped surroundings."""

    def __init__(self, *, world, name, incarnation):
        settings = create_settings(name, world.claim_commit)
        self.clock = JumpingClock()
        self.kernel = InlineKernel(settings=settings, clock=self.clock)
        self.peers = StepPeers(world=world, name=name, incarnation=incarnation)
        for service_name, fake in (
            ("platform", world.platform),
            ("peers", self.peers),
            ("membership", FixedMembership(world.names)),
            ("calls", StepCalls(world=world, instance=self)),
            ("configuration", FixedConfiguration()),
            ("snapshots", FixedSnapshots()),
            ("inventory", FixedInventory()),
        ):
            self.kernel.register(service_name, fake)
        self.kernel.register("routing", Routing(kernel=self.kernel))
        self.claims = Claims(kernel=self.kernel)
        self.kernel.register("claims", self.claims)
        self.orders = Orders(kernel=self.kernel)


class World:
    """All instances, the platform, and the record of what ran."""

    def __init__(self, *, names, claim_commit="grouped"):
        self.names = names
        self.claim_commit = claim_commit
        self.platform = StepPlatform()
        self.adrift = []
        self.runs = []
        self.counter = 0
        self.instances = {}
        for name in names:
            self.restart(name)

    def create_id(self, kind):
        self.counter += 1
        return f"{kind}{self.counter}"

    def restart(self, name):
        self.counter += 1
        self.instances[name] = Instance(world=self, name=name, incarnation=self.counter)
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


def refuse_run(subrequest):
    return SubrequestNotRun(id=subrequest.id, reason="shed", step="", peer="")
