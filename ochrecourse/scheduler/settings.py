"""The settings of the scheduler, parsed from a map of names to texts into typed records.

Only this module uses the names of that map; it makes no decisions. Durations are integer nanoseconds, rates
are units per second. Settings that every gateway needs are read on construction. Those that only some need
(of a tenant, Retry-After, the retry budget) are read on first use, so that an unused value is never rejected.
A value that is missing, or is not a number where one is needed, raises `MissingSettingError` with its name.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from ochrecourse.common.time_units import MS
from ochrecourse.interface import MissingSettingError

ANSWER_MARGIN_PERIODS = 2  # periods of the host's timer: one to wake up, one to send the answer
MIN_START_CAPACITY = 0.01  # share of a warm node's capacity; prevents division by zero


class Idempotency(enum.Enum):
    """Whether a request may be retried after an attempt of it may have run."""

    ALWAYS = "safe"
    WITH_KEY = "keyed"  # within a window, at nodes that know the first attempt's effect by its key
    NEVER = "unsafe"
    UNKNOWN = ""  # a value of a later version: retries are allowed, but never assumed to be harmless


class RetryScope(enum.Enum):
    """The nodes that know the idempotency key of a request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"
    UNKNOWN = ""  # a value of a later version: retries may use any node, but are never assumed harmless


class Quota(enum.Enum):
    """The rate of its tenant that a request draws on."""

    RESERVED = 0
    USUAL = 1
    BEYOND = 2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The settings of one request class."""

    latency_objective: int  # ns from arrival within which a request must be answered
    priority_weight: float  # of a request that is served in time
    idempotency: Idempotency
    retry_scope: RetryScope
    idempotency_window: int  # ns from the write of the first attempt that may have run
    in_key_order: bool  # only one request per key at a time


@dataclass(frozen=True, slots=True)
class Tenant:
    """The settings of one tenant; they apply to each of its volumes."""

    weight: float  # share of a busy node relative to other tenants
    priority_factor: float  # multiplies the priority weight of its requests
    usual_rate: float  # units per second
    reserved_rate: float  # units per second
    largest_request: float  # units
    limit_rate: float  # units per second that no volume may exceed; 0 means no limit
    limit_depth: float  # units, capacity of the limit's token bucket


@dataclass(frozen=True, slots=True)
class Safety:
    """The settings about the fleet's gateways and the overload protection of nodes."""

    gateways: float  # number in the fleet, at least one
    node_load_window: int  # ns, window over which a node's load is measured
    slow_start_time: int  # ns from a start until the slowest node is warm
    key_settle_time: int  # ns for which an ordered key stays blocked after an attempt that may still run
    usual_units: float  # units of a typical request
    guaranteed_units: float  # units per `node_load_window` that any starting node tolerates
    start_capacity: float  # minimum share of a warm node's capacity right after a start
    overload_factor: float  # multiple of its capacity that a node tolerates, at least one
    answer_margin: int  # ns before the end of a request's time by which its answer must be sent


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """The limit on the retries that a gateway may send."""

    window: int  # ns over which requests and retries are counted
    floor: float  # retries that are always allowed within the window
    ratio: float  # additional retries per request received within the window


class _Reader:
    """Reads and converts single values of the map."""

    __slots__ = ("_values",)

    def __init__(self, values: Mapping[str, str]) -> None:
        self._values = values

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def text(self, name: str, default: str | None = None) -> str:
        value = self._values.get(name, default)
        if value is None:
            raise MissingSettingError(f"the settings lack {name}")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        text = self.text(name, None if default is None else str(default))
        try:
            return float(text)
        except ValueError:
            raise MissingSettingError(f"the settings hold no number under {name}") from None

    def span(self, name: str, default: float | None = None) -> int:
        """Returns a duration, given in milliseconds in the map, in integer nanoseconds."""
        return round(self.number(name, default) * MS)

    def flag(self, name: str) -> bool:
        return self.text(name, "false") == "true"


