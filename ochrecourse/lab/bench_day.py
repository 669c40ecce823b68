"""A day file of the bench as a day of ours: its sizes, kinds of machine, products, plans, traffic and
troubles.

The file is read as data, named on the command line; nothing of it is kept in the program. Times in it are us.
What the bench models and we don't (jitter of clocks, weights of a rotation) is left out; docs/days.md says
what.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ochrecourse.lab.day import TROUBLES, BadDay, Day, Habits, Plan, Product, RuleFigures, Trouble, check
from ochrecourse.settings.plain import EFFECTS
from ochrecourse.standins.node_process import NodeKind

OURS = {theirs: ours for ours, theirs in EFFECTS.items()}  # our names of effects by the wire's
# ms that an answer may take to its client; the bench states a slack of its own, real sockets need more
TRAVEL = 40.0


def from_bench_file(path: Path) -> Day:
    """Raises BadDay with the name of what is missing."""
    try:
        told = json.loads(path.read_text())
    except OSError as trouble:
        raise BadDay(f"{path}: {trouble.strerror}") from None
    except (json.JSONDecodeError, UnicodeDecodeError) as trouble:
        raise BadDay(f"{path}: {trouble}") from None
    try:
        day = from_bench(told)
    except KeyError as missing:
        raise BadDay(f"{path}: not a bench day of this kind: it has no {missing}") from None
    except (TypeError, ValueError, IndexError, ZeroDivisionError) as trouble:
        raise BadDay(f"{path}: not a bench day of this kind: {trouble}") from None
    check(day, str(path))
    return day


def from_bench(told: Mapping[str, Any]) -> Day:
    """Raises KeyError, TypeError, ValueError on what is no such day."""
    fam, tier, clients, allow = told["fam"], told["tiers"][0], told["clients"], told["allow"]
    nodes = [server for server in told["servers"] if server["up"]]
    units = {each["name"]: float(fam["unit_work"]) / 1000 for each in told["classes"]}
    whole = sum(each["share"] * each["work"] for each in told["classes"])
    mean = whole / sum(each["share"] for each in told["classes"])
    for each in told["classes"]:
        units[each["name"]] *= each["work"] / mean
    return Day(
        name=f"bench-{told['site']}-{told['kind']}",
        seed=int(told["noise"]) % 2**31,
        length_s=told["length"] / 1e6,
        gateways=len(told["balancers"]),
        nodes=len(nodes),
        zones=tuple(told["zones"]),
        load=float(told["traffic"]["load"]),
        volumes_a_node=len(fam["volumes"]) / len(nodes),
        surges=1.0 if any(volume["high"] for volume in fam["volumes"]) else 0.0,
        shape=_shape(told),
        products=[_product(each, i, fam, units, told) for i, each in enumerate(told["classes"])],
        plans=[_plan(each, i, fam, told) for i, each in enumerate(told["tenants"])],
        kinds=tuple(_kind(node, tier, fam) for node in nodes),
        habits=Habits(
            retries=int(clients["retries"]),
            backoff_ms=clients["backoff_us"] / 1000,
            honour=clients["honour"],
            impatient=clients["impatient"],
        ),
        rules=RuleFigures(
            drain_grace_ms=told["drain_grace"] / 1000,
            multiple=told["fall_multiple"],
            fall_ms=told["fall_for"] / 1000,
            start_capacity=tier["stated_cold_from"],
            cold_ms=tier["stated_cold"] / 1000,
            settle_ms=told.get("order_settle", 0) / 1000,
            **_budget(told),
        ),
        troubles=[_trouble(each, told, len(nodes)) for each in told["troubles"] if each["kind"] in TROUBLES],
        max_legs=int(allow["max_attempts"]),
        second_copies=bool(allow["second_copies"]),
        retry_after=bool(allow["retry_after"]),
        max_retry_after_ms=clients["max_retry_after"] / 1000,
        share_worth=fam["worths"][1],
        spare_worth=fam["worths"][2],
        most_units=int(fam["most_units"]),
        meter_ms=fam["meter"] / 1000 if fam["tells"] in ("fleet", "both") else 0.0,
        meter_late_ms=fam["meter_late"] / 1000,
        tells_elsewhere=fam["tells"] in ("node", "both"),
        list_notice_ms=(told["discovery"]["add"] / 1000, told["discovery"]["notice"] / 1000),
        list_spread_ms=told["discovery"]["spread"] / 1000,
        silent_notice_ms=told["discovery"]["silent_notice"] / 1000,
        travel_ms=TRAVEL,
        net_ms=(told["net"]["same"] / 1000, max(told["net"]["same"], told["net"]["cross"]) / 1000),
        skew=fam["skew"],
    )


def _shape(told: Mapping[str, Any]) -> list[list[float]]:
    """The traffic's steps, in s: part of the day, factor."""
    return [[at * 1e6 / told["length"], factor] for at, factor in told["traffic"]["shape"]]


