"""Reads the headers of a caller's request; refuses what can be read in two ways.

A head is parsed here and not by httptools, which takes a quarter of the time for each
header: a head has at most `MAX_HEADERS` of them, and each refusal has its own status.
"""

import re

from cheroot import errors

from gooseberrymux.caller_body import RequestError
from gooseberrymux.http_types import Headers

MAX_HEADERS = 128
HEADER_NAME_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
# The next hop could treat one of these bytes as the end of the header.
FORBIDDEN_VALUE_BYTES = re.compile(rb"[\x00\r\n]")
# A repeated header of these names would make the request ambiguous.
UNREPEATABLE_HEADERS = frozenset({"host", "content-length", "transfer-encoding"})


class HeadReader:
    """Reads the lines of one head within the limit of its size.

    In place of cheroot's `SizeCheckWrapper`, which reads each line in several steps.

    Args:
        rfile: Reader of the connection.
        limit_bytes: Limit of the whole head.
    """

    __slots__ = ("_rfile", "_left_bytes")

    def __init__(self, *, rfile, limit_bytes: int):
        self._rfile = rfile
        self._left_bytes = limit_bytes

    def readline(self) -> bytes:
        """Returns the next line with its line break.

        Raises:
            MaxSizeExceeded: The head is longer than the limit.
        """
        line = self._rfile.readline(self._left_bytes + 1)
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise errors.MaxSizeExceeded
        return line


def read_headers(rfile) -> Headers:
    """Returns the headers of a request, names in lower case.

    Raises:
        RequestError: The headers are malformed, ambiguous or too many.
    """
    headers: list[tuple[str, str]] = []
    seen: set[str] = set()
    while (line := rfile.readline()) != b"\r\n":
        if not line.endswith(b"\r\n"):
            raise RequestError(status=400, message="a header line was cut off")
        raw_name, separator, value = line[:-2].partition(b":")
        value = value.strip(b" \t")
        if not separator or not HEADER_NAME_PATTERN.match(raw_name):
            raise RequestError(status=400, message="malformed header line")
        if FORBIDDEN_VALUE_BYTES.search(value):
            raise RequestError(status=400, message="malformed header value")
        name = raw_name.decode("latin-1").lower()
        if name in UNREPEATABLE_HEADERS and name in seen:
            raise RequestError(status=400, message=f"header {name} is repeated")
        if len(headers) >= MAX_HEADERS:
            raise RequestError(status=431, message="too many headers")
        seen.add(name)
        headers.append((name, value.decode("latin-1")))
    return tuple(headers)


def parse_body_length(headers: Headers, *, is_http_11: bool) -> int | None:
    """Returns the length of the body in bytes; None if the body is chunked.

    Raises:
        RequestError: The Host header is missing, or the framing is malformed,
            ambiguous or not supported.
    """
    fields = dict(headers)
    length = fields.get("content-length")
    transfer_coding = fields.get("transfer-encoding")
    if is_http_11 and "host" not in fields:
        raise RequestError(status=400, message="no Host header")
    if transfer_coding is not None:
        if length is not None or not is_http_11:
            raise RequestError(status=400, message="the body has two lengths")
        if transfer_coding.strip().lower() != "chunked":
            raise RequestError(status=501, message="unknown transfer coding")
        return None
    if length is None:
        return 0
    if not (length.isascii() and length.isdecimal()):
        raise RequestError(status=400, message="malformed Content-Length")
    return int(length)


def list_header_tokens(headers: Headers, name: str) -> set[str]:
    """Returns the comma-separated tokens of a header, in lower case."""
    tokens: set[str] = set()
    for header_name, value in headers:
        if header_name == name:
            tokens.update(token.strip().lower() for token in value.split(","))
    return tokens
