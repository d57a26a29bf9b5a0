"""TCP proxy on loopback that can delay, discard or reset the traffic."""

import contextlib
import socket
import threading

from gooseberrymux.clock import Clock
from gooseberrystand.server import HOST

CHUNK_BYTES = 65_536
BACKLOG = 256
# struct linger with l_onoff 1 and l_linger 0: closing the socket sends a reset.
RESET_LINGER = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")


class ProxiedConnection:
    """The two sockets of a proxied connection and the faults injected into it.

    Attributes:
        client: Socket of the connection that the proxy accepted.
        target: Socket of the connection that the proxy opened.
        drops_requests: Whether data from client to target is discarded.
        drops_replies: Whether data from target to client is discarded.
    """

    __slots__ = ("client", "target", "drops_requests", "drops_replies")

    def __init__(self, *, client: socket.socket, target: socket.socket):
        self.client = client
        self.target = target
        self.drops_requests = False
        self.drops_replies = False

    def reset(self) -> None:
        """Resets and closes both sockets."""
        for sock in (self.client, self.target):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class Proxy:
    """Forwards connections to one port, with two threads for each connection.

    Attributes:
        port: Port on which the proxy listens.
        delay_ms: Delay before each chunk is forwarded, in milliseconds.
        refuses_connections: Whether new connections are reset as soon as accepted.
        is_silent: Whether all data of new connections is discarded.
    """

    __slots__ = (
        "port",
        "delay_ms",
        "refuses_connections",
        "is_silent",
        "_target",
        "_listener",
        "_connections",
        "_clock",
    )

    def __init__(self, *, target_port: int, port: int = 0):
        self.delay_ms = 0.0
        self.refuses_connections = False
        self.is_silent = False
        self._clock = Clock()
        self._target = (HOST, target_port)
        self._connections: list[ProxiedConnection] = []
        self._listener = socket.create_server((HOST, port), backlog=BACKLOG)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def drop_all_data(self) -> None:
        """Discards all further data of the open connections, which stay open.

        New connections are not affected.
        """
        self.drop_data(requests=True, replies=True)

    def drop_data(self, *, requests: bool, replies: bool) -> None:
        """Discards further data of the open connections in the given directions."""
        for connection in self._connections:
            connection.drops_requests = connection.drops_requests or requests
            connection.drops_replies = connection.drops_replies or replies

    def reset(self) -> None:
        """Resets all open connections."""
        connections, self._connections = self._connections, []
        for connection in connections:
            connection.reset()

    def close(self) -> None:
        """Stops listening and resets all open connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                target = (
                    None
                    if self.refuses_connections
                    else socket.create_connection(self._target)
                )
            except OSError:
                target = None
            if target is None:
                ProxiedConnection(client=client, target=client).reset()
                continue
            for sock in (client, target):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Added to the list after its sockets are set up, since another thread that
            # calls reset() closes the sockets of all connections in the list.
            connection = ProxiedConnection(client=client, target=target)
            connection.drops_requests = connection.drops_replies = self.is_silent
            self._connections.append(connection)
            for source, sink in ((client, target), (target, client)):
                threading.Thread(
                    target=self._pump, args=(connection, source, sink), daemon=True
                ).start()

    def _pump(
        self, connection: ProxiedConnection, source: socket.socket, sink: socket.socket
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if self.delay_ms:
                    self._clock.sleep_ms(self.delay_ms)
                is_request = source is connection.client
                if not (
                    connection.drops_requests
                    if is_request
                    else connection.drops_replies
                ):
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
