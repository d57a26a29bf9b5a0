"""Runs queries: pins an index version, restarts on a newer one, checks the coverage."""

from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.admission import Admission
from gooseberrymux.budgets import Budgets
from gooseberrymux.calls import Calls
from gooseberrymux.configuration import ConfigurationService
from gooseberrymux.gather import QueryServices, ScatterGather
from gooseberrymux.inventory import Inventory
from gooseberrymux.kernel import Kernel, service
from gooseberrymux.latency import Latencies, create_hedge_policy
from gooseberrymux.records import Answer, Query, Refusal, RunState
from gooseberrymux.routing import Routing
from gooseberrymux.selectors import Route, resolve
from gooseberrymux.shards import GatherResult, VersionReplaced
from gooseberrymux.snapshots import Snapshot, Snapshots


@service(
    "queries",
    requires=(
        "calls",
        "configuration",
        "snapshots",
        "inventory",
        "routing",
        "admission",
    ),
)
class Queries:
    """Runs queries, each in the thread that handles the caller's request."""

    __slots__ = ("_kernel", "_configuration", "_snapshots", "_services")

    def __init__(self, *, kernel: Kernel):
        settings = kernel.settings
        self._kernel = kernel
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._snapshots = kernel.find("snapshots", Snapshots)
        self._services = QueryServices(
            calls=kernel.find("calls", Calls),
            inventory=kernel.find("inventory", Inventory),
            routing=kernel.find("routing", Routing),
            snapshots=self._snapshots,
            budgets=Budgets(settings=settings.ranks),
            latencies=Latencies(policy=create_hedge_policy(settings)),
            admission=kernel.find("admission", Admission),
            clock=kernel.clock,
            cancel_losers=settings.policy.cancel_losers,
        )

    def start(self) -> None:
        """Nothing to start."""

    def drain(self, deadline_ms: float) -> None:
        """Nothing to drain: the API waits for the requests in progress."""

    def stop(self) -> None:
        """Nothing to stop."""

    def run(self, query: Query) -> Result[Answer, Refusal]:
        """Answers a query within its deadline, with hits of one index version only."""
        if self._kernel.clock.now_ms() >= query.deadline_ms:
            return Err(
                Refusal(
                    code="deadline_expired",
                    message="the deadline had passed before the query was started",
                    run_state=RunState.NOT_RUN,
                    step="queries.run",
                )
            )
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
                return self._answer(query, route, snapshot)

    def _answer(
        self, query: Query, route: Route, snapshot: Snapshot
    ) -> Result[Answer, Refusal]:
        may_have_run = False
        while True:
            scatter_gather = ScatterGather(
                query=query, route=route, snapshot=snapshot, services=self._services
            )
            gather_result = scatter_gather.run()
            may_have_run = may_have_run or scatter_gather.may_have_run
            match gather_result:
                case VersionReplaced(newer=newer):
                    # Each restart is on a newer version, so none is tried twice.
                    journal.record_decision(
                        "queries.restart",
                        chosen=newer.version,
                        among=[snapshot.version, newer.version],
                        reason="the pinned version is gone",
                        request_id=query.request_id,
                    )
                    snapshot = newer
                case GatherResult():
                    return check_coverage(
                        answer=create_answer(query, gather_result),
                        query=query,
                        may_have_run=may_have_run,
                    )


def create_answer(query: Query, gather_result: GatherResult) -> Answer:
    """Returns the answer, which names the covered and the missing shards."""
    return Answer(
        request_id=query.request_id,
        index=gather_result.snapshot.index,
        version=gather_result.snapshot.version,
        shards_total=len(gather_result.snapshot.shards),
        covered=tuple(sorted(gather_result.hits)),
        missing=gather_result.missing,
        hits=gather_result.hits,
    )


def check_coverage(
    *, answer: Answer, query: Query, may_have_run: bool
) -> Result[Answer, Refusal]:
    """Returns the answer, or a refusal if its coverage is below the caller's minimum.

    The run state of the refusal is `NOT_RUN` only if no upstream can have run any part
    of the query.
    """
    if answer.coverage >= query.minimum_coverage:
        return Ok(answer)
    missing = ", ".join(f"{m.shard} ({m.reason})" for m in answer.missing)
    return Err(
        Refusal(
            code="coverage_below_minimum",
            message=f"covered {len(answer.covered)} of {answer.shards_total} shards "
            f"of version {answer.version}, missing {missing}",
            run_state=RunState.UNKNOWN if may_have_run else RunState.NOT_RUN,
            step="queries.merge",
        )
    )
