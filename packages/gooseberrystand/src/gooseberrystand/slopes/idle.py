"""Costs of an idle instance against the size of its fleet and of its documents."""

from collections.abc import Iterator

from gooseberrystand.fleet import Fleet
from gooseberrystand.server import HOST
from gooseberrystand.shapes import assign_failure_domain
from gooseberrystand.slopes.fit import Series
from gooseberrystand.slopes.meter import InstanceCosts, Meter, run_temporary_fleet

INSTANCE_COUNTS = (3, 6, 12, 24)
UPSTREAM_COUNTS = (40, 400, 4_000)
SELECTOR_COUNTS = (10, 100, 1_000)
FLEET_INSTANCES = 3
SETTLE_MS = 4_000
MEASUREMENT_MS = 8_000


def measure_instances() -> Iterator[Series]:
    """Yields costs of an idle instance against the number of instances."""
    measurements = []
    for count in INSTANCE_COUNTS:
        with run_temporary_fleet(instances=count) as fleet:
            measurements.append((count, measure_idle(fleet)))
    yield from create_idle_series("instances", measurements)
    yield Series(
        cost="platform calls of the idle fleet (1/s)",
        size="instances",
        points=[(size, costs.platform_call_rate) for size, costs in measurements],
    )


def measure_upstreams() -> Iterator[Series]:
    """Yields costs of an idle instance against the number of upstream records.

    One fleet is measured at each number, in ascending order.
    """
    measurements = []
    with run_temporary_fleet(instances=FLEET_INSTANCES) as fleet:
        for count in UPSTREAM_COUNTS:
            fleet.update_records(
                put=[create_idle_upstream_record(number) for number in range(count)]
            )
            measurements.append((count, measure_idle(fleet)))
    yield from create_idle_series("upstream records", measurements)


def measure_configuration() -> Iterator[Series]:
    """Yields costs of an idle instance against the number of selectors.

    One fleet is measured at each number, in ascending order.
    """
    measurements = []
    with run_temporary_fleet(instances=FLEET_INSTANCES) as fleet:
        for count in SELECTOR_COUNTS:
            write_selectors(fleet, selectors=count)
            measurements.append((count, measure_idle(fleet)))
    yield from create_idle_series("selectors", measurements)


def measure_idle(fleet: Fleet) -> InstanceCosts:
    """Lets the fleet settle, then measures it for `MEASUREMENT_MS` without load."""
    fleet.clock.sleep_ms(SETTLE_MS)
    meter = Meter(fleet=fleet)
    fleet.clock.sleep_ms(MEASUREMENT_MS)
    return meter.stop()


def create_idle_series(
    size: str, measurements: list[tuple[int, InstanceCosts]]
) -> Iterator[Series]:
    """Yields series of the CPU, memory and network use of an idle instance.

    The network series has only points at which the system counted TCP bytes.
    """
    for cost, read_cost in (
        (
            "idle CPU of an instance (share of a core)",
            InstanceCosts.mean_cpu_share.fget,
        ),
        ("memory of an instance (MB)", InstanceCosts.mean_memory_mb.fget),
    ):
        points = [(count, read_cost(costs)) for count, costs in measurements]
        yield Series(cost=cost, size=size, points=points)
    yield Series(
        cost="idle traffic of an instance (bytes/s)",
        size=size,
        points=[
            (count, costs.mean_network_bytes_per_s)
            for count, costs in measurements
            if costs.network_bytes
        ],
    )


def create_idle_upstream_record(number: int) -> dict:
    """Returns the record of an upstream that has no running process."""
    return {
        "name": f"idle-{number:04d}",
        "host": HOST,
        "port": 1,
        "service": f"idle-{number // 2:04d}",
        "failure_domain": assign_failure_domain(number),
        "slots": 2,
        "connections": 25,
        "labels": {"group": "idle"},
    }


def write_selectors(fleet: Fleet, *, selectors: int) -> int:
    """Writes a new configuration generation and returns its number.

    Its selectors are the first existing selector and `selectors` new ones.
    """
    name = "configuration/current"
    value = fleet.read_object(name)["value"]
    value["generation"] += 1
    value["change_id"] = f"change-{value['generation']}"
    value["selectors"] = value["selectors"][:1] + [
        {
            "name": f"selector-{number}",
            "priority": 20 + number,
            "callers": [f"caller-{number}"],
            "services": [f"service-{number}"],
            "groups": [value["groups"][0]["name"]],
        }
        for number in range(selectors)
    ]
    fleet.write_object(name, value)
    return value["generation"]
