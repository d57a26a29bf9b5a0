"""Rank queue: order, floors, weights, bounds, and no credit from idle time."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.records import Rank
from gooseberrymux.schedule import RankQueue, Strict, StrictWithFloors, Weighted

STRICT_WITH_FLOORS = StrictWithFloors(
    floors={Rank.URGENT: 0.0, Rank.STANDARD: 0.06, Rank.PATIENT: 0.04}
)
WEIGHTED = Weighted(weights={Rank.URGENT: 16, Rank.STANDARD: 4, Rank.PATIENT: 1})
POLICIES = [Strict(), WEIGHTED, STRICT_WITH_FLOORS]
RANKS = list(Rank)


def create_queue(policy, limit=10_000):
    return RankQueue(policy=policy, limits=dict.fromkeys(Rank, limit))


def fill(queue, counts):
    for rank, count in counts.items():
        for number in range(count):
            assert queue.enqueue(rank, (rank, number))


def count_dequeued(queue, dispatches, refill=()):
    dequeued = dict.fromkeys(Rank, 0)
    for number in range(dispatches):
        rank = queue.dequeue()[0]
        dequeued[rank] += 1
        if rank in refill:
            queue.enqueue(rank, (rank, number))
    return dequeued


@given(
    st.sampled_from(POLICIES),
    st.lists(st.one_of(st.none(), st.sampled_from(RANKS)), max_size=200),
)
def test_no_item_is_lost_repeated_or_overtaken_in_its_rank(policy, operations):
    # Guards against work that is lost, or dispatched out of order within a rank.
    queue, enqueued, dequeued = create_queue(policy), [], []
    for number, rank in enumerate(operations):
        if rank is None:
            if (item := queue.dequeue()) is not None:
                dequeued.append(item)
        else:
            queue.enqueue(rank, (rank, number))
            enqueued.append((rank, number))
    while (item := queue.dequeue()) is not None:
        dequeued.append(item)
    for rank in Rank:
        assert [i for i in dequeued if i[0] is rank] == [
            i for i in enqueued if i[0] is rank
        ]


@given(st.dictionaries(st.sampled_from(RANKS), st.integers(1, 20)))
def test_strict_serves_the_most_urgent_first(counts):
    queue = create_queue(Strict())
    fill(queue, counts)
    dequeued = [queue.dequeue()[0] for _ in range(sum(counts.values()))]
    assert dequeued == sorted(dequeued, key=RANKS.index)


@pytest.mark.parametrize(
    "lower", [(Rank.STANDARD, Rank.PATIENT), (Rank.PATIENT,), (Rank.STANDARD,)]
)
def test_lower_ranks_together_keep_the_floor_in_an_urgent_flood(lower):
    # Guards against a flood of urgent work that starves the lower ranks, also if only
    # one of them has work.
    queue = create_queue(STRICT_WITH_FLOORS)
    fill(queue, {Rank.URGENT: 50, **dict.fromkeys(lower, 500)})
    dequeued = count_dequeued(queue, 2_000, refill=(Rank.URGENT,))
    assert sum(dequeued[rank] for rank in lower) == pytest.approx(200, rel=0.1)
    if len(lower) == 2:
        assert dequeued[Rank.PATIENT] == pytest.approx(80, rel=0.1)


@given(st.integers(1, 60), st.integers(0, 60))
def test_a_rank_that_was_idle_has_no_credit(waited, idle):
    # Guards against a rank that earns credit, goes idle, and later uses the credit for
    # a burst that overtakes urgent work.
    queue = create_queue(STRICT_WITH_FLOORS)
    fill(queue, {Rank.URGENT: waited + idle, Rank.PATIENT: 1})
    count_dequeued(queue, waited)
    while queue.count_by_rank()[Rank.PATIENT]:
        queue.dequeue()
    fill(queue, {Rank.URGENT: 100})
    count_dequeued(queue, idle)
    fill(queue, {Rank.PATIENT: 10, Rank.URGENT: 100})
    # With floors of 0.1 in total, the first dispatch that a floor causes comes after
    # 1 / 0.1 dispatches and no sooner.
    assert count_dequeued(queue, 9)[Rank.PATIENT] == 0
    assert count_dequeued(queue, 2)[Rank.PATIENT] == 1


def test_weights_hold_and_an_idle_rank_earns_no_credit():
    queue = create_queue(WEIGHTED)
    fill(queue, {Rank.URGENT: 3_000, Rank.STANDARD: 900})
    dequeued = count_dequeued(queue, 1_000)
    assert dequeued[Rank.STANDARD] == pytest.approx(200, rel=0.1)
    fill(queue, {Rank.PATIENT: 500})
    assert count_dequeued(queue, 420)[Rank.PATIENT] == pytest.approx(20, abs=2)


def test_a_rank_that_was_idle_waits_for_its_weight():
    # Guards against a patient item that goes ahead of urgent ones because its rank was
    # idle before.
    queue = create_queue(WEIGHTED)
    fill(queue, {Rank.URGENT: 100})
    count_dequeued(queue, 40)
    fill(queue, {Rank.PATIENT: 1})
    assert count_dequeued(queue, 15)[Rank.PATIENT] == 0
    assert count_dequeued(queue, 2)[Rank.PATIENT] == 1


@pytest.mark.parametrize("policy", [WEIGHTED, STRICT_WITH_FLOORS])
def test_a_rank_that_comes_and_goes_gets_no_more_than_its_share(policy):
    # Guards against a rank that gets more than its share because its queue is empty
    # between its items or because they are removed.
    queue = create_queue(policy)
    fill(queue, {Rank.URGENT: 50})
    dequeued = dict.fromkeys(Rank, 0)
    for number in range(4_000):
        if not queue.count_by_rank()[Rank.PATIENT]:
            queue.enqueue(Rank.PATIENT, (Rank.PATIENT, number))
        rank = queue.dequeue()[0]
        dequeued[rank] += 1
        if rank is Rank.URGENT:
            queue.enqueue(Rank.URGENT, (Rank.URGENT, number))
        if number % 5 == 4:
            queue.remove(lambda item: item[0] is Rank.PATIENT)
    share = 0.1 if policy is STRICT_WITH_FLOORS else 1 / 17
    assert dequeued[Rank.PATIENT] <= 4_000 * share * 1.1


@given(st.sampled_from(POLICIES), st.integers(0, 5))
def test_each_rank_is_bounded_by_itself(policy, limit):
    queue = create_queue(policy, limit)
    for rank in Rank:
        results = [queue.enqueue(rank, (rank, n)) for n in range(limit + 2)]
        assert results == [True] * limit + [False, False]


@given(
    st.sampled_from(POLICIES),
    st.tuples(st.integers(0, 30), st.integers(0, 30), st.integers(0, 30)),
    st.sampled_from(RANKS),
)
def test_estimate_of_items_ahead(policy, counts, rank):
    # Guards against early refusal of work that would have been served in time. Without
    # later arrivals, the estimate must not exceed the actual count by much.
    queue = create_queue(policy)
    fill(queue, dict(zip(Rank, counts, strict=True)))
    ahead = queue.estimate_dispatches_ahead(rank)
    assert 0 <= ahead <= sum(counts)
    queue.enqueue(rank, "mark")
    real = 0
    while queue.dequeue() != "mark":
        real += 1
    match policy:
        case Strict():
            assert ahead == real
        case _:
            assert ahead <= real * 1.12 + 12


def test_floors_do_not_delay_urgent_work_in_a_patient_flood():
    # Guards against floor credit that patient work earns while no other rank waits.
    # Such credit delayed urgent items although patient work got far more than its
    # floor.
    queue = create_queue(STRICT_WITH_FLOORS)
    for number in range(200):
        queue.enqueue(Rank.PATIENT, f"patient-{number}")
    for round_number in range(30):
        for _ in range(4):
            assert queue.dequeue().startswith("patient")
        queue.enqueue(Rank.URGENT, f"urgent-{round_number}")
        assert queue.dequeue() == f"urgent-{round_number}"


@pytest.mark.parametrize("policy", POLICIES)
def test_preferred_items_go_first_within_their_rank_and_none_is_lost(policy):
    """Guards against late work that delays work that can still be on time."""
    queue = create_queue(policy)
    fill(queue, {Rank.URGENT: 4, Rank.PATIENT: 4})
    dequeued = [queue.dequeue(lambda item: item[1] >= 2) for _ in range(8)]
    assert queue.dequeue() is None
    for rank in (Rank.URGENT, Rank.PATIENT):
        assert [number for found, number in dequeued if found is rank] == [2, 3, 0, 1]


def test_what_goes_behind_a_preferred_item_is_not_counted_ahead_of_it():
    queue = create_queue(Strict())
    fill(queue, {Rank.URGENT: 3, Rank.STANDARD: 4})
    ahead = queue.estimate_dispatches_ahead(Rank.STANDARD, lambda item: item[1] >= 3)
    assert ahead == 3 + 1
    assert queue.estimate_dispatches_ahead(Rank.STANDARD) == 3 + 4
