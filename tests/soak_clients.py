"""The clients of a soak run, in a separate process: `python soak_clients.py` reads its configuration from standard
input and writes an event for each request, response and connection, one JSON line each, with times in ns of the
host's monotonic clock.
"""

import asyncio
import itertools
import json
import random
import sys
import time

from test_service import PING, read

from ochrecourse.resp import codec

SAMPLE_S = 0.01  # interval at which the lateness of the event loop is measured
NEGLIGIBLE_NS = 5_000_000
REDIAL_S = 0.02
PIPELINED = 4  # requests sent at once
STREAM_S = 0.06  # interval at which a stream sends requests, whether or not those before are answered
MAX_OPEN = 30  # requests of a stream without a response


class Clients:
    """All clients of one run. `ports`: of the gateways, by index; `deadlines_ms`: time-outs to choose from."""

    def __init__(self, seed, ports, length_s, kinds, crowd, deadlines_ms):
        self.deadlines_ms = deadlines_ms
        self.random_source = random.Random(f"{seed} clients")
        self.ports, self.kinds, self.crowd = ports, kinds, crowd
        self.ends_at = time.monotonic() + length_s
        self.numbers, self.connections = itertools.count(1), itertools.count(1)
        self.lines = []

    def record(self, event, **fields):
        self.lines.append({"event": event, "t": time.monotonic_ns(), **fields})

    def is_over(self):
        return time.monotonic() >= self.ends_at

    async def run(self):
        measurement = asyncio.create_task(self.measure_lateness())
        clients = [self.client(index, kind) for index, kind in enumerate(self.kinds)]
        await asyncio.gather(*clients, *(self.idle(index) for index in range(self.crowd)))
        measurement.cancel()
        for line in self.lines:
            print(json.dumps(line))

    async def measure_lateness(self):
        while True:
            due = time.monotonic_ns() + round(SAMPLE_S * 1e9)
            await asyncio.sleep(SAMPLE_S)
            late = time.monotonic_ns() - due
            if late > NEGLIGIBLE_NS:
                self.record("loop_late", late=late)

    async def dial(self, index):
        """Connects to the gateway of a client; returns None once the run is over."""
        while not self.is_over():
            try:
                return await asyncio.open_connection("127.0.0.1", self.ports[index % len(self.ports)])
            except OSError:
                await asyncio.sleep(REDIAL_S)
        return None

    async def idle(self, index):
        """An idle client: sends a PING, then waits until its connection ends, and reconnects."""
        while (streams := await self.dial(index)) is not None:
            reader, writer = streams
            try:
                writer.write(PING)
                await asyncio.wait_for(reader.read(), max(0.1, self.ends_at - time.monotonic()))
            except (OSError, TimeoutError):
                pass
            writer.close()

    async def client(self, index, kind):
        while (streams := await self.dial(index)) is not None:
            await ClientConnection(self, index % len(self.ports), kind, *streams).run()


class ClientConnection:
    """A connection of a client until its end. `kind`: one, pipeline, rest, slow, leave or stream."""

    def __init__(self, clients, gateway, kind, reader, writer):
        self.clients, self.kind, self.reader, self.writer = clients, kind, reader, writer
        self.gateway, self.connection = gateway, next(clients.connections)
        self.open = []  # ids of requests without a response, in order

    async def run(self):
        closed_by = "client"
        try:
            if self.kind == "stream":
                await self.stream()
            while not self.clients.is_over():
                await self.send(PIPELINED if self.kind == "pipeline" else 1)
                if self.kind == "leave":
                    await asyncio.sleep(0.02)
                    break
                while self.open:
                    await self.read_response()
                if self.kind == "rest":
                    if await asyncio.wait_for(self.reader.read(1), self.left_s()):
                        self.clients.record("stray", connection=self.connection)
                    closed_by = "gateway"
                    break
                await asyncio.sleep(self.clients.random_source.uniform(0.0, 0.05))
        except (asyncio.IncompleteReadError, ConnectionError):
            closed_by = "gateway"
        except TimeoutError:
            pass
        self.clients.record("closed", connection=self.connection, gateway=self.gateway, by=closed_by)
        self.writer.close()

    def left_s(self):
        return max(0.1, self.clients.ends_at - time.monotonic())

    async def stream(self):
        """Sends requests in pieces, each with the second half of one and the first half of the next."""
        reading = asyncio.create_task(self.read_responses())
        rest, fields = b"", None
        while not self.clients.is_over() and not reading.done():
            data, next_fields = self.new_request() if len(self.open) < MAX_OPEN else (b"", None)
            half = len(data) // 2
            if rest + data:
                self.writer.write(rest + data[:half])
            if fields is not None:
                self.open.append(fields["id"])
                self.clients.record("sent", **fields)
            rest, fields = data[half:], next_fields
            await asyncio.wait([reading], timeout=STREAM_S)  # so that the end is noticed when it comes
        if reading.done():
            await reading
        reading.cancel()

    async def read_responses(self):
        while True:
            await self.read_response()

    def new_request(self):
        """Returns a command, and the fields of its event; a stream's requests have the longest time-out."""
        random_source = self.clients.random_source
        deadlines_ms = self.clients.deadlines_ms[-1:] if self.kind == "stream" else self.clients.deadlines_ms
        number, timeout_ms = next(self.clients.numbers), random_source.choice(deadlines_ms)
        effect = random_source.choice(("safe", "safe", "keyed", "unsafe"))
        fields = {"id": number, "connection": self.connection, "gateway": self.gateway}
        data = command(number, timeout_ms, effect, random_source.randrange(2))
        return data, {**fields, "timeout_ms": timeout_ms, "effect": effect}

    async def send(self, count):
        data = b""
        for _ in range(count):
            command_bytes, fields = self.new_request()
            data += command_bytes
            self.open.append(fields["id"])
            if self.kind != "slow":
                self.clients.record("sent", **fields)
        if self.kind == "slow":
            for at in range(0, len(data), 40):
                if at:
                    await asyncio.sleep(0.03)
                if at + 40 >= len(data):  # its timeout starts with the last byte
                    self.clients.record("sent", **fields)
                self.writer.write(data[at : at + 40])
        else:
            self.writer.write(data)

    async def read_response(self):
        line = await self.reader.readuntil(b"\r\n")
        if line.startswith(b"$"):
            await self.reader.readexactly(int(line[1:]) + 2)
        if not self.open:
            self.clients.record("stray", connection=self.connection)
            return
        how = {b"$": "value", b"+": "value"}.get(line[:1], line[1:].split(b" ")[0].decode().strip())
        self.clients.record("answer", id=self.open.pop(0), how=how)


def command(number, timeout_ms, effect, shard):
    """Returns a client's command; each keyed request has a unique key."""
    if effect == "safe":
        return read(number, d=timeout_ms, shard=shard)
    product, key = ("mark", f",k={number:016x}") if effect == "keyed" else ("bind", "")
    fields = f"c={product},t=p0,d={timeout_ms}{key},volume=00000003b4d60021,units=2,shard={shard},hosts=3"
    return codec.encode_command(
        [b"BLK.WRITE", b"%016x" % (number + 7), b"%016x" % number, fields.encode(), b"new"]
    )


if __name__ == "__main__":
    asyncio.run(Clients(**json.load(sys.stdin)).run())
