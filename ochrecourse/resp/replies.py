"""The replies to a client that the gateway words itself, as the protocol page of the platform names them."""

from __future__ import annotations

from ochrecourse.common.time_units import MS
from ochrecourse.resp.codec import RespProtocolError

PONG_REPLY = b"+PONG\r\n"
BUSY_REPLY = b"-BUSY\r\n"
FAILED_REPLY = b"-ERR failed\r\n"
TOO_LATE_REPLY = b"-ERR too late\r\n"
TOO_MANY_CONNECTIONS_REPLY = b"-ERR too_many_connections all that this gateway takes are open\r\n"


def busy_reply(retry_after: int) -> bytes:
    """Returns the reply to a rejected request; `retry_after` in ns, 0 for no advice."""
    return b"-BUSY %d\r\n" % -(-retry_after // MS) if retry_after else BUSY_REPLY


def error_reply(error: RespProtocolError) -> bytes:
    """Returns the line that reports a protocol error."""
    return f"-ERR {error.code} {error}\r\n".encode()
