"""Scripted days on a virtual clock: rules kept, every job accounted for, gateways restarted, lists lost."""

import json

import msgspec
import pytest

from ochrecourse.audit.judge import audit
from ochrecourse.audit.records import NodeHealthSent, GatewayStarted
from ochrecourse.lab.bench_day import from_bench_file
from ochrecourse.lab.day import TROUBLES, BadDay, Trouble, read
from ochrecourse.lab.days import built_in, names
from ochrecourse.lab.figures import figures_of
from ochrecourse.lab.load import schedule
from ochrecourse.lab.play import VirtualPlay
from ochrecourse.lab.report import verdict_line


pytestmark = pytest.mark.long


def judge(day):
    """Plays a day; the run, its verdict, and the jobs that came to no end."""
    play = VirtualPlay(day)
    played = play.run()
    verdict = audit(figures_of(day), played.records)
    return play, verdict, played.calls - sum(played.outcomes.endings.values())


def shortened(name, seed, **changes):
    """A built-in day with its trouble soon and short."""
    day = built_in(name, seed)
    troubles = [msgspec.structs.replace(each, at_s=1.0, len_s=2.0) for each in day.troubles]
    return msgspec.structs.replace(day, **{"length_s": 4.0, "troubles": troubles, "nodes": 6, **changes})


def again(day):
    return f"ochrecourse day run {day.name} --seed {day.seed} --virtual"


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("kind", TROUBLES)
def test_every_rule_holds_under_each_trouble(kind, seed):
    day = shortened(kind, seed)
    play, verdict, lost = judge(day)
    assert verdict.passes() and not lost, [again(day), *verdict.lines()]
    assert play.played.outcomes.endings["fulfilled"] > 0.2 * play.played.calls


@pytest.mark.parametrize("gateways", [1, 3, 12])
def test_killed_gateways_come_back_with_a_stale_list_and_keep_the_rules(gateways):
    """One node drains and one is replaced while gateways are down; what they kept knows of neither."""
    day = shortened(
        "balancer_roll", 4, gateways=gateways, length_s=6.0,
        troubles=[
            Trouble(kind="balancer_roll", at_s=1.0, len_s=0.5, part=1.0, size=1.0, extra=1.5),
            Trouble(kind="preempt", at_s=1.2, len_s=2.0, part=0.34, size=1.0, extra=0.4),
        ],
    )  # fmt: skip
    play, verdict, lost = judge(day)
    assert verdict.passes() and not lost, [again(day), *verdict.lines()]
    records = play.played.records
    starts = [each for each in records if isinstance(each, GatewayStarted)]
    assert len(starts) == 2 * gateways
    assert any(isinstance(each, NodeHealthSent) and each.health == "draining" for each in records)
    assert verdict.findings[2].tested and verdict.findings[3].tested


def test_without_a_list_server_gateways_live_on_what_they_kept():
    day = shortened(
        "list_gone", 1,
        troubles=[
            Trouble(kind="list_gone", at_s=0.5, len_s=9.0),
            Trouble(kind="balancer_roll", at_s=1.0, len_s=0.5, part=1.0, size=1.0, extra=0.3),
        ],
    )  # fmt: skip
    play, verdict, lost = judge(day)
    assert verdict.passes() and not lost, verdict.lines()
    served = play.played.outcomes.endings["fulfilled"]
    assert served > 0.8 * play.played.calls


def test_a_job_is_scheduled_before_the_run_whatever_comes_of_it():
    day = built_in("bad-evening")
    first, second = schedule(day), schedule(day)
    assert first == second and len(first) > 10_000
    assert [call.at for call in first] == sorted(call.at for call in first)


def test_every_trouble_of_the_day_list_has_a_day():
    assert set(TROUBLES) < set(names())
    kinds = {each.kind for each in built_in("bad-evening").troubles}
    assert kinds == set(TROUBLES) - {"all_gone"}


def test_the_verdict_line_names_what_broke():
    _, verdict, _ = judge(shortened("slow", 1, length_s=1.0, troubles=[]))
    assert verdict_line(verdict, 0).startswith("KEPT: all seven rules held over")
    assert verdict_line(verdict, 2) == "BROKEN: 2 jobs without an end"
    verdict.findings[3].breach(5, "text")
    assert verdict_line(verdict, 0) == "BROKEN: rules 4"


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("{", "day.json"),
        ('{"name": "x"}', "products"),
        ('{"name": "x", "products": [], "plans": [], "lenght_s": 3}', "lenght_s"),
        ('{"name": "x", "products": [], "plans": []}', "needs products"),
        ('{"name": "x", "products": [{"name": "p", "share": 1}], "plans": [{"name": "q", "share": 1}], '
         '"troubles": [{"kind": "flood", "at_s": 1, "len_s": 1}]}', "no trouble is named 'flood'"),
        ('{"name": "x", "products": [{"name": "p", "share": 1, "effect": "odd"}], "plans": [{"name": "q", "share": 1}]}',
         "no effect is named 'odd'"),
    ],
)  # fmt: skip
def test_a_wrong_day_file_is_told_in_one_line(tmp_path, text, told):
    path = tmp_path / "day.json"
    path.write_text(text)
    with pytest.raises(BadDay) as trouble:
        read(path)
    assert told in str(trouble.value) and "\n" not in str(trouble.value)


