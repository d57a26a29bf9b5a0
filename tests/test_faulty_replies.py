"""Replies of upstreams in trouble: endless, cut off, or framed ambiguously."""

import contextlib
import queue
import sys

import pytest

from gooseberrymux.forward_exchange import Broken, Replied
from gooseberrymux.reply_parser import (
    MalformedReplyError,
    ReplyParser,
    TruncatedReplyError,
)
from gooseberrystand.faulty_replies import (
    CutAt,
    CutInLastChunk,
    EndlessBody,
    EndlessChunkExtension,
    EndlessEmptyLines,
    EndlessHead,
    EndlessHeader,
    EndlessInterimReplies,
    EndlessNonsense,
    EndlessTrailers,
    EndlessUnframedBody,
    LengthAndCoding,
    RepeatedLength,
    SecondReply,
    UnknownCoding,
    send_reply,
)
from harness import create_reply_memory, wait_until
from http_scripted import PROOF, HttpUpstream
from test_connections import ConnectionDriver

BODY = b"sixteen byte rec" * 4
HEADERS = b"X-Reply-Proof: %b\r\nX-Request-Id: r-1\r\n" % PROOF.encode()
REPLY_BYTES = len(b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + HEADERS + BODY)
# Beyond the largest body and head that are allowed, with the sockets' buffers.
ENDLESS_READ_LIMIT_BYTES = 16 * 1024 * 1024
# Of an endless head or trailer an instance reads no more than this, sockets included.
HEAD_READ_LIMIT_BYTES = 8 * 1024 * 1024

ENDLESS_HEADS = [
    EndlessHead(),
    EndlessHeader(),
    EndlessEmptyLines(),
    EndlessInterimReplies(),
    EndlessNonsense(),
    EndlessChunkExtension(),
    EndlessTrailers(),
]
ENDLESS_BODIES = [EndlessBody(), EndlessUnframedBody()]
AMBIGUOUS = [
    RepeatedLength(),
    LengthAndCoding(),
    UnknownCoding(),
    UnknownCoding(name="gzip, chunked"),
]
# The end of the last chunk, and of a chunk size that looks like the last chunk.
LAST_CHUNK_CUTS = [b"", b"0", b"0\r", b"0\r\n", b"0\r\nX-A: b\r\n", b"00"]


MEMORY_LIMIT_BYTES = 32 * 1024 * 1024
UNFINISHED_BODY_BYTES = 3_000_000


def send_unfinished_body(request):
    request.reply(200, b"", content_length="")
    with contextlib.suppress(OSError):
        request.sock.sendall(b"x" * UNFINISHED_BODY_BYTES)


def name_fault(fault):
    return repr(fault).replace("()", "")


class FaultyExchange:
    """One exchange of a real connection with an upstream that replies with a fault."""

    def __init__(self, fault, *, closes=True):
        self._fault = fault
        self._closes = closes
        self.sent_bytes = queue.Queue()
        self.upstream = HttpUpstream(self._answer)
        self.driver = ConnectionDriver(self.upstream.create_record())

    def _answer(self, request):
        sent = send_reply(request.sock, headers=HEADERS, body=BODY, fault=self._fault)
        self.sent_bytes.put(sent)
        if self._closes:
            with contextlib.suppress(OSError):
                request.close()

    def run(self):
        # Far beyond what the exchange needs: a result has to come from a limit or from
        # the end of the connection, and not from the deadline.
        self.driver.start_exchange(budget_ms=60_000.0)
        return self.driver.results.get(timeout=30)

    def close(self):
        self.driver.close()
        self.upstream.close()


@pytest.fixture
def start_exchange():
    opened = []

    def create_exchange(fault, **options):
        opened.append(FaultyExchange(fault, **options))
        return opened[-1]

    yield create_exchange
    for exchange in opened:
        exchange.close()


@pytest.mark.parametrize("fault", ENDLESS_HEADS + ENDLESS_BODIES, ids=name_fault)
def test_an_endless_reply_fails_at_a_limit(start_exchange, fault):
    """Guards against an upstream that holds a thread, a core or the memory.

    It may send bytes that are no reply until the caller closes the connection.
    """
    exchange = start_exchange(fault)
    assert isinstance(exchange.run(), Broken)
    limit = (
        HEAD_READ_LIMIT_BYTES if fault in ENDLESS_HEADS else ENDLESS_READ_LIMIT_BYTES
    )
    assert exchange.sent_bytes.get(timeout=5) < limit
    assert not exchange.driver.is_open


def test_endless_bodies_on_many_connections_do_not_use_up_the_memory():
    """Guards against an instance that ends because its upstreams send without end.

    Each body stays below the limit of one reply, and together they would take 120 MB,
    more than a small machine has left.
    """
    memory = create_reply_memory(limit_bytes=MEMORY_LIMIT_BYTES)
    upstream = HttpUpstream(send_unfinished_body)
    drivers = [
        ConnectionDriver(upstream.create_record(), reply_memory=memory)
        for _ in range(40)
    ]
    for driver in drivers:
        driver.start_exchange(budget_ms=60_000.0)
    least_failed = len(drivers) - MEMORY_LIMIT_BYTES // UNFINISHED_BODY_BYTES
    wait_until(
        lambda: sum(driver.results.qsize() for driver in drivers) >= least_failed,
        message="too many unfinished replies are held",
    )
    failed = [driver.results.get() for driver in drivers if driver.results.qsize()]
    assert set(failed) == {Broken(reason="reply_memory_full")}
    assert memory.reserved_bytes <= MEMORY_LIMIT_BYTES
    for driver in drivers:
        driver.close()
    upstream.close()
    assert memory.reserved_bytes == 0


