"""HTTP client of the fleet helper: one JSON call, broken connections as a status."""

import dataclasses
import json

import urllib3

from gooseberrystand.processes import FleetError
from gooseberrystand.server import HOST

CALL_TIMEOUT_S = 30
POOLS = 200
CONNECTIONS = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """Status and JSON body of a call; status 0 if the connection broke."""

    status: int
    body: dict


class Client:
    """Makes JSON calls over kept connections."""

    __slots__ = ("_http",)

    def __init__(self):
        self._http = urllib3.PoolManager(
            num_pools=POOLS, maxsize=CONNECTIONS, retries=False
        )

    def call(
        self,
        method: str,
        url: str,
        body: dict | None = None,
        *,
        headers: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpReply:
        """Makes one call."""
        try:
            reply = self._http.request(
                method,
                url,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json", **(headers or {})},
                timeout=timeout_s,
            )
            return HttpReply(status=reply.status, body=json.loads(reply.data))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return HttpReply(status=0, body={"error": repr(error)})

    def read_text(self, url: str) -> str:
        """Returns the body of a page, empty if the connection broke."""
        try:
            reply = self._http.request("GET", url, timeout=CALL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return ""
        return reply.data.decode()

    def control(
        self, method: str, port: int, path: str, body: dict | None = None
    ) -> dict:
        """Calls the control side of a stand-in.

        Raises:
            FleetError: The stand-in refused the call or is gone.
        """
        reply = self.call(method, f"http://{HOST}:{port}{path}", body)
        if reply.status != 200:
            raise FleetError(
                step="fleet.control", peer=f"{port}{path}", message=str(reply.body)
            )
        return reply.body

    def close(self) -> None:
        """Closes the connections."""
        self._http.clear()
