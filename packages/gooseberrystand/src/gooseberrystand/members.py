"""Child processes of a fleet, with their ports, settings files and platform records."""

import dataclasses
import json
import subprocess
from pathlib import Path

import yaml

from gooseberrymux.settings import merge_mappings
from gooseberrystand.processes import Child
from gooseberrystand.server import HOST
from gooseberrystand.shapes import (
    GroupShape,
    assign_failure_domain,
    format_service_name,
)

OPERATOR_TOKEN = "demo-operator-token"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceProcess:
    """An instance that runs as a child process.

    Attributes:
        name: Name of the instance and of its child process.
        child: The child process.
        settings_path: Settings file of the instance.
        caller_port: Port of the caller API.
        administration_port: Port of the administration API.
        record: Record of the instance for the platform's list.
    """

    name: str
    child: Child
    settings_path: Path
    caller_port: int
    administration_port: int
    record: dict

    @property
    def process(self) -> subprocess.Popen:
        """The process of the latest start."""
        return self.child.process

    @property
    def url(self) -> str:
        """Base URL of the caller API."""
        return f"http://{HOST}:{self.caller_port}"

    @property
    def administration_url(self) -> str:
        """Base URL of the administration API."""
        return f"http://{HOST}:{self.administration_port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamProcess:
    """An upstream stand-in that runs as a child process.

    Attributes:
        name: Name of the upstream and of its child process.
        child: The child process.
        control_port: Port of the control API.
        record: Record of the upstream for the platform's list.
    """

    name: str
    child: Child
    control_port: int
    record: dict

    @property
    def url(self) -> str:
        """Base URL at which instances call the upstream."""
        return f"http://{HOST}:{self.record['port']}"


def create_platform(*, folder: Path, port: int, control_port: int) -> Child:
    """Returns the child process of the platform stand-in, not yet started.

    Args:
        folder: Folder of its log and of `objects.json`, the objects it starts with.
        port: Port of the object API.
        control_port: Port of the control API.
    """
    return Child(
        name="platform",
        folder=folder,
        module="gooseberrystand.platform",
        arguments=[
            str(port),
            "--control-port",
            str(control_port),
            "--objects",
            str(folder / "objects.json"),
        ],
    )


def create_instance(
    *,
    name: str,
    number: int,
    folder: Path,
    ports: tuple[int, int, int],
    platform_url: str,
    overrides: list[dict],
) -> InstanceProcess:
    """Writes the settings file of an instance; returns the instance, not yet started.

    Args:
        name: Name of the instance.
        number: Number of the instance in the fleet, which selects its failure domain.
        folder: Folder of the settings file and the log.
        ports: Ports for callers, administration and peers, in this order.
        platform_url: Base URL of the platform's object API.
        overrides: Mappings merged in order over the settings written here.
    """
    caller_port, administration_port, peer_port = ports
    domain = assign_failure_domain(number)
    settings = {
        "instance": {
            "name": name,
            "failure_domain": domain,
            "callers": {"host": HOST, "port": caller_port},
            "administration": {"host": HOST, "port": administration_port},
            "peers": {"host": HOST, "port": peer_port},
        },
        "platform": {"url": platform_url},
        "api": {"operator_tokens": {OPERATOR_TOKEN: "demo"}},
    }
    for override in overrides:
        settings = merge_mappings(settings, override)
    settings_path = folder / f"{name}.yaml"
    settings_path.write_text(yaml.safe_dump(settings))
    return InstanceProcess(
        name=name,
        child=Child(
            name=name,
            folder=folder,
            module="gooseberrymux",
            arguments=["run", "--settings", str(settings_path)],
        ),
        settings_path=settings_path,
        caller_port=caller_port,
        administration_port=administration_port,
        record={
            "name": name,
            "host": HOST,
            "peer_port": peer_port,
            "failure_domain": domain,
        },
    )


def create_upstream(
    *,
    shape: GroupShape,
    number: int,
    replica: int,
    folder: Path,
    ports: tuple[int, int],
    behaviour: dict,
) -> UpstreamProcess:
    """Returns an upstream stand-in, not yet started.

    Args:
        shape: Shape of the group that the upstream belongs to.
        number: Number of the service within the group.
        replica: Number of the replica within the service.
        folder: Folder of the log.
        ports: Port for instances and port of the control API, in this order.
        behaviour: Fields of `execution.Behaviour`, which override those of the shape.
    """
    port, control_port = ports
    service = format_service_name(shape, number)
    name = f"{service}-{replica}"
    behaviour = {
        "name": name,
        "slots": shape.slots,
        "connections": shape.connections,
        "connect_ms": shape.connect_ms,
        **behaviour,
    }
    return UpstreamProcess(
        name=name,
        child=Child(
            name=name,
            folder=folder,
            module="gooseberrystand.upstream",
            arguments=[
                str(port),
                "--control-port",
                str(control_port),
                "--behaviour",
                json.dumps(behaviour),
            ],
        ),
        control_port=control_port,
        record={
            "name": name,
            "host": HOST,
            "port": port,
            "service": service,
            "failure_domain": assign_failure_domain(number + replica),
            "slots": shape.slots,
            "connections": shape.connections,
            "labels": {"group": shape.name},
        },
    )
