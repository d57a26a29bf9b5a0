"""Changes of the configuration under faults of the platform."""

import dataclasses
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from control_fakes import (
    NAME,
    FaultyPlatform,
    InstantClock,
    LocalDocuments,
    create_document,
    put_group,
    read_labels,
)
from gooseberrymux.configuration_changes import (
    Accepted,
    Conflict,
    Invalid,
    PutEdit,
    Unavailable,
)
from gooseberrymux.configuration_codec import decode_configuration, encode_configuration
from gooseberrymux.configuration_model import (
    EMPTY_CONFIGURATION,
    RECENT_CHANGES_LIMIT,
    Kind,
)
from gooseberrymux.proposals import Proposal
from gooseberrymux.records import RunState

FAULTS = ("ok", "down", "stale", "dropped", "lost", "late", "other")


def propose(change, platform, documents=None):
    return Proposal(
        change=change,
        platform=platform,
        documents=documents or LocalDocuments(),
        upstreams=(),
        clock=InstantClock(),
    ).run()


def create_platform(*faults):
    platform = FaultyPlatform(encode_configuration(EMPTY_CONFIGURATION))
    platform.faults = deque(faults)
    return platform


class Race:
    """Editors on two instances; one may run inside another's call."""

    def __init__(self, *, names, instances, faults):
        self.platform = create_platform(*faults)
        self.platform.on_call = self._run_another
        self.documents = [LocalDocuments(), LocalDocuments()]
        self.waiting = deque(
            (put_group(change_id=f"change-{number}", name=name), instance)
            for number, (name, instance) in enumerate(
                zip(names, instances, strict=False)
            )
        )
        self.changes = {change.change_id: change for change, _ in self.waiting}
        self.outcomes = []

    def run(self):
        while self.waiting:
            self._run_next()
        self.platform.finish_late_writes()

    def _run_next(self):
        change, instance = self.waiting.popleft()
        for _ in range(3):
            outcome = propose(change, self.platform, self.documents[instance])
            self.outcomes.append((change.change_id, outcome))
            if not isinstance(outcome, Unavailable):
                return
            # The operator tries again through an instance that has just started.
            self.documents[instance] = LocalDocuments()

    def _run_another(self):
        if self.platform.faults and self.platform.faults[0] == "other":
            self.platform.faults.popleft()
            if self.waiting:
                self._run_next()


@settings(max_examples=300, deadline=None)
@given(
    names=st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=6),
    instances=st.lists(st.integers(0, 1), min_size=6, max_size=6),
    faults=st.lists(st.sampled_from(FAULTS), max_size=60),
)
def test_racing_editors_lose_no_change_and_apply_none_twice(names, instances, faults):
    """Guards against a lost reply that is resolved by a guess."""
    race = Race(names=names, instances=instances, faults=faults)
    race.run()
    history = [decode_configuration(value) for value in race.platform.history]
    applied = [found.change_id for found in history[1:]]
    assert len(applied) == len(set(applied))
    assert [found.generation for found in history] == list(range(len(history)))
    for change_id, outcome in race.outcomes:
        if isinstance(outcome, Accepted):
            assert history[outcome.generation].change_id == change_id
    last = {change_id: outcome for change_id, outcome in race.outcomes}
    for change_id, outcome in last.items():
        match outcome:
            case Unavailable(run_state=RunState.UNKNOWN):
                pass
            case Unavailable() | Conflict() | Invalid():
                earlier = [found for key, found in race.outcomes if key == change_id]
                if not any(
                    isinstance(found, Unavailable)
                    and found.run_state is RunState.UNKNOWN
                    for found in earlier
                ):
                    assert change_id not in applied
    # Replaying the changes in order gives the last content: none was overwritten.
    model = {}
    for change_id in applied:
        model[race.changes[change_id].edits[0].name] = change_id
    assert read_labels(history[-1]) == model


@pytest.mark.parametrize("fault", ["dropped", "lost", "late"])
def test_lost_reply_is_resolved(fault):
    """Guards against a change that is refused, or applied again, after a lost reply."""
    platform = create_platform("ok", fault, "stale", "ok")
    outcome = propose(put_group(change_id="one", name="a", base=0), platform)
    platform.finish_late_writes()
    assert outcome == Accepted(generation=1)
    assert [value["change_id"] for value in platform.history] == ["", "one"]


def test_lost_reply_is_resolved_under_later_changes():
    """Guards against a change that is no longer the last one when it is read back."""
    platform = create_platform("ok", "lost", "other", "ok")

    def add_others():
        if platform.faults and platform.faults[0] == "other":
            platform.faults.popleft()
            for number in range(5):
                propose(put_group(change_id=f"x-{number}", name="b"), platform)

    platform.on_call = add_others
    outcome = propose(put_group(change_id="one", name="a", base=0), platform)
    assert outcome == Accepted(generation=1)
    assert len(platform.history) == 7


def test_platform_that_stays_silent_after_a_write_gives_unknown():
    """Guards against a not_run that a write under way makes untrue."""
    platform = create_platform("ok", "late", *["down"] * 100)
    outcome = propose(put_group(change_id="one", name="a"), platform)
    assert isinstance(outcome, Unavailable)
    assert outcome.run_state is RunState.UNKNOWN


def test_platform_that_never_answers_gives_not_run():
    platform = create_platform(*["down"] * 100)
    outcome = propose(put_group(change_id="one", name="a"), platform)
    assert isinstance(outcome, Unavailable)
    assert outcome.run_state is RunState.NOT_RUN


