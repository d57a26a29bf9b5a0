"""Order scenarios that the state machine of test_orders_machine.py rarely reaches."""

from gooseberrymux import journal
from gooseberrymux.duplicates import RecentIds
from gooseberrymux.records import OrderCompleted, OrderNotRun, OrderUnknown
from order_simulation import KEYS, Actor, OrderSimulation


def start_submission(world, name):
    instance = world.instances[name]
    order = world.create_order(instance, KEYS[0], 60_000)
    return Actor(instance=instance, target=lambda: instance.orders.run(order))


def start_lookup(world, name):
    instance = world.instances[name]
    return Actor(
        instance=instance,
        target=lambda: instance.orders.find_outcome(
            key=KEYS[0], caller="c", until_ms=instance.clock.now + 2_000
        ),
    )


def step_until_offered(actor, choice):
    while choice not in actor.choices:
        actor.step(actor.choices[0])


def run_to_end(actor):
    while not actor.done:
        actor.step(actor.choices[0])
    return actor.result


def test_repeated_refusal_does_not_release_a_claim_in_use():
    """Guards against a repeated refusal that releases a claim while its attempt is
    dispatched again, so that another instance claims the key and runs the order too."""
    world = OrderSimulation(names=("a", "b"))
    first = start_submission(world, "a")
    step_until_offered(first, "completed")
    first.step("repeated_not_run")
    step_until_offered(first, "completed")
    assert isinstance(run_to_end(start_submission(world, "b")), OrderUnknown)
    assert isinstance(run_to_end(first), OrderCompleted)
    assert len(world.runs) == 1


def test_outcome_recorded_elsewhere_is_found():
    """Guards against an answer from a cached ledger that is out of date."""
    world = OrderSimulation(names=("a", "b"))
    first = start_submission(world, "a")
    step_until_offered(first, "completed")
    assert isinstance(run_to_end(start_submission(world, "b")), OrderUnknown)
    run_to_end(first)
    assert isinstance(run_to_end(start_lookup(world, "b")), OrderCompleted)


def test_remembered_release_is_no_answer_in_an_outage():
    """Guards against "not run" from a cached ledger during a platform outage, for a key
    that another instance has claimed and run since."""
    world = OrderSimulation(names=("a", "b"))
    first = start_submission(world, "a")
    step_until_offered(first, "completed")
    first.step("not_run")
    step_until_offered(first, "completed")
    first.step("not_run")
    assert isinstance(run_to_end(first), OrderNotRun)
    assert isinstance(run_to_end(start_submission(world, "b")), OrderCompleted)
    world.platform.outage = True
    for name in ("a", "b"):
        assert not isinstance(run_to_end(start_lookup(world, name)), OrderNotRun)


def test_planned_stop_names_the_outcomes_that_are_lost(monkeypatch):
    """Guards against an outcome that a stopping instance drops without logging it."""
    events = []
    monkeypatch.setattr(
        journal, "record_event", lambda event, **fields: events.append((event, fields))
    )
    world = OrderSimulation(names=("a",))
    first = start_submission(world, "a")
    step_until_offered(first, "completed")
    world.platform.outage = True
    assert isinstance(run_to_end(first), OrderCompleted)
    claims = world.instances["a"].claims
    claims.drain(world.instances["a"].clock.now + 1_000)
    assert ("claims.outcome_lost", KEYS[0]) in [
        (event, fields.get("key")) for event, fields in events
    ]


def test_repeated_order_is_admitted_once():
    """Guards against a sub-request that runs twice because it is delivered twice."""
    recent = RecentIds(limit=2)
    assert recent.add_if_new("a") and recent.add_if_new("b")
    assert not recent.add_if_new("a")
