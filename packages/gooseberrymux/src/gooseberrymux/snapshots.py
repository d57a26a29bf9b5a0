"""Current version and shard map of each index, of which a query uses one throughout."""

import dataclasses
import threading

from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.errors import MuxError
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Refusal, RunState

INDEX_PREFIX = "index/"


class SnapshotError(MuxError):
    """An index document is invalid, or redefines a version."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """One version of an index with its shard map.

    Attributes:
        index: Name of the index.
        version: Name of the version.
        shards: Name of the service that serves each shard, by shard name.
        generation: Generation of the document that made the version current. Version
            names have no order: the version with the higher generation is the newer
            one, so that a rollback to an earlier version is a change like any other.
    """

    index: str
    version: str
    shards: dict[str, str]
    generation: int = 0


@service("snapshots", requires=("documents",))
class Snapshots:
    """Keeps the current version of each index, as published in index documents.

    Attributes:
        last_problem: Why the last document that redefined a version was rejected.
    """

    __slots__ = ("_current", "_lock", "last_problem")

    def __init__(self, *, kernel: Kernel):
        documents = kernel.find("documents", Documents)
        documents.watch_prefix(INDEX_PREFIX)
        documents.register_check(INDEX_PREFIX, check_document)
        self._current: dict[str, Snapshot] = {}
        self._lock = threading.Lock()
        self.last_problem: str | None = None
        kernel.subscribe(DocumentChanged, self._handle_document)

    def start(self) -> None:
        """Nothing to start: indexes arrive as documents."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def pin(self, index: str) -> Result[Snapshot, Refusal]:
        """Returns the current version of an index with its shard map.

        The returned object doesn't change, so a query that keeps it sees one version.
        """
        snapshot = self._current.get(index)
        if snapshot is None:
            return Err(
                Refusal(
                    code="no_snapshot",
                    message=f"no version of index {index!r} is known",
                    run_state=RunState.NOT_RUN,
                    step="snapshots.pin",
                )
            )
        return Ok(snapshot)

    def find_newer(self, pinned: Snapshot) -> Snapshot | None:
        """Returns the current version if it replaced the pinned one, else None."""
        current = self._current.get(pinned.index)
        if current is None or current.generation <= pinned.generation:
            return None
        return None if current.version == pinned.version else current

    def list_current(self) -> tuple[Snapshot, ...]:
        """Returns the current version of each index."""
        return tuple(self._current.values())

    def _handle_document(self, event: DocumentChanged) -> None:
        if not event.name.startswith(INDEX_PREFIX):
            return
        index = event.name.removeprefix(INDEX_PREFIX)
        # The document has passed `check_document` before it was published.
        snapshot = decode_snapshot(
            index=index, body=event.body, generation=event.generation
        )
        with self._lock:
            previous = self._current.get(index)
            # Documents are published by several threads and may arrive out of order.
            if previous is not None and previous.generation >= snapshot.generation:
                return
            redefined = (
                previous is not None
                and previous.version == snapshot.version
                and previous.shards != snapshot.shards
            )
            if not redefined:
                self._current[index] = snapshot
        if redefined:
            # The version could not tell apart the replies for the two shard maps.
            error = create_decode_error(
                index, f"version {snapshot.version!r} has another shard map than before"
            )
            self.last_problem = str(error)
            journal.record_fault(step=error.step, peer="platform", error=error)
            return
        journal.record_event(
            "snapshots.current",
            index=index,
            version=snapshot.version,
            shards=len(snapshot.shards),
        )


def check_document(body: dict) -> str | None:
    """Returns why a document is no valid index document, or None if it is one."""
    try:
        decode_snapshot(index="", body=body, generation=0)
    except SnapshotError as error:
        return error.message
    return None


def decode_snapshot(*, index: str, body: dict, generation: int) -> Snapshot:
    """Returns the version that an index document names as the current one.

    Raises:
        SnapshotError: A field of any version is missing or of the wrong type, or the
            current version is not among the versions or has no shards.
    """
    current, versions = body.get("current"), body.get("versions")
    if not isinstance(versions, dict) or not isinstance(current, str):
        raise create_decode_error(
            index, "`versions` must be a mapping and `current` a name"
        )
    for version, shards in versions.items():
        if not isinstance(shards, dict):
            raise create_decode_error(
                index, f"version {version!r}: shards must be a mapping"
            )
        for shard, name in shards.items():
            if not isinstance(shard, str) or not isinstance(name, str):
                raise create_decode_error(
                    index, f"version {version!r}: shards must map to services"
                )
    if not versions.get(current):
        raise create_decode_error(index, f"current version {current!r} has no shards")
    return Snapshot(
        index=index,
        version=current,
        shards=dict(versions[current]),
        generation=generation,
    )


def create_decode_error(index: str, message: str) -> SnapshotError:
    """Returns the error for an index document that is rejected."""
    return SnapshotError(step="snapshots.decode", message=f"{index}: {message}")
