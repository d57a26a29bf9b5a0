"""Watch of one prefix of the platform, as long as this instance is a watcher."""

import random
from collections.abc import Callable

from result import Err, Ok

from gooseberrymux import journal
from gooseberrymux.backoff import Backoff
from gooseberrymux.change_signal import ChangeSignal
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.platform import Platform, WatchedChanges
from gooseberrymux.watchers import Watchers

# Pause after the first read. An instance that knows no other yet takes itself for a
# watcher, and each start would hold a watch on each prefix until its timeout.
MEMBERS_WAIT_MS = 200
# An instance that starts beside others waits this long for their documents before it
# reads the platform itself, so that a start of the whole fleet costs a few reads only.
PEERS_WAIT_MS = 1_500.0
# Idle watches before the whole prefix is read again: a platform that restarted with
# a higher revision gives no other sign of the changes that a watch has missed.
RELIST_AFTER_IDLE = 6
# Members choose the watchers anew when one changes; this only bounds a missed event,
# since each check hashes the whole member list.
WATCHER_CHECK_MS = 10_000


class PlatformWatch:
    """Reads a prefix and follows its changes; `run` is the body of its thread.

    Args:
        prefix: Start of the names of what is followed.
        kernel: The kernel.
        platform: The platform.
        membership: Lists the live members.
        watchers: Says whether this instance watches.
        signal: Changes that may make this instance a watcher, and the stop.
        has_documents: Whether a document of the prefix is known here.
        take: Takes in what was read.

    Attributes:
        prefix: See above.
        is_active: Whether this instance watches now.
    """

    __slots__ = (
        "prefix",
        "is_active",
        "_kernel",
        "_platform",
        "_membership",
        "_watchers",
        "_signal",
        "_has_documents",
        "_take",
        "_backoff",
        "_revision",
        "_idle",
        "_is_first_read",
    )

    def __init__(
        self,
        *,
        prefix: str,
        kernel: Kernel,
        platform: Platform,
        membership: Membership,
        watchers: Watchers,
        signal: ChangeSignal,
        has_documents: Callable[[], bool],
        take: Callable[[WatchedChanges], None],
    ):
        self.prefix = prefix
        self.is_active = False
        self._kernel = kernel
        self._platform = platform
        self._membership = membership
        self._watchers = watchers
        self._signal = signal
        self._has_documents = has_documents
        self._take = take
        self._backoff = Backoff(generator=random.Random())
        self._revision = 0
        self._idle = 0
        self._is_first_read = True

    def run(self) -> None:
        """Watches while it is this instance's turn, until the stop."""
        self.await_peers()
        while not self._signal.is_stopped:
            seen = self._signal.count
            self.is_active = self._must_read()
            if self.is_active:
                self._read()
            else:
                # What this instance misses until it watches again is read anew.
                self._revision = -1
                self._signal.wait(WATCHER_CHECK_MS, seen_count=seen)

    def await_peers(self) -> None:
        """Waits at the start until others have sent the documents, or it is time."""
        settings = self._kernel.settings
        seeds = settings.membership.seeds
        if not seeds or settings.instance.advertised_address in seeds:
            return
        until_ms = self._kernel.clock.now_ms() + PEERS_WAIT_MS
        while not self._signal.is_stopped:
            seen = self._signal.count
            left_ms = until_ms - self._kernel.clock.now_ms()
            if left_ms <= 0 or self._has_documents():
                return
            if len(self._membership.list_live()) > 1 and self._watchers.is_watcher():
                return
            self._signal.wait(left_ms, seen_count=seen)

    def _must_read(self) -> bool:
        """Returns whether this instance reads the prefix from the platform.

        An instance that is no watcher reads once when it starts, unless its peers
        have already sent the documents.
        """
        if self._watchers.is_watcher():
            return True
        return self._revision == 0 and not self._has_documents()

    def _read(self) -> None:
        started_ms = self._kernel.clock.now_ms()
        revision = max(0, self._revision)
        match self._platform.watch(prefix=self.prefix, revision=revision):
            case Ok(changes) if changes.revision >= self._revision:
                self._watchers.note_own(is_reached=True)
                if self._follow(changes, started_ms):
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
                # The platform may have restarted, so the position counts no more.
                self._revision = 0
                journal.record_fault(
                    step="documents.watch", peer="platform", error=error
                )
                self._watchers.note_own(is_reached=error.is_reached)
        # Also after an empty answer that came at once: no thread may spin.
        self._signal.wait(self._backoff.draw_delay_ms())

    def _follow(self, changes: WatchedChanges, started_ms: float) -> bool:
        """Takes in changes; returns whether to watch on without a delay."""
        self._take(changes)
        advanced = changes.revision > self._revision
        self._idle = 0 if advanced else self._idle + 1
        self._revision = changes.revision if self._idle < RELIST_AFTER_IDLE else 0
        settings = self._kernel.settings.platform
        waited_ms = self._kernel.clock.now_ms() - started_ms
        if not advanced and waited_ms < settings.watch_timeout_ms / 2:
            return False
        self._backoff.reset()
        if self._is_first_read:
            self._is_first_read = False
            self._signal.wait(MEMBERS_WAIT_MS)
        elif advanced:
            self._signal.wait(settings.watch_pause_ms)
        return True
