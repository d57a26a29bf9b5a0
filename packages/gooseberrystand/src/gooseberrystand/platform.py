"""Stand-in for the platform: object API, instance list, injected faults."""

import argparse
import dataclasses
import json
import threading
from pathlib import Path

from gooseberrymux.clock import Clock
from gooseberrystand.objects import ObjectStore, RevisionGoneError
from gooseberrystand.server import Call, JsonReply, NoReply, Reply, create_error, serve

OUTAGE_MODES = ("close", "hang")
ERA_HEADER = "X-Platform-Era"


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that a platform stand-in injects.

    Attributes:
        outage: Whether calls of the object API get no reply.
        outage_mode: `close` closes connections at once; `hang` holds calls until the
            outage ends, then closes their connections without a reply.
        slow_ms: Delay of each call in milliseconds.
        lose_write_replies: Number of next writes that take effect but get no reply.
        stale_reads: Whether reads and lists return an object as it was before its last
            visible write; watches don't.
        list_lag_ms: Delay in milliseconds until a change of the object `instances`
            becomes visible.
    """

    outage: bool = False
    outage_mode: str = "close"
    slow_ms: float = 0.0
    lose_write_replies: int = 0
    stale_reads: bool = False
    list_lag_ms: float = 0.0


class PlatformServer:
    """Serves the object API with the faults in force and counts its calls."""

    __slots__ = ("_clock", "_store", "_faults", "_call_counts", "_changed")

    def __init__(self, *, clock: Clock, store: ObjectStore):
        self._clock = clock
        self._store = store
        self._faults = Faults()
        self._call_counts = {"read": 0, "write": 0, "watch": 0, "watch_open": 0}
        self._changed = threading.Condition()

    def accept_connection(self) -> bool:
        """Refuses connections during an outage of mode `close`."""
        faults = self._faults
        return not (faults.outage and faults.outage_mode == "close")

    def prepare_connection(self) -> None:
        """Needs no preparation."""

    def release_connection(self) -> None:
        """Counts no connections."""

    def handle(self, call: Call) -> Reply:
        """Answers a call of the object API; blocks in a watch or a hanging outage.

        All replies name the era of the store when the call was answered.
        """
        match self._handle_call(call):
            case JsonReply(headers=headers) as reply:
                headers = {**headers, ERA_HEADER: str(self._store.era)}
                return dataclasses.replace(reply, headers=headers)
            case reply:
                return reply

    def _handle_call(self, call: Call) -> Reply:
        if self._faults.slow_ms:
            self._clock.sleep_ms(self._faults.slow_ms)
        if self._check_outage():
            return NoReply()
        match (call.method, call.path):
            case ("GET", "/objects"):
                self._add_to_count("read")
                prefix = call.query_parameters.get("prefix", "")
                return self._create_reply(
                    self._store.list_changed(prefix=prefix, after=0)
                )
            case ("GET", "/watch"):
                return self._handle_watch(call)
            case ("GET", path) if path.startswith("/objects/"):
                self._add_to_count("read")
                return self._create_reply(
                    self._store.get(path.removeprefix("/objects/"))
                )
            case ("PUT", path) if path.startswith("/objects/"):
                return self._handle_write(path.removeprefix("/objects/"), call.body)
            case _:
                return create_error(404, "not_found", call.path)

    def handle_control(self, call: Call) -> Reply:
        """Sets or returns the faults, returns the counts or edits the instance list."""
        match (call.method, call.path):
            case ("POST", "/_faults"):
                return self._set_faults(call.body)
            case ("GET", "/_faults"):
                return JsonReply(body=dataclasses.asdict(self._faults))
            case ("GET", "/_calls"):
                with self._changed:
                    return JsonReply(body=dict(self._call_counts))
            case ("POST", "/_instances"):
                edited = self._store.edit_instances(
                    put=call.body.get("put", []), remove=call.body.get("remove", [])
                )
                return JsonReply(body=edited)
            case ("POST", "/_restore"):
                self._store.restore(age_ms=float(call.body.get("age_ms", 0.0)))
                return JsonReply(body={"era": self._store.era})
            case _:
                return create_error(404, "not_found", call.path)

    def _set_faults(self, changed_fields: dict) -> Reply:
        with self._changed:
            try:
                faults = dataclasses.replace(self._faults, **changed_fields)
            except TypeError as error:
                return create_error(400, "malformed_request", str(error))
            if faults.outage_mode not in OUTAGE_MODES:
                return create_error(400, "malformed_request", "outage_mode")
            self._faults = faults
            self._store.stale_reads = faults.stale_reads
            self._store.list_lag_ms = faults.list_lag_ms
            self._changed.notify_all()
        if faults.outage:
            self._store.interrupt_watches()
        return JsonReply(body=dataclasses.asdict(faults))

    def _check_outage(self) -> bool:
        """Returns whether there is an outage; in mode `hang` waits for its end first.

        A call that arrives or completes during an outage gets no reply, even if the
        outage ends while the call waits.
        """
        with self._changed:
            in_outage = self._faults.outage
            while self._faults.outage and self._faults.outage_mode == "hang":
                self._clock.wait(self._changed, None)
            return in_outage

    def _create_reply(self, body: dict) -> Reply:
        """Returns a reply, or none if an outage began while the call was handled."""
        return NoReply() if self._check_outage() else JsonReply(body=body)

    def _add_to_count(self, kind: str, change: int = 1) -> None:
        with self._changed:
            self._call_counts[kind] += change

    def _handle_watch(self, call: Call) -> Reply:
        self._add_to_count("watch")
        self._add_to_count("watch_open")
        try:
            changes = self._store.watch(
                prefix=call.query_parameters.get("prefix", ""),
                after=int(call.query_parameters.get("after", "0")),
                timeout_ms=float(call.query_parameters.get("timeout_ms", "0")),
                is_interrupted=lambda: self._faults.outage,
            )
        except RevisionGoneError as error:
            return create_error(410, "gone", str(error))
        finally:
            self._add_to_count("watch_open", -1)
        return self._create_reply(changes)

    def _handle_write(self, name: str, body: dict) -> Reply:
        self._add_to_count("write")
        try:
            value, expected_version = body["value"], int(body["expected_version"])
        except (KeyError, TypeError, ValueError) as error:
            return create_error(400, "malformed_request", repr(error))
        result = self._store.put(
            name=name, value=value, expected_version=expected_version
        )
        if result.get("conflict"):
            return JsonReply(status=409, body=result)
        with self._changed:
            if self._faults.lose_write_replies > 0:
                self._faults.lose_write_replies -= 1
                return NoReply()
        return self._create_reply(result)


def main() -> None:
    """Serves the object API on the loopback interface, with objects of a JSON file."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--objects", type=Path)
    arguments = parser.parse_args()
    clock = Clock()
    store = ObjectStore(clock=clock)
    if arguments.objects:
        for name, value in json.loads(arguments.objects.read_text()).items():
            store.put(name=name, value=value, expected_version=0)
    serve(
        port=arguments.port,
        control_port=arguments.control_port,
        application=PlatformServer(clock=clock, store=store),
    )


if __name__ == "__main__":
    main()
