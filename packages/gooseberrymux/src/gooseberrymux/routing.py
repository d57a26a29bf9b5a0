"""Choice of a replica for a sub-request."""

from collections.abc import Collection, Sequence

from gooseberrymux.ownership import score_member
from gooseberrymux.records import UpstreamRecord


def choose_replica(
    *,
    replicas: Sequence[UpstreamRecord],
    tried: Collection[str],
    in_flight: dict[str, int],
    request_id: str,
) -> UpstreamRecord | None:
    """Returns the replica for the next attempt, or None if all were tried.

    Args:
        replicas: Live upstreams of the shard's service.
        tried: Names of those that this shard was already sent to.
        in_flight: Sub-requests of this entry in flight, by upstream.
        request_id: Breaks ties differently for each request.
    """
    fresh = [replica for replica in replicas if replica.name not in tried]
    if not fresh:
        return None
    return min(
        fresh,
        key=lambda replica: (
            in_flight.get(replica.name, 0),
            score_member(key=request_id, member=replica.name),
        ),
    )
