"""Refusal of malformed and oversized requests by the JSON API servers."""

import contextlib
import io
import json
import socket
import threading

import pytest
from result import Ok

from gooseberrymux import web
from gooseberrymux.caller_memory import CallerMemory
from gooseberrymux.clock import Clock
from gooseberrymux.kernel import Kernel
from gooseberrymux.settings import Address
from harness import create_settings


@contextlib.contextmanager
def serve(handle):
    server = web.create_server(
        address=Address(host="127.0.0.1", port=0),
        threads=2,
        handle=handle,
        clock=Clock(),
    )
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield server.bind_addr
    finally:
        web.stop_server(server)
        thread.join()


def send_raw_request(address, data):
    with socket.create_connection(address, timeout=10) as sock:
        # The server may refuse the request and close before all data is sent.
        with contextlib.suppress(OSError):
            sock.sendall(data)
        with contextlib.suppress(OSError):
            return sock.makefile("rb").readline()
    return b""


def read_body(data):
    request = web.Request(
        method="POST",
        path="/",
        query="",
        headers={},
        environ={"CONTENT_LENGTH": str(len(data)), "wsgi.input": io.BytesIO(data)},
    )
    return web.read_json(request, limit_bytes=1_000_000)


@pytest.mark.parametrize(
    "data",
    [
        b"[" * 5_000 + b"]" * 5_000,
        b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
        b'{"a":' * 5_000,
        b"\xff",
        b"[]",
        b"",
    ],
)
def test_a_body_that_does_not_decode_is_refused_as_not_run(data):
    refused = read_body(data).unwrap_err()
    assert refused.status == 400
    assert json.loads(refused.body)["error"]["run_state"] == "not_run"


def test_a_body_that_decodes_is_returned():
    assert read_body(b'{"a": 1}') == Ok({"a": 1})


def test_headers_beyond_the_limit_are_refused_before_the_handler():
    handled = []

    def handle(request):
        handled.append(request)
        return web.create_json(status=200, body={})

    with serve(handle) as address:
        long_value = b"a" * (2 * web.HEADER_LIMIT_BYTES)
        oversized_request = (
            b"GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + long_value + b"\r\n\r\n"
        )
        assert b" 431 " in send_raw_request(address, oversized_request)
        assert not handled
        valid_request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        assert b" 200 " in send_raw_request(address, valid_request)
        assert len(handled) == 1


def test_a_body_above_the_limit_gets_the_documented_answer_and_is_not_read():
    # Guards against a body that is read into memory only to be thrown away, and
    # against an answer that the caller loses because the connection is reset.
    def handle(request):
        refused = web.read_json(request, limit_bytes=100)
        return refused.unwrap_err()

    kernel = Kernel(settings=create_settings(), clock=Clock())
    server = web.create_limited_server(
        address=Address(host="127.0.0.1", port=0),
        handle=handle,
        kernel=kernel,
        connections=CallerMemory(kernel=kernel).create_listener("t", connections=4),
    )
    server.prepare()
    kernel.spawn(name="server", target=server.serve)
    try:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n"
        with socket.create_connection(server.bind_addr, timeout=10) as sock:
            sock.sendall(head + b"a" * 300_000)
            reply = sock.makefile("rb").read()
    finally:
        web.stop_server(server)
    assert b" 413 " in reply and b"too_large" in reply


def test_a_refusal_by_the_api_reaches_a_caller_that_still_sends():
    # Guards against a connection that is reset while the caller sends the body of a
    # refused request, by which the caller loses the refusal.
    def handle(request):
        return web.read_json(request, limit_bytes=100).unwrap_err()

    pause = threading.Event()
    with serve(handle) as address:
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
        with socket.create_connection(address, timeout=10) as sock:
            sock.sendall(head)
            for _ in range(200):
                sock.sendall(b"a" * 1_000)
                pause.wait(0.001)
            assert b" 413 " in sock.makefile("rb").read()
