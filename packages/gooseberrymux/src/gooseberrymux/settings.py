"""Settings of one instance: typed, read from YAML, checked on load."""

import dataclasses
import ipaddress
import json
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import pydantic
import yaml

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.errors import UserError

# Unknown keys are refused so that a mistyped key never falls back to a default.
STRICT = pydantic.ConfigDict(extra="forbid", strict=True)

# Parts of the time between a stop signal and the kill: until then callers are served,
# and until then what is in flight may end. The rest is for the exit itself.
SETTLE_SHARE = 0.47
DRAIN_SHARE = 0.88


def check_host(host: str) -> str:
    """Returns the host if it is an IP number.

    Raises:
        ValueError: It is not; names are refused, since resolving one can block.
    """
    return str(ipaddress.ip_address(host))


Name = Annotated[str, pydantic.Field(min_length=1, max_length=128)]
Host = Annotated[str, pydantic.AfterValidator(check_host)]
PORT_LIMIT = 65_535
Port = Annotated[int, pydantic.Field(ge=0, le=PORT_LIMIT)]
Count = Annotated[int, pydantic.Field(ge=1)]
DurationMs = Annotated[int, pydantic.Field(ge=1)]
Share = Annotated[float, pydantic.Field(ge=0, le=1)]
Quantile = Annotated[float, pydantic.Field(gt=0, lt=1)]


class SettingsError(UserError):
    """The settings file is missing, is not YAML, or holds a wrong value."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP number and a port."""

    __pydantic_config__ = STRICT

    host: Host = "127.0.0.1"
    port: Port = 0

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


def parse_address(value: object) -> object:
    """Returns the address of a text `host:port`; anything else is left as it is.

    Raises:
        ValueError: The text is no IP number and port.
    """
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    if not port.isdecimal() or int(port) > PORT_LIMIT:
        raise ValueError("expected host:port")
    return Address(host=check_host(host), port=int(port))


