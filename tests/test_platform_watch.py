"""Watch of the platform: revisions, errors, and the wait for peers at the start."""

import contextlib
import dataclasses

from result import Err, Ok

from control_fakes import CONFIGURATION_NAME, Network, create_document
from gooseberrymux.membership import MemberChanged
from gooseberrymux.messages import FreshnessProof
from gooseberrymux.platform import (
    Platform,
)
from gooseberrymux.platform_objects import (
    MalformedObject,
    PlatformError,
    PlatformObject,
    WatchedChanges,
)
from gooseberrymux.platform_watch import STARTUP_PEER_WAIT_MS
from gooseberrymux.records import RunState
from gooseberrymux.settings import Address

PREFIX = "configuration/"
FROZEN_MS = 9_000.0


class ScriptedPlatform(Platform):
    """Answers watches from a list and stops the documents service at its end."""

    __slots__ = ("answers", "requested_revisions", "waits_ms", "documents")

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requested_revisions: list[int] = []
        self.waits_ms: list[int] = []

    def watch(self, *, prefix: str, revision: int, wait_ms: int):
        self.requested_revisions.append(revision)
        self.waits_ms.append(wait_ms)
        answer = self.answers.pop(0)
        if not self.answers:
            self.documents.stop()
        return answer


class FrozenPlatform(ScriptedPlatform):
    """Answers a watch in time, but the instance reads the answer much later."""

    __slots__ = ()

    def watch(self, *, prefix: str, revision: int, wait_ms: int):
        if revision:
            self.documents._kernel.clock.sleep_ms(wait_ms + FROZEN_MS)
        return super().watch(prefix=prefix, revision=revision, wait_ms=wait_ms)


def create_answer(revision: int, *generations: int, malformed=(), era=0) -> Ok:
    objects = [
        PlatformObject(
            name=CONFIGURATION_NAME, version=revision, value={"generation": generation}
        )
        for generation in generations
    ]
    return Ok(
        WatchedChanges(
            era=era, revision=revision, objects=objects, malformed=tuple(malformed)
        )
    )


NO_ANSWER = Err(PlatformError(step="test", message="down", run_state=RunState.NOT_RUN))


def add_node(*, platform=None):
    network = Network()
    network.nodes["entry-1"] = None
    node = network.add_node("entry-0", platform=platform)
    node.watch_prefix(PREFIX)
    return node


def run_watch(*answers):
    """Runs a watch until the answers are used up; returns the platform and the node."""
    platform = ScriptedPlatform(*answers)
    node = add_node(platform=platform)
    platform.documents = node
    node._watches[PREFIX].run()
    return platform, node


def list_proofs(node):
    return [m for m in node._peers.sent if isinstance(m, FreshnessProof)]


def test_watch_goes_on_from_the_last_revision():
    platform, node = run_watch(
        create_answer(4, 1), create_answer(6, 2), create_answer(6)
    )
    assert platform.requested_revisions == [0, 4, 6]
    assert node.get(CONFIGURATION_NAME).generation == 2


def test_watch_reads_anew_after_an_error_and_when_the_revision_goes_back():
    """Guards against changes that are missed while the platform restarts."""
    platform, node = run_watch(
        create_answer(40, 1),
        NO_ANSWER,
        create_answer(3, 2),
        create_answer(2),
        create_answer(2, 1),
    )
    assert platform.requested_revisions == [0, 40, 0, 3, 0]
    assert node.get(CONFIGURATION_NAME).generation == 2


# Guards against changes between the copy that the platform went back to and the
# revision of the watch, which the new history has as well.
def test_watch_reads_anew_when_the_platform_went_back_and_has_passed_the_revision():
    platform, node = run_watch(
        create_answer(40, 1, era=1),
        create_answer(60, 3, era=2),
        create_answer(60, 2, 3, era=2),
        create_answer(61, 4, era=2),
    )
    assert platform.requested_revisions == [0, 40, 0, 60]
    assert node.get(CONFIGURATION_NAME).generation == 4


def test_watch_that_answers_at_once_with_nothing_does_not_spin():
    platform, node = run_watch(create_answer(4, 1), *[create_answer(4)] * 12)
    waited_ms = node._kernel.clock.now_ms()
    assert waited_ms > 100
    # The whole prefix is read again after some answers without a change.
    assert platform.requested_revisions.count(0) >= 2


