"""No name of a deployment that lies in the kit stands in the package or in the deploy file."""

import os
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KIT = ROOT.parent / "given" / "kit"
SHUT = {"second"}  # folders of the kit that are not to be opened
TOLD = 6  # letters; a shorter name, or one without a hyphen, may be any word of the trade
SUFFIXES = {".py", ".json", ".cue", ".lark", ".toml"}
NAMED = ("class", "tenant", "tier")  # tables of a site file whose entries have names


def site_files():
    found = []
    for folder, inside, files in os.walk(KIT):
        inside[:] = sorted(set(inside) - SHUT)
        found += [Path(folder, file) for file in sorted(files) if file.endswith(".toml")]
    return found


def names_of(site):
    """A site's own name, and those of its classes, tenants, tiers, zones and kinds that can mean nothing else."""
    entries = [entry for table in NAMED for entry in site.get(table, [])]
    kinds = [kind for tier in site.get("tier", []) for kind in tier.get("kind", [])]
    others = [each["name"] for each in entries + kinds if "name" in each]
    others += site.get("net", {}).get("zones", [])
    telling = {name for name in others if len(name.replace("-", "")) > TOLD and "-" in name}
    return telling | {site["name"]} if "name" in site else telling


def sources():
    inside = (path for path in (ROOT / "ochrecourse").rglob("*") if path.suffix in SUFFIXES)
    return [ROOT / "deploy" / "balancer.toml", *sorted(inside)]


def hits(names, texts):
    """Where a name stands as a whole word: place, line and name, without regard to case or `_` for `-`."""
    found = []
    for name in sorted(names):
        word = "[-_ ]".join(re.escape(part) for part in name.split("-"))
        pattern = re.compile(rf"(?<![\w-]){word}(?![\w-])", re.IGNORECASE)
        for place, text in texts.items():
            found += [(place, i, name) for i, line in enumerate(text.splitlines(), 1) if pattern.search(line)]
    return found


def test_a_name_is_found_as_a_whole_word_only():
    texts = {"a.py": "x = 'far-harbour-9'\ny = far_harbour\nz = 'Far-Harbour'", "b.py": "afar-harbour"}
    assert hits({"far-harbour"}, texts) == [("a.py", 2, "far-harbour"), ("a.py", 3, "far-harbour")]


def test_short_and_plain_names_are_not_taken_for_a_deployments():
    site = {
        "name": "harbour", "class": [{"name": "read"}, {"name": "berth-lookup"}, {"name": "a-b"}],
        "tier": [{"name": "stores", "kind": [{"name": "quick-drawer"}]}], "net": {"zones": ["north-quay", "b"]},
        "tenant": [{"name": "ordinary"}],
    }  # fmt: skip
    assert names_of(site) == {"harbour", "berth-lookup", "quick-drawer", "north-quay"}


@pytest.mark.skipif(
    not KIT.is_dir(), reason="the kit with the deployments' site files is not beside the repository"
)
def test_no_name_of_a_deployment_stands_in_the_package_or_the_deploy_file():
    files = site_files()
    names = set().union(*(names_of(tomllib.loads(file.read_text())) for file in files))
    assert len(files) >= 2 and names
    texts = {str(path.relative_to(ROOT)): path.read_text() for path in sources()}
    assert not hits(names, texts)
