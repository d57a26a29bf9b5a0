"""Leaving notices about upstreams, ordered by epoch and spread to all instances.

The first signal from the platform, an operator or the upstream itself stops new work
for the upstream at once. The upstream gets work again when it is listed with a newer
epoch or when an operator ends its drain.
"""

import dataclasses
import random
import threading
from collections.abc import Collection

from gooseberrymux import journal, metrics
from gooseberrymux.configuration_model import ConfigurationChanged
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.membership import Membership
from gooseberrymux.messages import LeavingNotice
from gooseberrymux.peers import Peers
from gooseberrymux.records import InstanceIdentity

SOURCE_PLATFORM = "platform"
SOURCE_OPERATOR = "operator"
SOURCE_UPSTREAM = "upstream"
# An instance sends a notice that changed its table to this many members, which reaches
# a small fleet at once and a large one in a few rounds.
PUSH_FANOUT = 8
EXCHANGE_FANOUT = 2
MAX_NOTICES_PER_EXCHANGE = 256
# A notice is kept this long after its upstream left the platform's list. This is longer
# than the list lags, so an upstream that is listed late, or again under the same epoch,
# is still known to be leaving.
UNLISTED_RETENTION_MS = 600_000
MAX_NOTICES = 100_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLeaving:
    """An upstream gets no new work from now on.

    Attributes:
        upstream: Name of the upstream.
        epoch: Its registration that is leaving.
        source: The `SOURCE_` constant that names where the signal came from.
    """

    upstream: str
    epoch: int
    source: str


def merge_notices(first: LeavingNotice, second: LeavingNotice) -> LeavingNotice:
    """Merges two notices about the same upstream.

    The latest departure and the latest return are selected independently, so that the
    order and the number of merges do not matter.
    """
    leaving = max(first, second, key=leaving_key)
    returned = max(first, second, key=returned_key)
    return dataclasses.replace(
        leaving,
        returned_epoch=returned.returned_epoch,
        returned_generation=returned.returned_generation,
    )


def leaving_key(notice: LeavingNotice) -> tuple[int, int, str]:
    """Returns the sort key of a notice by its departure."""
    return (notice.epoch, notice.generation, notice.source)


def returned_key(notice: LeavingNotice) -> tuple[int, int]:
    """Returns the sort key of a notice by its return."""
    return (notice.returned_epoch, notice.returned_generation)


def is_in_force(notice: LeavingNotice, epoch: int) -> bool:
    """Returns whether a notice stops new work for a registration of its upstream.

    A departure that was seen under the configuration generation that ended the drain,
    or under a later one, is newer than the return and takes precedence.
    """
    return epoch <= notice.epoch and (
        notice.epoch,
        notice.generation,
    ) >= returned_key(notice)


