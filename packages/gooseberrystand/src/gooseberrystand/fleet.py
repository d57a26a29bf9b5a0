"""Starts stand-ins and instances as plain processes, for the demo, tests and bench."""

import contextlib
import json
from collections.abc import Iterator
from pathlib import Path

from gooseberrymux.clock import Clock
from gooseberrystand.client import Client, HttpReply
from gooseberrystand.members import (
    OPERATOR_TOKEN,
    InstanceProcess,
    UpstreamProcess,
    create_instance,
    create_platform,
    create_upstream,
)
from gooseberrystand.processes import Child, FleetError, LogLine, Port
from gooseberrystand.server import HOST
from gooseberrystand.shapes import (
    AUTHORITY_DESK,
    GroupShape,
    create_configuration,
    create_index,
    format_service_name,
)

__all__ = [
    "AUTHORITY_DESK",
    "OPERATOR_TOKEN",
    "Fleet",
    "FleetError",
    "GroupShape",
    "run_fleet",
]

START_TIMEOUT_MS = 20_000
READY_POLL_MS = 30
CALLER = "demo"


class Fleet:
    """A platform stand-in, upstream stand-ins and instances.

    Instances, upstreams and the platform are addressed by name; the platform's name
    is `platform`.
    """

    __slots__ = (
        "folder",
        "shapes",
        "platform",
        "platform_port",
        "upstreams",
        "instances",
        "service_ms",
        "behaviour",
        "seed",
        "client",
        "clock",
        "_platform_control_port",
        "_ports",
        "_overrides",
    )

    def __init__(
        self,
        *,
        folder: Path,
        shapes: tuple[GroupShape, ...] = (AUTHORITY_DESK,),
        service_ms: float = 5.0,
        behaviour: dict | None = None,
        seed: int = 1,
    ):
        """Prepares a fleet; `behaviour` holds `execution.Behaviour` fields for all."""
        self.folder = folder
        self.shapes = shapes
        self.service_ms = service_ms
        self.behaviour = behaviour or {}
        self.seed = seed
        self.clock = Clock()
        self._ports: list[Port] = []
        self._overrides: dict = {}
        self.platform_port = self._reserve_port()
        self._platform_control_port = self._reserve_port()
        self.platform = create_platform(
            folder=folder,
            port=self.platform_port,
            control_port=self._platform_control_port,
        )
        self.upstreams: dict[str, UpstreamProcess] = {}
        self.instances: dict[str, InstanceProcess] = {}
        self.client = Client()

    def start(self, *, instances: int, overrides: dict | None = None) -> None:
        """Starts all processes side by side and waits until each is ready.

        Args:
            instances: Number of instances.
            overrides: Settings merged over those of each instance, also of later ones.
        """
        self._overrides = overrides or {}
        for _ in range(instances):
            self._create_instance({})
        for shape in self.shapes:
            for number in range(shape.services):
                for replica in range(shape.servers):
                    self._create_upstream(shape, number, replica, {})
        objects = {
            "configuration/current": create_configuration(self.shapes),
            "instances": {
                "generation": 1,
                "upstreams": [entry.record for entry in self.upstreams.values()],
                "instances": [entry.record for entry in self.instances.values()],
            },
            **{f"index/{shape.name}": create_index(shape) for shape in self.shapes},
        }
        (self.folder / "objects.json").write_text(json.dumps(objects))
        self.platform.start(says_ready=True)
        for upstream in self.upstreams.values():
            upstream.child.start(says_ready=True)
        self.platform.wait_until_up()
        for instance in self.instances.values():
            instance.child.start()
        for upstream in self.upstreams.values():
            upstream.child.wait_until_up()
        for instance in self.instances.values():
            self.wait_until_ready(instance)
        for instance in self.instances.values() if instances > 1 else ():
            self.wait_until_joined(instance, members=instances)

    def stop(self) -> dict[str, int]:
        """Stops instances gracefully, then the stand-ins; returns exit codes."""
        running = [entry for entry in self.instances.values() if entry.child.running]
        for instance in running:
            instance.child.request_stop()
        codes = {entry.name: entry.child.wait_until_stopped() for entry in running}
        for upstream in self.upstreams.values():
            upstream.child.kill()
        self.platform.kill()
        for port in self._ports:
            port.release()
        self._ports.clear()
        self.client.close()
        return codes

    # Processes of either kind, by name.

    def find_child(self, name: str) -> Child:
        """Returns the process of an instance, an upstream or the platform."""
        if name == self.platform.name:
            return self.platform
        return (self.instances.get(name) or self.upstreams[name]).child

    def kill(self, name: str) -> None:
        """Ends a process at once; its record stays in the platform's list."""
        self.find_child(name).kill()

    def freeze(self, name: str) -> None:
        """Stops a process from running until `thaw`."""
        self.find_child(name).freeze()

    def thaw(self, name: str) -> None:
        """Lets a frozen process run on."""
        self.find_child(name).thaw()

    def restart(self, name: str) -> None:
        """Starts an ended process again on the same ports and waits until ready.

        The platform restarts with the objects of the fleet's start.
        """
        child = self.find_child(name)
        if name in self.instances:
            child.start()
            self.wait_until_ready(self.instances[name])
        else:
            child.start(says_ready=True)
            child.wait_until_up()

    def read_log(self, name: str, message_type: str | None = None) -> list[LogLine]:
        """Returns the JSON log lines of a process, all or those of one type."""
        return self.find_child(name).read_log(message_type)

    # Instances.

    def add_instance(
        self, *, overrides: dict | None = None, wait: bool = True
    ) -> InstanceProcess:
        """Starts and registers one more instance."""
        instance = self._create_instance(overrides or {})
        self.register(put=[instance.record])
        instance.child.start()
        if wait:
            self.wait_until_ready(instance)
        return instance

    def replace_instance(self, name: str) -> InstanceProcess:
        """Kills an instance, removes its record and adds another."""
        self.kill(name)
        self.register(remove=[name])
        return self.add_instance()

    def stop_instance(self, name: str) -> int:
        """Stops an instance gracefully and returns its exit code."""
        child = self.find_child(name)
        child.request_stop()
        return child.wait_until_stopped()

    def wait_until_ready(self, instance: InstanceProcess) -> None:
        """Waits until an instance's health says ready."""
        until_ms = self.clock.now_ms() + START_TIMEOUT_MS
        while self.clock.now_ms() < until_ms and instance.child.running:
            if (
                self.client.call("GET", f"{instance.url}/health", timeout_s=1).status
                == 200
            ):
                return
            # An instance has no other signal of being ready than its health answer.
            self.clock.sleep_ms(READY_POLL_MS)
        raise FleetError(
            step="fleet.start",
            peer=instance.name,
            message=f"not ready: {instance.child.log_path.read_text()[-500:]}",
        )

    def wait_until_joined(self, instance: InstanceProcess, *, members: int) -> None:
        """Waits until an instance knows `members` live members, itself included.

        Until then it may take itself for the owner of upstreams that others own.
        """
        wanted = f'gooseberrymux_members{{state="alive"}} {members}'
        until_ms = self.clock.now_ms() + START_TIMEOUT_MS
        while self.clock.now_ms() < until_ms and instance.child.running:
            if wanted in self.client.read_text(f"{instance.url}/metrics"):
                return
            # Membership announces itself to nobody outside the fleet.
            self.clock.sleep_ms(READY_POLL_MS)
        raise FleetError(
            step="fleet.start",
            peer=instance.name,
            message=f"does not know {members} members",
        )

    # Upstreams.

    def add_upstream(
        self, *, group: str, number: int, behaviour: dict | None = None
    ) -> UpstreamProcess:
        """Starts and registers one more replica of a group's n-th service."""
        shape = next(shape for shape in self.shapes if shape.name == group)
        service = format_service_name(shape, number)
        replica = sum(
            entry.record["service"] == service for entry in self.upstreams.values()
        )
        upstream = self._create_upstream(shape, number, replica, behaviour or {})
        upstream.child.start(says_ready=True)
        upstream.child.wait_until_up()
        self.register(put=[upstream.record])
        return upstream

    def replace_upstream(
        self, name: str, *, behaviour: dict | None = None
    ) -> UpstreamProcess:
        """Kills an upstream, removes its record and adds another replica."""
        record = self.upstreams[name].record
        self.kill(name)
        self.register(remove=[name])
        return self.add_upstream(
            group=record["labels"]["group"],
            number=int(record["service"].rsplit("-", 1)[1]),
            behaviour=behaviour,
        )

    def control(self, upstream: str, **behaviour: object) -> dict:
        """Changes fields of an upstream's behaviour; see `execution.Behaviour`."""
        port = self.upstreams[upstream].control_port
        return self.client.control("POST", port, "/_control", behaviour)

    def control_all(self, **behaviour: object) -> None:
        """Changes fields of the behaviour of all running upstreams."""
        for name, upstream in self.upstreams.items():
            if upstream.child.running:
                self.control(name, **behaviour)

    def read_stats(self, upstream: str) -> dict:
        """Returns an upstream's counts."""
        return self.client.control(
            "GET", self.upstreams[upstream].control_port, "/_stats"
        )

    def read_all_stats(self) -> dict[str, dict]:
        """Returns the counts of all running upstreams, by name."""
        return {
            name: self.read_stats(name)
            for name, upstream in self.upstreams.items()
            if upstream.child.running
        }

    def count_runs(self, key: str) -> int:
        """Returns how often an order ran, over all running upstreams."""
        return sum(
            stats["order_runs"].get(key, 0) for stats in self.read_all_stats().values()
        )

    # Platform.

    def set_faults(self, **faults: object) -> dict:
        """Sets faults of the platform; see `platform.Faults`."""
        return self.client.control(
            "POST", self._platform_control_port, "/_faults", faults
        )

    def read_calls(self) -> dict:
        """Returns the platform's counts of reads, writes and watches."""
        return self.client.control("GET", self._platform_control_port, "/_calls")

    def register(
        self, *, put: list[dict] | None = None, remove: list[str] | None = None
    ) -> dict:
        """Puts and removes records of the platform's list, by name."""
        body = {"put": put or [], "remove": remove or []}
        return self.client.control(
            "POST", self._platform_control_port, "/_instances", body
        )

    def read_object(self, name: str) -> dict:
        """Returns a platform object with its version and value."""
        return self.client.call("GET", f"{self.platform_url}/objects/{name}").body

    def write_object(self, name: str, value: dict) -> HttpReply:
        """Writes a platform object over its current version."""
        version = self.read_object(name)["version"]
        return self.client.call(
            "PUT",
            f"{self.platform_url}/objects/{name}",
            {"value": value, "expected_version": version},
        )

    @property
    def platform_url(self) -> str:
        """Base URL of the object API."""
        return f"http://{HOST}:{self.platform_port}"

    # Requests of callers.

    def query(self, instance: InstanceProcess, **body: object) -> dict:
        """Sends a query to an instance and returns its JSON answer."""
        return self.send(instance, "/v1/query", body).body

    def order(self, instance: InstanceProcess, *, key: str, **body: object) -> dict:
        """Sends an order to an instance and returns its JSON answer."""
        return self.send_order(instance, key=key, **body).body

    def send_order(
        self, instance: InstanceProcess, *, key: str, **body: object
    ) -> HttpReply:
        """Sends an order to an instance and returns status and answer."""
        headers = {"Idempotency-Key": key}
        return self.send(instance, "/v1/order", body, headers=headers)

    def send(
        self,
        instance: InstanceProcess,
        path: str,
        body: dict | None = None,
        *,
        method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        """Sends a caller's request to an instance."""
        return self.client.call(
            method,
            instance.url + path,
            body,
            headers={"X-Caller": CALLER, **(headers or {})},
        )

    def _reserve_port(self) -> int:
        port = Port()
        self._ports.append(port)
        return port.number

    def _create_instance(self, overrides: dict) -> InstanceProcess:
        number = len(self.instances)
        instance = create_instance(
            name=f"entry-{number}",
            number=number,
            folder=self.folder,
            ports=(self._reserve_port(), self._reserve_port(), self._reserve_port()),
            platform_url=self.platform_url,
            overrides=[self._overrides, overrides],
        )
        self.instances[instance.name] = instance
        return instance

    def _create_upstream(
        self, shape: GroupShape, number: int, replica: int, behaviour: dict
    ) -> UpstreamProcess:
        upstream = create_upstream(
            shape=shape,
            number=number,
            replica=replica,
            folder=self.folder,
            ports=(self._reserve_port(), self._reserve_port()),
            behaviour={
                "service_ms": self.service_ms,
                "seed": self.seed + len(self.upstreams),
                **self.behaviour,
                **behaviour,
            },
        )
        self.upstreams[upstream.name] = upstream
        return upstream


@contextlib.contextmanager
def run_fleet(
    *, instances: int, fleet: Fleet, overrides: dict | None = None
) -> Iterator[Fleet]:
    """Starts a fleet and stops it at the end."""
    try:
        fleet.start(instances=instances, overrides=overrides)
        yield fleet
    finally:
        fleet.stop()
