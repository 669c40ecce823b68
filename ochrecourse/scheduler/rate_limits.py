"""Rates of a volume at one gateway: which rate of its tenant a request draws on, and the limit.

Inputs: the tenant's reserved and usual rate and limit (units a second), units of each request, units served
for the volume everywhere, where nodes report that.

Every rate is a token bucket. A gateway fills its own part of the reserved and of the usual rate. The part
begins at one over the gateways through which the volume's requests come, and follows the totals that nodes
report, since the split may be uneven. Buckets of quotas begin full, with room for one largest request.

The limit is hard for all gateways together, so each fills an even part of it, and begins empty: what the
process before it drew is not known.
"""

from __future__ import annotations

from ochrecourse.common.time_units import MS, SECOND
from ochrecourse.scheduler.settings import Quota, Tenant

SERVED_RATE_HALVING = 2 * SECOND  # ns in which a served rate halves; a few periods of the usual meters
SHARE_SMOOTHING = 0.125  # weight of the newest report in the running means
LN_2 = 0.69  # rounded; of a rate that halves, from units to units a second


class Volume:
    """A volume as this gateway knows it.

    `tenant`: the figures of its tenant. `gateways`: through how many gateways its requests come.
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
        self.share = 1.0 / max(1, gateways)  # of the volume's requests that comes through this gateway
        self.reserved_left = float("inf")  # units; the first refill bounds it
        self.usual_left = float("inf")
        self.limit_rate = tenant.limit_rate / max(1, gateways)
        self.limit_depth = tenant.limit_depth / max(1, gateways)
        self.limit_tokens = 0.0  # units that may be sent under the limit
        self.unwritten_units = 0.0  # drawn under the limit, but not yet written to a node
        self.own_rate = 0.0  # units a second served through this gateway
        self.total_rate = 0.0  # and through all
        self._refilled_at = started_at

    def refill(self, now: int) -> None:
        """Fills all buckets for the time since the last call."""
        elapsed = (now - self._refilled_at) / SECOND
        self._refilled_at = now
        share = self.share
        largest = self._largest_request
        rate = self._reserved_rate
        self.reserved_left = rate and min(rate * share + largest, self.reserved_left + rate * share * elapsed)
        rate = self._usual_rate
        self.usual_left = rate and min(rate * share + largest, self.usual_left + rate * share * elapsed)
        # Guards against a late connection: what is drawn here but not written is not yet drawn from the
        # nodes' bucket.
        self.limit_tokens = min(
            self.limit_depth - self.unwritten_units, self.limit_tokens + self.limit_rate * elapsed
        )
        self.own_rate *= 0.5 ** (elapsed * SECOND / SERVED_RATE_HALVING)

    def draw(self, units: float, now: int) -> Quota:
        """Takes the units of a new request from the first rate that has them, and says which."""
        self.refill(now)
        if self.reserved_left >= units:
            self.reserved_left -= units
            return Quota.RESERVED
        if self.usual_left >= units:
            self.usual_left -= units
            return Quota.USUAL
        return Quota.BEYOND

    def answered(self, units: float, used: float, now: int) -> None:
        """An attempt ended.

        `units`: what was served with it. `used`: what was served for the volume everywhere in a past
        period, as a share of its usual rate; below 0 where that is not known.
        """
        self.refill(now)
        self.own_rate += units * LN_2 * SECOND / SERVED_RATE_HALVING
        if used < 0:
            return
        self.total_rate += SHARE_SMOOTHING * (used * self._usual_rate - self.total_rate)
        if self.total_rate > 0:
            self.share += SHARE_SMOOTHING * (min(1.0, self.own_rate / self.total_rate) - self.share)

    def limit_wait(self, units: float, now: int) -> int:
        """Time in ns until the limit lets so many units go; 0 where it does."""
        if not self.limit_rate:
            return 0
        self.refill(now)
        lack = units - self.limit_tokens
        return max(MS, round(lack / self.limit_rate * SECOND)) if lack > 0 else 0

    def take_limit(self, units: float) -> None:
        """A request's first attempt is sent; it is not written yet."""
        self.limit_tokens -= units
        self.unwritten_units += units

    def written(self, units: float) -> None:
        """So many units that were taken under the limit were written, or never will be."""
        self.unwritten_units -= units
