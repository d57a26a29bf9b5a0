"""Crowds of hostile callers at each listener of a real instance.

A test checks that the process lives, that its memory and descriptors stay under bounds
that follow from the lowered limits, and that an ordinary request is answered while the
crowd is still connected. It checks no times.
"""

import pytest

from door import (
    ADMINISTRATION_PATH,
    CONNECTION_LIMIT,
    CROWD,
    FIXED_OVERHEAD_BYTES,
    LARGE_PATH,
    LIMITS,
    MEMORY_BUDGET_BYTES,
    OWN_DESCRIPTORS,
    READY_PATH,
    ROUTE_PATH,
    UNKNOWN_PATH,
    Crowd,
    Door,
)

pytestmark = pytest.mark.processes

BODY_BYTES = 262_000
FAR_TOO_LONG_BYTES = 8 * 1024 * 1024
UNREAD_ANSWERS = 24
MANY_CONNECTIONS = 3 * CONNECTION_LIMIT
# Opening of a connection that sends frames to an instance (SP protocol, PUSH).
PEER_GREETING = b"\x00SP\x00\x00\x50\x00\x00"
PEER_FRAME_BYTES = 1024 * 1024


@pytest.fixture
def door(tmp_path):
    started = Door(tmp_path, LIMITS)
    try:
        started.start()
        yield started
    finally:
        started.stop()


def create_head(path, *headers):
    lines = (f"POST {path} HTTP/1.1", "Host: desk.example", *headers)
    return ("\r\n".join(lines) + "\r\n").encode()


def create_open_body(path):
    """Returns a request of legal size of which the last byte is missing."""
    head = create_head(path, f"Content-Length: {BODY_BYTES}")
    return [head + b"\r\n" + b"a" * (BODY_BYTES - 1)]


def create_small_pieces(path):
    """Returns the same in writes of 64 bytes at the end, after one large one."""
    (data,) = create_open_body(path)
    cut = len(data) - 64 * 16
    return [data[:cut], *(data[at : at + 64] for at in range(cut, len(data), 64))]


def create_open_chunks(path, *, extension=b""):
    """Returns a body of chunks of one byte, of which the end is missing."""
    head = create_head(path, "Transfer-Encoding: chunked") + b"\r\n"
    return [head, (b"1" + extension + b"\r\na\r\n") * BODY_BYTES]


def create_open_head(path):
    return [create_head(path, *["a: b"] * 120)]


def create_long_query(path):
    fields = "&".join(["a=b"] * 3_500)
    return [create_head(f"{path}?{fields}", "Content-Length: 9") + b"\r\n"]


def create_endless_trailers(path):
    head = create_head(path, "Transfer-Encoding: chunked")
    return [head + b"\r\n1\r\na\r\n0\r\n" + b"a: b\r\n" * 30_000]


def create_far_too_long_body(path):
    head = create_head(path, "Content-Length: 1000000000")
    return [head + b"\r\n", *[b"a" * 65_536] * (FAR_TOO_LONG_BYTES // 65_536)]


def create_pipeline(path):
    return [(create_head(path) + b"\r\n") * 3_000]


def check_bounds(door):
    assert door.is_alive, door.read_log()
    risen = door.read_memory("VmHWM") - door.memory_before
    assert risen <= MEMORY_BUDGET_BYTES + FIXED_OVERHEAD_BYTES, risen
    opened = door.count_descriptors() - door.descriptors_before
    assert opened <= CONNECTION_LIMIT + OWN_DESCRIPTORS, opened


@pytest.mark.parametrize("path", [ROUTE_PATH, UNKNOWN_PATH])
@pytest.mark.parametrize(
    "create",
    [
        create_open_body,
        create_small_pieces,
        create_open_chunks,
        create_open_head,
        create_long_query,
        create_endless_trailers,
        create_far_too_long_body,
        create_pipeline,
    ],
)
def test_a_crowd_of_callers_leaves_room_for_an_ordinary_one(door, create, path):
    # Guards against a process that ends, grows without bound or serves nobody under one
    # kind of hostile request.
    with Crowd(door, "callers", create(path)):
        check_bounds(door)
        assert door.ask_until_answered("callers", ROUTE_PATH) == 200
        check_bounds(door)


def test_unread_large_answers_leave_room_for_an_ordinary_caller(door):
    # Guards against answers that callers never read and that are not charged.
    # More answers than the buffers of the system take; each caller reads none.
    head = f"GET {LARGE_PATH} HTTP/1.1\r\nHost: desk.example\r\n\r\n".encode()
    with Crowd(door, "callers", [head * UNREAD_ANSWERS]):
        assert door.ask_until_answered("callers", ROUTE_PATH) == 200
        check_bounds(door)


def test_chunk_extensions_leave_room_for_an_ordinary_caller(door):
    # Guards against framing that is kept in memory although it is not part of the body.
    with Crowd(door, "callers", create_open_chunks(ROUTE_PATH, extension=b";a=b")):
        assert door.ask_until_answered("callers", ROUTE_PATH) == 200
        check_bounds(door)


def test_more_callers_than_the_limit_leave_room_for_an_ordinary_one(door):
    # Guards against idle callers that take all connections.
    pieces = [create_head(ROUTE_PATH)]
    with Crowd(door, "callers", pieces, size=MANY_CONNECTIONS):
        check_bounds(door)
        assert door.ask_until_answered("callers", ROUTE_PATH) == 200
        check_bounds(door)


def test_an_instance_without_free_descriptors_serves_again(door):
    # Guards against an accept loop that ends, or that spins, when the system has no
    # descriptor left for a new connection.
    door.limit_descriptors(CROWD // 2)
    with Crowd(door, "callers", [create_head(ROUTE_PATH)]):
        assert door.ask_until_answered("callers", ROUTE_PATH) == 200
        check_bounds(door)


@pytest.mark.parametrize(
    ("listener", "path", "status"),
    [("health", READY_PATH, 200), ("administration", ADMINISTRATION_PATH, 401)],
)
@pytest.mark.parametrize(
    "create", [create_open_body, create_open_head, create_far_too_long_body]
)
def test_a_crowd_at_a_small_listener_hides_no_answer(
    door, create, listener, path, status
):
    # Guards against an instance that seems not ready, or that operators can't reach,
    # because slow callers hold all threads of a small listener.
    with Crowd(door, listener, create(path)):
        assert door.ask(listener, path) == status
        check_bounds(door)


def test_frames_that_never_end_leave_the_peer_port_bounded(door):
    # Guards against memory held for frames of senders that are not peers.
    frame = (PEER_FRAME_BYTES).to_bytes(8) + b"a" * (PEER_FRAME_BYTES - 1)
    with Crowd(door, "peers", [PEER_GREETING, frame], size=CROWD // 2):
        assert door.ask_until_answered("callers", ROUTE_PATH) == 200
        check_bounds(door)


def test_silent_connections_leave_the_peer_port_bounded(door):
    # Guards against connections without a frame that are never closed.
    with Crowd(door, "peers", [b"\x00SP"], size=MANY_CONNECTIONS):
        check_bounds(door)
        assert door.ask_until_answered("callers", ROUTE_PATH) == 200


def test_a_single_body_of_small_chunks_within_the_limits_is_served(door):
    # A bound on the work of small pieces must not refuse a legal request of one caller.
    head, chunks = create_open_chunks(ROUTE_PATH)
    with door.connect("callers") as sock:
        sock.sendall(head + chunks + b"0\r\n\r\n")
        with sock.makefile("rb") as stream:
            assert stream.readline().split()[1] == b"200"
    check_bounds(door)
