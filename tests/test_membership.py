"""Membership of instances that are connected over real sockets."""

import pynng

from gooseberrymux.codec import Envelope, encode_envelope
from gooseberrymux.membership import LiveChanged, MemberChanged
from gooseberrymux.messages import MemberUpdate, Probe, Subrequest
from gooseberrymux.records import InstanceIdentity, InstanceRecord, MemberState, Rank
from gooseberrymux.settings import Address
from gooseberrystand.proxy import Proxy
from support import Node, find_free_port, running, wait_for

FAST_PROBING = {"probe_period_ms": 50, "probe_timeout_ms": 100, "suspect_ms": 200}


def create_fleet(count):
    first = Node("node-0", membership=FAST_PROBING)
    seeds = [{"port": first.address.port}]
    return [
        first,
        *(
            Node(f"node-{number}", membership={**FAST_PROBING, "seeds": seeds})
            for number in range(1, count)
        ),
    ]


def create_record(node, *, name=None):
    return InstanceRecord(
        name=name or node.settings.instance.name,
        host=node.address.host,
        peer_port=node.address.port,
        failure_domain="domain-a",
    )


def test_members_find_each_other_by_one_seed_and_drop_a_dead_one():
    nodes = create_fleet(4)
    all_names = [node.settings.instance.name for node in nodes]
    changes = []
    nodes[0].kernel.subscribe(MemberChanged, changes.append)
    with running(*nodes[:3]):
        with running(nodes[3]):
            wait_for(
                lambda: all(node.live() == all_names for node in nodes), "full tables"
            )
        wait_for(
            lambda: all(node.state_of("node-3") == "dead" for node in nodes[:3]),
            "node-3 dead in every table",
        )
        assert all(node.live() == all_names[:3] for node in nodes[:3])
        # The platform's list lags and still names the dead instance.
        nodes[0].membership.handle_listed_instance(create_record(nodes[3]))
        assert nodes[0].live() == all_names[:3]
    states = [event.state for event in changes if event.instance == "node-3"]
    assert states == ["alive", "suspect", "dead"]
    assert [loss.instance for loss in nodes[0].lost].count("node-3") == 1


def test_restarted_member_is_live_again_in_its_new_run():
    nodes = create_fleet(2)
    with running(nodes[0]):
        with running(nodes[1]):
            wait_for(lambda: len(nodes[0].live()) == 2, "both")
        wait_for(lambda: nodes[0].state_of("node-1") == "dead", "node-1 dead")
        restarted = Node(
            "node-1",
            port=nodes[1].address.port,
            membership={**FAST_PROBING, "seeds": [{"port": nodes[0].address.port}]},
        )
        with running(restarted):
            wait_for(lambda: len(nodes[0].live()) == 2, "the new run")


def test_falsely_accused_member_refutes():
    nodes = create_fleet(2)
    with running(*nodes):
        wait_for(lambda: all(len(node.live()) == 2 for node in nodes), "both")
        accused = next(
            member
            for member in nodes[0].membership.list_members()
            if member.instance == "node-1"
        )
        accusation = MemberUpdate(
            instance="node-1",
            incarnation=accused.incarnation,
            sequence=accused.sequence,
            state=MemberState.DEAD,
            host=accused.host,
            port=accused.port,
            failure_domain=accused.failure_domain,
        )
        nodes[0].membership.merge_updates(
            [accusation], sender=InstanceIdentity(name="gossip", incarnation=1)
        )
        assert nodes[0].live() == ["node-0"]
        wait_for(lambda: len(nodes[0].live()) == 2, "the refutation")


