"""Finds claims that the platform has lost, from a ledger that was known before.

Claims leave a ledger only by their age. An entry that was read or written before and
that a later read lacks, or has in an earlier state, was lost: the read was stale, or
the platform has gone back to an earlier state of itself.
"""

from gooseberrymux.claim_entries import ClaimEntry, ClaimState
from gooseberrymux.keys import is_before
from gooseberrymux.ledger import Ledger


def restore_lost_claims(found: Ledger, known: Ledger) -> Ledger:
    """Returns the ledger that was read, with the lost entries of a known one.

    Args:
        found: The ledger that was read; returned unchanged if it lacks nothing.
        known: The ledger of the same range as it was read or written before.
    """
    lost = [
        entry
        for key, entry in known.entries.items()
        if not is_before(key, found.pruned_before_ms)
        and is_lost(entry, found.entries.get(key))
    ]
    if not lost:
        return found
    restored = found.copy()
    for entry in lost:
        restored.set_entry(entry)
    return restored


def is_lost(known: ClaimEntry, found: ClaimEntry | None) -> bool:
    """Returns whether an entry is missing or back in the state before its outcome.

    An entry of another attempt is not replaced, as that attempt may be running.
    """
    if found is None:
        return True
    return (
        found.attempt == known.attempt
        and found.state is ClaimState.CLAIMED
        and known.state is not ClaimState.CLAIMED
    )
