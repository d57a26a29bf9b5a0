"""Configuration and control calls of real instances during platform faults."""

import threading

import pytest

from gooseberrystand.fleet import OPERATOR_TOKEN, Fleet, GroupShape, run_fleet

SHAPES = (GroupShape(name="order-desk", services=1, servers=2),)
WAIT_TIMEOUT_MS = 8_000
POLL_INTERVAL_MS = 30
# Before a change, so that the state before it has a time of its own.
RESTORE_MARGIN_MS = 1_000


def call_administration(fleet, name, method, path, body=None):
    return fleet.client.call(
        method,
        fleet.instances[name].administration_url + path,
        body,
        headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
    )


def propose_change(fleet, name, change_id, group, *, base=1):
    value = {"index": "order-desk", "match": {}, "labels": {"by": change_id}}
    edit = {"action": "put", "kind": "group", "name": group, "value": value}
    body = {"base_generation": base, "change_id": change_id, "edits": [edit]}
    return call_administration(fleet, name, "POST", "/v1/configuration/changes", body)


def wait_until(fleet, is_satisfied):
    """Polls until the condition holds; fails after `WAIT_TIMEOUT_MS`."""
    deadline_ms = fleet.clock.now_ms() + WAIT_TIMEOUT_MS
    while not is_satisfied():
        assert fleet.clock.now_ms() < deadline_ms, "the state was not reached"
        fleet.clock.sleep_ms(POLL_INTERVAL_MS)


def wait_for_generation(fleet, names, generation):
    wait_until(
        fleet,
        lambda: all(
            call_administration(fleet, name, "GET", "/v1/configuration").body.get(
                "generation"
            )
            == generation
            for name in names
        ),
    )


def read_labels(fleet, name):
    shown = call_administration(fleet, name, "GET", "/v1/configuration").body
    return {group["name"]: group["labels"].get("by") for group in shown["groups"]}


# Guards against an accepted change that only the memory of the instances holds after
# the platform went back to a state before it.
@pytest.mark.processes
def test_change_accepted_before_a_restore_of_the_platform_is_written_again(tmp_path):
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)
    with run_fleet(instances=3, fleet=fleet):
        fleet.clock.sleep_ms(RESTORE_MARGIN_MS)
        changed_ms = fleet.clock.now_ms()
        accepted = propose_change(fleet, "entry-0", "kept", "kept")
        assert accepted.status == 200, accepted.body
        generation = accepted.body["generation"]
        wait_for_generation(fleet, fleet.instances, generation)
        age_ms = fleet.clock.now_ms() - changed_ms + RESTORE_MARGIN_MS / 2
        assert fleet.restore_platform(age_ms=age_ms) == {"era": 1}
        wait_until(
            fleet,
            lambda: (
                fleet.read_object("configuration/current")["value"].get("generation")
                == generation
            ),
        )
        wait_for_generation(fleet, fleet.instances, generation)


@pytest.mark.processes
def test_change_accepted_before_an_outage_is_in_force_and_outlives_the_platform(
    tmp_path,
):
    """Guards against an accepted change that depends on the platform afterwards.

    The platform is killed right after it accepted the change, and restarts without the
    change, as after a loss of data. The instances must apply the change during the
    outage and must not revert it after the restart.
    """
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)
    with run_fleet(instances=4, fleet=fleet):
        assert propose_change(fleet, "entry-0", "one", "a").status == 200
        fleet.kill("platform")
        names = list(fleet.instances)
        wait_for_generation(fleet, names, 2)
        refused = propose_change(fleet, "entry-1", "two", "b", base=2)
        assert refused.status == 503
        assert refused.body["error"]["run_state"] == "not_run"
        fleet.restart("platform")
        assert fleet.read_object("configuration/current")["value"]["generation"] == 1
        assert (
            propose_change(fleet, "entry-2", "three", "c", base=2).body["generation"]
            == 3
        )
        wait_for_generation(fleet, names, 3)
        for name in names:
            assert read_labels(fleet, name)["a"] == "one"
            assert read_labels(fleet, name)["c"] == "three"


@pytest.mark.processes
def test_racing_operators_with_lost_replies_and_stale_reads(tmp_path):
    """Guards against a change that is lost, applied twice or given a wrong result.

    Operators propose changes at the same time through different instances, while the
    platform loses replies to writes and serves stale reads.
    """
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)
    answers = {}
    with run_fleet(instances=3, fleet=fleet):
        fleet.set_faults(lose_write_replies=3, stale_reads=True)

        def run(name, change_id, group):
            answers[change_id] = propose_change(fleet, name, change_id, group)

        calls = [
            ("entry-0", "one", "a"),
            ("entry-1", "two", "b"),
            ("entry-2", "three", "c"),
            ("entry-0", "four", "same"),
            ("entry-1", "five", "same"),
        ]
        threads = [threading.Thread(target=run, args=entry) for entry in calls]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        fleet.set_faults(lose_write_replies=0, stale_reads=False)
        statuses = {key: reply.status for key, reply in answers.items()}
        assert [statuses[key] for key in ("one", "two", "three")] == [200] * 3
        assert sorted([statuses["four"], statuses["five"]]) == [200, 409]
        # Repeating an accepted proposal through another instance returns its result.
        again = propose_change(fleet, "entry-2", "one", "a")
        assert again.body["generation"] == answers["one"].body["generation"]
        value = fleet.read_object("configuration/current")["value"]
        assert value["generation"] == 5
        accepted = {key for key, status in statuses.items() if status == 200}
        applied = [found["change_id"] for found in value["recent_changes"]]
        assert sorted(applied) == sorted(accepted)
        wait_for_generation(fleet, list(fleet.instances), 5)


