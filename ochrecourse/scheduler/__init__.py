"""Every decision about a request: admission, placement, order, limits and retries."""
