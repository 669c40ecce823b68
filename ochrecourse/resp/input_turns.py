"""Divides the handling of clients' commands among the connections and the iterations of the event loop.

A few commands of a connection are handled when they are read. What a client sends beyond that at once waits
here: connections take turns, and all of them together get a bounded number of commands per iteration, so that
however many clients send however much, the event loop soon reads again. Performs no I/O.
"""

from __future__ import annotations

from typing import Protocol

from ochrecourse.common.runtime import Clock, Timer, stop

COMMANDS_PER_READ = 4  # of one connection, handled at once; clients that wait for replies send no more
COMMANDS_PER_TURN = 16  # of one connection, before another has its turn
COMMANDS_PER_ITERATION = 128  # of all connections that wait for a turn; some tens of ms


class InputOwner(Protocol):
    """A connection with buffered commands."""

    def process_commands(self, limit: int) -> bool:
        """Handles at most `limit` commands; returns whether more may be buffered."""


class InputTurns:
    """The connections with buffered commands, in the order of their turns."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: dict[InputOwner, None] = {}
        self._timer: Timer | None = None

    def add(self, connection: InputOwner) -> None:
        """Gives a connection a turn in the next iteration, behind those that wait already."""
        self._waiting[connection] = None
        if self._timer is None:
            self._timer = self._clock.callLater(0, self._run)

    def remove(self, connection: InputOwner) -> None:
        """Removes a connection that has ended."""
        self._waiting.pop(connection, None)

    def stop(self) -> None:
        """Cancels the timer."""
        stop(self._timer)
        self._timer = None

    def _run(self) -> None:
        self._timer = None
        try:
            for _ in range(COMMANDS_PER_ITERATION // COMMANDS_PER_TURN):
                connection = next(iter(self._waiting), None)
                if connection is None:
                    return
                del self._waiting[connection]
                if connection.process_commands(COMMANDS_PER_TURN):
                    self._waiting[connection] = None
        finally:  # a mistake in one connection must not take the others' turns
            if self._waiting and self._timer is None:
                self._timer = self._clock.callLater(0, self._run)
