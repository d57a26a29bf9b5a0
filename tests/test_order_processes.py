"""Orders through real processes that are killed, frozen and cut off."""

import contextlib
import threading

import pytest
import uuid6

from gooseberrymux.clock import Clock
from gooseberrymux.keys import pick_range
from gooseberrymux.ownership import find_owner, rank_members
from gooseberrymux.records import InstanceRecord, UpstreamRecord
from gooseberrymux.settings import OrderSettings
from gooseberrystand.fleet import Fleet, run_fleet
from gooseberrystand.shapes import GroupShape

STEPS, STEP_MS = 400, 20
SHAPES = (GroupShape(name="order-desk", services=1),)


@contextlib.contextmanager
def run_orders(tmp_path, **behaviour):
    fleet = Fleet(folder=tmp_path, shapes=SHAPES, behaviour=behaviour)
    with run_fleet(instances=3, fleet=fleet):
        yield fleet, list(fleet.instances.values()), str(uuid6.uuid7())


def submit(fleet, instance, key, **fields):
    body = {"service": "order-desk", "rank": "urgent", "order": {"item": "blanket"}}
    return fleet.send_order(instance, key=key, **{**body, **fields})


def find(fleet, instance, key):
    return fleet.send(instance, f"/v1/order/{key}", method="GET")


class OrderThread(threading.Thread):
    """Submits an order and keeps the reply."""

    def __init__(self, fleet, instance, key, fields):
        super().__init__()
        self.replies = []
        self._submit = lambda: submit(fleet, instance, key, **fields)

    def run(self):
        self.replies.append(self._submit())


def start_order(fleet, instance, key, **fields):
    thread = OrderThread(fleet, instance, key, fields)
    thread.start()
    return thread


def wait_until(holds):
    for _ in range(STEPS):
        if holds():
            return
        Clock().sleep_ms(STEP_MS)
    raise AssertionError("did not come to hold")


def allow_lookup(fleet):
    value = fleet.read_object("configuration/current")["value"]
    groups = [{**group, "outcome_lookup": True} for group in value["groups"]]
    changed = {**value, "generation": value["generation"] + 1, "groups": groups}
    assert fleet.write_object("configuration/current", changed).status == 200


def list_members(fleet):
    return [InstanceRecord(**entry.record) for entry in fleet.instances.values()]


def find_upstream_owner(fleet, name):
    upstream = UpstreamRecord(**fleet.upstreams[name].record)
    return find_owner(upstream=upstream, members=list_members(fleet)).name


def find_range_owner(fleet, key):
    name = pick_range(key, OrderSettings().ranges)
    return fleet.instances[
        rank_members(key=name, members=list_members(fleet), count=1)[0].name
    ]


@pytest.mark.processes
def test_one_key_through_two_instances_runs_once(tmp_path):
    """Guards against two entries that each run an order submitted to both."""
    with run_orders(tmp_path, service_ms=100.0) as (fleet, entries, key):
        threads = [start_order(fleet, entry, key) for entry in entries]
        for thread in threads:
            thread.join()
        replies = [thread.replies[0] for thread in threads]
        # An entry that asks after the record gets the reply, one before it unknown.
        assert {reply.status for reply in replies} <= {200, 202}
        completed = [reply.body for reply in replies if reply.status == 200]
        assert completed == completed[:1] * max(1, len(completed))
        assert fleet.count_runs(key) == 1
        again = submit(fleet, entries[0], key)
        assert again.status == 200
        assert again.body["reply"]["order_id"].endswith(key)
        assert find(fleet, entries[1], key).body == again.body
        other = submit(fleet, entries[2], key, order={"item": "other"})
        assert (other.status, other.body["error"]["code"]) == (422, "key_reused")
        assert fleet.count_runs(key) == 1


@pytest.mark.processes
def test_lost_reply_of_a_claim_is_read_back(tmp_path):
    """Guards against a refusal, or a second claim, after a claim that was written."""
    with run_orders(tmp_path) as (fleet, entries, key):
        # The range's owner, because another entry would commit again by itself.
        owner = find_range_owner(fleet, key)
        fleet.set_faults(lose_write_replies=1)
        assert submit(fleet, owner, key).status == 200
        assert submit(fleet, entries[1], key).status == 200
        assert fleet.count_runs(key) == 1


