"""Order of generations over the eras of the platform."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrymux.document_table import GENERATION_LIMIT
from gooseberrymux.eras import REVISION_LIMIT, combine_era, get_era

eras = st.integers(min_value=0, max_value=8_191)
revisions = st.integers(min_value=0, max_value=REVISION_LIMIT - 1)


# Guards against a later list that counts as older than one of an earlier era.
@given(st.tuples(eras, revisions), st.tuples(eras, revisions))
def test_generations_are_ordered_by_era_and_then_by_revision(first, second):
    assert (combine_era(*first) < combine_era(*second)) == (first < second)
    assert get_era(combine_era(*first)) == first[0]
    assert combine_era(*first) < GENERATION_LIMIT


@pytest.mark.parametrize("revision", [-1, REVISION_LIMIT])
def test_a_revision_that_does_not_fit_is_refused(revision):
    with pytest.raises(ValueError, match="out of range"):
        combine_era(1, revision)
