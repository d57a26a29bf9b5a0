"""Claim ledger of one key range: its commands, verdicts and pruning, without I/O.

Commands are idempotent: applying one again gives the same verdict. A write whose reply
was lost is therefore resolved by reading the platform object and applying the same
commands to the ledger that was read.
"""

import dataclasses
import json
from collections.abc import Sequence

from gooseberrymux.claim_entries import (
    ClaimEntry,
    ClaimState,
    decode_entry,
    encode_entry,
    measure_entry,
)
from gooseberrymux.errors import MuxError
from gooseberrymux.keys import is_before

# The platform accepts request bodies up to 1 MB; the difference leaves room for the
# other fields of the write request.
OBJECT_LIMIT_BYTES = 950_000
# New claims leave this much of the object free, for releases of attempts that hold no
# claim and so have no reserve of their own.
RELEASE_RESERVE_BYTES = 50_000
# Larger replies are not stored, so that an outcome fits in OUTCOME_RESERVE_BYTES.
REPLY_LIMIT_BYTES = 3_072

CODE_TOO_OLD = "key_too_old"
CODE_RANGE_FULL = "claim_range_full"
CODE_ATTEMPT_RETIRED = "attempt_retired"
CODE_OTHER_ATTEMPT = "claim_of_another_attempt"

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class LedgerError(MuxError):
    """A claim object does not decode; the object is never overwritten."""


@_frozen
class Claim:
    """Reserves a key for one attempt."""

    key: str
    attempt: str
    digest: str
    caller: str
    service: str


@_frozen
class Complete:
    """Records that an attempt ran the order, with the reply of its upstream."""

    key: str
    attempt: str
    digest: str
    caller: str
    upstream: str
    reply: dict


@_frozen
class Release:
    """Gives up an attempt that certainly did not run and never will.

    A release is also recorded if the attempt holds no claim, because a delayed write
    or a delayed request may otherwise still claim the key for that attempt.
    """

    key: str
    attempt: str
    digest: str
    caller: str


@_frozen
class LookUp:
    """Reads the entry of a key, and changes no entry."""

    key: str


Command = Claim | Complete | Release | LookUp


@_frozen
class Claimed:
    """The attempt of the command holds the claim."""


@_frozen
class Found:
    """The key has an entry; in reply to a claim, that claim was not granted."""

    entry: ClaimEntry


@_frozen
class Absent:
    """The key has no entry."""


@_frozen
class Recorded:
    """The outcome or release is in the ledger, or no longer needs to be recorded."""


@_frozen
class Rejected:
    """The command was refused, for the reason `code`, and changed nothing."""

    code: str


@_frozen
class Unavailable:
    """The command may or may not have taken effect, for the reason `reason`."""

    reason: str


Verdict = Claimed | Found | Absent | Recorded | Rejected | Unavailable


@_frozen
class LedgerLimits:
    """Ages of keys, in milliseconds, from which claims are pruned and refused.

    Attributes:
        retention_ms: Age of a key at which its claim is pruned.
        key_margin_ms: New claims are refused this long before the key reaches
            `retention_ms`, so that each claim is kept at least for the margin.
    """

    retention_ms: int
    key_margin_ms: int


