"""The bad evening at several sizes: rules, and payoff within the promised time over payoff due, by policy.

Every run is the whole program on a virtual clock: gateways, nodes, clients, each policy behind the same
sockets. Seeds give the spread. `python -m benchmarks.evening [SEEDS]`; one process a run.
"""

from __future__ import annotations

import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec

from ochrecourse.audit.judge import audit
from ochrecourse.lab.baselines import policy
from ochrecourse.lab.days import bad_evening
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.play import VirtualPlay

POLICIES = ("ours", "random", "round-robin", "least-out")
SIZES = (3, 12, 40)


def one(job: tuple[str, int, int]) -> tuple[str, int, float, list[int], int, int]:
    """Payoff, rules broken, legs and jobs of one run."""
    name, gateways, seed = job
    day = msgspec.structs.replace(bad_evening(seed), gateways=gateways)
    played = VirtualPlay(day, policy(name)).run()
    verdict = audit(figures_of(day), played.records)
    broken = [number for number, each in enumerate(verdict.findings, 1) if each.breaches]
    return name, gateways, played.outcomes.payoff(), broken, verdict.attempts, verdict.requests


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    jobs = [(name, size, seed) for size in SIZES for name in POLICIES for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(max_workers=7) as pool:
        runs = list(pool.map(one, jobs))
    print(
        f"{seeds} seeds each; payoff in time over payoff due: median (lowest to highest); rules broken in any run"
    )
    for size in SIZES:
        for name in POLICIES:
            mine = [run for run in runs if run[0] == name and run[1] == size]
            pay = [run[2] for run in mine]
            broken = sorted({rule for run in mine for rule in run[3]})
            legs = statistics.median(run[4] / run[5] for run in mine)
            told = f"rules {', '.join(map(str, broken))} broken" if broken else "all rules kept"
            spread = f"({min(pay):.3f} to {max(pay):.3f})"
            print(
                f"{size:3} gateways {name:12} {statistics.median(pay):.3f} {spread}, {legs:.2f} legs a job, {told}"
            )


if __name__ == "__main__":
    main()
