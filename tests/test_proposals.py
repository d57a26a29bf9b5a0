"""Proposals of configuration changes while platform calls fail or race."""

import dataclasses
from collections import deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from control_fakes import (
    CONFIGURATION_NAME,
    FaultyPlatform,
    InstantClock,
    LocalDocuments,
    create_document,
    create_put_group_change,
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


class EditorRace:
    """Operators who propose changes through two instances.

    At each fault `other`, the next proposal runs inside a platform call of the current
    one, so that their reads and writes interleave.
    """

    def __init__(self, *, names, instances, faults):
        self.platform = create_platform(*faults)
        self.platform.on_call = self._interleave_another
        self.documents = [LocalDocuments(), LocalDocuments()]
        self.pending_changes = deque(
            (create_put_group_change(change_id=f"change-{number}", name=name), instance)
            for number, (name, instance) in enumerate(
                zip(names, instances, strict=False)
            )
        )
        self.changes = {change.change_id: change for change, _ in self.pending_changes}
        self.outcomes = []

    def run(self):
        while self.pending_changes:
            self._propose_next()
        self.platform.apply_late_writes()

    def _propose_next(self):
        change, instance = self.pending_changes.popleft()
        for _ in range(3):
            outcome = propose(change, self.platform, self.documents[instance])
            self.outcomes.append((change.change_id, outcome))
            if not isinstance(outcome, Unavailable):
                return
            # The operator retries through an instance that has no documents yet.
            self.documents[instance] = LocalDocuments()

    def _interleave_another(self):
        if self.platform.faults and self.platform.faults[0] == "other":
            self.platform.faults.popleft()
            if self.pending_changes:
                self._propose_next()


@settings(max_examples=300, deadline=None)
@given(
    names=st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=6),
    instances=st.lists(st.integers(0, 1), min_size=6, max_size=6),
    faults=st.lists(st.sampled_from(FAULTS), max_size=60),
)
def test_racing_editors_lose_no_change_and_apply_none_twice(names, instances, faults):
    """Guards against a lost reply whose write is wrongly taken for applied or not.

    A change would then be lost, overwritten or applied twice.
    """
    race = EditorRace(names=names, instances=instances, faults=faults)
    race.run()
    history = [decode_configuration(value) for value in race.platform.history]
    applied = [found.change_id for found in history[1:]]
    assert len(applied) == len(set(applied))
    assert [found.generation for found in history] == list(range(len(history)))
    for change_id, outcome in race.outcomes:
        if isinstance(outcome, Accepted):
            assert history[outcome.generation].change_id == change_id
    last_outcomes = {change_id: outcome for change_id, outcome in race.outcomes}
    for change_id, outcome in last_outcomes.items():
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
    # Replaying the applied changes in order gives the last content, so none of them
    # was overwritten.
    expected_labels = {}
    for change_id in applied:
        expected_labels[race.changes[change_id].edits[0].name] = change_id
    assert read_labels(history[-1]) == expected_labels


@pytest.mark.parametrize("fault", ["dropped", "lost", "late"])
def test_lost_reply_is_resolved(fault):
    """Guards against a change that is refused or applied twice after a lost reply."""
    platform = create_platform("ok", fault, "stale", "ok")
    outcome = propose(
        create_put_group_change(change_id="one", name="a", base=0), platform
    )
    platform.apply_late_writes()
    assert outcome == Accepted(generation=1)
    assert [value["change_id"] for value in platform.history] == ["", "one"]


def test_lost_reply_is_resolved_under_later_changes():
    """Guards against a change that is not found because others followed it."""
    platform = create_platform("ok", "lost", "other", "ok")

    def add_others():
        if platform.faults and platform.faults[0] == "other":
            platform.faults.popleft()
            for number in range(5):
                propose(
                    create_put_group_change(change_id=f"x-{number}", name="b"), platform
                )

    platform.on_call = add_others
    outcome = propose(
        create_put_group_change(change_id="one", name="a", base=0), platform
    )
    assert outcome == Accepted(generation=1)
    assert len(platform.history) == 7


def test_platform_that_stays_silent_after_a_write_gives_unknown():
    """Guards against the outcome `not_run` for a write that may still take effect."""
    platform = create_platform("ok", "late", *["down"] * 100)
    outcome = propose(create_put_group_change(change_id="one", name="a"), platform)
    assert isinstance(outcome, Unavailable)
    assert outcome.run_state is RunState.UNKNOWN


def test_platform_that_never_answers_gives_not_run():
    platform = create_platform(*["down"] * 100)
    outcome = propose(create_put_group_change(change_id="one", name="a"), platform)
    assert isinstance(outcome, Unavailable)
    assert outcome.run_state is RunState.NOT_RUN


def test_edits_of_different_objects_are_rebased():
    platform = create_platform()
    assert propose(create_put_group_change(change_id="one", name="a", base=0), platform)
    outcome = propose(
        create_put_group_change(change_id="two", name="b", base=0), platform
    )
    assert outcome == Accepted(generation=2)
    assert read_labels(decode_configuration(platform.history[-1])) == {
        "a": "one",
        "b": "two",
    }


