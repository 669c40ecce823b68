"""The commands of the deploy file: `build` must fail if the libraries that `run` imports were not installed."""

import os
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# Replaces the interpreter: creates an environment whose installer records each call and ends with the given code.
FAKE_PYTHON = """#!/bin/sh
mkdir -p .venv/bin
printf '#!/bin/sh\\necho called >> calls.txt\\nexit {exit_code}\\n' > .venv/bin/pip
printf '#!/bin/sh\\nexit 0\\n' > .venv/bin/python
chmod +x .venv/bin/pip .venv/bin/python
"""


def build(folder, exit_code):
    """Runs `build` with an installer that ends with `exit_code`; returns the exit code and the installer's total calls."""
    (folder / "bin").mkdir(exist_ok=True)
    python = folder / "bin" / "python3"
    python.write_text(FAKE_PYTHON.format(exit_code=exit_code))
    python.chmod(0o755)
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    path = f"{folder / 'bin'}{os.pathsep}{os.environ['PATH']}"
    code = subprocess.run(
        ["/bin/sh", "-c", command], cwd=folder, env={"PATH": path}, check=False, timeout=60
    ).returncode
    calls = folder / "calls.txt"
    return code, len(calls.read_text().split()) if calls.exists() else 0


def test_policy_names_every_module_of_the_scheduler():
    """Guards against a scheduling rule in a file that the deploy file does not declare."""
    declared = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    modules = (ROOT / "ochrecourse" / "scheduler").glob("*.py")
    assert declared == sorted(
        f"ochrecourse/scheduler/{each.name}" for each in modules if each.stem != "__init__"
    )


@pytest.mark.parametrize("previous", [None, "an older list\n"])
def test_build_fails_if_the_installation_failed_and_installs_again_next_time(tmp_path, previous):
    # Guards against a build that passes without the libraries installed: `run` would then end at its first import.
    (tmp_path / "requirements.txt").write_text("wanted==1\n")
    if previous is not None:
        (tmp_path / ".venv").mkdir()
        (tmp_path / ".venv" / "requirements.txt").write_text(previous)
    failed, _ = build(tmp_path, exit_code=1)
    assert failed != 0
    assert build(tmp_path, exit_code=0) == (0, 2)


def test_build_installs_once_for_the_same_requirements_and_again_for_changed_ones(tmp_path):
    (tmp_path / "requirements.txt").write_text("wanted==1\n")
    assert build(tmp_path, exit_code=0) == (0, 1)
    assert build(tmp_path, exit_code=0) == (0, 1)
    (tmp_path / "requirements.txt").write_text("wanted==2\n")
    assert build(tmp_path, exit_code=0) == (0, 2)


def test_sighup_before_the_interpreter_has_started_does_not_end_run(tmp_path):
    # Guards against SIGHUP's default action before the interpreter has executed a statement of the program.
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    interpreter = tmp_path / ".venv" / "bin" / "python"
    interpreter.parent.mkdir(parents=True)
    interpreter.write_text("#!/bin/sh\nkill -HUP $$\necho went on\n")
    interpreter.chmod(0o755)
    ran = subprocess.run(
        ["/bin/sh", "-c", command], cwd=tmp_path, capture_output=True, check=False, timeout=60
    )
    assert (ran.returncode, ran.stdout) == (0, b"went on\n")
