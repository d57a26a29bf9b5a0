"""API keys of callers: digests, and the workspace that a request's key belongs to.

Documents and messages hold digests only. Keys are long and random, so an unsalted hash
does not reveal them, and a lookup by digest needs no constant-time comparison.
"""

import hashlib
from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

from result import Err, Ok, Result

from gooseberrymux.http_types import Headers
from gooseberrymux.records import Refusal, RunState

CODE_UNKNOWN_KEY = "unknown_key"


class KeyHolder(Protocol):
    """A workspace, as far as the lookup of keys needs it."""

    name: str
    key_digests: tuple[str, ...]


Holder = TypeVar("Holder", bound=KeyHolder)


class ApiKeys(Generic[Holder]):
    """Finds the workspace of a request by its API key, in one route table.

    Args:
        workspaces: All workspaces. A digest that several of them list belongs to the
            first one, which is the same on all instances.
    """

    __slots__ = ("_workspaces_by_digest",)

    def __init__(self, *, workspaces: Iterable[Holder]):
        self._workspaces_by_digest: dict[str, Holder] = {}
        for workspace in workspaces:
            for digest in workspace.key_digests:
                self._workspaces_by_digest.setdefault(digest, workspace)

    def find_workspace(self, headers: Headers, *, name: str) -> Result[Holder, Refusal]:
        """Returns the workspace of a request, or the refusal without a valid key.

        Args:
            headers: Headers of the request, names in lower case.
            name: Name of the header that carries the key, in lower case.
        """
        values = [value for header_name, value in headers if header_name == name]
        match values:
            case [value] if value:
                pass
            case [] | [""]:
                return Err(create_key_refusal("the request has no API key"))
            case _:
                return Err(create_key_refusal("the request has several API keys"))
        workspace = self._workspaces_by_digest.get(hash_header_value(value))
        if workspace is None:
            return Err(create_key_refusal("the API key is not known"))
        return Ok(workspace)


def hash_key(key: str) -> str:
    """Returns the digest of an API key: SHA-256 of its UTF-8 form, in hex."""
    # An unpaired surrogate is no error: an exception would quote the key.
    return hashlib.sha256(key.encode("utf-8", errors="surrogatepass")).hexdigest()


def hash_header_value(value: str) -> str:
    """Returns the digest of an API key in a header, whose bytes are read as Latin-1."""
    return hashlib.sha256(value.encode("latin-1")).hexdigest()


def find_shared_keys(workspaces: Iterable[KeyHolder]) -> list[tuple[str, str]]:
    """Returns the names of workspaces that list the same key, in pairs.

    The first name of a pair is that of the workspace that the key belongs to.
    """
    names_by_digest: dict[str, str] = {}
    shared = set()
    for workspace in workspaces:
        for digest in workspace.key_digests:
            first = names_by_digest.setdefault(digest, workspace.name)
            if first != workspace.name:
                shared.add((first, workspace.name))
    return sorted(shared)


def create_key_refusal(message: str) -> Refusal:
    """Returns the refusal of a request without a valid key; the message has no key."""
    return Refusal(
        code=CODE_UNKNOWN_KEY,
        message=message,
        run_state=RunState.NOT_RUN,
        step="gateway.check_key",
    )
