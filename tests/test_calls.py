"""Tests of calls in flight: ids, foreign and late outcomes, lost owners, dispatch."""

import pytest

from gooseberrymux.calls import Calls, Inbox, UnexpectedOutcome
from gooseberrymux.membership import LiveChanged, Membership
from gooseberrymux.messages import (
    CancelSubrequest,
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestUnknown,
)
from gooseberrymux.ownership import find_owner
from gooseberrymux.peers import MessagesNotSent, PeerLost, Peers
from gooseberrymux.records import InstanceIdentity, Rank, UpstreamRecord
from harness import create_kernel

UPSTREAM = UpstreamRecord(
    name="u", host="127.0.0.1", port=1, service="s0", failure_domain="a"
)


class EntryInstance:
    """The `Calls` service of an entry instance with one other member, the owner."""

    def __init__(self, **settings):
        self.kernel = create_kernel(members=("owner",), **settings)
        self.calls = self.kernel.find("calls", Calls)
        self.peers = self.kernel.find("peers", Peers)
        self.inbox = Inbox(clock=self.kernel.clock)

    def create_subrequest(self, subrequest_id):
        return Subrequest(
            id=subrequest_id,
            request_id="q",
            upstream="u",
            rank=Rank.URGENT,
            remaining_ms=1000.0,
        )

    def publish_not_sent(self, subrequest_id):
        message = self.create_subrequest(subrequest_id)
        self.kernel.publish(MessagesNotSent(instance="owner", messages=[message]))

    def send(self):
        subrequest = self.create_subrequest(self.calls.create_id("s"))
        self.calls.send(subrequest=subrequest, upstream=UPSTREAM, inbox=self.inbox)
        return subrequest.id

    def dequeue_outcomes(self):
        return self.inbox.dequeue_all(self.kernel.clock.now_ms())

    def publish_owner_lost(self, incarnation):
        self.kernel.publish(
            PeerLost(instance="owner", incarnation=incarnation, reason="test")
        )


def create_completed(subrequest_id):
    return SubrequestCompleted(
        id=subrequest_id, version="v", shard="x", reply={}, upstream_ms=1, queued_ms=0
    )


@pytest.fixture
def entry():
    return EntryInstance()


def test_ids_differ_between_incarnations(entry):
    # Guards against a late outcome that matches a sub-request which the instance sent
    # after a restart.
    other = EntryInstance()
    other.peers.identity = InstanceIdentity(name="entry", incarnation=8)
    ids = {c.calls.create_id("s") for c in (entry, other) for _ in range(100)}
    assert len(ids) == 200


@pytest.mark.parametrize(
    ("sender", "incarnation", "accepted"),
    [("owner", 5, True), ("owner", 4, False), ("owner", 6, False), ("other", 5, False)],
)
def test_only_the_owner_it_was_sent_to_may_answer(entry, sender, incarnation, accepted):
    # Guards against an answer that contains the outcome of another instance, or of
    # another incarnation of the owner.
    entry.peers.incarnations["owner"] = 5
    sent = entry.send()
    entry.peers.receive(sender, incarnation, create_completed(sent))
    assert [outcome.id for outcome in entry.dequeue_outcomes()] == (
        [sent] if accepted else []
    )
    assert entry.calls.count_in_flight() == (0 if accepted else 1)


def test_repeated_late_and_unknown_outcomes_are_dropped(entry):
    entry.peers.incarnations["owner"] = 5
    first, second = entry.send(), entry.send()
    entry.calls.forget(second)
    for subrequest_id in (first, first, second, "s-never-sent"):
        entry.peers.receive("owner", 5, create_completed(subrequest_id))
    assert [outcome.id for outcome in entry.dequeue_outcomes()] == [first]


def test_a_lost_run_fails_exactly_its_own_calls(entry):
    # Guards against calls that wait until their deadline after the owner was lost, and
    # against calls to the new incarnation that fail because the old one was lost.
    entry.peers.incarnations["owner"] = 5
    old = entry.send()
    entry.peers.incarnations["owner"] = 6
    new = entry.send()
    entry.publish_owner_lost(5)
    (outcome,) = entry.dequeue_outcomes()
    assert isinstance(outcome, SubrequestUnknown)
    assert outcome.id == old
    entry.peers.receive("owner", 6, create_completed(new))
    assert [outcome.id for outcome in entry.dequeue_outcomes()] == [new]


