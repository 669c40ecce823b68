"""In which form the gateways of one fleet speak and keep, and when a newer form comes into force.

A form is a number. Each program speaks a span of forms and says so in hello and in its row; the form in force
is the greatest that an event of channel `fleet` raised, so it is a function of the events that are held and
only rises. A form is raised by whoever runs the fleet, and only where every member that counts speaks it. As
long as the old one is in force, a newer program writes nothing that an older one can't read, and can be
replaced by it. Afterwards an older program is turned away, and so is a journal that it would half read.

What may change without a new form, because a program that knows nothing of it passes it on as it is: parts of
a row by a new name in `told`, events of a new kind in channel `fleet`, fields of a header that may be left
unread. All else needs one: entries, rows and bodies have a fixed number of places. Free of I/O, clock and
chance.

| form | differs |
| --- | --- |
| 1 | bodies in JSON, none has a checksum |
| 2 | bodies in MessagePack; each has a CRC-32 in its header; a journal's head says 2 |

The reason for 2: a body that was changed on the way is merged in form 1 as the writer's own word, found by
the chain of hashes as a second history, and ends a life that did nothing wrong. And MessagePack has bytes as
they are, which JSON writes a third longer.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry, Heartbeat, Timestamp

FIRST_VERSION = 1  # in force where nothing was said; the oldest that is spoken
PACKED_VERSION = 2  # from this form on: MessagePack and checksums
NEWEST_VERSION = PACKED_VERSION  # that this program speaks
MAX_VERSION = 1024  # an event that names a greater one is no order of ours
FLEET_CHANNEL = "fleet"
STATUS_KEY = "forms"  # the key in Heartbeat.statuses
NAMED = 8  # gateways that a refusal names; the report has them all


class VersionRange(NamedTuple):
    """Forms that a program speaks, both ends included."""

    oldest: int
    newest: int


class RaiseFormatVersion(
    msgspec.Struct, tag="form", tag_field="what", frozen=True, rename={"format_version": "form"}
):
    """The event: from where it is held on, this form is in force."""

    format_version: int


_raise = msgspec.json.Decoder(RaiseFormatVersion).decode
_span = msgspec.json.Decoder(VersionRange).decode
UNSTATED_RANGE = VersionRange(FIRST_VERSION, FIRST_VERSION)  # of a program that says nothing of forms


def raised_version(entry: Entry) -> int:
    """The form that an entry raises to, 0 if it is another's event."""
    if entry.channel != FLEET_CHANNEL or b'"what":"form"' not in entry.body:
        return 0
    try:
        form = _raise(entry.body).format_version
    except (msgspec.DecodeError, UnicodeError):
        return 0
    return form if FIRST_VERSION < form <= MAX_VERSION else 0


def version_range_of(row: Heartbeat) -> VersionRange:
    """What a gateway says of itself in its row. Raises ValueError (msgspec.DecodeError) where it is none."""
    told = row.statuses.get(STATUS_KEY)
    return UNSTATED_RANGE if told is None else checked_range(_span(told))


def checked_range(span: VersionRange) -> VersionRange:
    """The span, if it is one. Raises ValueError."""
    if not FIRST_VERSION <= span.oldest <= span.newest <= MAX_VERSION:
        raise ValueError(f"speaks forms {span.oldest} to {span.newest}")
    return span


class FormatVersions:
    """One gateway's forms, a subsystem of the member. `newest`: that this program speaks, less than
    `NEWEST` where it is held to what older ones speak; `kept`: the form in which its journal stood."""

    name = STATUS_KEY

    def __init__(self, newest: int = NEWEST_VERSION, kept: int = FIRST_VERSION) -> None:
        self.supported = VersionRange(FIRST_VERSION, min(newest, NEWEST_VERSION))
        self.in_force = max(FIRST_VERSION, kept)
        self.raised_by = ""  # who raised it, as far as that is known

    # --- the member's calls (subsystem.Subsystem) ---

    def status(self, now: int) -> bytes | None:
        return msgspec.json.encode(self.supported)

    def status_received(self, name: str, zone: int, told: bytes, now: int) -> None:
        """Raises ValueError."""
        checked_range(_span(told))

    def entry_received(self, entry: Entry, now: int) -> None:
        form = raised_version(entry)
        if form > self.in_force:
            self.in_force, self.raised_by = form, entry.writer

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        return None

    def node_rates(self, now: int) -> Mapping[int, float]:
        return {}

    def beat_passed(self, now: int) -> None:
        pass

    def keeps(self, events: Sequence[Entry], upto: Timestamp) -> list[Entry]:
        """The event by which the form in force stands; of equal ones the first."""
        raised = [entry for entry in events if raised_version(entry)]
        return [min(raised, key=lambda entry: (-raised_version(entry), entry.position))] if raised else []

    def report(self) -> dict[str, Any]:
        return {"in_force": self.in_force, "speaks": list(self.supported), "by": self.raised_by}

    # --- what is asked ---

    def version_for(self, theirs: VersionRange) -> int:
        """The form in which a peer that speaks `theirs` is told things."""
        return min(self.in_force, theirs.newest, self.supported.newest)

    def mismatch(self, theirs: VersionRange, in_force: int = FIRST_VERSION) -> str:
        """Why there is no speaking with a peer that speaks `theirs` and holds `in_force` for the form in
        force; empty if there is."""
        least = max(self.in_force, in_force)
        if theirs.newest < least:
            return (
                f"speaks forms {theirs.oldest} to {theirs.newest}, and form {least} is in force in this "
                f"fleet: a program that speaks it must be started there"
            )
        if self.supported.newest < least or theirs.oldest > self.supported.newest:
            return (
                f"form {max(least, theirs.oldest)} is in force in this fleet, and this program speaks forms "
                f"{self.supported.oldest} to {self.supported.newest}: a newer one must be started here"
            )
        return ""

    def raise_obstacle(self, form: int, counting: Mapping[str, int], rows: Mapping[str, Heartbeat]) -> str:
        """Why a form may not be raised to; empty if it may. `counting`: lives that count, by name; `rows`:
        what gateways say of themselves now."""
        if form < self.in_force:
            return (
                f"form {self.in_force} is in force and only rises: journals are kept in it, and programs "
                "that speak less than it are turned away. Keep programs that speak it; to go back behind it, "
                "end all gateways, empty gateway.state of each and start the older program everywhere"
            )
        if form == self.in_force:
            return f"form {form} is in force"
        if form > self.supported.newest:
            return f"this program speaks forms {self.supported.oldest} to {self.supported.newest}"
        if not counting:
            return "the fleet has not begun: nobody counts yet"
        lacking = list(self.unsupporting_members(form, counting, rows))
        if lacking:
            named = ", ".join(lacking[:NAMED]) + (" and others" if len(lacking) > NAMED else "")
            return f"{len(lacking)} of {len(counting)} that count do not speak form {form}: {named}"
        return ""

    def unsupporting_members(
        self, form: int, counting: Mapping[str, int], rows: Mapping[str, Heartbeat]
    ) -> Iterable[str]:
        """Who counts and does not speak a form, or was not heard in the life that counts."""
        for name, life in sorted(counting.items()):
            row = rows.get(name)
            if row is None or row.incarnation != life:
                yield name
                continue
            try:
                newest = version_range_of(row).newest
            except ValueError:
                newest = 0
            if newest < form:
                yield name