def test_a_read_without_an_answer_proves_nothing():
    # Guards against proofs that keep others from reading while nobody is answered.
    answered, node = run_watch(create_answer(4, 1))
    (proof,) = list_proofs(node)
    assert proof.reader == "entry-0"
    assert proof.age_ms == 0
    _, node = run_watch(NO_ANSWER, NO_ANSWER)
    assert list_proofs(node) == []


def test_a_watch_without_changes_proves_no_more_than_its_wait():
    # Guards against an instance that was frozen and takes the answer that it finds in
    # its buffers for a proof of the present.
    platform = FrozenPlatform(create_answer(4, 1), create_answer(4))
    node = add_node(platform=platform)
    platform.documents = node
    node._watches[PREFIX].run()
    assert list_proofs(node)[-1].age_ms == FROZEN_MS


def test_watches_follow_each_other_within_the_share_of_the_staleness_bound():
    # Guards against a reader that waits on a silent platform for longer than the bound.
    platform, node = run_watch(create_answer(4, 1), create_answer(4), create_answer(4))
    bound_ms = node._kernel.settings.platform.staleness_bound_ms
    assert all(0 < wait_ms <= 0.3 * bound_ms for wait_ms in platform.waits_ms)


def test_an_old_proof_is_logged_once_until_there_is_a_new_one(monkeypatch):
    events = []
    monkeypatch.setattr(
        "gooseberrymux.platform_watch.journal.record_event",
        lambda message_type, **fields: events.append(message_type),
    )
    run_watch(*[NO_ANSWER] * 12, create_answer(4, 1), create_answer(5, 2))
    assert events.count("documents.stale") == 1
    assert events.count("documents.fresh") == 1


def test_malformed_object_in_a_watch_does_not_hide_the_others():
    bad = MalformedObject(name="configuration/other", message="malformed")
    _, node = run_watch(create_answer(4, 3, malformed=[bad]))
    assert node.get(CONFIGURATION_NAME).generation == 3
    assert node.describe()["problems"] == {"configuration/other": "malformed"}


def test_change_of_members_wakes_a_thread_that_waits_to_become_a_watcher():
    node = Network().add_node("entry-0")
    clock = node._kernel.clock

    def change_members(condition, timeout_ms):
        node._handle_member_change(MemberChanged(instance="entry-1", state="dead"))
        return True

    with replace_clock_wait(node, lambda self, *args: change_members(*args)):
        node._signal.wait(10_000, seen_count=node._signal.count)
    assert clock.now_ms() == 0


def create_seeded_node():
    """Returns a node with another instance as its seed."""
    node = add_node()
    seed = Address(host="127.0.0.1", port=9)
    node._kernel.settings = dataclasses.replace(
        node._kernel.settings,
        membership=dataclasses.replace(node._kernel.settings.membership, seeds=[seed]),
    )
    return node


def test_instance_that_starts_waits_for_its_peers_before_it_reads_the_platform():
    """Guards against a platform read by every instance when a whole fleet starts."""
    node = create_seeded_node()
    node._watches[PREFIX].wait_for_peer_documents()
    assert node._kernel.clock.now_ms() == STARTUP_PEER_WAIT_MS


def test_documents_of_a_peer_end_the_wait_at_the_start():
    node = create_seeded_node()

    def wait(clock, condition, timeout_ms):
        node.apply_if_newer(create_document({"generation": 1}), source="entry-1")

    with replace_clock_wait(node, wait):
        node._watches[PREFIX].wait_for_peer_documents()
    assert node._kernel.clock.now_ms() == 0


def test_a_seed_does_not_wait_for_its_peers():
    """Guards against a fleet start in which all instances wait for each other."""
    node = create_seeded_node()
    node._kernel.settings.membership.seeds[:] = [node._kernel.settings.instance.peers]
    node._watches[PREFIX].wait_for_peer_documents()
    assert node._kernel.clock.now_ms() == 0


@contextlib.contextmanager
def replace_clock_wait(node, wait):
    """Replaces `wait` of the class of a node's clock for the duration of the block."""
    clock_class = type(node._kernel.clock)
    original_wait = clock_class.wait
    clock_class.wait = wait
    try:
        yield
    finally:
        clock_class.wait = original_wait
