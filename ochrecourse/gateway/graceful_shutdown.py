"""The stages of a gateway's graceful shutdown: serving, draining, stopped. Performs no I/O, reads no clock.

While draining, clients are notified and new requests are rejected at once, which is safe to retry since
nothing was executed. Requests in flight continue as the scheduler decides, each to its one final response.
The drain is complete when the last request is answered and its last attempt has ended, or when the last
client's deadline has passed, whichever is first.
"""

from __future__ import annotations

from enum import Enum


class ShutdownStage(Enum):
    """The stages of a gateway's shutdown."""

    SERVING = "serving"
    LEAVING = "leaving"  # draining
    LEFT = "left"  # stopped


class GracefulShutdown:
    """The graceful shutdown of one gateway. All times are ns of the gateway's clock."""

    def __init__(self) -> None:
        self.stage = ShutdownStage.SERVING
        self.began = 0
        self.finish_by = 0  # by then every client has its response or has timed out

    def begin(self, now: int, last_deadline: int) -> bool:
        """Starts to drain; returns False if it did before. `last_deadline`: of all open requests, in ns."""
        if self.stage is not ShutdownStage.SERVING:
            return False
        self.stage = ShutdownStage.LEAVING
        self.began = now
        self.finish_by = max(now, last_deadline)
        return True

    def accepts_requests(self) -> bool:
        """Whether new requests are admitted."""
        return self.stage is ShutdownStage.SERVING

    def check_finished(self, now: int, open_requests: int, in_flight: int) -> bool:
        """Checks after each ended request; returns True once, when the gateway may stop.

        `open_requests`: number of unanswered ones; `in_flight`: of those unanswered or with an attempt in
        flight.
        """
        if self.stage is not ShutdownStage.LEAVING:
            return False
        if (open_requests or in_flight) and now < self.finish_by:
            return False
        self.stage = ShutdownStage.LEFT
        return True
