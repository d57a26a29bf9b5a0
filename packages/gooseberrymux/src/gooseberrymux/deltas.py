"""Differences between two bodies of a document, to send small changes as deltas.

A list whose items all have a name is compared item by item. Callers use the result of a
delta only if it has the expected hash, so a wrong delta can't change a document.
"""

from collections.abc import Iterable

from result import Err, Ok, Result

from gooseberrymux.errors import MuxError
from gooseberrymux.messages import DeltaStep

ACTION_SET = "set"
ACTION_DROP = "drop"
ACTION_INSERT = "insert"
# Fields that identify the items of lists in platform objects.
ITEM_NAME_FIELDS = ("name", "upstream", "change_id")

ValuePath = tuple[str | int, ...]


class DeltaError(MuxError):
    """A delta can't be applied to the given body."""


def create_steps(old: object, new: object, path: ValuePath = ()) -> list[DeltaStep]:
    """Returns the steps that turn one JSON value into another.

    Steps must be applied in order. A path consists of field names and list positions;
    `path` is where both values stand in the body.
    """
    match old, new:
        case dict(), dict():
            return create_mapping_steps(old, new, path)
        case list(), list():
            field = find_name_field([*old, *new])
            if field and has_same_order(
                list_item_names(old, field), list_item_names(new, field)
            ):
                return create_list_steps(old, new, path, field)
    return [DeltaStep(action=ACTION_SET, path=list(path), value=new)]


def create_mapping_steps(old: dict, new: dict, path: ValuePath) -> list[DeltaStep]:
    """Returns the steps that turn one mapping into another."""
    steps = [
        DeltaStep(action=ACTION_DROP, path=[*path, key])
        for key in old
        if key not in new
    ]
    for key, value in new.items():
        if key not in old:
            steps.append(DeltaStep(action=ACTION_SET, path=[*path, key], value=value))
        elif old[key] != value:
            steps += create_steps(old[key], value, (*path, key))
    return steps


def create_list_steps(
    old: list, new: list, path: ValuePath, field: str
) -> list[DeltaStep]:
    """Returns the steps that turn one list of named items into another.

    Names must be unique in each list, and names in both lists must stand in the same
    order.
    """
    new_names = set(list_item_names(new, field))
    # From the end, so that a drop does not change the positions of later drops.
    steps = [
        DeltaStep(action=ACTION_DROP, path=[*path, position])
        for position, item in reversed(list(enumerate(old)))
        if item[field] not in new_names
    ]
    old_items = {item[field]: item for item in old}
    for position, item in enumerate(new):
        item_path = (*path, position)
        if item[field] not in old_items:
            steps.append(
                DeltaStep(action=ACTION_INSERT, path=list(item_path), value=item)
            )
        elif old_items[item[field]] != item:
            steps += create_steps(old_items[item[field]], item, item_path)
    return steps


def find_name_field(items: list) -> str | None:
    """Returns the first field that holds a string in every item, or None."""
    for field in ITEM_NAME_FIELDS:
        if all(
            isinstance(item, dict) and isinstance(item.get(field), str)
            for item in items
        ):
            return field
    return None


def list_item_names(items: list, field: str) -> list[str]:
    """Returns the names of the items of a list."""
    return [item[field] for item in items]


def has_same_order(old: list[str], new: list[str]) -> bool:
    """Returns whether names are unique and common names stand in the same order."""
    old_names, new_names = set(old), set(new)
    if len(old_names) < len(old) or len(new_names) < len(new):
        return False
    return [name for name in old if name in new_names] == [
        name for name in new if name in old_names
    ]


def apply_steps(body: dict, steps: Iterable[DeltaStep]) -> Result[dict, DeltaError]:
    """Returns a changed copy of a body; the given body is not modified."""
    result: object = body
    for step in steps:
        try:
            result = apply_step(result, step, step.path)
        except (KeyError, IndexError, TypeError, AttributeError) as error:
            return Err(create_delta_error(f"{step.action} {step.path}: {error!r}"))
    if not isinstance(result, dict):
        return Err(create_delta_error("the result is not a mapping"))
    return Ok(result)


def apply_step(value: object, step: DeltaStep, path: list) -> object:
    """Returns a value with one step applied; only containers on the path are copied.

    Raises:
        KeyError: A field of the path does not exist.
        IndexError: A position of the path does not exist.
        TypeError: A value on the path is no container, its type does not match the
            path, or the action is unknown.
        AttributeError: An item is to be inserted into a mapping.
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
    """Returns a shallow copy of a container after a check of the key or position.

    Raises:
        IndexError: The position is negative.
        TypeError: `head` is a position in a mapping or a key in a list, or the value is
            no container.
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


def create_delta_error(message: str) -> DeltaError:
    """Returns the error for a delta that can't be applied."""
    return DeltaError(step="deltas.apply", message=message)
