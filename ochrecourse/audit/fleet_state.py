"""Judges days of several gateways: standings, cold nodes, logs and purges, from what was seen from outside.

What crossed the sockets is in records.py. What is here was asked over control sockets: evidence of what a
gateway holds (standings, logs), never of what it did. Who could reach whom is taken from what was broken, not
from what the gateways say of it.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Sequence
from itertools import combinations
from pathlib import Path
from typing import Any

import msgspec

from ochrecourse.audit import records as r
from ochrecourse.audit import rolling_restarts
from ochrecourse.audit.judge import SECOND, Finding

AWAY = 0.95  # share of new legs that go elsewhere, from when on a lost zone counts as left
BIN = SECOND // 4  # ns in which legs are counted together
FEW = 2  # legs of a bin that are probes or chance
IDLE = 2  # legs at a node below which it could have served one more at once


class ZoneStateSample(r.Record, tag="seen"):
    """Standing and number of each zone whose standing was ever said, as a gateway holds them. `copies`:
    whether it uses copies, empty if so, else why not, None if it has no site; `wall_ms`: the wall clock of
    who asked.
    """

    gateway: str
    zones: dict[str, tuple[str, int]]
    copies: str | None = None
    wall_ms: int = 0


class AppendEnded(r.Record, tag="appended", rename={"requested_at": "asked", "outcome": "how"}):
    """An append was asked for at `asked`. `how`: kept, refused, or lost with its connection."""

    gateway: str
    channel: str
    value: str
    requested_at: int
    outcome: str


class EntriesRead(r.Record, tag="read_on"):
    """What a reader got next, from its cursor on: for each entry its value and whether it came late."""

    gateway: str
    reader: int
    channel: str
    entries: list[tuple[str, bool]]


class ChannelDump(r.Record, tag="dumped"):
    """All that a gateway holds of a channel in the end; `values` in the one order."""

    gateway: str
    channel: str
    digest: str
    values: list[str]


class PurgeSettled(r.Record, tag="settled"):
    """One settlement that a gateway's log holds: an edge fired a rule's moment, by which edition."""

    gateway: str
    edge: str
    rule: str
    date: str
    edition: str


ControlRecord = (
    ZoneStateSample | AppendEnded | EntriesRead | ChannelDump | PurgeSettled | rolling_restarts.RollingRecord
)
_decoder = msgspec.json.Decoder(ControlRecord)


def read(path: Path) -> list[Any]:
    """All that was asked over control sockets. Raises msgspec.DecodeError."""
    return [_decoder.decode(line) for line in path.read_bytes().splitlines()]


class Reachability:
    """Which pairs of gateways can talk, as far as anything was broken."""

    def __init__(self, names: Sequence[str]) -> None:
        self.out: dict[str, set[str]] = {name: set() for name in names}  # why a gateway talks to nobody
        self.apart: Counter[frozenset[str]] = Counter()
        self.since: dict[frozenset[str], int] = {}

    def take(self, record: r.Record) -> None:
        if isinstance(record, r.GatewayKilled):
            self.out[record.gateway].add("down")
        elif isinstance(record, r.GatewayStarted):
            self.out[record.gateway].discard("down")
        elif isinstance(record, r.GatewayPaused):
            (set.discard if record.resumed else set.add)(self.out[record.gateway], "still")
        elif isinstance(record, r.NetworkPartitioned):
            for pair in {frozenset((a, b)) for a in record.group for b in record.other_group if a != b}:
                self.apart[pair] += -1 if record.healed else 1
        else:
            return
        for one, other in combinations(self.out, 2):
            pair = frozenset((one, other))
            if self.out[one] or self.out[other] or self.apart[pair] > 0:
                self.since.pop(pair, None)
            else:
                self.since.setdefault(pair, record.t)


_BREAKS = (r.GatewayKilled, r.GatewayStarted, r.GatewayPaused, r.NetworkPartitioned)


def judge_equal_states(
    names: Sequence[str], records: Iterable[r.Record], seen: Iterable[ZoneStateSample], bound: int
) -> tuple[Finding, int]:
    """Gateways that can talk hold the same standing of every zone within `bound` ns of a difference. Also
    returns the longest difference, in ns.
    """
    longest = 0
    finding = Finding("one standing among those that reach each other")
    reach = Reachability(names)
    last: dict[str, ZoneStateSample] = {}
    differ: dict[frozenset[str], int] = {}
    events = sorted(
        [*(each for each in records if isinstance(each, _BREAKS)), *seen], key=lambda each: each.t
    )
    for event in events:
        if not isinstance(event, ZoneStateSample):
            reach.take(event)
            continue
        last[event.gateway] = event
        for other in names:
            pair = frozenset((event.gateway, other))
            its = last.get(other)
            if other == event.gateway or its is None or pair not in reach.since:
                differ.pop(pair, None)
                continue
            if its.zones == event.zones:
                differ.pop(pair, None)
                finding.tested += 1
                continue
            since = max(differ.setdefault(pair, event.t), reach.since[pair])
            longest = max(longest, event.t - since)
            if event.t - since > bound:
                differ[pair] = event.t  # told once each bound
                finding.breach(
                    event.t,
                    f"{event.gateway} and {other} differ for {(event.t - since) / SECOND:.1f} s: "
                    f"{event.zones} and {its.zones}",
                )
    return finding, longest


def judge_false_state(
    seen: Iterable[ZoneStateSample], zones: Sequence[str], bad: str, start: int, end: int
) -> Finding:
    """No gateway holds one of these zones as `bad` between two times."""
    finding = Finding(f"nobody holds a zone as {bad} that is well")
    for each in seen:
        if start <= each.t <= end:
            finding.tested += 1
            for zone in zones:
                if each.zones.get(zone, ("", 0))[0] == bad:
                    finding.breach(each.t, f"{each.gateway} holds zone {zone} as {bad}")
    return finding


def seconds_until_evacuated(records: Iterable[r.Record], lost: set[int], start: int, end: int) -> float:
    """Seconds from `start` until, in each later bin before `end`, so many of all legs went to nodes that are
    not lost.
    """
    there: Counter[int] = Counter()
    whole: Counter[int] = Counter()
    for each in records:
        if isinstance(each, r.AttemptReceived) and start <= each.t < end:
            whole[(each.t - start) // BIN] += 1
            there[(each.t - start) // BIN] += each.node in lost
    late = [at for at, count in there.items() if count > max(FEW, (1 - AWAY) * whole[at])]
    return (max(late, default=-1) + 1) * BIN / SECOND


class SlowStartLoad(msgspec.Struct):
    """What cold nodes got: the most units in the rule's span, and the most work against what they can do."""

    units: float = 0.0
    times: float = 0.0
    legs: int = 0


