"""Code shared by several packages: clock and network interfaces, the event loop, request records."""
