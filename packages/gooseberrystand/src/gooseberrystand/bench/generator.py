"""Load generator process: open loop, one thread for each query in flight.

A seed determines the arrival times, whatever the replies. Latency is counted from the
scheduled arrival, so that a delayed send still shows in the figures.
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

# A sender waits this long past the deadline for a reply before the query is lost.
LATE_REPLY_LIMIT_MS = 1_000
MINIMUM_THREADS = 8
MAXIMUM_THREADS = 800
THREAD_COUNT_MARGIN = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """Load that one generator process sends for one rank.

    Attributes:
        service: Service that the queries name.
        rank: Rank of the queries.
        rate: Queries per second of this generator.
        deadline_ms: Deadline of each query, counted from its scheduled arrival.
        duration_s: Length of the load in seconds.
        seed: Seed of the arrival times and of the choice of instance for each query.
        ports: Caller ports of the instances.
    """

    service: str
    rank: str
    rate: float
    deadline_ms: float
    duration_s: float
    seed: int
    ports: list[int]


def schedule_arrivals(plan: LoadPlan) -> Iterator[tuple[float, list[int]]]:
    """Yields each arrival in milliseconds since the start, with all ports shuffled.

    Times between arrivals are exponentially distributed. The sender tries the ports in
    the order given, as a load balancer tries another instance when one refuses the
    connection.
    """
    rng = random.Random(plan.seed)
    arrival_ms = rng.expovariate(plan.rate) * 1000 if plan.rate > 0 else float("inf")
    while arrival_ms < plan.duration_s * 1000:
        yield arrival_ms, rng.sample(plan.ports, len(plan.ports))
        arrival_ms += rng.expovariate(plan.rate) * 1000


class RankLoadGenerator:
    """Sends the queries of one rank and tallies their outcomes.

    The lock guards the arrival iterator and the tally, which all sender threads share.
    Read `tally` only after the threads have ended.
    """

    __slots__ = (
        "_plan",
        "_clock",
        "_start_ms",
        "_arrivals",
        "_lock",
        "_query_fields",
        "tally",
    )

    def __init__(self, *, plan: LoadPlan, clock: Clock, start_ms: float):
        self._plan = plan
        self._clock = clock
        self._start_ms = start_ms
        self._arrivals = schedule_arrivals(plan)
        self._lock = threading.Lock()
        self.tally = Tally()
        self._query_fields = {
            "service": plan.service,
            "rank": plan.rank,
            "terms": {"text": "bench"},
        }

    def start(self) -> list[threading.Thread]:
        """Starts the sender threads and returns them.

        Each thread has one query in flight, so the number of threads covers all queries
        that can be in flight at the planned rate, up to `MAXIMUM_THREADS`.
        """
        max_in_flight_s = (self._plan.deadline_ms + LATE_REPLY_LIMIT_MS) / 1000
        needed_threads = int(self._plan.rate * max_in_flight_s * THREAD_COUNT_MARGIN)
        thread_count = min(MAXIMUM_THREADS, max(MINIMUM_THREADS, needed_threads))
        threads = [
            threading.Thread(
                target=self._send_queries, name=f"{self._plan.rank}.{number}"
            )
            for number in range(thread_count)
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
            arrival_ms, ports = arrival
            scheduled_ms = self._start_ms + arrival_ms
            self._clock.sleep_ms(scheduled_ms - self._clock.now_ms())
            late_ms = self._clock.now_ms() - scheduled_ms
            outcome = self._send_query(scheduled_ms, ports)
            with self._lock:
                self.tally.late_start_ms = max(self.tally.late_start_ms, late_ms)
                self.tally.record_outcome(outcome)

    def _send_query(self, scheduled_ms: float, ports: list[int]) -> RequestOutcome:
        deadline_at_ms = scheduled_ms + self._plan.deadline_ms
        for port in ports:
            remaining_ms = deadline_at_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                return Lost(reason="not sent before the deadline")
            connection = http.client.HTTPConnection(
                HOST, port, timeout=(remaining_ms + LATE_REPLY_LIMIT_MS) / 1000
            )
            try:
                connection.connect()
            except ConnectionRefusedError:
                continue
            except OSError as error:
                return Lost(reason=f"connect: {type(error).__name__}")
            try:
                status, reply = self._exchange(connection, deadline_at_ms)
            except (OSError, http.client.HTTPException, ValueError) as error:
                return Lost(reason=type(error).__name__)
            finally:
                connection.close()
            return classify_reply(
                status=status,
                reply=reply,
                latency_ms=self._clock.now_ms() - scheduled_ms,
                deadline_ms=self._plan.deadline_ms,
            )
        return Lost(reason="no instance accepts connections")

    def _exchange(
        self, connection: http.client.HTTPConnection, deadline_at_ms: float
    ) -> tuple[int, dict]:
        remaining_ms = max(1, deadline_at_ms - self._clock.now_ms())
        connection.sock.settimeout((remaining_ms + LATE_REPLY_LIMIT_MS) / 1000)
        body = json.dumps(
            {**self._query_fields, "deadline_ms": max(1, int(remaining_ms))}
        )
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


def classify_reply(
    *, status: int, reply: dict, latency_ms: float, deadline_ms: float
) -> RequestOutcome:
    """Classifies an HTTP reply as an answer, a typed refusal or a lost query.

    An answer is truthful if it has hits from exactly the shards that it claims to cover
    and accounts for every shard as covered or missing.
    """
    error = reply.get("error")
    if isinstance(error, dict):
        return Refused(code=str(error.get("code")))
    if status != 200 or "coverage" not in reply:
        return Lost(reason=f"status {status} without a typed error")
    coverage = reply["coverage"]
    covered, hits = coverage["covered"], reply["hits"]
    truthful = set(covered) == set(hits) and all(
        str(hit).startswith(f"{shard}@")
        for shard, shard_hits in hits.items()
        for hit in shard_hits
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
    """Runs the plans of the JSON file `argv[1]`; writes the tallies to `argv[2]`.

    The start time is given as wall-clock time, which all generator processes share.
    """
    plan_path, tally_path = (Path(argument) for argument in sys.argv[1:3])
    load = json.loads(plan_path.read_text())
    clock = Clock()
    start_ms = clock.now_ms() + load["start_wall_ms"] - clock.wall_ms()
    generators = {
        plan["rank"]: RankLoadGenerator(
            plan=LoadPlan(**plan), clock=clock, start_ms=start_ms
        )
        for plan in load["plans"]
    }
    threads = [
        thread for generator in generators.values() for thread in generator.start()
    ]
    for thread in threads:
        thread.join()
    tallies = {rank: generator.tally.encode() for rank, generator in generators.items()}
    tally_path.write_text(json.dumps(tallies))


if __name__ == "__main__":
    main()
