"""Records the traffic of a virtual network as readable transcripts.

Bytes are recorded as they are written and decoded only when the transcript is made, so ports can be named
after everything has started. A line contains: ms since the first event, sender -> receiver, message. The
decoders are independent of the code under test, except for BGP, whose message fields are readable as they are.
"""

import base64
import ipaddress
import json
import re

from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from ochrecourse.bgp import codec as bgp_codec
from ochrecourse.lab.virtual import VirtualNetwork, VirtualTransport

MAX_SHOWN_BYTES = 120  # bytes of a body that is shown; of a longer one only the size is shown
MAX_LINE_LENGTH = 800  # characters of a line that is shown as text


class Approved(SingleFileSnapshotExtension):
    """One text file per test."""

    file_extension = "txt"
    _write_mode = WriteMode.TEXT


def short(data):
    return f'"{repr(bytes(data))[2:-1]}"' if len(data) <= MAX_SHOWN_BYTES else f"<{len(data)} bytes>"


class Framed:
    """JSON header lines followed by bodies: clients, nodes, list server, gateways of a fleet."""

    def __init__(self):
        self.data, self.header = b"", None

    def feed(self, data):
        self.data += data
        while True:
            if self.header is None:
                line, separator, rest = self.data.partition(b"\r\n")
                if not separator:
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
            yield self.describe(header, body)

    def describe(self, header, body):
        fields = " ".join(f"{k}={format_value(v)}" for k, v in header.items() if k not in ("m", "body"))
        is_list = header["m"] == "nodes"
        body_text = f" | {body.decode() if is_list else short(body)}" if body else ""
        return f"{header['m']} {fields}".rstrip() + body_text


class Fleet(Framed):
    """Links of a fleet; omits heartbeat frames without a full heartbeat, and shows statuses by key only."""

    def describe(self, header, body):
        header.pop("n", None)
        if header["m"] == "rows":
            full = [(name, more) for name, *_, more in json.loads(body) if more and more.get("life")]
            rows = (
                f"{name} life={more['life']} zone={more['zone']} seq={more['seq']} tells={','.join(more.get('told', ()))}"
                for name, more in full
            )
            return "rows | " + "; ".join(rows) if full else ""
        fields = " ".join(f"{k}={format_value(v)}" for k, v in header.items() if k not in ("m", "body"))
        return f"{header['m']} {fields}".rstrip() + (f" | {decode_base64(body)}" if body else "")


def decode_base64(body):
    """JSON in which base64 of printable text is decoded."""

    def decode(match):
        try:
            text = base64.b64decode(match[1], validate=True).decode()
        except ValueError:
            return match[0]
        return f"'{text}'" if text and text.isprintable() else match[0]

    return re.sub(r'"([A-Za-z0-9+/]{2,}={0,2})"', decode, body.decode("utf-8", "backslashreplace"))


def format_value(value):
    return json.dumps(value) if isinstance(value, dict | list | bool) else str(value)


class Resp:
    """RESP2 in either direction."""

    def __init__(self):
        self.data = b""

    def feed(self, data):
        self.data += data
        while (result := self.parse_one(self.data)) is not None:
            text, self.data = result
            yield text

    def parse_one(self, data):
        line, separator, rest = data.partition(b"\r\n")
        if not separator:
            return None
        if line[:1] == b"$" and line != b"$-1":
            size = int(line[1:])
            return (short(rest[:size]), rest[size + 2 :]) if len(rest) >= size + 2 else None
        if line[:1] == b"*":
            words = []
            for _ in range(int(line[1:])):
                result = self.parse_one(rest)
                if result is None:
                    return None
                words.append(result[0])
                rest = result[1]
            return " ".join(words), rest
        return line.decode("utf-8", "backslashreplace"), rest


class Text:
    """HTTP as written, with base64 of the registry's keys and values decoded."""

    def feed(self, data):
        head, separator, body = data.partition(b"\r\n\r\n")
        parts = [*head.split(b"\r\n"), body] if separator else data.split(b"\r\n")
        lines = []
        for part in parts:
            text = decode_base64(part) if part[:1] == b"{" else part.decode("utf-8", "backslashreplace")
            full = (
                text if len(text) <= MAX_LINE_LENGTH and text.replace("\n", "").isprintable() else short(part)
            )
            lines += full.split("\n")
        yield "\n".join(line for line in lines if line)


