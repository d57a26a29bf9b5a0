"""Carries out changes of the configuration by conditional update of its object.

A write whose reply is lost is resolved by reading back the change id. While the read
may be stale, the same conditional update is sent again: it takes effect only if the
first did not, and a conflict brings the current object.
"""

import dataclasses

from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.backoff import Backoff
from gooseberrymux.clock import Clock
from gooseberrymux.configuration_codec import (
    decode_configuration,
)
from gooseberrymux.configuration_model import (
    EMPTY,
    Configuration,
    ConfigurationError,
)
from gooseberrymux.documents import Documents
from gooseberrymux.edits import (
    Accepted,
    Behind,
    Change,
    Conflict,
    Invalid,
    Outcome,
    Ready,
    Unavailable,
    describe_outcome,
    find_change,
    list_later_changes,
    plan_change,
)
from gooseberrymux.platform import (
    Platform,
    PlatformObject,
    VersionConflict,
    Written,
)
from gooseberrymux.records import RunState, UpstreamRecord

CONFIGURATION_NAME = "configuration/current"
# No attempt starts later than this. The last one may take a read and a write, so that
# with the default timeout of 1 s a client that waits for 5 s gets the answer.
TIMEOUT_MS = 3_000
FIRST_DELAY_MS = 20.0
LONGEST_DELAY_MS = 400.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Basis:
    """What a write starts from.

    Attributes:
        configuration: The newest configuration known to be accepted.
        body: The document that holds it, as it was found.
        version: Version of the platform's object, for the conditional update.
    """

    configuration: Configuration
    body: dict
    version: int


