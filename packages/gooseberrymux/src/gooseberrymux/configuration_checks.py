"""Checks of a configuration before it is written.

A change with problems is refused; warnings are reported with the accepted change. Each
names an object and a field. The checks read only the new configuration, the one that it
replaces and the platform's upstream list.
"""

import itertools
import re
from collections.abc import Iterable, Iterator, Sequence

from result import Ok

from gooseberrymux.configuration_model import (
    LIST_FIELDS,
    NAME_FIELDS,
    Configuration,
    Group,
    Kind,
    Problem,
    Selector,
    format_object_key,
    list_objects_of_kind,
)
from gooseberrymux.platform import BODY_LIMIT_BYTES
from gooseberrymux.records import Rank, Traffic, UpstreamRecord, UpstreamState
from gooseberrymux.selectors import RouteTable, is_in_group

# Operators are warned from this share of the platform's body limit.
SIZE_WARNING_SHARE = 0.8
# Services that one warning names at most.
MAX_SERVICES_NAMED = 5
# Part of the platform's body limit reserved for the rest of the write request: the
# expected version and the field names.
WRITE_OVERHEAD_BYTES = 1_000
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
PRIORITY_LIMIT = 2**31

UpstreamsByLabel = dict[tuple[str, str] | None, list[UpstreamRecord]]


def find_problems(configuration: Configuration) -> list[Problem]:
    """Returns the problems of a configuration by itself; empty if it is valid."""
    return [
        *find_name_problems(configuration),
        *find_group_problems(configuration),
        *find_overlapping_selectors(configuration.selectors),
    ]


def find_name_problems(configuration: Configuration) -> Iterator[Problem]:
    """Yields names that are not unique or can't be used in a URL or a log line."""
    for kind in LIST_FIELDS:
        field = NAME_FIELDS[kind]
        seen = set()
        for found in list_objects_of_kind(configuration, kind):
            name = getattr(found, field)
            key = format_object_key(kind, name)
            if name in seen:
                yield Problem(object=key, field=field, message="the name is not unique")
            seen.add(name)
            if not NAME_PATTERN.fullmatch(name):
                message = "expected 1 to 128 letters, digits and . _ : -"
                yield Problem(object=key, field=field, message=message)


def find_group_problems(configuration: Configuration) -> Iterator[Problem]:
    """Yields problems in the groups and the priority of each selector.

    The groups must exist and have the same index.
    """
    groups = {group.name: group for group in configuration.groups}
    for selector in configuration.selectors:
        key = format_object_key(Kind.SELECTOR, selector.name)
        if not selector.groups:
            yield Problem(object=key, field="groups", message="names no group")
        for name in selector.groups:
            if name not in groups:
                message = f"group {name!r} does not exist"
                yield Problem(object=key, field="groups", message=message)
        indexes = sorted(
            {groups[name].index for name in selector.groups if name in groups}
        )
        if len(indexes) > 1:
            message = f"groups of different indexes: {', '.join(indexes)}"
            yield Problem(object=key, field="groups", message=message)
        if abs(selector.priority) >= PRIORITY_LIMIT:
            message = f"{selector.priority} is out of range"
            yield Problem(object=key, field="priority", message=message)


def find_overlapping_selectors(selectors: Sequence[Selector]) -> Iterator[Problem]:
    """Yields selectors of equal priority that can match the same traffic.

    For such traffic it would be undefined which of the two selectors applies.
    """
    by_priority: dict[int, list[Selector]] = {}
    for selector in selectors:
        by_priority.setdefault(selector.priority, []).append(selector)
    for same_priority in by_priority.values():
        for first, second in list_candidate_pairs(same_priority):
            if can_match_same_traffic(first, second):
                message = (
                    f"equal to the priority of {second.name!r}, which can match "
                    "the same traffic"
                )
                yield Problem(
                    object=format_object_key(Kind.SELECTOR, first.name),
                    field="priority",
                    message=message,
                )


def list_candidate_pairs(
    selectors: Sequence[Selector],
) -> Iterator[tuple[Selector, Selector]]:
    """Yields pairs of selectors that share a service or of which one matches all.

    Other pairs can't match the same traffic, and comparing all pairs would take seconds
    with some thousand selectors.
    """
    by_service: dict[str, list[int]] = {}
    wildcards = []
    for number, selector in enumerate(selectors):
        for service in set(selector.services):
            by_service.setdefault(service, []).append(number)
        if not selector.services:
            wildcards.append(number)
    pairs = set()
    for numbers in by_service.values():
        pairs.update(itertools.combinations(numbers, 2))
    for number in wildcards:
        for second in range(len(selectors)):
            if second != number:
                pairs.add((min(number, second), max(number, second)))
    for first, second in sorted(pairs):
        yield selectors[first], selectors[second]


