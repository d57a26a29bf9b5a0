"""Fake HTTP upstream for sub-requests whose replies are scripted by the test."""

import json
import socket
import threading
from collections.abc import Callable

from gooseberrymux.records import UpstreamRecord

Behaviour = Callable[["ScriptedRequest"], None]


class ScriptedRequest:
    """A received request, with the connection on which to reply."""

    __slots__ = ("sock", "path", "body")

    def __init__(self, *, sock: socket.socket, path: str, body: dict):
        self.sock = sock
        self.path = path
        self.body = body

    def reply(self, status: int = 200, cut: int | None = None, **fields: object):
        body = json.dumps({"request_id": self.body.get("request_id"), **fields})
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self.sock.sendall((head + body).encode()[:cut])

    def complete(self, **changes: object):
        shard, version = self.body.get("shard"), self.body.get("version")
        fields = {
            "shard": shard,
            "version": version,
            "reply": {"hits": [f"{shard}@{version}"]},
        }
        self.reply(**{**fields, **changes})

    def close(self):
        self.sock.shutdown(socket.SHUT_RDWR)


class ScriptedUpstream:
    """Listens on loopback and calls `behave` with each request it receives."""

    __slots__ = ("behave", "requests", "connections", "_listener", "port")

    def __init__(self, behave: Behaviour):
        self.behave = behave
        self.requests: list[ScriptedRequest] = []
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        # `close` alone would not end a blocked `accept`, which keeps the port open.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def describe(self, name: str, **fields: object) -> UpstreamRecord:
        record_fields = {"service": "s0", "failure_domain": "a", "slots": 1, **fields}
        return UpstreamRecord(
            name=name, host="127.0.0.1", port=self.port, **record_fields
        )

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket):
        try:
            with sock, sock.makefile("rb") as stream:
                while head := stream.readline():
                    length = 0
                    while (line := stream.readline()).strip():
                        if line.lower().startswith(b"content-length:"):
                            length = int(line.split(b":")[1])
                    body = json.loads(stream.read(length) or b"{}")
                    path = head.split()[1].decode()
                    request = ScriptedRequest(sock=sock, path=path, body=body)
                    self.requests.append(request)
                    self.behave(request)
        except OSError:
            pass
