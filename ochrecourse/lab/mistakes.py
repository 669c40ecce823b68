"""Mistakes that are made on purpose, to see that worlds show them: each is patched into the shipped code
while a world is played, and named by what it makes of a promise of the fleet.
"""

from __future__ import annotations

import datetime as dt
import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import msgspec

from ochrecourse.fleet.zone_policy import ZonePolicy
from ochrecourse.fleet.zone_rates import NodeRates
from ochrecourse.settings import site_calendars
from ochrecourse.fleet import log_store as log_store_module
from ochrecourse.fleet.quota import ALL_NODES, GatewayQuota, LoanScope
from ochrecourse.fleet import purge_subsystem
from ochrecourse.fleet.site_calendar import SiteCalendar
from ochrecourse.fleet.channel import Channel, Snapshot
from ochrecourse.fleet.frontier import Frontier
from ochrecourse.fleet.object_cache import PurgeableObjectCache
from ochrecourse.fleet.journal_writer import JournalWriter, Renewal
from ochrecourse.fleet.log import Log
from ochrecourse.fleet.zone_state import ZoneDecisions
from ochrecourse.fleet.zone_controller import ZoneController
from ochrecourse.fleet.purge_schedule import PurgeSchedule

Patch = Callable[[Any, str, Any], None]


class Mistake(NamedTuple):
    """`shown`: kinds of breach that are this mistake's and no accident's; `slow_disks`: it needs such."""

    make: Callable[[Patch], None]
    shown: tuple[str, ...]
    slow_disks: bool = False


# --- standings and zones ---


def goes_back(patch: Patch) -> None:
    """The decision heard last stands, whatever its number."""
    patch(ZoneDecisions, "supersedes", lambda self, said, held: True)


def few_speak(patch: Patch) -> None:
    """A side that is too small to speak for the fleet decides all the same."""
    next_entry = ZoneController.next_entry

    def speaks(self: ZoneController, now: int, reached: Any) -> Any:
        size, self.context.gateway_count = self.context.gateway_count, 1
        try:
            return next_entry(self, now, reached)
        finally:
            self.context.gateway_count = size

    patch(ZoneController, "next_entry", speaks)


def believes_itself(patch: Patch) -> None:
    """A side that was cut off holds against the others' zone what it failed at alone."""
    evaluate = ZoneController.evaluate

    def remembers(self: ZoneController, now: int, reached: Any) -> None:
        if self.context.is_minority():
            self.context.reachable = dict.fromkeys(map(str, range(self.context.gateway_count)), 0)
        evaluate(self, now, reached)

    patch(ZoneController, "evaluate", remembers)


def leaves_any(patch: Patch) -> None:
    """A zone is left however little remains."""
    patch(ZonePolicy, "may_evacuate", lambda self, zone, summary: True)


# --- cold nodes ---


def uses_all(patch: Patch) -> None:
    """A gateway that starts anew uses its whole share, and what it lent too."""
    patch(GatewayQuota, "may_have_lost_loans", lambda self, now: False)
    patch(GatewayQuota, "lent_fraction", lambda self, zone, node: 0.0)


def uses_what_it_lent(patch: Patch) -> None:
    """What is lent stays in its lender's use."""
    patch(GatewayQuota, "lent_fraction", lambda self, zone, node: 0.0)


def is_not_divided(patch: Patch) -> None:
    """Each gateway takes a cold node's limit for its own."""
    patch(GatewayQuota, "usable", lambda self, zone, node, now: 1.0)


def outlives_its_lease(patch: Patch) -> None:
    """What was borrowed once stays in its borrower's use."""

    def for_ever(self: GatewayQuota, zone: int, node: int) -> float:
        of = [
            *self.borrowed.get(LoanScope(ALL_NODES, node), {}).values(),
            *self.borrowed.get(LoanScope(zone, ALL_NODES), {}).values(),
        ]
        return sum(loan.fraction for loan in of)

    patch(GatewayQuota, "borrowed_fraction", for_ever)


def knows_no_cold(patch: Patch) -> None:
    """What a returning zone's nodes may be sent does not heed that they just started."""
    limit = NodeRates.limit

    def warm(self: NodeRates, zone: int, node: int, now: int) -> float:
        listed = self.context.nodes
        nodes = listed.by_node
        listed.by_node = {number: each._replace(warm_at=0) for number, each in nodes.items()}
        try:
            return limit(self, zone, node, now)
        finally:
            listed.by_node = nodes

    patch(NodeRates, "limit", warm)


# --- the log ---


def ends_too_soon(patch: Patch) -> None:
    """The frontier goes as far as its own promise: past members that are silent."""
    settle = Frontier.settle

    def too_far(self: Frontier) -> None:
        settle(self)
        self.log.advance_frontier(self.promise)

    patch(Frontier, "settle", too_far)


def late_as_settled(patch: Patch) -> None:
    """Late entries are told without the mark."""
    read = Channel.read

    def unmarked(self: Channel, *how: Any) -> Any:
        told, cursor = read(self, *how)
        return [each._replace(late=False) for each in told], cursor

    patch(Channel, "read", unmarked)


def lives_again(patch: Patch) -> None:
    """Lives are counted from the disk alone: a lost one brings an old life back."""
    patch(log_store_module, "_make_incarnation", lambda wall_ms, chance: 1)


def is_not_synced(patch: Patch) -> None:
    """An append is answered before it is on disk."""
    write = JournalWriter.write

    def at_once(self: JournalWriter, records: Any, in_content: bool, on_durable: Any = None) -> None:
        write(self, records, in_content)
        if on_durable is not None:
            on_durable(None)

    patch(JournalWriter, "write", at_once)


