"""Upstream servers of a soak: they run requests, record them and misbehave."""

import contextlib
import dataclasses
import hashlib
import http.server
import random
import socket
import socketserver
import threading
import time

from gooseberrystand.server import HOST
from soak.record import Record, UpstreamRequest

RECORD_BYTES = 16
RECORDS = 6
SLOTS = 2
QUEUE_LIMIT = 12
SERVICE_MS = 6.0
RESET_LINGER = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
# Faults that spoil a share of the replies.
SPOILS = ("lost", "cut", "extra", "foreign", "error", "unframed")


def create_records(request_id: str, service: str) -> list[bytes]:
    """Returns the records of a service's reply to a request."""
    return [
        hashlib.blake2b(
            f"{request_id}/{service}/{n}".encode(), digest_size=RECORD_BYTES
        ).digest()
        for n in range(RECORDS)
    ]


def create_proof(request_id: str, service: str, upstream: str) -> str:
    """Returns the proof of a reply."""
    return f"{request_id}.{service}.{upstream}"


@dataclasses.dataclass(slots=True, kw_only=True)
class Misbehaviour:
    """Faults of an upstream in force.

    Attributes:
        slowness: Work takes this many times as long.
        held_until_ms: Nothing is answered before.
        spoil: Which of `SPOILS`, or none.
        share: Share of the replies that are spoilt.
        rate_limit_per_s: Limit that all replies name; 0 for none.
    """

    slowness: float = 1.0
    held_until_ms: float = 0.0
    spoil: str = ""
    share: float = 0.0
    rate_limit_per_s: float = 0.0


def now_ms() -> float:
    """Returns the driver's monotonic time in milliseconds."""
    return time.monotonic() * 1_000


class Upstream(socketserver.ThreadingTCPServer):
    """One run of an upstream on one port, in threads of the driver."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = 128

    def __init__(self, *, name: str, service: str, port: int, record: Record):
        self.name = name
        self.service = service
        self.record = record
        self.faults = Misbehaviour()
        self.born = time.time_ns() // 1_000_000
        self.slots = threading.Semaphore(SLOTS)
        self.waiting = 0
        self.sockets: set[socket.socket] = set()
        self.is_gone = False
        super().__init__((HOST, port), Handler)
        self.port = self.server_address[1]
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def describe(self, *, state: str) -> dict:
        """Returns the entry in the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def behave(self) -> None:
        """Ends its misbehaviour."""
        limit = self.faults.rate_limit_per_s
        self.faults = Misbehaviour(rate_limit_per_s=limit)

    def crash(self) -> None:
        """Stops listening and resets all connections."""
        self.is_gone = True
        self.shutdown()
        self.server_close()
        for sock in list(self.sockets):
            reset(sock)

    def get_request(self):
        """Accepts a connection and keeps its socket."""
        sock, address = super().get_request()
        self.sockets.add(sock)
        return sock, address

    def shutdown_request(self, request) -> None:
        """Forgets a connection that has ended."""
        self.sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address) -> None:
        """Keeps quiet about connections that instances close."""


def reset(sock: socket.socket) -> None:
    """Ends a connection with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        sock.shutdown(socket.SHUT_RDWR)
        sock.close()


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves the requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: Upstream

    def log_message(self, format: str, *arguments: object) -> None:
        """Logs nothing."""

    def do_GET(self) -> None:
        """Serves a GET."""
        self._serve()

    def do_POST(self) -> None:
        """Serves a POST."""
        self._serve()

    def _serve(self) -> None:
        upstream = self.server
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        request_id = self.headers.get("X-Request-Id", "")
        target = self.headers.get("X-Target-Instance")
        refusal = 421 if target not in (None, upstream.name) else 0
        if not request_id:
            refusal = 400
        if not refusal and not self._take_slot():
            refusal = 503
        upstream.record.append_event(
            UpstreamRequest(
                request_id=request_id,
                service=upstream.service,
                upstream=upstream.name,
                method=self.command,
                path=self.path,
                body=body,
                at_ms=now_ms(),
                is_executed=not refusal,
            )
        )
        if refusal:
            self._reply(refusal, b"not run\n", {"X-Not-Executed": "1"})
            return
        try:
            self._work()
            self._answer(request_id)
        finally:
            upstream.slots.release()

    def _take_slot(self) -> bool:
        upstream = self.server
        if upstream.waiting >= QUEUE_LIMIT:
            return False
        upstream.waiting += 1
        left_ms = float(self.headers.get("X-Deadline-Ms") or 1_000)
        try:
            return upstream.slots.acquire(timeout=left_ms / 1_000)
        finally:
            upstream.waiting -= 1

    def _work(self) -> None:
        faults = self.server.faults
        work_ms = SERVICE_MS * faults.slowness * random.uniform(0.7, 1.3)
        until_ms = max(now_ms() + work_ms, faults.held_until_ms)
        time.sleep(max(0.0, until_ms - now_ms()) / 1_000)

    def _answer(self, request_id: str) -> None:
        upstream = self.server
        faults = upstream.faults
        spoil = faults.spoil if random.random() < faults.share else ""
        body = b"".join(create_records(request_id, upstream.service))
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Stamp": create_proof(
                request_id, upstream.service, upstream.name
            ),
            "Keep-Alive": "timeout=15",
        }
        if upstream.is_gone:
            spoil = "lost"
        match spoil:
            case "lost":
                self.close_connection = True
            case "cut":
                self.close_connection = True
                self._reply(200, body[: len(body) // 2], headers, length=len(body))
            case "extra":
                self._reply(200, body, headers)
                self._reply(200, body, {**headers, "X-Request-Id": "late"})
            case "foreign":
                self._reply(200, body, {**headers, "X-Request-Id": "foreign"})
            case "error":
                self._reply(500, b"failed\n", headers)
            case "unframed":
                self.close_connection = True
                self._reply(200, body, headers, length=None)
            case _:
                self._reply(200, body, headers)

    def _reply(
        self, status: int, body: bytes, headers: dict, *, length: int | None = -1
    ) -> None:
        rate_limit_per_s = self.server.faults.rate_limit_per_s
        if rate_limit_per_s:
            headers = {**headers, "Server-Limit": f"{rate_limit_per_s:g}"}
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        if length is not None:
            self.send_header("Content-Length", str(len(body) if length < 0 else length))
        self.end_headers()
        with contextlib.suppress(OSError):
            self.wfile.write(body)
            self.wfile.flush()
