"""Settings of one instance: data classes, read from YAML and checked on load."""

import dataclasses
import ipaddress
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from msgspec import Meta
from result import Err, Ok

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.conversion import convert
from gooseberrymux.errors import UserError

# Shares of the grace period, the time between a stop signal and the kill. New requests
# are served until the first share has passed, and requests in flight may end until the
# second. The rest is left for the exit of the process.
SETTLE_GRACE_SHARE = 0.47
DRAIN_GRACE_SHARE = 0.88

# A request with a body of 262,144 bytes is charged for more than half of this, and must
# fit into the share of the lowest rank.
MIN_CALLER_MEMORY_BYTES = 1_048_576

# The C loader takes a twentieth of the time of the Python one at each start.
SafeLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

# Keys of the settings that hold addresses, by section.
ADDRESS_KEYS = {
    "instance": ("callers", "administration", "peers", "advertised_peers"),
    "gateway": ("callers", "health"),
    "membership": ("seeds",),
}

Name = Annotated[str, Meta(min_length=1, max_length=128)]
MAX_PORT = 65_535
Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]
Count = Annotated[int, Meta(ge=1)]
DurationMs = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Quantile = Annotated[float, Meta(gt=0, lt=1)]


class SettingsError(UserError):
    """The settings file is missing, is not YAML, or holds a wrong value."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Address:
    """An IP address and a port; a settings file may also write it as `host:port`."""

    host: str = "127.0.0.1"
    port: Port = 0

    def __str__(self) -> str:
        """Returns `host:port`."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSettings:
    """Identity, capacity and listening addresses of this instance."""

    name: Name
    failure_domain: Name
    region: Name = "default"
    processor_share: Annotated[float, Meta(gt=0)] = 1.0
    processor_speed: Annotated[float, Meta(gt=0)] = 1.0
    callers: Address
    administration: Address
    peers: Address
    advertised_peers: Address | None = None
    reply_memory_bytes: Count = 33_554_432

    @property
    def advertised_address(self) -> Address:
        """Address that other instances connect to; by default the listener itself."""
        return self.advertised_peers or self.peers

    @property
    def capacity(self) -> float:
        """Processing capacity of this instance, as a number of cores of speed 1."""
        return self.processor_share * self.processor_speed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Address of the platform's object API, and limits of calls and watches.

    Attributes:
        url: Address of the object API.
        timeout_ms: Longest wait for one call.
        calls_in_flight: Concurrent calls of one instance, not counting watches.
        watchers: Instances that read the platform all the time.
        watch_timeout_ms: Longest time that a watch stays open.
        watch_pause_ms: Wait after a watch that brought changes.
        staleness_bound_ms: Time from the acknowledgement of a change within which it
            is in force on all instances, if any of them can read the platform.
        evacuations: Whether the platform holds evacuations of failure domains, which
            takes one more watch.
    """

    url: str
    timeout_ms: DurationMs = 1_000
    calls_in_flight: Count = 16
    watchers: Count = 2
    watch_timeout_ms: DurationMs = 10_000
    watch_pause_ms: Annotated[int, Meta(ge=0)] = 0
    staleness_bound_ms: Annotated[float, Meta(gt=0)] = 5_000.0
    evacuations: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ApiSettings:
    """Limits and access tokens of the API for callers and operators."""

    threads: Count = 64
    body_limit_bytes: Count = 65_536
    caller_tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    operator_tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    drain_timeout_ms: DurationMs = 10_000
    settle_ms: Annotated[int, Meta(ge=0)] = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RankSettings:
    """Limits and capacity shares of one rank."""

    deadline_ms: DurationMs
    request_limit: Count
    queue_limit: Count
    weight: Count
    floor_share: Share
    retry_share: Share
    hedge_share: Share


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PolicySettings:
    """Policies; each value selects one variant."""

    dispatch: Literal["owner", "direct"] = "owner"
    schedule: Literal["strict", "weighted", "strict_with_floors"] = "strict_with_floors"
    hedge: bool = True
    hedge_quantile: Quantile = 0.95
    hedge_floor_ms: Annotated[float, Meta(ge=0)] = 10.0
    cancel_losers: bool = True
    early_refusal: bool = True
    peer_reset: bool = True
    claim_commit: Literal["grouped", "single"] = "grouped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RanksSettings:
    """Limits and shares of the three ranks, the most urgent first."""

    urgent: RankSettings
    standard: RankSettings
    patient: RankSettings


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Periods of probes and exchanges, in milliseconds."""

    probe_period_ms: DurationMs = 300
    probe_timeout_ms: DurationMs = 250
    suspect_ms: DurationMs = 700
    exchange_period_ms: DurationMs = 1_000
    seeds: list[Address] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderSettings:
    """Limits of the order claim ledger."""

    ranges: Count = 64
    retention_ms: DurationMs = 86_400_000
    key_margin_ms: DurationMs = 3_600_000
    commit_timeout_ms: DurationMs = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Names of the headers that forwarded requests and their replies carry.

    Attributes:
        request_id: Caller's id of the request; forwarded, and echoed by upstreams.
        deadline_ms: Milliseconds that the sender of the request will still wait.
        target: Upstream that the request is meant for; other upstreams refuse it.
        upstream: Upstream that replied.
        proof: Opaque proof of an upstream's reply.
        not_run: Present if the upstream did not run the request.
        rate_limit: Requests a second that the upstream takes from all instances.
        leaving: `1` or `true` if the upstream leaves and wants no new requests.
        load: Requests running and waiting at the upstream, its slots, and optionally
            its processing time in percent of the usual, separated by commas.
        part_proofs: Proofs of the replies that were merged into an answer.
        missing_parts: Number of shards that a merged answer leaves out.
        api_key: API key of a caller's workspace; never forwarded.
        workspace: Name of the caller's workspace; set on requests to upstreams.
    """

    request_id: Name = "X-Request-Id"
    deadline_ms: Name = "X-Deadline-Ms"
    target: Name = "X-Target-Upstream"
    upstream: Name = "X-Upstream"
    proof: Name = "X-Reply-Proof"
    not_run: Name = "X-Not-Run"
    rate_limit: Name = "X-Rate-Limit"
    leaving: Name = "X-Draining"
    load: Name = "X-Upstream-Load"
    part_proofs: Name = "X-Part-Proofs"
    missing_parts: Name = "X-Parts-Missing"
    api_key: Name = "X-Api-Key"
    workspace: Name = "X-Workspace"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Listening addresses for forwarded requests, their headers, and the grace period.

    Attributes:
        callers: Address for requests to forward.
        health: Address of the health check.
        headers: Names of the headers.
        grace_s: Seconds between a stop signal and the kill; if 0, `ApiSettings` sets
            the times of the drain.
    """

    callers: Address
    health: Address
    headers: HeaderNames
    grace_s: Annotated[float, Meta(ge=0)] = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimitSettings:
    """Limits of what all callers of an instance hold together.

    Attributes:
        memory_bytes: Memory budget; 0 for `memory_share` of the machine's memory.
        machine_memory_mb: Memory of the machine in MiB; 0 if it is not known.
        memory_share: Share of the machine's memory.
        connections: Connections in all; 0 for `descriptor_share` of the descriptors.
        connections_per_address: Connections of one caller's address; 0 for no limit.
        descriptors: Descriptors that the process may open; 0 for its own limit.
        descriptor_share: Share of the descriptors that callers may use.
        min_bytes_per_s: Bytes a second; the connections of callers that send or read
            more slowly are closed.
        crowded_bytes_per_s: Bytes a second; without room for all, the connections of
            callers that send or read more slowly are closed first.
        small_piece_share: Share of a processor for bodies of many small chunks.
    """

    memory_bytes: Annotated[int, Meta(ge=0)] = 0
    machine_memory_mb: Annotated[float, Meta(ge=0)] = 0
    memory_share: Share = 0.4
    connections: Annotated[int, Meta(ge=0)] = 0
    connections_per_address: Annotated[int, Meta(ge=0)] = 0
    descriptors: Annotated[int, Meta(ge=0)] = 0
    descriptor_share: Share = 0.75
    min_bytes_per_s: Annotated[float, Meta(ge=0)] = 0.2
    crowded_bytes_per_s: Annotated[float, Meta(ge=0)] = 256.0
    small_piece_share: Annotated[float, Meta(gt=0, le=1)] = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingSettings:
    """Limits of extra sends, owners and queues of forwarded requests.

    Attributes:
        extra_share: Extra sends for each first send.
        extra_slack: Extra sends beyond that share in each window.
        extra_window_s: The window in seconds.
        owners: Most instances that own services.
        queue_limit: Queued requests of each rank at a service.
        spillover: Who may leave the owner's failure domain: any request without a free
            slot there (`fixed`), or as many as pay off (`adaptive`).
        crossing_ms: What an exchange with another failure domain costs, in ms.
        crossing_ms_per_kb: What each KB (1,024 bytes) of its request and reply costs,
            in ms.
    """

    extra_share: Share = 0.2
    extra_slack: Annotated[float, Meta(ge=0)] = 54.0
    extra_window_s: Annotated[float, Meta(gt=0)] = 10.0
    owners: Count = 16
    queue_limit: Count = 256
    spillover: Literal["fixed", "adaptive"] = "fixed"
    crossing_ms: Annotated[float, Meta(ge=0)] = 3.0
    crossing_ms_per_kb: Annotated[float, Meta(ge=0)] = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaSettings:
    """By how much the requests of a workspace may exceed its quota.

    Attributes:
        window_s: Seconds; the limit holds in any window of this length.
        tolerance_share: Excess as a share of the quota in a window.
        tolerance_requests: Excess in requests, in addition to the share.
    """

    window_s: Annotated[float, Meta(gt=0)] = 5.0
    tolerance_share: Share = 0.1
    tolerance_requests: Annotated[float, Meta(ge=0)] = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of one instance."""

    instance: InstanceSettings
    platform: PlatformSettings
    api: ApiSettings
    policy: PolicySettings
    ranks: RanksSettings
    membership: MembershipSettings
    orders: OrderSettings
    gateway: GatewaySettings
    forwarding: ForwardingSettings
    quotas: QuotaSettings
    caller_limits: CallerLimitSettings
    services: list[str]

    @property
    def settle_ms(self) -> float:
        """Milliseconds after a stop signal for which new requests are still served."""
        if self.gateway.grace_s:
            return SETTLE_GRACE_SHARE * self.gateway.grace_s * MS_PER_S
        return self.api.settle_ms

    @property
    def drain_timeout_ms(self) -> float:
        """Milliseconds after a stop signal by which requests in flight must end."""
        if self.gateway.grace_s:
            return DRAIN_GRACE_SHARE * self.gateway.grace_s * MS_PER_S
        return self.api.drain_timeout_ms


def load_settings(path: Path) -> Settings:
    """Reads a settings file over the defaults that ship with the package.

    Raises:
        SettingsError: The file can't be read or values are invalid; the message has
            one line for each, with its key, its value and what was expected.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(
            step="settings.read", peer=str(path), message=error.strerror or str(error)
        ) from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str) -> Settings:
    """Parses and checks settings given as YAML text; see `load_settings`."""
    given = parse_yaml(text, source=source)
    default_text = (
        resources.files("gooseberrymux").joinpath("defaults.yaml").read_text()
    )
    defaults = yaml.load(default_text, Loader=SafeLoader)
    merged = split_addresses(merge_mappings(defaults, given))
    match convert(merged, Settings):
        case Err(found):
            problems = [str(problem) for problem in found]
        case Ok(settings):
            problems = find_host_problems(settings) + find_contradictions(settings)
    if problems:
        raise SettingsError(
            step="settings.check", peer=source, message="\n".join(problems)
        )
    return settings


