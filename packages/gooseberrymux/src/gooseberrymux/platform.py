"""Client of the platform's object API: read, conditional update, list, watch."""

import dataclasses
import json
import socket
import threading
from urllib.parse import quote

import urllib3
from result import Err, Ok, Result

from gooseberrymux import journal, metrics
from gooseberrymux.errors import MuxError
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.records import RunState

WATCH_MARGIN_MS = 2_000
BODY_LIMIT_BYTES = 1_000_000
# A list answer holds many objects; an answer beyond this is a fault of the platform.
ANSWER_LIMIT_BYTES = 64_000_000
CHUNK_BYTES = 65_536
# One watch for each watched prefix stays open beside the calls.
WATCH_CONNECTIONS = 4
# A connection that fell silent is noticed within about three seconds, although a watch
# on it is expected to say nothing for longer.
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3_000),
]
# The changes since the position of a watch are no longer known.
STATUS_GONE = 410
# Statuses by which the platform says that it refused the call before running it.
REFUSED_STATUSES = frozenset((400, 401, 403, 404, 405, 413, 422, 429))


class PlatformError(MuxError):
    """A call without a usable answer.

    Args:
        run_state: For a write, `not_run` if it certainly did not take effect and
            `unknown` if it may have, or may still. Reads are always `not_run`.
        is_reached: Whether the platform serves this instance all the same.
    """

    def __init__(
        self,
        *,
        step: str,
        message: str,
        run_state: RunState,
        is_reached: bool = False,
    ):
        super().__init__(step=step, peer="platform", message=message)
        self.run_state = run_state
        self.is_reached = is_reached


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformObject:
    """One object; version 0 means that it does not exist."""

    name: str
    version: int
    value: dict


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MalformedObject:
    """An object in a list that is not of the form that the API promises."""

    name: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Written:
    """A conditional update took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """A conditional update did not take effect: the object has another version."""

    current: PlatformObject


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchedChanges:
    """Objects changed since the last watch, and where to watch on from.

    Attributes:
        revision: Position for the next watch.
        objects: The changed objects.
        malformed: Items that are no objects; the others are usable all the same.
    """

    revision: int
    objects: list[PlatformObject]
    malformed: tuple[MalformedObject, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One HTTP call of the object API."""

    kind: str
    method: str
    path: str
    fields: dict[str, str] | None = None
    body: bytes | None = None
    timeout_ms: float


