"""Orders under every interleaving of failures, with the real orders and claims."""

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
from order_world import KEYS, Actor, World, refuse_run

NAMES = ("a", "b")
DAY_MS = 86_400_000
NAME = st.sampled_from(NAMES)
KEY = st.sampled_from(KEYS)
RARELY = st.sampled_from([False, False, False, True])
# What becomes of an actor's next steps; see `_follow`.
PLAN = st.lists(st.integers(0, 9), min_size=4, max_size=16)


class OrderMachine(RuleBasedStateMachine):
    """Guards P4 and P5 and the durability of outcomes.

    A wrong state shows as an order that ran twice, a refusal or an answer `not run`
    for an order that ran, an outcome that is known and then lost, or a key that stays
    unknown although its attempt was refused by an instance that still lives.
    """

    @initialize(commit=st.sampled_from(["grouped", "single"]), ages=RARELY)
    def start(self, commit, ages):
        self.world = World(names=NAMES, claim_commit=commit)
        self.actors = []
        self.refused = []
        self.completed = []
        self.recorded = {}
        self.aged = False
        self.may_age = ages

    @rule(name=NAME, key=KEY, short=RARELY, plan=PLAN)
    def submit(self, name, key, short, plan):
        instance = self.world.instances[name]
        deadline_ms = 100 if short else 60_000
        order = self.world.create_order(instance, key, deadline_ms)
        actor = self._spawn(instance, "run", order, lambda: instance.orders.run(order))
        self._follow(actor, plan)

    @rule(name=NAME, key=KEY, plan=PLAN)
    def ask(self, name, key, plan):
        instance = self.world.instances[name]
        actor = self._spawn(
            instance,
            "ask",
            key,
            lambda: instance.orders.find_outcome(
                key=key, caller="c", until_ms=instance.clock.now + 2_000
            ),
        )
        self._follow(actor, plan)

    @rule(name=NAME, plan=PLAN)
    def retry(self, name, plan):
        instance = self.world.instances[name]
        instance.clock.now += 10_000
        actor = self._spawn(instance, "retry", None, instance.claims.retry_outcomes)
        self._follow(actor, plan)

    @precondition(lambda self: self.actors)
    @rule(data=st.data(), plan=PLAN)
    def step(self, data, plan):
        self._follow(data.draw(st.sampled_from(self.actors)), plan)

    @precondition(lambda self: self.actors)
    @rule(data=st.data())
    def step_to_end(self, data):
        self._finish(data.draw(st.sampled_from(self.actors)))

    @rule(name=NAME, passed_ms=st.sampled_from([3_000, 100_000]))
    def freeze(self, name, passed_ms):
        self.world.instances[name].clock.now += passed_ms

    @precondition(lambda self: self.may_age and self.world.runs)
    @rule(name=NAME)
    def pass_retention(self, name):
        self.world.instances[name].clock.now += DAY_MS
        self.aged = True

    @rule(outage=RARELY)
    def set_outage(self, outage):
        self.world.platform.outage = outage

    @precondition(lambda self: self.world.platform.delayed)
    @rule()
    def apply_delayed_write(self):
        self.world.platform.write(*self.world.platform.delayed.pop(0))

    @precondition(lambda self: self.world.adrift)
    @rule(data=st.data(), ran=st.booleans())
    def settle_adrift(self, data, ran):
        self._settle(*data.draw(st.sampled_from(self.world.adrift)), ran)

    def _settle(self, entry, subrequest, ran):
        self.world.adrift.remove((entry, subrequest))
        outcome = self.world.run_order(subrequest) if ran else refuse_run(subrequest)
        if entry is self.world.instances[entry.peers.identity.name]:
            if ran:
                self.completed.append((entry, subrequest.order_key, outcome.reply))
            event = UnexpectedOutcome(outcome=outcome)
            self._spawn(entry, "late", None, lambda: entry.kernel.publish(event))

    @rule(name=NAME)
    def crash(self, name):
        dead = self.world.instances[name]
        self.world.restart(name)
        for actor in [actor for actor in self.actors if actor.instance is dead]:
            self._step(actor, "crash")

    @invariant()
    def runs_at_most_once(self):
        keys = [key for key, _ in self.world.runs]
        assert len(keys) == len(set(keys)), "an order ran twice"

    @invariant()
    def keeps_what_is_recorded(self):
        claims = self._read_claims()
        for key, entry in claims.items():
            if entry["state"] == "completed":
                self.recorded[key] = entry["reply"]
        if not self.aged:
            for key, reply in self.recorded.items():
                assert key in claims, "a record was lost"
                assert claims[key]["state"] == "completed", "a record was undone"
                assert claims[key]["reply"] == reply, "a record was changed"

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.platform.outage = False
        while self.world.platform.delayed:
            self.apply_delayed_write()
        while self.actors or self.world.adrift:
            if self.world.adrift:
                self._settle(*self.world.adrift[0], True)
            if self.actors:
                self._finish(self.actors[0])
        # Twice: the owner's turn, then the entry's own.
        for name in NAMES * 2:
            self.retry(name, [])
            while self.actors:
                self._finish(self.actors[0])
        self.runs_at_most_once()
        self.keeps_what_is_recorded()
        ran = {request_id for _, request_id in self.world.runs}
        refused = {request_id for _, request_id in self.refused}
        assert not ran & refused, "refused as not run, but ran"
        if not self.aged:
            self._check_living()

    def _check_living(self):
        living = self.world.instances.values()
        claims = self._read_claims()
        for instance, key, reply in self.completed:
            if instance in living:
                assert key in claims, "a claim was lost"
                assert claims[key]["state"] == "completed", "an outcome was lost"
                assert claims[key]["reply"] == reply
        refused = {request_id for owner, request_id in self.refused if owner in living}
        for entry in claims.values():
            if entry["state"] == "claimed":
                holder = entry["attempt"].split("/")[0]
                assert holder not in refused, "a refused attempt keeps its claim"

    def _read_claims(self):
        _, value = self.world.platform.objects.get("claims/0000", (0, {}))
        return value.get("claims", {})

    def _spawn(self, instance, kind, about, target):
        actor = Actor(instance=instance, target=target)
        actor.kind, actor.about = kind, about
        self.actors.append(actor)
        self._collect(actor)
        return actor

    def _follow(self, actor, plan):
        """Steps an actor; most numbers of a plan pick the choice without a fault,
        but the fates of a dispatch are all equally likely."""
        for number in plan:
            if actor.done:
                return
            choices = actor.choices
            fates = "completed" in choices
            index = number % len(choices) if fates else number
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
        ran = dict(self.world.runs)
        match actor.kind, actor.result:
            case "run", OrderNotRun():
                self.refused.append((actor.instance, actor.about.request_id))
            case _, OrderCompleted(key=key, reply=reply):
                assert reply == {"request": ran[key]}, "the reply of another run"
                self.completed.append((actor.instance, key, reply))
            case "ask", OrderNotRun(key=key):
                assert key not in ran, "reported as not run, but ran"
            case _:
                pass


OrderMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50, deadline=None
)
TestOrders = OrderMachine.TestCase
