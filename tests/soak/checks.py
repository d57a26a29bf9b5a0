"""The promises, checked on what callers and upstreams of a soak have seen."""

import json

from soak.instances import STOP_GRACE_S, SupervisedInstance
from soak.record import (
    ConnectionClosed,
    Record,
    Request,
    ResponseReceived,
    ResponseTimedOut,
    UpstreamRequest,
)
from soak.upstreams import create_proof, create_records
from soak.world import LOOKUP, MINIMUM_SHARE, SEARCH, SUBMIT, TOP

# A machine counts as in touch again so long after a disturbance.
CONTACT_MS = 4_000.0
APPLY_MS = 3_000.0
DRAIN_BOUND_MS = 3_000.0
BUDGET_SHARE = 0.2
BUDGET_SLACK = 54
BUDGET_WINDOW_MS = 10_000.0
RECOVERED_SHARE = 0.9
# The last part of a run, in which no fault is in force.
RECOVERY_FROM_MS = 5_000.0
RECOVERY_UNTIL_MS = 1_500.0
# A graceful stop, one cut short, a kill, a stop before the handlers are in place.
EXPECTED_CODES = (0, 1, -9, -15)
MOST_ATTEMPTS = 2
ATTEMPTS_EXCUSED = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)
KEPT_PATHS = (SEARCH, LOOKUP, "/fetch/", SUBMIT)
# Faults of the program itself; others stand for what the soak does to it.
OWN_FAULTS = (
    "thread.",
    "event.",
    "peers.handle",
    "front.handle",
    "timers.call",
    "connections.read",
    "web.handle",
)


def check_all(
    record: Record,
    entries: list[SupervisedInstance],
    codes: dict[str, int],
    *,
    end_ms: float,
) -> list[str]:
    """Returns a line for each promise that was broken."""
    runs: dict[str, list[UpstreamRequest]] = {}
    for run in record.upstream_requests:
        runs.setdefault(run.request_id, []).append(run)
    return [
        *check_answers(record, runs),
        *check_runs(record, runs),
        *check_attempts(record, runs),
        *check_drained(record),
        *check_versions(record, runs),
        *check_cuts(record),
        *check_budget(record),
        *check_recovery(record, end_ms),
        *check_processes(record, entries, codes),
    ]


def get_prefix(path: str) -> str:
    """Returns the route's prefix of a path."""
    return path[: path.index("/", 1) + 1]


def check_answers(record: Record, runs: dict[str, list[UpstreamRequest]]) -> list[str]:
    """Checks that each answer is whole, true and of its own request."""
    problems = []
    for request in record.requests:
        match request.outcome:
            case ResponseReceived(status=200):
                prefix = get_prefix(request.path)
                is_merged = prefix in (SEARCH, LOOKUP)
                check = check_merged if is_merged else check_single
                problem = check(record, request, runs.get(request.id, []))
                if problem:
                    problems.append(f"answer of {request.id} {request.path}: {problem}")
            case ResponseReceived(status=status) if status in (401, 403, 404):
                if get_prefix(request.path) in KEPT_PATHS:
                    problems.append(f"{request.id} {request.path}: denied by {status}")
            case None:
                problems.append(f"{request.id}: never ended")
    return problems


def check_merged(
    record: Record, request: Request, runs: list[UpstreamRequest]
) -> str | None:
    """Returns what is wrong with a merged answer, or None."""
    assert isinstance(request.outcome, ResponseReceived)
    headers = request.outcome.headers
    proofs = [p.strip() for p in headers.get("x-part-stamps", "").split(",") if p]
    missing = int(headers.get("x-missing-parts", "0"))
    real = {
        create_proof(run.request_id, run.service, run.upstream): run.service
        for run in runs
        if run.is_executed
    }
    if not proofs or not set(proofs) <= real.keys():
        return f"proofs {proofs} of no run"
    services = [real[proof] for proof in proofs]
    if len(set(services)) < len(services):
        return f"a shard twice: {services}"
    prefix = get_prefix(request.path)
    for version in record.versions:
        named = version.services.get(prefix, ())
        if set(services) <= set(named) and len(services) + missing == len(named):
            break
    else:
        return f"shards {services} and {missing} missing are of no version"
    if len(services) < MINIMUM_SHARE * len(named):
        return "below its minimum share"
    records = sorted(
        (r for service in services for r in create_records(request.id, service)),
        reverse=True,
    )
    if request.outcome.body != b"".join(records[:TOP]):
        return "not the greatest records of its parts"
    return None


