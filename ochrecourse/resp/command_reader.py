"""Reads the commands of one connection, with the memory of what was received of them. Performs no I/O."""

from __future__ import annotations

from ochrecourse.resp.codec import CommandParser
from ochrecourse.resp.pipeline import CommandPipeline


class CommandReader:
    """The input of one connection (body_memory.BodyReceiver).

    A large body has its memory reserved when it is announced; without any it is discarded as it comes.
    """

    __slots__ = ("_bodies", "_pipeline", "keeps_bodies", "parser")

    def __init__(self, pipeline: CommandPipeline) -> None:
        self.parser = CommandParser(asks_for_bodies=True)
        self.keeps_bodies = True  # False: commands are only counted and rejected
        self._pipeline = pipeline
        self._bodies = pipeline.totals.bodies

    def feed(self, data: bytes) -> None:
        """Appends received bytes."""
        self.parser.feed(data)
        self._bodies.body_progressed(self)

    def next(self) -> list[bytes] | None:
        """Returns the next complete command, whose reserved memory is free again, or None.

        Raises RespProtocolError.
        """
        arguments = self.parser.next()
        while arguments is None and self.parser.announced_body:
            self._body_announced(self.parser.announced_body)
            arguments = self.parser.next()
        if arguments is not None:
            self._bodies.release(self)
        return arguments

    def _body_announced(self, size: int) -> None:
        pipeline = self._pipeline
        if self.keeps_bodies and self._bodies.reserve(self, pipeline.memory, size, pipeline.nothing_open()):
            self.parser.accept_body()
        else:
            self._bodies.release(self)
            self.parser.discard_body()

    def discard_body(self) -> None:
        """Discards the body that is being received, whose memory others need."""
        self.parser.discard_body()

    def reset(self) -> None:
        """Discards all that was received."""
        self._bodies.release(self)
        self.parser = CommandParser()
