"""Stand-ins for the review cases: store, servers, requesters and instances.

They follow the users' pages and use the standard library alone. One driver process runs
the store, the servers and the requesters in threads. The instances are processes, which
are started with the command and the settings template of the deploy file.
"""

import contextlib
import dataclasses
import hashlib
import http.client
import http.server
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SETTINGS_PATH = "/etc/gooseberrymux/node.toml"
ZONES = ("nairobi-a", "nairobi-b", "nairobi-c")
REQUEST_HOST = "desk.example"
PAGE_ITEMS = 50
PORT_RANGE = (20_000, 32_000)
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
READY_TIMEOUT_S = 30.0
LEAST_SERVED = 100
RESTART_DELAY_S = 0.3

HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the smallest deployments on the users' pages.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "revertSlackMs": 250,
    "maxSkewMs": 12000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 54,
    "recoveryS": 12,
}


class CaseNotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


def has_trouble() -> bool:
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file, one JSON object a line."""

    def __init__(self, *, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def now_ms(self) -> float:
        """Returns the milliseconds since the start of the case."""
        return (time.monotonic() - self._started_s) * 1000.0

    def write(self, event: str, **fields: object) -> float:
        """Writes one event; returns its time in milliseconds."""
        at_ms = self.now_ms()
        line = json.dumps({"ms": round(at_ms, 1), "event": event, **fields})
        with self._lock:
            if not self._file.closed:
                self._file.write(line + "\n")
        return at_ms

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            self._file.close()


class ThreadedServer(socketserver.ThreadingTCPServer):
    """TCP server on a free loopback port, with a thread for each connection."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = 256

    def __init__(self, handler: type, *, port: int = 0):
        super().__init__((HOST, port), handler)
        self.port = self.server_address[1]
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address) -> None:
        """Keeps quiet about connections that the other side has closed."""

    def close(self) -> None:
        """Stops accepting connections."""
        self.shutdown()
        self.server_close()


