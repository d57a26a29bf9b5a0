"""Shapes of simulated deployments, and the platform objects that describe them."""

import dataclasses

FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")
FIRST_INDEX_VERSION = "v1"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupShape:
    """Size of a group of services and the capacity of its servers.

    Attributes:
        name: Name of the group, of its index and of the service that callers name.
        services: Number of services, one for each shard.
        servers: Number of replicas of each service.
        slots: Number of requests that a server runs at the same time.
        connections: Number of connections that a server accepts at the same time.
        connect_ms: Time in milliseconds before the first request of a connection is
            read.
    """

    name: str
    services: int
    servers: int = 2
    slots: int = 2
    connections: int = 25
    connect_ms: float = 0.0


AUTHORITY_DESK = GroupShape(name="order-desk", services=20, connect_ms=5.0)


def assign_failure_domain(number: int) -> str:
    """Returns the failure domain of the n-th process of a kind, by round robin."""
    return FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]


def format_service_name(shape: GroupShape, number: int) -> str:
    """Returns the name of the n-th service of a group."""
    return f"{shape.name}-{number:02d}"


def create_shard_map(shape: GroupShape) -> dict[str, str]:
    """Returns the service of each shard, by shard name."""
    return {
        f"shard-{number:02d}": format_service_name(shape, number)
        for number in range(shape.services)
    }


def create_configuration(shapes: tuple[GroupShape, ...]) -> dict:
    """Returns the first configuration, with a group and a selector for each shape."""
    return {
        "generation": 1,
        "change_id": "initial",
        "groups": [
            {"name": shape.name, "index": shape.name, "match": {"group": shape.name}}
            for shape in shapes
        ],
        "selectors": [
            {
                "name": f"{shape.name}-all",
                "priority": 10,
                "services": [shape.name],
                "groups": [shape.name],
            }
            for shape in shapes
        ],
    }


def create_index(shape: GroupShape) -> dict:
    """Returns the index object of a group, with its first version as current."""
    return {
        "generation": 1,
        "current": FIRST_INDEX_VERSION,
        "versions": {FIRST_INDEX_VERSION: create_shard_map(shape)},
    }
