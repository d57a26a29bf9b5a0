"""Total resolution of traffic to groups, and its explanation."""

import dataclasses
from collections.abc import Iterable, Sequence

from result import Err, Ok, Result

from gooseberrymux.configuration_model import Configuration, Group, Selector
from gooseberrymux.records import Refusal, RunState, Traffic, UpstreamRecord

# Entries of one selector in the table. Beyond it, callers are compared one by one, so
# that a selector with many callers and many services does not fill the memory.
ENTRIES_PER_SELECTOR = 64

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Route:
    """The groups that some traffic may reach.

    Attributes:
        selector: The selector that decided.
        index: Index of all the groups.
        groups: The groups, in the selector's order.
    """

    selector: str
    index: str
    groups: tuple[Group, ...]


@_frozen
class MatchedSelector:
    """A selector that matches some traffic."""

    name: str
    priority: int


@_frozen
class ReachedUpstream:
    """An upstream that belongs to one of the groups reached."""

    name: str
    service: str
    state: str
    drained: bool


@_frozen
class Explanation:
    """How some traffic is resolved.

    Attributes:
        generation: Generation of the configuration.
        traffic: The traffic.
        matched: The selectors that match, the deciding one first.
        reason: Why it decided, or why none did.
        route: The result; None if the traffic is refused.
        upstreams: The upstreams of the groups reached.
    """

    generation: int
    traffic: Traffic
    matched: tuple[MatchedSelector, ...]
    reason: str
    route: Route | None
    upstreams: tuple[ReachedUpstream, ...]


class Entry:
    """A selector prepared for matching, with the result of its traffic."""

    __slots__ = ("order", "selector", "result", "_callers", "_services", "_labels")

    def __init__(self, *, order: int, selector: Selector, groups: dict[str, Group]):
        self.order = order
        self.selector = selector
        self.result = create_route(selector, groups)
        self._callers = frozenset(selector.callers)
        self._services = frozenset(selector.services)
        self._labels = selector.labels.items()

    def matches(self, traffic: Traffic) -> bool:
        """Returns whether the selector matches some traffic."""
        ranks = self.selector.ranks
        return (
            (not self._callers or traffic.caller in self._callers)
            and (not self._services or traffic.service in self._services)
            and (not ranks or traffic.rank in ranks)
            and self._labels <= traffic.labels.items()
        )


class RouteTable:
    """The selectors of one configuration, indexed by service, caller and a label.

    Looking up some traffic touches the selectors that name its service, its caller or
    one of its labels, and those that name none, but not all others.
    """

    __slots__ = ("_entries", "_buckets")

    def __init__(self, configuration: Configuration):
        groups = {group.name: group for group in configuration.groups}
        ordered = sorted(
            configuration.selectors, key=lambda found: (-found.priority, found.name)
        )
        self._entries = [
            Entry(order=order, selector=selector, groups=groups)
            for order, selector in enumerate(ordered)
        ]
        self._buckets: dict[tuple, list[Entry]] = {}
        for entry in self._entries:
            for key in list_keys(entry.selector):
                self._buckets.setdefault(key, []).append(entry)

    def resolve(self, traffic: Traffic) -> Result[Route, Refusal]:
        """Returns the groups that traffic may reach; see `resolve`."""
        best: Entry | None = None
        for key in list_lookups(traffic):
            for entry in self._buckets.get(key, ()):
                if best is not None and entry.order >= best.order:
                    break
                if entry.matches(traffic):
                    best = entry
                    break
        return best.result if best else Err(refuse_unmatched(traffic))

    def list_matching(self, traffic: Traffic) -> list[Selector]:
        """Returns all selectors that match some traffic, the deciding one first."""
        return [entry.selector for entry in self._entries if entry.matches(traffic)]


