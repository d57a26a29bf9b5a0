"""Workspaces: the key check at the entry, and what owners and upstreams get."""

import dataclasses
import json

import pytest

from gooseberryctl.views import render_status
from gooseberrymux import journal, metrics
from gooseberrymux.api_keys import create_key_refusal, find_shared_keys, hash_key
from gooseberrymux.forward_exchange import encode_head
from gooseberrymux.forward_messages import ForwardCall
from gooseberrymux.forwarding import CallerLeft, Merged, Refused
from gooseberrymux.parts import Parts
from gooseberrymux.records import Rank, RunState
from gooseberrymux.routes import Workspace, check_document
from gooseberrymux.settings import HeaderNames
from gooseberrymux.workspace_requests import classify_result
from harness import publish, wait_until
from http_scripted import create_route
from test_gateway import GatewayEnvironment, echo
from test_remote_owners import RemoteOwner

KEY = "k-3f9a77c1e0b24d55"
OTHER_KEY = "k-8812aa04c3d9415e"


def create_workspace(name="w", keys=(KEY,), **fields):
    return {"name": name, "key_digests": [hash_key(key) for key in keys], **fields}


class Environment(GatewayEnvironment):
    """A gateway with workspaces, one upstream, and the calls that leave the entry."""

    def __init__(self):
        super().__init__()
        (self.upstream,) = self.publish_upstreams(s=echo)
        self.calls = []
        send = self.kernel.find("parts", Parts).send
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(
            Parts,
            "send",
            lambda _, call, *rest: self.calls.append(call) or send(call, *rest),
        )

    def publish_workspaces(self, *workspaces, generation=1, **route):
        publish(
            self.kernel,
            "routes/current",
            generation,
            routes=[create_route(**route)],
            workspaces=list(workspaces),
        )

    def send(self, *lines):
        """Sends a request with raw header lines; returns status, headers and body."""
        caller = self.open_caller()
        head = (b"GET /a/x HTTP/1.1", b"Host: desk.example", *lines)
        caller.send(b"\r\n".join(head) + b"\r\n\r\n")
        return caller.read()

    def send_with_key(self, key=KEY):
        return self.send(b"X-Api-Key: " + key.encode())

    def get_forwarded(self):
        """Returns the workspace and the key that the upstream got last."""
        headers = self.upstream.requests[-1].headers
        return headers.get("x-workspace"), headers.get("x-api-key")


@pytest.fixture
def env():
    created = Environment()
    yield created
    created.patch.undo()
    created.stop()
    assert created.kernel.failure is None


def test_an_upstream_gets_the_workspace_and_never_the_key(env):
    """Guards against a key, or a workspace that the caller made up, at an upstream."""
    env.publish_workspaces(create_workspace("Größe 1"))
    assert env.send(b"x-WORKSPACE: other", b"X-api-key: " + KEY.encode())[0] == 200
    assert env.get_forwarded() == ("Größe 1", None)
    (call,) = env.calls
    assert call.workspace == "Größe 1"
    assert not {"x-api-key", "x-workspace"} & {name for name, _ in call.headers}


@pytest.mark.parametrize(
    "lines",
    [
        [],
        [b"X-Api-Key:"],
        [b"X-Api-Key: \t "],
        [b"X-Api-Key: wrong"],
        [b"X-Api-Key: " + KEY.upper().encode()],
        [b"X-Api-Key: \xff\xc3\x28\xa0"],
        [b"X-Api-Key: " + KEY.encode() + b"\xa0"],
        [b"X-Api-Key: " + KEY.encode()] * 2,
        [b"X-Api-Key: " + KEY.encode(), b"X-Api-Key:"],
        [b"X-Api-Key: %b, %b" % (KEY.encode(), KEY.encode())],
        [b"X-Workspace: w"],
    ],
)
def test_a_request_without_exactly_one_known_key_is_refused(env, lines):
    """Guards against requests that run without a workspace that holds their key."""
    env.publish_workspaces(create_workspace())
    status, headers, body = env.send(*lines)
    assert (status, "retry-after" in headers) == (401, False)
    assert body.startswith(b"unknown_key: ")
    assert env.upstream.requests == []


def test_a_key_is_found_with_spaces_around_it_and_beyond_ascii(env):
    # Guards against a valid key that is refused for its form in the header.
    env.publish_workspaces(create_workspace(keys=["ключ-1"]))
    assert env.send(b"X-Api-Key: \t " + "ключ-1".encode() + b" \t")[0] == 200


