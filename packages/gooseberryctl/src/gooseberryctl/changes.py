"""Reads the configuration, proposes changes and reports their outcomes."""

import uuid6
import yaml

from gooseberryctl.client import (
    Accepted,
    ChangeOutcome,
    Client,
    ClientError,
    Conflict,
    Denied,
    Edit,
    Invalid,
    Unavailable,
    parse_outcome,
)
from gooseberryctl.files import ConfigurationFile, describe_problem, index_objects
from gooseberryctl.generations import wait_for_generation
from gooseberryctl.output import Printer
from gooseberrymux.clock import Clock

# Exit codes of the command line.
EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_DENIED = 4
EXIT_NOT_IN_FORCE = 5
EXIT_UNKNOWN = 6


class Session:
    """Client, clock and printer that one invocation of the command line uses."""

    __slots__ = ("client", "clock", "printer")

    def __init__(self, *, client: Client, clock: Clock, printer: Printer):
        self.client = client
        self.clock = clock
        self.printer = printer

    def read_configuration(self) -> dict:
        """Returns the configuration in force on the server that answers."""
        return self.client.get("/v1/configuration")

    def find_object(self, configuration: dict, kind: str, name: str) -> dict | None:
        """Returns a shallow copy of an object of a configuration, or None."""
        found = index_objects(configuration).get((kind, name))
        return None if found is None else dict(found)

    def require_object(self, configuration: dict, kind: str, name: str) -> dict:
        """Returns a shallow copy of an object of a configuration.

        Raises:
            ClientError: The configuration has no such object.
        """
        found = self.find_object(configuration, kind, name)
        if found is None:
            raise ClientError(step="show", message=f"no {kind} named {name!r}")
        return found

    def put_object(
        self,
        configuration: dict,
        *,
        kind: str,
        value: dict,
        wait_ms: float | None,
        allow_unreachable: bool = False,
    ) -> None:
        """Creates or replaces a group or selector, and reports the outcome.

        Args:
            configuration: The configuration that the change is based on.
            kind: group or selector.
            value: All fields of the object.
            wait_ms: Longest wait until the change is in force; None doesn't wait.
            allow_unreachable: Accepts that some traffic is left without an upstream.
        """
        self.propose_edits(
            base_generation=configuration["generation"],
            edits=(Edit(action="put", kind=kind, name=value["name"], value=value),),
            wait_ms=wait_ms,
            allow_unreachable=allow_unreachable,
        )

    def remove_object(
        self, kind: str, name: str, wait_ms: float | None, allow_unreachable: bool
    ) -> None:
        """Removes an object of the configuration in force, and reports the outcome.

        Raises:
            ClientError: The configuration has no such object.
        """
        current = self.read_configuration()
        self.require_object(current, kind, name)
        self.propose_edits(
            base_generation=current["generation"],
            edits=(Edit(action="remove", kind=kind, name=name),),
            wait_ms=wait_ms,
            allow_unreachable=allow_unreachable,
        )

    def propose_edits(
        self,
        *,
        base_generation: int,
        edits: tuple[Edit, ...],
        wait_ms: float | None,
        allow_unreachable: bool = False,
        dry_run: bool = False,
        source: ConfigurationFile | None = None,
    ) -> None:
        """Proposes edits under a new change id and reports the outcome.

        `report_outcome` describes the arguments and the exit codes.
        """
        outcome = self.client.propose_change(
            base_generation=base_generation,
            change_id=str(uuid6.uuid7()),
            edits=edits,
            dry_run=dry_run,
            allow_unreachable=allow_unreachable,
        )
        self.report_outcome(outcome, wait_ms=wait_ms, dry_run=dry_run, source=source)

    def set_drain(
        self, upstream: str, *, draining: bool, wait_ms: float | None
    ) -> None:
        """Starts or ends the drain of an upstream, and reports the outcome."""
        reply = self.client.set_exclusion("drains", upstream, starts=draining)
        self.report_outcome(parse_outcome(reply), wait_ms=wait_ms)

    def set_evacuation(
        self,
        domain: str,
        *,
        evacuated: bool,
        wait_ms: float | None,
        allow_unreachable: bool,
    ) -> None:
        """Starts or ends an evacuation, and reports the outcome."""
        reply = self.client.set_exclusion(
            "evacuations",
            domain,
            starts=evacuated,
            allow_unreachable=allow_unreachable,
        )
        self.report_outcome(parse_outcome(reply), wait_ms=wait_ms)

    def report_outcome(
        self,
        outcome: ChangeOutcome,
        *,
        wait_ms: float | None,
        dry_run: bool = False,
        source: ConfigurationFile | None = None,
    ) -> None:
        """Prints the outcome of a change; exits with an error code unless it succeeded.

        Args:
            outcome: The outcome.
            wait_ms: Longest wait until the change is in force; None doesn't wait.
            dry_run: The change was only validated.
            source: File of the edits; problems are printed with its line numbers.

        Raises:
            SystemExit: The change was not accepted, its outcome is unknown, or it
                was not in force on all instances within `wait_ms`.
        """
        match outcome:
            case Accepted(generation=generation, warnings=warnings):
                for warning in warnings:
                    self.printer.print_message(f"warning: {warning}")
                verb = "would be accepted" if dry_run else "accepted"
                self.printer.print_result(
                    {"generation": generation, "warnings": list(warnings)},
                    text=f"{verb} as generation {generation}",
                )
                if wait_ms is not None and not dry_run:
                    self._wait_until_in_force(generation, wait_ms)
            case Conflict(message=message, theirs=theirs, yours=yours):
                self.printer.print_message(f"conflict: {message}")
                self.printer.print_message(f"in force:\n{render_indented_yaml(theirs)}")
                self.printer.print_message(f"yours:\n{render_indented_yaml(yours)}")
                raise SystemExit(EXIT_CONFLICT)
            case Invalid(problems=problems):
                for problem in problems:
                    self.printer.print_message(
                        source.format_located_problem(problem)
                        if source
                        else describe_problem(problem)
                    )
                raise SystemExit(EXIT_INVALID)
            case Denied(message=message):
                self.printer.print_message(f"denied: {message}")
                raise SystemExit(EXIT_DENIED)
            case Unavailable(message=message, may_have_taken_effect=True):
                self.printer.print_message(
                    f"unknown, the change may be in force: {message}"
                )
                raise SystemExit(EXIT_UNKNOWN)
            case Unavailable(message=message):
                self.printer.print_message(f"not changed: {message}")
                raise SystemExit(EXIT_FAILED)

    def _wait_until_in_force(self, generation: int, wait_ms: float) -> None:
        propagation = wait_for_generation(
            client=self.client,
            clock=self.clock,
            generation=generation,
            timeout_ms=wait_ms,
        )
        if propagation.complete:
            count = len(propagation.in_force)
            self.printer.print_message(
                f"generation {generation} is in force on {count} instances"
            )
            return
        for name, earlier in sorted(propagation.behind.items()):
            self.printer.print_message(f"{name} still has generation {earlier}")
        for name in propagation.silent:
            self.printer.print_message(f"{name} did not answer")
        raise SystemExit(EXIT_NOT_IN_FORCE)


def render_indented_yaml(value: object) -> str:
    """Returns a value as YAML, indented by two spaces."""
    text = yaml.safe_dump(value, sort_keys=True).rstrip()
    return "\n".join(f"  {line}" for line in text.splitlines())