def split_addresses(given: dict) -> dict:
    """Returns settings with each `host:port` address split into host and port.

    Other values are kept; the later type check reports them.
    """
    changed = dict(given)
    for section, keys in ADDRESS_KEYS.items():
        fields = changed.get(section)
        if isinstance(fields, dict):
            split = {key: split_address(fields[key]) for key in keys if key in fields}
            changed[section] = {**fields, **split}
    return changed


def split_address(value: Any) -> Any:
    """Splits a `host:port` text, or each one in a list; other values are kept."""
    match value:
        case list():
            return [split_address(item) for item in value]
        case str():
            host, _, port = value.rpartition(":")
            if port.isascii() and port.isdecimal():
                return {"host": host, "port": int(port)}
    return value


def find_host_problems(settings: Settings) -> list[str]:
    """Returns one line for each host that is not an IP address.

    Host names are refused, because resolving one can block.
    """
    problems = []
    for section, keys in ADDRESS_KEYS.items():
        for key in keys:
            found = getattr(getattr(settings, section), key)
            several = isinstance(found, list)
            for number, address in enumerate(found if several else [found]):
                place = f"{section}.{key}.{number}" if several else f"{section}.{key}"
                if address and not is_ip_address(address.host):
                    problems.append(
                        f"{place}.host: {address.host!r}: expected an IP address"
                    )
    return problems


