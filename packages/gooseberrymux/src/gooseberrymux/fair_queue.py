"""Queue that is shared fairly between flows.

Start-time fair queueing with equal weights. All items count the same, so that the
start tags of waiting flows differ by at most one and two lists of flows stand for them:
those whose turn is in the present round, and those whose turn is in the next one. An
arrival and a dispatch take the same time however many flows wait.
"""

import collections
from collections.abc import Callable

Predicate = Callable[[object], bool]


class FairQueue:
    """Items of several flows, each of which gets one dispatch a round while it waits.

    Not thread-safe: the owner of the queue holds its own lock around each call.
    """

    __slots__ = ("_flows", "_turns", "_next_turns", "_served")

    def __init__(self):
        # Items of each flow that has any, in the order of their arrival.
        self._flows: dict[str, collections.deque] = {}
        # Flows with items, in the order of their turns in this round and the next one.
        self._turns: collections.deque[str] = collections.deque()
        self._next_turns: collections.deque[str] = collections.deque()
        # Flows that have had their turn in this round. A flow that runs empty gets no
        # second turn by coming back, and one that was idle has saved up none.
        self._served: set[str] = set()

    def append(self, item: object, flow: str) -> None:
        """Appends an item to its flow."""
        items = self._flows.get(flow)
        if items is None:
            items = self._flows[flow] = collections.deque()
            turns = self._next_turns if flow in self._served else self._turns
            turns.append(flow)
        items.append(item)

    def pop(self, is_preferred: Predicate | None = None) -> object:
        """Removes and returns the next item; the queue must not be empty.

        Args:
            is_preferred: Items for which this returns True go before the other items of
                their flow, and flows with such an item before the others of the same
                round. Each waiting flow still gets its turn in the round, however many
                preferred items arrive.
        """
        if not self._turns:
            self._turns, self._next_turns = self._next_turns, self._turns
            self._served.clear()
        flow = self._take_turn(is_preferred)
        self._served.add(flow)
        items = self._flows[flow]
        item = take_first(items, is_preferred)
        if items:
            self._next_turns.append(flow)
        else:
            del self._flows[flow]
        return item

    def _take_turn(self, is_preferred: Predicate | None) -> str:
        """Removes the flow whose turn is next from this round and returns it."""
        if is_preferred is not None and len(self._turns) > 1:
            for position, flow in enumerate(self._turns):
                if any(map(is_preferred, self._flows[flow])):
                    del self._turns[position]
                    return flow
        return self._turns.popleft()

    def pop_newest_of_longest(self, flow: str) -> object | None:
        """Removes and returns the newest item of the flow with the most items.

        Returns None if no flow would have more items than `flow` with one more.
        """
        longest = max(self._flows, key=lambda name: len(self._flows[name]))
        if len(self._flows[longest]) <= len(self._flows.get(flow, ())) + 1:
            return None
        return self._flows[longest].pop()

    def remove(self, predicate: Predicate) -> list:
        """Removes and returns all items for which `predicate` holds."""
        removed: list = []
        for flow, items in list(self._flows.items()):
            kept: collections.deque = collections.deque()
            for item in items:
                (removed if predicate(item) else kept).append(item)
            if kept:
                self._flows[flow] = kept
            else:
                del self._flows[flow]
                turns = self._next_turns if flow in self._served else self._turns
                turns.remove(flow)
        return removed

    def count_ahead(self, flow: str, is_preferred: Predicate | None = None) -> int:
        """Returns how many of the queued items go before a new item of a flow.

        Args:
            flow: Flow of the new item.
            is_preferred: As for `pop`; the new item counts as preferred.
        """
        own_items = self._flows.get(flow, ())
        own = (
            len(own_items)
            if is_preferred is None
            else sum(map(is_preferred, own_items))
        )
        ahead = own
        # The flows that have their turn before this one have one more dispatch each
        # than the new item has items of its own flow in front of it, unless they have
        # nothing that is preferred.
        dispatches = own + 1
        if own_items or flow in self._served:
            order = (*self._turns, *self._next_turns)
        else:
            order = (*self._turns, flow, *self._next_turns)
        for name in order:
            if name == flow:
                dispatches = own
                continue
            items = self._flows[name]
            yields = is_preferred is not None and not any(map(is_preferred, items))
            ahead += min(len(items), own if yields else dispatches)
        return ahead


def take_first(
    items: collections.deque, is_preferred: Predicate | None = None
) -> object:
    """Removes and returns the first preferred item, or the first one without any."""
    if is_preferred is not None:
        for position, item in enumerate(items):
            if is_preferred(item):
                del items[position]
                return item
    return items.popleft()
