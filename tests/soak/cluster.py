"""The cluster of one soak run: store, upstreams, instances, balancer, operator."""

import itertools
import random
import threading
import time
from pathlib import Path

from gooseberrystand.processes import FleetError
from machines.fake_store import FakeStore
from soak.callers import DEADLINE_MS, Caller, Listener
from soak.instances import SupervisedInstance
from soak.record import ConfigurationVersion, Record, UpstreamDrain
from soak.upstreams import Upstream, now_ms

SINGLE_SERVICES = ("alpha", "beta", "gamma")
# Path prefixes of the routes that every configuration version contains.
SEARCH, LOOKUP, FETCH, SUBMIT = "/search/", "/lookup/", "/fetch/", "/submit/"
MINIMUM_SHARE = 0.5
TOP_K = 8
PROBE_PERIOD_S = 0.1
START_TIMEOUT_S = 30.0
# How long an upstream keeps serving after it reports that it is draining.
DRAIN_MS = 3_000.0
REPLACEMENT_LEAD_MS = 800.0
# The store entry of a lost upstream is removed after three missed heartbeats.
ENTRY_EXPIRY_MS = 3_600.0


class Cluster:
    """Store, upstreams, instances and callers; `faults` injects faults into them."""

    def __init__(
        self,
        *,
        seed: int,
        folder: Path,
        instances: int,
        callers: int,
        shards: int,
        replicas: int,
        bounds: dict[str, float] | None = None,
    ):
        self.random = random.Random(seed)
        self.record = Record()
        self.store = FakeStore()
        self.entries = [
            SupervisedInstance(
                number=n, folder=folder, store_port=self.store.port, bounds=bounds
            )
            for n in range(instances)
        ]
        self.upstreams: dict[str, Upstream] = {}
        self.draining: set[str] = set()
        # Upstreams whose entries were removed while they still serve.
        self.withdrawn: set[str] = set()
        self.shards = [name_shard(0, n) for n in range(shards)]
        self.replicas = replicas
        self.single_service = SINGLE_SERVICES[0]
        self.timeout_ms = DEADLINE_MS
        # Tenants of the configuration, as operators write them to the store.
        self.tenants: list[dict] = []
        self._ids = itertools.count(1)
        self._generations = itertools.count(1)
        self._version_numbers = itertools.count(3, 2)
        self._version_prefixes: list[str] = []
        self._spec: dict = {}
        self._lock = threading.RLock()
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._callers = [
            Caller(
                number=n,
                seed=seed,
                pause_ms=1_000.0,
                record=self.record,
                pick_listener=self.pick_listener,
                list_paths=self.list_paths,
            )
            for n in range(callers)
        ]

    def start(self) -> None:
        """Starts upstreams and instances and waits until all instances are ready.

        Raises:
            FleetError: An instance is not ready after `START_TIMEOUT_S`.
        """
        for service in (*self.shards, *SINGLE_SERVICES):
            for _ in range(self.replicas):
                self.add_upstream(service)
        self.write_configuration()
        seeds = [entry.address for entry in self.entries[:3]]
        for entry in self.entries:
            entry.start(seeds)
        until = time.monotonic() + START_TIMEOUT_S
        while not all(entry.is_ready for entry in self.entries):
            if time.monotonic() > until:
                raise FleetError(
                    step="soak.start", peer="", message="instances are not ready"
                )
            self.probe_instances()
            time.sleep(PROBE_PERIOD_S)
        self._start_thread(self._probe_until_stop)

    def start_callers(self) -> None:
        """Starts a thread for each caller, which sends requests until `stop`."""
        for caller in self._callers:
            self._start_thread(lambda caller=caller: caller.run(self._stop))

    def stop(self) -> dict[str, int]:
        """Stops callers, instances and upstreams; returns the instances' exit codes."""
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

    def probe_instances(self) -> None:
        """Probes the health of all instances in parallel."""
        checks = [threading.Thread(target=entry.check_health) for entry in self.entries]
        for check in checks:
            check.start()
        for check in checks:
            check.join()

    def pick_listener(self) -> Listener | None:
        """Returns a random ready instance, or any instance if none is ready."""
        ready = [entry for entry in self.entries if entry.is_ready]
        entry = random.choice(ready or self.entries)
        return Listener(
            instance=entry.name, lifetime=entry.lifetime, port=entry.caller_port
        )

    def list_paths(self) -> list[tuple[str, str]]:
        """Returns methods and path prefixes for callers; repeats raise the odds."""
        with self._lock:
            version_prefix = self._version_prefixes[-1]
        return [
            ("GET", SEARCH),
            ("GET", SEARCH),
            ("GET", LOOKUP),
            ("GET", FETCH),
            ("POST", SUBMIT),
            ("GET", version_prefix),
        ]

    # Upstreams.

    def add_upstream(self, service: str, *, name: str = "", port: int = 0) -> Upstream:
        """Starts an upstream and registers it in the store."""
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
        """Crashes an upstream; its store entry stays."""
        upstream.crash()
        with self._lock:
            if self.upstreams.get(upstream.name) is upstream:
                del self.upstreams[upstream.name]

    def expire_entry(self, name: str) -> None:
        """Removes the store entry of an upstream unless it has been restarted."""
        with self._lock:
            if name not in self.upstreams:
                self.store.remove("servers", name)

    def report_draining(self, upstream: Upstream) -> None:
        """Has an upstream report in the store that it is draining."""
        spec = upstream.describe(state="draining")
        self.store.write("servers", upstream.name, spec)
        self._record_drain(upstream)

    def withdraw_entry(self, upstream: Upstream) -> None:
        """Removes an upstream's entry without a drain report; it keeps serving."""
        self.withdrawn.add(upstream.name)
        self.store.remove("servers", upstream.name)
        self._record_drain(upstream)

    def restore_entry(self, upstream: Upstream) -> None:
        """Restores the expired store entry of an upstream that still runs."""
        if not upstream.is_gone and upstream.name not in self.draining:
            spec = upstream.describe(state="ready")
            self.store.write("servers", upstream.name, spec)

    def remove_upstream(self, upstream: Upstream) -> None:
        """Removes an upstream's store entry and crashes the upstream."""
        self.store.remove("servers", upstream.name)
        self.crash_upstream(upstream)

    def _record_drain(self, upstream: Upstream) -> None:
        self.draining.add(upstream.name)
        self.record.append_event(
            UpstreamDrain(upstream=upstream.name, acked_ms=now_ms())
        )

    # Operator.

    def move_single_route(self) -> None:
        """Moves the route of single requests to another service."""
        with self._lock:
            others = [
                name for name in SINGLE_SERVICES[:2] if name != self.single_service
            ]
            self.single_service = self.random.choice(others)
            self.write_configuration()

    def change_timeout(self) -> None:
        """Changes the time limit of all routes."""
        with self._lock:
            self.timeout_ms = DEADLINE_MS + self.random.randrange(500)
            self.write_configuration()

    def start_shards(self) -> list[str]:
        """Starts the upstreams of a new set of shards; returns their service names."""
        generation = next(self._generations)
        count = max(3, len(self.shards) + self.random.randint(-1, 2))
        shards = [name_shard(generation, n) for n in range(count)]
        for service in shards:
            for _ in range(self.replicas):
                self.add_upstream(service)
        return shards

    def switch_shards(self, shards: list[str]) -> list[Upstream]:
        """Routes queries to other shards; returns the previous shards' upstreams."""
        with self._lock:
            previous, self.shards = self.shards, shards
            self.write_configuration()
            return [u for u in self.upstreams.values() if u.service in previous]

    def write_configuration(self) -> None:
        """Writes the next configuration version and records when it was acknowledged.

        Each version adds a route of its own and keeps that of the version before.
        """
        with self._lock:
            number = next(self._version_numbers)
            self._version_prefixes = [*self._version_prefixes, f"/v{number}/"][-2:]
            services = {
                SEARCH: tuple(self.shards),
                LOOKUP: tuple(self.shards),
                FETCH: (self.single_service,),
                SUBMIT: (SINGLE_SERVICES[2],),
                **{
                    version_prefix: (SINGLE_SERVICES[2],)
                    for version_prefix in self._version_prefixes
                },
            }
            self._spec = create_spec(number, services, self)
            self.store.write("config", "main", self._spec)
            self.record.append_event(
                ConfigurationVersion(
                    number=number, services=services, acked_ms=now_ms()
                )
            )

    def write_again(self) -> None:
        """Writes what operator and upstreams wrote to a store that went back."""
        with self._lock:
            self.store.write("config", "main", self._spec)
            running = list(self.upstreams.values())
        for upstream in running:
            if upstream.name not in self.withdrawn:
                state = "draining" if upstream.name in self.draining else "ready"
                spec = upstream.describe(state=state)
                self.store.write("servers", upstream.name, spec)

    def remove_lost_entries(self) -> None:
        """Removes the entries of upstreams that no longer run or were withdrawn."""
        for name in self.store.list_names("servers"):
            if name not in self.upstreams or name in self.withdrawn:
                self.store.remove("servers", name)

    def _probe_until_stop(self) -> None:
        while not self._stop.wait(PROBE_PERIOD_S):
            self.probe_instances()

    def _start_thread(self, target) -> None:
        thread = threading.Thread(target=target, daemon=True)
        self._threads.append(thread)
        thread.start()


def name_shard(generation: int, number: int) -> str:
    """Returns the service name of a shard in a generation of shards."""
    return f"shard-{generation}-{number}"


def create_spec(
    number: int, services: dict[str, tuple[str, ...]], cluster: Cluster
) -> dict:
    """Returns a configuration in the form that operators write to the store."""
    service_names = sorted({name for names in services.values() for name in names})
    return {
        "version": number,
        "routes": [
            create_route(prefix, names, cluster.timeout_ms)
            for prefix, names in services.items()
        ],
        "services": [{"name": name, "maxConnections": 20} for name in service_names],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": cluster.tenants,
    }


def create_route(prefix: str, names: tuple[str, ...], timeout_ms: int) -> dict:
    """Returns a route; it fans out if its path is a query over shards."""
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
            "topK": TOP_K,
            "minSuccessShare": MINIMUM_SHARE,
        }
    return {**route, "service": names[0]}
