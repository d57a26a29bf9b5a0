"""One operator's session: reads the configuration, proposes changes, reports them."""

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
    read_outcome,
)
from gooseberryctl.files import ConfigurationFile, describe_problem, index_objects
from gooseberryctl.generations import wait_for_generation
from gooseberryctl.output import Printer
from gooseberrymux.clock import Clock

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_DENIED = 4
EXIT_NOT_IN_FORCE = 5
EXIT_UNKNOWN = 6


class Session:
    """What the commands share: client, clock and printer."""

    __slots__ = ("client", "clock", "printer")

    def __init__(self, *, client: Client, clock: Clock, printer: Printer):
        self.client = client
        self.clock = clock
        self.printer = printer

    def read_configuration(self) -> dict:
        """Returns the configuration in force on the server that answers."""
        return self.client.get("/v1/configuration")

    def find_object(self, configuration: dict, kind: str, name: str) -> dict | None:
        """Returns a copy of an object, or None."""
        found = index_objects(configuration).get((kind, name))
        return None if found is None else dict(found)

    def require_object(self, configuration: dict, kind: str, name: str) -> dict:
        """Returns a copy of an object.

        Raises:
            ClientError: There is none of that name.
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
        """Creates or replaces one object of the configuration that was read."""
        self.change(
            base_generation=configuration["generation"],
            edits=(Edit(action="put", kind=kind, name=value["name"], value=value),),
            wait_ms=wait_ms,
            allow_unreachable=allow_unreachable,
        )

    def remove_object(
        self, kind: str, name: str, wait_ms: float | None, allow_unreachable: bool
    ) -> None:
        """Removes one object."""
        current = self.read_configuration()
        self.require_object(current, kind, name)
        self.change(
            base_generation=current["generation"],
            edits=(Edit(action="remove", kind=kind, name=name),),
            wait_ms=wait_ms,
            allow_unreachable=allow_unreachable,
        )

    def change(
        self,
        *,
        base_generation: int,
        edits: tuple[Edit, ...],
        wait_ms: float | None,
        allow_unreachable: bool = False,
        dry_run: bool = False,
        source: ConfigurationFile | None = None,
    ) -> None:
        """Proposes edits, prints the outcome and exits with its code."""
        outcome = self.client.change(
            base_generation=base_generation,
            change_id=str(uuid6.uuid7()),
            edits=edits,
            dry_run=dry_run,
            allow_unreachable=allow_unreachable,
        )
        self.report(outcome, wait_ms=wait_ms, dry_run=dry_run, source=source)

    def set_drain(
        self, upstream: str, *, draining: bool, wait_ms: float | None
    ) -> None:
        """Starts or ends the drain of an upstream."""
        reply = self.client.set_drain(upstream, draining=draining)
        self.report(read_outcome(reply), wait_ms=wait_ms)

    def report(
        self,
        outcome: ChangeOutcome,
        *,
        wait_ms: float | None,
        dry_run: bool = False,
        source: ConfigurationFile | None = None,
    ) -> None:
        """Prints an outcome and exits with its code unless it is good.

        Raises:
            SystemExit: The change was not accepted, or is not yet in force.
        """
        match outcome:
            case Accepted(generation=generation, warnings=warnings):
                for warning in warnings:
                    self.printer.note(f"warning: {warning}")
                word = "would be accepted" if dry_run else "accepted"
                self.printer.show(
                    {"generation": generation, "warnings": list(warnings)},
                    text=f"{word} as generation {generation}",
                )
                if wait_ms is not None and not dry_run:
                    self._wait(generation, wait_ms)
            case Conflict(message=message, theirs=theirs, yours=yours):
                self.printer.note(f"conflict: {message}")
                self.printer.note(f"in force:\n{render_side(theirs)}")
                self.printer.note(f"yours:\n{render_side(yours)}")
                raise SystemExit(EXIT_CONFLICT)
            case Invalid(problems=problems):
                for problem in problems:
                    self.printer.note(
                        source.locate(problem) if source else describe_problem(problem)
                    )
                raise SystemExit(EXIT_INVALID)
            case Denied(message=message):
                self.printer.note(f"denied: {message}")
                raise SystemExit(EXIT_DENIED)
            case Unavailable(message=message, may_have_run=True):
                self.printer.note(f"unknown, the change may be in force: {message}")
                raise SystemExit(EXIT_UNKNOWN)
            case Unavailable(message=message):
                self.printer.note(f"not changed: {message}")
                raise SystemExit(EXIT_FAILED)

    def _wait(self, generation: int, wait_ms: float) -> None:
        found = wait_for_generation(
            client=self.client,
            clock=self.clock,
            generation=generation,
            timeout_ms=wait_ms,
        )
        if found.complete:
            count = len(found.in_force)
            self.printer.note(
                f"generation {generation} is in force on {count} instances"
            )
            return
        for name, known in sorted(found.behind.items()):
            self.printer.note(f"{name} still has generation {known}")
        for name in found.silent:
            self.printer.note(f"{name} did not answer")
        raise SystemExit(EXIT_NOT_IN_FORCE)


def render_side(value: object) -> str:
    """Returns one side of a conflict as indented YAML."""
    text = yaml.safe_dump(value, sort_keys=True).rstrip()
    return "\n".join(f"  {line}" for line in text.splitlines())
