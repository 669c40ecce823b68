"""Incremental RESP2 parsers for commands (arrays of bulk strings) and replies, and encoders. Performs no I/O.

Every length is checked when it is announced, before the data is buffered; a connection never buffers more
than one message plus one read. Every violation raises a `RespProtocolError` with its own code, after which
the parser must not be used any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from ochrecourse.common.errors import OchrecourseError

MAX_COMMAND_BULK_BYTES = 65_536  # of one bulk string of a command; the size of the largest object
MAX_REPLY_BULK_BYTES = 1_048_576  # of one bulk string of a reply; nodes were seen to send 400,000 bytes
MAX_COMMAND_ARGUMENTS = 8  # of one command, including its name; the longest has five
MAX_REPLY_ITEMS = 8  # of a reply's array; the longest has three
MAX_LENGTH_LINE_BYTES = 16  # of a line with a count or a length; the largest length needs far fewer
MAX_REPLY_LINE_BYTES = 512  # of a simple string or error; several times usage figures and a load report
MAX_OTHER_BULKS_BYTES = 2048  # of all other bulk strings of a message: ids, fields, usage figures
# Of a command: its bulk strings, and their lengths in lines with a type byte and a line end.
MAX_COMMAND_BYTES = (
    MAX_COMMAND_BULK_BYTES + MAX_OTHER_BULKS_BYTES + (MAX_COMMAND_ARGUMENTS + 1) * (MAX_LENGTH_LINE_BYTES + 4)
)
READ_BYTES = 4_096  # of one read where no large bulk string is under way: some tens of commands
BULK_END_BYTES = 2  # behind a bulk string
CARRIAGE_RETURN = 13
COMMAND_TYPE = 42  # `*`, the first byte of a command
BULK_TYPE = 36  # `$`, the first byte of each argument
REPLY_TYPES = b"+-:$*"


class RespProtocolError(OchrecourseError):
    """Input that is not RESP2 or exceeds a limit. `code` is for counters, the text for the peer."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


@dataclass(frozen=True, slots=True)
class SimpleString:
    """A reply's simple string, without its `+`."""

    text: bytes


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """A reply's error line, without its `-`."""

    text: bytes


Reply = SimpleString | ErrorReply | int | bytes | None | list["Reply"]


class _RespParser:
    """The input buffer of one connection, from which lines and bulk strings are read."""

    max_bulk_bytes: ClassVar[int] = MAX_COMMAND_BULK_BYTES

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0  # number of parsed bytes in the buffer
        self._bulk_length = -1  # announced length of the bulk string being read, -1 for none
        self._bulk_total = 0  # total announced length of this message's bulk strings so far

    def feed(self, data: bytes) -> None:
        """Appends received bytes to the buffer."""
        if self._position:
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def buffered_bytes(self) -> int:
        """Returns how many received bytes are not parsed yet."""
        return len(self._buffer) - self._position

    def has_unparsed_bytes(self) -> bool:
        """Whether the buffer holds bytes beyond the last complete message."""
        return len(self._buffer) > self._position

    def _message_complete(self) -> None:
        """Frees parsed bytes, so that an idle connection uses no buffer memory."""
        self._bulk_total = 0
        if self._position == len(self._buffer):
            self._buffer.clear()
            self._position = 0

    def _read_line(self, max_bytes: int) -> bytes | None:
        """Returns the next line without its end, or None until it is complete."""
        end = self._buffer.find(b"\r\n", self._position, self._position + max_bytes + 2)
        if end < 0:
            if len(self._buffer) - self._position >= max_bytes + 2:
                raise RespProtocolError("long_line", f"a line of more than {max_bytes} bytes")
            return None
        line = bytes(self._buffer[self._position : end])
        self._position = end + 2
        return line

    def _parse_integer(self, line: bytes, least: int, most: int, code: str) -> int:
        """Parses the integer after a line's type byte, from `least` to `most`; `code` is for the error."""
        digits = line[2:] if line[1:2] == b"-" else line[1:]
        if not digits.isdigit() or len(digits) > 10:
            raise RespProtocolError(code, "a length that is no number")
        number = int(line[1:])
        if not least <= number <= most:
            raise RespProtocolError(code, f"a length of {number}; between {least} and {most} it must be")
        return number

    def _parse_bulk_length(self, line: bytes, least: int) -> int:
        """Parses and checks the announced length of a bulk string before any of it is read."""
        length = self._parse_integer(line, least, self.max_bulk_bytes, "bad_length")
        self._bulk_total += max(0, length)
        if self._bulk_total > self.max_bulk_bytes + MAX_OTHER_BULKS_BYTES:
            raise RespProtocolError(
                "long_message",
                f"more than {self.max_bulk_bytes + MAX_OTHER_BULKS_BYTES} bytes in one message",
            )
        return length

    def _read_bulk(self) -> bytes | None:
        """Returns the bulk string whose length was announced, or None until it is complete."""
        end = self._position + self._bulk_length
        if len(self._buffer) < end + 2:
            # Detects a length that is too short now, not only when more bytes arrive.
            if len(self._buffer) > end and self._buffer[end] != CARRIAGE_RETURN:
                raise RespProtocolError("bad_end", "a bulk string that does not end where its length says")
            return None
        if self._buffer[end : end + 2] != b"\r\n":
            raise RespProtocolError("bad_end", "a bulk string that does not end where its length says")
        with memoryview(self._buffer) as view:
            data = bytes(view[self._position : end])
        self._position, self._bulk_length = end + 2, -1
        return data


