"""Exchanges with upstreams that end at any point of either direction."""

import contextlib
import dataclasses
import queue
import random
import re
import socket
import threading

import pytest

from connection_driver import ORDER, ConnectionDriver, count_writers
from gooseberrymux.forward_exchange import NotSent
from harness import wait_until
from http_scripted import HttpUpstream, reset

EXCHANGES = 30
BODY_SIZES = (0, 200, 300_000, 8_000_000)
ABORT_DELAYS_S = (0.0, 0.001, 0.02)
ENDS = ("answer", "early", "early", "early_close", "answer_close", "reset", "silent")
HEAD_END = b"\r\n\r\n"


class FaultyUpstream(HttpUpstream):
    """Ends each exchange in a way that is drawn, and keeps all bytes that it reads.

    Attributes:
        streams: What was read from each connection.
    """

    def __init__(self, rng):
        super().__init__(handler=None)
        self.streams = []
        self._rng = rng
        self._pause = threading.Event()
        # A small window, so that a long body waits for its reader.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)

    def _serve(self, sock):
        stream = bytearray()
        self.streams.append(stream)
        with contextlib.suppress(OSError), sock, sock.makefile("rb") as file:
            while head := read_head(file, stream):
                end = self._rng.choice(ENDS)
                if end.startswith("early"):
                    answer(sock, head)
                if end == "early":
                    # The rest of the body waits here while the next request comes.
                    self._pause.wait(0.02)
                if end == "early_close":
                    return
                if end == "reset":
                    stream += file.read1(4_096) if get_length(head) else b""
                    reset(sock, file)
                    return
                remaining = get_length(head)
                while remaining and (data := file.read1(remaining)):
                    stream += data
                    remaining -= len(data)
                if end.startswith("answer"):
                    answer(sock, head)
                if end == "answer_close":
                    return


def read_head(file, stream):
    head = b""
    while not head.endswith(HEAD_END):
        line = file.readline()
        if not line:
            return b""
        head += line
        stream += line
    return head


def answer(sock, head):
    request_id = re.search(rb"(?i)x-request-id: (\S+)", head)[1]
    fields = b"Content-Length: 0\r\nX-Reply-Proof: p.%b\r\n" % request_id
    sock.sendall(b"HTTP/1.1 200 X\r\n%bX-Request-Id: %b\r\n\r\n" % (fields, request_id))


def get_length(head):
    return int(re.search(rb"(?i)content-length: (\d+)", head)[1])


def split_requests(stream):
    """Returns the ids of a connection's requests, and checks that each is whole.

    Only the last may be cut off, as its connection may have ended within it.
    """
    request_ids = []
    rest = bytes(stream)
    while HEAD_END in rest:
        head, _, rest = rest.partition(HEAD_END)
        assert head.startswith(b"POST /a/x?q=1 HTTP/1.1\r\n"), head[:200]
        request_ids.append(re.search(rb"(?i)x-request-id: (\S+)", head)[1].decode())
        length = get_length(head)
        body, rest = rest[:length], rest[length:]
        assert body == request_ids[-1].encode()[-1:] * len(body), head[:200]
    assert not rest, rest[:200]
    return request_ids


@pytest.mark.parametrize("seed", range(12))
def test_each_exchange_ends_once_and_its_bytes_stand_alone(seed):
    # Guards against a request within another, a request that is written twice, one that
    # is reported as not sent and was written, and an exchange or a thread that stays.
    rng = random.Random(seed)
    upstream = FaultyUpstream(random.Random(seed + 1_000))
    driver = ConnectionDriver(upstream.create_record())
    pause = threading.Event()
    not_sent = set()
    for number in range(EXCHANGES):
        size = rng.choice(BODY_SIZES)
        request_id = f"r-{number}"
        body = request_id[-1:].encode() * size
        order = dataclasses.replace(ORDER, request_id=request_id, body=body)
        exchange = driver.start_exchange(order, budget_ms=9e3)
        pause.wait(rng.choice(ABORT_DELAYS_S))
        if rng.random() < 0.3:
            driver.connection.abort(exchange)
        try:
            result = driver.results.get(timeout=0.2)
        except queue.Empty:
            driver.connection.abort(exchange)
            result = driver.results.get(timeout=5)
        if isinstance(result, NotSent):
            not_sent.add(request_id)
    driver.close()
    wait_until(lambda: not count_writers(), message="a request is still written")
    upstream.close()
    assert driver.results.empty()
    written = [
        request_id
        for stream in upstream.streams
        for request_id in split_requests(stream)
    ]
    assert len(written) == len(set(written))
    assert not not_sent & set(written)
