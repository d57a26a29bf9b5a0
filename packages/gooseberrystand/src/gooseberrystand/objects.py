"""Objects of the platform stand-in: versions, conditional updates, watches, lag."""

import dataclasses
import threading
from collections.abc import Callable

from gooseberrymux.clock import Clock

LAGGING_NAME = "instances"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Revision:
    """One version of an object and when reads may see it."""

    version: int
    value: dict
    visible_at_ms: float


class ObjectStore:
    """Objects with versions; each write raises the store's revision."""

    __slots__ = ("_clock", "_objects", "_changed", "_revision", "list_lag_ms", "stale")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        # The newest two visible revisions of each object and all later ones.
        self._objects: dict[str, list[Revision]] = {}
        self._changed = threading.Condition()
        self._revision = 0
        self.list_lag_ms = 0.0
        self.stale = False

    def get(self, name: str) -> dict:
        """Returns an object; version 0 if it does not exist."""
        with self._changed:
            visible = self._list_visible(name)
            if self.stale:
                visible = visible[:-1]
            return describe(name, visible[-1] if visible else None)

    def put(self, *, name: str, value: dict, expected_version: int) -> dict:
        """Writes an object if its version is still the expected one."""
        with self._changed:
            newest = self._get_newest(name)
            if (newest.version if newest else 0) != expected_version:
                return {"conflict": True, **describe(name, newest)}
            return self._write(name, value)

    def edit_instances(self, *, put: list[dict], remove: list[str]) -> dict:
        """Puts and removes records of the instance list, under a new generation.

        A record with a `peer_port` is an instance, any other an upstream.
        """
        with self._changed:
            newest = self._get_newest(LAGGING_NAME)
            value = newest.value if newest else {}
            given = {True: {}, False: {}}
            for record in put:
                given["peer_port" in record][record["name"]] = record
            edited = {
                kind: list(
                    {
                        **{
                            record["name"]: record
                            for record in value.get(kind, [])
                            if record["name"] not in remove
                        },
                        **given[kind == "instances"],
                    }.values()
                )
                for kind in ("upstreams", "instances")
            }
            generation = value.get("generation", 0) + 1
            self._write(LAGGING_NAME, {"generation": generation, **edited})
            return {"generation": generation}

    def list_changed(self, *, prefix: str, after: int) -> dict:
        """Returns objects under a prefix that changed after a revision."""
        with self._changed:
            return self._collect(prefix, after, stale=self.stale)

    def watch(
        self,
        *,
        prefix: str,
        after: int,
        timeout_ms: float,
        is_interrupted: Callable[[], bool],
    ) -> dict:
        """Waits until objects under a prefix changed, or until interrupted."""
        until_ms = self._clock.now_ms() + timeout_ms
        with self._changed:
            while True:
                changes = self._collect(prefix, after, stale=False)
                now_ms = self._clock.now_ms()
                if changes["objects"] or now_ms >= until_ms or is_interrupted():
                    return changes
                wake_ms = min([until_ms, *self._list_hidden_times(prefix)])
                self._clock.wait(self._changed, wake_ms - now_ms)

    def interrupt_watches(self) -> None:
        """Wakes the watches so that they look at faults again."""
        with self._changed:
            self._changed.notify_all()

    def _write(self, name: str, value: dict) -> dict:
        self._revision += 1
        now_ms = self._clock.now_ms()
        lag_ms = self.list_lag_ms if name == LAGGING_NAME else 0.0
        revision = Revision(
            version=self._revision, value=value, visible_at_ms=now_ms + lag_ms
        )
        history = self._objects.setdefault(name, [])
        visible = sum(entry.visible_at_ms <= now_ms for entry in history)
        del history[: max(0, visible - 2)]
        history.append(revision)
        self._changed.notify_all()
        return {"name": name, "version": self._revision}

    def _get_newest(self, name: str) -> Revision | None:
        history = self._objects.get(name)
        return history[-1] if history else None

    def _list_visible(self, name: str) -> list[Revision]:
        now_ms = self._clock.now_ms()
        return [
            entry
            for entry in self._objects.get(name, [])
            if entry.visible_at_ms <= now_ms
        ]

    def _list_hidden_times(self, prefix: str) -> list[float]:
        now_ms = self._clock.now_ms()
        return [
            entry.visible_at_ms
            for name, history in self._objects.items()
            if name.startswith(prefix)
            for entry in history
            if entry.visible_at_ms > now_ms
        ]

    def _collect(self, prefix: str, after: int, *, stale: bool) -> dict:
        revision = self._revision
        objects = []
        for name in sorted(self._objects):
            if not name.startswith(prefix):
                continue
            visible = self._list_visible(name)
            hidden = self._objects[name][len(visible) :]
            if hidden:
                # A watcher that went on from a later revision would miss it.
                revision = min(revision, hidden[0].version - 1)
            shown = visible[:-1] if stale else visible
            if shown and shown[-1].version > after:
                objects.append(describe(name, shown[-1]))
        return {"revision": revision, "objects": objects}


def describe(name: str, revision: Revision | None) -> dict:
    """Returns the JSON form of one version of an object."""
    if revision is None:
        return {"name": name, "version": 0, "value": {}}
    return {"name": name, "version": revision.version, "value": revision.value}
