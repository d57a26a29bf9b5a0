"""Copies of platform objects: which copy wins, and exchange between instances."""

import dataclasses
import math
import random
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from control_fakes import CONFIGURATION_NAME, Network, create_document
from gooseberrymux.deltas import (
    ACTION_DROP,
    ACTION_INSERT,
    ACTION_SET,
    apply_steps,
    create_steps,
)
from gooseberrymux.document_table import (
    EXCHANGE_PEERS,
    OFFER_LIMIT_DIGESTS,
    PUSH_FANOUT,
    Applied,
    DocumentTable,
    HashConflict,
    Rejected,
    hash_body,
)
from gooseberrymux.documents import DocumentChanged
from gooseberrymux.messages import DeltaStep, DocumentBody, DocumentDelta, DocumentOffer

copies = st.builds(
    lambda generation, content: create_document(
        {"generation": generation, "content": content}
    ),
    st.integers(1, 4),
    st.integers(0, 2),
)


@given(st.lists(copies, min_size=1), st.randoms(use_true_random=False))
def test_any_order_with_repeats_converges_to_the_highest(offered, generator):
    """Guards against instances that keep different contents of one document."""
    highest = max(offered, key=lambda copy: (copy.generation, copy.hash))
    shuffled = offered + generator.choices(offered, k=3)
    generator.shuffle(shuffled)
    for arrivals in (offered, shuffled):
        table = DocumentTable()
        last_generation = 0
        for copy in arrivals:
            table.apply_if_newer(copy)
            assert table.get(CONFIGURATION_NAME).generation >= last_generation
            last_generation = table.get(CONFIGURATION_NAME).generation
        assert table.get(CONFIGURATION_NAME) == highest


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(copies, st.integers(0, 4)), min_size=1, max_size=8))
def test_exchange_between_nodes_converges(offered):
    """Guards against copies that one side of an exchange never receives."""
    network = Network()
    nodes = [network.add_node(f"entry-{number}") for number in range(5)]
    for copy, number in offered:
        nodes[number].apply_if_newer(copy, source="test")
    while network.run_round():
        pass
    highest = max((copy for copy, _ in offered), key=lambda c: (c.generation, c.hash))
    assert all(node.get(CONFIGURATION_NAME) == highest for node in nodes)


def test_push_reaches_seven_instances_at_once():
    network = Network()
    nodes = [network.add_node(f"entry-{number}") for number in range(7)]
    nodes[0].apply_if_newer(create_document({"generation": 1}), source="proposal")
    network.run_round()
    assert all(node.get(CONFIGURATION_NAME) for node in nodes)


def test_push_reaches_a_large_fleet_in_logarithmic_rounds_at_bounded_cost():
    """Guards against one instance sending a change to a whole large fleet."""
    network = Network()
    nodes = [network.add_node(f"entry-{number}") for number in range(100)]
    for number, node in enumerate(nodes):
        node._random = random.Random(number)
    body = {"generation": 1, "text": "x" * 10_000}
    nodes[0].apply_if_newer(create_document(body), source="proposal")
    rounds = 0
    while network.run_round():
        rounds += 1
    reached = sum(node.get(CONFIGURATION_NAME) is not None for node in nodes)
    assert reached >= 0.9 * len(nodes)
    # Each hop of the push takes an offer, a request and the body.
    assert rounds <= 3 * (2 + 2 * math.log(len(nodes), PUSH_FANOUT))
    bodies = [
        message
        for node in nodes
        for message in node._peers.sent
        if isinstance(message, DocumentBody)
    ]
    assert len(bodies) <= 2 * len(nodes)
    # The periodic exchange reaches the rest, at a bounded number of messages per node.
    for _ in range(6):
        for node in nodes:
            sent_before = len(node._peers.sent)
            if not node._send_offers():
                assert len(node._peers.sent) - sent_before == EXCHANGE_PEERS
        while network.run_round():
            pass
    assert all(node.get(CONFIGURATION_NAME) for node in nodes)


def test_offers_stay_bounded_and_cover_all_documents():
    table = DocumentTable()
    for number in range(3 * OFFER_LIMIT_DIGESTS):
        table.apply_if_newer(
            create_document({"generation": 1}, name=f"index/{number:03d}")
        )
    offers = [table.create_offer() for _ in range(3)]
    assert all(len(offer.digests) == OFFER_LIMIT_DIGESTS for offer in offers)
    assert not any(offer.complete for offer in offers)
    covered = {digest.name for offer in offers for digest in offer.digests}
    assert len(covered) == 3 * OFFER_LIMIT_DIGESTS


def test_new_instance_takes_all_documents_from_its_peers():
    """Guards against an instance that stays empty if started during an outage."""
    network = Network()
    old = network.add_node("entry-0")
    old.apply_if_newer(create_document({"generation": 7}), source="platform")
    old.apply_if_newer(
        create_document({"generation": 2}, name="index/a"), source="platform"
    )
    new = network.add_node("entry-1")
    new._send_offers()
    while network.run_round():
        pass
    assert new.get(CONFIGURATION_NAME).generation == 7
    assert new.get("index/a").generation == 2