@service("platform")
class Platform:
    """Calls the object API; each method is one call."""

    __slots__ = (
        "_kernel",
        "_http",
        "_url",
        "_counts",
        "_in_flight",
        "_changed",
        "_answers",
    )

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        settings = kernel.settings.platform
        self._url = settings.url.rstrip("/")
        self._http = urllib3.PoolManager(
            maxsize=settings.calls_in_flight + WATCH_CONNECTIONS,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )
        self._counts: dict[str, int] = {}
        self._in_flight = 0
        self._changed = threading.Condition()
        # Whether the latest call was answered; None before the first.
        self._answers: bool | None = None

    def start(self) -> None:
        """Nothing to start: connections open with the first call."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: callers of this service drain before it."""

    def stop(self) -> None:
        """Closes the connections."""
        self._http.clear()

    def describe(self) -> dict:
        """Returns the calls so far by kind and outcome, and those in flight."""
        with self._changed:
            return {"calls": dict(self._counts), "in_flight": self._in_flight}

    def get(self, name: str) -> Result[PlatformObject, PlatformError]:
        """Reads an object; version 0 if it does not exist."""
        call = Call(
            kind="get",
            method="GET",
            path=f"/objects/{quote(name)}",
            timeout_ms=self._kernel.settings.platform.timeout_ms,
        )
        return self._run(call).and_then(read_object).and_then(expect_name(name))

    def put(
        self, *, name: str, value: dict, expected_version: int
    ) -> Result[Written | VersionConflict, PlatformError]:
        """Writes an object if its version is still `expected_version`.

        Args:
            name: The object.
            value: Its new value, up to a megabyte as JSON.
            expected_version: The version it was read at; 0 creates it.

        Returns:
            Err with run state `unknown` if the write may have taken effect; with
            `not_run` if it certainly did not and will not.
        """
        try:
            body = encode_put(value=value, expected_version=expected_version)
        except (TypeError, ValueError) as error:
            return Err(refuse("put", f"{name}: not JSON: {error}"))
        if len(body) > BODY_LIMIT_BYTES:
            message = f"{name}: {len(body)} bytes; the limit is {BODY_LIMIT_BYTES}"
            return Err(refuse("put", message))
        call = Call(
            kind="put",
            method="PUT",
            path=f"/objects/{quote(name)}",
            body=body,
            timeout_ms=self._kernel.settings.platform.timeout_ms,
        )
        return self._run(call).and_then(read_written)

    def list_objects(self, prefix: str) -> Result[WatchedChanges, PlatformError]:
        """Reads all objects whose name starts with `prefix`."""
        call = Call(
            kind="list",
            method="GET",
            path="/objects",
            fields={"prefix": prefix},
            timeout_ms=self._kernel.settings.platform.timeout_ms,
        )
        return self._run(call).and_then(read_changes)

    def watch(
        self, *, prefix: str, revision: int
    ) -> Result[WatchedChanges, PlatformError]:
        """Waits for objects under `prefix` that changed after `revision`."""
        timeout_ms = self._kernel.settings.platform.watch_timeout_ms
        call = Call(
            kind="watch",
            method="GET",
            path="/watch",
            fields={
                "prefix": prefix,
                "after": str(revision),
                "timeout_ms": str(timeout_ms),
            },
            timeout_ms=timeout_ms + WATCH_MARGIN_MS,
        )
        return self._run(call).and_then(read_changes)

    def _run(self, call: Call) -> Result[dict, PlatformError]:
        if not self._enter(call):
            self._count(call, "refused")
            return Err(refuse(call.kind, f"{call.path}: too many calls in flight"))
        try:
            result = self._exchange(call)
        finally:
            self._leave(call)
        self._count(call, "failed" if result.is_err() else "answered")
        self._record_change(call, result)
        return result

    def _record_change(self, call: Call, result: Result[dict, PlatformError]) -> None:
        with self._changed:
            before, self._answers = self._answers, result.is_ok()
        match result:
            case Err(error) if before is not False:
                journal.record_event(
                    "platform.lost", call=call.kind, reason=error.message
                )
            case Ok(_) if not before:
                journal.record_event("platform.regained", call=call.kind)
            case _:
                pass

    def _enter(self, call: Call) -> bool:
        if call.kind == "watch":
            # Watches wait for long and are few: one for each prefix of a watcher.
            return True
        until_ms = self._kernel.clock.now_ms() + call.timeout_ms
        with self._changed:
            while self._in_flight >= self._kernel.settings.platform.calls_in_flight:
                left_ms = until_ms - self._kernel.clock.now_ms()
                if left_ms <= 0:
                    return False
                self._kernel.clock.wait(self._changed, left_ms)
            self._in_flight += 1
            return True

    def _leave(self, call: Call) -> None:
        if call.kind == "watch":
            return
        with self._changed:
            self._in_flight -= 1
            self._changed.notify()

    def _count(self, call: Call, outcome: str) -> None:
        with self._changed:
            key = f"{call.kind}.{outcome}"
            self._counts[key] = self._counts.get(key, 0) + 1
        metrics.platform_calls_total.inc({"kind": call.kind, "outcome": outcome})

    def _exchange(self, call: Call) -> Result[dict, PlatformError]:
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
            return Err(refuse(call.kind, f"{call.path}: not connected: {error}"))
        except urllib3.exceptions.HTTPError as error:
            return Err(lose(call, str(error)))
        if response.status in REFUSED_STATUSES:
            response.drain_conn()
            response.release_conn()
            message = f"{call.path}: refused with status {response.status}"
            return Err(refuse(call.kind, message))
        if response.status == STATUS_GONE:
            response.drain_conn()
            response.release_conn()
            return Err(lose(call, "the position is too old", is_reached=True))
        return self._read_answer(call, response)

    def _read_answer(
        self, call: Call, response: urllib3.BaseHTTPResponse
    ) -> Result[dict, PlatformError]:
        # The socket timeout is for each read, so an answer that trickles in is bounded
        # here by the call's deadline.
        until_ms = self._kernel.clock.now_ms() + call.timeout_ms
        data = bytearray()
        try:
            for chunk in response.stream(CHUNK_BYTES):
                data += chunk
                too_late = self._kernel.clock.now_ms() > until_ms
                if too_late or len(data) > ANSWER_LIMIT_BYTES:
                    response.close()
                    return Err(lose(call, "answer too slow or too long"))
            decoded = json.loads(data)
        except (urllib3.exceptions.HTTPError, ValueError, RecursionError) as error:
            response.close()
            return Err(lose(call, f"answer cut off or not JSON: {error}"))
        response.release_conn()
        if response.status not in (200, 409) or not isinstance(decoded, dict):
            return Err(lose(call, f"status {response.status}"))
        return Ok(decoded)