class Ledger:
    """The claims of one key range.

    Attributes:
        entries: Entry by key.
        pruned_before_ms: Wall time in milliseconds. Keys with an earlier time may have
            been pruned, so no claim is granted for them, even if the clock of the
            instance that applies the command is slow.
        size_bytes: Size of the entries as JSON, with the reserve for outcomes.
    """

    __slots__ = ("entries", "pruned_before_ms", "size_bytes")

    def __init__(self, *, entries: dict[str, ClaimEntry], pruned_before_ms: int):
        self.entries = entries
        self.pruned_before_ms = pruned_before_ms
        self.size_bytes = sum(measure_entry(entry) for entry in entries.values())

    def copy(self) -> "Ledger":
        """Returns a copy whose changes do not affect this ledger."""
        copied = Ledger(entries={}, pruned_before_ms=self.pruned_before_ms)
        copied.entries = dict(self.entries)
        copied.size_bytes = self.size_bytes
        return copied

    def set_entry(self, entry: ClaimEntry) -> None:
        """Adds or replaces an entry."""
        self.remove_entry(entry.key)
        self.entries[entry.key] = entry
        self.size_bytes += measure_entry(entry)

    def remove_entry(self, key: str) -> None:
        """Removes the entry of a key, if there is one."""
        existing = self.entries.pop(key, None)
        if existing:
            self.size_bytes -= measure_entry(existing)

    def prune(self, before_ms: int) -> None:
        """Removes the entries whose key has a wall time before `before_ms`."""
        old_keys = [key for key in self.entries if is_before(key, before_ms)]
        for key in old_keys:
            self.remove_entry(key)
        if old_keys:
            self.pruned_before_ms = max(self.pruned_before_ms, before_ms)


@_frozen
class AppliedCommands:
    """The result of applying a group of commands to a ledger.

    Attributes:
        ledger: The resulting ledger, to be written.
        verdicts: Verdict of each command, valid only once the ledger is written.
        changed: Whether the ledger must be written for the verdicts to hold.
    """

    ledger: Ledger
    verdicts: list[Verdict]
    changed: bool


def apply_commands(
    *, base: Ledger, commands: Sequence[Command], wall_ms: int, limits: LedgerLimits
) -> AppliedCommands:
    """Returns the ledger after a group of commands, and the verdict of each.

    `base` is left unchanged. Claims past their retention at `wall_ms` are pruned first.
    """
    ledger = base.copy()
    ledger.prune(wall_ms - limits.retention_ms)
    verdicts: list[Verdict] = []
    changed = False
    for command in commands:
        applier = CommandApplier(ledger=ledger, wall_ms=wall_ms, limits=limits)
        verdicts.append(applier.apply(command))
        changed = changed or applier.changed
    return AppliedCommands(ledger=ledger, verdicts=verdicts, changed=changed)


