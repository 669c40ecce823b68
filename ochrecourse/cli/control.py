"""The control socket of a daemon (a Unix socket that only its owner may use), and the commands that speak to
it.

One JSON object a line each way: `{"do": "show"}` is answered with the report, `drain` and `undrain` with what
was done.
"""

from __future__ import annotations

import json
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ochrecourse.cli.handover import Sockets
from ochrecourse.gateway.socket_handover import Handover, HandoverStep

LONGEST_LINE = 1 << 18  # bytes; holds an append of the longest entry
TAKE_BACK = 0.5  # s between tries to take a place in the fleet back from a process that ended
MOST_READ = 10_000  # entries that one read hands out
FLEET = ("fleet", "append", "read", "compact", "dump", "zone", "give up", "form")


def serve_control(reactor: Any, path: str, daemon: Any, sockets: Sockets) -> None:
    """Listens on a path with mode 0600; `sockets` may be handed over. Raises CannotListenError."""
    from twisted.internet.protocol import Factory
    from twisted.protocols.basic import LineReceiver

    handover = Handover(daemon.record)

    class Control(LineReceiver):
        delimiter = b"\n"
        MAX_LENGTH = LONGEST_LINE
        transport: Any

        def lineReceived(self, line: bytes) -> None:
            asked = asked_in(line)
            if asked == "hand over":
                self._hand_over()
            elif asked == "release":
                self._release()
            elif asked == "accepts":
                self._accepts()
            else:
                self._say(answer(daemon, line))

        def connectionLost(self, reason: Any = None) -> None:
            if handover.successor_lost(self):
                take_back(reactor, daemon, sockets, lambda: handover.step is HandoverStep.NONE)

        def _hand_over(self) -> None:
            why = handover.offer(self, daemon.gateway.shutdown.accepts_requests())
            if why:
                self._say({"error": f"the sockets are not handed over: {why}"})
                return
            for port in sockets.ports.values():
                self.transport.sendFileDescriptor(port.fileno())
            self._say({"sockets": list(sockets.ports)})

        def _release(self) -> None:
            if not handover.release(self):
                self._say({"error": "the sockets were not handed over"})
                return
            sockets.keep("fleet")
            daemon.release_fleet()
            self._say({"released": True})

        def _accepts(self) -> None:
            if not handover.complete(self):
                self._say({"error": "the sockets were not handed over"})
                return
            sockets.close()
            sockets.give_back()
            # The path must be free before the other process listens there: its own would be unlinked else.
            listening.stopListening().addCallback(lambda _: self._left())

        def _left(self) -> None:
            self._say({"done": True})
            daemon.hand_over()

        def _say(self, told: dict[str, Any]) -> None:
            self.sendLine(json.dumps(told).encode())  # type: ignore[no-untyped-call]

    Path(path).unlink(missing_ok=True)  # left behind by a kill
    factory = Factory.forProtocol(Control)
    factory.noisy = False
    listening = reactor.listenUNIX(path, factory, mode=0o600)


def take_back(reactor: Any, daemon: Any, sockets: Sockets, alone: Callable[[], bool]) -> None:
    """The process that was to take over ended first: its place in the fleet is this one's again, as long as
    no other has asked for it meanwhile (`alone`) and this one does not leave."""
    from twisted.internet.error import CannotListenError

    from ochrecourse.storage.journal import JournalError

    if not alone() or not daemon.gateway.shutdown.accepts_requests():
        return
    try:
        daemon.rejoin_fleet(sockets.listen)
    except (JournalError, OSError, CannotListenError) as trouble:
        # The other process may still be ending: its lock goes with it.
        daemon.host.log_event("fleet not joined again", why=str(trouble))
        reactor.callLater(TAKE_BACK, take_back, reactor, daemon, sockets, alone)


def asked_in(line: bytes) -> str:
    """What a line asks for; empty if it is none."""
    try:
        do = json.loads(line)["do"]
    except (ValueError, TypeError, KeyError, RecursionError):
        return ""
    return do if isinstance(do, str) else ""


