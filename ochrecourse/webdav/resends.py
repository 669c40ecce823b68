"""Hasty resends: what becomes of a request whose first try is still under way. Free of I/O and clocks.

Two requests are the same if method, path, client and mark agree (the mark is the client's own
`Idempotency-Key`); a PUT without a mark is the same if its body is. While the first is out, a second one is
never a leg beside it:

- the same GET joins it: one read, each gets its answer;
- the same PUT waits for it and gets the answer that the first one gets;
- another PUT to the path is denied for now (503, come back): which of the two was meant last is not ours to
guess.

What ended with a mark is remembered for a while, so that a resend after the answer gets that answer again and
runs nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ochrecourse.webdav.paths import Path

REMEMBERED = 30_000_000_000  # ns that an ended PUT is remembered; some tries of the hastiest clients
MOST = 50_000  # requests under way and remembered


class Same(NamedTuple):
    """What makes two requests the same."""

    method: str
    path: Path
    client: str
    mark: str
    content: str = ""  # digest of the body, where the client sent no mark


class What(Enum):
    """What becomes of a request."""

    RUNS = "it runs"
    JOINS = "it gets the answer of the one under way"
    AGAIN = "it gets the answer of the one that ended"
    DENIED = "another write to the path is under way"


@dataclass(slots=True)
class Running:
    """One request under way, and those that wait for its answer."""

    same: Same
    number: int
    joined: list[int] = field(default_factory=list)


class Resends:
    """All requests with a job under way, and the writes that ended of late."""

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.running: dict[Same, Running] = {}
        self.writing: dict[Path, Same] = {}
        self.by_number: dict[int, Running] = {}
        self.ended: OrderedDict[Same, tuple[int, int]] = OrderedDict()  # when, with which status

    def came(self, same: Same, number: int, now: int) -> tuple[What, int]:
        """Takes a request; with AGAIN comes the status that the first one had, else 0."""
        self._forget(now)
        first = self.running.get(same)
        if first is not None:
            first.joined.append(number)
            self.by_number[number] = first
            return What.JOINS, 0
        if same.method == "PUT":
            if same.mark and same in self.ended:
                return What.AGAIN, self.ended[same][1]
            if same.path in self.writing or len(self.running) >= self.most:
                return What.DENIED, 0
            self.writing[same.path] = same
        self.running[same] = self.by_number[number] = Running(same, number)
        return What.RUNS, 0

    def over(self, number: int, status: int, now: int) -> list[int]:
        """The request that ran has its answer; those that joined it and are still there get the same."""
        running = self.by_number.pop(number, None)
        if running is None or running.number != number:
            return []
        self.running.pop(running.same, None)
        for other in running.joined:
            self.by_number.pop(other, None)
        if running.same.method == "PUT":
            self.writing.pop(running.same.path, None)
            if running.same.mark and 200 <= status < 300:
                self.ended[running.same] = (now, status)
        return running.joined

    def left(self, number: int) -> bool:
        """A client left. True if the job may be given up: nobody waits for it any more, and it is not a
        write.

        A write goes on: the resend that is sure to come finds it under way, and never beside itself.
        """
        running = self.by_number.get(number)
        if running is None:
            return False
        if number in running.joined:
            running.joined.remove(number)
            del self.by_number[number]
            return False
        return not running.joined and running.same.method != "PUT"

    def _forget(self, now: int) -> None:
        while self.ended:
            same, (when, _) = next(iter(self.ended.items()))
            if when + REMEMBERED > now and len(self.ended) <= self.most:
                return
            del self.ended[same]