class LeavingNoticeTable:
    """Merged leaving notices by upstream. Not thread-safe."""

    __slots__ = ("_notices", "_unlisted_since_ms")

    def __init__(self):
        self._notices: dict[str, LeavingNotice] = {}
        self._unlisted_since_ms: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns the number of upstreams with a notice."""
        return len(self._notices)

    def get(self, upstream: str) -> LeavingNotice | None:
        """Returns the merged notice about an upstream, or None."""
        return self._notices.get(upstream)

    def merge(self, notice: LeavingNotice) -> bool:
        """Merges a notice into the table; returns whether that changed the table.

        A notice about a further upstream is ignored at `MAX_NOTICES`.
        """
        known = self._notices.get(notice.upstream)
        if known is None and len(self._notices) >= MAX_NOTICES:
            return False
        merged = merge_notices(known, notice) if known else notice
        if merged == known:
            return False
        self._notices[notice.upstream] = merged
        return True

    def is_leaving(self, upstream: str, epoch: int) -> bool:
        """Returns whether a notice says that a registration is leaving."""
        notice = self._notices.get(upstream)
        return notice is not None and is_in_force(notice, epoch)

    def forget_unlisted(self, listed: Collection[str], *, now_ms: float) -> None:
        """Removes notices about upstreams unlisted for `UNLISTED_RETENTION_MS`.

        Args:
            listed: Names of the upstreams on the platform's list.
            now_ms: The current time.
        """
        for upstream in list(self._notices):
            if upstream in listed:
                self._unlisted_since_ms.pop(upstream, None)
            elif (
                now_ms - self._unlisted_since_ms.setdefault(upstream, now_ms)
                >= UNLISTED_RETENTION_MS
            ):
                del self._notices[upstream]
                del self._unlisted_since_ms[upstream]

    def list_for_exchange(self) -> list[LeavingNotice]:
        """Returns the notices to send to peers in the periodic exchange.

        Notices about unlisted upstreams are not sent. Otherwise instances that removed
        them would get them back from others, and they would never expire. Notices that
        follow from the platform's list are not sent, as each instance has the list.
        """
        return [
            notice
            for name, notice in self._notices.items()
            if name not in self._unlisted_since_ms and notice.source != SOURCE_PLATFORM
        ]


@service("departures", requires=("peers", "membership"))
class Departures:
    """Tracks which upstreams are leaving and sends leaving notices to other instances.

    A notice that is new here is pushed to some members at once; a periodic exchange
    repeats notices to random members for those that missed the push or started later.
    """

    __slots__ = (
        "_kernel",
        "_peers",
        "_membership",
        "_table",
        "_drained_upstreams",
        "_listed_epochs",
        "_generation",
        "_random",
        "_condition",
        "_stopping",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._table = LeavingNoticeTable()
        self._drained_upstreams: frozenset[str] = frozenset()
        self._listed_epochs: dict[str, int] = {}
        self._generation = 0
        self._random = random.Random(self._peers.identity.incarnation)
        self._condition = threading.Condition()
        self._stopping = False
        self._peers.register(LeavingNotice, self._handle_notice)
        kernel.subscribe(ConfigurationChanged, self._handle_configuration)

    def start(self) -> None:
        """Starts the thread of the periodic exchange."""
        self._kernel.spawn(name="departures.exchange", target=self._run_exchange_loop)

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: the exchange goes on until the service stops."""

    def stop(self) -> None:
        """Ends the periodic exchange."""
        with self._condition:
            self._stopping = True
            self._condition.notify_all()

    def is_leaving(self, upstream: str, epoch: int) -> bool:
        """Returns whether a registration of an upstream must get no new work."""
        return upstream in self._drained_upstreams or self._table.is_leaving(
            upstream, epoch
        )

    def report_leaving(self, *, upstream: str, epoch: int, source: str) -> None:
        """Records a leaving signal that this instance saw and sends it to others.

        Args:
            upstream: Name of the upstream.
            epoch: The registration that is leaving.
            source: The `SOURCE_` constant that names where the signal came from.
        """
        self._merge(
            LeavingNotice(
                upstream=upstream,
                epoch=epoch,
                generation=self._generation,
                source=source,
            ),
            sender_name="",
        )

    def apply_platform_list(
        self, epochs: dict[str, int], leaving: dict[str, int]
    ) -> None:
        """Updates the listed epochs and records upstreams that are listed as leaving.

        Args:
            epochs: Epoch of each upstream on the platform's list.
            leaving: Epoch of each upstream that the list marks as leaving.
        """
        with self._condition:
            self._listed_epochs = dict(epochs)
            self._table.forget_unlisted(epochs, now_ms=self._kernel.clock.now_ms())
        for upstream, epoch in leaving.items():
            if not self._table.is_leaving(upstream, epoch):
                self.report_leaving(
                    upstream=upstream, epoch=epoch, source=SOURCE_PLATFORM
                )

    def describe(self) -> dict:
        """Returns the drained upstreams and the notices in force with their source."""
        with self._condition:
            return {
                "drained": sorted(self._drained_upstreams),
                "notices": {
                    upstream: {"epoch": notice.epoch, "source": notice.source}
                    for upstream, epoch in self._listed_epochs.items()
                    if (notice := self._table.get(upstream))
                    and is_in_force(notice, epoch)
                },
                "remembered": len(self._table),
            }

    def _handle_notice(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, LeavingNotice)
        self._merge(message, sender_name=sender.name)

    def _handle_configuration(self, event: ConfigurationChanged) -> None:
        configuration = event.configuration
        drained = frozenset(drain.upstream for drain in configuration.drains)
        with self._condition:
            earlier, self._drained_upstreams = self._drained_upstreams, drained
            self._generation = configuration.generation
            epochs = self._listed_epochs
        for upstream in sorted(drained - earlier):
            self.report_leaving(
                upstream=upstream,
                epoch=epochs.get(upstream, 0),
                source=SOURCE_OPERATOR,
            )
            # The notice covers one epoch, but a drain holds for every registration of
            # the upstream, also for one not yet listed, so the event is always sent.
            self._publish(upstream, epochs.get(upstream, 0), SOURCE_OPERATOR)
        for upstream in sorted(earlier - drained):
            self._end_drain(upstream, epochs.get(upstream, 0))

    def _end_drain(self, upstream: str, epoch: int) -> None:
        with self._condition:
            known = self._table.get(upstream)
        if known is None:
            return
        self._merge(
            dataclasses.replace(
                known,
                returned_epoch=max(epoch, known.epoch),
                returned_generation=self._generation,
            ),
            sender_name="",
        )

    def _merge(self, notice: LeavingNotice, *, sender_name: str) -> None:
        epoch = self._listed_epochs.get(notice.upstream, notice.epoch)
        with self._condition:
            was_leaving = self.is_leaving(notice.upstream, epoch)
            changed = self._table.merge(notice)
            is_leaving = self.is_leaving(notice.upstream, epoch)
            merged = self._table.get(notice.upstream)
        if not changed or merged is None:
            return
        metrics.leaving_upstreams.set({}, len(self._table))
        journal.record_event(
            "departures.changed",
            upstream=notice.upstream,
            epoch=notice.epoch,
            leaving=is_leaving,
            source=notice.source,
            peer=sender_name,
        )
        if notice.source != SOURCE_PLATFORM:
            # All instances receive the platform's list itself as a document.
            self._push([merged], count=PUSH_FANOUT, excluded=sender_name)
        if is_leaving and not was_leaving:
            self._publish(notice.upstream, notice.epoch, notice.source)

    def _publish(self, upstream: str, epoch: int, source: str) -> None:
        self._kernel.publish(
            UpstreamLeaving(upstream=upstream, epoch=epoch, source=source)
        )

    def _push(
        self, notices: list[LeavingNotice], *, count: int, excluded: str = ""
    ) -> None:
        own_name = self._peers.identity.name
        names = [
            member.name
            for member in self._membership.list_live()
            if member.name not in (own_name, excluded)
        ]
        for name in self._random.sample(names, min(count, len(names))):
            for notice in notices:
                self._peers.send(name, notice)

    def _run_exchange_loop(self) -> None:
        period_ms = self._kernel.settings.membership.exchange_period_ms
        while True:
            with self._condition:
                if not self._stopping:
                    self._kernel.clock.wait(self._condition, period_ms)
                if self._stopping:
                    return
                self._table.forget_unlisted(
                    self._listed_epochs, now_ms=self._kernel.clock.now_ms()
                )
                notices = self._table.list_for_exchange()
            sample = self._random.sample(
                notices, min(MAX_NOTICES_PER_EXCHANGE, len(notices))
            )
            self._push(sample, count=EXCHANGE_FANOUT)
