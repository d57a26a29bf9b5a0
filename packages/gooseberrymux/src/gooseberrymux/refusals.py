"""HTTP form of a refusal: its status, typed error and hint when to try again."""

import dataclasses
import math

from gooseberrymux import web
from gooseberrymux.keys import CODE_IN_FUTURE, CODE_MALFORMED, CODE_TOO_OLD
from gooseberrymux.orders import CODE_KEY_REUSED
from gooseberrymux.records import Refusal
from gooseberrymux.web import Response

# Other codes are 503: another instance, or a later try, may take the request.
REFUSAL_STATUS = {
    CODE_MALFORMED: 400,
    "no_route": 404,
    CODE_TOO_OLD: 422,
    CODE_IN_FUTURE: 422,
    CODE_KEY_REUSED: 422,
    "overloaded": 429,
    "deadline_expired": 504,
}
MS_PER_S = 1000


def create_refusal(refusal: Refusal) -> Response:
    """Returns the typed error of a refusal, with the hint when to try again."""
    response = web.create_error(
        status=REFUSAL_STATUS.get(refusal.code, 503),
        code=refusal.code,
        message=refusal.message,
        run_state=refusal.run_state.value,
    )
    if refusal.retry_after_ms is None:
        return response
    # The header counts whole seconds.
    seconds = math.ceil(refusal.retry_after_ms / MS_PER_S)
    return dataclasses.replace(response, headers={"Retry-After": str(seconds)})
