"""Waits until every live instance has a configuration generation in force."""

import dataclasses

from gooseberryctl.client import Client, ClientError
from gooseberrymux.clock import Clock

POLL_MS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Propagation:
    """Which instances have a generation in force.

    Attributes:
        generation: The generation asked for.
        in_force: Instances that have it, or a later one.
        behind: Instances that answered with an earlier one, and that one.
        silent: Live instances that did not answer.
    """

    generation: int
    in_force: tuple[str, ...]
    behind: dict[str, int]
    silent: tuple[str, ...]

    @property
    def complete(self) -> bool:
        """Whether every live instance has it in force."""
        return bool(self.in_force) and not self.behind and not self.silent


def read_propagation(status: dict, generation: int) -> Propagation:
    """Returns the propagation that a status answer shows."""
    in_force = []
    behind = {}
    for instance in status.get("instances", []):
        known = int(instance.get("generation") or 0)
        if known >= generation:
            in_force.append(instance["name"])
        else:
            behind[instance["name"]] = known
    return Propagation(
        generation=generation,
        in_force=tuple(sorted(in_force)),
        behind=behind,
        silent=tuple(status.get("silent", [])),
    )


def wait_for_generation(
    *, client: Client, clock: Clock, generation: int, timeout_ms: float
) -> Propagation:
    """Asks until all live instances have a generation, or the timeout passes.

    Args:
        client: Client of the administration API.
        clock: Clock for the timeout and the pauses.
        generation: The generation to wait for.
        timeout_ms: Longest wait in milliseconds.
    """
    until_ms = clock.now_ms() + timeout_ms
    found = Propagation(generation=generation, in_force=(), behind={}, silent=())
    while True:
        try:
            found = read_propagation(client.get("/v1/status"), generation)
        except ClientError:
            # The server that was asked may be stopping; another one answers next.
            if clock.now_ms() >= until_ms:
                raise
        if found.complete or clock.now_ms() >= until_ms:
            return found
        clock.sleep_ms(POLL_MS)
