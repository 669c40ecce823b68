"""Judges a day of rolling restarts: socket handovers, process exits and the format version in force.

The records tell what was done to a process, what became of an outside connection, or what a control socket
answered.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from ochrecourse.audit import records as r
from ochrecourse.audit.judge import SECOND, Finding


class ProcessReplaced(
    r.Record,
    tag="rolled",
    rename={"method": "how", "newest_version": "newest", "exit_code": "code", "duration": "took"},
):
    """A process was replaced by one that supports format versions up to `newest_version`.

    `method`: taken (its sockets were handed over), left (it was asked to leave, then the next one
    started), or kept (the next one was to take over and could not). `exit_code`: of the process that
    left, or that could not take over. `duration` in ns.
    """

    gateway: str
    method: str
    newest_version: int
    exit_code: int
    duration: int


class HandoverConnection(r.Record, tag="dialled", rename={"socket": "what", "accepted": "ok"}):
    """An outside client connected to a gateway's socket during a handover."""

    gateway: str
    socket: str
    accepted: bool


class VersionRaiseRequested(r.Record, tag="raise_asked", rename={"version": "form", "refusal": "why"}):
    """A raise of the format version was requested. `refusal`: why it was refused, empty if it was not."""

    gateway: str
    version: int
    refusal: str


class VersionInForce(r.Record, tag="form_held", rename={"version": "form"}):
    """The format version in force at the end, as a gateway reports it."""

    gateway: str
    version: int


RollingRecord = ProcessReplaced | HandoverConnection | VersionRaiseRequested | VersionInForce


def judge_handover_connections(control_records: Iterable[object]) -> Finding:
    """Every connection made while sockets are handed over is accepted."""
    finding = Finding("no connection refused at handed-over sockets")
    for each in control_records:
        if isinstance(each, HandoverConnection):
            finding.tested += 1
            if not each.accepted:
                finding.breach(each.t, f"{each.gateway} refused a connection at its {each.socket} socket")
    return finding


def judge_replacements(control_records: Iterable[object], expected: Sequence[tuple[str, str]]) -> Finding:
    """Replaced processes exit with 0, and one that could not take over with 2.

    `expected`: all replacements, as gateway and method, in their order.
    """
    finding = Finding("each process leaves with all answered, and one that can't take over harms nobody")
    replacements = [each for each in control_records if isinstance(each, ProcessReplaced)]
    for each in replacements:
        finding.tested += 1
        if each.exit_code != (2 if each.method == "kept" else 0):
            finding.breach(
                each.t, f"a process of {each.gateway} ({each.method}) ended with code {each.exit_code}"
            )
    done = [(each.gateway, each.method) for each in replacements]
    if done != list(expected):
        finding.breach(0, f"replaced were {done}, not {list(expected)}")
    return finding


def judge_version_raise(control_records: Sequence[object], first_versions: Mapping[str, int]) -> Finding:
    """A format version is raised only once all gateways support it, and all have it in the end.

    `first_versions`: the newest version that each gateway supported at first.
    """
    finding = Finding("the form rises once all speak it, and is one in the end")
    newest_versions, in_force = dict(first_versions), 1
    for each in control_records:
        if isinstance(each, ProcessReplaced) and each.method != "kept":
            newest_versions[each.gateway] = each.newest_version
        elif isinstance(each, VersionRaiseRequested):
            finding.tested += 1
            lacking = sorted(name for name, version in newest_versions.items() if version < each.version)
            if not each.refusal and lacking:
                finding.breach(each.t, f"form {each.version} was raised though {lacking} do not speak it")
            if not each.refusal:
                in_force = each.version
    last = {each.gateway: each.version for each in control_records if isinstance(each, VersionInForce)}
    for name in newest_versions:
        finding.tested += 1
        if last.get(name) != in_force:
            finding.breach(0, f"{name} holds form {last.get(name)} for the one in force, not {in_force}")
    if in_force != max(newest_versions.values()):
        finding.breach(
            0, f"form {in_force} is in force in the end, and all speak {max(newest_versions.values())}"
        )
    return finding


def replacement_figures(control_records: Iterable[object]) -> dict[str, float]:
    """Figures of the day, under the names that reports print. Durations in s."""
    durations: list[float] = []
    connections = refusals = 0
    for each in control_records:
        if isinstance(each, ProcessReplaced) and each.method != "kept":
            durations.append(each.duration / SECOND)
        elif isinstance(each, HandoverConnection):
            connections += 1
        elif isinstance(each, VersionRaiseRequested):
            refusals += bool(each.refusal)
    return {
        "processes replaced": len(durations),
        "s of a replacement, longest": round(max(durations, default=0.0), 2),
        "connections made while sockets changed hands": connections,
        "times that a form was not raised yet": refusals,
    }
