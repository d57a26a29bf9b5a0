"""Forwarded requests from a caller's socket to upstreams and back, in one instance."""

import contextlib
import dataclasses
import threading

import pytest

from gooseberrymux.clock import Clock
from gooseberrymux.forward_messages import (
    CancelForward,
    ForwardCall,
    PartReplied,
    PartUnknown,
)
from gooseberrymux.gateway import NOT_READY_RETRY_MS, Gateway, find_age
from gooseberrymux.kernel import Kernel, LeaveStarted
from gooseberrymux.parts import Parts
from gooseberrymux.peers import MessagesNotSent, PeerLost
from gooseberrymux.pools import Pools
from gooseberrymux.routes import decode_routes
from harness import (
    FakeDocuments,
    FakeMembership,
    FakePeers,
    create_settings,
    publish,
    publish_upstreams,
    wait_until,
)
from http_scripted import PROOF, HttpCaller, HttpUpstream, create_route
from test_pool import FakeDepartures

FANOUT = {"services": ["s", "t"], "top": 2, "minimum_share": 0.5}


class World:
    """A gateway on a real socket with scripted upstreams."""

    def __init__(self, members=("entry",)):
        self.kernel = Kernel(settings=create_settings(), clock=Clock())
        self.peers = FakePeers()
        for name, fake in {
            "peers": self.peers,
            "membership": FakeMembership(members),
            "documents": FakeDocuments(),
            "departures": FakeDepartures(),
        }.items():
            self.kernel.register(name, fake)
        self.kernel.load(("gateway",))
        for name in ("timers", "callers", "gateway"):
            self.kernel._services[name].start()
        self.gateway = self.kernel.find("gateway", Gateway)
        self.address = self.gateway._server.bind_addr
        self.health = self.gateway._health.bind_addr
        self.opened = []

    def publish_routes(self, *routes, generation=1):
        publish(self.kernel, "routes/current", generation, routes=list(routes))

    def publish_upstreams(self, **behaviours):
        records = []
        for name, behave in behaviours.items():
            upstream = HttpUpstream(behave)
            self.opened.append(upstream)
            records.append(upstream.describe(f"u-{name}", service=name))
        publish_upstreams(self.kernel, 1, records)
        return self.opened

    def open_caller(self, address=None):
        caller = HttpCaller(address or self.address)
        self.opened.append(caller)
        return caller

    def stop(self):
        self.gateway.stop()
        self.kernel._services["callers"].stop()
        self.kernel._services["timers"].stop()
        for opened in self.opened:
            with contextlib.suppress(OSError):
                opened.close()


@pytest.fixture
def world():
    opened = World()
    yield opened
    opened.stop()
    assert opened.kernel.failure is None


def echo(request):
    request.reply(200, request.target.encode() + request.body, content_type="x/y")


def test_a_reply_is_returned_unchanged(world):
    world.publish_routes(create_route())
    (upstream,) = world.publish_upstreams(s=echo)
    caller = world.open_caller()
    status, headers, body = caller.get("/a/x?y", x_deadline_ms="300", x_own="1")
    assert (status, body) == (200, b"/a/x?y")
    assert headers["x-reply-proof"] == PROOF
    assert headers["content-type"] == "x/y"
    request = upstream.arrived[0]
    assert request.headers["x-own"] == "1"
    assert int(request.headers["x-deadline-ms"]) <= 300


def test_a_fan_out_is_answered_with_the_greatest_records_and_all_proofs(world):
    world.publish_routes(create_route(target=FANOUT))
    world.publish_upstreams(
        s=lambda r: r.reply(200, b"a" * 16 + b"c" * 16, proof="ps"),
        t=lambda r: r.reply(200, b"b" * 16 + b"rest", proof="pt"),
    )
    status, headers, body = world.open_caller().get()
    assert (status, body) == (200, b"c" * 16 + b"b" * 16)
    assert set(headers["x-part-proofs"].split(", ")) == {"ps", "pt"}
    assert headers["x-parts-missing"] == "0"


@pytest.mark.parametrize(
    ("given_ms", "age_ms"),
    [
        (3_000.0, 0.0),
        (3_000.0 - NOT_READY_RETRY_MS, 0.0),
        (2_000.0, 1_000.0),
        (100.0, 2_900.0),
    ],
)
def test_a_caller_that_comes_back_has_waited_before(given_ms, age_ms):
    """Guards against repeats that hold up requests which could be on time.

    One that was refused early and told to come back counts as new.
    """
    body = {"generation": 1, "routes": [create_route()]}
    (route,) = decode_routes(body).unwrap().routes
    route = dataclasses.replace(route, timeout_ms=3_000, latency_target_ms=100.0)
    assert find_age(route, given_ms) == age_ms


