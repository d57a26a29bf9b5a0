"""Single sequences that the order machine meets too rarely."""

from gooseberrymux import journal
from gooseberrymux.duplicates import RecentIds
from gooseberrymux.records import OrderCompleted, OrderNotRun, OrderUnknown
from order_world import KEYS, Actor, World


def submit(world, name):
    instance = world.instances[name]
    order = world.create_order(instance, KEYS[0], 60_000)
    return Actor(instance=instance, target=lambda: instance.orders.run(order))


def ask(world, name):
    instance = world.instances[name]
    return Actor(
        instance=instance,
        target=lambda: instance.orders.find_outcome(
            key=KEYS[0], caller="c", until_ms=instance.clock.now + 2_000
        ),
    )


def step_until(actor, choice):
    while choice not in actor.choices:
        actor.step(actor.choices[0])


def finish(actor):
    while not actor.done:
        actor.step(actor.choices[0])
    return actor.result


def test_repeated_refusal_does_not_release_a_claim_in_use():
    """Guards against a second copy of a refusal that frees a key while its attempt
    is being dispatched again, so that another entry runs the order too."""
    world = World(names=("a", "b"))
    first = submit(world, "a")
    step_until(first, "completed")
    first.step("repeated_not_run")
    step_until(first, "completed")
    assert isinstance(finish(submit(world, "b")), OrderUnknown)
    assert isinstance(finish(first), OrderCompleted)
    assert len(world.runs) == 1


def test_outcome_recorded_elsewhere_is_found():
    """Guards against an answer from a remembered ledger that is out of date."""
    world = World(names=("a", "b"))
    first = submit(world, "a")
    step_until(first, "completed")
    assert isinstance(finish(submit(world, "b")), OrderUnknown)
    finish(first)
    assert isinstance(finish(ask(world, "b")), OrderCompleted)


def test_remembered_release_is_no_answer_in_an_outage():
    """Guards against "not run" for a key that was claimed and run elsewhere since."""
    world = World(names=("a", "b"))
    first = submit(world, "a")
    step_until(first, "completed")
    first.step("not_run")
    step_until(first, "completed")
    first.step("not_run")
    assert isinstance(finish(first), OrderNotRun)
    assert isinstance(finish(submit(world, "b")), OrderCompleted)
    world.platform.outage = True
    for name in ("a", "b"):
        assert not isinstance(finish(ask(world, name)), OrderNotRun)


def test_planned_stop_names_the_outcomes_that_are_lost(monkeypatch):
    """Guards against an outcome that a stopping instance drops without a trace."""
    events = []
    monkeypatch.setattr(
        journal, "record_event", lambda event, **fields: events.append((event, fields))
    )
    world = World(names=("a",))
    first = submit(world, "a")
    step_until(first, "completed")
    world.platform.outage = True
    assert isinstance(finish(first), OrderCompleted)
    claims = world.instances["a"].claims
    claims.drain(world.instances["a"].clock.now + 1_000)
    assert ("claims.outcome_lost", KEYS[0]) in [
        (event, fields.get("key")) for event, fields in events
    ]


def test_repeated_order_is_admitted_once():
    """Guards against a sub-request that is delivered twice and runs twice."""
    recent = RecentIds(limit=2)
    assert recent.add_if_new("a") and recent.add_if_new("b")
    assert not recent.add_if_new("a")
