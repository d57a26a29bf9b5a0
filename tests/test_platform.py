"""Client of the object API against a server on real sockets that returns faults."""

import contextlib
import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from result import Err, Ok

from control_fakes import create_kernel
from gooseberrymux.platform import BODY_LIMIT_BYTES, Platform
from gooseberrymux.platform_objects import PlatformObject, VersionConflict, Written
from gooseberrymux.records import RunState
from http_scripted import EarlyAnsweringServer


class RawServer:
    """Sends fixed bytes in response to each request; None closes the connection."""

    def __init__(self, *responses: bytes | None):
        self.requests: list[bytes] = []
        self._responses = list(responses)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        # Unlike close, shutdown interrupts an `accept` that blocks in another thread.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self._thread.join(5)

    def _serve(self):
        for response in self._responses:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with connection:
                self.requests.append(connection.recv(65_536))
                if response is not None:
                    connection.sendall(response)


def response(status: int, body: object) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
    return head.encode() + b"Connection: close\r\n\r\n" + data


@pytest.fixture
def call():
    """Returns a function that makes one call to a server with fixed responses."""
    servers = []

    def run(method, *responses, **fields):
        server = RawServer(*responses)
        servers.append(server)
        return getattr(create_platform(server.url), method)(**fields)

    yield run
    for server in servers:
        server.close()


def create_platform(url: str) -> Platform:
    platform = Platform(kernel=create_kernel())
    platform._url = url
    return platform


PUT_ARGUMENTS = {"name": "a/b", "value": {"x": 1}, "expected_version": 3}
OBJECT = {"name": "a/b", "version": 4, "value": {"x": 2}}


def test_put_tells_written_from_conflict(call):
    assert call("put", response(200, {"version": 4}), **PUT_ARGUMENTS) == Ok(
        Written(version=4)
    )
    conflict = call("put", response(409, {"conflict": True, **OBJECT}), **PUT_ARGUMENTS)
    assert conflict == Ok(VersionConflict(current=PlatformObject(**OBJECT)))


@pytest.mark.parametrize(
    ("reply", "run_state"),
    [
        (None, RunState.UNKNOWN),
        (response(200, {"version": 4})[:-5], RunState.UNKNOWN),
        (response(200, b"<html>"), RunState.UNKNOWN),
        (response(200, {}), RunState.UNKNOWN),
        (response(200, [1]), RunState.UNKNOWN),
        (response(500, {}), RunState.UNKNOWN),
        (response(503, {}), RunState.UNKNOWN),
        (response(409, {"conflict": True}), RunState.NOT_RUN),
        (response(429, {}), RunState.NOT_RUN),
        (response(413, {}), RunState.NOT_RUN),
    ],
)
def test_failed_write_says_whether_it_may_have_taken_effect(call, reply, run_state):
    """Guards against reporting a write as not run when only its response was lost."""
    match call("put", reply, **PUT_ARGUMENTS):
        case Err(error):
            assert error.run_state is run_state
            assert error.step.startswith("platform.")
        case Ok(found):
            pytest.fail(f"accepted {found} as the result of a write")


def test_write_that_finds_no_listener_was_not_run():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    result = create_platform(url).put(**PUT_ARGUMENTS)
    assert result.unwrap_err().run_state is RunState.NOT_RUN


@pytest.mark.parametrize(
    "value",
    [{"x": "y" * BODY_LIMIT_BYTES}, {"x": float("nan")}, {"x": object()}],
)
def test_value_that_the_platform_can_not_take_is_not_sent(value):
    server = RawServer(response(200, {"version": 1}))
    platform = create_platform(server.url)
    result = platform.put(name="a", value=value, expected_version=0)
    server.close()
    assert result.unwrap_err().run_state is RunState.NOT_RUN
    assert server.requests == []
    assert platform.describe()["calls"] == {}


def test_read_of_another_object_is_an_error(call):
    """Guards against accepting the response to another call."""
    assert call("get", response(200, OBJECT), name="a/b").unwrap().version == 4
    assert call("get", response(200, OBJECT), name="a/c").is_err()


def test_malformed_object_does_not_hide_the_others(call):
    items = [OBJECT, {"name": "bad", "version": "x", "value": {}}, 7]
    body = {"revision": 9, "objects": items}
    found = call("list_objects", response(200, body), prefix="a").unwrap()
    assert found.objects == [PlatformObject(**OBJECT)]
    assert [item.name for item in found.malformed] == ["bad", "?"]


def test_calls_beyond_the_limit_are_refused_and_calls_are_counted():
    """Guards against a slow platform that blocks all threads of an instance."""
    platform = create_platform("http://127.0.0.1:1")
    platform._in_flight = platform._kernel.settings.platform.calls_in_flight
    error = platform.put(**PUT_ARGUMENTS).unwrap_err()
    assert error.run_state is RunState.NOT_RUN
    assert "too many calls" in error.message
    platform._in_flight = 0
    assert platform.get("a").is_err()
    assert platform.watch(prefix="a", revision=0, wait_ms=10).is_err()
    described = platform.describe()
    assert described["in_flight"] == 0
    assert described["calls"] == {
        "put.refused": 1,
        "get.failed": 1,
        "watch.failed": 1,
    }


class KeepAliveServer(ThreadingHTTPServer):
    """Counts connections, and answers a watch once `released` is set."""

    def __init__(self):
        super().__init__(("127.0.0.1", 0), KeepAliveHandler)
        self.connections = 0
        self.asked = threading.Event()
        self.released = threading.Event()

    def get_request(self):
        self.connections += 1
        return super().get_request()


class KeepAliveHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        if self.path.startswith("/watch"):
            self.server.asked.set()
            self.server.released.wait(5)
            body = json.dumps({"revision": 4, "objects": []}).encode()
        else:
            body = json.dumps(OBJECT).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


def test_idle_connections_are_dropped_without_harm_to_a_call_under_way():
    # Guards against a read on a connection that fell silent while it was idle, and
    # against a watch that fails since another thread drops the idle connections.
    server = KeepAliveServer()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    platform = create_platform(f"http://127.0.0.1:{server.server_port}")
    results = []
    watch = threading.Thread(
        target=lambda: results.append(
            platform.watch(prefix="a", revision=3, wait_ms=1_000)
        )
    )
    watch.start()
    assert server.asked.wait(5)
    assert platform.get("a/b").is_ok()
    assert platform.get("a/b").is_ok()
    assert server.connections == 2
    platform.drop_idle_connections()
    server.released.set()
    watch.join()
    assert results[0].is_ok()
    assert platform.get("a/b").is_ok()
    assert server.connections == 3
    server.shutdown()
    server.server_close()


def test_no_call_lands_within_a_body_that_the_platform_refused_early():
    # Guards against a call that the platform reads as the rest of the one before, which
    # it has refused before the body was in.
    server = EarlyAnsweringServer(
        lambda head: b"HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n"
    )
    platform = create_platform(f"http://127.0.0.1:{server.port}")
    value = {"x": "v" * (BODY_LIMIT_BYTES - 1_000)}
    refused = platform.put(name="a/b", value=value, expected_version=3)
    assert refused.unwrap_err().run_state is RunState.NOT_RUN
    platform.get("c")
    server.close()
    body, _, rest = server.body.partition(b"}GET /objects/c")
    assert body.count(b"v") >= len(value["x"]) and b"GET" not in body
    assert rest
