"""An odd entry of another writer among those of the servers."""

import json

import pytest
from test_entries import SERVER

from gooseberrystand.server import JsonReply, RawReply
from machines.fake_store import FakeStore
from machines.test_restored_store import Instance, open_instance

PLACEHOLDER = "odd value"


class OddStore(FakeStore):
    """Replaces the string `PLACEHOLDER` in its answers by the bytes of `odd`."""

    __slots__ = ("odd",)

    def __init__(self):
        self.odd = b"null"
        super().__init__()

    def handle(self, call):
        match super().handle(call):
            case JsonReply(body=body, status=status, headers=headers):
                encoded = json.dumps(body).encode()
                data = encoded.replace(json.dumps(PLACEHOLDER).encode(), self.odd)
                return RawReply(data=data, status=status, headers=headers)
            case reply:
                return reply


def nest(depth):
    return b"[" * depth + b"]" * depth


ODD_VALUES = {
    "nested 900": nest(900),
    "nested 950": nest(950),
    "nested 980": nest(980),
    "nested 1000": nest(1_000),
    "nested 200000": nest(200_000),
    "nested objects": b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
    "long integer": b"9" * 5_000,
    "integer beyond 64 bits": b"9" * 30,
    "long negative integer": b"-" + b"7" * 100_000,
    "large float": b"1e999",
    "not UTF-8": b'"\xff\xfe"',
    "unpaired surrogate": b'"\\ud800"',
    "port out of range": b'"10.0.0.9:70000"',
}


@pytest.mark.parametrize("field", ["address", "slots", "born", "other"])
@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
# Guards against a list that is not followed any more, or an instance that ends, because
# of one entry.
def test_the_other_servers_are_followed_beside_an_odd_entry(field, odd):
    with open_instance(store=OddStore()) as instance:
        instance.store.odd = odd
        instance.wait_for_state("i-1", "live")
        instance.write_server("i-odd", **{field: PLACEHOLDER})
        instance.write_server("i-1", state="draining")
        instance.wait_for_state("i-1", "leaving")
        instance.write_server("i-new")
        instance.wait_for_state("i-new", "live")
        assert instance.kernel.failure is None


# Guards against an instance that starts beside the odd entry and gets no list at all.
@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
def test_an_instance_starts_beside_an_odd_entry(odd):
    store = OddStore()
    store.odd = odd
    store.write("servers", "i-odd", {**SERVER["spec"], "other": PLACEHOLDER})
    with open_instance(store=store) as instance:
        assert isinstance(instance, Instance)
        instance.wait_for_state("i-1", "live")
        assert instance.kernel.failure is None
