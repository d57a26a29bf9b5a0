"""A connection between two live instances that is silent in one direction."""

from gooseberrymux.messages import CancelSubrequest
from gooseberrymux.probes import REPLY_TIMEOUT_MS, ProbeTable, ReplyMissing
from gooseberrymux.settings import Address
from gooseberrystand.proxy import Proxy
from support import Node, running, wait_for

PERIODS = {"probe_period_ms": 200}


# Guards against requests that are sent on such a connection until the peer restarts.
def test_a_connection_that_is_silent_one_way_is_replaced():
    one, two, helper = nodes = [
        Node(name, membership=PERIODS) for name in ("one", "two", "helper")
    ]
    proxy = Proxy(target_port=two.address.port)
    two.peers.register(CancelSubrequest, two.record)
    with running(*nodes):
        for node in (one, two):
            node.connect(helper)
            node.membership.probe_immediately("helper")
        for node in nodes:
            wait_for(lambda node=node: len(node.live()) == 3, "all are live")
        one.peers.connect(name="two", address=Address(port=proxy.port))

        def is_received():
            one.peers.send("two", CancelSubrequest(id="x"))
            return two.received

        wait_for(is_received, "a message through the proxy")
        wait_for(lambda: len(one.live()) == 3, "two is live through the proxy")
        proxy.drop_all_data()
        two.received.clear()
        wait_for(is_received, "a message on a new connection")
        assert one.state_of("two") == "alive"
    proxy.close()


def register(table, *, now_ms):
    return table.register_probe(
        target="two", incarnation=1, now_ms=now_ms, indirect=False
    )


def test_a_target_that_is_heard_and_does_not_reply_is_reported():
    table = ProbeTable(timeout_ms=250.0)
    register(table, now_ms=0.0)
    (answered,) = table.evaluate(now_ms=10.0, get_last_heard_ms=lambda name: 5.0)
    assert answered.probe.target == "two"
    (missing,) = table.evaluate(
        now_ms=REPLY_TIMEOUT_MS, get_last_heard_ms=lambda name: 5.0
    )
    assert isinstance(missing, ReplyMissing) and missing.count == 1


# Guards against connections that are opened anew because single replies are late.
def test_a_direct_reply_ends_the_count_and_a_relayed_one_does_not():
    table = ProbeTable(timeout_ms=250.0)
    for number, is_direct in enumerate((False, True, False)):
        now_ms = number * 10_000.0
        sequence = register(table, now_ms=now_ms)
        found = table.complete_probe(
            sequence=sequence, target="two", is_direct=is_direct
        )
        assert found is not None
        outcomes = table.evaluate(
            now_ms=now_ms + REPLY_TIMEOUT_MS, get_last_heard_ms=lambda name: None
        )
        assert [outcome.count for outcome in outcomes] == ([] if is_direct else [1])
