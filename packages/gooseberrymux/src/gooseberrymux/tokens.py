"""Authentication of operators and callers by bearer token."""

import dataclasses
import hmac

from result import Err, Ok, Result

from gooseberrymux import web
from gooseberrymux.records import RunState
from gooseberrymux.web import Request, Response


def authenticate(request: Request, *, tokens: dict[str, str]) -> Result[str, Response]:
    """Returns the name of the operator or caller that sent a request.

    Args:
        request: The request, with the token in its `Authorization` header.
        tokens: Names of operators or callers by token.

    Returns:
        Err with a 401 if the token is missing and with a 403 if it is unknown.
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

    Compares all known tokens, each in constant time, so that the response time gives
    no hint about a token that matches in part.
    """
    found = None
    given = token.encode()
    for known, name in tokens.items():
        if hmac.compare_digest(known.encode(), given):
            found = name
    return found
