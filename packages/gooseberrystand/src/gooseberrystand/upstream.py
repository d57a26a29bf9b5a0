"""Stand-in for an upstream server: queries, orders, cancellation, drain, faults.

Tests change its behaviour and read its counts through control calls.
"""

import argparse
import dataclasses
import json
import threading

from gooseberrymux.clock import Clock
from gooseberrystand.execution import (
    ANY_SHARD,
    Behaviour,
    Cancelled,
    Completed,
    Expired,
    Outcome,
    RequestSlots,
    Shed,
)
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

RATE_LIMIT_HEADER = "X-Rate-Limit"
FOREIGN_REQUEST_ID = "foreign-request"


class UpstreamServer:
    """Answers queries and orders with the capacity, delays and faults of its behaviour.

    Safe for use by several threads: `_lock` guards the counts and the behaviour's fault
    counters, and `RequestSlots` has a lock of its own.
    """

    __slots__ = (
        "_clock",
        "_behaviour",
        "_slots",
        "_lock",
        "_open_connections",
        "_peak_open_connections",
        "_refused_connections",
        "_received_by_kind",
        "_received_by_rank",
        "_refusals_by_error",
        "_runs_by_order_key",
    )

    def __init__(self, *, clock: Clock, behaviour: Behaviour):
        self._clock = clock
        self._behaviour = behaviour
        self._slots = RequestSlots(clock=clock, behaviour=behaviour)
        self._lock = threading.Lock()
        self._open_connections = 0
        self._peak_open_connections = 0
        self._refused_connections = 0
        self._received_by_kind = {"query": 0, "order": 0}
        self._received_by_rank: dict[str, int] = {}
        self._refusals_by_error: dict[str, int] = {}
        self._runs_by_order_key: dict[str, int] = {}

    def accept_connection(self) -> bool:
        """Accepts and counts a connection unless the limit is reached."""
        with self._lock:
            if self._open_connections >= self._behaviour.connections:
                self._refused_connections += 1
                return False
            self._open_connections += 1
            self._peak_open_connections = max(
                self._peak_open_connections, self._open_connections
            )
            return True

    def prepare_connection(self) -> None:
        """Waits for the connection setup time, before the first call is read."""
        self._clock.sleep_ms(self._behaviour.connect_ms)

    def release_connection(self) -> None:
        """Frees the place of an accepted connection."""
        with self._lock:
            self._open_connections -= 1

    def handle(self, call: Call) -> Reply:
        """Answers a call of an instance; blocks while its request waits or runs."""
        match (call.method, call.path):
            case ("POST", "/query"):
                return self._inject_faults(self._handle_query(call))
            case ("POST", "/orders"):
                return self._inject_faults(self._handle_order(call))
            case ("GET", path) if path.startswith("/orders/"):
                return self._describe_order(path.removeprefix("/orders/"))
            case ("POST", "/cancel"):
                was_found = self._slots.cancel(str(call.body.get("request_id")))
                return JsonReply(body={"cancelled": was_found})
            case ("GET", "/health"):
                health = self._slots.describe_health()
                return JsonReply(body={**health, **self._behaviour.health_lie})
            case _:
                return create_error(404, "not_found", call.path)

    def handle_control(self, call: Call) -> Reply:
        """Changes or returns the behaviour, or returns the counts."""
        match (call.method, call.path):
            case ("POST", "/_control"):
                return self._set_behaviour(call.body)
            case ("GET", "/_control"):
                return JsonReply(body=dataclasses.asdict(self._behaviour))
            case ("GET", "/_stats"):
                return JsonReply(body=self._get_stats())
            case _:
                return create_error(404, "not_found", call.path)

    def _set_behaviour(self, changed_fields: dict) -> Reply:
        known = {field.name for field in dataclasses.fields(Behaviour)}
        if unknown := sorted(set(changed_fields) - known):
            return create_error(
                400, "malformed_request", f"unknown fields of the behaviour: {unknown}"
            )
        with self._lock:
            for name, value in changed_fields.items():
                setattr(self._behaviour, name, value)
        self._slots.handle_behaviour_change()
        return JsonReply(body=dataclasses.asdict(self._behaviour))

    def _get_stats(self) -> dict:
        slot_stats = self._slots.get_stats()
        with self._lock:
            return {
                **slot_stats,
                "received": dict(self._received_by_kind),
                "by_rank": dict(self._received_by_rank),
                "refusals": dict(self._refusals_by_error),
                "connections": self._open_connections,
                "peak_connections": self._peak_open_connections,
                "refused_connections": self._refused_connections,
                "order_runs": dict(self._runs_by_order_key),
            }

    def _handle_query(self, call: Call) -> Reply:
        request_id = str(call.body.get("request_id"))
        version, shard = str(call.body.get("version")), str(call.body.get("shard"))
        self._count_received("query", call)
        refusal = self._check_shard(request_id, version, shard) or self._run_in_slot(
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

    def _check_shard(self, request_id: str, version: str, shard: str) -> Reply | None:
        """Returns a refusal if the version or shard is not served, else None."""
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
                self._runs_by_order_key[key] = self._runs_by_order_key.get(key, 0) + 1

        refusal = self._run_in_slot(call, request_id, on_started=count_run)
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
        runs = self._runs_by_order_key.get(key, 0)
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
        return {"order_id": order_id, "runs": self._runs_by_order_key.get(key, 0)}

    def _run_in_slot(
        self, call: Call, request_id: str, on_started=None
    ) -> Reply | None:
        """Runs a request in a slot; returns the refusal, or None if it completed."""
        if self._behaviour.draining:
            return self._refuse_draining(request_id)
        deadline_header = call.headers.get("x-deadline-ms")
        outcome: Outcome = self._slots.run(
            request_id=request_id,
            remaining_ms=None if deadline_header is None else float(deadline_header),
            on_started=on_started,
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
            self._refusals_by_error[error] = self._refusals_by_error.get(error, 0) + 1
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
            self._received_by_kind[kind] += 1
            self._received_by_rank[rank] = self._received_by_rank.get(rank, 0) + 1

    def _inject_faults(self, reply: JsonReply) -> Reply:
        """Applies pending faults to a reply: a delay, and at most one other fault."""
        reply = self._add_signals(reply)
        if self._consume_fault("delay"):
            self._clock.sleep_ms(self._behaviour.delay_ms)
        if self._consume_fault("drop"):
            return NoReply()
        if self._consume_fault("truncate"):
            return TruncatedReply(reply=reply)
        if self._consume_fault("garble"):
            return GarbledReply(status=reply.status)
        if self._consume_fault("foreign"):
            body = {**reply.body, "request_id": FOREIGN_REQUEST_ID}
            return dataclasses.replace(reply, body=body)
        return reply

    def _add_signals(self, reply: JsonReply) -> JsonReply:
        rate_limit_per_s = self._behaviour.rate_limit_per_s
        if not rate_limit_per_s:
            return reply
        headers = {**reply.headers, RATE_LIMIT_HEADER: f"{rate_limit_per_s:g}"}
        return dataclasses.replace(reply, headers=headers)

    def _consume_fault(self, fault: str) -> bool:
        """Counts a pending fault down; returns whether one was pending."""
        with self._lock:
            remaining = getattr(self._behaviour, fault)
            if remaining > 0:
                setattr(self._behaviour, fault, remaining - 1)
            return remaining > 0


def main() -> None:
    """Serves one upstream on the loopback interface; the behaviour is a JSON object."""
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
