"""The stages of a gateway's end: serving, leaving, left. Free of I/O and clocks.

Shutting down means: nothing new is taken (a job that still comes is denied at once, which is harmless,
as nothing of it ran); clients are told with `bye`; what is held goes on as the decisions say, each job to
its one answer. The end comes when the last job has its answer and the last leg is back, or when the last
client has given up, whichever is first.
"""

from __future__ import annotations

from enum import Enum


class ShutdownStage(Enum):
    """How far a gateway has come on its way out."""

    SERVING = "serving"
    LEAVING = "leaving"
    LEFT = "left"


class GracefulShutdown:
    """The way out of one gateway."""

    def __init__(self) -> None:
        self.stage = ShutdownStage.SERVING
        self.began = 0
        self.finish_by = 0  # by then every client has its answer or has given up

    def begin(self, now: int, latest_due: int) -> bool:
        """Starts to leave; False if that was done before. `latest_due`: when the last client gives up."""
        if self.stage is not ShutdownStage.SERVING:
            return False
        self.stage, self.began, self.finish_by = ShutdownStage.LEAVING, now, max(now, latest_due)
        return True

    def accepts_requests(self) -> bool:
        """Whether new jobs are taken."""
        return self.stage is ShutdownStage.SERVING

    def check_finished(self, now: int, open_jobs: int, legs_out: int) -> bool:
        """Called whenever something ended; True once, when the gateway may stop."""
        if self.stage is not ShutdownStage.LEAVING:
            return False
        if (open_jobs or legs_out) and now < self.finish_by:
            return False
        self.stage = ShutdownStage.LEFT
        return True