class CommandParser(_RespParser):
    """Parses a client's commands: call `feed`, then `next` until it returns None.

    With `asks_for_bodies` it also returns None when a bulk string is announced with which the command exceeds
    `MAX_OTHER_BULKS_BYTES` (`announced_body`), and goes on when `accept_body` or `discard_body` was called.
    """

    def __init__(self, asks_for_bodies: bool = False) -> None:
        super().__init__()
        self.announced_body = 0  # bytes; above 0 while the parser waits for a decision
        self.had_large_body = False  # the command that `next` returned last
        self.body_discarded = False  # of that command
        self._asks_for_bodies = asks_for_bodies
        self._discarding = False  # the bulk string that is being read
        self._arguments: list[bytes] = []
        self._small_arguments = 0  # the first ones, for which no decision was asked
        self._arguments_left = 0

    def accept_body(self) -> None:
        """Buffers the announced bulk string."""
        self.announced_body = 0

    def discard_body(self) -> None:
        """Frees the large bulk strings of the command so far, and discards the rest of the current one."""
        self.announced_body = 0
        large = range(self._small_arguments, len(self._arguments))
        self._arguments[self._small_arguments :] = [b"" for _ in large]
        self._discarding = True
        self._discard_received()

    def read_size(self) -> int:
        """Returns how many bytes are worth reading at once."""
        if self._bulk_length < 0 or self.announced_body:
            return READ_BYTES
        missing = self._bulk_length + BULK_END_BYTES - (len(self._buffer) - self._position)
        return min(MAX_COMMAND_BULK_BYTES, max(READ_BYTES, missing))

    def _discard_received(self) -> None:
        """Drops the buffered bytes of a bulk string that is not kept, but for its end."""
        count = min(self._bulk_length, len(self._buffer) - self._position)
        del self._buffer[self._position : self._position + count]
        self._bulk_length -= count

    def has_partial_message(self) -> bool:
        """Whether a command has begun and is not complete."""
        return self._arguments_left > 0 or self.has_unparsed_bytes()

    def next(self) -> list[bytes] | None:
        """Returns the next complete command's arguments, its name first, or None until more bytes arrive.

        Raises RespProtocolError.
        """
        while not self.announced_body:
            if self._bulk_length >= 0:
                argument = self._read_argument()
                if argument is None:
                    return None
                self._arguments.append(argument)
                self._arguments_left -= 1
                if not self._arguments_left:
                    return self._command_complete()
            elif not self._read_length():
                return None
        return None

    def _read_argument(self) -> bytes | None:
        """Returns the bulk string that is being read, or None until it is complete; empty if discarded."""
        if self._discarding:
            self._discard_received()
        return self._read_bulk()

    def _read_length(self) -> bool:
        """Reads the line that announces a command or an argument; returns False until it is complete."""
        expected = BULK_TYPE if self._arguments_left else COMMAND_TYPE
        is_expected = not self.has_unparsed_bytes() or self._buffer[self._position] == expected
        line = self._read_line(MAX_LENGTH_LINE_BYTES)
        if not is_expected:
            raise RespProtocolError("not_a_command", "a command is an array of bulk strings")
        if line is None:
            return False
        if self._arguments_left:
            self._bulk_length = self._parse_bulk_length(line, 0)
            if self._bulk_total <= MAX_OTHER_BULKS_BYTES:
                self._small_arguments += 1
            elif self._asks_for_bodies and not self._discarding:
                self.announced_body = self._bulk_length
        else:
            self._arguments_left = self._parse_integer(line, 1, MAX_COMMAND_ARGUMENTS, "bad_count")
            self._small_arguments = 0
        return True

    def _command_complete(self) -> list[bytes]:
        """Returns the arguments of a complete command."""
        arguments, self._arguments = self._arguments, []
        self.body_discarded, self._discarding = self._discarding, False
        self.had_large_body = self._bulk_total > MAX_OTHER_BULKS_BYTES
        self._message_complete()
        return arguments


