"""Writes changes of the configuration to its platform object by conditional update.

If the reply to a write is lost, the object is read back to look for the change id.
Because that read may be stale, a read without the id is followed by the same
conditional update: it takes effect only if the first one did not, and if it conflicts,
the platform's reply contains the current object.
"""

import dataclasses

from result import Err, Ok, Result

from gooseberrymux import journal
from gooseberrymux.backoff import Backoff
from gooseberrymux.clock import Clock
from gooseberrymux.configuration_changes import (
    Accepted,
    Change,
    Conflict,
    Invalid,
    Outcome,
    StaleBasis,
    Unavailable,
    WritePlan,
    describe_outcome,
    find_recent_change,
    list_later_changes,
    plan_change,
)
from gooseberrymux.configuration_codec import (
    decode_configuration,
)
from gooseberrymux.configuration_model import (
    EMPTY_CONFIGURATION,
    Configuration,
    ConfigurationError,
)
from gooseberrymux.documents import Documents
from gooseberrymux.platform import Platform
from gooseberrymux.platform_objects import PlatformObject, VersionConflict, Written
from gooseberrymux.records import RunState, UpstreamRecord

CONFIGURATION_NAME = "configuration/current"
# Latest start of an attempt, measured from the start of the proposal. The last attempt
# may take a read and a write of 1 s each (the default timeout of platform calls), so a
# client that waits for 5 s still receives the outcome.
LAST_ATTEMPT_START_MS = 3_000
INITIAL_DELAY_MS = 20.0
MAX_DELAY_MS = 400.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Basis:
    """The configuration to apply a change to, and the object version to replace.

    Attributes:
        configuration: The newest configuration known to be accepted.
        body: The document body from which it was decoded, unmodified.
        version: Version of the platform's object that the conditional update expects;
            the object may be older than `configuration`.
    """

    configuration: Configuration
    body: dict
    version: int


