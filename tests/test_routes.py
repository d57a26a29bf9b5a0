"""Selection of routes by host and path, and rejection of invalid documents."""

import pytest
from result import Err, Ok

from gooseberrymux.clock import Clock
from gooseberrymux.documents import DocumentChanged
from gooseberrymux.kernel import Kernel
from gooseberrymux.routes import (
    FanoutTarget,
    HttpRouteTable,
    Routes,
    SplitTarget,
    check_document,
    decode_routes,
    strip_port,
)
from harness import FakeDocuments, create_settings
from http_scripted import create_route


def create_body(*routes, generation=1, **fields):
    return {"generation": generation, "routes": list(routes), **fields}


def create_table(*routes):
    return HttpRouteTable(document=decode_routes(create_body(*routes)).unwrap())


def resolve(table, host, path):
    match table.resolve(host=host, path=path):
        case Ok(route):
            return route.name
        case Err(refusal):
            return refusal.code


def test_longest_prefix_of_the_host_wins():
    table = create_table(
        create_route("short", path_prefix="/a/"),
        create_route("long", path_prefix="/a/b/"),
        create_route("other", host="x.example", path_prefix="/a/b/c/"),
    )
    assert resolve(table, "desk.example", "/a/z") == "short"
    assert resolve(table, "desk.example", "/a/b/z") == "long"
    assert resolve(table, "DESK.example:8080", "/a/b/c/z") == "long"
    assert resolve(table, "x.example", "/a/z") == "no_route"
    assert resolve(table, "desk.example", "/a") == "no_route"


def test_the_query_is_no_part_of_the_prefix():
    # Guards against a query string that is matched as part of the path.
    table = create_table(
        create_route("short", path_prefix="/"),
        create_route("long", path_prefix="/?b/"),
    )
    assert resolve(table, "desk.example", "/?b/c") == "short"


@pytest.mark.parametrize(
    ("host", "name"),
    [
        ("a.example:80", "a.example"),
        ("A.example", "a.example"),
        ("[::1]:80", "[::1]"),
        ("a:b", "a:b"),
    ],
)
def test_strip_port(host, name):
    assert strip_port(host) == name


def test_targets_are_told_apart():
    split = {"parts": [{"service": "s", "weight": 1}, {"service": "t", "weight": 3}]}
    fanout = {"services": ["s", "t"], "top": 5, "minimum_share": 0.5}
    body = create_body(create_route("a", split), create_route("b", fanout))
    document = decode_routes(body).unwrap()
    assert isinstance(document.routes[0].target, SplitTarget)
    assert isinstance(document.routes[1].target, FanoutTarget)


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        ({"path_prefix": "/a"}, "slash"),
        ({"timeout_ms": 0}, "timeout_ms"),
        ({"rank": "soon"}, "rank"),
        ({"target": {"parts": [{"service": "s", "weight": 0}]}}, "weight"),
        (
            {"target": {"services": ["s", "s"], "top": 1, "minimum_share": 0}},
            "twice",
        ),
        (
            {
                "target": {"services": ["s"], "top": 1, "minimum_share": 0},
                "repeatable": False,
            },
            "repeatable",
        ),
        ({"target": {"services": [], "top": 1, "minimum_share": 0}}, "target"),
        ({"mistyped": 1}, "mistyped"),
    ],
)
def test_a_wrong_route_refuses_the_whole_document(change, problem):
    # Guards against applying only the valid routes of a document.
    found = check_document(create_body(create_route(**change)))
    assert found is not None and problem in found


def test_an_older_generation_never_replaces_a_newer_one():
    kernel = Kernel(settings=create_settings(), clock=Clock())
    kernel.register("documents", FakeDocuments())
    kernel.load(("routes",))
    for generation in (4, 3):
        kernel.publish(
            DocumentChanged(
                name="routes/current",
                generation=generation,
                body=create_body(create_route(), generation=generation),
            )
        )
    routes = kernel.find("routes", Routes)
    assert routes.get_current().generation == 4
    assert routes.describe() == {"generation": 4, "routes": 1, "workspaces": 0}
