"""The settings that the gateway itself reads from the flat map: request classes, tenants and limits.

The scheduler reads the rest of the map.
"""

from __future__ import annotations

from collections.abc import Mapping

from ochrecourse.common.time_units import MS
from ochrecourse.nodes.pool import PoolLimits

DEFAULT_MAX_OPEN_REQUESTS = 20_000
DEFAULT_DIAL_TIMEOUT_MS = 250.0


class SettingsIndex:
    """Request classes and tenants by name, and the properties of request classes that nodes need.

    Lists are indexed by the number of a class or tenant, which is its index in the settings.
    """

    def __init__(self, values: Mapping[str, str]) -> None:
        class_count = int(values.get("Classes.count", "0"))
        classes = range(class_count)
        self.class_names = [values.get(f"Classes.{i}.Name", str(i)) for i in classes]
        self.classes = {name: i for i, name in enumerate(self.class_names)}
        tenant_count = int(values.get("Policies.count", "0"))
        self.tenant_names = [values.get(f"Policies.{i}.Name", str(i)) for i in range(tenant_count)]
        self.tenants = {name: i for i, name in enumerate(self.tenant_names)}
        writes = values.get("FamilyInfo.Writes", "").split(",")
        self.writes = [i < len(writes) and writes[i] == "true" for i in classes]
        self.idempotency = [values.get(f"Classes.{i}.Effect", "safe") for i in classes]
        self.idempotency_windows_ms = [number(values, f"Classes.{i}.Window", 0.0) for i in classes]
        objectives_ms = [number(values, f"Classes.{i}.Aim", 0.0) for i in classes]
        self.latency_objectives = [round(each * MS) for each in objectives_ms]  # ns


def number(values: Mapping[str, str], name: str, default: float) -> float:
    """Returns a number from the flat map."""
    return float(values.get(name, default))


def pool_limits(values: Mapping[str, str]) -> PoolLimits:
    """Returns the limits of connections to nodes."""
    return PoolLimits(
        attempts_per_connection=int(number(values, "Limits.Multiplex", 32)),
        connections_per_node=int(number(values, "Limits.Connections", 4)),
        concurrent_dials=int(number(values, "Limits.Dials", 16)),
        idle_timeout=round(number(values, "Limits.IdleClose", 15_000) * MS),
    )


def max_open_requests(values: Mapping[str, str]) -> int:
    """Returns how many requests may be open at once; any more are rejected."""
    return int(number(values, "Limits.MaxOpen", DEFAULT_MAX_OPEN_REQUESTS))


def dial_timeout(values: Mapping[str, str]) -> float:
    """Returns the dial time-out in s; a dial continues after it only if a request still waits for it."""
    return number(values, "Limits.DialTimeout", DEFAULT_DIAL_TIMEOUT_MS) / 1000