def answer(daemon: Any, line: bytes) -> dict[str, Any]:
    """What a line asks for."""
    do = asked_in(line)
    if not do:
        return {"error": 'a line is {"do": "show"}, drain, undrain, members, accept, or a word of the fleet'}
    if do in FLEET:
        return fleet_answer(daemon.fleet_member, do, json.loads(line))
    if do == "members":
        members: dict[str, Any] = daemon.endpoint_report()
        return members
    if do == "accept":
        return {"done": daemon.accept_registry(), "stage": "the registry is read anew"}
    if do in ("show", "drain", "undrain") and daemon.speaker is None:
        return {"error": "this gateway's settings have no part bgp"}
    if do == "show":
        report: dict[str, Any] = daemon.speaker.report()
        return report
    if do == "drain":
        return {"done": daemon.speaker.begin_drain(), "stage": daemon.speaker.drain.stage.name.lower()}
    if do == "undrain":
        return {"done": daemon.speaker.undo_drain(), "stage": daemon.speaker.drain.stage.name.lower()}
    words = ", ".join(("show", "drain", "undrain", "members", "accept", *FLEET))
    return {"error": f"nothing is done for {do!r}; there are {words}"}


def fleet_answer(part: Any, do: str, asked: Any) -> dict[str, Any]:
    """What one asks of the fleet's log: the report, an append, a read from a cursor, a value in place of what
    was read, a channel whole."""
    if part is None:
        return {"error": "this gateway's settings have no part fleet, or it is just handed over"}
    if do == "fleet":
        report: dict[str, Any] = part.report()
        return report
    if do == "zone":
        return zone_answer(part, asked)
    if do == "give up":
        return give_up_answer(part, asked.get("name"))
    if do == "form":
        return form_answer(part, asked)
    channel = asked.get("channel")
    if not isinstance(channel, str):
        return {"error": f"{do} names no channel"}
    if do == "dump":
        return {"channel": channel, "dump": part.dump(channel).decode()}
    from ochrecourse.fleet.entries import Stamp
    from ochrecourse.fleet.log import Refused
    from ochrecourse.fleet.channel_readers import delivery_as_json

    try:
        if do == "compact":
            upto = asked.get("upto")
            place = isinstance(upto, list) and [type(each) for each in upto] == [int, int]
            if "value" not in asked or not place:
                return {"error": "compact takes a value, and up to where: `at` of an entry that was read"}
            part.compact(channel, Stamp(*upto), asked["value"])
            return {"done": True}
        if do == "append":
            if "value" not in asked:
                return {"error": "append names no value"}
            entry = part.append(channel, asked["value"])
            return {"done": True, "writer": entry.writer, "life": entry.life, "seq": entry.seq,
                    "at": list(entry.at)}  # fmt: skip
        cursor, most = asked.get("cursor", ""), asked.get("most", 100)
        if not isinstance(cursor, str) or type(most) is not int or not 1 <= most <= MOST_READ:
            return {"error": f"read takes a cursor as text and most from 1 to {MOST_READ}"}
        told, cursor = part.read(channel, cursor, most)
    except (Refused, OSError) as trouble:
        return {"error": str(trouble)}
    return {"entries": [delivery_as_json(each) for each in told], "cursor": cursor}


def form_answer(part: Any, asked: Any) -> dict[str, Any]:
    """Which form is in force, and what is in the way of the next; or a person raises it."""
    from ochrecourse.fleet.log import Refused

    if "form" not in asked:
        told: dict[str, Any] = part.forms.report()
        newest = told["speaks"][1]
        return {**told, "waits": part.form_waits(newest) if newest > told["in_force"] else ""}
    if type(asked["form"]) is not int:
        return {"error": "form takes a whole number"}
    try:
        entry = part.raise_form(asked["form"])
    except (Refused, OSError) as trouble:
        return {"error": str(trouble)}
    return {"done": True, "writer": entry.writer, "seq": entry.seq}


def zone_answer(part: Any, asked: Any) -> dict[str, Any]:
    """A person leaves a zone, for all gateways that this one reaches, or takes it back."""
    from ochrecourse.fleet.log import Refused

    zone = asked.get("zone")
    wanted = (
        part.zone_watch.by_hand(zone, asked.get("standing"))
        if part.zone_watch and type(zone) is int
        else None
    )
    if wanted is None:
        return {"error": 'zone takes a number of a zone and the standing "left", "returning" or "in"'}
    try:
        entry = part.append(*wanted)
    except (Refused, OSError) as trouble:
        return {"error": str(trouble)}
    return {"done": True, "writer": entry.writer, "seq": entry.seq}


def give_up_answer(part: Any, name: Any) -> dict[str, Any]:
    """A person says that a gateway does not come back, so that the fleet does not wait for it."""
    from ochrecourse.fleet.log import Refused

    if not isinstance(name, str):
        return {"error": "give up takes the name of a gateway"}
    try:
        entry = part.give_up(name)
    except (Refused, OSError) as trouble:
        return {"error": str(trouble)}
    return {"done": True, "writer": entry.writer, "seq": entry.seq}


