"""Orders through real processes that are killed, suspended or without the platform."""

import contextlib
import threading

import pytest
import uuid6

from gooseberrymux.clock import Clock
from gooseberrymux.keys import compute_range_name
from gooseberrymux.ownership import find_owner, rank_members
from gooseberrymux.records import InstanceRecord, UpstreamRecord
from gooseberrymux.settings import OrderSettings
from gooseberrystand.fleet import Fleet, run_fleet
from gooseberrystand.shapes import GroupShape

MAX_POLLS, POLL_INTERVAL_MS = 400, 20
GROUP_SHAPES = (GroupShape(name="order-desk", services=1),)


@contextlib.contextmanager
def run_order_fleet(tmp_path, **behaviour):
    fleet = Fleet(folder=tmp_path, shapes=GROUP_SHAPES, behaviour=behaviour)
    with run_fleet(instances=3, fleet=fleet):
        yield fleet, list(fleet.instances.values()), str(uuid6.uuid7())


def submit(fleet, instance, key, **fields):
    body = {"service": "order-desk", "rank": "urgent", "order": {"item": "blanket"}}
    return fleet.send_order(instance, key=key, **{**body, **fields})


def look_up_outcome(fleet, instance, key):
    return fleet.send(instance, f"/v1/order/{key}", method="GET")


class OrderThread(threading.Thread):
    """Submits an order and appends the reply to `replies`."""

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


def wait_until(condition):
    for _ in range(MAX_POLLS):
        if condition():
            return
        Clock().sleep_ms(POLL_INTERVAL_MS)
    raise AssertionError("the condition is still false after the last poll")


def enable_outcome_lookup(fleet):
    value = fleet.read_object("configuration/current")["value"]
    groups = [{**group, "outcome_lookup": True} for group in value["groups"]]
    new_value = {**value, "generation": value["generation"] + 1, "groups": groups}
    assert fleet.write_object("configuration/current", new_value).status == 200


def list_members(fleet):
    return [InstanceRecord(**instance.record) for instance in fleet.instances.values()]


def find_upstream_owner(fleet, name):
    upstream = UpstreamRecord(**fleet.upstreams[name].record)
    return find_owner(upstream=upstream, members=list_members(fleet)).name


def find_range_owner(fleet, key):
    name = compute_range_name(key, OrderSettings().ranges)
    return fleet.instances[
        rank_members(key=name, members=list_members(fleet), count=1)[0].name
    ]


@pytest.mark.processes
def test_one_key_through_two_instances_runs_once(tmp_path):
    """Guards against an order that runs more than once, submitted to each instance."""
    with run_order_fleet(tmp_path, service_ms=100.0) as (fleet, instances, key):
        threads = [start_order(fleet, instance, key) for instance in instances]
        for thread in threads:
            thread.join()
        replies = [thread.replies[0] for thread in threads]
        # An instance that reads the claim after the outcome was recorded answers with
        # the reply; one that reads it earlier answers that the outcome is unknown.
        assert {reply.status for reply in replies} <= {200, 202}
        completed = [reply.body for reply in replies if reply.status == 200]
        assert completed == completed[:1] * max(1, len(completed))
        assert fleet.count_runs(key) == 1
        resubmission = submit(fleet, instances[0], key)
        assert resubmission.status == 200
        assert resubmission.body["reply"]["order_id"].endswith(key)
        assert look_up_outcome(fleet, instances[1], key).body == resubmission.body
        other_order = submit(fleet, instances[2], key, order={"item": "other"})
        assert (other_order.status, other_order.body["error"]["code"]) == (
            422,
            "key_reused",
        )
        assert fleet.count_runs(key) == 1


@pytest.mark.processes
def test_lost_reply_of_a_claim_is_read_back(tmp_path):
    """Guards against a refusal or a second claim if only a write's reply is lost."""
    with run_order_fleet(tmp_path) as (fleet, instances, key):
        # Submitted to the range's owner, because any other instance would commit the
        # claim again directly if the owner's verdict is late.
        owner = find_range_owner(fleet, key)
        fleet.set_faults(lose_write_replies=1)
        assert submit(fleet, owner, key).status == 200
        assert submit(fleet, instances[1], key).status == 200
        assert fleet.count_runs(key) == 1


