"""Replicated read-only copies of platform objects; the highest generation wins.

A few instances watch the platform. All others learn from peers by push and by
periodic exchange, because each waiting watch counts as a call to the platform.
"""

import dataclasses
import hashlib
import json
import threading

from result import Err, Ok

from gooseberrymux import journal, metrics
from gooseberrymux.errors import MuxError
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import Membership
from gooseberrymux.messages import (
    DocumentBody,
    DocumentDigest,
    DocumentOffer,
    DocumentRequest,
)
from gooseberrymux.ownership import rank_members
from gooseberrymux.peers import Peers
from gooseberrymux.platform import Platform, PlatformObject
from gooseberrymux.records import InstanceIdentity

WATCHED_PREFIXES = ("configuration/", "index/", "instances")
WATCH_KEY = "documents/watch"
RETRY_MS = 250


class DocumentError(MuxError):
    """A document does not decode or its hash is wrong."""


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
        "_documents",
        "_lock",
        "_changed",
        "_stopping",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._platform = kernel.find("platform", Platform)
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._documents: dict[str, DocumentBody] = {}
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._stopping = False
        self._peers.register(DocumentOffer, self._handle_offer)
        self._peers.register(DocumentRequest, self._handle_request)
        self._peers.register(DocumentBody, self._handle_body)

    def start(self) -> None:
        """Starts one thread for each watched prefix and one for the exchange."""
        for prefix in WATCHED_PREFIXES:
            self._kernel.spawn(
                name=f"documents.watch.{prefix}",
                target=lambda prefix=prefix: self._watch(prefix),
            )
        self._kernel.spawn(name="documents.exchange", target=self._exchange)

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Wakes the threads so that they end."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def get(self, name: str) -> DocumentBody | None:
        """Returns the document in force, or None."""
        return self._documents.get(name)

    def list_digests(self) -> list[DocumentDigest]:
        """Returns name, generation and hash of each document in force."""
        with self._lock:
            return [
                DocumentDigest(name=doc.name, generation=doc.generation, hash=doc.hash)
                for doc in self._documents.values()
            ]

    def offer(self, document: DocumentBody, *, source: str) -> bool:
        """Puts a document in force if its generation is higher than the known one.

        Returns:
            Whether it was put in force.
        """
        with self._changed:
            known = self._documents.get(document.name)
            if known and document.generation <= known.generation:
                return False
            self._documents[document.name] = document
            self._changed.notify_all()
        metrics.generation.set({"document": document.name}, document.generation)
        journal.record_event(
            "documents.applied",
            document=document.name,
            generation=document.generation,
            source=source,
        )
        self._kernel.publish(
            DocumentChanged(
                name=document.name, generation=document.generation, body=document.body
            )
        )
        for name in self._peers.list_connected():
            if name != source:
                self._peers.send(name, document)
        return True

    def _watch(self, prefix: str) -> None:
        revision = 0
        while not self._stopping:
            if not self._is_watcher() and revision:
                self._pause(self._kernel.settings.membership.exchange_period_ms)
                continue
            match self._platform.watch(prefix=prefix, revision=revision):
                case Ok(changes):
                    revision = changes.revision
                    for found in changes.objects:
                        self._take(found)
                case Err(error):
                    journal.record_fault(
                        step="documents.watch", peer="platform", error=error
                    )
                    self._pause(RETRY_MS)

    def _is_watcher(self) -> bool:
        members = self._membership.list_live()
        watchers = rank_members(
            key=WATCH_KEY,
            members=members,
            count=self._kernel.settings.platform.watchers,
        )
        return self._peers.identity.name in {member.name for member in watchers}

    def _take(self, found: PlatformObject) -> None:
        generation = found.value.get("generation")
        if not isinstance(generation, int):
            journal.record_event(
                "documents.rejected", document=found.name, reason="no generation"
            )
            return
        self.offer(
            DocumentBody(
                name=found.name,
                generation=generation,
                hash=hash_body(found.value),
                body=found.value,
            ),
            source="platform",
        )

    def _exchange(self) -> None:
        while not self._stopping:
            self._pause(self._kernel.settings.membership.exchange_period_ms)
            offer = DocumentOffer(digests=self.list_digests())
            for name in self._peers.list_connected():
                self._peers.send(name, offer)

    def _pause(self, duration_ms: float) -> None:
        with self._changed:
            if not self._stopping:
                self._kernel.clock.wait(self._changed, duration_ms)

    def _handle_offer(self, sender: InstanceIdentity, offer: DocumentOffer) -> None:
        wanted = []
        for digest in offer.digests:
            known = self._documents.get(digest.name)
            if known is None or known.generation < digest.generation:
                wanted.append(digest.name)
        if wanted:
            self._peers.send(sender.name, DocumentRequest(names=wanted))

    def _handle_request(self, sender: InstanceIdentity, asked: DocumentRequest) -> None:
        for name in asked.names:
            document = self._documents.get(name)
            if document:
                self._peers.send(sender.name, document)

    def _handle_body(self, sender: InstanceIdentity, document: DocumentBody) -> None:
        if hash_body(document.body) != document.hash:
            raise DocumentError(
                step="documents.receive",
                peer=sender.name,
                message=f"{document.name}: content does not match its hash",
            )
        self.offer(document, source=sender.name)


def hash_body(body: dict) -> str:
    """Returns the content hash of a document's body."""
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