def ask(path: Path, do: str) -> dict[str, Any]:
    """Asks a daemon; what goes wrong goes to standard error and ends the command with 2."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as end:
            end.settimeout(5)
            end.connect(str(path))
            end.sendall(json.dumps({"do": do}).encode() + b"\n")
            data = b""
            while not data.endswith(b"\n"):
                got = end.recv(65_536)
                if not got:
                    break
                data += got
        told: dict[str, Any] = json.loads(data)
    except (OSError, ValueError) as trouble:
        click.echo(f"{path}: no gateway answers there: {trouble}", err=True)
        sys.exit(2)
    if "error" in told:
        click.echo(told["error"], err=True)
        sys.exit(2)
    return told


@click.group()
def bgp() -> None:
    """Show, drain and undrain the service addresses of a running gateway.

    SOCKET is its `gateway.control`.
    """


@bgp.command()
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The whole report as JSON.")
def show(control: Path, as_json: bool) -> None:
    """Peers, addresses, and why each stands as it does."""
    told = ask(control, "show")
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return
    click.echo(f"drain      {told['drain']}")
    for each in told["addresses"]:
        why, standing = ", ".join(each["reasons"]), f"{each['standing']} for {each['for_s']} s"
        click.echo(f"address    {each['network']}: {standing} ({why}); {each['changes']} changes")
    for each in told["peers"]:
        last = f"; last: {each['last']}" if each["last"] else ""
        routes = ", ".join(each["told"]) or "nothing"
        click.echo(f"peer       {each['name']}: {each['state']} for {each['since_s']} s, told {routes}{last}")


@bgp.command()
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
def drain(control: Path) -> None:
    """Last choice, withdraw, finish what is held, leave."""
    _did(ask(control, "drain"))


@bgp.command()
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
def undrain(control: Path) -> None:
    """Take a drain back, as long as jobs are still taken."""
    _did(ask(control, "undrain"))


@click.group()
def members() -> None:
    """Show the list of nodes that a running gateway holds; accept a registry that went back.

    SOCKET is its `gateway.control`.
    """


@members.command("show")
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The whole report as JSON.")
def show_members(control: Path, as_json: bool) -> None:
    """Where the list comes from, how old it is, and its nodes."""
    told = ask(control, "members")
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return
    for line in member_lines(told):
        click.echo(line)


@members.command()
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
@click.option("--seconds", default=1.0, help="Between looks.")
@click.option("--looks", default=0, help="How many; 0: until it is ended.")
def watch(control: Path, seconds: float, looks: int) -> None:
    """Show what changes in the list, line by line."""
    before: dict[int, Any] = {}
    count = 0
    while not looks or count < looks:
        if count:
            time.sleep(seconds)
        count += 1
        nodes = {each["node"]: each for each in ask(control, "members")["nodes"]}
        for number in sorted(before.keys() | nodes.keys()):
            old, new = before.get(number), nodes.get(number)
            if new is None:
                click.echo(f"node {number} is gone")
            elif old is None or any(old[name] != new[name] for name in ("health", "address", "shard")):
                click.echo(f"node {number} is {new['health']} at {new['address']}, shard {new['shard']}")
        sys.stdout.flush()
        before = nodes


@members.command()
@click.argument("control", metavar="SOCKET", type=click.Path(path_type=Path))
def accept(control: Path) -> None:
    """Take the registry as it is, though it went back or is another one."""
    _did(ask(control, "accept"))


def member_lines(told: dict[str, Any]) -> list[str]:
    """The report in words."""
    age = "never came in this life" if told["age_s"] is None else f"{told['age_s']} s old"
    line = "connected" if told["connected"] else "not connected"
    lines = [f"list       from a {told['from']}, {line}, version {told['epoch']}, {age}"]
    if told.get("not_believed"):
        lines.append(f"not believed: {told['not_believed']}; accept it if the registry was restored")
    if told["lease"] is not None:
        lines.append(f"lease      {'held' if told['lease'] else 'not held'}")
    for each in told["nodes"]:
        where = f"{each['address']}, shard {each['shard']}, zone {each['zone']}"
        lines.append(f"node       {each['node']}: {each['health']} at {where}")
    for each in told["conflicts"]:
        span = "" if each["for_s"] is None else f", for {each['for_s']} s"
        lines.append(f"conflict   {each['node']}: {each['what']}{span}")
    return [*lines, *(f"note       {why}: {count}" for why, count in told.get("notes", {}).items())]


def _did(told: dict[str, Any]) -> None:
    click.echo(f"{'done' if told['done'] else 'nothing was done'}: {told['stage']}")
    sys.exit(0 if told["done"] else 1)
