"""Evacuations while the store is silent to most instances, which are processes."""

import json
import time

import pytest

from soak.cluster import Cluster
from soak.instances import CONFIG_APPLY_MS
from test_silent_store_processes import (
    ABLE_RANKS,
    INSTANCES,
    SETTLED_S,
    rank_entries,
    restore_store,
    silence_store,
)

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
    lines = entry.log_path.read_text().splitlines()
    changes = [line for line in lines if "evacuations.changed" in line]
    return json.loads(changes[-1])["in_force"] if changes else []


def list_missing(cluster, domains):
    """Returns which instances don't have the evacuations in force in time."""
    due_at = time.monotonic() + CONFIG_APPLY_MS / 1_000 + LOG_DELAY_S
    missing = list(cluster.entries)
    while missing and time.monotonic() < due_at:
        missing = [entry for entry in missing if read_evacuated(entry) != domains]
        time.sleep(0.05)
    return [entry.name for entry in missing]


# Guards against an instance that sends into an evacuated domain after the time that is
# promised, as the store was silent to it or turned it away.
@pytest.mark.processes
@pytest.mark.parametrize("refuses", [False, True])
def test_an_evacuation_is_in_force_in_time_without_the_store(cluster, refuses):
    time.sleep(SETTLED_S)
    ranked = rank_entries(cluster.entries)
    for able_ranks in ABLE_RANKS:
        for rank, entry in enumerate(ranked):
            if rank not in able_ranks:
                silence_store(entry)
                entry.store_proxy.refuses_connections = refuses
        cluster.store.write("evacuations", "zone-a", {})
        assert list_missing(cluster, ["zone-a"]) == [], able_ranks
        cluster.store.remove("evacuations", "zone-a")
        assert list_missing(cluster, []) == [], able_ranks
        for entry in cluster.entries:
            entry.store_proxy.refuses_connections = False
            restore_store(entry)
        time.sleep(SETTLED_S)
