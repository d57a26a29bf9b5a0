"""Seeds whose runs found a fault, each with its cause; all causes are fixed."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Regression:
    """Parameters of a soak run that has failed before.

    Attributes:
        seed: Seed of the run.
        cause: Fault that made the run fail.
        shards: Number of shards of a query.
        replicas: Number of upstreams of each service.
    """

    seed: int
    cause: str
    shards: int = 4
    replicas: int = 3


REGRESSIONS = (
    Regression(
        seed=101,
        replicas=2,
        cause="a link was never dialled again after resets while it was set up",
    ),
    Regression(
        seed=203,
        replicas=2,
        cause="a reload signal during the start ended the process",
    ),
    Regression(
        seed=315,
        shards=20,
        replicas=2,
        cause="two contents of one revision of the upstreams' list",
    ),
    Regression(
        seed=1_796_461_009,
        cause="a connection that was silent one way was used until its peer restarted",
    ),
    Regression(
        seed=1_796_403_194,
        cause="the check took a request on a connection to a killed process for a cut",
    ),
)
