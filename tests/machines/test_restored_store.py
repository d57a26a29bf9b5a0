"""An instance and a store that is restored from an older copy of itself."""

import contextlib

from test_entries import CONFIGURATION, SERVER

from gooseberrymux.clock import Clock
from gooseberrymux.documents import Documents
from gooseberrymux.inventory import INVENTORY_NAME, Inventory
from gooseberrymux.kernel import Kernel
from gooseberrymux.records import UpstreamState
from gooseberrymux.routes import ROUTES_DOCUMENT_NAME, Routes
from gooseberryplatform.platform import StorePlatform
from harness import FakeMembership, FakePeers, create_settings, wait_until
from machines.fake_store import FakeStore

SERVER_NAMES = ("i-1", "i-2", "i-3")


class Instance:
    """The services of one instance that follow the store, with a store of its own."""

    def __init__(self, store=None, known=()):
        self.store = store or FakeStore()
        if not known:
            for name in SERVER_NAMES:
                self.write_server(name)
            self.write_configuration(7)
        settings = create_settings(
            platform={
                "url": f"http://127.0.0.1:{self.store.port}",
                "watch_timeout_ms": 200,
                "watch_pause_ms": 1,
            }
        )
        self.kernel = Kernel(settings=settings, clock=Clock())
        self.kernel.register("peers", FakePeers())
        self.kernel.register("membership", FakeMembership(("entry",)))
        self.kernel.register("platform", StorePlatform(kernel=self.kernel))
        self.kernel.load(("inventory", "routes"))
        self.inventory = self.kernel.find("inventory", Inventory)
        self.routes = self.kernel.find("routes", Routes)
        for document in known:
            self.kernel.find("documents", Documents).apply_if_newer(
                document, source="peer"
            )
        for name in ("timers", "documents"):
            self.kernel._services[name].start()

    def write_server(self, name, **changes):
        self.store.write("servers", name, {**SERVER["spec"], **changes})

    def write_configuration(self, version):
        spec = {**CONFIGURATION["spec"], "version": version}
        self.store.write("config", "main", spec)

    def wait_for_state(self, name, state):
        def is_in_state():
            record = self.inventory.find_upstream(name)
            return record is not None and record.state == state

        wait_until(is_in_state, message=f"{name} is not {state}")

    def wait_for_generation(self, generation):
        def is_in_force():
            table = self.routes.get_current()
            return table is not None and table.generation == generation

        wait_until(is_in_force, message=f"{generation} is not in force")

    def stop(self):
        for name in ("documents", "timers", "platform"):
            self.kernel._services[name].stop()
        self.store.close()


@contextlib.contextmanager
def open_instance(**fields):
    instance = Instance(**fields)
    try:
        yield instance
    finally:
        instance.stop()


# Guards against a list of upstreams that stays in force because the store's revisions
# start again below the revision that it was read at.
def test_an_upstream_that_leaves_after_a_restore_gets_no_new_work():
    with open_instance() as instance:
        instance.wait_for_state("i-1", UpstreamState.LIVE)
        copy = instance.store.take_copy()
        for version in range(8, 30):
            instance.write_configuration(version)
        instance.write_server("i-3", slots=5)
        instance.wait_for_generation(29)
        wait_until(
            lambda: instance.inventory.find_upstream("i-3").slots == 5,
            message="the change before the restore is not in force",
        )
        instance.store.restore(copy)
        instance.write_configuration(29)
        instance.write_server("i-3", slots=5)
        instance.write_server("i-1", state="draining")
        instance.wait_for_state("i-1", UpstreamState.LEAVING)


# Guards against routes that go back to the version of the copy.
def test_the_newest_routes_stay_in_force_over_a_restore():
    with open_instance() as instance:
        instance.wait_for_generation(7)
        copy = instance.store.take_copy()
        instance.write_configuration(9)
        instance.wait_for_generation(9)
        instance.store.restore(copy)
        reads = len(instance.store.calls)
        wait_until(lambda: len(instance.store.calls) > reads + 4, message="no calls")
        assert instance.routes.get_current().generation == 9
        instance.write_configuration(9)
        instance.write_configuration(11)
        instance.wait_for_generation(11)


# Guards against changes that a new reader misses, as it takes over at the moment of the
# restore and knows what is in force from its peers only.
def test_a_reader_that_begins_after_a_restore_goes_on_from_what_its_peers_had():
    with open_instance() as former:
        former.wait_for_generation(7)
        copy = former.store.take_copy()
        former.write_configuration(9)
        for slots in range(3, 20):
            former.write_server("i-3", slots=slots)
        former.wait_for_generation(9)
        former.wait_for_state("i-1", UpstreamState.LIVE)
        documents = former.kernel.find("documents", Documents)
        known = [documents.get(INVENTORY_NAME), documents.get(ROUTES_DOCUMENT_NAME)]
        former.store.restore(copy)
        with open_instance(store=former.store, known=known) as successor:
            assert successor.routes.get_current().generation == 9
            former.write_server("i-1", state="draining")
            successor.wait_for_state("i-1", UpstreamState.LEAVING)
            assert successor.routes.get_current().generation == 9
            former.write_configuration(11)
            successor.wait_for_generation(11)
