"""A request is written into the body of the one before it on the same connection."""

import hashlib
import http.server
import socket
import sys
import threading
import time
from pathlib import Path
from typing import BinaryIO

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from stand import (  # noqa: E402
    Answer,
    Deployment,
    Requester,
    Server,
    check_service,
    create_route,
    has_trouble,
    run_case,
)

SERVICE = "desk"
TIMEOUT_MS = 2500
# Within the desired state's maxBodyBytes.
BODY_BYTES = 240_000
# The faulty server rejects longer requests early.
LONG_BYTES = 16_000
# The dose: share of its answers that one of two servers spoils, and for how long.
EARLY_SHARE = 0.02
EARLY_S = 5.0
# How often the disruption comes.
TIMES = 4
READ_ON_S = 0.3
STEP_BYTES = 16_384
STEP_S = 0.004
RECEIVE_BUFFER_BYTES = 16_384
SEGMENT_BYTES = 1_460
SHORT_REQUESTERS = 9
UPLOAD_PAUSE_S = 0.2
PAUSE_S = 0.002
LEAD_S = 3


class EarlyServer(Server):
    """Rejects some long requests early while it is at fault.

    It then keeps the connection and reads the rest of the body a little later.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.spoiled: list[str] = []
        self.early = 0
        self.is_faulty = False
        self.answers = 0
        # Counts of the present time at fault alone, for the dose.
        self._early_now = 0
        self._answers_now = 0
        # Segments as on a network, and a small window: the loopback interface would
        # take the whole body at once.
        listener = self._listener.socket
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def begin_fault(self) -> None:
        """Begins a time at fault."""
        self._early_now = self._answers_now = 0
        self.is_faulty = True

    def serve(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Reads a request and runs it, or rejects a long one early."""
        length = int(handler.headers.get("Content-Length") or 0)
        if self.is_faulty:
            self.answers += 1
            self._answers_now += 1
        may_spoil = self._early_now + 1 <= EARLY_SHARE * self._answers_now
        if not (self.is_faulty and may_spoil and length > LONG_BYTES):
            # Now and then a server closes after an answer; these do after a long body.
            handler.close_connection = length > LONG_BYTES
            super().serve(handler)
            return
        self.early += 1
        self._early_now += 1
        request_id = handler.headers.get("X-Request-Id", "")
        headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        self.record.write("rejects early", server=self.name, request=request_id)
        self.answer(handler, 503, b"", headers)
        time.sleep(READ_ON_S)
        body = read_slowly(handler.rfile, length)
        expected = create_upload(request_id)
        at = find_difference(body, expected)
        self.record.write("read on", request=request_id, bytes=len(body), same=at)
        if at < len(body):
            self.spoiled.append(request_id)
            self.record.write(
                "other bytes in the body",
                server=self.name,
                request=request_id,
                at=at,
                got=body[at : at + 100].decode("latin-1"),
            )
        handler.close_connection = handler.close_connection or body != expected


def run(deployment: Deployment) -> list[str]:
    """Sends short requests, and now and then a long one, to one service."""
    servers = []
    for number in range(2):
        server = EarlyServer(
            name=f"i-{number:04d}",
            service=SERVICE,
            zone=("nairobi-a", "nairobi-b")[number],
            store=deployment.store,
            record=deployment.record,
            slots=2,
        )
        server.join()
        servers.append(server)
    deployment.servers += servers
    routes = [
        create_route("short", "/short/", service=SERVICE, routeType="non_idempotent"),
        create_route("long", "/long/", service=SERVICE, routeType="non_idempotent"),
    ]
    deployment.write_config(3, routes, [SERVICE])
    deployment.start()
    stopping = threading.Event()
    answers: list[Answer] = []
    threads = []
    for number in range(SHORT_REQUESTERS):
        machine = deployment.machines[number % len(deployment.machines)]
        short = Requester(
            machine=machine, record=deployment.record, prefix=f"s{number}"
        )
        threads.append(
            threading.Thread(target=ask, args=(short, answers, stopping), daemon=True)
        )
    for number, machine in enumerate(deployment.machines):
        long = Requester(machine=machine, record=deployment.record, prefix=f"l{number}")
        threads.append(
            threading.Thread(target=upload, args=(long, answers, stopping), daemon=True)
        )
    for thread in threads:
        thread.start()
    time.sleep(LEAD_S)
    for _ in range(TIMES):
        if has_trouble():
            servers[0].begin_fault()
        time.sleep(EARLY_S)
        servers[0].is_faulty = False
        time.sleep(LEAD_S)
    stopping.set()
    for thread in threads:
        thread.join()
    check_service(answers)
    spoiled = servers[0].spoiled
    deployment.record.write(
        "summary", early=servers[0].early, answers=servers[0].answers, spoiled=spoiled
    )
    if not spoiled:
        return []
    return [
        f"UNASKED: {len(spoiled)} of {servers[0].early} bodies that were rejected "
        "early hold other bytes where their rest was due"
    ]


def read_slowly(stream: BinaryIO, length: int) -> bytes:
    """Reads a body in steps, as over a link of some 30 Mbit/s."""
    body = b""
    while len(body) < length:
        step = stream.read(min(STEP_BYTES, length - len(body)))
        if not step:
            break
        body += step
        time.sleep(STEP_S)
    return body


def create_upload(request_id: str) -> bytes:
    """Returns the body of a long request, which follows from its id."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (BODY_BYTES // len(block) + 1))[:BODY_BYTES]


def find_difference(one: bytes, other: bytes) -> int:
    """Returns the position of the first byte that differs."""
    for at, (left, right) in enumerate(zip(one, other, strict=False)):
        if left != right:
            return at
    return min(len(one), len(other))


def ask(requester: Requester, answers: list[Answer], stopping: threading.Event) -> None:
    """Sends short requests."""
    while not stopping.is_set():
        answers.append(
            requester.send("/short/2f", timeout_ms=TIMEOUT_MS, method="POST", body=b"1")
        )
        time.sleep(PAUSE_S)


def upload(
    requester: Requester, answers: list[Answer], stopping: threading.Event
) -> None:
    """Sends long requests."""
    while not stopping.is_set():
        body = create_upload(requester.next_id)
        answers.append(
            requester.send("/long/2f", timeout_ms=TIMEOUT_MS, method="POST", body=body)
        )
        time.sleep(UPLOAD_PAUSE_S)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
