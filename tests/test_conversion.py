"""Conversion of plain data to data classes: every problem is reported with its path."""

import dataclasses
from typing import Annotated

import pytest
from msgspec import Meta
from result import Err, Ok

from gooseberrymux.conversion import convert


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    name: str
    weight: Annotated[float, Meta(ge=0)] = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Whole:
    number: int
    parts: tuple[Part, ...] = ()
    spare: Part | None = None
    limits: dict[str, int] = dataclasses.field(default_factory=dict)


def list_problem_texts(value):
    match convert(value, Whole):
        case Err(problems):
            return [str(problem) for problem in problems]
        case Ok(_):
            return []


def test_plain_data_becomes_data_classes():
    value = {"number": 1, "parts": [{"name": "a", "weight": 2}], "limits": {"x": 3}}
    expected = Whole(number=1, parts=(Part(name="a", weight=2.0),), limits={"x": 3})
    assert convert(value, Whole) == Ok(expected)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ({}, ["number: is missing"]),
        ({"number": "1"}, ["number: '1': Expected `int`, got `str`"]),
        ({"number": True}, ["number: True: Expected `int`, got `bool`"]),
        ({"number": 1, "nubmer": 2}, ["nubmer: 2: no such key"]),
        ({"number": 1, "parts": [{"name": "a"}, {}]}, ["parts.1.name: is missing"]),
        (
            {"number": 1, "parts": [{"name": "a", "wieght": 1}]},
            ["parts.0.wieght: 1: no such key"],
        ),
        ({"number": 1, "spare": {}}, ["spare.name: is missing"]),
        (
            {"number": 1, "parts": [{"name": "a", "weight": -1}]},
            ["parts.0.weight: -1: Expected `float` >= 0.0"],
        ),
        ([], [": []: Expected `object`, got `array`"]),
    ],
)
def test_a_problem_is_named_by_its_place(value, expected):
    assert list_problem_texts(value) == expected


def test_all_problems_are_named_at_once():
    # Guards against reporting only the first problem: operators would have to correct
    # and reload the file once for each.
    value = {"number": None, "parts": [{"weight": "x"}], "other": 1}
    assert len(list_problem_texts(value)) == 4
