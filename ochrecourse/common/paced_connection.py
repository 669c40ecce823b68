"""An accepted TCP connection whose protocol limits what one read brings and learns what is still unsent."""

from __future__ import annotations

from typing import Any

from twisted.internet import tcp
from twisted.internet.main import CONNECTION_LOST

MAX_READ_BYTES = 65_536


class PacedConnection(tcp.Server):
    """The connection. The method `output_sent` of a protocol that has one is called after each write."""

    protocol: Any
    read_bytes = MAX_READ_BYTES  # of one read; set by the protocol

    def doRead(self) -> Any:
        """Reads at most `read_bytes` (Twisted callback)."""
        try:
            data = self.socket.recv(self.read_bytes)
        except BlockingIOError:
            return None
        except OSError:
            return CONNECTION_LOST
        return self._dataReceived(data)

    def doWrite(self) -> Any:
        """Sends buffered output and tells the protocol (Twisted callback)."""
        result = super().doWrite()  # type: ignore[no-untyped-call]
        output_sent = getattr(getattr(self, "protocol", None), "output_sent", None)
        if output_sent is not None:
            output_sent()
        return result

    def unsent_bytes(self) -> int:
        """Returns how many bytes of output the system has not accepted yet."""
        return len(self.dataBuffer) - self.offset + self._tempDataLen
