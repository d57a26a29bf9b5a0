"""HTTP upstream and caller on real sockets; tests decide each byte that they send."""

import contextlib
import socket
import threading

from gooseberrymux.records import Rank, UpstreamRecord

PROOF = "p.1"


class ReceivedRequest:
    """A request that an upstream received, and the connection for its reply."""

    def __init__(self, *, sock, stream, line, headers, body):
        self.sock = sock
        self._stream = stream
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body

    def reply(self, status=200, body=b"", proof=PROOF, echo=True, **headers):
        """Writes a reply; underscores in the names of headers stand for hyphens.

        Args:
            echo: Whether the reply repeats the request id.
        """
        self.sock.sendall(
            self.create_reply(status, body, proof=proof, echo=echo, **headers)
        )

    def create_reply(self, status=200, body=b"", proof=PROOF, echo=True, **headers):
        fields = {"content-length": str(len(body))}
        if proof:
            fields["x-reply-proof"] = proof
        if echo:
            fields["x-request-id"] = self.headers.get("x-request-id", "")
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items() if value]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def reset(self):
        """Closes the connection with a TCP reset instead of a FIN."""
        reset(self.sock, self._stream)

    def close(self):
        self.sock.shutdown(socket.SHUT_RDWR)


class HttpUpstream:
    """Accepts connections and calls `handler` for each request.

    Attributes:
        requests: Requests received so far.
        connections: Number of connections accepted so far.
        connections_ended: Semaphore released at the end of each connection.
    """

    def __init__(self, handler):
        self.handler = handler
        self.requests = []
        self.connections = 0
        self.connections_ended = threading.Semaphore(0)
        # Cleared while bodies are left unread.
        self._reads_bodies = threading.Event()
        self._reads_bodies.set()
        self._is_reset = False
        self._unread = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def stop_reading(self):
        """Leaves the bodies of further requests unread."""
        self._reads_bodies.clear()

    def send_unread(self, data):
        """Sends bytes on the connections with an unread body."""
        for sock in self._unread:
            sock.sendall(data)

    def send_unasked(self, data):
        """Sends bytes on the connection of the last request."""
        self.requests[-1].sock.sendall(data)

    def reset_connections(self):
        """Resets the connections with an unread body."""
        self._is_reset = True
        self._reads_bodies.set()

    def create_record(self, name="u", **fields):
        given = {"service": "s", "failure_domain": "a", "slots": 2, **fields}
        return UpstreamRecord(name=name, host="127.0.0.1", port=self.port, **given)

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError, ValueError), sock.makefile("rb") as stream:
            while line := stream.readline().decode().strip():
                headers = {}
                while field := stream.readline().decode().strip():
                    name, _, value = field.partition(":")
                    headers[name.lower()] = value.strip()
                self._unread.append(sock)
                self._reads_bodies.wait(10)
                self._unread.remove(sock)
                if self._is_reset:
                    reset(sock, stream)
                body = stream.read(int(headers.get("content-length", 0)))
                request = ReceivedRequest(
                    sock=sock, stream=stream, line=line, headers=headers, body=body
                )
                self.requests.append(request)
                self.handler(request)
        self.connections_ended.release()


class EarlyAnsweringServer:
    """Answers requests before it has read their body, and reads on after the last.

    Attributes:
        body: What came where the body of the last request is due.
        reads_on: Set once the rest may be read.
    """

    def __init__(self, create_answer, *, requests=1):
        """Takes a function that returns the bytes of the answer to a head."""
        self.body = b""
        self.reads_on = threading.Event()
        self._create_answer = create_answer
        self._requests = requests
        self._listener = socket.create_server(("127.0.0.1", 0))
        # A small window, so that the rest of the body can't be written before.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def create_record(self):
        return HttpUpstream.create_record(self)

    def close(self):
        """Reads on until nothing comes any more."""
        self.reads_on.set()
        self._thread.join(10)
        self._listener.close()

    def _serve(self):
        sock, _ = self._listener.accept()
        for _ in range(self._requests):
            self._answer(sock)
        self.reads_on.wait(5)
        sock.settimeout(1.0)
        with contextlib.suppress(OSError):
            while data := sock.recv(65_536):
                self.body += data
        sock.close()

    def _answer(self, sock):
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(4_096)
        head, self.body = data.split(b"\r\n\r\n", 1)
        sock.sendall(self._create_answer(head))


def reset(sock, stream):
    """Closes a connection with a TCP reset instead of a FIN."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    # The file descriptor stays open until its buffered reader is closed as well.
    stream.close()
    sock.close()


class HttpCaller:
    """A caller's connection that writes raw bytes and reads replies."""

    def __init__(self, address):
        self.sock = socket.create_connection((address[0], address[1]), timeout=5)
        self.stream = self.sock.makefile("rb")

    def send(self, data):
        self.sock.sendall(data)

    def get(self, target="/a/x", **headers):
        """Sends a GET and returns status, headers and body."""
        fields = {"host": "desk.example", "x-request-id": "r-1", **headers}
        lines = [f"GET {target} HTTP/1.1"]
        lines += [f"{n.replace('_', '-')}: {v}" for n, v in fields.items()]
        self.send(("\r\n".join(lines) + "\r\n\r\n").encode())
        return self.read()

    def read(self):
        """Returns status, headers and body; status is None if the connection ended."""
        line = self.stream.readline().decode()
        if not line:
            return None, {}, b""
        headers = {}
        while field := self.stream.readline().decode().strip():
            name, _, value = field.partition(":")
            headers[name.lower()] = value.strip()
        body = self.stream.read(int(headers.get("content-length", 0)))
        return int(line.split()[1]), headers, body

    def close(self):
        self.stream.close()
        self.sock.close()


def create_route(name="desk", target=None, **fields):
    """Returns an entry of a routes document."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": "/a/",
        "target": target or {"service": "s"},
        "rank": Rank.URGENT.value,
        "repeatable": True,
        "attempts": 2,
        "timeout_ms": 2000,
        "latency_target_ms": 500.0,
        **fields,
    }