def slow_start_load(records: Iterable[r.Record], span: int) -> SlowStartLoad:
    """Over all nodes and gateways, while a node is cold."""
    sums = SlowStartLoad()
    ups: dict[int, list[r.NodeStarted]] = defaultdict(list)
    legs: dict[int, list[r.AttemptReceived]] = defaultdict(list)
    for each in records:
        if isinstance(each, r.NodeStarted) and each.cold_for:
            ups[each.node].append(each)
        elif isinstance(each, r.AttemptReceived):
            legs[each.node].append(each)
    for node, starts in ups.items():
        for up in starts:
            window: deque[r.AttemptReceived] = deque()
            for leg in sorted(legs[node], key=lambda each: each.t):
                if not up.t <= leg.t <= up.t + up.cold_for:
                    continue
                window.append(leg)
                while window[0].t <= leg.t - span:
                    window.popleft()
                warm = [
                    up.cold_from + (1 - up.cold_from) * (t - up.t) / up.cold_for
                    for t in (max(up.t, leg.t - span), leg.t)
                ]
                able = up.capacity / SECOND * (warm[0] + warm[1]) / 2 * span
                sums.legs += 1
                sums.units = max(sums.units, sum(each.units for each in window))
                sums.times = max(sums.times, sum(each.work for each in window) / able)
    return sums


def judge_slow_start_load(records: Iterable[r.Record], span: int, units: float) -> Finding:
    """No cold node got more than so many units within the span from all gateways together."""
    finding = Finding("the sum at each cold node within the limit")
    sums = slow_start_load(records, span)
    finding.tested = sums.legs
    if sums.units > units:
        finding.breach(0, f"a cold node got {sums.units:.0f} units within the span; at most {units:.0f}")
    return finding


def count_avoidable_denials(records: Iterable[r.Record], lost: set[int], start: int, end: int) -> int:
    """Jobs denied between two times though a node that holds their shard, in another zone, was idle."""
    shard_of: dict[int, int] = {}
    asked: dict[tuple[str, int, int], int] = {}
    out: dict[int, set[tuple[int, int]]] = defaultdict(set)
    count = 0
    for each in sorted(records, key=lambda each: each.t):
        if isinstance(each, r.NodeStarted):
            shard_of[each.node] = each.shard
        elif isinstance(each, r.RequestSent):
            asked[each.gateway, each.conn, each.id] = each.shard
        elif isinstance(each, r.AttemptReceived):
            out[each.node].add((each.conn, each.id))
        elif isinstance(each, r.AttemptEnded | r.AttemptCancelled):
            out[each.node].discard((each.conn, each.id))
        elif isinstance(each, r.ResponseReceived) and each.outcome == "denied" and start <= each.t <= end:
            shard = asked.get((each.gateway, each.conn, each.id), -1)
            count += any(
                len(out[node]) < IDLE
                for node, its in shard_of.items()
                if node not in lost and shard in (-1, its)
            )
    return count


