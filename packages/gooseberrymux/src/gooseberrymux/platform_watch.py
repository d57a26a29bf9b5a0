"""Reads one prefix of the platform and watches it, while this instance is a reader."""

import random
from collections.abc import Callable

from result import Err, Ok

from gooseberrymux import journal
from gooseberrymux.backoff import Backoff
from gooseberrymux.change_signal import ChangeSignal
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.platform import Platform
from gooseberrymux.platform_objects import PlatformError, WatchedChanges
from gooseberrymux.proofs import ProofRecord
from gooseberrymux.reader_selection import Read, ReaderSelection, Wait
from gooseberrymux.staleness import RETRY_SHARE, WATCH_SHARE

# Pause after the first read, to learn of other members. An instance that knows none
# selects itself as a reader, and after each start would keep a watch open on each
# prefix until its timeout.
FIRST_READ_PAUSE_MS = 200
# An instance that has seeds waits this long for its peers' documents before it reads
# the platform itself, so that a start of the whole fleet takes only a few reads.
STARTUP_PEER_WAIT_MS = 1_500.0
# Watches without a change before the whole prefix is read again: if the platform has
# restarted with a higher revision, nothing else shows that a watch has missed changes.
RELIST_AFTER_IDLE_WATCHES = 6
# Shortest watch: one that follows another within the time left to the next proof.
MIN_WATCH_MS = 100
# Jitter of the delay before a substitute reads again, so that instances that were cut
# off together do not call together.
RETRY_JITTER = 0.25


