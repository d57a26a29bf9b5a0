"""Configuration files of gooseberryctl: line numbers in errors, edits and diffs."""

import pytest

from gooseberryctl.client import Edit, Problem
from gooseberryctl.files import (
    FileError,
    create_edits,
    read_file,
    render_diff,
)

CONFIGURATION_YAML = """\
groups:
  - name: desk
    index: desk
    match: {group: desk}
selectors:
  - name: all
    priority: 1
    groups: [desk]
"""


def write_configuration(tmp_path, text):
    path = tmp_path / "configuration.yaml"
    path.write_text(text)
    return path


def test_problem_names_file_line_object_and_field(tmp_path):
    configuration = read_file(write_configuration(tmp_path, CONFIGURATION_YAML))
    located = configuration.format_located_problem(
        Problem(object="selector/all", field="groups.0", message="unknown group")
    )
    assert located.endswith(":8: selector/all groups.0: unknown group")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("groups:\n  - index: desk\n", ":2): a group needs the field 'name'"),
        ("colours: []\n", ":1): unknown section 'colours'"),
        ("groups: {}\n", ":1): expected a list of group objects"),
        ("groups: [\n", "file ("),
        (
            "groups:\n  - name: a\n  - name: a\n",
            ":3): group 'a' is already defined on line 2",
        ),
    ],
)
def test_wrong_file_is_refused_with_its_line(tmp_path, text, message):
    with pytest.raises(FileError) as caught:
        read_file(write_configuration(tmp_path, text))
    assert message in str(caught.value)


def test_unchanged_file_makes_no_edit(tmp_path):
    wanted = read_file(write_configuration(tmp_path, CONFIGURATION_YAML))
    current = {
        "groups": [
            {
                "name": "desk",
                "index": "desk",
                "match": {"group": "desk"},
                "labels": {},
                "outcome_lookup": False,
            }
        ],
        "selectors": [
            {"name": "all", "priority": 1, "groups": ["desk"], "callers": []}
        ],
    }
    assert create_edits(current=current, wanted=wanted, prune=True) == ()


def test_prune_removes_what_the_file_lacks_and_only_with_prune(tmp_path):
    wanted = read_file(write_configuration(tmp_path, CONFIGURATION_YAML))
    current = {"drains": [{"upstream": "desk-0"}]}
    kept = create_edits(current=current, wanted=wanted, prune=False)
    assert [edit.action for edit in kept] == ["put", "put"]
    pruned = create_edits(current=current, wanted=wanted, prune=True)
    assert pruned[-1] == Edit(action="remove", kind="drain", name="desk-0")


def test_difference_shows_both_sides(tmp_path):
    wanted = read_file(write_configuration(tmp_path, CONFIGURATION_YAML))
    current = {"selectors": [{"name": "all", "priority": 5, "groups": ["desk"]}]}
    edits = create_edits(current=current, wanted=wanted, prune=False)
    diff = render_diff(current=current, edits=edits)
    assert "-priority: 5" in diff
    assert "+priority: 1" in diff


def test_priority_zero_is_a_difference(tmp_path):
    # 0 equals False, which counts as empty because the server adds it for some fields.
    wanted = read_file(
        write_configuration(
            tmp_path, CONFIGURATION_YAML.replace("priority: 1", "priority: 0")
        )
    )
    current = {"selectors": [{"name": "all", "groups": ["desk"]}]}
    edits = create_edits(current=current, wanted=wanted, prune=False)
    assert any(edit.kind == "selector" for edit in edits)
