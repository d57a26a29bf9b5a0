"""Runs instances and stand-ins as child processes, for demo, tests and benchmarks."""

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
from gooseberrystand.processes import Child, FleetError, LogLine, ReservedPort
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
CALLER_NAME = "demo"


class Fleet:
    """A platform stand-in, upstream stand-ins and instances, each a child process.

    Methods address the processes by name; the platform stand-in is named `platform`.
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
        "_common_overrides",
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
        """Prepares a fleet without starting any process.

        Args:
            folder: Folder of logs, settings files and the platform's objects.
            shapes: Shapes of the groups; one upstream is started for each replica.
            service_ms: Mean time an upstream runs a request, in milliseconds.
            behaviour: Fields of `execution.Behaviour` for all upstreams.
            seed: Seed of the first upstream; each further upstream adds 1.
        """
        self.folder = folder
        self.shapes = shapes
        self.service_ms = service_ms
        self.behaviour = behaviour or {}
        self.seed = seed
        self.clock = Clock()
        self._ports: list[ReservedPort] = []
        self._common_overrides: dict = {}
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
        """Starts all processes and waits until each is ready.

        The processes start concurrently, but the instances only once the platform
        listens. If there are several instances, waits until all know each other.

        Args:
            instances: Number of instances.
            overrides: Settings merged over those of each instance, including instances
                added later.
        """
        self._common_overrides = overrides or {}
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
                "upstreams": [upstream.record for upstream in self.upstreams.values()],
                "instances": [instance.record for instance in self.instances.values()],
            },
            **{f"index/{shape.name}": create_index(shape) for shape in self.shapes},
        }
        (self.folder / "objects.json").write_text(json.dumps(objects))
        self.platform.start(reports_ready=True)
        for upstream in self.upstreams.values():
            upstream.child.start(reports_ready=True)
        self.platform.wait_until_listening()
        for instance in self.instances.values():
            instance.child.start()
        for upstream in self.upstreams.values():
            upstream.child.wait_until_listening()
        for instance in self.instances.values():
            self.wait_until_ready(instance)
        for instance in self.instances.values() if instances > 1 else ():
            self.wait_until_joined(instance, members=instances)

    def stop(self) -> dict[str, int]:
        """Stops the instances gracefully and kills the stand-ins.

        Returns:
            Exit codes of the instances that were running, by name.
        """
        running = [
            instance for instance in self.instances.values() if instance.child.running
        ]
        for instance in running:
            instance.child.request_stop()
        exit_codes = {
            instance.name: instance.child.wait_until_stopped() for instance in running
        }
        for upstream in self.upstreams.values():
            upstream.child.kill()
        self.platform.kill()
        for port in self._ports:
            port.release()
        self._ports.clear()
        self.client.close()
        return exit_codes

    # Child processes of all kinds, by name.

    def find_child(self, name: str) -> Child:
        """Returns the child process of an instance, an upstream or the platform."""
        if name == self.platform.name:
            return self.platform
        return (self.instances.get(name) or self.upstreams[name]).child

    def kill(self, name: str) -> None:
        """Kills a process; its record stays in the platform's list."""
        self.find_child(name).kill()

    def freeze(self, name: str) -> None:
        """Suspends a process until `thaw`."""
        self.find_child(name).freeze()

    def thaw(self, name: str) -> None:
        """Resumes a frozen process."""
        self.find_child(name).thaw()

    def restart(self, name: str) -> None:
        """Restarts a process that has ended, on the same ports; waits until ready.

        The platform restarts with the objects that it had when the fleet started.
        """
        child = self.find_child(name)
        if name in self.instances:
            child.start()
            self.wait_until_ready(self.instances[name])
        else:
            child.start(reports_ready=True)
            child.wait_until_listening()

    def read_log(self, name: str, message_type: str | None = None) -> list[LogLine]:
        """Returns the JSON log lines of a process, all or those of one message type."""
        return self.find_child(name).read_log(message_type)

    # Instances.

    def add_instance(
        self, *, overrides: dict | None = None, wait: bool = True
    ) -> InstanceProcess:
        """Registers and starts one more instance.

        Args:
            overrides: Settings merged over those of all instances.
            wait: Whether to wait until the instance is ready.
        """
        instance = self._create_instance(overrides or {})
        self.update_records(put=[instance.record])
        instance.child.start()
        if wait:
            self.wait_until_ready(instance)
        return instance

    def replace_instance(self, name: str) -> InstanceProcess:
        """Kills an instance, removes its record and adds one with a new name."""
        self.kill(name)
        self.update_records(remove=[name])
        return self.add_instance()

    def stop_instance(self, name: str) -> int:
        """Stops an instance gracefully and returns its exit code."""
        child = self.find_child(name)
        child.request_stop()
        return child.wait_until_stopped()

    def wait_until_ready(self, instance: InstanceProcess) -> None:
        """Waits until the health endpoint of an instance answers with status 200."""
        deadline_ms = self.clock.now_ms() + START_TIMEOUT_MS
        while self.clock.now_ms() < deadline_ms and instance.child.running:
            if (
                self.client.call("GET", f"{instance.url}/health", timeout_s=1).status
                == 200
            ):
                return
            # Polled because an instance reports readiness only at its health endpoint.
            self.clock.sleep_ms(READY_POLL_MS)
        raise FleetError(
            step="fleet.start",
            peer=instance.name,
            message=f"not ready: {instance.child.log_path.read_text()[-500:]}",
        )

    def wait_until_joined(self, instance: InstanceProcess, *, members: int) -> None:
        """Waits until an instance knows `members` live members, itself included.

        Until then the instance may consider itself the owner of upstreams that other
        instances own.
        """
        expected_metric = f'gooseberrymux_members{{state="alive"}} {members}'
        deadline_ms = self.clock.now_ms() + START_TIMEOUT_MS
        while self.clock.now_ms() < deadline_ms and instance.child.running:
            if expected_metric in self.client.read_text(f"{instance.url}/metrics"):
                return
            # Polled because membership changes are not reported to other processes.
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
        """Starts and registers one more replica of service `number` of a group."""
        shape = next(shape for shape in self.shapes if shape.name == group)
        service = format_service_name(shape, number)
        replica = sum(
            upstream.record["service"] == service
            for upstream in self.upstreams.values()
        )
        upstream = self._create_upstream(shape, number, replica, behaviour or {})
        upstream.child.start(reports_ready=True)
        upstream.child.wait_until_listening()
        self.update_records(put=[upstream.record])
        return upstream

    def replace_upstream(
        self, name: str, *, behaviour: dict | None = None
    ) -> UpstreamProcess:
        """Kills an upstream, removes its record and adds one of the same service."""
        record = self.upstreams[name].record
        self.kill(name)
        self.update_records(remove=[name])
        return self.add_upstream(
            group=record["labels"]["group"],
            number=int(record["service"].rsplit("-", 1)[1]),
            behaviour=behaviour,
        )

    def change_behaviour(self, upstream: str, **behaviour: object) -> dict:
        """Changes fields of the `execution.Behaviour` of a running upstream."""
        port = self.upstreams[upstream].control_port
        return self.client.call_control("POST", port, "/_control", behaviour)

    def change_all_behaviours(self, **behaviour: object) -> None:
        """Changes fields of the `execution.Behaviour` of all running upstreams."""
        for name, upstream in self.upstreams.items():
            if upstream.child.running:
                self.change_behaviour(name, **behaviour)

    def read_stats(self, upstream: str) -> dict:
        """Returns the counts that a running upstream keeps of its requests."""
        return self.client.call_control(
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
        """Returns how often the order with this idempotency key ran.

        Adds up the counts of all running upstreams.
        """
        return sum(
            stats["order_runs"].get(key, 0) for stats in self.read_all_stats().values()
        )

    # Platform.

    def set_faults(self, **faults: object) -> dict:
        """Sets fields of the `platform.Faults` of the platform stand-in."""
        return self.client.call_control(
            "POST", self._platform_control_port, "/_faults", faults
        )

    def restore_platform(self, *, age_ms: float) -> dict:
        """Takes the platform stand-in back to its state of `age_ms` ago."""
        return self.client.call_control(
            "POST", self._platform_control_port, "/_restore", {"age_ms": age_ms}
        )

    def read_call_counts(self) -> dict:
        """Returns the platform's counts of reads, writes and watches."""
        return self.client.call_control("GET", self._platform_control_port, "/_calls")

    def update_records(
        self, *, put: list[dict] | None = None, remove: list[str] | None = None
    ) -> dict:
        """Adds, replaces and removes records of the platform's list.

        Args:
            put: Records to add, or to replace the record of the same name.
            remove: Names of records to remove.
        """
        body = {"put": put or [], "remove": remove or []}
        return self.client.call_control(
            "POST", self._platform_control_port, "/_instances", body
        )

    def read_object(self, name: str) -> dict:
        """Returns a platform object with its version and value."""
        return self.client.call("GET", f"{self.platform_url}/objects/{name}").body

    def write_object(self, name: str, value: dict) -> HttpReply:
        """Replaces the current version of a platform object.

        The write is conditional on the version read first, so it can be refused.
        """
        version = self.read_object(name)["version"]
        return self.client.call(
            "PUT",
            f"{self.platform_url}/objects/{name}",
            {"value": value, "expected_version": version},
        )

    @property
    def platform_url(self) -> str:
        """Base URL of the platform's object API."""
        return f"http://{HOST}:{self.platform_port}"

    # Requests of callers.

    def query(self, instance: InstanceProcess, **body: object) -> dict:
        """Sends a query to an instance and returns the JSON body of the answer."""
        return self.send(instance, "/v1/query", body).body

    def order(self, instance: InstanceProcess, *, key: str, **body: object) -> dict:
        """Sends an order to an instance and returns the JSON body of the answer."""
        return self.send_order(instance, key=key, **body).body

    def send_order(
        self, instance: InstanceProcess, *, key: str, **body: object
    ) -> HttpReply:
        """Sends an order to an instance and returns status and JSON body."""
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
        """Sends a request to the caller API of an instance as caller `demo`."""
        return self.client.call(
            method,
            instance.url + path,
            body,
            headers={"X-Caller": CALLER_NAME, **(headers or {})},
        )

    def _reserve_port(self) -> int:
        port = ReservedPort()
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
            overrides=[self._common_overrides, overrides],
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
    """Starts a fleet and stops it when the context ends, also after an error."""
    try:
        fleet.start(instances=instances, overrides=overrides)
        yield fleet
    finally:
        fleet.stop()
