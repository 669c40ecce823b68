"""Plays a day on loopback sockets: gateways and nodes in processes of their own, killed and started again."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.protocol import ProcessProtocol

from ochrecourse.audit import records as r
from ochrecourse.audit.loop_lag import CLIENTS
from ochrecourse.lab.day import Day, gateway_record
from ochrecourse.lab.load import Load, schedule
from ochrecourse.lab.loop_watch import LoopWatch
from ochrecourse.lab.people import People, door_record
from ochrecourse.lab.play import TAIL, WARM_UP, rolls
from ochrecourse.common.runtime import now_ns
from ochrecourse.settings.writer import write

START_TIME = 20.0  # s in which a process must say that it serves; a slow machine takes a few
END_TIME = 10.0  # s that a process has to end after it was asked to


class Child(ProcessProtocol):
    """One process: its lines of output, and its end. It writes its log itself: a disk that is slow holds up
    whoever writes to it, and that would be the loop of the clients and of the ways between gateways.
    """

    def __init__(
        self, log: Path, line: Callable[[str], None], ended: Callable[[Child, int | None], None]
    ) -> None:
        self.log = open(log, "ab")  # noqa: SIM115
        self.line = line
        self.ended = ended
        self.said = b""

    def outReceived(self, data: bytes) -> None:
        *lines, self.said = (self.said + data).split(b"\n")
        for line in lines:
            self.line(line.decode("utf-8", "replace"))

    def start(self, reactor: Any, words: list[str]) -> Any:
        """Starts it with these words of the command line; returns Twisted's process."""
        with self.log:
            return reactor.spawnProcess(
                self, sys.executable, [sys.executable, "-m", "ochrecourse", *words],
                env=None, childFDs={0: "w", 1: "r", 2: self.log.fileno()},
            )  # fmt: skip

    def processEnded(self, reason: Any) -> None:
        self.ended(self, reason.value.exitCode)


class Place:
    """One gateway's process over its lives."""

    def __init__(self, play: RealPlay, index: int) -> None:
        self.play = play
        self.index = index
        self.name = f"g{index}"
        self.at: tuple[str, int] | None = None
        self.port = 0
        self.door_at: tuple[str, int] | None = None
        self.door_port = 0
        self.child: Child | None = None
        self.process: Any = None
        self.killed = False
        self.exit: int | None = None

    def settings(self) -> dict[str, Any]:
        play = self.play
        record = gateway_record(
            play.day, self.index, f"127.0.0.1:{self.port}", play.list_address, str(play.folder)
        )  # fmt: skip
        if play.people is not None:
            record["webdav"] = door_record(play.day, self.door_port)
        return record

    def start(self) -> None:
        play = self.play
        record = self.settings()
        settings = play.folder / f"{self.name}.cue"
        settings.write_text(write(record) + 'log: {\n\tlevel: "info"\n\tform: "json"\n}\n')
        self.killed = False
        self.child = Child(play.folder / f"{self.name}.log", self._says, self._ended)
        self.process = play.spawn(self.child, ["serve", str(settings)])

    def kill(self) -> None:
        if self.process is not None:
            self.killed = True
            self.at = self.door_at = None
            self.play.record(r.GatewayKilled(t=now_ns(self.play.reactor), gateway=self.name))
            self.process.signalProcess("KILL")

    def _says(self, line: str) -> None:
        what, _, where = line.partition(" ")
        host, _, port = where.rpartition(":")
        if what == "listening":
            self.port = int(port)
            self.at = (host, self.port)
            self.play.record(r.GatewayStarted(t=now_ns(self.play.reactor), gateway=self.name))
        elif what == "webdav":
            self.door_port = int(port)
            self.door_at = (host, self.door_port)
        self.said(what, host, port)
        self.play.came_up()

    def said(self, what: str, host: str, port: str) -> None:
        """A line of output: what listens where."""

    def serves(self) -> bool:
        return self.at is not None and (self.play.people is None or self.door_at is not None)

    def _ended(self, child: Child, code: int | None) -> None:
        if child is self.child:
            self.process, self.at, self.door_at = None, None, None
            self.exit = code
            if not self.killed and not self.play.ending:
                self.play.fail(f"gateway {self.name} ended by itself with code {code}; see {self.name}.log")
            self.play.process_over()