def _product(
    each: Mapping[str, Any],
    i: int,
    fam: Mapping[str, Any],
    units: Mapping[str, float],
    told: Mapping[str, Any],
) -> Product:
    return Product(
        name=each["name"],
        share=each["share"],
        unit_ms=units[each["name"]],
        cv=each["cv"],
        promised_ms=each["aim"] / 1000,
        timeout_ms=each["deadline"] / 1000,
        payoff=each["worth"],
        late_share=each["late_worth"],
        effect=OURS[each["effect"]],
        group=each["group"],
        window_ms=each["window"] / 1000,
        in_order=bool(each.get("in_order", False)),
        writes=bool(each["write"]),
        fresh=bool(fam["fresh"][i]) if i < len(fam["fresh"]) else False,
    )


def _plan(each: Mapping[str, Any], i: int, fam: Mapping[str, Any], told: Mapping[str, Any]) -> Plan:
    figures = fam["plans"][i]
    own = [volume for volume in fam["volumes"] if volume["plan"] == i]
    rate = figures["rate"]
    least = min(plan["rate"] for plan in fam["plans"])
    hosts = [
        int(volume["hosts"]) if isinstance(volume["hosts"], int) else len(volume["hosts"]) for volume in own
    ]
    spread = [len(volume["nodes"]) for volume in own]
    return Plan(
        name=each["name"],
        share=max(1, len(own)) / max(1, len(fam["volumes"])),
        size=rate / least,
        reserve=figures["reserve"] / rate,
        weight=figures["weight"],
        worth=figures["price"],
        limit=figures["limit"] / rate,
        hosts=(min(hosts, default=1), max(hosts, default=1)),
        nodes=(min(spread, default=1), max(spread, default=1)),
        heavy=sum(1 for volume in own if volume["high"]) / max(1, len(own)),
    )


def _kind(node: Mapping[str, Any], tier: Mapping[str, Any], fam: Mapping[str, Any]) -> NodeKind:
    kind = tier["kinds"][node["kind"]]
    return NodeKind(
        cores=kind["cores"],
        slots=max(kind["slots"], kind["cores"]),
        queue=kind["queue"],
        speed=node["speed"],
        cold_from=kind["cold_from"],
        cold_ms=kind["cold"] / 1000,
        thrash=kind["thrash"],
        knee=kind["knee"],
        error_rate=kind["error_rate"],
        cancel=kind["cancel"],
        drops_expired=bool(kind["drops_expired"]),
        connections=round(tier["conn_cap_per_core"] * kind["cores"]),
        handshake_ms=tier["handshake_work"] / 1000,
        defer=fam["defer"],
        flush_ms=fam["flush"] / 1000,
        remembers=int(fam["remembers"]),
        seek=fam["seek"],
        pause_every_ms=kind["pause_every"] / 1000,
        pause_ms=kind["pause"] / 1000,
    )


def _budget(told: Mapping[str, Any]) -> dict[str, float]:
    if told.get("budget_window") is None or told.get("budget_share") is None:
        return {}
    return {
        "budget_share": told["budget_share"],
        "budget_floor": told.get("budget_free", 0.0),
        "budget_ms": told["budget_window"] / 1000,
    }


def _trouble(each: Mapping[str, Any], told: Mapping[str, Any], nodes: int) -> Trouble:
    kind, struck = each["kind"], each["on"]
    count = len(told["balancers"]) if kind == "balancer_roll" else nodes
    which = ""
    if kind == "heavy_tail":
        which = told["classes"][each["which"]]["name"]
    elif kind in ("tenant_burst", "retry_abuse", "give_up") and each["which"] < len(told["tenants"]):
        which = told["tenants"][each["which"]]["name"]
    steps = each.get("steps") or []
    part = len(struck) / count if struck else 0.2
    if steps:
        part = min(1.0, sum(len(step["stop"]) for step in steps) / count)
    return Trouble(
        kind=kind,
        at_s=each["at"] / 1e6,
        len_s=max(0.5, each["len"] / 1e6),
        part=part,
        size=float(each["size"]),
        extra=1.0 if each.get("how") == "reset" else float(each["extra"]),
        which=which,
    )
