"""Changes of the configuration: what one makes of a given generation.

Nothing here talks to the platform; `proposals` carries out what is decided here.
"""

import dataclasses
from collections.abc import Sequence

from gooseberrymux.checks import (
    find_emptied_services,
    find_problems,
    find_size_problem,
    find_unreachable,
    find_warnings,
)
from gooseberrymux.configuration_codec import (
    decode_object,
    encode_configuration,
    encode_object,
)
from gooseberrymux.configuration_model import (
    LISTS,
    NAME_FIELDS,
    RECENT_CHANGES_LIMIT,
    Configuration,
    ConfigurationObject,
    Kind,
    Problem,
    RecentChange,
    find_object,
    list_kind,
    name_object,
)
from gooseberrymux.document_table import find_encoding_problem, measure_body
from gooseberrymux.records import RunState, UpstreamRecord

CHANGE_ID_LIMIT = 64
EDITS_LIMIT = 1_000

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class PutEdit:
    """Adds an object or replaces the one of that name."""

    kind: Kind
    name: str
    value: dict


@_frozen
class RemoveEdit:
    """Removes an object."""

    kind: Kind
    name: str


Edit = PutEdit | RemoveEdit


@_frozen
class Change:
    """Edits that are accepted together or not at all.

    Attributes:
        change_id: Chosen by the operator; proposing it again applies it once.
        operator: Who proposes it.
        base_generation: The generation that the operator has seen; None for the
            current one.
        edits: The edits, at most one for each object.
        dry_run: Check only.
        allow_unreachable: Accept that some traffic is left with no upstream.
    """

    change_id: str
    operator: str
    base_generation: int | None
    edits: tuple[Edit, ...]
    dry_run: bool = False
    allow_unreachable: bool = False


@_frozen
class Accepted:
    """The change is known to have taken effect, in this generation.

    After a dry run: it would have.
    """

    generation: int
    warnings: tuple[Problem, ...] = ()


@_frozen
class Conflict:
    """Another change touched the same objects since the base; nothing was applied.

    Attributes:
        generation: The current generation.
        message: Who changed what.
        theirs: Current fields of each object concerned; None if there is none.
        yours: The fields that the change has for it; None for a removal.
    """

    generation: int
    message: str
    theirs: dict[str, dict | None]
    yours: dict[str, dict | None]


@_frozen
class Invalid:
    """The change is refused by the checks; nothing was applied."""

    problems: tuple[Problem, ...]


@_frozen
class Unavailable:
    """The platform did not take the change, or did not say whether it did.

    Attributes:
        run_state: `not_run` if the change certainly has not taken effect and will
            not; `unknown` if it may have. Proposing the same change id again is safe.
        message: What failed.
    """

    run_state: RunState
    message: str


Outcome = Accepted | Conflict | Invalid | Unavailable


@_frozen
class Ready:
    """The document to write."""

    generation: int
    body: dict
    warnings: tuple[Problem, ...]


@_frozen
class Behind:
    """The basis is older than what the operator has seen; read again."""


Plan = Ready | Behind | Accepted | Conflict | Invalid


def plan_change(
    *, change: Change, basis: Configuration, upstreams: Sequence[UpstreamRecord]
) -> Plan:
    """Returns what a change makes of the newest known configuration.

    Args:
        change: The change.
        basis: The newest configuration that is known to be accepted.
        upstreams: The platform's list; empty if it is not known here.
    """
    problems = find_change_problems(change)
    if problems:
        return Invalid(problems=tuple(problems))
    applied = find_change(basis, change.change_id)
    if applied is not None:
        return recognise_change(change, applied)
    base = change.base_generation
    if base is not None and base > basis.generation:
        return Behind()
    later = list_later_changes(basis, base)
    if later is None:
        return create_conflict(
            change,
            basis,
            list(change.edits),
            f"base generation {base} is older than the {RECENT_CHANGES_LIMIT} "
            "changes that are kept, so edits since then can't be compared",
        )
    conflict = find_conflict(change, basis, later)
    if conflict:
        return conflict
    return build_candidate(change, basis, upstreams)


def find_change_problems(change: Change) -> list[Problem]:
    """Returns what is wrong with the form of a change."""
    problems = []
    if not change.change_id.isprintable() or not (
        0 < len(change.change_id) <= CHANGE_ID_LIMIT
    ):
        message = f"expected 1 to {CHANGE_ID_LIMIT} printable characters"
        problems.append(Problem(object="change", field="change_id", message=message))
    if not 0 < len(change.edits) <= EDITS_LIMIT:
        message = f"expected 1 to {EDITS_LIMIT} edits"
        problems.append(Problem(object="change", field="edits", message=message))
    seen = set()
    for edit in change.edits:
        key = name_object(edit.kind, edit.name)
        if key in seen:
            message = "is edited twice in one change"
            problems.append(Problem(object=key, field="", message=message))
        seen.add(key)
    return problems


