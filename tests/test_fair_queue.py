"""Shares of workspaces in a rank's queue, counted in dispatches."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.fair_queue import FairQueue
from gooseberrymux.records import Rank
from gooseberrymux.schedule import RankQueue, Strict
from test_pool import create_gated_upstream, open_owner

# An operation is the flow of a new item, or None for a dispatch.
OPERATIONS = st.lists(st.none() | st.sampled_from(["", "a", "b", "c"]), max_size=80)


def create_queue(limit=256):
    return RankQueue(policy=Strict(), limits=dict.fromkeys(Rank, limit))


def test_a_workspace_that_floods_delays_and_displaces_no_small_one():
    """Guards against a workspace whose flood makes the requests of others late.

    Load: 40 small workspaces use a fifth of a service together. A large one, whose
    usual load would be two fifths, sends 7.5 times as much. A small request may have to
    wait for the turn of the large workspace and of one other.
    """
    queue, waits, refused = create_queue(), [], set()
    for step in range(4_000):
        flows = ["flood"] * 3 + ([f"small-{step // 5 % 40}"] if step % 5 == 0 else [])
        for flow in flows:
            if (displaced := queue.make_room(Rank.URGENT, flow)) is not None:
                refused.add(displaced[0])
            if not queue.enqueue(Rank.URGENT, (flow, step), flow):
                refused.add(flow)
        flow, arrived = queue.dequeue()
        if flow != "flood":
            waits.append(step - arrived)
    assert len(waits) == 4_000 / 5
    assert max(waits) <= 2
    assert refused == {"flood"}


def test_what_is_on_time_goes_first_within_a_round():
    """Guards against a backlog of late requests that makes all behind them late.

    Load: 20 workspaces wait with one late request each when two others send one that
    can be on time.
    """
    queue = FairQueue()
    late_flows = [f"late-{number}" for number in range(20)]
    for flow in (*late_flows, "new-1", "new-2"):
        queue.append(flow, flow)
    assert queue.count_ahead("new-3", lambda flow: flow.startswith("new")) == 2
    dispatched = [queue.pop(lambda flow: flow.startswith("new")) for _ in range(22)]
    assert dispatched == ["new-1", "new-2", *late_flows]


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


@given(OPERATIONS, st.sampled_from(["", "a"]))
def test_the_count_of_what_is_ahead_is_exact(operations, flow):
    # Guards against the early refusal of a small workspace's request in a flood.
    queue = create_queue()
    for number, name in enumerate(operations):
        if name is not None:
            queue.enqueue(Rank.URGENT, number, name)
        else:
            queue.dequeue()
    ahead = queue.estimate_dispatches_ahead(Rank.URGENT, flow=flow)
    queue.enqueue(Rank.URGENT, "mark", flow)
    assert [queue.dequeue() for _ in range(ahead + 1)][-1] == "mark"


def test_removals_and_preferred_items_leave_the_turns_of_others_as_they_are():
    """Guards against a flood of new requests that starves the late ones of others."""
    queue = FairQueue()
    for number, flow in enumerate("xffffllx"):
        queue.append((flow, number), flow)
    assert queue.remove(lambda item: item[0] == "x") == [("x", 0), ("x", 7)]
    dispatched = [queue.pop(lambda item: item[0] == "f")[0] for _ in range(6)]
    assert dispatched == list("flflff")


@pytest.mark.parametrize(
    ("queued", "flow", "displaced"),
    [("aaab", "c", 2), ("aaab", "a", None), ("aabb", "b", None), ("aabc", "b", None)],
)
def test_a_full_queue_refuses_the_newest_of_the_longest(queued, flow, displaced):
    """Guards against refusals of those who send little because others send much."""
    queue = create_queue(limit=len(queued))
    for number, name in enumerate(queued):
        assert queue.make_room(Rank.URGENT, name) is None
        queue.enqueue(Rank.URGENT, number, name)
    assert queue.make_room(Rank.URGENT, flow) == displaced
    assert queue.enqueue(Rank.URGENT, "new", flow) is (displaced is not None)


@pytest.mark.parametrize(
    ("limit", "flood", "reason"),
    [(4, 5, "queue_full"), (256, 41, "deadline_unreachable")],
)
def test_a_pool_refuses_and_dispatches_by_workspace(limit, flood, reason):
    """Guards against a small workspace that is refused for the backlog of a large one.

    Load: one upstream with one slot; the large workspace has filled the queue, or made
    it too long for a request with 400 ms left, when the small one sends its only one.
    """
    gate, order, handler = create_gated_upstream()
    with open_owner(queue_limit=limit) as owner:
        owner.add_upstream("u1", handler)
        for _ in range(flood):
            owner.submit(request_id="flood", workspace="flood")
        for name in ("small", "flood"):
            fields = {"remaining_ms": 400.0, "target_ms": 300.0, "workspace": name}
            owner.submit(request_id=name, **fields)
        assert {outcome.reason for outcome in owner.outcomes} == {reason}
        gate.release(3)
        owner.wait_for_outcomes(len(owner.outcomes) + 3)
    assert order[:3] == ["flood", "flood", "small"]
