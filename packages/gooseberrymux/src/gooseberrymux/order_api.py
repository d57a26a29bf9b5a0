"""Order endpoints of the caller API: submit an order, ask for its outcome by key."""

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
    """JSON body of an order request."""

    __pydantic_config__ = pydantic.ConfigDict(extra="forbid")

    service: str
    rank: Rank
    order: dict
    labels: dict[str, str] = dataclasses.field(default_factory=dict)
    deadline_ms: int | None = None


class OrderEndpoints:
    """Turns order requests into orders, and their outcomes into responses."""

    __slots__ = ("_kernel", "_orders", "_calls")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._orders = kernel.find("orders", Orders)
        self._calls = kernel.find("calls", Calls)

    def submit(self, request: Request, *, caller: str, body: OrderBody) -> Response:
        """Runs the order of a request."""
        match read_key(request.headers.get("idempotency-key", "")):
            case Err(response):
                return response
            case Ok(key):
                pass
        deadline_ms = self._get_deadline_ms(body.rank)
        if body.deadline_ms is not None:
            deadline_ms = body.deadline_ms
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
            deadline_ms=self._kernel.clock.now_ms() + deadline_ms,
        )
        outcome = self._orders.run(order)
        if isinstance(outcome, OrderNotRun):
            return create_refusal_response(outcome.refusal)
        return create_outcome(outcome)

    def find(self, request: Request, *, caller: str) -> Response:
        """Answers what became of the order whose key ends the path."""
        match read_key(request.path.removeprefix(f"{ORDER_PATH}/")):
            case Err(response):
                return response
            case Ok(key):
                pass
        until_ms = self._kernel.clock.now_ms() + self._get_deadline_ms(Rank.STANDARD)
        return create_outcome(
            self._orders.find_outcome(key=key, caller=caller, until_ms=until_ms)
        )

    def _get_deadline_ms(self, rank: Rank) -> int:
        return getattr(self._kernel.settings.ranks, rank.value).deadline_ms


def read_key(text: str) -> Result[str, Response]:
    """Returns the key, or the 400 for one that is missing or malformed."""
    return parse_key(text).map_err(create_refusal_response)


def create_outcome(outcome: LookedUpOutcome) -> Response:
    """Returns the response for an outcome."""
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
