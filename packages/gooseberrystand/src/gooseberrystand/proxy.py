"""TCP proxy on loopback whose connections can be delayed, reset, cut or silenced."""

import contextlib
import socket
import threading

from gooseberrymux.clock import Clock
from gooseberrystand.server import HOST

CHUNK_BYTES = 65_536
BACKLOG = 256
RESET_LINGER = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")


class Pair:
    """One proxied connection and its faults."""

    __slots__ = ("caller", "target", "drops_requests", "drops_replies")

    def __init__(self, *, caller: socket.socket, target: socket.socket):
        self.caller = caller
        self.target = target
        self.drops_requests = False
        self.drops_replies = False

    def reset(self) -> None:
        """Ends both sides with a reset."""
        for sock in (self.caller, self.target):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Proxy:
    """Passes connections on to one port.

    Attributes:
        port: Where it listens.
        delay_ms: Wait before each piece is passed on.
        refuses: Whether new connections are reset at once.
    """

    __slots__ = (
        "port",
        "delay_ms",
        "refuses",
        "_target",
        "_listener",
        "_pairs",
        "_clock",
    )

    def __init__(self, *, target_port: int, port: int = 0):
        self.delay_ms = 0.0
        self.refuses = False
        self._clock = Clock()
        self._target = (HOST, target_port)
        self._pairs: list[Pair] = []
        self._listener = socket.create_server((HOST, port), backlog=BACKLOG)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Lets open connections stand and carry nothing more; new ones work."""
        self.cut(requests=True, replies=True)

    def cut(self, *, requests: bool, replies: bool) -> None:
        """Has open connections carry nothing more in one or both directions."""
        for pair in self._pairs:
            pair.drops_requests = pair.drops_requests or requests
            pair.drops_replies = pair.drops_replies or replies

    def reset(self) -> None:
        """Resets all open connections."""
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            pair.reset()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            try:
                target = (
                    None if self.refuses else socket.create_connection(self._target)
                )
            except OSError:
                target = None
            if target is None:
                Pair(caller=caller, target=caller).reset()
                continue
            for sock in (caller, target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Listed last: a reset by another thread closes the sockets of the list.
            pair = Pair(caller=caller, target=target)
            self._pairs.append(pair)
            for source, sink in ((caller, target), (target, caller)):
                threading.Thread(
                    target=self._pump, args=(pair, source, sink), daemon=True
                ).start()

    def _pump(self, pair: Pair, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay_ms:
                    self._clock.sleep_ms(self.delay_ms)
                is_request = source is pair.caller
                if not (pair.drops_requests if is_request else pair.drops_replies):
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