class Bgp:
    """BGP messages by the field names of the codec; omits empty fields."""

    def __init__(self):
        self.decoder = bgp_codec.Decoder()

    def feed(self, data):
        self.decoder.feed(data)
        while (message := self.decoder.next()) is not None:
            self.decoder.four_bytes = True
            yield f"{type(message).__name__.lower()} {self.fields(message)}".rstrip()

    def fields(self, message):
        """The fields with a value, nested ones included."""
        words = []
        for name in message.__dataclass_fields__:
            value = getattr(message, name)
            if hasattr(value, "__dataclass_fields__"):
                words.append(self.fields(value))
            elif name == "identifier":
                words.append(f"{name}={ipaddress.ip_address(value)}")
            elif name != "capabilities" and value not in (None, (), ""):
                is_list = isinstance(value, tuple)
                words.append(f"{name}={','.join(map(str, value)) if is_list else value}")
        return " ".join(words)


class Connection:
    """One connection: the port that was dialled, and its number among the connections to that port."""

    def __init__(self, port, number):
        self.port, self.number = port, number


class Tap:
    """Records all connections of virtual networks from its creation on."""

    def __init__(self, monkeypatch):
        self.events, self.named_ports, self.connections, self.dialled = [], {}, [], None
        tap, connect, init = self, VirtualNetwork._connect, VirtualTransport.__init__
        write, close = VirtualTransport.write, VirtualTransport._close
        close_write = VirtualTransport.loseWriteConnection

        def record_connect(network, home, host, port, *more):
            earlier = sum(each.port == port for each in tap.connections)
            tap.dialled = connection = Connection(port, earlier + 1)
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

        def record_transport(transport, *words, **more):
            init(transport, *words, **more)
            transport.tapped = (tap.dialled, tap.sides.pop(0))

        def record_write(transport, data):
            if not (transport.lost or transport.disconnecting or not data):
                tap.events.append((transport.network, transport.network.now, *transport.tapped, bytes(data)))
            write(transport, data)

        def record_close(transport):
            if not transport.lost:
                tap.events.append(
                    (transport.network, transport.network.now, *transport.tapped, "ends the connection")
                )
            close(transport)

        def record_half_close(transport):
            if not (transport.lost or transport.disconnecting or transport.shut):
                tap.events.append(
                    (transport.network, transport.network.now, *transport.tapped, "ends its sending side")
                )
            close_write(transport)

        monkeypatch.setattr(VirtualNetwork, "_connect", record_connect)
        monkeypatch.setattr(VirtualTransport, "__init__", record_transport)
        monkeypatch.setattr(VirtualTransport, "write", record_write)
        monkeypatch.setattr(VirtualTransport, "_close", record_close)
        monkeypatch.setattr(VirtualTransport, "loseWriteConnection", record_half_close)

    def name_port(self, port, server, client, decoder_type):
        """Names the server and the client of a port, and the decoder of their protocol."""
        self.named_ports[port] = (server, client, decoder_type)

    def note(self, network, text):
        """Adds a line for an event that no connection shows."""
        self.events.append((network, network.now, None, True, text))

    def text(self, description):
        """The transcript. Connections to ports without names are omitted."""
        lines, decoders, start = [" ".join(description.split()), ""], {}, None
        for _, now, connection, forward, event in self.events:
            if connection is not None and connection.port not in self.named_ports:
                continue
            start = now if start is None else start
            at = f"{(now - start) * 1000:9.1f}"
            if connection is None:
                lines.append(f"{at}  -- {event}")
                continue
            server, client, decoder_type = self.named_ports[connection.port]
            client += f" ({connection.number})" if connection.number > 1 else ""
            direction = f"{client} -> {server}" if forward else f"{server} -> {client}"
            if isinstance(event, str):
                lines.append(f"{at}  {direction}  {event}")
                continue
            decoder = decoders.setdefault((connection, forward), decoder_type())
            for text in decoder.feed(event):
                first, *more = text.split("\n")
                if first:
                    lines.append(f"{at}  {direction}  {first}")
                lines += [" " * 13 + each for each in more]
        return "\n".join(lines) + "\n"
