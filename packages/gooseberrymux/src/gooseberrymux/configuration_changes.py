"""Changes of the configuration, and the decision how to apply one to a generation.

This module does no input or output; `proposals` writes to the platform what is decided
here.
"""

import dataclasses
from collections.abc import Sequence

from gooseberrymux.configuration_checks import (
    find_last_domain_evacuations,
    find_last_upstream_drains,
    find_problems,
    find_size_problem,
    find_unreachable_traffic,
    find_warnings,
)
from gooseberrymux.configuration_codec import (
    decode_object,
    encode_configuration,
    encode_object,
)
from gooseberrymux.configuration_model import (
    LIST_FIELDS,
    NAME_FIELDS,
    RECENT_CHANGES_LIMIT,
    Configuration,
    ConfigurationObject,
    Kind,
    Problem,
    RecentChange,
    find_object,
    format_object_key,
    list_objects_of_kind,
)
from gooseberrymux.document_table import find_encoding_problem, measure_body
from gooseberrymux.records import RunState, UpstreamRecord

MAX_CHANGE_ID_LENGTH = 64
MAX_EDITS_PER_CHANGE = 1_000

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class PutEdit:
    """Adds an object, or replaces the object of that kind and name."""

    kind: Kind
    name: str
    value: dict


@_frozen
class RemoveEdit:
    """Removes an object; gives only a warning if the object does not exist."""

    kind: Kind
    name: str


Edit = PutEdit | RemoveEdit


@_frozen
class Change:
    """Edits that are accepted together or not at all.

    Attributes:
        change_id: Id that the operator's client chose; a change that is proposed again
            under the same id is applied only once.
        operator: Name of the operator who proposes the change.
        base_generation: The generation that the operator has seen; None for the
            current one.
        edits: The edits, at most one for each object.
        dry_run: Whether to check the change without writing it.
        allow_unreachable: Whether to accept that some traffic is left with no upstream.
    """

    change_id: str
    operator: str
    base_generation: int | None
    edits: tuple[Edit, ...]
    dry_run: bool = False
    allow_unreachable: bool = False


@_frozen
class Accepted:
    """The change is known to have taken effect; after a dry run: it would have.

    Attributes:
        generation: The generation that contains the change.
        warnings: Problems that did not prevent the change.
    """

    generation: int
    warnings: tuple[Problem, ...] = ()


@_frozen
class Conflict:
    """The change may overwrite changes made since its base; nothing was applied.

    Attributes:
        generation: The current generation.
        message: Who changed which objects, or why this can't be determined.
        theirs: Current fields of each object in conflict; None if it does not exist.
        yours: Fields that the refused change sets on the object; None for a removal.
    """

    generation: int
    message: str
    theirs: dict[str, dict | None]
    yours: dict[str, dict | None]


@_frozen
class Invalid:
    """The checks refused the change; nothing was applied."""

    problems: tuple[Problem, ...]


@_frozen
class Unavailable:
    """The change was not written, or it is not known whether it was.

    Attributes:
        run_state: `not_run` if the change certainly has not taken effect and will
            not; `unknown` if it may have. Either way it is safe to propose the change
            again with the same id.
        message: What failed last.
    """

    run_state: RunState
    message: str


Outcome = Accepted | Conflict | Invalid | Unavailable


@_frozen
class WritePlan:
    """The change passed the checks; its document can be written.

    Attributes:
        generation: The generation that the write creates.
        body: Body of the document to write.
        warnings: Problems that do not prevent the write.
    """

    generation: int
    body: dict
    warnings: tuple[Problem, ...]


@_frozen
class StaleBasis:
    """The basis is older than the generation that the operator has seen; read again."""


PlanResult = WritePlan | StaleBasis | Accepted | Conflict | Invalid


