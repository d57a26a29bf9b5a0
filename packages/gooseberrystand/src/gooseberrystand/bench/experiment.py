"""Experiment files of the load tool: YAML, validated into data classes."""

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

STRICT_CONFIG = pydantic.ConfigDict(extra="forbid")
# Keys that may also stand at the top level, as defaults for every case.
CASE_DEFAULT_KEYS = ("ranks", "behaviour", "settings", "duration_s", "instances")

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class ExperimentError(UserError):
    """An experiment file is missing, is not YAML, or holds an invalid value."""


@_frozen
class RankLoad:
    """Load of one rank.

    Attributes:
        rate: Queries per second, over all load generators.
        deadline_ms: Deadline of each query, counted from its scheduled arrival.
        worth: Weight of an answer of this rank in the report's `worth_kept`.
    """

    __pydantic_config__ = STRICT_CONFIG

    rate: float
    deadline_ms: float
    worth: float = 1.0


@_frozen
class Kill:
    """Kills a process without a graceful stop."""

    action: Literal["kill"] = "kill"
    at_s: float
    target: str


@_frozen
class Restart:
    """Restarts a killed process on the same ports."""

    action: Literal["restart"] = "restart"
    at_s: float
    target: str


@_frozen
class Freeze:
    """Suspends a process for `duration_s`, then resumes it."""

    action: Literal["freeze"] = "freeze"
    at_s: float
    target: str
    duration_s: float


@_frozen
class Control:
    """Changes the behaviour of the upstreams in `targets`, or of all if it is empty."""

    action: Literal["control"] = "control"
    at_s: float
    targets: list[str] = dataclasses.field(default_factory=list)
    behaviour: dict = dataclasses.field(default_factory=dict)


@_frozen
class PlatformFault:
    """Injects faults into the platform stand-in."""

    action: Literal["platform"] = "platform"
    at_s: float
    faults: dict


@_frozen
class RestorePlatform:
    """Takes the platform stand-in back to its state of `age_s` seconds before."""

    action: Literal["restore"] = "restore"
    at_s: float
    age_s: float


@_frozen
class Publish:
    """Makes another version of an index the current one."""

    action: Literal["publish"] = "publish"
    at_s: float
    index: str
    version: str


Event = Kill | Restart | Freeze | Control | PlatformFault | RestorePlatform | Publish


@_frozen
class Case:
    """One scenario: the load, the upstreams' behaviour and the faults.

    Attributes:
        name: Name of the case in reports.
        instances: Number of instances.
        duration_s: Length of the measured phase in seconds.
        ranks: Load of each rank.
        behaviour: Fields of `execution.Behaviour`, set on all upstreams.
        settings: Settings of the instances for this case; those of the variant override
            them.
        faults: Events of the measured phase; `at_s` counts from its start.
        variants: Names of the variants to run.
    """

    __pydantic_config__ = STRICT_CONFIG

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
        seed: Seed of the random arrivals and service times.
        generators: Number of load-generating processes.
        warmup_s: Length in seconds of the unmeasured load before each measured phase.
        shapes: Groups of upstreams; all load is sent to the first group.
        variants: Settings overrides of the instances, by variant name.
        cases: The cases, each run under each of its variants.
    """

    __pydantic_config__ = STRICT_CONFIG

    seed: int
    generators: int
    warmup_s: float
    shapes: list[GroupShape]
    variants: dict[str, dict]
    cases: list[Case]


def load_experiment(path: Path) -> Experiment:
    """Reads an experiment file.

    Top-level values of `CASE_DEFAULT_KEYS` are defaults that each case can override;
    nested mappings are merged. A case without `variants` runs under all variants.

    Raises:
        ExperimentError: The file can't be read, or a value is invalid.
    """
    try:
        document = yaml.safe_load(path.read_text())
        defaults = {
            key: document.pop(key) for key in CASE_DEFAULT_KEYS if key in document
        }
        document["cases"] = [
            merge_mappings(
                {**defaults, "variants": list(document["variants"])},
                {**(case or {}), "name": name},
            )
            for name, case in document["cases"].items()
        ]
        experiment = pydantic.TypeAdapter(Experiment).validate_json(
            json.dumps(document)
        )
    except (OSError, yaml.YAMLError, KeyError, TypeError, AttributeError) as error:
        raise ExperimentError(
            step="experiment.read", peer=str(path), message=repr(error)
        ) from error
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
        location = ".".join(str(part) for part in first_error["loc"])
        raise ExperimentError(
            step="experiment.check",
            peer=str(path),
            message=f"{location}: {first_error['input']!r}: {first_error['msg']}",
        ) from error
    for case in experiment.cases:
        for name in set(case.variants) - set(experiment.variants):
            raise ExperimentError(
                step="experiment.check",
                peer=str(path),
                message=f"cases.{case.name}.variants: no variant {name!r}",
            )
    return experiment
