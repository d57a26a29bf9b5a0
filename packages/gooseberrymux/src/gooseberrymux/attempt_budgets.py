"""Limit on the upstreams that may run one part of a request, over all its owners.

An owner can be killed, frozen or cut off without a word on what it has sent. It is
therefore given one attempt together with the part, and asks for each further one before
it sends. Whatever it was given counts as used if its outcome stays unknown.
"""

# Dispatches of one part, including the first: if an owner can't be reached, the part is
# dispatched to the next one.
MAX_DISPATCHES = 4


class AttemptBudget:
    """Attempts of one part that are left, and those that its present owner has.

    Not thread-safe. Until the present owner's outcome is known, only `Parts` uses the
    budget, under its lock; between an outcome and the next dispatch, only the thread of
    the request does.

    Attributes:
        attempts_left: Upstreams on which the part may still run, beyond the attempts
            that its present owner was given.
        may_have_run: Whether an earlier dispatch may have reached an upstream.
    """

    __slots__ = ("attempts_left", "may_have_run", "_given", "_dispatches")

    def __init__(self, *, limit: int):
        self.attempts_left = limit
        self.may_have_run = False
        self._given = 0
        self._dispatches = 1

    def give(self, count: int = 1) -> bool:
        """Gives the present owner attempts; returns False if there are not so many."""
        if self.attempts_left < count:
            return False
        self.attempts_left -= count
        self._given += count
        return True

    def acquire_dispatch(self, *, may_have_run: bool) -> bool:
        """Counts another dispatch; returns False if none is allowed.

        Args:
            may_have_run: Whether the last dispatch may have reached an upstream. If
                not, its attempts are given back.
        """
        if may_have_run:
            self.may_have_run = True
        else:
            self.attempts_left += self._given
        self._given = 0
        if self._dispatches >= MAX_DISPATCHES:
            return False
        self._dispatches += 1
        return self.attempts_left > 0