@pytest.mark.processes
def test_only_the_chosen_watchers_watch_the_platform(tmp_path):
    """Guards against a number of platform watches that grows with the fleet."""
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)

    def count_watchers():
        status = call_administration(fleet, "entry-0", "GET", "/v1/status").body
        return sum(
            bool(instance["services"]["documents"]["watching"])
            for instance in status["instances"]
        )

    # An instance that counted itself among the watchers at its start keeps that watch
    # until the watch times out.
    overrides = {"platform": {"watch_timeout_ms": 1_000}}
    with run_fleet(instances=5, fleet=fleet, overrides=overrides):
        # Two watchers with one watch for each of three prefixes.
        wait_until(
            fleet,
            lambda: (
                count_watchers() == 2 and fleet.read_call_counts()["watch_open"] == 6
            ),
        )


@pytest.mark.processes
def test_object_that_does_not_decode_is_shown_and_never_in_force(tmp_path):
    """Guards against an invalid object that replaces the fleet's configuration.

    The instances must report the object as a problem, keep serving with the last valid
    configuration and refuse changes until a valid object is written.
    """
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)

    def list_problems():
        status = call_administration(fleet, "entry-1", "GET", "/v1/status").body
        return [
            instance["services"]["documents"]["problems"]
            for instance in status["instances"]
        ]

    with run_fleet(instances=2, fleet=fleet):
        good = fleet.read_object("configuration/current")["value"]
        bad = {"generation": 9, "selectors": "gone"}
        fleet.write_object("configuration/current", bad)
        wait_until(
            fleet,
            lambda: any("configuration/current" in found for found in list_problems()),
        )
        answer = fleet.query(
            fleet.instances["entry-0"], service="order-desk", rank="urgent", terms={}
        )
        assert answer["coverage"]["complete"] is True
        refused = propose_change(fleet, "entry-0", "one", "a")
        assert refused.status == 503
        assert refused.body["error"]["run_state"] == "not_run"
        fleet.write_object("configuration/current", {**good, "generation": 10})
        wait_for_generation(fleet, list(fleet.instances), 10)
        assert not any(list_problems())
        assert propose_change(fleet, "entry-0", "one", "a", base=10).status == 200


@pytest.mark.processes
def test_instance_replaced_during_an_outage_takes_the_newest_from_its_peers(tmp_path):
    """Guards against a new instance that waits for the platform or starts outdated.

    The reply to the write of the change is lost, so that the first instance knows only
    from reading the object back that the change was accepted.
    """
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)
    with run_fleet(instances=3, fleet=fleet):
        fleet.set_faults(lose_write_replies=1)
        assert propose_change(fleet, "entry-0", "one", "a").status == 200
        fleet.set_faults(outage=True)
        fleet.kill("entry-1")
        port = fleet.instances["entry-0"].record["peer_port"]
        seeds = [{"host": "127.0.0.1", "port": port}]
        new = fleet.add_instance(overrides={"membership": {"seeds": seeds}})
        # The new instance is ready, and can have its configuration from peers only.
        assert read_labels(fleet, new.name)["a"] == "one"
        answer = fleet.query(new, service="order-desk", rank="urgent", terms={})
        assert answer["coverage"]["complete"] is True


@pytest.mark.processes
def test_others_watch_when_all_watchers_are_lost(tmp_path):
    """Guards against a fleet without watches after all its watchers were killed."""
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)

    def list_watchers():
        status = call_administration(fleet, "entry-0", "GET", "/v1/status").body
        return {
            instance["name"]
            for instance in status["instances"]
            if instance["services"]["documents"]["watching"]
        }

    overrides = {"platform": {"watch_timeout_ms": 1_000}}
    with run_fleet(instances=4, fleet=fleet, overrides=overrides):
        wait_until(fleet, lambda: len(list_watchers()) == 2)
        lost = list_watchers()
        for name in lost:
            fleet.kill(name)
        left = [name for name in fleet.instances if name not in lost]
        value = fleet.read_object("configuration/current")["value"]
        fleet.write_object("configuration/current", {**value, "generation": 2})
        wait_for_generation(fleet, left, 2)
