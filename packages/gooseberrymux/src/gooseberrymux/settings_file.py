"""Reloads the settings file of a running instance on a signal or on a change."""

import dataclasses
import threading
from pathlib import Path

from gooseberrymux import journal
from gooseberrymux.errors import UserError
from gooseberrymux.kernel import Kernel
from gooseberrymux.settings import Settings, SettingsError, parse_settings

# The file may change without a signal; it is polled, as no notification is available.
POLL_INTERVAL_MS = 1_000.0
# Changes to these sections apply to a running instance; others need a restart.
RELOADABLE_SECTIONS = ("membership", "forwarding")


class SettingsFile:
    """Reloads the settings file on request and when its text changes."""

    __slots__ = (
        "_path",
        "_kernel",
        "_last_text",
        "_changed",
        "_reload_requested",
        "_stopping",
    )

    def __init__(self, *, path: Path, kernel: Kernel):
        self._path = path
        self._kernel = kernel
        # None, so that the first poll checks the file against the settings in force: it
        # may have changed since they were read at the start.
        self._last_text: str | None = None
        self._changed = threading.Condition()
        self._reload_requested = False
        self._stopping = False

    def request_reload(self) -> None:
        """Makes the watching thread reload the file at once; does not block."""
        with self._changed:
            self._reload_requested = True
            self._changed.notify()

    def stop(self) -> None:
        """Makes `watch` return."""
        with self._changed:
            self._stopping = True
            self._changed.notify()

    def watch(self) -> None:
        """Applies changes of the file until `stop`; runs in its own thread."""
        while True:
            with self._changed:
                if not (self._reload_requested or self._stopping):
                    self._kernel.clock.wait(self._changed, POLL_INTERVAL_MS)
                reload_requested, self._reload_requested = self._reload_requested, False
                if self._stopping:
                    return
            text = self._read()
            if text is not None and (reload_requested or text != self._last_text):
                self._last_text = text
                self._apply(text, reload_requested=reload_requested)

    def _read(self) -> str | None:
        try:
            return self._path.read_text()
        except OSError as error:
            reason = SettingsError(
                step="settings.read", peer=str(self._path), message=str(error)
            )
            journal.record_fault(step=reason.step, peer=reason.peer, error=reason)
            return None

    def _apply(self, text: str, *, reload_requested: bool) -> None:
        try:
            settings = parse_settings(text, source=str(self._path))
        except UserError as error:
            # The settings in force stay in force.
            journal.record_fault(step=error.step, peer=error.peer, error=error)
            return
        current = self._kernel.settings
        changed = list_changed_sections(current, settings)
        if not (changed or reload_requested):
            return
        reloaded = {name: getattr(settings, name) for name in RELOADABLE_SECTIONS}
        self._kernel.apply_settings(dataclasses.replace(current, **reloaded))
        journal.record_event(
            "settings.reloaded",
            changed=changed,
            need_restart=[name for name in changed if name not in RELOADABLE_SECTIONS],
        )


def list_changed_sections(old: Settings, new: Settings) -> list[str]:
    """Returns the names of the sections that differ between two settings."""
    return [
        field.name
        for field in dataclasses.fields(Settings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
