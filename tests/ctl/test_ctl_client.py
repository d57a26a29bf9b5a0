"""Retries and outcomes of gooseberryctl's client, against a stub server.

Guards against reporting a change as not made when an earlier attempt may have applied
it, and against proposing a change twice under different ids.
"""

import json
import threading

import pytest

from gooseberryctl.client import (
    Accepted,
    Client,
    Conflict,
    Denied,
    Edit,
    Invalid,
    Unavailable,
)
from gooseberryctl.generations import parse_propagation
from gooseberryctl.main import change_labels
from gooseberrymux import web
from gooseberrymux.clock import Clock
from gooseberrymux.settings import Address

EDITS = (Edit(action="remove", kind="group", name="desk"),)


class NoSleepClock(Clock):
    __slots__ = ()

    def sleep_ms(self, duration_ms):
        """Returns at once, so that retries cost no time."""


class StubAdminServer:
    """Answers each change with the next prepared response and keeps its body."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.bodies = []
        self._server = web.create_server(
            address=Address(), threads=2, handle=self.handle, clock=Clock()
        )
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()
        self.url = f"http://127.0.0.1:{self._server.bind_addr[1]}"

    def handle(self, request):
        length = int(request.environ["CONTENT_LENGTH"])
        self.bodies.append(json.loads(request.environ["wsgi.input"].read(length)))
        status, body = self.responses.pop(0)
        return web.create_json(status=status, body=body)

    def close(self):
        self._server.stop()


@pytest.fixture
def propose():
    """Returns a function that proposes a change to a server with given responses.

    The function returns the outcome and the bodies that the server received.
    """
    servers = []

    def propose_change(*responses):
        server = StubAdminServer(*responses)
        servers.append(server)
        client = Client(servers=(server.url,), token="t", clock=NoSleepClock())
        outcome = client.propose_change(base_generation=3, change_id="c1", edits=EDITS)
        return outcome, server.bodies

    yield propose_change
    for server in servers:
        server.close()


def create_unavailable(run_state):
    return 503, {"error": {"code": "platform_unavailable", "run_state": run_state}}


def test_unknown_outcome_is_proposed_again_under_the_same_change_id(propose):
    outcome, bodies = propose(
        create_unavailable("unknown"), (200, {"generation": 4, "warnings": []})
    )
    assert outcome == Accepted(generation=4, change_id="", warnings=())
    assert [body["change_id"] for body in bodies] == ["c1", "c1"]


def test_one_unknown_attempt_is_never_reported_as_not_changed(propose):
    # A later `not_run` covers its own attempt only; the first may have taken effect.
    outcome, _ = propose(
        create_unavailable("unknown"), *[create_unavailable("not_run")] * 3
    )
    assert isinstance(outcome, Unavailable)
    assert outcome.may_have_taken_effect


def test_refusals_that_all_say_not_run_are_reported_as_not_changed(propose):
    outcome, _ = propose(*[create_unavailable("not_run")] * 4)
    assert isinstance(outcome, Unavailable)
    assert not outcome.may_have_taken_effect


@pytest.mark.parametrize(
    ("status", "cls"),
    [(401, Denied), (403, Denied), (409, Conflict), (422, Invalid)],
)
def test_definite_refusal_is_not_tried_again(propose, status, cls):
    outcome, bodies = propose((status, {"error": {"message": "no"}}))
    assert isinstance(outcome, cls)
    assert len(bodies) == 1


def test_propagation_names_who_is_behind_and_who_is_silent():
    propagation = parse_propagation(
        {
            "instances": [
                {"name": "a", "generation": 5},
                {"name": "b", "generation": 4},
                {"name": "c", "generation": 6},
            ],
            "silent": ["d"],
        },
        5,
    )
    assert propagation.in_force == ("a", "c")
    assert propagation.behind == {"b": 4}
    assert propagation.silent == ("d",)
    assert not propagation.complete


def test_labels_are_set_and_dropped():
    changed = change_labels({"a": "1", "b": "2"}, ["b-", "c=3", "a=4"])
    assert changed == {"a": "4", "c": "3"}
