"""A client's request, its response handler, and what clients' protocols need of a gateway. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from ochrecourse.common.errors import OchrecourseError


class BodyReader(Protocol):
    """The body of a request that writes. Each attempt reads it from its start."""

    size: int  # bytes

    def read(self, at: int, most: int) -> bytes:
        """At most `most` bytes from offset `at`."""

    def close(self) -> None:
        """The request is over; the body is not read again."""


@dataclass(slots=True)
class Request:
    """What a client asks for. `timeout` is in ns from `read_at`, the clock's time when its header was read.

    `units` is its cost in the settings' units, `shard` the shard that holds the object or -1, `gateways` how
    many gateways serve the volume, `trace` the client's own name for the request.
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
    """A request that can't be submitted: `code` for counters, the text for the client."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class ResponseHandler(Protocol):
    """Who is called with a request's one final answer: `served`, `rejected` or `failed`, if its client has
    not cancelled.

    After `served` follow the chunks of its body; `aborted` says that the rest will not follow.
    """

    def served(self, request_id: int, size: int, shard: int) -> None:
        """The answer begins: `size` bytes of body follow; `shard` holds the object."""

    def body_chunk(self, request_id: int, data: bytes) -> None:
        """More of the answer's body; `Gateway.response_consumed` acknowledges it."""

    def aborted(self, request_id: int) -> None:
        """The rest of an answer that had begun will not follow."""

    def rejected(self, request_id: int, retry_after: int) -> None:
        """Nothing of the request ran; a retry may succeed after `retry_after` ns, 0: no advice."""

    def failed(self, request_id: int) -> None:
        """The request was not served in time; whether it took effect is not known."""


class AdmissionState(Protocol):
    """Whether a gateway admits requests."""

    def accepts_requests(self) -> bool:
        """False once it shuts down."""


class RequestGateway(Protocol):
    """What a clients' protocol needs of a gateway (gateway.gateway.Gateway)."""

    @property
    def shutdown(self) -> AdmissionState:
        """How far its graceful shutdown is."""

    def next_request_id(self) -> int:
        """The id that the next request gets; its answer may be handed over before `submit` returns."""

    def submit(self, request: Request, handler: ResponseHandler) -> int:
        """Accepts a request and returns its id. Raises BadRequestError."""

    def cancel(self, request_id: int) -> None:
        """The client of a request no longer waits."""

    def cancel_all(self, request_ids: Sequence[int]) -> None:
        """The client of several requests no longer waits."""

    def response_consumed(self, request_id: int, size: int) -> None:
        """The client received `size` more bytes of its answer."""
