"""The requests in flight of one gateway, their attempts and outcomes. Performs no I/O, reads no clock.

The scheduler decides the outcome of a request; this log ensures that it is executed once. `settle` is the
only way to a final response: it permits at most one per request, none after the client's deadline and none
after the client cancelled. An attempt that ends after its request was settled is still reported to the
scheduler, but has no other effect.
"""

from __future__ import annotations

from collections import Counter

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.common.request_records import AttemptRecord, RequestOutcome, RequestRecord
from ochrecourse.interface import Ending


class UnknownRequestError(OchrecourseError):
    """The scheduler named a request or attempt that is not in the log: a bug, never caused by input."""


class RequestLog:
    """All requests that have no outcome yet or still have an attempt in flight."""

    def __init__(self) -> None:
        self.requests: dict[int, RequestRecord] = {}
        self.outcomes: Counter[RequestOutcome] = Counter()
        self.endings: Counter[Ending] = Counter()
        self.received = 0
        self.attempts = 0
        self.retries = 0
        self.open = 0  # requests without an outcome

    def add(self, record: RequestRecord) -> None:
        """Adds an admitted request. Raises UnknownRequestError if it is already in the log."""
        if record.number in self.requests:
            raise UnknownRequestError(f"request {record.number} was admitted twice")
        self.requests[record.number] = record
        self.received += 1
        self.open += 1

    def attempt_sent(self, request_id: int, number: int, node: int, now: int) -> RequestRecord | None:
        """Records an attempt; returns None if the request was settled, in which case nothing may be sent.

        Attempts are numbered consecutively, so a duplicate decision is detected at once. Raises
        UnknownRequestError.
        """
        record = self.requests.get(request_id)
        if record is None or record.outcome is not None:
            return None
        if number != len(record.attempts):
            raise UnknownRequestError(
                f"attempt {number} of request {request_id} after {len(record.attempts)} attempts"
            )
        record.attempts.append(AttemptRecord(number, node, now))
        record.attempts_out += 1
        self.attempts += 1
        self.retries += number > 0
        return record

    def attempt_ended(
        self, request_id: int, number: int, ending: Ending, reason: str, now: int
    ) -> tuple[RequestRecord, AttemptRecord]:
        """Records the end of an attempt, which must be reported only once. Raises UnknownRequestError."""
        record = self.requests.get(request_id)
        attempt = record.attempts[number] if record and number < len(record.attempts) else None
        if record is None or attempt is None or attempt.ending is not None:
            raise UnknownRequestError(f"attempt {number} of request {request_id} ended, but is not in flight")
        attempt.took = now - attempt.sent_at
        attempt.ending = ending
        attempt.reason = reason
        record.attempts_out -= 1
        self.endings[ending] += 1
        return record, attempt

    def settle(self, request_id: int, outcome: RequestOutcome, now: int) -> RequestRecord | None:
        """Sets a request's outcome. Returns its record if the final response may be sent now, None if the
        request was settled before or its client has timed out.
        """
        record = self.requests.get(request_id)
        if record is None or record.outcome is not None:
            return None
        late = outcome is not RequestOutcome.CLIENT_CLOSED and now > record.latest_answer_at
        record.outcome = RequestOutcome.TOO_LATE if late else outcome
        record.answered_at = now
        self.outcomes[record.outcome] += 1
        self.open -= 1
        return None if late else record

    def response_aborted(self, record: RequestRecord) -> None:
        """Counts a request as failed whose response had begun and was aborted."""
        if record.outcome is RequestOutcome.SERVED:
            self.outcomes[RequestOutcome.SERVED] -= 1
            self.outcomes[RequestOutcome.FAILED] += 1
            record.outcome = RequestOutcome.FAILED

    def remove_finished(self, record: RequestRecord) -> bool:
        """Removes a request that has its outcome and no attempt in flight; returns True if it did."""
        if record.outcome is None or record.attempts_out or self.requests.get(record.number) is not record:
            return False
        del self.requests[record.number]
        return True

    def limit_deadlines(self, deadline: int, latest_answer_at: int) -> None:
        """Brings the deadlines of all requests without an outcome forward; clock times in ns."""
        for record in self.requests.values():
            if record.outcome is None:
                record.limit_deadline(deadline, latest_answer_at)

    def latest_answer_at(self) -> int:
        """Returns the clock time (ns) by which the last open request is answered; 0 if none is open."""
        times = (record.latest_answer_at for record in self.requests.values() if record.outcome is None)
        return max(times, default=0)
