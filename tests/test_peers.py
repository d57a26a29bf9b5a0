"""Links over real sockets: losses, restarts, invalid and misdirected frames."""

import secrets
import threading
import zlib

import pynng
import pytest

from gooseberrymux.clock import Clock
from gooseberrymux.codec import (
    FORM_ZLIB,
    FRAME_LIMIT_BYTES,
    Envelope,
    decode_envelope,
    encode_envelope,
)
from gooseberrymux.messages import (
    CancelSubrequest,
    DocumentRequest,
    MemberUpdate,
    Probe,
)
from gooseberrymux.peers import LinkUp, MessagesNotSent
from gooseberrymux.records import InstanceIdentity, MemberState
from gooseberrymux.settings import Address
from gooseberrystand.proxy import Proxy
from support import Node, running, wait_for

PEERS_ONLY = ("peers",)


@pytest.fixture
def pair():
    one = Node("one", services=PEERS_ONLY)
    two = Node("two", services=PEERS_ONLY)
    one.connect(two)
    two.connect(one)
    for node in (one, two):
        node.peers.register(CancelSubrequest, node.record)
    return one, two


def exchange_greetings(one, two):
    """Exchanges a message each way, so that both sides know the other's incarnation."""
    two.peers.send("one", CancelSubrequest(id="hello"))
    one.peers.send("two", CancelSubrequest(id="hello"))
    wait_for(lambda: one.received and two.received, "first messages")


def test_message_queued_before_the_peer_listens_arrives(pair):
    one, two = pair
    with running(one):
        assert one.peers.send("two", CancelSubrequest(id="early")).is_ok()
        with running(two):
            wait_for(lambda: two.received, "the early message")


def test_dead_peer_is_reported_once_and_then_refused(pair):
    # Guards against calls that wait for their deadline on a peer that is gone, and
    # against a second loss report, which would fail calls made after the first one.
    one, two = pair
    with running(one):
        with running(two):
            exchange_greetings(one, two)
        wait_for(lambda: one.lost, "the loss")
        assert one.peers.send("two", CancelSubrequest(id="late")).is_err()
        one.peers.declare_lost(
            name="two", incarnation=two.peers.identity.incarnation, reason="again"
        )
    assert [event.incarnation for event in one.lost] == [two.peers.identity.incarnation]


def test_restarted_peer_gets_no_message_for_its_earlier_incarnation(pair):
    # Guards against a restarted peer that runs work meant for its earlier incarnation.
    one, two = pair
    with running(one):
        with running(two):
            exchange_greetings(one, two)
        wait_for(lambda: one.lost, "the loss")
        restarted = Node("two", services=PEERS_ONLY, port=two.address.port)
        restarted.connect(one)
        restarted.peers.register(CancelSubrequest, restarted.record)
        with running(restarted):
            wait_for(lambda: one.peers.describe()["up"] == 1, "the connection")
            restarted.peers.send("one", CancelSubrequest(id="new run"))
            wait_for(lambda: len(one.received) == 2, "a message of the new incarnation")
            assert (
                one.peers.get_incarnation("two") == restarted.peers.identity.incarnation
            )
            one.peers.send("two", CancelSubrequest(id="after"))
            wait_for(lambda: restarted.received, "a message for the new incarnation")
            assert [message.id for _, message in restarted.received] == ["after"]
            assert len(one.lost) == 1


def test_message_to_a_lost_incarnation_is_refused_once_the_next_one_listens(pair):
    # Guards against a second loss of the same incarnation: calls sent between the
    # connection to the next incarnation and its first message are meant for the earlier
    # one.
    one, two = pair
    with running(one):
        with running(two):
            exchange_greetings(one, two)
        wait_for(lambda: one.lost, "the loss")
        restarted = Node("two", services=PEERS_ONLY, port=two.address.port)
        with running(restarted):
            wait_for(lambda: one.peers.describe()["up"] == 1, "the connection")
            assert one.peers.send("two", DocumentRequest(names=["early"])).is_err()
            restarted.connect(one)
            restarted.peers.send("one", CancelSubrequest(id="new run"))
            wait_for(lambda: len(one.received) == 2, "a message of the new incarnation")
            assert [event.reason for event in one.lost] == ["connection broke"]