def test_lower_generation_is_never_applied_even_from_the_platform():
    node = Network().add_node("entry-0")
    node.apply_body(name=CONFIGURATION_NAME, body={"generation": 5}, source="entry-1")
    node.apply_body(name=CONFIGURATION_NAME, body={"generation": 4}, source="platform")
    assert node.get(CONFIGURATION_NAME).generation == 5


def test_two_contents_of_one_generation_are_shown_until_the_next():
    """Guards against two contents of one generation that no operator learns of."""
    table = DocumentTable()
    one, two = sorted(
        (create_document({"generation": 3, "by": name}) for name in ("a", "b")),
        key=lambda copy: copy.hash,
    )
    table.apply_if_newer(one)
    assert table.apply_if_newer(two) == Applied(losing_hash=one.hash)
    assert table.apply_if_newer(one) == HashConflict(losing_hash=one.hash)
    node = Network().add_node("entry-0")
    node.apply_if_newer(one, source="platform")
    node.apply_if_newer(two, source="entry-1")
    assert "two contents" in node.describe()["problems"][CONFIGURATION_NAME]
    node.apply_if_newer(create_document({"generation": 4}), source="platform")
    assert node.describe()["problems"] == {}


@pytest.mark.parametrize(
    "body",
    [
        {"generation": 9, "broken": True},
        {"generation": 2**60},
        {"generation": "9"},
        {"generation": True},
        {},
        {"generation": 9, "number": 2**64},
        {"generation": 9, "text": "\ud800"},
        {"generation": 9, "number": float("inf")},
    ],
)
def test_object_that_can_not_be_used_leaves_the_last_good_one(body):
    """Guards against one invalid object that stops every instance or its links."""
    network = Network()
    node, peer = network.add_node("entry-0"), network.add_node("entry-1")
    for known in (node, peer):
        known.register_check(
            CONFIGURATION_NAME, lambda found: "bad" if "broken" in found else None
        )
    node.apply_body(name=CONFIGURATION_NAME, body={"generation": 8}, source="platform")
    node.apply_body(name=CONFIGURATION_NAME, body=body, source="platform")
    network.run_round()
    assert (
        node.get(CONFIGURATION_NAME).generation
        == peer.get(CONFIGURATION_NAME).generation
        == 8
    )
    assert CONFIGURATION_NAME in node.describe()["problems"]
    node.apply_body(name=CONFIGURATION_NAME, body={"generation": 8}, source="platform")
    assert node.describe()["problems"] == {}


def test_body_that_does_not_match_its_hash_is_rejected():
    document = DocumentBody(
        name=CONFIGURATION_NAME,
        generation=2,
        hash=hash_body({"generation": 1}),
        body={},
    )
    assert isinstance(DocumentTable().apply_if_newer(document), Rejected)


def test_handlers_see_rising_generations_when_one_offers_another():
    node = Network().add_node("entry-0")
    seen = []

    def handle(event):
        seen.append(event.generation)
        if event.generation == 1:
            node.apply_body(
                name=CONFIGURATION_NAME, body={"generation": 2}, source="test"
            )

    node._kernel.subscribe(DocumentChanged, handle)
    node.apply_body(name=CONFIGURATION_NAME, body={"generation": 1}, source="test")
    node.apply_body(name=CONFIGURATION_NAME, body={"generation": 1}, source="test")
    assert seen == [1, 2]


def test_handlers_see_rising_generations_when_two_threads_offer():
    """Guards against a handler that applies the older of two documents last."""
    node = Network().add_node("entry-0")
    seen = []
    later = threading.Thread(
        target=lambda: node.apply_body(
            name=CONFIGURATION_NAME, body={"generation": 2}, source="b"
        )
    )

    def handle(event):
        seen.append(("begins", event.generation))
        if event.generation == 1:
            later.start()
            later.join(0.2)
        seen.append(("ends", event.generation))

    node._kernel.subscribe(DocumentChanged, handle)
    node.apply_body(name=CONFIGURATION_NAME, body={"generation": 1}, source="a")
    later.join()
    assert seen == [("begins", 1), ("ends", 1), ("begins", 2), ("ends", 2)]


def test_offer_of_a_complete_set_is_answered_with_what_it_lacks():
    network = Network()
    node = network.add_node("entry-0")
    node.apply_if_newer(create_document({"generation": 1}), source="platform")
    comparison = node._table.compare_offer(DocumentOffer(digests=[], complete=True))
    assert [document.name for document in comparison.documents_to_send] == [
        CONFIGURATION_NAME
    ]


