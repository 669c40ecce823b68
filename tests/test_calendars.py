"""Calendars against the plain reference: the weeks around each change of a clock, and some sites' whole years."""

import datetime as dt
import zoneinfo

import pytest

from benchmarks.calendars import ZONES, year_of
from ochrecourse.audit import calendars
from ochrecourse.settings import site_calendars
from ochrecourse.fleet.purge_schedule import PurgeSchedule

QUARTERS = [f"{n // 4:02}:{n % 4 * 15:02}:{(n * 7) % 60:02}" for n in range(96)]
MOVES = (2022, 2026)  # in the first some zones gave up their summer time


def every_quarter(zone):
    return {
        "name": "s", "edition": 1, "zone": zone, "country": "", "region": "", "holidays": [],
        "rules": [
            {"name": at, "all": True, "at": at, "weekdays": site_calendars.WEEKDAYS, "holidays": "usual", "exceptions": []}
            for at in QUARTERS
        ],
    }  # fmt: skip


def around(zone, change):
    """What the site calendars say of the days around a change, and what the reference does."""
    first, site = change - dt.timedelta(days=2), every_quarter(zone)
    walked = calendars.walk(zone, first, 5)
    told = {(rule, date): ms for rule, date, ms in site_calendars.edition(site, 1, first, 5)["instants"]}
    return told, calendars.instants(site, first, 5, walked)


def test_each_quarter_of_an_hour_in_the_weeks_around_each_change_of_a_clock():
    weeks = 0
    for zone in ZONES:
        for year in MOVES:
            for change in calendars.changes(zone, year):
                told, expected = around(zone, change)
                assert told == expected, f"{zone} around {change}"
                weeks += 1
    assert weeks > 80


def second_of_two(zone, date, time):
    return site_calendars._ms(dt.datetime.combine(date, time, tzinfo=zone).replace(fold=1))


def gap_as_read(zone, date, time):
    return site_calendars._ms(dt.datetime.combine(date, time, tzinfo=zone))


@pytest.mark.parametrize("mistake", [second_of_two, gap_as_read])
def test_the_weeks_find_each_seeded_mistake(mistake, monkeypatch):
    monkeypatch.setattr(site_calendars, "instant_of", mistake)
    told, expected = around(
        "Europe/Berlin", dt.date(2026, 10, 25) if mistake is second_of_two else dt.date(2026, 3, 29)
    )
    assert 0 < sum(told[each] != expected[each] for each in expected) <= 8


@pytest.mark.parametrize("number", [0, 1])
def test_sites_years_fire_as_the_reference_says(number):
    counts, differ = year_of((number, 2026, 90 * 60_000))
    assert not differ and counts["firings"] > 150 and counts["editions"] > 8


def test_a_years_reference_finds_a_purge_that_is_settled_twice(monkeypatch):
    whole = PurgeSchedule.unsettled_occurrences

    def again(self):
        told = whole(self)
        return (
            told
            if told or self._purge_count % 50
            else self.own_calendar.due_occurrences(self.wall_ms - 3_600_000, self.wall_ms)[-1:]
        )

    monkeypatch.setattr(PurgeSchedule, "unsettled_occurrences", again)
    monkeypatch.setattr("benchmarks.calendars.MOST_WANTS", 3)
    _, differ = year_of((0, 2026, 90 * 60_000))
    assert any("times" in each for each in differ)


def test_two_sites_whose_clocks_are_set_back_in_one_night_fire_each_in_the_first_hour():
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
