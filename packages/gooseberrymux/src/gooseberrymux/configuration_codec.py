"""Decodes configuration documents, reporting every problem, and encodes them.

Separate from the configuration model because pydantic takes long to load, and
instances that do not administer configurations run without it.
"""

import pydantic

from gooseberrymux.configuration_model import (
    LIST_FIELDS,
    NAME_FIELDS,
    Configuration,
    ConfigurationError,
    ConfigurationObject,
    Drain,
    Evacuation,
    Group,
    Kind,
    Problem,
    Selector,
    format_object_key,
)
from gooseberrymux.document_table import GENERATION_LIMIT

_configuration_adapter = pydantic.TypeAdapter(Configuration)
_object_adapters = {
    Kind.GROUP: pydantic.TypeAdapter(Group),
    Kind.SELECTOR: pydantic.TypeAdapter(Selector),
    Kind.DRAIN: pydantic.TypeAdapter(Drain),
    Kind.EVACUATION: pydantic.TypeAdapter(Evacuation),
}


def decode_configuration(body: dict) -> Configuration:
    """Decodes the body of a configuration document.

    Raises:
        ConfigurationError: A field is missing, unknown or of the wrong type, or the
            generation is out of range; the error lists all problems.
    """
    try:
        decoded = _configuration_adapter.validate_python(body)
    except pydantic.ValidationError as error:
        problems = [
            Problem(
                object=locate_object(body, problem["loc"]),
                field=format_field_path(problem["loc"]),
                message=format_validation_error(problem),
            )
            for problem in error.errors()
        ]
        raise ConfigurationError(
            step="configuration.decode", problems=problems
        ) from error
    if not 0 <= decoded.generation < GENERATION_LIMIT:
        message = f"{decoded.generation}: expected 0 to {GENERATION_LIMIT - 1}"
        problem = Problem(object="configuration", field="generation", message=message)
        raise ConfigurationError(step="configuration.decode", problems=[problem])
    return decoded


def encode_configuration(configuration: Configuration) -> dict:
    """Returns the document body of a configuration.

    Fields that have their default value are omitted. Instances of an earlier release
    refuse unknown fields, so they can decode the document until a new field is used.
    """
    return _configuration_adapter.dump_python(
        configuration, mode="json", exclude_defaults=True
    )


def describe_configuration(configuration: Configuration) -> dict:
    """Returns a configuration with all fields, defaults included, for operators."""
    return _configuration_adapter.dump_python(configuration, mode="json")


def decode_object(
    *, kind: Kind, name: str, value: dict
) -> ConfigurationObject | list[Problem]:
    """Decodes the object that an edit adds or replaces.

    Args:
        kind: Kind of the object.
        name: Name of the object; `value` may repeat it.
        value: Fields of the object.

    Returns:
        The object, or every problem of its fields.
    """
    name_field = NAME_FIELDS[kind]
    key = format_object_key(kind, name)
    if value.get(name_field, name) != name:
        message = f"{value[name_field]!r} differs from the edit's name {name!r}"
        return [Problem(object=key, field=name_field, message=message)]
    try:
        return _object_adapters[kind].validate_python({**value, name_field: name})
    except pydantic.ValidationError as error:
        return [
            Problem(
                object=key,
                field=".".join(str(part) for part in problem["loc"]),
                message=format_validation_error(problem),
            )
            for problem in error.errors()
        ]


def encode_object(kind: Kind, found: ConfigurationObject | None) -> dict | None:
    """Returns the fields of an object, defaults included, or None for no object."""
    return (
        None
        if found is None
        else _object_adapters[kind].dump_python(found, mode="json")
    )


def locate_object(body: dict, location: tuple) -> str:
    """Returns kind and name of the object in which decoding failed.

    An object whose name can't be read is identified by its position in its list.

    Args:
        body: The document body.
        location: Keys and positions from the root of the body to the error.
    """
    match location:
        case (str(section), int(number), *_) if section in LIST_FIELDS.values():
            kind = next(key for key, value in LIST_FIELDS.items() if value == section)
            match body[section][number]:
                case (
                    {"name": str(name)}
                    | {"upstream": str(name)}
                    | {"domain": str(name)}
                ):
                    return format_object_key(kind, name)
            return format_object_key(kind, f"#{number}")
        case _:
            return "configuration"


def format_field_path(location: tuple) -> str:
    """Returns the dotted path of the invalid field, relative to its object."""
    match location:
        case (str(section), int(), *rest) if section in LIST_FIELDS.values():
            return ".".join(str(part) for part in rest)
        case _:
            return ".".join(str(part) for part in location)


def format_validation_error(problem: dict) -> str:
    """Returns one line with the invalid value and what was expected instead."""
    if problem["type"] == "missing":
        return "is missing"
    return f"{problem['input']!r}: {problem['msg']}"
