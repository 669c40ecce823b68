"""The books of one gateway: which jobs it has taken, their legs, and the one answer each gets. Free of I/O
and clocks.

The decisions (`decide.py`) say what becomes of a job; these books make sure that it is carried out once.
`answer` is the only way to an answer, and it says yes at most once a job, never after the client timeout and
never after the client left. A leg that ends for a job that is over is still reported to the decisions, but
goes no further.
"""

from __future__ import annotations

from collections import Counter

from ochrecourse.common.request_records import AttemptRecord, RequestOutcome, RequestRecord
from ochrecourse.interface import Ending


class UnknownRequestError(Exception):
    """The decisions named a job or leg that is not in the books: a mistake of the program, never of input."""


class RequestLog:
    """All jobs that are not over, or still have a leg out."""

    def __init__(self) -> None:
        self.requests: dict[int, RequestRecord] = {}
        self.outcomes: Counter[RequestOutcome] = Counter()
        self.endings: Counter[Ending] = Counter()
        self.received = 0
        self.attempts = 0
        self.retries = 0
        self.open = 0  # jobs without their closing

    def add(self, story: RequestRecord) -> None:
        if story.number in self.requests:
            raise UnknownRequestError(f"job {story.number} was taken twice")
        self.requests[story.number] = story
        self.received += 1
        self.open += 1

    def attempt_sent(self, job: int, number: int, node: int, now: int) -> RequestRecord | None:
        """Books a leg; None if the job is over, in which case nothing may be sent.

        Legs are counted without a gap, so one that the decisions named twice is told at once.
        """
        story = self.requests.get(job)
        if story is None or story.outcome is not None:
            return None
        if number != len(story.attempts):
            raise UnknownRequestError(f"leg {number} of job {job} after {len(story.attempts)} legs")
        story.attempts.append(AttemptRecord(number, node, now))
        story.attempts_out += 1
        self.attempts += 1
        self.retries += number > 0
        return story

    def attempt_ended(
        self, job: int, number: int, ending: Ending, why: str, now: int
    ) -> tuple[RequestRecord, AttemptRecord]:
        """Books the end of a leg, which comes once."""
        story = self.requests.get(job)
        leg = story.attempts[number] if story and number < len(story.attempts) else None
        if story is None or leg is None or leg.ending is not None:
            raise UnknownRequestError(f"leg {number} of job {job} ended, but is not out")
        leg.took, leg.ending, leg.reason = now - leg.sent_at, ending, why
        story.attempts_out -= 1
        self.endings[ending] += 1
        return story, leg

    def settle(self, job: int, closing: RequestOutcome, now: int) -> RequestRecord | None:
        """The job's one answer: the story if it may go out now, None if the job is over or its client has
        given up.
        """
        story = self.requests.get(job)
        if story is None or story.outcome is not None:
            return None
        late = closing is not RequestOutcome.CLIENT_CLOSED and now > story.latest_answer_at
        story.outcome = RequestOutcome.TOO_LATE if late else closing
        story.answered_at = now
        self.outcomes[story.outcome] += 1
        self.open -= 1
        return None if late else story

    def response_aborted(self, story: RequestRecord) -> None:
        """An answer that had begun was not finished: the job counts as written off, whatever was sent of
        it.
        """
        if story.outcome is RequestOutcome.SERVED:
            self.outcomes[RequestOutcome.SERVED] -= 1
            self.outcomes[RequestOutcome.FAILED] += 1
            story.outcome = RequestOutcome.FAILED

    def remove_finished(self, story: RequestRecord) -> bool:
        """Drops a job from the books once it is over and none of its legs is out; True the one time that this
        happens.
        """
        if story.outcome is None or story.attempts_out or self.requests.get(story.number) is not story:
            return False
        del self.requests[story.number]
        return True

    def latest_answer_at(self) -> int:
        """By when the last open job has its answer; 0 if none is open."""
        times = (story.latest_answer_at for story in self.requests.values() if story.outcome is None)
        return max(times, default=0)
