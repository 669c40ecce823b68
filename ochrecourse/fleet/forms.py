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

FIRST = 1  # in force where nothing was said; the oldest that is spoken
PACKED = 2  # from this form on: MessagePack and checksums
NEWEST = PACKED  # that this program speaks
MOST = 1024  # an event that names a greater one is no order of ours
CHANNEL = "fleet"
PART = "forms"  # the key in Heartbeat.statuses
NAMED = 8  # gateways that a refusal names; the report has them all


class Span(NamedTuple):
    """Forms that a program speaks, both ends included."""

    oldest: int
    newest: int


class Raise(msgspec.Struct, tag="form", tag_field="what", frozen=True):
    """The event: from where it is held on, this form is in force."""

    form: int


_raise = msgspec.json.Decoder(Raise).decode
_span = msgspec.json.Decoder(Span).decode
OLD = Span(FIRST, FIRST)  # of a program that says nothing of forms


def form_of(entry: Entry) -> int:
    """The form that an entry raises to, 0 if it is another's event."""
    if entry.channel != CHANNEL or b'"what":"form"' not in entry.body:
        return 0
    try:
        form = _raise(entry.body).form
    except (msgspec.DecodeError, UnicodeError):
        return 0
    return form if FIRST < form <= MOST else 0


def spoken(row: Heartbeat) -> Span:
    """What a gateway says of itself in its row. Raises ValueError (msgspec.DecodeError) where it is none."""
    told = row.statuses.get(PART)
    return OLD if told is None else whole(_span(told))


def whole(span: Span) -> Span:
    """The span, if it is one. Raises ValueError."""
    if not FIRST <= span.oldest <= span.newest <= MOST:
        raise ValueError(f"speaks forms {span.oldest} to {span.newest}")
    return span


class Forms:
    """One gateway's forms, a subsystem of the member. `newest`: that this program speaks, less than
    `NEWEST` where it is held to what older ones speak; `kept`: the form in which its journal stood."""

    name = PART

    def __init__(self, newest: int = NEWEST, kept: int = FIRST) -> None:
        self.speaks = Span(FIRST, min(newest, NEWEST))
        self.in_force = max(FIRST, kept)
        self.by = ""  # who raised it, as far as that is known

    # --- the member's calls (subsystem.Subsystem) ---

    def status(self, now: int) -> bytes | None:
        return msgspec.json.encode(self.speaks)

    def status_received(self, name: str, zone: int, told: bytes, now: int) -> None:
        """Raises ValueError."""
        whole(_span(told))

    def entry_received(self, entry: Entry, now: int) -> None:
        form = form_of(entry)
        if form > self.in_force:
            self.in_force, self.by = form, entry.writer

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        return None

    def node_rates(self, now: int) -> Mapping[int, float]:
        return {}

    def beat_passed(self, now: int) -> None:
        pass

    def keeps(self, events: Sequence[Entry], upto: Timestamp) -> list[Entry]:
        """The event by which the form in force stands; of equal ones the first."""
        raised = [entry for entry in events if form_of(entry)]
        return [min(raised, key=lambda entry: (-form_of(entry), entry.position))] if raised else []

    def report(self) -> dict[str, Any]:
        return {"in_force": self.in_force, "speaks": list(self.speaks), "by": self.by}

    # --- what is asked ---

    def sends(self, theirs: Span) -> int:
        """The form in which a peer that speaks `theirs` is told things."""
        return min(self.in_force, theirs.newest, self.speaks.newest)

    def apart(self, theirs: Span, in_force: int = FIRST) -> str:
        """Why there is no speaking with a peer that speaks `theirs` and holds `in_force` for the form in
        force; empty if there is."""
        least = max(self.in_force, in_force)
        if theirs.newest < least:
            return (
                f"speaks forms {theirs.oldest} to {theirs.newest}, and form {least} is in force in this "
                f"fleet: a program that speaks it must be started there"
            )
        if self.speaks.newest < least or theirs.oldest > self.speaks.newest:
            return (
                f"form {max(least, theirs.oldest)} is in force in this fleet, and this program speaks forms "
                f"{self.speaks.oldest} to {self.speaks.newest}: a newer one must be started here"
            )
        return ""

    def why_not(self, form: int, counting: Mapping[str, int], rows: Mapping[str, Heartbeat]) -> str:
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
        if form > self.speaks.newest:
            return f"this program speaks forms {self.speaks.oldest} to {self.speaks.newest}"
        if not counting:
            return "the fleet has not begun: nobody counts yet"
        lacking = list(self.lacking(form, counting, rows))
        if lacking:
            named = ", ".join(lacking[:NAMED]) + (" and others" if len(lacking) > NAMED else "")
            return f"{len(lacking)} of {len(counting)} that count do not speak form {form}: {named}"
        return ""

    def lacking(self, form: int, counting: Mapping[str, int], rows: Mapping[str, Heartbeat]) -> Iterable[str]:
        """Who counts and does not speak a form, or was not heard in the life that counts."""
        for name, life in sorted(counting.items()):
            row = rows.get(name)
            if row is None or row.incarnation != life:
                yield name
                continue
            try:
                newest = spoken(row).newest
            except ValueError:
                newest = 0
            if newest < form:
                yield name
