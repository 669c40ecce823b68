"""Requests that are answered from cached objects or from fetches in progress. Free of I/O and clocks."""

from __future__ import annotations

from ochrecourse.common.object_cache import CachingGateway
from ochrecourse.fleet.calendar_edition import Scope
from ochrecourse.fleet.object_fetch import ObjectFetch, ObjectReader

MAX_READERS = 256  # limits answers to slow clients; reads beyond it are sent to the nodes


class ObjectReaders:
    """The requests that a gateway is answering from its cache, by request id."""

    def __init__(self, gateway: CachingGateway) -> None:
        self.gateway = gateway
        self.by_request: dict[int, ObjectReader] = {}

    def is_full(self) -> bool:
        """Whether the limit of concurrent readers is reached."""
        return len(self.by_request) >= MAX_READERS

    def start(self, reader: ObjectReader) -> None:
        """Begins to answer a request with the data recorded so far; more follows as it arrives."""
        request_id, source = reader.request_id, reader.source
        if not self.gateway.answer_from_cache(request_id):
            self.gateway.finish_cached(request_id, True)
            return
        self.by_request[request_id] = reader
        if reader.fetch is not None:
            reader.fetch.readers[request_id] = reader
        reader.handler.served(request_id, source.size, source.shard)
        self._send(reader)

    def consumed(self, request_id: int, size: int) -> bool:
        """A client received `size` more bytes; returns False if the request has no reader."""
        reader = self.by_request.get(request_id)
        if reader is None:
            return False
        reader.unconsumed = max(0, reader.unconsumed - size)
        self._send(reader)
        return True

    def cancel(self, request_id: int) -> bool:
        """Removes the reader of a request; returns False if it has none."""
        reader = self.by_request.pop(request_id, None)
        if reader is None:
            return False
        _detach(reader)
        return True

    def send_progress(self, fetch: ObjectFetch) -> None:
        """Sends newly recorded data of a fetch to its readers."""
        for reader in list(fetch.readers.values()):
            self._send(reader)

    def abort_fetch(self, fetch: ObjectFetch) -> None:
        """Aborts the readers of a fetch whose answer will not be completed."""
        for reader in list(fetch.readers.values()):
            self._abort(reader)

    def abort_cached(self, scope: Scope) -> None:
        """Aborts the answers from complete objects of a scope that is purged."""
        for reader in [each for each in self.by_request.values() if each.fetch is None]:
            if scope.covers(reader.key.volume, reader.key.tenant):
                self._abort(reader)

    def _send(self, reader: ObjectReader) -> None:
        """Sends one chunk at a time, and the next one only when the client has received it.

        This bounds the memory used by clients that send many requests and do not read the answers: one chunk
        per request.
        """
        if reader.sending:
            return  # `consumed` was called from within `body_chunk`: the loop below continues
        reader.sending = True
        while (
            not reader.unconsumed
            and self.by_request.get(reader.request_id) is reader
            and reader.next_chunk < len(reader.source.chunks)
        ):
            data = reader.source.chunks[reader.next_chunk]
            reader.next_chunk += 1
            reader.unconsumed = 0 if reader.is_complete() else len(data)
            reader.handler.body_chunk(reader.request_id, data)
        reader.sending = False
        if self.by_request.get(reader.request_id) is reader and reader.is_complete():
            del self.by_request[reader.request_id]
            _detach(reader)
            self.gateway.finish_cached(reader.request_id, True)

    def _abort(self, reader: ObjectReader) -> None:
        if not self.cancel(reader.request_id):
            return
        self.gateway.finish_cached(reader.request_id, False)
        reader.handler.aborted(reader.request_id)


def _detach(reader: ObjectReader) -> None:
    if reader.fetch is not None:
        reader.fetch.readers.pop(reader.request_id, None)
