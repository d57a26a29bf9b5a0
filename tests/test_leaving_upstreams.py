"""Work queued or sent for an upstream that is leaving, over real links and HTTP."""

import dataclasses
import threading

import pytest

from gooseberrymux import web
from gooseberrymux.clock import Clock
from gooseberrymux.configuration import Group
from gooseberrymux.configuration_model import (
    EMPTY_CONFIGURATION,
    ConfigurationChanged,
    Evacuation,
)
from gooseberrymux.departures import SOURCE_UPSTREAM, Departures
from gooseberrymux.dispatch import (
    REASON_LEAVING,
    Dispatch,
)
from gooseberrymux.documents import DocumentChanged
from gooseberrymux.inventory import (
    INVENTORY_NAME,
    REASON_DOMAIN_EVACUATED,
    REASON_UPSTREAM_LEAVING,
    Inventory,
)
from gooseberrymux.kernel import Kernel, LeaveStarted
from gooseberrymux.messages import Subrequest, SubrequestCompleted, SubrequestNotRun
from gooseberrymux.records import Rank
from gooseberrymux.settings import Address
from gooseberrymux.worker_pool import REASON_DRAINING
from support import Node, find_free_port, running, wait_for

GROUPS = (Group(name="all", index="all", match={}),)


class Upstream:
    """An upstream that can hold its replies back, or refuse requests as draining."""

    def __init__(self):
        self.port = find_free_port()
        self.request_ids = []
        self.draining = False
        self.may_reply = threading.Event()
        self.may_reply.set()
        self._server = web.create_server(
            address=Address(port=self.port),
            threads=4,
            handle=self._handle,
            clock=Clock(),
        )

    def __enter__(self):
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        return self

    def __exit__(self, *_):
        self.may_reply.set()
        web.stop_server(self._server)

    def _handle(self, request):
        request_body = web.read_json(request, limit_bytes=10_000).unwrap()
        self.request_ids.append(request_body["request_id"])
        if self.draining:
            body = {
                "request_id": request_body["request_id"],
                "error": REASON_DRAINING,
                "not_run": True,
            }
            return web.create_json(status=503, body=body)
        assert self.may_reply.wait(8)
        body = {
            "request_id": request_body["request_id"],
            "version": request_body["version"],
            "shard": request_body["shard"],
            "reply": {"hits": []},
        }
        return web.create_json(status=200, body=body)


class OwnerNode(Node):
    """An instance that runs sub-requests, with the outcomes of those submitted."""

    def __init__(self, name, upstream, **sections):
        super().__init__(name, services=("dispatch",), **sections)
        self.outcomes = {}
        self.upstream = upstream
        self.list_upstream(epoch=1)

    def list_upstream(self, *, epoch, state="live"):
        record = {
            "name": "u",
            "host": "127.0.0.1",
            "port": self.upstream.port,
            "service": "s",
            "failure_domain": "domain-a",
            "epoch": epoch,
            "slots": 1,
            "state": state,
        }
        self.kernel.publish(
            DocumentChanged(
                name=INVENTORY_NAME, generation=epoch, body={"upstreams": [record]}
            )
        )

    def evacuate(self, *domains):
        configuration = dataclasses.replace(
            EMPTY_CONFIGURATION, evacuations=[Evacuation(domain=d) for d in domains]
        )
        self.kernel.publish(ConfigurationChanged(configuration=configuration))

    def submit(self, name, *, remote=False):
        subrequest = Subrequest(
            id=name,
            request_id="q",
            upstream="u",
            rank=Rank.URGENT,
            remaining_ms=8_000,
            version="v1",
            shard="shard",
        )
        self.kernel.find("dispatch", Dispatch).submit(
            subrequest,
            lambda outcome: self.outcomes.__setitem__(name, outcome),
            requester="other" if remote else "",
        )

    def wait_for_outcome(self, name):
        wait_for(lambda: name in self.outcomes, f"the outcome of {name}")
        return self.outcomes[name]

    def list_replicas(self):
        inventory = self.kernel.find("inventory", Inventory)
        return inventory.list_replicas(groups=GROUPS, service_name="s")


@pytest.fixture
def upstream():
    with Upstream() as server:
        yield server


def assert_refused(outcome, reason):
    assert isinstance(outcome, SubrequestNotRun)
    assert outcome.reason == reason


