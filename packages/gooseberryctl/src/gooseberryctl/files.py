"""Reads YAML configuration files and compares them with the configuration in force."""

import dataclasses
import difflib
from pathlib import Path

import yaml

from gooseberryctl.client import Edit, Problem
from gooseberrymux.errors import UserError

SECTIONS = {
    "groups": "group",
    "selectors": "selector",
    "drains": "drain",
    "evacuations": "evacuation",
}
NAME_FIELDS = {
    "group": "name",
    "selector": "name",
    "drain": "upstream",
    "evacuation": "domain",
}


class FileError(UserError):
    """A configuration file can't be read, or its content is not valid."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FileObject:
    """One object of a configuration file, with its line numbers (from 1).

    Attributes:
        kind: group, selector, drain or evacuation.
        name: Name of the object; for a drain, the upstream; for an evacuation, the
            failure domain.
        value: Fields of the object.
        line: Line on which the object starts.
        field_lines: Line of each field of the object.
    """

    kind: str
    name: str
    value: dict
    line: int
    field_lines: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFile:
    """The objects of one configuration file."""

    path: Path
    objects: tuple[FileObject, ...]

    def format_located_problem(self, problem: Problem) -> str:
        """Returns a problem as one line that starts with file and line number.

        The line is that of the field, or of the object if the file lacks the field.
        A problem that belongs to no object of the file gets the path only.
        """
        for item in self.objects:
            if problem.object == f"{item.kind}/{item.name}":
                line = item.field_lines.get(problem.field.split(".")[0], item.line)
                return f"{self.path}:{line}: {describe_problem(problem)}"
        return f"{self.path}: {describe_problem(problem)}"


def describe_problem(problem: Problem) -> str:
    """Returns object, field and message of a problem in one line."""
    subject = " ".join(part for part in (problem.object, problem.field) if part)
    return f"{subject}: {problem.message}" if subject else problem.message


def read_file(path: Path) -> ConfigurationFile:
    """Reads a YAML file with the sections groups, selectors, drains, evacuations.

    Raises:
        FileError: The file can't be read, is not YAML, or has an unknown section or
            an object without a name; the message names the line.
    """
    try:
        root = yaml.compose(path.read_text(), Loader=yaml.SafeLoader)
    except OSError as error:
        raise create_file_error(path, 0, error.strerror or str(error)) from error
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        raise create_file_error(path, line, error.problem or "not YAML") from error
    if root is None:
        return ConfigurationFile(path=path, objects=())
    if not isinstance(root, yaml.MappingNode):
        raise create_file_error(
            path, 1, f"expected a mapping with {', '.join(SECTIONS)}"
        )
    objects = []
    for key, section in root.value:
        kind = SECTIONS.get(key.value)
        if kind is None:
            raise create_file_error(
                path,
                key.start_mark.line + 1,
                f"unknown section {key.value!r}, expected one of {', '.join(SECTIONS)}",
            )
        objects.extend(parse_section(path, kind, section))
    reject_duplicates(path, objects)
    return ConfigurationFile(path=path, objects=tuple(objects))


def parse_section(path: Path, kind: str, section: yaml.Node) -> list[FileObject]:
    """Returns the objects of one section.

    Raises:
        FileError: The section is not a list of objects that have a name.
    """
    line = section.start_mark.line + 1
    if not isinstance(section, yaml.SequenceNode):
        raise create_file_error(path, line, f"expected a list of {kind} objects")
    objects = []
    for node in section.value:
        line = node.start_mark.line + 1
        value = yaml.SafeLoader("").construct_document(node)
        if not isinstance(node, yaml.MappingNode) or not isinstance(value, dict):
            raise create_file_error(path, line, f"expected a {kind} object")
        name = value.get(NAME_FIELDS[kind])
        if not isinstance(name, str) or not name:
            raise create_file_error(
                path, line, f"a {kind} needs the field {NAME_FIELDS[kind]!r}"
            )
        field_lines = {key.value: key.start_mark.line + 1 for key, _ in node.value}
        objects.append(
            FileObject(
                kind=kind, name=name, value=value, line=line, field_lines=field_lines
            )
        )
    return objects


def reject_duplicates(path: Path, objects: list[FileObject]) -> None:
    """Raises `FileError` if two objects of the same kind have the same name."""
    first_lines: dict[tuple[str, str], int] = {}
    for item in objects:
        first_line = first_lines.setdefault((item.kind, item.name), item.line)
        if first_line != item.line:
            raise create_file_error(
                path,
                item.line,
                f"{item.kind} {item.name!r} is already defined on line {first_line}",
            )


def index_objects(configuration: dict) -> dict[tuple[str, str], dict]:
    """Returns the objects of a configuration by kind and name."""
    return {
        (kind, value[NAME_FIELDS[kind]]): value
        for section, kind in SECTIONS.items()
        for value in configuration.get(section, [])
    }


def create_edits(
    *, current: dict, wanted: ConfigurationFile, prune: bool
) -> tuple[Edit, ...]:
    """Returns the edits that make a configuration match a file.

    Args:
        current: The configuration in force.
        wanted: The file.
        prune: Also removes the objects that are not in the file.
    """
    existing = index_objects(current)
    edits = [
        Edit(action="put", kind=item.kind, name=item.name, value=item.value)
        for item in wanted.objects
        if differs(existing.get((item.kind, item.name)), item.value)
    ]
    if prune:
        kept = {(item.kind, item.name) for item in wanted.objects}
        edits.extend(
            Edit(action="remove", kind=kind, name=name)
            for kind, name in sorted(existing.keys() - kept)
        )
    return tuple(edits)


def differs(existing: dict | None, wanted: dict) -> bool:
    """Returns whether an object of the file is new or differs from the one in force.

    Empty fields are not compared, since the server adds an empty value for each field
    that the file leaves out.
    """
    return existing is None or strip_empty(existing) != strip_empty(wanted)


def strip_empty(value: dict) -> dict:
    """Returns an object without its empty fields."""
    return {key: field for key, field in value.items() if not is_empty(field)}


def is_empty(field: object) -> bool:
    """Returns whether a value is one that the server adds for an absent field.

    0 is not, although it equals False: a priority of 0 is a value of its own.
    """
    return field is False or field in ({}, [], "")


def render_diff(*, current: dict, edits: tuple[Edit, ...]) -> str:
    """Returns a unified diff of the YAML of each edited object; empty without edits."""
    existing = index_objects(current)
    lines: list[str] = []
    for edit in edits:
        before = existing.get((edit.kind, edit.name), {})
        lines.extend(
            difflib.unified_diff(
                render_yaml_lines(before),
                render_yaml_lines(edit.value),
                fromfile=f"in force: {edit.kind}/{edit.name}",
                tofile=f"wanted: {edit.kind}/{edit.name}",
                lineterm="",
            )
        )
    return "\n".join(lines)


def render_yaml_lines(value: dict) -> list[str]:
    """Returns an object as YAML lines with sorted keys; none if it has no values."""
    fields = strip_empty(value)
    return yaml.safe_dump(fields, sort_keys=True).splitlines() if fields else []


def create_file_error(path: Path, line: int, message: str) -> FileError:
    """Returns an error that names file and line; line 0 means that none is known."""
    location = f"{path}:{line}" if line else str(path)
    return FileError(step="file", peer=location, message=message)
