"""Core types of forwarded HTTP requests: request, reply, and which headers pass on."""

import dataclasses

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)

# These concern one connection only and are never passed on (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)

Headers = tuple[tuple[str, str], ...]


@_frozen
class HttpRequest:
    """A caller's request as it is passed on.

    Attributes:
        method: Its method.
        target: Path and query, byte for byte as the caller sent them.
        headers: End-to-end headers, names in lower case, in the caller's order.
        body: The whole body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""

    def get(self, name: str) -> str | None:
        """Returns the first header of a name in lower case, or None."""
        return find_header(self.headers, name)


@_frozen
class HttpReply:
    """A whole reply.

    Attributes:
        status: Its status.
        headers: End-to-end headers, names in lower case.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status says that the request succeeded."""
        return 200 <= self.status < 300


def find_header(headers: Headers, name: str) -> str | None:
    """Returns the first header of a name in lower case, or None."""
    for known, value in headers:
        if known == name:
            return value
    return None


def select_end_to_end(headers: Headers) -> Headers:
    """Returns the headers without those that concern one connection only."""
    named = frozenset(
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    )
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in named
    )
