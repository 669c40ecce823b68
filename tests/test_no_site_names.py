"""The package and the deploy file must not contain names from the deployments' site files in the kit."""

import os
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KIT = ROOT.parent / "given" / "kit"
EXCLUDED_FOLDERS = {"second"}  # folders of the kit that must not be opened
MAX_GENERIC_LETTERS = 6  # a name of no more letters, or without a hyphen, may be an ordinary technical term
SUFFIXES = {".py", ".json", ".cue", ".lark", ".toml"}
NAMED_TABLES = ("class", "tenant", "tier")  # tables of a site file whose entries have names


def site_files():
    found = []
    for folder, subfolders, files in os.walk(KIT):
        subfolders[:] = sorted(set(subfolders) - EXCLUDED_FOLDERS)
        found += [Path(folder, file) for file in sorted(files) if file.endswith(".toml")]
    return found


def names_of(site):
    """A site's own name, and those names of its classes, tenants, tiers, zones and kinds that are not generic."""
    entries = [entry for table in NAMED_TABLES for entry in site.get(table, [])]
    kinds = [kind for tier in site.get("tier", []) for kind in tier.get("kind", [])]
    others = [each["name"] for each in entries + kinds if "name" in each]
    others += site.get("net", {}).get("zones", [])
    specific = {name for name in others if len(name.replace("-", "")) > MAX_GENERIC_LETTERS and "-" in name}
    return specific | {site["name"]} if "name" in site else specific


def sources():
    paths = (path for path in (ROOT / "ochrecourse").rglob("*") if path.suffix in SUFFIXES)
    return [ROOT / "deploy" / "balancer.toml", *sorted(paths)]


def hits(names, texts):
    """Finds names as whole words, ignoring case, with `_` or a space for `-` too: file, line number and name."""
    found = []
    for name in sorted(names):
        word = "[-_ ]".join(re.escape(part) for part in name.split("-"))
        pattern = re.compile(rf"(?<![\w-]){word}(?![\w-])", re.IGNORECASE)
        for file, text in texts.items():
            found += [(file, i, name) for i, line in enumerate(text.splitlines(), 1) if pattern.search(line)]
    return found


def test_a_name_is_found_as_a_whole_word_only():
    texts = {"a.py": "x = 'far-harbour-9'\ny = far_harbour\nz = 'Far-Harbour'", "b.py": "afar-harbour"}
    assert hits({"far-harbour"}, texts) == [("a.py", 2, "far-harbour"), ("a.py", 3, "far-harbour")]


def test_short_and_generic_names_do_not_count_as_names_of_a_site():
    site = {
        "name": "harbour", "class": [{"name": "read"}, {"name": "berth-lookup"}, {"name": "a-b"}],
        "tier": [{"name": "stores", "kind": [{"name": "quick-drawer"}]}], "net": {"zones": ["north-quay", "b"]},
        "tenant": [{"name": "ordinary"}],
    }  # fmt: skip
    assert names_of(site) == {"harbour", "berth-lookup", "quick-drawer", "north-quay"}


@pytest.mark.skipif(
    not KIT.is_dir(), reason="the kit with the deployments' site files is not beside the repository"
)
def test_the_package_and_the_deploy_file_contain_no_name_of_a_deployment():
    files = site_files()
    names = set().union(*(names_of(tomllib.loads(file.read_text())) for file in files))
    assert len(files) >= 2 and names
    texts = {str(path.relative_to(ROOT)): path.read_text() for path in sources()}
    assert not hits(names, texts)
