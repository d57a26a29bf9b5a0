"""Admission limits of each rank, and the HTTP errors that callers get."""

import io
import json
import threading

import pytest

from gooseberrymux.admission import Admission
from gooseberrymux.api import Api
from gooseberrymux.clock import ManualClock
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import Rank, RunState
from gooseberrymux.settings import SettingsError
from gooseberrymux.web import Request
from harness import create_kernel, create_settings, publish_index, publish_upstreams
from scripted import ScriptedUpstream


def create_admission(clock=None, **overrides):
    kernel = Kernel(settings=create_settings(**overrides), clock=clock or ManualClock())
    return Admission(kernel=kernel)


def test_a_flood_of_one_rank_does_not_use_up_the_limits_of_others():
    # Guards against patient requests that use up the limit of urgent ones.
    admission = create_admission(ranks={"patient": {"request_limit": 2}})
    results = [admission.enter(Rank.PATIENT) for _ in range(50)]
    assert [result.is_ok() for result in results] == [True] * 2 + [False] * 48
    refusal = results[-1].unwrap_err()
    assert (refusal.code, refusal.run_state) == ("overloaded", RunState.NOT_RUN)
    assert admission.enter(Rank.URGENT).is_ok()
    admission.leave(Rank.PATIENT, duration_ms=5.0)
    assert admission.enter(Rank.PATIENT).is_ok()


def test_a_request_leaves_even_when_it_fails():
    # Guards against a failed request that counts as in progress for ever.
    clock = ManualClock()
    admission = create_admission(clock, ranks={"urgent": {"request_limit": 1}})
    for _ in range(3):
        with pytest.raises(ZeroDivisionError):
            with admission.admit(Rank.URGENT) as refused:
                assert refused is None
                clock.advance(40_000)
                raise ZeroDivisionError
    assert admission.describe()["urgent"]["in_progress"] == 0
    with admission.admit(Rank.URGENT), admission.admit(Rank.URGENT) as refused:
        assert refused.retry_after_ms > 5_000
    assert admission.describe()["urgent"]["in_progress"] == 0


def count_admitted(admission, rank):
    count = 0
    while admission.enter(rank).is_ok():
        count += 1
    for _ in range(count):
        admission.leave(rank, duration_ms=1.0)
    return count


def test_overload_lowers_the_limit_and_good_answers_raise_it_again():
    # Guards against an overloaded tier that starts every query and completes none.
    clock = ManualClock()
    admission = create_admission(clock, ranks={"urgent": {"request_limit": 20}})
    for _ in range(20):
        admission.enter(Rank.URGENT)
    for _ in range(5):
        admission.adapt_limit(Rank.URGENT, overloaded=True)
    assert admission.describe()["urgent"]["limit"] == 16  # one decrease per interval
    for _ in range(50):
        clock.advance(1_000)
        admission.adapt_limit(Rank.URGENT, overloaded=True)
    assert admission.describe()["urgent"]["limit"] == 2
    assert admission.describe()["patient"]["limit"] == 8
    for _ in range(20):
        admission.leave(Rank.URGENT, duration_ms=1.0)
    for _ in range(400):
        admission.adapt_limit(Rank.URGENT, overloaded=False)
    assert count_admitted(admission, Rank.URGENT) == 20


def test_limits_that_leave_no_thread_are_refused_at_the_start():
    # Guards against settings with which a flood of all ranks uses up the API threads
    # and blocks health checks.
    with pytest.raises(SettingsError, match="api.threads"):
        create_admission(api={"threads": 48})


def post_query(api, **body):
    data = json.dumps(body).encode()
    request = Request(
        method="POST",
        path="/v1/query",
        query="",
        headers={},
        environ={"CONTENT_LENGTH": str(len(data)), "wsgi.input": io.BytesIO(data)},
    )
    response = api.handle(request)
    return response, json.loads(response.body)


def test_overload_and_expired_deadlines_reach_the_caller_as_http_errors():
    request_arrived, reply_allowed = threading.Event(), threading.Event()

    def handle_request(request):
        request_arrived.set()
        reply_allowed.wait(10)
        request.complete()

    upstream = ScriptedUpstream(handle_request)
    kernel = create_kernel(ranks={"patient": {"request_limit": 1}})
    kernel.load(("api",))
    api = kernel.find("api", Api)
    publish_index(kernel, 1, "v1", v1={"x0": "s0"})
    publish_upstreams(kernel, 1, [upstream.describe("u")])
    query_fields = {"service": "desk", "rank": "patient", "terms": {}}
    first_request = threading.Thread(target=lambda: post_query(api, **query_fields))
    first_request.start()
    assert request_arrived.wait(10)
    response, body = post_query(api, **query_fields)
    assert (response.status, response.headers) == (429, {"Retry-After": "1"})
    assert (body["error"]["code"], body["error"]["run_state"]) == (
        "overloaded",
        "not_run",
    )
    reply_allowed.set()
    first_request.join(10)
    response, body = post_query(api, **query_fields)
    assert (response.status, body["coverage"]["complete"]) == (200, True)
    response, body = post_query(api, **query_fields, deadline_ms=0)
    assert (response.status, body["error"]["code"]) == (504, "deadline_expired")
    assert body["error"]["run_state"] == "not_run"
    for invalid_share in (-0.1, 1.5, float("nan")):
        assert (
            post_query(api, **query_fields, minimum_coverage=invalid_share)[0].status
            == 400
        )
    upstream.close()
