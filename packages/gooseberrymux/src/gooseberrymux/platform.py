"""Client of the platform's object API: read, conditional update, list and watch."""

import dataclasses
import socket
import threading
from urllib.parse import quote

import urllib3
from result import Err, Ok, Result

from gooseberrymux import journal, metrics
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.lenient_json import decode_json
from gooseberrymux.platform_objects import (
    PlatformAnswer,
    PlatformError,
    PlatformObject,
    VersionConflict,
    WatchedChanges,
    Written,
    create_name_check,
    create_not_run_error,
    decode_changes,
    decode_object,
    decode_put_result,
    encode_put_body,
    get_body,
)
from gooseberrymux.records import RunState
from gooseberrymux.staleness import compute_read_timeout_ms

# Largest request body of a conditional update.
BODY_LIMIT_BYTES = 1_000_000
# The response to a list call holds many objects; a longer response is a fault of the
# platform.
RESPONSE_LIMIT_BYTES = 64_000_000
READ_CHUNK_BYTES = 65_536
# Pooled connections beyond `calls_in_flight`: each watched prefix has one watch open.
WATCH_CONNECTIONS = 4
# Keepalive probes detect a dead connection within about three seconds. A read timeout
# can't, because a watch may be idle for longer.
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3_000),
]
# Digits of an era at most; a longer number is no era.
ERA_DIGITS_LIMIT = 9
# The platform no longer has the changes since the revision that a watch starts from.
STATUS_GONE = 410
# With these statuses the platform refuses a call before it runs the call.
REFUSED_STATUSES = frozenset((400, 401, 403, 404, 405, 413, 422, 429))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """HTTP request of one call of the object API, with its timeout."""

    kind: str
    method: str
    path: str
    fields: dict[str, str] | None = None
    body: bytes | None = None
    timeout_ms: float


