"""The contract between a gateway and a cache of the objects that it read. Free of I/O."""

from __future__ import annotations

from typing import Protocol

from ochrecourse.common.requests import Request, ResponseHandler


class ObjectCache(Protocol):
    """Who caches objects that were read, where the settings ask for it (`Gateway.object_cache`)."""

    def request_received(
        self, request_id: int, request: Request, write: bool, deadline: int, handler: ResponseHandler
    ) -> ResponseHandler | None:
        """Who handles a request's answer from the nodes; None if no attempt is to be sent for it now.

        `deadline` is its deadline in ns by the gateway's clock.
        """

    def request_cancelled(self, request_id: int) -> bool:
        """The client of a request no longer waits; True if no attempt of it was ever sent."""

    def wants_response(self, request_id: int) -> bool:
        """Whether an answer that has begun is still wanted."""

    def response_consumed(self, request_id: int, size: int) -> bool:
        """A client received `size` more bytes; True if the node need not be credited."""

    def request_finished(self, request_id: int, certain: bool) -> None:
        """A request is over and no attempt of it is out; `certain`: it took effect, or surely did not."""


class CachingGateway(Protocol):
    """What an object cache needs of its gateway (gateway.gateway.Gateway)."""

    object_cache: ObjectCache | None

    def answer_from_cache(self, request_id: int) -> bool:
        """Records the one answer of a request without an attempt; False if it is too late for one."""

    def forward(self, request_id: int, handler: ResponseHandler) -> None:
        """The request goes to the nodes after all, and its answer to this handler."""

    def finish_cached(self, request_id: int, complete: bool) -> None:
        """All of a request's answer was handed on, or (not `complete`) the rest will not follow."""

    def grant_credit(self, request_id: int, size: int) -> None:
        """`size` more bytes of the answer may be sent by the node."""
