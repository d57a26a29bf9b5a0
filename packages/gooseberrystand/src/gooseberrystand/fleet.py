"""Starts stand-ins and instances as plain processes, for the demo, tests and bench."""

import contextlib
import dataclasses
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import urllib3
import yaml

from gooseberrymux.errors import MuxError

HOST = "127.0.0.1"
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15
OPERATOR_TOKEN = "demo-operator-token"
FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")


class FleetError(MuxError):
    """A process did not start, answer or stop in time."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupShape:
    """A group of services: its size and the shape of its servers."""

    name: str
    services: int
    servers: int = 2
    slots: int = 2
    connections: int = 25


AUTHORITY_DESK = GroupShape(name="order-desk", services=20)


@dataclasses.dataclass(slots=True, kw_only=True)
class InstanceProcess:
    """One running instance."""

    name: str
    process: subprocess.Popen
    settings: Path
    caller_port: int
    administration_port: int

    @property
    def url(self) -> str:
        """Base URL of the caller API."""
        return f"http://{HOST}:{self.caller_port}"

    @property
    def administration_url(self) -> str:
        """Base URL of the administration API."""
        return f"http://{HOST}:{self.administration_port}"


class Fleet:
    """A platform stand-in, upstream stand-ins and instances."""

    __slots__ = (
        "folder",
        "shapes",
        "platform",
        "platform_port",
        "upstreams",
        "upstream_ports",
        "instances",
        "service_ms",
        "seed",
        "http",
        "_logs",
    )

    def __init__(
        self,
        *,
        folder: Path,
        shapes: tuple[GroupShape, ...] = (AUTHORITY_DESK,),
        service_ms: float = 5.0,
        seed: int = 1,
    ):
        self.folder = folder
        self.shapes = shapes
        self.service_ms = service_ms
        self.seed = seed
        self.platform: subprocess.Popen | None = None
        self.platform_port = find_free_port()
        self.upstreams: dict[str, subprocess.Popen] = {}
        self.upstream_ports: dict[str, int] = {}
        self.instances: dict[str, InstanceProcess] = {}
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self._logs: list = []

    def start(self, *, instances: int, overrides: dict | None = None) -> None:
        """Starts all processes and waits until each instance is ready."""
        ports = {
            f"entry-{number}": (find_free_port(), find_free_port(), find_free_port())
            for number in range(instances)
        }
        records = self._start_upstreams()
        objects = {
            "configuration/current": self._create_configuration(),
            "instances": {
                "generation": 1,
                "upstreams": records,
                "instances": [
                    {
                        "name": name,
                        "host": HOST,
                        "peer_port": peer_port,
                        "failure_domain": pick_domain(number),
                    }
                    for number, (name, (_, _, peer_port)) in enumerate(ports.items())
                ],
            },
            **self._create_indexes(),
        }
        objects_file = self.folder / "objects.json"
        objects_file.write_text(json.dumps(objects))
        self.platform = self.spawn(
            "platform",
            "gooseberrystand.platform",
            str(self.platform_port),
            "--objects",
            str(objects_file),
        )
        self.wait_for_port(self.platform_port)
        for number, (name, own_ports) in enumerate(ports.items()):
            self.start_instance(
                name=name,
                domain=pick_domain(number),
                ports=own_ports,
                overrides=overrides or {},
            )
        for instance in self.instances.values():
            self.wait_until_ready(instance)

    def start_instance(
        self,
        *,
        name: str,
        domain: str,
        ports: tuple[int, int, int],
        overrides: dict,
    ) -> InstanceProcess:
        """Starts one instance; does not wait until it is ready."""
        caller_port, administration_port, peer_port = ports
        settings = {
            "instance": {
                "name": name,
                "failure_domain": domain,
                "callers": {"host": HOST, "port": caller_port},
                "administration": {"host": HOST, "port": administration_port},
                "peers": {"host": HOST, "port": peer_port},
            },
            "platform": {"url": f"http://{HOST}:{self.platform_port}"},
            "api": {"operator_tokens": {OPERATOR_TOKEN: "demo"}},
            **overrides,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        process = self.spawn(name, "gooseberrymux.main", "run", "--settings", str(path))
        instance = InstanceProcess(
            name=name,
            process=process,
            settings=path,
            caller_port=caller_port,
            administration_port=administration_port,
        )
        self.instances[name] = instance
        return instance

    def spawn(self, name: str, module: str, *arguments: str) -> subprocess.Popen:
        """Starts a Python module as a process that logs to a file of its own."""
        log = (self.folder / f"{name}.log").open("ab")
        self._logs.append(log)
        # Children import the same packages as this process.
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=log,
            env=environment,
        )

    def wait_for_port(self, port: int) -> None:
        """Waits until a process listens on a port."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError):
                socket.create_connection((HOST, port), timeout=1).close()
                return
            time.sleep(0.05)
        raise FleetError(step="fleet.start", peer=str(port), message="no listener")

    def wait_until_ready(self, instance: InstanceProcess) -> None:
        """Waits until an instance's health says ready."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                reply = self.http.request("GET", f"{instance.url}/health", timeout=1)
                if reply.status == 200:
                    return
            time.sleep(0.05)
        raise FleetError(
            step="fleet.start", peer=instance.name, message="did not become ready"
        )

    def query(self, instance: InstanceProcess, **body: object) -> dict:
        """Sends a query to an instance and returns its JSON answer."""
        reply = self.http.request(
            "POST",
            f"{instance.url}/v1/query",
            body=json.dumps(body).encode(),
            headers={"Content-Type": "application/json", "X-Caller": "demo"},
            timeout=30,
        )
        return json.loads(reply.data)

    def stop(self) -> dict[str, int]:
        """Stops instances gracefully, then the stand-ins; returns exit codes."""
        codes = {
            name: stop_process(instance.process)
            for name, instance in self.instances.items()
        }
        for process in (*self.upstreams.values(), self.platform):
            if process is not None:
                process.kill()
                process.wait()
        for log in self._logs:
            log.close()
        return codes

    def _start_upstreams(self) -> list[dict]:
        records = []
        for shape in self.shapes:
            for number in range(shape.services):
                for replica in range(shape.servers):
                    records.append(self._start_upstream(shape, number, replica))
        for port in self.upstream_ports.values():
            self.wait_for_port(port)
        return records

    def _start_upstream(self, shape: GroupShape, number: int, replica: int) -> dict:
        service = f"{shape.name}-{number:02d}"
        name = f"{service}-{replica}"
        port = find_free_port()
        self.upstream_ports[name] = port
        self.upstreams[name] = self.spawn(
            name,
            "gooseberrystand.upstream",
            str(port),
            "--name",
            name,
            "--slots",
            str(shape.slots),
            "--service-ms",
            str(self.service_ms),
            "--seed",
            str(self.seed + len(self.upstreams)),
        )
        return {
            "name": name,
            "host": HOST,
            "port": port,
            "service": service,
            "failure_domain": pick_domain(number + replica),
            "slots": shape.slots,
            "connections": shape.connections,
            "labels": {"group": shape.name},
        }

    def _create_configuration(self) -> dict:
        return {
            "generation": 1,
            "change_id": "initial",
            "groups": [
                {
                    "name": shape.name,
                    "index": shape.name,
                    "match": {"group": shape.name},
                }
                for shape in self.shapes
            ],
            "selectors": [
                {
                    "name": f"{shape.name}-all",
                    "priority": 10,
                    "services": [shape.name],
                    "groups": [shape.name],
                }
                for shape in self.shapes
            ],
        }

    def _create_indexes(self) -> dict[str, dict]:
        return {
            f"index/{shape.name}": {
                "generation": 1,
                "current": "v1",
                "versions": {
                    "v1": {
                        f"shard-{number:02d}": f"{shape.name}-{number:02d}"
                        for number in range(shape.services)
                    }
                },
            }
            for shape in self.shapes
        }


@contextlib.contextmanager
def run_fleet(*, instances: int, fleet: Fleet) -> Iterator[Fleet]:
    """Starts a fleet and stops it at the end."""
    try:
        fleet.start(instances=instances)
        yield fleet
    finally:
        fleet.stop()


def find_free_port() -> int:
    """Returns a port that the system says is free."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def pick_domain(number: int) -> str:
    """Returns the failure domain of the n-th process of a kind."""
    return FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]


def stop_process(process: subprocess.Popen) -> int:
    """Asks a process to stop and returns its exit code."""
    process.send_signal(signal.SIGTERM)
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
