"""Recording of drops: all are counted, few are logged."""

from gooseberrymux.clock import ManualClock
from gooseberrymux.drops import LOG_PERIOD_MS, SOURCES_LIMIT, DropRecorder


def test_many_sources_neither_flood_the_log_nor_the_memory():
    # Guards against a sender that changes its name for each invalid frame, and so gets
    # a log line and an entry in memory for each.
    clock = ManualClock()
    drops = DropRecorder(clock=clock)
    count = SOURCES_LIMIT * 3
    logged = sum(
        drops.record(reason="garbled", step="peers.receive", peer=f"peer-{number}")
        for number in range(count)
    )
    assert logged == SOURCES_LIMIT
    assert drops.describe() == {"garbled": count}
    clock.advance(LOG_PERIOD_MS)
    assert drops.record(reason="garbled", step="peers.receive", peer="another")