def can_match_same_traffic(first: Selector, second: Selector) -> bool:
    """Returns whether some traffic matches both selectors."""
    return (
        share_value(first.callers, second.callers)
        and share_value(first.services, second.services)
        and share_value(first.ranks, second.ranks)
        and all(
            second.labels.get(label, value) == value
            for label, value in first.labels.items()
        )
    )


def share_value(first: Sequence[str], second: Sequence[str]) -> bool:
    """Returns whether two lists share a value; an empty list stands for all values."""
    return not first or not second or not set(first).isdisjoint(second)


def find_size_problem(size_bytes: int) -> Problem | None:
    """Returns a problem if the platform would refuse a document of this size."""
    limit_bytes = BODY_LIMIT_BYTES - WRITE_OVERHEAD_BYTES
    if size_bytes <= limit_bytes:
        return None
    message = f"{size_bytes} bytes; the platform accepts at most {limit_bytes}"
    return Problem(object="configuration", field="", message=message)


def find_warnings(
    *,
    configuration: Configuration,
    size_bytes: int,
    upstreams: Sequence[UpstreamRecord],
) -> list[Problem]:
    """Returns warnings about unknown names in drains and evacuations, and the size.

    Args:
        configuration: The new configuration.
        size_bytes: Size of its encoded document.
        upstreams: The platform's upstream list; empty if this instance has none yet,
            which skips the check of the names.
    """
    warnings = []
    known = {record.name for record in upstreams}
    for drain in configuration.drains:
        if upstreams and drain.upstream not in known:
            warnings.append(
                Problem(
                    object=format_object_key(Kind.DRAIN, drain.upstream),
                    field="upstream",
                    message="no such upstream in the platform's list",
                )
            )
    domains = {record.failure_domain for record in upstreams}
    for evacuation in configuration.evacuations:
        if upstreams and evacuation.domain not in domains:
            warnings.append(
                Problem(
                    object=format_object_key(Kind.EVACUATION, evacuation.domain),
                    field="domain",
                    message="no upstream of the platform's list is in this domain",
                )
            )
    if size_bytes > BODY_LIMIT_BYTES * SIZE_WARNING_SHARE:
        message = f"{size_bytes} bytes, near the platform's limit of {BODY_LIMIT_BYTES}"
        warnings.append(Problem(object="configuration", field="", message=message))
    return warnings


def find_unreachable_traffic(
    *,
    before: Configuration,
    after: Configuration,
    upstreams: Sequence[UpstreamRecord],
) -> list[Problem]:
    """Returns the traffic that reaches an upstream before a change but none after it.

    Samples of traffic are built from the callers, services, ranks and labels that the
    selectors of both configurations name, so that each selector routes at least one
    sample unless selectors of higher priority match its samples as well. Returns one
    problem for each service and rank; none if the upstream list is empty.
    """
    if not upstreams:
        return []
    upstreams_by_label = group_upstreams_by_label(upstreams)
    old = Reachability(before, upstreams_by_label)
    new = Reachability(after, upstreams_by_label)
    problems: dict[tuple[str, Rank], Problem] = {}
    for traffic in sample_traffic((*before.selectors, *after.selectors)):
        key = (traffic.service, traffic.rank)
        if key not in problems and old.reaches(traffic) and not new.reaches(traffic):
            problems[key] = Problem(
                object=new.name_selector(traffic) or old.name_selector(traffic),
                field="groups",
                message=f"rank {traffic.rank.value!r} of service "
                f"{traffic.service or '(any)'!r} is left with no upstream",
            )
    return list(problems.values())


def find_last_upstream_drains(
    *,
    before: Configuration,
    after: Configuration,
    upstreams: Sequence[UpstreamRecord],
) -> list[Problem]:
    """Returns the new drains that leave a service without an upstream.

    The shards of that service are then missing from every answer, even though the
    group as a whole still has upstreams.
    """
    served_before = list_live_services(before, upstreams)
    served_after = list_live_services(after, upstreams)
    drained_before = {drain.upstream for drain in before.drains}
    services = {record.name: record.service for record in upstreams}
    return [
        Problem(
            object=format_object_key(Kind.DRAIN, drain.upstream),
            field="upstream",
            message=f"service {services[drain.upstream]!r} is left with no upstream",
        )
        for drain in after.drains
        if drain.upstream not in drained_before
        and services.get(drain.upstream) in served_before - served_after
    ]