def test_a_missing_configuration_or_route_goes_before_the_key(env):
    """Guards against callers that take an instance that has just started for a refusal.

    A balancer's caller would give up after 401, but tries elsewhere after 503.
    """
    assert env.send()[0] == 503
    env.publish_workspaces(create_workspace(), path_prefix="/b/")
    assert env.send()[0] == 404


def test_an_anonymous_route_needs_no_key_and_forwards_none(env):
    env.publish_workspaces(create_workspace(), anonymous=True)
    for lines in ([], [b"X-Api-Key: " + KEY.encode(), b"X-Workspace: w"]):
        assert env.send(*lines)[0] == 200
        assert env.get_forwarded() == (None, None)


def test_without_workspaces_the_same_headers_pass_unchanged(env):
    # Guards against a change for deployments whose callers use these names already.
    env.publish_workspaces()
    assert env.send(b"X-Workspace: w", b"X-Api-Key: k")[0] == 200
    assert env.get_forwarded() == ("w", "k")


@pytest.mark.parametrize(
    ("rank", "expected"), [(None, Rank.URGENT), ("patient", Rank.PATIENT)]
)
def test_the_rank_of_a_workspace_goes_before_that_of_the_route(env, rank, expected):
    env.publish_workspaces(create_workspace(rank=rank), rank="urgent")
    env.send_with_key()
    assert env.calls[0].rank is expected


def test_keys_that_change_places_take_effect_together(env):
    """Guards against a moment at which a moved key has no or the wrong workspace."""
    env.publish_workspaces(
        create_workspace("a", [KEY]), create_workspace("b", [OTHER_KEY])
    )
    env.publish_workspaces(
        create_workspace("a", [OTHER_KEY]),
        create_workspace("b", [KEY]),
        generation=2,
    )
    for key, name in ((KEY, "b"), (OTHER_KEY, "a")):
        assert env.send_with_key(key)[0] == 200
        assert env.get_forwarded() == (name, None)


def test_a_workspace_that_loses_all_its_keys_is_refused(env):
    # Guards against a check that ends with the last key instead of refusing all.
    env.publish_workspaces(create_workspace())
    assert env.send_with_key()[0] == 200
    env.publish_workspaces(create_workspace(keys=[]), generation=2)
    assert env.send_with_key()[0] == 401


def test_a_key_that_two_workspaces_hold_belongs_to_the_first(env):
    """Guards against instances that disagree about the workspace of a request."""
    holders = [create_workspace(name) for name in ("b", "a", "b2")]
    env.publish_workspaces(*holders)
    assert env.send_with_key()[0] == 200
    assert env.get_forwarded() == ("b", None)
    workspaces = [Workspace(**{**w, "key_digests": (hash_key(KEY),)}) for w in holders]
    assert find_shared_keys(workspaces) == [("b", "a"), ("b", "b2")]


@pytest.mark.parametrize(
    ("workspaces", "problem"),
    [
        ([create_workspace("")], "name must be printable"),
        ([create_workspace(" ")], "name must be printable"),
        ([create_workspace("a\r\nx-own: 1")], "name must be printable"),
        ([create_workspace("\ud800")], "name must be printable"),
        ([create_workspace(), create_workspace()], "used twice"),
        ([create_workspace(rank="soon")], "rank"),
        ([create_workspace(rate_per_s=-1)], "rate_per_s"),
        ([create_workspace(burst="2")], "burst"),
        ([create_workspace(other=1)], "other"),
    ],
)
def test_a_malformed_workspace_refuses_the_whole_document(workspaces, problem):
    # Guards against headers that a name splits, and against half of a configuration.
    found = check_document({"generation": 1, "workspaces": workspaces})
    assert found is not None and problem in found


def test_a_malformed_document_leaves_the_keys_before_it_in_force(env):
    env.publish_workspaces(create_workspace())
    env.publish_workspaces(create_workspace("", [OTHER_KEY]), generation=2)
    assert [env.send_with_key(key)[0] for key in (KEY, OTHER_KEY)] == [200, 401]


