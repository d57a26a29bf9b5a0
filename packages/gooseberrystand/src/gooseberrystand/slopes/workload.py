"""Costs of configuration changes, sub-requests and order claims."""

import concurrent.futures
from collections.abc import Iterator

import uuid6

from gooseberrystand.fleet import Fleet
from gooseberrystand.shapes import GroupShape
from gooseberrystand.slopes.fit import Series
from gooseberrystand.slopes.idle import write_selectors
from gooseberrystand.slopes.meter import Meter, run_temporary_fleet

FLEET_INSTANCES = 3
SETTLE_MS = 3_000
CHANGE_COUNTS = (0, 10, 20, 40)
SELECTOR_COUNTS = (10, 100, 1_000)
CHANGES_PER_SIZE = 16
CHANGE_MEASUREMENT_MS = 8_000
SELECTORS_PER_CHANGE = 20
GROUP_SHAPE = GroupShape(name="order-desk", services=10)
QUERY_RATES = (0, 10, 20, 40)
QUERY_MEASUREMENT_MS = 6_000
CLAIM_RANGE_COUNTS = (4, 64)
ORDER_CONCURRENCY = (1, 8, 32, 64)
# A real platform takes milliseconds for a call; the stand-in alone is faster.
PLATFORM_CALL_DELAY_MS = 5
ORDERS_PER_THREAD = 20


def measure_changes() -> Iterator[Series]:
    """Yields CPU and network use of an instance against the number of changes.

    The changes are spread evenly over `CHANGE_MEASUREMENT_MS`.
    """
    measurements = []
    with run_temporary_fleet(instances=FLEET_INSTANCES) as fleet:
        fleet.clock.sleep_ms(SETTLE_MS)
        for count in CHANGE_COUNTS:
            meter = Meter(fleet=fleet)
            run_at_even_intervals(
                fleet,
                count,
                CHANGE_MEASUREMENT_MS,
                lambda: write_selectors(fleet, selectors=SELECTORS_PER_CHANGE),
            )
            measurements.append((count, meter.stop()))
    size = f"configuration changes of {SELECTORS_PER_CHANGE} selectors"
    yield Series(
        cost="CPU of an instance (ms)",
        size=size,
        points=[
            (n, costs.mean_cpu_share * costs.elapsed_s * 1000)
            for n, costs in measurements
        ],
    )
    yield Series(
        cost="traffic of an instance (bytes)",
        size=size,
        points=[
            (n, costs.mean_network_bytes_per_s * costs.elapsed_s)
            for n, costs in measurements
            if costs.network_bytes
        ],
    )


def measure_change_sizes() -> Iterator[Series]:
    """Yields CPU and network use of one change against the selectors it writes.

    The costs of an idle interval at the same size are subtracted.
    """
    cpu, traffic = [], []
    with run_temporary_fleet(instances=FLEET_INSTANCES) as fleet:
        for selectors in SELECTOR_COUNTS:
            fleet.clock.sleep_ms(SETTLE_MS)
            idle_meter = Meter(fleet=fleet)
            fleet.clock.sleep_ms(CHANGE_MEASUREMENT_MS)
            idle_costs = idle_meter.stop()
            meter = Meter(fleet=fleet)
            run_at_even_intervals(
                fleet,
                CHANGES_PER_SIZE,
                CHANGE_MEASUREMENT_MS,
                lambda selectors=selectors: write_selectors(fleet, selectors=selectors),
            )
            costs = meter.stop()
            cpu_share = costs.mean_cpu_share - idle_costs.mean_cpu_share
            bytes_per_s = (
                costs.mean_network_bytes_per_s - idle_costs.mean_network_bytes_per_s
            )
            seconds_per_change = costs.elapsed_s / CHANGES_PER_SIZE
            cpu.append((selectors, cpu_share * 1000 * seconds_per_change))
            if costs.network_bytes:
                traffic.append((selectors, bytes_per_s * seconds_per_change))
    yield Series(
        cost="CPU of an instance for one configuration change (ms)",
        size="selectors",
        points=cpu,
    )
    yield Series(
        cost="traffic of an instance for one configuration change (bytes)",
        size="selectors",
        points=traffic,
    )


