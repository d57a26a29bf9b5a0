"""Proofs that documents are current, on their way between instances."""

import pytest

from control_fakes import Network, create_document
from gooseberrymux.messages import FreshnessProof
from gooseberrymux.proofs import Proof, ProofRecord

PREFIX = "configuration/"
SIZE = 5


@pytest.fixture
def network():
    created = Network()
    for number in range(SIZE):
        created.add_node(f"entry-{number}").watch_prefix(PREFIX)
    return created


def publish(node, *, age_ms=0.0):
    now_ms = node._kernel.clock.boot_ms()
    node._proofs.publish(prefix=PREFIX, proven_ms=now_ms - age_ms)


def deliver_all(network):
    while network.run_round():
        pass


def read_ages(network):
    return [node.describe()["proof_ages_ms"][PREFIX] for node in network.nodes.values()]


def advance(network, duration_ms):
    for node in network.nodes.values():
        node._kernel.clock.sleep_ms(duration_ms)


def test_a_proof_of_one_instance_reaches_all_with_its_age(network):
    advance(network, 5_000)
    publish(network.nodes["entry-0"], age_ms=30)
    deliver_all(network)
    assert read_ages(network) == [30] * SIZE


def test_a_proof_does_not_count_before_its_documents_are_in_force(network):
    # Guards against an instance that takes old documents for current ones.
    advance(network, 5_000)
    reader, other, *_ = network.nodes.values()
    reader.apply_if_newer(create_document({"generation": 2}), source="platform")
    network.queue.clear()
    publish(reader)
    proof = next(m for _, _, m in network.queue if isinstance(m, FreshnessProof))
    network.queue.clear()
    other._peers.handlers[FreshnessProof](reader._peers.identity, proof)
    assert read_ages(network)[1] == 5_000
    deliver_all(network)
    assert other.get("configuration/current").generation == 2
    assert read_ages(network)[1] == 0


def test_a_proof_that_was_under_way_for_long_is_that_much_older(network):
    # Guards against an instance that was frozen and takes the proofs in its buffers for
    # new ones.
    reader = network.nodes["entry-0"]
    advance(network, 5_000)
    publish(reader)
    deliver_all(network)
    advance(network, 100)
    publish(reader)
    advance(network, 9_000)
    deliver_all(network)
    # The clocks of two machines may drift apart by up to 0.1 ms in each second.
    assert read_ages(network) == pytest.approx([9_000] * SIZE, abs=1)


def test_a_proof_is_passed_on_once(network):
    # Guards against proofs that go round the fleet without end.
    publish(network.nodes["entry-0"])
    messages = 0
    while count := network.run_round():
        messages += count
    assert messages <= SIZE * SIZE


def test_an_earlier_proof_of_a_reader_does_not_replace_a_later_one():
    record = ProofRecord(now_ms=0, lifetime_ms=10_000)
    for sequence, proven_ms, is_later in ((2, 200, True), (1, 300, False)):
        proof = Proof(reader="a", incarnation=1, sequence=sequence, proven_ms=proven_ms)
        assert record.record(proof) is is_later
    assert record.compute_age_ms(1_000) == 800


def test_a_reader_without_proofs_is_forgotten():
    # Guards against a table that grows with each restart of an instance.
    record = ProofRecord(now_ms=0, lifetime_ms=1_000)
    for number in range(100):
        record.record(
            Proof(
                reader=f"r-{number}",
                incarnation=1,
                sequence=1,
                proven_ms=500.0 * number,
            )
        )
    assert len(record.list_readers(since_ms=-1)) <= 4