class ReplyParser(_RespParser):
    """Parses a node's replies: call `feed`, then `next` until it returns None.

    Arrays must not be nested and contain only bulk strings or nulls.
    """

    max_bulk_bytes = MAX_REPLY_BULK_BYTES

    def __init__(self) -> None:
        super().__init__()
        self._items: list[Reply] | None = None  # of the array being read
        self._items_left = 0

    def has_partial_message(self) -> bool:
        """Whether a reply has begun and is not complete."""
        return self._items is not None or self._bulk_length >= 0 or self.has_unparsed_bytes()

    def next(self) -> tuple[Reply] | None:
        """Returns a 1-tuple of the next complete reply, which may be null, or None until more bytes arrive.

        Raises RespProtocolError.
        """
        while True:
            value: Reply
            if self._bulk_length >= 0:
                value = self._read_bulk()
                if value is None:
                    return None
            else:
                line = self._read_line(MAX_REPLY_LINE_BYTES)
                if line is None:
                    self._check_type_byte()
                    return None
                if line[:1] == b"$":
                    length = self._parse_bulk_length(line, -1)
                    if length >= 0:
                        self._bulk_length = length
                        continue
                    value = None
                elif line[:1] == b"*" and self._items is None:
                    self._items_left = self._parse_integer(line, 1, MAX_REPLY_ITEMS, "bad_count")
                    self._items = []
                    continue
                else:
                    value = self._parse_simple_value(line)
            items = self._items
            if items is None:
                self._message_complete()
                return (value,)
            items.append(value)
            self._items_left -= 1
            if not self._items_left:
                self._items = None
                self._message_complete()
                return (items,)

    def _check_type_byte(self) -> None:
        """Rejects input that is not RESP2 at its first byte, without waiting for a line end."""
        if self.has_unparsed_bytes() and self._buffer[self._position] not in REPLY_TYPES:
            raise RespProtocolError("not_a_reply", "a reply begins with one of + - : $ *")

    def _parse_simple_value(self, line: bytes) -> Reply:
        """Parses a one-line reply: a simple string, an error or an integer."""
        if self._items is not None:
            raise RespProtocolError("not_a_reply", "an array here holds bulk strings and nulls only")
        type_byte, rest = line[:1], line[1:]
        if type_byte == b"+":
            return SimpleString(rest)
        if type_byte == b"-":
            return ErrorReply(rest)
        if type_byte == b":":
            return self._parse_integer(line, -(10**10), 10**10, "bad_number")
        raise RespProtocolError("not_a_reply", "a reply begins with one of + - : $ *")


Replies = ReplyParser  # alias used by the test of recorded behaviour


def encode_command(arguments: list[bytes]) -> bytes:
    """Encodes a command; the first argument is its name."""
    encoded = [b"*%d\r\n" % len(arguments)]
    for argument in arguments:
        encoded.append(b"$%d\r\n%b\r\n" % (len(argument), argument))
    return b"".join(encoded)


def encode_bulk_string(data: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)
