"""What several packages share: clocks and networks handed in, the event loop, records of requests."""
