"""Stand-ins for the review: the store, servers, requesters, and a fleet of instances.

The store and the servers follow the users' protocol page. The instances are the
project's own program, started with the command of the deploy file.
"""

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

from machines.template import render

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
PAGE_SIZE = 500
# A server reads no more than this beyond the head of a request.
SERVER_READ_BYTES = 512
READY_TIMEOUT_S = 30.0
PORTS_FROM = 20_000
PORTS_TO = 30_000
USED_PORTS = set()
RUN_LIMIT_S = 115
HEARTBEAT_S = 1.2  # heartbeatMs
# An entry of kind `servers` is removed after so many pings were missing.
MISSED_PINGS = 3
# How often a server looks whether the caller has closed its connection.
LOOK_S = 0.002
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """Log of what was sent, answered and run; also printed. Thread-safe."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, text):
        """Writes one line with the time in front of it."""
        with self._lock:
            self._file.write(f"{self.now():9.3f} {text}\n")
            self._file.flush()


def read_head(stream):
    """Returns the first line and the headers, or None at the end of the connection."""
    line = stream.readline(65536).decode("latin-1").rstrip("\r\n")
    if not line:
        return None
    headers = {}
    while field := stream.readline(65536).decode("latin-1").rstrip("\r\n"):
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


class Listener:
    """Accepts connections on a loopback port; a thread serves each."""

    def __init__(self, serve, *, segment_bytes=None, receive_bytes=None):
        self._serve = serve
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if segment_bytes:
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
        if receive_bytes:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._sock.bind((HOST, 0))
        self._sock.listen(256)
        self.port = self._sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stops accepting connections."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        with contextlib.suppress(OSError, ValueError), sock:
            self._serve(sock)


class Store:
    """The platform's store: objects by kind, one revision counter, lists and watches.

    Entries of kind `servers` are removed after three pings of silence. Writes of the
    operator and of the servers are calls of its methods.
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._events = []
        self._revision = 1
        self._changed = threading.Condition()
        # Connections that are open, and those that have gone silent for good.
        self._open = set()
        self._silent = set()
        self._listeners = []
        # When each entry of kind `servers` was written last.
        self._pinged_at = {}
        threading.Thread(target=self._remove_lapsed, daemon=True).start()

    def ping(self, name, spec):
        """Writes an entry of kind `servers`, as its writer does every heartbeat.

        The entry changes only if more than its `sequence` does.
        """
        with self._changed:
            self._pinged_at[name] = time.monotonic()
            known = self._objects.get(("servers", name))
            if known is not None and {**known["spec"], "sequence": 0} == {
                **spec,
                "sequence": 0,
            }:
                known["spec"]["sequence"] = spec["sequence"]
                return
        self.put("servers", name, dict(spec))

    def start_writer(self, name, spec):
        """Writes an entry now and every heartbeat from then on."""

        def write():
            sequence = 1
            while True:
                time.sleep(HEARTBEAT_S)
                sequence += 1
                self.ping(name, {**spec, "sequence": sequence})

        self.ping(name, spec)
        threading.Thread(target=write, daemon=True).start()

    def _remove_lapsed(self):
        while True:
            time.sleep(HEARTBEAT_S / 4)
            now = time.monotonic()
            for name, pinged_at in list(self._pinged_at.items()):
                if now - pinged_at > MISSED_PINGS * HEARTBEAT_S:
                    del self._pinged_at[name]
                    self.remove("servers", name)

    def open_port(self):
        """Returns a new port of the store."""
        listener = Listener(self._serve)
        self._listeners.append(listener)
        return listener.port

    def put(self, kind, name, spec):
        """Creates or replaces an object; the return is the acknowledgement."""
        with self._changed:
            key = (kind, name)
            known = self._objects.get(key)
            if known is not None and known["spec"] == spec:
                return
            self._revision += 1
            item = {
                "meta": {
                    "name": name,
                    "revision": self._revision,
                    "createRev": known["meta"]["createRev"]
                    if known
                    else self._revision,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": None,
            }
            self._objects[key] = item
            self._events.append((self._revision, kind, item, False))
            self._changed.notify_all()

    def remove(self, kind, name):
        """Removes an object."""
        with self._changed:
            item = self._objects.pop((kind, name), None)
            if item is not None:
                self._revision += 1
                self._events.append((self._revision, kind, item, True))
                self._changed.notify_all()

    def silence_connections(self):
        """Makes all open connections silent for good; new ones work.

        Returns:
            How many there were.
        """
        with self._changed:
            self._silent |= self._open
            return len(self._silent)

    def _serve(self, sock):
        with self._changed:
            self._open.add(sock)
        try:
            self._serve_calls(sock)
        finally:
            with self._changed:
                self._open.discard(sock)

    def _serve_calls(self, sock):
        stream = sock.makefile("rb")
        while head := read_head(stream):
            line, headers = head
            stream.read(int(headers.get("content-length", 0)))
            method, target, _ = line.split(" ", 2)
            status, body = self._handle(method, target)
            with self._changed:
                if sock in self._silent:
                    continue
            data = json.dumps(body).encode()
            reply = (
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            sock.sendall(reply.encode() + data)

    def _handle(self, method, target):
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        path = unquote(parts.path).removeprefix("/-/objects/")
        kind, _, name = path.partition("/")
        if method != "GET":
            return 404, {}
        if "watch" in query:
            return self._watch(kind, query)
        with self._changed:
            if name:
                item = self._objects.get((kind, name))
                return (200, item) if item else (404, {})
            after = query.get("after", "")
            names = sorted(n for k, n in self._objects if k == kind and n > after)
            items = [self._objects[kind, found] for found in names[:PAGE_SIZE]]
            return 200, {
                "items": items,
                "hasMore": len(names) > PAGE_SIZE,
                "storeRevision": self._revision,
            }

    def _watch(self, kind, query):
        start = int(query["watch"])
        give_up = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self._changed:
            while True:
                events = [
                    {"object": item, "tombstone": deleted}
                    for revision, found, item, deleted in self._events
                    if found == kind and revision > start
                ]
                left = give_up - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self._revision}
                self._changed.wait(max(0.01, left))


class Run:
    """One request at a server.

    Attributes:
        method, target, headers: The head of the request as the server read it.
        sock, stream: The connection.
        deadline: When the time budget that the server was given ends.
    """

    def __init__(self, *, line, headers, sock, stream):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.sock = sock
        self.stream = stream
        budget_s = int(headers.get("x-deadline-ms", 10_000)) / 1000
        self.deadline = time.monotonic() + budget_s

    @property
    def id(self):
        """The requester's id of the request."""
        return self.headers.get("x-request-id", "")


def encode_answer(run, server, status=200, body=b"", stamp=True, **more):
    """Returns the bytes of a server's answer; underscores stand for hyphens."""
    fields = {"Content-Length": len(body), "X-Instance-Id": server}
    fields["X-Request-Id"] = run.id
    if stamp:
        fields["X-Response-Stamp"] = f"{server}.{run.id}.{status}"
    fields |= {name.replace("_", "-"): value for name, value in more.items()}
    lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def is_closed(sock):
    """Returns whether the other side has closed a connection."""
    try:
        return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


class Server:
    """One server of a service.

    Args:
        name: Its id in the store.
        service: Its service.
        handle: Called with each request in the thread of its connection; answers it.
        slots: Requests that it runs at the same time.
        queue: Requests that wait for a slot at most.
    """

    def __init__(self, *, name, service, zone, handle=None, slots=2, queue=12, **sizes):
        self.name = name
        self.service = service
        self._handle = handle or answer
        self._slots = threading.Semaphore(slots)
        self._queue = queue
        self._waiting = 0
        self._lock = threading.Lock()
        self._listener = Listener(self._serve, **sizes)
        self.spec = {
            "service": service,
            "address": f"{HOST}:{self._listener.port}",
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }

    def work(self, run, work_s, on_begin):
        """Runs a request in a slot, after waiting for one.

        Returns:
            The status to answer with: 200; 503 if the request has not run; 504 at its
            time budget; None if the caller has closed the connection.
        """
        with self._lock:
            if self._waiting >= self._queue:
                return 503
            self._waiting += 1
        try:
            while not self._slots.acquire(timeout=LOOK_S):
                if is_closed(run.sock):
                    return None
                if time.monotonic() >= run.deadline:
                    return 503
        finally:
            with self._lock:
                self._waiting -= 1
        try:
            on_begin(self, run)
            until = time.monotonic() + work_s
            while (left := until - time.monotonic()) > 0:
                if is_closed(run.sock):
                    return None
                if time.monotonic() >= run.deadline:
                    return 504
                time.sleep(min(LOOK_S, left))
            return 200
        finally:
            self._slots.release()

    def _serve(self, sock):
        stream = sock.makefile("rb", buffering=SERVER_READ_BYTES)
        while head := read_head(stream):
            line, headers = head
            length = int(headers.get("content-length", 0))
            run = Run(line=line, headers=headers, sock=sock, stream=stream)
            if headers.get("x-target-instance") not in (None, self.name):
                stream.read(length)
                sock.sendall(encode_answer(run, self.name, 421, stamp=False))
                continue
            self._handle(self, run, length)


def answer(server, run, length, *, work_s=0.005, on_begin=lambda server, run: None):
    """Reads a request, runs it and answers it, as a sound server does."""
    run.stream.read(length)
    match server.work(run, work_s, on_begin):
        case None:
            raise ValueError("the caller has closed the connection")
        case 503:
            reject(server, run)
        case status:
            body = b"ok" if status == 200 else b""
            run.sock.sendall(encode_answer(run, server.name, status, body))


def encode_rejection(run, server):
    """Returns the bytes of the answer that a request has not run."""
    return encode_answer(run, server, 503, stamp=False, X_Not_Executed="1")


def reject(server, run):
    """Answers that a request has not run."""
    run.sock.sendall(encode_rejection(run, server.name))


def create_config(version, routes, services):
    """Returns a desired state."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 26,
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


def create_route(name, prefix, service, kind="idempotent", **fields):
    """Returns a route of a desired state."""
    return {
        "name": name,
        "host": "pupu76.example",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 10000,
        "targetLatencyMs": 1302,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def find_free_port():
    """Returns a port of the loopback address that is free and not used before.

    It is outside of the range from which the system gives out ports, so that no
    connection takes it before the instance listens.
    """
    while True:
        port = random.randrange(PORTS_FROM, PORTS_TO)
        if port in USED_PORTS:
            continue
        USED_PORTS.add(port)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


class Instance:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, fleet, *, name, zone, store_port):
        self.name = name
        self.zone = zone
        self.store_port = store_port
        self.front = find_free_port()
        self.ready = find_free_port()
        self.control = find_free_port()
        self._fleet = fleet
        self._path = fleet.folder / f"{name}.yaml"
        self.process = None

    def start(self, seeds):
        """Starts the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        fields = {
            "nodeName": self.name,
            "role": "entry",
            "zone": self.zone,
            "region": "nairobi",
            "ip": HOST,
            "seeds": seeds,
            "bindAddresses": {
                "front": f"{HOST}:{self.front}",
                "ready": f"{HOST}:{self.ready}",
                "control": f"{HOST}:{self.control}",
            },
            "limits": {"cpuShare": 0.537, "cores": 2},
            "bounds": {
                "graceS": 6,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 54,
                "budgetWindowS": 10,
            },
            "platform": {"address": f"{HOST}:{self.store_port}"},
        }
        self._path.write_text(render((ROOT / role["template"]).read_text(), fields))
        words = [
            str(self._path) if word.endswith("node.toml") else word
            for word in role["run"].split()
        ]
        deps = ROOT / "target" / "deps"
        if not (deps / "gooseberrymux").is_dir():
            raise NotRunError("the build of the deploy file has not run")
        log = (self._fleet.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(deps),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
        )

    def is_ready(self):
        """Returns whether the instance reports itself ready."""
        with contextlib.suppress(OSError):
            return get(self.ready, "/-/ready").status == 200
        return False

    def kill(self):
        """Ends the process with SIGKILL."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    @property
    def log(self):
        """What the process wrote so far."""
        return (self._fleet.folder / f"{self.name}.log").read_text(errors="replace")


class Fleet:
    """The instances of one case, with a temporary folder for settings and logs."""

    def __init__(self, record, store):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.instances = []
        self._record = record
        self._store = store

    def start(self, zones):
        """Starts one instance for each zone and waits until all are ready."""
        counts = {}
        for zone in zones:
            counts[zone] = counts.get(zone, 0) + 1
            self.instances.append(
                Instance(
                    self,
                    name=f"front-{zone}-{counts[zone]}",
                    zone=zone,
                    store_port=self._store.open_port(),
                )
            )
        for instance in self.instances:
            instance.start(self.seeds)
        give_up = time.monotonic() + READY_TIMEOUT_S
        while not all(instance.is_ready() for instance in self.instances):
            if time.monotonic() > give_up:
                raise NotRunError("the instances are not ready in time")
            time.sleep(0.2)
        # The instances learn of each other within some probe periods.
        time.sleep(3.0)
        self._record.write(f"ready: {[i.name for i in self.instances]}")

    @property
    def seeds(self):
        """Control addresses of the first three instances."""
        return [f"{HOST}:{instance.control}" for instance in self.instances[:3]]

    def stop(self):
        """Ends all processes and removes the folder."""
        for instance in self.instances:
            instance.kill()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a requester got; the status is None if the connection ended without one."""

    def __init__(self, status=None, headers=None, body=b""):
        self.status = status
        self.headers = headers or {}
        self.body = body


def get(port, path, method="GET", body=b"", **headers):
    """Sends a request on a new connection and returns the answer.

    Waits as long as `X_Deadline_Ms` says; the status is None if there is none by then.
    """
    fields = {"Host": "pupu76.example"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body or method != "GET":
        fields["Content-Length"] = len(body)
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    wait_s = int(headers.get("X_Deadline_Ms", 1_000)) / 1000
    with socket.create_connection((HOST, port), timeout=wait_s) as sock:
        try:
            sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return read_answer(sock.makefile("rb"))
        except OSError:
            return Answer()


def read_answer(stream):
    """Returns the next answer of a connection."""
    head = read_head(stream)
    if head is None:
        return Answer()
    line, headers = head
    length = int(headers.get("content-length", 0))
    data = stream.read(length)
    if len(data) < length:
        return Answer()
    return Answer(int(line.split()[1]), headers, data)


def run_case(folder, case):
    """Runs `case(record, store, fleet)`, which returns whether the rule held."""
    record = Record(folder)
    store = Store(record)
    fleet = Fleet(record, store)

    def give_up(number, frame):
        raise NotRunError("the case took too long")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(RUN_LIMIT_S)
    try:
        held = case(record, store, fleet)
        code = EXIT_HELD if held else EXIT_BROKEN
    except Exception as error:
        record.write(f"could not run: {error!r}")
        code = EXIT_NOT_RUN
    finally:
        fleet.stop()
    verdict = {0: "held", 1: "broken", 2: "not run"}[code]
    record.write(f"trouble: {TROUBLE}; rule: {verdict}")
    print(f"trouble: {TROUBLE}; rule: {verdict}")
    sys.stdout.flush()
    os._exit(code)
