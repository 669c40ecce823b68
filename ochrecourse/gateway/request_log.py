"""Which requests of one gateway are in flight, their attempts, and the one final answer of each. Free of I/O
and clocks.

The scheduler says what becomes of a request; this log makes sure that it is carried out once. `settle` is
the only way to a final answer: it allows one at most once a request, never after the client's deadline and
never after the client cancelled. An attempt that ends for a request that is over is still reported to the
scheduler, but goes no further.
"""

from __future__ import annotations

from collections import Counter

from ochrecourse.common.errors import OchrecourseError
from ochrecourse.common.request_records import AttemptRecord, RequestOutcome, RequestRecord
from ochrecourse.interface import Ending


class UnknownRequestError(OchrecourseError):
    """The scheduler named a request or attempt that is not in the log: a mistake of the program, never of
    input.
    """


class RequestLog:
    """All requests that are not over, or still have an attempt out."""

    def __init__(self) -> None:
        self.requests: dict[int, RequestRecord] = {}
        self.outcomes: Counter[RequestOutcome] = Counter()
        self.endings: Counter[Ending] = Counter()
        self.received = 0
        self.attempts = 0
        self.retries = 0
        self.open = 0  # requests without their outcome

    def add(self, record: RequestRecord) -> None:
        """A request was admitted. Raises UnknownRequestError if it is in the log already."""
        if record.number in self.requests:
            raise UnknownRequestError(f"job {record.number} was taken twice")
        self.requests[record.number] = record
        self.received += 1
        self.open += 1

    def attempt_sent(self, request_id: int, number: int, node: int, now: int) -> RequestRecord | None:
        """Records an attempt; None if the request is over, in which case nothing may be sent.

        Attempts are numbered without a gap, so one that is decided twice is found at once. Raises
        UnknownRequestError.
        """
        record = self.requests.get(request_id)
        if record is None or record.outcome is not None:
            return None
        if number != len(record.attempts):
            raise UnknownRequestError(f"leg {number} of job {request_id} after {len(record.attempts)} legs")
        record.attempts.append(AttemptRecord(number, node, now))
        record.attempts_out += 1
        self.attempts += 1
        self.retries += number > 0
        return record

    def attempt_ended(
        self, request_id: int, number: int, ending: Ending, reason: str, now: int
    ) -> tuple[RequestRecord, AttemptRecord]:
        """Records the end of an attempt, which is reported once. Raises UnknownRequestError."""
        record = self.requests.get(request_id)
        attempt = record.attempts[number] if record and number < len(record.attempts) else None
        if record is None or attempt is None or attempt.ending is not None:
            raise UnknownRequestError(f"leg {number} of job {request_id} ended, but is not out")
        attempt.took = now - attempt.sent_at
        attempt.ending = ending
        attempt.reason = reason
        record.attempts_out -= 1
        self.endings[ending] += 1
        return record, attempt

    def settle(self, request_id: int, outcome: RequestOutcome, now: int) -> RequestRecord | None:
        """The request's one final answer: its record if the answer may be sent now, None if the request is
        over or its client has given up.
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
        """An answer that had begun was not finished: the request counts as failed, whatever was sent."""
        if record.outcome is RequestOutcome.SERVED:
            self.outcomes[RequestOutcome.SERVED] -= 1
            self.outcomes[RequestOutcome.FAILED] += 1
            record.outcome = RequestOutcome.FAILED

    def remove_finished(self, record: RequestRecord) -> bool:
        """Removes a request once it is over and none of its attempts is out; True the one time that this
        happens.
        """
        if record.outcome is None or record.attempts_out or self.requests.get(record.number) is not record:
            return False
        del self.requests[record.number]
        return True

    def latest_answer_at(self) -> int:
        """By when the last open request is answered, in ns; 0 if none is open."""
        times = (record.latest_answer_at for record in self.requests.values() if record.outcome is None)
        return max(times, default=0)
