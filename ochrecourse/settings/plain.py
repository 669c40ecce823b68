"""The resolved record as the plain map of names to values that the decisions read.

The names are those of the start message that the simulator sends, so the same module runs in both. This is a
change of names only: every default and every bound is in schema.cue.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

EFFECTS = {"retriable": "safe", "fingerprinted": "keyed", "binding": "unsafe"}

# Name in the record, name in the map. Spans in ms, rates in units a second.
SINGLE = (
    ("gateway.zone", "Zone"), ("gateway.gateways", "Instances"), ("gateway.number", "SelfIndex"),
    ("units.most", "FamilyInfo.UnitsTop"), ("units.usual", "FamilyInfo.UsualUnits"),
    ("units.share_worth", "FamilyInfo.FairWorth"), ("units.spare_worth", "FamilyInfo.BeyondShare"),
    ("meter.period", "FamilyInfo.Meter"), ("meter.elsewhere", "FamilyInfo.TellsElsewhere"),
    ("rules.drain_grace", "Safety.DrainGrace"), ("rules.cold_capacity", "Safety.StartCapacity"),
    ("rules.cold_time", "Safety.Cold"), ("rules.cold_multiple", "Safety.OverloadFactor"),
    ("rules.cold_fall", "Safety.Fall"), ("rules.cold_units", "FamilyInfo.ColdUnits"),
    ("rules.order_rest", "Safety.OrderSettle"),
    ("legs.most", "Limits.MaxAttempts"), ("legs.second_copies", "Limits.ParallelTries"),
    ("clients.advice", "Limits.RetryAfter"), ("clients.longest_advice", "Limits.MaxRetryAfter"),
    ("clients.open_jobs", "Limits.MaxOpen"),
    ("budget.floor", "Safety.ExtraFloor"), ("budget.share", "Safety.ExtraRatio"),
    ("budget.window", "Safety.CountedOver"),
    ("connections.dial_timeout", "Limits.DialTimeout"), ("connections.idle", "Limits.IdleClose"),
    ("connections.legs", "Limits.Multiplex"), ("connections.most", "Limits.Connections"),
    ("connections.dials", "Limits.Dials"), ("tick", "Period"),
)  # fmt: skip
PRODUCT = (
    ("name", "Name"), ("promised", "Aim"), ("client_timeout", "Deadline"), ("payoff", "Points"),
    ("late_share", "LateShare"), ("repeat_group", "KeyScope"), ("repeat_window", "Window"),
    ("in_order", "SerialByKey"),
)  # fmt: skip
PLAN = (
    ("name", "Name"), ("rate", "Rate"), ("reserve", "Reserve"), ("weight", "Weight"),
    ("worth", "ValueFactor"), ("limit", "Limit"), ("limit_burst", "CapDepth"), ("limit_slack", "LimitSlack"),
)  # fmt: skip


def plain_map(record: Mapping[str, Any]) -> dict[str, str]:
    """The map for one gateway; parts of the record that are left out are left out of the map."""
    values = {"Discovery": "push", "Family": "stores"}
    for path, name in SINGLE:
        at: Any = record
        for step in path.split("."):
            at = at.get(step) if isinstance(at, Mapping) else None
        if at is not None:
            values[name] = _text(at)
    products = record.get("products", [])
    values["Classes.count"] = str(len(products))
    for i, product in enumerate(products):
        values[f"Classes.{i}.Effect"] = EFFECTS[product.get("effect", "retriable")]
        values.update({f"Classes.{i}.{name}": _text(product[key]) for key, name in PRODUCT if key in product})
    values["FamilyInfo.Writes"] = ",".join(_text(product.get("writes", False)) for product in products)
    plans = record.get("plans", [])
    values["Policies.count"] = str(len(plans))
    for i, plan in enumerate(plans):
        values.update({f"Policies.{i}.{name}": _text(plan[key]) for key, name in PLAN if key in plan})
    values["Zones"] = ",".join(record.get("zones", []))
    return values


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return repr(value) if isinstance(value, float) else str(value)