@service("platform")
class Platform:
    """Calls the object API; usable from several threads.

    At most `calls_in_flight` calls run at a time. Further calls wait for up to their
    timeout and are then refused. Watches don't count towards this limit.
    """

    # Header of all responses with the platform's era; without it the era is 0.
    ERA_HEADER = "X-Platform-Era"

    __slots__ = (
        "_kernel",
        "_era",
        "_http",
        "_url",
        "_counts",
        "_in_flight",
        "_slot_released",
        "_last_call_succeeded",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        # The highest era that a response has named; None before the first response.
        self._era: int | None = None
        settings = kernel.settings.platform
        self._url = settings.url.rstrip("/")
        self._http = self._create_pool()
        self._counts: dict[str, int] = {}
        self._in_flight = 0
        # Guards the call counts and the result of the last call; notified when a call
        # slot is released.
        self._slot_released = threading.Condition()
        # None before the first call.
        self._last_call_succeeded: bool | None = None

    def start(self) -> None:
        """Does nothing: connections open with the first call."""

    def drain(self, deadline_ms: float) -> None:
        """Does nothing: services that call the platform drain before this service."""

    def stop(self) -> None:
        """Closes the pooled connections."""
        self._http.clear()

    def describe(self) -> dict:
        """Returns the number of calls by kind and outcome, and of calls in flight."""
        with self._slot_released:
            return {"calls": dict(self._counts), "in_flight": self._in_flight}

    def get(self, name: str) -> Result[PlatformObject, PlatformError]:
        """Reads an object; the result has version 0 if the object does not exist."""
        call = Call(
            kind="get",
            method="GET",
            path=f"/objects/{quote(name)}",
            timeout_ms=self._kernel.settings.platform.timeout_ms,
        )
        return (
            self._run(call)
            .map(get_body)
            .and_then(decode_object)
            .and_then(create_name_check(name))
        )

    def put(
        self, *, name: str, value: dict, expected_version: int
    ) -> Result[Written | VersionConflict, PlatformError]:
        """Writes an object if its version is still `expected_version`.

        Args:
            name: Name of the object.
            value: New value of the object. The request body, which also holds the
                version, may have up to `BODY_LIMIT_BYTES` as JSON.
            expected_version: The version that the object was read at; 0 creates it.

        Returns:
            Err with run state `unknown` if the write may have taken effect or may
            still do so, and with `not_run` if it certainly did not and will not.
        """
        try:
            body = encode_put_body(value=value, expected_version=expected_version)
        except (TypeError, ValueError) as error:
            return Err(create_not_run_error("put", f"{name}: not JSON: {error}"))
        if len(body) > BODY_LIMIT_BYTES:
            message = f"{name}: {len(body)} bytes; the limit is {BODY_LIMIT_BYTES}"
            return Err(create_not_run_error("put", message))
        call = Call(
            kind="put",
            method="PUT",
            path=f"/objects/{quote(name)}",
            body=body,
            timeout_ms=self._kernel.settings.platform.timeout_ms,
        )
        return self._run(call).map(get_body).and_then(decode_put_result)

    def list_objects(self, prefix: str) -> Result[WatchedChanges, PlatformError]:
        """Reads all objects whose name starts with `prefix`."""
        call = Call(
            kind="list",
            method="GET",
            path="/objects",
            fields={"prefix": prefix},
            timeout_ms=self._kernel.settings.platform.timeout_ms,
        )
        return self._run(call).and_then(decode_changes)

    def watch(
        self, *, prefix: str, revision: int, wait_ms: int
    ) -> Result[WatchedChanges, PlatformError]:
        """Waits for changes after `revision` to objects with names under `prefix`.

        Args:
            prefix: Prefix of the names.
            revision: Revision of the last answer; 0 reads all objects.
            wait_ms: Time in milliseconds after which an answer without objects is
                returned if there is no change.
        """
        call = Call(
            kind="watch",
            method="GET",
            path="/watch",
            fields={
                "prefix": prefix,
                "after": str(revision),
                "timeout_ms": str(wait_ms),
            },
            timeout_ms=wait_ms
            + compute_read_timeout_ms(self._kernel.settings.platform),
        )
        return self._run(call).and_then(decode_changes)

    def drop_idle_connections(self) -> None:
        """Makes further calls open new connections.

        The present ones close with the calls that use them; idle ones close at once.
        """
        # Clearing the pool would fail a call that is just about to take a connection.
        self._http = self._create_pool()

    def _create_pool(self) -> urllib3.PoolManager:
        settings = self._kernel.settings.platform
        return urllib3.PoolManager(
            maxsize=settings.calls_in_flight + WATCH_CONNECTIONS,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def _run(self, call: Call) -> Result[PlatformAnswer, PlatformError]:
        if not self._acquire_call_slot(call):
            self._count(call, "refused")
            return Err(
                create_not_run_error(
                    call.kind, f"{call.path}: too many calls in flight"
                )
            )
        try:
            result = self._exchange(call)
        finally:
            self._release_call_slot(call)
        self._count(call, "failed" if result.is_err() else "answered")
        self._record_availability(call, result)
        return result

    def _record_availability(
        self, call: Call, result: Result[PlatformAnswer, PlatformError]
    ) -> None:
        with self._slot_released:
            previous_succeeded, self._last_call_succeeded = (
                self._last_call_succeeded,
                result.is_ok(),
            )
        match result:
            case Err(error) if previous_succeeded is not False:
                journal.record_event(
                    "platform.lost", call=call.kind, reason=error.message
                )
            case Ok(_) if not previous_succeeded:
                journal.record_event("platform.regained", call=call.kind)
            case _:
                pass

    def _acquire_call_slot(self, call: Call) -> bool:
        if call.kind == "watch":
            # Watches wait for long, and are few: one for each prefix that this instance
            # watches. They take no slot.
            return True
        deadline_ms = self._kernel.clock.now_ms() + call.timeout_ms
        with self._slot_released:
            while self._in_flight >= self._kernel.settings.platform.calls_in_flight:
                remaining_ms = deadline_ms - self._kernel.clock.now_ms()
                if remaining_ms <= 0:
                    return False
                self._kernel.clock.wait(self._slot_released, remaining_ms)
            self._in_flight += 1
            return True

    def _release_call_slot(self, call: Call) -> None:
        if call.kind == "watch":
            return
        with self._slot_released:
            self._in_flight -= 1
            self._slot_released.notify()

    def _count(self, call: Call, outcome: str) -> None:
        with self._slot_released:
            key = f"{call.kind}.{outcome}"
            self._counts[key] = self._counts.get(key, 0) + 1
        metrics.platform_calls_total.inc({"kind": call.kind, "outcome": outcome})

    def _exchange(self, call: Call) -> Result[PlatformAnswer, PlatformError]:
        try:
            response = self._http.request(
                call.method,
                self._url + call.path,
                fields=call.fields,
                body=call.body,
                headers={"Content-Type": "application/json"} if call.body else None,
                timeout=urllib3.Timeout(total=call.timeout_ms / 1000),
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Err(
                create_not_run_error(
                    call.kind, f"{call.path}: connection failed: {error}"
                )
            )
        except urllib3.exceptions.HTTPError as error:
            # The other connections may have gone silent or been reset with this one.
            self.drop_idle_connections()
            return Err(create_response_error(call, str(error)))
        if response.status in REFUSED_STATUSES:
            response.drain_conn()
            response.release_conn()
            message = f"{call.path}: refused with status {response.status}"
            return Err(create_not_run_error(call.kind, message))
        if response.status == STATUS_GONE:
            response.drain_conn()
            response.release_conn()
            return Err(
                create_response_error(
                    call,
                    "the watch starts from a revision that the platform no longer has",
                    is_reached=True,
                )
            )
        return self._read_response(call, response)

    def _read_response(
        self, call: Call, response: urllib3.BaseHTTPResponse
    ) -> Result[PlatformAnswer, PlatformError]:
        # The socket timeout applies to each read alone; this deadline also bounds a
        # response that arrives in many small pieces.
        deadline_ms = self._kernel.clock.now_ms() + call.timeout_ms
        data = bytearray()
        try:
            for chunk in response.stream(READ_CHUNK_BYTES):
                data += chunk
                too_late = self._kernel.clock.now_ms() > deadline_ms
                if too_late or len(data) > RESPONSE_LIMIT_BYTES:
                    response.close()
                    return Err(
                        create_response_error(
                            call, "the response took too long or is too large"
                        )
                    )
            body = decode_json(data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            response.close()
            return Err(
                create_response_error(
                    call, f"the response is cut off or not JSON: {error}"
                )
            )
        response.release_conn()
        if response.status not in (200, 409) or not isinstance(body, dict):
            return Err(
                create_response_error(
                    call, f"unexpected response with status {response.status}"
                )
            )
        return Ok(PlatformAnswer(era=self._record_era(response), body=body))

    def _record_era(self, response: urllib3.BaseHTTPResponse) -> int:
        """Returns the era that a response names, and logs that the platform went back.

        A response without a readable era counts as one of the highest era known.
        """
        value = response.headers.get(self.ERA_HEADER, "")
        with self._slot_released:
            before = self._era
            era = int(value) if is_era(value) else before or 0
            self._era = max(era, before or 0)
        if before is not None and era > before:
            journal.record_event("platform.restored", before=before, era=era)
        return era


def is_era(value: str) -> bool:
    """Returns whether a header's value is an era."""
    return value.isascii() and value.isdecimal() and len(value) <= ERA_DIGITS_LIMIT


def create_response_error(
    call: Call, message: str, *, is_reached: bool = False
) -> PlatformError:
    """Returns the error of a call that was sent and got no usable response.

    A write may have taken effect, so its run state is `unknown`.
    """
    run_state = RunState.UNKNOWN if call.kind == "put" else RunState.NOT_RUN
    return PlatformError(
        step=f"platform.{call.kind}",
        message=f"{call.path}: {message}",
        run_state=run_state,
        is_reached=is_reached,
    )
