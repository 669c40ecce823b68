"""Whether and when a request may have another attempt.

Inputs: attempts of the request so far, whether one may have run and when it was written (ns), the rate of
its tenant that it draws on, the retries and requests of this gateway in the budget's span of time.

A request inside its tenant's reserve may use every attempt that is allowed, another as many as its priority
share gives, two at least. A request that may have run is repeated only if that is harmless, under a key
within its window. Each retry waits a share of the latency objective, twice as long each time, and counts
against the budget, which is asked when a request is queued and again when it leaves.
"""

from __future__ import annotations

from collections import deque

from ochrecourse.interface import Ending
from ochrecourse.scheduler.chance import Chance
from ochrecourse.scheduler.settings import Idempotency, SchedulerSettings
from ochrecourse.scheduler.state import FirstRun, Node, PendingRequest
from ochrecourse.scheduler.timers import NEVER

FIRST_BACKOFF_SHARE = 0.1  # of the latency objective; leaves time for all attempts
BACKOFF_FACTOR = 2
MAY_STILL_RUN = (Ending.TIMEOUT, Ending.RESET, Ending.WITHDRAWN)  # the work of the attempt at its node


class RetryPolicy:
    """Retries of all requests, with the gateway's budget.

    `settings`: of these it takes the attempts that any request may have, the first included; the idempotency
    window of each class (ns) and the margin by which an answer must be on its way (ns); the priority share of
    each rate (0 to 1); and the budget, if there is one: so many retries in its span (ns), and so many for
    each request received in it.
    """

    __slots__ = ("_answer_margin", "_chance", "_requests_at", "_retries_at", "_settings")

    def __init__(self, settings: SchedulerSettings, chance: Chance) -> None:
        self._settings = settings
        self._chance = chance
        self._answer_margin = settings.safety.answer_margin
        self._requests_at: deque[int] = deque()
        self._retries_at: deque[int] = deque()

    def request_received(self, now: int) -> None:
        """A new request earns its share of the budget."""
        if self._settings.has_retry_budget:
            self._requests_at.append(now)

    def retry_sent(self, now: int) -> None:
        """An attempt beyond a request's first draws on the budget."""
        if self._settings.has_retry_budget:
            self._retries_at.append(now)

    def allows(self, pending: PendingRequest, now: int) -> bool:
        """Whether a request that had attempts may have one more now."""
        most = self._settings.max_attempts
        max_for_priority = 1 + max(1, round((most - 1) * self._settings.priority_share(pending.quota)))
        if pending.attempts >= min(most, max_for_priority):
            return False
        if now >= self.write_before(pending):
            return False
        if pending.first_run and pending.request_class.idempotency is Idempotency.NEVER:
            return False
        return not self._settings.has_retry_budget or self._within_budget(now)

    def _within_budget(self, now: int) -> bool:
        budget = self._settings.retry_budget
        since = now - budget.counted_span
        for times in (self._requests_at, self._retries_at):
            while times and times[0] <= since:
                times.popleft()
        return len(self._retries_at) + 1 <= budget.floor + budget.ratio * len(self._requests_at)

    def write_before(self, pending: PendingRequest) -> int:
        """Clock time in ns from which an attempt may no longer be written: the client's deadline or, once an
        attempt may have run, the end of its idempotency window.
        """
        deadline = pending.request.deadline
        first_run = pending.first_run
        if first_run is None or pending.request_class.idempotency is not Idempotency.WITH_KEY:
            return min(deadline, NEVER)
        window_end = first_run.sent_at + pending.request_class.idempotency_window
        return min(deadline, window_end - self._answer_margin)

    def attempt_ended(self, pending: PendingRequest, node: Node, ending: Ending, now: int) -> None:
        """An attempt at this node ended: the next one waits, and knows where one may have run."""
        may_have_run = ending in MAY_STILL_RUN or ending is Ending.ERROR
        if pending.first_run is None and may_have_run:
            pending.first_run = FirstRun(pending.sent_at, node.shard, node.zone)
        backoff = pending.request_class.latency_objective * FIRST_BACKOFF_SHARE
        backoff = backoff * BACKOFF_FACTOR ** (pending.attempts - 1)
        pending.not_before = now + round(backoff * self._chance.spread())
