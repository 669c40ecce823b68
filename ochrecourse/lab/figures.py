"""The rules' figures of a day, as the auditor wants them."""

from __future__ import annotations

from ochrecourse.audit.judge import RequestClassRule, RuleParameters
from ochrecourse.common.time_units import MS
from ochrecourse.settings.plain import EFFECTS
from ochrecourse.lab.day import Day, limit_of, volumes
from ochrecourse.lab.people import limits_by_path


def figures_of(day: Day, webdav: bool = False) -> RuleParameters:
    """What docs/days.md states for a day, with how much two ends of a socket may disagree on a time.

    `webdav`: the clients came to the WebDAV doors, where volumes are numbered by their paths.
    """
    rules = day.rules
    limits = (
        limits_by_path(day)
        if webdav
        else {
            str(volume.number): limit_of(day, day.plans[volume.plan])
            for volume in volumes(day)
            if day.plans[volume.plan].limit
        }
    )
    return RuleParameters(
        request_classes={
            each.name: RequestClassRule(
                effect=EFFECTS[each.effect],
                group=each.group,
                window=round(each.window_ms * MS),
                in_order=each.in_order,
            )
            for each in day.products
        },
        drain_grace=round(rules.drain_grace_ms * MS),
        cold_multiple=rules.multiple,
        cold_fall=round(rules.fall_ms * MS),
        order_settle=round(rules.settle_ms * MS),
        budget_floor=rules.budget_floor,
        budget_share=rules.budget_share,
        budget_window=round(rules.budget_ms * MS),
        limits=limits,
        hedging=day.second_copies,
        max_attempts=day.max_legs,
        travel=round(max(day.travel_ms, 10 * day.net_ms[1]) * MS),
    )