# The platform's store.


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One change in the history of the store."""

    revision: int
    kind: str
    item: dict
    tombstone: bool


class Store:
    """The platform's store of objects, as far as the instances use it."""

    def __init__(self):
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: list[Event] = []
        self._revision = 100
        self._changed = threading.Condition()
        # When each entry of kind `servers` was last written.
        self._written_s: dict[str, float] = {}
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def log_message(self, format: str, *arguments: object) -> None:
                """Logs nothing."""

            def do_GET(self) -> None:
                """Answers a list, a watch or the read of one object."""
                status, body = store.read(self.path)
                data = json.dumps(body).encode()
                self.send_response_only(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(data)

        self._listener = ThreadedServer(Handler)
        self.port = self._listener.port
        threading.Thread(target=self._expire_silent, daemon=True).start()

    def keep_written(self, name: str, spec: dict) -> None:
        """Writes an entry of kind `servers` now and every heartbeat, as servers do."""

        def write_often() -> None:
            for sequence in itertools.count(1):
                self.write("servers", name, {**spec, "sequence": sequence})
                time.sleep(HEARTBEAT_S)

        threading.Thread(target=write_often, daemon=True).start()

    def _expire_silent(self) -> None:
        """Removes entries of kind `servers` after three heartbeats of silence."""
        while True:
            time.sleep(HEARTBEAT_S / 4)
            before_s = time.monotonic() - SILENT_HEARTBEATS * HEARTBEAT_S
            with self._changed:
                silent = [n for n, at_s in self._written_s.items() if at_s < before_s]
            for name in silent:
                self.remove("servers", name)

    def write(self, kind: str, name: str, spec: object) -> None:
        """Creates or replaces an object; an equal one is left as it is."""
        with self._changed:
            if kind == "servers":
                self._written_s[name] = time.monotonic()
            known = self._objects.get((kind, name))
            if known is not None and known["spec"] == spec:
                return
            self._revision += 1
            created = known["meta"]["createRev"] if known else self._revision
            meta = {
                "name": name,
                "revision": self._revision,
                "createRev": created,
                "finalizers": [],
                "deleting": False,
            }
            item = {"meta": meta, "spec": spec, "status": None}
            self._objects[kind, name] = item
            self._events.append(Event(self._revision, kind, item, False))
            self._changed.notify_all()

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        with self._changed:
            if kind == "servers":
                self._written_s.pop(name, None)
            item = self._objects.pop((kind, name), None)
            if item is not None:
                self._revision += 1
                self._events.append(Event(self._revision, kind, item, True))
                self._changed.notify_all()

    def read(self, target: str) -> tuple[int, dict]:
        """Returns status and body of the answer to a GET."""
        parts = urllib.parse.urlsplit(target)
        # Any name that the store holds can be named in a query, odd ones too.
        query = dict(urllib.parse.parse_qsl(parts.query, errors="surrogatepass"))
        kind, _, name = parts.path.removeprefix("/-/objects/").partition("/")
        with self._changed:
            if name:
                found = self._objects.get((kind, urllib.parse.unquote(name)))
                return (200, found) if found else (404, {})
            if "watch" in query:
                return self._watch(kind, query)
            after = query.get("after", "")
            names = sorted(n for k, n in self._objects if k == kind and n > after)
            body = {
                "items": [self._objects[kind, n] for n in names[:PAGE_ITEMS]],
                "hasMore": len(names) > PAGE_ITEMS,
                "storeRevision": self._revision,
            }
            return 200, body

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict]:
        since = int(query["watch"])
        until_s = time.monotonic() + min(30_000, int(query.get("waitMs", "0"))) / 1000
        while True:
            if since > self._revision:
                return 410, {}
            events = [
                {"tombstone": event.tombstone, "object": event.item}
                for event in self._events
                if event.kind == kind and event.revision > since
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            self._changed.wait(left_s)


# The servers.


@dataclasses.dataclass(slots=True)
class Arrival:
    """One request at a server, as the server read it."""

    at_ms: float
    server: str
    service: str
    request_id: str
    method: str
    path: str
    body: bytes
    runs: bool


class Server:
    """One server of a service; writes its entry to the store and runs requests."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        store: Store,
        record: Record,
        slots: int = 4,
        work_ms: float = 10.0,
    ):
        self.name = name
        self.service = service
        self.record = record
        self.slots = threading.Semaphore(slots)
        self.work_ms = work_ms
        self.arrivals: list[Arrival] = []
        self.state = "ready"
        self._zone = zone
        self._slot_count = slots
        self._store = store
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = itertools.count(1)
        self._stopping = threading.Event()
        self._stamps = itertools.count(1)
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def log_message(self, format: str, *arguments: object) -> None:
                """Logs nothing."""

            def do_GET(self) -> None:
                """Runs a request."""
                with contextlib.suppress(OSError):
                    server.serve(self)

            def do_POST(self) -> None:
                """Runs a request with a body."""
                self.do_GET()

        self._listener = ThreadedServer(Handler)
        self.port = self._listener.port

    def join(self) -> None:
        """Writes the entry now and every heartbeat."""
        self._beat()
        threading.Thread(target=self._beat_until_left, daemon=True).start()

    def drain(self) -> float:
        """Reports that it is draining; returns the time of the store's ack."""
        self.state = "draining"
        self._beat()
        return self.record.write("draining acknowledged", server=self.name)

    def leave(self) -> None:
        """Removes the entry and ends."""
        self._stopping.set()
        self._store.remove("servers", self.name)
        self._listener.close()
        self.record.write("server ended", server=self.name)

    def serve(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        """Reads a request, runs it unless it is meant for another server, answers."""
        body = handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        if handler.path == "/health":
            self.answer(handler, 200, b"", {"X-Instance-Id": self.name})
            return
        request_id = handler.headers.get("X-Request-Id", "")
        runs = handler.headers.get("X-Target-Instance") in (None, self.name)
        arrival = Arrival(
            at_ms=self.record.now_ms(),
            server=self.name,
            service=self.service,
            request_id=request_id,
            method=handler.command,
            path=handler.path,
            body=body,
            runs=runs,
        )
        self.arrivals.append(arrival)
        self.record.write(
            "runs" if runs else "rejects",
            server=self.name,
            request=request_id,
            target=handler.path,
            bytes=len(body),
        )
        if not runs:
            headers = {"X-Not-Executed": "1", "X-Instance-Id": self.name}
            self.answer(handler, 421, b"", headers)
            return
        self.run(handler, request_id)

    def run(self, handler: http.server.BaseHTTPRequestHandler, request_id: str) -> None:
        """Works on a request and answers it."""
        with self.slots:
            time.sleep(self.work_ms / 1000)
        self.answer(
            handler,
            200,
            create_body(request_id, self.service),
            {"X-Request-Id": request_id, "X-Response-Stamp": self.stamp(request_id)},
        )

    def stamp(self, request_id: str) -> str:
        """Returns a stamp of its own for each answer."""
        return f"{request_id}.{self.service}.{self.name}.{next(self._stamps)}"

    def answer(
        self,
        handler: http.server.BaseHTTPRequestHandler,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        """Writes an answer; a draining server announces the close."""
        handler.send_response_only(status)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        if self.state == "draining" or handler.close_connection:
            handler.send_header("Connection", "close")
            handler.close_connection = True
        handler.end_headers()
        handler.wfile.write(body)
        handler.wfile.flush()

    def describe(self) -> dict:
        """Returns the entry for the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slot_count,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": next(self._sequence),
            "born": self._born_ms,
        }

    def _beat(self) -> None:
        self._store.write("servers", self.name, self.describe())

    def _beat_until_left(self) -> None:
        while not self._stopping.wait(HEARTBEAT_S):
            self._beat()


def create_body(request_id: str, service: str) -> bytes:
    """Returns the body of a service's answer to a request."""
    digest = hashlib.sha256(f"{request_id}/{service}".encode()).digest()
    return digest * 2


# The instances.

SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
PLACEHOLDER = re.compile(r"{{([\w.@,]+)(\|json)?}}")


def find_value(name: str, fields: dict) -> object:
    """Returns the value of a dotted name, or None."""
    value: object = fields
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def render_template(text: str, fields: dict) -> str:
    """Returns a settings file, filled in as the users' platform does."""

    def fill_section(match: re.Match) -> str:
        kind, name, section = match.groups()
        value = find_value(name, fields)
        if kind == "^":
            return "" if value else render_template(section, fields)
        if not isinstance(value, list):
            return render_template(section, fields) if value else ""
        filled = []
        for index, item in enumerate(value):
            part = section.replace("{{.|json}}", json.dumps(item))
            part = part.replace("{{,}}", "," if index < len(value) - 1 else "")
            filled.append(part)
        return "".join(filled)

    def fill_placeholder(match: re.Match) -> str:
        value = find_value(match[1], fields)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(fill_placeholder, SECTION.sub(fill_section, text))


class Instance:
    """One machine: a process of the deploy file's role, restarted when it ends."""

    def __init__(self, *, number: int, folder: Path, store_port: int, record: Record):
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.front, self.ready, self.control = find_free_ports(3)
        self.ended_by_itself = 0
        self._folder = folder
        self._store_port = store_port
        self._record = record
        self._process: subprocess.Popen | None = None
        self._expects_end = False
        self._stopping = False
        self._lock = threading.Lock()

    def start(self, seeds: list[str], role: dict) -> None:
        """Writes the settings and starts the process and its supervisor."""
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "region": "nairobi",
            "seeds": seeds,
            "bindAddresses": {
                "front": f"{HOST}:{self.front}",
                "ready": f"{HOST}:{self.ready}",
                "control": f"{HOST}:{self.control}",
            },
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
            },
            "bounds": BOUNDS,
            "platform": {"address": f"{HOST}:{self._store_port}"},
        }
        template = (ROOT / role["template"]).read_text()
        path = self._folder / f"{self.name}.settings"
        path.write_text(render_template(template, fields))
        command = [
            str(path) if word == SETTINGS_PATH else word for word in role["run"].split()
        ]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GOOSEBERRYMUX_NODE_FILE": str(path),
        }
        self._launch(command, environment)
        threading.Thread(
            target=self._supervise, args=(command, environment), daemon=True
        ).start()

    def send_signal(self, number: signal.Signals) -> float:
        """Sends a signal; returns its time. An end after it is no failure."""
        self._expects_end = self._expects_end or number is not signal.SIGHUP
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)
        return self._record.write("signal", machine=self.name, name=number.name)

    def is_ready(self) -> bool:
        """Asks the instance as the platform does each second."""
        connection = http.client.HTTPConnection(HOST, self.ready, timeout=1.0)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def stop(self) -> None:
        """Ends the process for good."""
        with self._lock:
            self._stopping = True
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            self._process.wait()

    def _launch(self, command: list[str], environment: dict[str, str]) -> None:
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write("process started", machine=self.name)

    def _supervise(self, command: list[str], environment: dict[str, str]) -> None:
        while True:
            code = self._process.wait()
            if self._stopping:
                return
            expected, self._expects_end = self._expects_end, False
            self.ended_by_itself += not expected
            self._record.write(
                "process ended", machine=self.name, code=code, expected=expected
            )
            time.sleep(RESTART_DELAY_S)
            with self._lock:
                if self._stopping:
                    return
                self._launch(command, environment)


