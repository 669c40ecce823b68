"""Serves the simulator: reads batches from standard input, writes one reply for each to standard output.

Each batch holds what several gateways (instances) see at one moment; the reply holds what each decides
then. Malformed input or a missing setting ends the program with one line on standard error and exit code 2;
a failure inside the decisions is declared in the reply.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import BinaryIO

from ochrecourse.interface import Attempt, MissingSettingError
from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.simulator import frames
from ochrecourse.simulator.frames import BadFrameError, Batch, Header

SHORTEST_WAKE = 1_000  # ns; the wire counts whole microseconds
LONGEST_WAKE = 3_600_000_000_000  # ns; the wire takes no timer of more than 71 minutes


class Instance:
    """One instance: its decisions, the names in its load reports, and its earliest timer still to come."""

    def __init__(self, scheduler: Scheduler, load_names: list[str]) -> None:
        self.scheduler = scheduler
        self.load_names = load_names
        self.wake_at: int | None = None  # clock time in ns


@dataclass(frozen=True, slots=True)
class Read:
    """A batch as it was read."""

    header: Header
    now: int  # clock time in ns
    batch: Batch


def read_batch(stream: BinaryIO) -> Read | None:
    """The next batch, or None at the end of input. Raises `BadFrameError` where it ends too soon."""
    head = stream.read(frames.HEADER.size)
    if not head:
        return None
    if len(head) < frames.HEADER.size:
        raise BadFrameError("input ended inside a header")
    header = frames.read_header(head)
    body = stream.read(header.size)
    if len(body) < header.size:
        raise BadFrameError(f"input ended inside batch {header.number}")
    return Read(header, frames.to_ns(header.clock_ms), Batch(body))


def take_record(instances: dict[int, Instance], batch: Batch, now: int) -> int:
    """Reports one record to the instance that it names, and returns that instance.

    A record for an instance that is not there is read and dropped. Raises `BadFrameError`, and
    `MissingSettingError` for the settings of a new instance.
    """
    code, gateway = batch.tag()
    if code == frames.CONFIGURE:
        seed, values = batch.start()
        names = [name for name in values.get("Stats.Fields", "").split(",") if name]
        instances[gateway] = Instance(Scheduler(values, seed, now), names)
    elif code == frames.CRASH:
        instances.pop(gateway, None)
    else:
        take = RECORDS.get(code)
        if take is None:
            raise BadFrameError(f"unknown code {code}")
        take(instances.get(gateway), batch, now)
    return gateway


def take_list(instance: Instance | None, batch: Batch, now: int) -> None:
    """A list of storage nodes."""
    kind, entries = batch.nodes()
    if instance:
        instance.scheduler.list_received(kind, entries, now)


def take_request(instance: Instance | None, batch: Batch, now: int) -> None:
    """A client's request."""
    request = batch.request()
    if instance:
        instance.scheduler.request_received(request, now)


def take_attempt_end(instance: Instance | None, batch: Batch, now: int) -> None:
    """An attempt ended."""
    end = batch.attempt_end(instance.load_names if instance else [])
    if instance:
        instance.scheduler.attempt_ended(end, now)


def take_due(instance: Instance | None, batch: Batch, now: int) -> None:
    """A timer is due; one that an earlier timer replaced changes nothing."""
    token = batch.token()
    if instance and token == instance.wake_at:
        instance.wake_at = None


def take_cancelled(instance: Instance | None, batch: Batch, now: int) -> None:
    """A client no longer waits."""
    number = batch.number()
    if instance:
        instance.scheduler.request_cancelled(number)


def take_stream(instance: Instance | None, batch: Batch, now: int) -> None:
    """An answer has begun to reach its client."""
    number = batch.stream()
    if instance:
        instance.scheduler.stream_began(number)


def pass_probe(instance: Instance | None, batch: Batch, now: int) -> None:
    """The answer to a health check."""
    batch.skip_probe()


def pass_message(instance: Instance | None, batch: Batch, now: int) -> None:
    """A message of another instance."""
    batch.skip_message()


RECORDS: dict[int, Callable[[Instance | None, Batch, int], None]] = {
    frames.LIST: take_list,
    frames.REQUEST: take_request,
    frames.ATTEMPT_END: take_attempt_end,
    frames.DUE: take_due,
    frames.CANCELLED: take_cancelled,
    frames.STREAM: take_stream,
    frames.PROBED: pass_probe,
    frames.MESSAGE: pass_message,
}


def pull(gateway: int, instance: Instance, now: int, out: list[bytes]) -> None:
    """Writes each decision of one instance, and a timer where it wants to be asked sooner than set."""
    scheduler = instance.scheduler
    while (decision := scheduler.decide(now)) is not None:
        out.append(frames.answer(gateway, decision))
        if isinstance(decision, Attempt):
            # Actions take effect at the batch's time.
            scheduler.attempt_written(decision.request_id, now)
    due = min(max(scheduler.next_due(), now + SHORTEST_WAKE), now + LONGEST_WAKE)
    if instance.wake_at is None or due < instance.wake_at:
        instance.wake_at = due
        out.append(frames.wake(gateway, due - now, due))


def last_line(error: Exception) -> int:
    """The line of code on which an error was raised."""
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    return trace.tb_lineno if trace else 0


def records_for(instances: dict[int, Instance], read: Read) -> list[bytes]:
    """The records of the reply to a batch.

    Raises `BadFrameError` and `MissingSettingError`; any other failure becomes the only record.
    """
    touched: dict[int, None] = {}
    out: list[bytes] = []
    gateway = 0
    try:
        for _ in range(read.header.records):
            gateway = take_record(instances, read.batch, read.now)
            touched[gateway] = None
        if read.batch.at != len(read.batch.body):
            raise BadFrameError(
                f"batch {read.header.number} holds more than its {read.header.records} records"
            )
        for gateway in touched:
            if gateway in instances:
                pull(gateway, instances[gateway], read.now, out)
    except (BadFrameError, MissingSettingError):
        raise
    except Exception as error:  # any failure inside the decisions is reported, not swallowed
        return [frames.fault(gateway, f"{type(error).__name__}: {error} (line {last_line(error)})")]
    return out


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the end of input. Raises `BadFrameError` and `MissingSettingError`."""
    instances: dict[int, Instance] = {}
    while (read := read_batch(source)) is not None:
        out = records_for(instances, read)
        body = b"".join(out)
        sink.write(frames.REPLY.pack(read.header.number, len(out), len(body)) + body)
        sink.flush()


def main() -> int:
    """Serves standard input and output; returns the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (BadFrameError, MissingSettingError) as error:
        print(f"ochrecourse simulator: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