@pytest.mark.processes
def test_killed_entry_leaves_unknown_until_the_upstream_tells(tmp_path):
    """Guards against a resubmission that runs the order of a killed instance again."""
    with run_order_fleet(tmp_path, service_ms=300.0) as (fleet, instances, key):
        thread = start_order(fleet, instances[0], key)
        wait_until(lambda: fleet.count_runs(key) == 1)
        fleet.kill(instances[0].name)
        thread.join()
        assert submit(fleet, instances[1], key).status == 202
        assert look_up_outcome(fleet, instances[2], key).status == 202
        enable_outcome_lookup(fleet)
        wait_until(lambda: look_up_outcome(fleet, instances[1], key).status == 200)
        assert submit(fleet, instances[2], key).status == 200
        assert fleet.count_runs(key) == 1


@pytest.mark.processes
def test_frozen_entry_does_not_dispatch_after_its_deadline(tmp_path):
    """Guards against an order that is sent late by an instance that was suspended."""
    with run_order_fleet(tmp_path) as (fleet, instances, key):
        # The claim is committed by a read and a write; the instance is suspended
        # between the two.
        reads = fleet.read_calls()["read"]
        fleet.set_faults(slow_ms=400.0)
        thread = start_order(fleet, instances[0], key, deadline_ms=1_000)
        wait_until(lambda: fleet.read_calls()["read"] > reads)
        fleet.freeze(instances[0].name)
        fleet.clock.sleep_ms(1_100)
        fleet.set_faults(slow_ms=0.0)
        assert submit(fleet, instances[1], key).status in (200, 202)
        fleet.thaw(instances[0].name)
        thread.join()
        assert thread.replies[0].body["error"]["run_state"] == "not_run"
        wait_until(lambda: submit(fleet, instances[1], key).status == 200)
        assert fleet.count_runs(key) == 1


@pytest.mark.processes
def test_platform_outage_refuses_claims_and_keeps_outcomes(tmp_path):
    """Guards against orders run without a claim, and outcomes lost in an outage."""
    with run_order_fleet(tmp_path, service_ms=300.0) as (fleet, instances, key):
        first_thread = start_order(fleet, instances[0], key)
        wait_until(lambda: fleet.count_runs(key) == 1)
        fleet.set_faults(outage=True)
        first_thread.join()
        assert first_thread.replies[0].status == 200
        outage_key = str(uuid6.uuid7())
        refused = submit(fleet, instances[1], outage_key)
        assert refused.status == 503
        assert refused.body["error"]["run_state"] == "not_run"
        assert look_up_outcome(fleet, instances[1], outage_key).status == 503
        assert look_up_outcome(fleet, instances[0], key).status == 200
        fleet.set_faults(outage=False)
        wait_until(lambda: look_up_outcome(fleet, instances[1], key).status == 200)
        wait_until(lambda: submit(fleet, instances[1], outage_key).status == 200)
        assert (fleet.count_runs(key), fleet.count_runs(outage_key)) == (1, 1)


@pytest.mark.processes
def test_killed_owner_leaves_the_order_unknown(tmp_path):
    """Guards against a second dispatch after the connection to the owner was lost."""
    with run_order_fleet(tmp_path, service_ms=300.0) as (fleet, instances, key):
        owners = {find_upstream_owner(fleet, name) for name in fleet.upstreams}
        instance = next(
            instance for instance in instances if instance.name not in owners
        )
        thread = start_order(fleet, instance, key, deadline_ms=2_000)
        wait_until(lambda: fleet.count_runs(key) == 1)
        # The owner of the other replica still runs, so a second dispatch would run the
        # order again.
        running_upstream = next(
            name
            for name, stats in fleet.read_all_stats().items()
            if key in stats["order_runs"]
        )
        fleet.kill(find_upstream_owner(fleet, running_upstream))
        thread.join()
        assert thread.replies[0].status == 202
        enable_outcome_lookup(fleet)
        wait_until(lambda: look_up_outcome(fleet, instance, key).status == 200)
        assert fleet.count_runs(key) == 1
