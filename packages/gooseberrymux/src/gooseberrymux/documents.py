"""Replicated read-only copies of platform objects; the highest generation wins.

A few instances watch the platform. All others receive changes from peers, by push and
by periodic exchange, because each waiting watch counts as a call to the platform. Those
few also send proofs that the documents are current; an instance whose latest proof gets
old reads the platform itself.
"""

import dataclasses
import random
import threading

from gooseberrymux import journal, metrics
from gooseberrymux.change_signal import ChangeSignal
from gooseberrymux.codec import measure_message
from gooseberrymux.document_table import (
    Applied,
    BodyCheck,
    DocumentTable,
    HashConflict,
    Outdated,
    Rejected,
    choose_exchange_targets,
    choose_push_targets,
    create_digest,
    get_sort_key,
    hash_body,
    limit_bodies,
)
from gooseberrymux.eras import combine_era, get_era
from gooseberrymux.errors import MuxError
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import MemberChanged, Membership
from gooseberrymux.messages import (
    DocumentBody,
    DocumentDelta,
    DocumentDigest,
    DocumentOffer,
    DocumentRequest,
)
from gooseberrymux.peers import Peers
from gooseberrymux.platform import Platform
from gooseberrymux.platform_objects import PlatformObject, WatchedChanges
from gooseberrymux.platform_watch import PlatformWatch
from gooseberrymux.proof_exchange import ProofExchange
from gooseberrymux.reader_selection import ReaderSelection
from gooseberrymux.records import InstanceIdentity

# A larger body or delta is announced to some of the peers by its digest instead, so
# that a peer to which several others push the same change receives the content once.
PUSH_BODY_LIMIT_BYTES = 8_192
PUSH_DELTA_LIMIT_BYTES = 1_024
# Exchanges are this many times as frequent until the required documents are known.
STARTUP_EXCHANGE_PERIOD_DIVISOR = 5


