"""Order endpoints of the caller API: submit an order, look up its outcome by key."""

import dataclasses

import pydantic
from result import Err, Ok, Result

from gooseberrymux import web
from gooseberrymux.calls import Calls
from gooseberrymux.kernel import Kernel
from gooseberrymux.keys import parse_key
from gooseberrymux.orders import Orders
from gooseberrymux.records import (
    LookedUpOutcome,
    Order,
    OrderCompleted,
    OrderNotFound,
    OrderNotRun,
    OrderUnknown,
    OutcomeUnavailable,
    Rank,
    Traffic,
)
from gooseberrymux.refusals import create_refusal_response
from gooseberrymux.web import Request, Response

ORDER_PATH = "/v1/order"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderBody:
    """JSON body of an order request.

    Attributes:
        service: Requested service; selectors match it.
        rank: Rank of the request; selectors match it.
        order: The order, passed on to the upstream.
        labels: Further labels that selectors match.
        deadline_ms: Time limit in milliseconds from the handling of the request. If
            missing, the limit of the rank in the settings applies.
    """

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    service: str
    rank: Rank
    order: dict
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    deadline_ms: int | None = None


class OrderEndpoints:
    """Converts HTTP requests to orders, and order outcomes to HTTP responses."""

    __slots__ = ("_kernel", "_orders", "_calls")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._orders = kernel.find("orders", Orders)
        self._calls = kernel.find("calls", Calls)

    def submit(self, request: Request, *, caller: str, body: OrderBody) -> Response:
        """Runs the order of a request in the calling thread and returns its outcome.

        An order that was certainly not run is answered with an error response.
        """
        match parse_request_key(request.headers.get("idempotency-key", "")):
            case Err(response):
                return response
            case Ok(key):
                pass
        time_limit_ms = self._get_default_time_limit_ms(body.rank)
        if body.deadline_ms is not None:
            time_limit_ms = body.deadline_ms
        order = Order(
            request_id=self._calls.create_id("r"),
            traffic=Traffic(
                caller=caller,
                service=body.service,
                rank=body.rank,
                labels=body.labels,
            ),
            key=key,
            body=body.order,
            deadline_ms=self._kernel.clock.now_ms() + time_limit_ms,
        )
        outcome = self._orders.run(order)
        if isinstance(outcome, OrderNotRun):
            return create_refusal_response(outcome.refusal)
        return create_outcome_response(outcome)

    def find_outcome(self, request: Request, *, caller: str) -> Response:
        """Returns the outcome of the order whose key is the end of the path."""
        match parse_request_key(request.path.removeprefix(f"{ORDER_PATH}/")):
            case Err(response):
                return response
            case Ok(key):
                pass
        until_ms = self._kernel.clock.now_ms() + self._get_default_time_limit_ms(
            Rank.STANDARD
        )
        return create_outcome_response(
            self._orders.find_outcome(key=key, caller=caller, until_ms=until_ms)
        )

    def _get_default_time_limit_ms(self, rank: Rank) -> int:
        return getattr(self._kernel.settings.ranks, rank.value).deadline_ms


def parse_request_key(text: str) -> Result[str, Response]:
    """Returns the canonical key, or a 400 response if it is missing or malformed."""
    return parse_key(text).map_err(create_refusal_response)


def create_outcome_response(outcome: LookedUpOutcome) -> Response:
    """Returns the response that reports an outcome.

    An order that was not run is an outcome here, not an error, so its status is 200.
    """
    match outcome:
        case OrderCompleted():
            body = {
                "state": "completed",
                "key": outcome.key,
                "upstream": outcome.upstream,
                "reply": outcome.reply,
            }
            if outcome.reply_omitted:
                body["reply_omitted"] = True
            return web.create_json(status=200, body=body)
        case OrderUnknown():
            return web.create_json(
                status=202,
                body={
                    "state": "unknown",
                    "key": outcome.key,
                    "message": outcome.message,
                },
            )
        case OrderNotRun():
            return web.create_json(
                status=200, body={"state": "not_run", "key": outcome.key}
            )
        case OrderNotFound():
            return web.create_json(
                status=404, body={"state": "not_found", "key": outcome.key}
            )
        case OutcomeUnavailable():
            return create_refusal_response(outcome.refusal)
