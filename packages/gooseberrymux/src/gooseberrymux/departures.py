"""Leaving notices of upstreams, ordered by epoch and spread to all instances.

Any signal wins at once. An upstream comes back with a newer epoch or when an operator
ends its drain.
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
# Whoever learns a notice first passes it on to this many members: all of a small
# fleet at once, all of a large one in a few rounds.
PUSH_FANOUT = 8
EXCHANGE_FANOUT = 2
EXCHANGE_LIMIT = 256
# Longer than the platform's list lags, so that an upstream that is listed late or
# again under the same epoch is still known to be leaving.
RETENTION_MS = 600_000
NOTICES_LIMIT = 100_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamLeaving:
    """An upstream gets no new work from now on."""

    upstream: str
    epoch: int
    source: str


def merge_notices(one: LeavingNotice, other: LeavingNotice) -> LeavingNotice:
    """Returns what two notices about one upstream say together.

    The latest departure and the latest return are taken each for itself, so that the
    order and the number of merges do not matter.
    """
    leaving = max(one, other, key=leaving_key)
    returned = max(one, other, key=returned_key)
    return dataclasses.replace(
        leaving,
        returned_epoch=returned.returned_epoch,
        returned_generation=returned.returned_generation,
    )


def leaving_key(notice: LeavingNotice) -> tuple[int, int, str]:
    """Returns the key by which departures are ordered."""
    return (notice.epoch, notice.generation, notice.source)


def returned_key(notice: LeavingNotice) -> tuple[int, int]:
    """Returns the key by which returns are ordered."""
    return (notice.returned_epoch, notice.returned_generation)


def is_in_force(notice: LeavingNotice, epoch: int) -> bool:
    """Returns whether a notice keeps work from this registration of its upstream.

    A departure noticed under the generation that ended the drain, or later, is news
    and wins.
    """
    return epoch <= notice.epoch and (
        notice.epoch,
        notice.generation,
    ) >= returned_key(notice)


class DepartureTable:
    """Notices by upstream. Not thread-safe."""

    __slots__ = ("_notices", "_unlisted_ms")

    def __init__(self):
        self._notices: dict[str, LeavingNotice] = {}
        self._unlisted_ms: dict[str, float] = {}

    def __len__(self) -> int:
        """Returns the number of upstreams with a notice."""
        return len(self._notices)

    def get(self, upstream: str) -> LeavingNotice | None:
        """Returns the merged notice about an upstream, or None."""
        return self._notices.get(upstream)

    def merge(self, notice: LeavingNotice) -> bool:
        """Takes over a notice; returns whether it changed the table."""
        known = self._notices.get(notice.upstream)
        if known is None and len(self._notices) >= NOTICES_LIMIT:
            return False
        merged = merge_notices(known, notice) if known else notice
        if merged == known:
            return False
        self._notices[notice.upstream] = merged
        return True

    def is_leaving(self, upstream: str, epoch: int) -> bool:
        """Returns whether a registration of an upstream is leaving."""
        notice = self._notices.get(upstream)
        return notice is not None and is_in_force(notice, epoch)

    def retain(self, listed: Collection[str], *, now_ms: float) -> None:
        """Forgets notices of upstreams that are off the list for `RETENTION_MS`."""
        for upstream in list(self._notices):
            if upstream in listed:
                self._unlisted_ms.pop(upstream, None)
            elif (
                now_ms - self._unlisted_ms.setdefault(upstream, now_ms) >= RETENTION_MS
            ):
                del self._notices[upstream]
                del self._unlisted_ms[upstream]

    def list_for_exchange(self) -> list[LeavingNotice]:
        """Returns the notices that are repeated to peers.

        Those of upstreams off the list are not, so that they are forgotten for good.
        """
        return [
            notice
            for name, notice in self._notices.items()
            if name not in self._unlisted_ms
        ]


@service("departures", requires=("peers", "membership"))
class Departures:
    """Knows which upstreams are leaving and tells the other instances."""

    __slots__ = (
        "_kernel",
        "_peers",
        "_membership",
        "_table",
        "_drained",
        "_epochs",
        "_generation",
        "_random",
        "_changed",
        "_stopping",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._peers = kernel.find("peers", Peers)
        self._membership = kernel.find("membership", Membership)
        self._table = DepartureTable()
        self._drained: frozenset[str] = frozenset()
        self._epochs: dict[str, int] = {}
        self._generation = 0
        self._random = random.Random(self._peers.identity.incarnation)
        self._changed = threading.Condition()
        self._stopping = False
        self._peers.register(LeavingNotice, self._handle_notice)
        kernel.subscribe(ConfigurationChanged, self._handle_configuration)

    def start(self) -> None:
        """Starts the periodic exchange with peers."""
        self._kernel.spawn(name="departures.exchange", target=self._exchange)

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain."""

    def stop(self) -> None:
        """Ends the exchange."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()

    def is_leaving(self, upstream: str, epoch: int) -> bool:
        """Returns whether a registration of an upstream gets no new work."""
        return upstream in self._drained or self._table.is_leaving(upstream, epoch)

    def note(self, *, upstream: str, epoch: int, source: str) -> None:
        """Takes a leaving signal seen by this instance and tells the others.

        Args:
            upstream: The upstream.
            epoch: The registration that is leaving.
            source: One of the `SOURCE_` constants.
        """
        self._merge(
            LeavingNotice(
                upstream=upstream,
                epoch=epoch,
                generation=self._generation,
                source=source,
            ),
            teller="",
        )

    def update_list(self, epochs: dict[str, int], leaving: dict[str, int]) -> None:
        """Takes over the platform's list.

        Args:
            epochs: Epoch of each listed upstream.
            leaving: Epoch of each that the list calls leaving.
        """
        with self._changed:
            self._epochs = dict(epochs)
            self._table.retain(epochs, now_ms=self._kernel.clock.now_ms())
        for upstream, epoch in leaving.items():
            if not self._table.is_leaving(upstream, epoch):
                self.note(upstream=upstream, epoch=epoch, source=SOURCE_PLATFORM)

    def describe(self) -> dict:
        """Returns the leaving upstreams and who said so."""
        with self._changed:
            return {
                "drained": sorted(self._drained),
                "notices": {
                    upstream: {"epoch": notice.epoch, "source": notice.source}
                    for upstream, epoch in self._epochs.items()
                    if (notice := self._table.get(upstream))
                    and is_in_force(notice, epoch)
                },
                "remembered": len(self._table),
            }

    def _handle_notice(self, sender: InstanceIdentity, message: object) -> None:
        assert isinstance(message, LeavingNotice)
        self._merge(message, teller=sender.name)

    def _handle_configuration(self, event: ConfigurationChanged) -> None:
        configuration = event.configuration
        drained = frozenset(drain.upstream for drain in configuration.drains)
        with self._changed:
            before, self._drained = self._drained, drained
            self._generation = configuration.generation
            epochs = self._epochs
        for upstream in sorted(drained - before):
            self.note(
                upstream=upstream,
                epoch=epochs.get(upstream, 0),
                source=SOURCE_OPERATOR,
            )
            # The drain holds for every registration, also one not yet listed.
            self._publish(upstream, epochs.get(upstream, 0), SOURCE_OPERATOR)
        for upstream in sorted(before - drained):
            self._end_drain(upstream, epochs.get(upstream, 0))

    def _end_drain(self, upstream: str, epoch: int) -> None:
        with self._changed:
            known = self._table.get(upstream)
        if known is None:
            return
        self._merge(
            dataclasses.replace(
                known,
                returned_epoch=max(epoch, known.epoch),
                returned_generation=self._generation,
            ),
            teller="",
        )

    def _merge(self, notice: LeavingNotice, *, teller: str) -> None:
        epoch = self._epochs.get(notice.upstream, notice.epoch)
        with self._changed:
            before = self.is_leaving(notice.upstream, epoch)
            changed = self._table.merge(notice)
            after = self.is_leaving(notice.upstream, epoch)
            merged = self._table.get(notice.upstream)
        if not changed or merged is None:
            return
        metrics.leaving_upstreams.set({}, len(self._table))
        journal.record_event(
            "departures.changed",
            upstream=notice.upstream,
            epoch=notice.epoch,
            leaving=after,
            source=notice.source,
            peer=teller,
        )
        self._push([merged], count=PUSH_FANOUT, but=teller)
        if after and not before:
            self._publish(notice.upstream, notice.epoch, notice.source)

    def _publish(self, upstream: str, epoch: int, source: str) -> None:
        self._kernel.publish(
            UpstreamLeaving(upstream=upstream, epoch=epoch, source=source)
        )

    def _push(self, notices: list[LeavingNotice], *, count: int, but: str = "") -> None:
        own_name = self._peers.identity.name
        names = [
            member.name
            for member in self._membership.list_live()
            if member.name not in (own_name, but)
        ]
        for name in self._random.sample(names, min(count, len(names))):
            for notice in notices:
                self._peers.send(name, notice)

    def _exchange(self) -> None:
        period_ms = self._kernel.settings.membership.exchange_period_ms
        while True:
            with self._changed:
                if not self._stopping:
                    self._kernel.clock.wait(self._changed, period_ms)
                if self._stopping:
                    return
                self._table.retain(self._epochs, now_ms=self._kernel.clock.now_ms())
                notices = self._table.list_for_exchange()
            sample = self._random.sample(notices, min(EXCHANGE_LIMIT, len(notices)))
            self._push(sample, count=EXCHANGE_FANOUT)
