"""State of one link, without sockets."""

import pytest

from gooseberrymux.clock import ManualClock
from gooseberrymux.links import (
    BATCH_LIMIT,
    REDIAL_MS,
    Close,
    Deliver,
    Link,
    Redial,
    ReportDown,
    ReportUp,
    SendBatch,
)
from gooseberrymux.settings import Address


def create_link(*, up=True, incarnation=1):
    link = Link(name="peer", address=Address(port=1), clock=ManualClock())
    if incarnation:
        link.restart(incarnation)
    if up:
        link.mark_up()
    return link


def put(link, message, *, awaited=False, despite_loss=False):
    return link.put(message, awaited=awaited, despite_loss=despite_loss)


def test_loss_names_what_was_queued_and_is_news_once():
    link = create_link()
    put(link, "a")
    link.mark_down()
    assert link.take() == ReportDown()
    loss = link.lose()
    assert (loss.unsent, loss.news, loss.incarnation) == (["a"], True, 1)
    assert link.lose().news is False


def test_peer_that_was_never_heard_is_no_loss_unless_work_waits_for_it():
    # Guards against a loss reported for an instance that is still starting.
    link = create_link(up=False, incarnation=0)
    put(link, "probe", despite_loss=True)
    assert link.lose(silent=True).news is False
    link.mark_up()
    put(link, "call")
    assert link.lose(silent=True).news is True


def test_lost_link_takes_only_probes_and_recovers_when_heard():
    # Guards against calls that are queued for a frozen peer.
    link = create_link()
    link.lose(silent=True)
    assert put(link, "call") is not None
    assert put(link, "probe", despite_loss=True) is None
    link.mark_heard()
    assert put(link, "call") is None


def test_link_that_stands_again_takes_calls_once_the_peer_is_heard():
    # Guards against calls to a run that is gone: what listens at the address after a
    # break may be the next run, which refuses them.
    link = create_link()
    link.mark_down()
    link.take()
    link.lose()
    link.mark_up()
    assert link.take() == ReportUp()
    assert put(link, "call") is not None
    assert put(link, "probe", despite_loss=True) is None
    assert link.restart(2).news is False
    assert put(link, "call for run 2") is None


def test_first_connection_is_no_news():
    link = create_link(up=False)
    link.mark_up()
    put(link, "call")
    assert link.take() == SendBatch(messages=["call"], incarnation=1)


class WaitsError(Exception):
    """A step is not due yet."""


class ImpatientClock(ManualClock):
    def wait(self, condition, timeout_ms):
        raise WaitsError(timeout_ms)


def test_connection_that_is_not_made_in_time_is_dialled_anew():
    # Guards against a peer that stays unreachable for good: pynng gives up on a
    # connection that was reset while it was set up.
    clock = ImpatientClock()
    link = Link(name="peer", address=Address(port=1), clock=clock)
    link.begin_connection()
    with pytest.raises(WaitsError):
        link.take()
    clock.advance(REDIAL_MS)
    assert link.take() == Redial()


def test_connection_that_breaks_has_time_to_be_made_again():
    # Guards against a fresh connection that is closed by an immediate redial.
    clock = ImpatientClock()
    link = Link(name="peer", address=Address(port=1), clock=clock)
    number = link.begin_connection()
    link.mark_up(number)
    clock.advance(REDIAL_MS * 100)
    link.mark_down(number)
    assert link.take() == ReportDown()
    link.lose()
    with pytest.raises(WaitsError):
        link.take()


def test_next_run_gets_no_message_before_there_is_a_connection_to_it():
    # Guards against calls that wait at a link whose peer is heard and not reached.
    link = create_link()
    link.mark_down()
    link.take()
    link.lose()
    link.restart(2)
    assert put(link, "call") is not None


def test_link_that_broke_refuses_probes_too():
    link = create_link()
    link.mark_down()
    link.take()
    link.lose()
    assert put(link, "probe", despite_loss=True) is not None


def test_restart_drops_what_was_queued_for_the_earlier_run():
    link = create_link()
    put(link, "for run 1")
    loss = link.restart(2)
    assert loss.unsent == ["for run 1"]
    assert loss.incarnation == 1
    put(link, "for run 2")
    assert link.take() == SendBatch(messages=["for run 2"], incarnation=2)


def test_messages_before_the_first_contact_survive_it():
    link = create_link(incarnation=0)
    put(link, "first")
    assert link.restart(5) is None
    assert link.take() == SendBatch(messages=["first"], incarnation=5)


def test_awaited_answers_are_counted():
    link = create_link()
    put(link, "request", awaited=True)
    put(link, "request", awaited=True)
    link.mark_answered()
    assert link.awaited == 1
    link.lose()
    assert link.awaited == 0


def test_link_is_idle_as_soon_as_its_batch_is_sent():
    # Guards against a planned stop that waits for its deadline: it looks again when a
    # batch was sent, and not when the link's task asks for its next step.
    link = create_link()
    put(link, "outcome")
    assert not link.is_idle
    link.take()
    assert not link.is_idle
    link.mark_sent()
    assert link.is_idle


def test_what_arrives_and_what_is_queued_take_turns():
    # Guards against a peer whose flood of messages holds up what is sent to it.
    link = create_link()
    for number in range(BATCH_LIMIT * 2):
        link.receive(f"in {number}")
        put(link, f"out {number}")
    kinds = []
    for _ in range(4):
        kinds.append(type(link.take()))
        link.mark_sent()
    assert kinds == [Deliver, SendBatch, Deliver, SendBatch]


def test_closed_link_hands_out_and_sends_what_is_left():
    link = create_link()
    link.receive("arrived")
    put(link, "queued")
    link.close()
    assert not link.receive("too late")
    assert link.take() == Deliver(envelopes=["arrived"])
    assert link.take() == SendBatch(messages=["queued"], incarnation=1)
    assert link.take() == Close()


def test_full_link_takes_nothing_more(monkeypatch):
    monkeypatch.setattr("gooseberrymux.links.INBOUND_LIMIT", 1)
    link = create_link()
    assert link.receive("first")
    assert not link.receive("second")
