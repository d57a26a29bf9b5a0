"""Leaving notices: rules for merging them, and how they reach other instances."""

import dataclasses
import functools

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.configuration_model import (
    Configuration,
    ConfigurationChanged,
    Drain,
)
from gooseberrymux.departures import (
    SOURCE_OPERATOR,
    SOURCE_PLATFORM,
    SOURCE_UPSTREAM,
    UNLISTED_RETENTION_MS,
    Departures,
    LeavingNoticeTable,
    UpstreamLeaving,
    merge_notices,
)
from gooseberrymux.messages import LeavingNotice
from support import Node, running, wait_for

SERVICES = ("departures",)

notices = st.builds(
    LeavingNotice,
    upstream=st.just("u"),
    epoch=st.integers(1, 3),
    generation=st.integers(0, 3),
    source=st.sampled_from([SOURCE_PLATFORM, SOURCE_OPERATOR, SOURCE_UPSTREAM]),
    returned_epoch=st.integers(-1, 3),
    returned_generation=st.integers(-1, 3),
)


def create_notice(*, epoch=1, source=SOURCE_UPSTREAM, **fields):
    return LeavingNotice(upstream="u", epoch=epoch, source=source, **fields)


@given(notices, notices, notices)
def test_merge_is_commutative_associative_and_idempotent(one, two, three):
    # Guards against instances that got the same notices and never agree on them.
    assert merge_notices(one, two) == merge_notices(two, one)
    assert merge_notices(merge_notices(one, two), three) == merge_notices(
        one, merge_notices(two, three)
    )
    assert merge_notices(one, one) == one


@given(st.lists(notices, min_size=1, max_size=8), st.randoms())
def test_tables_agree_whatever_the_order(given_notices, random):
    shuffled = given_notices + given_notices[:3]
    random.shuffle(shuffled)
    tables = []
    for sequence in (given_notices, shuffled):
        table = LeavingNoticeTable()
        for notice in sequence:
            table.merge(notice)
        tables.append([table.is_leaving("u", epoch) for epoch in range(1, 5)])
    assert tables[0] == tables[1]
    assert functools.reduce(merge_notices, given_notices).upstream == "u"


@given(st.lists(notices, max_size=8), st.integers(1, 3), st.integers(4, 6))
def test_signal_under_the_current_generation_wins_at_once(earlier, epoch, generation):
    table = LeavingNoticeTable()
    for notice in earlier:
        returned = min(notice.returned_epoch, epoch)
        table.merge(dataclasses.replace(notice, returned_epoch=returned))
    table.merge(create_notice(epoch=epoch, generation=generation))
    assert table.is_leaving("u", epoch)


def test_only_a_newer_epoch_or_a_later_undrain_brings_back():
    table = LeavingNoticeTable()
    table.merge(create_notice(epoch=2, generation=5))
    assert table.is_leaving("u", 1)
    assert table.is_leaving("u", 2)
    assert not table.is_leaving("u", 3)
    table.merge(
        create_notice(epoch=2, generation=5, returned_epoch=2, returned_generation=6)
    )
    assert not table.is_leaving("u", 2)
    table.merge(create_notice(epoch=2, generation=6))
    assert table.is_leaving("u", 2)


def test_notices_of_unlisted_upstreams_are_forgotten_for_good():
    # Guards against a table that keeps a notice about each upstream that ever left.
    table = LeavingNoticeTable()
    table.merge(create_notice())
    table.forget_unlisted({"u"}, now_ms=0)
    assert table.list_for_exchange()
    table.forget_unlisted((), now_ms=1)
    assert not table.list_for_exchange()
    table.forget_unlisted((), now_ms=UNLISTED_RETENTION_MS)
    assert len(table) == 1
    table.forget_unlisted((), now_ms=UNLISTED_RETENTION_MS + 1)
    assert len(table) == 0


def create_nodes():
    one = Node("one", services=SERVICES)
    two = Node(
        "two",
        services=SERVICES,
        membership={"seeds": [{"port": one.address.port}]},
    )
    return one, two


def find_departures(node):
    return node.kernel.find("departures", Departures)


def test_signal_reaches_the_other_instance_and_one_that_starts_later():
    one, two = create_nodes()
    published = []
    two.kernel.subscribe(UpstreamLeaving, published.append)
    with running(one):
        find_departures(one).apply_platform_list({"u": 1}, {})
        find_departures(one).report_leaving(
            upstream="u", epoch=1, source=SOURCE_UPSTREAM
        )
        with running(two):
            wait_for(lambda: find_departures(two).is_leaving("u", 1), "the exchange")
            find_departures(two).report_leaving(
                upstream="v", epoch=1, source=SOURCE_UPSTREAM
            )
            wait_for(lambda: find_departures(one).is_leaving("v", 1), "the push")
    assert [event.upstream for event in published] == ["u", "v"]


def publish_drains(node, generation, *names):
    node.kernel.publish(
        ConfigurationChanged(
            configuration=Configuration(
                generation=generation,
                change_id=str(generation),
                drains=[Drain(upstream=name) for name in names],
            )
        )
    )


def test_undrain_ends_a_drain_but_not_a_later_signal():
    node = Node("one", services=SERVICES)
    departures = find_departures(node)
    departures.apply_platform_list({"u": 1}, {})
    publish_drains(node, 2, "u")
    assert departures.is_leaving("u", 1)
    assert departures.is_leaving("u", 2), "a drain holds for every registration"
    publish_drains(node, 3)
    assert not departures.is_leaving("u", 1)
    departures.report_leaving(upstream="u", epoch=1, source=SOURCE_UPSTREAM)
    assert departures.is_leaving("u", 1)


def test_platform_list_that_lags_does_not_bring_back():
    node = Node("one", services=SERVICES)
    departures = find_departures(node)
    departures.report_leaving(upstream="u", epoch=1, source=SOURCE_UPSTREAM)
    departures.apply_platform_list({"u": 1}, {})
    assert departures.is_leaving("u", 1)
    departures.apply_platform_list({"u": 2}, {})
    assert not departures.is_leaving("u", 2)


def test_what_the_platforms_list_says_is_not_pushed_to_peers(monkeypatch):
    """Guards against messages that grow with instances times upstreams.

    All instances receive the platform's list as a document, and a repartition makes
    all upstreams of an index leave at once.
    """
    node = Node("one", services=SERVICES)
    departures = find_departures(node)
    pushed = []
    monkeypatch.setattr(
        Departures, "_push", lambda self, notices, **_: pushed.extend(notices)
    )
    departures.apply_platform_list({"u": 1, "v": 1}, {"u": 1})
    assert departures.is_leaving("u", 1)
    assert not pushed
    assert not departures._table.list_for_exchange()
    departures.report_leaving(upstream="v", epoch=1, source=SOURCE_UPSTREAM)
    assert [notice.upstream for notice in pushed] == ["v"]
    assert [n.upstream for n in departures._table.list_for_exchange()] == ["v"]
