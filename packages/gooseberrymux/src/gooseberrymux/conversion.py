"""Turns plain data into data classes: checked by msgspec, with every problem named."""

import dataclasses
import functools
import types
import typing
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

IS_MISSING = "is missing"
IS_UNKNOWN = "no such key"

T = TypeVar("T")
Hook = Callable[[type, Any], Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """What is wrong with one value.

    Attributes:
        place: Keys and positions that lead to it, joined by dots.
        value: The value; None if there is none.
        message: What was expected.
    """

    place: str
    value: Any
    message: str

    def __str__(self) -> str:
        """Returns place, value and expectation in one line."""
        if self.message == IS_MISSING:
            return f"{self.place}: {self.message}"
        return f"{self.place}: {self.value!r}: {self.message}"


def convert(
    value: Any, kind: type[T], *, hook: Hook | None = None
) -> Result[T, list[Problem]]:
    """Returns a value as a data class, or everything that is wrong with it.

    Unknown keys are refused, so that a mistyped one never falls back to a default.

    Args:
        value: Mappings, lists and scalars.
        kind: The data class.
        hook: Makes the classes of the data that msgspec does not know.
    """
    try:
        found = msgspec.convert(value, kind, dec_hook=hook)
    except msgspec.ValidationError:
        return Err(list(find_problems(value, kind, hook=hook)))
    if problems := list(find_unknown(value, kind)):
        return Err(problems)
    return Ok(found)


def find_problems(
    value: Any, kind: Any, *, hook: Hook | None, place: str = ""
) -> Iterator[Problem]:
    """Yields what is wrong with a value, each part by itself."""
    if has_fields(value, kind):
        hints = get_hints(get_data_class(kind))
        for field in dataclasses.fields(get_data_class(kind)):
            where = join_place(place, field.name)
            if field.name in value:
                found, hint = value[field.name], hints[field.name]
                yield from find_problems(found, hint, hook=hook, place=where)
            elif is_required(field):
                yield Problem(place=where, value=None, message=IS_MISSING)
        yield from find_unknown_keys(value, hints, place)
        return
    if item := get_item_kind(value, kind):
        for number, found in enumerate(value):
            where = join_place(place, number)
            yield from find_problems(found, item, hook=hook, place=where)
        return
    try:
        msgspec.convert(value, kind, dec_hook=hook)
    except msgspec.ValidationError as error:
        yield Problem(place=place, value=value, message=str(error))


def find_unknown(value: Any, kind: Any, *, place: str = "") -> Iterator[Problem]:
    """Yields the keys of a value that its data class does not have."""
    if has_fields(value, kind):
        hints = get_hints(get_data_class(kind))
        for name, hint in hints.items():
            if name in value:
                found = value[name]
                yield from find_unknown(found, hint, place=join_place(place, name))
        yield from find_unknown_keys(value, hints, place)
    elif item := get_item_kind(value, kind):
        for number, found in enumerate(value):
            yield from find_unknown(found, item, place=join_place(place, number))


def find_unknown_keys(value: Mapping, hints: dict, place: str) -> Iterator[Problem]:
    """Yields the keys of one mapping that are not among its fields."""
    for key in value:
        if key not in hints:
            yield Problem(
                place=join_place(place, key), value=value[key], message=IS_UNKNOWN
            )


def has_fields(value: Any, kind: Any) -> bool:
    """Returns whether a value holds the fields of a data class."""
    return get_data_class(kind) is not None and isinstance(value, Mapping)


@functools.cache
def get_data_class(kind: Any) -> type | None:
    """Returns the data class of a type, also of an optional one, or None."""
    if typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        kinds = [part for part in typing.get_args(kind) if part is not type(None)]
        kind = kinds[0] if len(kinds) == 1 else None
    return kind if dataclasses.is_dataclass(kind) else None


def get_item_kind(value: Any, kind: Any) -> Any:
    """Returns the type of a list's items if they have fields, or None."""
    if not isinstance(value, list | tuple):
        return None
    if typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    items = typing.get_args(kind)
    if typing.get_origin(kind) not in (list, tuple) or get_data_class(items[0]) is None:
        return None
    return items[0]


@functools.cache
def get_hints(kind: type) -> dict[str, Any]:
    """Returns the types of a data class's fields."""
    return typing.get_type_hints(kind, include_extras=True)


def is_required(field: dataclasses.Field) -> bool:
    """Returns whether a field has no default."""
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def join_place(place: str, part: object) -> str:
    """Returns the place of a part."""
    return f"{place}.{part}" if place else str(part)
