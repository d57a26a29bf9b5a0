"""Costs of work: a configuration change, a sub-request, an order claim."""

import concurrent.futures
from collections.abc import Iterator

import uuid6

from gooseberrystand.fleet import Fleet
from gooseberrystand.shapes import GroupShape
from gooseberrystand.slopes.fit import Series
from gooseberrystand.slopes.idle import grow_configuration
from gooseberrystand.slopes.meter import Meter, run_small_fleet

SMALL_FLEET = 3
SETTLE_MS = 3_000
CHANGES = (0, 10, 20, 40)
CHANGED_SELECTORS = (10, 100, 1_000)
CHANGES_EACH = 16
CHANGE_STRETCH_MS = 8_000
SELECTORS = 20
DESK = GroupShape(name="order-desk", services=10)
QUERY_RATES = (0, 10, 20, 40)
QUERY_STRETCH_MS = 6_000
ORDER_RANGES = (4, 64)
ORDER_CONCURRENCY = (1, 8, 32, 64)
# The platform answers in milliseconds; the stand-in alone would be faster.
PLATFORM_CALL_MS = 5
ORDERS_EACH = 20


def measure_changes() -> Iterator[Series]:
    """CPU and bytes against configuration changes in a stretch of time."""
    found = []
    with run_small_fleet(instances=SMALL_FLEET) as fleet:
        fleet.clock.sleep_ms(SETTLE_MS)
        for count in CHANGES:
            meter = Meter(fleet=fleet)
            pace(
                fleet,
                count,
                CHANGE_STRETCH_MS,
                lambda: grow_configuration(fleet, selectors=SELECTORS),
            )
            found.append((count, meter.stop()))
    size = f"configuration changes of {SELECTORS} selectors"
    yield Series(
        cost="CPU of an instance (ms)",
        size=size,
        points=[
            (n, costs.mean_cpu_share * costs.elapsed_s * 1000) for n, costs in found
        ],
    )
    yield Series(
        cost="traffic of an instance (bytes)",
        size=size,
        points=[
            (n, costs.mean_network_rate * costs.elapsed_s)
            for n, costs in found
            if costs.network_bytes
        ],
    )


def measure_change_sizes() -> Iterator[Series]:
    """CPU and bytes of one configuration change against the size it has."""
    cpu, traffic = [], []
    with run_small_fleet(instances=SMALL_FLEET) as fleet:
        for selectors in CHANGED_SELECTORS:
            fleet.clock.sleep_ms(SETTLE_MS)
            idle = Meter(fleet=fleet)
            fleet.clock.sleep_ms(CHANGE_STRETCH_MS)
            idle_costs = idle.stop()
            meter = Meter(fleet=fleet)
            pace(
                fleet,
                CHANGES_EACH,
                CHANGE_STRETCH_MS,
                lambda selectors=selectors: grow_configuration(
                    fleet, selectors=selectors
                ),
            )
            costs = meter.stop()
            spent_ms = costs.mean_cpu_share - idle_costs.mean_cpu_share
            sent = costs.mean_network_rate - idle_costs.mean_network_rate
            stretch_s = costs.elapsed_s / CHANGES_EACH
            cpu.append((selectors, spent_ms * 1000 * stretch_s))
            if costs.network_bytes:
                traffic.append((selectors, sent * stretch_s))
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
    """CPU of the entry and of owners against sub-requests.

    All queries enter at the first instance. The others are owners only, so their CPU
    gives the cost of an owner; the entry's cost is what is left of the first one's.
    """
    owner_points, entry_points = [], []
    with run_small_fleet(instances=SMALL_FLEET, shape=DESK) as fleet:
        entry, *owners = fleet.instances
        send_query(fleet, entry)
        fleet.clock.sleep_ms(SETTLE_MS)
        for rate in QUERY_RATES:
            before = count_received(fleet)
            meter = Meter(fleet=fleet)
            count = rate * QUERY_STRETCH_MS // 1000
            with concurrent.futures.ThreadPoolExecutor(max_workers=16) as pool:
                pace(
                    fleet,
                    count,
                    QUERY_STRETCH_MS,
                    lambda pool=pool: pool.submit(send_query, fleet, entry),
                )
            costs = meter.stop()
            owned = count_owned(fleet, count_received(fleet), before)
            owner_points += [(owned[name], costs.cpu_ms[name]) for name in owners]
            entry_points.append((owned, costs))
    owner_cost = Series(
        cost="CPU of an owner (ms)", size="sub-requests owned", points=owner_points
    )
    yield owner_cost
    busy = [point for point in owner_points if point[0]]
    idle_ms = sum(cost for size, cost in owner_points if not size) / max(
        1, sum(not size for size, _ in owner_points)
    )
    each_ms = sum(cost - idle_ms for _, cost in busy) / sum(size for size, _ in busy)
    yield Series(
        cost="CPU of the entry without its owner's part (ms)",
        size="sub-requests sent",
        points=[
            (sum(owned.values()), costs.cpu_ms[entry] - each_ms * owned[entry])
            for owned, costs in entry_points
        ],
    )


