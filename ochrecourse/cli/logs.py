"""Structured logging as JSON lines or to a console: one line for each request, sampled under load.

The event names and keys of the lines are an interface, because operators search for them.
`request_line_fields` maps the names of this code to them.
"""

from __future__ import annotations

import contextlib
import logging
import queue
import sys
import threading
from typing import Any, TextIO, cast

import structlog

from ochrecourse.common.request_records import AttemptRecord, RequestOutcome, RequestRecord
from ochrecourse.common.runtime import Clock, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.gateway.gateway import Gateway
from ochrecourse.gateway.log_sampling import LogSampler

LOG_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}
MAX_QUEUED_LINES = 10_000
CLOSE_TIMEOUT_S = 1.0
SUCCESSFUL_WEBDAV_OUTCOMES = ("fulfilled", "done")


def make_logger(form: str, level: str, file: BackgroundWriter) -> Any:
    """Returns a logger that writes to `file`.

    `form` is "json", "console" or "auto" (console if standard error is a terminal); `level` is a key of
    LOG_LEVELS.
    """
    console = form == "console" or (form == "auto" and sys.stderr.isatty())
    renderer: Any = structlog.dev.ConsoleRenderer() if console else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LOG_LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, file)),
    )
    return structlog.get_logger()


class BackgroundWriter:
    """Writes to a file in a separate thread. Lines that exceed the queue's capacity are dropped and counted.

    Guards against a log reader that has stopped reading: a write to a full pipe would block the event loop in
    the middle of a request.
    """

    def __init__(self, file: TextIO, max_queued_lines: int = MAX_QUEUED_LINES) -> None:
        self.file = file
        self.lines: queue.Queue[str | None] = queue.Queue(max_queued_lines)
        self.dropped = 0
        self.thread = threading.Thread(target=self._write_queued_lines, daemon=True)
        self.thread.start()

    def write(self, text: str) -> None:
        """Queues a text, or drops and counts it if the queue is full; never blocks."""
        try:
            self.lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1

    def flush(self) -> None:
        """Does nothing: the thread flushes after each line."""

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Waits until the queued lines are written, for `timeout_s` seconds at most."""
        with contextlib.suppress(queue.Full):
            self.lines.put_nowait(None)
        self.thread.join(timeout_s)

    def _write_queued_lines(self) -> None:
        while (text := self.lines.get()) is not None:
            try:
                self.file.write(text)
                self.file.flush()
            except OSError:
                # The log's reader has closed the pipe: the line is dropped and the gateway serves on.
                self.dropped += 1


class RequestLogWriter:
    """Writes one log line for each finished request, sampled; the sampler prefers unsuccessful requests."""

    def __init__(self, log: Any, sampler: LogSampler) -> None:
        self.log = log
        self.sampler = sampler

    def request_finished(self, gateway: Gateway, record: RequestRecord) -> None:
        """Logs a finished request, if sampled; called by the gateway."""
        # A request that was served without an attempt was answered from the object cache.
        successful = record.outcome is RequestOutcome.SERVED and len(record.attempts) <= 1
        if not self.sampler.should_log(successful, now_ns(gateway.clock)):
            return
        fields = request_line_fields(gateway, record)
        dropped = self.sampler.take_dropped()
        if dropped:
            fields["lines_left_out"] = dropped
        self.log.info("job", **fields)


def request_line_fields(gateway: Gateway, record: RequestRecord) -> dict[str, Any]:
    """Returns the fields of a finished request's line, by the keys that operators search for; times in ms."""
    settings_index = gateway.settings_index
    return {
        "job": record.number,
        "trace": record.trace,
        "product": settings_index.class_names[record.request_class],
        "plan": settings_index.tenant_names[record.tenant],
        "volume": record.volume,
        "units": record.units,
        "ending": record.outcome.value if record.outcome else "open",
        "why": record.why(),
        "ms": round((record.answered_at - record.received_at) / MS, 3),
        "left_ms": round((record.deadline - record.answered_at) / MS, 3),
        "legs": [_attempt_fields(record, attempt) for attempt in record.attempts],
    }


def _attempt_fields(record: RequestRecord, attempt: AttemptRecord) -> dict[str, Any]:
    return {
        "node": attempt.node,
        "after_ms": round((attempt.sent_at - record.received_at) / MS, 3),
        "ms": round(attempt.took / MS, 3),
        "ending": attempt.ending.value if attempt.ending else "out",
        "why": attempt.reason,
    }


class AccessLog:
    """Writes one log line for each WebDAV request, sampled as RequestLogWriter does."""

    def __init__(self, log: Any, sampler: LogSampler, clock: Clock) -> None:
        self.log = log
        self.sampler = sampler
        self.clock = clock

    def __call__(self, **fields: Any) -> None:
        """Logs a finished request, if sampled; called by the WebDAV server with the fields of the line."""
        successful = fields["how"] in SUCCESSFUL_WEBDAV_OUTCOMES
        if self.sampler.should_log(successful, now_ns(self.clock)):
            self.log.info("request", **fields)