BENCH = {
    "site": "s", "kind": "trouble", "noise": 5, "length": 3_000_000, "zones": ["a"], "drain_grace": 1_000_000,
    "fall_multiple": 3.0, "fall_for": 1_500_000, "order_settle": 100_000,
    "net": {"same": 150.0, "cross": 400.0},
    "traffic": {"load": 0.4, "shape": [[0.0, 1.0], [1.5, 1.2]]},
    "clients": {"retries": 1, "backoff_us": 50_000.0, "honour": 0.5, "impatient": 0.0, "max_retry_after": 500_000},
    "discovery": {"add": 400_000, "notice": 900_000, "spread": 90_000, "silent_notice": 3_000_000},
    "allow": {"max_attempts": 3, "second_copies": False, "retry_after": True},
    "classes": [
        {"name": "get", "share": 0.7, "work": 6000.0, "cv": 0.5, "aim": 300_000, "deadline": 1_500_000, "worth": 2.0,
         "late_worth": 0.1, "effect": "safe", "group": "all", "window": 5_000_000, "write": False},
        {"name": "put", "share": 0.3, "work": 9000.0, "cv": 0.5, "aim": 400_000, "deadline": 2_000_000, "worth": 3.0,
         "late_worth": 0.1, "effect": "unsafe", "group": "all", "window": 5_000_000, "write": True, "in_order": True},
    ],
    "tenants": [{"name": "t0"}, {"name": "t1"}],
    "tiers": [{"conn_cap_per_core": 300.0, "handshake_work": 500.0, "stated_cold_from": 0.25, "stated_cold": 9_000_000,
               "kinds": [{"cores": 1, "slots": 2, "queue": 20, "cold_from": 0.3, "cold": 5_000_000, "thrash": 0.1,
                          "knee": 4.0, "error_rate": 0.0, "cancel": "none", "drops_expired": True,
                          "pause_every": 0.0, "pause": 0.0}]}],
    "servers": [{"kind": 0, "speed": 1.0, "up": True}, {"kind": 0, "speed": 1.3, "up": True},
                {"kind": 0, "speed": 1.0, "up": False}],
    "balancers": [{}, {}],
    "troubles": [
        {"kind": "slow", "at": 500_000, "len": 1_000_000, "size": 3.0, "extra": 0.0, "on": [1], "which": 0, "steps": []},
        {"kind": "preempt", "at": 900_000, "len": 1_000_000, "size": 0.5, "extra": 0.5, "on": [], "which": 0,
         "steps": [{"at": 900_000, "stop": [0], "start": [2]}]},
        {"kind": "heavy_tail", "at": 900_000, "len": 500_000, "size": 9.0, "extra": 0.02, "on": [], "which": 1, "steps": []},
    ],
    "fam": {
        "unit_work": 3000.0, "most_units": 8.0, "worths": [1.0, 0.3, 0.1], "meter": 1_000_000, "meter_late": 700_000,
        "tells": "both", "defer": 0.3, "flush": 1_000_000, "remembers": 2, "seek": 0.4, "skew": 0.8, "fresh": [False, True],
        "plans": [{"rate": 3.0, "reserve": 0.0, "limit": 30.0, "price": 0.8, "weight": 1.0},
                  {"rate": 6.0, "reserve": 6.0, "limit": 0.0, "price": 1.2, "weight": 2.0}],
        "volumes": [{"plan": 0, "hosts": 1, "nodes": [0, 1], "high": 0.0}, {"plan": 1, "hosts": 2, "nodes": [1], "high": 2.0},
                    {"plan": 1, "hosts": 2, "nodes": [0], "high": 0.0}, {"plan": 0, "hosts": 2, "nodes": [1], "high": 0.0}],
    },
}  # fmt: skip


def test_a_bench_day_becomes_a_day_of_ours_and_runs(tmp_path):
    path = tmp_path / "bench.json"
    path.write_text(json.dumps(BENCH))
    day = from_bench_file(path)
    assert (day.gateways, day.nodes, day.length_s) == (2, 2, 3.0) and day.shape == [[0.0, 1.0], [0.5, 1.2]]
    assert [(each.kind, each.part, each.which) for each in day.troubles] == [
        ("slow", 0.5, ""), ("preempt", 0.5, ""), ("heavy_tail", 0.2, "put"),
    ]  # fmt: skip
    assert day.products[1].effect == "binding" and day.products[1].in_order and day.plans[0].limit == 10
    _, verdict, lost = judge(day)
    assert verdict.passes() and not lost and verdict.requests > 100, verdict.lines()


@pytest.mark.parametrize("gone", ["fam", "tiers", "troubles", "classes", "net"])
def test_a_file_that_is_no_bench_day_is_told(tmp_path, gone):
    path = tmp_path / "bench.json"
    path.write_text(json.dumps({name: part for name, part in BENCH.items() if name != gone}))
    with pytest.raises(BadDay, match=f"no '{gone}'"):
        from_bench_file(path)


@pytest.mark.parametrize("kind", ["preempt", "mass_restart", "list_gone", "balancer_roll"])
def test_a_day_with_a_registry_in_the_loop_keeps_every_rule(kind):
    day = shortened(kind, 1)
    played = VirtualPlay(day, registry=True).run()
    verdict = audit(figures_of(day), played.records)
    assert verdict.passes(), verdict.lines()
    assert played.outcomes.payoff() > 0.8 * VirtualPlay(day).run().outcomes.payoff()
    if kind == "preempt":
        assert verdict.findings[2].tested
