"""Kernels connected by real peer links on loopback, for tests of the peer services."""

import contextlib
import time

import yaml

from gooseberrymux.clock import Clock
from gooseberrymux.kernel import Kernel
from gooseberrymux.membership import Membership
from gooseberrymux.peers import PeerLost, Peers
from gooseberrymux.settings import parse_settings
from gooseberrystand.processes import ReservedPort
from gooseberrystand.server import HOST

WAIT_TIMEOUT_S = 8
_reserved_ports = []


def find_free_port():
    """Returns a port that stays reserved until the test run ends."""
    _reserved_ports.append(ReservedPort())
    return _reserved_ports[-1].number


def create_settings(name, *, port=None, **sections):
    sections["platform"] = {
        "url": f"http://{HOST}:{find_free_port()}",
        **sections.get("platform", {}),
    }
    own = {
        "name": name,
        "failure_domain": "domain-a",
        "callers": {"port": find_free_port()},
        "administration": {"port": find_free_port()},
        "peers": {"port": port or find_free_port()},
    }
    own |= sections.pop("instance", {})
    text = yaml.safe_dump({"instance": own, **sections})
    return parse_settings(text, source=name)


class Node:
    """A kernel with some services that records lost peers and received messages."""

    def __init__(self, name, *, services=("membership",), port=None, **sections):
        self.settings = create_settings(name, port=port, **sections)
        self.kernel = Kernel(settings=self.settings, clock=Clock())
        self.kernel.load(services)
        self.peers = self.kernel.find("peers", Peers)
        self.lost = []
        self.kernel.subscribe(PeerLost, self.lost.append)
        self.received = []

    @property
    def address(self):
        return self.settings.instance.peers

    @property
    def membership(self):
        return self.kernel.find("membership", Membership)

    def live(self):
        return sorted(member.name for member in self.membership.list_live())

    def state_of(self, name):
        for member in self.membership.list_members():
            if member.instance == name:
                return member.state.value
        return None

    def record(self, sender, message):
        self.received.append((sender, message))

    def connect(self, other):
        self.peers.connect(name=other.settings.instance.name, address=other.address)


@contextlib.contextmanager
def running(*nodes):
    for node in nodes:
        node.kernel.start()
    try:
        yield
    finally:
        for node in nodes:
            node.kernel.stop()


def wait_for(condition, description):
    until = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < until, f"did not happen: {description}"
        time.sleep(0.01)
