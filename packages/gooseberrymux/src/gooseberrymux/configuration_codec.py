"""Documents of the configuration: decoding with every problem named, and encoding.

Apart from the model, since the library that checks it takes long to load and an
instance without the administration of configurations does without it.
"""

import pydantic

from gooseberrymux.configuration_model import (
    LISTS,
    NAME_FIELDS,
    Configuration,
    ConfigurationError,
    ConfigurationObject,
    Drain,
    Group,
    Kind,
    Problem,
    Selector,
    name_object,
)
from gooseberrymux.document_table import GENERATION_LIMIT

_configuration = pydantic.TypeAdapter(Configuration)
_adapters = {
    Kind.GROUP: pydantic.TypeAdapter(Group),
    Kind.SELECTOR: pydantic.TypeAdapter(Selector),
    Kind.DRAIN: pydantic.TypeAdapter(Drain),
}


def decode_configuration(body: dict) -> Configuration:
    """Returns the configuration that a document holds.

    Raises:
        ConfigurationError: A field is missing, unknown or of the wrong type.
    """
    try:
        decoded = _configuration.validate_python(body)
    except pydantic.ValidationError as error:
        problems = [
            Problem(
                object=name_place(body, problem["loc"]),
                field=name_field(problem["loc"]),
                message=describe(problem),
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
    """Returns the document that holds a configuration.

    Fields with their default are left out, so that instances of an earlier release,
    which refuse unknown fields, go on decoding it until a new field is used.
    """
    return _configuration.dump_python(configuration, mode="json", exclude_defaults=True)


def describe_configuration(configuration: Configuration) -> dict:
    """Returns a configuration with all its fields, for people."""
    return _configuration.dump_python(configuration, mode="json")


def decode_object(
    *, kind: Kind, name: str, value: dict
) -> ConfigurationObject | list[Problem]:
    """Returns the object of an edit, or what is wrong with it.

    Args:
        kind: What it is.
        name: Its name; `value` may repeat it.
        value: Its fields.
    """
    name_field = NAME_FIELDS[kind]
    key = name_object(kind, name)
    if value.get(name_field, name) != name:
        message = f"{value[name_field]!r} differs from the edit's name {name!r}"
        return [Problem(object=key, field=name_field, message=message)]
    try:
        return _adapters[kind].validate_python({**value, name_field: name})
    except pydantic.ValidationError as error:
        return [
            Problem(
                object=key,
                field=".".join(str(part) for part in problem["loc"]),
                message=describe(problem),
            )
            for problem in error.errors()
        ]


def encode_object(kind: Kind, found: ConfigurationObject | None) -> dict | None:
    """Returns the fields of an object; None stays None."""
    return None if found is None else _adapters[kind].dump_python(found, mode="json")


def name_place(body: dict, place: tuple) -> str:
    """Returns kind and name of the object in which decoding failed."""
    match place:
        case (str(section), int(number), *_) if section in LISTS.values():
            kind = next(key for key, value in LISTS.items() if value == section)
            match body[section][number]:
                case {"name": str(name)} | {"upstream": str(name)}:
                    return name_object(kind, name)
            return name_object(kind, f"#{number}")
        case _:
            return "configuration"


def name_field(place: tuple) -> str:
    """Returns the field at which decoding failed, without its object's place."""
    match place:
        case (str(section), int(), *rest) if section in LISTS.values():
            return ".".join(str(part) for part in rest)
        case _:
            return ".".join(str(part) for part in place)


def describe(problem: dict) -> str:
    """Returns one line with the value and what was expected instead."""
    if problem["type"] == "missing":
        return "is missing"
    return f"{problem['input']!r}: {problem['msg']}"
