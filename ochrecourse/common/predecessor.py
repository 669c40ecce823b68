"""Waiting at process start until the preceding process has released its state and its port.

A killed process owns both until the operating system has cleaned it up, which takes a moment, and longer on a
loaded host. If a supervisor restarts the process immediately, this must not count as a failure, so the start
is retried for a limited time. If the predecessor is still running after that, the start fails as it would
without the wait.

The wait blocks, so it may be used only before the event loop runs.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")

PREDECESSOR_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.05


class PredecessorWait:
    """The wait of one process start; its time-out covers all resources together.

    `log` receives one line when the wait starts; `cancelled`: whether the process has to end meanwhile.
    """

    def __init__(
        self,
        log: Callable[[str], None],
        cancelled: Callable[[], bool] = lambda: False,
        timeout_s: float = PREDECESSOR_TIMEOUT_S,
        monotonic: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.log = log
        self.cancelled = cancelled
        self.timeout_s = timeout_s
        self.monotonic = monotonic
        self.sleep = sleep
        self._times_out_at: float | None = None  # s

    def until(self, attempt: Callable[[], Result], is_blocked: Callable[[Exception], bool]) -> Result:
        """Returns the result of the first call of `attempt` that succeeds.

        Raises the exception of the last call: immediately if `is_blocked` returns that a predecessor is not
        the reason, otherwise after the time-out.
        """
        while True:
            try:
                return attempt()
            except Exception as error:
                if not is_blocked(error) or self._is_over(error):
                    raise
            self.sleep(RETRY_INTERVAL_S)

    def _is_over(self, error: Exception) -> bool:
        now = self.monotonic()
        if self._times_out_at is None:
            self._times_out_at = now + self.timeout_s
            self.log(f"waits up to {self.timeout_s:g} s for the process before this one: {error}")
        return now >= self._times_out_at or self.cancelled()


def is_port_in_use(error: Exception) -> bool:
    """Returns whether a port could not be opened (Twisted's CannotListenError) because it is in use."""
    return getattr(getattr(error, "socketError", None), "errno", None) == errno.EADDRINUSE
