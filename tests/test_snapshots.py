"""Tests of index documents: several versions, their order, rejected documents."""

import pytest

from gooseberrymux.snapshots import Snapshots
from harness import FakeDocuments, create_kernel, publish, publish_index

V1, V2 = {"x0": "s0"}, {"x0": "s0", "x1": "s1"}


@pytest.fixture
def kernel():
    kernel = create_kernel()
    publish_index(kernel, 3, "v1", v1=V1)
    return kernel


def pin(kernel):
    return kernel.find("snapshots", Snapshots).pin("desk").unwrap()


def test_the_current_one_of_several_versions_is_pinned(kernel):
    pinned = pin(kernel)
    publish_index(kernel, 4, "v2", v1=V1, v2=V2)
    assert (pin(kernel).version, pin(kernel).shards) == ("v2", V2)
    assert kernel.find("snapshots", Snapshots).find_newer(pinned).version == "v2"
    assert pinned.shards == V1


def test_going_back_to_an_earlier_version_is_newer(kernel):
    # Guards against ordering versions by name, which would ignore a rollback.
    publish_index(kernel, 4, "v2", v1=V1, v2=V2)
    pinned = pin(kernel)
    publish_index(kernel, 5, "v1", v1=V1, v2=V2)
    assert kernel.find("snapshots", Snapshots).find_newer(pinned).version == "v1"


def test_an_older_document_is_not_put_in_force(kernel):
    publish_index(kernel, 2, "v0", v0=V1)
    assert pin(kernel).version == "v1"


def test_the_same_version_with_another_shard_map_is_refused(kernel):
    # Guards against answers that mix replies for two shard maps, which could not be
    # told apart by their version.
    publish_index(kernel, 4, "v1", v1=V2)
    assert pin(kernel).shards == V1
    assert "another shard map" in kernel.find("snapshots", Snapshots).last_problem


@pytest.mark.parametrize(
    "body",
    [
        {},
        {"current": "v2", "versions": {"v1": V1}},
        {"current": "v2", "versions": {"v2": {}}},
        {"current": "v2", "versions": {"v2": {"x0": 7}}},
        {"current": "v2", "versions": {"v2": V2, "v1": ["x0"]}},
        {"current": ["v2"], "versions": {"v2": V2}},
    ],
)
def test_a_document_that_does_not_decode_leaves_the_last_good_one(kernel, body):
    publish(kernel, "index/desk", 4, **body)
    assert pin(kernel).version == "v1"
    assert kernel.find("documents", FakeDocuments).problems
    assert kernel.failure is None
