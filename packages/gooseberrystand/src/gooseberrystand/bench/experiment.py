"""Experiment files: shapes, rates, faults, variants; read from YAML and checked."""

import dataclasses
import json
from pathlib import Path
from typing import Literal

import pydantic
import yaml

from gooseberrymux.errors import UserError
from gooseberrymux.records import Rank
from gooseberrymux.settings import merge_mappings
from gooseberrystand.shapes import GroupShape

STRICT = pydantic.ConfigDict(extra="forbid")
CASE_KEYS = ("ranks", "behaviour", "settings", "duration_s", "instances")

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class ExperimentError(UserError):
    """An experiment file is missing, is not YAML, or holds a wrong value."""


@_frozen
class RankLoad:
    """Load of one rank: queries a second, deadline, and worth of an answer."""

    __pydantic_config__ = STRICT

    rate: float
    deadline_ms: float
    worth: float = 1.0


@_frozen
class Kill:
    """Ends a process at once."""

    action: Literal["kill"] = "kill"
    at_s: float
    target: str


@_frozen
class Restart:
    """Starts an ended process again on its ports."""

    action: Literal["restart"] = "restart"
    at_s: float
    target: str


@_frozen
class Freeze:
    """Stops a process from running for a while."""

    action: Literal["freeze"] = "freeze"
    at_s: float
    target: str
    duration_s: float


@_frozen
class Control:
    """Changes the behaviour of some upstreams; an empty list means all."""

    action: Literal["control"] = "control"
    at_s: float
    targets: list[str] = dataclasses.field(default_factory=list)
    behaviour: dict = dataclasses.field(default_factory=dict)


@_frozen
class PlatformFault:
    """Sets faults of the platform."""

    action: Literal["platform"] = "platform"
    at_s: float
    faults: dict


@_frozen
class Publish:
    """Makes another version of an index the current one."""

    action: Literal["publish"] = "publish"
    at_s: float
    index: str
    version: str


Event = Kill | Restart | Freeze | Control | PlatformFault | Publish


@_frozen
class Case:
    """What is run: the load, the upstreams' behaviour and the faults.

    Attributes:
        name: Name in the reports.
        instances: Number of instances.
        duration_s: Length of the measured part in seconds.
        ranks: Load of each rank.
        behaviour: Fields of `execution.Behaviour` of all upstreams.
        settings: Settings of the instances for this case, under each variant.
        faults: What happens at which moment of the measured part.
        variants: Names of the variants to run.
    """

    __pydantic_config__ = STRICT

    name: str
    instances: int
    duration_s: float
    ranks: dict[Rank, RankLoad]
    behaviour: dict = dataclasses.field(default_factory=dict)
    settings: dict = dataclasses.field(default_factory=dict)
    faults: list[Event] = dataclasses.field(default_factory=list)
    variants: list[str] = dataclasses.field(default_factory=list)


@_frozen
class Experiment:
    """One run of the load tool.

    Attributes:
        seed: Decides arrivals and service times.
        generators: Number of load-generating processes.
        warmup_s: Length of the unmeasured part before each run.
        shapes: Groups of upstreams; the load goes to the first.
        variants: Settings overrides by variant name.
        cases: What is run.
    """

    __pydantic_config__ = STRICT

    seed: int
    generators: int
    warmup_s: float
    shapes: list[GroupShape]
    variants: dict[str, dict]
    cases: list[Case]


def load_experiment(path: Path) -> Experiment:
    """Reads an experiment file.

    Keys of a case that are also at the top level are merged over those there; a case
    without `variants` runs all of them.

    Raises:
        ExperimentError: The file can't be read or a value is wrong.
    """
    try:
        given = yaml.safe_load(path.read_text())
        defaults = {key: given.pop(key) for key in CASE_KEYS if key in given}
        given["cases"] = [
            merge_mappings(
                {**defaults, "variants": list(given["variants"])},
                {**(case or {}), "name": name},
            )
            for name, case in given["cases"].items()
        ]
        experiment = pydantic.TypeAdapter(Experiment).validate_json(json.dumps(given))
    except (OSError, yaml.YAMLError, KeyError, TypeError, AttributeError) as error:
        raise ExperimentError(
            step="experiment.read", peer=str(path), message=repr(error)
        ) from error
    except pydantic.ValidationError as error:
        problem = error.errors()[0]
        place = ".".join(str(part) for part in problem["loc"])
        raise ExperimentError(
            step="experiment.check",
            peer=str(path),
            message=f"{place}: {problem['input']!r}: {problem['msg']}",
        ) from error
    for case in experiment.cases:
        for name in set(case.variants) - set(experiment.variants):
            raise ExperimentError(
                step="experiment.check",
                peer=str(path),
                message=f"cases.{case.name}.variants: no variant {name!r}",
            )
    return experiment
