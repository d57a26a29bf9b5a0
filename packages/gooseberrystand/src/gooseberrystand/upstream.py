"""Stand-in for an upstream server: queries, orders, cancellation, drain, faults."""

import argparse
import dataclasses
import json
import threading

from gooseberrymux.clock import Clock
from gooseberrystand.server import (
    Call,
    GarbledReply,
    JsonReply,
    NoReply,
    Reply,
    TruncatedReply,
    create_error,
    serve,
)
from gooseberrystand.work import (
    ANY_SHARD,
    Behaviour,
    Cancelled,
    Completed,
    Expired,
    Outcome,
    Shed,
    Slots,
)

FOREIGN_REQUEST_ID = "foreign-request"


class UpstreamServer:
    """Answers queries and orders as its behaviour says."""

    __slots__ = (
        "_clock",
        "_behaviour",
        "_slots",
        "_lock",
        "_open",
        "_peak_open",
        "_refused",
        "_received",
        "_by_rank",
        "_refusals",
        "_runs",
    )

    def __init__(self, *, clock: Clock, behaviour: Behaviour):
        self._clock = clock
        self._behaviour = behaviour
        self._slots = Slots(clock=clock, behaviour=behaviour)
        self._lock = threading.Lock()
        self._open = 0
        self._peak_open = 0
        self._refused = 0
        self._received = {"query": 0, "order": 0}
        self._by_rank: dict[str, int] = {}
        self._refusals: dict[str, int] = {}
        self._runs: dict[str, int] = {}

    def accept_connection(self) -> bool:
        """Accepts connections up to the limit."""
        with self._lock:
            if self._open >= self._behaviour.connections:
                self._refused += 1
                return False
            self._open += 1
            self._peak_open = max(self._peak_open, self._open)
            return True

    def prepare_connection(self) -> None:
        """Takes the time that a connection costs."""
        self._clock.sleep_ms(self._behaviour.connect_ms)

    def release_connection(self) -> None:
        """Makes room for another connection."""
        with self._lock:
            self._open -= 1

    def handle(self, call: Call) -> Reply:
        """Answers one request."""
        match (call.method, call.path):
            case ("POST", "/query"):
                return self._spoil(self._handle_query(call))
            case ("POST", "/orders"):
                return self._spoil(self._handle_order(call))
            case ("GET", path) if path.startswith("/orders/"):
                return self._describe_order(path.removeprefix("/orders/"))
            case ("POST", "/cancel"):
                found = self._slots.cancel(str(call.body.get("request_id")))
                return JsonReply(body={"cancelled": found})
            case ("GET", "/health"):
                health = self._slots.describe_health()
                return JsonReply(body={**health, **self._behaviour.health_lie})
            case _:
                return create_error(404, "not_found", call.path)

    def handle_control(self, call: Call) -> Reply:
        """Changes the behaviour or returns counts."""
        match (call.method, call.path):
            case ("POST", "/_control"):
                return self._set_behaviour(call.body)
            case ("GET", "/_control"):
                return JsonReply(body=dataclasses.asdict(self._behaviour))
            case ("GET", "/_stats"):
                return JsonReply(body=self._get_stats())
            case _:
                return create_error(404, "not_found", call.path)

    def _set_behaviour(self, given: dict) -> Reply:
        known = {field.name for field in dataclasses.fields(Behaviour)}
        if unknown := sorted(set(given) - known):
            return create_error(400, "malformed_request", f"unknown: {unknown}")
        with self._lock:
            for name, value in given.items():
                setattr(self._behaviour, name, value)
        self._slots.record_change()
        return JsonReply(body=dataclasses.asdict(self._behaviour))

    def _get_stats(self) -> dict:
        slots = self._slots.get_stats()
        with self._lock:
            return {
                **slots,
                "received": dict(self._received),
                "by_rank": dict(self._by_rank),
                "refusals": dict(self._refusals),
                "connections": self._open,
                "peak_connections": self._peak_open,
                "refused_connections": self._refused,
                "order_runs": dict(self._runs),
            }

    def _handle_query(self, call: Call) -> Reply:
        request_id = str(call.body.get("request_id"))
        version, shard = str(call.body.get("version")), str(call.body.get("shard"))
        self._count_received("query", call)
        refusal = self._refuse_shard(request_id, version, shard) or self._run(
            call, request_id
        )
        if refusal:
            return refusal
        return JsonReply(
            body={
                "request_id": request_id,
                "version": version,
                "shard": shard,
                "reply": {"hits": [f"{shard}@{self._behaviour.name}"]},
            }
        )

    def _refuse_shard(self, request_id: str, version: str, shard: str) -> Reply | None:
        if self._behaviour.draining:
            return self._refuse_draining(request_id)
        shards = self._behaviour.versions.get(version)
        if shards is None:
            current = list(self._behaviour.versions)[-1:]
            return self._refuse(
                410, request_id, "version_gone", current="".join(current)
            )
        if shards != ANY_SHARD and shard not in shards:
            return self._refuse(421, request_id, "wrong_shard")
        return None

    def _handle_order(self, call: Call) -> Reply:
        request_id, key = str(call.body.get("request_id")), str(call.body.get("key"))
        self._count_received("order", call)

        def count_run() -> None:
            with self._lock:
                self._runs[key] = self._runs.get(key, 0) + 1

        refusal = self._run(call, request_id, when_started=count_run)
        if refusal:
            return refusal
        return JsonReply(
            body={
                "request_id": request_id,
                "version": "",
                "shard": "",
                "reply": self._create_order_reply(key),
            }
        )

    def _describe_order(self, key: str) -> Reply:
        runs = self._runs.get(key, 0)
        if not runs:
            return JsonReply(
                body={"key": key, "state": "not_found", "runs": 0, "reply": {}}
            )
        reply = self._create_order_reply(key)
        return JsonReply(
            body={"key": key, "state": "completed", "runs": runs, "reply": reply}
        )

    def _create_order_reply(self, key: str) -> dict:
        order_id = f"{self._behaviour.name}/{key}"
        return {"order_id": order_id, "runs": self._runs.get(key, 0)}

    def _run(self, call: Call, request_id: str, when_started=None) -> Reply | None:
        """Runs a request in a slot; returns None if it completed."""
        if self._behaviour.draining:
            return self._refuse_draining(request_id)
        given = call.headers.get("x-deadline-ms")
        outcome: Outcome = self._slots.run(
            request_id=request_id,
            remaining_ms=None if given is None else float(given),
            when_started=when_started,
        )
        match outcome:
            case Completed():
                return None
            case Shed():
                return self._refuse(503, request_id, "shed")
            case Expired(started=started):
                return self._refuse(504, request_id, "deadline", started=started)
            case Cancelled(started=started):
                return self._refuse(499, request_id, "cancelled", started=started)

    def _refuse_draining(self, request_id: str) -> JsonReply:
        return self._refuse(503, request_id, "draining", headers={"X-Draining": "true"})

    def _refuse(
        self,
        status: int,
        request_id: str,
        error: str,
        *,
        started: bool = False,
        headers: dict[str, str] | None = None,
        **fields: str,
    ) -> JsonReply:
        with self._lock:
            self._refusals[error] = self._refusals.get(error, 0) + 1
        return JsonReply(
            status=status,
            headers=headers or {},
            body={
                "request_id": request_id,
                "error": error,
                "not_run": not started,
                **fields,
            },
        )

    def _count_received(self, kind: str, call: Call) -> None:
        rank = call.headers.get("x-rank", "none")
        with self._lock:
            self._received[kind] += 1
            self._by_rank[rank] = self._by_rank.get(rank, 0) + 1

    def _spoil(self, reply: JsonReply) -> Reply:
        """Applies the next fault that was asked for to a reply."""
        if self._take("delay"):
            self._clock.sleep_ms(self._behaviour.delay_ms)
        if self._take("drop"):
            return NoReply()
        if self._take("truncate"):
            return TruncatedReply(reply=reply)
        if self._take("garble"):
            return GarbledReply(status=reply.status)
        if self._take("foreign"):
            body = {**reply.body, "request_id": FOREIGN_REQUEST_ID}
            return dataclasses.replace(reply, body=body)
        return reply

    def _take(self, fault: str) -> bool:
        with self._lock:
            left = getattr(self._behaviour, fault)
            if left > 0:
                setattr(self._behaviour, fault, left - 1)
            return left > 0


def main() -> None:
    """Serves one upstream on loopback; the behaviour is a JSON object."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("port", type=int)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--behaviour", type=json.loads, default={})
    arguments = parser.parse_args()
    serve(
        port=arguments.port,
        control_port=arguments.control_port,
        application=UpstreamServer(
            clock=Clock(), behaviour=Behaviour(**arguments.behaviour)
        ),
    )


if __name__ == "__main__":
    main()
