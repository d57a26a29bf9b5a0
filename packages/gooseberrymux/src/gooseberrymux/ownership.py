"""Rendezvous hashing of services, upstreams, claim ranges and watchers to instances."""

import hashlib
import math
from collections.abc import Collection, Sequence

from gooseberrymux.records import InstanceRecord, UpstreamRecord

SCORE_BYTES = 8
# All scores are below this.
SCORE_MAX = 1 << (8 * SCORE_BYTES)
# Orders members of equal capacity, the same at each instance.
TIE_BREAK_KEY = "owners"
# Members with at least this share of the highest capacity among members are strong.
STRONG_CAPACITY_SHARE = 0.5
# If fewer members are strong, the next ones by capacity own services too.
MIN_OWNERS = 6


def score_member(*, key: str, member: str) -> int:
    """Returns the rendezvous score of a member for a key; the highest score wins."""
    digest = hashlib.blake2b(
        f"{key}\0{member}".encode(), digest_size=SCORE_BYTES
    ).digest()
    return int.from_bytes(digest)


def rank_members(
    *, key: str, members: Sequence[InstanceRecord], count: int
) -> tuple[InstanceRecord, ...]:
    """Returns the `count` members with the highest weighted scores, best first."""
    ordered = sorted(
        members,
        key=lambda member: (
            compute_weighted_score(key=key, member=member),
            member.name,
        ),
        reverse=True,
    )
    return tuple(ordered[:count])


def compute_weighted_score(*, key: str, member: InstanceRecord) -> float:
    """Returns the rendezvous score of a member, weighted by its capacity.

    With the weight `capacity / -log(score)`, the score scaled to between 0 and 1, each
    member wins keys in proportion to its capacity, and if one capacity changes, keys
    move only to or from that member.
    """
    unit_score = (score_member(key=key, member=member.name) + 1) / (SCORE_MAX + 1)
    return member.capacity / -math.log(unit_score)


def select_eligible_owners(
    members: Sequence[InstanceRecord], *, max_owners: int
) -> tuple[InstanceRecord, ...]:
    """Returns the members that may own services: the strong ones, up to a limit.

    A request for all services costs the instance that received it a message to each
    owner, so fewer owners cost less. Each owner works on the services that it owns, so
    weak owners slow the request down.

    Args:
        members: The live members.
        max_owners: How many may own services.
    """
    highest_capacity = max((member.capacity for member in members), default=0.0)
    strong_members = [
        m for m in members if m.capacity >= STRONG_CAPACITY_SHARE * highest_capacity
    ]
    ordered = sorted(
        members,
        key=lambda member: (
            -member.capacity,
            score_member(key=TIE_BREAK_KEY, member=member.name),
        ),
    )
    return tuple(ordered[: min(max_owners, max(len(strong_members), MIN_OWNERS))])


def find_owner(
    *, upstream: UpstreamRecord, members: Sequence[InstanceRecord]
) -> InstanceRecord | None:
    """Returns the member that owns an upstream's queue; None without members."""
    best = rank_owners(upstream=upstream, members=members, count=1)
    return best[0] if best else None


def rank_owners(
    *, upstream: UpstreamRecord, members: Sequence[InstanceRecord], count: int
) -> tuple[InstanceRecord, ...]:
    """Returns the owner of an upstream's queue, then those next in line.

    Only members in the upstream's failure domain are considered, so that the exchange
    with the upstream stays within it. If it has no members, all are considered.
    """
    return rank_service_owners(
        key=upstream.name,
        domains={upstream.failure_domain},
        members=members,
        count=count,
    )


def rank_service_owners(
    *,
    key: str,
    domains: Collection[str],
    members: Sequence[InstanceRecord],
    count: int,
) -> tuple[InstanceRecord, ...]:
    """Returns the owner of a service or an upstream, then those next in line.

    Args:
        key: Name of the service or upstream.
        domains: Failure domains that it runs in. Only members in them are considered;
            if they have no members, all are.
        members: The live members.
        count: How many members to return at most.
    """
    local_members = [member for member in members if member.failure_domain in domains]
    return rank_members(key=key, members=local_members or members, count=count)
