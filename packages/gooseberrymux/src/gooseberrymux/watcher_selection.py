"""Selects the instances that watch the platform: the first by rank that can reach it.

Each waiting watch counts as a call to the platform, so only a few instances watch. The
first members of the ranking are candidates. A candidate whose calls the platform does
not answer reports this to the other candidates, and the next by rank replaces it.
"""

import threading
from collections.abc import Callable

from gooseberrymux import journal
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.messages import PlatformReach
from gooseberrymux.ownership import rank_members
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceIdentity, InstanceRecord

RANKING_KEY = "documents/watch"
# All candidates keep calling the platform while it is down, so their number is limited.
CANDIDATES_PER_WATCHER = 2
# Time after which a failure report expires; each further failed call renews the report.
CUT_OFF_TTL_MS = 10_000.0


class WatcherSelection:
    """The selection of watchers, from the reports that this instance has received.

    Args:
        kernel: Gives the settings and the clock.
        peers: Carries the reports of the candidates.
        membership: Lists the live members.
        on_change: Called when a report from another instance differs from what was
            known of that instance.
    """

    __slots__ = (
        "_kernel",
        "_peers",
        "_membership",
        "_on_change",
        "_cut_off_until_ms",
        "_lock",
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        peers: Peers,
        membership: Membership,
        on_change: Callable[[], None],
    ):
        self._kernel = kernel
        self._peers = peers
        self._membership = membership
        self._on_change = on_change
        # Expiry times of the reports of instances that can't reach the platform.
        self._cut_off_until_ms: dict[str, float] = {}
        self._lock = threading.Lock()
        peers.register(PlatformReach, self._handle_reach)

    def is_watcher(self) -> bool:
        """Returns whether this instance is to watch the platform.

        A candidate that is cut off from the platform is to watch as well, so that it
        notices when the platform answers again.
        """
        own = self._peers.identity.name
        candidates = [member.name for member in self._list_candidates()]
        cut_off = self.list_cut_off()
        if own in cut_off:
            return own in candidates
        reachable = [name for name in candidates if name not in cut_off]
        return own in reachable[: self._kernel.settings.platform.watchers]

    def list_cut_off(self) -> list[str]:
        """Returns the instances with an unexpired failure report, sorted by name."""
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            return sorted(
                name
                for name, until_ms in self._cut_off_until_ms.items()
                if now_ms < until_ms
            )

    def record_own_reach(self, *, is_reached: bool) -> None:
        """Records whether a call of this instance reached the platform.

        Reports each failure to the other candidates, but a success only after failures.
        """
        own = self._peers.identity.name
        if not self._record_reach(own, is_reached=is_reached) and is_reached:
            return
        message = PlatformReach(is_reached=is_reached)
        for member in self._list_candidates():
            if member.name != own:
                self._peers.send(member.name, message)

    def _list_candidates(self) -> tuple[InstanceRecord, ...]:
        return rank_members(
            key=RANKING_KEY,
            members=self._membership.list_live(),
            count=CANDIDATES_PER_WATCHER * self._kernel.settings.platform.watchers,
        )

    def _record_reach(self, name: str, *, is_reached: bool) -> bool:
        """Records a report; returns whether it differs from what was known before."""
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            was_cut_off = self._cut_off_until_ms.pop(name, 0.0) > now_ms
            if not is_reached:
                self._cut_off_until_ms[name] = now_ms + CUT_OFF_TTL_MS
        has_changed = was_cut_off == is_reached
        if has_changed:
            journal.record_event("watchers.reach", member=name, is_reached=is_reached)
        return has_changed

    def _handle_reach(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, PlatformReach)
        if self._record_reach(sender.name, is_reached=message.is_reached):
            self._on_change()
