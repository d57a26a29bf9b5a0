"""Workspaces: the key check at the entry, and what owners and upstreams get."""

import dataclasses

import pytest

from gooseberryctl.views import render_status
from gooseberrymux import journal, metrics
from gooseberrymux.api_keys import hash_key
from gooseberrymux.forward_exchange import encode_head
from gooseberrymux.records import Rank
from gooseberrymux.routes import check_document
from gooseberrymux.settings import HeaderNames
from harness import publish, wait_until
from http_scripted import create_route
from test_gateway import GatewayEnvironment, echo
from test_remote_owners import RemoteOwner

KEY, OTHER = b"k-3f9a77c1e0b24d55", "ключ-8812aa04".encode()
HEAD = b"GET /a/x HTTP/1.1\r\nHost: desk.example\r\n"


@pytest.fixture(name="entry")
def open_entry():
    created = GatewayEnvironment()
    yield created
    created.stop()
    assert created.kernel.failure is None


@pytest.fixture
def owner():
    created = RemoteOwner()
    yield created
    created.env.stop()


def create_workspace(name="w", *keys, **fields):
    digests = [hash_key(key.decode()) for key in keys]
    return {"name": name, "key_digests": digests, **fields}


def publish_workspaces(entry, *workspaces, generation=1, **route):
    fields = {"routes": [create_route(**route)], "workspaces": list(workspaces)}
    publish(entry.kernel, "routes/current", generation, **fields)


def send(entry, *lines):
    """Sends raw header lines; returns the status, and the headers upstream or None."""
    if not entry.open_sockets:
        entry.publish_upstreams(s=echo)
    requests = entry.open_sockets[0].requests
    before = len(requests)
    caller = entry.open_caller()
    caller.send(HEAD + b"".join(line + b"\r\n" for line in lines) + b"\r\n")
    status, headers, _ = caller.read()
    assert status != 401 or "retry-after" not in headers
    if len(requests) == before:
        return status, None
    found = requests[-1].headers
    return status, (found.get("x-workspace"), found.get("x-api-key"))


def key_line(key):
    return b"X-api-KEY: " + key


REFUSED = (401, None)


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([], REFUSED),
        ([key_line(b" \t ")], REFUSED),
        ([key_line(KEY.upper())], REFUSED),
        ([key_line(b"\xff\xc3\x28\xa0")], REFUSED),
        ([key_line(KEY + b"\xa0")], REFUSED),
        ([key_line(KEY)] * 2, REFUSED),
        ([key_line(KEY), key_line(b"")], REFUSED),
        ([key_line(KEY + b", " + KEY)], REFUSED),
        ([b"X-Workspace: w"], REFUSED),
        ([key_line(b" \t" + KEY + b"\t ")], (200, ("w", None))),
        ([key_line(OTHER), b"x-WORKSPACE: w"], (200, ("Größe", None))),
    ],
)
def test_a_request_runs_only_under_the_workspace_of_its_one_key(entry, lines, expected):
    # Guards against a key that is missing, repeated or altered and still accepted, and
    # against a claimed workspace that reaches an upstream.
    publish_workspaces(
        entry, create_workspace("w", KEY), create_workspace("Größe", OTHER)
    )
    assert send(entry, *lines) == expected


@pytest.mark.parametrize(
    ("workspaces", "anonymous", "forwarded"),
    [([create_workspace("w", KEY)], True, (None, None)), ([], False, ("v", "k"))],
)
def test_a_route_that_needs_no_key(entry, workspaces, anonymous, forwarded):
    # Guards against forged workspaces, and changes for deployments without any.
    publish_workspaces(entry, *workspaces, anonymous=anonymous)
    assert send(entry, b"X-Workspace: v", key_line(b"k")) == (200, forwarded)


def test_a_missing_configuration_or_route_goes_before_the_key(entry):
    # Guards against callers that give up where another instance would serve them.
    assert send(entry)[0] == 503
    publish_workspaces(entry, create_workspace(), path_prefix="/b/")
    assert send(entry)[0] == 404


@pytest.mark.parametrize(
    ("changed", "expected"),
    [
        # Exchanged in one version; all lost; held by both; malformed, so not in force.
        ([("a", OTHER), ("b", KEY)], ["b", "a"]),
        ([("a",), ("b",)], [401, 401]),
        ([("b", KEY, OTHER), ("a", KEY, OTHER)], ["b", "b"]),
        ([("a", OTHER), ("", KEY)], ["a", "b"]),
    ],
)
def test_keys_that_change(entry, changed, expected):
    # Guards against a key without a workspace, or with the wrong one, after a change.
    publish_workspaces(entry, create_workspace("a", KEY), create_workspace("b", OTHER))
    publish_workspaces(entry, *(create_workspace(*w) for w in changed), generation=2)
    found = [send(entry, key_line(key)) for key in (KEY, OTHER)]
    assert [status if headers is None else headers[0] for status, headers in found] == (
        expected
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"name": "a "},
        {"name": "a\r\nx: 1"},
        {"name": "\ud800"},
        {"burst": -1},
        {"x": 1},
    ],
)
def test_a_malformed_workspace_refuses_the_whole_document(fields):
    # Guards against headers that a name splits, and against half of a configuration.
    assert check_document({"generation": 1, "workspaces": [create_workspace(**fields)]})
    assert check_document({"generation": 1, "workspaces": [create_workspace()] * 2})


def test_a_request_that_moves_to_another_owner_keeps_workspace_and_rank(owner):
    # Guards against a request that loses its workspace or rank when it is sent again,
    # and against a key that reaches another instance.
    publish_workspaces(owner.env, create_workspace("w", KEY, rank="patient"))
    owner.env.open_caller().send(HEAD + key_line(KEY) + b"\r\n\r\n")
    wait_until(owner.list_sent, message="not dispatched")
    owner.publish_loss()
    wait_until(lambda: len(owner.list_sent()) == 2, message="not sent again")
    for call in owner.list_sent():
        assert (call.workspace, call.rank) == ("w", Rank.PATIENT)
        assert KEY.decode() not in repr(call)
    # The head of all sends of an owner drops what an entry should have dropped.
    forged = dataclasses.replace(
        call, headers=(("x-workspace", "v"), ("x-api-key", "k"))
    )
    assert encode_head(forged, HeaderNames()).lower().count(b"\r\nx-") == 2


def test_logs_metrics_and_status_name_workspaces_and_no_key(entry, monkeypatch):
    """Guards against keys that are disclosed, and refusals that nobody sees."""
    seen = []
    monkeypatch.setattr(
        journal, "record_event", lambda *a, **fields: seen.append(fields)
    )
    publish_workspaces(
        entry, create_workspace('w "1"', KEY), create_workspace("v", KEY)
    )
    refusals = metrics.key_refusals_total.get({}) or 0
    for keys in ([KEY], [OTHER], [KEY, KEY]):
        send(entry, *map(key_line, keys))
    status = entry.kernel._services["routes"].describe()
    page = metrics.render_metrics("")[0].decode()
    assert metrics.key_refusals_total.get({}) == refusals + 2
    assert 'outcome="answered",workspace="w \\"1\\""} 1' in page
    table = render_status(
        {"instances": [{"services": {"routes": status}, "name": "e"}]}
    )
    assert table.split()[-2:] == ["2", "?"]
    for key in (KEY, OTHER):
        assert key.decode() not in f"{seen}{page}{status}"
