"""One HTTP exchange with an upstream, reduced to an outcome.

Not run is reported only if no byte of the request was written or the upstream itself
said that it did not run it; everything else that did not complete is unknown.
"""

import http.client
import json

import urllib3
from result import Err, Ok, Result

from gooseberrymux.clock import Clock
from gooseberrymux.messages import (
    Subrequest,
    SubrequestCompleted,
    SubrequestNotRun,
    SubrequestOutcome,
    SubrequestUnknown,
)
from gooseberrymux.records import UpstreamRecord

REASON_CONNECT = "connect_failed"
REASON_BROKEN = "connection_broken"
REASON_TIMEOUT = "timeout"
REASON_MALFORMED = "malformed_reply"
CONNECT_TIMEOUT_MS = 500
REPLY_LIMIT_BYTES = 4 * 1024 * 1024


class Exchange:
    """One kept connection with one upstream, used by one thread at a time."""

    __slots__ = ("_record", "_clock", "_connection")

    def __init__(self, *, record: UpstreamRecord, clock: Clock):
        self._record = record
        self._clock = clock
        self._connection: urllib3.connection.HTTPConnection | None = None

    def close(self) -> None:
        """Closes the connection if it is open."""
        if self._connection:
            self._connection.close()
            self._connection = None

    def run(self, subrequest: Subrequest, deadline_ms: float) -> SubrequestOutcome:
        """Sends a sub-request and reads its reply.

        Args:
            subrequest: What to send.
            deadline_ms: Monotonic time in milliseconds at which to give up.
        """
        try:
            self._connect()
        except (OSError, urllib3.exceptions.HTTPError):
            self.close()
            return SubrequestNotRun(
                id=subrequest.id,
                reason=REASON_CONNECT,
                step="upstream.connect",
                peer=self._record.name,
            )
        started_ms = self._clock.now_ms()
        try:
            status, decoded = self._send(subrequest, deadline_ms - started_ms)
        except TimeoutError:
            return self._fail(subrequest, REASON_TIMEOUT)
        except ValueError:
            return self._fail(subrequest, REASON_MALFORMED)
        except (OSError, urllib3.exceptions.HTTPError, http.client.HTTPException):
            return self._fail(subrequest, REASON_BROKEN)
        elapsed_ms = self._clock.now_ms() - started_ms
        return self._read_reply(subrequest, status, decoded, elapsed_ms)

    def _connect(self) -> None:
        if self._connection is not None:
            return
        connection = urllib3.connection.HTTPConnection(
            self._record.host,
            self._record.port,
            timeout=CONNECT_TIMEOUT_MS / 1000,
        )
        connection.connect()
        self._connection = connection

    def _send(self, subrequest: Subrequest, budget_ms: float) -> tuple[int, dict]:
        connection = self._connection
        assert connection is not None and connection.sock is not None
        connection.sock.settimeout(max(1.0, budget_ms) / 1000)
        path = "/orders" if subrequest.order_key else "/query"
        connection.request(
            "POST",
            path,
            body=json.dumps(create_body(subrequest)).encode(),
            headers={
                "Content-Type": "application/json",
                "X-Deadline-Ms": str(int(budget_ms)),
                "X-Rank": subrequest.rank.value,
            },
            preload_content=False,
        )
        response = connection.getresponse()
        data = response.read(REPLY_LIMIT_BYTES + 1)
        if len(data) > REPLY_LIMIT_BYTES:
            raise ValueError("oversized reply")
        decoded = json.loads(data)
        if not isinstance(decoded, dict):
            raise ValueError("reply is not an object")
        return response.status, decoded

    def _read_reply(
        self, subrequest: Subrequest, status: int, decoded: dict, elapsed_ms: float
    ) -> SubrequestOutcome:
        if decoded.get("request_id") != subrequest.id:
            return self._fail(subrequest, REASON_MALFORMED)
        match read_status(status, decoded):
            case Ok(reply):
                return SubrequestCompleted(
                    id=subrequest.id,
                    version=str(decoded.get("version", "")),
                    shard=str(decoded.get("shard", "")),
                    reply=reply,
                    upstream_ms=elapsed_ms,
                    queued_ms=0.0,
                )
            case Err(reason) if decoded.get("not_run") is True:
                return SubrequestNotRun(
                    id=subrequest.id,
                    reason=reason,
                    step="upstream.reply",
                    peer=self._record.name,
                )
            case Err(reason):
                return SubrequestUnknown(
                    id=subrequest.id,
                    reason=reason,
                    step="upstream.reply",
                    peer=self._record.name,
                )

    def _fail(self, subrequest: Subrequest, reason: str) -> SubrequestUnknown:
        # A connection with a reply outstanding would give it to the next request.
        self.close()
        return SubrequestUnknown(
            id=subrequest.id,
            reason=reason,
            step="upstream.exchange",
            peer=self._record.name,
        )


def create_body(subrequest: Subrequest) -> dict:
    """Returns what the upstream gets."""
    if subrequest.order_key:
        return {
            "request_id": subrequest.id,
            "key": subrequest.order_key,
            "order": subrequest.body,
        }
    return {
        "request_id": subrequest.id,
        "shard": subrequest.shard,
        "version": subrequest.version,
        "terms": subrequest.body,
    }


def read_status(status: int, decoded: dict) -> Result[dict, str]:
    """Returns the reply, or the reason that the upstream gave instead."""
    if status == 200 and isinstance(decoded.get("reply"), dict):
        return Ok(decoded["reply"])
    if status == 200:
        return Err(REASON_MALFORMED)
    return Err(str(decoded.get("error", f"status_{status}")))


def look_up_order(
    *, record: UpstreamRecord, key: str, timeout_ms: float
) -> Result[dict | None, str]:
    """Asks an upstream for the reply of an order that it ran.

    Args:
        record: The upstream.
        key: Idempotency key of the order.
        timeout_ms: Longest wait in milliseconds.

    Returns:
        The reply, or None if the upstream knows no such order; the order may still
        be on its way. Err with the reason if the upstream gave no usable answer.
    """
    connection = urllib3.connection.HTTPConnection(
        record.host, record.port, timeout=timeout_ms / 1000
    )
    try:
        connection.request("GET", f"/orders/{key}", preload_content=False)
        response = connection.getresponse()
        decoded = json.loads(response.read(REPLY_LIMIT_BYTES))
    except ValueError:
        return Err(REASON_MALFORMED)
    except (OSError, urllib3.exceptions.HTTPError, http.client.HTTPException):
        return Err(REASON_BROKEN)
    finally:
        connection.close()
    match decoded:
        case {"key": found, "state": "completed", "reply": dict(reply)} if found == key:
            return Ok(reply)
        case {"state": "not_found"}:
            return Ok(None)
        case _:
            return Err(REASON_MALFORMED)
