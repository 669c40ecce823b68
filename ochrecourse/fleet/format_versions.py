"""The format version in which the gateways of one fleet exchange and store data, and how it is raised.

A format version is a number. Each program supports a range of versions and states it in its hello and in its
heartbeat. The version in force is the greatest that an event of channel `fleet` names, so it is a function of
the stored events and never decreases. Operators raise it, which is allowed only if every active member
supports the new version. While the old version is in force, a newer program writes nothing that an older one
cannot read, and an older program can replace it. Afterwards connections from older programs are rejected, and
an older program does not open the journal, which it could read only in part.

These may change without a new version, because programs that do not know them pass them on unchanged: a
heartbeat's statuses under new names, new kinds of events in channel `fleet`, and header fields that may be
ignored. All other changes need a new version: entries, heartbeats and bodies have a fixed number of fields.
Free of I/O, clock and chance.

| version | difference |
| --- | --- |
| 1 | bodies in JSON, without checksums |
| 2 | bodies in MessagePack, each with a CRC-32 in its header; the journal's file header names version 2 |

The reasons for version 2: in version 1 a body that is corrupted in transit is merged as if its writer had
sent it; the hash chain then reports a fork, which ends a correct incarnation. And MessagePack stores bytes as
they are, while JSON needs a third more space for them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry, Heartbeat, Timestamp

FIRST_VERSION = 1  # in force until an event raises it; the oldest supported
PACKED_VERSION = 2  # the first version with MessagePack and checksums
NEWEST_VERSION = PACKED_VERSION  # that this program supports
MAX_VERSION = 1024  # events that name a greater one are ignored
FLEET_CHANNEL = "fleet"
STATUS_KEY = "forms"  # the key in Heartbeat.statuses
MAX_NAMES_LISTED = 8  # gateways named in an error message; the report lists all


class VersionRange(NamedTuple):
    """The format versions that a program supports, both ends included."""

    oldest: int
    newest: int


class RaiseFormatVersion(
    msgspec.Struct, tag="form", tag_field="what", frozen=True, rename={"format_version": "form"}
):
    """The event that raises the version in force: it takes effect as soon as it is stored."""

    format_version: int


_decode_raise = msgspec.json.Decoder(RaiseFormatVersion).decode
_decode_range = msgspec.json.Decoder(VersionRange).decode
UNSTATED_RANGE = VersionRange(FIRST_VERSION, FIRST_VERSION)  # of a program that states no versions


def raised_version(entry: Entry) -> int:
    """The version that an entry raises the fleet to; 0 if it is another event."""
    if entry.channel != FLEET_CHANNEL or b'"what":"form"' not in entry.body:
        return 0
    try:
        version = _decode_raise(entry.body).format_version
    except (msgspec.DecodeError, UnicodeError):
        return 0
    return version if FIRST_VERSION < version <= MAX_VERSION else 0


def version_range_of(heartbeat: Heartbeat) -> VersionRange:
    """The versions that a gateway states in its heartbeat. Raises ValueError if they are malformed."""
    status = heartbeat.statuses.get(STATUS_KEY)
    return UNSTATED_RANGE if status is None else checked_range(_decode_range(status))


def checked_range(versions: VersionRange) -> VersionRange:
    """The range unchanged, if it is valid. Raises ValueError."""
    if not FIRST_VERSION <= versions.oldest <= versions.newest <= MAX_VERSION:
        raise ValueError(f"speaks forms {versions.oldest} to {versions.newest}")
    return versions


class FormatVersions:
    """The format versions of one gateway, a subsystem of its fleet member.

    `newest`: the newest version to support, if lower than `NEWEST_VERSION`, for compatibility with older
    programs. `journal_version`: the version of the gateway's journal.
    """

    name = STATUS_KEY

    def __init__(self, newest: int = NEWEST_VERSION, journal_version: int = FIRST_VERSION) -> None:
        """Until an event raises it, the version in force is that of the journal."""
        self.supported = VersionRange(FIRST_VERSION, min(newest, NEWEST_VERSION))
        self.in_force = max(FIRST_VERSION, journal_version)
        self.raised_by = ""  # the writer of the event that raised it, if known

    # --- the member's calls (subsystem.Subsystem) ---

    def status(self, now: int) -> bytes | None:
        """The supported versions, for this gateway's heartbeat."""
        return msgspec.json.encode(self.supported)

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Checks the versions that a peer states. Raises ValueError."""
        checked_range(_decode_range(status))

    def entry_received(self, entry: Entry, now: int) -> None:
        """Raises the version in force if the entry says so."""
        version = raised_version(entry)
        if version > self.in_force:
            self.in_force, self.raised_by = version, entry.writer

    def next_entry(self, now: int, reachable: Mapping[str, int]) -> tuple[str, object] | None:
        """None: only operators raise the version."""
        return None

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Empty: format versions limit no node."""
        return {}

    def beat_passed(self, now: int) -> None:
        """Does nothing."""

    def keeps(self, events: Sequence[Entry], upto: Timestamp) -> list[Entry]:
        """The event that raised the version in force, which compaction retains; of equal ones the first."""
        raises = [entry for entry in events if raised_version(entry)]
        return [min(raises, key=lambda entry: (-raised_version(entry), entry.position))] if raises else []

    def report(self) -> dict[str, Any]:
        """The version in force, the supported versions and who raised the version, for status reports."""
        return {"in_force": self.in_force, "speaks": list(self.supported), "by": self.raised_by}

    # --- queries ---

    def version_for(self, peer_versions: VersionRange) -> int:
        """The version in which to send to a peer that supports `peer_versions`."""
        return min(self.in_force, peer_versions.newest, self.supported.newest)

    def mismatch(self, peer_versions: VersionRange, in_force: int = FIRST_VERSION) -> str:
        """The reason why this program cannot talk to a peer; empty if it can.

        `peer_versions`: those that the peer supports. `in_force`: the version in force, as the peer has it.
        """
        required = max(self.in_force, in_force)
        if peer_versions.newest < required:
            return (
                f"speaks forms {peer_versions.oldest} to {peer_versions.newest}, and form {required} is in "
                f"force in this fleet: a program that speaks it must be started there"
            )
        if self.supported.newest < required or peer_versions.oldest > self.supported.newest:
            return (
                f"form {max(required, peer_versions.oldest)} is in force in this fleet, and this program "
                f"speaks forms {self.supported.oldest} to {self.supported.newest}: a newer one must be "
                f"started here"
            )
        return ""

    def raise_obstacle(
        self, version: int, active: Mapping[str, int], heartbeats: Mapping[str, Heartbeat]
    ) -> str:
        """The reason why the fleet may not be raised to a version; empty if it may.

        `active`: the active incarnations by name. `heartbeats`: the gateways' newest heartbeats by name.
        """
        if version < self.in_force:
            return (
                f"form {self.in_force} is in force and only rises: journals are kept in it, and programs "
                "that speak less than it are turned away. Keep programs that speak it; to go back behind it, "
                "end all gateways, empty gateway.state of each and start the older program everywhere"
            )
        if version == self.in_force:
            return f"form {version} is in force"
        if version > self.supported.newest:
            return f"this program speaks forms {self.supported.oldest} to {self.supported.newest}"
        if not active:
            return "the fleet has not begun: nobody counts yet"
        unsupporting = list(self.unsupporting_members(version, active, heartbeats))
        if unsupporting:
            named = ", ".join(unsupporting[:MAX_NAMES_LISTED]) + (
                " and others" if len(unsupporting) > MAX_NAMES_LISTED else ""
            )
            return f"{len(unsupporting)} of {len(active)} that count do not speak form {version}: {named}"
        return ""

    def unsupporting_members(
        self, version: int, active: Mapping[str, int], heartbeats: Mapping[str, Heartbeat]
    ) -> Iterable[str]:
        """The active members that lack a version or have sent no heartbeat in their active incarnation."""
        for name, incarnation in sorted(active.items()):
            heartbeat = heartbeats.get(name)
            if heartbeat is None or heartbeat.incarnation != incarnation:
                yield name
                continue
            try:
                newest = version_range_of(heartbeat).newest
            except ValueError:
                newest = 0
            if newest < version:
                yield name
