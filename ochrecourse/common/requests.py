"""A client's request, its response handler, and the gateway interface for client protocols. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ochrecourse.common.errors import OchrecourseError


class BodyReader(Protocol):
    """The body of a write request. Each attempt reads it from the start."""

    size: int  # bytes

    def read(self, at: int, most: int) -> bytes:
        """Returns at most `most` bytes from offset `at`."""

    def close(self) -> None:
        """Closes the body after the request is finished; it is not read again."""


@dataclass(slots=True)
class Request:
    """A client request. `timeout` is in ns from `read_at`, the clock time when its header was read.

    `units` is its cost in the units of the settings, `shard` the shard that stores the object or -1,
    `gateways` the number of gateways that serve the volume, `trace` the client's own id of the request.
    """

    request_class: str
    tenant: str
    volume: int
    timeout: int
    read_at: int
    key: int = 0
    units: float = 1.0
    shard: int = -1
    gateways: int = 1
    trace: str = ""
    body: BodyReader | None = None


class BadRequestError(OchrecourseError):
    """A request that cannot be submitted: `code` is for counters, the text for the client."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class ResponseHandler(Protocol):
    """Receives the final answer of a request, unless its client has cancelled.

    Exactly one of `served`, `rejected` and `failed` is called. After `served`, the chunks of the body follow;
    `aborted` means that the rest will not follow.
    """

    def served(self, request_id: int, size: int, shard: int) -> None:
        """Starts a successful answer: `size` bytes of body follow; `shard` stores the object."""

    def body_chunk(self, request_id: int, data: bytes) -> None:
        """Passes the next chunk of the body; `Gateway.response_consumed` acknowledges it."""

    def aborted(self, request_id: int) -> None:
        """Ends an answer that had started but will not be completed."""

    def rejected(self, request_id: int, retry_after: int) -> None:
        """Rejects a request that did not run; a retry may succeed after `retry_after` ns, 0: no advice."""

    def failed(self, request_id: int) -> None:
        """Reports that the request was not served in time; whether it took effect is unknown."""


class AdmissionState(Protocol):
    """Whether a gateway admits requests."""

    def accepts_requests(self) -> bool:
        """Returns False once the gateway shuts down."""


class RequestGateway(Protocol):
    """The methods of a gateway that client protocols use (gateway.gateway.Gateway)."""

    @property
    def shutdown(self) -> AdmissionState:
        """The state of the graceful shutdown."""

    def next_request_id(self) -> int:
        """Returns the id of the next request; its answer may be passed on before `submit` returns."""

    def submit(self, request: Request, handler: ResponseHandler) -> int:
        """Accepts a request and returns its id. Raises BadRequestError."""

    def cancel(self, request_id: int) -> None:
        """Cancels a request whose client no longer waits."""

    def cancel_all(self, request_ids: Sequence[int]) -> None:
        """Cancels several requests whose client no longer waits."""

    def response_consumed(self, request_id: int, size: int) -> None:
        """Acknowledges that the client received `size` more bytes of its answer."""
