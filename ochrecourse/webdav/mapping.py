"""From a request to a job: product, plan, volume, key, units, effect and time. Free of I/O.

GET of a file is retriable: reading changes nothing, and long reads are a product of their own, which can
wait. PUT is fingerprinted: the staged write has a mark of its own, so a node drops its repeat, and the
namespace shows it once. The rest are no jobs: they change names, locks and properties only, which the
namespace does at once.

The product is the first of a table of the settings that fits method and size; the volume is the first segment
of the path, so that what belongs together shares a plan. Nothing here knows a product by name.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ochrecourse.webdav.paths import Path

LONGEST_WAIT = 3600.0  # s that a client may say it waits
DEFAULT_PLAN = ""  # of a volume that the table does not name: the rule without a volume


class ProductRule(NamedTuple):
    """Requests of this method with at most so many bytes (below 0: any) are jobs of this product; `timeout`
    in s.
    """

    method: str
    most: int
    product: str
    timeout: float


class VolumeRule(NamedTuple):
    """A volume of this name has this plan and works through so many gateways; an empty name fits all."""

    name: str
    plan: str
    gateways: int


class Asked(NamedTuple):
    """What a request becomes. `timeout` in s from when it was read."""

    product: str
    plan: str
    volume: int
    units: float
    timeout: float
    gateways: int


class NoProduct(Exception):
    """No rule fits the request."""


def volume_of(path: Path) -> int:
    """The volume's number: the same for all that lies under one first segment, on every gateway."""
    return zlib.crc32(path[0].encode()) + 1 if path else 0


def units_of(size: int, unit: int, most: float) -> float:
    """Units by size: one for the first `unit` bytes begun and one for each further one, up to the most."""
    return float(min(most, max(1, -(-size // unit))))


def wait_of(headers: Mapping[str, str], default: float) -> float:
    """How long the client waits: `Prefer: wait=SECONDS` (RFC 7240 4.3) if it is shorter than the product's
    own.
    """
    for part in headers.get("prefer", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "wait" and value.strip().isdigit() and int(value) > 0:
            return min(default, float(value), LONGEST_WAIT)
    return default


def job_of(
    method: str,
    path: Path,
    size: int,
    headers: Mapping[str, str],
    products: Sequence[ProductRule],
    volumes: Sequence[VolumeRule],
    unit: int,
    most_units: float,
) -> Asked:
    """The job of a request that reads or writes `size` bytes. Raises NoProduct."""
    for rule in products:
        if rule.method == method and (rule.most < 0 or size <= rule.most):
            break
    else:
        raise NoProduct(f"no product takes {method} of {size} bytes")
    name = path[0] if path else ""
    for volume in volumes:
        if volume.name in (name, DEFAULT_PLAN):
            break
    else:
        raise NoProduct(f"no plan is set for volume {name!r}")
    wait = wait_of(headers, rule.timeout)
    return Asked(
        rule.product, volume.plan, volume_of(path), units_of(size, unit, most_units), wait, volume.gateways
    )