def test_edits_of_different_objects_are_rebased():
    platform = create_platform()
    assert propose(put_group(change_id="one", name="a", base=0), platform)
    outcome = propose(put_group(change_id="two", name="b", base=0), platform)
    assert outcome == Accepted(generation=2)
    assert read_labels(decode_configuration(platform.history[-1])) == {
        "a": "one",
        "b": "two",
    }


def test_edits_of_one_object_conflict_and_show_both():
    platform = create_platform()
    propose(put_group(change_id="one", name="a", base=0), platform)
    outcome = propose(put_group(change_id="two", name="a", base=0), platform)
    assert isinstance(outcome, Conflict)
    assert outcome.theirs["group/a"]["labels"] == {"by": "one"}
    assert outcome.yours["group/a"]["labels"] == {"by": "two"}
    assert "'amina' in generation 1" in outcome.message


def test_change_proposed_again_after_many_others_is_not_applied_twice():
    """Guards against a change id that has left the list of recent changes."""
    platform = create_platform()
    first = put_group(change_id="one", name="a", base=0)
    propose(first, platform)
    for number in range(RECENT_CHANGES_LIMIT):
        propose(put_group(change_id=f"x-{number}", name="b"), platform)
    outcome = propose(first, platform)
    assert isinstance(outcome, Conflict)
    assert "older than" in outcome.message
    assert len(platform.history) == RECENT_CHANGES_LIMIT + 2


def test_platform_that_lost_writes_gets_them_back_with_the_next_change():
    """Guards against an accepted configuration that reverts with the platform."""
    documents = LocalDocuments()
    platform = create_platform()
    propose(put_group(change_id="one", name="a"), platform, documents)
    restored = create_platform()
    outcome = propose(put_group(change_id="two", name="b"), restored, documents)
    assert outcome == Accepted(generation=2)
    assert set(read_labels(decode_configuration(restored.history[-1]))) == {"a", "b"}


@pytest.mark.parametrize(
    ("generation", "replaced"), [(None, True), (1, True), (9, False)]
)
def test_undecodable_object_is_replaced_unless_it_may_be_a_later_release(
    generation, replaced
):
    documents = LocalDocuments()
    platform = create_platform()
    propose(put_group(change_id="one", name="a"), platform, documents)
    platform.history.append({"generation": generation, "shape": "unknown"})
    outcome = propose(put_group(change_id="two", name="b"), platform, documents)
    if replaced:
        assert outcome == Accepted(generation=2)
    else:
        assert isinstance(outcome, Unavailable)
        assert outcome.run_state is RunState.NOT_RUN


def test_stale_read_after_a_lost_reply_does_not_refuse_the_change():
    """Guards against checks on an older state than the write was based on."""
    platform = create_platform()
    propose(put_group(change_id="one", name="a"), platform)
    value = {"priority": 1, "groups": ["a"]}
    edit = PutEdit(kind=Kind.SELECTOR, name="s", value=value)
    change = put_group(change_id="two", name="b", base=0)
    change = dataclasses.replace(change, edits=(edit,))
    platform.faults = deque(["ok", "late", "stale"])
    outcome = propose(change, platform)
    platform.finish_late_writes()
    assert outcome == Accepted(generation=2)


@pytest.mark.parametrize("generation", [9, None])
def test_write_that_was_overwritten_by_other_means_stays_unknown(generation):
    """Guards against not_run when the change id can't be read back."""
    platform = create_platform("ok", "lost", "other")

    def overwrite():
        if platform.faults and platform.faults[0] == "other":
            platform.faults.popleft()
            value = encode_configuration(EMPTY_CONFIGURATION) if generation else {}
            platform.history.append({**value, "generation": 9})

    platform.on_call = overwrite
    outcome = propose(put_group(change_id="one", name="a"), platform)
    assert isinstance(outcome, Unavailable)
    assert outcome.run_state is RunState.UNKNOWN


def test_lost_reply_under_more_changes_than_are_kept_is_not_applied_again():
    """Guards against a change without a base that has left the recent changes."""
    platform = create_platform("ok", "lost", "other")

    def add_others():
        if platform.faults and platform.faults[0] == "other":
            platform.faults.popleft()
            for number in range(RECENT_CHANGES_LIMIT + 1):
                propose(put_group(change_id=f"x-{number}", name="b"), platform)

    platform.on_call = add_others
    outcome = propose(put_group(change_id="one", name="a"), platform)
    assert isinstance(outcome, Unavailable)
    applied = [value["change_id"] for value in platform.history]
    assert applied.count("one") == 1


def test_accepted_change_is_in_force_here_at_once():
    documents = LocalDocuments()
    propose(put_group(change_id="one", name="a"), create_platform(), documents)
    assert documents.get(NAME) == create_document(documents.get(NAME).body, name=NAME)
    assert documents.get(NAME).generation == 1


def test_recognised_change_is_spread_as_it_was_found():
    """Guards against a second content of a generation, in another encoding."""
    documents = LocalDocuments()
    platform = create_platform()
    propose(put_group(change_id="one", name="a"), platform)
    # A release that writes out a field with its default.
    platform.history[-1]["drains"] = []
    propose(put_group(change_id="one", name="a"), platform, documents)
    assert documents.get(NAME).body == platform.history[-1]


def test_dry_run_writes_nothing():
    platform = create_platform()
    change = put_group(change_id="one", name="a", dry_run=True)
    assert propose(change, platform) == Accepted(generation=1)
    assert len(platform.history) == 1