def find_change(basis: Configuration, change_id: str) -> RecentChange | None:
    """Returns a change that was accepted, or None if it is not among the last ones."""
    for recent in basis.recent_changes:
        if recent.change_id == change_id:
            return recent
    return None


def recognise_change(change: Change, applied: RecentChange) -> Accepted | Invalid:
    """Returns the outcome of a change whose id was accepted before."""
    if sorted(applied.objects) == list_objects(change):
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
    """Returns all changes after the base, or None if some are no longer kept.

    A change with a base that is kept can only have been accepted after it, so that a
    change id that is not found was certainly not accepted.
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
    """Returns the conflict with the later changes, or None if all can be applied."""
    touched = {key: recent for recent in later for key in recent.objects}
    edits = [
        edit for edit in change.edits if name_object(edit.kind, edit.name) in touched
    ]
    if not edits:
        return None
    parts = []
    for edit in edits:
        key = name_object(edit.kind, edit.name)
        recent = touched[key]
        parts.append(
            f"{key} was changed by {recent.operator!r} in generation "
            f"{recent.generation} (change {recent.change_id})"
        )
    return create_conflict(change, basis, edits, "; ".join(parts))


def create_conflict(
    change: Change, basis: Configuration, edits: Sequence[Edit], message: str
) -> Conflict:
    """Returns a conflict that shows both sides of some edits."""
    theirs = {}
    yours: dict[str, dict | None] = {}
    for edit in edits:
        key = name_object(edit.kind, edit.name)
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


def build_candidate(
    change: Change, basis: Configuration, upstreams: Sequence[UpstreamRecord]
) -> Ready | Invalid:
    """Returns the checked document of a change on its basis."""
    candidate, problems, warnings = apply_edits(change, basis)
    # A problem that is there already must not block the drain of an upstream.
    known = find_problems(basis)
    found = find_problems(candidate)
    problems += [problem for problem in found if problem not in known]
    warnings += [problem for problem in found if problem in known]
    body = encode_configuration(candidate)
    size_bytes = measure_body(body)
    size_problem = find_size_problem(size_bytes)
    if size_problem:
        problems.append(size_problem)
    fault = find_encoding_problem(body, depth=0)
    if fault:
        # Written, it would be accepted by the platform and in force nowhere.
        problems.append(Problem(object="change", field="edits", message=fault))
    unreachable = find_unreachable(before=basis, after=candidate, upstreams=upstreams)
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
    warnings += find_emptied_services(
        before=basis, after=candidate, upstreams=upstreams
    )
    warnings += find_warnings(
        configuration=candidate, size_bytes=size_bytes, upstreams=upstreams
    )
    return Ready(generation=candidate.generation, body=body, warnings=tuple(warnings))


def apply_edits(
    change: Change, basis: Configuration
) -> tuple[Configuration, list[Problem], list[Problem]]:
    """Returns the edited configuration, the problems of the edits and the warnings."""
    problems: list[Problem] = []
    warnings: list[Problem] = []
    objects: dict[Kind, dict[str, ConfigurationObject]] = {
        kind: {
            getattr(found, NAME_FIELDS[kind]): found for found in list_kind(basis, kind)
        }
        for kind in LISTS
    }
    for edit in change.edits:
        match edit:
            case PutEdit(kind=kind, name=name, value=value):
                match decode_object(kind=kind, name=name, value=value):
                    case list(wrong):
                        problems += wrong
                    case decoded:
                        objects[kind][name] = decoded
            case RemoveEdit(kind=kind, name=name):
                if objects[kind].pop(name, None) is None:
                    key = name_object(kind, name)
                    message = "is not there to be removed"
                    warnings.append(Problem(object=key, field="", message=message))
    generation = basis.generation + 1
    recent = RecentChange(
        change_id=change.change_id,
        generation=generation,
        operator=change.operator,
        objects=list_objects(change),
    )
    candidate = Configuration(
        generation=generation,
        change_id=change.change_id,
        recent_changes=[*basis.recent_changes, recent][-RECENT_CHANGES_LIMIT:],
        **{
            LISTS[kind]: [found[name] for name in sorted(found)]
            for kind, found in objects.items()
        },
    )
    return candidate, problems, warnings


def list_objects(change: Change) -> list[str]:
    """Returns kind and name of each object that a change edits, sorted."""
    return sorted(name_object(edit.kind, edit.name) for edit in change.edits)


def describe_outcome(outcome: Outcome) -> str:
    """Returns one line about an outcome for the log."""
    match outcome:
        case Accepted(generation=generation):
            return f"generation {generation}"
        case Conflict(message=message):
            return message
        case Invalid(problems=problems):
            return "; ".join(str(problem) for problem in problems)
        case Unavailable(run_state=run_state, message=message):
            return f"{run_state.value}: {message}"
