"""Storage nodes in one process: prints their ports, and writes when each command came to a log.

    python -m floods.nodes LOG

A read of many units has the largest value. Commands of a connection are answered in order.
"""

import asyncio
import sys
import time

from floods.commands import LARGE_UNITS, LARGEST_VALUE, NODES
from ochrecourse.resp.codec import CommandParser

WORK_SECONDS = 0.005
LARGE_FIELD = b"units=%d," % LARGE_UNITS
LAG_CHECK_SECONDS = 0.01


async def serve(reader, writer, log):
    parser = CommandParser()
    try:
        while data := await reader.read(65536):
            came = time.monotonic()
            parser.feed(data)
            while (words := parser.next()) is not None:
                if words[0].startswith(b"BLK."):
                    log.write(f"{came:.6f} {words[2].decode()}\n")
                await asyncio.sleep(WORK_SECONDS)
                writer.write(answer(words))
                await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


def answer(words):
    if not words[0].startswith(b"BLK."):
        return b"+PONG\r\n" if words[0] == b"PING" else b"+OK\r\n"
    value = b"v" * LARGEST_VALUE if words[0] == b"BLK.READ" and LARGE_FIELD in words[3] else words[2]
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


async def watch_lag(log):
    """Writes how late this process itself is, so that its own lateness is not taken for the gateway's."""
    while True:
        due = time.monotonic() + LAG_CHECK_SECONDS
        await asyncio.sleep(LAG_CHECK_SECONDS)
        late = time.monotonic() - due
        if late > LAG_CHECK_SECONDS:
            log.write(f"{time.monotonic():.6f} lag {late:.6f}\n")


async def main(path):
    with open(path, "w", buffering=1) as log:
        servers = [
            await asyncio.start_server(lambda r, w: serve(r, w, log), "127.0.0.1", 0, backlog=1024)
            for _ in range(NODES)
        ]
        print(*(each.sockets[0].getsockname()[1] for each in servers), flush=True)
        await watch_lag(log)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
