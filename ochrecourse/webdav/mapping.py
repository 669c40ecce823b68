"""Maps WebDAV requests to gateway requests: request class, tenant, volume, units and timeout. Free of I/O.

A GET may be retried, because it has no effect; long reads have a request class of their own, which can wait.
A PUT is idempotent: its staged write has a unique key, so that a node drops duplicates and the namespace
publishes it once. The other methods are not mapped: they change names, locks and properties only, which the
namespace does itself.

The request class comes from the first rule of the settings that matches method and size. The volume is the
first segment of the path, so that related files share a tenant. No request class is known by name here.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ochrecourse.webdav.paths import Path

MAX_WAIT_S = 3600.0  # the longest wait that a client may state
ANY_VOLUME = ""  # the name of a rule that applies to all volumes


class RequestClassRule(NamedTuple):
    """The request class of a method with bodies of at most `max_bytes` (below 0: any); `timeout` in s."""

    method: str
    max_bytes: int
    request_class: str
    timeout: float


class VolumeRule(NamedTuple):
    """The tenant of a volume and the number of gateways that serve it; an empty name matches all."""

    name: str
    tenant: str
    gateways: int


class RequestParameters(NamedTuple):
    """Parameters of the gateway request. `timeout` in s from the time of reading."""

    request_class: str
    tenant: str
    volume: int
    units: float
    timeout: float
    gateways: int


class NoMatchingRuleError(Exception):
    """No rule matches the request."""


def volume_number(path: Path) -> int:
    """Returns the number of a path's volume: that of its first segment, equal on all gateways."""
    return zlib.crc32(path[0].encode()) + 1 if path else 0


def units_for(size: int, unit_bytes: int, max_units: float) -> float:
    """Returns the units of a body: one per `unit_bytes` begun, at least one and at most `max_units`."""
    return float(min(max_units, max(1, -(-size // unit_bytes))))


def client_timeout(headers: Mapping[str, str], default: float) -> float:
    """Returns the client's timeout in s: `Prefer: wait=SECONDS` (RFC 7240 4.3), at most `default`."""
    for preference in headers.get("prefer", "").split(","):
        name, _, value = preference.strip().partition("=")
        if name.lower() == "wait" and value.strip().isdigit() and int(value) > 0:
            return min(default, float(value), MAX_WAIT_S)
    return default


def map_request(
    method: str,
    path: Path,
    size: int,
    headers: Mapping[str, str],
    class_rules: Sequence[RequestClassRule],
    volume_rules: Sequence[VolumeRule],
    unit_bytes: int,
    max_units: float,
) -> RequestParameters:
    """Returns the parameters of a request that reads or writes `size` bytes. Raises NoMatchingRuleError."""
    for rule in class_rules:
        if rule.method == method and (rule.max_bytes < 0 or size <= rule.max_bytes):
            break
    else:
        raise NoMatchingRuleError(f"no product takes {method} of {size} bytes")
    name = path[0] if path else ""
    for volume in volume_rules:
        if volume.name in (name, ANY_VOLUME):
            break
    else:
        raise NoMatchingRuleError(f"no plan is set for volume {name!r}")
    timeout = client_timeout(headers, rule.timeout)
    return RequestParameters(
        rule.request_class,
        volume.tenant,
        volume_number(path),
        units_for(size, unit_bytes, max_units),
        timeout,
        volume.gateways,
    )
