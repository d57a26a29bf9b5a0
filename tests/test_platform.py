"""Client of the object API against a server that misbehaves on real sockets."""

import contextlib
import json
import socket
import threading

import pytest
from result import Err, Ok

from control_fakes import create_kernel
from gooseberrymux.platform import (
    BODY_LIMIT_BYTES,
    Platform,
    PlatformObject,
    VersionConflict,
    Written,
)
from gooseberrymux.records import RunState


class RawServer:
    """Sends a fixed answer to each request; None closes without an answer."""

    def __init__(self, *answers: bytes | None):
        self.requests: list[bytes] = []
        self._answers = list(answers)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._socket.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        # Closing alone does not wake the thread that accepts.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self._thread.join(5)

    def _serve(self):
        for answer in self._answers:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with connection:
                self.requests.append(connection.recv(65_536))
                if answer is not None:
                    connection.sendall(answer)


def answer(status: int, body: object) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
    return head.encode() + b"Connection: close\r\n\r\n" + data


@pytest.fixture
def call():
    """Returns a function that runs one call against a fixed answer."""
    servers = []

    def run(method, *answers, **fields):
        server = RawServer(*answers)
        servers.append(server)
        return getattr(create_platform(server.url), method)(**fields)

    yield run
    for server in servers:
        server.close()


def create_platform(url: str) -> Platform:
    platform = Platform(kernel=create_kernel())
    platform._url = url
    return platform


PUT = {"name": "a/b", "value": {"x": 1}, "expected_version": 3}
FOUND = {"name": "a/b", "version": 4, "value": {"x": 2}}


def test_put_tells_written_from_conflict(call):
    assert call("put", answer(200, {"version": 4}), **PUT) == Ok(Written(version=4))
    conflict = call("put", answer(409, {"conflict": True, **FOUND}), **PUT)
    assert conflict == Ok(VersionConflict(current=PlatformObject(**FOUND)))


@pytest.mark.parametrize(
    ("reply", "run_state"),
    [
        (None, RunState.UNKNOWN),
        (answer(200, {"version": 4})[:-5], RunState.UNKNOWN),
        (answer(200, b"<html>"), RunState.UNKNOWN),
        (answer(200, {}), RunState.UNKNOWN),
        (answer(200, [1]), RunState.UNKNOWN),
        (answer(500, {}), RunState.UNKNOWN),
        (answer(503, {}), RunState.UNKNOWN),
        (answer(409, {"conflict": True}), RunState.NOT_RUN),
        (answer(429, {}), RunState.NOT_RUN),
        (answer(413, {}), RunState.NOT_RUN),
    ],
)
def test_failed_write_says_whether_it_may_have_taken_effect(call, reply, run_state):
    """Guards against a lost reply that passes for a write that was not run."""
    match call("put", reply, **PUT):
        case Err(error):
            assert error.run_state is run_state
            assert error.step.startswith("platform.")
        case Ok(found):
            pytest.fail(f"took {found} for an answer")


def test_write_that_finds_no_listener_was_not_run():
    with socket.create_server(("127.0.0.1", 0)) as probe:
        url = f"http://127.0.0.1:{probe.getsockname()[1]}"
    result = create_platform(url).put(**PUT)
    assert result.unwrap_err().run_state is RunState.NOT_RUN


@pytest.mark.parametrize(
    "value",
    [{"x": "y" * BODY_LIMIT_BYTES}, {"x": float("nan")}, {"x": object()}],
)
def test_value_that_the_platform_can_not_take_is_not_sent(value):
    server = RawServer(answer(200, {"version": 1}))
    platform = create_platform(server.url)
    result = platform.put(name="a", value=value, expected_version=0)
    server.close()
    assert result.unwrap_err().run_state is RunState.NOT_RUN
    assert server.requests == []
    assert platform.describe()["calls"] == {}


def test_read_of_another_object_is_an_error(call):
    """Guards against an answer that belongs to another call."""
    assert call("get", answer(200, FOUND), name="a/b").unwrap().version == 4
    assert call("get", answer(200, FOUND), name="a/c").is_err()


def test_malformed_object_does_not_hide_the_others(call):
    items = [FOUND, {"name": "bad", "version": "x", "value": {}}, 7]
    body = {"revision": 9, "objects": items}
    found = call("list_objects", answer(200, body), prefix="a").unwrap()
    assert found.objects == [PlatformObject(**FOUND)]
    assert [item.name for item in found.malformed] == ["bad", "?"]


def test_calls_beyond_the_limit_are_refused_and_calls_are_counted():
    """Guards against a slow platform that takes all threads of an instance."""
    platform = create_platform("http://127.0.0.1:1")
    platform._in_flight = platform._kernel.settings.platform.calls_in_flight
    error = platform.put(**PUT).unwrap_err()
    assert error.run_state is RunState.NOT_RUN
    assert "too many calls" in error.message
    platform._in_flight = 0
    assert platform.get("a").is_err()
    assert platform.watch(prefix="a", revision=0).is_err()
    described = platform.describe()
    assert described["in_flight"] == 0
    assert described["calls"] == {
        "put.refused": 1,
        "get.failed": 1,
        "watch.failed": 1,
    }