def measure_orders() -> Iterator[Series]:
    """Orders for each platform write against orders sent at the same time."""
    for ranges in ORDER_RANGES:
        yield from measure_order_writes(ranges)


def measure_order_writes(ranges: int) -> Iterator[Series]:
    """The same for one number of claim ranges."""
    points = []
    with run_small_fleet(
        instances=SMALL_FLEET, shape=DESK, overrides={"orders": {"ranges": ranges}}
    ) as fleet:
        send_order(fleet, 0)
        fleet.set_faults(slow_ms=PLATFORM_CALL_MS)
        fleet.clock.sleep_ms(SETTLE_MS)
        for concurrency in ORDER_CONCURRENCY:
            meter = Meter(fleet=fleet)
            with concurrent.futures.ThreadPoolExecutor(concurrency) as pool:
                total = concurrency * ORDERS_EACH
                codes = list(pool.map(lambda n: send_order(fleet, n), range(total)))
            writes = meter.stop().calls["write"]
            points.append((concurrency, codes.count("") / max(1, writes)))
    yield Series(
        cost="completed orders for each platform write",
        size=f"orders in flight over {ranges} claim ranges",
        points=points,
    )


def pace(fleet: Fleet, count: int, stretch_ms: float, act) -> None:
    """Calls `act` that many times, spread evenly over a stretch of time."""
    start_ms = fleet.clock.now_ms()
    for number in range(count):
        fleet.clock.sleep_ms(
            start_ms + number * stretch_ms / count - fleet.clock.now_ms()
        )
        act()
    fleet.clock.sleep_ms(start_ms + stretch_ms - fleet.clock.now_ms())


def send_query(fleet: Fleet, entry: str) -> None:
    """Sends one query."""
    fleet.query(
        fleet.instances[entry], service=DESK.name, rank="urgent", terms={"text": "a"}
    )


def send_order(fleet: Fleet, number: int) -> str:
    """Sends one order; returns the error code, empty if it completed."""
    instances = list(fleet.instances.values())
    reply = fleet.send_order(
        instances[number % len(instances)],
        key=str(uuid6.uuid7()),
        service=DESK.name,
        rank="urgent",
        order={"item": "blanket"},
    )
    error = reply.body.get("error")
    return error.get("code", "unknown") if isinstance(error, dict) else ""


def count_received(fleet: Fleet) -> dict[str, int]:
    """Returns the sub-requests that each upstream has received."""
    return {
        name: stats["received"]["query"]
        for name, stats in fleet.read_all_stats().items()
    }


def count_owned(
    fleet: Fleet, after: dict[str, int], before: dict[str, int]
) -> dict[str, int]:
    """Returns the sub-requests that each instance sent to its upstreams."""
    return {
        name: sum(
            after[upstream] - before[upstream]
            for upstream in {
                line.fields["upstream"]
                for line in fleet.read_log(name, "dispatch.lane_opened")
            }
        )
        for name in fleet.instances
    }
