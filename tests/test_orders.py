"""Single sequences that the order machine meets too rarely."""

from gooseberrymux.duplicates import RecentIds
from gooseberrymux.records import OrderCompleted, OrderUnknown
from order_world import KEYS, Actor, World


def submit(world, name):
    instance = world.instances[name]
    order = world.create_order(instance, KEYS[0], 60_000)
    return Actor(instance=instance, target=lambda: instance.orders.run(order))


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
    second = world.instances["b"]
    assert isinstance(finish(submit(world, "b")), OrderUnknown)
    finish(first)
    ask = Actor(
        instance=second,
        target=lambda: second.orders.find_outcome(
            key=KEYS[0], caller="c", until_ms=second.clock.now + 2_000
        ),
    )
    assert isinstance(finish(ask), OrderCompleted)


def test_repeated_order_is_admitted_once():
    """Guards against a sub-request that is delivered twice and runs twice."""
    recent = RecentIds(limit=2)
    assert recent.add("a") and recent.add("b")
    assert not recent.add("a")
