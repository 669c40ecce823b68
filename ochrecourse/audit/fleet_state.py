"""Judges days of several gateways: zone states, cold nodes and logs.

What crossed the connections is in records.py. The records here are answers of control sockets: they show what
a gateway holds (zone states, logs), never what it did. Which gateways can reach each other is derived from
the faults that were injected, not from what gateways report.
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

EVACUATED_SHARE = 0.95  # share of attempts to other nodes from which on a lost zone counts as evacuated
BIN_NS = SECOND // 4  # ns; attempts are counted in bins of this length
MAX_PROBES_PER_BIN = 2  # attempts in a bin that may be probes or chance
IDLE_ATTEMPTS = 2  # attempts running at a node below which it could have started one more at once


class ZoneStateSample(r.Record, tag="seen"):
    """The state and its number of each zone with a known state, as a gateway reported them.

    `copies`: empty if the gateway uses cached copies, else why not, None if it has no site; `wall_ms`:
    wall clock of the process that asked, ms.
    """

    gateway: str
    zones: dict[str, tuple[str, int]]
    copies: str | None = None
    wall_ms: int = 0


class AppendEnded(r.Record, tag="appended", rename={"requested_at": "asked", "outcome": "how"}):
    """An append, requested at `requested_at` ns, ended.

    `outcome`: kept, refused, or lost with its connection.
    """

    gateway: str
    channel: str
    value: str
    requested_at: int
    outcome: str


class EntriesRead(r.Record, tag="read_on"):
    """The next entries that a reader got from its cursor on: their values, and whether each was late."""

    gateway: str
    reader: int
    channel: str
    entries: list[tuple[str, bool]]


class ChannelDump(r.Record, tag="dumped"):
    """All entries of a channel at a gateway at the end; `values` in the log's order."""

    gateway: str
    channel: str
    digest: str
    values: list[str]


class PurgeSettled(r.Record, tag="settled"):
    """A purge that a gateway's log holds: an edge executed an occurrence of a rule, from one edition."""

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
    """The records of what control sockets answered. Raises msgspec.DecodeError."""
    return [_decoder.decode(line) for line in path.read_bytes().splitlines()]


class Reachability:
    """Which pairs of gateways can communicate, by the faults that were injected."""

    def __init__(self, names: Sequence[str]) -> None:
        # Reasons why a gateway can reach no other.
        self.unreachable_because: dict[str, set[str]] = {name: set() for name in names}
        self.partitions: Counter[frozenset[str]] = Counter()
        self.reachable_since: dict[frozenset[str], int] = {}

    def add(self, record: r.Record) -> None:
        """Takes in a record; those that are no faults are ignored."""
        if isinstance(record, r.GatewayKilled):
            self.unreachable_because[record.gateway].add("down")
        elif isinstance(record, r.GatewayStarted):
            self.unreachable_because[record.gateway].discard("down")
        elif isinstance(record, r.GatewayPaused):
            (set.discard if record.resumed else set.add)(self.unreachable_because[record.gateway], "still")
        elif isinstance(record, r.NetworkPartitioned):
            for pair in {frozenset((a, b)) for a in record.group for b in record.other_group if a != b}:
                self.partitions[pair] += -1 if record.healed else 1
        else:
            return
        for one, other in combinations(self.unreachable_because, 2):
            pair = frozenset((one, other))
            if self.unreachable_because[one] or self.unreachable_because[other] or self.partitions[pair] > 0:
                self.reachable_since.pop(pair, None)
            else:
                self.reachable_since.setdefault(pair, record.t)


_FAULTS = (r.GatewayKilled, r.GatewayStarted, r.GatewayPaused, r.NetworkPartitioned)


def judge_equal_states(
    names: Sequence[str], records: Iterable[r.Record], samples: Iterable[ZoneStateSample], bound: int
) -> tuple[Finding, int]:
    """Gateways that can communicate have the same state of every zone.

    A difference may last `bound` ns. Also returns the longest difference, in ns.
    """
    longest = 0
    finding = Finding("one standing among those that reach each other")
    reachability = Reachability(names)
    last: dict[str, ZoneStateSample] = {}
    differing_since: dict[frozenset[str], int] = {}
    events = sorted(
        [*(each for each in records if isinstance(each, _FAULTS)), *samples], key=lambda each: each.t
    )
    for event in events:
        if not isinstance(event, ZoneStateSample):
            reachability.add(event)
            continue
        last[event.gateway] = event
        for other in names:
            pair = frozenset((event.gateway, other))
            other_sample = last.get(other)
            if other == event.gateway or other_sample is None or pair not in reachability.reachable_since:
                differing_since.pop(pair, None)
                continue
            if other_sample.zones == event.zones:
                differing_since.pop(pair, None)
                finding.tested += 1
                continue
            since = max(differing_since.setdefault(pair, event.t), reachability.reachable_since[pair])
            longest = max(longest, event.t - since)
            if event.t - since > bound:
                differing_since[pair] = event.t  # so that it is reported once each bound
                finding.breach(
                    event.t,
                    f"{event.gateway} and {other} differ for {(event.t - since) / SECOND:.1f} s: "
                    f"{event.zones} and {other_sample.zones}",
                )
    return finding, longest


