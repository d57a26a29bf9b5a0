"""Fake of the users' object store: objects by kind, watches and faults.

The fake implements the HTTP protocol that the users publish for their platform.
"""

import dataclasses
import threading

from gooseberrymux.clock import Clock
from gooseberrystand.server import (
    Call,
    JsonReply,
    Listener,
    NoReply,
    Reply,
    create_error,
)

ERA_HEADER = "Store-Era"
OBJECTS_PREFIX = "/-/objects/"
PAGE_SIZE = 50
MAX_WAIT_MS = 30_000


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults that the store shows at present.

    Attributes:
        status: HTTP status that every call is refused with; 0 for none.
        silent: Calls get no response until the fault ends.
        loses_replies: Writes take effect, but their connection is closed without a
            response.
    """

    status: int = 0
    silent: bool = False
    loses_replies: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreEvent:
    """One write or removal in the store's history."""

    revision: int
    kind: str
    item: dict
    is_deleted: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """A copy of the store's state, from which it can be restored."""

    objects: dict[tuple[str, str], dict]
    events: list[StoreEvent]
    revision: int


class FakeStore:
    """HTTP server of objects that share one revision counter and a history.

    Attributes:
        faults: Faults in force.
        calls: All calls so far.
        era: How often the store was restored from a copy; named in all answers.
    """

    __slots__ = (
        "faults",
        "calls",
        "era",
        "_clock",
        "_objects",
        "_events",
        "_revision",
        "_oldest_revision",
        "_changed",
        "_listener",
    )

    def __init__(self):
        self.faults = StoreFaults()
        self.calls: list[Call] = []
        self.era = 0
        self._clock = Clock()
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: list[StoreEvent] = []
        self._revision = 1
        # Oldest revision that a watch can start from.
        self._oldest_revision = 0
        self._changed = threading.Condition()
        self._listener = Listener(port=0, application=self)
        self._listener.start()

    @property
    def port(self) -> int:
        """Port of the listener."""
        return self._listener.server_address[1]

    def close(self) -> None:
        """Closes the listener."""
        self._listener.server_close()

    def write(self, kind: str, name: str, spec: object) -> int:
        """Creates or replaces an object and returns the revision after the write."""
        with self._changed:
            existing = self._objects.get((kind, name))
            return self._put(kind, name, existing, spec)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object; does nothing if there is no such object."""
        with self._changed:
            self._remove(kind, name)

    def mark_deleting(self, kind: str, name: str) -> None:
        """Starts the deletion of an object that a finalizer keeps until `remove`."""
        with self._changed:
            item = self._objects[kind, name]
            self._revision += 1
            meta = {"revision": self._revision, "finalizers": ["f"], "deleting": True}
            item = {**item, "meta": {**item["meta"], **meta}}
            self._objects[kind, name] = item
            self._append_event(kind, item, is_deleted=False)

    def list_names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        with self._changed:
            return [name for found, name in self._objects if found == kind]

    def set_faults(self, **faults: object) -> None:
        """Replaces all faults; waiting calls check the new ones at once."""
        with self._changed:
            self.faults = StoreFaults(**faults)
            self._changed.notify_all()

    def drop_history(self) -> None:
        """Drops the history, so that watches from an older revision get a 410."""
        with self._changed:
            self._events.clear()
            self._oldest_revision = self._revision
            self._changed.notify_all()

    def take_copy(self) -> StoreCopy:
        """Returns a copy of the present state."""
        with self._changed:
            return StoreCopy(
                objects=dict(self._objects),
                events=list(self._events),
                revision=self._revision,
            )

    def restore(self, copy: StoreCopy) -> None:
        """Goes back to a copy; revisions since are given out again."""
        with self._changed:
            self._objects = dict(copy.objects)
            self._events = list(copy.events)
            self._revision = copy.revision
            self.era += 1
            self._changed.notify_all()

    # Methods that `Listener` calls.

    def accept_connection(self) -> bool:
        """Accepts every connection."""
        return True

    def prepare_connection(self) -> None:
        """Does nothing."""

    def release_connection(self) -> None:
        """Does nothing: connections are not counted."""

    def handle_control(self, call: Call) -> Reply:
        """Returns a 404: tests control the store through its methods, not over HTTP."""
        return create_error(404, "not_found", call.path)

    def handle(self, call: Call) -> Reply:
        """Handles a call of the object API, unless a fault is set."""
        match self._handle_call(call):
            case JsonReply(headers=headers) as reply:
                headers = {**headers, ERA_HEADER: str(self.era)}
                return dataclasses.replace(reply, headers=headers)
            case reply:
                return reply

    def _handle_call(self, call: Call) -> Reply:
        self.calls.append(call)
        with self._changed:
            while self.faults.silent:
                self._clock.wait(self._changed, None)
            if self.faults.status:
                return create_error(self.faults.status, "refused", "by fault")
            if not call.path.startswith(OBJECTS_PREFIX):
                return create_error(404, "not_found", call.path)
            kind, _, name = call.path.removeprefix(OBJECTS_PREFIX).partition("/")
            if call.method == "GET":
                return self._handle_read(call, kind, name)
            reply = self._handle_write(call, kind, name)
            return NoReply() if self.faults.loses_replies else reply

    def _handle_read(self, call: Call, kind: str, name: str) -> Reply:
        if name:
            found = self._objects.get((kind, name))
            if found is None:
                return create_error(404, "not_found", name)
            return JsonReply(body=found)
        if "watch" in call.query_parameters:
            return self._handle_watch(call, kind)
        after = call.query_parameters.get("after", "")
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, found] for found in names[:PAGE_SIZE]]
        return JsonReply(
            body={
                "items": items,
                "hasMore": len(names) > PAGE_SIZE,
                "storeRevision": self._revision,
            }
        )

    def _handle_watch(self, call: Call, kind: str) -> Reply:
        start_revision = int(call.query_parameters["watch"])
        wait_ms = min(MAX_WAIT_MS, int(call.query_parameters.get("waitMs", "0")))
        deadline_ms = self._clock.now_ms() + wait_ms
        while True:
            if not self._oldest_revision <= start_revision <= self._revision:
                return create_error(410, "gone", "this revision is not in the history")
            events = [
                {"object": event.item, "tombstone": event.is_deleted}
                for event in self._events
                if event.kind == kind and event.revision > start_revision
            ]
            remaining_ms = deadline_ms - self._clock.now_ms()
            if events or remaining_ms <= 0:
                body = {"events": events, "storeRevision": self._revision}
                return JsonReply(body=body)
            self._clock.wait(self._changed, remaining_ms)
            if self.faults.status:
                return create_error(self.faults.status, "refused", "by fault")

    def _handle_write(self, call: Call, kind: str, name: str) -> Reply:
        meta = call.body.get("meta", {})
        name = name.removesuffix("/status") or meta.get("name", "")
        existing = self._objects.get((kind, name))
        expected_revision = meta.get("revision", call.query_parameters.get("revision"))
        if call.method == "POST" and existing is not None:
            return JsonReply(status=409, body=existing)
        if call.method != "POST" and existing is None:
            return create_error(404, "not_found", name)
        if (
            existing
            and expected_revision is not None
            and int(expected_revision) != existing["meta"]["revision"]
        ):
            return JsonReply(status=409, body=existing)
        if call.method == "DELETE":
            self._remove(kind, name)
            return JsonReply(body={})
        self._put(kind, name, existing, call.body.get("spec"))
        return JsonReply(body=self._objects[kind, name])

    def _put(self, kind: str, name: str, existing: dict | None, spec: object) -> int:
        if existing is not None and existing["spec"] == spec:
            # A write of an equal value adds no event.
            return self._revision
        self._revision += 1
        created_revision = existing["meta"]["createRev"] if existing else self._revision
        item = {
            "meta": {
                "name": name,
                "revision": self._revision,
                "createRev": created_revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = item
        self._append_event(kind, item, is_deleted=False)
        return self._revision

    def _remove(self, kind: str, name: str) -> None:
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._revision += 1
            self._append_event(kind, item, is_deleted=True)

    def _append_event(self, kind: str, item: dict, *, is_deleted: bool) -> None:
        event = StoreEvent(
            revision=self._revision, kind=kind, item=item, is_deleted=is_deleted
        )
        self._events.append(event)
        self._changed.notify_all()
