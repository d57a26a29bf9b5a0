"""Settings: an error names the key, the value and what was expected."""

import pytest
import yaml

from gooseberrymux.settings import SettingsError, load_settings, parse_settings

MINIMAL = {
    "instance": {
        "name": "entry-0",
        "failure_domain": "a",
        "callers": {"port": 1},
        "administration": {"port": 2},
        "peers": {"port": 3},
    },
    "platform": {"url": "http://127.0.0.1:4"},
}


def parse(**changes):
    return parse_settings(yaml.safe_dump({**MINIMAL, **changes}), source="test.yaml")


def test_minimal_settings_get_the_defaults():
    settings = parse()
    assert settings.policy.dispatch == "owner"
    assert settings.ranks.urgent.floor_share == 0.0


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"polcy": {}}, "polcy: {}"),
        ({"policy": {"dispatch": "round"}}, "policy.dispatch: 'round'"),
        ({"policy": {"claim_commit": "some"}}, "policy.claim_commit: 'some'"),
        ({"policy": {"hedge": "yes please"}}, "policy.hedge: 'yes please'"),
        ({"platform": {"url": "u", "timeout_ms": "1 s"}}, "platform.timeout_ms: '1 s'"),
        ({"platform": {"url": "u", "timeout_ms": 0}}, "platform.timeout_ms: 0"),
        ({"ranks": {"urgent": {"floor_share": 1.5}}}, "ranks.urgent.floor_share: 1.5"),
        ({"api": {"threads": 10}}, "api.threads: 10: expected more than 48"),
        (
            {"caller_limits": {"memory_bytes": 1000}},
            "caller_limits.memory_bytes: 1000: expected 0 or at least",
        ),
        ({"orders": {"key_margin_ms": 86400000}}, "orders.key_margin_ms: 86400000"),
        (
            {"membership": {"seeds": [{"host": "example", "port": 1}]}},
            "membership.seeds.0.host: 'example'",
        ),
    ],
)
def test_wrong_value_names_key_and_value(changes, expected):
    with pytest.raises(SettingsError) as caught:
        parse(**changes)
    assert expected in caught.value.message


def test_missing_key_is_named():
    with pytest.raises(SettingsError) as caught:
        parse_settings("platform: {url: u}", source="test.yaml")
    assert caught.value.message.startswith("instance: ")


@pytest.mark.parametrize("text", ["a: [", "- a", "7"])
def test_text_that_is_no_mapping_is_refused(text):
    with pytest.raises(SettingsError):
        parse_settings(text, source="test.yaml")


def test_missing_file_is_one_line(tmp_path):
    with pytest.raises(SettingsError) as caught:
        load_settings(tmp_path / "none.yaml")
    assert "\n" not in str(caught.value)
