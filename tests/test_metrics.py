"""Counters that are kept in a plain table until they are rendered."""

import threading

from aioprometheus import REGISTRY, Counter, Gauge

from gooseberrymux import metrics
from gooseberrymux.metrics import BufferedCounter, SampledGauge

THREADS = 4
INCREMENTS = 500


def create_counter(name):
    counter = Counter(name, "A counter of a test.")
    return counter, BufferedCounter(counter=counter, labels=("cause", "outcome"))


def test_what_was_counted_is_added_once():
    counter, buffered = create_counter("test_added_once_total")
    for _ in range(3):
        buffered.increment("first", "ok")
    buffered.increment("hedge", "ok")
    buffered.flush()
    buffered.flush()
    assert counter.get({"cause": "first", "outcome": "ok"}) == 3
    assert counter.get({"cause": "hedge", "outcome": "ok"}) == 1
    REGISTRY.deregister("test_added_once_total")


def test_no_increment_of_several_threads_is_lost():
    counter, buffered = create_counter("test_threads_total")

    def count():
        for number in range(INCREMENTS):
            buffered.increment("first", "ok")
            if number % 50 == 0:
                buffered.flush()

    threads = [threading.Thread(target=count) for _ in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    buffered.flush()
    assert counter.get({"cause": "first", "outcome": "ok"}) == THREADS * INCREMENTS
    REGISTRY.deregister("test_threads_total")


def test_sends_are_rendered():
    metrics.sends_total.increment("first", "Replied")
    body, _ = metrics.render_metrics("")
    assert b'gooseberrymux_sends_total{cause="first",outcome="Replied"}' in body


def test_a_label_for_names_from_configurations_is_bounded():
    # Guards against time series without end where workspaces come and go.
    label = metrics.BoundedLabel(max_values=2)
    assert [label.limit(name) for name in "abcab"] == ["a", "b", "other", "a", "b"]


def test_a_sampled_gauge_has_the_values_of_the_time_of_the_scrape():
    # Guards against an age that stands still while nothing happens.
    gauge = Gauge("test_sampled_ms", "A gauge of a test.")
    sampled = SampledGauge(gauge=gauge, label="prefix")
    ages_ms = {"routes/": 10.0}
    sampled.read_from(lambda: ages_ms)
    sampled.sample()
    ages_ms["routes/"] = 70.0
    sampled.sample()
    assert gauge.get({"prefix": "routes/"}) == 70.0
    REGISTRY.deregister("test_sampled_ms")