def list_live_services(
    configuration: Configuration, upstreams: Sequence[UpstreamRecord]
) -> set[str]:
    """Returns the services of all upstreams that are live and not excluded."""
    exclusions = Exclusions(configuration)
    return {
        record.service
        for record in upstreams
        if record.state is UpstreamState.LIVE and not exclusions.cover(record)
    }


def find_last_domain_evacuations(
    *,
    before: Configuration,
    after: Configuration,
    upstreams: Sequence[UpstreamRecord],
) -> list[Problem]:
    """Returns the new evacuations that leave services without an upstream."""
    served_before = list_live_services(before, upstreams)
    unserved = served_before - list_live_services(after, upstreams)
    problems = []
    for evacuation in after.evacuations:
        lost = sorted(
            {
                record.service
                for record in upstreams
                if record.failure_domain == evacuation.domain
                and record.service in unserved
            }
        )
        if lost and evacuation not in before.evacuations:
            named = ", ".join(lost[:MAX_SERVICES_NAMED])
            problems.append(
                Problem(
                    object=format_object_key(Kind.EVACUATION, evacuation.domain),
                    field="domain",
                    message=f"{len(lost)} services are left with no upstream: {named}",
                )
            )
    return problems


class Exclusions:
    """Which upstreams a configuration excludes from new work."""

    __slots__ = ("_drained", "_evacuated")

    def __init__(self, configuration: Configuration):
        self._drained = {drain.upstream for drain in configuration.drains}
        self._evacuated = {found.domain for found in configuration.evacuations}

    def cover(self, record: UpstreamRecord) -> bool:
        """Returns whether an upstream is drained or in an evacuated domain."""
        return record.name in self._drained or record.failure_domain in self._evacuated


def group_upstreams_by_label(upstreams: Sequence[UpstreamRecord]) -> UpstreamsByLabel:
    """Returns the live upstreams by each of their labels, and all of them under None.

    Without this index, comparing each group with each upstream would take seconds at
    the future scale.
    """
    upstreams_by_label: UpstreamsByLabel = {}
    for record in upstreams:
        if record.state is UpstreamState.LIVE:
            for label in (None, *record.labels.items()):
                upstreams_by_label.setdefault(label, []).append(record)
    return upstreams_by_label


class Reachability:
    """Finds out which traffic reaches an upstream under one configuration.

    The result for each group is cached; not safe for use by several threads.
    """

    __slots__ = (
        "_route_table",
        "_usable_by_group",
        "_upstreams_by_label",
        "_exclusions",
    )

    def __init__(
        self, configuration: Configuration, upstreams_by_label: UpstreamsByLabel
    ):
        self._route_table = RouteTable(configuration)
        self._upstreams_by_label = upstreams_by_label
        self._exclusions = Exclusions(configuration)
        self._usable_by_group: dict[str, bool] = {}

    def reaches(self, traffic: Traffic) -> bool:
        """Returns whether traffic reaches an upstream that is live and not excluded."""
        match self._route_table.resolve(traffic):
            case Ok(route):
                return any(self._is_usable(group) for group in route.groups)
            case _:
                return False

    def name_selector(self, traffic: Traffic) -> str:
        """Returns the key of the selector that routes traffic; empty if none does."""
        match self._route_table.resolve(traffic):
            case Ok(route):
                return format_object_key(Kind.SELECTOR, route.selector)
            case _:
                return ""

    def _is_usable(self, group: Group) -> bool:
        if group.name not in self._usable_by_group:
            labels = list(group.match.items()) or [None]
            candidates = min(
                (self._upstreams_by_label.get(label, []) for label in labels), key=len
            )
            self._usable_by_group[group.name] = any(
                not self._exclusions.cover(record) and is_in_group(record, group)
                for record in candidates
            )
        return self._usable_by_group[group.name]


def sample_traffic(selectors: Iterable[Selector]) -> Iterator[Traffic]:
    """Yields samples of traffic that the selectors match.

    Each caller is combined with the first service and each service with the first
    caller; an empty list of callers or services gives an empty name, and an empty list
    of ranks gives all ranks.
    """
    for selector in selectors:
        services = selector.services or [""]
        callers = selector.callers or [""]
        pairs = {(service, callers[0]) for service in services}
        pairs.update((services[0], caller) for caller in callers)
        for service, caller in sorted(pairs):
            for rank in selector.ranks or list(Rank):
                yield Traffic(
                    caller=caller, service=service, rank=rank, labels=selector.labels
                )