@pytest.mark.parametrize("lost", [0, 9])
def test_a_call_to_a_peer_not_heard_yet(entry, lost):
    # Guards against calls that wait until their deadline because the owner's
    # incarnation was not known when they were sent, so that no loss matches them.
    answered, failed = entry.send(), entry.send()
    entry.peers.receive("owner", 9, create_completed(answered))
    assert [outcome.id for outcome in entry.dequeue_outcomes()] == [answered]
    entry.publish_owner_lost(lost)
    (outcome,) = entry.dequeue_outcomes()
    assert isinstance(outcome, SubrequestUnknown)
    assert outcome.id == failed


def test_a_restart_between_the_two_reads_sends_nothing(entry, monkeypatch):
    # Guards against a call that has failed as lost and is sent to the owner's new
    # incarnation anyway. From the second read on, the owner's incarnation is 6, and
    # each read publishes the loss of incarnation 5.
    incarnations = iter([5, 6, 6, 6])

    def read_incarnation(name):
        incarnation = next(incarnations)
        if incarnation == 6:
            entry.publish_owner_lost(5)
        return incarnation

    monkeypatch.setattr(entry.peers, "get_incarnation", read_incarnation)
    entry.send()
    assert isinstance(entry.dequeue_outcomes()[0], SubrequestUnknown)
    assert not [m for _, m in entry.peers.sent if isinstance(m, Subrequest)]


def test_giving_up_on_a_frozen_owner_cancels_what_it_may_still_run(entry):
    entry.peers.incarnations["owner"] = 5
    sent = entry.send()
    entry.publish_owner_lost(5)
    assert entry.peers.sent[-1] == ("owner", CancelSubrequest(id=sent, upstream="u"))


def test_cancel_goes_to_the_owner_and_its_reply_is_dropped(entry):
    entry.peers.incarnations["owner"] = 5
    sent = entry.send()
    entry.calls.cancel(sent)
    entry.calls.cancel(sent)
    cancels = [m for _, m in entry.peers.sent if isinstance(m, CancelSubrequest)]
    assert cancels == [CancelSubrequest(id=sent, upstream="u")]
    entry.peers.receive("owner", 5, create_completed(sent))
    assert entry.dequeue_outcomes() == []


def test_direct_mode_keeps_subrequests_at_the_entry():
    entry = EntryInstance(policy={"dispatch": "direct"})
    entry.send()
    assert entry.peers.sent == []
    assert entry.dequeue_outcomes()[0].reason == "unknown_upstream"


def test_owner_follows_the_members(entry):
    # Guards against a cached owner that is still used after the members changed.
    membership = entry.kernel.find("membership", Membership)
    membership.names = tuple(f"m{n}" for n in range(6))
    entry.kernel.publish(LiveChanged())
    entry.send()
    owner = find_owner(upstream=UPSTREAM, members=membership.list_live()).name
    assert entry.peers.sent[-1][0] == owner
    membership.names = tuple(n for n in membership.names if n != owner)
    entry.kernel.publish(LiveChanged())
    entry.send()
    assert entry.peers.sent[-1][0] not in (owner, "entry")


def test_a_message_that_was_never_sent_is_not_run(entry):
    # Guards against an order that is reported as unknown although its message was
    # dropped before it was sent.
    entry.publish_not_sent(entry.send())
    (outcome,) = entry.dequeue_outcomes()
    assert isinstance(outcome, SubrequestNotRun)
    assert entry.calls.count_in_flight() == 0


def test_an_unsent_message_after_a_loss_is_published_as_not_run(entry):
    # Guards against an order that stays unknown because the loss of the owner was
    # published before the event for the unsent message.
    unexpected = []
    entry.kernel.subscribe(UnexpectedOutcome, unexpected.append)
    subrequest_id = entry.send()
    entry.publish_owner_lost(entry.peers.get_incarnation("owner"))
    entry.publish_not_sent(subrequest_id)
    assert isinstance(unexpected[-1].outcome, SubrequestNotRun)
