"""Requests whose owner is killed or frozen, with instances as processes."""

import collections
import contextlib
import dataclasses
import threading

import pytest

from gooseberrystand.server import HOST
from harness import wait_until
from http_scripted import HttpCaller
from soak.cluster import FETCH, Cluster
from soak.upstreams import Misbehaviour

# The attempts of the cluster's routes.
ATTEMPTS = 2
USUAL_REQUESTS = 40
SLOW_REQUESTS = 5
# Work of 0.6 s: far longer than usual, so that each request gets a hedge.
SLOWNESS = 100.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KillOwner:
    """The owner's process is killed, and started again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FreezeOwner:
    """The owner's process is frozen, and resumes after others have taken over."""


OwnerFault = KillOwner | FreezeOwner


@pytest.fixture
def cluster(tmp_path):
    created = Cluster(
        seed=1, folder=tmp_path, instances=3, callers=0, shards=3, replicas=10
    )
    try:
        created.start()
        yield created
    finally:
        created.stop()


def send(entry, request_id):
    headers = {"host": "soak.example", "x-request-id": request_id}
    caller = HttpCaller((HOST, entry.caller_port))
    with contextlib.suppress(OSError):
        caller.get(f"{FETCH}x", x_deadline_ms="1500", **headers)
    caller.close()


def list_upstreams_by_request(cluster):
    """Returns the names of the upstreams that ran each request, by request id."""
    ran_on = collections.defaultdict(set)
    for request in cluster.record.upstream_requests:
        if request.is_executed:
            ran_on[request.request_id].add(request.upstream)
    return ran_on


def find_owner(cluster):
    """Returns the instance that sends the requests of the single service."""
    (owner,) = [
        entry
        for entry in cluster.entries
        if '"pool.hedge"' in entry.log_path.read_text()
    ]
    return owner


def inject(fault, owner):
    match fault:
        case KillOwner():
            owner.kill(restart_delay_ms=500.0)
        case FreezeOwner():
            owner.child.freeze()


def end_fault(fault, owner):
    match fault:
        case KillOwner():
            pass
        case FreezeOwner():
            owner.child.thaw()


@pytest.mark.processes
@pytest.mark.parametrize("fault", [KillOwner(), FreezeOwner()], ids=repr)
def test_requests_of_a_lost_owner_run_on_no_more_upstreams_than_allowed(cluster, fault):
    # Guards against a third send by the next owner, or by a frozen one that resumes.
    for number in range(USUAL_REQUESTS):
        send(cluster.entries[number % 3], f"usual-{number}")
    for upstream in cluster.upstreams.values():
        if upstream.service == cluster.single_service:
            upstream.faults = Misbehaviour(slowness=SLOWNESS)
    send(cluster.entries[0], "slow-first")
    owner = find_owner(cluster)
    others = [entry for entry in cluster.entries if entry is not owner]
    threads = [
        threading.Thread(target=send, args=(others[number % 2], f"slow-{number}"))
        for number in range(SLOW_REQUESTS)
    ]
    for thread in threads:
        thread.start()

    def count_hedged():
        return sum(
            len(names) > 1 for names in list_upstreams_by_request(cluster).values()
        )

    wait_until(lambda: count_hedged() > 2, message="no hedges")
    inject(fault, owner)
    for thread in threads:
        thread.join()
    end_fault(fault, owner)
    wait_until(lambda: owner.is_ready, message="the owner is not back")
    ran_on = list_upstreams_by_request(cluster)
    assert {name: run for name, run in ran_on.items() if len(run) > ATTEMPTS} == {}