def changes_places(patch: Patch) -> None:
    """Batches of records that wait for the disk change places."""
    operation = JournalWriter._append_operation

    def reversed_order(self: JournalWriter) -> Any:
        self._waiting.reverse()
        return operation(self)

    patch(JournalWriter, "_append_operation", reversed_order)


def drops_since(patch: Patch) -> None:
    """What is written while the journal is rewritten is in the old one alone."""
    step = Renewal.step

    def forgets(self: Renewal, most: int) -> bool:
        self.appended_since.clear()
        return step(self, most)

    patch(Renewal, "step", forgets)


def snapshot_in_part(patch: Patch) -> None:
    """Of a snapshot that a peer sends the last part is not taken."""
    take = Log.take_snapshot

    def some(self: Log, piece: Any) -> bool:
        value = json.loads(piece.value) if isinstance(piece, Snapshot) else None
        if isinstance(value, list):
            piece = msgspec.structs.replace(piece, value=json.dumps(value[:-1]).encode())
        return take(self, piece)

    patch(Log, "take_snapshot", some)


def snapshot_unread(patch: Patch) -> None:
    """Who follows from below a snapshot goes on behind it without being told."""
    read = Channel.read

    def silent(self: Channel, *how: Any) -> Any:
        told, cursor = read(self, *how)
        return [each for each in told if each.snapshot is None], cursor

    patch(Channel, "read", silent)


# --- purges ---


def utc_date(patch: Patch) -> None:
    """A purge goes by the date in UTC, not that of its site."""
    edition = site_calendars.edition

    def dated(*of: Any) -> dict[str, Any]:
        body = edition(*of)
        body["instants"] = [
            [rule, dt.datetime.fromtimestamp(ms / 1000, dt.UTC).date().isoformat(), ms]
            for rule, _, ms in body["instants"]
        ]
        return body

    patch(purge_subsystem, "edition", dated)


def alone_in_force(patch: Patch) -> None:
    """An edition is in force where one edge has taken it."""
    init = SiteCalendar.__init__

    def one(self: SiteCalendar, *of: Any) -> None:
        init(self, *of)
        self.majority = 1

    patch(SiteCalendar, "__init__", one)


def always_sure(patch: Patch) -> None:
    """Copies are used by an edge that can't know which edition is in force."""
    patch(PurgeSchedule, "not_ready_reason", lambda self: "")


def fetch_kept(patch: Patch) -> None:
    """A fetch that was under way across the close is kept."""
    hold = PurgeableObjectCache._store_fetched

    def kept(self: PurgeableObjectCache, fetch: Any) -> None:
        fetch.epochs = self.store.current_epochs(fetch.key.volume, fetch.key.tenant)
        fetch.cached.epochs = fetch.epochs
        hold(self, fetch)

    patch(PurgeableObjectCache, "_store_fetched", kept)


def no_bar(patch: Patch) -> None:
    """What is fetched while an edge's clock says that the close is about now is held and served."""
    look = PurgeSchedule._apply_calendar

    def open_again(self: PurgeSchedule) -> None:
        look(self)
        self.barred_until_ms.clear()

    patch(PurgeSchedule, "_apply_calendar", open_again)


MISTAKES = {
    "goes back": Mistake(goes_back, ("standing went back",)),
    "few speak": Mistake(few_speak, ("whole zone left", "unequal standing", "last zone left")),
    "believes itself": Mistake(believes_itself, ("whole zone left",)),
    "leaves any": Mistake(leaves_any, ("last zone left",)),
    "uses all": Mistake(uses_all, ("sum at a cold node",)),
    "uses what it lent": Mistake(uses_what_it_lent, ("sum at a cold node",)),
    "is not divided": Mistake(is_not_divided, ("sum at a cold node",)),
    "outlives its lease": Mistake(outlives_its_lease, ("sum at a cold node",)),
    "knows no cold": Mistake(knows_no_cold, ("sum at a cold node",)),
    "ends too soon": Mistake(ends_too_soon, ("note skipped", "order of notes")),
    "late as settled": Mistake(late_as_settled, ("order of notes",)),
    "lives again": Mistake(lives_again, ("note lost", "logs differ", "order of notes")),
    "is not synced": Mistake(is_not_synced, ("note lost",)),
    "changes places": Mistake(changes_places, ("note lost", "logs differ"), slow_disks=True),
    "drops since": Mistake(drops_since, ("note lost", "logs differ"), slow_disks=True),
    "snapshot in part": Mistake(snapshot_in_part, ("snapshot in part", "logs differ")),
    "snapshot unread": Mistake(snapshot_unread, ("note skipped", "order of notes")),
    "UTC date": Mistake(utc_date, ("purge at another time", "purge not once")),
    "alone in force": Mistake(alone_in_force, ("purge by another edition", "old copy", "purge not once")),
    "always sure": Mistake(always_sure, ("old copy", "purge by another edition")),
    "fetch kept": Mistake(fetch_kept, ("old copy",)),
    "no bar": Mistake(no_bar, ("old copy",)),
}


@contextmanager
def made(name: str) -> Iterator[None]:
    """The shipped code with a mistake in it, until the end of the `with`."""
    before: list[tuple[Any, str, Any]] = []

    def patch(owner: Any, attribute: str, value: Any) -> None:
        before.append((owner, attribute, getattr(owner, attribute)))
        setattr(owner, attribute, value)

    MISTAKES[name].make(patch)
    try:
        yield
    finally:
        for each in reversed(before):
            setattr(*each)
