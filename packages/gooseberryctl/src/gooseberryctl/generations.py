"""Waits until every live instance has a configuration generation in force."""

import dataclasses

from gooseberryctl.client import Client, ClientError
from gooseberrymux.clock import Clock

POLL_INTERVAL_MS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Propagation:
    """Which live instances have a configuration generation in force.

    Attributes:
        generation: The generation to check for.
        in_force: Instances that have that generation, or a later one, in force.
        behind: Generation in force on each instance that has an earlier one; 0 if it
            has none.
        silent: Live instances that did not answer.
    """

    generation: int
    in_force: tuple[str, ...]
    behind: dict[str, int]
    silent: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether every live instance has the generation, or a later one, in force."""
        return bool(self.in_force) and not self.behind and not self.silent


def parse_propagation(status: dict, generation: int) -> Propagation:
    """Returns how far a generation has spread, from the body of `/v1/status`."""
    in_force = []
    behind = {}
    for instance in status.get("instances", []):
        current = int(instance.get("generation") or 0)
        if current >= generation:
            in_force.append(instance["name"])
        else:
            behind[instance["name"]] = current
    return Propagation(
        generation=generation,
        in_force=tuple(sorted(in_force)),
        behind=behind,
        silent=tuple(status.get("silent", [])),
    )


def wait_for_generation(
    *, client: Client, clock: Clock, generation: int, timeout_ms: float
) -> Propagation:
    """Polls the status until all live instances have a generation in force.

    Args:
        client: Client of the administration API.
        clock: Clock for the timeout and the pauses.
        generation: The generation to wait for.
        timeout_ms: Longest wait in milliseconds.

    Returns:
        The last known propagation; not complete if the timeout passed.

    Raises:
        ClientError: A poll failed after the timeout had passed.
    """
    deadline_ms = clock.now_ms() + timeout_ms
    propagation = Propagation(generation=generation, in_force=(), behind={}, silent=())
    while True:
        try:
            propagation = parse_propagation(client.get("/v1/status"), generation)
        except ClientError:
            # The server that was asked may be stopping; another one answers next.
            if clock.now_ms() >= deadline_ms:
                raise
        if propagation.complete or clock.now_ms() >= deadline_ms:
            return propagation
        clock.sleep_ms(POLL_INTERVAL_MS)
