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
from order_world import WALL_MS, Actor, World, refuse_run

NAMES = ("a", "b")
DAY_MS = 86_400_000


def create_key(number):
    return f"{WALL_MS >> 16:08x}-{WALL_MS & 0xFFFF:04x}-7000-8000-{number:012x}"


KEYS = tuple(create_key(number) for number in range(2))


class OrderMachine(RuleBasedStateMachine):
    """Guards P4 and P5 and the durability of outcomes.

    A wrong state shows as an order that ran twice, a refusal or an answer `not run`
    for an order that ran, an outcome that is known and then lost, or a key that stays
    unknown although its attempt was refused by an instance that still lives.
    """

    @initialize(commit=st.sampled_from(["grouped", "single"]))
    def start(self, commit):
        self.world = World(names=NAMES, claim_commit=commit)
        self.actors = []
        self.refused = []
        self.completed = []
        self.recorded = {}
        self.aged = False

    @rule(
        name=st.sampled_from(NAMES),
        key=st.sampled_from(KEYS),
        deadline_ms=st.sampled_from([100, 60_000]),
    )
    def submit(self, name, key, deadline_ms):
        instance = self.world.instances[name]
        order = self.world.create_order(instance, key, deadline_ms)
        self._spawn(instance, "run", order, lambda: instance.orders.run(order))

    @rule(name=st.sampled_from(NAMES), key=st.sampled_from(KEYS))
    def ask(self, name, key):
        instance = self.world.instances[name]
        self._spawn(
            instance,
            "ask",
            key,
            lambda: instance.orders.find_outcome(
                key=key, caller="c", until_ms=instance.clock.now + 2_000
            ),
        )

    @rule(name=st.sampled_from(NAMES))
    def retry(self, name):
        instance = self.world.instances[name]
        instance.clock.now += 10_000
        self._spawn(instance, "retry", None, instance.claims.retry_outcomes)

    @precondition(lambda self: self.actors)
    @rule(data=st.data())
    def step(self, data):
        actor = data.draw(st.sampled_from(self.actors))
        # The first choice, without a fault, comes up more often.
        choices = (actor.choices[0], *actor.choices)
        self._step(actor, data.draw(st.sampled_from(choices)))

    @precondition(lambda self: self.actors)
    @rule(data=st.data())
    def step_to_end(self, data):
        self._finish(data.draw(st.sampled_from(self.actors)))

    @rule(name=st.sampled_from(NAMES), passed_ms=st.sampled_from([3_000, 100_000]))
    def freeze(self, name, passed_ms):
        self.world.instances[name].clock.now += passed_ms

    @rule(name=st.sampled_from(NAMES))
    def pass_retention(self, name):
        self.world.instances[name].clock.now += DAY_MS
        self.aged = True

    @rule()
    def toggle_outage(self):
        self.world.platform.outage = not self.world.platform.outage

    @precondition(lambda self: self.world.platform.delayed)
    @rule()
    def apply_delayed_write(self):
        self.world.platform.write(*self.world.platform.delayed.pop(0))

    @precondition(lambda self: self.world.adrift)
    @rule(data=st.data(), ran=st.booleans())
    def settle_adrift(self, data, ran):
        entry, subrequest = data.draw(st.sampled_from(self.world.adrift))
        self.world.adrift.remove((entry, subrequest))
        outcome = self.world.run_order(subrequest) if ran else refuse_run(subrequest)
        if entry is self.world.instances[entry.peers.identity.name]:
            if ran:
                self.completed.append((entry, subrequest.order_key, outcome.reply))
            event = UnexpectedOutcome(outcome=outcome)
            self._spawn(entry, "late", None, lambda: entry.kernel.publish(event))

    @rule(name=st.sampled_from(NAMES))
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
                assert claims[key]["state"] == "completed", "a record was undone"
                assert claims[key]["reply"] == reply, "a record was changed"

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.platform.outage = False
        while self.world.platform.delayed:
            self.apply_delayed_write()
        while self.actors:
            self._finish(self.actors[0])
        # Twice: the owner's turn, then the entry's own.
        for name in NAMES * 2:
            self.retry(name)
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
    max_examples=100, stateful_step_count=40, deadline=None
)
TestOrders = OrderMachine.TestCase
