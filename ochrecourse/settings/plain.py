"""Converts a resolved record to the plain map from names to texts that the scheduler reads.

The names are those of the simulator's start message, so that the same scheduler runs in the simulator and in
a gateway. Only names change here: all defaults and bounds are in schema.cue.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

EFFECTS = {"retriable": "safe", "fingerprinted": "keyed", "binding": "unsafe"}

# Path in the record, name in the map. Time spans in ms, rates in units per second.
FIELDS = (
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
REQUEST_CLASS_FIELDS = (
    ("name", "Name"), ("promised", "Aim"), ("client_timeout", "Deadline"), ("payoff", "Points"),
    ("late_share", "LateShare"), ("repeat_group", "KeyScope"), ("repeat_window", "Window"),
    ("in_order", "SerialByKey"),
)  # fmt: skip
TENANT_FIELDS = (
    ("name", "Name"), ("rate", "Rate"), ("reserve", "Reserve"), ("weight", "Weight"),
    ("worth", "ValueFactor"), ("limit", "Limit"), ("limit_burst", "CapDepth"), ("limit_slack", "LimitSlack"),
)  # fmt: skip


def plain_map(record: Mapping[str, Any]) -> dict[str, str]:
    """Returns the map for one gateway; fields that the record lacks are omitted."""
    values = {"Discovery": "push", "Family": "stores"}
    for path, name in FIELDS:
        at: Any = record
        for step in path.split("."):
            at = at.get(step) if isinstance(at, Mapping) else None
        if at is not None:
            values[name] = _text(at)
    request_classes = record.get("products", [])
    values["Classes.count"] = str(len(request_classes))
    for i, request_class in enumerate(request_classes):
        values[f"Classes.{i}.Effect"] = EFFECTS[request_class.get("effect", "retriable")]
        values.update(_named(f"Classes.{i}", request_class, REQUEST_CLASS_FIELDS))
    values["FamilyInfo.Writes"] = ",".join(_text(each.get("writes", False)) for each in request_classes)
    tenants = record.get("plans", [])
    values["Policies.count"] = str(len(tenants))
    for i, tenant in enumerate(tenants):
        values.update(_named(f"Policies.{i}", tenant, TENANT_FIELDS))
    values["Zones"] = ",".join(record.get("zones", []))
    return values


def _named(prefix: str, entry: Mapping[str, Any], fields: tuple[tuple[str, str], ...]) -> dict[str, str]:
    return {f"{prefix}.{name}": _text(entry[key]) for key, name in fields if key in entry}


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return repr(value) if isinstance(value, float) else str(value)
