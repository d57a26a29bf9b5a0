"""One load-generating process: open loop, one thread for each connection.

Arrivals are scheduled in advance from a seed. Latency counts from the scheduled
arrival, so that a delayed send is not hidden.
"""

import dataclasses
import http.client
import json
import random
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

from gooseberrymux.clock import Clock
from gooseberrystand.bench.tally import (
    Answered,
    Lost,
    Refused,
    RequestOutcome,
    Tally,
)
from gooseberrystand.server import HOST

# Answers later than this after the deadline count as lost.
GRACE_MS = 1_000
MINIMUM_THREADS = 8
MAXIMUM_THREADS = 800
THREAD_MARGIN = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What one generator does for one rank.

    Attributes:
        service: Service that the queries ask for.
        rank: Their rank.
        rate: Queries a second of this generator.
        deadline_ms: Their deadline in milliseconds.
        duration_s: How long queries arrive, in seconds.
        seed: Decides the arrivals and which instance gets which query.
        ports: Caller ports of the instances.
    """

    service: str
    rank: str
    rate: float
    deadline_ms: float
    duration_s: float
    seed: int
    ports: list[int]


def schedule_arrivals(plan: Plan) -> Iterator[tuple[float, list[int]]]:
    """Yields time since the start in milliseconds and ports in order of preference.

    Times between arrivals are exponential. A load balancer would try another instance
    when one refuses the connection, hence the order.
    """
    source = random.Random(plan.seed)
    at_ms = source.expovariate(plan.rate) * 1000 if plan.rate > 0 else float("inf")
    while at_ms < plan.duration_s * 1000:
        yield at_ms, source.sample(plan.ports, len(plan.ports))
        at_ms += source.expovariate(plan.rate) * 1000


class RankGenerator:
    """Sends the queries of one rank."""

    __slots__ = ("_plan", "_clock", "_start_ms", "_arrivals", "_lock", "_body", "tally")

    def __init__(self, *, plan: Plan, clock: Clock, start_ms: float):
        self._plan = plan
        self._clock = clock
        self._start_ms = start_ms
        self._arrivals = schedule_arrivals(plan)
        self._lock = threading.Lock()
        self.tally = Tally()
        self._body = {
            "service": plan.service,
            "rank": plan.rank,
            "terms": {"text": "bench"},
        }

    def start(self) -> list[threading.Thread]:
        """Starts as many threads as queries can be in flight."""
        longest_s = (self._plan.deadline_ms + GRACE_MS) / 1000
        wanted = int(self._plan.rate * longest_s * THREAD_MARGIN)
        count = min(MAXIMUM_THREADS, max(MINIMUM_THREADS, wanted))
        threads = [
            threading.Thread(target=self._send_queries, name=f"{self._plan.rank}.{n}")
            for n in range(count)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _send_queries(self) -> None:
        while True:
            with self._lock:
                arrival = next(self._arrivals, None)
            if arrival is None:
                return
            at_ms, ports = arrival
            due_ms = self._start_ms + at_ms
            self._clock.sleep_ms(due_ms - self._clock.now_ms())
            late_ms = self._clock.now_ms() - due_ms
            outcome = self._send(due_ms, ports)
            with self._lock:
                self.tally.late_start_ms = max(self.tally.late_start_ms, late_ms)
                self.tally.add(outcome)

    def _send(self, due_ms: float, ports: list[int]) -> RequestOutcome:
        until_ms = due_ms + self._plan.deadline_ms
        for port in ports:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return Lost(reason="not sent before the deadline")
            connection = http.client.HTTPConnection(
                HOST, port, timeout=(left_ms + GRACE_MS) / 1000
            )
            try:
                connection.connect()
            except ConnectionRefusedError:
                continue
            except OSError as error:
                return Lost(reason=f"connect: {type(error).__name__}")
            try:
                status, decoded = self._exchange(connection, until_ms)
            except (OSError, http.client.HTTPException, ValueError) as error:
                return Lost(reason=type(error).__name__)
            finally:
                connection.close()
            return judge_reply(
                status=status,
                decoded=decoded,
                latency_ms=self._clock.now_ms() - due_ms,
                deadline_ms=self._plan.deadline_ms,
            )
        return Lost(reason="no instance accepts connections")

    def _exchange(
        self, connection: http.client.HTTPConnection, until_ms: float
    ) -> tuple[int, dict]:
        left_ms = max(1, until_ms - self._clock.now_ms())
        connection.sock.settimeout((left_ms + GRACE_MS) / 1000)
        body = json.dumps({**self._body, "deadline_ms": max(1, int(left_ms))})
        connection.request(
            "POST",
            "/v1/query",
            body=body.encode(),
            headers={
                "Content-Type": "application/json",
                "X-Caller": "bench",
                "Connection": "close",
            },
        )
        response = connection.getresponse()
        return response.status, json.loads(response.read())


def judge_reply(
    *, status: int, decoded: dict, latency_ms: float, deadline_ms: float
) -> RequestOutcome:
    """Returns what a reply means to the caller."""
    error = decoded.get("error")
    if isinstance(error, dict):
        return Refused(code=str(error.get("code")))
    if status != 200 or "coverage" not in decoded:
        return Lost(reason=f"status {status} without a typed error")
    coverage = decoded["coverage"]
    covered, hits = coverage["covered"], decoded["hits"]
    truthful = set(covered) == set(hits) and all(
        str(hit).startswith(f"{shard}@")
        for shard, found in hits.items()
        for hit in found
    )
    complete = len(covered) + len(coverage["missing"]) == coverage["shards_total"]
    return Answered(
        latency_ms=latency_ms,
        in_time=latency_ms <= deadline_ms,
        covered=len(covered),
        shards=coverage["shards_total"],
        truthful=truthful and complete,
    )


def main() -> None:
    """Runs the plans of a JSON file and writes the tallies to another."""
    source, target = (Path(argument) for argument in sys.argv[1:3])
    given = json.loads(source.read_text())
    clock = Clock()
    start_ms = clock.now_ms() + given["start_wall_ms"] - clock.wall_ms()
    generators = {
        plan["rank"]: RankGenerator(plan=Plan(**plan), clock=clock, start_ms=start_ms)
        for plan in given["plans"]
    }
    threads = [
        thread for generator in generators.values() for thread in generator.start()
    ]
    for thread in threads:
        thread.join()
    tallies = {rank: entry.tally.encode() for rank, entry in generators.items()}
    target.write_text(json.dumps(tallies))


if __name__ == "__main__":
    main()
