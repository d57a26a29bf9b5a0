"""Rendezvous hashing of upstreams, claim ranges and watchers over live instances."""

import hashlib
from collections.abc import Collection, Sequence

from gooseberrymux.records import InstanceRecord, UpstreamRecord

SCORE_BYTES = 8
SCORE_MAX = 1 << (8 * SCORE_BYTES)


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
        key=lambda member: (score_member(key=key, member=member.name), member.name),
        reverse=True,
    )
    return tuple(ordered[:count])


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