class SchedulerSettings:
    """All settings of one scheduler.

    `values`: the map, which must not change afterwards. Raises `MissingSettingError` on construction, or from
    the attributes and methods that read their values on first use.
    """

    def __init__(self, values: Mapping[str, str]) -> None:
        self._reader = _Reader(values)
        self._tenants: dict[int, Tenant] = {}
        count = int(self._reader.number("Classes.count"))
        self.request_classes = tuple(self._request_class(f"Classes.{number}.") for number in range(count))
        self.safety = self._safety()
        self.polls_endpoints = self._reader.text("Discovery", "push") == "ask"
        self.has_retry_budget = "Safety.ExtraRatio" in self._reader

    def _request_class(self, prefix: str) -> RequestClass:
        read = self._reader
        objective = read.span(prefix + "Aim")
        priority_weight = read.number(prefix + "Points", 1.0)
        effect = read.text(prefix + "Effect")
        scope = read.text(prefix + "KeyScope", "all")
        known_effects = {each.value: each for each in Idempotency}
        known_scopes = {each.value: each for each in RetryScope}
        return RequestClass(
            latency_objective=objective,
            priority_weight=priority_weight,
            idempotency=known_effects.get(effect, Idempotency.UNKNOWN),
            retry_scope=known_scopes.get(scope, RetryScope.UNKNOWN),
            idempotency_window=read.span(prefix + "Window", 0.0),
            in_key_order=read.flag(prefix + "SerialByKey"),
        )

    def _safety(self) -> Safety:
        read = self._reader
        gateways = max(1.0, read.number("Instances", 1.0))
        node_load_window = read.span("Safety.Fall", 0.0)
        slow_start_time = read.span("Safety.Cold", 0.0)
        key_settle_time = read.span("Safety.OrderSettle", 0.0)
        usual_units = read.number("FamilyInfo.UsualUnits", 1.0) or 1.0
        return Safety(
            gateways=gateways,
            node_load_window=node_load_window,
            slow_start_time=slow_start_time,
            key_settle_time=key_settle_time,
            usual_units=usual_units,
            guaranteed_units=read.number("FamilyInfo.ColdUnits", 0.0) or usual_units,
            start_capacity=max(MIN_START_CAPACITY, read.number("Safety.StartCapacity", 1.0)),
            overload_factor=max(1.0, read.number("Safety.OverloadFactor", 1.0)),
            answer_margin=ANSWER_MARGIN_PERIODS * read.span("Period", 1.0),
        )

    def tenant(self, number: int) -> Tenant:
        """Returns the settings of one tenant by its index; they are read on first use."""
        tenant = self._tenants.get(number)
        if tenant is None:
            tenant = self._tenants[number] = self._read_tenant(f"Policies.{number}.")
        return tenant

    def _read_tenant(self, prefix: str) -> Tenant:
        read = self._reader
        return Tenant(
            weight=read.number(prefix + "Weight", 1.0) or 1.0,
            priority_factor=read.number(prefix + "ValueFactor", 1.0),
            usual_rate=read.number(prefix + "Rate", 0.0),
            reserved_rate=read.number(prefix + "Reserve", 0.0),
            largest_request=read.number("FamilyInfo.UnitsTop", 1.0),
            limit_rate=read.number(prefix + "Limit", 0.0),
            limit_depth=read.number(prefix + "CapDepth", 0.0),
        )

    @cached_property
    def _usual_priority(self) -> float:
        return self._reader.number("FamilyInfo.FairWorth", 1.0)

    @cached_property
    def _beyond_priority(self) -> float:
        return self._reader.number("FamilyInfo.BeyondShare", 1.0)

    def priority_share(self, quota: Quota) -> float:
        """Returns the share of its priority weight that a request retains on this quota of its tenant."""
        if quota is Quota.RESERVED:
            return 1.0
        return self._usual_priority if quota is Quota.USUAL else self._beyond_priority

    @cached_property
    def max_attempts(self) -> int:
        """Maximum number of attempts per request, the first included."""
        return int(self._reader.number("Limits.MaxAttempts", 1.0))

    @cached_property
    def retry_budget(self) -> RetryBudget:
        """The retry budget; valid only if `has_retry_budget`."""
        read = self._reader
        return RetryBudget(
            window=read.span("Safety.CountedOver", 0.0),
            floor=read.number("Safety.ExtraFloor", 0.0),
            ratio=read.number("Safety.ExtraRatio"),
        )

    @cached_property
    def gives_retry_after(self) -> bool:
        """Whether clients honour Retry-After."""
        return self._reader.flag("Limits.RetryAfter")

    @cached_property
    def longest_retry_after(self) -> float:
        """The maximum Retry-After that clients honour, in ns; not rounded, because it is multiplied first."""
        return self._reader.number("Limits.MaxRetryAfter", 0.0) * MS