def test_draining_reply_stops_new_work_while_the_list_still_says_live(upstream):
    owner = OwnerNode("one", upstream)
    upstream.draining = True
    with running(owner):
        owner.submit("first")
        assert_refused(owner.wait_for_outcome("first"), REASON_DRAINING)
        owner.list_upstream(epoch=1)
        assert owner.list_replicas() == ()
        owner.submit("second")
        assert_refused(owner.wait_for_outcome("second"), REASON_UPSTREAM_LEAVING)
        assert upstream.request_ids == ["first"]
        owner.list_upstream(epoch=2)
        assert len(owner.list_replicas()) == 1


def submit_behind_running(owner, upstream):
    """Submits a sub-request that runs at the upstream, and one that waits for it."""
    owner.submit("running")
    wait_for(lambda: upstream.request_ids == ["running"], "the running exchange")
    owner.submit("queued")


def test_queued_work_is_handed_back_and_the_running_exchange_finishes(upstream):
    owner = OwnerNode("one", upstream)
    upstream.may_reply.clear()
    with running(owner):
        submit_behind_running(owner, upstream)
        owner.list_upstream(epoch=1, state="leaving")
        assert_refused(owner.outcomes["queued"], REASON_UPSTREAM_LEAVING)
        upstream.may_reply.set()
        assert isinstance(owner.wait_for_outcome("running"), SubrequestCompleted)
    assert upstream.request_ids == ["running"]


def test_what_waits_for_an_evacuated_domain_is_refused_as_not_run(upstream):
    # Guards against work in the query path that waits for an evacuated domain.
    owner = OwnerNode("one", upstream)
    upstream.may_reply.clear()
    with running(owner):
        submit_behind_running(owner, upstream)
        owner.evacuate("domain-a")
        assert_refused(owner.outcomes["queued"], REASON_DOMAIN_EVACUATED)
        assert owner.list_replicas() == ()
        upstream.may_reply.set()
        assert isinstance(owner.wait_for_outcome("running"), SubrequestCompleted)


def test_notice_outlives_the_owner_that_saw_the_signal(upstream):
    # Guards against a new owner that sends work to a leaving upstream, because the old
    # owner saw the signal and the platform's list lags.
    first = OwnerNode("one", upstream)
    second = OwnerNode(
        "two", upstream, membership={"seeds": [{"port": first.address.port}]}
    )
    with running(second):
        with running(first):
            wait_for(lambda: len(second.live()) == len(first.live()) == 2, "both")
            upstream.draining = True
            first.submit("first")
            first.wait_for_outcome("first")
            departures = second.kernel.find("departures", Departures)
            wait_for(lambda: departures.is_leaving("u", 1), "the notice")
        wait_for(lambda: second.live() == ["two"], "the first owner dead")
        second.list_upstream(epoch=1)
        assert second.list_replicas() == ()
        second.submit("second")
        assert_refused(second.wait_for_outcome("second"), REASON_UPSTREAM_LEAVING)
    assert upstream.request_ids == ["first"]


def test_work_taken_from_the_queue_after_the_notice_is_not_sent(upstream, monkeypatch):
    # Guards against sending an item that was queued after the notice emptied the queue.
    # The check on submission may precede the notice, so it is repeated before sending.
    owner = OwnerNode("one", upstream)
    upstream.may_reply.clear()
    departures = owner.kernel.find("departures", Departures)
    with running(owner):
        submit_behind_running(owner, upstream)
        # Without events, the notice changes the table and leaves the queue as it is, as
        # if the item had been queued just after the queue was emptied.
        monkeypatch.setattr(Kernel, "publish", lambda kernel, event: None)
        departures.report_leaving(upstream="u", epoch=1, source=SOURCE_UPSTREAM)
        upstream.may_reply.set()
        assert_refused(owner.wait_for_outcome("queued"), REASON_UPSTREAM_LEAVING)
    assert upstream.request_ids == ["running"]


def test_planned_stop_hands_back_the_work_of_others_and_finishes_its_own(upstream):
    owner = OwnerNode("one", upstream)
    upstream.may_reply.clear()
    with running(owner):
        owner.submit("running", remote=True)
        wait_for(lambda: upstream.request_ids == ["running"], "the running exchange")
        owner.submit("other", remote=True)
        owner.submit("own")
        owner.kernel.publish(LeaveStarted(reason="planned stop"))
        assert_refused(owner.outcomes["other"], REASON_LEAVING)
        owner.submit("late", remote=True)
        assert_refused(owner.outcomes["late"], REASON_LEAVING)
        upstream.may_reply.set()
        assert owner.kernel.drain(owner.kernel.clock.now_ms() + 8_000)
        assert isinstance(owner.outcomes["running"], SubrequestCompleted)
        assert isinstance(owner.outcomes["own"], SubrequestCompleted)