class Proposal:
    """Proposes one change to the platform, with retries.

    Used by a single thread, the one that serves the operator's request.
    """

    __slots__ = (
        "_change",
        "_platform",
        "_documents",
        "_upstreams",
        "_clock",
        "_backoff",
        "_newest_object",
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
        self._backoff = Backoff(initial_ms=INITIAL_DELAY_MS, max_ms=MAX_DELAY_MS)
        # The object with the highest version that a read or a conflict returned.
        self._newest_object: PlatformObject | None = None
        # Generation that a write without a reply has created or may still create.
        self._unresolved_generation: int | None = None
        self._last_problem = ""
        self._conflicted = False

    def run(self) -> Outcome:
        """Returns the outcome; blocks during platform calls and retry delays."""
        last_start_ms = self._clock.now_ms() + LAST_ATTEMPT_START_MS
        must_read = True
        while True:
            if not must_read or self._read_object():
                outcome = self._try_once()
                if outcome is not None:
                    return outcome
            # A conflict returned the current object; other failures need another read.
            must_read = not self._conflicted
            delay_ms = self._backoff.draw_delay_ms()
            if self._clock.now_ms() + delay_ms >= last_start_ms:
                return Unavailable(
                    run_state=self._get_run_state(), message=self._last_problem
                )
            self._clock.sleep_ms(delay_ms)

    def _try_once(self) -> Outcome | None:
        """Returns the outcome, or None if another attempt is needed."""
        self._conflicted = False
        assert self._newest_object is not None
        match self._choose_basis(self._newest_object):
            case Err(outcome):
                return self._create_refusal(outcome)
            case Ok(basis):
                self._rule_out_lost_write(basis.configuration)
        plan = plan_change(
            change=self._change,
            basis=basis.configuration,
            upstreams=self._upstreams,
        )
        match plan:
            case StaleBasis():
                self._last_problem = (
                    f"base generation {self._change.base_generation} is higher "
                    f"than the platform's {basis.configuration.generation}"
                )
                return None
            case Accepted():
                # The change id was found in the basis. Distribute that document body
                # unmodified: encoding it again could give the same generation a second
                # content.
                self._distribute(basis.body)
                return plan
            case Conflict() | Invalid():
                return self._create_refusal(plan)
            case WritePlan(generation=generation, warnings=warnings):
                if self._change.dry_run or self._write_document(plan, basis):
                    return Accepted(generation=generation, warnings=warnings)
                return None

    def _read_object(self) -> bool:
        match self._platform.get(CONFIGURATION_NAME):
            case Err(error):
                self._last_problem = str(error)
                return False
            case Ok(found):
                # A read may return an older version than an earlier read or a conflict.
                if (
                    self._newest_object is None
                    or found.version >= self._newest_object.version
                ):
                    self._newest_object = found
                return True

    def _write_document(self, plan: WritePlan, basis: Basis) -> bool:
        """Returns whether the document is known to be written.

        If the reply is lost, records the generation as unresolved.
        """
        result = self._platform.put(
            name=CONFIGURATION_NAME, value=plan.body, expected_version=basis.version
        )
        match result:
            case Ok(Written()):
                self._distribute(plan.body)
                return True
            case Ok(VersionConflict(current=current)):
                self._last_problem = (
                    f"the object is at version {current.version}, not {basis.version}"
                )
                self._conflicted = True
                self._newest_object = current
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

    def _rule_out_lost_write(self, newest: Configuration) -> None:
        """Clears the unresolved write if another change has created its generation.

        The unresolved write was conditional on the version before, so it can no longer
        take effect. That it did not take effect earlier follows from its missing change
        id only if all changes since then are listed, which is not the case if something
        other than a proposal has written the object.
        """
        lost_generation = self._unresolved_generation
        if lost_generation is None or newest.generation < lost_generation:
            return
        if find_recent_change(newest, self._change.change_id) is not None:
            return
        if list_later_changes(newest, lost_generation - 1) is not None:
            self._unresolved_generation = None

    def _choose_basis(self, found: PlatformObject) -> Result[Basis, Outcome]:
        """Returns the newest accepted configuration and the object version to replace.

        After a stale read, or after the platform lost writes, the configuration in
        force on this instance may have a higher generation than the platform's object.
        A change based on the one in force never reverts an accepted change: after a
        stale read the conditional update conflicts, and a platform that lost writes
        gets them back with this update.
        """
        document = self._documents.get(CONFIGURATION_NAME)
        in_force = decode_configuration(document.body) if document else None
        decoded = EMPTY_CONFIGURATION
        body = found.value
        if found.version:
            try:
                decoded = decode_configuration(body)
            except ConfigurationError as error:
                if not may_overwrite(body, in_force):
                    return Err(create_undecodable_refusal(error))
        if in_force and in_force.generation >= decoded.generation:
            decoded = in_force
            body = document.body
        if self._change.base_generation is None:
            # Fixes the base at the first attempt. Without it, once the change id of a
            # lost write is no longer listed, the change could be applied a second time.
            self._change = dataclasses.replace(
                self._change, base_generation=decoded.generation
            )
        return Ok(Basis(configuration=decoded, body=body, version=found.version))

    def _distribute(self, body: dict) -> None:
        self._documents.apply_body(
            name=CONFIGURATION_NAME, body=body, source="proposal"
        )

    def _create_refusal(self, outcome: Conflict | Invalid | Unavailable) -> Outcome:
        """Returns a refusal, or `Unavailable` if a write of the change is unresolved.

        A refusal says that nothing was applied, which is not known in that case.
        """
        if self._unresolved_generation is None:
            return outcome
        return Unavailable(
            run_state=RunState.UNKNOWN, message=describe_outcome(outcome)
        )

    def _get_run_state(self) -> RunState:
        if self._unresolved_generation is None:
            return RunState.NOT_RUN
        return RunState.UNKNOWN


def may_overwrite(value: dict, in_force: Configuration | None) -> bool:
    """Returns whether an object that can't be decoded may be overwritten.

    An object with a higher generation than the one in force may be an accepted change
    in the format of a later release; overwriting it would lose that change. Any other
    object can't be an accepted change, since each one raises the generation. Without a
    configuration in force there is nothing to compare with.
    """
    generation = value.get("generation")
    if in_force is None:
        return False
    return not isinstance(generation, int) or generation <= in_force.generation


def create_undecodable_refusal(error: ConfigurationError) -> Unavailable:
    """Returns the refusal of a change to an object that can't be decoded."""
    return Unavailable(
        run_state=RunState.NOT_RUN,
        message=f"the platform's object can't be decoded and may be newer than the "
        f"configuration in force: {error.message}",
    )
