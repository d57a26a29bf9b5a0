"""Costs of an idle instance against the size of the fleet and of its documents."""

from collections.abc import Iterator

from gooseberrystand.fleet import Fleet
from gooseberrystand.server import HOST
from gooseberrystand.shapes import assign_failure_domain
from gooseberrystand.slopes.fit import Series
from gooseberrystand.slopes.meter import Costs, Meter, run_small_fleet

INSTANCES = (3, 6, 12, 24)
UPSTREAMS = (40, 400, 4_000)
SELECTORS = (10, 100, 1_000)
SMALL_FLEET = 3
SETTLE_MS = 4_000
MEASURE_MS = 8_000


def measure_instances() -> Iterator[Series]:
    """Costs against the number of instances."""
    found = []
    for count in INSTANCES:
        with run_small_fleet(instances=count) as fleet:
            found.append((count, measure_idle(fleet)))
    yield from create_series("instances", found)
    yield Series(
        cost="platform calls of the idle fleet (1/s)",
        size="instances",
        points=[(size, costs.call_rate) for size, costs in found],
    )


def measure_upstreams() -> Iterator[Series]:
    """Costs against the number of upstream records, in one fleet that grows."""
    found = []
    with run_small_fleet(instances=SMALL_FLEET) as fleet:
        for count in UPSTREAMS:
            fleet.update_records(put=[create_record(number) for number in range(count)])
            found.append((count, measure_idle(fleet)))
    yield from create_series("upstream records", found)


def measure_configuration() -> Iterator[Series]:
    """Costs against the number of selectors, in one fleet that grows."""
    found = []
    with run_small_fleet(instances=SMALL_FLEET) as fleet:
        for count in SELECTORS:
            grow_configuration(fleet, selectors=count)
            found.append((count, measure_idle(fleet)))
    yield from create_series("selectors", found)


def measure_idle(fleet: Fleet) -> Costs:
    """Returns the costs of a stretch without traffic."""
    fleet.clock.sleep_ms(SETTLE_MS)
    meter = Meter(fleet=fleet)
    fleet.clock.sleep_ms(MEASURE_MS)
    return meter.stop()


def create_series(size: str, found: list[tuple[int, Costs]]) -> Iterator[Series]:
    """Yields CPU, memory and network of an idle instance against a size."""
    for cost, read in (
        ("idle CPU of an instance (share of a core)", Costs.mean_cpu_share.fget),
        ("memory of an instance (MB)", Costs.mean_memory_mb.fget),
    ):
        points = [(count, read(costs)) for count, costs in found]
        yield Series(cost=cost, size=size, points=points)
    yield Series(
        cost="idle traffic of an instance (bytes/s)",
        size=size,
        points=[
            (count, costs.mean_network_rate)
            for count, costs in found
            if costs.network_bytes
        ],
    )


def create_record(number: int) -> dict:
    """Returns the record of an upstream that no process stands behind."""
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


def grow_configuration(fleet: Fleet, *, selectors: int) -> int:
    """Writes a configuration with that many selectors; returns its generation."""
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