class PlatformWatch:
    """Reads a prefix and watches it for changes; `run` is the target of its thread.

    Args:
        prefix: Prefix of the names of the platform objects.
        kernel: Gives the settings and the clock.
        platform: The platform to watch.
        membership: Lists the live members.
        selection: Decides whether this instance reads the prefix.
        proofs: The proofs of the prefix.
        signal: Wakes the thread after a change of members or documents, and stops it.
        has_documents: Returns whether a document of the prefix is known here.
        apply_changes: Called in the watch's thread with the objects that were read.
        publish_proof: Called in the watch's thread with the `Clock.boot_ms` at which
            the documents in force were current.

    Attributes:
        prefix: Prefix of the names of the platform objects.
        is_active: Whether this instance reads the prefix now.
    """

    __slots__ = (
        "prefix",
        "is_active",
        "_kernel",
        "_platform",
        "_membership",
        "_selection",
        "_proofs",
        "_signal",
        "_has_documents",
        "_apply_changes",
        "_publish_proof",
        "_backoff",
        "_random",
        "_era",
        "_revision",
        "_proven_ms",
        "_idle_watches",
        "_is_first_read",
        "_is_stale",
    )

    def __init__(
        self,
        *,
        prefix: str,
        kernel: Kernel,
        platform: Platform,
        membership: Membership,
        selection: ReaderSelection,
        proofs: ProofRecord,
        signal: ChangeSignal,
        has_documents: Callable[[], bool],
        apply_changes: Callable[[WatchedChanges], None],
        publish_proof: Callable[[float], None],
    ):
        self.prefix = prefix
        self.is_active = False
        self._kernel = kernel
        self._platform = platform
        self._membership = membership
        self._selection = selection
        self._proofs = proofs
        self._signal = signal
        self._has_documents = has_documents
        self._apply_changes = apply_changes
        self._publish_proof = publish_proof
        self._random = random.Random()
        self._backoff = Backoff(
            max_ms=self._compute_share_ms(RETRY_SHARE), generator=self._random
        )
        # Era of the platform to which the revision belongs.
        self._era = 0
        # Revision from which the next watch starts. 0 and -1 read the whole prefix; -1
        # is set after a time in which this instance did not read.
        self._revision = 0
        # Time of the last proof of this instance; the first watch is a whole one.
        self._proven_ms = kernel.clock.boot_ms()
        self._idle_watches = 0
        self._is_first_read = True
        self._is_stale = False

    def run(self) -> None:
        """Reads while this instance is a reader, until the signal stops."""
        self.wait_for_peer_documents()
        while not self._signal.is_stopped:
            seen_count = self._signal.count
            self._report_staleness()
            match self._choose_step():
                case Read() as step:
                    self._start_reading(step)
                    self._read_once(step)
                case Wait(duration_ms=duration_ms):
                    self._stop_reading()
                    self._signal.wait(duration_ms, seen_count=seen_count)

    def wait_for_peer_documents(self) -> None:
        """Waits at the start for documents from peers, up to `STARTUP_PEER_WAIT_MS`.

        Ends early if this instance is one of the readers and knows another member. A
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
            if len(self._membership.list_live()) > 1 and self._selection.is_reader():
                return
            self._signal.wait(remaining_ms, seen_count=seen_count)

    def _choose_step(self) -> Read | Wait:
        """Returns whether to read the prefix from the platform now.

        Also an instance that is no reader reads once when it starts, unless peers have
        already sent documents of the prefix.
        """
        if self._revision == 0 and not self._has_documents():
            return Read(is_substitute=False)
        return self._selection.choose_step()

    def _start_reading(self, step: Read) -> None:
        if self.is_active:
            return
        self.is_active = True
        journal.record_event(
            "documents.reading",
            prefix=self.prefix,
            is_substitute=step.is_substitute,
            proof_age_ms=self._compute_proof_age_ms(),
        )
        if step.is_substitute:
            # Connections that have been idle may have gone silent, and finding that out
            # would take the time in which this read must succeed.
            self._platform.drop_idle_connections()

    def _stop_reading(self) -> None:
        # The next read is of the whole prefix, since changes are missed until then.
        self._revision = -1
        if self.is_active:
            self.is_active = False
            journal.record_event("documents.reading_ended", prefix=self.prefix)

    def _read_once(self, step: Read) -> None:
        started_ms = self._kernel.clock.boot_ms()
        revision = max(0, self._revision)
        wait_ms = self._choose_wait_ms(started_ms)
        match self._platform.watch(
            prefix=self.prefix, revision=revision, wait_ms=wait_ms
        ):
            case Ok(changes) if revision and changes.era != self._era:
                # The revision is one of a history that the platform no longer has.
                # Changes between the copy that it went back to and the same revision
                # of the new history would be missed.
                self._revision = 0
            case Ok(changes) if changes.revision >= self._revision:
                self._era = changes.era
                self._record_read(step, is_answered=True)
                if self._process_changes(changes, started_ms, wait_ms):
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
                self._process_error(step, error)
                return
        # The delay also follows an empty answer that came at once, so that the thread
        # does not spin.
        self._signal.wait(self._backoff.draw_delay_ms())

    def _process_error(self, step: Read, error: PlatformError) -> None:
        # The platform may have restarted, so the revision may be invalid.
        self._revision = 0
        journal.record_fault(step="documents.watch", peer="platform", error=error)
        self._record_read(step, is_answered=error.is_reached)
        if step.is_substitute and not error.is_reached:
            jitter = self._random.uniform(1 - RETRY_JITTER, 1)
            self._signal.wait(jitter * self._compute_share_ms(RETRY_SHARE))
        else:
            self._signal.wait(self._backoff.draw_delay_ms())

    def _record_read(self, step: Read, *, is_answered: bool) -> None:
        if step.is_substitute:
            self._selection.record_read(is_answered=is_answered)

    def _process_changes(
        self, changes: WatchedChanges, started_ms: float, wait_ms: int
    ) -> bool:
        """Applies changes; returns whether to read again without a backoff delay.

        A watch without changes that ended before half its timeout is followed by the
        delay.
        """
        self._apply_changes(changes)
        is_list = self._revision <= 0
        has_changes = bool(changes.objects or changes.malformed)
        advanced = changes.revision > self._revision
        self._idle_watches = 0 if advanced else self._idle_watches + 1
        self._revision = (
            changes.revision if self._idle_watches < RELIST_AFTER_IDLE_WATCHES else 0
        )
        is_whole_wait = self._kernel.clock.boot_ms() >= started_ms + wait_ms
        if not is_list and not has_changes and is_whole_wait:
            # The platform has waited this long for a change. Its answer may have been
            # under way for long, so the present time would not be proven.
            self._proven_ms = started_ms + wait_ms
        else:
            self._proven_ms = started_ms
        if self._is_first_read:
            self._is_first_read = False
            self._signal.wait(FIRST_READ_PAUSE_MS)
        elif has_changes:
            self._pause_after_changes()
        self._publish_proof(self._proven_ms)
        waited_ms = self._kernel.clock.boot_ms() - started_ms
        if not advanced and waited_ms < wait_ms / 2:
            return False
        self._backoff.reset()
        return True

    def _pause_after_changes(self) -> None:
        """Waits a little, so that changes in a row come in one answer."""
        due_ms = self._proven_ms + self._compute_share_ms(WATCH_SHARE)
        remaining_ms = max(0.0, due_ms - self._kernel.clock.boot_ms())
        pause_ms = self._kernel.settings.platform.watch_pause_ms
        self._signal.wait(min(pause_ms, remaining_ms))

    def _choose_wait_ms(self, now_ms: float) -> int:
        """Returns how long a watch waits, so that the next proof comes in time."""
        due_ms = self._proven_ms + self._compute_share_ms(WATCH_SHARE)
        limit_ms = self._kernel.settings.platform.watch_timeout_ms
        return min(limit_ms, max(MIN_WATCH_MS, round(due_ms - now_ms)))

    def _compute_share_ms(self, share: float) -> float:
        return share * self._kernel.settings.platform.staleness_bound_ms

    def _compute_proof_age_ms(self) -> int:
        return round(self._proofs.compute_age_ms(self._kernel.clock.boot_ms()))

    def _report_staleness(self) -> None:
        """Logs that the latest proof has become older than the bound, or newer."""
        age_ms = self._compute_proof_age_ms()
        bound_ms = self._kernel.settings.platform.staleness_bound_ms
        if (age_ms > bound_ms) == self._is_stale:
            return
        self._is_stale = not self._is_stale
        latest = self._proofs.get_latest()
        journal.record_event(
            "documents.stale" if self._is_stale else "documents.fresh",
            prefix=self.prefix,
            proof_age_ms=age_ms,
            bound_ms=bound_ms,
            reader=latest.reader if latest else None,
        )
