"""Bearer tokens: who an operator or a caller is."""

import dataclasses
import hmac

from result import Err, Ok, Result

from gooseberrymux import web
from gooseberrymux.records import RunState
from gooseberrymux.web import Request, Response


def authenticate(request: Request, *, tokens: dict[str, str]) -> Result[str, Response]:
    """Returns the name that belongs to a request's bearer token.

    Args:
        request: The request.
        tokens: Names by token.

    Returns:
        The 401 for a missing token or the 403 for an unknown one as Err.
    """
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        refusal = web.create_error(
            status=401,
            code="unauthenticated",
            message="expected an Authorization header with a bearer token",
            run_state=RunState.NOT_RUN.value,
        )
        return Err(dataclasses.replace(refusal, headers={"WWW-Authenticate": "Bearer"}))
    name = find_name(token=token.strip(), tokens=tokens)
    if name is None:
        return Err(
            web.create_error(
                status=403,
                code="unknown_token",
                message="the token is not known",
                run_state=RunState.NOT_RUN.value,
            )
        )
    return Ok(name)


def find_name(*, token: str, tokens: dict[str, str]) -> str | None:
    """Returns the name that belongs to a token, or None.

    Every token is compared, each in constant time, so that the time of the answer
    tells nothing about a token that is nearly right.
    """
    found = None
    given = token.encode()
    for known, name in tokens.items():
        if hmac.compare_digest(known.encode(), given):
            found = name
    return found
