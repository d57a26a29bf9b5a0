"""Limits at the entry for each rank, and what the caller is told."""

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


def test_a_flood_of_one_rank_leaves_the_others_their_places():
    # Guards against patient requests that take the places of urgent ones.
    admission = create_admission(ranks={"patient": {"request_limit": 2}})
    results = [admission.enter(Rank.PATIENT) for _ in range(50)]
    assert [result.is_ok() for result in results] == [True] * 2 + [False] * 48
    refusal = results[-1].unwrap_err()
    assert (refusal.code, refusal.run_state) == ("overloaded", RunState.NOT_RUN)
    assert admission.enter(Rank.URGENT).is_ok()
    admission.leave(Rank.PATIENT, duration_ms=5.0)
    assert admission.enter(Rank.PATIENT).is_ok()


def test_a_request_leaves_even_when_it_fails():
    # Guards against places that are lost for good with each fault.
    clock = ManualClock()
    admission = create_admission(clock, ranks={"urgent": {"request_limit": 1}})
    for _ in range(3):
        with pytest.raises(ZeroDivisionError):
            with admission.hold(Rank.URGENT) as refused:
                assert refused is None
                clock.advance(40_000)
                raise ZeroDivisionError
    assert admission.describe()["urgent"] == 0
    with admission.hold(Rank.URGENT), admission.hold(Rank.URGENT) as refused:
        assert refused.retry_after_ms > 5_000
    assert admission.describe()["urgent"] == 0


def test_limits_that_leave_no_thread_are_refused_at_the_start():
    # Guards against settings with which a flood of all ranks blocks health checks.
    with pytest.raises(SettingsError, match="api.threads"):
        create_admission(api={"threads": 48})


def ask(api, **body):
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


def test_the_caller_is_told():
    reached, release = threading.Event(), threading.Event()

    def answer(asked):
        reached.set()
        release.wait(10)
        asked.complete()

    upstream = ScriptedUpstream(answer)
    kernel = create_kernel(ranks={"patient": {"request_limit": 1}})
    kernel.load(("api",))
    api = kernel.find("api", Api)
    publish_index(kernel, 1, "v1", v1={"x0": "s0"})
    publish_upstreams(kernel, 1, [upstream.describe("u")])
    given = {"service": "desk", "rank": "patient", "terms": {}}
    holder = threading.Thread(target=lambda: ask(api, **given))
    holder.start()
    assert reached.wait(10)
    response, body = ask(api, **given)
    assert (response.status, response.headers) == (429, {"Retry-After": "1"})
    assert (body["error"]["code"], body["error"]["run_state"]) == (
        "overloaded",
        "not_run",
    )
    release.set()
    holder.join(10)
    response, body = ask(api, **given)
    assert (response.status, body["coverage"]["complete"]) == (200, True)
    response, body = ask(api, **given, deadline_ms=0)
    assert (response.status, body["error"]["code"]) == (504, "deadline_expired")
    assert body["error"]["run_state"] == "not_run"
    for wrong in (-0.1, 1.5, float("nan")):
        assert ask(api, **given, minimum_coverage=wrong)[0].status == 400
    upstream.close()
