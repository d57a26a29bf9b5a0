"""Objects of the platform stand-in: versions, conditional writes, watches, lag."""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux.clock import Clock

INSTANCE_LIST_NAME = "instances"
# Copies of the state that are kept, one for each write, to go back to.
COPIES_LIMIT = 1_000


class RevisionGoneError(Exception):
    """A watch starts from a revision that the store does not have."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """The state of the store after a write at `written_at_ms` of its clock."""

    written_at_ms: float
    revision: int
    objects: dict[str, tuple["ObjectVersion", ...]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectVersion:
    """One version of an object.

    Reads and watches see the version from `visible_at_ms` of the store's clock on.
    """

    version: int
    value: dict
    visible_at_ms: float


class ObjectStore:
    """Objects with versions, kept in memory; safe for use by several threads.

    Each write raises the store's revision by one, and the new revision is the version
    of the written object.

    Attributes:
        era: How often the store has gone back to an earlier state.
        list_lag_ms: Delay in milliseconds until a new version of the instance list
            becomes visible.
        stale_reads: Whether `get` and `list_changed` return the version before the
            newest visible one.
    """

    __slots__ = (
        "_clock",
        "_objects",
        "_changed",
        "_revision",
        "_copies",
        "era",
        "list_lag_ms",
        "stale_reads",
    )

    def __init__(self, *, clock: Clock):
        self._clock = clock
        # Versions of each object, oldest first. A write drops all visible ones but the
        # newest two; stale reads return the one before the newest.
        self._objects: dict[str, list[ObjectVersion]] = {}
        self._changed = threading.Condition()
        self._revision = 0
        self._copies: list[StoreCopy] = []
        self.era = 0
        self.list_lag_ms = 0.0
        self.stale_reads = False

    def get(self, name: str) -> dict:
        """Returns an object, with version 0 if no version of it is visible."""
        with self._changed:
            visible = self._list_visible(name)
            if self.stale_reads:
                visible = visible[:-1]
            return encode_object(name, visible[-1] if visible else None)

    def put(self, *, name: str, value: dict, expected_version: int) -> dict:
        """Writes an object if its version is the expected one, else returns a conflict.

        The newest version counts, visible or not; 0 stands for no object.
        """
        with self._changed:
            newest = self._get_newest(name)
            if (newest.version if newest else 0) != expected_version:
                return {"conflict": True, **encode_object(name, newest)}
            return self._write(name, value)

    def edit_instances(self, *, put: list[dict], remove: list[str]) -> dict:
        """Sets and removes records of the instance list and raises its generation.

        A record with a `peer_port` describes an instance, any other an upstream.
        """
        with self._changed:
            newest = self._get_newest(INSTANCE_LIST_NAME)
            value = newest.value if newest else {}
            put_records = {True: {}, False: {}}
            for record in put:
                put_records["peer_port" in record][record["name"]] = record
            edited = {
                kind: list(
                    {
                        **{
                            record["name"]: record
                            for record in value.get(kind, [])
                            if record["name"] not in remove
                        },
                        **put_records[kind == "instances"],
                    }.values()
                )
                for kind in ("upstreams", "instances")
            }
            generation = value.get("generation", 0) + 1
            self._write(INSTANCE_LIST_NAME, {"generation": generation, **edited})
            return {"generation": generation}

    def list_changed(self, *, prefix: str, after: int) -> dict:
        """Returns objects under a prefix that changed after a revision.

        The `revision` of the result is the one to continue from.
        """
        with self._changed:
            return self._collect_changes(prefix, after, stale=self.stale_reads)

    def watch(
        self,
        *,
        prefix: str,
        after: int,
        timeout_ms: float,
        is_interrupted: Callable[[], bool],
    ) -> dict:
        """Waits until objects under a prefix have changed after a revision.

        Returns the changes, or none after `timeout_ms` or once `is_interrupted` is true
        when the watch wakes. `is_interrupted` is called with the lock held.

        Raises:
            RevisionGoneError: The store has gone back to before `after`.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            while True:
                if after > self._revision:
                    raise RevisionGoneError(f"revision {after}")
                changes = self._collect_changes(prefix, after, stale=False)
                now_ms = self._clock.now_ms()
                if changes["objects"] or now_ms >= deadline_ms or is_interrupted():
                    return changes
                wake_ms = min([deadline_ms, *self._list_visibility_times(prefix)])
                self._clock.wait(self._changed, wake_ms - now_ms)

    def restore(self, *, age_ms: float) -> None:
        """Goes back to the state of `age_ms` ago; later writes are lost.

        The revision goes back too and is given out again; the era rises by one.
        """
        until_ms = self._clock.now_ms() - age_ms
        with self._changed:
            self._copies = [c for c in self._copies if c.written_at_ms <= until_ms]
            self._objects, self._revision = {}, 0
            if self._copies:
                copy = self._copies[-1]
                self._revision = copy.revision
                self._objects = {
                    name: list(history) for name, history in copy.objects.items()
                }
            self.era += 1
            self._changed.notify_all()

    def interrupt_watches(self) -> None:
        """Wakes all watches, so that each calls its `is_interrupted` again."""
        with self._changed:
            self._changed.notify_all()

    def _write(self, name: str, value: dict) -> dict:
        self._revision += 1
        now_ms = self._clock.now_ms()
        lag_ms = self.list_lag_ms if name == INSTANCE_LIST_NAME else 0.0
        written = ObjectVersion(
            version=self._revision, value=value, visible_at_ms=now_ms + lag_ms
        )
        history = self._objects.setdefault(name, [])
        visible = sum(entry.visible_at_ms <= now_ms for entry in history)
        del history[: max(0, visible - 2)]
        history.append(written)
        self._keep_copy(now_ms)
        self._changed.notify_all()
        return {"name": name, "version": self._revision}

    def _keep_copy(self, now_ms: float) -> None:
        copy = StoreCopy(
            written_at_ms=now_ms,
            revision=self._revision,
            objects={name: tuple(found) for name, found in self._objects.items()},
        )
        self._copies = [*self._copies, copy][-COPIES_LIMIT:]

    def _get_newest(self, name: str) -> ObjectVersion | None:
        history = self._objects.get(name)
        return history[-1] if history else None

    def _list_visible(self, name: str) -> list[ObjectVersion]:
        now_ms = self._clock.now_ms()
        return [
            entry
            for entry in self._objects.get(name, [])
            if entry.visible_at_ms <= now_ms
        ]

    def _list_visibility_times(self, prefix: str) -> list[float]:
        now_ms = self._clock.now_ms()
        return [
            entry.visible_at_ms
            for name, history in self._objects.items()
            if name.startswith(prefix)
            for entry in history
            if entry.visible_at_ms > now_ms
        ]

    def _collect_changes(self, prefix: str, after: int, *, stale: bool) -> dict:
        revision = self._revision
        objects = []
        for name in sorted(self._objects):
            if not name.startswith(prefix):
                continue
            visible = self._list_visible(name)
            hidden = self._objects[name][len(visible) :]
            if hidden:
                # A watch that continued from a later revision would miss the write.
                revision = min(revision, hidden[0].version - 1)
            shown = visible[:-1] if stale else visible
            if shown and shown[-1].version > after:
                objects.append(encode_object(name, shown[-1]))
        return {"revision": revision, "objects": objects}


def encode_object(name: str, shown: ObjectVersion | None) -> dict:
    """Returns the JSON form of an object; None stands for an object that is absent."""
    if shown is None:
        return {"name": name, "version": 0, "value": {}}
    return {"name": name, "version": shown.version, "value": shown.value}
