"""State and steps of one link, without sockets."""

import pytest

from gooseberrymux.clock import ManualClock
from gooseberrymux.links import (
    BATCH_LIMIT_ITEMS,
    REDIAL_TIMEOUT_MS,
    Close,
    Deliver,
    Link,
    Redial,
    ReportDown,
    ReportUp,
    SendBatch,
    Suspend,
)
from gooseberrymux.settings import Address


def create_link(*, up=True, incarnation=1):
    link = Link(name="peer", address=Address(port=1), clock=ManualClock())
    if incarnation:
        link.update_incarnation(incarnation)
    if up:
        link.mark_up()
    return link


def enqueue(link, message, *, awaited_answers=False, despite_loss=False):
    return link.enqueue(
        message, awaited_answers=awaited_answers, despite_loss=despite_loss
    )


def test_loss_lists_queued_messages_and_is_reportable_once():
    link = create_link()
    enqueue(link, "a")
    link.mark_down()
    assert link.wait_next_step() == ReportDown()
    loss = link.mark_lost()
    assert (loss.unsent, loss.is_reportable, loss.incarnation) == (["a"], True, 1)
    assert link.mark_lost().is_reportable is False


def test_loss_of_an_unheard_peer_is_reportable_only_with_queued_calls():
    # Guards against a loss reported for an instance that is still starting.
    link = create_link(up=False, incarnation=0)
    enqueue(link, "probe", despite_loss=True)
    assert link.mark_lost(is_unresponsive=True).is_reportable is False
    link.mark_up()
    enqueue(link, "call")
    assert link.mark_lost(is_unresponsive=True).is_reportable is True


def test_lost_link_takes_only_probes_and_recovers_when_heard():
    # Guards against calls that are queued for a frozen peer.
    link = create_link()
    link.mark_lost(is_unresponsive=True)
    assert enqueue(link, "call") is not None
    assert enqueue(link, "probe", despite_loss=True) is None
    link.mark_heard()
    assert enqueue(link, "call") is None


def test_reconnected_link_accepts_calls_once_the_peer_is_heard():
    # Guards against calls to an incarnation that is gone: the process that listens at
    # the address after a reconnection may be the next one, which refuses them.
    link = create_link()
    link.mark_down()
    link.wait_next_step()
    link.mark_lost()
    link.mark_up()
    assert link.wait_next_step() == ReportUp()
    assert enqueue(link, "call") is not None
    assert enqueue(link, "probe", despite_loss=True) is None
    assert link.update_incarnation(2).is_reportable is False
    assert enqueue(link, "call for run 2") is None


def test_first_connection_is_not_reported():
    link = create_link(up=False)
    link.mark_up()
    enqueue(link, "call")
    assert link.wait_next_step() == SendBatch(messages=["call"], incarnation=1)


class WouldWaitError(Exception):
    """No step is due, so the caller would block."""


class NonBlockingClock(ManualClock):
    """Raises `WouldWaitError` instead of waiting."""

    def wait(self, condition, timeout_ms):
        raise WouldWaitError(timeout_ms)


def test_connection_that_is_not_made_in_time_is_dialled_anew():
    # Guards against a peer that stays unreachable for good: pynng does not redial a
    # connection that was reset during its setup.
    clock = NonBlockingClock()
    link = Link(name="peer", address=Address(port=1), clock=clock)
    link.register_connection()
    with pytest.raises(WouldWaitError):
        link.wait_next_step()
    clock.advance(REDIAL_TIMEOUT_MS)
    assert link.wait_next_step() == Redial()


def test_connection_that_breaks_has_time_to_be_made_again():
    # Guards against an immediate redial that closes the connection that pynng is
    # setting up again.
    clock = NonBlockingClock()
    link = Link(name="peer", address=Address(port=1), clock=clock)
    number = link.register_connection()
    link.mark_up(number)
    clock.advance(REDIAL_TIMEOUT_MS * 100)
    link.mark_down(number)
    assert link.wait_next_step() == ReportDown()
    link.mark_lost()
    with pytest.raises(WouldWaitError):
        link.wait_next_step()


def test_next_incarnation_gets_no_message_before_it_is_connected():
    # Guards against calls that wait on a link whose peer sends frames while the
    # connection to it is still down.
    link = create_link()
    link.mark_down()
    link.wait_next_step()
    link.mark_lost()
    link.update_incarnation(2)
    assert enqueue(link, "call") is not None


def test_link_that_broke_refuses_probes_too():
    link = create_link()
    link.mark_down()
    link.wait_next_step()
    link.mark_lost()
    assert enqueue(link, "probe", despite_loss=True) is not None