class RealPlay:
    """One run; `folder` keeps settings, logs and records. `over` is called when all processes have ended."""

    def __init__(
        self, day: Day, reactor: Any, folder: Path, over: Callable[[], None], people: int = 0
    ) -> None:
        """`people`: so many come to the WebDAV doors, in place of the day's own clients."""
        self.day = day
        self.reactor = reactor
        self.folder = folder
        self.over = over
        self.record = r.RecordFile(folder / "clients.jsonl")
        self.loop_watch = LoopWatch(reactor, CLIENTS, self.record)
        self.places = [self.place(index) for index in range(day.gateways)]
        addresses = {place.index: lambda place=place: place.at for place in self.places}
        doors = {place.index: lambda place=place: place.door_at for place in self.places}
        self.people = People(reactor, day, doors, self.record, people) if people else None
        self.load = Load(reactor, day, addresses, self.record)
        self.calls = [] if people else schedule(day)
        self.list_address = ""
        self.nodes: Any = None
        self.nodes_child: Child | None = None
        self.begun = False
        self.ending = False
        self.troubles: list[str] = []
        self.exits: list[int | None] = []
        self.start_time, self.end_time = START_TIME, END_TIME

    def place(self, index: int) -> Place:
        return Place(self, index)

    def start(self) -> None:
        for kept in [*self.folder.glob("g*.tree"), *self.folder.glob("g*.nodes")]:
            kept.unlink()  # of a run before: this run's nodes hold nothing of it
        (self.folder / "day.json").write_bytes(msgspec.json.format(msgspec.json.encode(self.day)))
        self.nodes_child = Child(self.folder / "nodes.log", self._list_is, self._nodes_ended)
        self.nodes = self.spawn(
            self.nodes_child,
            ["nodes", str(self.folder / "day.json"), "--wait", "--records", str(self.folder / "nodes.jsonl")],
        )
        self.reactor.callLater(self.start_time, self._look_at_start)
        self.loop_watch.start()

    def spawn(self, child: Child, words: list[str]) -> Any:
        return child.start(self.reactor, words)

    def fail(self, text: str) -> None:
        self.troubles.append(text)
        self._end()

    def _look_at_start(self) -> None:
        if not self.begun and not self.ending:
            self.fail(f"not all processes served within {self.start_time:g} s")

    def _list_is(self, line: str) -> None:
        if not line.startswith("list "):
            return
        self.list_address = line.removeprefix("list ").strip()
        for place in self.places:
            place.start()

    def came_up(self) -> None:
        if self.begun or not all(place.serves() for place in self.places):
            return
        self.begun = True
        if self.people is None:
            self.load.connect()
            self.reactor.callLater(WARM_UP, self._begin)
        else:
            self.people.everybody_comes = self._begin
            self.people.start()

    def _begin(self) -> None:
        self.nodes.write(b"go\n")
        for at, index, down in rolls(self.day):
            self.reactor.callLater(at, self.places[index].kill)
            self.reactor.callLater(at + down, self.places[index].start)
        self.struck()
        clients = self.people or self.load
        clients.finished = lambda: self.reactor.callLater(1.0, self.served)
        self.reactor.callLater(self.day.length_s + TAIL, self.served)
        if self.people is None:
            self.load.start(self.calls)

    def struck(self) -> None:
        """The day begins now."""

    def served(self) -> None:
        """Every job came to its end."""
        self._end()

    def _end(self) -> None:
        """Asks every gateway to drain, which must end it with code 0."""
        if self.ending:
            return
        self.ending = True
        self.load.stop()
        if self.people is not None:
            self.people.stop()
        self.leave()
        for place in self.places:
            if place.process is not None:
                place.process.signalProcess("TERM")
        self.reactor.callLater(self.end_time, self._kill_all)
        self.process_over()

    def leave(self) -> None:
        """The day is over; gateways are asked to drain next."""

    def _kill_all(self) -> None:
        for process in [self.nodes, *(place.process for place in self.places)]:
            if process is not None:
                self.troubles.append("a process did not end when it was asked to")
                process.signalProcess("KILL")

    def process_over(self) -> None:
        if self.ending and all(place.process is None for place in self.places) and self.nodes is not None:
            self.nodes.signalProcess("TERM")

    def _nodes_ended(self, child: Child, code: int | None) -> None:
        self.nodes = None
        if not self.ending:
            self.troubles.append(f"the nodes ended by themselves with code {code}; see nodes.log")
            self.ending = True
            for place in self.places:
                if place.process is not None:
                    place.process.signalProcess("KILL")
        self.troubles += [
            f"gateway {place.name} drained with exit code {place.exit}"
            for place in self.places
            if not place.killed and place.exit not in (0, None)
        ]
        self.loop_watch.stop()
        self.record.close()
        self.over()

    def records(self) -> list[Path]:
        return [self.folder / "clients.jsonl", self.folder / "nodes.jsonl"]
