"""Errors of the framed protocol: malformed messages, and violations by this side or the peer."""

from __future__ import annotations

from ochrecourse.common.errors import OchrecourseError


class WireError(OchrecourseError):
    """The base of all errors of the framed protocol."""


class MalformedMessageError(WireError):
    """A header or list that is invalid by docs/node-protocol.md; the text says why."""


class ProtocolViolationError(WireError):
    """A message that is not legal in the current state. `code` is for counters, the text for readers."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class LocalProtocolError(ProtocolViolationError):
    """This side was about to send an illegal message: a bug in the calling code."""


class RemoteProtocolError(ProtocolViolationError):
    """The peer violated the protocol."""
