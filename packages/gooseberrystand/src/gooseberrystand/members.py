"""The processes of a fleet with their ports, settings and platform records."""

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
    """One instance, its process and its record in the platform's list."""

    name: str
    child: Child
    settings: Path
    caller_port: int
    administration_port: int
    record: dict

    @property
    def process(self) -> subprocess.Popen:
        """The system process of the latest start."""
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
    """One upstream stand-in, its process and its record in the platform's list."""

    name: str
    child: Child
    control_port: int
    record: dict

    @property
    def url(self) -> str:
        """Base URL that instances use."""
        return f"http://{HOST}:{self.record['port']}"


def create_platform(*, folder: Path, port: int, control_port: int) -> Child:
    """Returns the platform stand-in, not yet started."""
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
    """Returns an instance, not yet started, after writing its settings.

    Args:
        name: Its name.
        number: Decides its failure domain.
        folder: Where settings and log go.
        ports: Ports for callers, administration and peers.
        platform_url: Base URL of the object API.
        overrides: Settings merged over the helper's own, in order.
    """
    callers, administration, peers = ports
    domain = assign_failure_domain(number)
    settings = {
        "instance": {
            "name": name,
            "failure_domain": domain,
            "callers": {"host": HOST, "port": callers},
            "administration": {"host": HOST, "port": administration},
            "peers": {"host": HOST, "port": peers},
        },
        "platform": {"url": platform_url},
        "api": {"operator_tokens": {OPERATOR_TOKEN: "demo"}},
    }
    for over in overrides:
        settings = merge_mappings(settings, over)
    path = folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    return InstanceProcess(
        name=name,
        child=Child(
            name=name,
            folder=folder,
            module="gooseberrymux",
            arguments=["run", "--settings", str(path)],
        ),
        settings=path,
        caller_port=callers,
        administration_port=administration,
        record={
            "name": name,
            "host": HOST,
            "peer_port": peers,
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
    """Returns an upstream, not yet started.

    Args:
        shape: Its group.
        number: Number of its service within the group.
        replica: Its number within the service.
        folder: Where its log goes.
        ports: Ports for instances and for control.
        behaviour: Fields of `execution.Behaviour` that differ from the shape's.
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
