"""Chunked bodies in pieces, and the accept loop and peer port under a crowd."""

import errno
import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.accept_loop import SHORTAGE_PAUSE_MS, AcceptLoop
from gooseberrymux.caller_body import ChunkParser, RequestError
from gooseberrymux.clock import Clock

LIMIT_BYTES = 1_000
# Data in which the empty line that ends a body occurs again and again.
CONFUSING = st.lists(
    st.sampled_from([b"a", b"\r", b"\n", b"\r\n", b"0\r\n\r\n", b"\r\n\r\n"]),
    min_size=1,
    max_size=6,
).map(b"".join)


def encode(chunks, trailers=b""):
    framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return framed + b"0\r\n" + trailers + b"\r\n"


@given(
    chunks=st.lists(CONFUSING, max_size=8),
    cuts=st.lists(st.integers(1, 9), min_size=1),
    trailers=st.sampled_from([b"", b"a: b\r\n"]),
)
def test_a_chunked_body_ends_exactly_before_the_next_request(chunks, cuts, trailers):
    # Guards against a part of the body that is taken for the next request, and against
    # a next request that is lost in the body.
    body = encode(chunks, trailers)
    data = body + b"GET / HTTP/1.1\r\n\r\n"
    parser = ChunkParser(limit_bytes=LIMIT_BYTES)
    used = 0
    for size in itertools.cycle(cuts):
        used += parser.feed(data[used : used + size])
        if parser.is_complete:
            break
    assert (used, bytes(parser.body)) == (len(body), b"".join(chunks))


@pytest.mark.parametrize(
    "data",
    [
        b"1;" + b"x" * 20_000 + b"\r\na\r\n0\r\n\r\n",
        encode([b"a"], b"a: b\r\n" * 40),
        b"1\na\n0\n\n",
        b"\r\n",
        b"fffffffffffffffff\r\n",
        b"0\r\nno colon\r\n\r\n",
    ],
)
def test_a_malformed_or_padded_chunked_body_is_refused(data):
    # Guards against framing that costs far more than the body, or that the next hop
    # reads in another way.
    with pytest.raises(RequestError):
        ChunkParser(limit_bytes=LIMIT_BYTES).feed(data)


class ShortListener:
    """Has no descriptor left for some calls, then stops its server."""

    def __init__(self, loop, failures):
        self._loop = loop
        self._failures = failures

    def accept(self):
        if not self._failures:
            self._loop.ready = False
            raise TimeoutError
        self._failures -= 1
        raise OSError(errno.EMFILE, "too many open files")


class PausingClock(Clock):
    __slots__ = ("pauses",)

    def __init__(self):
        self.pauses = []

    def sleep_ms(self, duration_ms):
        self.pauses.append(duration_ms)


class CountingConnections:
    sheds = 0

    def shed_for_descriptor(self):
        self.sheds += 1


def test_the_accept_loop_waits_for_a_descriptor_and_does_not_spin():
    # Guards against a loop that uses a whole processor while no descriptor is left.
    loop = AcceptLoop()
    loop.clock, loop.connections = PausingClock(), CountingConnections()
    loop.ready, loop.socket = True, ShortListener(loop, failures=3)
    loop.serve()
    assert loop.clock.pauses == [SHORTAGE_PAUSE_MS] * 3
    assert loop.connections.sheds == 3
