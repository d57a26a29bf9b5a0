"""Translation of the store's entries: every field, and malformed entries."""

import copy

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.api_keys import hash_key
from gooseberrymux.records import Rank
from gooseberrymux.routes import check_document
from gooseberryplatform.entries import (
    EntryError,
    translate_cold_rates,
    translate_configuration,
    translate_route,
    translate_server,
    translate_workspace,
)

SERVER = {
    "meta": {"name": "i-1", "revision": 7, "createRev": 3},
    "spec": {
        "service": "s1",
        "address": "10.0.0.9:8080",
        "zone": "z-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 4,
        "born": 1_700_000_000_123,
    },
}
ROUTE = {
    "name": "r-1",
    "host": "h.example",
    "pathPrefix": "/a/",
    "routeType": "idempotent",
    "timeoutMs": 1000,
    "targetLatencyMs": 61.5,
    "priority": 0,
    "maxAttempts": 2,
    "service": "s1",
}
KEY = "k-3f9a77c1e0b24d55"
TENANT = {"name": "w", "apiKeys": [KEY], "priority": 2, "ratePerS": 1.5, "burst": 4}
CONFIGURATION = {
    "meta": {"name": "main"},
    "spec": {
        "version": 7,
        "routes": [ROUTE],
        "services": [{"name": "s1", "maxConnections": 26}, {"name": "s2"}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    },
}


def test_a_server_becomes_an_upstream():
    assert translate_server(SERVER) == {
        "name": "i-1",
        "host": "10.0.0.9",
        "port": 8080,
        "service": "s1",
        "failure_domain": "z-a",
        "epoch": 1_700_000_000_123,
        "state": "live",
        "slots": 2,
        "cold": False,
    }


def test_a_draining_or_cold_server_is_told():
    item = copy.deepcopy(SERVER)
    item["spec"] |= {"state": "draining", "coldRemainingMs": 900.5}
    found = translate_server(item)
    assert (found["state"], found["cold"]) == ("leaving", True)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", None),
        ("service", 7),
        ("address", "10.0.0.9"),
        ("address", ":80"),
        ("address", "10.0.0.9:0"),
        ("address", "10.0.0.9:99999"),
        ("address", "10.0.0.9:\u0661"),
        ("address", "10.0.0.9:" + "1" * 5_000),
        ("address", "a..b:80"),
        ("address", "10.0.0.9\0:80"),
        ("born", 1 << 80),
        ("slots", 1 << 80),
        ("coldRemainingMs", float("nan")),
        ("zone", []),
        ("slots", "2"),
        ("slots", True),
        ("state", "asleep"),
        ("state", None),
        ("born", "now"),
        ("coldRemainingMs", "soon"),
    ],
)
def test_a_server_that_can_not_be_read_is_refused(field, value):
    # Guards against an upstream made from a malformed entry that another program wrote.
    item = copy.deepcopy(SERVER)
    item["spec"][field] = value
    with pytest.raises(EntryError):
        translate_server(item)


@pytest.mark.parametrize("item", [None, {}, {"spec": []}, {"spec": {}, "meta": None}])
def test_an_item_without_its_parts_is_refused(item):
    with pytest.raises(EntryError):
        translate_server(item)


def test_a_configuration_passes_the_products_check():
    body = translate_configuration(CONFIGURATION)
    assert check_document(body) is None
    assert body["generation"] == 7
    assert body["connections"] == {"s1": 26}
    assert body["limits"]["idle_timeout_ms"] == 15000
    (route,) = body["routes"]
    assert route["rank"] == Rank.URGENT.value
    assert route["repeatable"] is True
    assert route["target"] == {"service": "s1"}


def test_a_configuration_without_new_fields_gives_the_same_document():
    # Guards against documents that instances of the release before refuse.
    body = translate_configuration(CONFIGURATION)
    assert set(body) == {"generation", "routes", "connections", "limits"}
    assert "anonymous" not in body["routes"][0]


@pytest.mark.parametrize(
    ("field", "translated", "default"),
    [
        ("apiKeys", "key_digests", []),
        ("priority", "rank", None),
        ("ratePerS", "rate_per_s", 0.0),
        ("burst", "burst", 0.0),
    ],
)
def test_a_tenant_becomes_a_workspace_also_without_a_field(field, translated, default):
    """Guards against keys in documents, and revocations that are not applied.

    An empty list of keys may be written as null or not at all.
    """
    whole = {"name": "w", "key_digests": [hash_key(KEY)], "rank": "patient"}
    whole |= {"rate_per_s": 1.5, "burst": 4.0}
    assert translate_workspace({**TENANT, "other": 1}) == whole
    without = {name: value for name, value in TENANT.items() if name != field}
    for tenant in (without, {**TENANT, field: None}):
        assert translate_workspace(tenant) == {**whole, translated: default}


