"""Stand-in for the platform's object API: versions, conditional updates, watches."""

import json
import threading
import time
from pathlib import Path
from typing import Annotated
from urllib.parse import parse_qs

import typer
from result import Err, Ok

from gooseberrymux import web
from gooseberrymux.settings import Address
from gooseberrymux.web import Request, Response

BODY_LIMIT_BYTES = 1_000_000
THREADS = 64


class ObjectStore:
    """Objects with versions; each write raises the store's revision."""

    __slots__ = ("_objects", "_changed", "_revision")

    def __init__(self):
        self._objects: dict[str, dict] = {}
        self._changed = threading.Condition()
        self._revision = 0

    def get(self, name: str) -> dict:
        """Returns an object; version 0 if it does not exist."""
        with self._changed:
            return self._objects.get(name, {"name": name, "version": 0, "value": {}})

    def put(self, *, name: str, value: dict, expected_version: int) -> dict:
        """Writes an object if its version is still the expected one."""
        with self._changed:
            current = self.get(name)
            if current["version"] != expected_version:
                return {"conflict": True, **current}
            self._revision += 1
            self._objects[name] = {
                "name": name,
                "version": self._revision,
                "value": value,
            }
            self._changed.notify_all()
            return {"name": name, "version": self._revision}

    def list_changed(self, *, prefix: str, after: int) -> dict:
        """Returns objects under a prefix that changed after a revision."""
        with self._changed:
            return {
                "revision": self._revision,
                "objects": [
                    found
                    for name, found in sorted(self._objects.items())
                    if name.startswith(prefix) and found["version"] > after
                ],
            }

    def watch(self, *, prefix: str, after: int, timeout_ms: int) -> dict:
        """Waits until objects under a prefix changed after a revision."""
        until_s = time.monotonic() + timeout_ms / 1000
        with self._changed:
            while True:
                changes = self.list_changed(prefix=prefix, after=after)
                left_s = until_s - time.monotonic()
                if changes["objects"] or left_s <= 0:
                    return changes
                self._changed.wait(left_s)


def handle(store: ObjectStore, request: Request) -> Response:
    """Answers one call."""
    fields = {key: values[0] for key, values in parse_qs(request.query).items()}
    name = request.path.removeprefix("/objects/")
    match (request.method, request.path.split("/")[1]):
        case ("GET", "objects") if request.path == "/objects":
            body = store.list_changed(prefix=fields.get("prefix", ""), after=0)
        case ("GET", "objects"):
            body = store.get(name)
        case ("GET", "watch"):
            body = store.watch(
                prefix=fields.get("prefix", ""),
                after=int(fields.get("after", "0")),
                timeout_ms=int(fields.get("timeout_ms", "0")),
            )
        case ("PUT", "objects"):
            match web.read_json(request, limit_bytes=BODY_LIMIT_BYTES):
                case Err(response):
                    return response
                case Ok(given):
                    body = store.put(
                        name=name,
                        value=given["value"],
                        expected_version=given["expected_version"],
                    )
            status = 409 if body.get("conflict") else 200
            return web.create_json(status=status, body=body)
        case _:
            return web.refuse_body(404, "not_found", request.path)
    return web.create_json(status=200, body=body)


def main(port: int, objects: Annotated[Path | None, typer.Option()] = None) -> None:
    """Serves the object API on loopback, with the objects of a JSON file."""
    store = ObjectStore()
    if objects:
        for name, value in json.loads(objects.read_text()).items():
            store.put(name=name, value=value, expected_version=0)
    server = web.create_server(
        address=Address(port=port),
        threads=THREADS,
        handle=lambda request: handle(store, request),
    )
    server.safe_start()


if __name__ == "__main__":
    typer.run(main)