def test_restart_drops_messages_queued_for_the_earlier_incarnation():
    link = create_link()
    enqueue(link, "for run 1")
    loss = link.update_incarnation(2)
    assert loss.unsent == ["for run 1"]
    assert loss.incarnation == 1
    enqueue(link, "for run 2")
    assert link.wait_next_step() == SendBatch(messages=["for run 2"], incarnation=2)


def test_messages_before_the_first_contact_survive_it():
    link = create_link(incarnation=0)
    enqueue(link, "first")
    assert link.update_incarnation(5) is None
    assert link.wait_next_step() == SendBatch(messages=["first"], incarnation=5)


def test_awaited_answers_are_counted():
    link = create_link()
    enqueue(link, "request", awaited_answers=True)
    enqueue(link, "request", awaited_answers=True)
    link.mark_answered()
    assert link.awaited_answers == 1
    link.mark_lost()
    assert link.awaited_answers == 0


def test_link_is_idle_as_soon_as_its_batch_is_sent():
    # Guards against a planned stop that waits until its deadline: the stop checks the
    # links again when a batch was sent, and not when a link's thread asks for its next
    # step.
    link = create_link()
    enqueue(link, "outcome")
    assert not link.is_idle
    link.wait_next_step()
    assert not link.is_idle
    link.mark_sent()
    assert link.is_idle


def test_deliveries_and_sends_alternate():
    # Guards against a peer that sends so much that messages to it are delayed.
    link = create_link()
    for number in range(BATCH_LIMIT_ITEMS * 2):
        link.enqueue_received(f"in {number}")
        enqueue(link, f"out {number}")
    kinds = []
    for _ in range(4):
        kinds.append(type(link.wait_next_step()))
        link.mark_sent()
    assert kinds == [Deliver, SendBatch, Deliver, SendBatch]


def test_closed_link_delivers_and_sends_what_is_queued():
    link = create_link()
    link.enqueue_received("arrived")
    enqueue(link, "queued")
    link.close()
    assert not link.enqueue_received("too late")
    assert link.wait_next_step() == Deliver(envelopes=["arrived"])
    assert link.wait_next_step() == SendBatch(messages=["queued"], incarnation=1)
    assert link.wait_next_step() == Close()


def test_full_inbound_queue_refuses_envelopes(monkeypatch):
    monkeypatch.setattr("gooseberrymux.links.INBOUND_LIMIT_ENVELOPES", 1)
    link = create_link()
    assert link.enqueue_received("first")
    assert not link.enqueue_received("second")


class ExpiringClock(ManualClock):
    """A clock on which each wait passes its timeout at once."""

    def wait(self, condition, timeout_ms):
        return False


class ThreadCounter:
    """Counts how often a link asks for a thread."""

    def __init__(self, link):
        self.started = 0
        link.start_thread = self.start

    def start(self):
        self.started += 1


def create_idle_link():
    """Returns a link that is up and whose thread has ended, and its counter."""
    link = Link(name="peer", address=Address(port=1), clock=ExpiringClock())
    threads = ThreadCounter(link)
    enqueue(link, "first")
    link.mark_up(link.register_connection())
    assert isinstance(link.wait_next_step(), SendBatch)
    link.mark_sent()
    assert link.wait_next_step() == Suspend()
    assert threads.started == 1
    return link, threads


def test_an_idle_link_gives_up_its_thread_and_gets_another_with_the_next_message():
    # Guards against one thread for each member of a large fleet.
    link, threads = create_idle_link()
    assert enqueue(link, "next") is None
    assert threads.started == 2
    assert link.wait_next_step().messages == ["next"]


def test_whatever_happens_to_a_link_without_a_thread_starts_one():
    # Guards against a broken connection that nobody reports or replaces.
    for act, expected in (
        (lambda link: link.mark_down(1), ReportDown()),
        (lambda link: link.enqueue_received("envelope"), None),
        (lambda link: link.close(), Close()),
        (lambda link: link.mark_lost(is_unresponsive=True), Redial()),
    ):
        link, threads = create_idle_link()
        link.update_incarnation(1)
        act(link)
        assert threads.started == 2
        step = link.wait_next_step()
        assert step == expected or isinstance(step, Deliver)


def test_a_link_that_is_down_keeps_its_thread():
    # Guards against a link to a restarted peer that is not dialled again.
    link, threads = create_idle_link()
    link.mark_down(1)
    assert link.wait_next_step() == ReportDown()
    link.mark_lost()
    link._clock.advance(REDIAL_TIMEOUT_MS)
    assert link.wait_next_step() == Redial()
    assert threads.started == 2


def test_a_link_that_was_never_used_starts_no_thread_when_it_is_closed():
    link = Link(name="peer", address=Address(port=1), clock=ExpiringClock())
    threads = ThreadCounter(link)
    link.mark_lost()
    link.close()
    assert threads.started == 0
