"""Follows the settings file of a running instance: on a signal and by itself."""

import dataclasses
import threading
from pathlib import Path

from gooseberrymux import journal
from gooseberrymux.errors import UserError
from gooseberrymux.kernel import Kernel
from gooseberrymux.settings import Settings, SettingsError, parse_settings

# The file may change without a signal, and the system tells nobody of it.
CHECK_PERIOD_MS = 1_000.0
# Sections that a running instance takes over; the others need a restart.
LIVE_SECTIONS = ("membership", "forwarding")


class SettingsFile:
    """Reads the file again when asked or when its text has changed."""

    __slots__ = ("_path", "_kernel", "_text", "_changed", "_asked", "_stopping")

    def __init__(self, *, path: Path, kernel: Kernel):
        self._path = path
        self._kernel = kernel
        # Unknown, so that a change between the start's reading of the file and the
        # first look at it is found.
        self._text: str | None = None
        self._changed = threading.Condition()
        self._asked = False
        self._stopping = False

    def ask(self) -> None:
        """Has the file read again now."""
        with self._changed:
            self._asked = True
            self._changed.notify()

    def stop(self) -> None:
        """Ends the thread that follows the file."""
        with self._changed:
            self._stopping = True
            self._changed.notify()

    def follow(self) -> None:
        """Takes over changes until `stop`; the body of a thread."""
        while True:
            with self._changed:
                if not (self._asked or self._stopping):
                    self._kernel.clock.wait(self._changed, CHECK_PERIOD_MS)
                asked, self._asked = self._asked, False
                if self._stopping:
                    return
            text = self._read()
            if text is not None and (asked or text != self._text):
                self._text = text
                self._take(text, asked=asked)

    def _read(self) -> str | None:
        try:
            return self._path.read_text()
        except OSError as error:
            reason = SettingsError(
                step="settings.read", peer=str(self._path), message=str(error)
            )
            journal.record_fault(step=reason.step, peer=reason.peer, error=reason)
            return None

    def _take(self, text: str, *, asked: bool) -> None:
        try:
            settings = parse_settings(text, source=str(self._path))
        except UserError as error:
            # What is in force stays.
            journal.record_fault(step=error.step, peer=error.peer, error=error)
            return
        before = self._kernel.settings
        changed = list_changed_sections(before, settings)
        if not (changed or asked):
            return
        live = {name: getattr(settings, name) for name in LIVE_SECTIONS}
        self._kernel.change_settings(dataclasses.replace(before, **live))
        journal.record_event(
            "settings.reloaded",
            changed=changed,
            need_restart=[name for name in changed if name not in LIVE_SECTIONS],
        )


def list_changed_sections(before: Settings, after: Settings) -> list[str]:
    """Returns the names of the sections that differ."""
    return [
        field.name
        for field in dataclasses.fields(Settings)
        if getattr(before, field.name) != getattr(after, field.name)
    ]
