"""The deploy file and its settings template, tested without the users' platform."""

import dataclasses
import shlex
import tomllib
from pathlib import Path

import pytest

from gooseberrymux.caller_memory import compute_connections, compute_memory_bytes
from gooseberrymux.kernel import find_service_class
from gooseberrymux.settings import parse_settings
from machines.template import render

ROOT = Path(__file__).parents[2]
FIELDS = {
    "nodeName": "front-a-1",
    "zone": "z-a",
    "region": "r",
    "ip": "10.1.0.9",
    "seeds": ["10.1.0.9:8106", "10.2.0.21:8106"],
    "bindAddresses": {
        "front": "10.1.0.9:8104",
        "ready": "10.1.0.9:8108",
        "control": "10.1.0.9:8106",
    },
    "limits": {"cpuShare": 0.537, "cores": 2},
    "bounds": {
        "graceS": 6,
        "retryBudgetRatio": 0.2,
        "retryBudgetSlack": 54,
        "budgetWindowS": 10,
        "configApplyMs": 3_000,
    },
    "platform": {"address": "10.200.1.7:8102"},
}


def read_deploy_file():
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def read_settings(**changes):
    role = read_deploy_file()["roles"]["entry"]
    text = (ROOT / role["template"]).read_text()
    return parse_settings(render(text, {**FIELDS, **changes}), source="template")


def test_the_template_gives_settings_that_pass_the_check():
    settings = read_settings()
    assert settings.instance.name == "front-a-1"
    assert str(settings.instance.peers) == "10.1.0.9:8106"
    assert str(settings.gateway.callers) == "10.1.0.9:8104"
    assert str(settings.gateway.health) == "10.1.0.9:8108"
    assert settings.instance.capacity == pytest.approx(1.074)
    assert [str(seed) for seed in settings.membership.seeds] == FIELDS["seeds"]
    assert settings.platform.url == "http://10.200.1.7:8102"
    assert settings.forwarding.extra_window_s == 10
    assert settings.gateway.headers.load == "X-Server-Load"
    assert settings.platform.staleness_bound_ms == 3_000
    assert settings.gateway.headers.api_key == "X-Key"
    assert settings.gateway.headers.workspace == "X-Tenant-Id"
    assert settings.settle_ms < settings.drain_timeout_ms < 6_000


def test_a_deployment_that_names_no_bound_of_changes_gets_the_default():
    # Guards against an instance that fails to start where the promise is not in force.
    bounds = {**FIELDS["bounds"]}
    del bounds["configApplyMs"]
    assert read_settings(bounds=bounds).platform.staleness_bound_ms > 0


def test_evacuations_are_read_only_where_the_platform_promises_them():
    # Guards against a watch that an existing deployment pays for and doesn't need.
    assert not read_settings().platform.evacuations
    bounds = {**FIELDS["bounds"], "evacuateMs": 5_000}
    assert read_settings(bounds=bounds).platform.evacuations


def test_the_budget_for_callers_follows_from_the_machine():
    # Guards against callers that fill a small machine, or its descriptors.
    limits = {**FIELDS["limits"], "memoryMb": 200, "maxFds": 4_100}
    found = read_settings(limits=limits).caller_limits
    assert compute_memory_bytes(found) < 100 * 1024 * 1024
    assert compute_connections(found) < 4_100


def test_fractions_and_missing_seeds_are_no_hindrance():
    # Guards against an instance that fails to start on a deployment with fractions as
    # limits or without seeds.
    bounds = {
        **FIELDS["bounds"],
        "graceS": 4.5,
        "budgetWindowS": 2.5,
        "retryBudgetSlack": 7.5,
        "configApplyMs": 2_500.5,
        "quotaWindowS": 2.5,
        "quotaOver": 0,
        "quotaSlack": 7.5,
    }
    settings = read_settings(bounds=bounds, seeds=[])
    assert dataclasses.astuple(settings.quotas) == (2.5, 0, 7.5)
    assert settings.membership.seeds == []
    assert settings.forwarding.extra_window_s == 2.5
    assert settings.platform.staleness_bound_ms == 2_500.5
    assert settings.drain_timeout_ms < 4_500


def test_every_service_of_the_settings_is_found():
    for name in read_settings().services:
        assert find_service_class(name).service_name == name.rsplit(".", 1)[-1]


def test_the_command_names_a_module_and_the_settings_file():
    role = read_deploy_file()["roles"]["entry"]
    words = shlex.split(role["run"])
    assert words[:3] == ["python3", "-m", "gooseberrymux"]
    assert words[-2] == "--settings"


def test_the_build_copies_packages_that_exist():
    words = read_deploy_file()["build"].split()
    sources = words[words.index("-R") + 1 : -1]
    assert sources and all((ROOT / source).is_dir() for source in sources)