def judge_false_state(
    samples: Iterable[ZoneStateSample], zones: Sequence[str], bad: str, start: int, end: int
) -> Finding:
    """No gateway has one of these zones in the state `bad` between two times."""
    finding = Finding(f"nobody holds a zone as {bad} that is well")
    for each in samples:
        if start <= each.t <= end:
            finding.tested += 1
            for zone in zones:
                if each.zones.get(zone, ("", 0))[0] == bad:
                    finding.breach(each.t, f"{each.gateway} holds zone {zone} as {bad}")
    return finding


def seconds_until_evacuated(records: Iterable[r.Record], lost: set[int], start: int, end: int) -> float:
    """Seconds from `start` until the attempts have left the lost nodes.

    From then on, in each bin until `end`, the share of attempts to other nodes is at least
    EVACUATED_SHARE.
    """
    lost_attempts: Counter[int] = Counter()
    all_attempts: Counter[int] = Counter()
    for each in records:
        if isinstance(each, r.AttemptReceived) and start <= each.t < end:
            all_attempts[(each.t - start) // BIN_NS] += 1
            lost_attempts[(each.t - start) // BIN_NS] += each.node in lost
    late = [
        at
        for at, count in lost_attempts.items()
        if count > max(MAX_PROBES_PER_BIN, (1 - EVACUATED_SHARE) * all_attempts[at])
    ]
    return (max(late, default=-1) + 1) * BIN_NS / SECOND


class SlowStartLoad(msgspec.Struct):
    """The load on cold nodes.

    `units`: the most units within the span; `capacity_ratio`: the most work within it, relative to what
    the node could do; `attempts`: how many attempts cold nodes got.
    """

    units: float = 0.0
    capacity_ratio: float = 0.0
    attempts: int = 0


def slow_start_load(records: Iterable[r.Record], span: int) -> SlowStartLoad:
    """The load on all cold nodes from all gateways, in a sliding window of `span` ns."""
    sums = SlowStartLoad()
    starts_by_node: dict[int, list[r.NodeStarted]] = defaultdict(list)
    attempts: dict[int, list[r.AttemptReceived]] = defaultdict(list)
    for each in records:
        if isinstance(each, r.NodeStarted) and each.cold_for:
            starts_by_node[each.node].append(each)
        elif isinstance(each, r.AttemptReceived):
            attempts[each.node].append(each)
    for node, starts in starts_by_node.items():
        for up in starts:
            window: deque[r.AttemptReceived] = deque()
            for attempt in sorted(attempts[node], key=lambda each: each.t):
                if not up.t <= attempt.t <= up.t + up.cold_for:
                    continue
                window.append(attempt)
                while window[0].t <= attempt.t - span:
                    window.popleft()
                warm = [
                    up.cold_from + (1 - up.cold_from) * (t - up.t) / up.cold_for
                    for t in (max(up.t, attempt.t - span), attempt.t)
                ]
                capable_work = up.capacity / SECOND * (warm[0] + warm[1]) / 2 * span
                sums.attempts += 1
                sums.units = max(sums.units, sum(each.units for each in window))
                sums.capacity_ratio = max(
                    sums.capacity_ratio, sum(each.work for each in window) / capable_work
                )
    return sums


def judge_slow_start_load(records: Iterable[r.Record], span: int, units: float) -> Finding:
    """No cold node gets more than `units` within the span from all gateways together."""
    finding = Finding("the sum at each cold node within the limit")
    sums = slow_start_load(records, span)
    finding.tested = sums.attempts
    if sums.units > units:
        finding.breach(0, f"a cold node got {sums.units:.0f} units within the span; at most {units:.0f}")
    return finding


def count_avoidable_denials(records: Iterable[r.Record], lost: set[int], start: int, end: int) -> int:
    """Requests rejected between two times although a node outside `lost` could have served them.

    Such a node has the request's shard, and fewer than IDLE_ATTEMPTS attempts run at it.
    """
    shard_of: dict[int, int] = {}
    request_shards: dict[tuple[str, int, int], int] = {}
    open_attempts: dict[int, set[tuple[int, int]]] = defaultdict(set)
    count = 0
    for each in sorted(records, key=lambda each: each.t):
        if isinstance(each, r.NodeStarted):
            shard_of[each.node] = each.shard
        elif isinstance(each, r.RequestSent):
            request_shards[each.gateway, each.conn, each.id] = each.shard
        elif isinstance(each, r.AttemptReceived):
            open_attempts[each.node].add((each.conn, each.id))
        elif isinstance(each, r.AttemptEnded | r.AttemptCancelled):
            open_attempts[each.node].discard((each.conn, each.id))
        elif isinstance(each, r.ResponseReceived) and each.outcome == "denied" and start <= each.t <= end:
            shard = request_shards.get((each.gateway, each.conn, each.id), -1)
            count += any(
                len(open_attempts[node]) < IDLE_ATTEMPTS
                for node, node_shard in shard_of.items()
                if node not in lost and shard in (-1, node_shard)
            )
    return count


# --- logs ---


def judge_equal_logs(dumps: Sequence[ChannelDump], names: Sequence[str]) -> Finding:
    """All gateways have the same log of each channel, byte for byte."""
    finding = Finding("logs equal byte for byte")
    by_channel: dict[str, dict[str, ChannelDump]] = defaultdict(dict)
    for each in dumps:
        by_channel[each.channel][each.gateway] = each
    for channel, holders in by_channel.items():
        for name in names:
            finding.tested += 1
            if name not in holders:
                finding.breach(0, f"{name} told nothing of channel {channel}")
        common = Counter(each.digest for each in holders.values()).most_common(1)[0][0]
        for name, each in holders.items():
            if each.digest != common:
                finding.breach(each.t, f"{name} holds another log of channel {channel} than the most")
    return finding


def judge_durability(appended: Sequence[AppendEnded], dumps: Sequence[ChannelDump]) -> Finding:
    """An append answered as kept is in every log once; a refused one is in none."""
    finding = Finding("nothing answered is lost, nothing is there twice")
    for dump in dumps:
        counts = Counter(dump.values)
        for each in appended:
            if each.channel != dump.channel:
                continue
            finding.tested += 1
            if each.outcome == "kept" and not counts[each.value]:
                finding.breach(each.t, f"{each.value} was kept at {each.gateway}; {dump.gateway} has it not")
            if each.outcome == "refused" and counts[each.value]:
                finding.breach(each.t, f"{each.value} was refused, and {dump.gateway} has it")
        for value, count in counts.items():
            if count > 1:
                finding.breach(dump.t, f"{value} stands {count} times in the log of {dump.gateway}")
    return finding


def judge_read_order(reads: Sequence[EntriesRead], dumps: Sequence[ChannelDump]) -> Finding:
    """Each reader gets a prefix of one common order, each entry once.

    Entries marked as late are left out of that comparison.
    """
    finding = Finding("readers' streams are prefixes of one order, late ones marked")
    entries_read: dict[tuple[str, int, str], list[tuple[str, bool]]] = defaultdict(list)
    for each in sorted(reads, key=lambda each: each.t):
        entries_read[each.gateway, each.reader, each.channel] += each.entries
    longest: dict[str, list[str]] = {}
    late: dict[str, set[str]] = defaultdict(set)
    for (_, _, channel), entries in entries_read.items():
        stream = [value for value, is_late in entries if not is_late]
        late[channel] |= {value for value, is_late in entries if is_late}
        if len(stream) > len(longest.get(channel, [])):
            longest[channel] = stream
    order = {dump.channel: {value: i for i, value in enumerate(dump.values)} for dump in dumps}
    for (gateway, reader, channel), entries in entries_read.items():
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
    """Once all gateways can communicate again, each one's last reader gets all that its log has."""
    finding = Finding("after they met readers got everything")
    entries_read: dict[tuple[str, str], dict[int, int]] = defaultdict(dict)
    for each in reads:
        count = entries_read[each.gateway, each.channel]
        count[each.reader] = count.get(each.reader, 0) + len(each.entries)
    for dump in dumps:
        finding.tested += 1
        readers = entries_read.get((dump.gateway, dump.channel), {})
        last = readers[max(readers)] if readers else 0
        if last < len(dump.values):
            finding.breach(
                dump.t, f"{dump.gateway} gave {last} of {len(dump.values)} entries of {dump.channel}"
            )
    return finding
