"""Checks of a configuration before it is written: problems refuse it, warnings don't.

Problems name object and field. The checks look only at the configuration, at the one
that it replaces and at the platform's upstream list.
"""

import itertools
import re
from collections.abc import Iterable, Iterator, Sequence

from result import Ok

from gooseberrymux.configuration_model import (
    LISTS,
    NAME_FIELDS,
    Configuration,
    Group,
    Kind,
    Problem,
    Selector,
    list_kind,
    name_object,
)
from gooseberrymux.platform import BODY_LIMIT_BYTES
from gooseberrymux.records import Rank, Traffic, UpstreamRecord, UpstreamState
from gooseberrymux.selectors import RouteTable, is_in_group

# Share of the platform's limit from which operators are warned.
SIZE_WARNING_SHARE = 0.8
# Left for the rest of the write: the expected version and the names of the fields.
SIZE_MARGIN_BYTES = 1_000
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
PRIORITY_LIMIT = 2**31

UpstreamIndex = dict[tuple[str, str] | None, list[UpstreamRecord]]


def find_problems(configuration: Configuration) -> list[Problem]:
    """Returns why a configuration is refused; empty if it is not."""
    return [
        *find_name_problems(configuration),
        *find_group_problems(configuration),
        *find_overlaps(configuration.selectors),
    ]


def find_name_problems(configuration: Configuration) -> Iterator[Problem]:
    """Yields names that are duplicate or can't stand in a URL or a log line."""
    for kind in LISTS:
        field = NAME_FIELDS[kind]
        seen = set()
        for found in list_kind(configuration, kind):
            name = getattr(found, field)
            key = name_object(kind, name)
            if name in seen:
                yield Problem(object=key, field=field, message="the name is not unique")
            seen.add(name)
            if not NAME_PATTERN.fullmatch(name):
                message = "expected 1 to 128 letters, digits and . _ : -"
                yield Problem(object=key, field=field, message=message)


def find_group_problems(configuration: Configuration) -> Iterator[Problem]:
    """Yields selectors whose groups are missing, unknown or of different indexes."""
    groups = {group.name: group for group in configuration.groups}
    for selector in configuration.selectors:
        key = name_object(Kind.SELECTOR, selector.name)
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


def find_overlaps(selectors: Sequence[Selector]) -> Iterator[Problem]:
    """Yields pairs of selectors that can match the same traffic and have no order."""
    by_priority: dict[int, list[Selector]] = {}
    for selector in selectors:
        by_priority.setdefault(selector.priority, []).append(selector)
    for equal in by_priority.values():
        for one, other in list_candidates(equal):
            if overlaps(one, other):
                message = (
                    f"equal to the priority of {other.name!r}, which can match "
                    "the same traffic"
                )
                yield Problem(
                    object=name_object(Kind.SELECTOR, one.name),
                    field="priority",
                    message=message,
                )


