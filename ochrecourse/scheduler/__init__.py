"""The request scheduler: admission, placement, queueing order, limits and retries."""
