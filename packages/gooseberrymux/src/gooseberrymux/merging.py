"""Merges the records of many services' replies and keeps the greatest.

Owners merge the replies of the services that they own; the entry, the instance that the
caller is connected to, merges what the owners send.
"""

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
# Merged parts are sent this long before the entry answers, as a message takes that long
# to reach a small entry and to be decoded there. Parts that arrive later would make an
# answer late that has too few parts without them.
FLUSH_LEAD_MS = 6.0
# How long before the latency target an entry answers that doesn't say so.
DEFAULT_ANSWER_LEAD_MS = 7.0

Reply = Callable[[PartOutcome], None]


class Collector:
    """Merges an owner's parts of one call into as few messages as possible.

    The entry needs the parts of all owners before it can answer, so sending them one by
    one would gain nothing. The parts of one owner are held until all are in, or until
    `flush`, shortly before the entry answers without the missing ones. Any thread may
    call it.

    Args:
        call: The call that the parts belong to.
        reply: Called with each message to the entry, outside the lock.
    """

    __slots__ = (
        "_call",
        "_reply",
        "_pending",
        "_parts",
        "_bodies",
        "_flushed",
        "_lock",
    )

    def __init__(self, *, call: ForwardCall, reply: Reply):
        self._call = call
        self._reply = reply
        self._pending = set(call.services)
        self._parts: list[MergedPart] = []
        self._bodies: list[bytes] = []
        self._flushed = False
        self._lock = threading.Lock()

    def collect(self, outcome: PartOutcome) -> None:
        """Collects a part and sends the merged parts once none is pending.

        A failed part is sent at once and not merged.
        """
        match outcome:
            case PartReplied(status=status) if 200 <= status < 300:
                self._append_reply(outcome)
            case _:
                self._reply(outcome)
        with self._lock:
            self._pending.discard(outcome.service)
            is_due = self._flushed or not self._pending
            merged = self._pop_merged() if is_due else None
        if merged:
            self._reply(merged)

    def flush(self) -> None:
        """Sends the parts collected so far; later parts are sent as they arrive."""
        with self._lock:
            self._flushed = True
            merged = self._pop_merged()
        if merged:
            self._reply(merged)

    def discard(self, services: Iterable[str]) -> None:
        """Stops waiting for services whose parts are no longer wanted."""
        with self._lock:
            self._pending.difference_update(services)

    def _append_reply(self, part: PartReplied) -> None:
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

    def _pop_merged(self) -> PartsMerged | None:
        if not self._parts:
            return None
        merged = PartsMerged(
            call=self._call.id,
            parts=self._parts,
            records=merge_records(self._bodies, top=self._call.top),
        )
        self._parts, self._bodies = [], []
        return merged


def compute_flush_ms(call: ForwardCall) -> float:
    """Returns after how many milliseconds an owner sends the parts of a call."""
    answer_ms = call.answer_ms
    if answer_ms is None:
        answer_ms = call.target_ms - DEFAULT_ANSWER_LEAD_MS
    return answer_ms - FLUSH_LEAD_MS


def merge_records(bodies: Iterable[bytes], *, top: int) -> bytes:
    """Returns the `top` greatest records of all bodies, greatest first.

    Records are compared byte by byte.
    """
    records: list[bytes] = []
    for body in bodies:
        records += split_records(body)
    records.sort(reverse=True)
    return b"".join(records[:top])


def split_records(body: bytes) -> list[bytes]:
    """Returns the records of a body; an incomplete one at its end is ignored."""
    whole = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]