def list_candidates(
    selectors: Sequence[Selector],
) -> Iterator[tuple[Selector, Selector]]:
    """Yields pairs that share a service, or of which one matches all services.

    Comparing all pairs would take seconds with some thousand selectors.
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
        for other in range(len(selectors)):
            if other != number:
                pairs.add((min(number, other), max(number, other)))
    for one, other in sorted(pairs):
        yield selectors[one], selectors[other]


def overlaps(one: Selector, other: Selector) -> bool:
    """Returns whether some traffic matches both selectors."""
    return (
        meets(one.callers, other.callers)
        and meets(one.services, other.services)
        and meets(one.ranks, other.ranks)
        and all(
            other.labels.get(label, value) == value
            for label, value in one.labels.items()
        )
    )


def meets(one: Sequence[str], other: Sequence[str]) -> bool:
    """Returns whether two lists, of which an empty one means all, share a value."""
    return not one or not other or not set(one).isdisjoint(other)


def find_size_problem(size_bytes: int) -> Problem | None:
    """Returns the problem of a document that the platform would not take."""
    limit_bytes = BODY_LIMIT_BYTES - SIZE_MARGIN_BYTES
    if size_bytes <= limit_bytes:
        return None
    message = f"{size_bytes} bytes; the platform takes {limit_bytes}"
    return Problem(object="configuration", field="", message=message)


def find_warnings(
    *,
    configuration: Configuration,
    size_bytes: int,
    upstreams: Sequence[UpstreamRecord],
) -> list[Problem]:
    """Returns what operators are told about a configuration that is accepted.

    Args:
        configuration: The configuration.
        size_bytes: Size of its document.
        upstreams: The platform's list; empty if it is not known here.
    """
    warnings = []
    known = {record.name for record in upstreams}
    for drain in configuration.drains:
        if upstreams and drain.upstream not in known:
            warnings.append(
                Problem(
                    object=name_object(Kind.DRAIN, drain.upstream),
                    field="upstream",
                    message="no such upstream in the platform's list",
                )
            )
    if size_bytes > BODY_LIMIT_BYTES * SIZE_WARNING_SHARE:
        message = f"{size_bytes} bytes, near the platform's limit of {BODY_LIMIT_BYTES}"
        warnings.append(Problem(object="configuration", field="", message=message))
    return warnings


def find_unreachable(
    *,
    before: Configuration,
    after: Configuration,
    upstreams: Sequence[UpstreamRecord],
) -> list[Problem]:
    """Returns the traffic that reached an upstream before and reaches none after.

    Traffic is sampled from what the selectors of both configurations name, so that
    each selector decides at least one sample unless it is shadowed. One problem is
    returned for each service and rank.
    """
    if not upstreams:
        return []
    index = index_upstreams(upstreams)
    old = Reach(before, index)
    new = Reach(after, index)
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


def find_emptied_services(
    *,
    before: Configuration,
    after: Configuration,
    upstreams: Sequence[UpstreamRecord],
) -> list[Problem]:
    """Returns the drains that take the last upstream from a service.

    The shards that it serves then are missing from every answer, though the group as
    a whole still has upstreams.
    """
    had = list_live_services(before, upstreams)
    left = list_live_services(after, upstreams)
    earlier = {drain.upstream for drain in before.drains}
    services = {record.name: record.service for record in upstreams}
    return [
        Problem(
            object=name_object(Kind.DRAIN, drain.upstream),
            field="upstream",
            message=f"service {services[drain.upstream]!r} is left with no upstream",
        )
        for drain in after.drains
        if drain.upstream not in earlier and services.get(drain.upstream) in had - left
    ]


def list_live_services(
    configuration: Configuration, upstreams: Sequence[UpstreamRecord]
) -> set[str]:
    """Returns the services of all upstreams that take new work."""
    drained = {drain.upstream for drain in configuration.drains}
    return {
        record.service
        for record in upstreams
        if record.state is UpstreamState.LIVE and record.name not in drained
    }


def index_upstreams(upstreams: Sequence[UpstreamRecord]) -> UpstreamIndex:
    """Returns the live upstreams by each of their labels, and all under None.

    Comparing each group with each upstream would take seconds at the future scale.
    """
    index: UpstreamIndex = {}
    for record in upstreams:
        if record.state is UpstreamState.LIVE:
            for label in (None, *record.labels.items()):
                index.setdefault(label, []).append(record)
    return index


class Reach:
    """Which traffic reaches an upstream under one configuration."""

    __slots__ = ("_table", "_usable", "_index", "_drained")

    def __init__(self, configuration: Configuration, index: UpstreamIndex):
        self._table = RouteTable(configuration)
        self._index = index
        self._drained = {drain.upstream for drain in configuration.drains}
        self._usable: dict[str, bool] = {}

    def reaches(self, traffic: Traffic) -> bool:
        """Returns whether traffic reaches an upstream that takes new work."""
        match self._table.resolve(traffic):
            case Ok(route):
                return any(self._is_usable(group) for group in route.groups)
            case _:
                return False

    def name_selector(self, traffic: Traffic) -> str:
        """Returns the selector that decides about traffic; empty for none."""
        match self._table.resolve(traffic):
            case Ok(route):
                return name_object(Kind.SELECTOR, route.selector)
            case _:
                return ""

    def _is_usable(self, group: Group) -> bool:
        if group.name not in self._usable:
            labels = list(group.match.items()) or [None]
            candidates = min((self._index.get(label, []) for label in labels), key=len)
            self._usable[group.name] = any(
                record.name not in self._drained and is_in_group(record, group)
                for record in candidates
            )
        return self._usable[group.name]


def sample_traffic(selectors: Iterable[Selector]) -> Iterator[Traffic]:
    """Yields traffic of each caller, service and rank that the selectors name."""
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