@pytest.mark.parametrize("peer_reset", [True, False])
def test_envelope_for_another_incarnation_is_dropped_and_answered(peer_reset):
    one = Node("one", services=PEERS_ONLY, policy={"peer_reset": peer_reset})
    two = Node("two", services=PEERS_ONLY)
    one.connect(two)
    two.connect(one)
    one.peers.register(CancelSubrequest, one.record)
    two.peers.register(CancelSubrequest, two.record)
    own_incarnation = one.peers.identity.incarnation
    with running(one, two):
        one.peers.send("two", CancelSubrequest(id="hello"))
        wait_for(lambda: two.received, "the incarnation of one")
        with pynng.Push0(dial=f"tcp://{one.address}") as raw:
            sender_incarnation = two.peers.identity.incarnation
            raw.send(
                create_frame(
                    sender_incarnation=sender_incarnation,
                    target_incarnation=own_incarnation - 1,
                )
            )
            raw.send(
                create_frame(
                    sender_incarnation=sender_incarnation,
                    target_incarnation=own_incarnation,
                )
            )
            wait_for(lambda: one.received, "the envelope for this incarnation")
        assert len(one.received) == 1
        assert one.peers.describe()["dropped"] == {"other_incarnation": 1}
        # An IncarnationMismatch, if sent, arrives before this message on the same link.
        one.peers.send("two", CancelSubrequest(id="marker"))
        wait_for(lambda: len(two.received) == 2, "the marker")
        assert two.peers.resets == (1 if peer_reset else 0)


def create_frame(
    *,
    sender="two",
    sender_incarnation=1,
    target="one",
    target_incarnation=0,
    messages=None,
):
    return encode_envelope(
        Envelope(
            sender=sender,
            sender_incarnation=sender_incarnation,
            target=target,
            target_incarnation=target_incarnation,
            messages=messages or [CancelSubrequest(id="x")],
        )
    )


def create_update(name):
    return MemberUpdate(
        instance=name,
        incarnation=1,
        state=MemberState.ALIVE,
        host="127.0.0.1",
        port=1,
        failure_domain="domain-a",
    )


BAD_FRAMES = {
    "undecodable_frame": [
        b"",
        b"\xc1garbage",
        create_frame()[:-3],
        create_frame() + b"\x00",
        b"x" * (FRAME_LIMIT_BYTES + 1),
    ],
    "other_target": [create_frame(target="three")],
    "own_name": [create_frame(sender="one")],
    "unknown_sender": [create_frame(sender="other")],
}