def test_a_caller_that_has_waited_for_too_long_is_late_for_its_owners(world):
    world.publish_routes(create_route(timeout_ms=3_000, latency_target_ms=100.0))
    world.publish_upstreams(s=echo)
    calls = []
    pools = world.kernel.find("pools", Pools)
    submit = pools.submit
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            Pools,
            "submit",
            lambda self, call, *rest: calls.append(call) or submit(call, *rest),
        )
        for deadline_ms in ("3000", "1000"):
            assert world.open_caller().get(x_deadline_ms=deadline_ms)[0] == 200
    assert 0.0 < calls[0].target_ms <= 100.0
    assert calls[1].target_ms <= -1_900.0


def test_a_part_that_is_missing_is_counted(world):
    world.publish_routes(create_route(target=FANOUT, latency_target_ms=100.0))
    world.publish_upstreams(s=lambda r: r.reply(200, b"a" * 16), t=lambda r: None)
    status, headers, body = world.open_caller().get()
    assert (status, headers["x-parts-missing"], body) == (200, "1", b"a" * 16)
    assert headers["x-part-proofs"] == PROOF


def test_a_fan_out_below_its_minimum_is_no_success(world):
    target = {**FANOUT, "minimum_share": 0.9}
    world.publish_routes(create_route(target=target, attempts=1))
    world.publish_upstreams(s=lambda r: r.reply(200, b"a" * 16), t=lambda r: r.reset())
    assert world.open_caller().get()[0] == 502


def test_before_the_first_routes_and_upstreams_it_is_not_ready(world):
    caller = world.open_caller()
    status, headers, _ = caller.get()
    assert (status, float(headers["retry-after"]) > 0) == (503, True)
    assert world.open_caller(world.health).get("/-/ready")[0] == 503
    world.publish_routes(create_route())
    assert caller.get()[0] == 503
    world.publish_upstreams(s=echo)
    assert caller.get()[0] == 200
    assert world.open_caller(world.health).get("/-/ready")[0] == 200


def test_metrics_are_served_beside_the_health(world):
    world.publish_routes(create_route())
    world.publish_upstreams(s=echo)
    assert world.open_caller().get()[0] == 200
    body = world.open_caller(world.health).get("/metrics")[2].decode()
    assert 'gooseberrymux_forwards_total{rank="urgent",status="200"}' in body


@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [
        ("/b/", {}, 404),
        ("/a/", {"host": "other.example"}, 404),
        ("/a/", {"x_deadline_ms": "soon"}, 400),
        ("/a/", {"x_deadline_ms": "-1"}, 400),
        ("/a/", {"x_deadline_ms": "0"}, 503),
    ],
)
def test_bad_requests_get_a_clear_status(world, target, headers, status):
    world.publish_routes(create_route())
    (upstream,) = world.publish_upstreams(s=echo)
    assert world.open_caller().get(target, **headers)[0] == status
    assert upstream.arrived == []


def test_the_routes_timeout_ends_a_request(world):
    world.publish_routes(create_route(timeout_ms=150, attempts=1))
    world.publish_upstreams(s=lambda request: None)
    started_ms = Clock().now_ms()
    assert world.open_caller().get(x_deadline_ms="9000")[0] in (502, 504)
    assert Clock().now_ms() - started_ms < 1000


def test_a_caller_that_leaves_ends_the_work_at_the_upstream(world):
    # Guards against servers that work for nobody.
    world.publish_routes(create_route(timeout_ms=9000))
    (upstream,) = world.publish_upstreams(s=lambda request: None)
    caller = world.open_caller()
    caller.send(b"GET /a/ HTTP/1.1\r\nHost: desk.example\r\n\r\n")
    wait_until(lambda: upstream.arrived, message="not sent")
    caller.close()
    assert upstream.left.acquire(timeout=5)


