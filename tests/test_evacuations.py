"""Evacuation of failure domains: what is in force, and what happens to work there."""

import contextlib

import pytest

from gooseberrymux.eras import combine_era
from gooseberrymux.evacuations import (
    EVACUATIONS_NAME,
    LOST_EVACUATION_HOLD_MS,
    Evacuations,
)
from gooseberrymux.forward_messages import PartNotRun, PartReplied
from gooseberrymux.kernel import Kernel
from harness import FakeDocuments, SteppingClock, create_settings, publish, wait_until
from test_pool import Owner, answer, stay_silent


def evacuate(kernel, *domains, revision, era=0):
    generation = combine_era(era, revision)
    publish(kernel, EVACUATIONS_NAME, generation, domains=list(domains))


def create_service(*, asked=True):
    settings = create_settings(platform={"evacuations": asked})
    kernel = Kernel(settings=settings, clock=SteppingClock())
    kernel.register("documents", FakeDocuments())
    kernel.load(("evacuations",))
    return kernel, kernel.find("evacuations", Evacuations)


def test_without_the_setting_nothing_is_watched(monkeypatch):
    # Guards against a watch that a deployment without evacuations pays for.
    watched = []
    monkeypatch.setattr(
        FakeDocuments, "watch_prefix", lambda *args, **_: watched.append(args[1])
    )
    kernel, service = create_service(asked=False)
    evacuate(kernel, "a", revision=1)
    assert (watched, service.describe()["domains"]) == ([], [])


def test_a_store_that_went_back_ends_no_evacuation_at_once():
    # Guards against requests into a domain whose evacuation the store has lost and that
    # is written again soon.
    kernel, service = create_service()
    evacuate(kernel, "a", "b", revision=9)
    evacuate(kernel, "b", revision=4, era=1)
    assert service.describe()["domains"] == ["a", "b"]
    evacuate(kernel, revision=5, era=1)
    assert service.describe()["domains"] == ["a"], "the removal of b was read"
    kernel.clock.now += LOST_EVACUATION_HOLD_MS
    service._update()
    assert service.describe()["domains"] == []


@contextlib.contextmanager
def open_owner(**handlers):
    """Opens an owner with one upstream in each of some domains."""
    owner = Owner(platform={"evacuations": True})
    try:
        for domain, handler in handlers.items():
            owner.add_upstream(domain, handler, failure_domain=domain)
        yield owner
    finally:
        owner.stop()


@pytest.mark.parametrize("has_other", [False, True])
def test_what_waits_moves_or_is_refused_at_once(has_other):
    # Guards against callers that wait for their deadline, and against untrue refusals:
    # the request that is under way in the domain is left to complete.
    with open_owner(a=stay_silent, **({"b": answer} if has_other else {})) as owner:
        evacuate(owner.kernel, "b", revision=1)
        owner.submit(request_id="running", repeatable=False)
        upstream = owner.upstreams["a"][0]
        wait_until(lambda: upstream.requests, message="nothing under way")
        queued = owner.submit(request_id="queued")
        evacuate(owner.kernel, "a", revision=2)
        (outcome,) = owner.wait_for_outcomes()
        assert isinstance(outcome, PartReplied if has_other else PartNotRun)
        assert (outcome.call, len(upstream.requests)) == (queued.id, 1)


@pytest.mark.parametrize("first", [stay_silent, lambda request: request.reply(500)])
def test_neither_hedge_nor_retry_goes_into_an_evacuated_domain(first):
    # Guards against further sends of a request that began before the evacuation.
    with open_owner(a=first, b=answer) as owner:
        evacuate(owner.kernel, "b", revision=1)
        owner.submit(remaining_ms=300.0, target_ms=50.0)
        owner.wait_for_outcomes()
        assert owner.upstreams["b"][0].requests == []
