"""Claim ledger of one key range: commands, verdicts, merging, pruning; free of I/O.

Each command can be merged again with the same verdict, so a commit whose reply was
lost is resolved by reading the object and merging the same commands into it.
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

# The platform takes values up to 1 MB; the rest is room for the request around it.
OBJECT_LIMIT_BYTES = 950_000
# New claims leave this much for releases of attempts that hold no claim.
RELEASE_RESERVE_BYTES = 50_000
REPLY_LIMIT_BYTES = 3_072

CODE_TOO_OLD = "key_too_old"
CODE_RANGE_FULL = "claim_range_full"
CODE_RETIRED = "attempt_retired"
CODE_FOREIGN = "claim_of_another_attempt"

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


class LedgerError(MuxError):
    """A claim object does not decode; it is never overwritten."""


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
    """Records the reply of the attempt that ran."""

    key: str
    attempt: str
    digest: str
    caller: str
    upstream: str
    reply: dict


@_frozen
class Release:
    """Gives up an attempt that certainly did not run and never will.

    It is also recorded where the attempt holds no claim, because a delayed write or
    a delayed request may otherwise still claim the key for it.
    """

    key: str
    attempt: str
    digest: str
    caller: str


@_frozen
class LookUp:
    """Reads the entry of a key."""

    key: str


Command = Claim | Complete | Release | LookUp


@_frozen
class Claimed:
    """The claim is this attempt's."""


@_frozen
class Found:
    """The entry that the key has."""

    entry: ClaimEntry


@_frozen
class Absent:
    """The key has no entry."""


@_frozen
class Recorded:
    """The outcome or release is in the ledger, or no longer matters."""


@_frozen
class Rejected:
    """The command does not apply, for the reason `code`; it changed nothing."""

    code: str


@_frozen
class Unavailable:
    """It is not known whether the command took effect."""

    reason: str


Verdict = Claimed | Found | Absent | Recorded | Rejected | Unavailable


@_frozen
class LedgerLimits:
    """Ages in milliseconds at which keys are refused and claims are pruned."""

    retention_ms: int
    key_margin_ms: int


class Ledger:
    """The claims of one range.

    Attributes:
        entries: Entry by key.
        pruned_before_ms: Keys with an earlier time may have been pruned. No claim
            is made for them, whatever the clock of the instance that asks says.
        size_bytes: Size as JSON, with the reserve for outcomes.
    """

    __slots__ = ("entries", "pruned_before_ms", "size_bytes")

    def __init__(self, *, entries: dict[str, ClaimEntry], pruned_before_ms: int):
        self.entries = entries
        self.pruned_before_ms = pruned_before_ms
        self.size_bytes = sum(measure_entry(entry) for entry in entries.values())

    def copy(self) -> "Ledger":
        """Returns a copy that can be changed."""
        copied = Ledger(entries={}, pruned_before_ms=self.pruned_before_ms)
        copied.entries = dict(self.entries)
        copied.size_bytes = self.size_bytes
        return copied

    def put(self, entry: ClaimEntry) -> None:
        """Adds or replaces an entry."""
        self.remove(entry.key)
        self.entries[entry.key] = entry
        self.size_bytes += measure_entry(entry)

    def remove(self, key: str) -> None:
        """Removes an entry if it is there."""
        known = self.entries.pop(key, None)
        if known:
            self.size_bytes -= measure_entry(known)

    def prune(self, before_ms: int) -> None:
        """Removes the entries whose key is from before `before_ms`."""
        old = [key for key in self.entries if is_before(key, before_ms)]
        for key in old:
            self.remove(key)
        if old:
            self.pruned_before_ms = max(self.pruned_before_ms, before_ms)


@_frozen
class Merged:
    """A ledger with a group of commands merged in.

    Attributes:
        ledger: The ledger to write.
        verdicts: Verdict of each command, true once the ledger is written.
        changed: Whether the ledger differs from the one merged into.
    """

    ledger: Ledger
    verdicts: list[Verdict]
    changed: bool


def merge_commands(
    *, base: Ledger, commands: Sequence[Command], wall_ms: int, limits: LedgerLimits
) -> Merged:
    """Returns the ledger after a group of commands, and what became of each."""
    ledger = base.copy()
    ledger.prune(wall_ms - limits.retention_ms)
    verdicts: list[Verdict] = []
    changed = False
    for command in commands:
        merge = LedgerMerge(ledger=ledger, wall_ms=wall_ms, limits=limits)
        verdicts.append(merge.apply(command))
        changed = changed or merge.changed
    return Merged(ledger=ledger, verdicts=verdicts, changed=changed)


