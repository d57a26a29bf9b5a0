"""Merging the greatest records of all parts, and when an owner sends them."""

from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.forward_messages import (
    ForwardCall,
    PartNotRun,
    PartReplied,
    PartsMerged,
)
from gooseberrymux.merging import RECORD_BYTES, Collector, merge_records
from gooseberrymux.records import Rank

records = st.binary(min_size=RECORD_BYTES, max_size=RECORD_BYTES)
bodies = st.lists(
    st.tuples(st.lists(records, max_size=6), st.binary(max_size=RECORD_BYTES - 1)),
    max_size=6,
)


@given(bodies, st.integers(1, 10))
def test_merge_is_the_greatest_records_in_falling_order(parts, top):
    all_records = [record for part, _ in parts for record in part]
    expected = sorted(all_records, reverse=True)[:top]
    joined_bodies = [b"".join(part) + partial_record for part, partial_record in parts]
    assert merge_records(joined_bodies, top=top) == b"".join(expected)


@given(bodies, st.integers(1, 10), st.integers(0, 6))
def test_merging_at_owners_first_changes_nothing(parts, top, cut):
    joined_bodies = [b"".join(part) for part, _ in parts]
    merged_directly = merge_records(joined_bodies, top=top)
    first = merge_records(joined_bodies[:cut], top=top)
    second = merge_records(joined_bodies[cut:], top=top)
    assert merge_records([first, second], top=top) == merged_directly


def create_collector(*services):
    sent = []
    call = ForwardCall(
        id="c",
        request_id="r",
        route="route",
        services=list(services),
        rank=Rank.URGENT,
        repeatable=True,
        attempts=2,
        remaining_ms=100.0,
        target_ms=50.0,
        method="GET",
        target="/",
        headers=(),
        top=3,
    )
    return Collector(call=call, reply=sent.append), sent


def create_reply(service, body=b"", status=200):
    return PartReplied(
        call="c",
        service=service,
        upstream=f"u-{service}",
        status=status,
        headers=(),
        proof=f"proof-{service}",
        body=body,
        sends=1,
        queued_ms=0.0,
        upstream_ms=4.0,
    )


def create_not_run(service):
    return PartNotRun(call="c", service=service, reason="x", step="s", peer="p")


def test_parts_wait_for_each_other_and_go_together():
    collector, sent = create_collector("a", "b")
    collector.collect(create_reply("a", b"a" * 16))
    assert sent == []
    collector.collect(create_reply("b", b"b" * 16))
    assert [part.service for part in sent[0].parts] == ["a", "b"]
    assert sent[0].records == b"b" * 16 + b"a" * 16


def test_a_failure_is_told_at_once_and_not_waited_for():
    collector, sent = create_collector("a", "b", "c")
    collector.collect(create_not_run("a"))
    assert sent == [create_not_run("a")]
    collector.collect(create_reply("b", status=500))
    assert sent[1].status == 500
    collector.collect(create_reply("c"))
    assert isinstance(sent[2], PartsMerged)


def test_what_is_in_goes_when_the_entry_is_about_to_answer():
    # Guards against a slow part that delays all parts of its owner past the answer.
    collector, sent = create_collector("a", "b", "c")
    collector.collect(create_reply("a"))
    collector.flush()
    collector.collect(create_reply("b"))
    collector.collect(create_reply("c"))
    assert [[p.service for p in merged.parts] for merged in sent] == [
        ["a"],
        ["b"],
        ["c"],
    ]


def test_a_part_that_is_no_longer_wanted_is_not_waited_for():
    collector, sent = create_collector("a", "b")
    collector.discard(["a"])
    collector.collect(create_reply("b"))
    assert [part.service for part in sent[0].parts] == ["b"]
