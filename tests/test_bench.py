"""Tests of the load tool (arrivals, tallies, experiment files) and of line fitting."""

import textwrap
from importlib import resources
from pathlib import Path

import pytest

from gooseberrystand.bench.experiment import ExperimentError, Kill, load_experiment
from gooseberrystand.bench.generator import LoadPlan, classify_reply, schedule_arrivals
from gooseberrystand.bench.report import compute_extra_load
from gooseberrystand.bench.tally import Answered, Lost, Refused, Tally
from gooseberrystand.slopes.fit import Series, fit_line

SMALL_EXPERIMENT = """
seed: 1
generators: 1
warmup_s: 0
duration_s: 1
instances: 1
shapes: [{name: desk, services: 2}]
ranks: {urgent: {rate: 10, deadline_ms: 1000}}
variants: {design: {}}
cases:
  calm:
  flood:
    ranks: {urgent: {rate: 300}}
    faults: [{action: kill, at_s: 1, target: entry-0}]
"""


def write_experiment(folder, text):
    path = folder / "experiment.yaml"
    path.write_text(textwrap.dedent(text))
    return path


def create_reply(hits):
    return {
        "coverage": {"covered": ["s1"], "missing": [], "shards_total": 1},
        "hits": hits,
    }


@pytest.mark.parametrize("name", ["short.yaml", "full.yaml"])
def test_packaged_experiments_are_valid(name):
    path = resources.files("gooseberrystand.bench").joinpath(name)
    assert load_experiment(Path(str(path))).cases


def test_case_overrides_one_value_and_keeps_the_others(tmp_path):
    calm, flood = load_experiment(write_experiment(tmp_path, SMALL_EXPERIMENT)).cases
    assert calm.ranks["urgent"].rate == 10
    assert (flood.ranks["urgent"].rate, flood.ranks["urgent"].deadline_ms) == (
        300,
        1000,
    )
    assert flood.faults == [Kill(at_s=1, target="entry-0")]


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("rate: 300", "rate: many", "cases.1.ranks.urgent.rate"),
        ("action: kill", "action: tease", "cases.1.faults.0"),
        ("calm:", "calm: {variants: [other]}", "no variant 'other'"),
    ],
)
def test_wrong_value_is_named(tmp_path, old, new, message):
    with pytest.raises(ExperimentError, match=message):
        load_experiment(write_experiment(tmp_path, SMALL_EXPERIMENT.replace(old, new)))


def test_variants_see_the_same_arrivals():
    plan = LoadPlan(
        service="desk",
        rank="urgent",
        rate=100,
        deadline_ms=1000,
        duration_s=2,
        seed=3,
        ports=[1, 2, 3],
    )
    arrivals = list(schedule_arrivals(plan))
    assert arrivals == list(schedule_arrivals(plan))
    assert 140 < len(arrivals) < 260
    assert all(sorted(ports) == [1, 2, 3] for _, ports in arrivals)


@pytest.mark.parametrize(
    ("hits", "truthful"),
    [({"s1": ["s1@a"]}, True), ({"s1": ["s2@a"]}, False), ({}, False)],
)
def test_answer_whose_hits_differ_from_its_coverage_is_untruthful(hits, truthful):
    outcome = classify_reply(
        status=200, reply=create_reply(hits), latency_ms=1, deadline_ms=2
    )
    assert outcome.truthful is truthful


def test_typed_error_is_a_refusal_and_untyped_one_is_lost():
    typed = classify_reply(
        status=429,
        reply={"error": {"code": "overloaded"}},
        latency_ms=1,
        deadline_ms=2,
    )
    untyped = classify_reply(status=500, reply={}, latency_ms=1, deadline_ms=2)
    assert typed == Refused(code="overloaded")
    assert isinstance(untyped, Lost)


def test_encoded_tally_merges_without_loss():
    first, second = Tally(), Tally()
    answer = Answered(latency_ms=20, in_time=True, covered=1, shards=2, truthful=True)
    late = Answered(latency_ms=80, in_time=False, covered=2, shards=2, truthful=True)
    first.record_outcome(answer)
    first.record_outcome(Refused(code="overloaded"))
    second.record_outcome(late)
    second.merge(first.encode())
    assert second.counts == {
        "offered": 3,
        "in_time": 1,
        "late": 1,
        "refused": 1,
        "lost": 0,
        "untruthful": 0,
    }
    assert second.coverage == 1.5
    assert second.covered == 3
    assert round(second.get_percentile_ms(99)) == 80


def test_extra_load_is_zero_when_each_shard_was_asked_once():
    assert compute_extra_load(20, 20) == 0
    assert compute_extra_load(21, 20) == 0.05
    assert compute_extra_load(5, 0) is None


def test_fit_recovers_a_line_and_declines_a_single_size():
    line = fit_line(Series(cost="c", size="s", points=[(1, 3), (2, 5), (4, 9)]))
    assert (round(line.slope, 6), round(line.intercept, 6)) == (2, 1)
    assert fit_line(Series(cost="c", size="s", points=[(1, 3), (1, 4)])) is None