class DocumentError(MuxError):
    """A copy of a document is invalid, or two copies of one generation differ."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentChanged:
    """A newer copy of a document, or its first copy, is the current one now."""

    name: str
    generation: int
    body: dict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OlderCopyFound:
    """The platform has an older copy of a document than the one in force here.

    Either the read was stale, or the platform has lost the later copies.

    Attributes:
        name: Name of the document.
        version: Version of the platform's object that holds the older copy.
    """

    name: str
    version: int


@service("documents", requires=("platform", "peers", "membership"))
class Documents:
    """Stores the documents, watches the platform and exchanges copies with peers."""

    __slots__ = (
        "_kernel",
        "_platform",
        "_peers",
        "_membership",
        "_table",
        "_apply_lock",
        "_signal",
        "_proofs",
        "_watches",
        "_required_names",
        "_content_compared_prefixes",
        "_random",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._platform = kernel.find("platform", Platform)
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._table = DocumentTable()
        # Held while a document is replaced and the event is published, so that event
        # handlers see generations in rising order. Reentrant, because a handler may
        # apply another document.
        self._apply_lock = threading.RLock()
        self._signal = ChangeSignal(clock=kernel.clock)
        self._proofs = ProofExchange(
            kernel=kernel,
            peers=self._peers,
            list_digests=self._list_digests_of_prefix,
            find_newer=self._table.find_newer,
            request=self._send_request,
        )
        self._watches: dict[str, PlatformWatch] = {}
        self._required_names: list[str] = []
        self._content_compared_prefixes: list[str] = []
        self._random = random.Random()
        self._peers.register(DocumentOffer, self._handle_offer)
        self._peers.register(DocumentRequest, self._handle_request)
        self._peers.register(DocumentBody, self._handle_body)
        self._peers.register(DocumentDelta, self._handle_delta)
        kernel.subscribe(MemberChanged, self._handle_member_change)

    def start(self) -> None:
        """Starts one thread for each watched prefix and one for the exchange."""
        metrics.proof_age_ms.read_from(self._proofs.compute_ages_ms)
        for prefix, watch in self._watches.items():
            self._kernel.spawn(name=f"documents.watch.{prefix}", target=watch.run)
        self._kernel.spawn(name="documents.exchange", target=self._run_exchange)

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: copies are sent to peers until the links close."""

    def stop(self) -> None:
        """Wakes the watch and exchange threads, which then end."""
        self._signal.stop()

    def describe(self) -> dict:
        """Returns documents, unresolved problems, prefixes read here and proof ages."""
        return {
            "documents": {
                doc.name: {"generation": doc.generation, "hash": doc.hash}
                for doc in self._table.list_documents()
            },
            "problems": self._table.list_problems(),
            "watching": sorted(
                prefix for prefix, watch in self._watches.items() if watch.is_active
            ),
            "proof_ages_ms": self._proofs.compute_ages_ms(),
        }

    def compute_proof_age_ms(self) -> float:
        """Returns the age in milliseconds of the oldest of the prefixes' latest proofs.

        It counts from the start of this instance until the first proof of a prefix.
        """
        return max(self._proofs.compute_ages_ms().values(), default=0.0)

    def watch_prefix(
        self, prefix: str, *, required: str | None = None, compare_content: bool = False
    ) -> None:
        """Registers a prefix to keep up to date; must be called before `start`.

        Args:
            prefix: Prefix of the documents' names.
            required: A document without which this instance is not ready; exchanges
                with peers are more frequent until it is known here.
            compare_content: Ignore a platform object whose content other than the
                generation is unchanged, for prefixes whose generation is only a
                position in the platform's change history. The generation in force
                then also holds the platform's era; see `eras`.
        """
        if compare_content:
            self._content_compared_prefixes.append(prefix)
        if prefix not in self._watches:
            self._watches[prefix] = self._create_watch(prefix)
        if required is not None:
            self._required_names.append(required)

    def _create_watch(self, prefix: str) -> PlatformWatch:
        proofs = self._proofs.add_prefix(prefix)
        return PlatformWatch(
            prefix=prefix,
            kernel=self._kernel,
            platform=self._platform,
            membership=self._membership,
            selection=ReaderSelection(
                kernel=self._kernel,
                name=self._peers.identity.name,
                membership=self._membership,
                proofs=proofs,
            ),
            proofs=proofs,
            signal=self._signal,
            has_documents=lambda: self._has_documents(prefix),
            apply_changes=self._apply_changes,
            publish_proof=lambda proven_ms: self._proofs.publish(
                prefix=prefix, proven_ms=proven_ms
            ),
        )

    def register_check(self, prefix: str, check: BodyCheck) -> None:
        """Sets the check that documents under a prefix must pass to be applied."""
        self._table.register_check(prefix, check)

    def get(self, name: str) -> DocumentBody | None:
        """Returns the current document, or None."""
        return self._table.get(name)

    def list_digests(self) -> list[DocumentDigest]:
        """Returns name, generation and hash of each current document."""
        return [create_digest(document) for document in self._table.list_documents()]

    def apply_body(self, *, name: str, body: dict, source: str, era: int = 0) -> bool:
        """Applies the body of a platform object; see `apply_if_newer`.

        A body without an integer `generation` is recorded as a problem of the document.

        Args:
            name: Name of the document.
            body: The body.
            source: `platform`, or this instance.
            era: The platform's era when it was read.
        """
        if self._is_unchanged(name, body):
            return False
        match body.get("generation"):
            case int(generation) if not isinstance(generation, bool):
                if name.startswith(tuple(self._content_compared_prefixes)):
                    try:
                        generation = combine_era(era, generation)
                    except ValueError as error:
                        self._report_problem(name, str(error), source)
                        return False
                    body = {**body, "generation": generation}
                document = DocumentBody(
                    name=name, generation=generation, hash=hash_body(body), body=body
                )
                return self.apply_if_newer(document, source=source)
        self._report_problem(name, "no generation number", source)
        return False

    def _is_unchanged(self, name: str, body: dict) -> bool:
        """Returns whether the body is to be ignored; see `watch_prefix`."""
        known = self._table.get(name)
        return (
            known is not None
            and name.startswith(tuple(self._content_compared_prefixes))
            and {**known.body, "generation": 0} == {**body, "generation": 0}
        )

    def apply_if_newer(
        self,
        document: DocumentBody,
        *,
        source: str,
        delta: DocumentDelta | None = None,
    ) -> bool:
        """Replaces the current document by a newer copy and pushes the copy to peers.

        Copies are ordered by generation, then by hash. Subscribers are called in the
        calling thread. A rejected or conflicting copy is recorded as a problem.

        Args:
            document: The copy.
            source: The peer that sent the copy, `platform`, or this instance.
            delta: The delta that produced the copy, if a peer sent a delta.

        Returns:
            Whether the copy is now the current document.
        """
        with self._apply_lock:
            match self._table.apply_if_newer(document, delta=delta):
                case Outdated():
                    if source == "platform":
                        self._table.resolve_problem(document)
                    return False
                case HashConflict(losing_hash=losing_hash):
                    self._report_conflict(document, losing_hash, source)
                    return False
                case Rejected(reason=reason):
                    problem = f"generation {document.generation}: {reason}"
                    self._report_problem(document.name, problem, source)
                    return False
                case Applied(losing_hash=losing_hash):
                    if losing_hash:
                        self._report_conflict(document, losing_hash, source)
                    self._publish_change(document, source)
        self._signal.notify()
        self._push(document, source)
        self._proofs.check_waiting()
        return True

    def _report_older_copy(self, found: PlatformObject, *, era: int) -> None:
        """Reports a copy on the platform that is older than the one in force here."""
        known = self._table.get(found.name)
        match found.value.get("generation"):
            case int(generation) if known and known.generation > generation:
                pass
            case _:
                return
        if found.name.startswith(tuple(self._content_compared_prefixes)) and (
            get_era(known.generation) <= era
        ):
            # The generation is a position that the platform itself goes on from.
            return
        journal.record_event(
            "documents.older_copy",
            document=found.name,
            in_force=known.generation,
            found=generation,
            era=era,
        )
        self._kernel.publish(OlderCopyFound(name=found.name, version=found.version))

    def _publish_change(self, document: DocumentBody, source: str) -> None:
        metrics.generation.set({"document": document.name}, document.generation)
        journal.record_event(
            "documents.applied",
            document=document.name,
            generation=document.generation,
            hash=document.hash,
            source=source,
        )
        self._kernel.publish(
            DocumentChanged(
                name=document.name, generation=document.generation, body=document.body
            )
        )

    def _push(self, document: DocumentBody, source: str) -> None:
        peers = self._peers.list_connected()
        targets = choose_push_targets(
            peers=peers, source=source, generator=self._random
        )
        message: DocumentBody | DocumentDelta | DocumentOffer = document
        reaches_all_peers = len(targets) >= len(peers) - 1
        delta = self._table.get_last_delta(document)
        if delta:
            message = delta
        limit_bytes = PUSH_DELTA_LIMIT_BYTES if delta else PUSH_BODY_LIMIT_BYTES
        if not reaches_all_peers and measure_message(message) > limit_bytes:
            message = DocumentOffer(digests=[create_digest(document)])
        for name in targets:
            # A full queue drops the message; the periodic exchange then delivers the
            # document.
            self._peers.send(name, message)

    def _report_conflict(
        self, document: DocumentBody, other_hash: str, source: str
    ) -> None:
        hashes = " and ".join(sorted((document.hash, other_hash)))
        problem = f"generation {document.generation} has two contents: {hashes}"
        self._report_problem(document.name, problem, source)

    def _report_problem(self, name: str, problem: str, source: str) -> None:
        if not self._table.record_problem(name, problem):
            return
        step = "documents.take"
        metrics.faults_total.inc({"step": step})
        error = DocumentError(step=step, peer=source, message=f"{name}: {problem}")
        journal.record_fault(step=step, peer=source, error=error)

    def _list_digests_of_prefix(self, prefix: str) -> list[DocumentDigest]:
        return [
            digest for digest in self.list_digests() if digest.name.startswith(prefix)
        ]

    def _has_documents(self, prefix: str) -> bool:
        return any(
            document.name.startswith(prefix)
            for document in self._table.list_documents()
        )

    def _apply_changes(self, changes: WatchedChanges) -> None:
        for platform_object in changes.objects:
            self.apply_body(
                name=platform_object.name,
                body=platform_object.value,
                source="platform",
                era=changes.era,
            )
            self._report_older_copy(platform_object, era=changes.era)
        for malformed in changes.malformed:
            self._report_problem(malformed.name, malformed.message, "platform")

    def _run_exchange(self) -> None:
        while not self._signal.is_stopped:
            seen_count = self._signal.count
            starting = self._send_offers()
            period_ms = self._kernel.settings.membership.exchange_period_ms
            if starting:
                self._signal.wait(
                    period_ms / STARTUP_EXCHANGE_PERIOD_DIVISOR, seen_count=seen_count
                )
            else:
                # Jitter spreads the exchanges of a fleet over the period.
                self._signal.wait(period_ms * self._random.uniform(0.75, 1.25))

    def _send_offers(self) -> bool:
        """Offers documents to some peers; returns whether a required one is missing."""
        starting = any(self._table.get(name) is None for name in self._required_names)
        offer = self._table.create_offer()
        for name in choose_exchange_targets(
            peers=self._peers.list_connected(),
            starting=starting,
            generator=self._random,
        ):
            self._peers.send(name, offer)
        return starting

    def _handle_member_change(self, event: MemberChanged) -> None:
        self._signal.notify()

    def _handle_offer(self, sender: InstanceIdentity, offer: DocumentOffer) -> None:
        comparison = self._table.compare_offer(offer)
        for name in comparison.conflicting_names:
            digest = next(item for item in offer.digests if item.name == name)
            known = self._table.get(name)
            if known and known.generation == digest.generation:
                self._report_conflict(known, digest.hash, sender.name)
        if comparison.names_to_request:
            self._send_request(sender, comparison.names_to_request)
        for document in comparison.documents_to_send:
            self._peers.send(sender.name, document)

    def _handle_request(
        self, sender: InstanceIdentity, request: DocumentRequest
    ) -> None:
        bodies = []
        for name in request.names:
            deltas = self._table.list_deltas(name, request.known.get(name))
            for delta in deltas:
                self._peers.send(sender.name, delta)
            document = self._table.get(name)
            if document and not deltas:
                bodies.append(document)
        for document in limit_bodies(bodies):
            self._peers.send(sender.name, document)

    def _handle_body(self, sender: InstanceIdentity, document: DocumentBody) -> None:
        self.apply_if_newer(document, source=sender.name)

    def _handle_delta(self, sender: InstanceIdentity, delta: DocumentDelta) -> None:
        known = self._table.get(delta.name)
        if known and get_sort_key(known) >= (delta.generation, delta.hash):
            return
        document = self._table.apply_delta(delta)
        if document:
            self.apply_if_newer(document, source=sender.name, delta=delta)
        elif known and known.hash == delta.base:
            # The base matches, but the result does not have the delta's hash or can't
            # be encoded: only the whole body helps, so no known hash is sent.
            self._peers.send(sender.name, DocumentRequest(names=[delta.name]))
        else:
            self._send_request(sender, [delta.name])

    def _send_request(self, sender: InstanceIdentity, names: list[str]) -> None:
        copies = [self._table.get(name) for name in names]
        known = {copy.name: copy.hash for copy in copies if copy}
        self._peers.send(sender.name, DocumentRequest(names=names, known=known))
