"""The list of tests that CI passes over: short, each line whole, each test there."""

import re

from conftest import KNOWN_RED, known_red

MOST = 3  # tests that may wait for their mend at once


def test_the_list_is_short_and_each_line_names_a_test_a_cause_and_an_issue():
    told = known_red()
    assert len(told) <= MOST
    for line in told.values():
        test, cause, issue = line.split(" | ")
        file, name = test.split("::")
        function = name.partition("[")[0]
        assert f"def {function}(" in (KNOWN_RED.parent / file).read_text()
        assert cause and re.fullmatch(r"issue \d+", issue)
