"""Shares of workspaces in a rank's queue, counted in dispatches."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.fair_queue import FairQueue
from gooseberrymux.forward_messages import PartNotRun, PartReplied
from gooseberrymux.records import Rank
from gooseberrymux.schedule import RankQueue, Strict, StrictWithFloors
from test_pool import create_gated_upstream, open_owner

FLOWS = ["", "a", "b", "c"]
# An operation is the flow of a new item, or None for a dispatch.
OPERATIONS = st.lists(st.none() | st.sampled_from(FLOWS), max_size=80)
SMALL_WORKSPACES = 40
# Callers of urgent requests want an answer within 46.1 ms. A service with 6 slots and
# exchanges of 6 ms dispatches once in a millisecond; the exchange itself takes 6 ms.
DISPATCHES_ON_TIME = 40
QUEUE_LIMIT = 256


def run_flood(queue, *, dispatches, flood_per_dispatch, small_period):
    """Dispatches once a step; returns the waits of small items and what was refused.

    In each step a large workspace sends `flood_per_dispatch` requests; once in
    `small_period` steps one small workspace sends one, each in its turn.
    """
    waits, refused = [], collections.Counter()
    for step in range(dispatches):
        flows = ["flood"] * flood_per_dispatch
        if step % small_period == 0:
            flows.append(f"small-{step // small_period % SMALL_WORKSPACES}")
        for flow in flows:
            if (displaced := queue.make_room(Rank.URGENT, flow)) is not None:
                refused[displaced[0]] += 1
            if not queue.enqueue(Rank.URGENT, (flow, step), flow):
                refused[flow] += 1
        flow, arrived = queue.dequeue()
        if flow != "flood":
            waits.append(step - arrived)
    return waits, refused


def create_queue(limit=QUEUE_LIMIT, policy=None):
    return RankQueue(policy=policy or Strict(), limits=dict.fromkeys(Rank, limit))


def test_a_workspace_that_floods_delays_and_displaces_no_small_one():
    """Guards against a workspace whose flood makes the requests of others late.

    Load: 40 small workspaces use a fifth of a service together. A large one, whose
    usual load would be two fifths, sends 7.5 times as much. A small request may have to
    wait for the turn of the large workspace and of one other.
    """
    queue = create_queue()
    waits, refused = run_flood(
        queue, dispatches=4_000, flood_per_dispatch=3, small_period=5
    )
    assert len(waits) >= 4_000 / 5 - 1
    assert max(waits) <= 2
    assert set(refused) == {"flood"}


def test_small_workspaces_that_come_together_are_on_time_in_a_flood():
    """Guards against small workspaces that wait behind the backlog of a large one.

    Load: a large workspace has filled the queue when 40 small ones send one request
    each at the same time.
    """
    queue = create_queue()
    for number in range(QUEUE_LIMIT):
        queue.enqueue(Rank.URGENT, ("flood", number), "flood")
    for number in range(SMALL_WORKSPACES):
        flow = f"small-{number}"
        assert queue.make_room(Rank.URGENT, flow)[0] == "flood"
        assert queue.enqueue(Rank.URGENT, (flow, number), flow)
    dispatched = [queue.dequeue()[0] for _ in range(DISPATCHES_ON_TIME + 1)]
    assert dispatched.count("flood") == 1
    assert len(set(dispatched)) == SMALL_WORKSPACES + 1


def test_two_backlogged_workspaces_get_equal_shares_of_what_a_rank_gets():
    # Guards against flows that change the shares between ranks, or gain from them.
    floors = {Rank.URGENT: 0.0, Rank.STANDARD: 0.06, Rank.PATIENT: 0.04}
    queue = create_queue(limit=10_000, policy=StrictWithFloors(floors=floors))
    for rank, flow, number in (
        [(Rank.URGENT, "u", n) for n in range(1_000)]
        + [(Rank.STANDARD, "a", n) for n in range(500)]
        + [(Rank.STANDARD, "b", n) for n in range(50)]
    ):
        queue.enqueue(rank, (flow, number), flow)
    counts = collections.Counter(queue.dequeue()[0] for _ in range(400))
    assert counts["a"] + counts["b"] == pytest.approx(40, abs=2)
    assert abs(counts["a"] - counts["b"]) <= 1


def test_a_workspace_that_was_idle_or_comes_back_empty_gets_no_second_turn():
    # Guards against a workspace that gets more than its share by sending one at a time.
    queue = FairQueue()
    for number in range(20):
        queue.append(("busy", number), "busy")
    dispatched = []
    for number in range(20):
        queue.append(("tricky", number), "tricky")
        dispatched += [queue.pop()[0], queue.pop()[0]]
    assert dispatched.count("tricky") == 20
    assert dispatched.count("busy") == 20


def test_what_is_on_time_in_one_workspace_does_not_overtake_another():
    """Guards against a flood of new requests that starves the late ones of others."""
    queue = FairQueue()
    for number in range(50):
        queue.append(("flood", number), "flood")
    for number in range(2):
        queue.append(("small", number), "small")
    dispatched = [queue.pop(lambda item: item[0] == "flood") for _ in range(4)]
    assert [flow for flow, _ in dispatched] == ["flood", "small"] * 2


@given(OPERATIONS)
def test_the_order_is_that_of_start_time_fair_queueing(operations):
    """Guards against rounds that stand for other start tags than they should.

    By its definition, with items of size 1: an item's start tag is the larger one of
    the virtual time at its arrival and the finish tag of its flow's item before; the
    virtual time is the start tag of the item that was dispatched last.
    """
    queue, waiting = FairQueue(), []
    finish_tags, virtual_time = collections.defaultdict(int), 0
    for number, flow in enumerate(operations):
        if flow is not None:
            start_tag = max(virtual_time, finish_tags[flow])
            finish_tags[flow] = start_tag + 1
            waiting.append((start_tag, flow, number))
            queue.append((flow, number), flow)
        elif waiting:
            dispatched = queue.pop()
            entry = next(entry for entry in waiting if entry[1:] == dispatched)
            assert entry[0] == min(waiting)[0]
            virtual_time = entry[0]
            waiting.remove(entry)


@given(OPERATIONS, st.integers(1, 9))
def test_one_flow_is_served_as_before_there_were_flows(operations, divisor):
    # Guards against another order for deployments without workspaces.
    queue, expected = FairQueue(), []

    def is_preferred(number):
        return number % divisor == 0

    for number, flow in enumerate(operations):
        if flow is not None:
            queue.append(number, "")
            expected.append(number)
        elif expected:
            first = next(filter(is_preferred, expected), expected[0])
            expected.remove(first)
            assert queue.pop(is_preferred) == first


@given(OPERATIONS, st.sampled_from(FLOWS))
def test_the_count_of_what_is_ahead_is_exact(operations, flow):
    # Guards against the early refusal of a small workspace's request in a flood.
    queue, length = FairQueue(), 0
    for number, name in enumerate(operations):
        if name is not None:
            queue.append((name, number), name)
            length += 1
        elif length:
            queue.pop()
            length -= 1
    ahead = queue.count_ahead(flow)
    queue.append("mark", flow)
    assert [queue.pop() for _ in range(ahead + 1)][-1] == "mark"


@given(OPERATIONS, st.sets(st.integers(0, 80)))
def test_no_item_is_lost_or_overtaken_in_its_flow_by_a_removal(operations, dropped):
    queue, expected = create_queue(), collections.defaultdict(list)
    for number, flow in enumerate(operations):
        if flow is None and len(queue):
            name, found = queue.dequeue()
            assert expected[name].pop(0) == found
        elif flow is not None:
            queue.enqueue(Rank.URGENT, (flow, number), flow)
            expected[flow].append(number)
    removed = queue.remove(lambda item: item[1] in dropped)
    assert all(number in dropped for _, number in removed)
    while (item := queue.dequeue()) is not None:
        name, found = item
        expected[name] = [n for n in expected[name] if n not in dropped]
        assert expected[name].pop(0) == found
    assert not any(set(numbers) - dropped for numbers in expected.values())


@pytest.mark.parametrize(
    ("queued", "flow", "displaced"),
    [
        ("aaab", "b", ("a", 2)),
        ("aaab", "c", ("a", 2)),
        ("aaab", "a", None),
        ("aabb", "a", None),
        ("aabc", "b", None),
        ("abcd", "e", None),
    ],
)
def test_a_full_queue_refuses_the_newest_of_the_longest_workspace(
    queued, flow, displaced
):
    """Guards against refusals of those who send little because others send much."""
    queue = create_queue(limit=len(queued))
    for number, name in enumerate(queued):
        assert queue.make_room(Rank.URGENT, name) is None
        queue.enqueue(Rank.URGENT, (name, number), name)
    assert queue.make_room(Rank.URGENT, flow) == displaced
    assert queue.enqueue(Rank.URGENT, "new", flow) is (displaced is not None)


def test_a_pool_dispatches_and_refuses_by_workspace():
    """Guards against a pool that knows no workspaces.

    Load: one upstream with one slot runs a request of a workspace that has filled the
    queue behind it, when another workspace sends its only request.
    """
    gate, order, handler = create_gated_upstream()
    with open_owner(queue_limit=4) as owner:
        owner.add_upstream("u1", handler)
        for number in range(5):
            owner.submit(request_id=f"flood-{number}", workspace="flood")
        owner.submit(request_id="small", workspace="small")
        (refused,) = owner.wait_for_outcomes(1)
        assert isinstance(refused, PartNotRun) and refused.reason == "queue_full"
        gate.release(10)
        outcomes = owner.wait_for_outcomes(6)
        assert sum(isinstance(outcome, PartReplied) for outcome in outcomes) == 5
    assert order == ["flood-0", "flood-1", "small", "flood-2", "flood-3"]


def test_a_flood_is_no_reason_to_refuse_what_goes_before_it():
    """Guards against an early refusal that counts the backlog of another workspace.

    Load: a large workspace has 40 requests in the queue when a small one sends a
    request that could not wait for all of them.
    """
    gate, _, handler = create_gated_upstream()
    with open_owner() as owner:
        owner.add_upstream("u1", handler)
        for _ in range(41):
            owner.submit(workspace="flood")
        queued = len(owner.outcomes)
        impatient = {"remaining_ms": 400.0, "target_ms": 300.0}
        owner.submit(workspace="small", **impatient)
        assert len(owner.outcomes) == queued
        owner.submit(workspace="flood", **impatient)
        (refused,) = owner.outcomes[queued:]
        assert isinstance(refused, PartNotRun)
        assert refused.reason == "deadline_unreachable"
        gate.release(50)