names = st.sampled_from("abcd")
items = st.lists(
    st.fixed_dictionaries({"name": names, "x": st.integers(0, 2)}),
    max_size=4,
    unique_by=lambda item: item["name"],
)
bodies = st.dictionaries(
    names,
    st.recursive(
        st.text("xy", max_size=2) | items,
        lambda inner: st.dictionaries(names, inner) | st.lists(inner, max_size=3),
        max_leaves=6,
    ),
)


@given(*[bodies | items.map(lambda found: {"a": found})] * 2)
@settings(max_examples=300)
def test_steps_between_two_bodies_make_the_second_from_the_first(old, new):
    old_hash = hash_body(old)
    assert apply_steps(old, create_steps(old, new)) == Ok(new)
    assert hash_body(old) == old_hash


@pytest.mark.parametrize(
    ("action", "path"),
    [
        (ACTION_DROP, ["gone"]),
        (ACTION_SET, ["list", 7, "x"]),
        (ACTION_SET, ["list", -1]),
        (ACTION_INSERT, ["text", 0]),
        (ACTION_SET, []),
        ("other", ["text"]),
    ],
)
def test_step_that_does_not_fit_is_an_error(action, path):
    """Guards against a delta that ends the thread of a link with an exception."""
    body = {"list": [{"name": "a"}], "text": "x"}
    assert apply_steps(body, [DeltaStep(action=action, path=path)]).is_err()


def create_large_document(generation: int):
    """Returns a document of 100 groups, one of which depends on the generation."""
    groups = [{"name": f"group-{number:03d}", "x": "y" * 50} for number in range(100)]
    groups[generation]["x"] = "changed"
    return create_document({"generation": generation, "groups": groups})


def count_sent_messages(network, message_type):
    return sum(
        isinstance(message, message_type)
        for node in network.nodes.values()
        for message in node._peers.sent
    )


def test_small_change_of_a_large_document_travels_as_a_delta():
    network = Network()
    nodes = [network.add_node(f"entry-{number}") for number in range(20)]
    for node in nodes:
        node.apply_if_newer(create_large_document(1), source="platform")
    network.queue.clear()
    for node in nodes:
        node._peers.sent.clear()
    nodes[0].apply_if_newer(create_large_document(2), source="proposal")
    while network.run_round():
        pass
    assert sum(node.get(CONFIGURATION_NAME).generation == 2 for node in nodes) >= 15
    assert count_sent_messages(network, DocumentDelta) >= 15
    assert count_sent_messages(network, DocumentBody) == 0


def test_instance_that_is_behind_gets_the_changes_since_or_the_whole():
    """Guards against a delta that is applied to a body other than its base."""
    network = Network()
    ahead, behind, foreign = (network.add_node(name) for name in ("a", "b", "c"))
    behind.apply_if_newer(create_large_document(1), source="platform")
    foreign.apply_if_newer(
        create_document({"generation": 1, "other": 1}), source="platform"
    )
    network.queue.clear()
    for generation in (1, 2, 3, 4):
        ahead.apply_if_newer(create_large_document(generation), source="platform")
    # Both instances miss all pushes but the last.
    network.queue = network.queue[-2:]
    ahead._peers.sent.clear()
    while network.run_round():
        pass
    assert (
        behind.get(CONFIGURATION_NAME)
        == foreign.get(CONFIGURATION_NAME)
        == create_large_document(4)
    )
    sent = [type(message) for message in ahead._peers.sent]
    assert sent.count(DocumentBody) == 1
    assert sent.count(DocumentDelta) == 3


def test_delta_that_does_not_make_its_hash_is_replaced_by_the_body():
    network = Network()
    ahead, behind = network.add_node("a"), network.add_node("b")
    for node in (ahead, behind):
        node.apply_if_newer(create_large_document(1), source="platform")
    network.queue.clear()
    ahead.apply_if_newer(create_large_document(2), source="platform")
    ((sender, target, delta),) = network.queue
    wrong_delta = dataclasses.replace(delta, steps=delta.steps[:-1])
    network.queue = [(sender, target, wrong_delta)]
    while network.run_round():
        pass
    assert behind.get(CONFIGURATION_NAME) == create_large_document(2)
    assert behind.describe()["problems"] == {}


def test_delta_with_a_value_that_can_not_travel_is_not_put_in_force():
    # Guards against a document that ends the links of every instance that stores it.
    network = Network()
    ahead, behind = network.add_node("a"), network.add_node("b")
    for node in (ahead, behind):
        node.apply_if_newer(create_large_document(1), source="platform")
    network.queue.clear()
    ahead.apply_if_newer(create_large_document(2), source="platform")
    ((sender, target, delta),) = network.queue
    step = dataclasses.replace(delta.steps[0], value={1: "a", "b": 2})
    network.queue = [(sender, target, dataclasses.replace(delta, steps=[step]))]
    network.run_round()
    assert behind.get(CONFIGURATION_NAME).generation == 1
    while network.run_round():
        pass
    assert behind.get(CONFIGURATION_NAME) == ahead.get(CONFIGURATION_NAME)
