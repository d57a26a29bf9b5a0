"""Stand-in for the store of the users' machines: objects by kind, watches, faults.

It speaks the protocol that the users have published for their platform.
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

PREFIX = "/-/objects/"
PAGE_ITEMS = 50
WAIT_LIMIT_MS = 30_000


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults in force.

    Attributes:
        status: Status that every call is refused with; 0 for none.
        silent: Calls get no answer until the fault ends.
        loses_replies: Writes take effect and their connection ends without an answer.
    """

    status: int = 0
    silent: bool = False
    loses_replies: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreEvent:
    """One change of the store's history."""

    revision: int
    kind: str
    item: dict
    is_gone: bool


class MachineStore:
    """Objects with one revision counter, and their history."""

    __slots__ = (
        "faults",
        "calls",
        "_clock",
        "_objects",
        "_events",
        "_revision",
        "_forgotten",
        "_changed",
        "_listener",
    )

    def __init__(self):
        self.faults = StoreFaults()
        self.calls: list[Call] = []
        self._clock = Clock()
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: list[StoreEvent] = []
        self._revision = 1
        self._forgotten = 0
        self._changed = threading.Condition()
        self._listener = Listener(port=0, application=self)
        self._listener.start()

    @property
    def port(self) -> int:
        """Where it listens."""
        return self._listener.server_address[1]

    def close(self) -> None:
        """Stops listening."""
        self._listener.server_close()

    def write(self, kind: str, name: str, spec: object) -> int:
        """Creates or replaces an object as the operator or a server does."""
        with self._changed:
            known = self._objects.get((kind, name))
            return self._store(kind, name, known, spec)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        with self._changed:
            self._remove(kind, name)

    def set_faults(self, **faults: object) -> None:
        """Replaces the faults; calls that wait look at them again."""
        with self._changed:
            self.faults = StoreFaults(**faults)
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drops the history, so that older watches are answered 410."""
        with self._changed:
            self._events.clear()
            self._forgotten = self._revision
            self._changed.notify_all()

    # What the listener calls.

    def accept_connection(self) -> bool:
        """Accepts every connection."""
        return True

    def prepare_connection(self) -> None:
        """Needs no preparation."""

    def release_connection(self) -> None:
        """Counts no connections."""

    def handle_control(self, call: Call) -> Reply:
        """Has no control side of its own: tests call its methods."""
        return create_error(404, "not_found", call.path)

    def handle(self, call: Call) -> Reply:
        """Answers a call."""
        self.calls.append(call)
        with self._changed:
            while self.faults.silent:
                self._clock.wait(self._changed, None)
            if self.faults.status:
                return create_error(self.faults.status, "refused", "by fault")
            if not call.path.startswith(PREFIX):
                return create_error(404, "not_found", call.path)
            kind, _, name = call.path.removeprefix(PREFIX).partition("/")
            if call.method == "GET":
                return self._read(call, kind, name)
            reply = self._change(call, kind, name)
            return NoReply() if self.faults.loses_replies else reply

    def _read(self, call: Call, kind: str, name: str) -> Reply:
        if name:
            found = self._objects.get((kind, name))
            if found is None:
                return create_error(404, "not_found", name)
            return JsonReply(body=found)
        if "watch" in call.query_parameters:
            return self._watch(call, kind)
        after = call.query_parameters.get("after", "")
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, found] for found in names[:PAGE_ITEMS]]
        return JsonReply(
            body={
                "items": items,
                "hasMore": len(names) > PAGE_ITEMS,
                "storeRevision": self._revision,
            }
        )

    def _watch(self, call: Call, kind: str) -> Reply:
        since = int(call.query_parameters["watch"])
        wait_ms = min(WAIT_LIMIT_MS, int(call.query_parameters.get("waitMs", "0")))
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            if since < self._forgotten:
                return create_error(410, "gone", "this history is gone")
            events = [
                {"object": event.item, "tombstone": event.is_gone}
                for event in self._events
                if event.kind == kind and event.revision > since
            ]
            left_ms = until_ms - self._clock.now_ms()
            if events or left_ms <= 0:
                body = {"events": events, "storeRevision": self._revision}
                return JsonReply(body=body)
            self._clock.wait(self._changed, left_ms)
            if self.faults.status:
                return create_error(self.faults.status, "refused", "by fault")

    def _change(self, call: Call, kind: str, name: str) -> Reply:
        meta = call.body.get("meta", {})
        name = name.removesuffix("/status") or meta.get("name", "")
        known = self._objects.get((kind, name))
        wanted = meta.get("revision", call.query_parameters.get("revision"))
        if call.method == "POST" and known is not None:
            return JsonReply(status=409, body=known)
        if call.method != "POST" and known is None:
            return create_error(404, "not_found", name)
        if known and wanted is not None and int(wanted) != known["meta"]["revision"]:
            return JsonReply(status=409, body=known)
        if call.method == "DELETE":
            self._remove(kind, name)
            return JsonReply(body={})
        self._store(kind, name, known, call.body.get("spec"))
        return JsonReply(body=self._objects[kind, name])

    def _store(self, kind: str, name: str, known: dict | None, spec: object) -> int:
        if known is not None and known["spec"] == spec:
            # A write that changes nothing is no event.
            return self._revision
        self._revision += 1
        created = known["meta"]["createRev"] if known else self._revision
        item = {
            "meta": {
                "name": name,
                "revision": self._revision,
                "createRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = item
        self._note(kind, item, is_gone=False)
        return self._revision

    def _remove(self, kind: str, name: str) -> None:
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self._revision += 1
            self._note(kind, item, is_gone=True)

    def _note(self, kind: str, item: dict, *, is_gone: bool) -> None:
        event = StoreEvent(
            revision=self._revision, kind=kind, item=item, is_gone=is_gone
        )
        self._events.append(event)
        self._changed.notify_all()
