"""Session with one peer: carries out the steps of its link, in the peer's thread.

The same thread sends on the pynng socket and calls the handlers of received messages.
It ends while there is nothing to do for a while, so that the number of threads follows
from the peers that an instance talks with and not from the size of the fleet.
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
    Step,
    Suspend,
)
from gooseberrymux.records import InstanceIdentity

# Delays between pynng's attempts to connect. The first message to an instance that has
# just started waits at most RECONNECT_MAX_MS for the connection.
RECONNECT_MIN_MS = 10
RECONNECT_MAX_MS = 200
# A blocked send checks at this interval whether the connection broke.
SEND_ATTEMPT_TIMEOUT_MS = 200
# A peer whose connection accepts no frame for this long is lost.
SEND_TOTAL_TIMEOUT_MS = 1_000
# Wait before a socket is closed: pynng drops what it has not yet written by then.
LINGER_MS = 50

REASON_CONNECTION_BROKE = "connection broke"
REASON_SEND_TIMED_OUT = "send timed out"


# pynng starts a thread for each processor and kind of work by default. A link needs
# little of them, as each instance runs one thread of Python code at a time.
NNG_TASK_THREADS = 2
NNG_OTHER_THREADS = 1


def limit_library_threads() -> None:
    """Sets the number of pynng's own threads; has no effect after its first socket."""
    lib = pynng.lib
    for parameter, count in (
        (lib.NNG_INIT_NUM_TASK_THREADS, NNG_TASK_THREADS),
        (lib.NNG_INIT_NUM_EXPIRE_THREADS, NNG_OTHER_THREADS),
        (lib.NNG_INIT_NUM_POLLER_THREADS, NNG_OTHER_THREADS),
        (lib.NNG_INIT_NUM_RESOLVER_THREADS, NNG_OTHER_THREADS),
    ):
        lib.nng_init_set_parameter(parameter, count)


class Session:
    """Owns the socket to one peer; `run` is the body of its thread.

    The socket stays open while the session has no thread.
    """

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
        "_socket",
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
        self._socket: pynng.Push0 | None = None

    def run(self) -> None:
        """Carries out the link's steps until it is closed or has none for a while."""
        if self._socket is None:
            self._socket = self._dial()
        while self._carry_out(self._link.wait_next_step()):
            pass

    def _dial(self) -> pynng.Push0:
        """Returns a new socket, which connects in the background."""
        link = self._link
        number = link.register_connection()
        socket = pynng.Push0(
            send_timeout=SEND_ATTEMPT_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        # pynng runs these callbacks in its own threads, so they only set flags.
        socket.add_post_pipe_connect_cb(lambda pipe: link.mark_up(number))
        socket.add_post_pipe_remove_cb(lambda pipe: link.mark_down(number))
        socket.dial(f"tcp://{link.address}", block=False)
        return socket

    def _carry_out(self, step: Step) -> bool:
        """Carries out one step; returns whether the thread goes on."""
        link = self._link
        assert self._socket is not None
        match step:
            case SendBatch(messages=messages, incarnation=incarnation):
                self._send_batch(self._socket, messages, incarnation)
                link.mark_sent()
                if self._kernel.is_draining:
                    self._kernel.wake()
            case Deliver(envelopes=envelopes):
                for envelope in envelopes:
                    self._deliver(link, envelope)
            case ReportDown():
                self._report_down(link, REASON_CONNECTION_BROKE)
            case ReportUp():
                self._report_up(link)
            case Redial():
                journal.record_event("peers.redial", peer=link.name)
                self._socket.close()
                self._socket = self._dial()
            case Suspend():
                return False
            case Close():
                self._kernel.clock.sleep_ms(LINGER_MS)
                self._socket.close()
                return False
        return True

    def _send_batch(
        self, socket: pynng.Push0, messages: list, incarnation: int
    ) -> None:
        frames = self._encode_frames(messages, incarnation)
        for number, (frame, _) in enumerate(frames):
            failure_reason = self._send_frame(socket, frame)
            if failure_reason:
                unsent = [
                    message
                    for _, frame_messages in frames[number:]
                    for message in frame_messages
                ]
                is_unresponsive = failure_reason == REASON_SEND_TIMED_OUT
                self._report_down(
                    self._link,
                    failure_reason,
                    is_unresponsive=is_unresponsive,
                    unsent=unsent,
                )
                break
            self._count_sent(len(frame))

    def _encode_frames(
        self, messages: list, incarnation: int
    ) -> list[tuple[bytes, list]]:
        """Returns frames within the size limit, each with its messages, in order.

        A batch that is too large for one frame is halved until it fits. A single
        message over the limit is dropped and reported as not sent.
        """
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
                *self._encode_frames(messages[:middle], incarnation),
                *self._encode_frames(messages[middle:], incarnation),
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
        """Sends a frame; returns None, or why pynng did not accept it.

        No byte of a frame that pynng did not accept was sent.
        """
        give_up_ms = self._kernel.clock.now_ms() + SEND_TOTAL_TIMEOUT_MS
        while not self._link.has_broken():
            try:
                socket.send(frame)
                return None
            except pynng.Timeout:
                if self._kernel.clock.now_ms() >= give_up_ms:
                    return REASON_SEND_TIMED_OUT
            except pynng.NNGException as error:
                journal.record_fault(
                    step="peers.send", peer=self._link.name, error=error
                )
                return REASON_CONNECTION_BROKE
        return REASON_CONNECTION_BROKE
