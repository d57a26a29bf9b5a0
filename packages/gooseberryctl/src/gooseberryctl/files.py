"""Configuration files: objects with the lines they stand on, edits and differences."""

import dataclasses
import difflib
from pathlib import Path

import yaml

from gooseberryctl.client import Edit, Problem
from gooseberrymux.errors import UserError

SECTIONS = {"groups": "group", "selectors": "selector", "drains": "drain"}
NAME_FIELDS = {"group": "name", "selector": "name", "drain": "upstream"}


class FileError(UserError):
    """A configuration file can't be read or has the wrong form."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FileObject:
    """One object of a file.

    Attributes:
        kind: group, selector or drain.
        name: Its name.
        value: The object.
        line: Line on which it starts.
        field_lines: Line of each of its fields.
    """

    kind: str
    name: str
    value: dict
    line: int
    field_lines: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFile:
    """The objects of one file."""

    path: Path
    objects: tuple[FileObject, ...]

    def locate(self, problem: Problem) -> str:
        """Returns a problem as one line that starts with file and line."""
        for found in self.objects:
            if problem.object == f"{found.kind}/{found.name}":
                line = found.field_lines.get(problem.field.split(".")[0], found.line)
                return f"{self.path}:{line}: {describe_problem(problem)}"
        return f"{self.path}: {describe_problem(problem)}"


def describe_problem(problem: Problem) -> str:
    """Returns object, field and message of a problem in one line."""
    place = " ".join(part for part in (problem.object, problem.field) if part)
    return f"{place}: {problem.message}" if place else problem.message


def read_file(path: Path) -> ConfigurationFile:
    """Reads a YAML file with the sections groups, selectors and drains.

    Raises:
        FileError: The file can't be read, is not YAML, or has an unknown section or
            an object without a name; the message names the line.
    """
    try:
        root = yaml.compose(path.read_text(), Loader=yaml.SafeLoader)
    except OSError as error:
        raise fail(path, 0, error.strerror or str(error)) from error
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        raise fail(path, line, error.problem or "not YAML") from error
    if root is None:
        return ConfigurationFile(path=path, objects=())
    if not isinstance(root, yaml.MappingNode):
        raise fail(path, 1, "expected a mapping with groups, selectors and drains")
    objects = []
    for key, section in root.value:
        kind = SECTIONS.get(key.value)
        if kind is None:
            raise fail(
                path,
                key.start_mark.line + 1,
                f"unknown section {key.value!r}, expected one of {', '.join(SECTIONS)}",
            )
        objects.extend(read_section(path, kind, section))
    refuse_duplicates(path, objects)
    return ConfigurationFile(path=path, objects=tuple(objects))


def read_section(path: Path, kind: str, section: yaml.Node) -> list[FileObject]:
    """Returns the objects of one section."""
    line = section.start_mark.line + 1
    if not isinstance(section, yaml.SequenceNode):
        raise fail(path, line, f"expected a list of {kind} objects")
    found = []
    for node in section.value:
        line = node.start_mark.line + 1
        value = yaml.SafeLoader("").construct_document(node)
        if not isinstance(node, yaml.MappingNode) or not isinstance(value, dict):
            raise fail(path, line, f"expected a {kind} object")
        name = value.get(NAME_FIELDS[kind])
        if not isinstance(name, str) or not name:
            raise fail(path, line, f"a {kind} needs the field {NAME_FIELDS[kind]!r}")
        field_lines = {key.value: key.start_mark.line + 1 for key, _ in node.value}
        found.append(
            FileObject(
                kind=kind, name=name, value=value, line=line, field_lines=field_lines
            )
        )
    return found


def refuse_duplicates(path: Path, objects: list[FileObject]) -> None:
    """Raises `FileError` if two objects of a kind have the same name."""
    seen: dict[tuple[str, str], int] = {}
    for found in objects:
        earlier = seen.setdefault((found.kind, found.name), found.line)
        if earlier != found.line:
            raise fail(
                path,
                found.line,
                f"{found.kind} {found.name!r} stands already on line {earlier}",
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
    """Returns the edits that bring a configuration to what a file says.

    Args:
        current: The configuration in force.
        wanted: The file.
        prune: Also removes objects that the file does not have.
    """
    known = index_objects(current)
    edits = [
        Edit(action="put", kind=found.kind, name=found.name, value=found.value)
        for found in wanted.objects
        if differs(known.get((found.kind, found.name)), found.value)
    ]
    if prune:
        kept = {(found.kind, found.name) for found in wanted.objects}
        edits.extend(
            Edit(action="remove", kind=kind, name=name)
            for kind, name in sorted(known.keys() - kept)
        )
    return tuple(edits)


def differs(known: dict | None, wanted: dict) -> bool:
    """Returns whether an object has to be put.

    A field that the file leaves out and that is empty in the known object is no
    difference, since the server fills in empty fields.
    """
    return known is None or strip_empty(known) != strip_empty(wanted)


def strip_empty(value: dict) -> dict:
    """Returns an object without its empty fields."""
    return {key: field for key, field in value.items() if not is_empty(field)}


def is_empty(field: object) -> bool:
    """Returns whether a field has the value that the server fills in; 0 is none."""
    return field is False or field in ({}, [], "")


def describe_difference(*, current: dict, edits: tuple[Edit, ...]) -> str:
    """Returns a unified difference of each edited object."""
    known = index_objects(current)
    lines: list[str] = []
    for edit in edits:
        before = known.get((edit.kind, edit.name), {})
        lines.extend(
            difflib.unified_diff(
                render_lines(before),
                render_lines(edit.value),
                fromfile=f"in force: {edit.kind}/{edit.name}",
                tofile=f"wanted: {edit.kind}/{edit.name}",
                lineterm="",
            )
        )
    return "\n".join(lines)


def render_lines(value: dict) -> list[str]:
    """Returns an object as sorted YAML lines; no line for no object."""
    kept = strip_empty(value)
    return yaml.safe_dump(kept, sort_keys=True).splitlines() if kept else []


def fail(path: Path, line: int, message: str) -> FileError:
    """Returns the error for a place in a file."""
    place = f"{path}:{line}" if line else str(path)
    return FileError(step="file", peer=place, message=message)
