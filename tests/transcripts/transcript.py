"""A tap on the virtual network: what crosses each connection, as text that a person reads.

What is written is kept as it is and told apart only when the text is made, so that places may be named once
everything stands. A line is: ms since the story began, from -> to, what was said. The decoders are made here
and not taken from the code that is shown, but for messages whose own words are the plainest telling.
"""

import base64
import ipaddress
import json
import re

from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from ochrecourse.bgp import codec as bgp_codec
from ochrecourse.lab.virtual import VirtualNetwork, VirtualTransport

LONGEST = 120  # bytes of a body that are shown; of a longer one its size is
LONGEST_LINE = 800  # characters


class Approved(SingleFileSnapshotExtension):
    """A text file for each story."""

    file_extension = "txt"
    _write_mode = WriteMode.TEXT


def short(data):
    return f'"{repr(bytes(data))[2:-1]}"' if len(data) <= LONGEST else f"<{len(data)} bytes>"


class Framed:
    """Header lines of JSON with raw bytes behind them: clients, nodes, list server, gateways of a fleet."""

    def __init__(self):
        self.data, self.header = b"", None

    def feed(self, data):
        self.data += data
        while True:
            if self.header is None:
                line, found, rest = self.data.partition(b"\r\n")
                if not found:
                    if len(self.data) > 4096:
                        yield f"{len(self.data)} bytes without an end of line"
                        self.data = b""
                    return
                self.data = rest
                try:
                    self.header = json.loads(line)
                    self.header["m"]
                except (ValueError, TypeError, KeyError):
                    self.header = None
                    yield f"no message: {short(line)}"
                    continue
            size = self.header.get("body", 0)
            if len(self.data) < size:
                return
            body, self.data = self.data[:size], self.data[size:]
            header, self.header = self.header, None
            yield self.told(header, body)

    def told(self, header, body):
        fields = " ".join(f"{k}={plain(v)}" for k, v in header.items() if k not in ("m", "body"))
        listed = header["m"] == "nodes"
        behind = f" | {body.decode() if listed else short(body)}" if body else ""
        return f"{header['m']} {fields}".rstrip() + behind


class Fleet(Framed):
    """As gateways of a fleet talk; beats that bring no whole row are left out, and what a row tells is named only."""

    def told(self, header, body):
        header.pop("n", None)
        if header["m"] == "rows":
            whole = [(name, more) for name, *_, more in json.loads(body) if more and more.get("life")]
            rows = (
                f"{name} life={more['life']} zone={more['zone']} seq={more['seq']} tells={','.join(more.get('told', ()))}"
                for name, more in whole
            )
            return "rows | " + "; ".join(rows) if whole else ""
        fields = " ".join(f"{k}={plain(v)}" for k, v in header.items() if k not in ("m", "body"))
        return f"{header['m']} {fields}".rstrip() + (f" | {unpacked(body)}" if body else "")


def unpacked(body):
    """JSON with the base64 in it made readable where it holds text."""

    def readable(found):
        try:
            text = base64.b64decode(found[1], validate=True).decode()
        except ValueError:
            return found[0]
        return f"'{text}'" if text and text.isprintable() else found[0]

    return re.sub(r'"([A-Za-z0-9+/]{2,}={0,2})"', readable, body.decode("utf-8", "backslashreplace"))


def plain(value):
    return json.dumps(value) if isinstance(value, dict | list | bool) else str(value)


class Resp:
    """RESP2 in either direction."""

    def __init__(self):
        self.data = b""

    def feed(self, data):
        self.data += data
        while (got := self.one(self.data)) is not None:
            text, self.data = got
            yield text

    def one(self, data):
        line, found, rest = data.partition(b"\r\n")
        if not found:
            return None
        if line[:1] == b"$" and line != b"$-1":
            size = int(line[1:])
            return (short(rest[:size]), rest[size + 2 :]) if len(rest) >= size + 2 else None
        if line[:1] == b"*":
            words = []
            for _ in range(int(line[1:])):
                got = self.one(rest)
                if got is None:
                    return None
                words.append(got[0])
                rest = got[1]
            return " ".join(words), rest
        return line.decode("utf-8", "backslashreplace"), rest


class Text:
    """HTTP as it is written; base64 of the registry's keys and values is made readable."""

    def feed(self, data):
        head, found, body = data.partition(b"\r\n\r\n")
        parts = [*head.split(b"\r\n"), body] if found else data.split(b"\r\n")
        lines = []
        for part in parts:
            text = unpacked(part) if part[:1] == b"{" else part.decode("utf-8", "backslashreplace")
            whole = (
                text if len(text) <= LONGEST_LINE and text.replace("\n", "").isprintable() else short(part)
            )
            lines += whole.split("\n")
        yield "\n".join(line for line in lines if line)


