"""Exchange of the proofs that documents are current, between instances."""

import random
import threading
from collections.abc import Callable, Sequence

from gooseberrymux.document_table import choose_push_targets
from gooseberrymux.kernel import Kernel
from gooseberrymux.message_ages import MessageAges
from gooseberrymux.messages import DocumentDigest, FreshnessProof
from gooseberrymux.peers import Peers
from gooseberrymux.proofs import Proof, ProofRecord
from gooseberrymux.records import InstanceIdentity

# Proofs this many times older than the staleness bound are forgotten.
PROOF_LIFETIME_BOUNDS = 2


class ProofExchange:
    """Sends the proofs of this instance, and passes on those of others once.

    A proof counts here only if the documents in force are at least those that it names.
    One that names newer documents waits until they are in force.

    Args:
        kernel: Gives the settings and the clock.
        peers: Carries the messages.
        list_digests: Returns the digests of the documents in force under a prefix.
        find_newer: Returns the names of the documents of which a digest is newer than
            the copy in force.
        request: Requests documents from a peer by their names.
    """

    __slots__ = (
        "_kernel",
        "_peers",
        "_list_digests",
        "_find_newer",
        "_request",
        "_records",
        "_waiting",
        "_ages",
        "_sequence",
        "_random",
        "_lock",
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        peers: Peers,
        list_digests: Callable[[str], list[DocumentDigest]],
        find_newer: Callable[[Sequence[DocumentDigest]], list[str]],
        request: Callable[[InstanceIdentity, list[str]], None],
    ):
        self._kernel = kernel
        self._peers = peers
        self._list_digests = list_digests
        self._find_newer = find_newer
        self._request = request
        self._records: dict[str, ProofRecord] = {}
        # The latest proof of each prefix that names documents that are not yet in
        # force, with the `Clock.boot_ms` here at which it arrived.
        self._waiting: dict[str, tuple[FreshnessProof, float]] = {}
        self._ages = MessageAges()
        self._sequence = 0
        self._random = random.Random()
        self._lock = threading.Lock()
        peers.register(FreshnessProof, self._handle_proof)

    def add_prefix(self, prefix: str) -> ProofRecord:
        """Returns the record of the proofs of a prefix; call it before the start."""
        return self._records.setdefault(
            prefix,
            ProofRecord(
                now_ms=self._kernel.clock.boot_ms(),
                lifetime_ms=PROOF_LIFETIME_BOUNDS
                * self._kernel.settings.platform.staleness_bound_ms,
            ),
        )

    def publish(self, *, prefix: str, proven_ms: float) -> None:
        """Sends a proof of this instance.

        Args:
            prefix: Prefix of the documents.
            proven_ms: `Clock.boot_ms` at which the documents in force were current.
        """
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        identity = self._peers.identity
        proof = Proof(
            reader=identity.name,
            incarnation=identity.incarnation,
            sequence=sequence,
            proven_ms=proven_ms,
        )
        self._records[prefix].record(proof)
        self._send(prefix, proof, source=identity.name)

    def compute_ages_ms(self) -> dict[str, float]:
        """Returns the age of the latest proof of each prefix, in milliseconds.

        It counts from the start of this instance until the first proof.
        """
        now_ms = self._kernel.clock.boot_ms()
        return {
            prefix: record.compute_age_ms(now_ms)
            for prefix, record in sorted(self._records.items())
        }

    def check_waiting(self) -> None:
        """Records the waiting proofs whose documents are in force by now."""
        for prefix, (message, proven_ms) in list(self._waiting.items()):
            if not self._find_newer(message.digests):
                self._waiting.pop(prefix, None)
                self._accept(message, proven_ms, source=message.reader)

    def _handle_proof(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, FreshnessProof)
        if message.prefix not in self._records:
            return
        now_ms = self._kernel.clock.boot_ms()
        delay_ms = self._ages.estimate_ms(
            sender=sender, sent_ms=message.sent_ms, received_ms=now_ms
        )
        proven_ms = now_ms - delay_ms - max(0.0, message.age_ms)
        names = self._find_newer(message.digests)
        if names:
            self._waiting[message.prefix] = (message, proven_ms)
            self._request(sender, names)
            return
        self._accept(message, proven_ms, source=sender.name)

    def _accept(
        self, message: FreshnessProof, proven_ms: float, *, source: str
    ) -> None:
        proof = Proof(
            reader=message.reader,
            incarnation=message.incarnation,
            sequence=message.sequence,
            proven_ms=proven_ms,
        )
        if self._records[message.prefix].record(proof):
            self._send(message.prefix, proof, source=source)

    def _send(self, prefix: str, proof: Proof, *, source: str) -> None:
        sent_ms = self._kernel.clock.boot_ms()
        message = FreshnessProof(
            prefix=prefix,
            reader=proof.reader,
            incarnation=proof.incarnation,
            sequence=proof.sequence,
            age_ms=sent_ms - proof.proven_ms,
            sent_ms=sent_ms,
            digests=self._list_digests(prefix),
        )
        targets = choose_push_targets(
            peers=self._peers.list_connected(), source=source, generator=self._random
        )
        for name in targets:
            self._peers.send(name, message)
