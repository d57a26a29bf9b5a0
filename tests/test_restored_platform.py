"""Documents and configuration of an instance whose platform goes back in time."""

import pytest

from control_fakes import (
    CONFIGURATION_NAME,
    FaultyPlatform,
    Network,
    create_put_group_change,
)
from gooseberrymux.configuration import ConfigurationService
from gooseberrymux.configuration_changes import Accepted
from gooseberrymux.configuration_codec import encode_configuration
from gooseberrymux.configuration_model import EMPTY_CONFIGURATION
from gooseberrymux.inventory import INVENTORY_NAME
from gooseberrymux.platform_objects import PlatformObject, WatchedChanges


class Instance:
    """One instance's documents and configuration, with a platform of one object."""

    def __init__(self):
        self.platform = FaultyPlatform(encode_configuration(EMPTY_CONFIGURATION))
        self.documents = Network().add_node("entry-0", platform=self.platform)
        self.kernel = self.documents._kernel
        self.kernel.register("documents", self.documents)
        self.configuration = ConfigurationService(kernel=self.kernel)
        self.documents.watch_prefix(INVENTORY_NAME, compare_content=True)

    def propose(self, name):
        change = create_put_group_change(change_id=f"change-{name}", name=name)
        assert isinstance(self.configuration.propose(change), Accepted)

    def read(self, era=0):
        """Applies what a list of the platform returns now."""
        version = len(self.platform.history)
        found = PlatformObject(
            name=CONFIGURATION_NAME,
            version=version,
            value=self.platform.history[-1],
        )
        changes = WatchedChanges(era=era, revision=version, objects=[found])
        self.documents._apply_changes(changes)

    def read_inventory(self, *, era, revision, names):
        value = {
            "generation": revision,
            "upstreams": [create_upstream(name) for name in names],
        }
        found = PlatformObject(name=INVENTORY_NAME, version=revision, value=value)
        changes = WatchedChanges(era=era, revision=revision, objects=[found])
        self.documents._apply_changes(changes)

    def list_upstream_names(self):
        document = self.documents.get(INVENTORY_NAME)
        return [upstream["name"] for upstream in document.body["upstreams"]]


def create_upstream(name):
    return {
        "name": name,
        "host": "127.0.0.1",
        "port": 1,
        "service": "s",
        "failure_domain": "a",
    }


@pytest.fixture
def instance():
    return Instance()


# Guards against an accepted change that is lost when the platform goes back and all
# instances restart afterwards.
def test_an_accepted_configuration_is_written_again_after_the_platform_went_back(
    instance,
):
    instance.propose("one")
    before = list(instance.platform.history)
    instance.propose("two")
    accepted = instance.platform.history[-1]
    instance.platform.history = before
    instance.read(era=1)
    assert instance.platform.history[-1] == accepted
    assert [group.name for group in instance.configuration.get_current().groups] == [
        "one",
        "two",
    ]


# Guards against a write over a newer configuration after a read that was only stale.
def test_a_stale_read_writes_nothing(instance):
    instance.propose("one")
    instance.propose("two")
    history = list(instance.platform.history)
    stale = PlatformObject(
        name=CONFIGURATION_NAME, version=len(history) - 1, value=history[-2]
    )
    instance.documents._apply_changes(WatchedChanges(revision=9, objects=[stale]))
    assert instance.platform.history == history


def test_a_change_after_the_platform_went_back_builds_on_the_one_in_force(instance):
    instance.propose("one")
    before = list(instance.platform.history)
    instance.propose("two")
    instance.platform.history = before
    instance.propose("three")
    names = [group.name for group in instance.configuration.get_current().groups]
    assert names == ["one", "three", "two"]


# Guards against a list that is dropped as older because its revision is lower.
def test_a_list_of_a_later_era_replaces_one_of_a_higher_revision(instance):
    instance.read_inventory(era=1, revision=90, names=["u1", "u2"])
    instance.read_inventory(era=2, revision=40, names=["u1"])
    assert instance.list_upstream_names() == ["u1"]
    instance.read_inventory(era=1, revision=95, names=["u1", "u2"])
    assert instance.list_upstream_names() == ["u1"]