@pytest.mark.parametrize("reason", BAD_FRAMES)
def test_bad_frames_are_dropped_counted_and_logged_once(pair, reason, monkeypatch):
    # Guards against invalid frames that stop the listener or flood the log.
    one, two = pair
    lines = []
    monkeypatch.setattr(
        "gooseberrymux.journal.record_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    frames = BAD_FRAMES[reason] * 3
    with running(one, two):
        with pynng.Push0(dial=f"tcp://{one.address}") as raw:
            for frame in frames:
                raw.send(frame)
            wait_for(
                lambda: one.peers.describe()["dropped"].get(reason) == len(frames),
                "all frames counted",
            )
        exchange_greetings(one, two)
    logged = [fields for event, fields in lines if event == "peers.dropped"]
    assert [fields["reason"] for fields in logged] == [reason]
    assert logged[0]["step"] == "peers.receive"
    assert one.kernel.failure is None


def test_frame_beyond_the_transport_limit_leaves_other_links_up(pair):
    one, two = pair
    with running(one, two):
        with pynng.Push0(dial=f"tcp://{one.address}") as raw:
            raw.send(b"x" * (3 * FRAME_LIMIT_BYTES))
            exchange_greetings(one, two)
    assert one.kernel.failure is None


def test_oversized_message_is_reported_as_not_sent(pair):
    # Guards against a frame over the limit, which the receiver would refuse with all
    # messages in it.
    one, two = pair
    unsent = []
    one.kernel.subscribe(MessagesNotSent, unsent.append)
    with running(one, two):
        one.peers.send("two", CancelSubrequest(id="x" * (FRAME_LIMIT_BYTES + 1)))
        one.peers.send("two", CancelSubrequest(id="small"))
        wait_for(lambda: two.received, "the small message")
    assert [message.id for _, message in two.received] == ["small"]
    assert len(unsent) == 1


def test_first_probe_of_an_unknown_sender_creates_its_link(pair):
    one, _ = pair
    one.peers.register(Probe, one.record)
    update = create_update("new")
    frame = create_frame(sender="new", messages=[Probe(sequence=1, updates=[update])])
    with running(one):
        with pynng.Push0(dial=f"tcp://{one.address}") as raw:
            raw.send(frame)
            wait_for(lambda: one.received, "the probe of an unknown sender")
        assert "new" in one.peers.list_connected()


def test_peer_that_takes_no_more_frames_is_lost(pair):
    # Guards against a thread that blocks forever on a send to a peer with full buffers.
    one, two = pair
    unsent = []
    one.kernel.subscribe(MessagesNotSent, lambda event: unsent.extend(event.messages))
    with running(one), pynng.Pull0(listen=f"tcp://{two.address}"):
        # Random text, as compression would shrink any other below the buffer sizes.
        padding = secrets.token_urlsafe(2_200_000)
        for number in range(24):
            message = DocumentRequest(names=[str(number), padding])
            one.peers.send("two", message)
        wait_for(lambda: one.lost, "the loss")
    assert [event.reason for event in one.lost] == ["send timed out"]
    # Messages that pynng did not accept are reported in the order they were queued.
    numbers = [int(message.names[0]) for message in unsent]
    assert numbers == list(range(numbers[0], 24))


def test_forged_senders_use_bounded_memory(pair, monkeypatch):
    # Guards against a link, with queues and a thread, for each forged sender name.
    one, _ = pair
    monkeypatch.setattr("gooseberrymux.peers.LINKS_LIMIT", 1)
    update = create_update("new")
    frame = create_frame(sender="new", messages=[Probe(sequence=1, updates=[update])])
    with running(one):
        with pynng.Push0(dial=f"tcp://{one.address}") as raw:
            raw.send(frame)
            wait_for(
                lambda: one.peers.describe()["dropped"] == {"unknown_sender": 1},
                "the drop",
            )
    assert one.peers.list_connected() == ("two",)


def test_connection_that_fell_silent_is_replaced(pair):
    # Guards against a peer that stays lost because its connection is unresponsive
    # without being closed.
    one, two = pair
    links_up = []
    one.kernel.subscribe(LinkUp, links_up.append)
    with running(one, two):
        exchange_greetings(one, two)
        proxy = Proxy(target_port=two.address.port)
        one.peers.connect(name="two", address=Address(port=proxy.port))
        # Both, so that the greetings wait for the second message to each side.
        one.received.clear()
        two.received.clear()
        exchange_greetings(one, two)
        two.received.clear()
        proxy.drop_all_data()
        one.peers.send("two", CancelSubrequest(id="swallowed"))
        incarnation = two.peers.identity.incarnation
        one.peers.declare_lost(name="two", incarnation=incarnation, reason="silent")
        wait_for(lambda: links_up, "another connection")
        two.peers.send("one", CancelSubrequest(id="sign of life"))
        wait_for(lambda: not one.peers.is_lost("two"), "a frame of the peer")
        one.peers.send("two", CancelSubrequest(id="heard"))
        wait_for(lambda: two.received, "a message on the new connection")
        assert [message.id for _, message in two.received] == ["heard"]
        proxy.close()


def list_link_threads(name):
    return [t for t in threading.enumerate() if t.name == f"peers.{name}"]


def test_idle_links_have_no_threads_and_keep_their_connections(pair, monkeypatch):
    # Guards against threads that grow with the fleet, and against a connection that is
    # opened anew for each message.
    monkeypatch.setattr("gooseberrymux.links.THREAD_IDLE_MS", 20.0)
    one, two = pair
    with running(one, two):
        for _ in range(3):
            exchange_greetings(one, two)
            wait_for(
                lambda: not list_link_threads("one") and not list_link_threads("two"),
                "the end of the links' threads",
            )
            assert one.peers.describe()["up"] == two.peers.describe()["up"] == 1
            one.received.clear()
            two.received.clear()
        assert one.peers._links["two"]._connection_number == 1
    assert not one.lost


def test_a_peer_that_dies_is_noticed_without_a_thread(pair, monkeypatch):
    # Guards against calls that are sent to a dead peer, because nobody watches an idle
    # connection.
    monkeypatch.setattr("gooseberrymux.links.THREAD_IDLE_MS", 20.0)
    one, two = pair
    with running(one):
        with running(two):
            exchange_greetings(one, two)
            wait_for(lambda: not list_link_threads("two"), "the end of the thread")
        wait_for(lambda: one.lost, "the loss of the peer")
        assert one.peers.send("two", CancelSubrequest(id="late")).is_err()


def test_connections_reset_while_they_are_set_up_are_made_again(pair):
    # Guards against a link that is never redialled: pynng does not redial a connection
    # that was reset during its setup.
    one, two = pair
    with running(one, two):
        proxy = Proxy(target_port=two.address.port)
        one.peers.connect(name="two", address=Address(port=proxy.port))
        for _ in range(4):
            proxy.refuses_connections = True
            proxy.reset()
            wait_for(
                lambda: not one.peers.describe()["up"], "the loss of the connection"
            )
            Clock().sleep_ms(250)
            proxy.refuses_connections = False
            one.peers.send("two", CancelSubrequest(id="again"))
            wait_for(lambda: one.peers.describe()["up"] == 1, "the next connection")
        proxy.close()


def test_run_that_starts_after_the_clock_was_set_back_is_heard(pair):
    # Guards against an instance whose envelopes its peers drop for good, because its
    # incarnation is lower than before its restart.
    one, two = pair
    with running(two):
        with running(one):
            exchange_greetings(one, two)
        port = one.settings.instance.peers.port
        restarted = Node("one", services=PEERS_ONLY, port=port)
        restarted.peers.register(CancelSubrequest, restarted.record)
        earlier_identity = one.peers.identity
        restarted.peers.identity = InstanceIdentity(
            name="one", incarnation=earlier_identity.incarnation - 5_000
        )
        restarted.connect(two)
        two.received.clear()
        with running(restarted):
            wait_for(lambda: two.peers.describe()["up"] == 1, "the connection")
            two.peers.send("one", CancelSubrequest(id="to a run that is gone"))
            wait_for(
                lambda: (
                    restarted.peers.identity.incarnation > earlier_identity.incarnation
                ),
                "a higher incarnation",
            )
            restarted.peers.send("two", CancelSubrequest(id="heard"))
            wait_for(lambda: two.received, "a message of the new incarnation")
            assert two.received[-1][0] == restarted.peers.identity


def test_instance_stays_live_after_its_incarnation_is_raised():
    node = Node("one")
    node.peers._raise_incarnation(node.peers.identity.incarnation + 7)
    (member,) = node.membership.list_members()
    assert member.incarnation == node.peers.identity.incarnation
    assert node.live() == ["one"]


def test_frame_that_decompresses_beyond_the_limit_is_refused():
    # Guards against a small compressed frame that expands until the receiver runs out
    # of memory.
    bomb = FORM_ZLIB + zlib.compress(b"x" * (FRAME_LIMIT_BYTES + 1))
    assert len(bomb) < FRAME_LIMIT_BYTES / 100
    assert decode_envelope(bomb).is_err()


@pytest.mark.parametrize("size", [1, 10_000])
def test_frames_survive_compression(size):
    message = CancelSubrequest(id="x" * size)
    envelope = Envelope(
        sender="one",
        sender_incarnation=1,
        target="two",
        target_incarnation=2,
        messages=[message],
    )
    frame = encode_envelope(envelope)
    assert len(frame) < size + 200
    assert decode_envelope(frame).unwrap() == envelope
    assert decode_envelope(frame[:-1]).is_err()
    assert decode_envelope(b"\x07" + frame[1:]).is_err()
