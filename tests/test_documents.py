"""The pages for readers of the code name files, classes and methods that are there."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ["architecture.md"]
QUOTED = re.compile(r"`([^`\n]+)`")
FILE = re.compile(r"[\w/]+\.(py|cue|md)")
NAME = re.compile(r"([A-Z]\w+)(?:\.(\w+))?")


def quoted(page):
    return QUOTED.findall((ROOT / "docs" / page).read_text())


def classes():
    """Names of classes and module-level tables with the names that stand in them, over the whole package."""
    found = {}
    for path in (ROOT / "ochrecourse").rglob("*.py"):
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ClassDef):
                inside = {each.name for each in node.body if isinstance(each, ast.FunctionDef)}
                found.setdefault(node.name, set()).update(inside)
            for target in [node.target] if isinstance(node, ast.AnnAssign) else getattr(node, "targets", []):
                found.setdefault(getattr(target, "id", ""), set())
    return found


@pytest.mark.parametrize("page", PAGES)
def test_files_that_a_page_names_are_there(page):
    files = [each for each in quoted(page) if FILE.fullmatch(each)]
    assert len(files) > 20
    places = (ROOT, ROOT / "ochrecourse", ROOT / "docs", ROOT / "ochrecourse" / "settings")
    assert [each for each in files if not any((place / each).is_file() for place in places)] == []


@pytest.mark.parametrize("page", PAGES)
def test_classes_and_methods_that_a_page_names_are_there(page):
    known = classes()
    names = [match for each in quoted(page) if (match := NAME.fullmatch(each))]
    assert len(names) > 20
    missing = [
        match.group()
        for match in names
        if match[1] not in known or (match[2] and match[2] not in known[match[1]])
    ]
    assert missing == []
