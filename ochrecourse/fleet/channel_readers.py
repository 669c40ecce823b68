"""Readers of the log's channels: each receives new entries in order, starting at its cursor."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from ochrecourse.fleet.channel import Delivery
from ochrecourse.fleet.log import Log

MAX_BATCH = 256  # deliveries to a reader in one call

OnEntries = Callable[[list[Delivery], str], None]


class ChannelReader:
    """A reader of a channel. `on_entries` is called with deliveries and the cursor after them."""

    def __init__(self, channel: str, cursor: str, on_entries: OnEntries) -> None:
        self.channel = channel
        self.cursor = cursor
        self.on_entries = on_entries
        self.stopped = False

    def stop(self) -> None:
        """Ends the deliveries to this reader."""
        self.stopped = True


class ChannelReaders:
    """All readers of one member's log."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.readers: list[ChannelReader] = []

    def follow(self, channel: str, cursor: str, on_entries: OnEntries) -> Callable[[], None]:
        """Adds a reader, delivers the entries after its cursor, and returns the function that stops it.

        Raises AppendRejectedError if the cursor is malformed.
        """
        self.log.read(channel, cursor, 1)
        reader = ChannelReader(channel, cursor, on_entries)
        self.readers.append(reader)
        self._deliver_to(reader)
        return reader.stop

    def deliver(self) -> None:
        """Delivers new entries to all readers, and removes stopped ones."""
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
    """A delivery as a value for JSON."""
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
