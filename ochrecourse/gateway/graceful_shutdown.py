"""The stages of a gateway's graceful shutdown: serving, draining, left. Free of I/O and clocks.

Draining means: nothing new is admitted (a request that still arrives is rejected at once, which is harmless,
as nothing of it ran); clients are notified; what is in flight goes on as the scheduler decides, each request
to its one final answer. It is complete when the last request is answered and its last attempt has ended, or
when the last client has given up, whichever is first.
"""

from __future__ import annotations

from enum import Enum


class ShutdownStage(Enum):
    """How far a gateway's shutdown is."""

    SERVING = "serving"
    LEAVING = "leaving"  # draining
    LEFT = "left"


class GracefulShutdown:
    """The graceful shutdown of one gateway. All times are ns of the gateway's clock."""

    def __init__(self) -> None:
        self.stage = ShutdownStage.SERVING
        self.began = 0
        self.finish_by = 0  # by then every client has its answer or has given up

    def begin(self, now: int, last_deadline: int) -> bool:
        """Starts to drain; False if that was done before. `last_deadline`: when the last client gives up."""
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
        """Called whenever something ended; True once, when the gateway may stop.

        `open_requests` have no answer yet; `in_flight` have no answer or an attempt that is out.
        """
        if self.stage is not ShutdownStage.LEAVING:
            return False
        if (open_requests or in_flight) and now < self.finish_by:
            return False
        self.stage = ShutdownStage.LEFT
        return True
