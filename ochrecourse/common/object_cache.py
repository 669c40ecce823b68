"""The interface between a gateway and its cache of read objects. Free of I/O."""

from __future__ import annotations

from typing import Protocol

from ochrecourse.common.requests import Request, ResponseHandler


class ObjectCache(Protocol):
    """A cache of read objects, if the settings enable one (`Gateway.object_cache`)."""

    def request_received(
        self, request_id: int, request: Request, write: bool, deadline: int, handler: ResponseHandler
    ) -> ResponseHandler | None:
        """Returns the handler of a request's answer from the nodes; None if no attempt is to be sent now.

        `deadline` is its deadline in ns of the gateway's clock.
        """

    def request_cancelled(self, request_id: int) -> bool:
        """Reports that the client no longer waits; returns True if no attempt of the request was sent."""

    def wants_response(self, request_id: int) -> bool:
        """Returns whether an answer that has started is still needed."""

    def response_consumed(self, request_id: int, size: int) -> bool:
        """Reports that a client received `size` more bytes; returns True if the node needs no credit."""

    def request_finished(self, request_id: int, certain: bool) -> None:
        """Reports that a request is finished and none of its attempts is outstanding.

        `certain`: it is known whether the request took effect.
        """


class CachingGateway(Protocol):
    """The methods of a gateway that an object cache uses (gateway.gateway.Gateway)."""

    object_cache: ObjectCache | None

    def answer_from_cache(self, request_id: int) -> bool:
        """Records the only answer of a request, given without an attempt; False if it is too late."""

    def forward(self, request_id: int, handler: ResponseHandler) -> None:
        """Sends the request to the nodes after all; its answer is passed to `handler`."""

    def finish_cached(self, request_id: int, complete: bool) -> None:
        """Reports that the whole answer was passed on or, if not `complete`, that the rest is missing."""

    def grant_credit(self, request_id: int, size: int) -> None:
        """Allows the node to send `size` more bytes of the answer."""