class CommandApplier:
    """Applies one command to a ledger, in place.

    Attributes:
        changed: Whether the ledger must be written for the verdict to hold.
    """

    __slots__ = ("_ledger", "_wall_ms", "_limits", "changed")

    def __init__(self, *, ledger: Ledger, wall_ms: int, limits: LedgerLimits):
        self._ledger = ledger
        self._wall_ms = wall_ms
        self._limits = limits
        self.changed = False

    def apply(self, command: Command) -> Verdict:
        """Applies a command, sets `changed` and returns the verdict."""
        existing = self._ledger.entries.get(command.key)
        match command:
            case Claim():
                return self._claim(command, existing)
            case Complete():
                return self._complete(command, existing)
            case Release():
                return self._release(command, existing)
            case LookUp():
                return self._look_up(command, existing)

    def _claim(self, command: Claim, existing: ClaimEntry | None) -> Verdict:
        retired: tuple[str, ...] = ()
        match existing:
            case None:
                if self._is_too_old(command.key):
                    return Rejected(code=CODE_TOO_OLD)
            case ClaimEntry(attempt=command.attempt, state=ClaimState.CLAIMED):
                return Claimed()
            case ClaimEntry() if command.attempt in (
                existing.attempt,
                *existing.retired,
            ):
                return Rejected(code=CODE_ATTEMPT_RETIRED)
            case ClaimEntry(state=ClaimState.RELEASED, digest=command.digest):
                retired = (*existing.retired, existing.attempt)
            case _:
                return Found(entry=existing)
        entry = ClaimEntry(
            key=command.key,
            attempt=command.attempt,
            digest=command.digest,
            caller=command.caller,
            service=command.service,
            state=ClaimState.CLAIMED,
            wall_ms=self._wall_ms,
            retired=retired,
        )
        available_bytes = (
            OBJECT_LIMIT_BYTES - RELEASE_RESERVE_BYTES - self._ledger.size_bytes
        )
        if measure_entry(entry) > available_bytes:
            return Rejected(code=CODE_RANGE_FULL)
        self._set_entry(entry)
        return Claimed()

    def _complete(self, command: Complete, existing: ClaimEntry | None) -> Verdict:
        if existing is None:
            return Rejected(code=CODE_TOO_OLD)
        if existing.attempt != command.attempt:
            return Rejected(code=CODE_OTHER_ATTEMPT)
        if existing.state is ClaimState.COMPLETED:
            return Recorded()
        reply_fits = len(json.dumps(command.reply)) <= REPLY_LIMIT_BYTES
        self._set_entry(
            dataclasses.replace(
                existing,
                state=ClaimState.COMPLETED,
                wall_ms=self._wall_ms,
                upstream=command.upstream,
                reply=command.reply if reply_fits else {},
                reply_omitted=not reply_fits,
            )
        )
        return Recorded()

    def _release(self, command: Release, existing: ClaimEntry | None) -> Verdict:
        match existing:
            case None if self._is_too_old(command.key):
                return Recorded()
            case None:
                entry = ClaimEntry(
                    key=command.key,
                    attempt=command.attempt,
                    digest=command.digest,
                    caller=command.caller,
                    service="",
                    state=ClaimState.RELEASED,
                    wall_ms=self._wall_ms,
                )
            case ClaimEntry(attempt=command.attempt, state=ClaimState.CLAIMED):
                entry = dataclasses.replace(
                    existing, state=ClaimState.RELEASED, wall_ms=self._wall_ms
                )
            case ClaimEntry(attempt=command.attempt, state=ClaimState.RELEASED):
                return Recorded()
            case ClaimEntry(attempt=command.attempt):
                return Rejected(code=CODE_OTHER_ATTEMPT)
            case ClaimEntry() if command.attempt in existing.retired:
                return Recorded()
            case _:
                entry = dataclasses.replace(
                    existing, retired=(*existing.retired, command.attempt)
                )
        growth_bytes = measure_entry(entry) - (
            measure_entry(existing) if existing else 0
        )
        if growth_bytes > max(0, OBJECT_LIMIT_BYTES - self._ledger.size_bytes):
            return Rejected(code=CODE_RANGE_FULL)
        self._set_entry(entry)
        return Recorded()

    def _look_up(self, command: LookUp, existing: ClaimEntry | None) -> Verdict:
        if existing:
            # Callers are told that a released order was not run, which must not rest
            # on a stale read. The ledger is written although no entry changes: the
            # write succeeds only if the version that was read is still the latest.
            self.changed = existing.state is ClaimState.RELEASED
            return Found(entry=existing)
        if is_before(command.key, self._ledger.pruned_before_ms):
            return Rejected(code=CODE_TOO_OLD)
        return Absent()

    def _is_too_old(self, key: str) -> bool:
        max_key_age_ms = self._limits.retention_ms - self._limits.key_margin_ms
        earliest_key_ms = max(
            self._ledger.pruned_before_ms, self._wall_ms - max_key_age_ms
        )
        return is_before(key, earliest_key_ms)

    def _set_entry(self, entry: ClaimEntry) -> None:
        self._ledger.set_entry(entry)
        self.changed = True


def encode_ledger(ledger: Ledger) -> dict:
    """Returns the ledger as the value of its platform object."""
    return {
        "pruned_before_ms": ledger.pruned_before_ms,
        "claims": {key: encode_entry(entry) for key, entry in ledger.entries.items()},
    }


def decode_ledger(value: dict) -> Ledger:
    """Returns the ledger of a platform object; an empty value is an empty ledger.

    Raises:
        LedgerError: A field is missing, unknown or of the wrong type.
    """
    try:
        entries = {
            key: decode_entry(key, encoded)
            for key, encoded in value.get("claims", {}).items()
        }
        pruned_before_ms = int(value.get("pruned_before_ms", 0))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise LedgerError(step="ledger.decode", message=repr(error)) from error
    return Ledger(entries=entries, pruned_before_ms=pruned_before_ms)
