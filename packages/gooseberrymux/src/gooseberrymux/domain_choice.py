"""Choice between free upstreams in the home domain and in remote ones; their loads.

The home domain is the failure domain of the owner. Free of I/O. Not thread-safe: the
pool holds its lock around each call.
"""

from collections.abc import Iterable

from gooseberrymux.replicas import SLOW_FACTOR, Replica
from gooseberrymux.spillover import (
    CLEAR_DIFFERENCE,
    REMOTE_DOMAIN_COST,
    DomainLoad,
    Spillover,
)

# Cost of an exchange in medians, and the upstream with a free slot that it is for.
Option = tuple[float, Replica]


def choose_free(
    free: list[Option], *, spillover: Spillover, home: str, is_kept: bool
) -> Replica | None:
    """Returns the cheapest free upstream that spillover allows, None to wait.

    Args:
        free: Healthy upstreams with a free slot, at least one, and their costs.
        spillover: Decides which requests may leave the home domain.
        home: The home domain.
        is_kept: Whether the request may wait for an upstream at home.
    """
    if not spillover.is_adaptive:
        return min(free, key=get_cost)[1]
    at_home = [option for option in free if option[1].record.failure_domain == home]
    with_room = [
        option
        for option in free
        if not spillover.is_short(option[1].record.failure_domain)
    ]
    if not is_kept:
        # A free slot in a domain that is short is better than being late.
        allowed = with_room or free
    elif spillover.may_leave or (at_home and is_clearly_better(with_room, at_home)):
        allowed = with_room
    else:
        allowed = at_home
    return min(allowed, key=get_cost)[1] if allowed else None


def measure_domains(
    replicas: Iterable[Replica], limit: int, now_ms: float
) -> dict[str, DomainLoad]:
    """Returns the load of each failure domain, by its name.

    Args:
        replicas: The usable upstreams of a service.
        limit: Connections that each of them accepts.
        now_ms: Monotonic time in milliseconds.
    """
    by_domain: dict[str, list[Replica]] = {}
    for replica in replicas:
        by_domain.setdefault(replica.record.failure_domain, []).append(replica)
    return {
        domain: measure_load(members, limit, now_ms)
        for domain, members in by_domain.items()
    }


def get_cost(option: Option) -> float:
    """Returns the cost of an option."""
    return option[0]


def is_clearly_better(options: list[Option], home: list[Option]) -> bool:
    """Returns whether the best option beats those at home whatever the share is.

    Args:
        options: All options, those at home among them.
        home: The options at home, at least one.
    """
    best, best_at_home = min(options, key=get_cost), min(home, key=get_cost)
    # The cost of a remote upstream contains that of crossing, at least 0.5.
    return best[0] + CLEAR_DIFFERENCE - REMOTE_DOMAIN_COST < best_at_home[0]


def measure_load(replicas: list[Replica], limit: int, now_ms: float) -> DomainLoad:
    """Returns the load of a failure domain's usable upstreams.

    Args:
        replicas: The upstreams, at least one.
        limit: Connections that each of them accepts.
        now_ms: Monotonic time in milliseconds.
    """
    slots, busy = 0, 0.0
    best = best_unfit = float("inf")
    for replica in replicas:
        slowness = replica.get_slowness(now_ms)
        duration = replica.estimate_duration(slowness)
        if slowness > SLOW_FACTOR or replica.is_stalled(now_ms):
            best_unfit = min(best_unfit, duration)
        else:
            own_slots = min(replica.record.slots, limit)
            slots += own_slots
            occupants = replica.count_occupants(now_ms)
            # A slot that a rate limit forbids to use is as good as busy.
            is_limited = replica.limits.get_rate_wait_ms(now_ms) > 0.0
            busy += max(occupants, own_slots) if is_limited else occupants
            best = min(best, duration)
    return DomainLoad(slots=slots, busy=busy, duration=best if slots else best_unfit)
