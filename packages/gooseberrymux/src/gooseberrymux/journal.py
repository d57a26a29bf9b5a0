"""Structured log: one JSON line, by eliot, for each decision, event and fault."""

import sys
from collections.abc import Sequence

import eliot

from gooseberrymux.clock import Clock
from gooseberrymux.errors import MuxError
from gooseberrymux.log_writer import LogWriter


def open_journal(*, instance: str, clock: Clock) -> LogWriter:
    """Starts a writer of JSON log lines to standard output and returns it."""
    writer = LogWriter(clock=clock, descriptor=sys.stdout.fileno())
    writer.start()
    eliot.add_global_fields(instance=instance)
    eliot.add_destinations(writer.enqueue)
    return writer


def record_event(event: str, **fields: object) -> None:
    """Logs one line for an event such as `instance.started`."""
    eliot.log_message(message_type=event, **fields)


def record_decision(
    decision: str,
    *,
    chosen: object,
    among: Sequence[object],
    reason: str,
    request_id: str = "",
    **fields: object,
) -> None:
    """Logs one line for a routing or placement decision.

    Args:
        decision: What was decided, for example `routing.replica`.
        chosen: The chosen candidate.
        among: The candidates.
        reason: Why the candidate was chosen, in a few words.
        request_id: The request that the decision belongs to; the same on all
            instances.
        **fields: Further fields of the line.
    """
    eliot.log_message(
        message_type=decision,
        chosen=chosen,
        among=list(among),
        reason=reason,
        request_id=request_id,
        **fields,
    )


def record_fault(*, step: str, peer: str, error: Exception, **fields: object) -> None:
    """Logs one line for a fault, with the step and peer at which it occurred.

    The step of a `MuxError`, and its peer if it has one, replace the arguments.
    """
    if isinstance(error, MuxError):
        step = error.step
        peer = error.peer or peer
    eliot.log_message(
        message_type="fault",
        step=step,
        peer=peer,
        error=type(error).__name__,
        message=str(error),
        **fields,
    )
