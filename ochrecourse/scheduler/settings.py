"""The settings that the decisions need, read from the map of names to texts into typed records.

Only this module knows the names of the map; it decides nothing. Spans are whole nanoseconds, rates units a
second. What every gateway needs is read when the settings are made; what only some need (a tenant's
figures, advice, the budget of retries) is read once at its first use, so that a value that nothing uses is
never refused. A value that is missing, or is no number where one is needed, raises `MissingSettingError`
with its name.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from ochrecourse.common.time_units import MS
from ochrecourse.interface import MissingSettingError

ANSWER_MARGIN_PERIODS = 2  # of the host's timer; one to wake, one to send the answer
LEAST_START_CAPACITY = 0.01  # share of a warm node's capacity; guards against dividing by nothing


class Idempotency(enum.Enum):
    """Whether a request may be repeated once an attempt of it may have run."""

    ALWAYS = "safe"
    WITH_KEY = "keyed"  # within a window, where the first attempt's effect is known under its key
    NEVER = "unsafe"
    UNKNOWN = ""  # a word of a later version: may be repeated, but that is never taken for harmless


class RetryScope(enum.Enum):
    """Among which nodes the idempotency key of a request is known."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"
    UNKNOWN = ""  # a word of a later version: retries go anywhere, but that is never taken for harmless


class Quota(enum.Enum):
    """On which rate of its tenant a request draws."""

    RESERVED = 0
    USUAL = 1
    BEYOND = 2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What the settings say of one class of requests."""

    latency_objective: int  # ns from arrival within which an answer counts
    priority_weight: float  # of a request that is served in time
    idempotency: Idempotency
    retry_scope: RetryScope
    idempotency_window: int  # ns from the writing of the first attempt that may have run
    in_key_order: bool  # one request of a key at a time


@dataclass(frozen=True, slots=True)
class Tenant:
    """What the settings say of one tenant; each of its volumes has these figures."""

    weight: float  # share of a busy node against other tenants
    priority_factor: float  # on the priority weight of its requests
    usual_rate: float  # units a second
    reserved_rate: float  # units a second
    largest_request: float  # units
    limit_rate: float  # units a second that no volume may pass; 0 means no limit
    limit_depth: float  # units that may be saved up under the limit


@dataclass(frozen=True, slots=True)
class Safety:
    """What the settings say of the fleet's gateways and of nodes that may be overloaded."""

    gateways: float  # of the fleet, one at least
    node_load_span: int  # ns over which a node's load is counted
    slow_start_span: int  # ns from a start until the slowest node is warm
    key_settle_span: int  # ns that an ordered key rests after an attempt that may still run
    usual_units: float  # units of a usual request
    sure_units: float  # units in `node_load_span` that any starting node bears
    start_capacity: float  # least share of a warm node's capacity right after a start
    overload_factor: float  # how many times its capacity a node bears, one at least
    answer_margin: int  # ns before the end of a request's time by which its answer must be on its way


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """What the settings say of how many retries a gateway may send."""

    counted_span: int  # ns of which requests and retries count
    floor: float  # retries that are always allowed in it
    ratio: float  # and so many for each request received in it


class _Reader:
    """Reads single values from the map."""

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
        """A span of the map, in milliseconds there, as whole nanoseconds."""
        return round(self.number(name, default) * MS)

    def flag(self, name: str) -> bool:
        return self.text(name, "false") == "true"


class SchedulerSettings:
    """All settings of one scheduler.

    `values`: the map, which is not to change any more. Raises `MissingSettingError` when it is made, or
    from the attributes and calls that read at their first use.
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
        node_load_span = read.span("Safety.Fall", 0.0)
        slow_start_span = read.span("Safety.Cold", 0.0)
        key_settle_span = read.span("Safety.OrderSettle", 0.0)
        usual_units = read.number("FamilyInfo.UsualUnits", 1.0) or 1.0
        return Safety(
            gateways=gateways,
            node_load_span=node_load_span,
            slow_start_span=slow_start_span,
            key_settle_span=key_settle_span,
            usual_units=usual_units,
            sure_units=read.number("FamilyInfo.ColdUnits", 0.0) or usual_units,
            start_capacity=max(LEAST_START_CAPACITY, read.number("Safety.StartCapacity", 1.0)),
            overload_factor=max(1.0, read.number("Safety.OverloadFactor", 1.0)),
            answer_margin=ANSWER_MARGIN_PERIODS * read.span("Period", 1.0),
        )

    def tenant(self, number: int) -> Tenant:
        """The figures of one tenant, by its place in the settings; read when first asked for."""
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
        """The share of its priority weight that a request has on this rate of its tenant."""
        if quota is Quota.RESERVED:
            return 1.0
        return self._usual_priority if quota is Quota.USUAL else self._beyond_priority

    @cached_property
    def max_attempts(self) -> int:
        """Attempts that any request may have, the first included."""
        return int(self._reader.number("Limits.MaxAttempts", 1.0))

    @cached_property
    def retry_budget(self) -> RetryBudget:
        """The budget of retries; only where `has_retry_budget`."""
        read = self._reader
        return RetryBudget(
            counted_span=read.span("Safety.CountedOver", 0.0),
            floor=read.number("Safety.ExtraFloor", 0.0),
            ratio=read.number("Safety.ExtraRatio"),
        )

    @cached_property
    def gives_retry_after(self) -> bool:
        """Whether clients honour advice on how long to stay away."""
        return self._reader.flag("Limits.RetryAfter")

    @cached_property
    def longest_retry_after(self) -> float:
        """The longest advice that clients honour, in ns; not rounded, for it is multiplied first."""
        return self._reader.number("Limits.MaxRetryAfter", 0.0) * MS
