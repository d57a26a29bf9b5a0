"""A workspace above its quota whose quota owner is killed, with real processes."""

import contextlib
import threading

import pytest

from gooseberrymux.ownership import rank_members
from gooseberrymux.quota_members import KEY_PREFIX
from gooseberrymux.records import InstanceRecord
from gooseberrystand.server import HOST
from harness import wait_until
from http_scripted import HttpCaller
from soak.cluster import FETCH, Cluster
from soak.upstreams import now_ms

RATE, BURST = 8.0, 8.0
# API keys by kind of load; only the workspace of the first has a quota.
KEYS = {"quota": "key-of-w", "ordinary": "key-of-unlimited"}
# The bound that the platform checks in each window of 5 s.
WINDOW_MS = 5_000.0
BOUND = (RATE * 5 + BURST) * 1.1 + 20
PAUSE_S = 0.03


@pytest.fixture
def cluster(tmp_path):
    created = Cluster(
        seed=1, folder=tmp_path, instances=3, callers=0, shards=3, replicas=6
    )
    created.tenants = [
        {"name": "w", "apiKeys": [KEYS["quota"]], "ratePerS": RATE, "burst": BURST},
        {"name": "unlimited", "apiKeys": [KEYS["ordinary"]]},
    ]
    try:
        created.start()
        yield created
    finally:
        created.stop()


class Load:
    """Callers at all instances: those of one workspace, and ordinary ones."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.stopped = threading.Event()
        self.answers = []
        self.threads = [
            threading.Thread(target=self.run, args=(entry, kind), daemon=True)
            for entry in cluster.entries
            for kind in ("quota", "ordinary")
        ]
        for thread in self.threads:
            thread.start()

    def run(self, entry, kind):
        headers = {"x-key": KEYS[kind], "x-request-id": ""}
        number = 0
        while not self.stopped.wait(PAUSE_S):
            number += 1
            headers["x-request-id"] = f"{kind}-{entry.name}-{number}"
            with contextlib.suppress(OSError):
                caller = HttpCaller((HOST, entry.caller_port))
                status, fields, _ = caller.get(
                    f"{FETCH}x", host="soak.example", **headers
                )
                caller.close()
                self.answers.append((now_ms(), entry.name, kind, status, fields))

    def count(self, kind, *, status, since_ms=0.0):
        return sum(
            answer[0] >= since_ms and answer[2:4] == (kind, status)
            for answer in list(self.answers)
        )

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def list_run_ms(cluster):
    """Returns when each request of the workspace first ran at an upstream."""
    first_ms = {}
    for request in list(cluster.record.upstream_requests):
        if request.is_executed and request.request_id.startswith("quota-"):
            first_ms.setdefault(request.request_id, request.at_ms)
    return sorted(first_ms.values())


def find_owner(cluster):
    members = [
        InstanceRecord(name=entry.name, host=HOST, peer_port=1, failure_domain="z")
        for entry in cluster.entries
    ]
    (owner,) = rank_members(key=f"{KEY_PREFIX}w", members=members, count=1)
    return next(entry for entry in cluster.entries if entry.name == owner.name)


@pytest.mark.processes
def test_the_sum_stays_bounded_when_the_quota_owner_is_killed(cluster):
    """Guards against a new owner that grants a second burst, or nothing any more."""
    load = Load(cluster)
    try:
        wait_until(lambda: load.count("quota", status=200) > 20, message="no load")
        killed_ms = now_ms()
        find_owner(cluster).kill(restart_delay_ms=500.0)
        wait_until(
            lambda: load.count("quota", status=200, since_ms=killed_ms + 1_000) > 8,
            message="the workspace is not served by the next owner",
        )
    finally:
        load.stop()
    run_ms = list_run_ms(cluster)
    in_windows = [
        sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in run_ms)
        for end_ms in run_ms
    ]
    assert max(in_windows) <= BOUND
    assert load.count("quota", status=429) > 20
    ordinary = load.count("ordinary", status=200, since_ms=killed_ms)
    failed = sum(
        kind == "ordinary" and status != 200 for _, _, kind, status, _ in load.answers
    )
    assert failed < 0.05 * ordinary
