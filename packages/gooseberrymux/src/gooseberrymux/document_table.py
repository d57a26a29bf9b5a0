"""Which copy of a document is in force, and what two instances send each other.

Copies are ordered by generation and then by content hash. Every instance that has
seen the same copies holds the same one, whatever the order they arrived in.
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

# Digests in one offer: measured with 64 names of 28 letters, it takes 5.6 KB.
OFFER_LIMIT = 64
# Bodies sent for one offer or request; a frame between instances holds 4 MB.
BODIES_LIMIT_BYTES = 1_000_000
# Fleets up to this size are reached by one push; today's have 7 instances.
DIRECT_PEERS = 8
PUSH_FANOUT = 4
EXCHANGE_PEERS = 2
PROBLEM_LIMIT = 64
# A larger change is sent as a whole body. The last ones are kept to bring a peer
# up that is a few generations behind.
DELTA_LIMIT_BYTES = 32_768
DELTAS_KEPT = 32
GENERATION_LIMIT = 2**53
NESTING_LIMIT = 32

Check = Callable[[dict], str | None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The copy is in force now; `fork` names the other content of its generation."""

    fork: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outdated:
    """The copy in force is the same or a higher one."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forked:
    """The copy in force has the same generation and other content, and stays."""

    fork: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The copy can't be used; the one in force stays."""

    reason: str


Verdict = Applied | Outdated | Forked | Rejected


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Comparison:
    """What an instance does about a peer's offer."""

    wanted: list[str]
    sent: list[DocumentBody]
    forks: list[str]


