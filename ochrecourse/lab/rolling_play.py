"""Plays a day on which processes of a fleet are replaced one by one, by handed-over sockets or by SIGTERM.

A replacement begins when the one before is over, whatever time its step names, for how long a process takes
to start is the host's affair. While sockets change hands, a stranger connects to them again and again.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from ochrecourse.audit import records as r
from ochrecourse.audit import rolling_restarts as seen
from ochrecourse.lab.real import Child
from ochrecourse.lab.together import Step, Together
from ochrecourse.lab.together_play import Gate, TogetherPlay
from ochrecourse.lab.worse_rolling import NEWER
from ochrecourse.common.runtime import now_ns
from ochrecourse.settings.writer import write

DIAL = 0.02  # s between two connections of the stranger; a handover takes longer
AFTER = 0.3  # s for which it goes on when the next process serves
RAISE = 0.5  # s until a form that could not be raised though it should is asked for again; two beats
TRIES = 40  # so often
WAIT = 0.2  # s between looks at the end whether all replacements are over
LONGEST = 60.0  # s that they may take beyond the day on a loaded host


class Stranger(ClientFactory):
    """One connection: made, noted, ended."""

    noisy = False

    def __init__(self, came: Callable[[bool], None]) -> None:
        self.came = came

    def buildProtocol(self, addr: Any) -> Protocol:
        self.came(True)
        return Ends()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.came(False)


class Ends(Protocol):
    """Says nothing."""

    transport: Any

    def connectionMade(self) -> None:
        self.transport.loseConnection()


class RollingGate(Gate):
    """A gateway whose processes follow each other."""

    def __init__(self, play: RollingPlay, index: int) -> None:
        super().__init__(play, index)
        self.rolling = play
        self.newest = play.together.newest[self.name]
        self.next: Child | None = None  # it is to take over
        self.next_process: Any = None
        self.before: Child | None = None  # it handed over and leaves
        self.asked = False  # it was asked to leave, and another starts after it
        self.began = 0

    def settings(self) -> dict[str, Any]:
        record = super().settings()
        record["gateway"]["control"] = str(self.ear.path)
        if not self.together.alone:
            record["fleet"]["newest_form"] = self.newest
        return record

    def take_over(self, newest: int) -> None:
        """The next process takes the sockets of the one that runs."""
        self.began, running, self.newest = now_ns(self.play.reactor), self.newest, newest
        settings = self.play.folder / f"{self.name}-next.cue"
        settings.write_text(write(self.settings()) + 'log: {\n\tlevel: "info"\n\tform: "json"\n}\n')
        self.newest = running
        log = self.play.folder / f"{self.name}.log"
        self.next = Child(log, partial(self._next_says, newest), self._ended)
        self.next_process = self.play.spawn(self.next, ["serve", str(settings), "--take-over"])

    def _next_says(self, newest: int, line: str) -> None:
        if self.next is not None:  # its first line: it accepts, and the one before leaves
            self.before, self.child, self.process = self.child, self.next, self.next_process
            self.next, self.newest = None, newest
            self.readers += 1
            self.cursors, self.had, self.reading = {}, Counter(), set()
        self._says(line)

    def leave(self, newest: int) -> None:
        """The process is asked to leave; the next one starts when it has."""
        self.began, self.newest, self.asked = now_ns(self.play.reactor), newest, True
        self.at = None
        self.apart(False)
        self.process.signalProcess("TERM")

    def apart(self, on: bool) -> None:
        """Nobody reaches it while no process runs."""
        others = [place.name for place in self.play.places if place is not self]
        self.play.record(
            r.NetworkPartitioned(
                t=now_ns(self.play.reactor), group=[self.name], other_group=others, healed=on
            )
        )

    def said(self, what: str, host: str, port: str) -> None:
        super().said(what, host, port)
        if self.asked and self.exit == 0 and self.serves():
            self.asked = False
            self.apart(True)
            self.rolling.rolled(self, "left", 0)

    def _ended(self, child: Child, code: int | None) -> None:
        if child is self.before:
            self.before = None
            self.rolling.rolled(self, "taken", -1 if code is None else code)
        elif child is self.next:
            self.next = None
            self.rolling.rolled(self, "kept", -1 if code is None else code)
        elif self.asked and child is self.child and not self.killed:
            self.process, self.exit = None, code
            if code == 0 and not self.play.ending:
                self.start()
                return
            self.asked = False
            self.rolling.rolled(self, "left", -1 if code is None else code)
        else:
            super()._ended(child, code)


class RollingPlay(TogetherPlay):
    """One run."""

    places: list[RollingGate]  # type: ignore[assignment]

    def __init__(
        self, this: Together, reactor: Any, folder: Path, over: Callable[[], None], alone: bool = False
    ) -> None:
        super().__init__(this, reactor, folder, over, alone)
        self.queue: deque[tuple[Step, int]] = deque()
        self.busy: Step | None = None
        self.due = sum(len(step.who) for step in this.steps if step.do in ("roll", "form"))
        self.gives_up_at: float | None = None  # s, once the day is over
        self.forms: dict[str, int] = {}  # in force in the end, by gateway

    def place(self, index: int) -> RollingGate:
        return RollingGate(self, index)

    # --- steps, one after another ---

    def _roll(self, step: Step) -> None:
        self.queue += [(step, index) for index in step.who]
        self._next()

    _form = _roll

    def _next(self) -> None:
        if self.busy is not None or not self.queue or self.ending:
            return
        self.busy, index = self.queue.popleft()
        place, newest = self.places[index], int(self.busy.state.get("newest", 0))
        if self.busy.do == "form":
            self._raise(place, TRIES if all(each.newest == NEWER for each in self.places) else 1)
        elif self.busy.state["take"]:
            self._dial(place, self.busy)
            place.take_over(newest)
        else:
            place.leave(newest)

    def _done(self) -> None:
        self.busy, self.due = None, self.due - 1
        self._next()

    def rolled(self, place: RollingGate, how: str, code: int) -> None:
        """A process was replaced, or was not."""
        now = now_ns(self.reactor)
        newest = place.newest
        self.kept(
            seen.ProcessReplaced(
                t=now,
                gateway=place.name,
                method=how,
                newest_version=newest,
                exit_code=code,
                duration=now - place.began,
            )
        )
        self._done()

    def _dial(self, place: RollingGate, step: Step, until: float = 0.0) -> None:
        """Connects to both of its sockets until a while after they changed hands."""
        if self.ending:
            return
        if self.busy is not step:
            until = until or self.reactor.seconds() + AFTER
            if self.reactor.seconds() > until:
                return
        wheres = {"native": place.at}
        if place.fleet_at:
            host, _, port = place.fleet_at.rpartition(":")
            wheres["fleet"] = (host, int(port))
        for what, where in wheres.items():
            if where is not None:
                came = partial(self._dialled, place.name, what)
                self.reactor.connectTCP(*where, Stranger(came), timeout=5)
        self.reactor.callLater(DIAL, self._dial, place, step, until)

    def _dialled(self, name: str, what: str, ok: bool) -> None:
        if not self.ending:
            self.kept(seen.HandoverConnection(t=now_ns(self.reactor), gateway=name, socket=what, accepted=ok))

    def _raise(self, place: RollingGate, tries: int) -> None:
        if self.alone:
            self._done()
            return

        def heard(answer: dict[str, Any] | None) -> None:
            why = "no answer" if answer is None else str(answer.get("error", ""))
            if why and tries > 1 and not self.ending:  # new lives may not count yet
                self.reactor.callLater(RAISE, self._raise, place, tries - 1)
                return
            self.kept(
                seen.VersionRaiseRequested(
                    t=now_ns(self.reactor), gateway=place.name, version=NEWER, refusal=why
                )
            )
            self._done()

        place.ear.ask(heard, do="form", form=NEWER)

    # --- the end ---

    def served(self) -> None:
        if self.gives_up_at is None:  # the day's clients and its last timer both say that it is over
            self.gives_up_at = self.reactor.seconds() + LONGEST
            self._look_at_end()

    def _look_at_end(self) -> None:
        """Waits until all replacements are over and all gateways have told the form that they hold."""
        assert self.gives_up_at is not None
        if self.ended or self.ending:
            return
        may_wait = self.reactor.seconds() < self.gives_up_at
        if self.due > 0 and may_wait:
            self.reactor.callLater(WAIT, self._look_at_end)
            return
        if self.due > 0:
            self.troubles.append(f"{self.due} replacements did not come to their end")
        asked = [] if self.alone else [place for place in self.places if place.name not in self.forms]
        if asked and may_wait:  # its control socket may just have changed hands
            for place in asked:
                place.ear.ask(partial(self._form_held, place.name), do="form")
            self.reactor.callLater(WAIT, self._look_at_end)
            return
        for name, form in self.forms.items():
            self.kept(seen.VersionInForce(t=now_ns(self.reactor), gateway=name, version=form))
        super().served()

    def _form_held(self, name: str, answer: dict[str, Any] | None) -> None:
        if answer is not None and "in_force" in answer:
            self.forms[name] = answer["in_force"]
