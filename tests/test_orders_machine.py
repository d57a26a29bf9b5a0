"""Stateful test of orders and claims under random interleavings of failures."""

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from gooseberrymux.calls import UnexpectedOutcome
from gooseberrymux.records import (
    OrderCompleted,
    OrderNotRun,
)
from order_simulation import KEYS, Actor, OrderSimulation, create_not_run

INSTANCE_NAMES = ("a", "b")
RETENTION_MS = 86_400_000
instance_names = st.sampled_from(INSTANCE_NAMES)
order_keys = st.sampled_from(KEYS)
mostly_false = st.sampled_from([False, False, False, True])
# Numbers that select the choices of an actor's next steps; see `_run_plan`.
plans = st.lists(st.integers(0, 9), min_size=4, max_size=16)


class OrderMachine(RuleBasedStateMachine):
    """Guards P4 (an order refused as not run did not run), P5 (an order runs at most
    once) and the durability of recorded outcomes.

    The failures that it detects: an order that ran twice; a refusal or a looked-up
    outcome `not run` for an order that ran; a recorded outcome that is lost or changed;
    and a key whose outcome stays unknown although the instance that refused its
    attempt has not crashed since.
    """

    @initialize(
        commit=st.sampled_from(["grouped", "single"]), reaches_retention=mostly_false
    )
    def start(self, commit, reaches_retention):
        self.simulation = OrderSimulation(names=INSTANCE_NAMES, claim_commit=commit)
        self.actors = []
        self.refused = []
        self.completed = []
        self.recorded = {}
        self.retention_passed = False
        self.may_reach_retention = reaches_retention

    @rule(name=instance_names, key=order_keys, short_deadline=mostly_false, plan=plans)
    def submit(self, name, key, short_deadline, plan):
        instance = self.simulation.instances[name]
        deadline_ms = 100 if short_deadline else 60_000
        order = self.simulation.create_order(instance, key, deadline_ms)
        actor = self._start_actor(
            instance, "run", order, lambda: instance.orders.run(order)
        )
        self._run_plan(actor, plan)

    @rule(name=instance_names, key=order_keys, plan=plans)
    def look_up_outcome(self, name, key, plan):
        instance = self.simulation.instances[name]
        actor = self._start_actor(
            instance,
            "look_up",
            key,
            lambda: instance.orders.find_outcome(
                key=key, caller="c", until_ms=instance.clock.now + 2_000
            ),
        )
        self._run_plan(actor, plan)

    @rule(name=instance_names, plan=plans)
    def retry(self, name, plan):
        instance = self.simulation.instances[name]
        instance.clock.now += 10_000
        actor = self._start_actor(
            instance, "retry", None, instance.claims.retry_outcomes
        )
        self._run_plan(actor, plan)

    @precondition(lambda self: self.actors)
    @rule(data=st.data(), plan=plans)
    def step(self, data, plan):
        self._run_plan(data.draw(st.sampled_from(self.actors)), plan)

    @precondition(lambda self: self.actors)
    @rule(data=st.data())
    def step_to_end(self, data):
        self._finish(data.draw(st.sampled_from(self.actors)))

    @rule(name=instance_names, passed_ms=st.sampled_from([3_000, 100_000]))
    def freeze(self, name, passed_ms):
        self.simulation.instances[name].clock.now += passed_ms

    @precondition(lambda self: self.may_reach_retention and self.simulation.runs)
    @rule(name=instance_names)
    def pass_retention(self, name):
        self.simulation.instances[name].clock.now += RETENTION_MS
        self.retention_passed = True

    @rule(outage=mostly_false)
    def set_outage(self, outage):
        self.simulation.platform.outage = outage

    @precondition(lambda self: self.simulation.platform.delayed)
    @rule()
    def apply_delayed_write(self):
        self.simulation.platform.write(*self.simulation.platform.delayed.pop(0))

    @precondition(lambda self: self.simulation.unresolved)
    @rule(data=st.data(), runs=st.booleans())
    def settle_unresolved(self, data, runs):
        self._resolve(*data.draw(st.sampled_from(self.simulation.unresolved)), runs)

    def _resolve(self, instance, subrequest, runs):
        """Decides whether a dispatched order runs, and delivers its late outcome to the
        instance that dispatched it, unless that has crashed since."""
        self.simulation.unresolved.remove((instance, subrequest))
        outcome = (
            self.simulation.run_order(subrequest)
            if runs
            else create_not_run(subrequest)
        )
        if instance is self.simulation.instances[instance.peers.identity.name]:
            if runs:
                self.completed.append((instance, subrequest.order_key, outcome.reply))
            event = UnexpectedOutcome(outcome=outcome)
            self._start_actor(
                instance, "late", None, lambda: instance.kernel.publish(event)
            )

    @rule(name=instance_names)
    def crash(self, name):
        crashed = self.simulation.instances[name]
        self.simulation.restart(name)
        for actor in [actor for actor in self.actors if actor.instance is crashed]:
            self._step(actor, "crash")

    @invariant()
    def runs_at_most_once(self):
        keys = [key for key, _ in self.simulation.runs]
        assert len(keys) == len(set(keys)), "an order ran twice"

    @invariant()
    def keeps_recorded_outcomes(self):
        claims = self._read_claims()
        for key, entry in claims.items():
            if entry["state"] == "completed":
                self.recorded[key] = entry["reply"]
        if not self.retention_passed:
            for key, reply in self.recorded.items():
                assert key in claims, "a record was lost"
                assert claims[key]["state"] == "completed", "a record was undone"
                assert claims[key]["reply"] == reply, "a record was changed"

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.simulation.platform.outage = False
        while self.simulation.platform.delayed:
            self.apply_delayed_write()
        while self.actors or self.simulation.unresolved:
            if self.simulation.unresolved:
                self._resolve(*self.simulation.unresolved[0], True)
            if self.actors:
                self._finish(self.actors[0])
        # Two rounds, because the tries of an outcome alternate between the owner of its
        # range and a commit by the instance itself.
        for name in INSTANCE_NAMES * 2:
            self.retry(name, [])
            while self.actors:
                self._finish(self.actors[0])
        self.runs_at_most_once()
        self.keeps_recorded_outcomes()
        run_ids = {request_id for _, request_id in self.simulation.runs}
        refused = {request_id for _, request_id in self.refused}
        assert not run_ids & refused, "refused as not run, but ran"
        if not self.retention_passed:
            self._check_running_instances()

    def _check_running_instances(self):
        """Checks what instances that have not crashed know against the ledger."""
        running = self.simulation.instances.values()
        claims = self._read_claims()
        for instance, key, reply in self.completed:
            if instance in running:
                assert key in claims, "a claim was lost"
                assert claims[key]["state"] == "completed", "an outcome was lost"
                assert claims[key]["reply"] == reply
        refused = {request_id for owner, request_id in self.refused if owner in running}
        for entry in claims.values():
            if entry["state"] == "claimed":
                holder = entry["attempt"].split("/")[0]
                assert holder not in refused, "a refused attempt keeps its claim"

    def _read_claims(self):
        _, value = self.simulation.platform.objects.get("claims/0000", (0, {}))
        return value.get("claims", {})

    def _start_actor(self, instance, kind, subject, target):
        actor = Actor(instance=instance, target=target)
        actor.kind, actor.subject = kind, subject
        self.actors.append(actor)
        self._collect(actor)
        return actor

    def _run_plan(self, actor, plan):
        """Takes an actor's next steps. A number of the plan is the index of the choice,
        or selects the first one, which has no fault, if it is out of range. At a
        dispatch the number is taken modulo the number of choices, so that its outcomes
        are about equally likely."""
        for number in plan:
            if actor.done:
                return
            choices = actor.choices
            selects_outcome = "completed" in choices
            index = number % len(choices) if selects_outcome else number
            self._step(actor, choices[index if index < len(choices) else 0])

    def _step(self, actor, choice):
        actor.step(choice)
        self._collect(actor)

    def _finish(self, actor):
        while not actor.done:
            self._step(actor, actor.choices[0])

    def _collect(self, actor):
        if not actor.done:
            return
        self.actors.remove(actor)
        request_ids = dict(self.simulation.runs)
        match actor.kind, actor.result:
            case "run", OrderNotRun():
                self.refused.append((actor.instance, actor.subject.request_id))
            case _, OrderCompleted(key=key, reply=reply):
                assert reply == {"request": request_ids[key]}, (
                    "the reply of another run"
                )
                self.completed.append((actor.instance, key, reply))
            case "look_up", OrderNotRun(key=key):
                assert key not in request_ids, "reported as not run, but ran"
            case _:
                pass


OrderMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50, deadline=None
)
TestOrders = OrderMachine.TestCase
