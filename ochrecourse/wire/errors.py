"""What can be wrong with a message, by whose mistake it is."""

from __future__ import annotations

from ochrecourse.common.errors import OchrecourseError


class WireError(OchrecourseError):
    """The base of all errors of the framed protocol."""


class MalformedMessageError(WireError):
    """A header or list that docs/node-protocol.md does not allow; the text says what is wrong with it."""


class ProtocolViolationError(WireError):
    """A message that may not come now. `code` is for counters, the text for readers."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class LocalProtocolError(ProtocolViolationError):
    """This side was about to send an illegal message: a mistake of the calling code."""


class RemoteProtocolError(ProtocolViolationError):
    """The peer broke the protocol."""
