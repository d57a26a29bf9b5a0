"""Converts plain data to data classes with msgspec and reports every problem.

msgspec itself stops at the first problem and ignores unknown keys.
"""

import dataclasses
import functools
import types
import typing
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

MISSING_KEY_MESSAGE = "is missing"
UNKNOWN_KEY_MESSAGE = "no such key"

T = TypeVar("T")
DecodeHook = Callable[[type, Any], Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConversionProblem:
    """What is wrong with one value.

    Attributes:
        path: Keys and positions from the root to the value, joined by dots.
        value: The value; None if the key is missing.
        message: What is wrong or was expected.
    """

    path: str
    value: Any
    message: str

    def __str__(self) -> str:
        """Returns path, value and message in one line."""
        if self.message == MISSING_KEY_MESSAGE:
            return f"{self.path}: {self.message}"
        return f"{self.path}: {self.value!r}: {self.message}"


def convert(
    value: Any, target_type: type[T], *, decode_hook: DecodeHook | None = None
) -> Result[T, list[ConversionProblem]]:
    """Converts a value to a data class.

    An unknown key is an error: a misspelled optional key would otherwise be ignored and
    its default used instead.

    Args:
        value: Mappings, lists and scalars.
        target_type: The data class.
        decode_hook: Converts values whose types msgspec does not support; see
            `dec_hook` of msgspec.

    Returns:
        The data class, or every problem of the value.
    """
    try:
        converted = msgspec.convert(value, target_type, dec_hook=decode_hook)
    except msgspec.ValidationError:
        return Err(list(find_problems(value, target_type, decode_hook=decode_hook)))
    if problems := list(find_all_unknown_keys(value, target_type)):
        return Err(problems)
    return Ok(converted)


def find_problems(
    value: Any, target_type: Any, *, decode_hook: DecodeHook | None, path: str = ""
) -> Iterator[ConversionProblem]:
    """Yields the problems of a value; converts each nested value separately."""
    if is_data_class_mapping(value, target_type):
        field_types = get_field_types(get_data_class(target_type))
        for field in dataclasses.fields(get_data_class(target_type)):
            value_path = join_path(path, field.name)
            if field.name in value:
                found, field_type = value[field.name], field_types[field.name]
                yield from find_problems(
                    found, field_type, decode_hook=decode_hook, path=value_path
                )
            elif is_required(field):
                yield ConversionProblem(
                    path=value_path, value=None, message=MISSING_KEY_MESSAGE
                )
        yield from find_unknown_keys(value, field_types, path)
        return
    if item_type := get_item_type(value, target_type):
        for number, found in enumerate(value):
            value_path = join_path(path, number)
            yield from find_problems(
                found, item_type, decode_hook=decode_hook, path=value_path
            )
        return
    try:
        msgspec.convert(value, target_type, dec_hook=decode_hook)
    except msgspec.ValidationError as error:
        yield ConversionProblem(path=path, value=value, message=str(error))


def find_all_unknown_keys(
    value: Any, target_type: Any, *, path: str = ""
) -> Iterator[ConversionProblem]:
    """Yields keys at any depth of a value that are not fields of its data class."""
    if is_data_class_mapping(value, target_type):
        field_types = get_field_types(get_data_class(target_type))
        for name, field_type in field_types.items():
            if name in value:
                found = value[name]
                yield from find_all_unknown_keys(
                    found, field_type, path=join_path(path, name)
                )
        yield from find_unknown_keys(value, field_types, path)
    elif item_type := get_item_type(value, target_type):
        for number, found in enumerate(value):
            yield from find_all_unknown_keys(
                found, item_type, path=join_path(path, number)
            )


def find_unknown_keys(
    value: Mapping, field_types: dict, path: str
) -> Iterator[ConversionProblem]:
    """Yields the keys of a mapping that are not fields; ignores nested mappings."""
    for key in value:
        if key not in field_types:
            yield ConversionProblem(
                path=join_path(path, key), value=value[key], message=UNKNOWN_KEY_MESSAGE
            )


def is_data_class_mapping(value: Any, target_type: Any) -> bool:
    """Returns whether a value is a mapping to convert to a data class."""
    return get_data_class(target_type) is not None and isinstance(value, Mapping)


@functools.cache
def get_data_class(target_type: Any) -> type | None:
    """Returns the data class in a type, which may be annotated or optional, or None."""
    if typing.get_origin(target_type) is typing.Annotated:
        target_type = typing.get_args(target_type)[0]
    if typing.get_origin(target_type) in (typing.Union, types.UnionType):
        member_types = [
            part for part in typing.get_args(target_type) if part is not type(None)
        ]
        target_type = member_types[0] if len(member_types) == 1 else None
    return target_type if dataclasses.is_dataclass(target_type) else None


def get_item_type(value: Any, target_type: Any) -> Any:
    """Returns the item type of a list or tuple of data classes, or None."""
    if not isinstance(value, list | tuple):
        return None
    if typing.get_origin(target_type) is typing.Annotated:
        target_type = typing.get_args(target_type)[0]
    items = typing.get_args(target_type)
    if (
        typing.get_origin(target_type) not in (list, tuple)
        or get_data_class(items[0]) is None
    ):
        return None
    return items[0]


@functools.cache
def get_field_types(target_type: type) -> dict[str, Any]:
    """Returns the field types of a data class, with their annotated constraints."""
    return typing.get_type_hints(target_type, include_extras=True)


def is_required(field: dataclasses.Field) -> bool:
    """Returns whether a field has no default."""
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def join_path(path: str, part: object) -> str:
    """Returns the dotted path of a key or position below a path."""
    return f"{path}.{part}" if path else str(part)