def test_edits_of_one_object_conflict_and_show_both():
    platform = create_platform()
    propose(create_put_group_change(change_id="one", name="a", base=0), platform)
    outcome = propose(
        create_put_group_change(change_id="two", name="a", base=0), platform
    )
    assert isinstance(outcome, Conflict)
    assert outcome.theirs["group/a"]["labels"] == {"by": "one"}
    assert outcome.yours["group/a"]["labels"] == {"by": "two"}
    assert "'amina' in generation 1" in outcome.message


def test_change_proposed_again_after_many_others_is_not_applied_twice():
    """Guards against a change whose id is no longer among the recent changes."""
    platform = create_platform()
    first = create_put_group_change(change_id="one", name="a", base=0)
    propose(first, platform)
    for number in range(RECENT_CHANGES_LIMIT):
        propose(create_put_group_change(change_id=f"x-{number}", name="b"), platform)
    outcome = propose(first, platform)
    assert isinstance(outcome, Conflict)
    assert "older than" in outcome.message
    assert len(platform.history) == RECENT_CHANGES_LIMIT + 2


def test_platform_that_lost_writes_gets_them_back_with_the_next_change():
    """Guards against reverting accepted changes that the platform has lost."""
    documents = LocalDocuments()
    platform = create_platform()
    propose(create_put_group_change(change_id="one", name="a"), platform, documents)
    restored = create_platform()
    outcome = propose(
        create_put_group_change(change_id="two", name="b"), restored, documents
    )
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
    propose(create_put_group_change(change_id="one", name="a"), platform, documents)
    platform.history.append({"generation": generation, "shape": "unknown"})
    outcome = propose(
        create_put_group_change(change_id="two", name="b"), platform, documents
    )
    if replaced:
        assert outcome == Accepted(generation=2)
    else:
        assert isinstance(outcome, Unavailable)
        assert outcome.run_state is RunState.NOT_RUN


def test_stale_read_after_a_lost_reply_does_not_refuse_the_change():
    """Guards against a refusal by checks of an older state than the write's basis."""
    platform = create_platform()
    propose(create_put_group_change(change_id="one", name="a"), platform)
    value = {"priority": 1, "groups": ["a"]}
    edit = PutEdit(kind=Kind.SELECTOR, name="s", value=value)
    change = create_put_group_change(change_id="two", name="b", base=0)
    change = dataclasses.replace(change, edits=(edit,))
    platform.faults = deque(["ok", "late", "stale"])
    outcome = propose(change, platform)
    platform.apply_late_writes()
    assert outcome == Accepted(generation=2)


@pytest.mark.parametrize("generation", [9, None])
def test_write_that_was_overwritten_by_other_means_stays_unknown(generation):
    """Guards against the outcome `not_run` when the change id can't be read back."""
    platform = create_platform("ok", "lost", "other")

    def overwrite():
        if platform.faults and platform.faults[0] == "other":
            platform.faults.popleft()
            value = encode_configuration(EMPTY_CONFIGURATION) if generation else {}
            platform.history.append({**value, "generation": 9})

    platform.on_call = overwrite
    outcome = propose(create_put_group_change(change_id="one", name="a"), platform)
    assert isinstance(outcome, Unavailable)
    assert outcome.run_state is RunState.UNKNOWN


def test_lost_reply_under_more_changes_than_are_kept_is_not_applied_again():
    """Guards against applying a change without a base again.

    Its id is no longer among the recent changes when it is read back.
    """
    platform = create_platform("ok", "lost", "other")

    def add_others():
        if platform.faults and platform.faults[0] == "other":
            platform.faults.popleft()
            for number in range(RECENT_CHANGES_LIMIT + 1):
                propose(
                    create_put_group_change(change_id=f"x-{number}", name="b"), platform
                )

    platform.on_call = add_others
    outcome = propose(create_put_group_change(change_id="one", name="a"), platform)
    assert isinstance(outcome, Unavailable)
    applied = [value["change_id"] for value in platform.history]
    assert applied.count("one") == 1


def test_accepted_change_is_in_force_here_at_once():
    documents = LocalDocuments()
    propose(
        create_put_group_change(change_id="one", name="a"), create_platform(), documents
    )
    assert documents.get(CONFIGURATION_NAME) == create_document(
        documents.get(CONFIGURATION_NAME).body, name=CONFIGURATION_NAME
    )
    assert documents.get(CONFIGURATION_NAME).generation == 1


def test_recognised_change_is_spread_as_it_was_found():
    """Guards against a second content of a generation, encoded differently."""
    documents = LocalDocuments()
    platform = create_platform()
    propose(create_put_group_change(change_id="one", name="a"), platform)
    # Another release may write out a field that has its default value.
    platform.history[-1]["drains"] = []
    propose(create_put_group_change(change_id="one", name="a"), platform, documents)
    assert documents.get(CONFIGURATION_NAME).body == platform.history[-1]


def test_dry_run_writes_nothing():
    platform = create_platform()
    change = create_put_group_change(change_id="one", name="a", dry_run=True)
    assert propose(change, platform) == Accepted(generation=1)
    assert len(platform.history) == 1
