"""Counts the requests of workspaces by outcome, and those refused for their key."""

from gooseberrymux import metrics
from gooseberrymux.api_keys import CODE_UNKNOWN_KEY
from gooseberrymux.forwarding import CallerLeft, Forwarded, Merged, Refused, Result
from gooseberrymux.records import Refusal, RunState
from gooseberrymux.routes import Workspace

OUTCOME_ANSWERED = "answered"
OUTCOME_FAILED = "failed"
OUTCOME_LEFT = "left"
OUTCOME_REFUSED = "refused"


def count_result(workspace: Workspace | None, result: Result) -> None:
    """Counts a request that was forwarded; one without a workspace is not counted."""
    if workspace is not None:
        metrics.workspace_requests_total.increment(
            metrics.workspace_label.limit(workspace.name), classify_result(result)
        )


def count_refusal(workspace: Workspace | None, refusal: Refusal) -> None:
    """Counts a request that was refused before it was forwarded."""
    if refusal.code == CODE_UNKNOWN_KEY:
        metrics.key_refusals_total.inc({})
    count_result(workspace, Refused(refusal=refusal))


def classify_result(result: Result) -> str:
    """Returns the outcome to count; `refused` only if nothing has run."""
    match result:
        case CallerLeft():
            return OUTCOME_LEFT
        case Refused(refusal=Refusal(run_state=RunState.NOT_RUN)):
            return OUTCOME_REFUSED
        case Forwarded(reply=reply) if not reply.is_server_error:
            return OUTCOME_ANSWERED
        case Merged():
            return OUTCOME_ANSWERED
        case _:
            return OUTCOME_FAILED