@pytest.mark.parametrize(
    "tenants",
    [
        KEY,
        {KEY: 1},
        [KEY],
        *([{**TENANT, "apiKeys": keys}] for keys in (KEY, [KEY, 7])),
    ],
)
def test_the_error_of_a_malformed_tenant_has_no_key(tenants):
    # Guards against a key in the log lines and the status of each instance.
    with pytest.raises(EntryError) as caught:
        translate_configuration(replace_at(CONFIGURATION, ("spec", "tenants"), tenants))
    assert KEY not in str(caught.value)


def test_only_rates_above_zero_limit_cold_upstreams():
    # Guards against a rate of 0, which means no limit, that stops all requests.
    rates = {"a": 0, "b": None, "c": 0.5}
    services = [{"name": name, "coldPerS": rate} for name, rate in rates.items()]
    assert translate_cold_rates([*services, {"name": "d"}]) == {"c": 0.5}


@pytest.mark.parametrize(
    ("change", "target"),
    [
        (
            {"split": [{"service": "a", "weight": 3}, {"service": "b", "weight": 0.5}]},
            {
                "parts": [
                    {"service": "a", "weight": 3.0},
                    {"service": "b", "weight": 0.5},
                ]
            },
        ),
        (
            {"fanoutServices": ["a", "b"], "topK": 5, "minSuccessShare": 0.75},
            {"services": ["a", "b"], "top": 5, "minimum_share": 0.75},
        ),
    ],
)
def test_targets(change, target):
    route = translate_route({**ROUTE, "service": None, **change})
    assert route["target"] == target


@pytest.mark.parametrize(
    ("change", "field", "value"),
    [
        ({"priority": 1}, "rank", "standard"),
        ({"priority": 9}, "rank", "patient"),
        ({"priority": None}, "rank", "patient"),
        ({"routeType": "non_idempotent"}, "repeatable", False),
        ({"routeType": "something else"}, "repeatable", False),
        ({"maxAttempts": None}, "attempts", 1),
        ({"anonymous": True}, "anonymous", True),
    ],
)
def test_what_is_unknown_is_taken_for_the_safer_case(change, field, value):
    assert translate_route({**ROUTE, **change})[field] == value


@pytest.mark.parametrize("field", ["version", "routes", "services", "limits"])
def test_a_configuration_without_a_field_is_refused(field):
    item = copy.deepcopy(CONFIGURATION)
    del item["spec"][field]
    with pytest.raises(EntryError, match=field):
        translate_configuration(item)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from(["ready", "10.0.0.9:80", "10.0.0.9:70000", "idempotent"]),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=8), children, max_size=3)
    ),
    max_leaves=8,
)


def replace_at(item, path, value):
    """Returns a copy of an entry with one value replaced."""
    changed = copy.deepcopy(item)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return changed


def list_paths(item, prefix=()):
    """Returns the paths of all values within an entry."""
    children = (
        item.items()
        if isinstance(item, dict)
        else enumerate(item)
        if isinstance(item, list)
        else ()
    )
    paths = []
    for key, value in children:
        paths += [(*prefix, key), *list_paths(value, (*prefix, key))]
    return paths


FANOUT_ROUTE = {**ROUTE, "fanoutServices": ["a", "b"], "topK": 5, "minSuccessShare": 1}
SPLIT_ROUTE = {**ROUTE, "split": [{"service": "a", "weight": 3}]}
FULL_CONFIGURATION = replace_at(
    CONFIGURATION, ("spec", "routes"), [ROUTE, FANOUT_ROUTE, SPLIT_ROUTE]
)
FULL_CONFIGURATION["spec"] |= {"tenants": [TENANT]}


@given(st.sampled_from(list_paths(SERVER)), JSON_VALUES)
def test_any_server_entry_is_an_upstream_that_can_be_used_or_is_refused(path, value):
    """Guards against one malformed entry that stops an instance or hides all others.

    An upstream's address is passed to the socket library and its record to other
    instances.
    """
    try:
        found = translate_server(replace_at(SERVER, path, value))
    except EntryError:
        return
    assert 0 < found["port"] < 65_536
    msgspec.msgpack.encode(found)


@given(st.sampled_from(list_paths(FULL_CONFIGURATION)), JSON_VALUES)
def test_any_configuration_passes_the_products_check_or_is_refused(path, value):
    # Guards against an exception in the thread that watches the store.
    try:
        body = translate_configuration(replace_at(FULL_CONFIGURATION, path, value))
    except EntryError as error:
        assert KEY not in str(error)
        return
    assert KEY not in f"{body}{check_document(body)}"


@given(JSON_VALUES)
def test_anything_else_than_an_entry_is_refused(item):
    for translate in (translate_server, translate_configuration, translate_route):
        with pytest.raises(EntryError):
            translate(item)
