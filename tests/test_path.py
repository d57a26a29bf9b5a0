"""A query and a planned stop with all programs as separate processes."""

import pytest

from gooseberrystand.fleet import Fleet, GroupShape, run_fleet

SHAPES = (GroupShape(name="order-desk", services=4),)


@pytest.mark.processes
def test_query_covers_every_shard_of_one_version(tmp_path):
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)
    with run_fleet(instances=3, fleet=fleet):
        for instance in fleet.instances.values():
            answer = fleet.query(
                instance, service="order-desk", rank="urgent", terms={}
            )
            assert answer["version"] == "v1"
            assert answer["coverage"]["complete"] is True
            assert len(answer["hits"]) == 4


@pytest.mark.processes
def test_planned_stop_exits_cleanly(tmp_path):
    fleet = Fleet(folder=tmp_path, shapes=SHAPES)
    fleet.start(instances=2)
    assert fleet.stop() == {"entry-0": 0, "entry-1": 0}
