"""Structured logging: JSON lines or a console, one line a job, sampled under load."""

from __future__ import annotations

import contextlib
import logging
import queue
import sys
import threading
from typing import Any, TextIO, cast

import structlog

from ochrecourse.gateway.gateway import Gateway
from ochrecourse.common.request_records import RequestOutcome, RequestRecord
from ochrecourse.gateway.log_sampling import LogSampler
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import MS

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}


def set_up(form: str, level: str, file: Aside) -> Any:
    """A logger that writes to `file`. `form`: json, console, or auto (console where people look)."""
    console = form == "console" or (form == "auto" and sys.stderr.isatty())
    renderer: Any = structlog.dev.ConsoleRenderer() if console else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, file)),
    )
    return structlog.get_logger()


class Aside:
    """A file written by a thread of its own. Lines that do not fit its queue are dropped and counted.

    Guards against a reader of the log that stands still: a full pipe would stop the gateway in the middle of
    a job.
    """

    def __init__(self, file: TextIO, most: int = 10_000) -> None:
        self.file = file
        self.lines: queue.Queue[str | None] = queue.Queue(most)
        self.dropped = 0
        self.thread = threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def write(self, text: str) -> None:
        try:
            self.lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1

    def flush(self) -> None:
        """The thread flushes after each line."""

    def close(self, patience: float = 1.0) -> None:
        """Writes what is queued, for so many seconds at the most."""
        with contextlib.suppress(queue.Full):
            self.lines.put_nowait(None)
        self.thread.join(patience)

    def _write(self) -> None:
        while (text := self.lines.get()) is not None:
            try:
                self.file.write(text)
                self.file.flush()
            except OSError:
                self.dropped += 1  # nobody reads the log any more; the gateway serves on


class JobLog:
    """Writes one line a job that is over; what did not go well is never left out unless the log itself is
    flooded.
    """

    def __init__(self, log: Any, sampling: LogSampler) -> None:
        self.log = log
        self.sampling = sampling

    def request_finished(self, gateway: Gateway, story: RequestRecord) -> None:
        well = story.outcome is RequestOutcome.SERVED and len(story.attempts) <= 1  # without one: from a copy
        if not self.sampling.should_log(well, now_ns(gateway.clock)):
            return
        kinds = gateway.settings_index
        dropped = self.sampling.take_dropped()
        self.log.info(
            "job",
            job=story.number,
            trace=story.trace,
            product=kinds.class_names[story.request_class],
            plan=kinds.tenant_names[story.tenant],
            volume=story.volume,
            units=story.units,
            ending=story.outcome.value if story.outcome else "open",
            why=story.why(),
            ms=round((story.answered_at - story.received_at) / MS, 3),
            left_ms=round((story.answer_by - story.answered_at) / MS, 3),
            legs=[
                {
                    "node": leg.node,
                    "after_ms": round((leg.sent_at - story.received_at) / MS, 3),
                    "ms": round(leg.took / MS, 3),
                    "ending": leg.ending.value if leg.ending else "out",
                    "why": leg.reason,
                }
                for leg in story.attempts
            ],
            **({"lines_left_out": dropped} if dropped else {}),
        )


class AccessLog:
    """Writes one line a WebDAV request, sampled as the jobs' lines are: what did not go well comes first."""

    def __init__(self, log: Any, sampling: LogSampler, clock: Clock) -> None:
        self.log = log
        self.sampling = sampling
        self.clock = clock

    def __call__(self, **fields: Any) -> None:
        if self.sampling.should_log(fields["how"] in ("fulfilled", "done"), now_ns(self.clock)):
            self.log.info("request", **fields)
