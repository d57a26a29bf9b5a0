"""Rendezvous hashing of upstreams, claim ranges and watchers over live instances."""

import hashlib
import math
from collections.abc import Collection, Sequence

from gooseberrymux.records import InstanceRecord, UpstreamRecord

SCORE_BYTES = 8
SCORE_MAX = 1 << (8 * SCORE_BYTES)
OWNERS_KEY = "owners"
# Members with at least this share of the strongest one's capacity are strong.
STRONG_SHARE = 0.5
# With fewer strong members the next ones own services as well.
OWNERS_NEEDED = 6


def score_member(*, key: str, member: str) -> int:
    """Returns the rendezvous score of a member for a key; the highest wins."""
    digest = hashlib.blake2b(
        f"{key}\0{member}".encode(), digest_size=SCORE_BYTES
    ).digest()
    return int.from_bytes(digest)


def rank_members(
    *, key: str, members: Sequence[InstanceRecord], count: int
) -> tuple[InstanceRecord, ...]:
    """Returns the `count` members with the highest scores for a key, best first."""
    ordered = sorted(
        members,
        key=lambda member: (weigh_member(key=key, member=member), member.name),
        reverse=True,
    )
    return tuple(ordered[:count])


def weigh_member(*, key: str, member: InstanceRecord) -> float:
    """Returns the score of a member weighted by its capacity.

    With this form each member wins in proportion to its capacity, and a change of one
    capacity moves only keys of that member.
    """
    share = (score_member(key=key, member=member.name) + 1) / (SCORE_MAX + 1)
    return member.capacity / -math.log(share)


def select_strongest(
    members: Sequence[InstanceRecord], *, most: int
) -> tuple[InstanceRecord, ...]:
    """Returns the members that own services: the strong ones, not too many.

    A request for all services costs its entry a message to each owner, and each owner
    the work on its services; weak members slow both down.

    Args:
        members: The live members.
        most: How many may own services.
    """
    strongest = max((member.capacity for member in members), default=0.0)
    strong = [m for m in members if m.capacity >= STRONG_SHARE * strongest]
    ordered = sorted(
        members,
        key=lambda member: (
            -member.capacity,
            score_member(key=OWNERS_KEY, member=member.name),
        ),
    )
    return tuple(ordered[: min(most, max(len(strong), OWNERS_NEEDED))])


def find_owner(
    *, upstream: UpstreamRecord, members: Sequence[InstanceRecord]
) -> InstanceRecord | None:
    """Returns the instance that owns an upstream's queue, or None without members."""
    best = rank_owners(upstream=upstream, members=members, count=1)
    return best[0] if best else None


def rank_owners(
    *, upstream: UpstreamRecord, members: Sequence[InstanceRecord], count: int
) -> tuple[InstanceRecord, ...]:
    """Returns the `count` best owners of an upstream's queue, the owner first.

    Members of the upstream's own failure domain go first, so that the exchange with
    the upstream stays within it; without any, all members take part.
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
    """Returns the `count` best owners of what runs in some failure domains.

    Args:
        key: What is owned.
        domains: Its failure domains; members there go first, and without any there
            all members take part.
        members: The live members.
        count: How many.
    """
    near = [member for member in members if member.failure_domain in domains]
    return rank_members(key=key, members=near or members, count=count)