@pytest.mark.processes
def test_killed_entry_leaves_unknown_until_the_upstream_tells(tmp_path):
    """Guards against a resubmission that runs an order of a dead entry again."""
    with run_orders(tmp_path, service_ms=300.0) as (fleet, entries, key):
        thread = start_order(fleet, entries[0], key)
        wait_until(lambda: fleet.count_runs(key) == 1)
        fleet.kill(entries[0].name)
        thread.join()
        assert submit(fleet, entries[1], key).status == 202
        assert find(fleet, entries[2], key).status == 202
        allow_lookup(fleet)
        wait_until(lambda: find(fleet, entries[1], key).status == 200)
        assert submit(fleet, entries[2], key).status == 200
        assert fleet.count_runs(key) == 1


@pytest.mark.processes
def test_frozen_entry_does_not_dispatch_after_its_deadline(tmp_path):
    """Guards against an order that is sent when its paused entry wakes up late."""
    with run_orders(tmp_path) as (fleet, entries, key):
        # The claim is committed by a read and a write; the freeze comes between.
        reads = fleet.read_call_counts()["read"]
        fleet.set_faults(slow_ms=400.0)
        thread = start_order(fleet, entries[0], key, deadline_ms=1_000)
        wait_until(lambda: fleet.read_call_counts()["read"] > reads)
        fleet.freeze(entries[0].name)
        fleet.clock.sleep_ms(1_100)
        fleet.set_faults(slow_ms=0.0)
        assert submit(fleet, entries[1], key).status in (200, 202)
        fleet.thaw(entries[0].name)
        thread.join()
        assert thread.replies[0].body["error"]["run_state"] == "not_run"
        wait_until(lambda: submit(fleet, entries[1], key).status == 200)
        assert fleet.count_runs(key) == 1


@pytest.mark.processes
def test_platform_outage_refuses_claims_and_keeps_outcomes(tmp_path):
    """Guards against orders without a claim, and outcomes lost in an outage."""
    with run_orders(tmp_path, service_ms=300.0) as (fleet, entries, key):
        early = start_order(fleet, entries[0], key)
        wait_until(lambda: fleet.count_runs(key) == 1)
        fleet.set_faults(outage=True)
        early.join()
        assert early.replies[0].status == 200
        late_key = str(uuid6.uuid7())
        refused = submit(fleet, entries[1], late_key)
        assert refused.status == 503
        assert refused.body["error"]["run_state"] == "not_run"
        assert find(fleet, entries[1], late_key).status == 503
        assert find(fleet, entries[0], key).status == 200
        fleet.set_faults(outage=False)
        wait_until(lambda: find(fleet, entries[1], key).status == 200)
        wait_until(lambda: submit(fleet, entries[1], late_key).status == 200)
        assert (fleet.count_runs(key), fleet.count_runs(late_key)) == (1, 1)


@pytest.mark.processes
def test_killed_owner_leaves_the_order_unknown(tmp_path):
    """Guards against a second dispatch after the link to the owner was lost."""
    with run_orders(tmp_path, service_ms=300.0) as (fleet, entries, key):
        owners = {find_upstream_owner(fleet, name) for name in fleet.upstreams}
        entry = next(entry for entry in entries if entry.name not in owners)
        thread = start_order(fleet, entry, key, deadline_ms=2_000)
        wait_until(lambda: fleet.count_runs(key) == 1)
        # The other replica's owner lives, so a second dispatch would run the order.
        runs_it = next(
            name
            for name, stats in fleet.read_all_stats().items()
            if key in stats["order_runs"]
        )
        fleet.kill(find_upstream_owner(fleet, runs_it))
        thread.join()
        assert thread.replies[0].status == 202
        allow_lookup(fleet)
        wait_until(lambda: find(fleet, entry, key).status == 200)
        assert fleet.count_runs(key) == 1
