"""Converts refusals to HTTP responses: status, error body and Retry-After header."""

import dataclasses
import math

from gooseberrymux import web
from gooseberrymux.keys import CODE_IN_FUTURE, CODE_MALFORMED, CODE_TOO_OLD
from gooseberrymux.orders import CODE_KEY_REUSED
from gooseberrymux.records import Refusal
from gooseberrymux.web import Response

# Other codes become 503: another instance or a later attempt may run the request.
STATUS_BY_REFUSAL_CODE = {
    CODE_MALFORMED: 400,
    "no_route": 404,
    CODE_TOO_OLD: 422,
    CODE_IN_FUTURE: 422,
    CODE_KEY_REUSED: 422,
    "overloaded": 429,
    "deadline_expired": 504,
}
MS_PER_S = 1000


def create_refusal_response(refusal: Refusal) -> Response:
    """Returns the error response of a refusal, with Retry-After if it has a delay."""
    response = web.create_error(
        status=STATUS_BY_REFUSAL_CODE.get(refusal.code, 503),
        code=refusal.code,
        message=refusal.message,
        run_state=refusal.run_state.value,
    )
    if refusal.retry_after_ms is None:
        return response
    # Retry-After counts whole seconds here; rounded up, so that no retry is early.
    retry_after_s = math.ceil(refusal.retry_after_ms / MS_PER_S)
    return dataclasses.replace(response, headers={"Retry-After": str(retry_after_s)})
