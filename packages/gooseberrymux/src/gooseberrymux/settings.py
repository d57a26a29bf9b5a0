"""Settings of one instance: typed, read from YAML, checked on load."""

import dataclasses
import json
from importlib import resources
from pathlib import Path
from typing import Literal

import pydantic
import yaml

from gooseberrymux.errors import UserError

# Unknown keys are refused so that a mistyped key never falls back to a default.
STRICT = pydantic.ConfigDict(extra="forbid", strict=True)


class SettingsError(UserError):
    """The settings file is missing, is not YAML, or holds a wrong value."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP number and a port."""

    __pydantic_config__ = STRICT

    host: str = "127.0.0.1"
    port: int = dataclasses.field(default=0)

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSettings:
    """Who this instance is and where it listens."""

    __pydantic_config__ = STRICT

    name: str
    failure_domain: str
    region: str = "default"
    callers: Address
    administration: Address
    peers: Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Where the platform's object API is."""

    __pydantic_config__ = STRICT

    url: str
    timeout_ms: int = 1_000
    calls_in_flight: int = 16
    watchers: int = 2
    watch_timeout_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApiSettings:
    """Limits of the callers' side."""

    __pydantic_config__ = STRICT

    threads: int = 64
    body_limit_bytes: int = 65_536
    caller_tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    operator_tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    drain_timeout_ms: int = 10_000
    settle_ms: int = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RankSettings:
    """Limits and shares of one rank."""

    __pydantic_config__ = STRICT

    deadline_ms: int
    request_limit: int
    queue_limit: int
    weight: int
    floor_share: float
    retry_share: float
    hedge_share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """The policies in force; each value names one variant."""

    __pydantic_config__ = STRICT

    dispatch: Literal["owner", "direct"] = "owner"
    schedule: Literal["strict", "weighted", "strict_with_floors"] = "strict_with_floors"
    hedge: bool = True
    hedge_quantile: float = 0.95
    hedge_floor_ms: float = 10.0
    cancel_losers: bool = True
    early_refusal: bool = True
    peer_reset: bool = True
    claim_commit: str = "grouped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RanksSettings:
    """Settings of the three ranks."""

    __pydantic_config__ = STRICT

    urgent: RankSettings
    standard: RankSettings
    patient: RankSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Periods of probes and exchanges, in milliseconds."""

    __pydantic_config__ = STRICT

    probe_period_ms: int = 300
    probe_timeout_ms: int = 250
    suspect_ms: int = 700
    exchange_period_ms: int = 1_000
    seeds: list[Address] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderSettings:
    """Limits of the order claim ledger."""

    __pydantic_config__ = STRICT

    ranges: int = 64
    retention_ms: int = 86_400_000
    key_margin_ms: int = 3_600_000
    commit_timeout_ms: int = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of one instance."""

    __pydantic_config__ = STRICT

    instance: InstanceSettings
    platform: PlatformSettings
    api: ApiSettings
    policy: PolicySettings
    ranks: RanksSettings
    membership: MembershipSettings
    orders: OrderSettings
    services: list[str]


def load_settings(path: Path) -> Settings:
    """Reads a settings file over the defaults that ship with the package.

    Raises:
        SettingsError: The file can't be read or a value is wrong; the message names
            the key, the value and what was expected, one line for each.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(
            step="settings.read", peer=str(path), message=error.strerror or str(error)
        ) from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str) -> Settings:
    """Checks settings given as YAML text; see `load_settings`."""
    given = parse_yaml(text, source=source)
    defaults = yaml.safe_load(
        resources.files("gooseberrymux").joinpath("defaults.yaml").read_text()
    )
    merged = merge_mappings(defaults, given)
    try:
        # Strict checks accept mappings for data classes only from JSON.
        return pydantic.TypeAdapter(Settings).validate_json(
            json.dumps(merged, default=str)
        )
    except pydantic.ValidationError as error:
        raise SettingsError(
            step="settings.check",
            peer=source,
            message="\n".join(describe_problems(error)),
        ) from error


def parse_yaml(text: str, *, source: str) -> dict:
    """Parses YAML whose top level is a mapping.

    Raises:
        SettingsError: The text is not YAML, or not a mapping.
    """
    try:
        given = yaml.safe_load(text)
    except yaml.YAMLError as error:
        first_line = str(error).replace("\n", " ")
        raise SettingsError(
            step="settings.parse", peer=source, message=first_line
        ) from error
    if not isinstance(given, dict):
        raise SettingsError(
            step="settings.parse", peer=source, message="expected a mapping of keys"
        )
    return given


def merge_mappings(base: dict, over: dict) -> dict:
    """Returns `base` with the values of `over`, nested mappings merged key by key."""
    merged = dict(base)
    for key, value in over.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merge_mappings(merged[key], value)
        else:
            merged[key] = value
    return merged


def describe_problems(error: pydantic.ValidationError) -> list[str]:
    """Returns one line a problem: the key, the value, what was expected."""
    return [
        f"{'.'.join(str(part) for part in problem['loc'])}: "
        f"{problem['input']!r}: {problem['msg']}"
        for problem in error.errors()
    ]
