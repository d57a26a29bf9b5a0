"""When a fan-out is answered, and what its answer contains."""

import dataclasses

import pytest

from gooseberrymux.fanout import Complete, Fanout, MinimumUnreachable, Waiting
from gooseberrymux.forward_messages import (
    MergedPart,
    PartNotRun,
    PartReplied,
    PartsMerged,
    PartUnknown,
)
from gooseberrymux.routes import FanoutTarget

TARGET_AT_MS, LATE_AFTER_MS, DEADLINE_MS = 100.0, 110.0, 1000.0


def create_fanout(count=4, minimum=0.5, top=2, started_ms=0.0):
    services = tuple(f"s{number}" for number in range(count))
    return Fanout(
        target=FanoutTarget(services=services, top=top, minimum_share=minimum),
        started_ms=started_ms,
        target_at_ms=TARGET_AT_MS,
        late_after_ms=LATE_AFTER_MS,
        deadline_ms=DEADLINE_MS,
        latency_target_ms=100.0,
    )


def create_merged(*services, records=b""):
    parts = [
        MergedPart(
            service=name,
            upstream=f"u-{name}",
            proof=f"p-{name}",
            sends=1,
            queued_ms=0,
            upstream_ms=5,
        )
        for name in services
    ]
    return PartsMerged(call="c", parts=parts, records=records)


def create_not_run(service):
    return PartNotRun(
        call="c", service=service, reason="x", step="s", peer="p", retry_after_ms=40.0
    )


def create_unknown(service):
    return PartUnknown(call="c", service=service, reason="broken", step="s", peer="p")


def test_it_is_complete_when_all_parts_are_in():
    fanout = create_fanout()
    assert fanout.evaluate(0.0) == Waiting(until_ms=TARGET_AT_MS)
    fanout.record_outcome(create_merged("s0", "s1", records=b"a" * 32), 1.0)
    fanout.record_outcome(create_merged("s2", "s3", records=b"c" * 16 + b"b" * 16), 2.0)
    assert fanout.evaluate(2.0) == Complete()
    assert fanout.merge() == b"c" * 16 + b"b" * 16
    assert fanout.list_proofs() == ["p-s0", "p-s1", "p-s2", "p-s3"]
    assert fanout.list_missing() == []


def test_just_before_it_is_late_it_is_answered_with_enough_parts():
    fanout = create_fanout()
    fanout.record_outcome(create_merged("s0", "s1"), 1.0)
    assert fanout.evaluate(99.0) == Waiting(until_ms=TARGET_AT_MS)
    assert fanout.evaluate(100.0) == Complete()
    assert [part.service for part in fanout.list_missing()] == ["s2", "s3"]


def test_enough_parts_after_the_planned_moment_are_answered_while_it_is_on_time():
    """Guards against holding back an answer that could still be sent on time."""
    fanout = create_fanout()
    fanout.record_outcome(create_merged("s0"), 1.0)
    assert fanout.evaluate(TARGET_AT_MS) == Waiting(until_ms=200.0)
    fanout.record_outcome(create_merged("s1"), LATE_AFTER_MS - 1.0)
    assert fanout.evaluate(LATE_AFTER_MS - 1.0) == Complete()


def test_late_anyway_it_waits_for_more_parts_but_not_until_the_deadline():
    fanout = create_fanout()
    fanout.record_outcome(create_merged("s0"), 1.0)
    assert fanout.evaluate(100.0) == Waiting(until_ms=200.0)
    fanout.record_outcome(create_merged("s1"), 120.0)
    assert fanout.evaluate(120.0) == Waiting(until_ms=200.0)
    assert fanout.evaluate(200.0) == Complete()


def test_a_caller_that_is_late_already_gets_one_more_target_of_waiting_for_parts():
    fanout = create_fanout(started_ms=400.0)
    fanout.record_outcome(create_merged("s0", "s1"), 450.0)
    assert fanout.evaluate(450.0) == Waiting(until_ms=500.0)
    assert fanout.evaluate(500.0) == Complete()