class DocumentTable:
    """The documents in force, the checks that they pass and the known problems."""

    __slots__ = ("_documents", "_deltas", "_problems", "_checks", "_cursor", "_lock")

    def __init__(self):
        self._documents: dict[str, DocumentBody] = {}
        # Each delta applies to what the one before it makes.
        self._deltas: dict[str, list[DocumentDelta]] = {}
        self._problems: dict[str, str] = {}
        self._checks: dict[str, Check] = {}
        self._cursor = 0
        self._lock = threading.Lock()

    def register_check(self, prefix: str, check: Check) -> None:
        """Sets the check that documents under a prefix must pass to be in force.

        Args:
            prefix: Start of the documents' names.
            check: Returns what is wrong with a body, or None.
        """
        self._checks[prefix] = check

    def get(self, name: str) -> DocumentBody | None:
        """Returns the document in force, or None."""
        return self._documents.get(name)

    def list_documents(self) -> list[DocumentBody]:
        """Returns all documents in force, by name."""
        with self._lock:
            return [self._documents[name] for name in sorted(self._documents)]

    def list_problems(self) -> dict[str, str]:
        """Returns the open problem of each document that has one."""
        with self._lock:
            return dict(self._problems)

    def record_problem(self, name: str, problem: str) -> bool:
        """Keeps a problem until its document gets a higher generation.

        Returns:
            Whether it is new, so that a repeated one is logged once.
        """
        with self._lock:
            known = self._problems.get(name)
            if known == problem or (known is None and self._is_full()):
                return False
            self._problems[name] = problem
            return True

    def resolve_problem(self, document: DocumentBody) -> None:
        """Drops the problem of a document if this copy is the one in force."""
        with self._lock:
            known = self._documents.get(document.name)
            if known and order_copy(known) == order_copy(document):
                self._problems.pop(document.name, None)

    def take(
        self, document: DocumentBody, *, delta: DocumentDelta | None = None
    ) -> Verdict:
        """Puts a copy in force if it is higher than the known one.

        Args:
            document: The copy.
            delta: The change by which `apply_delta` has made it, and which has
                checked what is new in it.
        """
        known = self._documents.get(document.name)
        if known and order_copy(document) <= order_copy(known):
            return compare_lower(document, known)
        reason = self._find_fault(document, delta)
        if reason:
            return Rejected(reason=reason)
        with self._lock:
            known = self._documents.get(document.name)
            if known and order_copy(document) <= order_copy(known):
                return compare_lower(document, known)
            self._documents[document.name] = document
            self._keep_delta(known, document, delta)
            if known and known.generation == document.generation:
                return Applied(fork=known.hash)
            self._problems.pop(document.name, None)
            return Applied()

    def list_deltas(self, name: str, base: str | None) -> list[DocumentDelta]:
        """Returns the changes since a copy, or nothing if they are not all kept.

        Args:
            name: The document.
            base: Hash of the copy.
        """
        with self._lock:
            kept = self._deltas.get(name, [])
            for position, delta in enumerate(kept):
                if delta.base == base:
                    return kept[position:]
            return []

    def get_last_delta(self, document: DocumentBody) -> DocumentDelta | None:
        """Returns the change that made a document, if it is small."""
        with self._lock:
            kept = self._deltas.get(document.name)
            return kept[-1] if kept and kept[-1].hash == document.hash else None

    def apply_delta(self, delta: DocumentDelta) -> DocumentBody | None:
        """Returns the document that a delta makes; None if it needs another base."""
        known = self._documents.get(delta.name)
        if known is None or known.hash != delta.base:
            return None
        if find_unportable([step.value for step in delta.steps], depth=0):
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
        """Returns an offer of bounded size; successive ones cover all documents."""
        documents = self.list_documents()
        complete = len(documents) <= OFFER_LIMIT
        if not complete:
            start = self._cursor % len(documents)
            self._cursor = start + OFFER_LIMIT
            documents = (documents + documents)[start : start + OFFER_LIMIT]
        return DocumentOffer(
            digests=[create_digest(document) for document in documents],
            complete=complete,
        )

    def compare_offer(self, offer: DocumentOffer) -> Comparison:
        """Returns what to ask for and what to send on a peer's offer."""
        wanted, lower, forks = [], [], []
        for digest in offer.digests:
            known = self._documents.get(digest.name)
            if known is None or order_copy(digest) > order_copy(known):
                wanted.append(digest.name)
            elif order_copy(digest) < order_copy(known):
                lower.append(known)
            if known and is_fork(digest, known):
                forks.append(digest.name)
        if offer.complete:
            offered = {digest.name for digest in offer.digests}
            lower += [doc for doc in self.list_documents() if doc.name not in offered]
        return Comparison(wanted=wanted, sent=limit_bodies(lower), forks=forks)

    def _keep_delta(
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
        self._deltas[document.name] = [*kept, delta][-DELTAS_KEPT:]

    def _is_full(self) -> bool:
        return len(self._problems) >= PROBLEM_LIMIT

    def _find_fault(
        self, document: DocumentBody, delta: DocumentDelta | None
    ) -> str | None:
        if not 0 < document.generation < GENERATION_LIMIT:
            return f"generation {document.generation} is out of range"
        if delta is None:
            fault = find_unportable(document.body, depth=0)
            if fault:
                return fault
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


def order_copy(copy: DocumentBody | DocumentDigest) -> tuple[int, str]:
    """Returns the key by which copies of one document are ordered.

    Two contents of one generation are a fault outside this program, such as an object
    rewritten in place. The greater hash wins: any rule that is a total order on the
    content lets all instances agree without a message; a rule by time of arrival or
    by source would leave them divided until the next change.
    """
    return (copy.generation, copy.hash)


def is_fork(one: DocumentBody | DocumentDigest, other: DocumentBody) -> bool:
    """Returns whether two copies have the same generation and other content."""
    return one.generation == other.generation and one.hash != other.hash


def compare_lower(document: DocumentBody, known: DocumentBody) -> Verdict:
    """Returns the verdict on a copy that does not replace the known one."""
    if is_fork(document, known):
        return Forked(fork=document.hash)
    return Outdated()


def limit_bodies(documents: Sequence[DocumentBody]) -> list[DocumentBody]:
    """Returns as many documents as fit into one reply, at least one if any."""
    chosen: list[DocumentBody] = []
    size_bytes = 0
    for document in documents:
        size_bytes += measure_body(document.body)
        if chosen and size_bytes > BODIES_LIMIT_BYTES:
            break
        chosen.append(document)
    return chosen


def choose_push_targets(
    *, peers: Sequence[str], source: str, generator: random.Random
) -> list[str]:
    """Returns the peers to push a new document to.

    Each receiver pushes on in turn, so that a change spreads in a logarithmic number
    of rounds; the periodic exchange reaches the few that random choice leaves out.
    """
    others = [peer for peer in peers if peer != source]
    if len(others) <= DIRECT_PEERS:
        return others
    return generator.sample(others, PUSH_FANOUT)


def choose_exchange_targets(
    *, peers: Sequence[str], starting: bool, generator: random.Random
) -> list[str]:
    """Returns the peers of one periodic exchange.

    An instance that still lacks its configuration asks more of them, so that one peer
    that is behind does not decide what it starts with.
    """
    count = DIRECT_PEERS if starting else EXCHANGE_PEERS
    return generator.sample(list(peers), min(count, len(peers)))


def find_unportable(value: object, *, depth: int) -> str | None:
    """Returns why a value can't travel between instances, or None.

    JSON allows integers beyond 64 bits and unpaired surrogates; the peer format does
    not, and a body that can't be encoded would fail in the thread of every link.
    """
    if depth > NESTING_LIMIT:
        return "nested too deeply"
    match value:
        case None | bool():
            return None
        case int():
            return None if -(2**63) <= value < 2**63 else "integer beyond 64 bits"
        case float():
            return None if math.isfinite(value) else "number is not finite"
        case str():
            return None if is_text(value) else "text with an unpaired surrogate"
        case list():
            parts = value
        case dict():
            if not all(isinstance(key, str) and is_text(key) for key in value):
                return "key is not a text"
            parts = value.values()
        case _:
            return f"value of type {type(value).__name__}"
    for part in parts:
        fault = find_unportable(part, depth=depth + 1)
        if fault:
            return fault
    return None


def is_text(value: str) -> bool:
    """Returns whether a string can be encoded as UTF-8."""
    return value.isascii() or not any("\ud800" <= char <= "\udfff" for char in value)


def hash_body(body: dict) -> str:
    """Returns the content hash of a document's body."""
    return hashlib.blake2b(encode_body(body), digest_size=16).hexdigest()


def encode_body(body: dict | list) -> bytes:
    """Returns a body as compact JSON with its fields in order."""
    try:
        return msgspec.json.encode(body, order="sorted")
    except (OverflowError, UnicodeEncodeError):
        # No other instance takes such a body (`find_unportable`), but it has to be
        # named in the report.
        return json.dumps(body, sort_keys=True, separators=(",", ":")).encode()


def measure_body(body: dict | list) -> int:
    """Returns the size of a body in bytes, as compact JSON."""
    return len(json.dumps(body, separators=(",", ":")))