def plan_change(
    *, change: Change, basis: Configuration, upstreams: Sequence[UpstreamRecord]
) -> PlanResult:
    """Decides how to apply a change to the newest known configuration.

    A change that `basis` already contains gives `Accepted` and is not applied again.

    Args:
        change: The change.
        basis: The newest configuration that is known to be accepted.
        upstreams: The platform's upstream list; empty if this instance has none yet.
    """
    problems = find_change_problems(change)
    if problems:
        return Invalid(problems=tuple(problems))
    applied = find_recent_change(basis, change.change_id)
    if applied is not None:
        return resolve_repeated_change(change, applied)
    base = change.base_generation
    if base is not None and base > basis.generation:
        return StaleBasis()
    later = list_later_changes(basis, base)
    if later is None:
        return create_conflict(
            change,
            basis,
            list(change.edits),
            f"base generation {base} is older than the {RECENT_CHANGES_LIMIT} "
            "recorded changes, so edits since then can't be compared",
        )
    conflict = find_conflict(change, basis, later)
    if conflict:
        return conflict
    return build_write_plan(change, basis, upstreams)


def find_change_problems(change: Change) -> list[Problem]:
    """Returns problems of a change itself: its id, the number of edits, duplicates."""
    problems = []
    if not change.change_id.isprintable() or not (
        0 < len(change.change_id) <= MAX_CHANGE_ID_LENGTH
    ):
        message = f"expected 1 to {MAX_CHANGE_ID_LENGTH} printable characters"
        problems.append(Problem(object="change", field="change_id", message=message))
    if not 0 < len(change.edits) <= MAX_EDITS_PER_CHANGE:
        message = f"expected 1 to {MAX_EDITS_PER_CHANGE} edits"
        problems.append(Problem(object="change", field="edits", message=message))
    seen = set()
    for edit in change.edits:
        key = format_object_key(edit.kind, edit.name)
        if key in seen:
            message = "is edited twice in one change"
            problems.append(Problem(object=key, field="", message=message))
        seen.add(key)
    return problems


def find_recent_change(basis: Configuration, change_id: str) -> RecentChange | None:
    """Returns the entry of an accepted change, or None.

    None does not mean that the change was not accepted: only the last changes are
    listed.
    """
    for recent in basis.recent_changes:
        if recent.change_id == change_id:
            return recent
    return None


def resolve_repeated_change(
    change: Change, applied: RecentChange
) -> Accepted | Invalid:
    """Returns the outcome of a change whose id was accepted before.

    The id identifies the same change only if the same objects are edited.
    """
    if sorted(applied.objects) == list_edited_objects(change):
        return Accepted(generation=applied.generation)
    message = (
        f"was used for another change, accepted as generation {applied.generation}"
    )
    return Invalid(
        problems=(Problem(object="change", field="change_id", message=message),)
    )


def list_later_changes(
    basis: Configuration, base_generation: int | None
) -> list[RecentChange] | None:
    """Returns all changes after the base, or None if some are no longer listed.

    A change is only accepted in a generation after its base. If all generations after
    the base are listed and its change id is not among them, the change was certainly
    not accepted.
    """
    if base_generation is None:
        return []
    later = [
        recent for recent in basis.recent_changes if recent.generation > base_generation
    ]
    if len(later) != basis.generation - base_generation:
        return None
    return later


def find_conflict(
    change: Change, basis: Configuration, later: Sequence[RecentChange]
) -> Conflict | None:
    """Returns the conflict with later changes, or None if they edited other objects."""
    last_change_by_object = {key: recent for recent in later for key in recent.objects}
    edits = [
        edit
        for edit in change.edits
        if format_object_key(edit.kind, edit.name) in last_change_by_object
    ]
    if not edits:
        return None
    descriptions = []
    for edit in edits:
        key = format_object_key(edit.kind, edit.name)
        recent = last_change_by_object[key]
        descriptions.append(
            f"{key} was changed by {recent.operator!r} in generation "
            f"{recent.generation} (change {recent.change_id})"
        )
    return create_conflict(change, basis, edits, "; ".join(descriptions))


def create_conflict(
    change: Change, basis: Configuration, edits: Sequence[Edit], message: str
) -> Conflict:
    """Returns a conflict with the current and the proposed fields of edited objects."""
    theirs = {}
    yours: dict[str, dict | None] = {}
    for edit in edits:
        key = format_object_key(edit.kind, edit.name)
        current = find_object(basis, edit.kind, edit.name)
        theirs[key] = encode_object(edit.kind, current)
        match edit:
            case PutEdit(value=value):
                yours[key] = {**value, NAME_FIELDS[edit.kind]: edit.name}
            case RemoveEdit():
                yours[key] = None
    return Conflict(
        generation=basis.generation, message=message, theirs=theirs, yours=yours
    )