class LedgerMerge:
    """Merges one command into a ledger."""

    __slots__ = ("_ledger", "_wall_ms", "_limits", "changed")

    def __init__(self, *, ledger: Ledger, wall_ms: int, limits: LedgerLimits):
        self._ledger = ledger
        self._wall_ms = wall_ms
        self._limits = limits
        self.changed = False

    def apply(self, command: Command) -> Verdict:
        """Returns the verdict; `changed` says whether the ledger must be written."""
        known = self._ledger.entries.get(command.key)
        match command:
            case Claim():
                return self._claim(command, known)
            case Complete():
                return self._complete(command, known)
            case Release():
                return self._release(command, known)
            case LookUp():
                return self._look_up(command, known)

    def _claim(self, command: Claim, known: ClaimEntry | None) -> Verdict:
        retired: tuple[str, ...] = ()
        match known:
            case None:
                if self._is_too_old(command.key):
                    return Rejected(code=CODE_TOO_OLD)
            case ClaimEntry(attempt=command.attempt, state=ClaimState.CLAIMED):
                return Claimed()
            case ClaimEntry() if command.attempt in (known.attempt, *known.retired):
                return Rejected(code=CODE_RETIRED)
            case ClaimEntry(state=ClaimState.RELEASED, digest=command.digest):
                retired = (*known.retired, known.attempt)
            case _:
                return Found(entry=known)
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
        room = OBJECT_LIMIT_BYTES - RELEASE_RESERVE_BYTES - self._ledger.size_bytes
        if measure_entry(entry) > room:
            return Rejected(code=CODE_RANGE_FULL)
        self._put(entry)
        return Claimed()

    def _complete(self, command: Complete, known: ClaimEntry | None) -> Verdict:
        if known is None:
            return Rejected(code=CODE_TOO_OLD)
        if known.attempt != command.attempt:
            return Rejected(code=CODE_FOREIGN)
        if known.state is ClaimState.COMPLETED:
            return Recorded()
        fits = len(json.dumps(command.reply)) <= REPLY_LIMIT_BYTES
        self._put(
            dataclasses.replace(
                known,
                state=ClaimState.COMPLETED,
                wall_ms=self._wall_ms,
                upstream=command.upstream,
                reply=command.reply if fits else {},
                reply_omitted=not fits,
            )
        )
        return Recorded()

    def _release(self, command: Release, known: ClaimEntry | None) -> Verdict:
        match known:
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
                    known, state=ClaimState.RELEASED, wall_ms=self._wall_ms
                )
            case ClaimEntry(attempt=command.attempt, state=ClaimState.RELEASED):
                return Recorded()
            case ClaimEntry(attempt=command.attempt):
                return Rejected(code=CODE_FOREIGN)
            case ClaimEntry() if command.attempt in known.retired:
                return Recorded()
            case _:
                entry = dataclasses.replace(
                    known, retired=(*known.retired, command.attempt)
                )
        growth = measure_entry(entry) - (measure_entry(known) if known else 0)
        if growth > max(0, OBJECT_LIMIT_BYTES - self._ledger.size_bytes):
            return Rejected(code=CODE_RANGE_FULL)
        self._put(entry)
        return Recorded()

    def _look_up(self, command: LookUp, known: ClaimEntry | None) -> Verdict:
        if known:
            # "Released" is answered as not run, so a stale read must not be the
            # source: the unchanged ledger is written, which confirms the version.
            self.changed = known.state is ClaimState.RELEASED
            return Found(entry=known)
        if is_before(command.key, self._ledger.pruned_before_ms):
            return Rejected(code=CODE_TOO_OLD)
        return Absent()

    def _is_too_old(self, key: str) -> bool:
        usable_ms = self._limits.retention_ms - self._limits.key_margin_ms
        oldest_ms = max(self._ledger.pruned_before_ms, self._wall_ms - usable_ms)
        return is_before(key, oldest_ms)

    def _put(self, entry: ClaimEntry) -> None:
        self._ledger.put(entry)
        self.changed = True


def encode_ledger(ledger: Ledger) -> dict:
    """Returns the value of the platform object."""
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