def test_below_the_minimum_it_waits_until_the_deadline():
    fanout = create_fanout()
    fanout.record_outcome(create_merged("s0"), 1.0)
    assert fanout.evaluate(200.0) == Waiting(until_ms=DEADLINE_MS)
    assert fanout.evaluate(DEADLINE_MS) == MinimumUnreachable()


def test_it_is_given_up_as_soon_as_the_minimum_is_out_of_reach():
    # Guards against waiting for parts when the request can no longer succeed.
    fanout = create_fanout()
    fanout.record_outcome(create_not_run("s0"), 1.0)
    fanout.record_outcome(create_unknown("s1"), 1.0)
    assert isinstance(fanout.evaluate(1.0), Waiting)
    fanout.record_outcome(create_not_run("s2"), 1.0)
    assert fanout.evaluate(1.0) == MinimumUnreachable()
    assert fanout.retry_after_ms == 40.0


@pytest.mark.parametrize(
    ("outcome", "may_have_run"),
    [
        (create_not_run("s0"), False),
        (create_unknown("s0"), True),
        (create_merged("s0"), True),
    ],
)
def test_not_run_is_said_only_if_no_part_can_have_run(outcome, may_have_run):
    fanout = create_fanout()
    for name in ("s1", "s2", "s3"):
        fanout.record_outcome(create_not_run(name), 1.0)
    fanout.record_outcome(outcome, 1.0)
    assert fanout.may_have_run is may_have_run


def test_a_part_that_is_still_out_may_have_run():
    """Guards against a refusal with `not_run` while other parts may still run."""
    fanout = create_fanout()
    for name in ("s0", "s1", "s2"):
        fanout.record_outcome(create_not_run(name), 1.0)
    assert fanout.evaluate(1.0) == MinimumUnreachable()
    assert fanout.may_have_run


def test_a_success_needs_at_least_one_part():
    fanout = create_fanout(count=2, minimum=0.0)
    assert isinstance(fanout.evaluate(150.0), Waiting)
    fanout.record_outcome(create_not_run("s0"), 150.0)
    fanout.record_outcome(create_not_run("s1"), 150.0)
    assert fanout.evaluate(150.0) == MinimumUnreachable()


def test_a_servers_failure_is_no_part():
    fanout = create_fanout(count=2)
    failure = PartReplied(
        call="c",
        service="s0",
        upstream="u",
        status=500,
        headers=(),
        proof="p",
        body=b"x" * 16,
        sends=1,
        queued_ms=0.0,
        upstream_ms=1.0,
    )
    fanout.record_outcome(failure, 1.0)
    fanout.record_outcome(create_merged("s1"), 1.0)
    assert fanout.evaluate(1.0) == Complete()
    assert fanout.list_proofs() == ["p-s1"]
    assert [part.reason for part in fanout.list_missing()] == ["status_500"]


def test_a_part_that_two_owners_brought_counts_once():
    # Guards against an answer that lists the proof of one reply twice.
    fanout = create_fanout()
    fanout.record_outcome(create_merged("s0", "s1", records=b"a" * 16), 1.0)
    fanout.record_outcome(create_merged("s1", "s2", records=b"b" * 16), 1.0)
    fanout.record_outcome(create_unknown("s0"), 1.0)
    assert fanout.list_proofs() == ["p-s0", "p-s1"]
    assert fanout.merge() == b"a" * 16


def test_a_part_that_was_sent_again_is_open_again():
    fanout = create_fanout(count=1)
    fanout.record_outcome(create_unknown("s0"), 1.0)
    fanout.reopen("s0")
    assert fanout.list_pending() == ["s0"]
    assert isinstance(fanout.evaluate(1.0), Waiting)


def test_log_names_parts_that_were_sent_again_and_the_last_ones():
    fanout = create_fanout(count=6)
    resent = create_merged("s0")
    part = dataclasses.replace(resent.parts[0], sends=2)
    fanout.record_outcome(dataclasses.replace(resent, parts=[part]), 1.0)
    for number in range(1, 6):
        fanout.record_outcome(create_merged(f"s{number}"), float(number))
    names = [part["service"] for part in fanout.describe_parts(0.0)]
    assert names == ["s3", "s4", "s5", "s0"]
