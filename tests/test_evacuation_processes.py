"""Evacuations while the store is silent to most instances, which are processes."""

import http.client
import json
import time

import pytest

from gooseberrystand.server import HOST
from soak.cluster import FETCH, LOOKUP, Cluster
from soak.instances import CONFIG_APPLY_MS
from test_silent_store_processes import (
    ABLE_RANKS,
    INSTANCES,
    SETTLED_S,
    rank_entries,
    restore_store,
    silence_store,
)

# All upstreams of the cluster are in this failure domain.
DOMAIN = "zone-a"
# Writing a log line takes an instance up to this long.
LOG_DELAY_S = 0.3


@pytest.fixture
def cluster(tmp_path):
    created = Cluster(
        seed=1,
        folder=tmp_path,
        instances=INSTANCES,
        callers=0,
        shards=1,
        replicas=1,
        bounds={"evacuateMs": CONFIG_APPLY_MS},
    )
    try:
        created.start()
        yield created
    finally:
        created.stop()


def read_evacuated(entry):
    """Returns the domains whose evacuation an instance has put in force last."""
    domains = []
    for line in entry.log_path.read_text().splitlines():
        if "evacuations.changed" in line:
            domains = json.loads(line)["in_force"]
    return domains


def wait_for_domains(cluster, domains):
    """Waits until the evacuations are in force everywhere; returns who lacks them."""
    due_at = time.monotonic() + CONFIG_APPLY_MS / 1_000 + LOG_DELAY_S
    missing = list(cluster.entries)
    while missing and time.monotonic() < due_at:
        missing = [entry for entry in missing if read_evacuated(entry) != domains]
        time.sleep(0.05)
    return [entry.name for entry in missing]


def request(entry, path):
    """Returns the status with which an instance answers a request."""
    connection = http.client.HTTPConnection(HOST, entry.caller_port, timeout=2)
    try:
        headers = {"Host": "soak.example", "X-Request-Id": f"{entry.name}{path}"}
        connection.request("GET", f"{path}x", headers=headers)
        return connection.getresponse().status
    finally:
        connection.close()


# Guards against an instance that sends into an evacuated domain after the time that is
# promised, as the store turned it away or did not answer it.
@pytest.mark.processes
def test_an_evacuation_is_in_force_in_time_while_the_store_is_silent_to_most(cluster):
    time.sleep(SETTLED_S)
    ranked = rank_entries(cluster.entries)
    assert {request(entry, FETCH) for entry in ranked} == {200}
    for able_ranks in ABLE_RANKS:
        for rank, entry in enumerate(ranked):
            if rank not in able_ranks:
                silence_store(entry)
        cluster.store.write("evacuations", DOMAIN, {})
        lacking = wait_for_domains(cluster, [DOMAIN])
        assert not lacking, f"{lacking} lack the evacuation: {able_ranks}"
        found = {request(entry, path) for entry in ranked for path in (FETCH, LOOKUP)}
        assert found == {503}
        cluster.store.remove("evacuations", DOMAIN)
        lacking = wait_for_domains(cluster, [])
        assert not lacking, f"{lacking} still evacuate: {able_ranks}"
        assert {request(entry, FETCH) for entry in ranked} == {200}
        for entry in cluster.entries:
            restore_store(entry)
        time.sleep(SETTLED_S)


# Guards against the same while the store refuses some of the instances.
@pytest.mark.processes
def test_an_evacuation_is_in_force_in_time_while_the_store_turns_most_away(cluster):
    time.sleep(SETTLED_S)
    for entry in rank_entries(cluster.entries)[:-1]:
        entry.store_proxy.refuses_connections = True
        entry.store_proxy.reset()
    cluster.store.write("evacuations", DOMAIN, {})
    lacking = wait_for_domains(cluster, [DOMAIN])
    assert not lacking, f"{lacking} lack the evacuation"
