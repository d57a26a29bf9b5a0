"""Checks the guarantees of the query tier on what a soak test recorded."""

import json

from soak.cluster import LOOKUP, MINIMUM_SHARE, SEARCH, SUBMIT, TOP_K
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

# An instance may need this long after a disturbance to reach the store and its peers.
INSTANCE_RECONNECT_MS = 4_000.0
CONFIG_APPLY_BOUND_MS = 3_000.0
DRAIN_BOUND_MS = 3_000.0
# Requests within a window of 4 s, in multiples of a rate limit and beyond that.
LIMIT_WINDOW_MS = 4_000.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
REPEATED_SEND_SHARE = 0.2
REPEATED_SEND_SLACK = 54
REPEATED_SEND_WINDOW_MS = 10_000.0
MIN_RECOVERED_SHARE = 0.9
# Distances from the end of the run; no fault is active between them.
RECOVERY_START_BEFORE_END_MS = 5_000.0
RECOVERY_STOP_BEFORE_END_MS = 1_500.0
# Graceful stop, interrupted graceful stop, SIGKILL, and SIGTERM before the signal
# handlers are installed.
KILLED_EXIT_CODE = -9
EXPECTED_EXIT_CODES = (0, 1, -9, -15)
MAX_UPSTREAMS_PER_SERVICE = 2
MAX_REQUESTS_OVER_LIMIT = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)
PERMANENT_PREFIXES = (SEARCH, LOOKUP, "/fetch/", SUBMIT)
# Prefixes of log steps that report a fault of the program itself. Other steps report
# effects of the faults that the soak test injects.
INTERNAL_FAULT_STEPS = (
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
    """Returns a line for each guarantee that was violated."""
    runs: dict[str, list[UpstreamRequest]] = {}
    for run in record.upstream_requests:
        runs.setdefault(run.request_id, []).append(run)
    return [
        *check_answers(record, runs),
        *check_runs(record, runs),
        *check_attempts(record, runs),
        *check_drained(record),
        *check_rate_limits(record),
        *check_versions(record, runs),
        *check_interruptions(record, entries),
        *check_repeated_sends(record),
        *check_recovery(record, end_ms),
        *check_processes(record, entries, codes),
    ]


def extract_path_prefix(path: str) -> str:
    """Returns the first segment of a path, which is the path prefix of its route."""
    return path[: path.index("/", 1) + 1]


def check_answers(record: Record, runs: dict[str, list[UpstreamRequest]]) -> list[str]:
    """Checks that each response is complete, correct and belongs to its request."""
    problems = []
    for request in record.requests:
        match request.outcome:
            case ResponseReceived(status=200):
                prefix = extract_path_prefix(request.path)
                is_merged = prefix in (SEARCH, LOOKUP)
                check = check_merged if is_merged else check_single
                problem = check(record, request, runs.get(request.id, []))
                if problem:
                    problems.append(
                        f"response to {request.id} {request.path}: {problem}"
                    )
            case ResponseReceived(status=status) if status in (401, 403, 404):
                if extract_path_prefix(request.path) in PERMANENT_PREFIXES:
                    problems.append(
                        f"{request.id} {request.path}: rejected with {status}"
                    )
            case None:
                problems.append(f"{request.id}: no outcome recorded")
    return problems


def check_merged(
    record: Record, request: Request, runs: list[UpstreamRequest]
) -> str | None:
    """Returns what is wrong with a response merged from shards, or None."""
    assert isinstance(request.outcome, ResponseReceived)
    headers = request.outcome.headers
    proofs = [p.strip() for p in headers.get("x-part-stamps", "").split(",") if p]
    missing = int(headers.get("x-missing-parts", "0"))
    executed_services = {
        create_proof(run.request_id, run.service, run.upstream): run.service
        for run in runs
        if run.is_executed
    }
    if not proofs or not set(proofs) <= executed_services.keys():
        return f"proofs {proofs} match no execution"
    services = [executed_services[proof] for proof in proofs]
    if len(set(services)) < len(services):
        return f"duplicate shard: {services}"
    prefix = extract_path_prefix(request.path)
    for version in record.versions:
        named = version.services.get(prefix, ())
        if set(services) <= set(named) and len(services) + missing == len(named):
            break
    else:
        return f"shards {services} with {missing} missing match no version"
    if len(services) < MINIMUM_SHARE * len(named):
        return "fewer shards than the minimum success share"
    records = sorted(
        (r for service in services for r in create_records(request.id, service)),
        reverse=True,
    )
    if request.outcome.body != b"".join(records[:TOP_K]):
        return "body is not the top records of its shards"
    return None


def check_single(
    record: Record, request: Request, runs: list[UpstreamRequest]
) -> str | None:
    """Returns what is wrong with a response from a single upstream, or None."""
    assert isinstance(request.outcome, ResponseReceived)
    proof = request.outcome.headers.get("x-response-stamp", "")
    for run in runs:
        if run.is_executed and proof == create_proof(
            request.id, run.service, run.upstream
        ):
            break
    else:
        return f"proof {proof!r} matches no execution"
    if request.outcome.body != b"".join(create_records(request.id, run.service)):
        return "body differs from the upstream's reply"
    prefix = extract_path_prefix(request.path)
    if not any(run.service in v.services.get(prefix, ()) for v in record.versions):
        return f"service {run.service} is in no version"
    return None


def check_runs(record: Record, runs: dict[str, list[UpstreamRequest]]) -> list[str]:
    """Checks what the upstreams executed.

    They receive only requests that a caller sent, unmodified, and execute a POST at
    most once. A request with a status in `NOT_RUN_STATUSES` was not executed.
    """
    problems = []
    requests = {request.id: request for request in record.requests}
    for request_id, found in runs.items():
        request = requests.get(request_id)
        if request is None:
            problems.append(
                f"request {request_id!r}, which no caller sent, at {found[0].upstream}"
            )
            continue
        expected = (request.method, request.path, request.body)
        if any((run.method, run.path, run.body) != expected for run in found):
            problems.append(f"{request_id}: modified in transit")
        ran = [run for run in found if run.is_executed]
        if request.method == "POST" and len(ran) > 1:
            problems.append(
                f"{request_id}: executed at {[run.upstream for run in ran]}"
            )
        match request.outcome:
            case ResponseReceived(status=status) if status in NOT_RUN_STATUSES and ran:
                problems.append(f"{request_id}: status {status}, but was executed")
    return problems


def check_attempts(record: Record, runs: dict[str, list[UpstreamRequest]]) -> list[str]:
    """Checks that few requests ran on more upstreams of a service than allowed."""
    over_limit = []
    for request_id, found in runs.items():
        pairs = {(run.service, run.upstream) for run in found if run.is_executed}
        services = [service for service, _ in pairs]
        upstream_count = max((services.count(name) for name in services), default=0)
        if upstream_count > MAX_UPSTREAMS_PER_SERVICE:
            over_limit.append(f"{request_id} on {upstream_count}")
    # When the instance that owns a request is lost, it is unknown how many upstreams
    # that instance has used, so a few requests may exceed the limit.
    if len(over_limit) > MAX_REQUESTS_OVER_LIMIT:
        return [
            f"{len(over_limit)} requests exceeded the upstream limit: {over_limit[:10]}"
        ]
    return []


def check_drained(record: Record) -> list[str]:
    """Checks that a draining upstream gets no request after `DRAIN_BOUND_MS`."""
    problems = []
    for drained in record.upstream_drains:
        due_ms = drained.acked_ms + DRAIN_BOUND_MS
        for run in record.upstream_requests:
            if run.upstream != drained.upstream or run.at_ms < due_ms:
                continue
            if record.is_fault_free(
                drained.acked_ms - INSTANCE_RECONNECT_MS, run.at_ms
            ):
                late_ms = run.at_ms - drained.acked_ms
                problems.append(
                    f"{run.request_id} at {run.upstream} {late_ms:.0f} ms after drain"
                )
    return problems


def check_rate_limits(record: Record) -> list[str]:
    """Checks that an upstream gets no more than the rate that it names allows.

    Instances that were restarted, frozen or cut off may exceed it for a time.
    """
    problems = []
    for period in record.limit_periods:
        arrivals = sorted(
            run.at_ms
            for run in record.upstream_requests
            if run.upstream == period.upstream
        )
        allowed = (
            LIMIT_FACTOR * period.rate_per_s * LIMIT_WINDOW_MS / 1_000 + LIMIT_SLACK
        )
        first_ms = period.from_ms + INSTANCE_RECONNECT_MS
        for from_ms in arrivals:
            until_ms = from_ms + LIMIT_WINDOW_MS
            if from_ms < first_ms or until_ms > period.until_ms:
                continue
            count = sum(from_ms <= at_ms < until_ms for at_ms in arrivals)
            if count > allowed and not record.is_instance_disturbed(
                from_ms - INSTANCE_RECONNECT_MS, until_ms
            ):
                problems.append(
                    f"{period.upstream}: {count} requests in 4 s at a limit of "
                    f"{period.rate_per_s:.1f} a second, allowed {allowed:.0f}"
                )
                break
    return problems


def check_versions(record: Record, runs: dict[str, list[UpstreamRequest]]) -> list[str]:
    """Checks that requests are handled by a version that may still be active.

    A version may be active until `CONFIG_APPLY_BOUND_MS` after a later one was
    acknowledged.
    """
    problems = []
    for request in record.requests:
        due = [
            v
            for v in record.versions
            if v.acked_ms + CONFIG_APPLY_BOUND_MS <= request.sent_ms
        ]
        since_ms = request.sent_ms - CONFIG_APPLY_BOUND_MS - INSTANCE_RECONNECT_MS
        if not due or not record.is_fault_free(since_ms, request.ended_ms):
            continue
        prefix = extract_path_prefix(request.path)
        current = [
            version
            for version in record.versions
            if version.number >= due[-1].number and version.acked_ms <= request.ended_ms
        ]
        allowed = {name for v in current for name in v.services.get(prefix, ())}
        for run in runs.get(request.id, []):
            if run.is_executed and run.service not in allowed:
                problems.append(
                    f"{request.id} {request.path}: executed at {run.service}"
                )
        match request.outcome:
            case ResponseReceived(status=404) if all(
                prefix in v.services for v in current
            ):
                problems.append(
                    f"{request.id} {request.path}: 404 from an outdated version"
                )
    return problems


def check_interruptions(record: Record, entries: list[SupervisedInstance]) -> list[str]:
    """Checks that planned work interrupts no request and each one gets a response.

    A request on a kept connection to a process that was killed before is no
    interruption: nothing was there to read it.
    """
    killed_ms = {
        (entry.name, found.lifetime): found.at_ms
        for entry in entries
        for found in entry.exits
        if found.code == KILLED_EXIT_CODE
    }
    problems = []
    for request in record.requests:
        match request.outcome:
            case ConnectionClosed(is_request_sent=True) | ResponseTimedOut():
                pass
            case _:
                continue
        process = (request.instance, request.lifetime)
        if killed_ms.get(process, float("inf")) < request.sent_ms:
            continue
        from_ms = request.sent_ms - INSTANCE_RECONNECT_MS
        if record.is_fault_free(from_ms, request.ended_ms, ignore_planned=True):
            problems.append(
                f"{request.id} {request.path} at {request.instance}: {request.outcome}"
            )
    return problems


def check_repeated_sends(record: Record) -> list[str]:
    """Checks the limit on repeated sends to each service over a sliding window."""
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
            from_ms = run.at_ms - REPEATED_SEND_WINDOW_MS
            extra = sum(at_ms > from_ms for at_ms in extras)
            first = sum(at_ms > from_ms for at_ms in firsts)
            if extra > REPEATED_SEND_SHARE * first + REPEATED_SEND_SLACK:
                problems.append(
                    f"{service}: {extra} repeated sends for {first} first sends"
                )
                break
    return problems


def check_recovery(record: Record, end_ms: float) -> list[str]:
    """Checks that requests succeed again after the last fault has ended."""
    recent_requests = [
        request
        for request in record.requests
        if end_ms - RECOVERY_START_BEFORE_END_MS
        < request.sent_ms
        < end_ms - RECOVERY_STOP_BEFORE_END_MS
    ]
    served = 0
    for request in recent_requests:
        match request.outcome:
            case ResponseReceived(status=200):
                served += 1
    if not recent_requests or served < MIN_RECOVERED_SHARE * len(recent_requests):
        return [f"{served} of {len(recent_requests)} requests succeeded at the end"]
    return []


def check_processes(
    record: Record, entries: list[SupervisedInstance], codes: dict[str, int]
) -> list[str]:
    """Checks exit codes, shutdown grace periods and logs of the instances."""
    problems = [f"{name}: exit code {code}" for name, code in codes.items() if code]
    for entry in entries:
        for found in entry.exits:
            if found.code not in EXPECTED_EXIT_CODES:
                problems.append(
                    f"{entry.name}: lifetime {found.lifetime} exited with code "
                    f"{found.code}"
                )
        for fault in record.fault_windows:
            if fault.instance != entry.name or not fault.fault.startswith(
                "StopInstance"
            ):
                continue
            until_ms = fault.from_ms + STOP_GRACE_S * 1_000
            calm = record.is_fault_free(
                fault.from_ms - INSTANCE_RECONNECT_MS, until_ms, ignore_planned=True
            )
            if calm and entry.exceeded_grace:
                problems.append(
                    f"{entry.name}: still running after its shutdown grace period"
                )
        for line in entry.log_path.read_text(errors="replace").splitlines():
            if problem := find_internal_fault(line):
                problems.append(f"{entry.name}: {problem}")
    return problems


def find_internal_fault(line: str) -> str | None:
    """Returns the log line, shortened, if it reports an internal fault, else None."""
    try:
        fields = json.loads(line)
    except ValueError:
        return line if "Traceback" in line else None
    step = str(fields.get("step", "")) if isinstance(fields, dict) else ""
    return line[:400] if step.startswith(INTERNAL_FAULT_STEPS) else None
