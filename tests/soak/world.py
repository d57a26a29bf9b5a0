"""The world of one soak run: store, upstreams, instances, balancer, operator."""

import itertools
import random
import threading
import time
from pathlib import Path

from gooseberrystand.processes import FleetError
from machines.fake_store import FakeStore
from soak.callers import DEADLINE_MS, Caller, Door
from soak.entries import Entry
from soak.record import Drained, Record, Version
from soak.upstreams import Upstream, now_ms

SINGLES = ("alpha", "beta", "gamma")
# What the operator's page says of each kind of path.
SEARCH, LOOKUP, FETCH, SUBMIT = "/search/", "/lookup/", "/fetch/", "/submit/"
MINIMUM_SHARE = 0.5
TOP = 8
CHECK_PERIOD_S = 0.1
START_TIMEOUT_S = 30.0
# How long an upstream that reports that it leaves serves on.
DRAIN_MS = 3_000.0
SETTLE_MS = 800.0
# A lost entry is removed after three heartbeats of silence.
SILENCE_MS = 3_600.0


class World:
    """Everything but the faults; see `faults` for those."""

    def __init__(
        self,
        *,
        seed: int,
        folder: Path,
        instances: int,
        callers: int,
        shards: int,
        replicas: int,
    ):
        self.random = random.Random(seed)
        self.record = Record()
        self.store = FakeStore()
        self.entries = [
            Entry(number=n, folder=folder, store_port=self.store.port)
            for n in range(instances)
        ]
        self.upstreams: dict[str, Upstream] = {}
        self.leaving: set[str] = set()
        self.shards = [name_shard(0, n) for n in range(shards)]
        self.replicas = replicas
        self.single = SINGLES[0]
        self.timeout_ms = DEADLINE_MS
        self._ids = itertools.count(1)
        self._cuts = itertools.count(1)
        self._numbers = itertools.count(3, 2)
        self._markers: list[str] = []
        self._lock = threading.RLock()
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._callers = [
            Caller(
                number=n,
                seed=seed,
                pause_ms=1_000.0,
                record=self.record,
                pick_door=self.pick_door,
                list_paths=self.list_paths,
            )
            for n in range(callers)
        ]

    def start(self) -> None:
        """Starts upstreams and instances and waits until all are ready."""
        for service in (*self.shards, *SINGLES):
            for _ in range(self.replicas):
                self.add_upstream(service)
        self.write_configuration()
        seeds = [entry.address for entry in self.entries[:3]]
        for entry in self.entries:
            entry.start(seeds)
        until = time.monotonic() + START_TIMEOUT_S
        while not all(entry.is_ready for entry in self.entries):
            if time.monotonic() > until:
                raise FleetError(step="soak.start", peer="", message="not ready")
            self.check_entries()
            time.sleep(CHECK_PERIOD_S)
        self._spawn(self._balance)

    def start_callers(self) -> None:
        """Lets the callers send."""
        for caller in self._callers:
            self._spawn(lambda caller=caller: caller.run(self._stop))

    def stop(self) -> dict[str, int]:
        """Ends callers, instances and upstreams; returns the instances' exit codes."""
        self._stop.set()
        for thread in self._threads:
            thread.join(DEADLINE_MS / 1_000 + 5)
        codes: dict[str, int] = {}
        stops = [
            threading.Thread(target=lambda e=e: codes.update({e.name: e.stop()}))
            for e in self.entries
        ]
        for thread in stops:
            thread.start()
        for thread in stops:
            thread.join()
        for upstream in list(self.upstreams.values()):
            upstream.crash()
        self.store.close()
        return codes

    # Balancer and callers.

    def check_entries(self) -> None:
        """Asks each instance for its health."""
        checks = [threading.Thread(target=entry.check) for entry in self.entries]
        for check in checks:
            check.start()
        for check in checks:
            check.join()

    def pick_door(self) -> Door | None:
        """Returns an instance that is ready, or any if none is."""
        ready = [entry for entry in self.entries if entry.is_ready]
        entry = random.choice(ready or self.entries)
        return Door(instance=entry.name, lifetime=entry.lifetime, port=entry.door_port)

    def list_paths(self) -> list[tuple[str, str]]:
        """Returns what callers may ask for now."""
        with self._lock:
            marker = self._markers[-1]
        return [
            ("GET", SEARCH),
            ("GET", SEARCH),
            ("GET", LOOKUP),
            ("GET", FETCH),
            ("POST", SUBMIT),
            ("GET", marker),
        ]

    # Upstreams.

    def add_upstream(self, service: str, *, name: str = "", port: int = 0) -> Upstream:
        """Starts an upstream and enters it into the store."""
        upstream = Upstream(
            name=name or f"i-{next(self._ids)}",
            service=service,
            port=port,
            record=self.record,
        )
        with self._lock:
            self.upstreams[upstream.name] = upstream
        self.store.write("servers", upstream.name, upstream.describe(state="ready"))
        return upstream

    def crash_upstream(self, upstream: Upstream) -> None:
        """Ends an upstream without a word."""
        upstream.crash()
        with self._lock:
            if self.upstreams.get(upstream.name) is upstream:
                del self.upstreams[upstream.name]

    def forget_upstream(self, name: str) -> None:
        """Removes the entry of an upstream that has not come back."""
        with self._lock:
            if name not in self.upstreams:
                self.store.remove("servers", name)

    def report_draining(self, upstream: Upstream) -> None:
        """Has an upstream report that it leaves."""
        spec = upstream.describe(state="draining")
        self.store.write("servers", upstream.name, spec)
        self._note_leaving(upstream)

    def take_entry_away(self, upstream: Upstream) -> None:
        """Has an upstream leave without a report: its entry goes, it serves on."""
        self.store.remove("servers", upstream.name)
        self._note_leaving(upstream)

    def enter_again(self, upstream: Upstream) -> None:
        """Brings the lapsed entry of a living upstream back."""
        if not upstream.is_gone and upstream.name not in self.leaving:
            spec = upstream.describe(state="ready")
            self.store.write("servers", upstream.name, spec)

    def remove_upstream(self, upstream: Upstream) -> None:
        """Takes an upstream's entry away and ends it."""
        self.store.remove("servers", upstream.name)
        self.crash_upstream(upstream)

    def _note_leaving(self, upstream: Upstream) -> None:
        self.leaving.add(upstream.name)
        self.record.note(Drained(upstream=upstream.name, acked_ms=now_ms()))

    # Operator.

    def move_single(self) -> None:
        """Moves the route of single requests to another service."""
        with self._lock:
            others = [name for name in SINGLES[:2] if name != self.single]
            self.single = self.random.choice(others)
            self.write_configuration()

    def change_timeout(self) -> None:
        """Changes a time limit."""
        with self._lock:
            self.timeout_ms = DEADLINE_MS + self.random.randrange(500)
            self.write_configuration()

    def start_shards(self) -> list[str]:
        """Starts the upstreams of the next set of shards; returns their services."""
        cut = next(self._cuts)
        count = max(3, len(self.shards) + self.random.randint(-1, 2))
        shards = [name_shard(cut, n) for n in range(count)]
        for service in shards:
            for _ in range(self.replicas):
                self.add_upstream(service)
        return shards

    def use_shards(self, shards: list[str]) -> list[Upstream]:
        """Has queries use other shards; returns the upstreams of the old ones."""
        with self._lock:
            before, self.shards = self.shards, shards
            self.write_configuration()
            return [u for u in self.upstreams.values() if u.service in before]

    def write_configuration(self) -> None:
        """Writes the next version and records when it was accepted."""
        with self._lock:
            number = next(self._numbers)
            self._markers = [*self._markers, f"/v{number}/"][-2:]
            services = {
                SEARCH: tuple(self.shards),
                LOOKUP: tuple(self.shards),
                FETCH: (self.single,),
                SUBMIT: (SINGLES[2],),
                **{marker: (SINGLES[2],) for marker in self._markers},
            }
            self.store.write("config", "main", create_spec(number, services, self))
            self.record.note(
                Version(number=number, services=services, acked_ms=now_ms())
            )

    def _balance(self) -> None:
        while not self._stop.wait(CHECK_PERIOD_S):
            self.check_entries()

    def _spawn(self, target) -> None:
        thread = threading.Thread(target=target, daemon=True)
        self._threads.append(thread)
        thread.start()


