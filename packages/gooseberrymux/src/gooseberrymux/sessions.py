"""Session with one peer: takes the link's steps and carries them out.

One thread sends on a pynng socket and hands out what the listener has received, so that
a fleet of n instances costs each of them n threads and not 2 n.
"""

from collections.abc import Callable

import pynng

from gooseberrymux import journal
from gooseberrymux.codec import Envelope, encode_envelope
from gooseberrymux.drops import DropRecorder
from gooseberrymux.kernel import Kernel
from gooseberrymux.links import (
    Close,
    Deliver,
    Link,
    Redial,
    ReportDown,
    ReportUp,
    SendBatch,
)
from gooseberrymux.records import InstanceIdentity

# The first message to an instance that has just started waits at most the longer one.
RECONNECT_MIN_MS = 10
RECONNECT_MAX_MS = 200
# A blocked send looks for a broken connection this often.
SEND_TIMEOUT_MS = 200
# A peer whose connection takes no frame this long is lost.
SEND_GIVE_UP_MS = 1_000
# pynng drops what it has not yet written when a socket is closed.
LINGER_MS = 50

REASON_BROKE = "connection broke"
REASON_BLOCKED = "send timed out"


class Session:
    """Owns the socket to one peer; `run` is the body of its thread."""

    __slots__ = (
        "_kernel",
        "_get_identity",
        "_link",
        "_drops",
        "_deliver",
        "_report_down",
        "_report_up",
        "_report_unsent",
        "_count_sent",
    )

    def __init__(
        self,
        *,
        kernel: Kernel,
        get_identity: Callable[[], InstanceIdentity],
        link: Link,
        drops: DropRecorder,
        deliver: Callable[[Link, Envelope], None],
        report_down: Callable[..., None],
        report_up: Callable[[Link], None],
        report_unsent: Callable[[Link, list], None],
        count_sent: Callable[[int], None],
    ):
        self._kernel = kernel
        self._get_identity = get_identity
        self._link = link
        self._drops = drops
        self._deliver = deliver
        self._report_down = report_down
        self._report_up = report_up
        self._report_unsent = report_unsent
        self._count_sent = count_sent

    def run(self) -> None:
        """Serves the link until it is closed, over one connection after the other."""
        while self._serve_connection():
            pass

    def _serve_connection(self) -> bool:
        """Serves until the link closes; returns whether to open another connection."""
        link = self._link
        number = link.begin_connection()
        with pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        ) as socket:
            # pynng calls these in its own threads; they only set flags.
            socket.add_post_pipe_connect_cb(lambda pipe: link.mark_up(number))
            socket.add_post_pipe_remove_cb(lambda pipe: link.mark_down(number))
            socket.dial(f"tcp://{link.address}", block=False)
            while True:
                match link.take():
                    case SendBatch(messages=messages, incarnation=incarnation):
                        self._send_batch(socket, messages, incarnation)
                        link.mark_sent()
                        if self._kernel.is_draining:
                            self._kernel.wake()
                    case Deliver(envelopes=envelopes):
                        for envelope in envelopes:
                            self._deliver(link, envelope)
                    case ReportDown():
                        self._report_down(link, REASON_BROKE)
                    case ReportUp():
                        self._report_up(link)
                    case Redial():
                        journal.record_event("peers.redial", peer=link.name)
                        return True
                    case Close():
                        self._kernel.clock.sleep_ms(LINGER_MS)
                        return False

    def _send_batch(
        self, socket: pynng.Push0, messages: list, incarnation: int
    ) -> None:
        frames = self._pack(messages, incarnation)
        for number, (frame, _) in enumerate(frames):
            failed = self._send_frame(socket, frame)
            if failed:
                unsent = [message for _, part in frames[number:] for message in part]
                silent = failed == REASON_BLOCKED
                self._report_down(self._link, failed, silent=silent, unsent=unsent)
                break
            self._count_sent(len(frame))

    def _pack(self, messages: list, incarnation: int) -> list[tuple[bytes, list]]:
        """Returns frames within the limit, each with its messages, in order."""
        identity = self._get_identity()
        frame = encode_envelope(
            Envelope(
                sender=identity.name,
                sender_incarnation=identity.incarnation,
                target=self._link.name if incarnation else "",
                target_incarnation=incarnation,
                messages=messages,
            )
        )
        if frame is not None:
            return [(frame, messages)]
        if len(messages) > 1:
            middle = len(messages) // 2
            return [
                *self._pack(messages[:middle], incarnation),
                *self._pack(messages[middle:], incarnation),
            ]
        self._drops.record(
            reason="oversized_message",
            step="peers.send",
            peer=self._link.name,
            detail=type(messages[0]).__name__,
        )
        self._report_unsent(self._link, messages)
        return []

    def _send_frame(self, socket: pynng.Push0, frame: bytes) -> str | None:
        """Returns None, or why pynng did not take the frame; no byte of it was sent."""
        until_ms = self._kernel.clock.now_ms() + SEND_GIVE_UP_MS
        while not self._link.has_broken():
            try:
                socket.send(frame)
                return None
            except pynng.Timeout:
                if self._kernel.clock.now_ms() >= until_ms:
                    return REASON_BLOCKED
            except pynng.NNGException as error:
                journal.record_fault(
                    step="peers.send", peer=self._link.name, error=error
                )
                return REASON_BROKE
        return REASON_BROKE
