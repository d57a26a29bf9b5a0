"""Shapes of deployments and the platform objects that describe them."""

import dataclasses

FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")
FIRST_VERSION = "v1"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GroupShape:
    """A group of services: its size and the shape of its servers.

    Attributes:
        name: Name of the group, of its index and of the service callers ask for.
        services: Number of services, one for each shard.
        servers: Replicas of each service.
        slots: Requests that a server runs at the same time.
        connections: Connections that a server accepts.
        connect_ms: Cost of a connection in milliseconds.
    """

    name: str
    services: int
    servers: int = 2
    slots: int = 2
    connections: int = 25
    connect_ms: float = 0.0


AUTHORITY_DESK = GroupShape(name="order-desk", services=20, connect_ms=5.0)


def pick_domain(number: int) -> str:
    """Returns the failure domain of the n-th process of a kind."""
    return FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]


def name_service(shape: GroupShape, number: int) -> str:
    """Returns the name of the n-th service of a group."""
    return f"{shape.name}-{number:02d}"


def create_shard_map(shape: GroupShape) -> dict[str, str]:
    """Returns the service of each shard, by shard name."""
    return {
        f"shard-{number:02d}": name_service(shape, number)
        for number in range(shape.services)
    }


def create_configuration(shapes: tuple[GroupShape, ...]) -> dict:
    """Returns a configuration with one selector for each group."""
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
    """Returns the index object of a group with its first version."""
    return {
        "generation": 1,
        "current": FIRST_VERSION,
        "versions": {FIRST_VERSION: create_shard_map(shape)},
    }
