"""Seeds that have failed, each with its cause; all are mended."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Regression:
    """One run that has failed.

    Attributes:
        seed: Its seed.
        cause: What was wrong.
        shards: Shards of a query.
        replicas: Upstreams of a service.
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
)
