"""Stand-in for the platform: object API, instance list, faults on demand."""

import argparse
import dataclasses
import json
import threading
from pathlib import Path

from gooseberrymux.clock import Clock
from gooseberrystand.objects import ObjectStore
from gooseberrystand.server import Call, JsonReply, NoReply, Reply, create_error, serve

OUTAGE_MODES = ("close", "hang")


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults in force.

    Attributes:
        outage: No call is answered.
        outage_mode: `close` ends connections at once, `hang` leaves calls waiting
            until the outage ends.
        slow_ms: Delay of each call in milliseconds.
        lose_write_replies: Writes that will still take effect without a reply.
        stale_reads: Reads answer from before an object's last write.
        list_lag_ms: How much later changes of `instances` become visible.
    """

    outage: bool = False
    outage_mode: str = "close"
    slow_ms: float = 0.0
    lose_write_replies: int = 0
    stale_reads: bool = False
    list_lag_ms: float = 0.0


class PlatformServer:
    """Answers the object API and counts its calls."""

    __slots__ = ("_clock", "_store", "_faults", "_counts", "_changed")

    def __init__(self, *, clock: Clock, store: ObjectStore):
        self._clock = clock
        self._store = store
        self._faults = Faults()
        self._counts = {"read": 0, "write": 0, "watch": 0, "watch_open": 0}
        self._changed = threading.Condition()

    def accept_connection(self) -> bool:
        """Refuses connections in an outage of mode `close`."""
        faults = self._faults
        return not (faults.outage and faults.outage_mode == "close")

    def prepare_connection(self) -> None:
        """Needs no preparation."""

    def release_connection(self) -> None:
        """Counts no connections."""

    def handle(self, call: Call) -> Reply:
        """Answers a call of the object API."""
        if self._faults.slow_ms:
            self._clock.sleep_ms(self._faults.slow_ms)
        if self._is_out():
            return NoReply()
        match (call.method, call.path):
            case ("GET", "/objects"):
                self._count("read")
                prefix = call.query_parameters.get("prefix", "")
                return self._reply(self._store.list_changed(prefix=prefix, after=0))
            case ("GET", "/watch"):
                return self._watch(call)
            case ("GET", path) if path.startswith("/objects/"):
                self._count("read")
                return self._reply(self._store.get(path.removeprefix("/objects/")))
            case ("PUT", path) if path.startswith("/objects/"):
                return self._write(path.removeprefix("/objects/"), call.body)
            case _:
                return create_error(404, "not_found", call.path)

    def handle_control(self, call: Call) -> Reply:
        """Answers fault control, counts and registration."""
        match (call.method, call.path):
            case ("POST", "/_faults"):
                return self._set_faults(call.body)
            case ("GET", "/_faults"):
                return JsonReply(body=dataclasses.asdict(self._faults))
            case ("GET", "/_calls"):
                with self._changed:
                    return JsonReply(body=dict(self._counts))
            case ("POST", "/_instances"):
                edited = self._store.edit_instances(
                    put=call.body.get("put", []), remove=call.body.get("remove", [])
                )
                return JsonReply(body=edited)
            case _:
                return create_error(404, "not_found", call.path)

    def _set_faults(self, given: dict) -> Reply:
        with self._changed:
            try:
                faults = dataclasses.replace(self._faults, **given)
            except TypeError as error:
                return create_error(400, "malformed_request", str(error))
            if faults.outage_mode not in OUTAGE_MODES:
                return create_error(400, "malformed_request", "outage_mode")
            self._faults = faults
            self._store.stale = faults.stale_reads
            self._store.list_lag_ms = faults.list_lag_ms
            self._changed.notify_all()
        if faults.outage:
            self._store.interrupt_watches()
        return JsonReply(body=dataclasses.asdict(faults))

    def _is_out(self) -> bool:
        # A call that meets an outage gets no reply; in mode `hang` only at its end.
        with self._changed:
            met = self._faults.outage
            while self._faults.outage and self._faults.outage_mode == "hang":
                self._clock.wait(self._changed, None)
            return met

    def _reply(self, body: dict) -> Reply:
        return NoReply() if self._is_out() else JsonReply(body=body)

    def _count(self, kind: str, change: int = 1) -> None:
        with self._changed:
            self._counts[kind] += change

    def _watch(self, call: Call) -> Reply:
        self._count("watch")
        self._count("watch_open")
        try:
            changes = self._store.watch(
                prefix=call.query_parameters.get("prefix", ""),
                after=int(call.query_parameters.get("after", "0")),
                timeout_ms=float(call.query_parameters.get("timeout_ms", "0")),
                is_interrupted=lambda: self._faults.outage,
            )
        finally:
            self._count("watch_open", -1)
        return self._reply(changes)

    def _write(self, name: str, body: dict) -> Reply:
        self._count("write")
        try:
            value, expected_version = body["value"], int(body["expected_version"])
        except (KeyError, TypeError, ValueError) as error:
            return create_error(400, "malformed_request", repr(error))
        written = self._store.put(
            name=name, value=value, expected_version=expected_version
        )
        if written.get("conflict"):
            return JsonReply(status=409, body=written)
        with self._changed:
            if self._faults.lose_write_replies > 0:
                self._faults.lose_write_replies -= 1
                return NoReply()
        return self._reply(written)


def main() -> None:
    """Serves the object API on loopback, with the objects of a JSON file."""
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
