"""Files, classes and methods that pages about the code name must exist."""

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
    """The names of all classes and module-level variables of the package, each class with the names of its methods."""
    found = {}
    for path in (ROOT / "ochrecourse").rglob("*.py"):
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ClassDef):
                methods = {each.name for each in node.body if isinstance(each, ast.FunctionDef)}
                found.setdefault(node.name, set()).update(methods)
            for target in [node.target] if isinstance(node, ast.AnnAssign) else getattr(node, "targets", []):
                found.setdefault(getattr(target, "id", ""), set())
    return found


@pytest.mark.parametrize("page", PAGES)
def test_files_that_a_page_names_exist(page):
    files = [each for each in quoted(page) if FILE.fullmatch(each)]
    assert len(files) > 20
    folders = (ROOT, ROOT / "ochrecourse", ROOT / "docs", ROOT / "ochrecourse" / "settings")
    assert [each for each in files if not any((folder / each).is_file() for folder in folders)] == []


@pytest.mark.parametrize("page", PAGES)
def test_classes_and_methods_that_a_page_names_exist(page):
    known = classes()
    names = [match for each in quoted(page) if (match := NAME.fullmatch(each))]
    assert len(names) > 20
    missing = [
        match.group()
        for match in names
        if match[1] not in known or (match[2] and match[2] not in known[match[1]])
    ]
    assert missing == []
