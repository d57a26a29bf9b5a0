"""Differences between two bodies of a document, so that a small change stays small.

A list whose items all carry a name is compared item by item. The result of a delta is
used only if it has the right hash, so a delta can't put anything else in force.
"""

from collections.abc import Iterable

from result import Err, Ok, Result

from gooseberrymux.errors import MuxError
from gooseberrymux.messages import DeltaStep

SET = "set"
DROP = "drop"
INSERT = "insert"
# Fields that name the items of lists in platform objects.
NAME_FIELDS = ("name", "upstream", "change_id")

Path = tuple[str | int, ...]


class DeltaError(MuxError):
    """A delta does not fit the body that it is applied to."""


def create_steps(old: object, new: object, path: Path = ()) -> list[DeltaStep]:
    """Returns the steps that turn one JSON value into another.

    Steps are applied in order; a path leads through field names and list positions.
    """
    match old, new:
        case dict(), dict():
            return compare_mappings(old, new, path)
        case list(), list():
            field = find_name_field([*old, *new])
            if field and keeps_order(list_names(old, field), list_names(new, field)):
                return compare_lists(old, new, path, field)
    return [DeltaStep(action=SET, path=list(path), value=new)]


def compare_mappings(old: dict, new: dict, path: Path) -> list[DeltaStep]:
    """Returns the steps between two mappings."""
    steps = [DeltaStep(action=DROP, path=[*path, key]) for key in old if key not in new]
    for key, value in new.items():
        if key not in old:
            steps.append(DeltaStep(action=SET, path=[*path, key], value=value))
        elif old[key] != value:
            steps += create_steps(old[key], value, (*path, key))
    return steps


def compare_lists(old: list, new: list, path: Path, field: str) -> list[DeltaStep]:
    """Returns the steps between two lists of named items in the same order."""
    wanted = set(list_names(new, field))
    # From the end, so that the positions before an item that is dropped stay valid.
    steps = [
        DeltaStep(action=DROP, path=[*path, position])
        for position, item in reversed(list(enumerate(old)))
        if item[field] not in wanted
    ]
    known = {item[field]: item for item in old}
    for position, item in enumerate(new):
        place = (*path, position)
        if item[field] not in known:
            steps.append(DeltaStep(action=INSERT, path=list(place), value=item))
        elif known[item[field]] != item:
            steps += create_steps(known[item[field]], item, place)
    return steps


def find_name_field(items: list) -> str | None:
    """Returns the field that names each item, or None."""
    for field in NAME_FIELDS:
        if all(
            isinstance(item, dict) and isinstance(item.get(field), str)
            for item in items
        ):
            return field
    return None


def list_names(items: list, field: str) -> list[str]:
    """Returns the names of the items of a list."""
    return [item[field] for item in items]


def keeps_order(old: list[str], new: list[str]) -> bool:
    """Returns whether names are unique and those in both lists stand in one order."""
    old_names, new_names = set(old), set(new)
    if len(old_names) < len(old) or len(new_names) < len(new):
        return False
    return [name for name in old if name in new_names] == [
        name for name in new if name in old_names
    ]


def apply_steps(body: dict, steps: Iterable[DeltaStep]) -> Result[dict, DeltaError]:
    """Returns the changed body; the given one is left as it is."""
    result: object = body
    for step in steps:
        try:
            result = apply_step(result, step, step.path)
        except (KeyError, IndexError, TypeError, AttributeError) as error:
            return Err(fail(f"{step.action} {step.path}: {error!r}"))
    if not isinstance(result, dict):
        return Err(fail("the result is no mapping"))
    return Ok(result)


def apply_step(value: object, step: DeltaStep, path: list) -> object:
    """Returns a value with one step applied; only containers on the path are copied.

    Raises:
        KeyError: The path names a field that is not there.
        IndexError: The path names a position that is not there.
        TypeError: The path leads through a value that is no container.
    """
    if not path:
        return step.value
    head, *rest = path
    copied = copy_container(value, head)
    if rest:
        copied[head] = apply_step(copied[head], step, rest)
        return copied
    match step.action:
        case "set":
            copied[head] = step.value
        case "drop":
            del copied[head]
        case "insert":
            copied.insert(head, step.value)
        case _:
            raise TypeError(f"unknown action {step.action!r}")
    return copied


def copy_container(value: object, head: str | int):
    """Returns a shallow copy of a container that `head` can lead into.

    Raises:
        IndexError: A negative position.
        TypeError: A mapping with a position, a list with a name, or no container.
    """
    match value, head:
        case dict(), str():
            return dict(value)
        case list(), int():
            if head < 0:
                raise IndexError(head)
            return list(value)
        case _:
            raise TypeError(f"{type(value).__name__} at {head!r}")


def fail(message: str) -> DeltaError:
    """Returns the error of a delta that does not fit."""
    return DeltaError(step="deltas.apply", message=message)
