"""JSON of which single values can't be decoded."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.lenient_json import (
    NESTING_DEPTH_LIMIT,
    decode_json,
    replace_undecodable,
)

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=30,
)


@given(json_values)
def test_what_can_be_decoded_stays_as_it_is(value):
    encoded = json.dumps(value)
    assert replace_undecodable(encoded) == encoded
    assert decode_json(encoded.encode()) == value


# Guards against a list that is lost because of one value in it.
@pytest.mark.parametrize(
    "odd",
    [b"[" * 5_000 + b"]" * 5_000, b'{"a":' * 5_000 + b"1" + b"}" * 5_000, b"8" * 9_000],
)
def test_only_the_odd_value_is_replaced(odd):
    decoded = decode_json(
        b'{"items": ["]}[{", ' + odd + b', {"name": "\\"["}], "n": 3}'
    )
    assert decoded["items"][0] == "]}[{"
    assert decoded["items"][2] == {"name": '"['}
    assert decoded["n"] == 3


def test_bytes_that_are_no_text_spoil_only_their_string():
    decoded = decode_json(b'{"a": "\xff", "b": "whole"}')
    assert decoded["b"] == "whole"


def test_nesting_up_to_the_limit_is_kept():
    text = "[" * NESTING_DEPTH_LIMIT + "]" * NESTING_DEPTH_LIMIT
    assert replace_undecodable(text) == text
    assert replace_undecodable(f"[{text}]").count("null") == 1


@pytest.mark.parametrize("data", [b"", b"{", b'{"a": ]}', b"[1,", b"[" * 100_000])
def test_what_is_no_json_is_refused(data):
    with pytest.raises(ValueError):
        decode_json(data)
