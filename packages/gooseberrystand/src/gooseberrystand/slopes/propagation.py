"""Time from accepting a configuration change until it is in force on all instances."""

from collections.abc import Iterator

from gooseberrystand.fleet import OPERATOR_TOKEN, Fleet
from gooseberrystand.slopes.fit import Series
from gooseberrystand.slopes.meter import run_temporary_fleet

INSTANCE_COUNTS = (3, 7, 14)
CHANGES_PER_POINT = 5
SETTLE_MS = 2_000
POLL_MS = 5
PROPAGATION_TIMEOUT_MS = 13_000


def measure_propagation() -> Iterator[Series]:
    """Yields the longest propagation time against the number of instances.

    One series is measured with the platform up; in the other, the platform goes down as
    soon as a change is accepted.
    """
    platform_up, platform_down = [], []
    for count in INSTANCE_COUNTS:
        with run_temporary_fleet(instances=count) as fleet:
            fleet.clock.sleep_ms(SETTLE_MS)
            platform_up.append(
                (count, measure_longest_propagation(fleet, outage=False))
            )
            platform_down.append(
                (count, measure_longest_propagation(fleet, outage=True))
            )
    yield Series(
        cost="longest time until in force everywhere (ms)",
        size="instances",
        points=platform_up,
    )
    yield Series(
        cost="the same, platform down from acceptance on (ms)",
        size="instances",
        points=platform_down,
    )


def measure_longest_propagation(fleet: Fleet, *, outage: bool) -> float:
    """Returns the longest propagation time of `CHANGES_PER_POINT` changes, in ms."""
    return max(
        measure_change_propagation(fleet, outage=outage)
        for _ in range(CHANGES_PER_POINT)
    )


def measure_change_propagation(fleet: Fleet, *, outage: bool) -> float:
    """Makes one change and returns its propagation time in milliseconds.

    The time is infinite if the change takes longer than `PROPAGATION_TIMEOUT_MS`. With
    `outage`, the platform is down from the acceptance until the end of the wait.
    """
    instance = next(iter(fleet.instances))
    base_generation = call_admin(fleet, instance, "GET", "/v1/configuration")[
        "generation"
    ]
    edit = {
        "action": "put",
        "kind": "group",
        "name": "measured",
        "value": {
            "index": "order-desk",
            "match": {},
            "labels": {"base": str(base_generation)},
        },
    }
    body = {
        "base_generation": base_generation,
        "change_id": f"measured-{base_generation}",
        "edits": [edit],
    }
    accepted = call_admin(fleet, instance, "POST", "/v1/configuration/changes", body)
    accepted_ms = fleet.clock.now_ms()
    if outage:
        fleet.set_faults(outage=True)
    try:
        return wait_until_in_force(fleet, accepted["generation"]) - accepted_ms
    finally:
        if outage:
            fleet.set_faults(outage=False)
            fleet.clock.sleep_ms(SETTLE_MS)


def wait_until_in_force(fleet: Fleet, generation: int) -> float:
    """Returns the clock time at which all instances had reached a generation.

    Returns infinity after `PROPAGATION_TIMEOUT_MS`.
    """
    timeout_at_ms = fleet.clock.now_ms() + PROPAGATION_TIMEOUT_MS
    pending = set(fleet.instances)
    while fleet.clock.now_ms() < timeout_at_ms:
        pending = {
            name
            for name in pending
            if call_admin(fleet, name, "GET", "/v1/configuration")["generation"]
            < generation
        }
        if not pending:
            return fleet.clock.now_ms()
        fleet.clock.sleep_ms(POLL_MS)
    return float("inf")


def call_admin(
    fleet: Fleet, name: str, method: str, path: str, body: dict | None = None
) -> dict:
    """Calls the administration API of an instance and returns the response body."""
    return fleet.client.call(
        method,
        fleet.instances[name].administration_url + path,
        body,
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
    ).body