def test_more_data_is_not_taken_for_a_caller_that_left(world):
    world.publish_routes(create_route())
    gate = threading.Event()

    def hold(request):
        gate.wait(5)
        echo(request)

    (upstream,) = world.publish_upstreams(s=hold)
    caller = world.open_caller()
    request = b"GET /a/%d HTTP/1.1\r\nHost: desk.example\r\n\r\n"
    caller.send(request % 1)
    wait_until(lambda: upstream.arrived, message="not sent")
    caller.send(request % 2)
    gate.set()
    assert [caller.read()[2], caller.read()[2]] == [b"/a/1", b"/a/2"]


def test_a_stopping_instance_serves_on_and_closes_what_it_answers(world):
    # Guards against requests that a planned stop cuts.
    world.publish_routes(create_route())
    world.publish_upstreams(s=echo)
    kept, other = world.open_caller(), world.open_caller()
    assert kept.get()[0] == other.get()[0] == 200
    world.kernel.publish(LeaveStarted(reason="planned stop"))
    assert world.open_caller(world.health).get()[0] == 503
    status, headers, _ = kept.get()
    assert (status, headers["connection"]) == (200, "close")
    world.gateway._refusing = True
    status, headers, _ = other.get()
    assert (status, headers["connection"]) == (503, "close")
    assert float(headers["retry-after"]) > 0


class Remote:
    """An owner elsewhere, played by the test."""

    def __init__(self):
        self.world = World(members=("other",))
        self.peers = self.world.peers
        self.peers.incarnations["other"] = 3
        self.world.publish_upstreams(s=echo)
        self.parts = self.world.kernel.find("parts", Parts)

    def list_sent(self, kind=ForwardCall):
        return [message for _, message in self.peers.sent if isinstance(message, kind)]

    def start(self, **route):
        self.world.publish_routes(create_route(**route))
        caller = self.world.open_caller()
        caller.send(
            b"GET /a/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\n\r\n"
        )
        wait_until(self.list_sent, message="not dispatched")
        return caller

    def lose(self, incarnation=3):
        event = PeerLost(instance="other", incarnation=incarnation, reason="test")
        self.world.kernel.publish(event)

    def reply(self, call, incarnation=3, sender="other"):
        outcome = PartReplied(
            call=call.id,
            service="s",
            upstream="u",
            status=200,
            headers=(),
            proof="p",
            body=b"from afar",
            sends=1,
            queued_ms=0.0,
            upstream_ms=1.0,
        )
        self.peers.receive(sender, incarnation, outcome)


@pytest.fixture
def remote():
    opened = Remote()
    yield opened
    opened.world.stop()


def test_a_lost_owner_costs_a_repeatable_request_one_attempt(remote):
    caller = remote.start()
    remote.lose()
    wait_until(lambda: len(remote.list_sent()) == 2, message="not sent again")
    first, second = remote.list_sent()
    assert (second.attempts, second.dispatched_before) == (1, True)
    remote.reply(first)
    remote.reply(second)
    assert caller.read()[2] == b"from afar"


def test_a_lost_owner_leaves_an_order_unknown(remote):
    # Guards against an order that runs twice.
    caller = remote.start(repeatable=False)
    remote.lose()
    assert caller.read()[0] == 502
    assert len(remote.list_sent()) == 1


def test_what_was_never_sent_goes_to_another_owner_even_if_it_must_not_run_twice(
    remote,
):
    caller = remote.start(repeatable=False)
    event = MessagesNotSent(instance="other", messages=remote.list_sent())
    remote.world.kernel.publish(event)
    wait_until(lambda: len(remote.list_sent()) == 2, message="not sent again")
    assert remote.list_sent()[1].dispatched_before is False
    remote.reply(remote.list_sent()[1])
    assert caller.read()[0] == 200


def test_outcomes_of_another_run_or_instance_are_dropped(remote):
    caller = remote.start()
    (call,) = remote.list_sent()
    remote.reply(call, incarnation=2)
    remote.reply(call, sender="foreign")
    unknown = PartUnknown(call="x", service="s", reason="x", step="s", peer="p")
    remote.peers.receive("other", 3, unknown)
    remote.reply(call)
    assert caller.read()[2] == b"from afar"


def test_a_caller_that_leaves_has_its_parts_cancelled_at_their_owner(remote):
    caller = remote.start()
    caller.close()
    wait_until(lambda: remote.list_sent(CancelForward), message="not cancelled")
    (cancel,) = remote.list_sent(CancelForward)
    assert (cancel.id, cancel.services) == (remote.list_sent()[0].id, ["s"])
