"""Total resolution of traffic to groups."""

import dataclasses

from result import Err, Ok, Result

from gooseberrymux.configuration import Configuration, Group, Selector
from gooseberrymux.records import Refusal, RunState, Traffic


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
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


def resolve(
    *, configuration: Configuration, traffic: Traffic
) -> Result[Route, Refusal]:
    """Returns the groups that traffic may reach.

    The matching selector with the highest priority wins; of two with the same
    priority, which the checks refuse, the first by name.
    """
    matching = [
        selector
        for selector in configuration.selectors
        if matches(selector=selector, traffic=traffic)
    ]
    if not matching:
        return Err(
            Refusal(
                code="no_route",
                message=f"no selector matches caller {traffic.caller!r}, "
                f"service {traffic.service!r}, rank {traffic.rank.value!r}",
                run_state=RunState.NOT_RUN,
                step="selectors.resolve",
            )
        )
    best = min(matching, key=lambda selector: (-selector.priority, selector.name))
    by_name = {group.name: group for group in configuration.groups}
    groups = tuple(by_name[name] for name in best.groups if name in by_name)
    if not groups:
        return Err(
            Refusal(
                code="no_group",
                message=f"selector {best.name!r} names no existing group",
                run_state=RunState.NOT_RUN,
                step="selectors.resolve",
            )
        )
    return Ok(Route(selector=best.name, index=groups[0].index, groups=groups))


def matches(*, selector: Selector, traffic: Traffic) -> bool:
    """Returns whether a selector matches some traffic."""
    return (
        (not selector.callers or traffic.caller in selector.callers)
        and (not selector.services or traffic.service in selector.services)
        and (not selector.ranks or traffic.rank in selector.ranks)
        and selector.labels.items() <= traffic.labels.items()
    )
