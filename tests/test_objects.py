"""The platform stand-in: conditional writes, list lag, stale reads and faults.

Tests of the query tier rely on these faults; these tests guard against a stand-in that
injects them wrongly.
"""

import pytest

from gooseberrymux.clock import ManualClock
from gooseberrystand.objects import ObjectStore, RevisionGoneError
from gooseberrystand.platform import ERA_HEADER, PlatformServer
from gooseberrystand.server import Call, NoReply


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return ObjectStore(clock=clock)


def create_call(method, path, body=None):
    return Call(
        method=method, path=path, query_parameters={}, headers={}, body=body or {}
    )


def test_only_one_of_two_writers_with_the_same_version_wins(store):
    first = store.put(name="a", value={"by": 1}, expected_version=0)
    second = store.put(name="a", value={"by": 2}, expected_version=0)
    assert first == {"name": "a", "version": 1}
    assert second["conflict"] is True
    assert store.get("a")["value"] == {"by": 1}


def test_lagging_list_is_not_lost_to_a_watcher_that_saw_later_objects(store, clock):
    store.list_lag_ms = 500
    store.put(name="instances", value={"generation": 1}, expected_version=0)
    store.put(name="other", value={}, expected_version=0)
    early = store.list_changed(prefix="instances", after=0)
    assert early["objects"] == []
    clock.advance(500)
    late = store.list_changed(prefix="instances", after=early["revision"])
    assert [item["value"] for item in late["objects"]] == [{"generation": 1}]


# Guards against a stand-in that keeps what a restored platform has lost.
def test_a_restored_store_gives_its_revisions_out_again(store, clock):
    store.put(name="a", value={"n": 1}, expected_version=0)
    clock.advance(1_000)
    store.put(name="a", value={"n": 2}, expected_version=1)
    store.put(name="b", value={}, expected_version=0)
    clock.advance(1_000)
    store.restore(age_ms=1_500.0)
    assert store.era == 1
    assert store.get("a")["value"] == {"n": 1}
    assert store.get("b")["version"] == 0
    with pytest.raises(RevisionGoneError):
        store.watch(prefix="", after=3, timeout_ms=0, is_interrupted=lambda: False)
    assert store.put(name="b", value={}, expected_version=0)["version"] == 2


def test_a_restored_platform_names_its_era_and_refuses_later_revisions(store, clock):
    server = PlatformServer(clock=clock, store=store)
    store.put(name="a", value={}, expected_version=0)
    clock.advance(10)
    assert server.handle(create_call("GET", "/objects")).headers[ERA_HEADER] == "0"
    server.handle_control(create_call("POST", "/_restore", {"age_ms": 20}))
    assert server.handle(create_call("GET", "/objects")).headers[ERA_HEADER] == "1"
    watch = Call(
        method="GET",
        path="/watch",
        query_parameters={"after": "1"},
        headers={},
        body={},
    )
    assert server.handle(watch).status == 410


def test_stale_read_answers_from_before_the_last_write(store):
    store.put(name="a", value={"n": 1}, expected_version=0)
    store.put(name="a", value={"n": 2}, expected_version=1)
    store.stale_reads = True
    assert store.get("a")["value"] == {"n": 1}


def test_instance_list_edits_keep_other_records_and_raise_the_generation(store):
    store.edit_instances(
        put=[{"name": "u1"}, {"name": "e1", "peer_port": 1}], remove=[]
    )
    edited = store.edit_instances(put=[{"name": "u2"}], remove=["e1"])
    value = store.get("instances")["value"]
    assert edited == {"generation": 2}
    assert [record["name"] for record in value["upstreams"]] == ["u1", "u2"]
    assert value["instances"] == []


def test_lost_reply_means_the_write_took_effect(store, clock):
    server = PlatformServer(clock=clock, store=store)
    server.handle_control(create_call("POST", "/_faults", {"lose_write_replies": 1}))
    write = create_call("PUT", "/objects/a", {"value": {"n": 1}, "expected_version": 0})
    assert isinstance(server.handle(write), NoReply)
    assert server.handle(create_call("GET", "/objects/a")).body["version"] == 1
    assert server.handle(write).status == 409


def test_outage_answers_nothing_but_control(store, clock):
    server = PlatformServer(clock=clock, store=store)
    server.handle_control(create_call("POST", "/_faults", {"outage": True}))
    assert isinstance(server.handle(create_call("GET", "/objects/a")), NoReply)
    assert server.accept_connection() is False
    assert server.handle_control(create_call("GET", "/_calls")).status == 200
