"""Keys in the store, from the operator's configuration to the table in force."""

import eliot
import pytest
from test_entries import CONFIGURATION, KEY, TENANT

from gooseberrymux.documents import Documents
from gooseberrymux.routes import ROUTES_DOCUMENT_NAME
from gooseberryplatform.platform import StorePlatform
from harness import wait_until
from machines.test_restored_store import open_instance

OTHER_KEY = "k-8812aa04c3d9415e"


@pytest.fixture
def lines():
    """Collects the log lines, also those of other threads."""
    collected = []
    eliot.add_destinations(collected.append)
    yield collected
    eliot.remove_destination(collected.append)


def write_tenants(instance, version, tenants):
    spec = {**CONFIGURATION["spec"], "version": version, "tenants": tenants}
    instance.store.write("config", "main", spec)


def find_workspace(instance, key):
    headers = (("x-key", key),)
    found = instance.routes.get_current().api_keys.find_workspace(headers, name="x-key")
    return found.map(lambda workspace: workspace.name).unwrap_or("")


def test_a_key_that_was_withdrawn_stays_so_when_the_store_is_restored():
    """Guards against a withdrawn key that an older copy of the store brings back."""
    with open_instance() as instance:
        instance.wait_for_generation(7)
        write_tenants(instance, 8, [{**TENANT, "apiKeys": [KEY, OTHER_KEY]}])
        instance.wait_for_generation(8)
        assert find_workspace(instance, KEY) == TENANT["name"]
        copy = instance.store.take_copy()
        write_tenants(instance, 9, [{**TENANT, "apiKeys": [OTHER_KEY]}])
        instance.wait_for_generation(9)
        instance.store.restore(copy)
        reads = len(instance.store.calls)
        wait_until(lambda: len(instance.store.calls) > reads + 4, message="no calls")
        assert find_workspace(instance, KEY) == ""
        assert find_workspace(instance, OTHER_KEY) == TENANT["name"]


@pytest.mark.parametrize(
    "tenants",
    [
        [{**TENANT, "apiKeys": [OTHER_KEY, 7]}],
        [{**TENANT, "name": "", "apiKeys": [OTHER_KEY]}],
        {OTHER_KEY: {}},
    ],
)
def test_a_malformed_tenant_keeps_the_keys_before_and_discloses_none(lines, tenants):
    """Guards against half a configuration in force, and keys in logs and the status."""
    with open_instance() as instance:
        write_tenants(instance, 8, [TENANT])
        instance.wait_for_generation(8)
        write_tenants(instance, 9, tenants)
        documents = instance.kernel.find("documents", Documents)
        wait_until(
            lambda: ROUTES_DOCUMENT_NAME in documents.describe()["problems"],
            message="the problem is not shown",
        )
        assert find_workspace(instance, KEY) == TENANT["name"]
        assert find_workspace(instance, OTHER_KEY) == ""
        platform = instance.kernel.find("platform", StorePlatform)
        shown = f"{documents.describe()}{platform.describe()}{lines}"
        assert "documents." in shown
        assert KEY not in shown and OTHER_KEY not in shown
