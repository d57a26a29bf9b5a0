"""Settings file of a running instance: when it is reloaded and what takes effect."""

import threading

import yaml

from gooseberrymux.clock import Clock
from gooseberrymux.kernel import Kernel, SettingsChanged
from gooseberrymux.settings import load_settings
from gooseberrymux.settings_file import SettingsFile
from harness import SETTINGS, wait_until


class WatchingInstance:
    """A kernel and a thread that watches its settings file."""

    def __init__(self, path):
        self.path = path
        self.write()
        self.kernel = Kernel(settings=load_settings(path), clock=Clock())
        self.changes = []
        self.kernel.subscribe(SettingsChanged, self.changes.append)
        self.file = SettingsFile(path=path, kernel=self.kernel)
        self.thread = threading.Thread(target=self.file.watch)
        self.thread.start()

    def write(self, **sections):
        self.path.write_text(yaml.safe_dump({**SETTINGS, **sections}))

    def wait_for_change(self, count=1):
        wait_until(lambda: len(self.changes) >= count, message="no change")

    def stop(self):
        self.file.stop()
        self.thread.join(5)
        assert not self.thread.is_alive()


def test_a_signal_has_the_file_read_again(tmp_path):
    # Guards against a reload signal that ends the process or has no effect.
    instance = WatchingInstance(tmp_path / "settings.yaml")
    instance.write(membership={"seeds": ["127.0.0.1:7"]})
    instance.file.request_reload()
    instance.wait_for_change()
    assert str(instance.kernel.settings.membership.seeds[0]) == "127.0.0.1:7"
    instance.stop()


def test_a_change_is_noticed_without_a_signal(tmp_path):
    instance = WatchingInstance(tmp_path / "settings.yaml")
    instance.write(forwarding={"extra_slack": 7})
    instance.wait_for_change()
    assert instance.kernel.settings.forwarding.extra_slack == 7
    instance.stop()


def test_a_change_during_the_start_is_noticed(tmp_path):
    # Guards against missing a change made after the settings were read and before the
    # watching thread first reads the file.
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(SETTINGS))
    kernel = Kernel(settings=load_settings(path), clock=Clock())
    path.write_text(yaml.safe_dump({**SETTINGS, "forwarding": {"extra_slack": 7}}))
    changes = []
    kernel.subscribe(SettingsChanged, changes.append)
    file = SettingsFile(path=path, kernel=kernel)
    thread = threading.Thread(target=file.watch)
    thread.start()
    wait_until(lambda: changes, message="no change")
    assert kernel.settings.forwarding.extra_slack == 7
    file.stop()
    thread.join(5)


def test_what_needs_a_restart_stays_as_it_is(tmp_path):
    instance = WatchingInstance(tmp_path / "settings.yaml")
    before = instance.kernel.settings
    instance.write(api={"threads": 99}, forwarding={"extra_slack": 7})
    instance.file.request_reload()
    instance.wait_for_change()
    assert instance.kernel.settings.api == before.api
    assert instance.kernel.settings.forwarding.extra_slack == 7
    instance.stop()


def test_a_file_that_is_wrong_or_gone_changes_nothing(tmp_path):
    instance = WatchingInstance(tmp_path / "settings.yaml")
    before = instance.kernel.settings
    instance.path.write_text("instance: {name: [}")
    instance.file.request_reload()
    instance.path.unlink()
    instance.file.request_reload()
    instance.write(forwarding={"extra_slack": 7})
    instance.wait_for_change()
    assert len(instance.changes) == 1
    assert instance.kernel.settings.instance == before.instance
    instance.stop()