def find_free_ports(count: int) -> list[int]:
    """Returns loopback ports that nothing listens on.

    They lie below the range from which the system takes ports for outgoing connections,
    so that none of those takes one before its instance listens.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            ports.append(port)
    return ports


# The requesters.


@dataclasses.dataclass(slots=True)
class Answer:
    """What a requester saw of one attempt.

    Attributes:
        sent_ms: When the last byte of the request was sent.
        ended_ms: When the answer was complete, or the attempt had failed.
        status: HTTP status; 0 without a complete answer.
        problem: Why there is no complete answer.
    """

    request_id: str
    machine: str
    sent_ms: float
    ended_ms: float
    status: int
    headers: dict[str, str]
    body: bytes
    problem: str = ""


class Requester:
    """Sends requests to one machine on a connection that it keeps."""

    def __init__(self, *, machine: Instance, record: Record, prefix: str):
        self.machine = machine
        self._record = record
        self._count = 0
        self._prefix = prefix
        self._connection: http.client.HTTPConnection | None = None

    @property
    def next_id(self) -> str:
        """Id of the next request."""
        return f"{self._prefix}{self._count + 1:05d}"

    def send(
        self, path: str, *, timeout_ms: int, method: str = "GET", body: bytes = b""
    ) -> Answer:
        """Sends one request and reads its answer."""
        request_id = self.next_id
        self._count += 1
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                HOST, self.machine.front, timeout=timeout_ms / 1000 + 1.0
            )
        headers = {
            "Host": REQUEST_HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(timeout_ms),
        }
        sent_ms = self._record.now_ms()
        status, fields, data, problem = 0, {}, b"", ""
        try:
            self._connection.request(method, path, body=body or None, headers=headers)
            sent_ms = self._record.now_ms()
            reply = self._connection.getresponse()
            data = reply.read()
            status = reply.status
            fields = {name.lower(): value for name, value in reply.getheaders()}
            if reply.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            problem = f"{type(error).__name__}: {error}"
            self.close()
        answer = Answer(
            request_id=request_id,
            machine=self.machine.name,
            sent_ms=sent_ms,
            ended_ms=self._record.now_ms(),
            status=status,
            headers=fields,
            body=data,
            problem=problem,
        )
        self._record.write(
            "answered" if status else "not answered",
            request=request_id,
            machine=answer.machine,
            sent_ms=round(sent_ms, 1),
            status=status,
            problem=problem,
        )
        return answer

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Deployment:
    """Store, machines and servers of one case."""

    def __init__(self, *, folder: Path, machines: int):
        self.record = Record(path=folder / "record.txt")
        self.store = Store()
        self.servers: list[Server] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.machines = [
            Instance(
                number=number,
                folder=self._folder,
                store_port=self.store.port,
                record=self.record,
            )
            for number in range(machines)
        ]

    def add_server(self, name: str, service: str, zone: str, **options) -> Server:
        """Starts a server and writes its entry."""
        server = Server(
            name=name,
            service=service,
            zone=zone,
            store=self.store,
            record=self.record,
            **options,
        )
        self.servers.append(server)
        server.join()
        return server

    def write_config(self, version: int, routes: list[dict], services: list[str]):
        """Writes a desired state; returns the time of its ack."""
        spec = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthCheckPath": "/health",
                    "maxConnections": 100,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.write("config", "main", spec)
        return self.record.write("desired state acknowledged", version=version)

    def start(self) -> None:
        """Starts the machines and waits until all are ready."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        role = next(role for role in roles.values() if "front" in role["serves"])
        seeds = [f"{HOST}:{machine.control}" for machine in self.machines[:3]]
        for machine in self.machines:
            machine.start(seeds, role)
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not all(machine.is_ready() for machine in self.machines):
            if time.monotonic() > until_s:
                raise CaseNotRunError("the machines are not ready")
            time.sleep(0.2)
        self.record.write("all machines ready")

    def stop(self, *, keep_logs: bool = False) -> None:
        """Ends all processes and listeners."""
        for machine in self.machines:
            machine.stop()
        self.record.close()
        if not keep_logs:
            shutil.rmtree(self._folder, ignore_errors=True)


