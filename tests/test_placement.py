"""Choice of service owners by capacity, and how long a choice is cached."""

import collections

from gooseberrymux.membership import LiveChanged
from gooseberrymux.ownership import (
    MIN_OWNERS,
    compute_weighted_score,
    select_eligible_owners,
)
from gooseberrymux.placement import Placement
from gooseberrymux.records import InstanceRecord
from harness import FakeMembership
from test_inventory import RECORDS, InventoryHarness


def create_member(name, capacity=1.0, domain="a"):
    return InstanceRecord(
        name=name, host="h", peer_port=1, failure_domain=domain, capacity=capacity
    )


def test_a_members_share_follows_its_capacity():
    members = [create_member("weak"), create_member("strong", capacity=3.0)]
    won = collections.Counter(
        max(
            members,
            key=lambda member: compute_weighted_score(key=f"k{key}", member=member),
        ).name
        for key in range(2_000)
    )
    assert 0.70 < won["strong"] / 2_000 < 0.80


def test_the_strong_members_own_and_the_next_ones_take_their_place():
    weak = [create_member(f"w{number}", capacity=0.5) for number in range(20)]
    strong = [create_member(f"s{number}", capacity=2.0) for number in range(8)]
    assert set(select_eligible_owners([*weak, *strong], max_owners=16)) == set(strong)
    left = select_eligible_owners([*weak, *strong[:2]], max_owners=16)
    assert set(strong[:2]) < set(left) and len(left) == MIN_OWNERS
    assert len(select_eligible_owners(weak, max_owners=16)) == 16
    assert select_eligible_owners(weak[:3], max_owners=16) != ()
    assert select_eligible_owners([], max_owners=16) == ()


def test_all_members_choose_the_same_whatever_the_order():
    members = [create_member(f"m{number}") for number in range(30)]
    assert select_eligible_owners(members, max_owners=16) == select_eligible_owners(
        members[::-1], max_owners=16
    )


class CountingMembership(FakeMembership):
    """Lists members set by the test and counts the calls of `list_live`."""

    def __init__(self, members):
        self.members = members
        self.list_live_calls = 0

    def list_live(self):
        self.list_live_calls += 1
        return tuple(self.members)


def test_an_owner_is_kept_until_a_member_changes():
    # Guards against hashing all members again for each part of each request.
    inventory_harness = InventoryHarness()
    members = CountingMembership([create_member(f"m{number}") for number in range(8)])
    inventory_harness.kernel._services["membership"] = members
    inventory_harness.kernel.load(("placement",))
    placement = inventory_harness.kernel.find("placement", Placement)
    inventory_harness.publish(RECORDS)
    owners = {name: placement.find_owner(name) for name in ("s0", "s1")}
    inventory_harness.publish(RECORDS[:-1])
    assert {name: placement.find_owner(name) for name in owners} == owners
    assert members.list_live_calls == 1
    members.members = [m for m in members.members if m.name != owners["s0"]]
    inventory_harness.kernel.publish(LiveChanged())
    assert placement.find_owner("s0") != owners["s0"]
    assert sum(placement.describe().values()) == 1
