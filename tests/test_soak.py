"""A short part of the soak: one seed, and those that have failed before."""

import shutil

import pytest

from soak.regressions import REGRESSIONS
from soak.run import play

SHORT_S = 22.0


def check(verdict):
    assert verdict.problems == [], verdict.describe()
    shutil.rmtree(verdict.folder)


@pytest.mark.processes
def test_a_short_run_keeps_all_promises():
    check(play(seed=1, duration_s=SHORT_S))


@pytest.mark.processes
@pytest.mark.parametrize("case", REGRESSIONS, ids=lambda case: str(case.seed))
def test_a_seed_that_has_failed_before_is_sound(case):
    check(play(seed=case.seed, shards=case.shards, replicas=case.replicas))