def is_ip_address(host: str) -> bool:
    """Returns whether a host is an IP address and not a host name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def find_contradictions(settings: Settings) -> list[str]:
    """Returns one line for each combination of values that is not valid."""
    ranks = (settings.ranks.urgent, settings.ranks.standard, settings.ranks.patient)
    requests = sum(rank.request_limit for rank in ranks)
    floors = sum(rank.floor_share for rank in ranks)
    problems = []
    if settings.api.threads <= requests:
        # Otherwise a flood of one rank could occupy the threads that read urgent
        # requests.
        problems.append(
            f"api.threads: {settings.api.threads}: expected more than {requests}, "
            "the sum of ranks.*.request_limit"
        )
    if floors > 1:
        problems.append(f"ranks.*.floor_share: {floors:g} together: expected at most 1")
    memory_bytes = settings.caller_limits.memory_bytes
    if 0 < memory_bytes < MIN_CALLER_MEMORY_BYTES:
        problems.append(
            f"caller_limits.memory_bytes: {memory_bytes}: expected 0 or at least "
            f"{MIN_CALLER_MEMORY_BYTES}, which one request of legal size takes"
        )
    if settings.orders.key_margin_ms >= settings.orders.retention_ms:
        problems.append(
            f"orders.key_margin_ms: {settings.orders.key_margin_ms}: expected less "
            f"than orders.retention_ms, {settings.orders.retention_ms}"
        )
    return problems


def parse_yaml(text: str, *, source: str) -> dict:
    """Parses YAML whose top level is a mapping.

    Raises:
        SettingsError: The text is not YAML, or its top level is not a mapping.
    """
    try:
        given = yaml.load(text, Loader=SafeLoader)
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


def merge_mappings(base: dict, overrides: dict) -> dict:
    """Returns `base` with the values of `overrides`; nested mappings are merged."""
    merged = dict(base)
    for key, value in overrides.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merge_mappings(merged[key], value)
        else:
            merged[key] = value
    return merged
