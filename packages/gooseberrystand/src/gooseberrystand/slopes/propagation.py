"""Time from the acceptance of a configuration change until all instances have it."""

from collections.abc import Iterator

from gooseberrystand.fleet import OPERATOR_TOKEN, Fleet
from gooseberrystand.slopes.fit import Series
from gooseberrystand.slopes.meter import run_small_fleet

INSTANCES = (3, 7, 14)
CHANGES = 5
SETTLE_MS = 2_000
POLL_MS = 5
GIVE_UP_MS = 13_000


def measure_propagation() -> Iterator[Series]:
    """Longest of some changes, with the platform up and down from acceptance on."""
    up, down = [], []
    for count in INSTANCES:
        with run_small_fleet(instances=count) as fleet:
            fleet.clock.sleep_ms(SETTLE_MS)
            up.append((count, measure_longest(fleet, outage=False)))
            down.append((count, measure_longest(fleet, outage=True)))
    yield Series(
        cost="longest time until in force everywhere (ms)",
        size="instances",
        points=up,
    )
    yield Series(
        cost="the same, platform down from acceptance on (ms)",
        size="instances",
        points=down,
    )


def measure_longest(fleet: Fleet, *, outage: bool) -> float:
    """Returns the longest time in milliseconds that a change took."""
    return max(measure_change(fleet, outage=outage) for _ in range(CHANGES))


def measure_change(fleet: Fleet, *, outage: bool) -> float:
    """Returns the time in milliseconds that one change took; infinite if too long."""
    first = next(iter(fleet.instances))
    base = call(fleet, first, "GET", "/v1/configuration")["generation"]
    edit = {
        "action": "put",
        "kind": "group",
        "name": "measured",
        "value": {"index": "order-desk", "match": {}, "labels": {"base": str(base)}},
    }
    body = {"base_generation": base, "change_id": f"measured-{base}", "edits": [edit]}
    accepted = call(fleet, first, "POST", "/v1/configuration/changes", body)
    accepted_ms = fleet.clock.now_ms()
    if outage:
        fleet.set_faults(outage=True)
    try:
        return wait_for_all(fleet, accepted["generation"]) - accepted_ms
    finally:
        if outage:
            fleet.set_faults(outage=False)
            fleet.clock.sleep_ms(SETTLE_MS)


def wait_for_all(fleet: Fleet, generation: int) -> float:
    """Returns when the last instance had a generation; infinity after the limit."""
    give_up_ms = fleet.clock.now_ms() + GIVE_UP_MS
    waiting = set(fleet.instances)
    while fleet.clock.now_ms() < give_up_ms:
        waiting = {
            name
            for name in waiting
            if call(fleet, name, "GET", "/v1/configuration")["generation"] < generation
        }
        if not waiting:
            return fleet.clock.now_ms()
        fleet.clock.sleep_ms(POLL_MS)
    return float("inf")


def call(
    fleet: Fleet, name: str, method: str, path: str, body: dict | None = None
) -> dict:
    """Calls the administration API of an instance and returns its answer."""
    return fleet.client.call(
        method,
        fleet.instances[name].administration_url + path,
        body,
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
    ).body