def test_member_whose_connection_was_reset_is_live_again_at_once():
    # Guards against an instance whose connections were reset and that excludes all
    # others, and so owns all upstreams itself, until it probes them in later periods.
    # Also guards against a suspicion and a refutation that spread through the whole
    # fleet for each broken connection.
    slow_probing = {**FAST_PROBING, "probe_period_ms": 60_000, "suspect_ms": 60_000}
    first = Node("node-0", membership=slow_probing)
    seeds = [{"port": first.address.port}]
    second = Node("node-1", membership={**slow_probing, "seeds": seeds})
    live_views, changes = [], []
    with running(first, second):
        wait_for(lambda: len(first.live()) == len(second.live()) == 2, "both")
        proxy = Proxy(target_port=second.address.port)
        first.peers.connect(name="node-1", address=Address(port=proxy.port))
        first.membership.probe_immediately("node-1")
        wait_for(
            lambda: first.peers.get_incarnation("node-1"), "the link through the proxy"
        )
        first.kernel.subscribe(
            LiveChanged, lambda event: live_views.append(first.live())
        )
        first.kernel.subscribe(MemberChanged, changes.append)
        proxy.reset()
        wait_for(lambda: len(live_views) >= 2, "the loss and the recovery")
        assert live_views == [["node-0"], ["node-0", "node-1"]]
        assert not changes
        proxy.close()


def test_members_reach_each_other_at_the_advertised_address():
    port = find_free_port()
    proxy = Proxy(target_port=port)
    first = Node("node-0", membership=FAST_PROBING)
    second = Node(
        "node-1",
        port=port,
        instance={"advertised_peers": f"127.0.0.1:{proxy.port}"},
        membership={**FAST_PROBING, "seeds": [{"port": first.address.port}]},
    )
    with running(first, second):
        wait_for(lambda: len(first.live()) == len(second.live()) == 2, "both")
        (member,) = [m for m in first.membership.list_live() if m.name == "node-1"]
        assert member.peer_port == proxy.port
        proxy.close()


def test_member_that_only_the_list_names_owns_nothing():
    # Guards against work queued at a dead instance that the lagging list still names.
    node, absent = Node("node-0", membership=FAST_PROBING), Node("node-1")
    with running(node):
        node.membership.handle_listed_instance(create_record(absent))
        assert node.live() == ["node-0"]
        wait_for(lambda: node.state_of("node-1") == "dead", "node-1 dead")


def test_planned_stop_is_told_to_peers_before_the_links_close():
    nodes = create_fleet(2)
    with running(*nodes):
        wait_for(lambda: all(len(node.live()) == 2 for node in nodes), "both")
        nodes[1].kernel.drain(nodes[1].kernel.clock.now_ms() + 1_000)
        wait_for(lambda: nodes[0].state_of("node-1") == "leaving", "the leaving state")
        assert nodes[0].live() == ["node-0"]


def test_peer_that_owes_an_answer_and_falls_silent_is_given_up():
    # Guards against calls that wait for a frozen peer until the next probe period. A
    # listener that accepts frames and never replies stands in for the frozen peer.
    node = Node("node-0", membership={**FAST_PROBING, "probe_period_ms": 60_000})
    silent = Node("node-1")
    with running(node), pynng.Pull0(listen=f"tcp://{silent.address}"):
        update = MemberUpdate(
            instance="node-1",
            incarnation=7,
            state=MemberState.ALIVE,
            host=silent.address.host,
            port=silent.address.port,
            failure_domain="domain-a",
        )
        node.membership.merge_updates(
            [update], sender=InstanceIdentity(name="node-1", incarnation=7)
        )
        with pynng.Push0(dial=f"tcp://{node.address}") as sender_socket:
            sender_socket.send(
                encode_envelope(
                    Envelope(
                        sender="node-1",
                        sender_incarnation=7,
                        target="node-0",
                        target_incarnation=0,
                        messages=[Probe(sequence=1, updates=[update])],
                    )
                )
            )
            wait_for(
                lambda: node.peers.get_incarnation("node-1") == 7, "the run of node-1"
            )
        assert not node.lost
        node.peers.send(
            "node-1",
            Subrequest(
                id="s", request_id="q", upstream="u", rank=Rank.URGENT, remaining_ms=1
            ),
        )
        wait_for(lambda: node.lost, "the loss")
        assert node.live() == ["node-0"]
        assert [loss.reason for loss in node.lost] == ["no answer to probes"]
