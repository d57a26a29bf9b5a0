"""Order of positions in the platform's history when the platform has gone back.

The platform may be restored from an older copy of itself. Its revisions then go back
and are given out again, and its era rises by one. A document whose generation is a
revision is therefore ordered by its era first.
"""

# Revisions of one era; a generation holds the era above the revision. Generations stay
# below 2^53, so there may be 8,191 eras.
REVISION_LIMIT = 1 << 40


def combine_era(era: int, revision: int) -> int:
    """Returns the generation of a document that was read at a revision of an era.

    Raises:
        ValueError: The revision is out of range.
    """
    if not 0 <= revision < REVISION_LIMIT:
        raise ValueError(f"revision {revision} is out of range")
    return era * REVISION_LIMIT + revision


def get_era(generation: int) -> int:
    """Returns the era of a generation that `combine_era` returned."""
    return generation // REVISION_LIMIT
