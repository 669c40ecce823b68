"""Rates of a volume at one gateway: the quota of its tenant that a request draws on, and the hard limit.

Inputs: the tenant's reserved and usual rates and limit (units per second), the units of each request, and the
units served for the volume through all gateways, if nodes report them.

Every rate is a token bucket. A gateway fills its own share of the reserved and of the usual rate. The share
starts at one divided by the number of gateways that receive requests for the volume, and follows the totals
that nodes report, since the split may be uneven. Quota buckets start full and can always store one request
of the largest size.

The limit is a hard limit for all gateways together. Each gateway therefore fills an even share of it, and
its bucket starts empty, because the usage of the preceding process is unknown.
"""

from __future__ import annotations

from collections import OrderedDict

from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.interface import Request
from ochrecourse.scheduler.settings import Quota, SchedulerSettings, Tenant

SERVED_RATE_HALVING_TIME = 2 * SECOND  # ns, halving time of a served rate; a few reporting periods of nodes
SHARE_SMOOTHING = 0.125  # weight of the newest report in the running means
MAX_VOLUMES = 4_096  # beyond which those are forgotten whose state is that of a new volume
LN_2 = 0.69  # rounded; converts units to units per second, for a rate that decays with a halving time


class Volume:
    """The rate state of one volume at this gateway.

    `tenant`: the settings of its tenant. `gateways`: number of gateways that receive its requests.
    `started_at`: when this gateway started, ns.
    """

    __slots__ = (
        "_largest_request",
        "_refilled_at",
        "_reserved_rate",
        "_usual_rate",
        "limit_depth",
        "limit_rate",
        "limit_tokens",
        "open_requests",
        "own_rate",
        "priority_factor",
        "reserved_left",
        "share",
        "total_rate",
        "unwritten_units",
        "usual_left",
        "weight",
    )

    def __init__(self, tenant: Tenant, gateways: int, started_at: int) -> None:
        self.weight = tenant.weight
        self.priority_factor = tenant.priority_factor
        self._usual_rate = tenant.usual_rate
        self._reserved_rate = tenant.reserved_rate
        self._largest_request = tenant.largest_request
        self.share = 1.0 / max(1, gateways)  # of the volume's requests that this gateway receives
        self.reserved_left = float("inf")  # units; the first refill bounds it
        self.usual_left = float("inf")
        self.limit_rate = tenant.limit_rate / max(1, gateways)
        self.limit_depth = tenant.limit_depth / max(1, gateways)
        self.limit_tokens = 0.0  # units that may be sent under the limit
        self.open_requests = 0  # of this gateway
        self.unwritten_units = 0.0  # drawn under the limit, but not yet written to a node
        self.own_rate = 0.0  # units per second served through this gateway
        self.total_rate = 0.0  # units per second served through all gateways
        self._refilled_at = started_at

    def is_as_new(self, now: int) -> bool:
        """Whether the volume has no open request, and all its buckets are full as those of a new one."""
        if self.open_requests:
            return False
        self.refill(now)
        largest = self._largest_request
        reserved_full = self._reserved_rate and self._reserved_rate * self.share + largest
        usual_full = self._usual_rate and self._usual_rate * self.share + largest
        limit_full = not self.limit_rate or self.limit_tokens >= self.limit_depth - self.unwritten_units
        return self.reserved_left >= reserved_full and self.usual_left >= usual_full and limit_full

    def refill(self, now: int) -> None:
        """Refills all buckets for the time since the last call."""
        elapsed = (now - self._refilled_at) / SECOND
        self._refilled_at = now
        share = self.share
        largest = self._largest_request
        rate = self._reserved_rate
        self.reserved_left = rate and min(rate * share + largest, self.reserved_left + rate * share * elapsed)
        rate = self._usual_rate
        self.usual_left = rate and min(rate * share + largest, self.usual_left + rate * share * elapsed)
        # Units drawn here but not yet written, for example while a connection is slow to open, are not yet
        # drawn from the bucket of the nodes.
        self.limit_tokens = min(
            self.limit_depth - self.unwritten_units, self.limit_tokens + self.limit_rate * elapsed
        )
        self.own_rate *= 0.5 ** (elapsed * SECOND / SERVED_RATE_HALVING_TIME)

    def draw(self, units: float, now: int) -> Quota:
        """Draws the units of a new request from the first quota that has them, and returns that quota."""
        self.refill(now)
        if self.reserved_left >= units:
            self.reserved_left -= units
            return Quota.RESERVED
        if self.usual_left >= units:
            self.usual_left -= units
            return Quota.USUAL
        return Quota.BEYOND

    def answered(self, units: float, used: float, now: int) -> None:
        """Updates the served rates after the end of an attempt.

        `units`: the units that it served. `used`: the units served for the volume through all gateways in a
        past period, relative to its usual rate; negative if unknown.
        """
        self.refill(now)
        self.own_rate += units * LN_2 * SECOND / SERVED_RATE_HALVING_TIME
        if used < 0:
            return
        self.total_rate += SHARE_SMOOTHING * (used * self._usual_rate - self.total_rate)
        if self.total_rate > 0:
            self.share += SHARE_SMOOTHING * (min(1.0, self.own_rate / self.total_rate) - self.share)

    def limit_wait(self, units: float, now: int) -> int:
        """Returns the time in ns until the limit allows this many units; 0 if it does now."""
        if not self.limit_rate:
            return 0
        self.refill(now)
        deficit = units - self.limit_tokens
        return max(MS, round(deficit / self.limit_rate * SECOND)) if deficit > 0 else 0

    def draw_limit(self, units: float) -> None:
        """Draws the units of a request whose first attempt is sent but not yet written."""
        self.limit_tokens -= units
        self.unwritten_units += units

    def written(self, units: float) -> None:
        """Records that units drawn under the limit were written, or never will be."""
        self.unwritten_units -= units


class VolumeTable:
    """The volumes of a gateway, those not used for longest first. `started_at`: when it started, ns."""

    __slots__ = ("_settings", "_started_at", "by_id")

    def __init__(self, settings: SchedulerSettings, started_at: int) -> None:
        self._settings = settings
        self._started_at = started_at
        self.by_id: OrderedDict[int, Volume] = OrderedDict()

    def find(self, request: Request, now: int) -> Volume:
        """Returns the state of a request's volume. Raises `MissingSettingError` for its tenant."""
        volume = self.by_id.get(request.volume)
        if volume is None:
            tenant = self._settings.tenant(request.tenant)
            self._forget(now)
            volume = self.by_id[request.volume] = Volume(tenant, request.gateways, self._started_at)
        self.by_id.move_to_end(request.volume)
        return volume

    def _forget(self, now: int) -> None:
        """Forgets volumes whose state is that of a new one, those not used for longest first.

        Two are looked at for each new volume, so that the work is bounded and the number falls again.
        """
        for _ in range(2):
            if len(self.by_id) < MAX_VOLUMES:
                return
            volume_id, volume = next(iter(self.by_id.items()))
            if volume.is_as_new(now):
                del self.by_id[volume_id]
            else:
                self.by_id.move_to_end(volume_id)
