"""Selects the current copy of each document and compares copies with a peer's offer.

Copies are ordered by generation and then by content hash. Instances that have received
the same copies select the same one, whatever the order in which the copies arrived.
"""

import dataclasses
import hashlib
import json
import math
import random
import threading
from collections.abc import Callable, Sequence

import msgspec
from result import Ok

from gooseberrymux.deltas import apply_steps, create_steps
from gooseberrymux.messages import (
    DocumentBody,
    DocumentDelta,
    DocumentDigest,
    DocumentOffer,
)

# An offer of 64 documents with names of 28 letters takes 5.6 KB.
OFFER_LIMIT_DIGESTS = 64
# Total size of the bodies that answer one offer or request; a frame between instances
# holds 4 MB.
REPLY_BODIES_LIMIT_BYTES = 1_000_000
# Up to this many peers all receive a push directly; fleets in use have 7 instances. An
# instance that lacks its configuration also exchanges with this many peers.
DIRECT_PEERS_LIMIT = 8
# Peers per push in a larger fleet.
PUSH_FANOUT = 4
# Peers per periodic exchange.
EXCHANGE_PEERS = 2
# Documents with a recorded problem at the same time.
PROBLEMS_LIMIT = 64
# A change whose delta is larger is sent as a whole body.
DELTA_LIMIT_BYTES = 32_768
# The last deltas of each document are kept to update a peer that is a few generations
# behind.
DELTAS_KEPT_LIMIT = 32
# Exclusive bound; smaller integers are exact as 64-bit floats.
GENERATION_LIMIT = 2**53
NESTING_DEPTH_LIMIT = 32

