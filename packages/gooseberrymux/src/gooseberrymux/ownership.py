"""Rendezvous hashing of upstreams, claim ranges and watchers over live instances."""

import hashlib
from collections.abc import Sequence

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
    near = [
        member for member in members if member.failure_domain == upstream.failure_domain
    ]
    return rank_members(key=upstream.name, members=near or members, count=count)
