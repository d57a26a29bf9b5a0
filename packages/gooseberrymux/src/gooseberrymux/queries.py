"""Entry side of a query: fan-out to owners, retries, merge, coverage."""

from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.calls import Calls, Inbox
from gooseberrymux.clock import Clock
from gooseberrymux.configuration import ConfigurationService
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.messages import Subrequest, SubrequestCompleted, SubrequestOutcome
from gooseberrymux.records import Answer, MissingShard, Query, Refusal, RunState
from gooseberrymux.routing import choose_replica
from gooseberrymux.selectors import Route, resolve
from gooseberrymux.snapshots import Snapshot, Snapshots

REASON_DEADLINE = "deadline"
REASON_NO_REPLICA = "no_replica"


@service(
    "queries",
    requires=("calls", "configuration", "snapshots", "inventory"),
)
class Queries:
    """Runs queries, each in its caller's thread."""

    __slots__ = ("_kernel", "_calls", "_configuration", "_snapshots", "_inventory")

    def __init__(self, *, kernel: Kernel):
        self._kernel = kernel
        self._calls = kernel.find("calls", Calls)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._snapshots = kernel.find("snapshots", Snapshots)
        self._inventory = kernel.find("inventory", Inventory)

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the API waits for its requests."""

    def stop(self) -> None:
        """Nothing to stop."""

    def run(self, query: Query) -> Result[Answer, Refusal]:
        """Answers a query within its deadline, from one index version."""
        configuration = self._configuration.get_current()
        if configuration is None:
            return Err(
                Refusal(
                    code="not_ready",
                    message="no configuration is known yet",
                    run_state=RunState.NOT_RUN,
                    step="queries.run",
                )
            )
        match resolve(configuration=configuration, traffic=query.traffic):
            case Err(refusal):
                return Err(refusal)
            case Ok(route):
                pass
        match self._snapshots.pin(route.index):
            case Err(refusal):
                return Err(refusal)
            case Ok(snapshot):
                run = QueryRun(
                    query=query,
                    route=route,
                    snapshot=snapshot,
                    calls=self._calls,
                    inventory=self._inventory,
                    clock=self._kernel.clock,
                )
                return Ok(run.gather())


class QueryRun:
    """One query's sub-requests, from fan-out to merge, in the caller's thread."""

    __slots__ = (
        "_query",
        "_route",
        "_snapshot",
        "_calls",
        "_inventory",
        "_clock",
        "_inbox",
        "_hits",
        "_missing",
        "_waiting",
        "_tried",
    )

    def __init__(
        self,
        *,
        query: Query,
        route: Route,
        snapshot: Snapshot,
        calls: Calls,
        inventory: Inventory,
        clock: Clock,
    ):
        self._query = query
        self._route = route
        self._snapshot = snapshot
        self._calls = calls
        self._inventory = inventory
        self._clock = clock
        self._inbox = Inbox(clock=clock)
        self._hits: dict[str, list] = {}
        self._missing: dict[str, str] = {}
        self._waiting: dict[str, str] = {}
        self._tried: dict[str, set[str]] = {shard: set() for shard in snapshot.shards}

    def gather(self) -> Answer:
        """Returns what the pinned version's shards gave within the deadline."""
        for shard in self._snapshot.shards:
            self._send(shard)
        while self._waiting and self._clock.now_ms() < self._query.deadline_ms:
            for outcome in self._inbox.take(self._query.deadline_ms):
                self._handle_outcome(outcome)
        for subrequest_id, shard in self._waiting.items():
            self._calls.forget(subrequest_id)
            self._missing[shard] = REASON_DEADLINE
        return self._create_answer()

    def _handle_outcome(self, outcome: SubrequestOutcome) -> None:
        shard = self._waiting.pop(outcome.id)
        match outcome:
            case SubrequestCompleted(version=version, shard=named, reply=reply) if (
                version == self._snapshot.version and named == shard
            ):
                self._hits[shard] = reply.get("hits", [])
            case _:
                self._send(shard)

    def _send(self, shard: str) -> None:
        replicas = self._inventory.list_replicas(
            groups=self._route.groups, service_name=self._snapshot.shards[shard]
        )
        chosen = choose_replica(
            replicas=replicas,
            tried=self._tried[shard],
            in_flight=self._calls.in_flight,
            request_id=self._query.request_id,
        )
        if chosen is None:
            self._missing[shard] = REASON_NO_REPLICA
            return
        self._tried[shard].add(chosen.name)
        subrequest = Subrequest(
            id=self._calls.create_id("s"),
            request_id=self._query.request_id,
            upstream=chosen.name,
            rank=self._query.traffic.rank,
            remaining_ms=self._query.deadline_ms - self._clock.now_ms(),
            index=self._snapshot.index,
            version=self._snapshot.version,
            shard=shard,
            body=self._query.terms,
        )
        journal.record_decision(
            "routing.replica",
            chosen=chosen.name,
            among=[replica.name for replica in replicas],
            reason="fewest in flight",
            request_id=self._query.request_id,
            shard=shard,
        )
        self._waiting[subrequest.id] = shard
        self._calls.send(subrequest=subrequest, upstream=chosen, inbox=self._inbox)

    def _create_answer(self) -> Answer:
        return Answer(
            request_id=self._query.request_id,
            index=self._snapshot.index,
            version=self._snapshot.version,
            shards_total=len(self._snapshot.shards),
            covered=tuple(sorted(self._hits)),
            missing=tuple(
                MissingShard(shard=shard, reason=reason)
                for shard, reason in sorted(self._missing.items())
            ),
            hits=self._hits,
        )
