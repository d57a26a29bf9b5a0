"""Calls in flight: ids, foreign and late outcomes, lost owners, dispatch modes."""

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

RECORD = UpstreamRecord(
    name="u", host="127.0.0.1", port=1, service="s0", failure_domain="a"
)


class Caller:
    """A `Calls` whose only other member owns every upstream."""

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

    def drop_unsent(self, subrequest_id):
        message = self.create_subrequest(subrequest_id)
        self.kernel.publish(MessagesNotSent(instance="owner", messages=[message]))

    def send(self):
        subrequest = self.create_subrequest(self.calls.create_id("s"))
        self.calls.send(subrequest=subrequest, upstream=RECORD, inbox=self.inbox)
        return subrequest.id

    def take(self):
        return self.inbox.take(self.kernel.clock.now_ms())

    def lose(self, incarnation):
        self.kernel.publish(
            PeerLost(instance="owner", incarnation=incarnation, reason="test")
        )


def complete(subrequest_id):
    return SubrequestCompleted(
        id=subrequest_id, version="v", shard="x", reply={}, upstream_ms=1, queued_ms=0
    )


@pytest.fixture
def caller():
    return Caller()


def test_ids_differ_between_incarnations(caller):
    # Guards against a late outcome that matches a request of the next incarnation.
    other = Caller()
    other.peers.identity = InstanceIdentity(name="entry", incarnation=8)
    ids = {c.calls.create_id("s") for c in (caller, other) for _ in range(100)}
    assert len(ids) == 200


@pytest.mark.parametrize(
    ("sender", "incarnation", "accepted"),
    [("owner", 5, True), ("owner", 4, False), ("owner", 6, False), ("other", 5, False)],
)
def test_only_the_owner_it_was_sent_to_may_answer(
    caller, sender, incarnation, accepted
):
    # Guards against a foreign or earlier run's outcome that ends up in an answer.
    caller.peers.incarnations["owner"] = 5
    sent = caller.send()
    caller.peers.receive(sender, incarnation, complete(sent))
    assert [outcome.id for outcome in caller.take()] == ([sent] if accepted else [])
    assert caller.calls.count_in_flight() == (0 if accepted else 1)


def test_repeated_late_and_unknown_outcomes_are_dropped(caller):
    caller.peers.incarnations["owner"] = 5
    first, second = caller.send(), caller.send()
    caller.calls.forget(second)
    for subrequest_id in (first, first, second, "s-never-sent"):
        caller.peers.receive("owner", 5, complete(subrequest_id))
    assert [outcome.id for outcome in caller.take()] == [first]


def test_a_lost_run_fails_exactly_its_own_calls(caller):
    # Guards against calls that wait for their deadline, and against calls to the new
    # run that fail because the old one died.
    caller.peers.incarnations["owner"] = 5
    old = caller.send()
    caller.peers.incarnations["owner"] = 6
    new = caller.send()
    caller.lose(5)
    (outcome,) = caller.take()
    assert isinstance(outcome, SubrequestUnknown)
    assert outcome.id == old
    caller.peers.receive("owner", 6, complete(new))
    assert [outcome.id for outcome in caller.take()] == [new]


@pytest.mark.parametrize("lost", [0, 9])
def test_a_call_to_a_peer_not_heard_yet(caller, lost):
    # Guards against calls that nothing fails, since their run was never known.
    answered, failed = caller.send(), caller.send()
    caller.peers.receive("owner", 9, complete(answered))
    assert [outcome.id for outcome in caller.take()] == [answered]
    caller.lose(lost)
    (outcome,) = caller.take()
    assert isinstance(outcome, SubrequestUnknown)
    assert outcome.id == failed


def test_a_restart_between_the_two_reads_sends_nothing(caller, monkeypatch):
    # Guards against a call that was failed as lost and is sent to the new run anyway.
    runs = iter([5, 6, 6, 6])

    def read(name):
        run = next(runs)
        if run == 6:
            caller.lose(5)
        return run

    monkeypatch.setattr(caller.peers, "get_incarnation", read)
    caller.send()
    assert isinstance(caller.take()[0], SubrequestUnknown)
    assert not [m for _, m in caller.peers.sent if isinstance(m, Subrequest)]


def test_giving_up_on_a_frozen_owner_cancels_what_it_may_still_run(caller):
    caller.peers.incarnations["owner"] = 5
    sent = caller.send()
    caller.lose(5)
    assert caller.peers.sent[-1] == ("owner", CancelSubrequest(id=sent, upstream="u"))


def test_cancel_goes_to_the_owner_and_its_reply_is_dropped(caller):
    caller.peers.incarnations["owner"] = 5
    sent = caller.send()
    caller.calls.cancel(sent)
    caller.calls.cancel(sent)
    cancels = [m for _, m in caller.peers.sent if isinstance(m, CancelSubrequest)]
    assert cancels == [CancelSubrequest(id=sent, upstream="u")]
    caller.peers.receive("owner", 5, complete(sent))
    assert caller.take() == []


def test_direct_mode_keeps_subrequests_at_the_entry():
    caller = Caller(policy={"dispatch": "direct"})
    caller.send()
    assert caller.peers.sent == []
    assert caller.take()[0].reason == "unknown_upstream"


def test_owner_follows_the_members(caller):
    # Guards against an owner kept after the members changed.
    membership = caller.kernel.find("membership", Membership)
    membership.names = tuple(f"m{n}" for n in range(6))
    caller.kernel.publish(LiveChanged())
    caller.send()
    owner = find_owner(upstream=RECORD, members=membership.list_live()).name
    assert caller.peers.sent[-1][0] == owner
    membership.names = tuple(n for n in membership.names if n != owner)
    caller.kernel.publish(LiveChanged())
    caller.send()
    assert caller.peers.sent[-1][0] not in (owner, "entry")


def test_a_message_that_was_never_sent_is_not_run(caller):
    # Guards against an order that reads unknown though its message was dropped.
    caller.drop_unsent(caller.send())
    (outcome,) = caller.take()
    assert isinstance(outcome, SubrequestNotRun)
    assert caller.calls.count_in_flight() == 0


def test_unsent_news_after_a_loss_is_passed_on(caller):
    # Guards against an order that stays unknown because the loss was noticed first.
    late = []
    caller.kernel.subscribe(UnexpectedOutcome, late.append)
    subrequest_id = caller.send()
    caller.lose(caller.peers.get_incarnation("owner"))
    caller.drop_unsent(subrequest_id)
    assert isinstance(late[-1].outcome, SubrequestNotRun)
