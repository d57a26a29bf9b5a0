"""Replicated read-only copies of platform objects; the highest generation wins.

A few instances watch the platform. All others learn from peers by push and by
periodic exchange, because each waiting watch counts as a call to the platform.
"""

import dataclasses
import random
import threading

from gooseberrymux import journal, metrics
from gooseberrymux.change_signal import ChangeSignal
from gooseberrymux.codec import measure_message
from gooseberrymux.document_table import (
    Applied,
    Check,
    DocumentTable,
    Forked,
    Outdated,
    Rejected,
    choose_exchange_targets,
    choose_push_targets,
    create_digest,
    hash_body,
    limit_bodies,
    order_copy,
)
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
from gooseberrymux.platform import Platform, PlatformObject, WatchedChanges
from gooseberrymux.records import InstanceIdentity
from gooseberrymux.watchers import Watchers
from gooseberrymux.watches import PlatformWatch

# Larger documents and deltas are offered by digest, so that a peer that is pushed the
# same change by several others receives it once.
PUSH_BODY_LIMIT_BYTES = 8_192
PUSH_DELTA_LIMIT_BYTES = 1_024
STARTING_PERIOD_DIVISOR = 5


class DocumentError(MuxError):
    """A copy of a document can't be used, or two copies of one generation differ."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DocumentChanged:
    """A document with a higher generation is in force here."""

    name: str
    generation: int
    body: dict


@service("documents", requires=("platform", "peers", "membership"))
class Documents:
    """Holds the documents, watches the platform, exchanges with peers."""

    __slots__ = (
        "_kernel",
        "_platform",
        "_peers",
        "_membership",
        "_table",
        "_applying",
        "_signal",
        "_watchers",
        "_watches",
        "_needed",
        "_by_content",
        "_random",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._platform = kernel.find("platform", Platform)
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._table = DocumentTable()
        # Held while a document is put in force and announced, so that handlers see
        # generations in rising order; a handler may put a document in force itself.
        self._applying = threading.RLock()
        self._signal = ChangeSignal(clock=kernel.clock)
        self._watchers = Watchers(
            kernel=kernel,
            peers=self._peers,
            membership=self._membership,
            on_change=self._signal.notify,
        )
        self._watches: dict[str, PlatformWatch] = {}
        self._needed: list[str] = []
        self._by_content: list[str] = []
        self._random = random.Random()
        self._peers.register(DocumentOffer, self._handle_offer)
        self._peers.register(DocumentRequest, self._handle_request)
        self._peers.register(DocumentBody, self._handle_body)
        self._peers.register(DocumentDelta, self._handle_delta)
        kernel.subscribe(MemberChanged, self._handle_member)

    def start(self) -> None:
        """Starts one thread for each watched prefix and one for the exchange."""
        for prefix, watch in self._watches.items():
            self._kernel.spawn(name=f"documents.watch.{prefix}", target=watch.run)
        self._kernel.spawn(name="documents.exchange", target=self._exchange)

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: copies are served until the links close."""

    def stop(self) -> None:
        """Wakes the threads so that they end."""
        self._signal.stop()

    def describe(self) -> dict:
        """Returns the documents, the open problems and what is watched."""
        return {
            "documents": {
                doc.name: {"generation": doc.generation, "hash": doc.hash}
                for doc in self._table.list_documents()
            },
            "problems": self._table.list_problems(),
            "watching": sorted(
                prefix for prefix, watch in self._watches.items() if watch.is_active
            ),
            "cut_off_from_platform": self._watchers.list_cut_off(),
        }

    def watch_prefix(
        self, prefix: str, *, needed: str | None = None, by_content: bool = False
    ) -> None:
        """Has the documents under a prefix followed; call it before the start.

        Args:
            prefix: Start of the documents' names.
            needed: A document without which this instance is not ready; until it is
                known here, peers are asked for it more often.
            by_content: Whether the generation is only a position of the platform, so
                that a copy with the same content is no news.
        """
        if by_content:
            self._by_content.append(prefix)
        if prefix not in self._watches:
            self._watches[prefix] = PlatformWatch(
                prefix=prefix,
                kernel=self._kernel,
                platform=self._platform,
                membership=self._membership,
                watchers=self._watchers,
                signal=self._signal,
                has_documents=lambda: self._has_documents(prefix),
                take=self._take_changes,
            )
        if needed is not None:
            self._needed.append(needed)

    def register_check(self, prefix: str, check: Check) -> None:
        """Sets the check that documents under a prefix must pass to be in force."""
        self._table.register_check(prefix, check)

    def get(self, name: str) -> DocumentBody | None:
        """Returns the document in force, or None."""
        return self._table.get(name)

    def list_digests(self) -> list[DocumentDigest]:
        """Returns name, generation and hash of each document in force."""
        return [create_digest(document) for document in self._table.list_documents()]

    def offer_body(self, *, name: str, body: dict, source: str) -> bool:
        """Puts the body of a platform object in force; see `offer`."""
        if self._is_known(name, body):
            return False
        match body.get("generation"):
            case int(generation) if not isinstance(generation, bool):
                document = DocumentBody(
                    name=name, generation=generation, hash=hash_body(body), body=body
                )
                return self.offer(document, source=source)
        self._report(name, "no generation number", source)
        return False

    def _is_known(self, name: str, body: dict) -> bool:
        """Returns whether the content of the document in force is the same."""
        known = self._table.get(name)
        return (
            known is not None
            and name.startswith(tuple(self._by_content))
            and {**known.body, "generation": 0} == {**body, "generation": 0}
        )

    def offer(
        self,
        document: DocumentBody,
        *,
        source: str,
        delta: DocumentDelta | None = None,
    ) -> bool:
        """Puts a document in force if its generation is higher than the known one.

        Args:
            document: The copy.
            source: The peer that sent it, `platform`, or this instance.
            delta: The change that has made it, if it came as one.

        Returns:
            Whether it was put in force; it was then also pushed to peers.
        """
        with self._applying:
            match self._table.take(document, delta=delta):
                case Outdated():
                    if source == "platform":
                        self._table.resolve_problem(document)
                    return False
                case Forked(fork=other):
                    self._report_fork(document, other, source)
                    return False
                case Rejected(reason=reason):
                    problem = f"generation {document.generation}: {reason}"
                    self._report(document.name, problem, source)
                    return False
                case Applied(fork=other):
                    if other:
                        self._report_fork(document, other, source)
                    self._announce(document, source)
        self._signal.notify()
        self._push(document, source)
        return True

    def _announce(self, document: DocumentBody, source: str) -> None:
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
        everyone = len(targets) >= len(peers) - 1
        delta = self._table.get_last_delta(document)
        if delta:
            message = delta
        limit_bytes = PUSH_DELTA_LIMIT_BYTES if delta else PUSH_BODY_LIMIT_BYTES
        if not everyone and measure_message(message) > limit_bytes:
            message = DocumentOffer(digests=[create_digest(document)])
        for name in targets:
            # A full queue drops it; the periodic exchange makes up for that.
            self._peers.send(name, message)

    def _report_fork(self, document: DocumentBody, other: str, source: str) -> None:
        hashes = " and ".join(sorted((document.hash, other)))
        problem = f"generation {document.generation} has two contents: {hashes}"
        self._report(document.name, problem, source)

    def _report(self, name: str, problem: str, source: str) -> None:
        if not self._table.record_problem(name, problem):
            return
        step = "documents.take"
        metrics.faults_total.inc({"step": step})
        error = DocumentError(step=step, peer=source, message=f"{name}: {problem}")
        journal.record_fault(step=step, peer=source, error=error)

    def _has_documents(self, prefix: str) -> bool:
        return any(
            document.name.startswith(prefix)
            for document in self._table.list_documents()
        )

    def _take_changes(self, changes: WatchedChanges) -> None:
        for found in changes.objects:
            self._take(found)
        for malformed in changes.malformed:
            self._report(malformed.name, malformed.message, "platform")

    def _take(self, found: PlatformObject) -> None:
        self.offer_body(name=found.name, body=found.value, source="platform")

    def _exchange(self) -> None:
        while not self._signal.is_stopped:
            seen = self._signal.count
            starting = self._send_offers()
            period_ms = self._kernel.settings.membership.exchange_period_ms
            if starting:
                self._signal.wait(period_ms / STARTING_PERIOD_DIVISOR, seen_count=seen)
            else:
                # Jitter keeps the exchanges of a fleet apart.
                self._signal.wait(period_ms * self._random.uniform(0.75, 1.25))

    def _send_offers(self) -> bool:
        """Offers to the peers of one period; returns whether this is a first start."""
        starting = any(self._table.get(name) is None for name in self._needed)
        offer = self._table.create_offer()
        for name in choose_exchange_targets(
            peers=self._peers.list_connected(),
            starting=starting,
            generator=self._random,
        ):
            self._peers.send(name, offer)
        return starting

    def _handle_member(self, event: MemberChanged) -> None:
        self._signal.notify()

    def _handle_offer(self, sender: InstanceIdentity, offer: DocumentOffer) -> None:
        comparison = self._table.compare_offer(offer)
        for name in comparison.forks:
            theirs = next(item for item in offer.digests if item.name == name)
            known = self._table.get(name)
            if known and known.generation == theirs.generation:
                self._report_fork(known, theirs.hash, sender.name)
        if comparison.wanted:
            self._request(sender, comparison.wanted)
        for document in comparison.sent:
            self._peers.send(sender.name, document)

    def _handle_request(self, sender: InstanceIdentity, asked: DocumentRequest) -> None:
        bodies = []
        for name in asked.names:
            deltas = self._table.list_deltas(name, asked.known.get(name))
            for delta in deltas:
                self._peers.send(sender.name, delta)
            document = self._table.get(name)
            if document and not deltas:
                bodies.append(document)
        for document in limit_bodies(bodies):
            self._peers.send(sender.name, document)

    def _handle_body(self, sender: InstanceIdentity, document: DocumentBody) -> None:
        self.offer(document, source=sender.name)

    def _handle_delta(self, sender: InstanceIdentity, delta: DocumentDelta) -> None:
        known = self._table.get(delta.name)
        if known and order_copy(known) >= (delta.generation, delta.hash):
            return
        document = self._table.apply_delta(delta)
        if document:
            self.offer(document, source=sender.name, delta=delta)
        elif known and known.hash == delta.base:
            # The delta does not make what it says, so only the whole body helps.
            self._peers.send(sender.name, DocumentRequest(names=[delta.name]))
        else:
            self._request(sender, [delta.name])

    def _request(self, sender: InstanceIdentity, names: list[str]) -> None:
        copies = [self._table.get(name) for name in names]
        known = {copy.name: copy.hash for copy in copies if copy}
        self._peers.send(sender.name, DocumentRequest(names=names, known=known))
