"""The day `long-absence`: two sites apart with a backlog between them, the smaller one let go, and met again.

While they are apart both append to many channels and the larger side compacts one of them; they meet on links
that drip and lose, and one gateway is killed inside its catch-up. What jobs get while the sites catch up
stands beside the same day without the backlog (`benchmarks/absence_day.py`).
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from ochrecourse.audit import records as r
from ochrecourse.audit import fleet_state as seen
from ochrecourse.audit import absence
from ochrecourse.lab.together import BEGINS, CHANNELS, GATEWAYS, Came, Step, Together, _day
from ochrecourse.common.time_units import MS, SECOND

CUT = (2.0, 10.5)  # s, from and to
CATCH_UP = 10.0  # s after it in which jobs are looked at
BULK = 48  # channels of the backlog
LET_GO = 2000.0  # ms; with the silence before it, the smaller side is let go 4 s after the cut
MARGIN = 1.5  # s that entries may have been on their way, and the rest of the cut's own edges
# Entries a second a gateway of six; on a machine whose cores are taken an append takes some 2 ms.
RATE = 60.0
# Bytes a second: a backlog of 500 entries of 500 bytes by gateway, to up to four others, takes some seconds.
PACE = 131_072


def long_absence(seed: int, gateways: int, backlog: bool = True) -> Together:
    """South's gateways are cut off from the others for 8.5 s, and let go."""
    south = tuple(range(1, gateways, 3))
    rest = tuple(sorted(set(range(gateways)) - set(south)))
    every = tuple(range(gateways))
    name = "long-absence" if backlog else "long-absence-bare"
    steps = [
        Step(at_s=0.5, do="append", who=every, len_s=16.0, rate=3.0 * GATEWAYS / gateways),
        Step(at_s=CUT[0], do="ways", who=south, others=rest, state={"cut": True}, len_s=CUT[1] - CUT[0]),
        Step(at_s=CUT[1] - 0.2, do="ways", who=every, state={"lose": 0.02, "drip": 200_000}, len_s=7.0),
        Step(at_s=CUT[1] + 2.5, do="kill", who=(south[0],), len_s=1.0, rate=1.0),
    ]
    if backlog:
        steps += [
            Step(at_s=1.0, do="backlog", who=every, len_s=CUT[1] - 1.5, rate=RATE * GATEWAYS / gateways),
            Step(at_s=CUT[1] - 1.5, do="compact", who=rest),
        ]
    return Together(
        day=_day(name, seed, 20.0, gateways, 0.3, []),
        steps=steps,
        fleet={"let_go": LET_GO, "log": {"catch_up": PACE}},
        channels=CHANNELS,
        bulk=BULK if backlog else 0,
        apart=south,
        cut=CUT,
    )


def judged(this: Together, told: Came, records: Sequence[Any], held: Sequence[Any], alone: bool) -> None:
    """Adds what such a day asks beyond equal logs, and its figures."""
    begun = next(each.t for each in records if isinstance(each, r.FaultChanged) and each.kind == BEGINS)
    met = begun + round(this.cut[1] * SECOND)
    promised = {each.name: round(each.promised_ms * MS) for each in this.day.products}
    worth = {each.name: each.payoff for each in this.day.products}
    jobs = absence.request_outcomes(records, met, met + round(CATCH_UP * SECOND), promised, worth)
    told.figures |= {
        "jobs while the sites catch up": jobs.count,
        "payoff in time while they catch up": round(jobs.payoff, 4),
        "share late or never while they catch up": round(jobs.late, 4),
        "ms of a job, 99th, while they catch up": round(jobs.p99, 1),
    }
    if alone:
        return
    appended = [each for each in held if isinstance(each, seen.AppendEnded)]
    reads = [each for each in held if isinstance(each, seen.EntriesRead)]
    names = [f"g{index}" for index in this.apart]
    start = begun + round((this.cut[0] + MARGIN) * SECOND)
    told.findings.append(absence.judge_late_marks(appended, reads, names, start, met))
    bulk = [each for each in appended if each.channel.startswith("bulk-") and each.outcome == "kept"]
    told.figures["entries of the backlog"] = len(bulk)
