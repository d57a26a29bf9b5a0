"""The callers' side of a planned stop."""

import json
import threading

import pytest

from gooseberrymux.api import Api
from gooseberrymux.web import Request, create_json
from support import Node, wait_for


@pytest.fixture
def node(monkeypatch):
    """An instance whose first request runs until it is let."""
    node = Node("one", services=("api",), api={"settle_ms": 0})
    node.let = threading.Event()
    node.running = []

    def route(api, request):
        node.running.append(request.path)
        assert len(node.running) > 1 or node.let.wait(8)
        return create_json(status=200, body={})

    monkeypatch.setattr(Api, "_route", route)
    node.api = node.kernel.find("api", Api)
    return node


def handle(node):
    request = Request(method="POST", path="/v1/query", query="", headers={}, environ={})
    return node.api.handle(request)


def start(target):
    results = []
    thread = threading.Thread(target=lambda: results.append(target()), daemon=True)
    thread.start()
    return thread, results


def test_stop_waits_for_requests_in_progress_and_refuses_new_ones(node):
    caller, answers = start(lambda: handle(node))
    wait_for(lambda: node.running, "a running request")
    now_ms = node.kernel.clock.now_ms()
    drain, drained = start(lambda: node.api.drain(now_ms + 8_000))
    refused = []

    def is_refused():
        refused.append(handle(node))
        return refused[-1].status == 503

    wait_for(is_refused, "a refusal")
    body = json.loads(refused[-1].body)
    assert body["error"]["run_state"] == "not_run"
    drain.join(0.2)
    assert drain.is_alive()
    node.let.set()
    drain.join(8)
    caller.join(8)
    assert answers[0].status == 200
    assert len(drained) == 1


def test_requests_are_served_while_the_balancer_notices(node, monkeypatch):
    # Guards against refusals before the health answer had an effect.
    node.let.set()
    served = []

    def serve_instead_of_waiting(kernel, is_done, deadline_ms):
        served.append(handle(node).status)
        return False

    monkeypatch.setattr(type(node.kernel), "wait_until", serve_instead_of_waiting)
    node.api.drain(node.kernel.clock.now_ms() + 8_000)
    assert served == [200, 503]
