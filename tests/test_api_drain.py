"""Drain of the caller API when an instance stops as planned."""

import json
import threading

import pytest

from gooseberrymux.api import Api
from gooseberrymux.web import Request, create_json
from support import Node, wait_for


@pytest.fixture
def node(monkeypatch):
    """An instance whose first request runs until `release_first` is set."""
    node = Node("one", services=("api",), api={"settle_ms": 0})
    node.release_first = threading.Event()
    node.routed_paths = []

    def route(api, request):
        node.routed_paths.append(request.path)
        assert len(node.routed_paths) > 1 or node.release_first.wait(8)
        return create_json(status=200, body={})

    monkeypatch.setattr(Api, "_route", route)
    node.api = node.kernel.find("api", Api)
    return node


def post_query(node):
    request = Request(method="POST", path="/v1/query", query="", headers={}, environ={})
    return node.api.handle(request)


def run_in_thread(target):
    results = []
    thread = threading.Thread(target=lambda: results.append(target()), daemon=True)
    thread.start()
    return thread, results


def test_stop_waits_for_requests_in_progress_and_refuses_new_ones(node):
    request_thread, responses = run_in_thread(lambda: post_query(node))
    wait_for(lambda: node.routed_paths, "the first request to run")
    now_ms = node.kernel.clock.now_ms()
    drain_thread, drain_results = run_in_thread(lambda: node.api.drain(now_ms + 8_000))
    refused = []

    def is_refused():
        refused.append(post_query(node))
        return refused[-1].status == 503

    wait_for(is_refused, "a refusal")
    body = json.loads(refused[-1].body)
    assert body["error"]["run_state"] == "not_run"
    drain_thread.join(0.2)
    assert drain_thread.is_alive()
    node.release_first.set()
    drain_thread.join(8)
    request_thread.join(8)
    assert responses[0].status == 200
    assert len(drain_results) == 1


def test_requests_are_served_while_the_balancer_notices(node, monkeypatch):
    # Guards against refusing requests before load balancers saw the health response.
    node.release_first.set()
    served = []

    def serve_instead_of_waiting(kernel, is_done, deadline_ms):
        served.append(post_query(node).status)
        return False

    monkeypatch.setattr(type(node.kernel), "wait_until", serve_instead_of_waiting)
    node.api.drain(node.kernel.clock.now_ms() + 8_000)
    assert served == [200, 503]