# Returns what is wrong with a body, or None.
BodyCheck = Callable[[dict], str | None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The copy is the current document now.

    Attributes:
        losing_hash: Hash of the replaced copy if its generation was the same, else
            empty.
    """

    losing_hash: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outdated:
    """The current copy is the same or a newer one, and stays."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HashConflict:
    """The current copy has the same generation but other content, and stays.

    Attributes:
        losing_hash: Hash of the copy that was not applied.
    """

    losing_hash: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The copy is invalid; the current copy stays."""

    reason: str


ApplyResult = Applied | Outdated | HashConflict | Rejected


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OfferComparison:
    """How to answer a peer's offer.

    Attributes:
        names_to_request: Documents of which the peer has a newer copy.
        documents_to_send: Documents of which the peer has an older copy or none.
        conflicting_names: Documents whose generations are equal and contents differ.
    """

    names_to_request: list[str]
    documents_to_send: list[DocumentBody]
    conflicting_names: list[str]


class DocumentTable:
    """The current documents, their checks, recent deltas and unresolved problems.

    Several threads may apply copies at the same time.
    """

    __slots__ = (
        "_documents",
        "_deltas",
        "_problems",
        "_checks",
        "_offer_start",
        "_lock",
    )

    def __init__(self):
        self._documents: dict[str, DocumentBody] = {}
        # Oldest first; each delta applies to the result of the one before it.
        self._deltas: dict[str, list[DocumentDelta]] = {}
        self._problems: dict[str, str] = {}
        self._checks: dict[str, BodyCheck] = {}
        self._offer_start = 0
        self._lock = threading.Lock()

    def register_check(self, prefix: str, check: BodyCheck) -> None:
        """Sets the check that documents under a prefix must pass to be applied.

        Args:
            prefix: Prefix of the documents' names.
            check: Returns what is wrong with a body, or None.
        """
        self._checks[prefix] = check

    def get(self, name: str) -> DocumentBody | None:
        """Returns the current document, or None."""
        return self._documents.get(name)

    def list_documents(self) -> list[DocumentBody]:
        """Returns all current documents, sorted by name."""
        with self._lock:
            return [self._documents[name] for name in sorted(self._documents)]

    def list_problems(self) -> dict[str, str]:
        """Returns the unresolved problem of each document that has one."""
        with self._lock:
            return dict(self._problems)

    def record_problem(self, name: str, problem: str) -> bool:
        """Records a problem until its document gets a higher generation.

        Returns:
            Whether the problem was recorded as a new one. The caller logs only these,
            so that a repeated problem is logged once.
        """
        with self._lock:
            known = self._problems.get(name)
            if known == problem or (known is None and self._has_max_problems()):
                return False
            self._problems[name] = problem
            return True

    def resolve_problem(self, document: DocumentBody) -> None:
        """Deletes the problem of a document if this copy is the current one."""
        with self._lock:
            known = self._documents.get(document.name)
            if known and get_sort_key(known) == get_sort_key(document):
                self._problems.pop(document.name, None)

    def apply_if_newer(
        self, document: DocumentBody, *, delta: DocumentDelta | None = None
    ) -> ApplyResult:
        """Makes a valid copy the current document if it is newer.

        Args:
            document: The copy.
            delta: The delta from which `apply_delta` built the copy, if any. Hash and
                new values were then checked there and are not checked again.
        """
        known = self._documents.get(document.name)
        if known and get_sort_key(document) <= get_sort_key(known):
            return classify_unapplied(document, known)
        reason = self._find_problem(document, delta)
        if reason:
            return Rejected(reason=reason)
        with self._lock:
            known = self._documents.get(document.name)
            if known and get_sort_key(document) <= get_sort_key(known):
                return classify_unapplied(document, known)
            self._documents[document.name] = document
            self._record_delta(known, document, delta)
            if known and known.generation == document.generation:
                return Applied(losing_hash=known.hash)
            self._problems.pop(document.name, None)
            return Applied()

    def list_deltas(self, name: str, base: str | None) -> list[DocumentDelta]:
        """Returns the deltas from an older copy to the current document.

        Args:
            name: Name of the document.
            base: Hash of the older copy; the list is empty if a delta from this copy is
                not kept.
        """
        with self._lock:
            kept = self._deltas.get(name, [])
            for position, delta in enumerate(kept):
                if delta.base == base:
                    return kept[position:]
            return []

    def get_last_delta(self, document: DocumentBody) -> DocumentDelta | None:
        """Returns the delta that produced a document, or None if it is not kept."""
        with self._lock:
            kept = self._deltas.get(document.name)
            return kept[-1] if kept and kept[-1].hash == document.hash else None

    def apply_delta(self, delta: DocumentDelta) -> DocumentBody | None:
        """Returns the document that a delta produces from the current one.

        The current document stays. Returns None if the delta has another base, can't
        be applied or encoded, or does not produce its hash.
        """
        known = self._documents.get(delta.name)
        if known is None or known.hash != delta.base:
            return None
        if find_encoding_problem([step.value for step in delta.steps], depth=0):
            return None
        match apply_steps(known.body, delta.steps):
            case Ok(body) if hash_body(body) == delta.hash:
                return DocumentBody(
                    name=delta.name,
                    generation=delta.generation,
                    hash=delta.hash,
                    body=body,
                )
        return None

    def create_offer(self) -> DocumentOffer:
        """Returns an offer of bounded size; successive offers cover all documents."""
        documents = self.list_documents()
        complete = len(documents) <= OFFER_LIMIT_DIGESTS
        if not complete:
            start = self._offer_start % len(documents)
            self._offer_start = start + OFFER_LIMIT_DIGESTS
            documents = (documents + documents)[start : start + OFFER_LIMIT_DIGESTS]
        return DocumentOffer(
            digests=[create_digest(document) for document in documents],
            complete=complete,
        )

    def find_newer(self, digests: Sequence[DocumentDigest]) -> list[str]:
        """Returns the names of the digests that are newer than the current copy."""
        return [digest.name for digest in digests if self._is_newer(digest)]

    def _is_newer(self, digest: DocumentDigest) -> bool:
        known = self._documents.get(digest.name)
        return known is None or get_sort_key(digest) > get_sort_key(known)

    def compare_offer(self, offer: DocumentOffer) -> OfferComparison:
        """Returns which documents to request and to send in answer to an offer."""
        names_to_request, documents_to_send, conflicting_names = [], [], []
        for digest in offer.digests:
            known = self._documents.get(digest.name)
            if self._is_newer(digest):
                names_to_request.append(digest.name)
            elif get_sort_key(digest) < get_sort_key(known):
                documents_to_send.append(known)
            if known and is_conflict(digest, known):
                conflicting_names.append(digest.name)
        if offer.complete:
            offered = {digest.name for digest in offer.digests}
            documents_to_send += [
                document
                for document in self.list_documents()
                if document.name not in offered
            ]
        return OfferComparison(
            names_to_request=names_to_request,
            documents_to_send=limit_bodies(documents_to_send),
            conflicting_names=conflicting_names,
        )

    def _record_delta(
        self,
        known: DocumentBody | None,
        document: DocumentBody,
        delta: DocumentDelta | None,
    ) -> None:
        if known is None:
            return
        if delta is None or delta.base != known.hash:
            delta = DocumentDelta(
                name=document.name,
                base=known.hash,
                generation=document.generation,
                hash=document.hash,
                steps=create_steps(known.body, document.body),
            )
        size_bytes = len(encode_body(delta.steps))
        if size_bytes > min(DELTA_LIMIT_BYTES, len(encode_body(document.body))):
            self._deltas.pop(document.name, None)
            return
        kept = self._deltas.get(document.name, [])
        self._deltas[document.name] = [*kept, delta][-DELTAS_KEPT_LIMIT:]

    def _has_max_problems(self) -> bool:
        return len(self._problems) >= PROBLEMS_LIMIT

    def _find_problem(
        self, document: DocumentBody, delta: DocumentDelta | None
    ) -> str | None:
        if not 0 < document.generation < GENERATION_LIMIT:
            return f"generation {document.generation} is out of range"
        if delta is None:
            problem = find_encoding_problem(document.body, depth=0)
            if problem:
                return problem
            if hash_body(document.body) != document.hash:
                return "content does not match its hash"
        for prefix, check in self._checks.items():
            if document.name.startswith(prefix):
                return check(document.body)
        return None


def create_digest(document: DocumentBody) -> DocumentDigest:
    """Returns name, generation and hash of a document."""
    return DocumentDigest(
        name=document.name, generation=document.generation, hash=document.hash
    )


def get_sort_key(copy: DocumentBody | DocumentDigest) -> tuple[int, str]:
    """Returns the key by which copies of one document are ordered.

    Two contents of one generation have a cause outside this program, such as an object
    rewritten in place. The greater hash wins: with any total order on the content all
    instances agree without a message, whereas a rule by time of arrival or by source
    would let them keep different contents until the next change.
    """
    return (copy.generation, copy.hash)


def is_conflict(copy: DocumentBody | DocumentDigest, known: DocumentBody) -> bool:
    """Returns whether two copies have the same generation but different content."""
    return copy.generation == known.generation and copy.hash != known.hash


def classify_unapplied(document: DocumentBody, known: DocumentBody) -> ApplyResult:
    """Returns why a copy that is not newer does not replace the known one."""
    if is_conflict(document, known):
        return HashConflict(losing_hash=document.hash)
    return Outdated()


def limit_bodies(documents: Sequence[DocumentBody]) -> list[DocumentBody]:
    """Returns the first documents that fit into one reply, at least one if any."""
    chosen: list[DocumentBody] = []
    size_bytes = 0
    for document in documents:
        size_bytes += measure_body(document.body)
        if chosen and size_bytes > REPLY_BODIES_LIMIT_BYTES:
            break
        chosen.append(document)
    return chosen


def choose_push_targets(
    *, peers: Sequence[str], source: str, generator: random.Random
) -> list[str]:
    """Returns the peers to push a new document to: all, or a sample of a large fleet.

    Each receiver pushes the document to its own targets, so that a change spreads in a
    logarithmic number of rounds; the periodic exchange reaches the few peers that the
    random choice leaves out.
    """
    others = [peer for peer in peers if peer != source]
    if len(others) <= DIRECT_PEERS_LIMIT:
        return others
    return generator.sample(others, PUSH_FANOUT)


def choose_exchange_targets(
    *, peers: Sequence[str], starting: bool, generator: random.Random
) -> list[str]:
    """Returns the peers of one periodic exchange, chosen at random.

    An instance that still lacks a required document (`starting`) contacts more peers,
    so that it does not start with the old copy of a single peer that is behind.
    """
    count = DIRECT_PEERS_LIMIT if starting else EXCHANGE_PEERS
    return generator.sample(list(peers), min(count, len(peers)))


def find_encoding_problem(value: object, *, depth: int) -> str | None:
    """Returns why a value can't be encoded for peers, or None.

    JSON allows integers beyond 64 bits and unpaired surrogates; the encoding between
    instances does not, and a body that can't be encoded would raise an error in the
    thread of every link.

    Args:
        value: A decoded JSON value.
        depth: Nesting depth at which the value stands in the body; 0 for the body.
    """
    if depth > NESTING_DEPTH_LIMIT:
        return "nested too deeply"
    match value:
        case None | bool():
            return None
        case int():
            return None if -(2**63) <= value < 2**63 else "integer beyond 64 bits"
        case float():
            return None if math.isfinite(value) else "number is not finite"
        case str():
            return (
                None
                if is_utf8_encodable(value)
                else "string with an unpaired surrogate"
            )
        case list():
            children = value
        case dict():
            if not all(
                isinstance(key, str) and is_utf8_encodable(key) for key in value
            ):
                return "key is not a string or has an unpaired surrogate"
            children = value.values()
        case _:
            return f"value of type {type(value).__name__}"
    for child in children:
        problem = find_encoding_problem(child, depth=depth + 1)
        if problem:
            return problem
    return None


def is_utf8_encodable(value: str) -> bool:
    """Returns whether a string can be encoded as UTF-8."""
    return value.isascii() or not any("\ud800" <= char <= "\udfff" for char in value)


def hash_body(body: dict) -> str:
    """Returns the content hash of a body, in hexadecimal; field order is ignored."""
    return hashlib.blake2b(encode_body(body), digest_size=16).hexdigest()


def encode_body(body: dict | list) -> bytes:
    """Returns a body as compact JSON with sorted fields."""
    try:
        return msgspec.json.encode(body, order="sorted")
    except (OverflowError, UnicodeEncodeError):
        # `find_encoding_problem` rejects such a body, but the body still needs a hash
        # to be reported as a problem.
        return json.dumps(body, sort_keys=True, separators=(",", ":")).encode()


def measure_body(body: dict | list) -> int:
    """Returns the size of a body in bytes, as compact ASCII JSON."""
    return len(json.dumps(body, separators=(",", ":")))
