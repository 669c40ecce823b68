"""The list of tests that CI passes over: each entry complete, each test there."""

import re

from conftest import KNOWN_RED, known_red


def test_each_line_names_a_test_a_command_with_its_seed_what_was_seen_and_an_issue():
    told = known_red()
    for line in told.values():
        test, command, cause, issue = line.split(" | ")
        file, name = test.split("::")
        function = name.partition("[")[0]
        assert f"def {function}(" in (KNOWN_RED.parent / file).read_text()
        assert command and re.search(r"\bseed \d+", command)
        assert cause and re.fullmatch(r"issue \d+", issue)