def check_service(answers: list[Answer]) -> None:
    """Raises an error unless requests were served at all, so that a pass means much."""
    served = sum(answer.status == 200 for answer in answers)
    if served < LEAST_SERVED:
        raise CaseNotRunError(f"only {served} requests were served")


def create_route(name: str, prefix: str, **fields: object) -> dict:
    """Returns a route of the desired state."""
    return {
        "name": name,
        "host": REQUEST_HOST,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutMs": 2500,
        "targetLatencyMs": 200,
        "priority": 1,
        "maxAttempts": 2,
        **fields,
    }


def end_early(number: int, frame: object) -> None:
    """Ends the case on a signal; further signals don't interrupt the clean-up."""
    for other in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(other, signal.SIG_IGN)
    sys.exit(NOT_RUN)


def run_case(
    folder: Path, run: Callable[[Deployment], list[str]], *, machines: int = 3
) -> int:
    """Runs a case; returns the exit code.

    Args:
        folder: Folder of the case, for its record.
        run: Runs the case and returns a line for each way in which the rule was broken.
        machines: How many machines the deployment has.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end_early)
    deployment = None
    code = NOT_RUN
    try:
        deployment = Deployment(folder=folder, machines=machines)
        broken = run(deployment)
        for line in broken:
            deployment.record.write("rule broken", what=line)
            print(line)
        code = BROKEN if broken else HELD
        deployment.record.write("result", exit=code, trouble=has_trouble())
    except Exception:
        # An error of the script says nothing about the rule.
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.stop(keep_logs=bool(os.environ.get("KEEP_LOGS")))
    print(f"exit {code}, trouble {has_trouble()}")
    return code
