"""Estimates how long received messages were under way, without synchronised clocks.

The difference between the sender's clock at sending and the receiver's clock at
delivery is an unknown constant plus the time under way. The smallest difference seen
from a sender stands for a message that was not delayed.
"""

import dataclasses
import threading

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.records import InstanceIdentity

# Clocks of two machines drift apart by up to about this much, so a smallest difference
# seen long ago is raised with time.
DRIFT_MS_PER_S = 0.1
SENDER_LIMIT = 8_192


@dataclasses.dataclass(slots=True, kw_only=True)
class Baseline:
    """Smallest difference of the clocks that was seen from one run of a sender."""

    incarnation: int
    difference_ms: float
    seen_ms: float


class MessageAges:
    """Estimates the delay of messages by sender. Thread-safe."""

    __slots__ = ("_baselines", "_lock")

    def __init__(self):
        self._baselines: dict[str, Baseline] = {}
        self._lock = threading.Lock()

    def estimate_ms(
        self, *, sender: InstanceIdentity, sent_ms: float, received_ms: float
    ) -> float:
        """Returns by how many milliseconds more than the fastest a message was delayed.

        The first message of a run of a sender counts as not delayed. The delay includes
        the time in queues of the sender and of this instance.

        Args:
            sender: The sending instance.
            sent_ms: The sender's clock when the message was created.
            received_ms: This instance's clock when the message was delivered. Both
                clocks must also count time during which a machine is suspended.
        """
        difference_ms = received_ms - sent_ms
        with self._lock:
            baseline = self._baselines.get(sender.name)
            if baseline is None or baseline.incarnation != sender.incarnation:
                self._add(sender, difference_ms, received_ms)
                return 0.0
            elapsed_s = max(0.0, received_ms - baseline.seen_ms) / MS_PER_S
            expected_ms = baseline.difference_ms + DRIFT_MS_PER_S * elapsed_s
            if difference_ms <= expected_ms:
                baseline.difference_ms = difference_ms
                baseline.seen_ms = received_ms
                return 0.0
            return difference_ms - expected_ms

    def _add(
        self, sender: InstanceIdentity, difference_ms: float, received_ms: float
    ) -> None:
        if len(self._baselines) >= SENDER_LIMIT:
            # Evicts the oldest entry; a sender still in use gets a new one.
            del self._baselines[next(iter(self._baselines))]
        self._baselines[sender.name] = Baseline(
            incarnation=sender.incarnation,
            difference_ms=difference_ms,
            seen_ms=received_ms,
        )