class Bgp:
    """BGP messages by the speaker's own words, less what they leave open."""

    def __init__(self):
        self.decoder = bgp_codec.Decoder()

    def feed(self, data):
        self.decoder.feed(data)
        while (message := self.decoder.next()) is not None:
            self.decoder.four_bytes = True
            yield f"{type(message).__name__.lower()} {self.fields(message)}".rstrip()

    def fields(self, told):
        """Fields that say something, with what is inside them."""
        words = []
        for name in told.__dataclass_fields__:
            value = getattr(told, name)
            if hasattr(value, "__dataclass_fields__"):
                words.append(self.fields(value))
            elif name == "identifier":
                words.append(f"{name}={ipaddress.ip_address(value)}")
            elif name != "capabilities" and value not in (None, (), ""):
                listed = isinstance(value, tuple)
                words.append(f"{name}={','.join(map(str, value)) if listed else value}")
        return " ".join(words)


class Connection:
    """One connection: the port that was dialled, and how many were made to it before."""

    def __init__(self, port, number):
        self.port, self.number = port, number


class Tap:
    """Hears all connections of a virtual network from when it is made."""

    def __init__(self, monkeypatch):
        self.events, self.places, self.connections, self.dialled = [], {}, [], None
        tap, connect, made = self, VirtualNetwork._connect, VirtualTransport.__init__
        write, close = VirtualTransport.write, VirtualTransport._close
        shut = VirtualTransport.loseWriteConnection

        def connecting(network, home, host, port, *more):
            ways = sum(each.port == port for each in tap.connections)
            tap.dialled = connection = Connection(port, ways + 1)
            tap.connections.append(connection)
            tap.events.append(
                (
                    network,
                    network.now,
                    connection,
                    True,
                    "connects" if port in network.ports else "is refused",
                )
            )
            tap.sides = [True, False]
            connect(network, home, host, port, *more)

        def making(transport, *words, **more):
            made(transport, *words, **more)
            transport.tapped = (tap.dialled, tap.sides.pop(0))

        def writing(transport, data):
            if not (transport.lost or transport.disconnecting or not data):
                tap.events.append((transport.network, transport.network.now, *transport.tapped, bytes(data)))
            write(transport, data)

        def closing(transport):
            if not transport.lost:
                tap.events.append(
                    (transport.network, transport.network.now, *transport.tapped, "ends the connection")
                )
            close(transport)

        def shutting(transport):
            if not (transport.lost or transport.disconnecting or transport.shut):
                tap.events.append(
                    (transport.network, transport.network.now, *transport.tapped, "ends its sending side")
                )
            shut(transport)

        monkeypatch.setattr(VirtualNetwork, "_connect", connecting)
        monkeypatch.setattr(VirtualTransport, "__init__", making)
        monkeypatch.setattr(VirtualTransport, "write", writing)
        monkeypatch.setattr(VirtualTransport, "_close", closing)
        monkeypatch.setattr(VirtualTransport, "loseWriteConnection", shutting)

    def place(self, port, server, client, talk):
        """Who listens at a port, who dials it, and how they talk."""
        self.places[port] = (server, client, talk)

    def note(self, network, text):
        """A line of the story's own, for what no connection shows."""
        self.events.append((network, network.now, None, True, text))

    def text(self, story):
        """The transcript. Connections to ports that have no place are left out."""
        lines, talks, start = [" ".join(story.split()), ""], {}, None
        for _, now, connection, forward, what in self.events:
            if connection is not None and connection.port not in self.places:
                continue
            start = now if start is None else start
            at = f"{(now - start) * 1000:9.1f}"
            if connection is None:
                lines.append(f"{at}  -- {what}")
                continue
            server, client, talk = self.places[connection.port]
            client += f" ({connection.number})" if connection.number > 1 else ""
            who = f"{client} -> {server}" if forward else f"{server} -> {client}"
            if isinstance(what, str):
                lines.append(f"{at}  {who}  {what}")
                continue
            decoder = talks.setdefault((connection, forward), talk())
            for told in decoder.feed(what):
                first, *more = told.split("\n")
                if first:
                    lines.append(f"{at}  {who}  {first}")
                lines += [" " * 13 + each for each in more]
        return "\n".join(lines) + "\n"
