"""A scripted day: who sends what, what breaks when, and the figures of the rules. Read from JSON or TOML, or
built in.

Spans are in ms unless the name says otherwise. Everything that is drawn by chance comes from `seed`.
"""

from __future__ import annotations

import random
import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ochrecourse.settings.plain import EFFECTS
from ochrecourse.standins.node_process import NodeKind, RequestClassCost, OverloadLimit

TROUBLES = (
    "slow", "hang", "fast_errors", "answer_lost", "vanish", "preempt", "mass_restart", "pauses", "full",
    "cut_answers", "heavy_tail", "burst", "tenant_burst", "hot_key", "retry_abuse", "give_up",
    "balancer_roll", "list_gone", "all_gone",
)  # fmt: skip
# These strike the zone that `which` names.
ZONE_TROUBLES = ("zone_lost", "zone_silent", "zone_slow", "zone_apart", "zone_grey")


class Product(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of job. `effect`: retriable, fingerprinted or binding."""

    name: str
    share: float
    unit_ms: float = 4.0
    cv: float = 0.5
    promised_ms: float = 300.0
    timeout_ms: float = 1500.0
    payoff: float = 1.0
    late_share: float = 0.2
    effect: str = "retriable"
    group: str = "all"
    window_ms: float = 5000.0
    in_order: bool = False
    writes: bool = False
    fresh: bool = False  # writes a new object each time
    unit_bytes: int = 256


class Plan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One plan; rates in multiples of the volume's usual rate. `limit` 0: none."""

    name: str
    share: float
    size: float = 1.0
    reserve: float = 0.0
    weight: float = 1.0
    worth: float = 1.0
    limit: float = 0.0
    hosts: tuple[int, int] = (1, 3)
    nodes: tuple[int, int] = (1, 3)
    busy: float = 0.15
    heavy: float = 0.08


class Habits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How clients behave: tries beyond the first, waits, how many heed advice or leave early."""

    retries: int = 1
    backoff_ms: float = 60.0
    honour: float = 0.6
    impatient: float = 0.0
    connections: int = 4


class Trouble(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What breaks. `part`: of the nodes or gateways struck; `size` and `extra` as the kind needs
    (docs/days.md).
    """

    kind: str
    at_s: float
    len_s: float
    part: float = 0.2
    size: float = 0.0
    extra: float = 0.0
    which: str = ""  # a product, plan or zone, where the kind strikes one


class RuleFigures(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The stated figures of the seven rules. A budget share below 0: no budget is stated."""

    drain_grace_ms: float = 2000.0
    multiple: float = 4.0
    fall_ms: float = 1500.0
    start_capacity: float = 0.25
    cold_ms: float = 10_000.0
    settle_ms: float = 100.0
    limit_slack: float = 0.1
    budget_floor: float = 10.0
    budget_share: float = -1.0
    budget_ms: float = 2000.0


class Day(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One day."""

    name: str
    seed: int = 1
    length_s: float = 12.0
    gateways: int = 3
    nodes: int = 8
    copies: int = 1  # nodes that hold a shard, each in a zone of its own
    layout: tuple[tuple[int, int], ...] = ()  # by node its shard and its zone, where copies do not say it
    dated: bool = False  # answers to reads carry the time at which a node made them
    zones: tuple[str, ...] = ("north",)
    load: float = 0.5  # of what the nodes can do
    volumes_a_node: float = 6.0
    surges: float = 0.3  # of what the nodes can do, in the mean, on top
    shape: list[list[float]] = []  # [part of the day, factor] steps; empty: steady
    products: list[Product]
    plans: list[Plan]
    kinds: tuple[NodeKind, ...] = (NodeKind(),)
    habits: Habits = Habits()
    rules: RuleFigures = RuleFigures()
    troubles: list[Trouble] = []
    max_legs: int = 3
    second_copies: bool = False
    retry_after: bool = True
    max_retry_after_ms: float = 1000.0
    share_worth: float = 0.3
    spare_worth: float = 0.1
    most_units: int = 8
    meter_ms: float = 1000.0
    meter_late_ms: float = 800.0
    tells_elsewhere: bool = False
    list_notice_ms: tuple[float, float] = (600.0, 1800.0)
    list_spread_ms: float = 150.0
    silent_notice_ms: float = 4000.0
    runs: float = 1.5  # jobs in a row on one key
    keys: int = 200  # for each volume
    travel_ms: float = 40.0  # what an answer may take to its client, told to the gateways
    net_ms: tuple[float, float] = (0.1, 0.5)
    skew: float = 0.6

    @property
    def shards(self) -> int:
        return 1 + max(shard for shard, _ in self.layout) if self.layout else self.nodes // self.copies

    @property
    def mean_units(self) -> float:
        """Units are drawn from 1 up, each half as likely as the one before, up to the most."""
        return sum(n * 0.5 ** min(n, self.most_units - 1) for n in range(1, self.most_units + 1))


class BadDay(Exception):
    """A day file that can't be read; the text names the file and what is wrong."""


def read(path: Path) -> Day:
    """A day from a JSON or TOML file. Raises BadDay."""
    try:
        text = path.read_text()
        data = tomllib.loads(text) if path.suffix == ".toml" else msgspec.json.decode(text)
        day = msgspec.convert(data, Day)
    except OSError as trouble:
        raise BadDay(f"{path}: {trouble.strerror}") from None
    except (
        msgspec.ValidationError,
        msgspec.DecodeError,
        tomllib.TOMLDecodeError,
        UnicodeDecodeError,
    ) as trouble:
        raise BadDay(f"{path}: {trouble}") from None
    check(day, str(path))
    return day


def check(day: Day, where: str) -> None:
    """Raises BadDay on what types can't say."""
    names = {each.name for each in day.products} | {each.name for each in day.plans}
    for i, trouble in enumerate(day.troubles):
        if trouble.kind not in TROUBLES + ZONE_TROUBLES:
            known = ", ".join(TROUBLES + ZONE_TROUBLES)
            raise BadDay(f"{where}: troubles[{i}]: no trouble is named {trouble.kind!r}; there are {known}")
        if trouble.kind in ZONE_TROUBLES and trouble.which not in day.zones:
            raise BadDay(f"{where}: troubles[{i}]: {trouble.kind} strikes a zone; none is {trouble.which!r}")
        if trouble.which and trouble.which not in names | set(day.zones):
            raise BadDay(f"{where}: troubles[{i}]: {trouble.which!r} is neither a product nor a plan")
    for product in day.products:
        if product.effect not in EFFECTS:
            raise BadDay(f"{where}: product {product.name}: no effect is named {product.effect!r}")
        if product.timeout_ms <= day.travel_ms:
            raise BadDay(f"{where}: product {product.name}: its client timeout is not above travel_ms")
    if not 1 <= day.copies <= len(day.zones) or day.nodes % day.copies:
        raise BadDay(f"{where}: copies of a shard are at most the zones, and the nodes a multiple of them")
    if day.layout:
        held = {(shard, zone) for shard, zone in day.layout}
        zoned = all(0 <= zone < len(day.zones) for _, zone in day.layout)
        every = {shard for shard, _ in day.layout} == set(range(day.shards))
        if len(day.layout) != day.nodes or len(held) != day.nodes or not zoned or not every:
            raise BadDay(f"{where}: layout: a shard from 0 on and a zone for each node, no two alike")
    if not day.products or not day.plans or not day.kinds or day.gateways < 1 or day.nodes < 1:
        raise BadDay(f"{where}: a day needs products, plans, kinds, gateways and nodes")


@dataclass(slots=True)
class Volume:
    """One volume of a day: its plan, rate in units a second, gateways and shards, and whether it surges."""

    number: int
    plan: int
    rate: float
    hosts: list[int]
    shards: list[int]
    factor: float
    surging: bool


def node_kind(day: Day, node: int) -> NodeKind:
    """Kinds take turns over the nodes; each node's speed is drawn near its kind's."""
    kind = day.kinds[node % len(day.kinds)]
    spread = random.Random(f"{day.seed} speed {node}").uniform(0.85, 1.15)
    return msgspec.structs.replace(kind, speed=kind.speed * spread)


def capacity(day: Day) -> float:
    """Core-ms of work a second that all nodes can do."""
    kinds = [node_kind(day, node) for node in range(day.nodes)]
    return sum(kind.cores * kind.speed for kind in kinds) * 1000


def unit_cost(day: Day) -> float:
    """Core-ms that a unit costs in the mean."""
    return sum(each.share * each.unit_ms for each in day.products) / sum(each.share for each in day.products)


def base_rate(day: Day) -> float:
    """Units a second of a volume of size 1."""
    units = day.load * capacity(day) / unit_cost(day)
    count = max(len(day.plans), round(day.volumes_a_node * day.nodes))
    share = sum(each.share for each in day.plans)
    sizes = sum(count * each.share / share * each.size for each in day.plans)
    return units / sizes


def volumes(day: Day) -> list[Volume]:
    """The day's volumes, drawn from its seed."""
    chance = random.Random(f"{day.seed} volumes")
    count = max(len(day.plans), round(day.volumes_a_node * day.nodes))
    whole = sum(each.share for each in day.plans)
    rate = base_rate(day)
    made: list[Volume] = []
    for plan, each in enumerate(day.plans):
        for _ in range(max(1, round(count * each.share / whole))):
            hosts = chance.randint(min(each.hosts[0], day.gateways), min(each.hosts[1], day.gateways))
            shards = chance.randint(min(each.nodes[0], day.shards), min(each.nodes[1], day.shards))
            made.append(
                Volume(
                    number=len(made) + 1,
                    plan=plan,
                    rate=rate * each.size,
                    hosts=sorted(chance.sample(range(day.gateways), hosts)),
                    shards=chance.sample(range(day.shards), shards),
                    factor=chance.uniform(1, 3) if chance.random() < each.busy else 1.0,
                    surging=chance.random() < each.heavy,
                )
            )
    return made


def works(day: Day) -> dict[str, RequestClassCost]:
    """The products as nodes see them."""
    return {
        each.name: RequestClassCost(
            unit_ms=each.unit_ms,
            cv=each.cv,
            effect=EFFECTS[each.effect],
            group=each.group,
            unit_bytes=each.unit_bytes,
        )
        for each in day.products
    }


def push_over(day: Day) -> OverloadLimit:
    return OverloadLimit(multiple=day.rules.multiple, fall_ms=day.rules.fall_ms)


def limit_of(day: Day, plan: Plan) -> tuple[float, float, float]:
    """A plan's limit for a volume: units a second, units at once, and the slack; all 0 without one."""
    if not plan.limit:
        return 0.0, 0.0, 0.0
    rate = plan.limit * plan.size * base_rate(day)
    depth = max(2.0 * day.most_units * day.gateways, 2 * rate)
    return rate, depth, max(day.rules.limit_slack * depth, float(day.most_units))


def cold_units(day: Day) -> float:
    """Units that a node that has just come up always bears from all gateways within the time of the rule."""
    dearest = max(each.unit_ms for each in day.products)
    least = min(kind.cores * kind.speed for kind in (node_kind(day, node) for node in range(day.nodes)))
    return day.rules.multiple * day.rules.start_capacity * least * day.rules.fall_ms / dearest / 2


def gateway_record(day: Day, index: int, listen: str, list_address: str, state: str) -> dict[str, object]:
    """The settings of one gateway of the day, as docs/settings.md names them; spans in ms, sizes in bytes."""
    rate = base_rate(day)
    plans = []
    for each in day.plans:
        limit, depth, slack = limit_of(day, each)
        plans.append(
            {
                "name": each.name,
                "rate": round(rate * each.size, 6),
                "reserve": round(rate * each.size * each.reserve, 6),
                "weight": each.weight,
                "worth": each.worth,
                "limit": round(limit, 6),
                "limit_burst": round(depth, 6),
                "limit_slack": round(slack, 6),
            }
        )
    record: dict[str, object] = {
        "gateway": {
            "name": f"g{index}",
            "listen": listen,
            "zone": index % len(day.zones),
            "gateways": day.gateways,
            "number": index,
            "travel": day.travel_ms,
            "state": state,
        },
        "list": {"address": list_address},
        "products": [
            {
                "name": each.name,
                "promised": each.promised_ms,
                "client_timeout": each.timeout_ms,
                "payoff": each.payoff,
                "late_share": each.late_share,
                "effect": each.effect,
                "repeat_group": each.group,
                "repeat_window": each.window_ms,
                "in_order": each.in_order,
                "writes": each.writes,
            }
            for each in day.products
        ],
        "plans": plans,
        "units": {
            "most": day.most_units,
            "usual": round(day.mean_units, 6),
            "share_worth": day.share_worth,
            "spare_worth": day.spare_worth,
        },
        "rules": {
            "drain_grace": day.rules.drain_grace_ms,
            "cold_capacity": day.rules.start_capacity,
            "cold_time": day.rules.cold_ms,
            "cold_multiple": day.rules.multiple,
            "cold_fall": day.rules.fall_ms,
            "cold_units": round(cold_units(day), 6),
            "order_rest": day.rules.settle_ms,
        },
        "legs": {"most": day.max_legs, "second_copies": day.second_copies},
        "clients": {"advice": day.retry_after, "longest_advice": day.max_retry_after_ms},
        "meter": {"period": day.meter_ms, "elsewhere": day.tells_elsewhere},
        "zones": list(day.zones),
    }
    if day.rules.budget_share >= 0:
        record["budget"] = {
            "floor": day.rules.budget_floor,
            "share": day.rules.budget_share,
            "window": day.rules.budget_ms,
        }
    return record
