"""Editions of a site's calendar: which are in force, from when, and the moments that follow. Free of I/O,
clocks and time zones.

An edition carries its instants, so nobody has to know a time zone to act on it. Everything here is a function
of the set of events that are held, whatever their order of arrival, and of how far each edge's own events are
held (`promised`):

- Each edge that holds an edition says so by one event, `taken`. An edition comes into force `notice` after
  the stamp by which more than half of the site's edges had taken it. Of those in force the highest number
  holds, and of equal numbers the later one in the log's order.
- An edge that holds the events of more than half of the edges up to `notice` ago therefore knows every
  edition that is in force: any two such halves share an edge.
- An edge whose disk is new may have taken what it no longer knows. It says so (`new`), and is no voice until
  it is `whole`: enough others wrote that they `saw` it, and it took all that they had taken. What turns up
  later although it was written before that, those others take only once it has: so nothing is in force by its
  old word that it does not know again. Or more than half are new: then the site begins.
- A moment is a rule on a local date. It is due once, when the edition that stands then says so, or when an
  edition comes into force that says it was earlier. A later edition does not bring it again.
- The stamps of edges that are not heard are bounded, not known. So an edition may for a while be neither
  surely in force nor surely not; then `due` says nothing, and `drops` names the instants of both.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from ochrecourse.fleet.entries import Entry, Place, Stamp

EDITIONS = 64  # editions of a site that are kept; older ones that no longer matter go
INSTANTS = 20_000  # of one edition; what a body of 1 MiB would hold
RULES = 64  # of one edition
NAME = 64  # characters of a rule's, a site's or an edge's name
FAR = 1 << 62  # ms; later than any stamp
LONG_AGO = -1  # ms; before any stamp
NEVER = Stamp(FAR, 0)

EditionId = tuple[str, int, int]  # writer, its life, sequence: the entry that brought it
LifeId = tuple[str, int]  # an edge, and the life that began with a new disk


class Scope(NamedTuple):
    """What a rule drops. `kind`: all, plan or volume; `of`: the plan's name, the volume's number as text."""

    kind: str
    of: str

    def holds(self, volume: int, plan: str) -> bool:
        return self.kind == "all" or self.of == (plan if self.kind == "plan" else str(volume))


class Moment(NamedTuple):
    """A rule on a local date."""

    rule: str
    date: str  # YYYY-MM-DD


class Instant(NamedTuple):
    """When an edition has a moment come, in ms since 1970."""

    at: int
    rule: str
    date: str

    @property
    def moment(self) -> Moment:
        return Moment(self.rule, self.date)


class BadEdition(Exception):
    """An event of a calendar that can't be read; the text says why."""


class Edition:
    """One edition. `until`: ms up to which it knows all instants; `wording`: the settings' own count."""

    def __init__(self, body: Mapping[str, Any], place: Place) -> None:
        """Raises BadEdition."""
        self.id: EditionId = (place.writer, place.life, place.seq)
        self.place = place
        self.site = _text(body, "site")
        self.number = _whole(body.get("number"), "number")
        self.wording = _whole(body.get("wording", self.number), "wording")
        self.zone = _text(body, "zone")
        self.tzdata = _text(body, "tzdata")
        self.since, self.through = _date(body.get("from")), _date(body.get("through"))
        self.scopes = _scopes(body.get("rules"))
        told = body.get("instants")
        if not isinstance(told, list) or len(told) > INSTANTS:
            raise BadEdition(f"instants are a list of at most {INSTANTS}")
        self.by_moment: dict[Moment, int] = {}
        for each in told:
            if not isinstance(each, list) or len(each) != 3 or each[0] not in self.scopes:
                raise BadEdition("an instant is [a rule of the edition, local date, ms since 1970]")
            moment = Moment(each[0], _date(each[1]))
            if moment in self.by_moment:
                raise BadEdition(f"{moment.rule} on {moment.date} has two instants")
            self.by_moment[moment] = _whole(each[2], "an instant")
        self.instants = sorted(Instant(at, *moment) for moment, at in self.by_moment.items())
        latest = self.instants[-1].at if self.instants else 0
        self.until = _whole(body.get("until", latest), "until")

    @property
    def rank(self) -> tuple[int, Place]:
        return (self.number, self.place)

    def between(self, after: int, upto: int) -> list[Instant]:
        """The instants later than `after` and not later than `upto`."""
        first = bisect.bisect_right(self.instants, after, key=lambda each: each.at)
        last = bisect.bisect_right(self.instants, upto, key=lambda each: each.at)
        return self.instants[first:last]


