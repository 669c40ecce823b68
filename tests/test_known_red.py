"""The list of tests whose failures CI ignores: each entry is complete and its test exists."""

import re

from conftest import KNOWN_RED, known_red


def test_each_line_names_a_test_a_command_with_its_seed_a_cause_and_an_issue():
    entries = known_red()
    for line in entries.values():
        test, command, cause, issue = line.split(" | ")
        file, name = test.split("::")
        function = name.partition("[")[0]
        assert f"def {function}(" in (KNOWN_RED.parent / file).read_text()
        assert command and re.search(r"\bseed \d+", command)
        assert cause and re.fullmatch(r"issue \d+", issue)
