"""Retry policy: whether and when a request may have another attempt.

Inputs: the attempts of the request so far, whether one may have run and when it was written (ns), the quota
of its tenant that it draws on, and this gateway's retries and requests within the window of the retry budget.

A request inside its tenant's reserve may use all attempts that are allowed; others get a number of attempts
in proportion to their priority share, two at least. A request that may have run is retried only if that is
harmless; with an idempotency key, only within its window. Each retry is delayed by a share of the latency
objective, which doubles with each retry, and counts against the budget. The budget is checked when a retry
is queued and again when it is sent.
"""

from __future__ import annotations

from collections import deque

from ochrecourse.interface import Ending
from ochrecourse.scheduler.random_source import RandomSource
from ochrecourse.scheduler.settings import Idempotency, SchedulerSettings
from ochrecourse.scheduler.state import FirstRun, Node, PendingRequest
from ochrecourse.scheduler.timers import NEVER

FIRST_BACKOFF_SHARE = 0.1  # of the latency objective; leaves time for all attempts
BACKOFF_FACTOR = 2
MAY_STILL_RUN = (Ending.TIMEOUT, Ending.RESET, Ending.WITHDRAWN)  # the node may still process the attempt


class RetryPolicy:
    """The retry policy of all requests, with the gateway's retry budget.

    Settings used: the maximum number of attempts per request, the first included; the idempotency window of
    each class (ns) and the margin by which an answer must be sent before its time is up (ns); the priority
    share of each rate (0 to 1); and the retry budget, if there is one: its window (ns), the retries that are
    always allowed in it, and the additional retries per request received in it.
    """

    __slots__ = ("_answer_margin", "_random", "_request_times", "_retry_times", "_settings")

    def __init__(self, settings: SchedulerSettings, random_source: RandomSource) -> None:
        self._settings = settings
        self._random = random_source
        self._answer_margin = settings.safety.answer_margin
        self._request_times: deque[int] = deque()
        self._retry_times: deque[int] = deque()

    def request_received(self, now: int) -> None:
        """Records a new request, which increases the retry budget."""
        if self._settings.has_retry_budget:
            self._forget_old(now)
            self._request_times.append(now)

    def retry_sent(self, now: int) -> None:
        """Records a retry, which counts against the retry budget."""
        if self._settings.has_retry_budget:
            self._retry_times.append(now)

    def allows(self, pending: PendingRequest, now: int) -> bool:
        """Returns whether a request that has had attempts may have another one now."""
        max_attempts = self._settings.max_attempts
        max_for_priority = 1 + max(
            1, round((max_attempts - 1) * self._settings.priority_share(pending.quota))
        )
        if pending.attempts >= min(max_attempts, max_for_priority):
            return False
        if now >= self.write_before(pending):
            return False
        if pending.first_run and pending.request_class.idempotency is Idempotency.NEVER:
            return False
        return not self._settings.has_retry_budget or self._within_budget(now)

    def _within_budget(self, now: int) -> bool:
        self._forget_old(now)
        budget = self._settings.retry_budget
        return len(self._retry_times) + 1 <= budget.floor + budget.ratio * len(self._request_times)

    def _forget_old(self, now: int) -> None:
        """Forgets requests and retries that are no longer in the window of the budget."""
        window_start = now - self._settings.retry_budget.window
        for times in (self._request_times, self._retry_times):
            while times and times[0] <= window_start:
                times.popleft()

    def write_before(self, pending: PendingRequest) -> int:
        """Returns the clock time in ns from which an attempt may no longer be written.

        This is the client's deadline or, once an attempt may have run, the end of the idempotency window.
        """
        deadline = pending.request.deadline
        first_run = pending.first_run
        if first_run is None or pending.request_class.idempotency is not Idempotency.WITH_KEY:
            return min(deadline, NEVER)
        window_end = first_run.sent_at + pending.request_class.idempotency_window
        return min(deadline, window_end - self._answer_margin)

    def attempt_ended(self, pending: PendingRequest, node: Node, ending: Ending, now: int) -> None:
        """Records the end of an attempt: where a first one may have run, and the backoff of the next one."""
        may_have_run = ending in MAY_STILL_RUN or ending is Ending.ERROR
        if pending.first_run is None and may_have_run:
            pending.first_run = FirstRun(pending.sent_at, node.shard, node.zone)
        backoff = pending.request_class.latency_objective * FIRST_BACKOFF_SHARE
        backoff = backoff * BACKOFF_FACTOR ** (pending.attempts - 1)
        pending.not_before = now + round(backoff * self._random.jitter())
