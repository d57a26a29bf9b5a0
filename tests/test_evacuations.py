"""Evacuation of failure domains: what is in force, and what happens to work there."""

import contextlib

import pytest

from gooseberrymux import evacuations
from gooseberrymux.eras import combine_era
from gooseberrymux.evacuations import (
    EVACUATIONS_NAME,
    LOST_EVACUATION_HOLD_MS,
    Evacuations,
    EvacuationsChanged,
)
from gooseberrymux.forward_messages import PartNotRun, PartReplied
from gooseberrymux.inventory import REASON_DOMAIN_EVACUATED
from gooseberrymux.kernel import Kernel
from harness import FakeDocuments, SteppingClock, create_settings, publish, wait_until
from test_pool import Owner, answer, stay_silent


class WatchedDocuments(FakeDocuments):
    """Records the prefixes that are watched."""

    def __init__(self):
        super().__init__()
        self.prefixes = []

    def watch_prefix(self, prefix, required=None, compare_content=False):
        assert compare_content
        self.prefixes.append(prefix)


class Instance:
    """The service on a clock of the test, with the events that it publishes."""

    def __init__(self, *, asked=True):
        self.clock = SteppingClock()
        settings = create_settings(platform={"evacuations": asked})
        self.kernel = Kernel(settings=settings, clock=self.clock)
        self.documents = WatchedDocuments()
        self.kernel.register("documents", self.documents)
        self.kernel.load(("evacuations",))
        self.service = self.kernel.find("evacuations", Evacuations)
        self.changes = []
        self.kernel.subscribe(EvacuationsChanged, self.changes.append)

    def publish(self, *domains, revision, era=0):
        evacuate(self.kernel, *domains, revision=revision, era=era)

    def list_evacuated(self):
        return self.service.describe()["domains"]


def evacuate(kernel, *domains, revision, era=0):
    generation = combine_era(era, revision)
    publish(kernel, EVACUATIONS_NAME, generation, domains=list(domains))


def test_without_the_setting_nothing_is_watched():
    # Guards against a watch that a deployment without evacuations pays for.
    instance = Instance(asked=False)
    instance.publish("a", revision=1)
    assert (instance.documents.prefixes, instance.list_evacuated()) == ([], [])


def test_a_document_without_a_list_of_domains_changes_nothing():
    instance = Instance()
    assert instance.documents.prefixes == ["evacuations/"]
    instance.publish("a", revision=1)
    publish(instance.kernel, EVACUATIONS_NAME, 2, domains="b")
    assert (instance.list_evacuated(), len(instance.changes)) == (["a"], 1)


def test_a_store_that_went_back_ends_no_evacuation_at_once():
    # Guards against requests into a domain whose evacuation the store has lost and that
    # is written again soon.
    instance = Instance()
    instance.publish("a", "b", revision=9)
    instance.publish("b", revision=4, era=1)
    assert instance.list_evacuated() == ["a", "b"]
    instance.publish(revision=5, era=1)
    assert instance.list_evacuated() == ["a"], "the removal of b was read"
    instance.clock.now += LOST_EVACUATION_HOLD_MS
    instance.service._update()
    assert instance.list_evacuated() == []
    assert len(instance.changes) == 3


class EvacuatedOwner(Owner):
    """An owner with one upstream in each of some domains."""

    def __init__(self, **handlers):
        super().__init__(platform={"evacuations": True})
        for domain, handler in handlers.items():
            self.add_upstream(f"u-{domain}", handler, failure_domain=domain)

    def get_requests(self, domain):
        return self.upstreams[f"u-{domain}"][0].requests


@contextlib.contextmanager
def open_owner(**handlers):
    owner = EvacuatedOwner(**handlers)
    try:
        yield owner
    finally:
        owner.stop()


def test_what_waits_while_the_last_domain_is_evacuated_is_refused_at_once():
    # Guards against callers that wait for their deadline, and against untrue refusals:
    # the request that is under way there is left to complete.
    with open_owner(a=stay_silent) as owner:
        running = owner.submit(request_id="running")
        wait_until(lambda: owner.get_requests("a"), message="nothing under way")
        queued = owner.submit(request_id="queued")
        evacuate(owner.kernel, "a", revision=1)
        (refused,) = owner.outcomes
        assert isinstance(refused, PartNotRun)
        assert (refused.call, refused.reason) == (queued.id, "no_replica")
        assert running.id != queued.id and len(owner.get_requests("a")) == 1


def test_what_waits_moves_to_the_domain_that_is_opened():
    # Guards against work that stays queued for a closed domain while another is free.
    with open_owner(a=stay_silent, b=answer) as owner:
        evacuate(owner.kernel, "b", revision=1)
        owner.submit(request_id="running", repeatable=False)
        wait_until(lambda: owner.get_requests("a"), message="nothing under way")
        queued = owner.submit(request_id="queued")
        evacuate(owner.kernel, "a", revision=2)
        (moved,) = owner.wait_for_outcomes()
        assert isinstance(moved, PartReplied)
        assert (moved.call, moved.upstream) == (queued.id, "u-b")


@pytest.mark.parametrize("first", ["reply", "failure"])
def test_neither_hedge_nor_retry_goes_into_an_evacuated_domain(first):
    handler = stay_silent if first == "reply" else lambda request: request.reply(500)
    with open_owner(a=handler, b=answer) as owner:
        evacuate(owner.kernel, "b", revision=1)
        owner.submit(remaining_ms=300.0, target_ms=50.0)
        owner.wait_for_outcomes()
        assert owner.get_requests("b") == []


def test_a_request_chosen_before_the_evacuation_is_not_sent_after(monkeypatch):
    # Guards against the time between the choice of an upstream and the write, in which
    # a connection is opened. The choice sees the domains of before.
    with open_owner(a=answer) as owner:
        seen = iter([False, False])
        monkeypatch.setattr(
            evacuations.Evacuations, "is_evacuated", lambda *_: next(seen, True)
        )
        owner.submit(remaining_ms=300.0)
        (refused,) = owner.wait_for_outcomes()
        assert isinstance(refused, PartNotRun)
        assert refused.reason == REASON_DOMAIN_EVACUATED
        assert owner.get_requests("a") == []
