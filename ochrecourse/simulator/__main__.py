"""Serves the simulator: reads batches from standard input, writes one reply for each to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.simulator import frames
from ochrecourse.simulator.frames import BadFrame, Batch
from ochrecourse.interface import Attempt, MissingSettingError

LONGEST_WAKE = 3_600_000_000_000  # ns; the wire takes no timer of more than 71 minutes


class Instance:
    """One instance: its decisions, the names in its load reports, and its earliest timer still to come."""

    def __init__(self, scheduler: Scheduler, load_names: list[str]) -> None:
        self.scheduler = scheduler
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


def take_record(instances: dict[int, Instance], batch: Batch, now: int) -> int:
    """Reports one record to the instance that it names, and returns that instance."""
    code, gateway = batch.tag()
    if code == frames.CONFIGURE:
        seed, values = batch.start()
        names = [name for name in values.get("Stats.Fields", "").split(",") if name]
        instances[gateway] = Instance(Scheduler(values, seed, now), names)
        return gateway
    instance = instances.get(gateway)
    scheduler = instance.scheduler if instance else None
    if code == frames.CRASH:
        instances.pop(gateway, None)
    elif code == frames.LIST:
        kind, entries = batch.nodes()
        if scheduler:
            scheduler.list_received(kind, entries, now)
    elif code == frames.REQUEST:
        request = batch.request()
        if scheduler:
            scheduler.request_received(request, now)
    elif code == frames.ATTEMPT_END:
        end = batch.attempt_end(instance.load_names if instance else [])
        if scheduler:
            scheduler.attempt_ended(end, now)
    elif code == frames.DUE:
        token = batch.token()
        if instance and token == instance.wake_at:
            instance.wake_at = None
    elif code == frames.CANCELLED:
        ref = batch.number()
        if scheduler:
            scheduler.request_cancelled(ref)
    elif code == frames.STREAM:
        ref = batch.stream()
        if scheduler:
            scheduler.stream_began(ref)
    elif code == frames.PROBED:
        batch.skip_probe()
    elif code == frames.MESSAGE:
        batch.skip_message()
    else:
        raise BadFrame(f"unknown code {code}")
    return gateway


def pull(gateway: int, instance: Instance, now: int, out: list[bytes]) -> None:
    """Writes each decision of one instance, and a timer where it wants to be asked sooner than set."""
    while (decision := instance.scheduler.decide(now)) is not None:
        out.append(frames.answer(gateway, decision))
        if isinstance(decision, Attempt):
            instance.scheduler.attempt_written(
                decision.request_id, now
            )  # actions take effect at the batch's time
    due = min(max(instance.scheduler.next_due(), now + 1000), now + LONGEST_WAKE)
    if instance.wake_at is None or due < instance.wake_at:
        instance.wake_at = due
        out.append(frames.wake(gateway, due - now, due))


def last_line(error: Exception) -> int:
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    return trace.tb_lineno if trace else 0


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    instances: dict[int, Instance] = {}
    while (read := read_batch(source)) is not None:
        number, count, now, batch = read
        touched: dict[int, None] = {}
        out: list[bytes] = []
        gateway = 0
        try:
            for _ in range(count):
                gateway = take_record(instances, batch, now)
                touched[gateway] = None
            if batch.at != len(batch.body):
                raise BadFrame(f"batch {number} holds more than its {count} records")
            for gateway in touched:
                if gateway in instances:
                    pull(gateway, instances[gateway], now, out)
        except (BadFrame, MissingSettingError):
            raise
        except Exception as error:  # any failure inside the decisions is reported, not swallowed
            out = [frames.fault(gateway, f"{type(error).__name__}: {error} (line {last_line(error)})")]
        body = b"".join(out)
        sink.write(frames.REPLY.pack(number, len(out), len(body)) + body)
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (BadFrame, MissingSettingError) as error:
        print(f"ochrecourse simulator: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
