"""Who follows channels of the log: each reader gets what is new for it, in order, from its cursor on."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ochrecourse.fleet.channel import Delivery
from ochrecourse.fleet.log import Log

MAX_BATCH = 256  # entries that a reader gets at once

OnEntries = Callable[[list[Delivery], str], None]


class ChannelReader:
    """One who follows a channel from `cursor` on. `on_entries` gets entries and the next cursor."""

    def __init__(self, channel: str, cursor: str, on_entries: OnEntries) -> None:
        self.channel = channel
        self.cursor = cursor
        self.on_entries = on_entries
        self.stopped = False

    def stop(self) -> None:
        """The reader gets nothing more."""
        self.stopped = True


class ChannelReaders:
    """All readers of one member's log."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.readers: list[ChannelReader] = []

    def follow(self, channel: str, cursor: str, on_entries: OnEntries) -> Callable[[], None]:
        """Adds a reader and delivers what is new for it; returns what stops it. Raises AppendRejectedError
        for a bad cursor.
        """
        self.log.read(channel, cursor, 1)
        reader = ChannelReader(channel, cursor, on_entries)
        self.readers.append(reader)
        self._deliver_to(reader)
        return reader.stop

    def deliver(self) -> None:
        """Delivers what is new to all readers, and forgets those that stopped."""
        self.readers = [reader for reader in self.readers if not reader.stopped]
        for reader in self.readers:
            self._deliver_to(reader)

    def _deliver_to(self, reader: ChannelReader) -> None:
        while not reader.stopped:
            entries, cursor = self.log.read(reader.channel, reader.cursor, MAX_BATCH)
            if not entries:
                return
            reader.cursor = cursor
            reader.on_entries(entries, cursor)


def delivery_as_json(delivery: Delivery) -> dict[str, Any]:
    """What a reader got, as values for JSON."""
    entry, snapshot = delivery.entry, delivery.snapshot
    if entry is not None:
        return {
            "channel": entry.channel,
            "writer": entry.writer,
            "life": entry.incarnation,
            "seq": entry.seq,
            "at": list(entry.at),
            "late": delivery.late,
            "value": json.loads(entry.body),
        }
    assert snapshot is not None
    return {
        "channel": snapshot.channel,
        "upto": list(snapshot.upto),
        "snapshot": json.loads(snapshot.value),
    }