def check_single(
    record: Record, request: Request, runs: list[UpstreamRequest]
) -> str | None:
    """Returns what is wrong with one upstream's answer, or None."""
    assert isinstance(request.outcome, ResponseReceived)
    proof = request.outcome.headers.get("x-response-stamp", "")
    for run in runs:
        if run.is_executed and proof == create_proof(
            request.id, run.service, run.upstream
        ):
            break
    else:
        return f"proof {proof!r} of no run"
    if request.outcome.body != b"".join(create_records(request.id, run.service)):
        return "not the upstream's body"
    prefix = get_prefix(request.path)
    if not any(run.service in v.services.get(prefix, ()) for v in record.versions):
        return f"service {run.service} is of no version"
    return None


def check_runs(record: Record, runs: dict[str, list[UpstreamRequest]]) -> list[str]:
    """Checks what ran: nothing unasked or changed, no order twice, refusals true."""
    problems = []
    requests = {request.id: request for request in record.requests}
    for request_id, found in runs.items():
        request = requests.get(request_id)
        if request is None:
            problems.append(f"unasked request {request_id!r} at {found[0].upstream}")
            continue
        asked = (request.method, request.path, request.body)
        if any((run.method, run.path, run.body) != asked for run in found):
            problems.append(f"{request_id}: changed on its way")
        ran = [run for run in found if run.is_executed]
        if request.method == "POST" and len(ran) > 1:
            problems.append(f"{request_id}: ran at {[run.upstream for run in ran]}")
        match request.outcome:
            case ResponseReceived(status=status) if status in NOT_RUN_STATUSES and ran:
                problems.append(f"{request_id}: status {status}, but it ran")
    return problems


def check_attempts(record: Record, runs: dict[str, list[UpstreamRequest]]) -> list[str]:
    """Checks on how many upstreams of one service a request ran."""
    over = []
    for request_id, found in runs.items():
        pairs = {(run.service, run.upstream) for run in found if run.is_executed}
        services = [service for service, _ in pairs]
        most = max((services.count(name) for name in services), default=0)
        if most > MOST_ATTEMPTS:
            over.append(f"{request_id} on {most}")
    # An owner that is lost leaves open how many upstreams it has used.
    if len(over) > ATTEMPTS_EXCUSED:
        return [f"{len(over)} requests ran on too many upstreams: {over[:10]}"]
    return []


def check_drained(record: Record) -> list[str]:
    """Checks that an upstream that leaves gets nothing more after a while."""
    problems = []
    for drained in record.upstream_drains:
        due_ms = drained.acked_ms + DRAIN_BOUND_MS
        for run in record.upstream_requests:
            if run.upstream != drained.upstream or run.at_ms < due_ms:
                continue
            if record.is_fault_free(drained.acked_ms - CONTACT_MS, run.at_ms):
                late_ms = run.at_ms - drained.acked_ms
                problems.append(
                    f"{run.request_id} at {run.upstream} {late_ms:.0f} ms after it left"
                )
    return problems


