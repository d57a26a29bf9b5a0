"""Resolution of traffic by selectors, its explanation, configuration checks."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gooseberrymux.configuration_changes import (
    Accepted,
    Change,
    Invalid,
    PutEdit,
    WritePlan,
    plan_change,
)
from gooseberrymux.configuration_checks import (
    find_overlapping_selectors,
    find_problems,
    find_unreachable_traffic,
)
from gooseberrymux.configuration_codec import decode_configuration
from gooseberrymux.configuration_model import (
    Configuration,
    Drain,
    Group,
    Kind,
    Selector,
)
from gooseberrymux.records import Rank, Traffic, UpstreamRecord
from gooseberrymux.selectors import RouteTable, explain, list_index_keys, resolve

words = st.sampled_from(["a", "b", "c"])
labels = st.dictionaries(words, words, max_size=2)
word_lists = st.lists(words, max_size=3)
ranks = st.sampled_from(list(Rank))
selectors = st.lists(
    st.builds(
        Selector,
        name=st.text("xyz", min_size=1, max_size=3),
        priority=st.integers(0, 3),
        groups=st.lists(st.sampled_from(["g", "h", "gone"]), max_size=2),
        callers=word_lists,
        services=word_lists,
        ranks=st.lists(ranks, max_size=2),
        labels=labels,
    ),
    max_size=8,
    unique_by=lambda selector: selector.name,
)
traffics = st.builds(Traffic, caller=words, service=words, rank=ranks, labels=labels)
GROUPS = [Group(name=name, index="i", match={"group": name}) for name in "gh"]
UPSTREAM = UpstreamRecord(
    name="u-1",
    host="127.0.0.1",
    port=1,
    service="s-1",
    failure_domain="domain-a",
    labels={"group": "g"},
)


def configure(*found: Selector, groups=GROUPS, drains=()) -> Configuration:
    return Configuration(
        generation=1,
        change_id="one",
        groups=list(groups),
        selectors=list(found),
        drains=list(drains),
    )


def select(name: str, priority: int = 1, groups=("g",), **fields) -> Selector:
    return Selector(name=name, priority=priority, groups=list(groups), **fields)


def matches(selector: Selector, traffic: Traffic) -> bool:
    """Reference model of matching: compares every field and uses no index."""
    return (
        (not selector.callers or traffic.caller in selector.callers)
        and (not selector.services or traffic.service in selector.services)
        and (not selector.ranks or traffic.rank in selector.ranks)
        and all(
            traffic.labels.get(key) == value for key, value in selector.labels.items()
        )
    )


@given(selectors, traffics)
def test_resolution_is_total_and_agrees_with_the_model(found, traffic):
    configuration = configure(*found)
    matching = sorted(
        (selector for selector in found if matches(selector, traffic)),
        key=lambda selector: (-selector.priority, selector.name),
    )
    explanation = explain(
        configuration=configuration, traffic=traffic, upstreams=[UPSTREAM]
    )
    assert [item.name for item in explanation.matched] == [
        selector.name for selector in matching
    ]
    match resolve(configuration=configuration, traffic=traffic):
        case Ok(route):
            assert route.selector == matching[0].name
            assert explanation.route == route
        case Err(refusal):
            expected = "no_group" if matching else "no_route"
            assert refusal.code == expected


def test_selector_with_many_callers_and_services_stays_small_in_the_table():
    """Guards against an index entry for each pair of a caller and a service."""
    names = [f"n-{number}" for number in range(1_000)]
    selector = select("wide", callers=names, services=names)
    assert len(list_index_keys(selector)) <= len(names)
    traffic = Traffic(caller="n-7", service="n-9", rank=Rank.URGENT)
    assert RouteTable(configure(selector)).resolve(traffic).is_ok()


def test_explanation_names_winner_reason_and_upstreams():
    configuration = configure(
        select("low", 1), select("high", 5), drains=[Drain(upstream="u-1")]
    )
    traffic = Traffic(caller="c", service="s", rank=Rank.PATIENT)
    found = explain(configuration=configuration, traffic=traffic, upstreams=[UPSTREAM])
    assert [item.name for item in found.matched] == ["high", "low"]
    assert "highest priority" in found.reason
    assert [(item.name, item.drained) for item in found.upstreams] == [("u-1", True)]


@given(selectors, traffics)
def test_selectors_that_match_the_same_traffic_are_ordered_or_refused(found, traffic):
    """Guards against a route that depends on the order of the selectors' list."""
    matching = [selector for selector in found if matches(selector, traffic)]
    priorities = [selector.priority for selector in matching]
    if len(set(priorities)) < len(priorities):
        assert list(find_overlapping_selectors(found))


@pytest.mark.parametrize(
    ("configuration", "place", "field", "text"),
    [
        (configure(select("s", groups=["gone"])), "selector/s", "groups", "exist"),
        (configure(select("s", groups=[])), "selector/s", "groups", "no group"),
        (configure(select("s"), select("s", 2)), "selector/s", "name", "unique"),
        (configure(groups=[*GROUPS, GROUPS[0]]), "group/g", "name", "unique"),
        (configure(select("a"), select("b")), "selector/a", "priority", "'b'"),
        (configure(select("a/b")), "selector/a/b", "name", "letters"),
        (configure(select("s", 2**40)), "selector/s", "priority", "range"),
        (
            configure(
                select("s", groups=["g", "o"]),
                groups=[*GROUPS, Group(name="o", index="other", match={})],
            ),
            "selector/s",
            "groups",
            "different indexes: i, other",
        ),
    ],
)
def test_problem_names_object_and_field(configuration, place, field, text):
    found = find_problems(configuration)
    assert [(item.object, item.field) for item in found] == [(place, field)]
    assert text in found[0].message


