"""What came of a run, for people and for scripts."""

from __future__ import annotations

from typing import Any

from ochrecourse.audit.judge import AuditResult
from ochrecourse.lab.load import Outcomes

QUANTILES = (50.0, 90.0, 99.0, 99.9)


def outcome_map(outcomes: Outcomes) -> dict[str, Any]:
    """Outcomes for scripts; latencies in ms, of fulfilled jobs, from when each was due to leave."""
    return {
        "jobs": sum(outcomes.endings.values()),
        "tries": outcomes.tries,
        "endings": dict(sorted(outcomes.endings.items())),
        "in_time": outcomes.in_time,
        "late": outcomes.late,
        "payoff": round(outcomes.payoff(), 4),
        "payoff_by_plan": {
            plan: round(outcomes.earned_by[plan] / due, 4) if due else None
            for plan, due in sorted(outcomes.due_by.items())
        },
        "latency_ms": {f"p{q:g}": outcomes.latency.get_value_at_percentile(q) / 1000 for q in QUANTILES},
        "longest_ms": outcomes.latency.get_max_value() / 1000,
    }


def outcome_lines(outcomes: Outcomes) -> list[str]:
    """The same for people."""
    told = outcome_map(outcomes)
    endings = ", ".join(f"{count} {name}" for name, count in told["endings"].items())
    plans = ", ".join(
        f"{plan} {share:.3f}" for plan, share in told["payoff_by_plan"].items() if share is not None
    )
    latency = ", ".join(f"{name} {value:.1f}" for name, value in told["latency_ms"].items())
    return [
        f"jobs         {told['jobs']} in {told['tries']} tries: {endings}",
        f"in time      {told['in_time']}, late {told['late']}",
        f"payoff       {told['payoff']:.3f} of what was due ({plans})",
        f"latency ms   {latency}, longest {told['longest_ms']:.1f}",
    ]


def verdict_line(verdict: AuditResult, unaccounted: int) -> str:
    """The one line that ends a day."""
    if verdict.passes() and not unaccounted:
        return f"KEPT: all seven rules held over {verdict.requests} jobs and {verdict.attempts} legs"
    broken = [str(number) for number, each in enumerate(verdict.findings, 1) if each.breaches]
    told = f"rules {', '.join(broken)}" if broken else ""
    more = f"{unaccounted} jobs without an end" if unaccounted else ""
    return f"BROKEN: {' and '.join(part for part in (told, more) if part)}"
