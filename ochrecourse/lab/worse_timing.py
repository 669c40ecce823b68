"""The day `two-closes`: two sites close seconds apart, while clocks, edges and ways misbehave.

One of them closes on the night of its DST change, in the hour that comes twice; the other's close is moved by
an edition that comes while the site is split. All wall clocks are set to that night by the settings.
"""

from __future__ import annotations

import datetime as dt
from collections.abc import Sequence
from typing import Any

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit import purges
from ochrecourse.audit import fleet_state as seen
from ochrecourse.audit import copy_reuse as judged
from ochrecourse.lab.together import NOTICE, TRAVEL, Came, Step, Together, _day
from ochrecourse.common.time_units import MS

NIGHT = dt.datetime(2026, 10, 25, 0, 30, tzinfo=dt.UTC)  # in the first of hill's two hours from 02:00 on
CLOSES = "closes"  # the kind of the record that tells when a site's close is, by its last edition
OFF = 1000 * 60 * 20.0  # ms by which a clock is stepped: far beyond the bound, less than `fleet.ahead`
PRODUCTS = frozenset({"page-read"})  # what edges may hold


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """A site that closes at `close_s`, by its rule's only date."""

    name: str
    zone: str
    edges: tuple[int, ...]
    rule: str
    close_s: float


class SiteStep(Step, frozen=True, kw_only=True):
    """`edition`: of which site. `clock`: `who` are killed and start again `len_s` later, their wall clocks
    then wrong by `off` ms.
    """

    site: str = ""
    off: float = 0.0


class Closes(Together, kw_only=True):
    """A day on which several sites close."""

    sites: tuple[Site, ...]

    def player(self) -> Any:
        from ochrecourse.lab.worse_timing_play import ClosesPlay

        return ClosesPlay

    def beyond(
        self, told: Came, records: Sequence[Any], held: Sequence[Any], names: list[str], alone: bool
    ) -> None:
        told.figures |= {
            "answers from copies": purges.count_copy_responses(records),
            "legs": sum(isinstance(each, r.AttemptReceived) for each in records),
        }
        if alone:
            return
        moments: dict[str, int] = {}
        closes = {
            each.description.split()[0]: int(each.description.split()[1])
            for each in records
            if _is_close(each)
        }
        settled = [each for each in held if isinstance(each, seen.PurgeSettled)]
        for site in self.sites:
            edges = [names[index] for index in site.edges]
            moments |= dict.fromkeys(edges, closes[site.name])
            its = [each for each in settled if each.rule == site.rule]
            dates = sorted({each.date for each in its}) or [""]
            once = purges.judge_single_purges(its, edges, [(site.rule, date) for date in dates])
            once.rule = f"{site.name}: {once.rule}"
            told.findings.append(once)
        old = purges.judge_stale_responses(records, moments, round(TRAVEL * MS), set(PRODUCTS), held)
        if not told.figures["answers from copies"]:
            old.breach(0, "no answer came from a copy at all")
        told.findings += [old, judged.judge_copy_use(records, moments, PRODUCTS)]


def _is_close(record: Any) -> bool:
    return isinstance(record, r.FaultChanged) and record.kind == CLOSES


def two_closes(seed: int, gateways: int) -> Closes:
    """hill closes in the hour that comes twice: one edge is down over it, the clock of another is stepped
    back before it. quay is split while an edition comes that moves its close; over that its edges are
    restarted one by one, and one stands still.
    """
    half = gateways // 2
    hill, quay = tuple(range(half)), tuple(range(half, gateways))
    day = _day("two-closes", seed, 20.0, gateways, 0.3, [])
    steps: list[Step] = [
        SiteStep(at_s=0.3, do="edition", who=(0,), site="hill", close_s=10.0),
        SiteStep(at_s=0.3, do="edition", who=(half,), site="quay", close_s=11.0),
        SiteStep(at_s=4.0, do="clock", who=(2,), len_s=0.5, off=-OFF),
        Step(at_s=4.0, do="ways", who=quay[:1], others=quay[1:], state={"cut": True}, len_s=3.0),
        SiteStep(at_s=4.5, do="edition", who=(half + 1,), site="quay", close_s=14.0),
        Step(at_s=8.5, do="kill", who=(1,), len_s=3.0),
        SiteStep(at_s=11.5, do="clock", who=(2,), len_s=0.5),
        Step(at_s=11.6, do="kill", who=(half,), len_s=0.5),
        Step(at_s=13.2, do="kill", who=(half + 1,), len_s=0.5),
        Step(at_s=13.4, do="still", who=(half + 2,), len_s=2.0),
        Step(at_s=15.8, do="kill", who=(half + 2,), len_s=0.5),
    ]
    return Closes(
        day=msgspec.structs.replace(day, dated=True, volumes_a_node=1.0, runs=4.0, keys=4, most_units=2),
        steps=steps,
        fleet={"copies": {"products": sorted(PRODUCTS)}, "purges": {"notice": NOTICE}},
        shifts={f"g{half + 1}": 400.0, "g0": -400.0},
        sites=(
            Site(name="hill", zone="Europe/Berlin", edges=hill, rule="hill-close", close_s=10.0),
            Site(name="quay", zone="Asia/Kathmandu", edges=quay, rule="quay-close", close_s=14.0),
        ),
        channels=tuple(f"{kind}/{name}" for name in ("hill", "quay") for kind in ("purges", "calendar")),
    )
