"""Structured logging: JSON lines or a console, one line a job, sampled under load."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

from ochrecourse.gateway.gateway import Gateway
from ochrecourse.gateway.ledger import Closing, JobStory
from ochrecourse.gateway.sampling import Sampling
from ochrecourse.outside import MS, now_ns

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}


def set_up(form: str, level: str) -> Any:
    """A logger that writes to standard error. `form`: json, console, or auto (console where people look)."""
    console = form == "console" or (form == "auto" and sys.stderr.isatty())
    renderer: Any = structlog.dev.ConsoleRenderer() if console else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    return structlog.get_logger()


class JobLog:
    """Writes one line a job that is over; what did not go well is never left out unless the log itself is
    flooded.
    """

    def __init__(self, log: Any, sampling: Sampling) -> None:
        self.log = log
        self.sampling = sampling

    def job_over(self, gateway: Gateway, story: JobStory) -> None:
        well = story.closing is Closing.FULFILLED and len(story.legs) == 1
        if not self.sampling.writes(well, now_ns(gateway.clock)):
            return
        kinds = gateway.kinds
        dropped = self.sampling.take_dropped()
        self.log.info(
            "job",
            job=story.number,
            trace=story.trace,
            product=kinds.names[story.product],
            plan=kinds.plan_names[story.plan],
            volume=story.volume,
            units=story.units,
            ending=story.closing.value if story.closing else "open",
            why=story.why(),
            ms=round((story.answered - story.taken) / MS, 3),
            left_ms=round((story.due - story.answered) / MS, 3),
            legs=[
                {
                    "node": leg.node,
                    "after_ms": round((leg.sent - story.taken) / MS, 3),
                    "ms": round(leg.took / MS, 3),
                    "ending": leg.ending.value if leg.ending else "out",
                    "why": leg.why,
                }
                for leg in story.legs
            ],
            **({"lines_left_out": dropped} if dropped else {}),
        )
