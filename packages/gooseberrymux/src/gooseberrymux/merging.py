"""Merges the greatest records of many parts, at owners and at the entry."""

import threading
from collections.abc import Callable, Iterable

from gooseberrymux.forward_messages import (
    ForwardCall,
    MergedPart,
    PartOutcome,
    PartReplied,
    PartsMerged,
)

RECORD_BYTES = 16

Reply = Callable[[PartOutcome], None]


class Collector:
    """Parts of one call at their owner, merged into as few messages as possible.

    The entry can't answer before it has the parts of all owners, so the parts of one
    owner wait for each other, until the entry is about to answer without them.
    """

    __slots__ = ("_call", "_reply", "_open", "_parts", "_bodies", "_flushed", "_lock")

    def __init__(self, *, call: ForwardCall, reply: Reply):
        self._call = call
        self._reply = reply
        self._open = set(call.services)
        self._parts: list[MergedPart] = []
        self._bodies: list[bytes] = []
        self._flushed = False
        self._lock = threading.Lock()

    def take(self, outcome: PartOutcome) -> None:
        """Takes in a part; sends the merged parts once no other is waited for."""
        match outcome:
            case PartReplied(status=status) if 200 <= status < 300:
                self._add(outcome)
            case _:
                self._reply(outcome)
        with self._lock:
            self._open.discard(outcome.service)
            due = self._flushed or not self._open
            merged = self._merge() if due else None
        if merged:
            self._reply(merged)

    def flush(self) -> None:
        """Sends what is in; later parts are sent as they come."""
        with self._lock:
            self._flushed = True
            merged = self._merge()
        if merged:
            self._reply(merged)

    def drop(self, services: Iterable[str]) -> None:
        """Stops waiting for parts that are no longer wanted."""
        with self._lock:
            self._open.difference_update(services)

    def _add(self, part: PartReplied) -> None:
        with self._lock:
            self._parts.append(
                MergedPart(
                    service=part.service,
                    upstream=part.upstream,
                    proof=part.proof,
                    sends=part.sends,
                    queued_ms=round(part.queued_ms),
                    upstream_ms=round(part.upstream_ms),
                )
            )
            self._bodies.append(part.body)

    def _merge(self) -> PartsMerged | None:
        if not self._parts:
            return None
        merged = PartsMerged(
            call=self._call.id,
            parts=self._parts,
            records=merge_records(self._bodies, top=self._call.top),
        )
        self._parts, self._bodies = [], []
        return merged


def merge_records(bodies: Iterable[bytes], *, top: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first, byte by byte."""
    records: list[bytes] = []
    for body in bodies:
        records += split_records(body)
    records.sort(reverse=True)
    return b"".join(records[:top])


def split_records(body: bytes) -> list[bytes]:
    """Returns the whole records of a part; a shorter rest is no record."""
    whole = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]
