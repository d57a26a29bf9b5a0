"""Core types of forwarded HTTP: request, reply and selection of headers."""

import dataclasses
from collections.abc import Collection

_frozen = dataclasses.dataclass(frozen=True, slots=True, kw_only=True)

# Headers that concern one connection only and are never forwarded (RFC 9110, 7.6.1).
# `expect` is among them because the server for callers answers it itself.
HOP_BY_HOP_HEADERS = frozenset(
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
    """A caller's request in the form that is forwarded to upstreams.

    Attributes:
        method: HTTP method.
        target: Path and query, byte for byte as the caller sent them.
        headers: End-to-end headers, names in lower case, in the caller's order.
        body: The whole body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""

    def get_header(self, name: str) -> str | None:
        """Returns the first value of a header, by name in lower case, or None."""
        return find_header(self.headers, name)


@_frozen
class HttpReply:
    """A complete reply to a caller or of an upstream.

    Attributes:
        status: HTTP status code.
        headers: End-to-end headers, names in lower case.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is in the range 200 to 299."""
        return 200 <= self.status < 300

    @property
    def is_server_error(self) -> bool:
        """Whether the status is 500 or higher."""
        return self.status >= 500


def find_header(headers: Headers, name: str) -> str | None:
    """Returns the first value of a header, by name in lower case, or None."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def remove_headers(headers: Headers, names: Collection[str]) -> Headers:
    """Returns the headers without those that are named, in lower case."""
    return tuple((name, value) for name, value in headers if name not in names)


def select_end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers without those that concern one connection only.

    These are the hop-by-hop headers and the ones that a Connection header names.
    """
    connection_tokens = frozenset(
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    )
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in connection_tokens
    )