def test_no_log_line_status_or_metric_has_a_key(env, monkeypatch):
    """Guards against a key that is disclosed to the readers of logs and pages."""
    events = []
    monkeypatch.setattr(
        journal, "record_event", lambda name, **fields: events.append((name, fields))
    )
    env.publish_workspaces(create_workspace(), create_workspace("twin"))
    for key in (KEY, OTHER_KEY):
        env.send_with_key(key)
    refused = env.send(*[b"X-Api-Key: " + KEY.encode()] * 2)
    status = {
        name: env.kernel._services[name].describe()
        for name in ("routes", "parts", "pools")
    }
    pages = env.open_caller(env.health).get("/metrics")[2].decode()
    disclosed = repr((events, refused, pages)) + json.dumps(status, default=repr)
    assert "gateway.refused" in disclosed
    assert KEY not in disclosed and OTHER_KEY not in disclosed


def test_requests_are_counted_by_workspace_and_refused_keys_apart(env):
    # Guards against a workspace whose refusals an operator can't see.
    env.publish_workspaces(create_workspace('w "1"'))
    refused_before = metrics.key_refusals_total.get({}) or 0
    env.send_with_key()
    env.send_with_key("unknown")
    env.upstream.handler = lambda request: request.reply(503)
    env.send_with_key()
    pages = metrics.render_metrics("")[0].decode()
    assert metrics.key_refusals_total.get({}) == refused_before + 1
    for outcome in ("answered", "failed"):
        labels = f'outcome="{outcome}",workspace="w \\"1\\""'
        assert f"workspace_requests_total{{{labels}}} 1" in pages


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (CallerLeft(), "left"),
        (Refused(refusal=create_key_refusal("")), "refused"),
        (
            Refused(
                refusal=dataclasses.replace(
                    create_key_refusal(""), run_state=RunState.UNKNOWN
                )
            ),
            "failed",
        ),
        (Merged(body=b"", proofs=[], missing=[]), "answered"),
    ],
)
def test_only_what_has_not_run_counts_as_refused(result, outcome):
    assert classify_result(result) == outcome


@pytest.mark.parametrize(
    ("services", "shown"),
    [({"routes": {"generation": 1, "routes": 2, "workspaces": 79}}, "79"), ({}, "-")],
)
def test_the_status_shows_the_number_of_workspaces(services, shown):
    # Guards against a status that fails beside an instance of an older release.
    table = render_status({"instances": [{"name": "e", "services": services}]})
    assert table.splitlines()[1].split() == ["e", "?", "?", "?", shown, "?"]


def test_the_workspace_header_is_set_once_and_only_for_a_workspace():
    names = HeaderNames()
    fields = {
        **{"id": "c", "request_id": "r", "route": "a", "services": ["s"]},
        **{"rank": Rank.URGENT, "repeatable": True, "attempts": 1},
        **{"remaining_ms": 1.0, "target_ms": 1.0, "method": "GET", "target": "/"},
        "headers": (("x-workspace", "forged"), ("x-api-key", KEY), ("x-own", "1")),
    }
    head = encode_head(ForwardCall(**fields, workspace="w"), names).lower()
    assert head.count(b"x-workspace") == 1 and b"x-workspace: w\r\n" in head
    assert KEY.encode() not in head and b"x-own: 1" in head
    plain = encode_head(ForwardCall(**fields), names).lower()
    assert b"x-workspace: forged" in plain


def test_a_request_that_moves_to_another_owner_keeps_its_workspace():
    """Guards against a retry at a new owner that runs without its workspace."""
    owner = RemoteOwner()
    try:
        publish(
            owner.env.kernel,
            "routes/current",
            1,
            routes=[create_route()],
            workspaces=[create_workspace(rank="patient")],
        )
        caller = owner.env.open_caller()
        caller.send(
            b"GET /a/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"X-Api-Key: " + KEY.encode() + b"\r\n\r\n"
        )
        wait_until(owner.list_sent, message="not dispatched")
        owner.publish_loss()
        wait_until(lambda: len(owner.list_sent()) == 2, message="not sent again")
        for call in owner.list_sent():
            assert (call.workspace, call.rank) == ("w", Rank.PATIENT)
            assert KEY not in repr(call)
    finally:
        owner.env.stop()


def test_a_resend_at_the_same_owner_keeps_its_workspace(env):
    # Guards against a second send, by a hedge or a retry, without its workspace.
    answers = iter([503, 200])
    env.upstream.handler = lambda request: request.reply(next(answers))
    env.publish_replicas(["s"], 2, env.upstream.handler)
    env.publish_workspaces(create_workspace())
    assert env.send_with_key()[0] == 200
    requests = [
        r for u in env.open_sockets if hasattr(u, "requests") for r in u.requests
    ]
    assert [r.headers.get("x-workspace") for r in requests] == ["w", "w"]
