"""RESP2 from bytes, incrementally: commands (arrays of bulk strings) and replies. Free of I/O.

Every length is checked when it is announced, before anything behind it is buffered; a connection never holds
more than one message and one read beyond it. Every breach is a `Breach` with a code of its own, after which
the reader is of no further use.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

MAX_BULK = 65_536  # bytes of one bulk string of a command; the most a value may hold there
MAX_VALUE = 1_048_576  # bytes of one bulk string of a reply; nodes were seen to send 400,000
MAX_WORDS = 8  # in one command; the longest has five
MAX_ITEMS = 8  # in a reply's array; the longest has three
MAX_LENGTH_LINE = 16  # bytes of a line that tells a count or a length, far over what MAX_BULK needs
MAX_LINE = 512  # bytes of a status or error line; figures on use and a load report fit several times
SHORT = 2048  # bytes of all other bulk strings of a message; ids, fields, figures on use


class Breach(Exception):
    """Input that is not RESP2 or beyond its limits: `code` for counters, the text for the other side."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class Status:
    """A reply's status line, without its `+`."""

    text: bytes


@dataclass(frozen=True, slots=True)
class Error:
    """A reply's error line, without its `-`."""

    text: bytes


Reply = Status | Error | int | bytes | None | list["Reply"]


class _Reader:
    """Bytes in, lines and bulk strings out."""

    most: ClassVar[int] = MAX_BULK

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._at = 0  # of which so many bytes are done with
        self._size = -1  # of the bulk string that is being read; -1: none is
        self._total = 0  # bytes of this message's bulk strings so far

    def feed(self, data: bytes) -> None:
        """Takes bytes as they came."""
        if self._at:
            del self._buffer[: self._at]
            self._at = 0
        self._buffer += data

    def _done(self) -> None:
        """A message is whole: what is done with is let go, so that a connection that rests holds nothing."""
        self._total = 0
        if self._at == len(self._buffer):
            self._buffer.clear()
            self._at = 0

    def unread(self) -> bool:
        """Whether bytes are left that no whole message held."""
        return len(self._buffer) > self._at

    def _line(self, most: int) -> bytes | None:
        end = self._buffer.find(b"\r\n", self._at, self._at + most + 2)
        if end < 0:
            if len(self._buffer) - self._at >= most + 2:
                raise Breach("long_line", f"a line of more than {most} bytes")
            return None
        line = bytes(self._buffer[self._at : end])
        self._at = end + 2
        return line

    def _number(self, line: bytes, least: int, most: int, code: str) -> int:
        digits = line[2:] if line[1:2] == b"-" else line[1:]
        if not digits.isdigit() or len(digits) > 10:
            raise Breach(code, "a length that is no number")
        number = int(line[1:])
        if not least <= number <= most:
            raise Breach(code, f"a length of {number}; between {least} and {most} it must be")
        return number

    def _announce(self, line: bytes, least: int) -> int:
        """The length of a bulk string that a line tells, checked before any of it is read."""
        size = self._number(line, least, self.most, "bad_length")
        self._total += max(0, size)
        if self._total > self.most + SHORT:
            raise Breach("long_message", f"more than {self.most + SHORT} bytes in one message")
        return size

    def _bulk(self) -> bytes | None:
        """The bulk string whose length was told, once it is whole."""
        end = self._at + self._size
        if len(self._buffer) < end + 2:
            # Guards against lengths that are too short, which would be seen only when more bytes come.
            if len(self._buffer) > end and self._buffer[end] != 13:
                raise Breach("bad_end", "a bulk string that does not end where its length says")
            return None
        if self._buffer[end : end + 2] != b"\r\n":
            raise Breach("bad_end", "a bulk string that does not end where its length says")
        with memoryview(self._buffer) as whole:
            data = bytes(whole[self._at : end])
        self._at, self._size = end + 2, -1
        return data


class Commands(_Reader):
    """Commands from a client's bytes: feed, then pull with `next` until it gives None."""

    def __init__(self) -> None:
        super().__init__()
        self._words: list[bytes] = []
        self._left = 0

    def partial(self) -> bool:
        """Whether a command has begun and is not whole."""
        return self._left > 0 or self.unread()

    def next(self) -> list[bytes] | None:
        """The next whole command's words, or None until more bytes come. Raises Breach."""
        while True:
            if self._size >= 0:
                word = self._bulk()
                if word is None:
                    return None
                self._words.append(word)
                self._left -= 1
                if not self._left:
                    words, self._words = self._words, []
                    self._done()
                    return words
                continue
            line = self._line(MAX_LENGTH_LINE)
            if line is None:
                if self.unread() and self._buffer[self._at] != (36 if self._left else 42):
                    raise Breach("not_a_command", "a command is an array of bulk strings")
                return None
            if self._left:
                if line[:1] != b"$":
                    raise Breach("not_a_command", "a command is an array of bulk strings")
                self._size = self._announce(line, 0)
            else:
                if line[:1] != b"*":
                    raise Breach("not_a_command", "a command is an array of bulk strings")
                self._left = self._number(line, 1, MAX_WORDS, "bad_count")


class Replies(_Reader):
    """Replies from a node's bytes: feed, then pull with `next` until it gives None.

    Arrays don't nest here, and an array holds only bulk strings or nulls.
    """

    most = MAX_VALUE

    def __init__(self) -> None:
        super().__init__()
        self._items: list[Reply] | None = None
        self._left = 0

    def partial(self) -> bool:
        """Whether a reply has begun and is not whole."""
        return self._items is not None or self._size >= 0 or self.unread()

    def next(self) -> tuple[Reply] | None:
        """The next whole reply, alone in a tuple since null is one, or None. Raises Breach."""
        while True:
            value: Reply
            if self._size >= 0:
                value = self._bulk()
                if value is None:
                    return None
            else:
                line = self._line(MAX_LINE)
                if line is None:
                    if self.unread() and self._buffer[self._at] not in b"+-:$*":
                        raise Breach("not_a_reply", "a reply begins with one of + - : $ *")
                    return None
                kind, rest = line[:1], line[1:]
                if kind == b"$":
                    size = self._announce(line, -1)
                    if size >= 0:
                        self._size = size
                        continue
                    value = None
                elif self._items is not None:
                    raise Breach("not_a_reply", "an array here holds bulk strings and nulls only")
                elif kind == b"*":
                    self._left = self._number(line, 1, MAX_ITEMS, "bad_count")
                    self._items = []
                    continue
                elif kind == b"+":
                    value = Status(rest)
                elif kind == b"-":
                    value = Error(rest)
                elif kind == b":":
                    value = self._number(line, -(10**10), 10**10, "bad_number")
                else:
                    raise Breach("not_a_reply", "a reply begins with one of + - : $ *")
            if self._items is None:
                self._done()
                return (value,)
            self._items.append(value)
            self._left -= 1
            if not self._left:
                items, self._items = self._items, None
                self._done()
                return (items,)


def command(words: list[bytes]) -> bytes:
    """A command's bytes."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(parts)


def bulk(data: bytes) -> bytes:
    """A bulk string's bytes."""
    return b"$%d\r\n%b\r\n" % (len(data), data)
