"""Rank queue: order, floors, bounds, and no saved-up credit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.records import Rank
from gooseberrymux.schedule import RankQueue, Strict, StrictWithFloors, Weighted

FLOORS = StrictWithFloors(
    floors={Rank.URGENT: 0.0, Rank.STANDARD: 0.06, Rank.PATIENT: 0.04}
)
WEIGHTED = Weighted(weights={Rank.URGENT: 16, Rank.STANDARD: 4, Rank.PATIENT: 1})
POLICIES = [Strict(), WEIGHTED, FLOORS]
RANKS = list(Rank)


def create_queue(policy, limit=10_000):
    return RankQueue(policy=policy, limits=dict.fromkeys(Rank, limit))


def fill(queue, counts):
    for rank, count in counts.items():
        for number in range(count):
            assert queue.put(rank, (rank, number))


def count_taken(queue, dispatches, refill=()):
    taken = dict.fromkeys(Rank, 0)
    for number in range(dispatches):
        rank = queue.take()[0]
        taken[rank] += 1
        if rank in refill:
            queue.put(rank, (rank, number))
    return taken


@given(
    st.sampled_from(POLICIES),
    st.lists(st.one_of(st.none(), st.sampled_from(RANKS)), max_size=200),
)
def test_no_item_is_lost_repeated_or_overtaken_in_its_rank(policy, steps):
    # Guards against work that is lost or run out of order inside a rank.
    queue, put, taken = create_queue(policy), [], []
    for number, rank in enumerate(steps):
        if rank is None:
            if (item := queue.take()) is not None:
                taken.append(item)
        else:
            queue.put(rank, (rank, number))
            put.append((rank, number))
    while (item := queue.take()) is not None:
        taken.append(item)
    for rank in Rank:
        assert [i for i in taken if i[0] is rank] == [i for i in put if i[0] is rank]


@given(st.dictionaries(st.sampled_from(RANKS), st.integers(1, 20)))
def test_strict_serves_the_most_urgent_first(counts):
    queue = create_queue(Strict())
    fill(queue, counts)
    taken = [queue.take()[0] for _ in range(sum(counts.values()))]
    assert taken == sorted(taken, key=RANKS.index)


@pytest.mark.parametrize(
    "lower", [(Rank.STANDARD, Rank.PATIENT), (Rank.PATIENT,), (Rank.STANDARD,)]
)
def test_lower_ranks_together_keep_the_floor_in_an_urgent_flood(lower):
    # Guards against a flood of urgent work that starves the other ranks, also when
    # only one of them has work.
    queue = create_queue(FLOORS)
    fill(queue, {Rank.URGENT: 50, **dict.fromkeys(lower, 500)})
    taken = count_taken(queue, 2_000, refill=(Rank.URGENT,))
    assert sum(taken[rank] for rank in lower) == pytest.approx(200, rel=0.1)
    if len(lower) == 2:
        assert taken[Rank.PATIENT] == pytest.approx(80, rel=0.1)


@given(st.integers(1, 60), st.integers(0, 60))
def test_a_rank_that_was_idle_has_no_credit(waited, idle):
    # Guards against a rank that saves up credit, goes idle, and then overtakes
    # urgent work in a burst.
    queue = create_queue(FLOORS)
    fill(queue, {Rank.URGENT: waited + idle, Rank.PATIENT: 1})
    count_taken(queue, waited)
    while queue.count_by_rank()[Rank.PATIENT]:
        queue.take()
    fill(queue, {Rank.URGENT: 100})
    count_taken(queue, idle)
    fill(queue, {Rank.PATIENT: 10, Rank.URGENT: 100})
    # The first dispatch by floor comes after 1 / 0.1 dispatches and no sooner.
    assert count_taken(queue, 9)[Rank.PATIENT] == 0
    assert count_taken(queue, 2)[Rank.PATIENT] == 1


def test_weights_hold_and_an_idle_rank_saves_nothing():
    queue = create_queue(WEIGHTED)
    fill(queue, {Rank.URGENT: 3_000, Rank.STANDARD: 900})
    taken = count_taken(queue, 1_000)
    assert taken[Rank.STANDARD] == pytest.approx(200, rel=0.1)
    fill(queue, {Rank.PATIENT: 500})
    assert count_taken(queue, 420)[Rank.PATIENT] == pytest.approx(20, abs=2)


def test_a_rank_that_was_idle_waits_for_its_weight():
    # Guards against a patient item that overtakes urgent ones by arriving late.
    queue = create_queue(WEIGHTED)
    fill(queue, {Rank.URGENT: 100})
    count_taken(queue, 40)
    fill(queue, {Rank.PATIENT: 1})
    assert count_taken(queue, 15)[Rank.PATIENT] == 0
    assert count_taken(queue, 2)[Rank.PATIENT] == 1


@pytest.mark.parametrize("policy", [WEIGHTED, FLOORS])
def test_a_rank_that_comes_and_goes_gets_no_more_than_its_share(policy):
    # Guards against a rank that gains by emptying its queue between its items, or by
    # having them removed.
    queue = create_queue(policy)
    fill(queue, {Rank.URGENT: 50})
    taken = dict.fromkeys(Rank, 0)
    for number in range(4_000):
        if not queue.count_by_rank()[Rank.PATIENT]:
            queue.put(Rank.PATIENT, (Rank.PATIENT, number))
        rank = queue.take()[0]
        taken[rank] += 1
        if rank is Rank.URGENT:
            queue.put(Rank.URGENT, (Rank.URGENT, number))
        if number % 5 == 4:
            queue.remove(lambda item: item[0] is Rank.PATIENT)
    share = 0.1 if policy is FLOORS else 1 / 17
    assert taken[Rank.PATIENT] <= 4_000 * share * 1.1


@given(st.sampled_from(POLICIES), st.integers(0, 5))
def test_each_rank_is_bounded_by_itself(policy, limit):
    queue = create_queue(policy, limit)
    for rank in Rank:
        results = [queue.put(rank, (rank, n)) for n in range(limit + 2)]
        assert results == [True] * limit + [False, False]


@given(
    st.sampled_from(POLICIES),
    st.tuples(st.integers(0, 30), st.integers(0, 30), st.integers(0, 30)),
    st.sampled_from(RANKS),
)
def test_estimate_of_items_ahead(policy, counts, rank):
    # Guards against early refusal of work that would have been served in time: the
    # estimate for a closed queue is never above what was really ahead by much.
    queue = create_queue(policy)
    fill(queue, dict(zip(Rank, counts, strict=True)))
    ahead = queue.count_ahead(rank)
    assert 0 <= ahead <= sum(counts)
    queue.put(rank, "mark")
    real = 0
    while queue.take() != "mark":
        real += 1
    match policy:
        case Strict():
            assert ahead == real
        case _:
            assert ahead <= real * 1.12 + 12


def test_floors_do_not_delay_urgent_work_in_a_patient_flood():
    # Guards against floor credit that patient work earns while it has the upstream to
    # itself: it delayed urgent items although patient work was far above its floor.
    queue = create_queue(FLOORS)
    for number in range(200):
        queue.put(Rank.PATIENT, f"patient-{number}")
    for round_number in range(30):
        for _ in range(4):
            assert queue.take().startswith("patient")
        queue.put(Rank.URGENT, f"urgent-{round_number}")
        assert queue.take() == f"urgent-{round_number}"


@pytest.mark.parametrize("policy", POLICIES)
def test_preferred_items_go_first_within_their_rank_and_none_is_lost(policy):
    """Guards against work that is late anyway and holds up what could be on time."""
    queue = create_queue(policy)
    fill(queue, {Rank.URGENT: 4, Rank.PATIENT: 4})
    taken = [queue.take(lambda item: item[1] >= 2) for _ in range(8)]
    assert queue.take() is None
    for rank in (Rank.URGENT, Rank.PATIENT):
        assert [number for found, number in taken if found is rank] == [2, 3, 0, 1]


def test_what_goes_behind_a_preferred_item_is_not_counted_ahead_of_it():
    queue = create_queue(Strict())
    fill(queue, {Rank.URGENT: 3, Rank.STANDARD: 4})
    ahead = queue.count_ahead(Rank.STANDARD, lambda item: item[1] >= 3)
    assert ahead == 3 + 1
    assert queue.count_ahead(Rank.STANDARD) == 3 + 4
