"""Checks of the soak: what counts as an interruption and what exceeds a rate limit."""

import pytest

from soak.checks import check_interruptions, check_rate_limits
from soak.record import (
    ConnectionClosed,
    FaultWindow,
    LimitPeriod,
    ProcessExit,
    Record,
    Request,
    UpstreamRequest,
)


class Entry:
    """An instance whose first process was killed at 1,000 ms."""

    name = "front-0"
    exits = [ProcessExit(lifetime=1, code=-9, at_ms=1_000.0)]


def create_cut_request(sent_ms, lifetime=1):
    return Request(
        id="c1",
        path="/fetch/1",
        method="GET",
        body=b"",
        instance="front-0",
        lifetime=lifetime,
        deadline_ms=1_000.0,
        sent_ms=sent_ms,
        ended_ms=sent_ms + 1.0,
        outcome=ConnectionClosed(is_request_sent=True),
    )


@pytest.mark.parametrize(
    ("sent_ms", "lifetime", "is_problem"),
    [(9_000.0, 1, False), (900.0, 1, True), (9_000.0, 2, True)],
)
def test_only_a_process_that_was_killed_before_excuses_a_cut(
    sent_ms, lifetime, is_problem
):
    record = Record()
    record.append_event(create_cut_request(sent_ms, lifetime))
    assert bool(check_interruptions(record, [Entry()])) == is_problem


def create_limited_record(*, gap_ms):
    record = Record()
    record.append_event(
        LimitPeriod(upstream="u", rate_per_s=2.0, from_ms=0.0, until_ms=20_000.0)
    )
    for number in range(int(20_000 / gap_ms)):
        record.append_event(
            UpstreamRequest(
                request_id=f"r{number}",
                service="s",
                upstream="u",
                method="GET",
                path="/",
                body=b"",
                at_ms=number * gap_ms,
                is_executed=True,
            )
        )
    return record


def test_more_than_one_and_a_half_times_the_limit_is_a_problem():
    assert check_rate_limits(create_limited_record(gap_ms=500.0)) == []
    assert check_rate_limits(create_limited_record(gap_ms=250.0)) == []
    assert check_rate_limits(create_limited_record(gap_ms=200.0))


# Guards against a check that a fault of the store or of an upstream turns off.
@pytest.mark.parametrize(
    ("fault", "is_problem"), [("StoreOutage()", True), ("KillInstance()", False)]
)
def test_only_faults_of_instances_excuse_the_rate(fault, is_problem):
    record = create_limited_record(gap_ms=200.0)
    record.append_event(
        FaultWindow(fault=fault, instance="", from_ms=0.0, until_ms=20_000.0)
    )
    assert bool(check_rate_limits(record)) == is_problem