class Proposal:
    """One change on its way to the platform, in the operator's thread."""

    __slots__ = (
        "_change",
        "_platform",
        "_documents",
        "_upstreams",
        "_clock",
        "_backoff",
        "_newest",
        "_unresolved_generation",
        "_last_problem",
        "_conflicted",
    )

    def __init__(
        self,
        *,
        change: Change,
        platform: Platform,
        documents: Documents,
        upstreams: tuple[UpstreamRecord, ...],
        clock: Clock,
    ):
        self._change = change
        self._platform = platform
        self._documents = documents
        self._upstreams = upstreams
        self._clock = clock
        self._backoff = Backoff(initial_ms=FIRST_DELAY_MS, max_ms=LONGEST_DELAY_MS)
        # The highest version that a read or a conflict has shown.
        self._newest: PlatformObject | None = None
        # Generation that a write without a reply made, or may still make.
        self._unresolved_generation: int | None = None
        self._last_problem = ""
        self._conflicted = False

    def run(self) -> Outcome:
        """Returns the outcome; blocks for the platform's replies."""
        until_ms = self._clock.now_ms() + TIMEOUT_MS
        must_read = True
        while True:
            if not must_read or self._read():
                outcome = self._attempt()
                if outcome is not None:
                    return outcome
            # A conflict has brought the current object; any other failure has not.
            must_read = not self._conflicted
            delay_ms = self._backoff.draw_delay_ms()
            if self._clock.now_ms() + delay_ms >= until_ms:
                return Unavailable(
                    run_state=self._get_run_state(), message=self._last_problem
                )
            self._clock.sleep_ms(delay_ms)

    def _attempt(self) -> Outcome | None:
        """Returns the outcome, or None if it takes another attempt."""
        self._conflicted = False
        assert self._newest is not None
        match self._choose_basis(self._newest):
            case Err(outcome):
                return self._refuse(outcome)
            case Ok(basis):
                self._resolve(basis.configuration)
        plan = plan_change(
            change=self._change,
            basis=basis.configuration,
            upstreams=self._upstreams,
        )
        match plan:
            case Behind():
                self._last_problem = (
                    f"base generation {self._change.base_generation} is higher "
                    f"than the platform's {basis.configuration.generation}"
                )
                return None
            case Accepted():
                # Recognised by its id; spread what it was found in, as it is: another
                # encoding of it would be a second content of the same generation.
                self._spread(basis.body)
                return plan
            case Conflict() | Invalid():
                return self._refuse(plan)
            case Ready(generation=generation, warnings=warnings):
                if self._change.dry_run or self._write(plan, basis):
                    return Accepted(generation=generation, warnings=warnings)
                return None

    def _read(self) -> bool:
        match self._platform.get(CONFIGURATION_NAME):
            case Err(error):
                self._last_problem = str(error)
                return False
            case Ok(found):
                # A read may be older than an earlier one, or than a conflict.
                if self._newest is None or found.version >= self._newest.version:
                    self._newest = found
                return True

    def _write(self, plan: Ready, basis: Basis) -> bool:
        """Returns whether the document was written; notes what is uncertain."""
        result = self._platform.put(
            name=CONFIGURATION_NAME, value=plan.body, expected_version=basis.version
        )
        match result:
            case Ok(Written()):
                self._spread(plan.body)
                return True
            case Ok(VersionConflict(current=current)):
                self._last_problem = (
                    f"the object is at version {current.version}, not {basis.version}"
                )
                self._conflicted = True
                self._newest = current
            case Err(error):
                self._last_problem = str(error)
                if error.run_state is RunState.UNKNOWN:
                    self._unresolved_generation = plan.generation
                    journal.record_event(
                        "configuration.reply_lost",
                        change_id=self._change.change_id,
                        expected_version=basis.version,
                    )
        return False

    def _resolve(self, newest: Configuration) -> None:
        """Rules a lost write out once another change has made its generation.

        It was conditional on the version before, so it never takes effect later. That
        its change id is not there says so only if all changes since are listed, which
        they are not if the object was written by other means.
        """
        lost = self._unresolved_generation
        if lost is None or newest.generation < lost:
            return
        if find_change(newest, self._change.change_id) is not None:
            return
        if list_later_changes(newest, lost - 1) is not None:
            self._unresolved_generation = None

    def _choose_basis(self, found: PlatformObject) -> Result[Basis, Outcome]:
        """Returns the newest accepted configuration and the version to write over.

        The copy in force here may be higher than the platform's object after a stale
        read, or after the platform lost writes. Basing on it never reverts an accepted
        change: a stale read makes the update conflict, and a platform that lost writes
        gets them back.
        """
        document = self._documents.get(CONFIGURATION_NAME)
        in_force = decode_configuration(document.body) if document else None
        decoded = EMPTY
        body = found.value
        if found.version:
            try:
                decoded = decode_configuration(body)
            except ConfigurationError as error:
                if not is_replaceable(body, in_force):
                    return Err(refuse_undecodable(error))
        if in_force and in_force.generation >= decoded.generation:
            decoded = in_force
            body = document.body
        if self._change.base_generation is None:
            # Without a base, changes after the lost write could not be told from
            # changes before it once the change id is no longer kept.
            self._change = dataclasses.replace(
                self._change, base_generation=decoded.generation
            )
        return Ok(Basis(configuration=decoded, body=body, version=found.version))

    def _spread(self, body: dict) -> None:
        self._documents.offer_body(
            name=CONFIGURATION_NAME, body=body, source="proposal"
        )

    def _refuse(self, outcome: Conflict | Invalid | Unavailable) -> Outcome:
        """Returns a refusal, unless an earlier write of the change is unresolved."""
        if self._unresolved_generation is None:
            return outcome
        return Unavailable(
            run_state=RunState.UNKNOWN, message=describe_outcome(outcome)
        )

    def _get_run_state(self) -> RunState:
        if self._unresolved_generation is None:
            return RunState.NOT_RUN
        return RunState.UNKNOWN


def is_replaceable(value: dict, in_force: Configuration | None) -> bool:
    """Returns whether an object that does not decode may be written over.

    One with a higher generation may be an accepted change in the form of a later
    release; writing over it would lose that change. Any other can't have been
    accepted, since each accepted change raises the generation.
    """
    generation = value.get("generation")
    if in_force is None:
        return False
    return not isinstance(generation, int) or generation <= in_force.generation


def refuse_undecodable(error: ConfigurationError) -> Unavailable:
    """Returns the refusal of a change on an object that does not decode."""
    return Unavailable(
        run_state=RunState.NOT_RUN,
        message=f"the platform's object does not decode and has a higher generation "
        f"than the one in force: {error.message}",
    )
