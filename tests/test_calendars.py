"""Site calendars compared with the reference: the days around each clock change, and whole years of some sites."""

import datetime as dt
import zoneinfo

import pytest

from benchmarks.calendars import ZONES, year_of
from ochrecourse.audit import calendars
from ochrecourse.settings import site_calendars
from ochrecourse.fleet.purge_schedule import PurgeSchedule

QUARTERS = [f"{n // 4:02}:{n % 4 * 15:02}:{(n * 7) % 60:02}" for n in range(96)]
YEARS = (2022, 2026)  # in 2022 some zones abolished their summer time


def every_quarter(zone):
    return {
        "name": "s", "edition": 1, "zone": zone, "country": "", "region": "", "holidays": [],
        "rules": [
            {"name": at, "all": True, "at": at, "weekdays": site_calendars.WEEKDAYS, "holidays": "usual", "exceptions": []}
            for at in QUARTERS
        ],
    }  # fmt: skip


def instants_around(zone, change):
    """The instants in the days around a clock change: those of the site calendars and those of the reference."""
    first, site = change - dt.timedelta(days=2), every_quarter(zone)
    local_times = calendars.walk_local_clock(zone, first, 5)
    computed = {(rule, date): ms for rule, date, ms in site_calendars.edition(site, 1, first, 5)["instants"]}
    return computed, calendars.purge_instants(site, first, 5, local_times)


def test_each_quarter_of_an_hour_around_each_clock_change():
    compared = 0
    for zone in ZONES:
        for year in YEARS:
            for change in calendars.clock_changes(zone, year):
                computed, expected = instants_around(zone, change)
                assert computed == expected, f"{zone} around {change}"
                compared += 1
    assert compared > 80


def second_of_two(zone, date, time):
    return site_calendars._ms(dt.datetime.combine(date, time, tzinfo=zone).replace(fold=1))


def gap_with_offset_before(zone, date, time):
    return site_calendars._ms(dt.datetime.combine(date, time, tzinfo=zone))


@pytest.mark.parametrize("fault", [second_of_two, gap_with_offset_before])
def test_the_days_around_clock_changes_find_each_seeded_fault(fault, monkeypatch):
    monkeypatch.setattr(site_calendars, "instant_of", fault)
    computed, expected = instants_around(
        "Europe/Berlin", dt.date(2026, 10, 25) if fault is second_of_two else dt.date(2026, 3, 29)
    )
    assert 0 < sum(computed[each] != expected[each] for each in expected) <= 8


@pytest.mark.parametrize("number", [0, 1])
def test_purges_in_a_year_match_the_reference(number):
    counts, differences = year_of((number, 2026, 90 * 60_000))
    assert not differences and counts["firings"] > 150 and counts["editions"] > 8


def test_the_reference_finds_a_purge_that_is_settled_twice(monkeypatch):
    original = PurgeSchedule.unsettled_occurrences

    def with_repetitions(self):
        unsettled = original(self)
        return (
            unsettled
            if unsettled or self._purge_count % 50
            else self.own_calendar.due_occurrences(self.wall_ms - 3_600_000, self.wall_ms)[-1:]
        )

    monkeypatch.setattr(PurgeSchedule, "unsettled_occurrences", with_repetitions)
    monkeypatch.setattr("benchmarks.calendars.MOST_WANTS", 3)
    _, differences = year_of((0, 2026, 90 * 60_000))
    assert any("times" in each for each in differences)


def test_an_hour_that_occurs_twice_in_two_zones_is_purged_at_its_first_occurrence():
    first = dt.datetime(2026, 10, 25, 0, 30, tzinfo=dt.UTC).timestamp() * 1000
    for zone, at in (("Europe/Berlin", "02:30"), ("Europe/London", "01:30")):
        site = every_quarter(zone)
        site["rules"] = [{**site["rules"][0], "name": "close", "at": at}]
        instants = {
            date: ms for _, date, ms in site_calendars.edition(site, 1, dt.date(2026, 10, 24), 3)["instants"]
        }
        assert instants["2026-10-25"] == first
        assert dt.datetime.fromtimestamp(first / 1000 + 3600, zoneinfo.ZoneInfo(zone)).strftime("%H:%M") == at
        assert instants["2026-10-26"] - first == 25 * 3_600_000
