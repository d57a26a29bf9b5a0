"""What a soak saw: requests of callers, runs at upstreams, changes, disturbances."""

import dataclasses
import threading

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)


@_frozen
class Answered:
    """A caller got a whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


@_frozen
class Closed:
    """The connection ended without a whole answer.

    Attributes:
        whole_sent: Whether all of the request had been written.
    """

    whole_sent: bool


@_frozen
class Silent:
    """No answer came, long after the caller's deadline."""


@_frozen
class Left:
    """The caller closed its connection before the answer."""


Outcome = Answered | Closed | Silent | Left


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """One request of a caller; times are of the driver's monotonic clock."""

    id: str
    path: str
    method: str
    body: bytes
    instance: str
    lifetime: int
    limit_ms: float
    sent_ms: float
    ended_ms: float = 0.0
    outcome: Outcome | None = None


@_frozen
class Run:
    """An upstream began to work on a request, or got it without running it."""

    request_id: str
    service: str
    upstream: str
    method: str
    path: str
    body: bytes
    at_ms: float
    is_run: bool


@_frozen
class Version:
    """A configuration: the services of each path prefix, and when it was accepted."""

    number: int
    services: dict[str, tuple[str, ...]]
    acked_ms: float


@_frozen
class Drained:
    """The store accepted that an upstream is leaving."""

    upstream: str
    acked_ms: float


@_frozen
class Disturbance:
    """A fault that was in force, at one instance or at all.

    Attributes:
        fault: What it was.
        instance: Whom it concerned; empty for all.
        from_ms: When it began.
        until_ms: When it had ended.
        is_planned: Whether it was work that must not cut a request.
    """

    fault: str
    instance: str
    from_ms: float
    until_ms: float
    is_planned: bool = False


class Record:
    """Everything that happened, in the order in which it was noted."""

    __slots__ = ("requests", "runs", "versions", "drained", "disturbances", "_lock")

    def __init__(self):
        self.requests: list[Request] = []
        self.runs: list[Run] = []
        self.versions: list[Version] = []
        self.drained: list[Drained] = []
        self.disturbances: list[Disturbance] = []
        self._lock = threading.Lock()

    def note(self, event: Request | Run | Version | Drained | Disturbance) -> None:
        """Adds an event."""
        with self._lock:
            match event:
                case Request():
                    self.requests.append(event)
                case Run():
                    self.runs.append(event)
                case Version():
                    self.versions.append(event)
                case Drained():
                    self.drained.append(event)
                case Disturbance():
                    self.disturbances.append(event)

    def is_calm(
        self, from_ms: float, until_ms: float, *, besides_planned: bool = False
    ) -> bool:
        """Returns whether no fault was in force within a span.

        Args:
            from_ms: Its begin.
            until_ms: Its end.
            besides_planned: Whether planned work does not count.
        """
        return not any(
            fault.from_ms < until_ms and from_ms < fault.until_ms
            for fault in self.disturbances
            if not (besides_planned and fault.is_planned)
        )
