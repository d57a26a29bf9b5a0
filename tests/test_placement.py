"""Owners of services: strong members, near the upstreams, kept until a change."""

import collections

from gooseberrymux.membership import LiveChanged
from gooseberrymux.ownership import OWNERS_NEEDED, select_strongest, weigh_member
from gooseberrymux.placement import Placement
from gooseberrymux.records import InstanceRecord
from harness import FakeMembership
from test_inventory import RECORDS, World


def create_member(name, capacity=1.0, domain="a"):
    return InstanceRecord(
        name=name, host="h", peer_port=1, failure_domain=domain, capacity=capacity
    )


def test_a_members_share_follows_its_capacity():
    members = [create_member("weak"), create_member("strong", capacity=3.0)]
    won = collections.Counter(
        max(members, key=lambda member: weigh_member(key=f"k{key}", member=member)).name
        for key in range(2_000)
    )
    assert 0.70 < won["strong"] / 2_000 < 0.80


def test_the_strong_members_own_and_the_next_ones_take_their_place():
    weak = [create_member(f"w{number}", capacity=0.5) for number in range(20)]
    strong = [create_member(f"s{number}", capacity=2.0) for number in range(8)]
    assert set(select_strongest([*weak, *strong], most=16)) == set(strong)
    left = select_strongest([*weak, *strong[:2]], most=16)
    assert set(strong[:2]) < set(left) and len(left) == OWNERS_NEEDED
    assert len(select_strongest(weak, most=16)) == 16
    assert select_strongest(weak[:3], most=16) != ()
    assert select_strongest([], most=16) == ()


def test_all_members_choose_the_same_whatever_the_order():
    members = [create_member(f"m{number}") for number in range(30)]
    assert select_strongest(members, most=16) == select_strongest(
        members[::-1], most=16
    )


class Members(FakeMembership):
    """Live members that the test sets, and how often they were asked for."""

    def __init__(self, members):
        self.members = members
        self.asked = 0

    def list_live(self):
        self.asked += 1
        return tuple(self.members)


def test_an_owner_is_kept_until_a_member_changes():
    # Guards against hashing over all members for each part of each request.
    world = World()
    members = Members([create_member(f"m{number}") for number in range(8)])
    world.kernel._services["membership"] = members
    world.kernel.load(("placement",))
    placement = world.kernel.find("placement", Placement)
    world.publish(RECORDS)
    owners = {name: placement.find_owner(name) for name in ("s0", "s1")}
    world.publish(RECORDS[:-1])
    assert {name: placement.find_owner(name) for name in owners} == owners
    assert members.asked == 1
    members.members = [m for m in members.members if m.name != owners["s0"]]
    world.kernel.publish(LiveChanged())
    assert placement.find_owner("s0") != owners["s0"]
    assert sum(placement.describe().values()) == 1