def name_shard(cut: int, number: int) -> str:
    """Returns the service of a shard."""
    return f"shard-{cut}-{number}"


def create_spec(
    number: int, services: dict[str, tuple[str, ...]], world: World
) -> dict:
    """Returns a configuration as the operator of the machines writes it."""
    known = sorted({name for names in services.values() for name in names})
    return {
        "version": number,
        "routes": [
            create_route(prefix, names, world.timeout_ms)
            for prefix, names in services.items()
        ],
        "services": [{"name": name, "maxConnections": 20} for name in known],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


def create_route(prefix: str, names: tuple[str, ...], timeout_ms: int) -> dict:
    """Returns one route."""
    route = {
        "name": f"r{prefix.strip('/')}",
        "host": "soak.example",
        "pathPrefix": prefix,
        "routeType": "non_idempotent" if prefix == SUBMIT else "idempotent",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 80.0 if prefix == LOOKUP else 250.0,
        "priority": {LOOKUP: 0, SEARCH: 1}.get(prefix, 2),
        "maxAttempts": 2,
    }
    if prefix in (SEARCH, LOOKUP):
        return {
            **route,
            "fanoutServices": list(names),
            "topK": TOP,
            "minSuccessShare": MINIMUM_SHARE,
        }
    return {**route, "service": names[0]}