@pytest.mark.parametrize("whole", [True, False])
def test_a_closed_parser_is_freed_without_the_garbage_collector(whole):
    # Guards against bodies that stay in memory long after their replies have failed.
    parser = ReplyParser(method="GET", memory=create_reply_memory())
    length = 1_000 if whole else 2_000
    parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
    parser.feed(b"x" * 1_000)
    parser.close()
    # One reference is the variable, the other the argument.
    assert sys.getrefcount(parser) == 2
    assert parser._body == []


def test_usual_replies_are_read_while_others_use_up_the_memory():
    # Guards against requests of other callers that fail with the endless ones.
    memory = create_reply_memory(limit_bytes=1)
    upstream = HttpUpstream(lambda request: request.reply(200, b"x" * 60_000))
    driver = ConnectionDriver(upstream.create_record(), reply_memory=memory)
    driver.start_exchange(budget_ms=60_000.0)
    assert len(driver.results.get(timeout=30).reply.body) == 60_000
    driver.close()
    upstream.close()


@pytest.mark.parametrize("end", LAST_CHUNK_CUTS)
def test_a_chunked_body_without_its_end_is_not_whole(start_exchange, end):
    # Guards against a success for a body that was cut off in or before its last chunk.
    result = start_exchange(CutInLastChunk(end=end)).run()
    assert isinstance(result, Broken)


@pytest.mark.parametrize("size", range(REPLY_BYTES))
def test_a_reply_cut_at_any_byte_is_not_whole(size):
    # Guards against a success with an empty or short body when an upstream stops
    # within the head or the body of its reply.
    sink = Sink()
    send_reply(sink, headers=HEADERS, body=BODY, fault=CutAt(size=size))
    parser = ReplyParser(method="GET", memory=create_reply_memory())
    if sink.data:
        parser.feed(sink.data)
    with pytest.raises(TruncatedReplyError):
        parser.finish()
    assert parser.reply is None


@pytest.mark.parametrize("size", [0, 12, 17, 30, REPLY_BYTES - len(BODY) - 2])
def test_a_head_cut_off_reaches_no_caller_as_a_reply(start_exchange, size):
    assert isinstance(start_exchange(CutAt(size=size)).run(), Broken)


@pytest.mark.parametrize("fault", AMBIGUOUS, ids=name_fault)
def test_an_ambiguous_length_is_no_reply(start_exchange, fault):
    # Guards against a body of the wrong length, and against the rest of it being read
    # as the next reply.
    exchange = start_exchange(fault, closes=False)
    assert isinstance(exchange.run(), Broken)
    assert not exchange.driver.is_open


def test_a_second_reply_closes_the_connection(start_exchange):
    # Guards against a repeated reply that is read as the reply to the next request.
    exchange = start_exchange(SecondReply(), closes=False)
    assert isinstance(exchange.run(), Replied)
    assert not exchange.driver.is_open


class Sink:
    """Stands in for a socket and keeps the bytes written to it."""

    def __init__(self):
        self.data = b""

    def sendall(self, data):
        self.data += data


def parse(data, *, method="GET", piece_bytes=None):
    """Returns the parser after feeding it `data`, whole or in pieces."""
    parser = ReplyParser(method=method, memory=create_reply_memory())
    step = piece_bytes or max(1, len(data))
    for start in range(0, len(data), step):
        parser.feed(data[start : start + step])
    return parser


@pytest.mark.parametrize("piece_bytes", [1, 7, None])
def test_a_reply_in_pieces_is_the_same_reply(piece_bytes):
    data = (
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nX-A: b c \r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3;ext=1\r\nabc\r\n4\r\ndefg\r\n0\r\nX-Trailer: t\r\n\r\n"
    )
    reply = parse(data, piece_bytes=piece_bytes).reply
    assert (reply.status, reply.body) == (200, b"abcdefg")
    assert reply.headers == (("x-a", "b c"), ("transfer-encoding", "chunked"))
    assert not reply.closes_connection


@pytest.mark.parametrize(
    ("head", "method", "closes"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HEAD", False),
        (b"HTTP/1.1 204 No Content\r\n\r\n", "GET", False),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "GET", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", True),
        (
            b"HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 0\r\n\r\n",
            "GET",
            True,
        ),
    ],
)
def test_a_reply_without_a_body_is_complete_after_its_head(head, method, closes):
    parser = parse(head, method=method)
    assert parser.reply.body == b""
    assert parser.reply.closes_connection is closes
    assert not parser.has_excess


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 999 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\r\n folded\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_what_is_no_reply_of_this_protocol_is_malformed(data):
    with pytest.raises(MalformedReplyError):
        parse(data).finish()


def test_the_bytes_after_a_reply_are_noticed_whatever_they_are():
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
    for rest in (b"H", b"\x00", whole, b"HTTP/1.1 100 Continue\r\n\r\n"):
        parser = parse(whole + rest)
        assert parser.reply.body == b"ab"
        assert parser.has_excess
