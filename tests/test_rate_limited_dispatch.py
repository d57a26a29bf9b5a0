"""Worker pool of a stand-in upstream that names the rate of requests that it takes."""

import contextlib

from gooseberrymux.clock import MS_PER_S, Clock
from gooseberrymux.dispatch import Dispatch
from gooseberrymux.messages import Subrequest, SubrequestCompleted
from gooseberrymux.records import Rank, UpstreamRecord
from gooseberrystand.execution import Behaviour
from gooseberrystand.server import Call, Listener
from gooseberrystand.upstream import UpstreamServer
from harness import create_kernel, publish_upstreams, wait_until

RATE_PER_S = 5.0


class LimitedUpstream:
    """A dispatch and one stand-in upstream with a rate limit, on loopback."""

    def __init__(self):
        self.server = UpstreamServer(
            clock=Clock(),
            behaviour=Behaviour(service_ms=1.0, rate_limit_per_s=RATE_PER_S),
        )
        self.listener = Listener(port=0, application=self.server)
        self.listener.start()
        self.kernel = create_kernel()
        self.dispatch = self.kernel.find("dispatch", Dispatch)
        record = UpstreamRecord(
            name="u",
            host="127.0.0.1",
            port=self.listener.server_address[1],
            service="s0",
            failure_domain="a",
            slots=2,
        )
        publish_upstreams(self.kernel, 1, [record])
        self.outcomes = []

    def submit(self, name, remaining_ms):
        subrequest = Subrequest(
            id=name,
            request_id=name,
            upstream="u",
            rank=Rank.STANDARD,
            remaining_ms=remaining_ms,
            version="v1",
            shard="x",
        )
        self.dispatch.submit(subrequest, self.outcomes.append)

    def wait_for_outcomes(self, count):
        wait_until(lambda: len(self.outcomes) >= count, message="no outcome")

    def count_received(self):
        call = Call(
            method="GET", path="/_stats", query_parameters={}, headers={}, body={}
        )
        return self.server.handle_control(call).body["received"]["query"]


@contextlib.contextmanager
def open_limited_upstream():
    limited = LimitedUpstream()
    try:
        yield limited
    finally:
        limited.dispatch.stop()
        limited.listener.server_close()


# Guards against sub-requests of the product's own protocol that exceed the rate.
def test_an_upstream_gets_no_more_subrequests_than_the_rate_that_it_names():
    clock = Clock()
    with open_limited_upstream() as limited:
        limited.submit("first", 1_500.0)
        limited.wait_for_outcomes(1)
        started_ms = clock.now_ms()
        for number in range(40):
            limited.submit(f"r{number}", 1_500.0)
        limited.wait_for_outcomes(41)
        elapsed_s = (clock.now_ms() - started_ms) / MS_PER_S
        assert limited.count_received() - 1 <= RATE_PER_S * (elapsed_s + 1)


def test_what_waits_for_the_limit_is_sent():
    with open_limited_upstream() as limited:
        for number in range(3):
            limited.submit(f"r{number}", 3_000.0)
            limited.wait_for_outcomes(number + 1)
        assert all(isinstance(part, SubrequestCompleted) for part in limited.outcomes)