def check_versions(record: Record, runs: dict[str, list[UpstreamRequest]]) -> list[str]:
    """Checks that requests are handled by a version that may be in force."""
    problems = []
    for request in record.requests:
        due = [v for v in record.versions if v.acked_ms + APPLY_MS <= request.sent_ms]
        since_ms = request.sent_ms - APPLY_MS - CONTACT_MS
        if not due or not record.is_fault_free(since_ms, request.ended_ms):
            continue
        prefix = get_prefix(request.path)
        current = [
            version
            for version in record.versions
            if version.number >= due[-1].number and version.acked_ms <= request.ended_ms
        ]
        allowed = {name for v in current for name in v.services.get(prefix, ())}
        for run in runs.get(request.id, []):
            if run.is_executed and run.service not in allowed:
                problems.append(f"{request.id} {request.path}: ran at {run.service}")
        match request.outcome:
            case ResponseReceived(status=404) if all(
                prefix in v.services for v in current
            ):
                problems.append(f"{request.id} {request.path}: 404 of an old version")
    return problems


def check_cuts(record: Record) -> list[str]:
    """Checks that planned work cuts nothing and that every request is answered."""
    problems = []
    for request in record.requests:
        match request.outcome:
            case ConnectionClosed(is_request_sent=True) | ResponseTimedOut():
                pass
            case _:
                continue
        from_ms = request.sent_ms - CONTACT_MS
        if record.is_fault_free(from_ms, request.ended_ms, ignore_planned=True):
            problems.append(
                f"{request.id} {request.path} at {request.instance}: {request.outcome}"
            )
    return problems


def check_budget(record: Record) -> list[str]:
    """Checks the extra sends to each service in every window."""
    problems = []
    arrivals: dict[str, list[UpstreamRequest]] = {}
    for run in sorted(record.upstream_requests, key=lambda run: run.at_ms):
        arrivals.setdefault(run.service, []).append(run)
    for service, found in arrivals.items():
        seen: set[str] = set()
        firsts, extras = [], []
        for run in found:
            (extras if run.request_id in seen else firsts).append(run.at_ms)
            seen.add(run.request_id)
            from_ms = run.at_ms - BUDGET_WINDOW_MS
            extra = sum(at_ms > from_ms for at_ms in extras)
            first = sum(at_ms > from_ms for at_ms in firsts)
            if extra > BUDGET_SHARE * first + BUDGET_SLACK:
                problems.append(f"{service}: {extra} extra sends beside {first}")
                break
    return problems


def check_recovery(record: Record, end_ms: float) -> list[str]:
    """Checks that all is served again once the faults are over."""
    last = [
        request
        for request in record.requests
        if end_ms - RECOVERY_FROM_MS < request.sent_ms < end_ms - RECOVERY_UNTIL_MS
    ]
    served = 0
    for request in last:
        match request.outcome:
            case ResponseReceived(status=200):
                served += 1
    if not last or served < RECOVERED_SHARE * len(last):
        return [f"{served} of {len(last)} requests served at the end"]
    return []


def check_processes(
    record: Record, entries: list[SupervisedInstance], codes: dict[str, int]
) -> list[str]:
    """Checks exit codes, grace times and the logs of the instances."""
    problems = [f"{name}: exit code {code}" for name, code in codes.items() if code]
    for entry in entries:
        for lifetime, code in entry.exits:
            if code not in EXPECTED_CODES:
                problems.append(f"{entry.name}: lifetime {lifetime} ended with {code}")
        for fault in record.fault_windows:
            if fault.instance != entry.name or not fault.fault.startswith(
                "StopInstance"
            ):
                continue
            until_ms = fault.from_ms + STOP_GRACE_S * 1_000
            calm = record.is_fault_free(
                fault.from_ms - CONTACT_MS, until_ms, ignore_planned=True
            )
            if calm and entry.exceeded_grace:
                problems.append(f"{entry.name}: still there after its grace time")
        for line in entry.log_path.read_text(errors="replace").splitlines():
            if problem := find_own_fault(line):
                problems.append(f"{entry.name}: {problem}")
    return problems


def find_own_fault(line: str) -> str | None:
    """Returns what a log line says of a fault of the program itself, or None."""
    try:
        fields = json.loads(line)
    except ValueError:
        return line if "Traceback" in line else None
    step = str(fields.get("step", "")) if isinstance(fields, dict) else ""
    return line[:400] if step.startswith(OWN_FAULTS) else None
