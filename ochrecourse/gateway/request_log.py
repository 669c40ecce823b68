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
        self.jobs: dict[int, RequestRecord] = {}
        self.closings: Counter[RequestOutcome] = Counter()
        self.endings: Counter[Ending] = Counter()
        self.taken = 0
        self.legs = 0
        self.further = 0
        self.open = 0  # jobs without their closing

    def take(self, story: RequestRecord) -> None:
        if story.number in self.jobs:
            raise UnknownRequestError(f"job {story.number} was taken twice")
        self.jobs[story.number] = story
        self.taken += 1
        self.open += 1

    def send(self, job: int, number: int, node: int, now: int) -> RequestRecord | None:
        """Books a leg; None if the job is over, in which case nothing may be sent.

        Legs are counted without a gap, so one that the decisions named twice is told at once.
        """
        story = self.jobs.get(job)
        if story is None or story.closing is not None:
            return None
        if number != len(story.legs):
            raise UnknownRequestError(f"leg {number} of job {job} after {len(story.legs)} legs")
        story.legs.append(AttemptRecord(number, node, now))
        story.out += 1
        self.legs += 1
        self.further += number > 0
        return story

    def ended(
        self, job: int, number: int, ending: Ending, why: str, now: int
    ) -> tuple[RequestRecord, AttemptRecord]:
        """Books the end of a leg, which comes once."""
        story = self.jobs.get(job)
        leg = story.legs[number] if story and number < len(story.legs) else None
        if story is None or leg is None or leg.ending is not None:
            raise UnknownRequestError(f"leg {number} of job {job} ended, but is not out")
        leg.took, leg.ending, leg.why = now - leg.sent, ending, why
        story.out -= 1
        self.endings[ending] += 1
        return story, leg

    def answer(self, job: int, closing: RequestOutcome, now: int) -> RequestRecord | None:
        """The job's one answer: the story if it may go out now, None if the job is over or its client has
        given up.
        """
        story = self.jobs.get(job)
        if story is None or story.closing is not None:
            return None
        late = closing is not RequestOutcome.CLIENT_GONE and now > story.latest
        story.closing = RequestOutcome.TOO_LATE if late else closing
        story.answered = now
        self.closings[story.closing] += 1
        self.open -= 1
        return None if late else story

    def broke_off(self, story: RequestRecord) -> None:
        """An answer that had begun was not finished: the job counts as written off, whatever was sent of
        it.
        """
        if story.closing is RequestOutcome.FULFILLED:
            self.closings[RequestOutcome.FULFILLED] -= 1
            self.closings[RequestOutcome.WRITTEN_OFF] += 1
            story.closing = RequestOutcome.WRITTEN_OFF

    def forget(self, story: RequestRecord) -> bool:
        """Drops a job from the books once it is over and none of its legs is out; True the one time that this
        happens.
        """
        if story.closing is None or story.out or self.jobs.get(story.number) is not story:
            return False
        del self.jobs[story.number]
        return True

    def latest_due(self) -> int:
        """By when the last open job has its answer; 0 if none is open."""
        return max((story.latest for story in self.jobs.values() if story.closing is None), default=0)