def _text(body: Mapping[str, Any], name: str) -> str:
    value = body.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= NAME:
        raise BadEdition(f"{name} is a text of 1 to {NAME} characters")
    return value


def _whole(value: object, what: str) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < FAR:
        raise BadEdition(f"{what} is a whole number, 0 or above")
    return value


def _life_of(value: object) -> LifeId:
    if not isinstance(value, list) or len(value) != 2 or not isinstance(value[0], str):
        raise BadEdition("an edge's life is [its name, the life]")
    return value[0], _whole(value[1], "a life")


def _date(value: object) -> str:
    parts = value.split("-") if isinstance(value, str) else []
    digits = all(each.isascii() and each.isdigit() for each in parts)
    if [len(each) for each in parts] != [4, 2, 2] or not digits:
        raise BadEdition("a date is YYYY-MM-DD")
    if not 1 <= int(parts[1]) <= 12 or not 1 <= int(parts[2]) <= 31:
        raise BadEdition("a date is YYYY-MM-DD")
    return "-".join(parts)


def _scopes(rules: object) -> dict[str, Scope]:
    if not isinstance(rules, list) or not 0 < len(rules) <= RULES:
        raise BadEdition(f"rules are a list of 1 to {RULES}")
    scopes: dict[str, Scope] = {}
    for each in rules:
        if not isinstance(each, dict):
            raise BadEdition("a rule is an object with name and scope")
        name, scope = _text(each, "name"), each.get("scope")
        if not isinstance(scope, list) or len(scope) != 2 or scope[0] not in ("all", "plan", "volume"):
            raise BadEdition(f"the scope of {name!r} is [all, plan or volume, of which]")
        if not isinstance(scope[1], str) or len(scope[1]) > NAME or name in scopes:
            raise BadEdition(f"the scope of {name!r} is no text, or the name is there twice")
        scopes[name] = Scope(scope[0], scope[1])
    return scopes


@dataclass(slots=True)
class _Held:
    """An edition with what is known of who took it; `low` to `high`: when it comes into force, in ms."""

    edition: Edition
    taken: dict[str, int] = field(default_factory=dict)
    lives: dict[str, tuple[int, int]] = field(default_factory=dict)  # by edge: first and last that took it
    low: int = FAR
    high: int = FAR


class Due(NamedTuple):
    """A moment that came: by which edition, at which of its instants, and from when that held."""

    moment: Moment
    number: int
    edition: EditionId
    instant: int
    at: int  # ms, the instant, or when its edition came into force if that was later


