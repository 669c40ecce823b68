"""Carries legs to storage nodes: which connection, what was written, time-outs, what each end proves. Free of
I/O.

What an event proves is said in proof.py, which connection a leg takes in pool.py. Connections themselves are
handed in: `open_line` starts a dial and each open connection is a `Wire`. A leg ends for the gateway exactly
once; what comes for it later is dropped and counted. The clock is handed in too, for the times at which legs
are given up.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from ochrecourse.nodes.pool import Line, Pool, PoolLimits, State
from ochrecourse.nodes.proof import Close, Seen, Written, seen_at_close, seen_at_timeout
from ochrecourse.outside import SECOND, Clock, Timer, now_ns, stop
from ochrecourse.wire import messages as m

LINGER = (
    2.0  # s that a node has to confirm a cancel; after that its connection is closed, whatever else is on it
)
LONGEST = 60.0  # s for a dial that the carrier has not given up before; no promised time runs longer
USUAL = 15  # dials whose times tell the usual one, as the middle of them: a third may come up late
SLOW = 2  # times the usual, after which a dial is slow


class Body(Protocol):
    """What a leg sends: read piece by piece, again from the start by each further leg."""

    size: int

    def read(self, at: int, most: int) -> bytes: ...

    def close(self) -> None: ...


class Taker(Protocol):
    """Who waits for an attempt. `written` comes when it has a connection, `began` before any `piece`;
    `ended` comes exactly once and last.
    """

    def written(self, leg: LegOut) -> None: ...

    def began(self, leg: LegOut, answer: m.Done) -> None: ...

    def piece(self, leg: LegOut, data: bytes) -> None: ...

    def ended(self, leg: LegOut, seen: Seen, answer: m.Any | None) -> None: ...


class LegOut:
    """One leg on its way. `taken` bytes of its answer were handed on, `granted` were credited to the node
    again.
    """

    def __init__(
        self, number: int, job: int, node: int, message: m.LegSent, body: Body | None, taker: Taker
    ) -> None:
        self.number = number
        self.job = job  # the taker's name for what it belongs to
        self.node = node
        self.message = message
        self.body = body
        self.taker = taker
        self.sent_at = 0  # ns
        self.went_at = 0  # ns; on a connection; 0 as long as it waits for one
        self.line: Line | None = None
        self.link: Wire | None = None
        self.id = -1  # on its connection
        self.written = 0  # bytes of the body
        self.answer: m.Done | None = None
        self.taken = 0
        self.granted = 0
        self.over = False
        self.stall = 0.0  # s
        self.heard_at = 0.0  # s, last byte of an answer that has begun
        self.timer: Timer | None = None
        self.wait: Timer | None = None  # until it no longer waits for a connection
        self.write_before = 0  # ns; from then on it may not be written any more; 0: no such time
        self.write_timer: Timer | None = None

    def handed(self) -> Written:
        """How much of it was handed to the network."""
        if self.id < 0:
            return Written.NOTHING
        return Written.WHOLE if self.written >= self.message.size else Written.PART


class Wire(Protocol):
    """An open connection to a node, as link.py makes it."""

    line: Line
    met: bool

    def send(self, leg: LegOut) -> None: ...

    def drop(self, leg: LegOut) -> None: ...

    def holds(self, leg: LegOut) -> bool: ...

    def credit(self, leg: LegOut, size: int) -> None: ...

    def bye(self) -> None: ...

    def cut(self) -> None: ...


# Starts a dial, whose end is told to the carrier; returns what gives it up, if the network can.
OpenLine = Callable[["Carrier", Line, tuple[str, int]], Callable[[], None] | None]


class Carrier:
    """All connections of one gateway to its nodes.

    `limits`, `dial_time` and `slow_dial` (s) come from the settings: how long a dial may take that no leg
    waits for, and after how long at the least one more is dialled beside it. `address_of` gives the host and
    port of a node, or None.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        limits: PoolLimits,
        dial_time: float,
        address_of: Callable[[int], tuple[str, int] | None],
        open_line: OpenLine,
        slow_dial: float | None = None,
    ) -> None:
        self.name = name
        self.clock = clock
        self.open_line = open_line
        self.pool = Pool(limits)
        self.dial_time = dial_time
        self.slow_dial = dial_time if slow_dial is None else slow_dial
        self.dial_times: deque[int] = deque(maxlen=USUAL)  # ns, of those that came through
        self.address_of = address_of
        self.links: dict[int, Wire] = {}  # by the number of their line
        self.dials: dict[int, Timer] = {}
        self.give_up: dict[int, Callable[[], None]] = {}  # of dials that are under way
        self.out: dict[int, LegOut] = {}
        self.count = 0
        self.counts: Counter[str] = Counter()
        self._idle: Timer | None = None

    def send(
        self,
        job: int,
        node: int,
        message: m.LegSent,
        body: Body | None,
        time_out: int,
        stall: int,
        taker: Taker,
        wait: int | None = None,
        write_before: int = 0,
    ) -> LegOut:
        """Sends an attempt. `time_out`: ns from now until its answer must begin; `stall`: ns without any more
        of it after that; `wait`: ns for which it may wait for a connection (None: as long as its dial may
        take); `write_before`: clock time from which on no byte of it may be handed to a connection, and
        nothing of it may run that was not whole by then (0: no such time). Its end is told to `taker`, never
        before this returns.
        """
        self.count += 1
        leg = LegOut(self.count, job, node, message, body, taker)
        leg.sent_at = now_ns(self.clock)
        self.out[leg.number] = leg
        leg.stall = max(0, stall) / SECOND
        leg.timer = self.clock.callLater(max(0, time_out) / SECOND, self._timed_out, leg)
        leg.write_before = write_before
        if write_before and write_before < leg.sent_at + time_out:
            left = max(0, write_before - leg.sent_at) / SECOND
            leg.write_timer = self.clock.callLater(left, self._too_late_to_write, leg)
        if self.address_of(node) is None:
            self.clock.callLater(0, self._end, leg, Seen.UNLISTED, None)
            return leg
        place = self.pool.place(node, leg.number, message.product, message.size > m.MAX_BODY)
        if place.instead is not None and place.instead.number in self.links:
            self.links[place.instead.number].bye()
        if place.line is None:
            self.counts["no room"] += 1
            self.clock.callLater(0, self._end, leg, Seen.NO_ROOM, None)
            return leg
        leg.line = place.line
        if place.now:
            self._go(leg, place.line)
        else:
            if wait is not None:
                leg.wait = self.clock.callLater(max(0, wait) / SECOND, self._waited, leg)
            self._dial()
        return leg

    def cancel(self, leg: LegOut) -> None:
        """Stops waiting for a leg; its end is told at once, as no more than was known."""
        if not leg.over:
            known = Seen.CANCEL_UNANSWERED if leg.handed() is Written.WHOLE else Seen.LEFT_BEFORE
            self._abandon(leg, known)

    def shed(self, stays: Callable[[int], bool]) -> None:
        """Gives up legs that still wait for a connection to a node that does not stay."""
        for leg in [leg for leg in self.out.values() if leg.handed() is Written.NOTHING]:
            if not leg.over and not stays(leg.node):
                self._end(leg, Seen.LEFT_BEFORE, None)

    def grant(self, leg: LegOut, size: int) -> None:
        """The taker has room for so many more bytes of a long answer."""
        leg.taken += size
        due = leg.taken - leg.granted
        if due >= m.MAX_BODY and not leg.over and leg.link is not None and leg.link.holds(leg):
            leg.granted += due
            leg.link.credit(leg, due)

    def close(self) -> None:
        """Closes every connection; legs that are out end as reset or never sent."""
        for timer in self.dials.values():
            stop(timer)
        self.dials.clear()
        stop(self._idle)
        self._idle = None
        for link in list(self.links.values()):
            link.cut()

    def open_connections(self) -> int:
        return len(self.links)

    # --- what the connections tell ---

    def link_open(self, link: Wire) -> None:
        timer = self.dials.pop(link.line.number, None)
        if timer is None:
            return
        stop(timer)
        self.give_up.pop(link.line.number, None)
        now = now_ns(self.clock)
        self.dial_times.append(now - link.line.dialled_at)
        for number in self.pool.opened(link.line, now):
            self._go(self.out[number], link.line)
        self._relieve(link.line)
        self._dial()
        self._watch_idle()

    def link_leaving(self, link: Wire) -> None:
        if link.line.state is State.OPEN and self.pool.leaving(link.line):
            link.bye()

    def link_ending(self, link: Wire) -> None:
        """This side is ending the connection: what would be written to it now is dropped unseen, so no
        attempt may take it any more.
        """
        if link.line.state is State.OPEN:
            self.pool.leaving(link.line)

    def link_freed(self, link: Wire, number: int) -> None:
        self._free(link.line, -1)

    def link_closed(self, link: Wire, legs: list[LegOut], how: Close) -> None:
        self.links.pop(link.line.number, None)
        if how is Close.GARBLED:
            self.counts["nodes that broke the protocol"] += 1
        if not link.met:
            self.dial_failed(link.line, Seen.REFUSED)
            return
        self.pool.gone(link.line)
        for leg in legs:
            self._end(leg, seen_at_close(leg.handed(), leg.answer is not None, how), None)
        self._dial()

    def dial_failed(self, line: Line, seen: Seen) -> None:
        timer = self.dials.pop(line.number, None)
        if timer is None:
            return  # told already
        stop(timer)
        self.counts["dials failed"] += 1
        give_up = self.give_up.pop(line.number, None)
        if give_up is not None and seen is Seen.DIAL_TIMEOUT:
            give_up()
        waiting = self.pool.gone(line)
        link = self.links.pop(line.number, None)
        if link is not None:
            link.cut()
        for number in waiting:
            self._end(self.out[number], seen, None)
        self._dial()

    def answered(self, link: Wire, leg: LegOut, message: m.Any, body: bytes, over: bool) -> None:
        """A message for a leg that is still waited for; `over`: it was the last one."""
        if isinstance(message, m.Done):
            leg.answer = message
            self.pool.answered(leg.message.product, message.size > message.body)
            leg.taker.began(leg, message)
        leg.heard_at = self.clock.seconds()
        if body and not leg.over:
            leg.taker.piece(leg, body)
        if not over or leg.over:
            return
        if isinstance(message, m.Done | m.Part):
            seen = Seen.DONE
        elif isinstance(message, m.Full):
            seen = Seen.NOT_HELD if message.why == "not held" else Seen.FULL
        elif isinstance(message, m.Failed):
            seen = Seen.BROKE_OFF if leg.answer is not None else Seen.FAILED
        else:
            seen = Seen.CANCELLED_UNRUN if getattr(message, "ran", "") == "no" else Seen.CANCELLED
        self._end(leg, seen, message if isinstance(message, m.NodeAnswer) else leg.answer)

    # --- inside ---

    def _dial(self) -> None:
        while (line := self.pool.next_dial()) is not None:
            address = self.address_of(line.node)
            line.dialled_at = now_ns(self.clock)
            usual = sorted(self.dial_times)[len(self.dial_times) // 2] if self.dial_times else 0
            slow = min(self.dial_time, max(self.slow_dial, SLOW * usual / SECOND))
            self.dials[line.number] = self.clock.callLater(slow, self._slow, line)
            self.counts["dials"] += 1
            if address is None:
                self.dial_failed(line, Seen.UNLISTED)
            else:
                give_up = self.open_line(self, line, address)
                if give_up is not None:
                    self.give_up[line.number] = give_up

    def _slow(self, line: Line) -> None:
        """Guards against connections that come up late: another may be quicker, and a leg takes the first."""
        rest = line.dialled_at / SECOND + self.dial_time - self.clock.seconds()
        self.dials[line.number] = self.clock.callLater(max(0.0, rest), self._old, line)
        if self.pool.beside(line):
            self.counts["dials beside a slow one"] += 1
            self._dial()

    def _old(self, line: Line) -> None:
        """A dial goes on as long as a leg waits that ends its wait itself."""
        for number in list(line.waiting):
            if self.out[number].wait is None:
                self._end(self.out[number], Seen.DIAL_TIMEOUT, None)
        if self.pool.helps(line):
            self.dials[line.number] = self.clock.callLater(self.dial_time, self._old, line)
        else:
            self.dial_failed(line, Seen.DIAL_TIMEOUT)

    def _waited(self, leg: LegOut) -> None:
        """No connection came up in the time in which it could have served the leg."""
        leg.wait = None
        if not leg.over:
            self._end(leg, Seen.DIAL_TIMEOUT, None)

    def _go(self, leg: LegOut, line: Line) -> None:
        """The leg has a connection with room for it."""
        stop(leg.wait)
        leg.wait = None
        now = now_ns(self.clock)
        leg.line = line
        if leg.write_before and now >= leg.write_before:
            # Guards against a loop that stood still: the timer for this has not been called yet.
            self.clock.callLater(0, self._end, leg, Seen.LEFT_BEFORE, None)
            return
        leg.went_at = now
        self.links[line.number].send(leg)
        leg.taker.written(leg)

    def _too_late_to_write(self, leg: LegOut) -> None:
        """What the node does not have whole by now never runs."""
        leg.write_timer = None
        if not leg.over and leg.handed() is not Written.WHOLE:
            self._abandon(leg, Seen.LEFT_BEFORE)

    def _relieve(self, line: Line) -> None:
        """Legs that wait for another connection to the same node go on this one, as far as it has room."""
        while (number := self.pool.relieve(line)) is not None:
            self._go(self.out[number], line)

    def _timed_out(self, leg: LegOut) -> None:
        """An answer that has begun is given up only when nothing more of it came for a while."""
        leg.timer = None
        rest = leg.heard_at + leg.stall - self.clock.seconds()
        if leg.answer is not None and rest > 0:
            leg.timer = self.clock.callLater(rest, self._timed_out, leg)
        elif not leg.over:
            seen = seen_at_timeout(leg.handed(), leg.answer is not None)
            waited = self.clock.seconds() - leg.sent_at / SECOND
            if leg.handed() is Written.NOTHING and waited < self.dial_time:
                # Guards against hasty clients who look like a node that can't be reached.
                seen = Seen.LEFT_BEFORE
            self._abandon(leg, seen)

    def _abandon(self, leg: LegOut, seen: Seen) -> None:
        link, line = leg.link, leg.line
        if link is not None and link.holds(leg):
            leg.over = True  # before the cancel goes out, so that nothing of it is sent on
            link.drop(leg)
            leg.line = None  # its place on the connection is free when the node confirms
            leg.over = False
        elif line is not None and leg.link is None:
            pass  # it waited for a dial: _end frees its place
        self._end(leg, seen, None)

    def _end(self, leg: LegOut, seen: Seen, answer: m.Any | None) -> None:
        if leg.over:
            return
        leg.over = True
        self.out.pop(leg.number, None)
        stop(leg.timer)
        stop(leg.wait)
        stop(leg.write_timer)
        leg.timer = leg.wait = leg.write_timer = None
        if leg.line is not None:
            self._free(leg.line, leg.number)
        leg.taker.ended(leg, seen, answer)

    def _free(self, line: Line, number: int) -> None:
        if self.pool.leg_over(line, number, now_ns(self.clock)):
            link = self.links.get(line.number)
            if link is not None:
                link.bye()
        self._relieve(line)
        self._watch_idle()

    def _watch_idle(self) -> None:
        due = self.pool.next_due()
        if due is not None and self._idle is None:
            self._idle = self.clock.callLater(
                max(0, due - now_ns(self.clock)) / SECOND + 0.001, self._close_idle
            )

    def _close_idle(self) -> None:
        self._idle = None
        while (line := self.pool.next_idle(now_ns(self.clock))) is not None:
            link = self.links.get(line.number)
            if link is not None:
                link.bye()
        self._watch_idle()
