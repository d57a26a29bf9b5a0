"""Resolution of traffic to groups of upstreams by selectors, and its explanation.

The resolution is total: all traffic gets either a route or a refusal.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from result import Err, Ok, Result

from gooseberrymux.configuration_model import Configuration, Group, Selector
from gooseberrymux.records import Refusal, RunState, Traffic, UpstreamRecord

# Pairs of service and caller under which one selector is indexed. Beyond this number
# only the shorter of the two lists is indexed and the other is compared at each lookup,
# so that a selector with many callers and many services does not fill the memory.
MAX_INDEXED_PAIRS = 64

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Route:
    """The groups that some traffic may reach.

    Attributes:
        selector: Name of the selector that decided.
        index: The index that the upstreams of all these groups serve.
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
    """An upstream in one of the groups of a route."""

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
        reason: Why the deciding selector won, or why the traffic is refused.
        route: The route; None if the traffic is refused.
        upstreams: The upstreams in the groups of the route.
    """

    generation: int
    traffic: Traffic
    matched: tuple[MatchedSelector, ...]
    reason: str
    route: Route | None
    upstreams: tuple[ReachedUpstream, ...]


class CompiledSelector:
    """A selector prepared for matching, with the result for traffic that it decides.

    Attributes:
        position: Index in the order of precedence; of the selectors that match, the
            one with the lowest position wins.
        selector: The selector.
        result: The route, or the refusal if no group of the selector exists.
    """

    __slots__ = ("position", "selector", "result", "_callers", "_services", "_labels")

    def __init__(self, *, position: int, selector: Selector, groups: dict[str, Group]):
        self.position = position
        self.selector = selector
        self.result = create_route(selector, groups)
        self._callers = frozenset(selector.callers)
        self._services = frozenset(selector.services)
        self._labels = selector.labels.items()

    def matches(self, traffic: Traffic) -> bool:
        """Returns whether the selector matches the traffic."""
        ranks = self.selector.ranks
        return (
            (not self._callers or traffic.caller in self._callers)
            and (not self._services or traffic.service in self._services)
            and (not ranks or traffic.rank in ranks)
            and self._labels <= traffic.labels.items()
        )


class RouteTable:
    """The selectors of one configuration, indexed by service, caller and a label.

    A lookup compares only the selectors whose indexed service, caller and label, as far
    as they name any, are those of the traffic. Never changed once built.
    """

    __slots__ = ("_selectors", "_buckets")

    def __init__(self, configuration: Configuration):
        groups = {group.name: group for group in configuration.groups}
        ordered = sorted(
            configuration.selectors,
            key=lambda selector: (-selector.priority, selector.name),
        )
        self._selectors = [
            CompiledSelector(position=position, selector=selector, groups=groups)
            for position, selector in enumerate(ordered)
        ]
        self._buckets: dict[tuple, list[CompiledSelector]] = {}
        for compiled in self._selectors:
            for key in list_index_keys(compiled.selector):
                self._buckets.setdefault(key, []).append(compiled)

    def resolve(self, traffic: Traffic) -> Result[Route, Refusal]:
        """Returns the route of some traffic, or its refusal; see `resolve`."""
        best: CompiledSelector | None = None
        for key in list_lookup_keys(traffic):
            for compiled in self._buckets.get(key, ()):
                if best is not None and compiled.position >= best.position:
                    break
                if compiled.matches(traffic):
                    best = compiled
                    break
        return best.result if best else Err(create_unmatched_refusal(traffic))

    def list_matching(self, traffic: Traffic) -> list[Selector]:
        """Returns all selectors that match the traffic, the deciding one first."""
        return [
            compiled.selector
            for compiled in self._selectors
            if compiled.matches(traffic)
        ]


class RouteTableCache:
    """Keeps the route table of the last configuration that was looked up.

    Used by several threads without a lock: at worst two of them build the same table.
    """

    __slots__ = ("_last",)

    def __init__(self):
        self._last: tuple[Configuration, RouteTable] | None = None

    def get(self, configuration: Configuration) -> RouteTable:
        """Returns the table of a configuration; builds it unless it is the last one."""
        last = self._last
        if last is None or last[0] is not configuration:
            last = (configuration, RouteTable(configuration))
            self._last = last
        return last[1]


_route_tables = RouteTableCache()


def resolve(
    *, configuration: Configuration, traffic: Traffic
) -> Result[Route, Refusal]:
    """Returns the groups that some traffic may reach, or the refusal of the traffic.

    The matching selector with the highest priority wins. The configuration checks
    refuse two that match the same traffic with the same priority; should that occur
    nevertheless, the first by name wins.
    """
    return _route_tables.get(configuration).resolve(traffic)


def explain(
    *,
    configuration: Configuration,
    traffic: Traffic,
    upstreams: Iterable[UpstreamRecord],
) -> Explanation:
    """Explains how some traffic is resolved, in the same way as `resolve` does it.

    Args:
        configuration: The configuration.
        traffic: The traffic.
        upstreams: All known upstreams; the explanation lists those that are reached.
    """
    table = _route_tables.get(configuration)
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
            if route and any(is_in_group(record, group) for group in route.groups)
        ),
    )


def explain_choice(matched: Sequence[Selector]) -> str:
    """Returns why the first of the matching selectors won, in a few words.

    Args:
        matched: The matching selectors, the deciding one first.
    """
    match matched:
        case [only]:
            return f"only {only.name!r} matches"
        case [first, second, *_] if first.priority > second.priority:
            return f"{first.name!r} has the highest priority, {first.priority}"
        case [first, *_]:
            return f"{first.name!r} is first by name at priority {first.priority}"
        case _:
            return "no selector matches"


def is_in_group(record: UpstreamRecord, group: Group) -> bool:
    """Returns whether an upstream has all the labels that a group requires."""
    return group.match.items() <= record.labels.items()


def create_route(
    selector: Selector, groups: dict[str, Group]
) -> Result[Route, Refusal]:
    """Returns the route to the groups of a selector.

    Names without a group are skipped; if none is left, the result is a refusal.
    """
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


def create_unmatched_refusal(traffic: Traffic) -> Refusal:
    """Returns the refusal of traffic that no selector matches."""
    return Refusal(
        code="no_route",
        message=f"no selector matches caller {traffic.caller!r}, "
        f"service {traffic.service!r}, rank {traffic.rank.value!r}",
        run_state=RunState.NOT_RUN,
        step="selectors.resolve",
    )


def list_index_keys(selector: Selector) -> list[tuple]:
    """Returns the keys (service, caller, label) under which a selector is indexed.

    None stands for any value. Of the labels only the first by name is indexed.
    """
    services: Sequence[str | None] = sorted(set(selector.services)) or [None]
    callers: Sequence[str | None] = sorted(set(selector.callers)) or [None]
    if len(services) * len(callers) > MAX_INDEXED_PAIRS:
        if len(services) <= len(callers):
            callers = [None]
        else:
            services = [None]
    label = min(selector.labels.items(), default=None)
    return [(service, caller, label) for service in services for caller in callers]


def list_lookup_keys(traffic: Traffic) -> Iterable[tuple]:
    """Yields the index keys of all selectors that could match the traffic."""
    for label in (None, *traffic.labels.items()):
        yield (traffic.service, traffic.caller, label)
        yield (traffic.service, None, label)
        yield (None, traffic.caller, label)
        yield (None, None, label)
