"""The command line of a soak: runs a series of seeds, and prints what each run kept or broke."""

import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

MAX_BREACHES_SHOWN = 10


@dataclass
class Report:
    """The breaches of the rules in a run, and counts of its events."""

    seed: int
    breaches: list
    counts: Counter
    folder: Path | None = None  # the evidence of a run with breaches


def run_series(soak, script):
    """Runs `soak` for the seeds of the first argument, `7` or `1:50`; returns the exit code.

    `soak` returns the report of a seed; `script`: its file, for the command that repeats a run.
    """
    first, _, last = sys.argv[1].partition(":")
    total, failed_runs = Counter(), 0
    for seed in range(int(first), int(last or first) + 1):
        report = soak(seed)
        total += report.counts
        failed_runs += bool(report.breaches)
        print(f"seed {seed}: {'BROKE' if report.breaches else 'kept'}, {dict(report.counts)}", flush=True)
        for text in report.breaches[:MAX_BREACHES_SHOWN]:
            print(f"    {text}", flush=True)
        if report.folder:
            again = " ".join([Path(script).name, str(seed), *sys.argv[2:]])
            print(f"    {report.folder}; again: python tests/{again}", flush=True)
    print(f"{failed_runs} runs broke; {dict(total)}")
    return 1 if failed_runs else 0
