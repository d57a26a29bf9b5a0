"""Which requests a rate-limited service refuses."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.load_shedding import LoadShedder, compute_place, divide_capacity
from gooseberrymux.records import Rank
from gooseberrymux.schedule import RANKS, Strict, StrictWithFloors

NO_FLOORS = dict.fromkeys(RANKS, 0.0)
FLOORS = {Rank.URGENT: 0.0, Rank.STANDARD: 0.1, Rank.PATIENT: 0.1}
REQUESTS_PER_S = 50


def run_second(shedder, capacity_per_s, *, rank=Rank.STANDARD, seconds=6):
    """Offers requests evenly; returns the ids that were taken in the last second."""
    taken = set()
    for number in range(seconds * REQUESTS_PER_S):
        now_ms = number * 1000.0 / REQUESTS_PER_S
        shedder.record_arrival(rank, now_ms)
        is_shed = shedder.is_shed(
            request_id=f"r{number}",
            rank=rank,
            capacity_per_s=capacity_per_s,
            now_ms=now_ms,
        )
        if not is_shed and number >= (seconds - 1) * REQUESTS_PER_S:
            taken.add(f"r{number}")
    return taken


# Guards against fan-outs of which each lacks some part because the services of its
# shards refuse different requests.
def test_services_with_different_limits_take_the_same_requests():
    narrow = run_second(LoadShedder(policy=Strict()), 15.0)
    wide = run_second(LoadShedder(policy=Strict()), 30.0)
    assert narrow and narrow < wide


def test_about_as_many_are_taken_as_the_upstreams_allow():
    taken = run_second(LoadShedder(policy=Strict()), 25.0, seconds=20)
    assert 14 <= len(taken) <= 30


# Guards against refusals by a limit that is higher than the demand.
def test_nothing_is_refused_below_the_limit():
    assert len(run_second(LoadShedder(policy=Strict()), 80.0)) == REQUESTS_PER_S


@given(
    capacity=st.floats(min_value=0.0, max_value=500.0),
    rates=st.lists(st.floats(min_value=0.0, max_value=500.0), min_size=3, max_size=3),
)
def test_no_more_than_the_capacity_is_given_out(capacity, rates):
    arrivals = dict(zip(RANKS, rates, strict=True))
    for floors in (NO_FLOORS, FLOORS):
        shares = divide_capacity(capacity, arrivals=arrivals, floors=floors)
        assert all(0.0 <= share <= 1.0 for share in shares.values())
        granted = sum(shares[rank] * arrivals[rank] for rank in RANKS)
        assert granted <= capacity + 1e-6


def test_urgent_requests_go_first_and_lower_ranks_keep_their_floor():
    arrivals = dict.fromkeys(RANKS, 100.0)
    shares = divide_capacity(100.0, arrivals=arrivals, floors=FLOORS)
    assert shares == {Rank.URGENT: 0.8, Rank.STANDARD: 0.1, Rank.PATIENT: 0.1}
    shares = divide_capacity(100.0, arrivals=arrivals, floors=NO_FLOORS)
    assert shares == {Rank.URGENT: 1.0, Rank.STANDARD: 0.0, Rank.PATIENT: 0.0}


def test_the_policy_gives_the_floors():
    shedder = LoadShedder(policy=StrictWithFloors(floors=FLOORS))
    assert run_second(shedder, 10.0, rank=Rank.PATIENT)


@given(st.text())
def test_a_place_lies_between_0_and_1(request_id):
    assert 0.0 <= compute_place(request_id) < 1.0
