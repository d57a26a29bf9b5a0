"""Index versions and shard maps: what a query pins for its whole life."""

import dataclasses

from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.documents import DocumentChanged, Documents
from gooseberrymux.errors import MuxError
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import Refusal, RunState

INDEX_PREFIX = "index/"


class SnapshotError(MuxError):
    """An index document does not decode."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """One version of an index.

    Attributes:
        index: The index.
        version: The version.
        shards: Service that serves each shard, by shard name.
    """

    index: str
    version: str
    shards: dict[str, str]


@service("snapshots", requires=("documents",))
class Snapshots:
    """Holds the current version of each index."""

    __slots__ = ("_current", "last_problem")

    def __init__(self, *, kernel: Kernel):
        kernel.find("documents", Documents)
        self._current: dict[str, Snapshot] = {}
        self.last_problem: str | None = None
        kernel.subscribe(DocumentChanged, self._handle_document)

    def start(self) -> None:
        """Nothing to start: indexes arrive as documents."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Nothing to stop."""

    def pin(self, index: str) -> Result[Snapshot, Refusal]:
        """Returns the current version of an index with its shard map."""
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

    def list_current(self) -> tuple[Snapshot, ...]:
        """Returns the current version of each index."""
        return tuple(self._current.values())

    def _handle_document(self, event: DocumentChanged) -> None:
        if not event.name.startswith(INDEX_PREFIX):
            return
        index = event.name.removeprefix(INDEX_PREFIX)
        try:
            snapshot = decode_snapshot(index=index, body=event.body)
        except SnapshotError as error:
            # The last good version stays in force.
            self.last_problem = str(error)
            journal.record_fault(step="snapshots.decode", peer="platform", error=error)
            return
        self._current[index] = snapshot


def decode_snapshot(*, index: str, body: dict) -> Snapshot:
    """Returns the current version that an index document names.

    Raises:
        SnapshotError: A field is missing or of the wrong type.
    """
    try:
        version = body["current"]
        shards = body["versions"][version]
        valid = isinstance(version, str) and all(
            isinstance(shard, str) and isinstance(name, str)
            for shard, name in shards.items()
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise SnapshotError(
            step="snapshots.decode", message=f"{index}: {error!r}"
        ) from error
    if not valid:
        raise SnapshotError(
            step="snapshots.decode", message=f"{index}: shards must map to services"
        )
    return Snapshot(index=index, version=version, shards=dict(shards))
