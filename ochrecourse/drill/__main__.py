"""Drills the decisions: reads batches from standard input, writes one reply for each to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ochrecourse.decide import Host
from ochrecourse.drill import frames
from ochrecourse.drill.frames import BadFrame, Batch
from ochrecourse.interface import Leg, MissingValue

LONGEST_WAKE = 3_600_000_000_000  # ns; the wire takes no timer of more than 71 minutes


class Seat:
    """One instance: its decisions, the names in its load reports, and its earliest timer still to come."""

    def __init__(self, host: Host, load_names: list[str]) -> None:
        self.host = host
        self.load_names = load_names
        self.wake_at: int | None = None


def read_batch(stream: BinaryIO) -> tuple[int, int, int, Batch] | None:
    head = stream.read(frames.HEADER.size)
    if not head:
        return None
    if len(head) < frames.HEADER.size:
        raise BadFrame("input ended inside a header")
    number, count, size, clock = frames.HEADER.unpack(head)
    body = stream.read(size)
    if len(body) < size:
        raise BadFrame(f"input ended inside batch {number}")
    return number, count, frames.to_ns(clock), Batch(body)


def take_record(seats: dict[int, Seat], batch: Batch, now: int) -> int:
    """Reports one record to the instance that it names, and returns that instance."""
    code, gateway = batch.tag()
    if code == frames.CONFIGURE:
        seed, values = batch.start()
        names = [name for name in values.get("Stats.Fields", "").split(",") if name]
        seats[gateway] = Seat(Host(values, seed, now), names)
        return gateway
    seat = seats.get(gateway)
    host = seat.host if seat else None
    if code == frames.CRASH:
        seats.pop(gateway, None)
    elif code == frames.LIST:
        kind, entries = batch.nodes()
        if host:
            host.list_came(kind, entries, now)
    elif code == frames.JOB:
        job = batch.job()
        if host:
            host.job_came(job, now)
    elif code == frames.LEG_END:
        end = batch.leg_end(seat.load_names if seat else [])
        if host:
            host.leg_ended(end, now)
    elif code == frames.DUE:
        token = batch.token()
        if seat and token == seat.wake_at:
            seat.wake_at = None
    elif code == frames.GONE:
        ref = batch.number()
        if host:
            host.job_gone(ref)
    elif code == frames.STREAM:
        ref = batch.stream()
        if host:
            host.stream_began(ref)
    elif code == frames.PROBED:
        batch.skip_probe()
    elif code == frames.MESSAGE:
        batch.skip_message()
    else:
        raise BadFrame(f"unknown code {code}")
    return gateway


def pull(gateway: int, seat: Seat, now: int, out: list[bytes]) -> None:
    """Writes each decision of one instance, and a timer where it wants to be asked sooner than set."""
    while (said := seat.host.decide(now)) is not None:
        out.append(frames.answer(gateway, said))
        if isinstance(said, Leg):
            seat.host.attempt_written(said.job, now)  # actions take effect at the batch's time
    due = min(max(seat.host.next_due(), now + 1000), now + LONGEST_WAKE)
    if seat.wake_at is None or due < seat.wake_at:
        seat.wake_at = due
        out.append(frames.wake(gateway, due - now, due))


def last_line(trouble: Exception) -> int:
    trace = trouble.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    return trace.tb_lineno if trace else 0


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    seats: dict[int, Seat] = {}
    while (read := read_batch(source)) is not None:
        number, count, now, batch = read
        touched: dict[int, None] = {}
        out: list[bytes] = []
        gateway = 0
        try:
            for _ in range(count):
                gateway = take_record(seats, batch, now)
                touched[gateway] = None
            if batch.at != len(batch.body):
                raise BadFrame(f"batch {number} holds more than its {count} records")
            for gateway in touched:
                if gateway in seats:
                    pull(gateway, seats[gateway], now, out)
        except (BadFrame, MissingValue):
            raise
        except Exception as trouble:  # any failure inside the decisions is told, not swallowed
            out = [frames.fault(gateway, f"{type(trouble).__name__}: {trouble} (line {last_line(trouble)})")]
        body = b"".join(out)
        sink.write(frames.REPLY.pack(number, len(out), len(body)) + body)
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (BadFrame, MissingValue) as trouble:
        print(f"ochrecourse drill: {trouble}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