class TableCache:
    """The table of the last configuration that was asked for."""

    __slots__ = ("_last",)

    def __init__(self):
        self._last: tuple[Configuration, RouteTable] | None = None

    def get(self, configuration: Configuration) -> RouteTable:
        """Returns the table of a configuration, built on its first use."""
        last = self._last
        if last is None or last[0] is not configuration:
            last = (configuration, RouteTable(configuration))
            self._last = last
        return last[1]


_tables = TableCache()


def resolve(
    *, configuration: Configuration, traffic: Traffic
) -> Result[Route, Refusal]:
    """Returns the groups that traffic may reach.

    The matching selector with the highest priority wins; of two with the same
    priority, which the checks refuse, the first by name.
    """
    return _tables.get(configuration).resolve(traffic)


def explain(
    *,
    configuration: Configuration,
    traffic: Traffic,
    upstreams: Iterable[UpstreamRecord],
) -> Explanation:
    """Returns which selectors matched, which won and why, and what is reached."""
    table = _tables.get(configuration)
    matched = table.list_matching(traffic)
    route = None
    match table.resolve(traffic):
        case Ok(found):
            route = found
            reason = explain_choice(matched)
        case Err(refusal):
            reason = refusal.message
    drained = {drain.upstream for drain in configuration.drains}
    return Explanation(
        generation=configuration.generation,
        traffic=traffic,
        matched=tuple(
            MatchedSelector(name=found.name, priority=found.priority)
            for found in matched
        ),
        reason=reason,
        route=route,
        upstreams=tuple(
            ReachedUpstream(
                name=record.name,
                service=record.service,
                state=record.state.value,
                drained=record.name in drained,
            )
            for record in upstreams
            if route and any(belongs(record, group) for group in route.groups)
        ),
    )


def explain_choice(matched: Sequence[Selector]) -> str:
    """Returns why the first of the selectors that match won."""
    match matched:
        case [only]:
            return f"only {only.name!r} matches"
        case [first, second, *_] if first.priority > second.priority:
            return f"{first.name!r} has the highest priority, {first.priority}"
        case [first, *_]:
            return f"{first.name!r} is first by name at priority {first.priority}"
        case _:
            return "no selector matches"


def belongs(record: UpstreamRecord, group: Group) -> bool:
    """Returns whether an upstream belongs to a group."""
    return group.match.items() <= record.labels.items()


def create_route(
    selector: Selector, groups: dict[str, Group]
) -> Result[Route, Refusal]:
    """Returns where a selector leads."""
    found = tuple(groups[name] for name in selector.groups if name in groups)
    if not found:
        return Err(
            Refusal(
                code="no_group",
                message=f"selector {selector.name!r} names no existing group",
                run_state=RunState.NOT_RUN,
                step="selectors.resolve",
            )
        )
    return Ok(Route(selector=selector.name, index=found[0].index, groups=found))


def refuse_unmatched(traffic: Traffic) -> Refusal:
    """Returns the refusal of traffic that no selector matches."""
    return Refusal(
        code="no_route",
        message=f"no selector matches caller {traffic.caller!r}, "
        f"service {traffic.service!r}, rank {traffic.rank.value!r}",
        run_state=RunState.NOT_RUN,
        step="selectors.resolve",
    )


def list_keys(selector: Selector) -> list[tuple]:
    """Returns the buckets in which a selector is found; None stands for any."""
    services: Sequence[str | None] = sorted(set(selector.services)) or [None]
    callers: Sequence[str | None] = sorted(set(selector.callers)) or [None]
    if len(services) * len(callers) > ENTRIES_PER_SELECTOR:
        if len(services) <= len(callers):
            callers = [None]
        else:
            services = [None]
    label = min(selector.labels.items(), default=None)
    return [(service, caller, label) for service in services for caller in callers]


def list_lookups(traffic: Traffic) -> Iterable[tuple]:
    """Returns the buckets that may hold a selector that matches some traffic."""
    for label in (None, *traffic.labels.items()):
        yield (traffic.service, traffic.caller, label)
        yield (traffic.service, None, label)
        yield (None, traffic.caller, label)
        yield (None, None, label)
