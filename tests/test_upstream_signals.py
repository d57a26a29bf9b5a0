"""Signals of an upstream in the headers of its replies."""

import pytest

from gooseberrymux.settings import HeaderNames
from gooseberrymux.upstream_signals import (
    NO_SIGNALS,
    PAUSE_LIMIT_MS,
    ReportedLoad,
    UpstreamSignals,
    parse_signals,
)


def parse(status=200, **fields):
    named = {name.replace("_", "-"): value for name, value in fields.items()}
    return parse_signals(named, status=status, names=HeaderNames())


def test_a_reply_without_signals_gives_the_shared_instance():
    assert parse(content_type="text/plain") is NO_SIGNALS


@pytest.mark.parametrize(
    ("value", "expected"), [("6.6", 6.6), ("0", 0.0), (" 12 ", 12.0), ("1e2", 100.0)]
)
def test_a_limit_is_a_decimal_number(value, expected):
    assert parse(x_rate_limit=value) == UpstreamSignals(rate_limit_per_s=expected)


# Guards against a malformed header that ends a thread or blocks an upstream for ever.
@pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "many", "1,5", "0x10"])
def test_a_value_that_is_no_rate_counts_as_absent(value):
    assert parse(x_rate_limit=value).rate_limit_per_s is None


def test_a_leaving_upstream_says_so():
    assert parse(x_draining="1").is_leaving
    assert not parse(x_draining="0").is_leaving


def test_a_pause_holds_only_with_status_503():
    assert parse(status=503, retry_after="1.5").pause_ms == 1_500.0
    assert parse(status=200, retry_after="1.5").pause_ms == 0.0


@pytest.mark.parametrize("value", ["Wed, 21 Oct 2015 07:28:00 GMT", "-3", ""])
def test_a_pause_that_is_no_number_of_seconds_is_none(value):
    assert parse(status=503, retry_after=value).pause_ms == 0.0


def test_a_pause_is_bounded():
    assert parse(status=503, retry_after="1e300").pause_ms == PAUSE_LIMIT_MS


@pytest.mark.parametrize(
    ("value", "percent"), [("3,1,2", None), ("3, 1, 2, 250", 250.0), ("3,1,2,8e1", 80)]
)
def test_a_load_has_three_or_four_figures(value, percent):
    expected = ReportedLoad(running=3, waiting=1, slots=2, percent=percent)
    assert parse(x_upstream_load=value).load == expected


# Guards against a malformed header that ends a thread or keeps traffic away.
@pytest.mark.parametrize(
    "value",
    ["", "1", "1,2", "1,2,3,4,5", "1,2,0", "1,2,3,0", "1,-2,3", "a,b,c", "1,2,3,nan"]
    + ["1," * 5_000, "inf,1,2"],
)
def test_a_load_that_cant_be_read_counts_as_absent(value):
    assert parse(x_upstream_load=value).load is None