class SiteCalendar:
    """The calendar of one site. `edges`: names of the site's gateways; `notice` in ms."""

    def __init__(self, site: str, edges: Sequence[str], notice: int) -> None:
        self.site = site
        self.edges = tuple(sorted(set(edges)))
        self.most = len(self.edges) // 2 + 1  # more than half
        self.notice = notice
        self.held: dict[EditionId, _Held] = {}
        # Taken by an edge (its name, life and stamp in ms), and not held here yet.
        self.missing: dict[EditionId, list[tuple[str, int, int]]] = {}
        self.new: dict[str, tuple[int, int]] = {}  # by edge: its last life with a new disk, stamp in ms
        self.whole: dict[str, tuple[int, bool]] = {}  # the last of those that is whole; as the site began
        self.whole_at: dict[LifeId, Stamp] = {}  # of each life that is whole, when it first said so
        self.saw: dict[tuple[str, str], tuple[int, Stamp]] = {}  # by who and whom: the life seen, and when
        self.began: dict[LifeId, list[LifeId]] = {}  # by each that was new as the site began: all of them
        self.gone: dict[EditionId, None] = {}  # forgotten, the oldest first
        self.first: dict[str, int] = {}  # by edge, the first stamp at which it took any edition, in ms
        self.promises: dict[str, int] = {}
        self.bad: dict[str, int] = {}  # events that could not be read, by reason
        self.changes = 0  # counts up with everything that may change `due` or `drops`

    def event(self, entry: Entry) -> None:
        """An event of channel `calendar/SITE`, in any order; one that can't be read is counted by reason."""
        try:
            body = msgspec.json.decode(entry.body)
            if not isinstance(body, dict):
                raise BadEdition("an event is an object")
            if body.get("what") == "edition":
                self._edition(Edition(body, entry.place))
            elif body.get("what") == "taken":
                self._taken(body, entry)
            elif body.get("what") in ("new", "saw", "whole"):
                self._disk(body, entry)
            else:
                raise BadEdition("what is edition, taken, new, saw or whole")
        except (BadEdition, msgspec.DecodeError) as trouble:
            self.bad[str(trouble)] = self.bad.get(str(trouble), 0) + 1

    def _edition(self, edition: Edition) -> None:
        if edition.site != self.site:
            raise BadEdition("the edition is another site's")
        if edition.id not in self.held and edition.id not in self.gone:
            self.held[edition.id] = held = _Held(edition)
            for taken in self.missing.pop(edition.id, []):
                self._note(held, *taken)
            self._weigh(held)
            self._tidy()
            self.changes += 1

    def _taken(self, body: Mapping[str, Any], entry: Entry) -> None:
        of = body.get("of")
        if not isinstance(of, list) or len(of) != 3 or not isinstance(of[0], str):
            raise BadEdition("`taken` names an edition's entry")
        if entry.writer not in self.edges:
            return  # it is none of the site's business who else has seen it
        key: EditionId = (of[0], _whole(of[1], "a life"), _whole(of[2], "a sequence"))
        self.first[entry.writer] = min(entry.at.ms, self.first.get(entry.writer, FAR))
        if key in self.gone:
            return
        held = self.held.get(key)
        if held is None:
            self.missing.setdefault(key, []).append((entry.writer, entry.life, entry.at.ms))
            return
        self._note(held, entry.writer, entry.life, entry.at.ms)
        self._weigh(held)
        self.changes += 1

    def _note(self, held: _Held, edge: str, life: int, ms: int) -> None:
        held.taken[edge] = min(ms, held.taken.get(edge, FAR))
        first, last = held.lives.get(edge, (life, life))
        held.lives[edge] = (min(first, life), max(last, life))

    def _disk(self, body: Mapping[str, Any], entry: Entry) -> None:
        if entry.writer not in self.edges:
            return
        if body["what"] == "new":
            self.new[entry.writer] = max((entry.life, entry.at.ms), self.new.get(entry.writer, (0, 0)))
        elif body["what"] == "saw":
            edge, life = _life_of(body.get("of"))
            seen = self.saw.get((entry.writer, edge), (LONG_AGO, entry.at))
            self.saw[entry.writer, edge] = max(seen, (life, entry.at))
        else:
            with_ = body.get("with")
            if not isinstance(with_, list) or len(with_) > len(self.edges):
                raise BadEdition("`whole` names the lives that began with it")
            began = [_life_of(each) for each in with_]
            life = _whole(body.get("life"), "a life")
            known = self.whole.get(entry.writer, (LONG_AGO, False))
            self.whole[entry.writer] = max(known, (life, bool(began)))
            said = self.whole_at.get((entry.writer, life), NEVER)
            self.whole_at[entry.writer, life] = min(said, entry.at)
            for each in began:
                self.began.setdefault(each, began)
        for held in self.held.values():
            self._weigh(held)
        self.changes += 1

    def is_whole(self, edge: str) -> bool:
        """Whether an edge knows what it once took, by what is held here of it."""
        return self.whole.get(edge, (LONG_AGO, False))[0] >= self.new.get(edge, (LONG_AGO, 0))[0]

    def _lost(self, edge: str) -> tuple[int, int] | None:
        """The edge's life that began with a new disk, where there may have been one before; its stamp, ms."""
        new = self.new.get(edge)
        return None if new is None or self.whole.get(edge, (LONG_AGO, False)) >= (new[0], True) else new

    def promised(self, edge: str, ms: int) -> None:
        """All that this edge appends with a stamp at or before `ms` is held here."""
        if edge in self.edges and ms > self.promises.get(edge, LONG_AGO):
            self.promises[edge] = ms
            for held in self.held.values():
                if held.low != held.high:
                    self._weigh(held)

    def _weigh(self, held: _Held) -> None:
        """When the edition comes into force, at the least and at the most."""
        known = sorted(held.taken.values())
        # An edge that did not say so may have, after all of it that is known here and after the edition.
        earliest = held.edition.place.at.ms
        least = dict(held.taken)
        for edge in self.edges:
            lost = self._lost(edge)
            before = lost is not None and earliest <= lost[1] + self.notice
            if lost is not None and before and held.lives.get(edge, (FAR, 0))[0] >= lost[0]:
                least[edge] = earliest  # with the disk that is gone it may have taken it at any time
            elif edge not in least:
                least[edge] = max(self.promises.get(edge, LONG_AGO) + 1, earliest)
        low = sorted(least.values())[self.most - 1]
        high = known[self.most - 1] if len(known) >= self.most else FAR
        was = (held.low, held.high)
        held.low = min(low, high) + self.notice
        held.high = high + self.notice if high < FAR else FAR
        if (held.low, held.high) != was:
            self.changes += 1

    def _tidy(self) -> None:
        """Forgets the oldest editions beyond the bound, of those that a higher one in force replaced."""
        while len(self.held) > EDITIONS:
            standing = max((h.edition.rank for h in self.held.values() if h.high < FAR), default=None)
            if standing is None:
                return
            oldest = min(self.held.values(), key=lambda each: each.edition.rank)
            if oldest.edition.rank >= standing:
                return
            del self.held[oldest.edition.id]
            self.gone[oldest.edition.id] = None
            while len(self.gone) > 16 * EDITIONS:
                del self.gone[next(iter(self.gone))]

    # --- what follows from it ---

    def reached(self, ms: int, own: str, fresh: Sequence[str]) -> bool:
        """Whether this edge (`own`) knows all that is in force at `ms`, by the edges it heard lately."""
        least = ms - self.notice
        heard = [edge for edge in fresh if edge != own and self.promises.get(edge, LONG_AGO) >= least]
        return len(heard) + 1 >= self.most and not self.missing

    def standing(self, ms: int) -> Edition | None:
        """The edition that is surely in force at `ms`, of those the one that holds."""
        sure = [held.edition for held in self.held.values() if held.high <= ms]
        return max(sure, key=lambda each: each.rank, default=None)

    def highest(self) -> Edition | None:
        """The edition of the highest rank, in force or not."""
        return max((held.edition for held in self.held.values()), key=lambda each: each.rank, default=None)

    def to_take(self, edge: str) -> Edition | None:
        """An edition that is held here and that this edge has not said to have taken, with the disk that it
        has now; the least first.
        """
        since = self.new.get(edge, (LONG_AGO, 0))[0]
        left = [
            held.edition
            for held in self.held.values()
            if held.lives.get(edge, (0, LONG_AGO - 1))[1] < since and not self._waits(edge, held)
        ]
        return min(left, key=lambda each: each.place, default=None)

    def _waits(self, edge: str, held: _Held) -> bool:
        """Whether an edge may not take an edition yet: one that it has seen with a new disk may have taken
        it before, and must know it again first. It counted on nobody who saw it after it was whole: then
        nobody waits, so two edges that saw each other with new disks at once do not wait for each other.
        """
        for (who, other), (life, at) in self.saw.items():
            lost = self._lost(other) if who == edge else None
            if lost is None or lost[0] != life or self.whole_at.get((other, life), NEVER) < at:
                continue
            old = held.edition.place.at.ms <= at.ms + self.notice
            if old and held.lives.get(other, (0, LONG_AGO))[1] < life:
                return True
        return False

    def to_see(self, edge: str) -> LifeId | None:
        """An edge with a new disk that is not whole yet, and that this edge has not said to have seen."""
        for other, (life, _) in sorted(self.new.items()):
            seen = self.saw.get((edge, other), (LONG_AGO, NEVER))[0]
            if other != edge and not self.is_whole(other) and seen < life:
                return other, life
        return None

    def begins(self, own: str, fresh: Sequence[str], new: Sequence[str], ms: int) -> list[LifeId] | None:
        """Whether an edge with a new disk is whole at `ms`, by the edges that it heard lately: those that are
        whole, and those that are new too. Empty if it knows again what it took; all lives that are new if
        the site begins; else None.
        """
        life = self.new[own][0]
        if (own, life) in self.began:
            return self.began[own, life]
        least = ms - self.notice
        also = [
            edge
            for edge in new
            if edge in self.new and not self.is_whole(edge) and self.promises.get(edge, LONG_AGO) >= least
        ]
        lives = sorted((edge, self.new[edge][0]) for edge in {own, *also})
        if len(lives) >= self.most:
            return lives
        told = 0
        for edge in fresh:
            seen, at = self.saw.get((edge, own), (LONG_AGO, NEVER))
            told += edge != own and seen == life and self.promises.get(edge, LONG_AGO) >= at.ms
        # With any more than half less itself so many others have one in common.
        enough = told > len(self.edges) - self.most
        return [] if enough and not self.missing and self.to_take(own) is None else None

    def _spans(self, upto: int) -> list[tuple[int, int, list[Edition], bool]]:
        """Spans of time up to `upto`: from, to, the editions that may stand then, and whether it is one of
        them for sure, in order of rank with the highest first.
        """
        ranked = sorted(self.held.values(), key=lambda each: each.edition.rank, reverse=True)
        edges = sorted({edge for held in ranked for edge in (held.low, held.high) if edge <= upto})
        spans = []
        for number, start in enumerate(edges):
            end = edges[number + 1] if number + 1 < len(edges) else upto + 1
            may: list[Edition] = []
            sure = False
            for held in ranked:
                if held.high <= start:
                    may.append(held.edition)
                    sure = True
                    break
                if held.low <= start:
                    may.append(held.edition)
            spans.append((start, end, may, sure and len(may) == 1))
        return spans

    def due(self, after: int, upto: int) -> list[Due]:
        """The moments whose time is known, due later than `after` and not later than `upto`, in order.

        What an edge that is not heard may change is left out until it is known.
        """
        spans = self._spans(upto)
        moments: dict[Moment, None] = {}
        for held in self.held.values():
            # An edition that comes into force in the span may bring any moment of its past.
            first = LONG_AGO if after < held.high and held.low <= upto else after
            moments.update((each.moment, None) for each in held.edition.between(first, upto))
        told = [
            due for moment in moments if (due := self._when(moment, spans)) is not None and after < due.at
        ]
        return sorted(told, key=lambda each: (each.at, each.moment))

    def _when(self, moment: Moment, spans: Sequence[tuple[int, int, list[Edition], bool]]) -> Due | None:
        """When a moment came within these spans; None if it did not, or that is not known."""
        for start, end, may, sure in spans:
            for edition in may:
                instant = edition.by_moment.get(moment)
                if instant is not None and instant < end:
                    at = max(start, instant)
                    return Due(moment, edition.number, edition.id, instant, at) if sure else None
        return None

    def drops(self, after: int, upto: int) -> list[tuple[Instant, Scope]]:
        """The instants in a span that may be moments by any edition that may stand, with what they drop."""
        told: dict[tuple[Instant, Scope], None] = {}
        spans = self._spans(upto)
        for held in self.held.values():
            edition = held.edition
            for instant in edition.between(after, upto):
                said = self._when(instant.moment, spans)
                if said is not None and said.edition != edition.id:
                    continue  # it came, by another edition
                if said is None and self._replaced(edition, instant.at):
                    continue
                told[instant, edition.scopes[instant.rule]] = None
        return sorted(told)

    def next_look(self, after: int) -> int:
        """When `drops` or `due` may next say more, later than `after`; FAR if not by itself."""
        first = FAR
        for held in self.held.values():
            at = bisect.bisect_right(held.edition.instants, after, key=lambda each: each.at)
            if at < len(held.edition.instants):
                first = min(first, held.edition.instants[at].at)
            first = min([first, *(force for force in (held.low, held.high) if force > after)])
        return first

    def _replaced(self, edition: Edition, ms: int) -> bool:
        return any(held.high <= ms and held.edition.rank > edition.rank for held in self.held.values())