def plan(*edits, basis=None, upstreams=(UPSTREAM,), **fields):
    change = Change(
        change_id="two", operator="bruno", base_generation=1, edits=edits, **fields
    )
    basis = basis or configure(select("s"))
    return plan_change(change=change, basis=basis, upstreams=upstreams)


def put(kind: Kind, name: str, /, **value) -> PutEdit:
    return PutEdit(kind=kind, name=name, value=value)


def test_drain_of_the_last_upstream_is_refused_unless_allowed():
    drain = put(Kind.DRAIN, "u-1")
    refused = plan(drain)
    assert isinstance(refused, Invalid)
    assert "left with no upstream" in refused.problems[0].message
    allowed = plan(drain, allow_unreachable=True)
    assert isinstance(allowed, WritePlan)
    # One warning for each rank and one for the service.
    assert len(allowed.warnings) == len(Rank) + 1


def test_drain_of_the_last_upstream_of_a_group_of_all_is_refused():
    group = Group(name="all", index="i", match={})
    basis = configure(select("s", groups=["all"]), groups=[group])
    other = dataclasses.replace(UPSTREAM, name="u-2", labels={})
    drain = put(Kind.DRAIN, "u-1")
    assert isinstance(plan(drain, basis=basis), Invalid)
    assert isinstance(plan(drain, basis=basis, upstreams=(UPSTREAM, other)), WritePlan)


def test_rank_that_had_no_upstream_is_not_reported():
    before = configure(select("s", groups=["h"]))
    assert not find_unreachable_traffic(
        before=before, after=before, upstreams=[UPSTREAM]
    )


def test_drain_of_an_unknown_upstream_is_a_warning():
    ready = plan(put(Kind.DRAIN, "nobody"))
    assert isinstance(ready, WritePlan)
    assert [item.object for item in ready.warnings] == ["drain/nobody"]


@pytest.mark.parametrize(
    ("edit", "field"),
    [
        (put(Kind.SELECTOR, "t", priority=2, groups=["g"], ranks=["soon"]), "ranks.0"),
        (put(Kind.SELECTOR, "t", groups=["g"]), "priority"),
        (put(Kind.GROUP, "t", index="i", match={}, color="red"), "color"),
        (put(Kind.GROUP, "t", name="other", index="i", match={}), "name"),
    ],
)
def test_malformed_object_names_its_field(edit, field):
    refused = plan(edit)
    assert isinstance(refused, Invalid)
    assert [(item.object, item.field) for item in refused.problems] == [
        (f"{edit.kind.value}/t", field)
    ]


def test_problem_that_is_there_already_does_not_block_another_edit():
    """Guards against a drain that is blocked until an unrelated selector is fixed."""
    basis = configure(select("a"), select("b"))
    extra = dataclasses.replace(UPSTREAM, name="u-2")
    ready = plan(put(Kind.DRAIN, "u-1"), basis=basis, upstreams=(UPSTREAM, extra))
    assert isinstance(ready, WritePlan)
    assert [item.object for item in ready.warnings] == ["selector/a"]


def test_drain_of_the_last_upstream_of_a_service_is_a_warning():
    """Guards against a shard missing from every answer without a warning."""
    other = dataclasses.replace(UPSTREAM, name="u-2", service="s-2")
    ready = plan(put(Kind.DRAIN, "u-1"), upstreams=(UPSTREAM, other))
    assert isinstance(ready, WritePlan)
    assert [item.object for item in ready.warnings] == ["drain/u-1"]
    assert "'s-1' is left" in ready.warnings[0].message


@pytest.mark.parametrize(("size", "refused"), [(850_000, False), (1_200_000, True)])
def test_size_near_the_limit_is_a_warning_and_over_it_a_problem(size, refused):
    found = plan(put(Kind.GROUP, "big", index="i", match={}, labels={"x": "y" * size}))
    if refused:
        assert isinstance(found, Invalid)
    else:
        assert isinstance(found, WritePlan)
        assert "near the platform's limit" in found.warnings[0].message


def test_value_that_could_not_be_in_force_is_refused():
    """Guards against writing a change that every instance then rejects."""
    found = plan(put(Kind.GROUP, "n", index="i", match={"a": "\ud800"}))
    assert isinstance(found, Invalid)


def test_object_edited_twice_in_one_change_is_refused():
    edit = put(Kind.DRAIN, "u-1")
    assert isinstance(plan(edit, edit), Invalid)


def test_change_id_of_another_change_is_refused():
    first = plan(put(Kind.GROUP, "n", index="i", match={}))
    assert isinstance(first, WritePlan)
    basis = decode_configuration(first.body)
    again = plan(put(Kind.GROUP, "n", index="i", match={}), basis=basis)
    other = plan(put(Kind.GROUP, "m", index="i", match={}), basis=basis)
    assert again == Accepted(generation=2)
    assert isinstance(other, Invalid)
    assert other.problems[0].field == "change_id"


def test_field_with_its_default_is_not_written():
    """Guards against documents that instances of an earlier release refuse.

    Such instances refuse unknown fields, so a field with its default is left out.
    """
    ready = plan(put(Kind.GROUP, "n", index="i", match={}))
    assert isinstance(ready, WritePlan)
    assert ready.body["groups"][-1] == {"name": "n", "index": "i", "match": {}}
    assert decode_configuration(ready.body).groups[-1].outcome_lookup is False
