"""Refusals of the gateway, and the HTTP statuses that callers get for refusals."""

import math

from gooseberrymux.api_keys import CODE_UNKNOWN_KEY
from gooseberrymux.records import Refusal, RunState
from gooseberrymux.routes import Workspace

# Retry-After while this instance has no routes or upstreams yet, or is stopping.
NOT_READY_RETRY_MS = 300
STATUS_BY_REFUSAL_CODE = {
    CODE_UNKNOWN_KEY: 401,
    "no_route": 404,
    "malformed_request": 400,
    "deadline": 504,
    "deadline_expired": 503,
    "quota_exceeded": 429,
}
STATUS_BY_RUN_STATE = {RunState.NOT_RUN: 503, RunState.UNKNOWN: 502}


def find_status(refusal: Refusal) -> int:
    """Returns the HTTP status of a refused request."""
    return (
        STATUS_BY_REFUSAL_CODE.get(refusal.code)
        or STATUS_BY_RUN_STATE[refusal.run_state]
    )


def create_not_ready_refusal() -> Refusal:
    """Returns the refusal while this instance has no routes or no upstreams."""
    return create_temporary_refusal(
        code="not_ready",
        message="this instance does not know the routes and upstreams yet",
        step="gateway.read",
    )


def create_quota_refusal(workspace: Workspace, retry_after_ms: float) -> Refusal:
    """Returns the refusal of a request above the quota of its workspace."""
    return Refusal(
        code="quota_exceeded",
        message=f"workspace {workspace.name!r} has used its quota of "
        f"{workspace.rate_per_s:g} requests a second and a burst of "
        f"{workspace.burst:g}",
        run_state=RunState.NOT_RUN,
        step="quotas.acquire",
        retry_after_ms=math.ceil(retry_after_ms),
    )


def create_leaving_refusal() -> Refusal:
    """Returns the refusal while this instance is stopping."""
    return create_temporary_refusal(
        code="instance_leaving",
        message="this instance is stopping; ask another one",
        step="gateway.drain",
    )


def create_temporary_refusal(*, code: str, message: str, step: str) -> Refusal:
    """Returns a refusal with a delay after which a retry may succeed.

    Another instance may accept the request at once.
    """
    return Refusal(
        code=code,
        message=message,
        run_state=RunState.NOT_RUN,
        step=step,
        retry_after_ms=NOT_READY_RETRY_MS,
    )