AddressField = Annotated[Address, pydantic.BeforeValidator(parse_address)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSettings:
    """Who this instance is and where it listens."""

    __pydantic_config__ = STRICT

    name: Name
    failure_domain: Name
    region: Name = "default"
    processor_share: Annotated[float, pydantic.Field(gt=0)] = 1.0
    processor_speed: Annotated[float, pydantic.Field(gt=0)] = 1.0
    callers: AddressField
    administration: AddressField
    peers: AddressField
    advertised_peers: AddressField | None = None

    @property
    def reached_at(self) -> Address:
        """Where other instances connect: what is advertised, or the listener itself."""
        return self.advertised_peers or self.peers

    @property
    def capacity(self) -> float:
        """Processor cores of this instance, in cores of speed 1."""
        return self.processor_share * self.processor_speed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Where the platform's object API is."""

    __pydantic_config__ = STRICT

    url: str
    timeout_ms: DurationMs = 1_000
    calls_in_flight: Count = 16
    watchers: Count = 2
    watch_timeout_ms: DurationMs = 10_000
    watch_pause_ms: Annotated[int, pydantic.Field(ge=0)] = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApiSettings:
    """Limits of the callers' side."""

    __pydantic_config__ = STRICT

    threads: Count = 64
    body_limit_bytes: Count = 65_536
    caller_tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    operator_tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    drain_timeout_ms: DurationMs = 10_000
    settle_ms: Annotated[int, pydantic.Field(ge=0)] = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RankSettings:
    """Limits and shares of one rank."""

    __pydantic_config__ = STRICT

    deadline_ms: DurationMs
    request_limit: Count
    queue_limit: Count
    weight: Count
    floor_share: Share
    retry_share: Share
    hedge_share: Share


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """The policies in force; each value names one variant."""

    __pydantic_config__ = STRICT

    dispatch: Literal["owner", "direct"] = "owner"
    schedule: Literal["strict", "weighted", "strict_with_floors"] = "strict_with_floors"
    hedge: bool = True
    hedge_quantile: Quantile = 0.95
    hedge_floor_ms: Annotated[float, pydantic.Field(ge=0)] = 10.0
    cancel_losers: bool = True
    early_refusal: bool = True
    peer_reset: bool = True
    claim_commit: Literal["grouped", "single"] = "grouped"


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

    probe_period_ms: DurationMs = 300
    probe_timeout_ms: DurationMs = 250
    suspect_ms: DurationMs = 700
    exchange_period_ms: DurationMs = 1_000
    seeds: list[AddressField] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderSettings:
    """Limits of the order claim ledger."""

    __pydantic_config__ = STRICT

    ranges: Count = 64
    retention_ms: DurationMs = 86_400_000
    key_margin_ms: DurationMs = 3_600_000
    commit_timeout_ms: DurationMs = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Names of the headers that forwarded requests and their replies carry.

    Attributes:
        request_id: Caller's id of the request; passed on and echoed by upstreams.
        deadline_ms: Milliseconds that the sender still waits.
        target: Upstream that a request is meant for; any other refuses it.
        upstream: Upstream that replied.
        proof: Opaque proof of an upstream's reply.
        not_run: Present if the upstream did not run the request.
        part_proofs: Proofs of the replies that a merged answer holds.
        missing_parts: Number of shards that a merged answer leaves out.
    """

    __pydantic_config__ = STRICT

    request_id: Name = "X-Request-Id"
    deadline_ms: Name = "X-Deadline-Ms"
    target: Name = "X-Target-Upstream"
    upstream: Name = "X-Upstream"
    proof: Name = "X-Reply-Proof"
    not_run: Name = "X-Not-Run"
    part_proofs: Name = "X-Part-Proofs"
    missing_parts: Name = "X-Parts-Missing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Where forwarded requests arrive, and the names of their headers."""

    __pydantic_config__ = STRICT

    callers: AddressField
    health: AddressField
    headers: HeaderNames
    grace_s: Annotated[float, pydantic.Field(ge=0)] = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingSettings:
    """How forwarded requests are sent, sent again and answered."""

    __pydantic_config__ = STRICT

    extra_share: Share = 0.2
    extra_slack: Annotated[float, pydantic.Field(ge=0)] = 54.0
    extra_window_s: Annotated[float, pydantic.Field(gt=0)] = 10.0
    owners: Count = 16
    queue_limit: Count = 256


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
    gateway: GatewaySettings
    forwarding: ForwardingSettings
    services: list[str]

    @property
    def settle_ms(self) -> float:
        """How long callers are still served after a stop signal."""
        if self.gateway.grace_s:
            return SETTLE_SHARE * self.gateway.grace_s * MS_PER_S
        return self.api.settle_ms

    @property
    def drain_timeout_ms(self) -> float:
        """How long requests in flight may take after a stop signal."""
        if self.gateway.grace_s:
            return DRAIN_SHARE * self.gateway.grace_s * MS_PER_S
        return self.api.drain_timeout_ms


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
        settings = pydantic.TypeAdapter(Settings).validate_json(
            json.dumps(merged, default=str)
        )
    except pydantic.ValidationError as error:
        raise SettingsError(
            step="settings.check",
            peer=source,
            message="\n".join(describe_problems(error)),
        ) from error
    if problems := find_contradictions(settings):
        raise SettingsError(
            step="settings.check", peer=source, message="\n".join(problems)
        )
    return settings


def find_contradictions(settings: Settings) -> list[str]:
    """Returns one line for each pair of values that don't go together."""
    ranks = (settings.ranks.urgent, settings.ranks.standard, settings.ranks.patient)
    requests = sum(rank.request_limit for rank in ranks)
    floors = sum(rank.floor_share for rank in ranks)
    problems = []
    if settings.api.threads <= requests:
        # A flood of one rank could otherwise take the threads that read urgent work.
        problems.append(
            f"api.threads: {settings.api.threads}: expected more than {requests}, "
            "the sum of ranks.*.request_limit"
        )
    if floors > 1:
        problems.append(f"ranks.*.floor_share: {floors:g} together: expected at most 1")
    if settings.orders.key_margin_ms >= settings.orders.retention_ms:
        problems.append(
            f"orders.key_margin_ms: {settings.orders.key_margin_ms}: expected less "
            f"than orders.retention_ms, {settings.orders.retention_ms}"
        )
    return problems


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
