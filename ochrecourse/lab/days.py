"""The built-in days: one for each kind of trouble, named after it, and a bad evening with all of them."""

from __future__ import annotations

import msgspec

from ochrecourse.lab.day import TROUBLES, BadDay, Day, Habits, Plan, Product, RuleFigures, Trouble
from ochrecourse.standins.node_process import NodeKind

PRODUCTS = [
    Product(name="page-read", share=0.5, unit_ms=4, promised_ms=250, timeout_ms=1500, payoff=2),
    Product(
        name="note-save", share=0.2, unit_ms=6, promised_ms=400, timeout_ms=2000, payoff=3, in_order=True,
        effect="fingerprinted", group="cell", window_ms=2500, writes=True,
    ),
    Product(
        name="ledger-post", share=0.15, unit_ms=6, promised_ms=500, timeout_ms=2500, payoff=3, in_order=True,
        effect="binding", writes=True, fresh=True,
    ),
    Product(
        name="bulk-export", share=0.15, unit_ms=9, promised_ms=1000, timeout_ms=3000, payoff=1,
        unit_bytes=16_384
    ),
]  # fmt: skip
PLANS = [
    Plan(
        name="open", share=0.4, size=1, reserve=0.3, weight=1, worth=0.8, limit=8, hosts=(1, 3), nodes=(1, 3)
    ),
    Plan(name="team", share=0.35, size=2, reserve=0.8, weight=2, worth=1.0, hosts=(1, 3), nodes=(1, 3)),
    Plan(name="gold", share=0.25, size=3, reserve=1.1, weight=4, worth=1.4, hosts=(1, 3), nodes=(1, 4)),
]
KINDS = [
    NodeKind(cores=2, slots=3, queue=24, speed=1.3, defer=0.3, cold_ms=6000, cold_from=0.35),
    NodeKind(cores=1, slots=2, queue=16, speed=1.0, defer=0.3, cold_ms=6000, cold_from=0.35, cancel="queued"),
]
AT, LONG = 3.0, 4.0  # s; when a built-in trouble begins and how long it lasts

# Part struck, size, extra and what is named, where the defaults of the kind will not do.
FIGURES: dict[str, dict[str, float | str]] = {
    "slow": {"part": 0.25, "size": 5.0},
    "hang": {"part": 0.2},
    "fast_errors": {"part": 0.2, "size": 0.7},
    "answer_lost": {"part": 0.4, "size": 0.3},
    "vanish": {"part": 0.2},
    "preempt": {"part": 0.25, "size": 1.0, "extra": 2.0},
    "mass_restart": {"part": 0.6, "size": 1.0},
    "pauses": {"part": 0.4, "size": 250.0, "extra": 1.2},
    "full": {"part": 0.2},
    "cut_answers": {"part": 0.3, "size": 0.3},
    "heavy_tail": {"size": 12.0, "extra": 0.03, "which": "page-read"},
    "burst": {"size": 2.0},
    "tenant_burst": {"size": 4.0, "which": "open"},
    "hot_key": {"size": 0.25},
    "retry_abuse": {"size": 6.0, "extra": 0.4, "which": "open"},
    "give_up": {"size": 0.4, "extra": 0.5},
    "balancer_roll": {"part": 0.9, "size": 0.3, "extra": 0.5},
    "list_gone": {},
    "all_gone": {"len_s": 5.0},
}


def _base(name: str, seed: int, length_s: float, troubles: list[Trouble]) -> Day:
    return Day(
        name=name,
        seed=seed,
        length_s=length_s,
        gateways=3,
        nodes=8,
        zones=("north", "south"),
        load=0.45,
        products=PRODUCTS,
        plans=PLANS,
        kinds=tuple(KINDS),
        habits=Habits(retries=1, impatient=0.01),
        rules=RuleFigures(budget_share=0.25),
        troubles=troubles,
    )


def one_trouble(kind: str, seed: int = 1) -> Day:
    """The built-in day of one kind of trouble."""
    figures = FIGURES[kind]
    trouble = msgspec.convert({"kind": kind, "at_s": AT, "len_s": LONG, **figures}, Trouble)
    return _base(kind, seed, 10.0, [trouble])


def bad_evening(seed: int = 1) -> Day:
    """All kinds of trouble, one coming before the last has gone."""
    kinds = [kind for kind in TROUBLES if kind != "all_gone"]
    troubles = [
        msgspec.convert({"kind": kind, "at_s": 2.0 + 2.0 * i, "len_s": 3.5, **FIGURES[kind]}, Trouble)
        for i, kind in enumerate(kinds)
    ]
    return _base("bad-evening", seed, 2.0 * len(kinds) + 6.0, troubles)


def demo(seed: int = 1) -> Day:
    """What `make demo` plays: a slow node, and gateways killed in the middle."""
    troubles = [
        Trouble(kind="slow", at_s=3.0, len_s=5.0, part=0.13, size=6.0),
        Trouble(kind="balancer_roll", at_s=6.0, len_s=3.0, part=0.4, size=0.3, extra=0.7),
        Trouble(kind="preempt", at_s=9.0, len_s=4.0, part=0.13, size=1.0, extra=1.5),
    ]
    return _base("demo", seed, 15.0, troubles)


def school_morning(seed: int = 1) -> Day:
    """For the WebDAV doors: a node stalls, one is drained, answers are lost, a gateway is killed."""
    troubles = [
        Trouble(kind="hang", at_s=3.0, len_s=4.0, part=0.1),
        Trouble(kind="preempt", at_s=8.0, len_s=4.0, part=0.1, size=1.0, extra=2.0),
        Trouble(kind="answer_lost", at_s=13.0, len_s=4.0, part=0.25, size=0.3),
        Trouble(kind="balancer_roll", at_s=18.0, len_s=1.0, part=0.34, size=1.0, extra=1.0),
        Trouble(kind="cut_answers", at_s=21.0, len_s=3.0, part=0.25, size=0.3),
    ]
    day = _base("school-morning", seed, 25.0, troubles)
    return msgspec.structs.replace(day, nodes=12, volumes_a_node=2.0)


def quiet(seed: int = 1) -> Day:
    """Nothing breaks."""
    return _base("quiet", seed, 8.0, [])


MADE = {"demo": demo, "quiet": quiet, "bad-evening": bad_evening, "school-morning": school_morning}


def names() -> list[str]:
    return [*MADE, *TROUBLES]


def built_in(name: str, seed: int = 1) -> Day:
    """A built-in day by its name. Raises BadDay."""
    if name in MADE:
        return MADE[name](seed)
    if name in TROUBLES:
        return one_trouble(name, seed)
    raise BadDay(f"there is no built-in day {name!r}; there are {', '.join(names())}")
