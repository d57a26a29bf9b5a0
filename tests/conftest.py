"""Settings of all tests, and the tests that are known to fail."""

from pathlib import Path

import hypothesis
import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"

# Durations are not what these tests check, and a busy machine may stop the process for
# seconds.
hypothesis.settings.register_profile("untimed", deadline=None)
hypothesis.settings.load_profile("untimed")


def pytest_collection_modifyitems(items):
    """Lets exactly the tests of KNOWN-RED.txt fail; they run all the same."""
    entries = [line.split(" | ") for line in KNOWN_RED.read_text().splitlines()]
    seen_by_test = {entry[0]: entry[2] for entry in entries if len(entry) == 4}
    for item in items:
        if item.nodeid in seen_by_test:
            item.add_marker(pytest.mark.xfail(reason=seen_by_test[item.nodeid]))
