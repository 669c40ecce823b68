"""Server for the simulator: reads batches from standard input, writes one reply for each to standard output.

A batch contains the events of several gateways (instances) at one moment; the reply contains the decisions
of each. Malformed input or a missing setting ends the program with one line on standard error and exit code
2; an exception inside the scheduler is reported in the reply.
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

MIN_WAKE_DELAY = 1_000  # ns; the wire protocol has a resolution of one microsecond
MAX_WAKE_DELAY = 3_600_000_000_000  # ns; the wire protocol allows no timer of more than 71 minutes


class Instance:
    """One instance: its scheduler, the field names of its load reports, and its next timer."""

    def __init__(self, scheduler: Scheduler, load_names: list[str]) -> None:
        self.scheduler = scheduler
        self.load_names = load_names
        self.wake_at: int | None = None  # clock time in ns


@dataclass(frozen=True, slots=True)
class ReceivedBatch:
    """A batch read from the input."""

    header: Header
    now: int  # clock time in ns
    batch: Batch


def read_batch(stream: BinaryIO) -> ReceivedBatch | None:
    """Returns the next batch, or None at the end of input. Raises `BadFrameError` if it is truncated."""
    head = stream.read(frames.HEADER.size)
    if not head:
        return None
    if len(head) < frames.HEADER.size:
        raise BadFrameError("input ended inside a header")
    header = frames.read_header(head)
    body = stream.read(header.size)
    if len(body) < header.size:
        raise BadFrameError(f"input ended inside batch {header.number}")
    return ReceivedBatch(header, frames.to_ns(header.clock_ms), Batch(body))


def handle_record(instances: dict[int, Instance], batch: Batch, now: int) -> int:
    """Passes one record to its instance and returns the number of the instance.

    A record for an unknown instance is read and dropped. Raises `BadFrameError`, and `MissingSettingError`
    for the settings of a new instance.
    """
    code, gateway = batch.tag()
    if code == frames.CONFIGURE:
        seed, values = batch.start()
        names = [name for name in values.get("Stats.Fields", "").split(",") if name]
        instances[gateway] = Instance(Scheduler(values, seed, now), names)
    elif code == frames.CRASH:
        instances.pop(gateway, None)
    else:
        handle = RECORD_HANDLERS.get(code)
        if handle is None:
            raise BadFrameError(f"unknown code {code}")
        handle(instances.get(gateway), batch, now)
    return gateway


def handle_list(instance: Instance | None, batch: Batch, now: int) -> None:
    """Handles a list of storage nodes."""
    kind, entries = batch.nodes()
    if instance:
        instance.scheduler.list_received(kind, entries, now)


def handle_request(instance: Instance | None, batch: Batch, now: int) -> None:
    """Handles a client request."""
    request = batch.request()
    if instance:
        instance.scheduler.request_received(request, now)


def handle_attempt_end(instance: Instance | None, batch: Batch, now: int) -> None:
    """Handles the end of an attempt."""
    end = batch.attempt_end(instance.load_names if instance else [])
    if instance:
        instance.scheduler.attempt_ended(end, now)


def handle_timer(instance: Instance | None, batch: Batch, now: int) -> None:
    """Handles a timer that is due; a timer that an earlier one replaced is ignored."""
    token = batch.token()
    if instance and token == instance.wake_at:
        instance.wake_at = None


def handle_cancellation(instance: Instance | None, batch: Batch, now: int) -> None:
    """Handles the cancellation of a request by its client."""
    number = batch.number()
    if instance:
        instance.scheduler.request_cancelled(number)


def handle_stream_start(instance: Instance | None, batch: Batch, now: int) -> None:
    """Handles the start of an answer to a client."""
    number = batch.stream()
    if instance:
        instance.scheduler.stream_began(number)


def skip_probe_answer(instance: Instance | None, batch: Batch, now: int) -> None:
    """Skips the answer to a health check."""
    batch.skip_probe()


def skip_message(instance: Instance | None, batch: Batch, now: int) -> None:
    """Skips a message from another instance."""
    batch.skip_message()


RECORD_HANDLERS: dict[int, Callable[[Instance | None, Batch, int], None]] = {
    frames.LIST: handle_list,
    frames.REQUEST: handle_request,
    frames.ATTEMPT_END: handle_attempt_end,
    frames.DUE: handle_timer,
    frames.CANCELLED: handle_cancellation,
    frames.STREAM: handle_stream_start,
    frames.PROBED: skip_probe_answer,
    frames.MESSAGE: skip_message,
}


def append_decisions(gateway: int, instance: Instance, now: int, out: list[bytes]) -> None:
    """Appends all decisions of one instance, and a timer if it is due earlier than the one that is set."""
    scheduler = instance.scheduler
    while (decision := scheduler.decide(now)) is not None:
        out.append(frames.encode_decision(gateway, decision))
        if isinstance(decision, Attempt):
            # Decisions take effect at the time of the batch.
            scheduler.attempt_written(decision.request_id, now)
    due = min(max(scheduler.next_due(), now + MIN_WAKE_DELAY), now + MAX_WAKE_DELAY)
    if instance.wake_at is None or due < instance.wake_at:
        instance.wake_at = due
        out.append(frames.encode_wake(gateway, due - now, due))


def error_line(error: Exception) -> int:
    """Returns the source line on which an exception was raised."""
    trace = error.__traceback__
    while trace and trace.tb_next:
        trace = trace.tb_next
    return trace.tb_lineno if trace else 0


def reply_records(instances: dict[int, Instance], received: ReceivedBatch) -> list[bytes]:
    """Returns the records of the reply to a batch.

    Raises `BadFrameError` and `MissingSettingError`; any other exception becomes the only record.
    """
    active: dict[int, None] = {}
    out: list[bytes] = []
    gateway = 0
    try:
        for _ in range(received.header.records):
            gateway = handle_record(instances, received.batch, received.now)
            active[gateway] = None
        if received.batch.at != len(received.batch.body):
            raise BadFrameError(
                f"batch {received.header.number} holds more than its {received.header.records} records"
            )
        for gateway in active:
            if gateway in instances:
                append_decisions(gateway, instances[gateway], received.now, out)
    except (BadFrameError, MissingSettingError):
        raise
    except Exception as error:  # any exception inside the scheduler is reported, not suppressed
        return [frames.encode_fault(gateway, f"{type(error).__name__}: {error} (line {error_line(error)})")]
    return out


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to batches until the end of input. Raises `BadFrameError` and `MissingSettingError`."""
    instances: dict[int, Instance] = {}
    while (received := read_batch(source)) is not None:
        out = reply_records(instances, received)
        body = b"".join(out)
        sink.write(frames.REPLY.pack(received.header.number, len(out), len(body)) + body)
        sink.flush()


def main() -> int:
    """Serves the simulator on standard input and output; returns the exit code."""
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
