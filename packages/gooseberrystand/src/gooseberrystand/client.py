"""HTTP client for instances and stand-ins; a failed call returns status 0."""

import dataclasses
import json

import urllib3

from gooseberrystand.processes import FleetError
from gooseberrystand.server import HOST

CALL_TIMEOUT_S = 30
MAX_CONNECTION_POOLS = 200
MAX_IDLE_CONNECTIONS_PER_POOL = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """Status and JSON body of a reply.

    The status is 0, and the body holds the error, if the connection failed, the call
    timed out or the reply was not JSON.
    """

    status: int
    body: dict


class Client:
    """Makes JSON calls over pooled connections, without retries."""

    __slots__ = ("_http",)

    def __init__(self):
        self._http = urllib3.PoolManager(
            num_pools=MAX_CONNECTION_POOLS,
            maxsize=MAX_IDLE_CONNECTIONS_PER_POOL,
            retries=False,
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
        """Makes one call; failures are returned as a reply with status 0."""
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
        """Returns the body of a GET of `url` as text; empty if the call failed."""
        try:
            reply = self._http.request("GET", url, timeout=CALL_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return ""
        return reply.data.decode()

    def call_control(
        self, method: str, port: int, path: str, body: dict | None = None
    ) -> dict:
        """Calls the control API of the stand-in whose control port is `port`.

        Raises:
            FleetError: The stand-in refused the call or did not answer.
        """
        reply = self.call(method, f"http://{HOST}:{port}{path}", body)
        if reply.status != 200:
            raise FleetError(
                step="fleet.control", peer=f"{port}{path}", message=str(reply.body)
            )
        return reply.body

    def close(self) -> None:
        """Closes all pooled connections."""
        self._http.clear()
