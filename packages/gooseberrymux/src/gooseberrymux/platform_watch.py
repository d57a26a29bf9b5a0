"""Watches one prefix of the platform while this instance is a watcher."""

import random
from collections.abc import Callable

from result import Err, Ok

from gooseberrymux import journal
from gooseberrymux.backoff import Backoff
from gooseberrymux.change_signal import ChangeSignal
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.platform import Platform
from gooseberrymux.platform_objects import WatchedChanges
from gooseberrymux.watcher_selection import WatcherSelection

# Pause after the first read, to learn of other members. An instance that knows none
# selects itself as a watcher, and after each start would keep a watch open on each
# prefix until its timeout.
FIRST_READ_PAUSE_MS = 200
# An instance that has seeds waits this long for its peers' documents before it reads
# the platform itself, so that a start of the whole fleet takes only a few reads.
STARTUP_PEER_WAIT_MS = 1_500.0
# Watches without a change before the whole prefix is read again: if the platform has
# restarted with a higher revision, nothing else shows that a watch has missed changes.
RELIST_AFTER_IDLE_WATCHES = 6
# A change of members wakes the thread, so this period only bounds the delay after a
# missed event. It is long because each check hashes the whole member list.
WATCHER_RECHECK_MS = 10_000


class PlatformWatch:
    """Reads a prefix and watches it for changes; `run` is the target of its thread.

    Args:
        prefix: Prefix of the names of the platform objects.
        kernel: Gives the settings and the clock.
        platform: The platform to watch.
        membership: Lists the live members.
        watcher_selection: Decides whether this instance is a watcher.
        signal: Wakes the thread after changes that may make this instance a watcher,
            and stops it.
        has_documents: Returns whether a document of the prefix is known here.
        apply_changes: Called in the watch's thread with the objects that were read.

    Attributes:
        prefix: Prefix of the names of the platform objects.
        is_active: Whether this instance watches the prefix now.
    """

    __slots__ = (
        "prefix",
        "is_active",
        "_kernel",
        "_platform",
        "_membership",
        "_watcher_selection",
        "_signal",
        "_has_documents",
        "_apply_changes",
        "_backoff",
        "_era",
        "_revision",
        "_idle_watches",
        "_is_first_read",
    )

    def __init__(
        self,
        *,
        prefix: str,
        kernel: Kernel,
        platform: Platform,
        membership: Membership,
        watcher_selection: WatcherSelection,
        signal: ChangeSignal,
        has_documents: Callable[[], bool],
        apply_changes: Callable[[WatchedChanges], None],
    ):
        self.prefix = prefix
        self.is_active = False
        self._kernel = kernel
        self._platform = platform
        self._membership = membership
        self._watcher_selection = watcher_selection
        self._signal = signal
        self._has_documents = has_documents
        self._apply_changes = apply_changes
        self._backoff = Backoff(generator=random.Random())
        # Era of the platform to which the revision belongs.
        self._era = 0
        # Revision from which the next watch starts. 0 and -1 read the whole prefix; -1
        # is set after a time in which this instance did not watch.
        self._revision = 0
        self._idle_watches = 0
        self._is_first_read = True

    def run(self) -> None:
        """Watches while this instance is a watcher, until the signal stops."""
        self.wait_for_peer_documents()
        while not self._signal.is_stopped:
            seen_count = self._signal.count
            self.is_active = self._should_read()
            if self.is_active:
                self._watch_once()
            else:
                # The next watch reads the whole prefix, since changes are missed until
                # then.
                self._revision = -1
                self._signal.wait(WATCHER_RECHECK_MS, seen_count=seen_count)

    def wait_for_peer_documents(self) -> None:
        """Waits at the start for documents from peers, up to `STARTUP_PEER_WAIT_MS`.

        Ends early if this instance is selected as a watcher and knows another member. A
        seed does not wait.
        """
        settings = self._kernel.settings
        seeds = settings.membership.seeds
        if not seeds or settings.instance.advertised_address in seeds:
            return
        until_ms = self._kernel.clock.now_ms() + STARTUP_PEER_WAIT_MS
        while not self._signal.is_stopped:
            seen_count = self._signal.count
            remaining_ms = until_ms - self._kernel.clock.now_ms()
            if remaining_ms <= 0 or self._has_documents():
                return
            if (
                len(self._membership.list_live()) > 1
                and self._watcher_selection.is_watcher()
            ):
                return
            self._signal.wait(remaining_ms, seen_count=seen_count)

    def _should_read(self) -> bool:
        """Returns whether this instance reads the prefix from the platform.

        An instance that is not a watcher reads once when it starts, unless peers have
        already sent documents of the prefix.
        """
        if self._watcher_selection.is_watcher():
            return True
        return self._revision == 0 and not self._has_documents()

    def _watch_once(self) -> None:
        started_ms = self._kernel.clock.now_ms()
        revision = max(0, self._revision)
        match self._platform.watch(prefix=self.prefix, revision=revision):
            case Ok(changes) if revision and changes.era != self._era:
                # The revision is one of a history that the platform no longer has.
                # Changes between the copy that it went back to and the same revision
                # of the new history would be missed.
                self._watcher_selection.record_own_reach(is_reached=True)
                self._revision = 0
            case Ok(changes) if changes.revision >= self._revision:
                self._era = changes.era
                self._watcher_selection.record_own_reach(is_reached=True)
                if self._process_changes(changes, started_ms):
                    return
            case Ok(changes):
                journal.record_event(
                    "documents.revision_went_back",
                    prefix=self.prefix,
                    known=self._revision,
                    found=changes.revision,
                )
                self._revision = 0
            case Err(error):
                # The platform may have restarted, so the revision may be invalid.
                self._revision = 0
                journal.record_fault(
                    step="documents.watch", peer="platform", error=error
                )
                self._watcher_selection.record_own_reach(is_reached=error.is_reached)
        # The delay also follows an empty answer that came at once, so that the thread
        # does not spin.
        self._signal.wait(self._backoff.draw_delay_ms())

    def _process_changes(self, changes: WatchedChanges, started_ms: float) -> bool:
        """Applies changes; returns whether to watch again without a backoff delay.

        A watch without changes that ended before half its timeout is followed by the
        delay.
        """
        self._apply_changes(changes)
        advanced = changes.revision > self._revision
        self._idle_watches = 0 if advanced else self._idle_watches + 1
        self._revision = (
            changes.revision if self._idle_watches < RELIST_AFTER_IDLE_WATCHES else 0
        )
        settings = self._kernel.settings.platform
        waited_ms = self._kernel.clock.now_ms() - started_ms
        if not advanced and waited_ms < settings.watch_timeout_ms / 2:
            return False
        self._backoff.reset()
        if self._is_first_read:
            self._is_first_read = False
            self._signal.wait(FIRST_READ_PAUSE_MS)
        elif advanced:
            self._signal.wait(settings.watch_pause_ms)
        return True
