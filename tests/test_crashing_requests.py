"""Requests that crash the upstreams that they are sent to."""

import pytest

from http_scripted import create_route
from test_gateway import GatewayEnvironment, echo

# Upstreams that one request may take down, however often its caller comes back.
CRASH_LIMIT = 3
CALLER_ATTEMPTS = 4
DEADLY_TARGET = "/a/deadly"


class CrashingUpstreams:
    """Upstreams that reset the connection of the deadly request, as in a crash.

    Attributes:
        crashes: Sends of the deadly request; each would end its upstream.
    """

    def __init__(self):
        self.crashes = 0

    def answer(self, request):
        if request.target != DEADLY_TARGET:
            echo(request)
            return
        self.crashes += 1
        request.reset()


@pytest.fixture
def env():
    created = GatewayEnvironment()
    yield created
    created.stop()


def send_deadly_requests(env, count):
    for number in range(count):
        status, _, _ = env.open_caller().get(
            DEADLY_TARGET, **{"x-request-id": f"r-{number}"}
        )
        assert status in (502, 503, 504)


# Guards against a request that takes down all upstreams of a service, one or two with
# each attempt of its caller.
def test_a_request_under_which_three_upstreams_ended_is_sent_to_no_other(env):
    upstreams = CrashingUpstreams()
    env.publish_routes(create_route())
    env.publish_replicas(["s"], 8, upstreams.answer)
    send_deadly_requests(env, CALLER_ATTEMPTS)
    assert upstreams.crashes <= CRASH_LIMIT


# Guards against a retry of each part of a fan-out at the other upstream of its shard,
# though the request is the common cause of all failures.
def test_a_fan_out_that_crashes_upstreams_is_not_sent_to_their_replicas(env):
    upstreams = CrashingUpstreams()
    shards = [f"s{number}" for number in range(8)]
    env.publish_routes(
        create_route(target={"services": shards, "top": 2, "minimum_share": 0.5})
    )
    env.publish_replicas(shards, 2, upstreams.answer)
    send_deadly_requests(env, 1)
    assert upstreams.crashes <= len(shards) + CRASH_LIMIT