def measure_subrequests() -> Iterator[Series]:
    """Yields the CPU use of owners and of the entry instance against sub-requests.

    All queries are sent to the first instance, the entry. The other instances only own
    upstreams, so their CPU use gives an owner's cost for each sub-request. The entry
    owns upstreams too; its own cost is its CPU use minus that owner's cost.
    """
    owner_points, entry_points = [], []
    with run_temporary_fleet(instances=FLEET_INSTANCES, shape=GROUP_SHAPE) as fleet:
        entry, *owners = fleet.instances
        send_query(fleet, entry)
        fleet.clock.sleep_ms(SETTLE_MS)
        for rate in QUERY_RATES:
            received_before = count_received_subrequests(fleet)
            meter = Meter(fleet=fleet)
            count = rate * QUERY_MEASUREMENT_MS // 1000
            with concurrent.futures.ThreadPoolExecutor(max_workers=16) as pool:
                run_at_even_intervals(
                    fleet,
                    count,
                    QUERY_MEASUREMENT_MS,
                    lambda pool=pool: pool.submit(send_query, fleet, entry),
                )
            costs = meter.stop()
            owned_by_instance = count_owned_subrequests(
                fleet, count_received_subrequests(fleet), received_before
            )
            owner_points += [
                (owned_by_instance[name], costs.cpu_ms[name]) for name in owners
            ]
            entry_points.append((owned_by_instance, costs))
    owner_cost = Series(
        cost="CPU of an owner (ms)", size="sub-requests owned", points=owner_points
    )
    yield owner_cost
    loaded_points = [point for point in owner_points if point[0]]
    unloaded_cpu_ms = sum(cost for size, cost in owner_points if not size) / max(
        1, sum(not size for size, _ in owner_points)
    )
    subrequest_cpu_ms = sum(cost - unloaded_cpu_ms for _, cost in loaded_points) / sum(
        size for size, _ in loaded_points
    )
    yield Series(
        cost="CPU of the entry without its owner's part (ms)",
        size="sub-requests sent",
        points=[
            (
                sum(owned_by_instance.values()),
                costs.cpu_ms[entry] - subrequest_cpu_ms * owned_by_instance[entry],
            )
            for owned_by_instance, costs in entry_points
        ],
    )


def measure_orders() -> Iterator[Series]:
    """Yields orders per platform write against concurrent orders."""
    for claim_ranges in CLAIM_RANGE_COUNTS:
        yield from measure_order_writes(claim_ranges)


def measure_order_writes(claim_ranges: int) -> Iterator[Series]:
    """Yields orders per platform write for one number of claim ranges."""
    points = []
    with run_temporary_fleet(
        instances=FLEET_INSTANCES,
        shape=GROUP_SHAPE,
        overrides={"orders": {"ranges": claim_ranges}},
    ) as fleet:
        send_order(fleet, 0)
        fleet.set_faults(slow_ms=PLATFORM_CALL_DELAY_MS)
        fleet.clock.sleep_ms(SETTLE_MS)
        for concurrency in ORDER_CONCURRENCY:
            meter = Meter(fleet=fleet)
            with concurrent.futures.ThreadPoolExecutor(concurrency) as pool:
                total = concurrency * ORDERS_PER_THREAD
                codes = list(pool.map(lambda n: send_order(fleet, n), range(total)))
            writes = meter.stop().platform_calls["write"]
            points.append((concurrency, codes.count("") / max(1, writes)))
    yield Series(
        cost="completed orders for each platform write",
        size=f"orders in flight over {claim_ranges} claim ranges",
        points=points,
    )


def run_at_even_intervals(fleet: Fleet, count: int, duration_ms: float, action) -> None:
    """Calls `action` `count` times at even intervals; returns after `duration_ms`."""
    start_ms = fleet.clock.now_ms()
    for number in range(count):
        fleet.clock.sleep_ms(
            start_ms + number * duration_ms / count - fleet.clock.now_ms()
        )
        action()
    fleet.clock.sleep_ms(start_ms + duration_ms - fleet.clock.now_ms())


def send_query(fleet: Fleet, entry: str) -> None:
    """Sends one query to an instance and waits for the answer."""
    fleet.query(
        fleet.instances[entry],
        service=GROUP_SHAPE.name,
        rank="urgent",
        terms={"text": "a"},
    )


def send_order(fleet: Fleet, number: int) -> str:
    """Sends one order; returns the error code, empty if it completed."""
    instances = list(fleet.instances.values())
    reply = fleet.send_order(
        instances[number % len(instances)],
        key=str(uuid6.uuid7()),
        service=GROUP_SHAPE.name,
        rank="urgent",
        order={"item": "blanket"},
    )
    error = reply.body.get("error")
    return error.get("code", "unknown") if isinstance(error, dict) else ""


def count_received_subrequests(fleet: Fleet) -> dict[str, int]:
    """Returns the number of sub-requests that each upstream has received, by name."""
    return {
        name: stats["received"]["query"]
        for name, stats in fleet.read_all_stats().items()
    }


def count_owned_subrequests(
    fleet: Fleet, received_after: dict[str, int], received_before: dict[str, int]
) -> dict[str, int]:
    """Returns the number of sub-requests that each instance sent to upstreams it owns.

    An instance logs `dispatch.lane_opened` for each upstream that it sends to.
    """
    return {
        name: sum(
            received_after[upstream] - received_before[upstream]
            for upstream in {
                line.fields["upstream"]
                for line in fleet.read_log(name, "dispatch.lane_opened")
            }
        )
        for name in fleet.instances
    }
