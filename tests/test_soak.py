"""Short soak runs: one fixed seed, and the seeds that have failed before."""

import shutil

import pytest

from soak.regressions import REGRESSIONS
from soak.run import run_soak

SHORT_RUN_S = 22.0


def assert_no_problems(result):
    assert result.problems == [], result.describe()
    shutil.rmtree(result.folder)


@pytest.mark.processes
def test_a_short_run_keeps_all_promises():
    assert_no_problems(run_soak(seed=1, duration_s=SHORT_RUN_S))


@pytest.mark.processes
@pytest.mark.parametrize("case", REGRESSIONS, ids=lambda case: str(case.seed))
def test_a_seed_that_has_failed_before_is_sound(case):
    assert_no_problems(
        run_soak(seed=case.seed, shards=case.shards, replicas=case.replicas)
    )