def build_write_plan(
    change: Change, basis: Configuration, upstreams: Sequence[UpstreamRecord]
) -> WritePlan | Invalid:
    """Applies a change to its basis and checks the resulting document."""
    candidate, problems, warnings = apply_edits(change, basis)
    # A problem that the basis has already is only a warning: it must not prevent an
    # operator from draining an upstream.
    existing_problems = find_problems(basis)
    found = find_problems(candidate)
    problems += [problem for problem in found if problem not in existing_problems]
    warnings += [problem for problem in found if problem in existing_problems]
    body = encode_configuration(candidate)
    size_bytes = measure_body(body)
    size_problem = find_size_problem(size_bytes)
    if size_problem:
        problems.append(size_problem)
    encoding_problem = find_encoding_problem(body, depth=0)
    if encoding_problem:
        # The platform would accept this document, but every instance would reject it.
        problems.append(
            Problem(object="change", field="edits", message=encoding_problem)
        )
    unreachable = find_unreachable_traffic(
        before=basis, after=candidate, upstreams=upstreams
    )
    if unreachable and not change.allow_unreachable:
        problems += [
            dataclasses.replace(
                problem, message=f"{problem.message}; set allow_unreachable to accept"
            )
            for problem in unreachable
        ]
    if problems:
        return Invalid(problems=tuple(problems))
    warnings += unreachable
    warnings += find_last_upstream_drains(
        before=basis, after=candidate, upstreams=upstreams
    )
    warnings += find_last_domain_evacuations(
        before=basis, after=candidate, upstreams=upstreams
    )
    warnings += find_warnings(
        configuration=candidate, size_bytes=size_bytes, upstreams=upstreams
    )
    return WritePlan(
        generation=candidate.generation, body=body, warnings=tuple(warnings)
    )


def apply_edits(
    change: Change, basis: Configuration
) -> tuple[Configuration, list[Problem], list[Problem]]:
    """Returns the edited configuration, the problems and the warnings of the edits."""
    problems: list[Problem] = []
    warnings: list[Problem] = []
    objects: dict[Kind, dict[str, ConfigurationObject]] = {
        kind: {
            getattr(found, NAME_FIELDS[kind]): found
            for found in list_objects_of_kind(basis, kind)
        }
        for kind in LIST_FIELDS
    }
    for edit in change.edits:
        match edit:
            case PutEdit(kind=kind, name=name, value=value):
                match decode_object(kind=kind, name=name, value=value):
                    case list(decode_problems):
                        problems += decode_problems
                    case decoded:
                        objects[kind][name] = decoded
            case RemoveEdit(kind=kind, name=name):
                if objects[kind].pop(name, None) is None:
                    key = format_object_key(kind, name)
                    message = "does not exist; nothing to remove"
                    warnings.append(Problem(object=key, field="", message=message))
    generation = basis.generation + 1
    recent = RecentChange(
        change_id=change.change_id,
        generation=generation,
        operator=change.operator,
        objects=list_edited_objects(change),
    )
    candidate = Configuration(
        generation=generation,
        change_id=change.change_id,
        recent_changes=[*basis.recent_changes, recent][-RECENT_CHANGES_LIMIT:],
        **{
            LIST_FIELDS[kind]: [found[name] for name in sorted(found)]
            for kind, found in objects.items()
        },
    )
    return candidate, problems, warnings


def list_edited_objects(change: Change) -> list[str]:
    """Returns kind and name of each object that a change edits, sorted."""
    return sorted(format_object_key(edit.kind, edit.name) for edit in change.edits)


def describe_outcome(outcome: Outcome) -> str:
    """Returns an outcome as one line for the log and for messages to operators."""
    match outcome:
        case Accepted(generation=generation):
            return f"generation {generation}"
        case Conflict(message=message):
            return message
        case Invalid(problems=problems):
            return "; ".join(str(problem) for problem in problems)
        case Unavailable(run_state=run_state, message=message):
            return f"{run_state.value}: {message}"
