"""Who gives way when callers hold more than an instance has."""

import pytest

from gooseberrymux.caller_budget import (
    CONNECTION_BYTES,
    FREE_PHASES,
    CallerBudget,
    Holder,
    Phase,
)
from gooseberrymux.records import Rank

KIB = 1024
BODY = 200 * KIB
CALM_BYTES_PER_S = 100_000


def create_budget(*, bodies=4, **limits):
    memory_bytes = 100 * CONNECTION_BYTES + bodies * BODY
    return CallerBudget(
        memory_bytes=memory_bytes,
        connections=100,
        crowded_bytes_per_s=256,
        min_bytes_per_s=0.2,
        **limits,
    )


def add(budget, *, phase=Phase.READING, rank=Rank.URGENT, body=0, rate=None, number=0):
    holder = Holder(address="10.0.0.1", number=number)
    holder.enter(phase)
    holder.rank = rank
    budget.add(holder)
    budget.charge(holder, body)
    if rate is not None:
        for second in (0, 20):
            holder.record_progress(second * 1_000.0, round(rate * second))
    return holder


@pytest.mark.parametrize(
    "worse",
    [
        {"rate": 10, "body": 10 * KIB},
        {"rank": Rank.PATIENT, "body": 10 * KIB},
        {"body": 2 * BODY},
    ],
)
def test_the_slow_the_less_urgent_and_the_largest_give_way(worse):
    # Guards against a crowd that pushes ordinary callers out.
    budget = create_budget()
    requester = add(budget, body=BODY)
    add(budget, body=BODY // 2)
    assert budget.find_victim(requester) is None
    victim = add(budget, **worse)
    assert budget.find_victim(requester) is victim


def test_the_worst_holder_makes_no_room_for_itself():
    # Guards against a large body for which smaller ones are shed.
    budget = create_budget()
    add(budget, body=BODY)
    assert budget.find_victim(add(budget, body=2 * BODY)) is None


def test_a_request_that_runs_never_gives_way():
    # Guards against a refusal that says "not run" of a request that runs.
    budget = create_budget()
    add(budget, phase=Phase.RUNNING, rank=Rank.PATIENT, body=3 * BODY)
    assert budget.find_victim(None) is None
    assert budget.find_victim(add(budget, body=KIB)) is None


def test_a_new_connection_takes_the_place_of_one_that_has_stayed_half_read():
    # Guards against idle connections of a balancer that are closed before hostile ones.
    budget = create_budget()
    add(budget, phase=Phase.IDLE, number=1)
    add(budget, number=2)
    half_read = add(budget, number=3, rate=CALM_BYTES_PER_S)
    assert budget.find_victim(None) is half_read


def test_a_less_urgent_body_leaves_a_part_of_the_budget_to_urgent_ones():
    # Guards against patient bodies that leave no memory for urgent ones.
    budget = create_budget()
    add(budget, phase=Phase.RUNNING, body=int(budget.memory_bytes * 0.8))
    assert not budget.has_room_for_body(add(budget, rank=Rank.PATIENT), KIB)
    assert budget.has_room_for_body(add(budget, rank=Rank.URGENT), KIB)


def test_a_byte_every_three_seconds_is_not_too_slow():
    # Guards against a caller that is closed although it keeps within the limits.
    # The platform allows its callers pauses of 3 s between two bytes.
    budget = create_budget()
    add(budget, rate=1 / 3)
    stuck = add(budget, rate=0.1)
    assert budget.list_too_slow() == [stuck]


def test_one_address_has_a_limit_only_if_the_settings_name_one():
    # Guards against a balancer that hides its callers behind one address.
    unlimited, limited = create_budget(), create_budget(connections_per_address=2)
    for budget in (unlimited, limited):
        add(budget)
        last = add(budget)
    assert unlimited.has_room_at_address("10.0.0.1")
    assert not limited.has_room_at_address("10.0.0.1")
    limited.remove(last)
    assert limited.has_room_at_address("10.0.0.1")


def test_only_a_caller_that_sends_many_requests_ahead_counts_as_such():
    # Guards against a caller with a short pipeline that has to wait for the gate.
    few, many = Holder(address="a"), Holder(address="b")
    for holder, phases in ((few, 4), (many, FREE_PHASES)):
        for _ in range(phases):
            holder.enter(Phase.RUNNING)
        holder.record_unread(180)
    assert (few.sends_ahead, many.sends_ahead) == (False, True)