# --- logs ---


def judge_equal_logs(dumps: Sequence[ChannelDump], names: Sequence[str]) -> Finding:
    """Every gateway holds each channel alike, byte for byte."""
    finding = Finding("logs equal byte for byte")
    by_channel: dict[str, dict[str, ChannelDump]] = defaultdict(dict)
    for each in dumps:
        by_channel[each.channel][each.gateway] = each
    for channel, held in by_channel.items():
        for name in names:
            finding.tested += 1
            if name not in held:
                finding.breach(0, f"{name} told nothing of channel {channel}")
        common = Counter(each.digest for each in held.values()).most_common(1)[0][0]
        for name, each in held.items():
            if each.digest != common:
                finding.breach(each.t, f"{name} holds another log of channel {channel} than the most")
    return finding


def judge_durability(appended: Sequence[AppendEnded], dumps: Sequence[ChannelDump]) -> Finding:
    """What was answered as kept is in every log, once; what was refused is in none."""
    finding = Finding("nothing answered is lost, nothing is there twice")
    for dump in dumps:
        held = Counter(dump.values)
        for each in appended:
            if each.channel != dump.channel:
                continue
            finding.tested += 1
            if each.outcome == "kept" and not held[each.value]:
                finding.breach(each.t, f"{each.value} was kept at {each.gateway}; {dump.gateway} has it not")
            if each.outcome == "refused" and held[each.value]:
                finding.breach(each.t, f"{each.value} was refused, and {dump.gateway} has it")
        for value, count in held.items():
            if count > 1:
                finding.breach(dump.t, f"{value} stands {count} times in the log of {dump.gateway}")
    return finding


def judge_read_order(reads: Sequence[EntriesRead], dumps: Sequence[ChannelDump]) -> Finding:
    """Each reader got, less what it was told came late, a prefix of one order, each entry once."""
    finding = Finding("readers' streams are prefixes of one order, late ones marked")
    got: dict[tuple[str, int, str], list[tuple[str, bool]]] = defaultdict(list)
    for each in sorted(reads, key=lambda each: each.t):
        got[each.gateway, each.reader, each.channel] += each.entries
    longest: dict[str, list[str]] = {}
    late: dict[str, set[str]] = defaultdict(set)
    for (_, _, channel), entries in got.items():
        stream = [value for value, is_late in entries if not is_late]
        late[channel] |= {value for value, is_late in entries if is_late}
        if len(stream) > len(longest.get(channel, [])):
            longest[channel] = stream
    order = {dump.channel: {value: i for i, value in enumerate(dump.values)} for dump in dumps}
    for (gateway, reader, channel), entries in got.items():
        stream = [value for value, is_late in entries if not is_late]
        name = f"reader {reader} at {gateway} of channel {channel}"
        finding.tested += 1
        if stream != longest[channel][: len(stream)]:
            at = next(i for i, value in enumerate(stream) if value != longest[channel][i])
            finding.breach(0, f"{name} got {stream[at]!r} where another got {longest[channel][at]!r}")
        if len({value for value, _ in entries}) != len(entries):
            finding.breach(0, f"{name} got an entry twice")
        places = [order[channel][value] for value in stream if value in order.get(channel, {})]
        if places != sorted(places) or (channel in order and len(places) < len(stream)):
            finding.breach(0, f"{name} got entries in another order than the log's")
        if both := late[channel] & set(stream):
            finding.breach(0, f"{name} got {sorted(both)[0]!r} in its turn; another was told it came late")
    return finding


def judge_complete_reads(
    reads: Sequence[EntriesRead], dumps: Sequence[ChannelDump], names: Sequence[str]
) -> Finding:
    """Once all can talk again, the last reader of each gateway gets all that its log holds."""
    finding = Finding("after they met readers got everything")
    got: dict[tuple[str, str], dict[int, int]] = defaultdict(dict)
    for each in reads:
        count = got[each.gateway, each.channel]
        count[each.reader] = count.get(each.reader, 0) + len(each.entries)
    for dump in dumps:
        finding.tested += 1
        readers = got.get((dump.gateway, dump.channel), {})
        last = readers[max(readers)] if readers else 0
        if last < len(dump.values):
            finding.breach(
                dump.t, f"{dump.gateway} gave {last} of {len(dump.values)} entries of {dump.channel}"
            )
    return finding
