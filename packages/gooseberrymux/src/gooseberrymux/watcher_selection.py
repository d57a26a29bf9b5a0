"""Which instances watch the platform: the first by rank that can reach it.

Each waiting watch counts as a call, so only a few instances watch. One that the
platform does not answer says so to the others that may watch, and the next takes its
place.
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

WATCH_KEY = "documents/watch"
# Candidates for each watcher. While the platform is down all of them try it again and
# again, so that they are few.
CANDIDATES = 2
# What an instance said of its reach holds so long; it repeats it with each failed call.
CUT_OFF_MS = 10_000.0


class Watchers:
    """The choice of the watchers as this instance sees it.

    Args:
        kernel: The kernel.
        peers: Carries what instances say of their reach.
        membership: Lists the live members.
        on_change: Called when another instance has said something new.
    """

    __slots__ = ("_kernel", "_peers", "_membership", "_on_change", "_cut_off", "_lock")

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
        # Instances that can't reach the platform, and until when that holds.
        self._cut_off: dict[str, float] = {}
        self._lock = threading.Lock()
        peers.register(PlatformReach, self._handle_reach)

    def is_watcher(self) -> bool:
        """Returns whether this instance watches.

        A candidate that is cut off keeps trying, to notice when it no longer is.
        """
        own = self._peers.identity.name
        candidates = [member.name for member in self._list_candidates()]
        cut_off = self.list_cut_off()
        if own in cut_off:
            return own in candidates
        reaching = [name for name in candidates if name not in cut_off]
        return own in reaching[: self._kernel.settings.platform.watchers]

    def list_cut_off(self) -> list[str]:
        """Returns the instances that are known not to reach the platform."""
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            return sorted(
                name for name, until_ms in self._cut_off.items() if now_ms < until_ms
            )

    def note_own(self, *, is_reached: bool) -> None:
        """Notes whether a call of this instance reached the platform, and says so."""
        own = self._peers.identity.name
        if not self._note(own, is_reached=is_reached) and is_reached:
            return
        message = PlatformReach(is_reached=is_reached)
        for member in self._list_candidates():
            if member.name != own:
                self._peers.send(member.name, message)

    def _list_candidates(self) -> tuple[InstanceRecord, ...]:
        return rank_members(
            key=WATCH_KEY,
            members=self._membership.list_live(),
            count=CANDIDATES * self._kernel.settings.platform.watchers,
        )

    def _note(self, name: str, *, is_reached: bool) -> bool:
        """Keeps what an instance says; returns whether it is news."""
        now_ms = self._kernel.clock.now_ms()
        with self._lock:
            was_cut_off = self._cut_off.pop(name, 0.0) > now_ms
            if not is_reached:
                self._cut_off[name] = now_ms + CUT_OFF_MS
        is_news = was_cut_off == is_reached
        if is_news:
            journal.record_event("watchers.reach", member=name, is_reached=is_reached)
        return is_news

    def _handle_reach(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, PlatformReach)
        if self._note(sender.name, is_reached=message.is_reached):
            self._on_change()
