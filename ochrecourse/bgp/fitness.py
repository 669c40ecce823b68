"""Whether a service address is announced: announced, less preferred, or withdrawn. Free of I/O and clocks.

It goes by what this gateway alone sees. What is wrong with the gateway itself (it drains, its listener is
gone, its loop stands still, it has no list or no room) withdraws at once: others can serve. What is wrong
with nodes may be wrong for everybody, and no gateway can tell alone: while it reaches some nodes its address
stays announced as the last choice, so that traffic moves if others fare better and stays if none does. Only a
gateway that reaches no node at all withdraws for it. The price is written in docs/bgp.md.

Nothing flaps: a bad sign of the second kind must last before it counts, a return must be good for a rest, and
the rest doubles with each withdrawal and eases with time. A rest never keeps an unfit address announced.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class Standing(IntEnum):
    """How an address is announced; a higher one is better."""

    WITHDRAWN = 0
    LESS_PREFERRED = 1
    ANNOUNCED = 2


class FitnessFigures(NamedTuple):
    """What the settings say. Spans in ns, shares between 0 and 1."""

    loop_late: int  # a loop later than this is not serving
    list_age: int  # a list older than this is not trusted for the first choice; 0: any age will do
    nodes_share: float  # of the nodes listed as ready that must be reached for the first choice
    failed_share: float  # of jobs answered that may be written off before the address is the last choice
    room: float  # of the open jobs allowed; above it there is no room
    lasts: int  # how long a sign of nodes must last before it counts
    rest: int  # how long all must be good before a return, at first
    longest_rest: int
    ease: int  # time of good standing after which the rest halves


@dataclass(slots=True)
class Sight:
    """What the gateway sees of itself now. Shares are over a recent while; `jobs` is how many they rest
    on.
    """

    listening: bool = True
    draining: bool = False
    loop_late: int = 0
    has_list: bool = True
    list_age: int = 0
    list_fresh: bool = True  # at least one list came in this life
    enrolled: bool = True  # its entry in the registry stands, or it has none
    nodes_ready: int = 1
    nodes_reached: int = 1
    jobs: int = 0
    written_off: float = 0.0
    lately: int = 0  # jobs that the last second answered
    fulfilled: int = 0  # of these
    open_share: float = 0.0


LEAST_JOBS = 20  # jobs on which a share of failures must rest
RETURN_SHARE = 0.5  # of the last second's jobs that must be fulfilled before a return; less is no service


class Fitness:
    """The standing of one service address."""

    def __init__(self, figures: FitnessFigures, now: int) -> None:
        self.figures = figures
        self.standing = Standing.WITHDRAWN
        self.reasons: tuple[str, ...] = ("starting",)
        self.changed = now
        self.rest = figures.rest
        self.good_since = -1  # since when the better standing would be right; -1: it is not
        self.bad_since = -1
        self.first = True  # nothing was announced in this life yet
        self.history: deque[tuple[int, Standing, str]] = deque(maxlen=32)
        self.changes = 0

    def look(self, sight: Sight, now: int) -> Standing:
        """Takes what is seen and returns the standing that is right from now on."""
        hard = self._hard(sight)
        soft = self._soft(sight)
        target = Standing.WITHDRAWN if hard else Standing.LESS_PREFERRED if soft else Standing.ANNOUNCED
        self._ease(now)
        if hard:
            self.good_since = self.bad_since = -1
            if self.standing is not Standing.WITHDRAWN:
                # Each loss of service makes the next return slower; leaving on purpose does not.
                if not sight.draining:
                    self.rest = min(self.figures.longest_rest, self.rest * 2)
                self._change(Standing.WITHDRAWN, hard, now)
            self.reasons = hard
        elif target < self.standing:
            self.good_since = -1
            self.bad_since = now if self.bad_since < 0 else self.bad_since
            if now - self.bad_since >= self.figures.lasts:
                self._change(target, soft, now)
        elif self.standing is Standing.WITHDRAWN and few(sight):
            # Nodes that come back are met with few legs at first: what is denied meanwhile is no service yet.
            self.good_since = self.bad_since = -1
            self.reasons = (f"{sight.fulfilled} of the last {sight.lately} jobs were fulfilled",)
        elif target > self.standing:
            self.bad_since = -1
            self.good_since = now if self.good_since < 0 else self.good_since
            rest = self.figures.rest if self.first else self.rest
            if now - self.good_since >= rest:
                self._change(target, soft or ("fit",), now)
        else:
            self.good_since = self.bad_since = -1
            self.reasons = soft or ("fit",)
        return self.standing

    def next_due(self) -> int | None:
        """When the standing may change though nothing else is seen; None if it won't."""
        if self.good_since >= 0:
            return self.good_since + (self.figures.rest if self.first else self.rest)
        if self.bad_since >= 0:
            return self.bad_since + self.figures.lasts
        return None

    def _hard(self, sight: Sight) -> tuple[str, ...]:
        """What is wrong with this gateway itself, or leaves it nothing to serve with."""
        told = []
        if sight.draining:
            told.append("draining")
        if not sight.listening:
            told.append("not listening")
        if sight.loop_late > self.figures.loop_late:
            told.append(f"the loop is {sight.loop_late / 1e6:.0f} ms late")
        if not sight.has_list:
            told.append("no list of nodes")
        elif not sight.nodes_ready:
            told.append("no node is ready")
        elif not sight.nodes_reached:
            told.append("no node is reached")
        if sight.lately >= LEAST_JOBS and not sight.fulfilled:
            told.append(f"none of the last {sight.lately} jobs was fulfilled")
        if sight.open_share > self.figures.room:
            told.append("no room for more jobs")
        return tuple(told)

    def _soft(self, sight: Sight) -> tuple[str, ...]:
        """What may be as wrong for every other gateway."""
        told = []
        if not sight.list_fresh:
            told.append("only the kept list")
        elif self.figures.list_age and sight.list_age > self.figures.list_age:
            told.append(f"the list is {sight.list_age / SECOND:.0f} s old")
        if not sight.enrolled:
            told.append("its lease in the registry is lost")
        if sight.nodes_reached < self.figures.nodes_share * sight.nodes_ready:
            told.append(f"{sight.nodes_reached} of {sight.nodes_ready} nodes are reached")
        if sight.jobs >= LEAST_JOBS and sight.written_off > self.figures.failed_share:
            told.append(f"{sight.written_off:.0%} of the jobs are written off")
        return tuple(told)

    def _change(self, to: Standing, reasons: tuple[str, ...], now: int) -> None:
        self.standing, self.reasons, self.changed = to, reasons, now
        self.good_since = self.bad_since = -1
        self.first = self.first and to is Standing.WITHDRAWN
        self.changes += 1
        self.history.append((now, to, ", ".join(reasons)))

    def _ease(self, now: int) -> None:
        """Good standing eases the rest, step by step."""
        while self.rest > self.figures.rest and self.standing is Standing.ANNOUNCED:
            if now - self.changed < self.figures.ease:
                return
            self.changed += self.figures.ease
            self.rest = max(self.figures.rest, self.rest // 2)


def few(sight: Sight) -> bool:
    """Whether most jobs that still come are turned away. None sent: nothing speaks against a return."""
    return sight.lately >= LEAST_JOBS and sight.fulfilled < RETURN_SHARE * sight.lately


class Stage(IntEnum):
    """The order of a drain."""

    SERVING = 0
    LAST_CHOICE = 1  # announced with the graceful-shutdown community, so that traffic moves before the route
    WITHDRAWN = 2  # the peers are given time to read and act on it
    FINISHING = 3  # what is held gets its answers
    LEFT = 4  # sessions end with a Cease


class DrainFigures(NamedTuple):
    """Spans in ns."""

    last_choice: int
    withdrawn: int  # for peers to act on the withdrawal, after the last byte of it was taken
    unread: int  # the longest that a peer which does not read is waited for


class Drain:
    """The stages of one gateway's way out. It always ends."""

    def __init__(self, figures: DrainFigures) -> None:
        self.figures = figures
        self.stage = Stage.SERVING
        self.since = 0
        self.read_at = -1

    def begin(self, now: int) -> bool:
        """False if it was begun before."""
        if self.stage is not Stage.SERVING:
            return False
        self._enter(Stage.LAST_CHOICE, now)
        return True

    def undo(self, now: int) -> bool:
        """Takes a drain back; False once the gateway no longer takes jobs."""
        if self.stage not in (Stage.LAST_CHOICE, Stage.WITHDRAWN):
            return False
        self._enter(Stage.SERVING, now)
        return True

    def look(self, now: int, told: bool, jobs: int) -> Stage:
        """`told`: every session that is up has taken all that is wanted; `jobs`: what is held."""
        if self.stage is Stage.LAST_CHOICE and now >= self.since + self.figures.last_choice:
            self._enter(Stage.WITHDRAWN, now)
        if self.stage is Stage.WITHDRAWN:
            if told and self.read_at < 0:
                self.read_at = now
            read = self.read_at >= 0 and now >= self.read_at + self.figures.withdrawn
            if read or now >= self.since + self.figures.unread:
                self._enter(Stage.FINISHING, now)
        if self.stage is Stage.FINISHING and not jobs:
            self._enter(Stage.LEFT, now)
        return self.stage

    def next_due(self) -> int | None:
        """When the stage may change by itself; None if it waits for jobs, or for nothing."""
        if self.stage is Stage.LAST_CHOICE:
            return self.since + self.figures.last_choice
        if self.stage is Stage.WITHDRAWN:
            unread = self.since + self.figures.unread
            return min(unread, self.read_at + self.figures.withdrawn) if self.read_at >= 0 else unread
        return None

    def _enter(self, stage: Stage, now: int) -> None:
        self.stage, self.since, self.read_at = stage, now, -1
