"""Stand-in for an upstream server: slots, service times, index versions."""

import random
import threading
import time
from typing import Annotated

import typer
from result import Err, Ok

from gooseberrymux import web
from gooseberrymux.settings import Address
from gooseberrymux.web import Request, Response

BODY_LIMIT_BYTES = 1_000_000
THREADS = 32


class Server:
    """One upstream: runs as many requests at a time as it has slots."""

    __slots__ = ("_name", "_slots", "_service_ms", "_random", "_version", "_lock")

    def __init__(
        self, *, name: str, slots: int, service_ms: float, version: str, seed: int
    ):
        self._name = name
        self._slots = threading.Semaphore(slots)
        self._service_ms = service_ms
        self._version = version
        self._random = random.Random(seed)
        self._lock = threading.Lock()

    def handle(self, request: Request) -> Response:
        """Answers one request."""
        match web.read_json(request, limit_bytes=BODY_LIMIT_BYTES):
            case Err(response):
                return response
            case Ok(given):
                pass
        if request.path != "/query":
            return web.refuse_body(404, "not_found", request.path)
        request_id = given.get("request_id")
        if not self._slots.acquire(blocking=False):
            return web.create_json(
                status=503,
                body={"request_id": request_id, "error": "shed", "not_run": True},
            )
        try:
            if given.get("version") != self._version:
                return web.create_json(
                    status=410,
                    body={
                        "request_id": request_id,
                        "error": "version_gone",
                        "not_run": True,
                        "current": self._version,
                    },
                )
            time.sleep(self._draw_service_ms() / 1000)
        finally:
            self._slots.release()
        return web.create_json(
            status=200,
            body={
                "request_id": request_id,
                "version": self._version,
                "shard": given.get("shard"),
                "reply": {"hits": [f"{given.get('shard')}@{self._name}"]},
            },
        )

    def _draw_service_ms(self) -> float:
        with self._lock:
            return self._random.uniform(0.5, 1.5) * self._service_ms


def main(
    port: int,
    *,
    name: str = "upstream",
    slots: int = 2,
    service_ms: float = 5.0,
    version: str = "v1",
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Serves one upstream on loopback."""
    server = Server(
        name=name, slots=slots, service_ms=service_ms, version=version, seed=seed
    )
    web.create_server(
        address=Address(port=port), threads=THREADS, handle=server.handle
    ).safe_start()


if __name__ == "__main__":
    typer.run(main)
