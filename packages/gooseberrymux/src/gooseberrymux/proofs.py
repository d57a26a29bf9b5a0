"""Proofs that the documents of a prefix are current, and their age.

A proof names a time at which the platform held no change of the prefix that the
documents in force lack. The instance that reads the platform makes it; peers pass it
on, so that an instance that never reads knows how old its documents may be.
"""

import dataclasses
import threading


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proof:
    """One proof, as an instance holds it.

    Attributes:
        reader: Instance whose read of the platform the proof comes from.
        incarnation: Incarnation of the reader.
        sequence: Number of the proof in that run of the reader; later ones are higher.
        proven_ms: `Clock.boot_ms` of this instance at which the documents were current.
    """

    reader: str
    incarnation: int
    sequence: int
    proven_ms: float


class ProofRecord:
    """The latest proofs of one prefix, by reader. Thread-safe.

    Args:
        now_ms: `Clock.boot_ms` at the start of this instance, from which the age counts
            until the first proof.
        lifetime_ms: Age from which the proof of a reader is forgotten.
    """

    __slots__ = ("_started_ms", "_lifetime_ms", "_latest", "_by_reader", "_lock")

    def __init__(self, *, now_ms: float, lifetime_ms: float):
        self._started_ms = now_ms
        self._lifetime_ms = lifetime_ms
        self._latest: Proof | None = None
        self._by_reader: dict[str, Proof] = {}
        self._lock = threading.Lock()

    def record(self, proof: Proof) -> bool:
        """Records a proof; returns whether it is a later one of its reader."""
        with self._lock:
            known = self._by_reader.get(proof.reader)
            if known and (known.incarnation, known.sequence) >= (
                proof.incarnation,
                proof.sequence,
            ):
                return False
            self._by_reader[proof.reader] = proof
            if self._latest is None or proof.proven_ms > self._latest.proven_ms:
                self._latest = proof
            self._forget_expired()
            return True

    def compute_age_ms(self, now_ms: float) -> float:
        """Returns the age of the latest proof, or of this instance without a proof."""
        latest = self._latest
        return now_ms - (latest.proven_ms if latest else self._started_ms)

    def get_latest(self) -> Proof | None:
        """Returns the proof of the latest time, or None before the first."""
        return self._latest

    def list_readers(self, *, since_ms: float) -> set[str]:
        """Returns the readers with a proof of a time after `since_ms`."""
        with self._lock:
            return {
                name
                for name, proof in self._by_reader.items()
                if proof.proven_ms > since_ms
            }

    def _forget_expired(self) -> None:
        oldest_ms = self._latest.proven_ms - self._lifetime_ms
        if any(proof.proven_ms < oldest_ms for proof in self._by_reader.values()):
            self._by_reader = {
                name: proof
                for name, proof in self._by_reader.items()
                if proof.proven_ms >= oldest_ms
            }