def encode_put(*, value: dict, expected_version: int) -> bytes:
    """Returns the body of a conditional update.

    Raises:
        TypeError: The value holds something that JSON has no form for.
        ValueError: The value holds a number that JSON has no form for.
    """
    body = {"value": value, "expected_version": expected_version}
    return json.dumps(body, separators=(",", ":"), allow_nan=False).encode()


def read_object(decoded: object) -> Result[PlatformObject, PlatformError]:
    """Returns the object of an answer."""
    match decoded:
        case {"name": str(name), "version": int(version), "value": dict(value)}:
            return Ok(PlatformObject(name=name, version=version, value=value))
        case _:
            return Err(refuse("read", "malformed object in the answer"))


def expect_name(name: str):
    """Returns a check that an answer is about the object that was asked for."""

    def check(found: PlatformObject) -> Result[PlatformObject, PlatformError]:
        if found.name != name:
            return Err(refuse("get", f"asked for {name}, got {found.name}"))
        return Ok(found)

    return check


def read_written(
    decoded: dict,
) -> Result[Written | VersionConflict, PlatformError]:
    """Returns what became of a conditional update."""
    match decoded:
        case {"conflict": True}:
            # A conflict that we can't read is still a conflict: nothing was written.
            return read_object(decoded).map(
                lambda found: VersionConflict(current=found)
            )
        case {"version": int(version)}:
            return Ok(Written(version=version))
        case _:
            return Err(
                PlatformError(
                    step="platform.put",
                    message="malformed write answer",
                    run_state=RunState.UNKNOWN,
                )
            )


def read_changes(decoded: dict) -> Result[WatchedChanges, PlatformError]:
    """Returns the objects of a list or watch answer.

    One malformed object does not hide the others: it is listed apart.
    """
    match decoded:
        case {"revision": int(revision), "objects": list(items)}:
            pass
        case _:
            return Err(refuse("read", "malformed list in the answer"))
    objects = []
    malformed = []
    for item in items:
        match read_object(item):
            case Ok(found):
                objects.append(found)
            case Err(error):
                name = item.get("name") if isinstance(item, dict) else None
                malformed.append(
                    MalformedObject(name=str(name or "?"), message=error.message)
                )
    return Ok(
        WatchedChanges(revision=revision, objects=objects, malformed=tuple(malformed))
    )


def refuse(kind: str, message: str) -> PlatformError:
    """Returns the error of a call that certainly changed nothing."""
    return PlatformError(
        step=f"platform.{kind}", message=message, run_state=RunState.NOT_RUN
    )


def lose(call: Call, message: str, *, is_reached: bool = False) -> PlatformError:
    """Returns the error of a call that was sent and whose answer is of no use."""
    run_state = RunState.UNKNOWN if call.kind == "put" else RunState.NOT_RUN
    return PlatformError(
        step=f"platform.{call.kind}",
        message=f"{call.path}: {message}",
        run_state=run_state,
        is_reached=is_reached,
    )
