"""Client of the platform's object API: read, conditional update, list, watch."""

import dataclasses
import json

import urllib3
from result import Err, Ok, Result

from gooseberrymux.errors import MuxError
from gooseberrymux.kernel import Kernel, service

WATCH_MARGIN_MS = 2_000
POOL_CONNECTIONS = 16


class PlatformError(MuxError):
    """The platform can't be reached, timed out, or gave an answer we can't read.

    A write that ends with this error may have taken effect.
    """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformObject:
    """One object; version 0 means that it does not exist."""

    name: str
    version: int
    value: dict


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
    """Objects changed since the last watch, and where to watch on from."""

    revision: int
    objects: list[PlatformObject]


@service("platform")
class Platform:
    """Calls the object API; each method is one call."""

    __slots__ = ("_kernel", "_http", "_url")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._url = kernel.settings.platform.url.rstrip("/")
        self._http = urllib3.PoolManager(maxsize=POOL_CONNECTIONS, retries=False)

    def start(self) -> None:
        """Nothing to start: connections open with the first call."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: callers of this service drain before it."""

    def stop(self) -> None:
        """Closes the connections."""
        self._http.clear()

    def get(self, name: str) -> Result[PlatformObject, PlatformError]:
        """Reads an object; version 0 if it does not exist."""
        return self._call("GET", f"/objects/{name}").and_then(read_object)

    def put(
        self, *, name: str, value: dict, expected_version: int
    ) -> Result[Written | VersionConflict, PlatformError]:
        """Writes an object if its version is still `expected_version`.

        Args:
            name: The object.
            value: Its new value, up to a megabyte as JSON.
            expected_version: The version it was read at; 0 creates it.
        """
        body = {"value": value, "expected_version": expected_version}
        return self._call("PUT", f"/objects/{name}", body=body).and_then(read_written)

    def list_objects(self, prefix: str) -> Result[WatchedChanges, PlatformError]:
        """Reads all objects whose name starts with `prefix`."""
        return self._call("GET", "/objects", fields={"prefix": prefix}).and_then(
            read_changes
        )

    def watch(
        self, *, prefix: str, revision: int
    ) -> Result[WatchedChanges, PlatformError]:
        """Waits for objects under `prefix` that changed after `revision`."""
        timeout_ms = self._kernel.settings.platform.watch_timeout_ms
        fields = {
            "prefix": prefix,
            "after": str(revision),
            "timeout_ms": str(timeout_ms),
        }
        return self._call(
            "GET", "/watch", fields=fields, timeout_ms=timeout_ms + WATCH_MARGIN_MS
        ).and_then(read_changes)

    def _call(
        self,
        method: str,
        path: str,
        *,
        fields: dict[str, str] | None = None,
        body: dict | None = None,
        timeout_ms: float | None = None,
    ) -> Result[dict, PlatformError]:
        timeout_ms = timeout_ms or self._kernel.settings.platform.timeout_ms
        try:
            response = self._http.request(
                method,
                self._url + path,
                fields=fields,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json"} if body else None,
                timeout=timeout_ms / 1000,
            )
            decoded = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return Err(fail(f"{method} {path}: {error}"))
        if response.status not in (200, 404, 409) or not isinstance(decoded, dict):
            return Err(fail(f"{method} {path}: status {response.status}"))
        return Ok(decoded)


def read_object(decoded: dict) -> Result[PlatformObject, PlatformError]:
    """Returns the object of an answer."""
    try:
        return Ok(
            PlatformObject(
                name=decoded["name"],
                version=int(decoded["version"]),
                value=decoded["value"],
            )
        )
    except (KeyError, TypeError, ValueError) as error:
        return Err(fail(f"malformed object: {error!r}"))


def read_written(
    decoded: dict,
) -> Result[Written | VersionConflict, PlatformError]:
    """Returns what became of a conditional update."""
    if decoded.get("conflict"):
        return read_object(decoded).map(lambda found: VersionConflict(current=found))
    try:
        return Ok(Written(version=int(decoded["version"])))
    except (KeyError, TypeError, ValueError) as error:
        return Err(fail(f"malformed write reply: {error!r}"))


def read_changes(decoded: dict) -> Result[WatchedChanges, PlatformError]:
    """Returns the objects of a list or watch answer."""
    objects = []
    try:
        revision = int(decoded["revision"])
        items = list(decoded["objects"])
    except (KeyError, TypeError, ValueError) as error:
        return Err(fail(f"malformed list: {error!r}"))
    for item in items:
        match read_object(item):
            case Ok(found):
                objects.append(found)
            case Err(error):
                return Err(error)
    return Ok(WatchedChanges(revision=revision, objects=objects))


def fail(message: str) -> PlatformError:
    """Returns the error of a call."""
    return PlatformError(step="platform.call", peer="platform", message=message)
