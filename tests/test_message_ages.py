"""Delays of messages, estimated from the clocks of two machines that differ."""

import pytest

from gooseberrymux.message_ages import DRIFT_MS_PER_S, MessageAges
from gooseberrymux.records import InstanceIdentity

SENDER = InstanceIdentity(name="entry", incarnation=1)
TRANSIT_MS = 3.0


class Sender:
    """Sends messages with a clock that differs from the receiver's by a constant."""

    def __init__(self, *, offset_ms, ages=None, identity=SENDER):
        self.offset_ms = offset_ms
        self.identity = identity
        self.ages = ages or MessageAges()

    def deliver(self, sent_ms, *, delay_ms=0.0):
        """Returns the delay that is estimated for a message."""
        return self.ages.estimate_ms(
            sender=self.identity,
            sent_ms=sent_ms + self.offset_ms,
            received_ms=sent_ms + TRANSIT_MS + delay_ms,
        )


@pytest.mark.parametrize("offset_ms", [-1e9, 0.0, 12_345.0])
def test_a_delay_is_seen_whatever_the_clocks_show(offset_ms):
    # Guards against upstreams that are given more time than the caller still waits.
    sender = Sender(offset_ms=offset_ms)
    assert sender.deliver(0.0) == 0.0
    assert sender.deliver(10.0, delay_ms=500.0) == pytest.approx(500.0, abs=0.1)
    assert sender.deliver(20.0) == pytest.approx(0.0, abs=0.1)


def test_a_faster_message_corrects_what_the_first_one_suggested():
    sender = Sender(offset_ms=0.0)
    sender.deliver(0.0, delay_ms=50.0)
    assert sender.deliver(10.0) == 0.0
    assert sender.deliver(20.0, delay_ms=50.0) == pytest.approx(50.0, abs=0.1)


def test_a_restarted_sender_starts_anew():
    # Guards against delays computed with the clock of another machine that took over
    # the name.
    ages = MessageAges()
    Sender(offset_ms=0.0, ages=ages).deliver(0.0)
    restarted = InstanceIdentity(name="entry", incarnation=2)
    sender = Sender(offset_ms=-9_000.0, ages=ages, identity=restarted)
    assert sender.deliver(10.0) == 0.0


def test_clocks_that_drift_apart_cause_no_delay():
    ages = MessageAges()
    for second in range(600):
        now_ms = second * 1000.0
        drift_ms = DRIFT_MS_PER_S * second
        age = ages.estimate_ms(
            sender=SENDER, sent_ms=now_ms - drift_ms, received_ms=now_ms + TRANSIT_MS
        )
        assert age == pytest.approx(0.0, abs=1e-6)


def test_forged_senders_use_bounded_memory(monkeypatch):
    monkeypatch.setattr("gooseberrymux.message_ages.SENDER_LIMIT", 4)
    ages = MessageAges()
    for number in range(20):
        identity = InstanceIdentity(name=f"i{number}", incarnation=1)
        Sender(offset_ms=0.0, ages=ages, identity=identity).deliver(0.0)
    assert len(ages._baselines) == 4
