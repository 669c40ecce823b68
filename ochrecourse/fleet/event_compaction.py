"""Compaction of channel `fleet`: a snapshot replaces events that later ones have superseded.

All gateways compact up to the same timestamps, so that their stored channels stay equal.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Collection, Sequence
from typing import Any

import msgspec

from ochrecourse.fleet.channel import ORDINARY
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.frontier import FLEET_CHANNEL, STATUS_KEY, Frontier
from ochrecourse.fleet.log import AppendRejectedError, Snapshot
from ochrecourse.fleet.exchange_context import ExchangeContext
from ochrecourse.fleet.subsystem import UNKNOWN_EVENTS, Subsystem, retained_events

COMPACTION_THRESHOLD = 0.25  # of a channel's bytes, above which channel `fleet` is compacted
COMPACTION_STEP_MS = 60_000  # up to complete minutes, which are the same timestamps for all gateways
KNOWN_EVENT_KINDS = ("admit", "close", "retire", "give up", "zone", "lend", "form")


class _EventKind(msgspec.Struct):
    """The kind of an event."""

    what: str = ""


class EventCompaction:
    """Compacts channel `fleet` of one member. `write_log` writes a line to the operator's log."""

    def __init__(self, context: ExchangeContext, frontier: Frontier, write_log: Callable[..., None]) -> None:
        self.context = context
        self.frontier = frontier
        self.write_log = write_log
        self._last_refusal = ""

    def compact_if_due(self, subsystems: Sequence[Subsystem]) -> None:
        """Compacts up to the last step, if the channel is full enough."""
        log = self.context.log
        upto = Timestamp(log.frontier().ms // COMPACTION_STEP_MS * COMPACTION_STEP_MS, 0)
        previous = log.snapshot(FLEET_CHANNEL)
        if previous is not None and previous.upto >= upto:
            return
        is_full = log.channel_bytes(FLEET_CHANNEL) >= COMPACTION_THRESHOLD * log.limits.channel_bytes
        if not is_full and not self.frontier.needs_retirement(upto):
            return
        value = self._snapshot_value(previous, upto, subsystems)
        try:
            compact(self.context, FLEET_CHANNEL, upto, value)
        except AppendRejectedError as error:
            if str(error) != self._last_refusal:
                self._last_refusal = str(error)
                self.write_log("fleet log not compacted", channel=FLEET_CHANNEL, why=str(error))
            return
        self._last_refusal = ""
        self.write_log(
            "fleet log compacted",
            channel=FLEET_CHANNEL,
            upto_ms=upto.ms,
            bytes=log.channel_bytes(FLEET_CHANNEL),
        )

    def _snapshot_value(
        self, previous: Snapshot | None, upto: Timestamp, subsystems: Sequence[Subsystem]
    ) -> dict[str, Any]:
        """The snapshot's value: the replacement of the events, by the name of the subsystem."""
        events = self._events_since(previous, upto)
        not_understood = retained_events(previous, UNKNOWN_EVENTS)
        value: dict[str, Any] = {STATUS_KEY: self.frontier.snapshot_value(upto)}
        for subsystem in subsystems:
            keeps = getattr(subsystem, "keeps", None)
            if keeps is None:
                continue
            candidates = [*retained_events(previous, subsystem.name), *not_understood, *events]
            retained = _as_json(keeps(candidates, upto))
            # Left out if empty: programs without format versions write the same value.
            if retained or subsystem is not self.context.format_versions:
                value[subsystem.name] = retained
        unknown = [
            entry for entry in (*not_understood, *events) if event_kind(entry) not in KNOWN_EVENT_KINDS
        ]
        if unknown:
            # Keeps events of newer programs, which this one does not understand.
            value[UNKNOWN_EVENTS] = _as_json(unknown)
        known_names = {STATUS_KEY, UNKNOWN_EVENTS, *(subsystem.name for subsystem in subsystems)}
        for name, section in unknown_sections(previous, known_names):
            value.setdefault(name, section)
        return value

    def _events_since(self, previous: Snapshot | None, upto: Timestamp) -> list[Entry]:
        """The events that the snapshot replaces, without those that the previous one replaced, which may be
        stored again after a restart.
        """
        log = self.context.log
        since = previous.upto if previous is not None else Timestamp(0, 0)
        return [
            entry
            for entry in log.events(FLEET_CHANNEL)
            if since < entry.at <= upto and log.classify(entry) == ORDINARY
        ]


def compact(context: ExchangeContext, channel: str, upto: Timestamp, value: object) -> None:
    """Replaces the entries of a channel up to a timestamp by a value. Raises AppendRejectedError."""
    context.log_store.compact(channel, upto, value)
    context.compaction_version += 1


def event_kind(entry: Entry) -> str:
    """The kind of an event of channel `fleet`; empty if it has none."""
    try:
        return msgspec.json.decode(entry.body, type=_EventKind).what
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return ""


def unknown_sections(snapshot: Snapshot | None, known: Collection[str]) -> list[tuple[str, Any]]:
    """Names and values in a snapshot of channel `fleet` whose names are not known."""
    if snapshot is None:
        return []
    try:
        return [(name, section) for name, section in json.loads(snapshot.value).items() if name not in known]
    except (ValueError, AttributeError, RecursionError):
        return []


def _as_json(entries: object) -> Any:
    return json.loads(msgspec.json.encode(entries))
